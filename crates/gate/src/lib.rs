//! Decisions of an agent: the last check before an endpoint.
//!
//! Whatever an entry believed, nothing reaches an endpoint that the agent's
//! own configuration does not allow.  A [`Permit`] goes through the states of
//! an attempt's life; the endpoint is called with a [`Permit<Started>`] only,
//! and non-idempotent work gets one only through a won claim.  There is no
//! I/O here and no clock: see `docs/design/at-most-once.md`.

mod attempts;
mod permit;
mod refusal;

pub use attempts::{Context, Decision, Gate, GateLimits};
pub use permit::{Admitted, Claimed, Permit, Started, Work};
pub use refusal::Reason;
