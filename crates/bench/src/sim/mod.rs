//! Drives the decision core against a model of engines, on scripted time.
//!
//! The model's assumptions: an engine generates its slots' requests at once,
//! slower as it fills; the others wait in order; a request's length is drawn
//! from an exponential distribution; the rater finds each answer good with a
//! chance that its version and the question's kind set.  Entries share one
//! configuration, since a change is in force within seconds.

mod model;
mod plan;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
};

use clock::Millis;
use config::{Change, Config, RolloutAction, TeamSpec};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{
    Admission, GateDecision, GateSample, Locality, PassRates, PickSettings,
    PoolCapacity, Report, RetryBudget, RolloutGate, RunnerOutcome, Runners, Session,
    StepCosts, Target, choose_version,
};

use self::{
    model::{
        ATTEMPTS_MAX, BAD_GOOD, BEAT_MS, ENTRIES, Engine, EntryState, Event, FAULT_AT,
        GOOD, Job, LARGE, MEAN_TOKENS, ModelKind, PRICED_TOKENS, RATING_MS, ROOMS,
        SILENCE_MS, SLOTS, SMALL, engine_kind, key, team_name,
    },
    plan::{apply, configuration},
};

pub use self::model::{Deployment, Outcomes, Situation, Variant};

/// One run.
pub struct Sim {
    rng: StdRng,
    now: u64,
    serial: u64,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    plant: Deployment,
    situation: Situation,
    variant: Variant,
    duration: u64,
    config: Config,
    engines: Vec<Engine>,
    entries: Vec<EntryState>,
    jobs: BTreeMap<u64, Job>,
    stopped: bool,
    first_exposed: Option<u64>,
    out: Outcomes,
}

impl Sim {
    /// Runs a situation for `duration_ms` of scripted time.
    pub fn run(
        plant: Deployment,
        situation: Situation,
        variant: Variant,
        duration_ms: u64,
        seed: u64,
    ) -> Outcomes {
        let mut sim = Sim::new(plant, situation, variant, duration_ms, seed);
        sim.push(0, Event::Beat);
        sim.push(1, Event::Arrive);
        let fault_at = (duration_ms as f64 * FAULT_AT) as u64;
        sim.push(fault_at, Event::Fault(true));
        sim.push(fault_at + 30_000, Event::Fault(false));
        while let Some(Reverse((at, _, event))) = sim.heap.pop() {
            // What is under way at the end may finish.
            if at > duration_ms + 60_000 {
                break;
            }
            sim.now = at;
            sim.handle(event);
        }
        sim.out
    }

    fn new(
        plant: Deployment,
        situation: Situation,
        variant: Variant,
        duration: u64,
        seed: u64,
    ) -> Sim {
        let engines = (0..plant.small + plant.large).map(|at| Engine {
            kind: engine_kind(plant, situation, at),
            room: at % ROOMS,
            key: key(at),
            running: 0,
            waiting: VecDeque::new(),
            alive: true,
            reports: VecDeque::new(),
        });
        let entries = (0..ENTRIES).map(|at| EntryState {
            runners: Runners::default(),
            admission: Admission::new(100_000),
            retries: RetryBudget::new(f64::from(variant.retry_percent) / 100.0),
            rates: PassRates::default(),
            gate: RolloutGate::default(),
            room: at % ROOMS,
            alive: true,
        });
        Sim {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            serial: 0,
            heap: BinaryHeap::new(),
            engines: engines.collect(),
            entries: entries.collect(),
            jobs: BTreeMap::new(),
            stopped: false,
            first_exposed: None,
            out: Outcomes::new(),
            config: configuration(variant, situation),
            plant,
            situation,
            variant,
            duration,
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.heap.push(Reverse((at, self.serial, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Again(id) => self.enter_entry(id),
            Event::Enter(engine, id, attempt) => self.enter_engine(engine, id, attempt),
            Event::Finish(engine, id, attempt) => self.finish(engine, id, attempt),
            Event::Lost(id, attempt) => self.lost(id, attempt),
            Event::Rated(id) => self.rated(id),
            Event::Beat => self.beat(),
            Event::Fault(begins) => self.fault(begins),
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -mean * draw.ln()
    }

    fn rate(&self) -> f64 {
        let overloaded = self.situation == Situation::Overload
            && self.now > self.duration / 3
            && self.now < self.duration * 2 / 3;
        if overloaded {
            self.plant.rate * 3.0
        } else {
            self.plant.rate
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.duration {
            return;
        }
        let rate = self.rate();
        let gap_ms = self.exponential(1_000.0 / rate);
        self.push(self.now + gap_ms.ceil() as u64, Event::Arrive);
        // The surplus is the large team's; it is a third of a steady day.
        let surplus = rate / self.plant.rate - 1.0;
        let large_share = (0.33 + surplus) / (1.0 + surplus);
        let large = self.rng.random_range(0.0..1.0) < large_share;
        let team = if large {
            0
        } else {
            self.rng.random_range(1..10)
        };
        let job = Job {
            entry: 0,
            team,
            hard: self.rng.random_range(0.0..1.0) < 0.3,
            cascade: self.rng.random_range(0.0..1.0) < 0.7,
            tokens: 20.0 + self.exponential(MEAN_TOKENS - 20.0),
            arrived: self.now,
            step: 0,
            attempts: 0,
            step_attempts: 0,
            engine: 0,
            sent_at: 0,
            version: "",
            first_at: 0,
            cost_micros: 0.0,
            tries: 0,
        };
        self.serial += 1;
        let id = self.serial;
        self.jobs.insert(id, job);
        self.enter_entry(id);
    }

    /// The balancer chooses a live entry, which lets the request in or not.
    fn enter_entry(&mut self, id: u64) {
        let live: Vec<usize> =
            (0..ENTRIES).filter(|at| self.entries[*at].alive).collect();
        let entry = live[self.rng.random_range(0..live.len())];
        let team = self.jobs[&id].team;
        let now = Millis(self.now);
        let spec = TeamSpec {
            name: team_name(team),
            weight: 1,
            ..TeamSpec::default()
        };
        let capacity = {
            let runners = &self.entries[entry].runners;
            runners.capacity(Target::Version("draft@v1"), now, SILENCE_MS)
        };
        let (slots, slots_in_use) = if self.variant.fair { capacity } else { (0, 0) };
        let share = PoolCapacity {
            entries: live.len() as u32,
            slots,
            slots_in_use,
        };
        let admitted = self.entries[entry].admission.admit(&spec, share, now);
        let job = self.jobs.get_mut(&id).expect("a job in progress");
        job.entry = entry;
        job.tries += 1;
        if let Err(err) = admitted {
            // A well-behaved caller comes back when it was told, a few times.
            if job.tries < 4 && self.situation == Situation::Outage {
                self.push(self.now + err.retry_after_ms().max(100), Event::Again(id));
            } else {
                self.out.refused += 1;
                self.jobs.remove(&id);
            }
            return;
        }
        self.choose_step(id);
    }

    /// Skips the cheap step where it does not pay.
    fn choose_step(&mut self, id: u64) {
        let job = &self.jobs[&id];
        let explore = self.rng.random_range(0.0..1.0);
        let tries_cheap = job.cascade && {
            let entry = &self.entries[job.entry];
            let chance = entry.rates.pass_rate(&team_name(job.team), "small", 0.7);
            let costs = StepCosts {
                step_micros: SMALL.price_micros * MEAN_TOKENS / PRICED_TOKENS,
                next_micros: LARGE.price_micros * MEAN_TOKENS / PRICED_TOKENS,
                step_ms: SMALL.first_ms + SMALL.token_ms * MEAN_TOKENS,
                micros_per_ms: self.variant.weights.micros_per_ms,
                left_ms: 60_000.0,
                later_steps_ms: LARGE.first_ms + LARGE.token_ms * MEAN_TOKENS,
            };
            entry
                .rates
                .should_try(self.variant.cascade, chance, costs, explore)
        };
        let job = self.jobs.get_mut(&id).expect("a job in progress");
        job.step = usize::from(!tries_cheap);
        self.dispatch(id);
    }

    fn kind(&self, id: u64) -> ModelKind {
        if self.jobs[&id].step == 0 {
            SMALL
        } else {
            LARGE
        }
    }

    fn dispatch(&mut self, id: u64) {
        let kind = self.kind(id);
        let job = &self.jobs[&id];
        let team = team_name(job.team);
        let name = id.to_string();
        let session = Session {
            name: &name,
            started_on: None,
        };
        let chosen =
            choose_version(&self.config, &team, kind.name, None, session, &name);
        let version = match chosen.as_ref().map(|choice| choice.version.as_str()) {
            Ok("v2") => "v2",
            _ => "v1",
        };
        let entry = &mut self.entries[job.entry];
        let settings = PickSettings {
            balance: self.variant.balance,
            locality: Locality {
                failure_domain: entry.room.to_string(),
                region: String::new(),
            },
            silence_ms: SILENCE_MS,
            entries: ENTRIES as u32,
        };
        let now = Millis(self.now);
        let target = format!("{}@v1", kind.name);
        let target = Target::Version(&target);
        let picked = entry
            .runners
            .pick(target, &[], &settings, now, &mut self.rng);
        let Ok(runner) = picked else {
            self.no_runner(id);
            return;
        };
        if job.step_attempts == 0 {
            entry.retries.record_first_attempt(now);
            self.out.dispatched += 1;
        }
        entry.runners.record_dispatch(runner);
        self.out.attempts += 1;
        let engine = self
            .engines
            .iter()
            .position(|e| e.key == runner)
            .expect("a known engine");
        let far = self.engines[engine].room != entry.room;
        let way_ms = if far { self.plant.room_ms } else { 0 };
        let job = self.jobs.get_mut(&id).expect("a job in progress");
        job.attempts += 1;
        job.step_attempts += 1;
        job.engine = engine;
        job.sent_at = self.now;
        job.version = version;
        let attempt = job.attempts;
        self.push(self.now + way_ms, Event::Enter(engine, id, attempt));
    }

    /// Refused at once; the caller comes back when it was told.
    fn no_runner(&mut self, id: u64) {
        let team = team_name(self.jobs[&id].team);
        let entry = self.jobs[&id].entry;
        self.entries[entry].admission.release(&team);
        let job = &self.jobs[&id];
        if job.tries < 40 && self.situation == Situation::Outage {
            self.push(self.now + 1_000, Event::Again(id));
        } else {
            self.out.refused += 1;
            self.jobs.remove(&id);
        }
    }

    fn enter_engine(&mut self, engine: usize, id: u64, attempt: u32) {
        if !self.jobs.contains_key(&id) {
            return;
        }
        if !self.engines[engine].alive || self.stopped {
            self.push(self.now + SILENCE_MS, Event::Lost(id, attempt));
            return;
        }
        if self.engines[engine].running < SLOTS {
            self.start(engine, id, attempt);
        } else {
            self.engines[engine].waiting.push_back(id);
        }
    }

    fn start(&mut self, engine: usize, id: u64, attempt: u32) {
        let slot = &mut self.engines[engine];
        slot.running += 1;
        let crowd = 1.0 + 0.5 * f64::from(slot.running) / f64::from(SLOTS);
        let kind = slot.kind;
        let far = slot.room != self.entries[self.jobs[&id].entry].room;
        let way_ms = if far { self.plant.room_ms } else { 0 };
        let job = self.jobs.get_mut(&id).expect("a job in progress");
        let first_ms = kind.first_ms * crowd;
        let whole_ms = first_ms + kind.token_ms * crowd * job.tokens;
        let caller_ms = 2 * self.plant.caller_ms;
        job.first_at = self.now + first_ms as u64 + way_ms + caller_ms;
        self.push(
            self.now + whole_ms as u64,
            Event::Finish(engine, id, attempt),
        );
    }

    fn lost(&mut self, id: u64, attempt: u32) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.attempts != attempt {
            return;
        }
        let (entry, runner) = (job.entry, self.engines[job.engine].key);
        let step_attempts = job.step_attempts;
        let now = Millis(self.now);
        self.entries[entry]
            .runners
            .record_end(runner, RunnerOutcome::Failure, now);
        let retry =
            step_attempts < ATTEMPTS_MAX && self.entries[entry].retries.try_retry(now);
        if retry && self.entries[entry].alive {
            self.dispatch(id);
            return;
        }
        self.out.failed += 1;
        self.close(id);
    }

    fn close(&mut self, id: u64) {
        if let Some(job) = self.jobs.remove(&id) {
            self.entries[job.entry]
                .admission
                .release(&team_name(job.team));
        }
    }

    fn finish(&mut self, engine: usize, id: u64, attempt: u32) {
        let alive = self.engines[engine].alive && !self.stopped;
        self.engines[engine].running = self.engines[engine].running.saturating_sub(1);
        if !alive {
            self.push(self.now + SILENCE_MS, Event::Lost(id, attempt));
            return;
        }
        self.start_waiting(engine);
        let kind = self.engines[engine].kind;
        let runner = self.engines[engine].key;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.attempts != attempt {
            return;
        }
        let tokens = job.tokens;
        job.cost_micros += tokens * kind.price_micros / PRICED_TOKENS;
        let took_ms = self.now - job.sent_at;
        let (entry, step) = (job.entry, job.step);
        self.out.tokens += tokens as u64;
        let now = Millis(self.now);
        self.entries[entry].runners.record_end(
            runner,
            RunnerOutcome::Success { took_ms },
            now,
        );
        if step == 0 {
            self.push(self.now + RATING_MS, Event::Rated(id));
        } else {
            self.answer(id, kind);
        }
    }

    fn start_waiting(&mut self, engine: usize) {
        while self.engines[engine].running < SLOTS {
            let Some(id) = self.engines[engine].waiting.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let attempt = job.attempts;
            self.start(engine, id, attempt);
        }
    }

    /// Chance that an answer is good.
    fn good_chance(&self, job: &Job, kind: ModelKind) -> f64 {
        let late = self.now > self.duration / 2;
        let usual = if job.hard {
            kind.good_hard
        } else {
            kind.good_easy
        };
        let shifted =
            self.situation == Situation::PassRateShift && late && job.step == 0;
        let bad = job.version == "v2"
            && match self.situation {
                Situation::BadVersion | Situation::BadRaterSilent => true,
                Situation::BadForOneTeam => job.team == 0,
                Situation::BadSlowly => self.now > self.duration / 4,
                _ => false,
            };
        if bad {
            BAD_GOOD
        } else if shifted {
            usual * 0.35
        } else {
            usual
        }
    }

    fn draw_good(&mut self, id: u64, kind: ModelKind) -> bool {
        let chance = self.good_chance(&self.jobs[&id], kind);
        self.rng.random_range(0.0..1.0) < chance
    }

    /// The cheap step's rating came.
    fn rated(&mut self, id: u64) {
        if !self.jobs.contains_key(&id) {
            return;
        }
        let good = self.draw_good(id, SMALL);
        let job = &self.jobs[&id];
        let (entry, team, tokens) = (job.entry, team_name(job.team), job.tokens);
        self.entries[entry].rates.record(&team, "small", good);
        if good {
            self.deliver(id, true);
            return;
        }
        self.out.wasted_tokens += tokens as u64;
        let job = self.jobs.get_mut(&id).expect("a job in progress");
        job.step = 1;
        job.step_attempts = 0;
        self.dispatch(id);
    }

    fn answer(&mut self, id: u64, kind: ModelKind) {
        let good = self.draw_good(id, kind);
        let job = &self.jobs[&id];
        let (entry, on_new) = (job.entry, job.version == "v2");
        let silent = self.situation == Situation::BadRaterSilent;
        if !silent {
            let rating = if good { 0.9 } else { 0.1 };
            let input = GateSample {
                on_new,
                good: rating >= GOOD,
                at: Millis(self.now),
            };
            let settings = self.variant.weights.gate;
            self.entries[entry].gate.record(input, &settings);
        }
        self.deliver(id, good);
    }

    fn deliver(&mut self, id: u64, good: bool) {
        let job = self.jobs[&id].clone();
        let whole_ms = self.now - job.arrived + 2 * self.plant.caller_ms;
        // A judged step's first token goes out with its rating.
        let first_ms = if job.step == 0 {
            whole_ms
        } else {
            job.first_at.saturating_sub(job.arrived)
        };
        let _ = self.out.first_ms.record(first_ms);
        let _ = self.out.whole_ms.record(whole_ms);
        if job.team != 0 {
            let _ = self.out.others_ms.record(whole_ms);
        }
        self.out.answered += 1;
        self.out.good += u64::from(good);
        self.out.cost_micros += job.cost_micros;
        *self.out.per_second.entry(self.now / 1_000).or_default() += 1;
        let exposed = job.version == "v2" && self.is_bad_version(&job);
        if exposed {
            self.out.exposed += 1;
            let first = *self.first_exposed.get_or_insert(self.now);
            self.out.exposed_span_ms = self.now - first;
        }
        self.close(id);
    }

    fn is_bad_version(&self, job: &Job) -> bool {
        match self.situation {
            Situation::BadVersion | Situation::BadRaterSilent => true,
            Situation::BadForOneTeam => job.team == 0,
            Situation::BadSlowly => self.now > self.duration / 4,
            _ => false,
        }
    }

    /// Engines publish their load; entries hear it, and look at the roll-out.
    fn beat(&mut self) {
        if self.now < self.duration + 30_000 {
            self.push(self.now + BEAT_MS, Event::Beat);
        }
        let lags = matches!(
            self.situation,
            Situation::LaggingReports | Situation::LaggingOneSlow
        );
        let lag_ms = if lags { 5_000 } else { 200 };
        for at in 0..self.engines.len() {
            let engine = &mut self.engines[at];
            let state = (self.now, engine.running, engine.waiting.len() as u32);
            engine.reports.push_back(state);
            while engine.reports.len() > 1 && engine.reports[1].0 + lag_ms <= self.now {
                engine.reports.pop_front();
            }
            if !engine.alive || self.stopped {
                continue;
            }
            let (_, running, queued) = engine.reports[0];
            let report = Report {
                instance: format!("i-{at}"),
                locality: Locality {
                    failure_domain: engine.room.to_string(),
                    region: String::new(),
                },
                versions: [format!("{}@v1", engine.kind.name)].into(),
                running,
                queued,
                slots: SLOTS,
                ..Report::default()
            };
            for entry in self.entries.iter_mut().filter(|entry| entry.alive) {
                entry
                    .runners
                    .record_report(key(at), report.clone(), Millis(self.now));
            }
        }
        self.look_at_rollout();
    }

    fn look_at_rollout(&mut self) {
        let Some(rollout) = self.config.rollouts.get("draft").cloned() else {
            return;
        };
        let settings = self.variant.weights.gate;
        let now = Millis(self.now);
        for entry in &self.entries {
            let action = match entry.gate.decide(&rollout.value, now, now, &settings) {
                GateDecision::Wait => continue,
                GateDecision::Advance => RolloutAction::Advance,
                GateDecision::Halt => RolloutAction::Halt,
            };
            let change = Change::RolloutControl {
                model: "draft".into(),
                action,
                reason: String::new(),
            };
            let offset = self.config.offset;
            let id = format!("{}-{action:?}", rollout.revision);
            apply(
                &mut self.config,
                offset,
                &id,
                rollout.revision,
                self.now,
                change,
            );
            return;
        }
    }

    fn fault(&mut self, begins: bool) {
        match self.situation {
            Situation::RoomLost if begins => {
                for engine in self.engines.iter_mut().filter(|engine| engine.room == 0)
                {
                    engine.alive = false;
                    let waiting: Vec<u64> = engine.waiting.drain(..).collect();
                    engine.running = 0;
                    for id in waiting {
                        let attempt = self.jobs.get(&id).map_or(0, |job| job.attempts);
                        self.serial += 1;
                        let lost = Event::Lost(id, attempt);
                        self.heap.push(Reverse((
                            self.now + SILENCE_MS,
                            self.serial,
                            lost,
                        )));
                    }
                }
                // Its entry's requests end with it; their callers come again.
                self.entries[0].alive = false;
                let gone: Vec<u64> = self
                    .jobs
                    .iter()
                    .filter(|(_, job)| job.entry == 0)
                    .map(|(id, _)| *id)
                    .collect();
                for id in gone {
                    self.out.failed += 1;
                    self.close(id);
                }
            }
            Situation::Outage => self.stopped = begins,
            _ => {}
        }
    }
}
