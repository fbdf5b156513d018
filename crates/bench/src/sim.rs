//! Drives the decision core against a model of engines, on scripted time.
//!
//! The model's assumptions: an engine generates its slots' requests at once,
//! slower as it fills; the others wait in order; a request's length is drawn
//! from an exponential distribution; the rater finds each answer good with a
//! chance that its version and the question's kind set.  Entries share one
//! configuration, since a change is in force within seconds.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::SocketAddr,
};

use clock::Millis;
use config::{
    Change, ChangeRecord, Config, Gate, ModelSpec, RolloutAction, RolloutSpec,
    TeamSpec, VersionSpec,
};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{
    Admission, Balance, CascadePolicy, GateInput, GateVerdict, Locality, Outcome,
    PassRates, PickSettings, Report, RetryBudget, RolloutGate, Runners, Session, Share,
    StepCosts, Target, Weights, choose_version,
};

/// Entries of a deployment.
const ENTRIES: usize = 3;

/// Rooms of a deployment.
const ROOMS: usize = 3;

/// Requests that an engine generates at once.
const SLOTS: u32 = 8;

/// Time between heartbeats, ms.
const BEAT_MS: u64 = 500;

/// Silence after which an attempt counts as lost, ms.
const SILENCE_MS: u64 = 2_000;

/// Time that a rating takes, ms.
const RATING_MS: u64 = 80;

/// Least rating of a good answer.
const GOOD: f64 = 0.5;

/// Mean output tokens of an answer.
const MEAN_TOKENS: f64 = 150.0;

/// Tokens that a price is given for.
const PRICED_TOKENS: f64 = 1_000.0;

/// Attempts of a request.
const ATTEMPTS_MAX: u32 = 3;

/// Time at which a situation's fault strikes, as a part of the run.
const FAULT_AT: f64 = 0.4;

/// How a model's engines behave, and what its answers are worth.
#[derive(Clone, Copy, Debug)]
struct ModelKind {
    name: &'static str,
    first_ms: f64,
    token_ms: f64,
    price_micros: f64,
    good_easy: f64,
    good_hard: f64,
}

const SMALL: ModelKind = ModelKind {
    name: "small",
    first_ms: 60.0,
    token_ms: 4.0,
    price_micros: 300.0,
    good_easy: 0.96,
    good_hard: 0.25,
};

const LARGE: ModelKind = ModelKind {
    name: "draft",
    first_ms: 150.0,
    token_ms: 9.0,
    price_micros: 2_000.0,
    good_easy: 0.98,
    good_hard: 0.95,
};

/// Good answers of a bad version.
const BAD_GOOD: f64 = 0.40;

/// One of the two users' plants.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in tables.
    pub name: &'static str,
    /// Engines of the cheap model.
    pub small: usize,
    /// Engines of the dear model.
    pub large: usize,
    /// One way to another room, ms.
    pub room_ms: u64,
    /// One way to a caller, ms.
    pub caller_ms: u64,
    /// Requests a second on a steady day.
    pub rate: f64,
}

/// What happens during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Situation {
    /// Nothing out of the ordinary.
    Steady,
    /// One large team sends twice what the plant can serve.
    Overload,
    /// A room loses power at the peak.
    RoomLost,
    /// The version under roll-out is bad from the start.
    BadVersion,
    /// It is bad for the large team's requests only.
    BadForOneTeam,
    /// It turns bad slowly, in the middle of the roll-out.
    BadSlowly,
    /// It is bad, and the rater is silent.
    BadRaterSilent,
    /// It is as good as the serving one.
    GoodVersion,
    /// All engines stop for 30 s, and callers try again.
    Outage,
    /// Load reports lag by 5 s.
    LaggingReports,
    /// They lag, and one engine of each model generates at a third of the
    /// others' pace.
    LaggingOneSlow,
    /// The cheap model's answers get worse in the middle of the day.
    PassRateShift,
}

/// Which decisions are made how.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// Name in tables.
    pub name: &'static str,
    /// How a runner is chosen.
    pub balance: Balance,
    /// Whether cheap steps are tried.
    pub cascade: CascadePolicy,
    /// How a roll-out passes steps.
    pub gate: Gate,
    /// Retries allowed, percent of first attempts.
    pub retry_percent: u32,
    /// What the user weighs most.
    pub weights: Weights,
    /// Whether teams are held to their share while slots are short.
    pub fair: bool,
}

/// What a run showed.
pub struct Outcomes {
    /// Time to the first token, ms.
    pub first_ms: Histogram<u64>,
    /// Time to the whole answer, ms.
    pub whole_ms: Histogram<u64>,
    /// Time to the whole answer of all teams but the large one, ms.
    pub others_ms: Histogram<u64>,
    /// Whole answers.
    pub answered: u64,
    /// Good ones among them.
    pub good: u64,
    /// Price of all steps, millionths of a euro.
    pub cost_micros: f64,
    /// Answers of the bad version.
    pub exposed: u64,
    /// When the last of them ended, ms after the first; 0 if there was none.
    pub exposed_span_ms: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Requests that failed after a dispatch.
    pub failed: u64,
    /// Attempts that were dispatched.
    pub attempts: u64,
    /// Steps whose first attempt was dispatched.
    pub dispatched: u64,
    /// Tokens of steps whose answers were not returned.
    pub wasted_tokens: u64,
    /// All tokens.
    pub tokens: u64,
    /// Whole answers in each second.
    pub per_second: BTreeMap<u64, u64>,
}

impl Outcomes {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
        Outcomes {
            first_ms: histogram(),
            whole_ms: histogram(),
            others_ms: histogram(),
            answered: 0,
            good: 0,
            cost_micros: 0.0,
            exposed: 0,
            exposed_span_ms: 0,
            refused: 0,
            failed: 0,
            attempts: 0,
            dispatched: 0,
            wasted_tokens: 0,
            tokens: 0,
            per_second: BTreeMap::new(),
        }
    }

    /// Attempts for each request that was dispatched.
    pub fn amplification(&self) -> f64 {
        self.attempts as f64 / self.dispatched.max(1) as f64
    }
}

struct Engine {
    kind: ModelKind,
    room: usize,
    key: SocketAddr,
    running: u32,
    waiting: VecDeque<u64>,
    alive: bool,
    /// What it will report, oldest first, with when it was so.
    reports: VecDeque<(u64, u32, u32)>,
}

struct EntryState {
    runners: Runners,
    admission: Admission,
    retries: RetryBudget,
    rates: PassRates,
    gate: RolloutGate,
    room: usize,
    alive: bool,
}

#[derive(Clone)]
struct Job {
    entry: usize,
    team: usize,
    hard: bool,
    cascade: bool,
    tokens: f64,
    arrived: u64,
    /// Index of the step: 0 small, 1 large.
    step: usize,
    /// Attempts over all steps; names the one that an event is about.
    attempts: u32,
    step_attempts: u32,
    engine: usize,
    sent_at: u64,
    version: &'static str,
    first_at: u64,
    cost_micros: f64,
    tries: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Again(u64),
    Enter(usize, u64, u32),
    Finish(usize, u64, u32),
    Lost(u64, u32),
    Rated(u64),
    Beat,
    Fault(bool),
}

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

fn key(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at as u8 + 1], 7_100))
}

fn engine_kind(plant: Deployment, situation: Situation, at: usize) -> ModelKind {
    let kind = if at < plant.small { SMALL } else { LARGE };
    let is_slow =
        situation == Situation::LaggingOneSlow && (at == 0 || at == plant.small);
    if is_slow {
        let (first_ms, token_ms) = (kind.first_ms * 3.0, kind.token_ms * 3.0);
        ModelKind {
            first_ms,
            token_ms,
            ..kind
        }
    } else {
        kind
    }
}

fn team_name(team: usize) -> String {
    format!("team-{team}")
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
            retries: RetryBudget::new(variant.retry_percent),
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
        let share = Share {
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
            let chance = entry.rates.chance(&team_name(job.team), "small", 0.7);
            let costs = StepCosts {
                step_micros: SMALL.price_micros * MEAN_TOKENS / PRICED_TOKENS,
                next_micros: LARGE.price_micros * MEAN_TOKENS / PRICED_TOKENS,
                step_ms: SMALL.first_ms + SMALL.token_ms * MEAN_TOKENS,
                micros_per_ms: self.variant.weights.micros_per_ms,
                left_ms: 60_000.0,
                rest_ms: LARGE.first_ms + LARGE.token_ms * MEAN_TOKENS,
            };
            entry
                .rates
                .worth_trying(self.variant.cascade, chance, costs, explore)
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
            here: Locality {
                room: entry.room.to_string(),
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
            entry.retries.first_attempt(now);
            self.out.dispatched += 1;
        }
        entry.runners.sent(runner);
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
        self.entries[entry].runners.ended(runner, Outcome::Bad, now);
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
        self.entries[entry]
            .runners
            .ended(runner, Outcome::Good { took_ms }, now);
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
        self.entries[entry].rates.rated(&team, "small", good);
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
            let input = GateInput {
                on_new,
                good: rating >= GOOD,
                at: Millis(self.now),
            };
            let settings = self.variant.weights.gate;
            self.entries[entry].gate.take(input, &settings);
        }
        self.deliver(id, good);
    }

    fn deliver(&mut self, id: u64, good: bool) {
        let job = self.jobs[&id].clone();
        let whole_ms = self.now - job.arrived + 2 * self.plant.caller_ms;
        let first_ms = if job.step == 0 || job.cost_micros > 0.0 && job.first_at == 0 {
            whole_ms
        } else {
            job.first_at.saturating_sub(job.arrived)
        };
        // A judged step's first token goes out with its rating.
        let first_ms = if job.step == 0 { whole_ms } else { first_ms };
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
                    room: engine.room.to_string(),
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
                    .heard(key(at), report.clone(), Millis(self.now));
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
            let action = match entry.gate.verdict(&rollout.value, now, now, &settings) {
                GateVerdict::Wait => continue,
                GateVerdict::Advance => RolloutAction::Advance,
                GateVerdict::Halt => RolloutAction::Halt,
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

fn apply(
    config: &mut Config,
    offset: u64,
    id: &str,
    expected_revision: u64,
    at_ms: u64,
    change: Change,
) {
    let record = ChangeRecord {
        change_id: id.to_owned(),
        expected_revision,
        at_ms,
        change,
        ..ChangeRecord::default()
    };
    config.apply(offset, &record.encode());
}

fn configuration(variant: Variant, situation: Situation) -> Config {
    let mut config = Config::default();
    let mut put = |expected: u64, change: Change| {
        let offset = config.offset;
        apply(
            &mut config,
            offset,
            &format!("c{offset}"),
            expected,
            0,
            change,
        );
    };
    for model in ["small", "draft"] {
        let spec = |serving: &str| ModelSpec {
            name: model.into(),
            serving: serving.into(),
        };
        put(0, Change::Model(spec("")));
        for version in ["v1", "v2"] {
            let spec = VersionSpec {
                model: model.into(),
                version: version.into(),
                ..VersionSpec::default()
            };
            put(0, Change::Version(spec));
        }
        let revision = if model == "small" { 1 } else { 5 };
        put(revision, Change::Model(spec("v1")));
    }
    for team in 0..10 {
        put(
            0,
            Change::Team(TeamSpec {
                name: team_name(team),
                allowed: vec!["small".into(), "draft".into()],
                weight: 1,
                ..TeamSpec::default()
            }),
        );
    }
    let rolls_out = matches!(
        situation,
        Situation::BadVersion
            | Situation::BadForOneTeam
            | Situation::BadSlowly
            | Situation::BadRaterSilent
            | Situation::GoodVersion
    );
    if rolls_out {
        put(
            0,
            Change::Rollout(RolloutSpec {
                model: "draft".into(),
                to: "v2".into(),
                percents: vec![5, 25, 50, 100],
                gate: variant.gate,
                step_ms: 60_000,
            }),
        );
    }
    config
}
