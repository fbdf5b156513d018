//! Helpers shared by the integration tests.

pub mod caller;
pub mod client_group;
pub mod cluster;
pub mod crash_fleet;
pub mod datagram_path;
pub mod endpoints;
pub mod gateway_harness;
pub mod process;
pub mod process_stats;
pub mod script;
