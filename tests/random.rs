//! Runs random sequences of requests, configuration changes, kills, freezes,
//! outages and delays against the decision core, and checks every invariant after
//! every step.
//!
//! `CURRANTBANK_SEED` replays one sequence, and prints its steps if it fails;
//! `CURRANTBANK_SEQUENCES` sets how many sequences are run.

use std::collections::{BTreeMap, BTreeSet};

use bill::{Bill, BillBuffer, BillRecord, Bills};
use claim::{Claim, ClaimEvent, ClaimRecord, ClaimStatus, Claims, Ending};
use clock::Millis;
use config::{
    Change, ChangeRecord, Config, ModelSpec, ServiceSpec, TeamSpec, VersionSpec,
    WithdrawMode,
};
use gate::{Admitted, Context, Decision, Gate, GateLimits, Permit, Started, Work};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{Session, choose_version};
use store::ConfigHealth;
use wire::{AttemptId, AttemptState};

/// Default number of sequences, as run in CI.
const SEQUENCES: u64 = 10_000;

/// Steps in a sequence.
const STEPS: u32 = 200;

const ENTRIES: usize = 2;
const AGENTS: usize = 3;
const VERSIONS: [&str; 2] = ["v1", "v2"];
const KEYS: [&str; 3] = ["k1", "k2", "k3"];
const SESSIONS: [&str; 3] = ["s1", "s2", "s3"];
const TEAM: &str = "members";
const START_WITHIN_MS: u64 = 100;

/// The platform's log, with appends whose response is lost or whose effect is
/// delayed.
#[derive(Default)]
struct Log {
    config: Vec<String>,
    claims: Vec<String>,
    bills: Vec<String>,
    /// Claim records that were sent and have not taken effect yet.
    delayed: Vec<String>,
    down: bool,
}

struct Entry {
    config: Config,
    claims: Claims,
}

/// A non-idempotent call in progress at an agent.
struct Call {
    claim: Claim,
    permit: Option<Permit<Admitted>>,
    started: Option<Permit<Started>>,
    requested_at: Millis,
}

struct Agent {
    instance: String,
    config: Config,
    claims: Claims,
    gate: Gate,
    calls: Vec<Call>,
    bills: BillBuffer,
    frozen: bool,
}

/// An attempt that an entry dispatched and may still cancel.
struct Dispatched {
    claim_id: String,
    key: String,
    id: AttemptId,
    agent: usize,
}

struct Simulation {
    rng: StdRng,
    now: Millis,
    log: Log,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    dispatched: Vec<Dispatched>,
    /// Number of runs by idempotency key.
    runs_by_key: BTreeMap<String, u32>,
    /// Attempts that were reported to their caller as not run.
    reported_not_run: BTreeSet<AttemptId>,
    /// Attempts that ran.
    ran: BTreeSet<AttemptId>,
    /// Version on which each session started.
    sessions: BTreeMap<String, String>,
    /// Requests that were answered completely, and must be billed.
    answered: BTreeSet<String>,
    /// Digest of the configuration at each log offset.
    digests: BTreeMap<u64, String>,
    serial: u64,
    steps: Vec<String>,
}

fn new_gate() -> Gate {
    let limits = GateLimits {
        attempts_max: 64,
        remember_ms: 1_000_000,
        start_within_ms: START_WITHIN_MS,
    };
    Gate::new(limits)
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(seed),
            now: Millis(1_000),
            log: Log::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            dispatched: Vec::new(),
            runs_by_key: BTreeMap::new(),
            reported_not_run: BTreeSet::new(),
            ran: BTreeSet::new(),
            sessions: BTreeMap::new(),
            answered: BTreeSet::new(),
            digests: BTreeMap::new(),
            serial: 0,
            steps: Vec::new(),
        };
        simulation.publish_initial_config();
        for _ in 0..ENTRIES {
            let (config, claims) = (Config::default(), Claims::default());
            simulation.entries.push(Entry { config, claims });
        }
        for _ in 0..AGENTS {
            let agent = simulation.new_agent();
            simulation.agents.push(agent);
        }
        for index in 0..ENTRIES {
            simulation.read_entry(index, usize::MAX);
        }
        for index in 0..AGENTS {
            simulation.read_agent(index, usize::MAX);
        }
        simulation
    }

    fn new_agent(&mut self) -> Agent {
        self.serial += 1;
        Agent {
            instance: format!("agent-{}", self.serial),
            config: Config::default(),
            claims: Claims::default(),
            gate: new_gate(),
            calls: Vec::new(),
            bills: BillBuffer::new(1_000),
            frozen: false,
        }
    }

    fn publish(&mut self, expected_revision: u64, change: Change) {
        self.serial += 1;
        let record = ChangeRecord {
            change_id: format!("c{}", self.serial),
            who: "alice".into(),
            expected_revision,
            change,
            ..ChangeRecord::default()
        };
        self.log.config.push(record.encode());
    }

    fn publish_initial_config(&mut self) {
        let model = |serving: &str| {
            Change::Model(ModelSpec {
                name: "draft".into(),
                serving: serving.into(),
            })
        };
        self.publish(0, model(""));
        for version in VERSIONS {
            let spec = VersionSpec {
                model: "draft".into(),
                version: version.into(),
                ..VersionSpec::default()
            };
            self.publish(0, Change::Version(spec));
        }
        self.publish(1, model("v1"));
        let service = ServiceSpec {
            name: "filing".into(),
            ..ServiceSpec::default()
        };
        self.publish(0, Change::Service(service));
        self.publish(0, team_change(true));
    }

    /// The configuration after all records in the log.
    fn latest_config(&self) -> Config {
        let mut config = Config::default();
        for (offset, record) in self.log.config.iter().enumerate() {
            config.apply(offset as u64, record);
        }
        config
    }

    fn read_entry(&mut self, index: usize, limit: usize) {
        let entry = &mut self.entries[index];
        read_config(&mut entry.config, &self.log.config, limit);
        read_claims(&mut entry.claims, &self.log.claims, limit);
    }

    fn read_agent(&mut self, index: usize, limit: usize) {
        let agent = &mut self.agents[index];
        read_config(&mut agent.config, &self.log.config, limit);
        read_claims(&mut agent.claims, &self.log.claims, limit);
    }

    /// Draws an index below `count`.
    fn pick(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    /// Draws whether an event of this probability happens.
    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Appends a claim record once, twice, or with a delay; a delayed record may
    /// never take effect.
    fn append_claim(&mut self, events: Vec<ClaimEvent>) {
        let record = ClaimRecord::new(0, events).encode();
        if self.log.down || self.chance(20) {
            self.log.delayed.push(record);
            return;
        }
        // A lost response makes the writer append the record again.
        if self.chance(15) {
            self.log.claims.push(record.clone());
        }
        self.log.claims.push(record);
    }

    fn step(&mut self) {
        match self.pick(16) {
            0 => self.change_config(),
            1 | 2 => {
                if !self.log.down {
                    let (index, limit) = (self.pick(ENTRIES), self.pick(4));
                    self.record_step(format!(
                        "entry {index} reads up to {limit} records"
                    ));
                    self.read_entry(index, limit);
                }
            }
            3 | 4 => {
                let (index, limit) = (self.pick(AGENTS), self.pick(6));
                if !self.log.down && !self.agents[index].frozen {
                    self.record_step(format!(
                        "agent {index} reads up to {limit} records"
                    ));
                    self.read_agent(index, limit);
                }
            }
            5 => self.send_chat_request(),
            6 | 7 => self.send_call(),
            8 => self.apply_delayed_append(),
            9 | 10 => self.advance_calls(),
            11 => self.cancel_call(),
            12 => self.toggle_freeze(),
            13 => self.restart_agent(),
            14 => {
                let elapsed_ms = self.rng.random_range(1..80);
                self.record_step(format!("clock advances by {elapsed_ms} ms"));
                self.now = self.now.plus(elapsed_ms);
            }
            _ => {
                self.log.down = self.chance(30);
                let down = self.log.down;
                self.record_step(format!("log down {down}"));
                self.append_bills();
            }
        }
    }

    fn record_step(&mut self, step: String) {
        self.steps.push(step);
    }

    fn change_config(&mut self) {
        if self.log.down {
            return;
        }
        let latest = self.latest_config();
        let version = VERSIONS[self.pick(2)].to_owned();
        let model = "draft".to_owned();
        let change = match self.pick(5) {
            0 => team_change(false),
            1 => team_change(true),
            2 => Change::Withdraw {
                model,
                version,
                mode: WithdrawMode::Now,
            },
            3 => Change::Withdraw {
                model,
                version,
                mode: WithdrawMode::LetSessionsFinish,
            },
            _ => Change::Reinstate { model, version },
        };
        // An operator that races another one may have read an old revision.
        let stale = u64::from(self.chance(20));
        let revision = latest.revision(&change.object_key()).saturating_sub(stale);
        self.record_step(format!("change {change:?} at {revision}"));
        self.publish(revision, change);
    }

    fn send_chat_request(&mut self) {
        let (entry, agent) = (self.pick(ENTRIES), self.pick(AGENTS));
        let name = SESSIONS[self.pick(3)];
        let started_on = self.sessions.get(name).cloned();
        let session = Session {
            name,
            started_on: started_on.as_deref(),
        };
        let request_id = self.next_request_id();
        let config = &self.entries[entry].config;
        let choice = choose_version(config, TEAM, "draft", None, session, &request_id);
        let offset = config.offset;
        let Ok(choice) = choice else {
            return;
        };
        self.record_step(format!(
            "chat {request_id} {name} {} at agent {agent}",
            choice.version
        ));
        if let Some(started_on) = &started_on {
            assert_eq!(*started_on, choice.version, "a session changed its version");
        }
        let id = AttemptId {
            request_id: request_id.clone(),
            attempt: 1,
        };
        let work = Work {
            id: id.clone(),
            team: TEAM.into(),
            model: "draft".into(),
            version: choice.version.clone(),
            idempotent: true,
            continues: choice.continues,
            deadline: self.now.plus(1_000),
            ..Work::default()
        };
        let Some(permit) = self.admit(agent, work, offset) else {
            return;
        };
        let admitting_config = self.agents[agent].config.clone();
        let started = self.with_gate(agent, |gate, cx| gate.start(permit, cx));
        if started.is_err() {
            return;
        }
        assert!(
            admitting_config.offset >= offset,
            "an agent admitted with an older configuration"
        );
        let permitted = admitting_config.permits(TEAM, "draft", &choice.version);
        assert!(permitted, "a version ran that the team may not use");
        let state = admitting_config.version_state("draft", &choice.version);
        let accepts_work = match state {
            Some(config::VersionState::Serving) => true,
            Some(config::VersionState::Retiring) => choice.continues,
            _ => false,
        };
        assert!(accepts_work, "a withdrawn version got work: {state:?}");
        self.sessions
            .entry(name.to_owned())
            .or_insert(choice.version);
        let now = self.now;
        self.agents[agent].gate.end(&id, AttemptState::Done, now);
        self.complete_request(agent, &request_id);
    }

    /// Records a completed answer, whose bill is held by the agent and by another
    /// one.
    fn complete_request(&mut self, agent: usize, request_id: &str) {
        let bill = Bill {
            request_id: request_id.to_owned(),
            team: TEAM.into(),
            ..Bill::default()
        };
        let other = (agent + 1) % AGENTS;
        for holder in [agent, other] {
            self.agents[holder].bills.hold(bill.clone(), self.now, "");
        }
        self.answered.insert(request_id.to_owned());
    }

    fn append_bills(&mut self) {
        if self.log.down {
            return;
        }
        for agent in &mut self.agents {
            if agent.frozen {
                continue;
            }
            let due = agent.bills.due(self.now, 100);
            if due.is_empty() {
                continue;
            }
            self.log
                .bills
                .push(BillRecord::new(&agent.instance, due.clone()).encode());
            // After a lost response the bills stay held, and are sent again.
            if self.rng.random_range(0..100) >= 20 {
                agent
                    .bills
                    .release(due.iter().map(|bill| bill.request_id.as_str()));
            }
        }
    }

    fn next_request_id(&mut self) -> String {
        self.serial += 1;
        format!("r{}", self.serial)
    }

    fn admit(
        &mut self,
        index: usize,
        work: Work,
        offset: u64,
    ) -> Option<Permit<Admitted>> {
        if self.agents[index].frozen {
            return None;
        }
        let decision = self.with_gate(index, |gate, cx| gate.admit(work, offset, cx));
        match decision {
            Decision::Admit(permit) => Some(permit),
            Decision::Refuse(_) => None,
            Decision::CatchUp(work) => {
                // The agent gets a newer configuration from an entry.
                let newest = self
                    .entries
                    .iter()
                    .map(|e| &e.config)
                    .max_by_key(|c| c.offset);
                let newest = newest.expect("the simulation has entries").clone();
                if newest.offset > self.agents[index].config.offset {
                    self.agents[index].config = newest;
                }
                match self.with_gate(index, |gate, cx| gate.admit(work, offset, cx)) {
                    Decision::Admit(permit) => Some(permit),
                    _ => None,
                }
            }
        }
    }

    fn with_gate<T>(
        &mut self,
        index: usize,
        decide: impl FnOnce(&mut Gate, Context<'_>) -> T,
    ) -> T {
        let loaded: BTreeSet<String> = VERSIONS
            .iter()
            .map(|version| format!("draft@{version}"))
            .collect();
        let agent = &mut self.agents[index];
        let health = if agent.config.offset == 0 {
            ConfigHealth::Empty
        } else {
            ConfigHealth::Fresh
        };
        let cx = Context {
            config: &agent.config,
            health,
            loaded: &loaded,
            service: "filing",
            now: self.now,
        };
        decide(&mut agent.gate, cx)
    }

    fn send_call(&mut self) {
        let (entry, agent) = (self.pick(ENTRIES), self.pick(AGENTS));
        let key = KEYS[self.pick(3)].to_owned();
        let request_id = self.next_request_id();
        let id = AttemptId {
            request_id: request_id.clone(),
            attempt: 1,
        };
        let work = Work {
            id: id.clone(),
            team: TEAM.into(),
            service: "filing".into(),
            key: key.clone(),
            deadline: self.now.plus(1_000),
            ..Work::default()
        };
        let offset = self.entries[entry].config.offset;
        let Some(permit) = self.admit(agent, work, offset) else {
            return;
        };
        let claim = Claim {
            team: TEAM.into(),
            key: key.clone(),
            request_id,
            holder: self.agents[agent].instance.clone(),
            attempt: 1,
        };
        self.record_step(format!(
            "call {} with key {key} at agent {agent}",
            claim.id()
        ));
        let claim_id = claim.id();
        self.dispatched.push(Dispatched {
            claim_id,
            key,
            id,
            agent,
        });
        self.append_claim(vec![ClaimEvent::Claim(claim.clone())]);
        let requested_at = self.now;
        let call = Call {
            claim,
            permit: Some(permit),
            started: None,
            requested_at,
        };
        self.agents[agent].calls.push(call);
    }

    fn apply_delayed_append(&mut self) {
        if self.log.down || self.log.delayed.is_empty() {
            return;
        }
        let index = self.pick(self.log.delayed.len());
        let record = self.log.delayed.swap_remove(index);
        self.record_step("a delayed append takes effect".into());
        self.log.claims.push(record);
    }

    /// Advances the calls of an agent: starts those whose claim won, and ends those
    /// that run.
    fn advance_calls(&mut self) {
        let index = self.pick(AGENTS);
        if self.agents[index].frozen {
            return;
        }
        let mut calls = std::mem::take(&mut self.agents[index].calls);
        let mut kept = Vec::new();
        for mut call in calls.drain(..) {
            if let Some(started) = call.started.take() {
                self.end_call(index, &call.claim, &started);
            } else if self.try_start(index, &mut call) {
                kept.push(call);
            }
        }
        self.agents[index].calls.extend(kept);
    }

    /// Starts the call if its claim won; returns whether the call is still in
    /// progress.
    fn try_start(&mut self, index: usize, call: &mut Call) -> bool {
        let Claim { team, key, .. } = &call.claim;
        match self.agents[index]
            .claims
            .claim_status(team, key, &call.claim.id())
        {
            ClaimStatus::Pending => true,
            ClaimStatus::Won => {
                let permit = call
                    .permit
                    .take()
                    .expect("a call that has not started has a permit");
                let permit = permit.claimed(call.requested_at);
                let started =
                    self.with_gate(index, |gate, cx| gate.start_claimed(permit, cx));
                match started {
                    Ok(started) => {
                        let id = started.work().id.clone();
                        self.record_step(format!(
                            "agent {index} runs {}",
                            call.claim.id()
                        ));
                        assert!(
                            !self.reported_not_run.contains(&id),
                            "{id:?} ran after it was reported as not run"
                        );
                        self.ran.insert(id);
                        *self.runs_by_key.entry(call.claim.key.clone()).or_default() +=
                            1;
                        call.started = Some(started);
                        true
                    }
                    Err(_) => {
                        self.void_claim(&call.claim);
                        false
                    }
                }
            }
            ClaimStatus::Voided | ClaimStatus::Taken | ClaimStatus::Ended { .. } => {
                let id = call.permit.take().map(|permit| permit.work().id.clone());
                if let Some(id) = id {
                    let now = self.now;
                    self.agents[index]
                        .gate
                        .end(&id, AttemptState::Tombstoned, now);
                }
                false
            }
        }
    }

    fn void_claim(&mut self, claim: &Claim) {
        let void = ClaimEvent::Void {
            team: claim.team.clone(),
            key: claim.key.clone(),
            claim_id: claim.id(),
        };
        self.append_claim(vec![void, ended_event(claim, Ending::NotRun)]);
    }

    fn end_call(&mut self, index: usize, claim: &Claim, started: &Permit<Started>) {
        self.record_step(format!("agent {index} ends {}", claim.id()));
        let ending = if self.chance(20) {
            Ending::Unknown
        } else {
            Ending::Done
        };
        self.append_claim(vec![ended_event(claim, ending)]);
        let id = started.work().id.clone();
        let now = self.now;
        self.agents[index].gate.end(&id, AttemptState::Done, now);
        if ending == Ending::Done {
            self.complete_request(index, &claim.request_id);
        }
    }

    /// An entry cancels a call: by a tombstone at the agent, or by a void record
    /// that it reads back from the log.
    fn cancel_call(&mut self) {
        if self.dispatched.is_empty() {
            return;
        }
        let index = self.pick(self.dispatched.len());
        let entry = self.pick(ENTRIES);
        let Dispatched {
            claim_id,
            key,
            id,
            agent,
        } = &self.dispatched[index];
        let (claim_id, key, id, agent) =
            (claim_id.clone(), key.clone(), id.clone(), *agent);
        if self.chance(30) && !self.agents[agent].frozen {
            // The agent may have been restarted as another instance since.
            let state = self.agents[agent].gate.state(&id);
            if state == AttemptState::Tombstoned {
                self.record_step(format!(
                    "{claim_id} reported as not run by the agent"
                ));
                self.reported_not_run.insert(id);
            }
            return;
        }
        if self.log.down {
            return;
        }
        let void = ClaimEvent::Void {
            team: TEAM.into(),
            key: key.clone(),
            claim_id: claim_id.clone(),
        };
        self.append_claim(vec![void]);
        self.read_entry(entry, usize::MAX);
        if self.entries[entry]
            .claims
            .claim_status(TEAM, &key, &claim_id)
            == ClaimStatus::Voided
        {
            self.record_step(format!("{claim_id} reported as not run by the log"));
            assert!(
                !self.ran.contains(&id),
                "{claim_id} had run when it was voided"
            );
            self.reported_not_run.insert(id);
        }
    }

    fn toggle_freeze(&mut self) {
        let index = self.pick(AGENTS);
        let agent = &mut self.agents[index];
        agent.frozen = !agent.frozen;
        let frozen = agent.frozen;
        self.record_step(format!("agent {index} frozen {frozen}"));
    }

    /// Kills an agent and starts a new instance without its state.  Its bills remain
    /// at their other holder; an agent that is the only holder of a bill is not
    /// killed, since a bill must not lose both holders.
    fn restart_agent(&mut self) {
        let index = self.pick(AGENTS);
        let bills_elsewhere: BTreeSet<String> = self
            .agents
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .flat_map(|(_, agent)| agent.bills.all())
            .map(|bill| bill.request_id)
            .collect();
        let sole_holder = self.agents[index]
            .bills
            .all()
            .iter()
            .any(|bill| !bills_elsewhere.contains(&bill.request_id));
        if sole_holder {
            return;
        }
        self.record_step(format!("agent {index} is killed and restarted"));
        self.agents[index] = self.new_agent();
    }

    fn check_invariants(&mut self) {
        for (key, runs) in &self.runs_by_key {
            assert!(*runs <= 1, "key {key} ran {runs} times");
        }
        let misreported: Vec<_> =
            self.reported_not_run.intersection(&self.ran).collect();
        assert!(
            misreported.is_empty(),
            "reported as not run, but ran: {misreported:?}"
        );
        let configs = self.entries.iter().map(|entry| &entry.config);
        for config in configs.chain(self.agents.iter().map(|agent| &agent.config)) {
            let digest = config.digest();
            let known = self
                .digests
                .entry(config.offset)
                .or_insert_with(|| digest.clone());
            assert_eq!(
                *known, digest,
                "configurations differ at offset {}",
                config.offset
            );
        }
    }

    /// Ends the outage and the freezes, and checks that every answered request is
    /// billed exactly once.
    fn recover_and_check_bills(&mut self) {
        self.log.down = false;
        for agent in &mut self.agents {
            agent.frozen = false;
        }
        for _ in 0..20 {
            self.append_bills();
        }
        let mut bills = Bills::default();
        for (offset, record) in self.log.bills.iter().enumerate() {
            bills.apply(offset as u64, record);
        }
        for request_id in &self.answered {
            assert!(
                bills.get(request_id).is_some(),
                "{request_id} was not billed"
            );
        }
        assert_eq!(
            bills.len(),
            self.answered.len(),
            "a request was billed that was not answered"
        );
    }
}

/// Puts the team, which may use the whole model or only its version v2.
fn team_change(whole_model: bool) -> Change {
    let allowed = if whole_model {
        vec!["draft".to_owned()]
    } else {
        vec!["draft@v2".to_owned()]
    };
    Change::Team(TeamSpec {
        name: TEAM.into(),
        allowed,
        services: vec!["filing".into()],
        ..TeamSpec::default()
    })
}

fn ended_event(claim: &Claim, ending: Ending) -> ClaimEvent {
    ClaimEvent::Ended {
        team: claim.team.clone(),
        key: claim.key.clone(),
        holder: claim.holder.clone(),
        ending,
        status: 200,
        answer: "done".into(),
    }
}

fn read_config(config: &mut Config, records: &[String], limit: usize) {
    let from = config.offset as usize;
    for (offset, record) in records.iter().enumerate().skip(from).take(limit) {
        config.apply(offset as u64, record);
    }
}

fn read_claims(claims: &mut Claims, records: &[String], limit: usize) {
    let from = claims.offset as usize;
    for (index, record) in records.iter().enumerate().skip(from).take(limit) {
        claims.apply(index as u64, record);
    }
}

/// Runs one sequence; a failure returns the reason and the steps so far.
fn run_sequence(seed: u64, steps: u32) -> Result<(), String> {
    let outcome = std::panic::catch_unwind(|| {
        let mut simulation = Simulation::new(seed);
        let checked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..steps {
                simulation.step();
                simulation.check_invariants();
            }
            simulation.recover_and_check_bills();
        }));
        (
            checked.map_err(|err| panic_message(&*err)),
            simulation.steps,
        )
    });
    match outcome {
        Ok((Ok(()), _)) => Ok(()),
        Ok((Err(reason), steps)) => Err(format!("{reason}\n{}", steps.join("\n"))),
        Err(err) => Err(panic_message(&*err)),
    }
}

/// The message of a caught panic.
fn panic_message(err: &(dyn std::any::Any + Send)) -> String {
    let text = err.downcast_ref::<String>().cloned();
    let text =
        text.or_else(|| err.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    text.unwrap_or_else(|| "panic without a message".into())
}

/// The fewest steps with which a seed still fails, found by bisection.
fn fewest_failing_steps(seed: u64) -> u32 {
    let (mut low, mut high) = (0, STEPS);
    while low + 1 < high {
        let middle = low + (high - low) / 2;
        if run_sequence(seed, middle).is_err() {
            high = middle;
        } else {
            low = middle;
        }
    }
    high
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn invariants_hold_in_random_sequences() {
    // Suppresses the message of each panic; only the final report is printed.
    std::panic::set_hook(Box::new(|_| {}));
    let seeds: Vec<u64> = match env_number("CURRANTBANK_SEED") {
        Some(seed) => vec![seed],
        None => {
            (1..=env_number("CURRANTBANK_SEQUENCES").unwrap_or(SEQUENCES)).collect()
        }
    };
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    let failures: Vec<u64> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|worker| {
                let seeds = &seeds;
                scope.spawn(move || {
                    let own = seeds.iter().skip(worker).step_by(threads).copied();
                    own.filter(|seed| run_sequence(*seed, STEPS).is_err())
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("worker thread doesn't panic"))
            .collect()
    });
    let _ = std::panic::take_hook();
    if let Some(seed) = failures.iter().min() {
        std::panic::set_hook(Box::new(|_| {}));
        let steps = fewest_failing_steps(*seed);
        let reason =
            run_sequence(*seed, steps).expect_err("the sequence failed before");
        let _ = std::panic::take_hook();
        panic!(
            "{} of {} fail; seed {seed}, {steps} steps:\n{reason}",
            failures.len(),
            seeds.len()
        );
    }
}
