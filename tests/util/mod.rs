//! Helpers shared by the integration tests.

pub mod caller;
pub mod cluster;
pub mod crash_fleet;
pub mod crowd;
pub mod datagram_path;
pub mod endpoints;
pub mod gateway_harness;
pub mod process;
pub mod process_stats;
pub mod script;
