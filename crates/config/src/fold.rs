//! The fold of configuration records, in offset order.

use std::collections::{BTreeMap, VecDeque};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    AuditEntry, CascadeSpec, ChangeRecord, ModelSpec, NameError, Object, ObjectKey,
    PlacementSpec, RECORD_VERSION, Rollout, ServiceSpec, TeamSpec, Version,
    VersionState,
    change::side_object,
    known::{Known, KnownChanges},
};

/// Entries of the audit trail that the fold keeps; older ones stay on the log.
const AUDIT_KEPT: usize = 2_000;

/// What the fold made of one record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The change holds; the object now has this revision.
    Accepted {
        /// Revision of the object.
        revision: u64,
    },
    /// A change with this id was folded before; it had this verdict.
    Duplicate(Box<Verdict>),
    /// The change does not hold.
    Rejected(ChangeError),
    /// The record is part of a snapshot, which changes nothing.
    Snapshot,
    /// The record is cut short or not a record; every fold skips it alike.
    Skipped,
    /// The record is from a newer build; the fold stops before it.
    UnsupportedVersion,
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

/// The configuration in force at an offset.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    /// Next offset to fold.
    pub offset: u64,
    /// Teams by name.
    pub teams: BTreeMap<String, Object<TeamSpec>>,
    /// Models by name.
    pub models: BTreeMap<String, Object<ModelSpec>>,
    /// Versions by model, then version.
    pub versions: BTreeMap<String, BTreeMap<String, Object<Version>>>,
    /// Cascades by name.
    pub cascades: BTreeMap<String, Object<CascadeSpec>>,
    /// Roll-outs by model.
    pub rollouts: BTreeMap<String, Object<Rollout>>,
    /// Plain services by name.
    pub services: BTreeMap<String, Object<ServiceSpec>>,
    /// Placements by endpoint.
    #[serde(default)]
    pub placements: BTreeMap<String, Object<PlacementSpec>>,
    pub(crate) audit: VecDeque<AuditEntry>,
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
        if verdict == Verdict::UnsupportedVersion {
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
            return Verdict::UnsupportedVersion;
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
            return Verdict::Duplicate(Box::new(earlier));
        }
        let object = record.change.object_key();
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
            Some(err) => Verdict::Rejected(err),
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
            Some(err) => Verdict::Rejected(err.clone()),
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
    pub fn version(&self, model: &str, version: &str) -> Option<&Object<Version>> {
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
}

fn revision<T>(entity: Option<&Object<T>>) -> u64 {
    entity.map_or(0, |entity| entity.revision)
}

fn json<T>(entity: Option<&Object<T>>) -> String
where
    T: Serialize,
{
    entity.map_or(String::new(), |entity| {
        serde_json::to_string(&entity.value).expect("an entity always encodes")
    })
}
