//! Small stand-ins of the platform's services, for tests and the local run.
//!
//! Each has behaviour enough for the failures that the system is meant for,
//! and nothing more: it can be slowed, stopped, frozen, or made to lose an
//! answer after the call took effect.  No product crate depends on this one.

mod engine;
mod http;
mod keyed;
mod live;
mod logsvc;
mod plain;
mod rater;
mod relay;
mod weights;
mod wire_endpoint;

pub use engine::{Engine, EngineModel, EngineState};
pub use keyed::{KeyedFaults, KeyedService};
pub use live::LiveService;
pub use logsvc::{LogFaults, LogService};
pub use plain::{PlainFaults, PlainService};
pub use rater::RaterService;
pub use relay::{Relay, RelayMode};
pub use weights::WeightStore;
pub use wire_endpoint::{Act, Seen, WireEndpoint};
