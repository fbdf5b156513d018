//! Replays loads on a plain service through its admission queue, in simulated time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::SocketAddr,
};

use clock::Millis;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{
    AdmissionKey, AdmissionQuestion, AdmissionQueue, AdmissionVerdict, PermitCapacity,
};

const SLOTS: u32 = 18;
const MEAN_WORK_MS: f64 = 50.0;
const DEADLINE_MS: u64 = 1_000;

const CAPACITY: PermitCapacity = PermitCapacity {
    slots: SLOTS,
    permits: 2 * SLOTS,
};

/// What refused callers do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Refused {
    /// They give up.
    Leave,
    /// They come back when they were told, up to three times.
    Return,
    /// They repeat after 5 ms, up to 20 times.
    Repeat,
}

/// Requests of one team.
#[derive(Clone, Copy, Debug)]
struct Load {
    team: u64,
    priority: u8,
    /// Requests a second before and from the start of the surge.
    per_s: [f64; 2],
    refused: Refused,
}

const fn load(team: u64, per_s: f64) -> Load {
    Load {
        team,
        priority: 2,
        per_s: [per_s, per_s],
        refused: Refused::Return,
    }
}

/// What became of the requests of one team during the surge.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u32,
    answered: u32,
    answered_after_return: u32,
    refused: u32,
    late: u32,
}

impl Served {
    fn fraction(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.asked.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    load: usize,
    identity: u64,
    tries: u32,
    counted: bool,
    asked: Millis,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrives(u64),
    Ends(AdmissionKey),
}

/// One service with its queue, and callers at several gateways.
struct Replay {
    loads: Vec<Load>,
    queue: AdmissionQueue,
    rng: StdRng,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    callers: HashMap<u64, Caller>,
    waiting: HashMap<AdmissionKey, u64>,
    running: HashMap<Option<SocketAddr>, u32>,
    /// Requests at the endpoints beyond their slots.
    queued: VecDeque<AdmissionKey>,
    busy: u32,
    busy_most: u32,
    next_caller: u64,
    /// Fraction of the ends that are not reported.
    lost_ends: f64,
    served: HashMap<u64, Served>,
}

const WARM_UP_MS: u64 = 30_000;
const SURGE_MS: u64 = 30_000;

impl Replay {
    fn new(loads: &[Load], seed: u64) -> Self {
        Replay {
            loads: loads.to_vec(),
            queue: AdmissionQueue::default(),
            rng: StdRng::seed_from_u64(seed),
            now: Millis(1_000_000),
            events: BinaryHeap::new(),
            callers: HashMap::new(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            queued: VecDeque::new(),
            busy: 0,
            busy_most: 0,
            next_caller: 0,
            lost_ends: 0.0,
            served: HashMap::new(),
        }
    }

    fn run(mut self) -> HashMap<u64, Served> {
        let start = self.now;
        for _ in 0..WARM_UP_MS + SURGE_MS {
            let elapsed_ms = self.now.since(start);
            self.arrive(elapsed_ms);
            while let Some(Reverse((at, event))) = self.events.peek().copied() {
                if at > self.now {
                    break;
                }
                self.events.pop();
                match event {
                    Event::Arrives(caller) => self.ask(caller),
                    Event::Ends(key) => self.end(key),
                }
            }
            if elapsed_ms.is_multiple_of(50) {
                self.renew(elapsed_ms);
            }
            self.now = self.now.plus(1);
        }
        assert!(self.busy_most <= CAPACITY.permits, "{}", self.busy_most);
        self.served
    }

    fn arrive(&mut self, elapsed_ms: u64) {
        let surges = elapsed_ms >= WARM_UP_MS;
        for index in 0..self.loads.len() {
            let per_ms = self.loads[index].per_s[usize::from(surges)] / 1_000.0;
            let mut count = per_ms.floor() as u32;
            count += u32::from(self.rng.random_bool(per_ms.fract()));
            for _ in 0..count {
                self.next_caller += 1;
                let caller = Caller {
                    load: index,
                    identity: self.next_caller,
                    tries: 0,
                    // Those at the end have no time to be answered.
                    counted: surges
                        && elapsed_ms < WARM_UP_MS + SURGE_MS - 2 * DEADLINE_MS,
                    asked: self.now,
                };
                if caller.counted {
                    let team = self.loads[index].team;
                    self.served.entry(team).or_default().asked += 1;
                }
                self.callers.insert(self.next_caller, caller);
                self.ask(self.next_caller);
            }
        }
    }

    fn question(&self, number: u64, key: AdmissionKey) -> AdmissionQuestion {
        let caller = self.callers[&number];
        let load = self.loads[caller.load];
        AdmissionQuestion {
            key,
            team: load.team,
            priority: load.priority,
            left_ms: caller.asked.plus(DEADLINE_MS).since(self.now),
            running: self.running.get(&key.gateway).copied().unwrap_or(0),
            identity: caller.identity,
        }
    }

    fn ask(&mut self, number: u64) {
        let caller = self.callers.get_mut(&number).expect("the caller is known");
        caller.asked = self.now;
        caller.tries += 1;
        let tries = u64::from(caller.tries);
        let gateway = match number % 4 {
            0 => None,
            n => Some(SocketAddr::from(([127, 0, 0, 1], n as u16))),
        };
        let key = AdmissionKey {
            gateway,
            number: number * 100 + tries,
        };
        let question = self.question(number, key);
        let jitter = self.rng.random();
        let verdict = self.queue.ask(&question, CAPACITY, jitter, self.now);
        self.waiting.insert(key, number);
        self.decide(key, verdict);
        self.take_decided();
    }

    fn take_decided(&mut self) {
        for (key, verdict) in self.queue.take_decided() {
            self.decide(key, verdict);
        }
    }

    fn decide(&mut self, key: AdmissionKey, verdict: AdmissionVerdict) {
        match verdict {
            AdmissionVerdict::Waiting => {}
            AdmissionVerdict::Granted => {
                *self.running.entry(key.gateway).or_default() += 1;
                self.busy += 1;
                self.busy_most = self.busy_most.max(self.busy);
                if self.busy <= SLOTS {
                    self.start(key);
                } else {
                    self.queued.push_back(key);
                }
            }
            AdmissionVerdict::Refused { retry_after_ms, .. } => {
                let Some(number) = self.waiting.remove(&key) else {
                    return;
                };
                let caller = self.callers[&number];
                let load = self.loads[caller.load];
                if caller.counted {
                    self.served.entry(load.team).or_default().refused += 1;
                }
                let (again_ms, tries_max) = match load.refused {
                    Refused::Leave => (0, 1),
                    Refused::Return => (retry_after_ms, 4),
                    Refused::Repeat => (5, 20),
                };
                if caller.tries < tries_max {
                    let at = self.now.plus(again_ms);
                    self.events.push(Reverse((at, Event::Arrives(number))));
                } else {
                    self.callers.remove(&number);
                }
            }
        }
    }

    fn start(&mut self, key: AdmissionKey) {
        let uniform: f64 = self.rng.random();
        let work_ms = (-(1.0 - uniform).ln() * MEAN_WORK_MS).max(1.0) as u64;
        let at = self.now.plus(work_ms.max(1));
        self.events.push(Reverse((at, Event::Ends(key))));
    }

    fn end(&mut self, key: AdmissionKey) {
        self.busy -= 1;
        *self.running.entry(key.gateway).or_default() -= 1;
        let number = self.waiting.remove(&key).expect("the request ran");
        let caller = self.callers.remove(&number).expect("the caller is known");
        if caller.counted {
            let team = self.loads[caller.load].team;
            let served = self.served.entry(team).or_default();
            if self.now.since(caller.asked) <= DEADLINE_MS {
                served.answered += 1;
                served.answered_after_return += u32::from(caller.tries > 1);
            } else {
                served.late += 1;
            }
        }
        if !self.rng.random_bool(self.lost_ends) {
            let jitter = self.rng.random();
            self.queue.end(key, CAPACITY, jitter, self.now);
        }
        if let Some(next) = self.queued.pop_front() {
            self.start(next);
        }
        self.take_decided();
    }

    fn renew(&mut self, elapsed_ms: u64) {
        if elapsed_ms.is_multiple_of(400) {
            let waiting: Vec<_> = self.waiting.iter().map(|(k, n)| (*k, *n)).collect();
            let in_progress: Vec<AdmissionKey> = self
                .events
                .iter()
                .filter_map(|Reverse((_, event))| match event {
                    Event::Ends(key) => Some(*key),
                    Event::Arrives(_) => None,
                })
                .chain(self.queued.iter().copied())
                .collect();
            for (key, number) in waiting {
                if in_progress.contains(&key) {
                    continue;
                }
                let question = self.question(number, key);
                let jitter = self.rng.random();
                let verdict = self.queue.ask(&question, CAPACITY, jitter, self.now);
                self.decide(key, verdict);
            }
        }
        let jitter = self.rng.random();
        self.queue.expire(CAPACITY, jitter, self.now);
        self.take_decided();
    }
}

/// Four teams that use three quarters of the service, most of it by the first.
const USUAL: [Load; 4] = [load(1, 150.0), load(2, 45.0), load(3, 45.0), load(4, 30.0)];

fn with_surge(loads: &[Load], team: u64, factor: f64, refused: Refused) -> Vec<Load> {
    let mut loads = loads.to_vec();
    for load in loads.iter_mut().filter(|load| load.team == team) {
        load.per_s[1] = load.per_s[0] * factor;
        load.refused = refused;
    }
    loads
}

#[test]
fn team_at_nine_times_its_usual_load_takes_nothing_from_the_others() {
    for refused in [Refused::Leave, Refused::Return, Refused::Repeat] {
        for seed in 0..2 {
            let usual = Replay::new(&USUAL, seed).run();
            let surge = with_surge(&USUAL, 4, 9.0, refused);
            let surge = Replay::new(&surge, seed).run();
            for team in [1, 2, 3] {
                let (before, during) = (usual[&team], surge[&team]);
                assert!(
                    during.fraction() >= before.fraction() - 0.02,
                    "{refused:?} seed {seed} team {team}: {before:?} {during:?}"
                );
            }
        }
    }
}
