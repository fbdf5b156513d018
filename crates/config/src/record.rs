//! Records of the configuration stream, as they stand on the log.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Format of the records this build writes and the newest that it reads.
pub const RECORD_VERSION: u32 = 1;

/// One change that an operator asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Record format, see [`RECORD_VERSION`].
    pub v: u32,
    /// Chosen by the operator's client; a repeat of a known id does nothing.
    pub change_id: String,
    /// Operator who asked.
    pub who: String,
    /// Wall-clock time at the instance that took the change, ms since 1970.
    pub at_ms: u64,
    /// Revision of the object that the operator saw; 0 if it must not exist.
    pub expected_revision: u64,
    /// What to change.
    pub change: Change,
}

impl Default for ChangeRecord {
    fn default() -> Self {
        ChangeRecord {
            v: RECORD_VERSION,
            change_id: String::new(),
            who: String::new(),
            at_ms: 0,
            expected_revision: 0,
            change: Change::Model(ModelSpec::default()),
        }
    }
}

impl ChangeRecord {
    /// The record as one line of JSON.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a change record always encodes")
    }
}

/// The kinds of change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces a team.
    Team(TeamSpec),
    /// Creates or replaces a model.
    Model(ModelSpec),
    /// Creates or replaces a version of a model.
    Version(VersionSpec),
    /// Creates or replaces a cascade.
    Cascade(CascadeSpec),
    /// Starts a roll-out.
    Rollout(RolloutSpec),
    /// Creates or replaces a plain service.
    Service(ServiceSpec),
    /// Says which versions an endpoint's engine is to have loaded.
    Placement(PlacementSpec),
    /// Withdraws a version.
    Withdraw {
        /// Model of the version.
        model: String,
        /// Version to withdraw.
        version: String,
        /// What happens to sessions under way.
        mode: WithdrawMode,
    },
    /// Lets a withdrawn version serve again.
    Reinstate {
        /// Model of the version.
        model: String,
        /// Version to reinstate.
        version: String,
    },
    /// Moves a roll-out on, or stops it.
    RolloutControl {
        /// Model whose roll-out is meant.
        model: String,
        /// What to do.
        action: RolloutAction,
        /// Why, for the audit trail.
        reason: String,
    },
    /// Deletes an object.
    Delete(ObjectKey),
}

impl Change {
    /// The object that the change is about.
    pub fn object_key(&self) -> ObjectKey {
        match self {
            Change::Team(spec) => ObjectKey::Team(spec.name.clone()),
            Change::Model(spec) => ObjectKey::Model(spec.name.clone()),
            Change::Version(spec) => {
                ObjectKey::Version(spec.model.clone(), spec.version.clone())
            }
            Change::Cascade(spec) => ObjectKey::Cascade(spec.name.clone()),
            Change::Rollout(spec) => ObjectKey::Rollout(spec.model.clone()),
            Change::Service(spec) => ObjectKey::Service(spec.name.clone()),
            Change::Placement(spec) => ObjectKey::Placement(spec.endpoint.clone()),
            Change::Withdraw { model, version, .. }
            | Change::Reinstate { model, version } => {
                ObjectKey::Version(model.clone(), version.clone())
            }
            Change::RolloutControl { model, .. } => ObjectKey::Rollout(model.clone()),
            Change::Delete(key) => key.clone(),
        }
    }
}

/// Kind and name of an object.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKey {
    /// A team, by name.
    Team(String),
    /// A model, by name.
    Model(String),
    /// A version, by model and version.
    Version(String, String),
    /// A cascade, by name.
    Cascade(String),
    /// A roll-out, by model.
    Rollout(String),
    /// A plain service, by name.
    Service(String),
    /// A placement, by endpoint.
    Placement(String),
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectKey::Team(name) => write!(f, "team/{name}"),
            ObjectKey::Model(name) => write!(f, "model/{name}"),
            ObjectKey::Version(model, version) => {
                write!(f, "version/{model}@{version}")
            }
            ObjectKey::Cascade(name) => write!(f, "cascade/{name}"),
            ObjectKey::Rollout(model) => write!(f, "rollout/{model}"),
            ObjectKey::Service(name) => write!(f, "service/{name}"),
            ObjectKey::Placement(endpoint) => write!(f, "placement/{endpoint}"),
        }
    }
}

/// A team and what it may do.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: String,
    /// SHA-256 digests of its bearer tokens, in hex.
    pub token_digests: Vec<String>,
    /// `model` or `model@version` names that the team may use.
    pub allowed: Vec<String>,
    /// Plain services that the team may call.
    pub services: Vec<String>,
    /// Requests at once over all entries; 0 for no bound.
    pub max_concurrent: u32,
    /// Output tokens a minute over all entries; 0 for no bound.
    pub tokens_per_minute: u64,
    /// Share under contention, relative to other teams'.
    pub weight: u32,
}

/// A model and the version that new sessions get outside roll-outs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: String,
    /// Serving version; empty until one exists.
    pub serving: String,
}

/// A version of a model.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct VersionSpec {
    /// Model of the version.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Price, in millionths of a euro a 1,000 tokens.
    pub cost_micros_per_ktoken: u64,
    /// Expected rating of its answers, 0 to 1.
    pub quality: f64,
}

/// A plain service beside the engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Whether its calls may be repeated.
    pub idempotent: bool,
    /// Price of a call, in millionths of a euro.
    pub cost_micros: u64,
}

/// What an endpoint's engine is to have loaded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlacementSpec {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Versions, as `model@version`.
    pub versions: Vec<String>,
}

/// Models tried in order, cheaper before dearer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CascadeSpec {
    /// Name that callers give in place of a model.
    pub name: String,
    /// Steps, cheapest first.
    pub steps: Vec<CascadeStep>,
}

/// One step of a cascade.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CascadeStep {
    /// Model of the step.
    pub model: String,
    /// Least rating with which its answer is returned; unused in the last step.
    pub pass_rating: f64,
}

/// How a roll-out moves from step to step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Gate {
    /// By time alone.
    Fixed,
    /// By time, and only while a sequential test finds nothing worse.
    #[default]
    Sequential,
}

/// A plan to move a model's new sessions to another version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutSpec {
    /// Model that is rolled out.
    pub model: String,
    /// Version that it moves to.
    pub to: String,
    /// Share of new sessions at each step, percent, rising.
    pub percents: Vec<u32>,
    /// How steps are passed.
    pub gate: Gate,
    /// Least time a step lasts, ms.
    pub step_ms: u64,
}

/// What happens to sessions on a withdrawn version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawMode {
    /// The version gets no more work at all; its sessions are refused.
    #[default]
    Now,
    /// New sessions go elsewhere; sessions under way may finish.
    LetSessionsFinish,
}

/// What an operator or the gate does to a roll-out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutAction {
    /// Goes to the next step, or to the end after the last.
    Advance,
    /// Stays at the step until resumed.
    Pause,
    /// Goes on after a pause or a halt.
    Resume,
    /// Sends new sessions back to the serving version, by the gate's finding.
    Halt,
    /// Ends the roll-out; new sessions get the serving version.
    Abort,
}
