//! Decisions of an entry: admission, version, runner, cascade, roll-out.
//!
//! Pure tables and functions: time and randomness come in as arguments, and
//! nothing is sent from here.  Scripts, randomised tests and the benchmark
//! drive the same code as the daemons.  See `docs/design/policy.md`.

mod admission;
mod cascade;
mod health;
mod objective;
mod pool;
mod retry;
mod rollout;
mod runners;
mod size;
mod ticket;
mod upgrade;
mod version;

pub use admission::{Admission, AdmissionError, Share};
pub use cascade::{CascadePolicy, PassRates, StepCosts};
pub use health::{Health, Verdict};
pub use objective::Weights;
pub use pool::{
    Ask, Costs, Hearing, Pick, Pool, Sent, Versions, digest_text, prompt_digests,
};
pub use retry::RetryBudget;
pub use rollout::{GateInput, GateSettings, GateVerdict, RolloutGate};
pub use runners::{
    Balance, Locality, NoRunner, Outcome, PickSettings, Report, Runner, RunnerKey,
    Runners, Target,
};
pub use size::{FirstSize, SizeSettings, first_size, is_worth_asking, wanted_size};
pub use ticket::{Ticket, TicketError, TicketKeys};
pub use upgrade::{Evidence, RouteEvidence, Side, Upgrade, is_drawn};
pub use version::{Choice, RouteError, Session, Wanted, choose_version, parse_wanted};
