//! The configuration's fold, snapshots and the view in force.

use config::{
    Change, ChangeError, ChangeRecord, Config, Gate, Loader, ModelSpec, RolloutAction,
    RolloutSpec, RolloutState, TeamSpec, Verdict, VersionSpec, VersionState,
    WithdrawMode,
};
use store::{ConfigUpdate, ConfigView};

/// Folds changes one after the other; each names the revision it expects.
pub struct Folded {
    pub config: Config,
    pub records: Vec<String>,
}

impl Folded {
    pub fn new() -> Folded {
        Folded {
            config: Config::default(),
            records: Vec::new(),
        }
    }

    pub fn put(
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

    /// A change by the present revision.
    pub fn change(&mut self, change: Change) -> Verdict {
        let expected = self.config.revision(&change.object_key());
        let id = format!("c{}", self.records.len());
        self.put(&id, "alice", expected, change)
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

/// A model with two versions, the first of which serves, and a team.
pub fn two_versions() -> Folded {
    let mut folded = Folded::new();
    for change in [
        model("draft", ""),
        version("draft", "v1"),
        version("draft", "v2"),
        model("draft", "v1"),
        team("members", &["draft"]),
    ] {
        assert!(matches!(folded.change(change), Verdict::Accepted { .. }));
    }
    folded
}

#[test]
fn first_of_two_racing_changes_holds() {
    let mut folded = two_versions();
    let revision = folded.config.revision(&team("members", &[]).object_key());
    let first = folded.put("a", "alice", revision, team("members", &["draft@v1"]));
    let second = folded.put("b", "bob", revision, team("members", &["draft@v2"]));
    assert!(matches!(first, Verdict::Accepted { .. }));
    let Verdict::Rejected(ChangeError::Stale { who, actual, .. }) = second else {
        panic!("the second change must be stale: {second:?}");
    };
    assert_eq!((who.as_str(), actual), ("alice", 6));
    assert!(folded.config.permits("members", "draft", "v1"));
    assert!(!folded.config.permits("members", "draft", "v2"));
}

#[test]
fn repeated_change_id_does_nothing() {
    let mut folded = two_versions();
    let first = folded.put("a", "alice", 5, team("members", &["draft@v1"]));
    let digest_of = |config: &Config| (config.teams.clone(), config.audit().len());
    let before = digest_of(&folded.config);
    // The second append of a lost answer, and a change that reuses the id.
    let again = folded.put("a", "alice", 5, team("members", &["draft@v1"]));
    let reused = folded.put("a", "bob", 6, team("members", &[]));
    assert_eq!(again, Verdict::Duplicate(Box::new(first.clone())));
    assert_eq!(reused, Verdict::Duplicate(Box::new(first)));
    assert_eq!(digest_of(&folded.config), before);
}

#[test]
fn withdrawal_beats_a_racing_rollout_step() {
    let mut folded = two_versions();
    folded.change(rollout("draft", "v2", &[10, 50], Gate::Sequential));
    let seen = folded.config.rollouts["draft"].revision;
    folded.change(withdraw("draft", "v2", WithdrawMode::Now));
    let step = folded.put("s", "gate", seen, control("draft", RolloutAction::Advance));
    assert!(
        matches!(step, Verdict::Rejected(ChangeError::Stale { .. })),
        "{step:?}"
    );
    let rollout = &folded.config.rollouts["draft"].value;
    assert_eq!(
        (rollout.state, rollout.percent()),
        (RolloutState::Halted, 0)
    );
    let resume = folded.change(control("draft", RolloutAction::Resume));
    assert!(
        matches!(resume, Verdict::Rejected(ChangeError::Invalid(_))),
        "{resume:?}"
    );
}

#[test]
fn audit_shows_what_a_change_did_to_another_object() {
    let mut folded = two_versions();
    folded.change(rollout("draft", "v2", &[10], Gate::Fixed));
    folded.change(control("draft", RolloutAction::Advance));
    folded.change(withdraw("draft", "v1", WithdrawMode::Now));
    let trail = folded.config.audit();
    let touched: Vec<&str> = trail.iter().map(|entry| entry.object.as_str()).collect();
    let last = &touched[touched.len() - 4..];
    // The finished roll-out is not touched by the withdrawal.
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
    let mut folded = two_versions();
    folded.change(withdraw("draft", "v1", WithdrawMode::Now));
    folded.change(version("draft", "v1"));
    assert_eq!(
        folded.config.version_state("draft", "v1"),
        Some(VersionState::Withdrawn)
    );
}

#[test]
fn snapshot_gives_the_same_fold() {
    let mut folded = two_versions();
    let mut snapshot = folded.config.snapshot_records();
    let base = folded.records.len() as u64;
    folded.records.append(&mut snapshot);
    folded.change(team("members", &["draft@v1"]));
    let mut loader = Loader::new(3);
    for (offset, record) in folded.records.iter().enumerate().skip(3) {
        loader.apply(offset as u64, record);
    }
    let mut whole = Config::default();
    for (offset, record) in folded.records.iter().enumerate() {
        whole.apply(offset as u64, record);
    }
    assert_eq!(base, 5);
    assert_eq!(loader.config().map(Config::digest), Some(whole.digest()));
}

#[test]
fn torn_or_false_snapshot_is_no_base() {
    let folded = two_versions();
    let parts = folded.config.snapshot_records();
    let false_digest = parts[0].replace(&folded.config.digest(), &"0".repeat(64));
    let cut = &parts[0][..parts[0].len() / 2];
    for record in [false_digest.as_str(), cut] {
        let mut loader = Loader::new(3);
        loader.apply(5, record);
        assert!(loader.config().is_none());
    }
}

#[test]
fn snapshot_older_than_the_log_is_no_base() {
    let folded = two_versions();
    let snapshot = folded.config.snapshot_records();
    // Records 5 and 6 expired; the snapshot covers up to 4 only.
    let mut loader = Loader::new(7);
    loader.apply(7, &snapshot[0]);
    assert!(loader.config().is_none());
}

#[test]
fn view_never_reverts() {
    let folded = two_versions();
    let view = ConfigView::default();
    let older: Config = {
        let mut config = Config::default();
        for (offset, record) in folded.records.iter().enumerate().take(3) {
            config.apply(offset as u64, record);
        }
        config
    };
    assert!(view.install(folded.config.clone()));
    assert!(!view.install(older));
    assert_eq!(view.offset(), 5);
    assert_eq!(view.current().digest(), folded.config.digest());
}

#[test]
fn peer_news_are_the_records_that_lack() {
    let folded = two_versions();
    let (ahead, behind) = (ConfigView::default(), ConfigView::default());
    for (offset, record) in folded.records.iter().enumerate() {
        ahead.apply(offset as u64, record);
        if offset < 3 {
            behind.apply(offset as u64, record);
        }
    }
    let news = ahead.update_since(behind.offset()).expect("it is ahead");
    assert!(matches!(&news, ConfigUpdate::Records(records) if records.len() == 2));
    behind.apply_update(news);
    assert_eq!(behind.current().digest(), ahead.current().digest());
    assert!(ahead.update_since(5).is_none());
}

#[test]
fn news_with_a_gap_are_not_folded() {
    let folded = two_versions();
    let view = ConfigView::default();
    view.apply_update(ConfigUpdate::Records(vec![(3, folded.records[3].clone())]));
    assert_eq!(view.offset(), 0);
}

#[test]
fn record_cut_short_is_skipped_alike_and_a_newer_one_stops_the_fold() {
    let mut folded = two_versions();
    let cut = &folded.records[4][..20].to_owned();
    assert_eq!(folded.config.apply(5, cut), Verdict::Skipped);
    assert_eq!(
        folded.config.apply(6, r#"{"v":2,"anything":true}"#),
        Verdict::UnsupportedVersion
    );
    assert_eq!(
        (folded.config.offset, folded.config.blocked_at),
        (6, Some(6))
    );
    let later = folded.records[0].clone();
    assert_eq!(folded.config.apply(7, &later), Verdict::Skipped);
}

#[test]
fn audit_tells_who_what_and_from_what() {
    let mut folded = two_versions();
    folded.put("x", "bob", 5, team("members", &["draft@v2"]));
    let trail = folded.config.audit();
    insta::assert_json_snapshot!("audit_of_a_change", trail.last());
}
