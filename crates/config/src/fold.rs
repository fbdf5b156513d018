//! The fold of configuration records, in offset order.

use std::collections::{BTreeMap, HashMap, VecDeque};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    AuditEntry, CascadeSpec, Change, ChangeRecord, Entity, ModelSpec, NameError,
    ObjectKey, PlacementSpec, RECORD_VERSION, Rollout, RolloutAction, RolloutSpec,
    RolloutState, ServiceSpec, TeamSpec, Version, VersionSpec, VersionState,
    WithdrawMode, check_name,
};

/// Entries of the audit trail that the fold keeps; older ones stay on the log.
const AUDIT_KEPT: usize = 2_000;

/// Change ids that the fold remembers; at 4,900 changes a day, two days' worth.
const CHANGE_IDS_KEPT: usize = 10_000;

/// What the fold made of one record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The change holds; the object now has this revision.
    Accepted {
        /// Revision of the object.
        revision: u64,
    },
    /// A change with this id was folded before; it had this verdict.
    Repeat(Box<Verdict>),
    /// The change does not hold.
    Refused(ChangeError),
    /// The record is part of a snapshot, which changes nothing.
    Snapshot,
    /// The record is cut short or not a record; every fold skips it alike.
    Skipped,
    /// The record is from a newer build; the fold stops before it.
    Newer,
}

/// Why a change does not hold.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
pub enum ChangeError {
    /// {object} is at revision {actual}, not {expected}, since {who} changed it at {at_ms} ms; list it and send the change again with its present revision
    Stale {
        /// Object in question.
        object: String,
        /// Revision the operator expected.
        expected: u64,
        /// Revision it has.
        actual: u64,
        /// Who changed it last.
        who: String,
        /// When, ms since 1970.
        at_ms: u64,
    },
    /// {0} does not exist; create it first
    Missing(String),
    /// {0} is still used by {1}; change that first
    InUse(String, String),
    /// {0}
    Invalid(String),
}

impl std::error::Error for ChangeError {}

impl From<NameError> for ChangeError {
    fn from(err: NameError) -> Self {
        ChangeError::Invalid(err.to_string())
    }
}

/// Verdict of a change id that was folded before.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Known {
    change_id: String,
    refused: Option<ChangeError>,
    revision: u64,
}

/// The newest change ids, findable without a walk: a day brings thousands.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "VecDeque<Known>", into = "VecDeque<Known>")]
struct KnownChanges {
    order: VecDeque<Known>,
    /// Serial of an id's entry; the first entry in `order` has `first`.
    serials: HashMap<String, u64>,
    first: u64,
}

impl KnownChanges {
    fn push(&mut self, known: Known) {
        let serial = self.first + self.order.len() as u64;
        self.serials.insert(known.change_id.clone(), serial);
        self.order.push_back(known);
        if self.order.len() > CHANGE_IDS_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.serials.remove(&oldest.change_id);
            self.first += 1;
        }
    }

    fn get(&self, change_id: &str) -> Option<&Known> {
        let serial = self.serials.get(change_id)?;
        self.order.get((serial - self.first) as usize)
    }
}

impl From<VecDeque<Known>> for KnownChanges {
    fn from(order: VecDeque<Known>) -> Self {
        let serials = order.iter().enumerate();
        let serials = serials
            .map(|(at, known)| (known.change_id.clone(), at as u64))
            .collect();
        KnownChanges {
            order,
            serials,
            first: 0,
        }
    }
}

impl From<KnownChanges> for VecDeque<Known> {
    fn from(known: KnownChanges) -> Self {
        known.order
    }
}

/// The configuration in force at an offset.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    /// Next offset to fold.
    pub offset: u64,
    /// Teams by name.
    pub teams: BTreeMap<String, Entity<TeamSpec>>,
    /// Models by name.
    pub models: BTreeMap<String, Entity<ModelSpec>>,
    /// Versions by model, then version.
    pub versions: BTreeMap<String, BTreeMap<String, Entity<Version>>>,
    /// Cascades by name.
    pub cascades: BTreeMap<String, Entity<CascadeSpec>>,
    /// Roll-outs by model.
    pub rollouts: BTreeMap<String, Entity<Rollout>>,
    /// Plain services by name.
    pub services: BTreeMap<String, Entity<ServiceSpec>>,
    /// Placements by endpoint.
    #[serde(default)]
    pub placements: BTreeMap<String, Entity<PlacementSpec>>,
    audit: VecDeque<AuditEntry>,
    known: KnownChanges,
    /// Offset of a record from a newer build, at which the fold stopped.
    pub blocked_at: Option<u64>,
    /// Records that were skipped because they were cut short.
    pub skipped: u64,
}

impl Config {
    /// Folds the record at `offset`.
    ///
    /// Records must come in offset order.  One that was folded already is
    /// passed over, so that an overlapping read does no harm.
    pub fn apply(&mut self, offset: u64, body: &str) -> Verdict {
        if offset < self.offset || self.blocked_at.is_some() {
            return Verdict::Skipped;
        }
        let verdict = self.judge(offset, body);
        if verdict == Verdict::Newer {
            self.blocked_at = Some(offset);
            return verdict;
        }
        if verdict == Verdict::Skipped {
            self.skipped += 1;
        }
        self.offset = offset + 1;
        verdict
    }

    fn judge(&mut self, offset: u64, body: &str) -> Verdict {
        let Ok(value) = serde_json::from_str::<serde_json::Value>(body) else {
            return Verdict::Skipped;
        };
        let version = value.get("v").and_then(serde_json::Value::as_u64);
        if version.is_none_or(|v| v == 0) {
            return Verdict::Skipped;
        }
        if version.is_some_and(|v| v > u64::from(RECORD_VERSION)) {
            return Verdict::Newer;
        }
        if value.get("snapshot").is_some() {
            return Verdict::Snapshot;
        }
        match serde_json::from_value::<ChangeRecord>(value) {
            Ok(record) => self.judge_change(offset, record),
            Err(_) => Verdict::Skipped,
        }
    }

    fn judge_change(&mut self, offset: u64, record: ChangeRecord) -> Verdict {
        if let Some(earlier) = self.verdict_of(&record.change_id) {
            return Verdict::Repeat(Box::new(earlier));
        }
        let object = record.change.object();
        let side = side_object(&record.change);
        let before = self.describe(&object);
        let side_before = side.as_ref().map(|side| self.describe(side));
        let revision = offset + 1;
        let refused = self.change(&record, revision).err();
        let after = self.describe(&object);
        let side_after = side.as_ref().map(|side| self.describe(side));
        self.known.push(Known {
            change_id: record.change_id.clone(),
            refused: refused.clone(),
            revision,
        });
        let entry = AuditEntry {
            offset,
            at_ms: record.at_ms,
            who: record.who,
            change_id: record.change_id,
            object: object.to_string(),
            verdict: refused
                .as_ref()
                .map_or("accepted".into(), ToString::to_string),
            before,
            after,
        };
        if let Some(side) = side
            && side_before != side_after
        {
            self.note(AuditEntry {
                object: side.to_string(),
                before: side_before.unwrap_or_default(),
                after: side_after.unwrap_or_default(),
                ..entry.clone()
            });
        }
        self.note(entry);
        match refused {
            Some(err) => Verdict::Refused(err),
            None => Verdict::Accepted { revision },
        }
    }

    fn note(&mut self, entry: AuditEntry) {
        self.audit.push_back(entry);
        if self.audit.len() > AUDIT_KEPT {
            self.audit.pop_front();
        }
    }

    /// The verdict on a change that was folded, if its id is still known.
    pub fn verdict_of(&self, change_id: &str) -> Option<Verdict> {
        let known = self.known.get(change_id)?;
        Some(match &known.refused {
            Some(err) => Verdict::Refused(err.clone()),
            None => Verdict::Accepted {
                revision: known.revision,
            },
        })
    }

    /// The kept part of the audit trail, oldest first.
    pub fn audit(&self) -> Vec<AuditEntry> {
        self.audit.iter().cloned().collect()
    }

    /// Revision of an object, 0 if there is none.
    pub fn revision(&self, object: &ObjectKey) -> u64 {
        match object {
            ObjectKey::Team(name) => revision(self.teams.get(name)),
            ObjectKey::Model(name) => revision(self.models.get(name)),
            ObjectKey::Version(model, version) => {
                revision(self.version(model, version))
            }
            ObjectKey::Cascade(name) => revision(self.cascades.get(name)),
            ObjectKey::Rollout(model) => revision(self.rollouts.get(model)),
            ObjectKey::Service(name) => revision(self.services.get(name)),
            ObjectKey::Placement(name) => revision(self.placements.get(name)),
        }
    }

    fn describe(&self, object: &ObjectKey) -> String {
        match object {
            ObjectKey::Team(name) => json(self.teams.get(name)),
            ObjectKey::Model(name) => json(self.models.get(name)),
            ObjectKey::Version(model, version) => json(self.version(model, version)),
            ObjectKey::Cascade(name) => json(self.cascades.get(name)),
            ObjectKey::Rollout(model) => json(self.rollouts.get(model)),
            ObjectKey::Service(name) => json(self.services.get(name)),
            ObjectKey::Placement(name) => json(self.placements.get(name)),
        }
    }

    /// A version of a model.
    pub fn version(&self, model: &str, version: &str) -> Option<&Entity<Version>> {
        self.versions.get(model)?.get(version)
    }

    /// State of a version, if it exists.
    pub fn version_state(&self, model: &str, version: &str) -> Option<VersionState> {
        self.version(model, version)
            .map(|entity| entity.value.state)
    }

    /// Whether a team may use a version.
    pub fn permits(&self, team: &str, model: &str, version: &str) -> bool {
        let Some(team) = self.teams.get(team) else {
            return false;
        };
        team.value
            .allowed
            .iter()
            .any(|allowed| match allowed.split_once('@') {
                Some((m, v)) => m == model && v == version,
                None => allowed == model,
            })
    }

    /// Whether a team may call a plain service.
    pub fn permits_service(&self, team: &str, service: &str) -> bool {
        let team = self.teams.get(team);
        team.is_some_and(|team| team.value.services.iter().any(|name| name == service))
    }

    /// Digest of all that the fold decided, for comparing instances.
    pub fn digest(&self) -> String {
        let state = serde_json::to_vec(self).expect("a configuration always encodes");
        hex::encode(Sha256::digest(state))
    }

    fn change(
        &mut self,
        record: &ChangeRecord,
        revision: u64,
    ) -> Result<(), ChangeError> {
        let object = record.change.object();
        self.check_revision(&object, record.expected_revision)?;
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
                let entity = self.version_mut(model, version)?;
                entity.value.state = VersionState::Serving;
                entity.revision = revision;
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
        object: &ObjectKey,
        expected: u64,
    ) -> Result<(), ChangeError> {
        let actual = self.revision(object);
        if actual == expected {
            return Ok(());
        }
        let name = object.to_string();
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
            self.check_serves(&spec.name, &spec.serving)?;
        }
        put(&mut self.models, &spec.name, spec.clone(), revision);
        Ok(())
    }

    fn check_serves(&self, model: &str, version: &str) -> Result<(), ChangeError> {
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
        // A change of price must not reinstate a withdrawn version.
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
            let known = name
                .split_once('@')
                .is_some_and(|(model, version)| self.version(model, version).is_some());
            if !known {
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
        self.check_serves(&spec.model, &spec.to)?;
        let open = self
            .rollouts
            .get(&spec.model)
            .is_some_and(|r| r.value.is_open());
        if open {
            return Err(ChangeError::InUse(
                format!("rollout/{}", spec.model),
                "a roll-out under way; abort it or let it finish".into(),
            ));
        }
        let rising = spec.percents.windows(2).all(|pair| pair[0] <= pair[1]);
        let in_range = spec
            .percents
            .iter()
            .all(|percent| (1..=100).contains(percent));
        if spec.percents.is_empty() || !rising || !in_range {
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
        let entity = self.version_mut(model, version)?;
        entity.value.state = match mode {
            WithdrawMode::Now => VersionState::Withdrawn,
            WithdrawMode::LetSessionsFinish => VersionState::Retiring,
        };
        entity.revision = revision;
        self.halt_rollout_to(model, version, revision);
        Ok(())
    }

    /// A withdrawal beats a roll-out to the same version: the new revision
    /// makes a step that raced with it stale.
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
        let next = next_state(state, action, last_step).ok_or_else(|| {
            ChangeError::Invalid(format!(
                "{key} is {state:?}, which {action:?} cannot change"
            ))
        })?;
        if matches!(action, RolloutAction::Advance | RolloutAction::Resume) {
            self.check_serves(model, &to)?;
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
                let serves = self
                    .models
                    .get(model)
                    .is_some_and(|m| m.value.serving == *version);
                if serves {
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
    ) -> Result<&mut Entity<Version>, ChangeError> {
        let entity = self
            .versions
            .get_mut(model)
            .and_then(|all| all.get_mut(version));
        entity.ok_or_else(|| ChangeError::Missing(format!("version/{model}@{version}")))
    }
}

/// Another object that a change may touch, for the audit trail: a withdrawal
/// halts a roll-out, and the last step of one changes the serving version.
fn side_object(change: &Change) -> Option<ObjectKey> {
    match change {
        Change::Withdraw { model, .. } => Some(ObjectKey::Rollout(model.clone())),
        Change::RolloutControl { model, .. } => Some(ObjectKey::Model(model.clone())),
        _ => None,
    }
}

fn next_state(
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
    table: &mut BTreeMap<String, Entity<T>>,
    name: &str,
    value: T,
    revision: u64,
) {
    table.insert(name.to_owned(), Entity { revision, value });
}

fn revision<T>(entity: Option<&Entity<T>>) -> u64 {
    entity.map_or(0, |entity| entity.revision)
}

fn json<T>(entity: Option<&Entity<T>>) -> String
where
    T: Serialize,
{
    entity.map_or(String::new(), |entity| {
        serde_json::to_string(&entity.value).expect("an entity always encodes")
    })
}
