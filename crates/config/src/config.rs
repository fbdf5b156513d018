//! Applies configuration records in offset order.

use std::collections::{BTreeMap, VecDeque};

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    AuditEntry, CascadeSpec, ChangeRecord, ModelSpec, NameError, Object, ObjectKey,
    PlacementSpec, RECORD_VERSION, Rollout, ServiceSpec, TeamSpec, Version,
    VersionState,
    change::affected_object,
    recent_changes::{ProcessedChange, RecentChanges},
};

/// Audit entries kept in memory and in snapshots; older ones remain on the log.
const AUDIT_ENTRIES_MAX: usize = 2_000;

/// Result of applying one record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The change was applied.
    Accepted {
        /// New revision of the object.
        revision: u64,
    },
    /// A change with this id was processed before, with the verdict given here.
    Duplicate(Box<Verdict>),
    /// The change was not applied.
    Rejected(ChangeError),
    /// The record is part of a snapshot and has no effect.
    Snapshot,
    /// The record was applied already, is malformed, or follows an unsupported
    /// one.  Malformed records are skipped by every process alike.
    Skipped,
    /// The record was written by a newer build; no further records are applied.
    UnsupportedVersion,
}

/// Why a change was rejected.
///
/// The messages are stored in the audit trail, which [`Config::digest`]
/// covers.  Rewording one makes the digests of old and new builds differ.
#[derive(Clone, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
pub enum ChangeError {
    /// {object} is at revision {actual}, not {expected}, since {who} changed it at {at_ms} ms; list it and send the change again with its present revision
    Stale {
        /// Object, as `kind/name`.
        object: String,
        /// Revision that the operator expected.
        expected: u64,
        /// Current revision.
        actual: u64,
        /// Operator who made the last change.
        who: String,
        /// Time of the last change, ms since the Unix epoch.
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

/// The configuration as of an offset of the log.
///
/// Processes compare the digest of its JSON, and read it from snapshots of
/// other builds, so the serialized field names and their order must not change.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    /// Offset of the next record to apply.
    pub offset: u64,
    /// Teams by name.
    pub teams: BTreeMap<String, Object<TeamSpec>>,
    /// Models by name.
    pub models: BTreeMap<String, Object<ModelSpec>>,
    /// Versions by model, then version.
    pub versions: BTreeMap<String, BTreeMap<String, Object<Version>>>,
    /// Cascades by name.
    pub cascades: BTreeMap<String, Object<CascadeSpec>>,
    /// Rollouts by model.
    pub rollouts: BTreeMap<String, Object<Rollout>>,
    /// Non-inference services by name.
    pub services: BTreeMap<String, Object<ServiceSpec>>,
    /// Placements by endpoint.
    #[serde(default)]
    pub placements: BTreeMap<String, Object<PlacementSpec>>,
    pub(crate) audit: VecDeque<AuditEntry>,
    #[serde(rename = "known")]
    recent_changes: RecentChanges,
    /// Offset of a record from a newer build; records from here on are not
    /// applied.
    pub blocked_at: Option<u64>,
    /// Number of malformed records that were skipped.
    pub skipped: u64,
}

impl Config {
    /// Applies the record at `offset`.
    ///
    /// Records must be passed in offset order.  One below [`Config::offset`] is
    /// ignored, so overlapping reads are harmless.
    pub fn apply(&mut self, offset: u64, body: &str) -> Verdict {
        if offset < self.offset || self.blocked_at.is_some() {
            return Verdict::Skipped;
        }
        let verdict = self.apply_record(offset, body);
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

    fn apply_record(&mut self, offset: u64, body: &str) -> Verdict {
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
            Ok(record) => self.apply_change(offset, record),
            Err(_) => Verdict::Skipped,
        }
    }

    fn apply_change(&mut self, offset: u64, record: ChangeRecord) -> Verdict {
        if let Some(earlier) = self.verdict_of(&record.change_id) {
            return Verdict::Duplicate(Box::new(earlier));
        }
        let key = record.change.object_key();
        let affected = affected_object(&record.change);
        let before = self.value_json(&key);
        let affected_before = affected.as_ref().map(|key| self.value_json(key));
        let revision = offset + 1;
        let error = self.execute_change(&record, revision).err();
        let after = self.value_json(&key);
        let affected_after = affected.as_ref().map(|key| self.value_json(key));
        self.recent_changes.push(ProcessedChange {
            change_id: record.change_id.clone(),
            error: error.clone(),
            revision,
        });
        let entry = AuditEntry {
            offset,
            at_ms: record.at_ms,
            who: record.who,
            change_id: record.change_id,
            object: key.to_string(),
            verdict: error
                .as_ref()
                .map_or("accepted".into(), ToString::to_string),
            before,
            after,
        };
        if let Some(affected) = affected
            && affected_before != affected_after
        {
            self.push_audit(AuditEntry {
                object: affected.to_string(),
                before: affected_before.unwrap_or_default(),
                after: affected_after.unwrap_or_default(),
                ..entry.clone()
            });
        }
        self.push_audit(entry);
        match error {
            Some(err) => Verdict::Rejected(err),
            None => Verdict::Accepted { revision },
        }
    }

    fn push_audit(&mut self, entry: AuditEntry) {
        self.audit.push_back(entry);
        if self.audit.len() > AUDIT_ENTRIES_MAX {
            self.audit.pop_front();
        }
    }

    /// The verdict on an earlier change, or `None` if its id is unknown or no
    /// longer kept.
    pub fn verdict_of(&self, change_id: &str) -> Option<Verdict> {
        let processed = self.recent_changes.get(change_id)?;
        Some(match &processed.error {
            Some(err) => Verdict::Rejected(err.clone()),
            None => Verdict::Accepted {
                revision: processed.revision,
            },
        })
    }

    /// The most recent audit entries, oldest first.
    pub fn audit(&self) -> Vec<AuditEntry> {
        self.audit.iter().cloned().collect()
    }

    /// Revision of an object; 0 if it does not exist.
    pub fn revision(&self, key: &ObjectKey) -> u64 {
        match key {
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

    /// JSON of an object's value; empty if it does not exist.
    fn value_json(&self, key: &ObjectKey) -> String {
        match key {
            ObjectKey::Team(name) => to_json(self.teams.get(name)),
            ObjectKey::Model(name) => to_json(self.models.get(name)),
            ObjectKey::Version(model, version) => to_json(self.version(model, version)),
            ObjectKey::Cascade(name) => to_json(self.cascades.get(name)),
            ObjectKey::Rollout(model) => to_json(self.rollouts.get(model)),
            ObjectKey::Service(name) => to_json(self.services.get(name)),
            ObjectKey::Placement(name) => to_json(self.placements.get(name)),
        }
    }

    /// Looks up a version of a model.
    pub fn version(&self, model: &str, version: &str) -> Option<&Object<Version>> {
        self.versions.get(model)?.get(version)
    }

    /// State of a version; `None` if it does not exist.
    pub fn version_state(&self, model: &str, version: &str) -> Option<VersionState> {
        self.version(model, version)
            .map(|object| object.value.state)
    }

    /// Returns whether a team is allowed a version of a model, whatever the version's
    /// state.
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

    /// Returns whether a team may call a non-inference service.
    pub fn permits_service(&self, team: &str, service: &str) -> bool {
        let team = self.teams.get(team);
        team.is_some_and(|team| team.value.services.iter().any(|name| name == service))
    }

    /// SHA-256 of the whole state in hex, for comparing instances.
    pub fn digest(&self) -> String {
        let state = serde_json::to_vec(self).expect("a configuration always encodes");
        hex::encode(Sha256::digest(state))
    }
}

fn revision<T>(object: Option<&Object<T>>) -> u64 {
    object.map_or(0, |object| object.revision)
}

fn to_json<T>(object: Option<&Object<T>>) -> String
where
    T: Serialize,
{
    object.map_or(String::new(), |object| {
        serde_json::to_string(&object.value).expect("an object always encodes")
    })
}
