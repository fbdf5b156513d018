//! Admission control of an agent, the last check before an endpoint.
//!
//! A call reaches the endpoint only if the agent's own configuration allows it,
//! even if the entry that sent it has another configuration. A [`Permit`]
//! carries the state of an attempt in its type: the endpoint is called only
//! with a [`Permit<Started>`], and non-idempotent work gets one only after it
//! has won its claim. The crate does no I/O and reads no clock; see
//! `docs/design/at-most-once.md`.

mod attempts;
mod permit;
mod refusal;

pub use attempts::{Context, Decision, Gate, GateLimits};
pub use permit::{Admitted, Claimed, Permit, Started, Work};
pub use refusal::Reason;
