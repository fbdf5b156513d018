//! The last check before an endpoint.

use std::collections::BTreeSet;

use clock::Millis;
use config::{Config, WithdrawMode};
use gate::{Admitted, Context, Decision, Gate, GateLimits, Permit, Reason, Work};
use store::ConfigHealth;
use wire::{AttemptId, AttemptState};

use crate::configuration::{team, two_versions, withdraw};

struct Place {
    config: Config,
    health: ConfigHealth,
    loaded: BTreeSet<String>,
    now: Millis,
}

impl Place {
    fn new(config: Config) -> Place {
        let loaded = ["draft@v1", "draft@v2"].map(str::to_owned).into();
        Place {
            config,
            health: ConfigHealth::Fresh,
            loaded,
            now: Millis(1_000),
        }
    }

    fn cx(&self) -> Context<'_> {
        Context {
            config: &self.config,
            health: self.health,
            loaded: &self.loaded,
            service: "filing",
            now: self.now,
        }
    }
}

/// A place whose configuration lets the team call the service.
fn place_with_service() -> Place {
    let mut folded = two_versions();
    folded.change(config::Change::Team(config::TeamSpec {
        name: "members".into(),
        services: vec!["filing".into()],
        ..config::TeamSpec::default()
    }));
    Place::new(folded.config)
}

fn work(request: &str, version: &str) -> Work {
    Work {
        id: AttemptId {
            request_id: request.into(),
            attempt: 1,
        },
        team: "members".into(),
        model: "draft".into(),
        version: version.into(),
        idempotent: true,
        deadline: Millis(5_000),
        ..Work::default()
    }
}

fn filing(request: &str) -> Work {
    Work {
        id: AttemptId {
            request_id: request.into(),
            attempt: 1,
        },
        team: "members".into(),
        service: "filing".into(),
        key: "deed-7".into(),
        deadline: Millis(5_000),
        ..Work::default()
    }
}

/// Admits work that nothing speaks against yet.
fn admitted(gate: &mut Gate, work: Work, place: &Place) -> Permit<Admitted> {
    match gate.admit(work, 0, place.cx()) {
        Decision::Admit(permit) => permit,
        other => panic!("it is allowed so far: {other:?}"),
    }
}

fn refusal(decision: Decision) -> Option<Reason> {
    match decision {
        Decision::Refuse(reason) => Some(reason),
        _ => None,
    }
}

#[test]
fn withdrawn_while_queued_does_not_start() {
    let mut folded = two_versions();
    let mut gate = Gate::new(GateLimits::default());
    let mut place = Place::new(folded.config.clone());
    let permit = admitted(&mut gate, work("r1", "v1"), &place);
    folded.change(withdraw("draft", "v1", WithdrawMode::Now));
    place.config = folded.config.clone();
    assert_eq!(
        gate.start(permit, place.cx()).err(),
        Some(Reason::Withdrawn)
    );
    assert_eq!(gate.running(), 0);
}

#[test]
fn permission_removed_while_queued_stops_the_start() {
    let mut folded = two_versions();
    let mut gate = Gate::new(GateLimits::default());
    let mut place = Place::new(folded.config.clone());
    let permit = admitted(&mut gate, work("r1", "v1"), &place);
    folded.change(team("members", &["draft@v2"]));
    place.config = folded.config.clone();
    assert_eq!(
        gate.start(permit, place.cx()).err(),
        Some(Reason::NotAllowed)
    );
}

#[test]
fn retiring_version_takes_sessions_under_way_only() {
    let mut folded = two_versions();
    folded.change(withdraw("draft", "v1", WithdrawMode::LetSessionsFinish));
    let mut gate = Gate::new(GateLimits::default());
    let place = Place::new(folded.config);
    let new = gate.admit(work("r1", "v1"), 0, place.cx());
    assert_eq!(refusal(new), Some(Reason::Retiring));
    let under_way = Work {
        continues: true,
        ..work("r2", "v1")
    };
    assert!(matches!(
        gate.admit(under_way, 0, place.cx()),
        Decision::Admit(_)
    ));
}

#[test]
fn newer_entry_makes_the_agent_catch_up_first() {
    let mut gate = Gate::new(GateLimits::default());
    let place = Place::new(two_versions().config);
    let decision = gate.admit(work("r1", "v1"), 6, place.cx());
    assert!(matches!(decision, Decision::CatchUp(_)));
    assert_eq!(gate.running(), 0);
}

#[test]
fn tombstone_refuses_a_dispatch_that_comes_late() {
    let mut gate = Gate::new(GateLimits::default());
    let place = Place::new(two_versions().config);
    let id = work("r1", "v1").id;
    assert_eq!(gate.tombstone(&id, place.now), AttemptState::Tombstoned);
    let late = gate.admit(work("r1", "v1"), 0, place.cx());
    assert_eq!(refusal(late), Some(Reason::Tombstoned));
}

#[test]
fn tombstone_asked_for_too_late_tells_that_it_runs() {
    let mut gate = Gate::new(GateLimits::default());
    let place = Place::new(two_versions().config);
    let permit = admitted(&mut gate, work("r1", "v1"), &place);
    let id = permit.work().id.clone();
    assert_eq!(gate.tombstone(&id, place.now), AttemptState::Running);
    let twice = gate.admit(work("r1", "v1"), 0, place.cx());
    assert_eq!(refusal(twice), Some(Reason::Duplicate));
}

#[test]
fn paused_holder_does_not_start_its_claimed_call() {
    let limits = GateLimits {
        start_within_ms: 100,
        ..GateLimits::default()
    };
    let mut gate = Gate::new(limits);
    let mut place = place_with_service();
    let permit = admitted(&mut gate, filing("r1"), &place);
    let permit = permit.claimed(place.now);
    place.now = place.now.plus(101);
    assert_eq!(
        gate.start_claimed(permit, place.cx()).err(),
        Some(Reason::ClaimExpired)
    );
    // In time, it starts.
    let permit = admitted(&mut gate, filing("r2"), &place);
    let permit = permit.claimed(place.now);
    assert!(gate.start_claimed(permit, place.cx()).is_ok());
}

#[test]
fn non_idempotent_work_never_starts_without_a_claim() {
    let mut gate = Gate::new(GateLimits::default());
    let place = place_with_service();
    let permit = admitted(&mut gate, filing("r1"), &place);
    assert_eq!(gate.start(permit, place.cx()).err(), Some(Reason::NoClaim));
}

#[test]
fn cut_off_empty_full_late_and_leaving_refuse() {
    let limits = GateLimits {
        attempts_max: 1,
        ..GateLimits::default()
    };
    let mut gate = Gate::new(limits);
    let mut place = Place::new(two_versions().config);
    for (health, reason) in [
        (ConfigHealth::CutOff, Reason::CutOff),
        (ConfigHealth::Empty, Reason::NoConfig),
    ] {
        place.health = health;
        let decision = gate.admit(work("r0", "v1"), 0, place.cx());
        assert_eq!(refusal(decision), Some(reason));
    }
    place.health = ConfigHealth::StoreDown;
    let late = Work {
        deadline: Millis(10),
        ..work("r1", "v1")
    };
    assert_eq!(
        refusal(gate.admit(late, 0, place.cx())),
        Some(Reason::DeadlineExceeded)
    );
    let gone = Work {
        version: "v9".into(),
        ..work("r2", "v1")
    };
    assert_eq!(
        refusal(gate.admit(gone, 0, place.cx())),
        Some(Reason::UnknownVersion)
    );
    assert!(matches!(
        gate.admit(work("r3", "v1"), 0, place.cx()),
        Decision::Admit(_)
    ));
    assert_eq!(
        refusal(gate.admit(work("r4", "v1"), 0, place.cx())),
        Some(Reason::Full)
    );
    gate.leave();
    assert_eq!(
        refusal(gate.admit(work("r5", "v1"), 0, place.cx())),
        Some(Reason::Leaving)
    );
}
