//! Records of the configuration stream, in the form stored on the log.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version of the record format that this build writes, and the newest it reads.
pub const RECORD_VERSION: u32 = 1;

/// One change requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Version of the record format, see [`RECORD_VERSION`].
    pub v: u32,
    /// Idempotency key chosen by the operator's client; a change whose id was
    /// already processed has no effect.
    pub change_id: String,
    /// Operator who requested the change.
    pub who: String,
    /// Wall-clock time at the instance that received the change, ms since the
    /// Unix epoch.
    pub at_ms: u64,
    /// Revision that the object must have; 0 if it must not exist.
    pub expected_revision: u64,
    /// The requested change.
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
    /// Encodes the record as one line of JSON.
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
    /// Starts a rollout.
    Rollout(RolloutSpec),
    /// Creates or replaces a non-inference service.
    Service(ServiceSpec),
    /// Sets the versions that an endpoint's engine must have loaded.
    Placement(PlacementSpec),
    /// Withdraws a version.
    Withdraw {
        /// Model of the version.
        model: String,
        /// Version to withdraw.
        version: String,
        /// How running sessions are handled.
        mode: WithdrawMode,
    },
    /// Makes a withdrawn version available again.
    Reinstate {
        /// Model of the version.
        model: String,
        /// Version to reinstate.
        version: String,
    },
    /// Advances, pauses, resumes or stops a rollout.
    RolloutControl {
        /// Model of the rollout.
        model: String,
        /// Action to perform.
        action: RolloutAction,
        /// Reason, for the audit trail.
        reason: String,
    },
    /// Deletes an object.
    Delete(ObjectKey),
}

impl Change {
    /// Returns the key of the object that the change applies to.
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
    /// A rollout, by model.
    Rollout(String),
    /// A non-inference service, by name.
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

/// A team with its permissions and limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: String,
    /// SHA-256 digests of its bearer tokens, in hex.
    pub token_digests: Vec<String>,
    /// Models and versions that the team may use, as `model` or `model@version`.
    pub allowed: Vec<String>,
    /// Non-inference services that the team may call.
    pub services: Vec<String>,
    /// Maximum number of concurrent requests across all entries; 0 for no limit.
    pub max_concurrent: u32,
    /// Maximum output tokens per minute across all entries; 0 for no limit.
    pub tokens_per_minute: u64,
    /// Weight of the team's share of contended capacity, relative to other teams.
    pub weight: u32,
}

/// A model and the version that new sessions get outside rollouts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: String,
    /// Serving version; empty if there is none yet.
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
    /// Price per 1,000 tokens, in millionths of a euro.
    pub cost_micros_per_ktoken: u64,
    /// Expected rating of the version's answers, from 0 to 1.
    pub quality: f64,
}

/// A service that is not an inference engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Whether calls can be retried safely.
    pub idempotent: bool,
    /// Price per call, in millionths of a euro.
    pub cost_micros: u64,
}

/// Versions that an endpoint's engine must have loaded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlacementSpec {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Versions, as `model@version`.
    pub versions: Vec<String>,
}

/// Models tried in order of increasing price.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CascadeSpec {
    /// Name that callers use in place of a model.
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
    /// Minimum rating at which the step's answer is returned; unused in the last
    /// step, whose answer is always returned.
    pub pass_rating: f64,
}

/// Condition for advancing a rollout to the next step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Gate {
    /// The step's duration has passed.
    Fixed,
    /// The step's duration has passed, and a sequential test does not find the
    /// new version worse.
    #[default]
    Sequential,
}

/// Gradual move of a model's new sessions to another version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutSpec {
    /// Name of the model.
    pub model: String,
    /// Version to move to.
    pub to: String,
    /// Share of new sessions at each step, in percent; must not decrease.
    pub percents: Vec<u32>,
    /// Condition for advancing to the next step.
    pub gate: Gate,
    /// Minimum duration of a step, ms.
    pub step_ms: u64,
}

/// How sessions on a withdrawn version are handled.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawMode {
    /// The version gets no more requests; its sessions are rejected.
    #[default]
    Now,
    /// New sessions get another version; running sessions may finish.
    LetSessionsFinish,
}

/// Action on a rollout, by an operator or the gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutAction {
    /// Advances to the next step, or completes the rollout after the last one.
    Advance,
    /// Keeps the current share until resumed.
    Pause,
    /// Continues after a pause or a halt.
    Resume,
    /// Returns new sessions to the serving version, because the gate found the
    /// new version worse.
    Halt,
    /// Ends the rollout; new sessions get the serving version.
    Abort,
}
