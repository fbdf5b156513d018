//! Replay of the configuration log, snapshots and the current view.

use config::{
    Change, ChangeError, ChangeRecord, Config, Gate, Loader, ModelSpec, RolloutAction,
    RolloutSpec, RolloutState, TeamSpec, Verdict, VersionSpec, VersionState,
    WithdrawMode,
};
use store::{ConfigUpdate, ConfigView};

/// A configuration log and the configuration replayed from it.
pub struct ConfigLog {
    pub config: Config,
    pub records: Vec<String>,
}

impl ConfigLog {
    pub fn new() -> ConfigLog {
        ConfigLog {
            config: Config::default(),
            records: Vec::new(),
        }
    }

    /// Appends and applies a change that expects the revision `expected`.
    pub fn append(
        &mut self,
        id: &str,
        who: &str,
        expected: u64,
        change: Change,
    ) -> Verdict {
        let record = ChangeRecord {
            change_id: id.into(),
            who: who.into(),
            at_ms: 1_000 + self.records.len() as u64,
            expected_revision: expected,
            change,
            ..ChangeRecord::default()
        };
        let text = record.encode();
        let offset = self.records.len() as u64;
        self.records.push(text.clone());
        self.config.apply(offset, &text)
    }

    /// Appends and applies a change that expects the current revision.
    pub fn apply(&mut self, change: Change) -> Verdict {
        let expected = self.config.revision(&change.object_key());
        let id = format!("c{}", self.records.len());
        self.append(&id, "alice", expected, change)
    }
}

pub fn model(name: &str, serving: &str) -> Change {
    Change::Model(ModelSpec {
        name: name.into(),
        serving: serving.into(),
    })
}

pub fn version(model: &str, version: &str) -> Change {
    Change::Version(VersionSpec {
        model: model.into(),
        version: version.into(),
        ..VersionSpec::default()
    })
}

pub fn team(name: &str, allowed: &[&str]) -> Change {
    Change::Team(TeamSpec {
        name: name.into(),
        allowed: allowed.iter().map(|name| (*name).to_owned()).collect(),
        ..TeamSpec::default()
    })
}

pub fn withdraw(model: &str, version: &str, mode: WithdrawMode) -> Change {
    Change::Withdraw {
        model: model.into(),
        version: version.into(),
        mode,
    }
}

pub fn control(model: &str, action: RolloutAction) -> Change {
    Change::RolloutControl {
        model: model.into(),
        action,
        reason: String::new(),
    }
}

pub fn rollout(model: &str, to: &str, percents: &[u32], gate: Gate) -> Change {
    Change::Rollout(RolloutSpec {
        model: model.into(),
        to: to.into(),
        percents: percents.to_vec(),
        gate,
        step_ms: 1_000,
    })
}

/// Returns a log with a team and a model of two versions, the first of which
/// is serving.
pub fn two_versions() -> ConfigLog {
    let mut log = ConfigLog::new();
    for change in [
        model("draft", ""),
        version("draft", "v1"),
        version("draft", "v2"),
        model("draft", "v1"),
        team("members", &["draft"]),
    ] {
        assert!(matches!(log.apply(change), Verdict::Accepted { .. }));
    }
    log
}

#[test]
fn second_of_two_racing_changes_is_stale() {
    let mut log = two_versions();
    let revision = log.config.revision(&team("members", &[]).object_key());
    let first = log.append("a", "alice", revision, team("members", &["draft@v1"]));
    let second = log.append("b", "bob", revision, team("members", &["draft@v2"]));
    assert!(matches!(first, Verdict::Accepted { .. }));
    let Verdict::Rejected(ChangeError::Stale { who, actual, .. }) = second else {
        panic!("expected the second change to be stale, got {second:?}");
    };
    assert_eq!((who.as_str(), actual), ("alice", 6));
    assert!(log.config.permits("members", "draft", "v1"));
    assert!(!log.config.permits("members", "draft", "v2"));
}

#[test]
fn repeated_change_id_is_a_duplicate() {
    let mut log = two_versions();
    let first = log.append("a", "alice", 5, team("members", &["draft@v1"]));
    let state = |config: &Config| (config.teams.clone(), config.audit().len());
    let before = state(&log.config);
    // A retry of the append after a lost acknowledgement, and a different change
    // with the same id.
    let retried = log.append("a", "alice", 5, team("members", &["draft@v1"]));
    let reused = log.append("a", "bob", 6, team("members", &[]));
    assert_eq!(retried, Verdict::Duplicate(Box::new(first.clone())));
    assert_eq!(reused, Verdict::Duplicate(Box::new(first)));
    assert_eq!(state(&log.config), before);
}

#[test]
fn withdrawal_beats_a_racing_rollout_step() {
    let mut log = two_versions();
    log.apply(rollout("draft", "v2", &[10, 50], Gate::Sequential));
    let revision = log.config.rollouts["draft"].revision;
    log.apply(withdraw("draft", "v2", WithdrawMode::Now));
    let step = log.append(
        "s",
        "gate",
        revision,
        control("draft", RolloutAction::Advance),
    );
    assert!(
        matches!(step, Verdict::Rejected(ChangeError::Stale { .. })),
        "{step:?}"
    );
    let rollout = &log.config.rollouts["draft"].value;
    assert_eq!(
        (rollout.state, rollout.percent()),
        (RolloutState::Halted, 0)
    );
    let resume = log.apply(control("draft", RolloutAction::Resume));
    assert!(
        matches!(resume, Verdict::Rejected(ChangeError::Invalid(_))),
        "{resume:?}"
    );
}

#[test]
fn audit_lists_effects_of_a_change_on_other_objects() {
    let mut log = two_versions();
    log.apply(rollout("draft", "v2", &[10], Gate::Fixed));
    log.apply(control("draft", RolloutAction::Advance));
    log.apply(withdraw("draft", "v1", WithdrawMode::Now));
    let trail = log.config.audit();
    let objects: Vec<&str> = trail.iter().map(|entry| entry.object.as_str()).collect();
    let last = &objects[objects.len() - 4..];
    // The withdrawal does not change the completed rollout.
    assert_eq!(
        last,
        [
            "rollout/draft",
            "model/draft",
            "rollout/draft",
            "version/draft@v1"
        ]
    );
}

#[test]
fn price_change_does_not_reinstate_a_withdrawn_version() {
    let mut log = two_versions();
    log.apply(withdraw("draft", "v1", WithdrawMode::Now));
    log.apply(version("draft", "v1"));
    assert_eq!(
        log.config.version_state("draft", "v1"),
        Some(VersionState::Withdrawn)
    );
}

#[test]
fn loading_from_snapshot_gives_same_config_as_full_replay() {
    let mut log = two_versions();
    let mut snapshot = log.config.snapshot_records();
    let base = log.records.len() as u64;
    log.records.append(&mut snapshot);
    log.apply(team("members", &["draft@v1"]));
    let mut loader = Loader::new(3);
    for (offset, record) in log.records.iter().enumerate().skip(3) {
        loader.apply(offset as u64, record);
    }
    let mut replayed = Config::default();
    for (offset, record) in log.records.iter().enumerate() {
        replayed.apply(offset as u64, record);
    }
    assert_eq!(base, 5);
    assert_eq!(loader.config().map(Config::digest), Some(replayed.digest()));
}

#[test]
fn truncated_or_corrupt_snapshot_is_not_loaded() {
    let log = two_versions();
    let parts = log.config.snapshot_records();
    let wrong_digest = parts[0].replace(&log.config.digest(), &"0".repeat(64));
    let truncated = &parts[0][..parts[0].len() / 2];
    for record in [wrong_digest.as_str(), truncated] {
        let mut loader = Loader::new(3);
        loader.apply(5, record);
        assert!(loader.config().is_none());
    }
}

#[test]
fn snapshot_older_than_retained_log_is_not_loaded() {
    let log = two_versions();
    let snapshot = log.config.snapshot_records();
    // Records 5 and 6 have expired, but the snapshot covers only records up to 4.
    let mut loader = Loader::new(7);
    loader.apply(7, &snapshot[0]);
    assert!(loader.config().is_none());
}

#[test]
fn view_never_reverts() {
    let log = two_versions();
    let view = ConfigView::default();
    let older: Config = {
        let mut config = Config::default();
        for (offset, record) in log.records.iter().enumerate().take(3) {
            config.apply(offset as u64, record);
        }
        config
    };
    assert!(view.install(log.config.clone()));
    assert!(!view.install(older));
    assert_eq!(view.offset(), 5);
    assert_eq!(view.current().digest(), log.config.digest());
}

#[test]
fn peer_update_contains_missing_records() {
    let log = two_versions();
    let (ahead, behind) = (ConfigView::default(), ConfigView::default());
    for (offset, record) in log.records.iter().enumerate() {
        ahead.apply(offset as u64, record);
        if offset < 3 {
            behind.apply(offset as u64, record);
        }
    }
    let update = ahead
        .update_since(behind.offset())
        .expect("newer records exist");
    assert!(matches!(&update, ConfigUpdate::Records(records) if records.len() == 2));
    behind.apply_update(update);
    assert_eq!(behind.current().digest(), ahead.current().digest());
    assert!(ahead.update_since(5).is_none());
}

#[test]
fn peer_update_with_gap_is_ignored() {
    let log = two_versions();
    let view = ConfigView::default();
    view.apply_update(ConfigUpdate::Records(vec![(3, log.records[3].clone())]));
    assert_eq!(view.offset(), 0);
}

#[test]
fn truncated_record_is_skipped_and_unsupported_one_blocks_replay() {
    let mut log = two_versions();
    let truncated = &log.records[4][..20].to_owned();
    assert_eq!(log.config.apply(5, truncated), Verdict::Skipped);
    assert_eq!(
        log.config.apply(6, r#"{"v":2,"anything":true}"#),
        Verdict::UnsupportedVersion
    );
    assert_eq!((log.config.offset, log.config.blocked_at), (6, Some(6)));
    let later = log.records[0].clone();
    assert_eq!(log.config.apply(7, &later), Verdict::Skipped);
}

#[test]
fn audit_entry_records_author_and_previous_value() {
    let mut log = two_versions();
    log.append("x", "bob", 5, team("members", &["draft@v2"]));
    let trail = log.config.audit();
    insta::assert_json_snapshot!("audit_of_a_change", trail.last());
}
