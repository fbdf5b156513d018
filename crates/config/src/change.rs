//! Effect of each kind of change on the configuration's tables.

use std::collections::BTreeMap;

use crate::{
    CascadeSpec, Change, ChangeError, ChangeRecord, Config, ModelSpec, Object,
    ObjectKey, PlacementSpec, Rollout, RolloutAction, RolloutSpec, RolloutState,
    TeamSpec, Version, VersionSpec, VersionState, WithdrawMode, check_name,
};

impl Config {
    /// Executes one change; on an error nothing is changed.
    pub(crate) fn execute_change(
        &mut self,
        record: &ChangeRecord,
        revision: u64,
    ) -> Result<(), ChangeError> {
        let key = record.change.object_key();
        self.check_revision(&key, record.expected_revision)?;
        match &record.change {
            Change::Team(spec) => self.put_team(spec, revision),
            Change::Model(spec) => self.put_model(spec, revision),
            Change::Version(spec) => self.put_version(spec, revision),
            Change::Cascade(spec) => self.put_cascade(spec, revision),
            Change::Service(spec) => {
                check_name("service", &spec.name)?;
                put(&mut self.services, &spec.name, spec.clone(), revision);
                Ok(())
            }
            Change::Placement(spec) => self.put_placement(spec, revision),
            Change::Rollout(spec) => self.start_rollout(spec, record.at_ms, revision),
            Change::Withdraw {
                model,
                version,
                mode,
            } => self.withdraw(model, version, *mode, revision),
            Change::Reinstate { model, version } => {
                let object = self.version_mut(model, version)?;
                object.value.state = VersionState::Serving;
                object.revision = revision;
                Ok(())
            }
            Change::RolloutControl {
                model,
                action,
                reason,
            } => self.control_rollout(model, *action, reason, record.at_ms, revision),
            Change::Delete(key) => self.delete(key),
        }
    }

    fn check_revision(
        &self,
        key: &ObjectKey,
        expected: u64,
    ) -> Result<(), ChangeError> {
        let actual = self.revision(key);
        if actual == expected {
            return Ok(());
        }
        let name = key.to_string();
        // The audit trail is bounded and may not reach back to the last change.
        let last = self.audit.iter().rev().find(|entry| {
            entry.object == name
                && entry.verdict == "accepted"
                && entry.offset + 1 == actual
        });
        Err(ChangeError::Stale {
            object: name,
            expected,
            actual,
            who: last.map_or("an earlier operator".into(), |entry| entry.who.clone()),
            at_ms: last.map_or(0, |entry| entry.at_ms),
        })
    }

    fn put_team(&mut self, spec: &TeamSpec, revision: u64) -> Result<(), ChangeError> {
        check_name("team", &spec.name)?;
        for digest in &spec.token_digests {
            let is_sha256 = hex::decode(digest).is_ok_and(|bytes| bytes.len() == 32);
            if !is_sha256 {
                return Err(ChangeError::Invalid(
                    "a token digest is not a SHA-256 in hex; run `currantbank ctl digest`"
                        .into(),
                ));
            }
        }
        put(&mut self.teams, &spec.name, spec.clone(), revision);
        Ok(())
    }

    fn put_model(
        &mut self,
        spec: &ModelSpec,
        revision: u64,
    ) -> Result<(), ChangeError> {
        check_name("model", &spec.name)?;
        if self.cascades.contains_key(&spec.name) {
            return Err(ChangeError::Invalid(format!(
                "a cascade is named {} already; choose another name",
                spec.name
            )));
        }
        if !spec.serving.is_empty() {
            self.check_serving(&spec.name, &spec.serving)?;
        }
        put(&mut self.models, &spec.name, spec.clone(), revision);
        Ok(())
    }

    fn check_serving(&self, model: &str, version: &str) -> Result<(), ChangeError> {
        match self.version_state(model, version) {
            None => Err(ChangeError::Missing(format!("version/{model}@{version}"))),
            Some(VersionState::Serving) => Ok(()),
            Some(_) => Err(ChangeError::Invalid(format!(
                "version/{model}@{version} is withdrawn; reinstate it or name another"
            ))),
        }
    }

    fn put_version(
        &mut self,
        spec: &VersionSpec,
        revision: u64,
    ) -> Result<(), ChangeError> {
        check_name("model", &spec.model)?;
        check_name("version", &spec.version)?;
        if !self.models.contains_key(&spec.model) {
            return Err(ChangeError::Missing(format!("model/{}", spec.model)));
        }
        if !(0.0..=1.0).contains(&spec.quality) {
            return Err(ChangeError::Invalid(
                "quality lies outside 0 to 1; correct it".into(),
            ));
        }
        // Updating the spec, such as its price, must not reinstate a withdrawn version.
        let state = self
            .version_state(&spec.model, &spec.version)
            .unwrap_or_default();
        let versions = self.versions.entry(spec.model.clone()).or_default();
        put(
            versions,
            &spec.version,
            Version {
                spec: spec.clone(),
                state,
            },
            revision,
        );
        Ok(())
    }

    fn put_cascade(
        &mut self,
        spec: &CascadeSpec,
        revision: u64,
    ) -> Result<(), ChangeError> {
        check_name("cascade", &spec.name)?;
        if spec.steps.is_empty() {
            return Err(ChangeError::Invalid(
                "the cascade has no steps; give one".into(),
            ));
        }
        if self.models.contains_key(&spec.name) {
            return Err(ChangeError::Invalid(format!(
                "a model is named {} already; choose another name",
                spec.name
            )));
        }
        for step in &spec.steps {
            if !self.models.contains_key(&step.model) {
                return Err(ChangeError::Missing(format!("model/{}", step.model)));
            }
        }
        put(&mut self.cascades, &spec.name, spec.clone(), revision);
        Ok(())
    }

    fn put_placement(
        &mut self,
        spec: &PlacementSpec,
        revision: u64,
    ) -> Result<(), ChangeError> {
        check_name("endpoint", &spec.endpoint)?;
        for name in &spec.versions {
            let exists = name
                .split_once('@')
                .is_some_and(|(model, version)| self.version(model, version).is_some());
            if !exists {
                return Err(ChangeError::Missing(format!("version/{name}")));
            }
        }
        put(&mut self.placements, &spec.endpoint, spec.clone(), revision);
        Ok(())
    }

    fn start_rollout(
        &mut self,
        spec: &RolloutSpec,
        at_ms: u64,
        revision: u64,
    ) -> Result<(), ChangeError> {
        let Some(model) = self.models.get(&spec.model) else {
            return Err(ChangeError::Missing(format!("model/{}", spec.model)));
        };
        if model.value.serving == spec.to {
            return Err(ChangeError::Invalid(format!(
                "{} serves already; name the version to move to",
                spec.to
            )));
        }
        self.check_serving(&spec.model, &spec.to)?;
        let is_open = self
            .rollouts
            .get(&spec.model)
            .is_some_and(|r| r.value.is_open());
        if is_open {
            return Err(ChangeError::InUse(
                format!("rollout/{}", spec.model),
                "a roll-out under way; abort it or let it finish".into(),
            ));
        }
        let ascending = spec.percents.windows(2).all(|pair| pair[0] <= pair[1]);
        let in_range = spec
            .percents
            .iter()
            .all(|percent| (1..=100).contains(percent));
        if spec.percents.is_empty() || !ascending || !in_range {
            return Err(ChangeError::Invalid(
                "the roll-out's shares must rise within 1 to 100 percent; correct them"
                    .into(),
            ));
        }
        let rollout = Rollout {
            spec: spec.clone(),
            step_at_ms: at_ms,
            ..Rollout::default()
        };
        put(&mut self.rollouts, &spec.model, rollout, revision);
        Ok(())
    }

    fn withdraw(
        &mut self,
        model: &str,
        version: &str,
        mode: WithdrawMode,
        revision: u64,
    ) -> Result<(), ChangeError> {
        let object = self.version_mut(model, version)?;
        object.value.state = match mode {
            WithdrawMode::Now => VersionState::Withdrawn,
            WithdrawMode::LetSessionsFinish => VersionState::Retiring,
        };
        object.revision = revision;
        self.halt_rollout_to(model, version, revision);
        Ok(())
    }

    /// Halts an open rollout to a version that is being withdrawn.
    ///
    /// The new revision makes a concurrent rollout step fail as stale, so the
    /// withdrawal takes precedence.
    fn halt_rollout_to(&mut self, model: &str, version: &str, revision: u64) {
        let Some(rollout) = self.rollouts.get_mut(model) else {
            return;
        };
        if rollout.value.is_open() && rollout.value.spec.to == version {
            rollout.value.state = RolloutState::Halted;
            rollout.value.reason = "the version was withdrawn".into();
            rollout.revision = revision;
        }
    }

    fn control_rollout(
        &mut self,
        model: &str,
        action: RolloutAction,
        reason: &str,
        at_ms: u64,
        revision: u64,
    ) -> Result<(), ChangeError> {
        let key = format!("rollout/{model}");
        let Some(rollout) = self.rollouts.get(model) else {
            return Err(ChangeError::Missing(key));
        };
        let state = rollout.value.state;
        let to = rollout.value.spec.to.clone();
        let last_step = rollout.value.step + 1 >= rollout.value.spec.percents.len();
        let next = next_rollout_state(state, action, last_step).ok_or_else(|| {
            ChangeError::Invalid(format!(
                "{key} is {state:?}, which {action:?} cannot change"
            ))
        })?;
        if matches!(action, RolloutAction::Advance | RolloutAction::Resume) {
            self.check_serving(model, &to)?;
        }
        let rollout = self.rollouts.get_mut(model).expect("looked up above");
        if matches!(action, RolloutAction::Advance) && !last_step {
            rollout.value.step += 1;
        }
        rollout.value.step_at_ms = at_ms;
        rollout.value.state = next;
        rollout.value.reason = reason.to_owned();
        rollout.revision = revision;
        if next == RolloutState::Done {
            let serving = ModelSpec {
                name: model.to_owned(),
                serving: to,
            };
            put(&mut self.models, model, serving, revision);
        }
        Ok(())
    }

    fn delete(&mut self, key: &ObjectKey) -> Result<(), ChangeError> {
        if self.revision(key) == 0 {
            return Err(ChangeError::Missing(key.to_string()));
        }
        match key {
            ObjectKey::Team(name) => {
                self.teams.remove(name);
            }
            ObjectKey::Service(name) => {
                self.services.remove(name);
            }
            ObjectKey::Placement(endpoint) => {
                self.placements.remove(endpoint);
            }
            ObjectKey::Cascade(name) => {
                self.cascades.remove(name);
            }
            ObjectKey::Rollout(model) => {
                if self.rollouts.get(model).is_some_and(|r| r.value.is_open()) {
                    return Err(ChangeError::InUse(
                        key.to_string(),
                        "itself; abort it".into(),
                    ));
                }
                self.rollouts.remove(model);
            }
            ObjectKey::Model(name) => {
                if self
                    .versions
                    .get(name)
                    .is_some_and(|versions| !versions.is_empty())
                {
                    return Err(ChangeError::InUse(
                        key.to_string(),
                        "its versions".into(),
                    ));
                }
                self.models.remove(name);
            }
            ObjectKey::Version(model, version) => {
                let is_serving = self
                    .models
                    .get(model)
                    .is_some_and(|m| m.value.serving == *version);
                if is_serving {
                    return Err(ChangeError::InUse(
                        key.to_string(),
                        format!("model/{model}"),
                    ));
                }
                if let Some(versions) = self.versions.get_mut(model) {
                    versions.remove(version);
                }
            }
        }
        Ok(())
    }

    fn version_mut(
        &mut self,
        model: &str,
        version: &str,
    ) -> Result<&mut Object<Version>, ChangeError> {
        let object = self
            .versions
            .get_mut(model)
            .and_then(|all| all.get_mut(version));
        object.ok_or_else(|| ChangeError::Missing(format!("version/{model}@{version}")))
    }
}

/// Returns a second object that a change may modify, for the audit trail.
///
/// A withdrawal may halt a rollout, and the last step of a rollout changes the
/// model's serving version.
pub(crate) fn affected_object(change: &Change) -> Option<ObjectKey> {
    match change {
        Change::Withdraw { model, .. } => Some(ObjectKey::Rollout(model.clone())),
        Change::RolloutControl { model, .. } => Some(ObjectKey::Model(model.clone())),
        _ => None,
    }
}

/// Returns the state after an action, or `None` if the action is not allowed.
fn next_rollout_state(
    state: RolloutState,
    action: RolloutAction,
    last_step: bool,
) -> Option<RolloutState> {
    use RolloutState::{Aborted, Done, Halted, Paused, Running};
    match (state, action) {
        (Running, RolloutAction::Advance) if last_step => Some(Done),
        (Running, RolloutAction::Advance) => Some(Running),
        (Running, RolloutAction::Pause) => Some(Paused),
        (Paused | Halted, RolloutAction::Resume) => Some(Running),
        (Running | Paused, RolloutAction::Halt) => Some(Halted),
        (Running | Paused | Halted, RolloutAction::Abort) => Some(Aborted),
        _ => None,
    }
}

fn put<T>(
    table: &mut BTreeMap<String, Object<T>>,
    name: &str,
    value: T,
    revision: u64,
) {
    table.insert(name.to_owned(), Object { revision, value });
}
