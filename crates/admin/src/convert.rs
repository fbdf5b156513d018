//! Conversions between protobuf messages and configuration changes.

use config::{
    CascadeSpec, CascadeStep, Change, Gate, ModelSpec, ObjectKey, PlacementSpec,
    RolloutAction, RolloutSpec, ServiceSpec, TeamSpec, VersionSpec, WithdrawMode,
};
use displaydoc::Display;

use crate::{
    Cascade, Delete, Model, Placement, Reinstate, Rollout, RolloutControl, Service,
    Step, Team, Version, Withdraw, apply_request,
};

/// Error of converting a message to a change.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConvertError {
    /// {0:?} is not a rollout gate; use fixed or sequential
    Gate(String),
    /// {0:?} is not a rollout action; use advance, pause, resume or abort
    Action(String),
    /// {0:?} is not a kind of object; use team, model, version, cascade, rollout, service or placement
    Kind(String),
    /// {0:?} is not a version name; use the form model@version
    VersionName(String),
    /// the request contains no change; set exactly one
    Empty,
}

impl std::error::Error for ConvertError {}

fn to_strings(list: &[pilota::FastStr]) -> Vec<String> {
    list.iter().map(ToString::to_string).collect()
}

fn to_fast_strs(list: &[String]) -> Vec<pilota::FastStr> {
    list.iter().map(|text| text.clone().into()).collect()
}

/// Converts a protobuf message to a change.
///
/// # Errors
///
/// Fails if a gate, an action, a kind of object or a version name is invalid.
pub fn change_from_proto(
    change: &apply_request::Change,
) -> Result<Change, ConvertError> {
    use apply_request::Change as Proto;
    Ok(match change {
        Proto::Team(team) => Change::Team(TeamSpec {
            name: team.name.to_string(),
            token_digests: to_strings(&team.token_digests),
            allowed: to_strings(&team.allowed),
            services: to_strings(&team.services),
            max_concurrent: team.max_concurrent,
            tokens_per_minute: team.tokens_per_minute,
            weight: team.weight,
        }),
        Proto::Model(model) => Change::Model(ModelSpec {
            name: model.name.to_string(),
            serving: model.serving.to_string(),
        }),
        Proto::Version(version) => Change::Version(VersionSpec {
            model: version.model.to_string(),
            version: version.version.to_string(),
            cost_micros_per_ktoken: version.cost_micros_per_ktoken,
            quality: version.quality,
        }),
        Proto::Cascade(cascade) => Change::Cascade(CascadeSpec {
            name: cascade.name.to_string(),
            steps: cascade.steps.iter().map(step_from_proto).collect(),
        }),
        Proto::Rollout(rollout) => Change::Rollout(RolloutSpec {
            model: rollout.model.to_string(),
            to: rollout.to.to_string(),
            percents: rollout.percents.clone(),
            gate: parse_gate(&rollout.gate)?,
            step_ms: rollout.step_ms,
        }),
        Proto::Service(service) => Change::Service(ServiceSpec {
            name: service.name.to_string(),
            idempotent: service.idempotent,
            cost_micros: service.cost_micros,
        }),
        Proto::Placement(placement) => Change::Placement(PlacementSpec {
            endpoint: placement.endpoint.to_string(),
            versions: to_strings(&placement.versions),
        }),
        Proto::Withdraw(withdraw) => Change::Withdraw {
            model: withdraw.model.to_string(),
            version: withdraw.version.to_string(),
            mode: if withdraw.let_sessions_finish {
                WithdrawMode::LetSessionsFinish
            } else {
                WithdrawMode::Now
            },
        },
        Proto::Reinstate(reinstate) => Change::Reinstate {
            model: reinstate.model.to_string(),
            version: reinstate.version.to_string(),
        },
        Proto::RolloutControl(control) => Change::RolloutControl {
            model: control.model.to_string(),
            action: parse_action(&control.action)?,
            reason: control.reason.to_string(),
        },
        Proto::Delete(delete) => {
            Change::Delete(parse_object_key(&delete.kind, &delete.name)?)
        }
    })
}

fn step_from_proto(step: &Step) -> CascadeStep {
    CascadeStep {
        model: step.model.to_string(),
        pass_rating: step.pass_rating,
    }
}

fn parse_gate(gate: &str) -> Result<Gate, ConvertError> {
    match gate {
        "fixed" => Ok(Gate::Fixed),
        "sequential" | "" => Ok(Gate::Sequential),
        other => Err(ConvertError::Gate(other.to_owned())),
    }
}

fn parse_action(action: &str) -> Result<RolloutAction, ConvertError> {
    match action {
        "advance" => Ok(RolloutAction::Advance),
        "pause" => Ok(RolloutAction::Pause),
        "resume" => Ok(RolloutAction::Resume),
        "abort" => Ok(RolloutAction::Abort),
        other => Err(ConvertError::Action(other.to_owned())),
    }
}

fn parse_object_key(kind: &str, name: &str) -> Result<ObjectKey, ConvertError> {
    Ok(match kind {
        "team" => ObjectKey::Team(name.to_owned()),
        "model" => ObjectKey::Model(name.to_owned()),
        "cascade" => ObjectKey::Cascade(name.to_owned()),
        "rollout" => ObjectKey::Rollout(name.to_owned()),
        "service" => ObjectKey::Service(name.to_owned()),
        "placement" => ObjectKey::Placement(name.to_owned()),
        "version" => {
            let (model, version) = name
                .split_once('@')
                .ok_or_else(|| ConvertError::VersionName(name.to_owned()))?;
            ObjectKey::Version(model.to_owned(), version.to_owned())
        }
        other => return Err(ConvertError::Kind(other.to_owned())),
    })
}

/// Converts a change to a protobuf message.
pub fn change_to_proto(change: &Change) -> apply_request::Change {
    use apply_request::Change as Proto;
    match change {
        Change::Team(spec) => Proto::Team(Team {
            name: spec.name.clone().into(),
            token_digests: to_fast_strs(&spec.token_digests),
            allowed: to_fast_strs(&spec.allowed),
            services: to_fast_strs(&spec.services),
            max_concurrent: spec.max_concurrent,
            tokens_per_minute: spec.tokens_per_minute,
            weight: spec.weight,
        }),
        Change::Model(spec) => Proto::Model(Model {
            name: spec.name.clone().into(),
            serving: spec.serving.clone().into(),
        }),
        Change::Version(spec) => Proto::Version(Version {
            model: spec.model.clone().into(),
            version: spec.version.clone().into(),
            cost_micros_per_ktoken: spec.cost_micros_per_ktoken,
            quality: spec.quality,
            ..Version::default()
        }),
        Change::Cascade(spec) => Proto::Cascade(Cascade {
            name: spec.name.clone().into(),
            steps: spec
                .steps
                .iter()
                .map(|step| Step {
                    model: step.model.clone().into(),
                    pass_rating: step.pass_rating,
                })
                .collect(),
        }),
        Change::Rollout(spec) => Proto::Rollout(Rollout {
            model: spec.model.clone().into(),
            to: spec.to.clone().into(),
            percents: spec.percents.clone(),
            gate: if spec.gate == Gate::Fixed {
                "fixed".into()
            } else {
                "sequential".into()
            },
            step_ms: spec.step_ms,
            ..Rollout::default()
        }),
        Change::Service(spec) => Proto::Service(Service {
            name: spec.name.clone().into(),
            idempotent: spec.idempotent,
            cost_micros: spec.cost_micros,
        }),
        Change::Placement(spec) => Proto::Placement(Placement {
            endpoint: spec.endpoint.clone().into(),
            versions: to_fast_strs(&spec.versions),
        }),
        Change::Withdraw {
            model,
            version,
            mode,
        } => Proto::Withdraw(Withdraw {
            model: model.clone().into(),
            version: version.clone().into(),
            let_sessions_finish: *mode == WithdrawMode::LetSessionsFinish,
        }),
        Change::Reinstate { model, version } => Proto::Reinstate(Reinstate {
            model: model.clone().into(),
            version: version.clone().into(),
        }),
        Change::RolloutControl {
            model,
            action,
            reason,
        } => Proto::RolloutControl(RolloutControl {
            model: model.clone().into(),
            action: action_name(*action).into(),
            reason: reason.clone().into(),
        }),
        Change::Delete(key) => {
            let (kind, name) = object_kind_and_name(key);
            Proto::Delete(Delete {
                kind: kind.into(),
                name: name.into(),
            })
        }
    }
}

fn action_name(action: RolloutAction) -> &'static str {
    match action {
        RolloutAction::Advance => "advance",
        RolloutAction::Pause => "pause",
        RolloutAction::Resume => "resume",
        RolloutAction::Halt => "halt",
        RolloutAction::Abort => "abort",
    }
}

fn object_kind_and_name(key: &ObjectKey) -> (&'static str, String) {
    match key {
        ObjectKey::Team(name) => ("team", name.clone()),
        ObjectKey::Model(name) => ("model", name.clone()),
        ObjectKey::Version(model, version) => ("version", format!("{model}@{version}")),
        ObjectKey::Cascade(name) => ("cascade", name.clone()),
        ObjectKey::Rollout(model) => ("rollout", model.clone()),
        ObjectKey::Service(name) => ("service", name.clone()),
        ObjectKey::Placement(endpoint) => ("placement", endpoint.clone()),
    }
}
