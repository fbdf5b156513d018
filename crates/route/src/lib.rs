//! Decisions of an entry: admission, version, runner, cascade, roll-out.
//!
//! Pure tables and functions: time and randomness come in as arguments, and
//! nothing is sent from here.  Scripts, randomised tests and the benchmark
//! drive the same code as the daemons.  See `docs/design/policy.md`.

mod admission;
mod cascade;
mod objective;
mod retry;
mod rollout;
mod runners;
mod ticket;
mod version;

pub use admission::{Admission, AdmissionError, Share};
pub use cascade::{CascadePolicy, PassRates, StepCosts};
pub use objective::Weights;
pub use retry::RetryBudget;
pub use rollout::{GateInput, GateSettings, GateVerdict, RolloutGate};
pub use runners::{
    Balance, Locality, NoRunner, Outcome, PickSettings, Report, Runner, RunnerKey,
    Runners, Target,
};
pub use ticket::{Ticket, TicketError, TicketKeys};
pub use version::{Choice, RouteError, Session, Wanted, choose_version, parse_wanted};
