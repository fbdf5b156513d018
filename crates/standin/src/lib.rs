//! Stand-ins (fakes) of the platform's services, for tests and the local demo.
//!
//! Each implements just enough to reproduce the failures that the system must
//! tolerate: it can be slow, refuse calls, hang, or lose the response to a call
//! that took effect.  No production crate depends on this one.

mod engine;
mod http;
mod instance_list;
mod keyed_log;
mod log_service;
mod plain;
mod rater;
mod relay;
mod scripted_endpoint;
mod slotted_endpoint;
mod weight_store;

pub use engine::{Engine, EngineConfig, EngineState};
pub use instance_list::InstanceListService;
pub use keyed_log::{KeyedLogCopy, KeyedLogFaults, KeyedLogService};
pub use log_service::{LogFaults, LogService};
pub use plain::{PlainFaults, PlainService};
pub use rater::RaterService;
pub use relay::{Relay, RelayMode};
pub use scripted_endpoint::{
    Action, Framing, ReceivedRequest, ScriptedEndpoint, StreamEnd, Trigger,
    WrongResumption,
};
pub use slotted_endpoint::{SlottedCounts, SlottedEndpoint};
pub use weight_store::WeightStore;
