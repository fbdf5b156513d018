//! Small stand-ins of the platform's services, for tests and the local run.
//!
//! Each has behaviour enough for the failures that the system is meant for,
//! and nothing more: it can be slowed, stopped, frozen, or made to lose an
//! answer after the call took effect.  No product crate depends on this one.

mod engine;
mod http;
mod instance_list;
mod keyed_log;
mod log_service;
mod plain;
mod rater;
mod relay;
mod scripted_endpoint;
mod weight_store;

pub use engine::{Engine, EngineConfig, EngineState};
pub use instance_list::InstanceListService;
pub use keyed_log::{KeyedLogFaults, KeyedLogService};
pub use log_service::{LogFaults, LogService};
pub use plain::{PlainFaults, PlainService};
pub use rater::RaterService;
pub use relay::{Relay, RelayMode};
pub use scripted_endpoint::{Action, ReceivedRequest, ScriptedEndpoint};
pub use weight_store::WeightStore;
