//! Routing decisions: admission, version, endpoint, retries, cascades and
//! rollouts.
//!
//! The crate does no I/O; time and randomness are passed in as arguments, so
//! scripted tests, randomized tests and the benchmark exercise the same code as
//! the daemons. See `docs/design/policy.md`.

mod admission;
mod cascade;
mod crash_ledger;
mod evacuation;
mod handover;
mod health;
mod load_tracker;
mod objective;
mod pause;
mod pool;
mod quarantine;
mod recent_count;
mod request_limit;
mod retry;
mod rollout;
mod rollout_statuses;
mod runners;
mod service_rollout;
mod size;
mod slow;
mod sound_components;
mod start_wait;
mod ticket;
mod version;
mod warmup;

pub use admission::{Admission, AdmissionError, PoolCapacity};
pub use cascade::{CascadePolicy, PassRates, StepCosts};
pub use crash_ledger::{CUT_RATE_WINDOW_MS, ComponentSet, CrashLedger, CutRequest};
pub use evacuation::{EvacuationChange, EvacuationSource, Evacuations, TopicPosition};
pub use handover::StoppingGateway;
pub use health::{Health, HealthSample};
pub use load_tracker::{LoadTracker, RunKey, TrackedLoad};
pub use objective::Weights;
pub use pause::{WaitBounds, is_worth_waiting};
pub use pool::{
    AnnouncedAt, Costs, DispatchNotice, DrainNotice, PeerCoverage, Pick, PickRequest,
    Pool, TrackedLoads, VersionFilter, digest_bytes, digest_pair, digest_text,
    prefix_digests, rendezvous_weight,
};
pub use quarantine::{Grounds, Quarantine, Quarantines};
pub use recent_count::RecentCount;
pub use request_limit::{GrantRate, LIMIT_MIN_PER_S, Permit, RequestBudgets};
pub use retry::{FleetView, RetryBudget, RetryLimits, RetryUsage};
pub use rollout::{GateDecision, GateSample, GateSettings, RolloutGate};
pub use rollout_statuses::RolloutStatuses;
pub use runners::{
    BalancePolicy, Locality, PickError, PickSettings, Report, Runner, RunnerKey,
    RunnerOutcome, Runners, Target,
};
pub use service_rollout::{
    Aspect, Evidence, ExposureLimit, RouteEvidence, Sampling, ServiceRollout, Side,
    is_sampled,
};
pub use size::{
    FirstSize, SizeSettings, escalation_size, first_size, is_worth_escalating,
};
pub use slow::is_slow;
pub use sound_components::SoundComponents;
pub use start_wait::StartWait;
pub use ticket::{Ticket, TicketError, TicketKeys};
pub use version::{
    ModelSelector, SelectionError, Session, VersionChoice, choose_version,
    parse_model_selector,
};
pub use warmup::{Warmup, WarmupGrounds, WarmupRule, grant_rate};
