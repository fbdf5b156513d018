//! Random sequences of requests, changes, kills, freezes, outages and delays
//! against the decision core; every invariant is checked after every step.
//!
//! `CURRANTBANK_SEED` replays one sequence and prints its steps;
//! `CURRANTBANK_SEQUENCES` sets how many are run.

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

/// Sequences of a run in CI.
const SEQUENCES: u64 = 10_000;

/// Steps of a sequence.
const STEPS: u32 = 200;

const ENTRIES: usize = 2;
const AGENTS: usize = 3;
const VERSIONS: [&str; 2] = ["v1", "v2"];
const KEYS: [&str; 3] = ["k1", "k2", "k3"];
const SESSIONS: [&str; 3] = ["s1", "s2", "s3"];
const TEAM: &str = "members";
const START_WITHIN_MS: u64 = 100;

/// The platform's log, with appends whose answers or effects are late.
#[derive(Default)]
struct Log {
    config: Vec<String>,
    claims: Vec<String>,
    bills: Vec<String>,
    /// Claim records that were sent and have not taken effect yet.
    late: Vec<String>,
    down: bool,
}

struct Entry {
    config: Config,
    claims: Claims,
}

/// A non-idempotent call on its way through an agent.
struct Call {
    claim: Claim,
    permit: Option<Permit<Admitted>>,
    started: Option<Permit<Started>>,
    asked_at: Millis,
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

/// What an entry still knows of an attempt that it dispatched.
struct Watched {
    claim_id: String,
    key: String,
    id: AttemptId,
    agent: usize,
}

struct World {
    rng: StdRng,
    now: Millis,
    log: Log,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    watched: Vec<Watched>,
    runs: BTreeMap<String, u32>,
    /// Attempts whose caller was told that they did not run.
    told_not_run: BTreeSet<AttemptId>,
    /// Attempts that ran.
    ran: BTreeSet<AttemptId>,
    sessions: BTreeMap<String, String>,
    /// Requests that were answered whole, and must be billed.
    answered: BTreeSet<String>,
    digests: BTreeMap<u64, String>,
    serial: u64,
    steps: Vec<String>,
}

fn fresh_gate() -> Gate {
    let limits = GateLimits {
        attempts_max: 64,
        remember_ms: 1_000_000,
        start_within_ms: START_WITHIN_MS,
    };
    Gate::new(limits)
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            rng: StdRng::seed_from_u64(seed),
            now: Millis(1_000),
            log: Log::default(),
            entries: Vec::new(),
            agents: Vec::new(),
            watched: Vec::new(),
            runs: BTreeMap::new(),
            told_not_run: BTreeSet::new(),
            ran: BTreeSet::new(),
            sessions: BTreeMap::new(),
            answered: BTreeSet::new(),
            digests: BTreeMap::new(),
            serial: 0,
            steps: Vec::new(),
        };
        world.seed_config();
        for _ in 0..ENTRIES {
            let (config, claims) = (Config::default(), Claims::default());
            world.entries.push(Entry { config, claims });
        }
        for _ in 0..AGENTS {
            let agent = world.new_agent();
            world.agents.push(agent);
        }
        for at in 0..ENTRIES {
            world.read_entry(at, usize::MAX);
        }
        for at in 0..AGENTS {
            world.read_agent(at, usize::MAX);
        }
        world
    }

    fn new_agent(&mut self) -> Agent {
        self.serial += 1;
        Agent {
            instance: format!("agent-{}", self.serial),
            config: Config::default(),
            claims: Claims::default(),
            gate: fresh_gate(),
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

    fn seed_config(&mut self) {
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
        self.publish(0, team(true));
    }

    /// The configuration that all records make, whoever has read them.
    fn truth(&self) -> Config {
        let mut config = Config::default();
        for (offset, record) in self.log.config.iter().enumerate() {
            config.apply(offset as u64, record);
        }
        config
    }

    fn read_entry(&mut self, at: usize, most: usize) {
        let entry = &mut self.entries[at];
        read(&mut entry.config, &self.log.config, most);
        read_claims(&mut entry.claims, &self.log.claims, most);
    }

    fn read_agent(&mut self, at: usize, most: usize) {
        let agent = &mut self.agents[at];
        read(&mut agent.config, &self.log.config, most);
        read_claims(&mut agent.claims, &self.log.claims, most);
    }

    fn pick(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Appends a claim record: at once, late, or not at all.
    fn append_claim(&mut self, events: Vec<ClaimEvent>) {
        let record = ClaimRecord::new(0, events).encode();
        if self.log.down || self.chance(20) {
            self.log.late.push(record);
            return;
        }
        // An answer that is lost makes its writer append again.
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
                    let (at, most) = (self.pick(ENTRIES), self.pick(4));
                    self.note(format!("entry {at} reads {most}"));
                    self.read_entry(at, most);
                }
            }
            3 | 4 => {
                let (at, most) = (self.pick(AGENTS), self.pick(6));
                if !self.log.down && !self.agents[at].frozen {
                    self.note(format!("agent {at} reads {most}"));
                    self.read_agent(at, most);
                }
            }
            5 => self.chat(),
            6 | 7 => self.call(),
            8 => self.deliver_late(),
            9 | 10 => self.go_on(),
            11 => self.give_up(),
            12 => self.freeze(),
            13 => self.restart(),
            14 => {
                let span_ms = self.rng.random_range(1..80);
                self.note(format!("{span_ms} ms pass"));
                self.now = self.now.plus(span_ms);
            }
            _ => {
                self.log.down = self.chance(30);
                let down = self.log.down;
                self.note(format!("log down {down}"));
                self.append_bills();
            }
        }
    }

    fn note(&mut self, step: String) {
        self.steps.push(step);
    }

    fn change_config(&mut self) {
        if self.log.down {
            return;
        }
        let truth = self.truth();
        let version = VERSIONS[self.pick(2)].to_owned();
        let model = "draft".to_owned();
        let change = match self.pick(5) {
            0 => team(false),
            1 => team(true),
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
        // A racing operator has an old revision now and then.
        let stale = u64::from(self.chance(20));
        let revision = truth.revision(&change.object_key()).saturating_sub(stale);
        self.note(format!("change {change:?} at {revision}"));
        self.publish(revision, change);
    }

    fn chat(&mut self) {
        let (entry, agent) = (self.pick(ENTRIES), self.pick(AGENTS));
        let name = SESSIONS[self.pick(3)];
        let started_on = self.sessions.get(name).cloned();
        let session = Session {
            name,
            started_on: started_on.as_deref(),
        };
        let request_id = self.next_id();
        let config = &self.entries[entry].config;
        let choice = choose_version(config, TEAM, "draft", None, session, &request_id);
        let offset = config.offset;
        let Ok(choice) = choice else {
            return;
        };
        self.note(format!(
            "chat {request_id} {name} {} at agent {agent}",
            choice.version
        ));
        if let Some(started_on) = &started_on {
            assert_eq!(*started_on, choice.version, "a session moved");
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
        let before = self.agents[agent].config.clone();
        let started = self.with_gate(agent, |gate, cx| gate.start(permit, cx));
        if started.is_err() {
            return;
        }
        assert!(
            before.offset >= offset,
            "an agent admitted with an older configuration"
        );
        let may = before.permits(TEAM, "draft", &choice.version);
        assert!(may, "a version ran that the team may not use");
        let state = before.version_state("draft", &choice.version);
        let fits = match state {
            Some(config::VersionState::Serving) => true,
            Some(config::VersionState::Retiring) => choice.continues,
            _ => false,
        };
        assert!(fits, "a withdrawn version got work: {state:?}");
        self.sessions
            .entry(name.to_owned())
            .or_insert(choice.version);
        let now = self.now;
        self.agents[agent].gate.end(&id, AttemptState::Done, now);
        self.finish(agent, &request_id);
    }

    /// The answer ends: the bill is held at the agent and at another one.
    fn finish(&mut self, agent: usize, request_id: &str) {
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
            // A lost answer leaves the bills held, and they are sent again.
            if self.rng.random_range(0..100) >= 20 {
                agent
                    .bills
                    .release(due.iter().map(|bill| bill.request_id.as_str()));
            }
        }
    }

    fn next_id(&mut self) -> String {
        self.serial += 1;
        format!("r{}", self.serial)
    }

    fn admit(
        &mut self,
        at: usize,
        work: Work,
        offset: u64,
    ) -> Option<Permit<Admitted>> {
        if self.agents[at].frozen {
            return None;
        }
        let decision = self.with_gate(at, |gate, cx| gate.admit(work, offset, cx));
        match decision {
            Decision::Admit(permit) => Some(permit),
            Decision::Refuse(_) => None,
            Decision::CatchUp(work) => {
                // The entry's own configuration is at hand.
                let newest = self
                    .entries
                    .iter()
                    .map(|e| &e.config)
                    .max_by_key(|c| c.offset);
                let newest = newest.expect("there are entries").clone();
                if newest.offset > self.agents[at].config.offset {
                    self.agents[at].config = newest;
                }
                match self.with_gate(at, |gate, cx| gate.admit(work, offset, cx)) {
                    Decision::Admit(permit) => Some(permit),
                    _ => None,
                }
            }
        }
    }

    fn with_gate<T>(
        &mut self,
        at: usize,
        judge: impl FnOnce(&mut Gate, Context<'_>) -> T,
    ) -> T {
        let loaded: BTreeSet<String> = VERSIONS
            .iter()
            .map(|version| format!("draft@{version}"))
            .collect();
        let agent = &mut self.agents[at];
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
        judge(&mut agent.gate, cx)
    }

    fn call(&mut self) {
        let (entry, agent) = (self.pick(ENTRIES), self.pick(AGENTS));
        let key = KEYS[self.pick(3)].to_owned();
        let request_id = self.next_id();
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
        self.note(format!("call {} {key} at agent {agent}", claim.id()));
        let claim_id = claim.id();
        self.watched.push(Watched {
            claim_id,
            key,
            id,
            agent,
        });
        self.append_claim(vec![ClaimEvent::Claim(claim.clone())]);
        let asked_at = self.now;
        let call = Call {
            claim,
            permit: Some(permit),
            started: None,
            asked_at,
        };
        self.agents[agent].calls.push(call);
    }

    fn deliver_late(&mut self) {
        if self.log.down || self.log.late.is_empty() {
            return;
        }
        let at = self.pick(self.log.late.len());
        let record = self.log.late.swap_remove(at);
        self.note("a late append takes effect".into());
        self.log.claims.push(record);
    }

    /// An agent goes on with its calls: starts those whose claim won, ends
    /// those that run.
    fn go_on(&mut self) {
        let at = self.pick(AGENTS);
        if self.agents[at].frozen {
            return;
        }
        let mut calls = std::mem::take(&mut self.agents[at].calls);
        let mut kept = Vec::new();
        for mut call in calls.drain(..) {
            if let Some(started) = call.started.take() {
                self.end_call(at, &call.claim, &started);
            } else if self.try_start(at, &mut call) {
                kept.push(call);
            }
        }
        self.agents[at].calls.extend(kept);
    }

    /// Tells whether the call is to be kept.
    fn try_start(&mut self, at: usize, call: &mut Call) -> bool {
        let Claim { team, key, .. } = &call.claim;
        match self.agents[at]
            .claims
            .claim_status(team, key, &call.claim.id())
        {
            ClaimStatus::Pending => true,
            ClaimStatus::Won => {
                let permit = call.permit.take().expect("a call that has not started");
                let permit = permit.claimed(call.asked_at);
                let started =
                    self.with_gate(at, |gate, cx| gate.start_claimed(permit, cx));
                match started {
                    Ok(started) => {
                        let id = started.work().id.clone();
                        self.note(format!("agent {at} runs {}", call.claim.id()));
                        assert!(
                            !self.told_not_run.contains(&id),
                            "{id:?} ran after all"
                        );
                        self.ran.insert(id);
                        *self.runs.entry(call.claim.key.clone()).or_default() += 1;
                        call.started = Some(started);
                        true
                    }
                    Err(_) => {
                        self.abandon(&call.claim);
                        false
                    }
                }
            }
            ClaimStatus::Voided | ClaimStatus::Taken | ClaimStatus::Ended { .. } => {
                let id = call.permit.take().map(|permit| permit.work().id.clone());
                if let Some(id) = id {
                    let now = self.now;
                    self.agents[at].gate.end(&id, AttemptState::Tombstoned, now);
                }
                false
            }
        }
    }

    fn abandon(&mut self, claim: &Claim) {
        let void = ClaimEvent::Void {
            team: claim.team.clone(),
            key: claim.key.clone(),
            claim_id: claim.id(),
        };
        self.append_claim(vec![void, ended(claim, Ending::NotRun)]);
    }

    fn end_call(&mut self, at: usize, claim: &Claim, started: &Permit<Started>) {
        self.note(format!("agent {at} ends {}", claim.id()));
        let ending = if self.chance(20) {
            Ending::Unknown
        } else {
            Ending::Done
        };
        self.append_claim(vec![ended(claim, ending)]);
        let id = started.work().id.clone();
        let now = self.now;
        self.agents[at].gate.end(&id, AttemptState::Done, now);
        if ending == Ending::Done {
            self.finish(at, &claim.request_id);
        }
    }

    /// An entry gives a call up: by a tombstone at the agent, or by a void on
    /// the log that it reads back.
    fn give_up(&mut self) {
        if self.watched.is_empty() {
            return;
        }
        let at = self.pick(self.watched.len());
        let entry = self.pick(ENTRIES);
        let Watched {
            claim_id,
            key,
            id,
            agent,
        } = &self.watched[at];
        let (claim_id, key, id, agent) =
            (claim_id.clone(), key.clone(), id.clone(), *agent);
        if self.chance(30) && !self.agents[agent].frozen {
            // The agent at that place may be another instance by now.
            let same = self.agents[agent].gate.state(&id);
            if same == AttemptState::Tombstoned {
                self.note(format!("told {claim_id} not run, by the agent"));
                self.told_not_run.insert(id);
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
            self.note(format!("told {claim_id} not run, by the log"));
            assert!(!self.ran.contains(&id), "{claim_id} had run");
            self.told_not_run.insert(id);
        }
    }

    fn freeze(&mut self) {
        let at = self.pick(AGENTS);
        let agent = &mut self.agents[at];
        agent.frozen = !agent.frozen;
        let frozen = agent.frozen;
        self.note(format!("agent {at} frozen {frozen}"));
    }

    /// An agent is killed and comes back knowing nothing; its bills stay with
    /// their other holder, which must not be lost at the same time.
    fn restart(&mut self) {
        let at = self.pick(AGENTS);
        let others: BTreeSet<String> = self
            .agents
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != at)
            .flat_map(|(_, agent)| agent.bills.all())
            .map(|bill| bill.request_id)
            .collect();
        let only_here = self.agents[at]
            .bills
            .all()
            .iter()
            .any(|bill| !others.contains(&bill.request_id));
        if only_here {
            return;
        }
        self.note(format!("agent {at} is killed and restarted"));
        self.agents[at] = self.new_agent();
    }

    fn check(&mut self) {
        for (key, runs) in &self.runs {
            assert!(*runs <= 1, "key {key} ran {runs} times");
        }
        let both: Vec<_> = self.told_not_run.intersection(&self.ran).collect();
        assert!(both.is_empty(), "told not run, but ran: {both:?}");
        let configs = self.entries.iter().map(|entry| &entry.config);
        for config in configs.chain(self.agents.iter().map(|agent| &agent.config)) {
            let digest = config.digest();
            let known = self
                .digests
                .entry(config.offset)
                .or_insert_with(|| digest.clone());
            assert_eq!(*known, digest, "two folds differ at {}", config.offset);
        }
    }

    /// The log comes back, everything thaws, and every answered request is
    /// billed exactly once.
    fn settle(&mut self) {
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

fn team(allowed: bool) -> Change {
    let allowed = if allowed {
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

fn ended(claim: &Claim, ending: Ending) -> ClaimEvent {
    ClaimEvent::Ended {
        team: claim.team.clone(),
        key: claim.key.clone(),
        holder: claim.holder.clone(),
        ending,
        status: 200,
        answer: "done".into(),
    }
}

fn read(config: &mut Config, records: &[String], most: usize) {
    let from = config.offset as usize;
    for (at, record) in records.iter().enumerate().skip(from).take(most) {
        config.apply(at as u64, record);
    }
}

fn read_claims(claims: &mut Claims, records: &[String], most: usize) {
    let from = claims.offset as usize;
    for (at, record) in records.iter().enumerate().skip(from).take(most) {
        claims.apply(at as u64, record);
    }
}

/// Runs one sequence; the number of steps is where it ended.
fn run_sequence(seed: u64, steps: u32) -> Result<(), String> {
    let outcome = std::panic::catch_unwind(|| {
        let mut world = World::new(seed);
        let checked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..steps {
                world.step();
                world.check();
            }
            world.settle();
        }));
        (checked.map_err(|err| text(&*err)), world.steps)
    });
    match outcome {
        Ok((Ok(()), _)) => Ok(()),
        Ok((Err(why), steps)) => Err(format!("{why}\n{}", steps.join("\n"))),
        Err(err) => Err(text(&*err)),
    }
}

fn text(err: &(dyn std::any::Any + Send)) -> String {
    let text = err.downcast_ref::<String>().cloned();
    let text =
        text.or_else(|| err.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    text.unwrap_or_else(|| "a panic without a text".into())
}

/// The fewest steps with which a seed still fails.
fn shrink(seed: u64) -> u32 {
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

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn invariants_hold_in_random_sequences() {
    // Only a failure's own report is to be seen, not each panic's.
    std::panic::set_hook(Box::new(|_| {}));
    let seeds: Vec<u64> = match variable("CURRANTBANK_SEED") {
        Some(seed) => vec![seed],
        None => (1..=variable("CURRANTBANK_SEQUENCES").unwrap_or(SEQUENCES)).collect(),
    };
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    let failures: Vec<u64> = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..threads)
            .map(|part| {
                let seeds = &seeds;
                scope.spawn(move || {
                    let own = seeds.iter().skip(part).step_by(threads).copied();
                    own.filter(|seed| run_sequence(*seed, STEPS).is_err())
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().expect("a part ends"))
            .collect()
    });
    let _ = std::panic::take_hook();
    if let Some(seed) = failures.iter().min() {
        std::panic::set_hook(Box::new(|_| {}));
        let steps = shrink(*seed);
        let why = run_sequence(*seed, steps).expect_err("it failed before");
        let _ = std::panic::take_hook();
        panic!(
            "{} of {} fail; seed {seed}, {steps} steps:\n{why}",
            failures.len(),
            seeds.len()
        );
    }
}
