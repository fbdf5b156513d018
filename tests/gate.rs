//! Admission control in front of an endpoint.

use std::collections::BTreeSet;

use clock::Millis;
use config::{Config, WithdrawMode};
use gate::{Admitted, Context, Decision, Gate, GateLimits, Permit, Reason, Work};
use store::ConfigHealth;
use wire::{AttemptId, AttemptState};

use crate::configuration::{team, two_versions, withdraw};

/// State of the agent that a [`Context`] refers to.
struct AgentState {
    config: Config,
    health: ConfigHealth,
    loaded: BTreeSet<String>,
    now: Millis,
}

impl AgentState {
    fn new(config: Config) -> AgentState {
        let loaded = ["draft@v1", "draft@v2"].map(str::to_owned).into();
        AgentState {
            config,
            health: ConfigHealth::Fresh,
            loaded,
            now: Millis(1_000),
        }
    }

    fn context(&self) -> Context<'_> {
        Context {
            config: &self.config,
            health: self.health,
            loaded: &self.loaded,
            service: "filing",
            now: self.now,
        }
    }
}

/// Returns an agent whose configuration allows the team to call the service.
fn agent_with_service() -> AgentState {
    let mut log = two_versions();
    log.apply(config::Change::Team(config::TeamSpec {
        name: "members".into(),
        services: vec!["filing".into()],
        ..config::TeamSpec::default()
    }));
    AgentState::new(log.config)
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

fn service_work(request: &str) -> Work {
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

/// Admits work; panics if the gate refuses it.
fn admit(gate: &mut Gate, work: Work, agent: &AgentState) -> Permit<Admitted> {
    match gate.admit(work, 0, agent.context()) {
        Decision::Admit(permit) => permit,
        other => panic!("expected the work to be admitted, got {other:?}"),
    }
}

fn refusal_reason(decision: Decision) -> Option<Reason> {
    match decision {
        Decision::Refuse(reason) => Some(reason),
        _ => None,
    }
}

#[test]
fn version_withdrawn_while_queued_does_not_start() {
    let mut log = two_versions();
    let mut gate = Gate::new(GateLimits::default());
    let mut agent = AgentState::new(log.config.clone());
    let permit = admit(&mut gate, work("r1", "v1"), &agent);
    log.apply(withdraw("draft", "v1", WithdrawMode::Now));
    agent.config = log.config.clone();
    assert_eq!(
        gate.start(permit, agent.context()).err(),
        Some(Reason::Withdrawn)
    );
    assert_eq!(gate.running(), 0);
}

#[test]
fn permission_removed_while_queued_prevents_the_start() {
    let mut log = two_versions();
    let mut gate = Gate::new(GateLimits::default());
    let mut agent = AgentState::new(log.config.clone());
    let permit = admit(&mut gate, work("r1", "v1"), &agent);
    log.apply(team("members", &["draft@v2"]));
    agent.config = log.config.clone();
    assert_eq!(
        gate.start(permit, agent.context()).err(),
        Some(Reason::NotAllowed)
    );
}

#[test]
fn retiring_version_admits_only_existing_sessions() {
    let mut log = two_versions();
    log.apply(withdraw("draft", "v1", WithdrawMode::LetSessionsFinish));
    let mut gate = Gate::new(GateLimits::default());
    let agent = AgentState::new(log.config);
    let new = gate.admit(work("r1", "v1"), 0, agent.context());
    assert_eq!(refusal_reason(new), Some(Reason::Retiring));
    let continued = Work {
        continues: true,
        ..work("r2", "v1")
    };
    assert!(matches!(
        gate.admit(continued, 0, agent.context()),
        Decision::Admit(_)
    ));
}

#[test]
fn newer_config_of_entry_makes_agent_catch_up() {
    let mut gate = Gate::new(GateLimits::default());
    let agent = AgentState::new(two_versions().config);
    let decision = gate.admit(work("r1", "v1"), 6, agent.context());
    assert!(matches!(decision, Decision::CatchUp(_)));
    assert_eq!(gate.running(), 0);
}

#[test]
fn tombstone_refuses_late_dispatch() {
    let mut gate = Gate::new(GateLimits::default());
    let agent = AgentState::new(two_versions().config);
    let id = work("r1", "v1").id;
    assert_eq!(gate.tombstone(&id, agent.now), AttemptState::Tombstoned);
    let late = gate.admit(work("r1", "v1"), 0, agent.context());
    assert_eq!(refusal_reason(late), Some(Reason::Tombstoned));
}

#[test]
fn late_tombstone_reports_running_attempt() {
    let mut gate = Gate::new(GateLimits::default());
    let agent = AgentState::new(two_versions().config);
    let permit = admit(&mut gate, work("r1", "v1"), &agent);
    let id = permit.work().id.clone();
    assert_eq!(gate.tombstone(&id, agent.now), AttemptState::Running);
    let duplicate = gate.admit(work("r1", "v1"), 0, agent.context());
    assert_eq!(refusal_reason(duplicate), Some(Reason::Duplicate));
}

#[test]
fn paused_holder_does_not_start_call_with_expired_claim() {
    let limits = GateLimits {
        start_within_ms: 100,
        ..GateLimits::default()
    };
    let mut gate = Gate::new(limits);
    let mut agent = agent_with_service();
    let permit = admit(&mut gate, service_work("r1"), &agent);
    let permit = permit.claimed(agent.now);
    agent.now = agent.now.plus(101);
    assert_eq!(
        gate.start_claimed(permit, agent.context()).err(),
        Some(Reason::ClaimExpired)
    );
    // A claim that has not expired starts.
    let permit = admit(&mut gate, service_work("r2"), &agent);
    let permit = permit.claimed(agent.now);
    assert!(gate.start_claimed(permit, agent.context()).is_ok());
}

#[test]
fn non_idempotent_work_never_starts_without_a_claim() {
    let mut gate = Gate::new(GateLimits::default());
    let agent = agent_with_service();
    let permit = admit(&mut gate, service_work("r1"), &agent);
    assert_eq!(
        gate.start(permit, agent.context()).err(),
        Some(Reason::NoClaim)
    );
}

#[test]
fn refusals_report_their_reason() {
    let limits = GateLimits {
        attempts_max: 1,
        ..GateLimits::default()
    };
    let mut gate = Gate::new(limits);
    let mut agent = AgentState::new(two_versions().config);
    for (health, reason) in [
        (ConfigHealth::CutOff, Reason::CutOff),
        (ConfigHealth::Empty, Reason::NoConfig),
    ] {
        agent.health = health;
        let decision = gate.admit(work("r0", "v1"), 0, agent.context());
        assert_eq!(refusal_reason(decision), Some(reason));
    }
    agent.health = ConfigHealth::StoreDown;
    let late = Work {
        deadline: Millis(10),
        ..work("r1", "v1")
    };
    assert_eq!(
        refusal_reason(gate.admit(late, 0, agent.context())),
        Some(Reason::DeadlineExceeded)
    );
    let unknown_version = Work {
        version: "v9".into(),
        ..work("r2", "v1")
    };
    assert_eq!(
        refusal_reason(gate.admit(unknown_version, 0, agent.context())),
        Some(Reason::UnknownVersion)
    );
    assert!(matches!(
        gate.admit(work("r3", "v1"), 0, agent.context()),
        Decision::Admit(_)
    ));
    assert_eq!(
        refusal_reason(gate.admit(work("r4", "v1"), 0, agent.context())),
        Some(Reason::Full)
    );
    gate.start_draining();
    assert_eq!(
        refusal_reason(gate.admit(work("r5", "v1"), 0, agent.context())),
        Some(Reason::Draining)
    );
}
