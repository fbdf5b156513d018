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
    WaitingRoom,
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

/// What happens to the owner in the middle of the surge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// It is replaced by another one that knows nothing.
    Lost,
    /// Half of the gateways are cut off from it for 10 s, and have another one.
    Cut,
}

/// One service with its queue, and callers at several gateways.
struct Replay {
    loads: Vec<Load>,
    /// Queues of the owners; the second is used while the fleet is cut.
    queues: [AdmissionQueue; 2],
    fault: Fault,
    /// Owner that each request in progress was granted by.
    granted_by: HashMap<AdmissionKey, usize>,
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
    /// Usual loads of the teams, as the gateways were told last.
    usual: HashMap<u64, f64>,
    is_cut: bool,
    /// Fraction of the ends that are not reported.
    lost_ends: f64,
    served: HashMap<u64, Served>,
}

const WARM_UP_MS: u64 = 30_000;
const SURGE_MS: u64 = 30_000;
const FAULT_MS: u64 = WARM_UP_MS + 10_000;
const CUT_MS: u64 = 10_000;

impl Replay {
    fn new(loads: &[Load], seed: u64) -> Self {
        Replay {
            loads: loads.to_vec(),
            queues: Default::default(),
            fault: Fault::None,
            granted_by: HashMap::new(),
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
            usual: HashMap::new(),
            is_cut: false,
            lost_ends: 0.0,
            served: HashMap::new(),
        }
    }

    fn run(mut self) -> HashMap<u64, Served> {
        let start = self.now;
        for _ in 0..WARM_UP_MS + SURGE_MS {
            let elapsed_ms = self.now.since(start);
            if self.fault == Fault::Lost && elapsed_ms == FAULT_MS {
                self.queues[0] = AdmissionQueue::default();
            }
            self.is_cut = self.fault == Fault::Cut
                && (FAULT_MS..FAULT_MS + CUT_MS).contains(&elapsed_ms);
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
        // A new owner knows of the requests at a gateway when that asks for the first
        // time, so for a moment it may grant more.
        let most = match self.fault {
            Fault::None => CAPACITY.permits,
            Fault::Lost | Fault::Cut => CAPACITY.permits * 3 / 2,
        };
        let fault = self.fault;
        assert!(
            self.busy_most <= most,
            "{fault:?}: {} of {most}",
            self.busy_most
        );
        self.served
    }

    /// Returns the owner that a gateway asks.
    fn owner(&self, gateway: Option<SocketAddr>) -> usize {
        let is_far = gateway.is_some_and(|gateway| gateway.port() >= 2);
        usize::from(self.is_cut && is_far)
    }

    /// Returns what an owner grants; nothing if there is another one.
    fn capacity(&self, owner: usize) -> PermitCapacity {
        match (self.is_cut, owner) {
            (true, _) => PermitCapacity {
                slots: CAPACITY.slots / 2,
                permits: CAPACITY.permits / 2,
            },
            (false, 0) => CAPACITY,
            (false, _) => PermitCapacity::default(),
        }
    }

    fn ask_owner(&mut self, question: &AdmissionQuestion) -> AdmissionVerdict {
        let owner = self.owner(question.key.gateway);
        let capacity = self.capacity(owner);
        let jitter = self.rng.random();
        let queue = &mut self.queues[owner];
        let verdict = queue.ask(question, capacity, jitter, self.now);
        self.usual.insert(question.team, queue.usual(question.team));
        if verdict == AdmissionVerdict::Granted {
            self.granted_by.insert(question.key, owner);
        }
        verdict
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
            usual: self.usual.get(&load.team).copied().unwrap_or(0.0),
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
        let verdict = self.ask_owner(&question);
        self.waiting.insert(key, number);
        self.decide(key, verdict);
        self.take_decided();
    }

    fn take_decided(&mut self) {
        for owner in 0..self.queues.len() {
            for (key, verdict) in self.queues[owner].take_decided() {
                let is_gone = !self.waiting.contains_key(&key);
                if is_gone || self.granted_by.contains_key(&key) {
                    // Another owner decided before.
                    let capacity = self.capacity(owner);
                    self.queues[owner].end(key, capacity, 0.0, self.now);
                    continue;
                }
                if verdict == AdmissionVerdict::Granted {
                    self.granted_by.insert(key, owner);
                }
                self.decide(key, verdict);
            }
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
        let owner = self.granted_by.remove(&key).expect("it was granted");
        if !self.rng.random_bool(self.lost_ends) {
            let capacity = self.capacity(owner);
            let jitter = self.rng.random();
            self.queues[owner].end(key, capacity, jitter, self.now);
        }
        if let Some(next) = self.queued.pop_front() {
            self.start(next);
        }
        self.take_decided();
    }

    fn renew(&mut self, elapsed_ms: u64) {
        if elapsed_ms.is_multiple_of(400) {
            let waiting: Vec<_> = self.waiting.iter().map(|(k, n)| (*k, *n)).collect();
            for (key, number) in waiting {
                if self.granted_by.contains_key(&key) {
                    continue;
                }
                let question = self.question(number, key);
                let verdict = self.ask_owner(&question);
                self.decide(key, verdict);
            }
        }
        for owner in 0..self.queues.len() {
            let capacity = self.capacity(owner);
            let jitter = self.rng.random();
            self.queues[owner].expire(capacity, jitter, self.now);
        }
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

/// Checks that the teams other than 4 are served as without its surge.
fn check_others(
    usual: &HashMap<u64, Served>,
    surge: &HashMap<u64, Served>,
    what: &str,
) {
    for team in [1, 2, 3] {
        let (before, during) = (usual[&team], surge[&team]);
        assert!(
            during.fraction() >= before.fraction() - 0.02,
            "{what}, team {team}: {before:?} {during:?}"
        );
    }
}

#[test]
fn team_at_nine_times_its_usual_load_takes_nothing_from_the_others() {
    for refused in [Refused::Leave, Refused::Return, Refused::Repeat] {
        for seed in 0..2 {
            let usual = Replay::new(&USUAL, seed).run();
            let surge = with_surge(&USUAL, 4, 9.0, refused);
            let surge = Replay::new(&surge, seed).run();
            check_others(&usual, &surge, &format!("{refused:?} seed {seed}"));
            // All that the others leave is used.
            assert!(surge[&4].answered > 5 * usual[&4].answered / 2, "{surge:?}");
        }
    }
}

/// A new owner knows neither the shares nor what is in progress, and the owners of a cut
/// fleet do not hear each other.
#[test]
fn others_are_served_although_the_owner_is_lost_or_cut_off() {
    for fault in [Fault::Lost, Fault::Cut] {
        for seed in 0..2 {
            let mut usual = Replay::new(&USUAL, seed);
            usual.fault = fault;
            let surge = with_surge(&USUAL, 4, 9.0, Refused::Return);
            let mut surge = Replay::new(&surge, seed);
            surge.fault = fault;
            let (usual, surge) = (usual.run(), surge.run());
            check_others(&usual, &surge, &format!("{fault:?} seed {seed}"));
        }
    }
}

/// Permits whose end was not reported would otherwise use up the service.
#[test]
fn lost_ends_do_not_use_up_the_permits() {
    let surge = with_surge(&USUAL, 4, 9.0, Refused::Return);
    let mut replay = Replay::new(&surge, 0);
    replay.lost_ends = 0.1;
    let served = replay.run();
    let whole = Replay::new(&USUAL, 0).run();
    check_others(&whole, &served, "a tenth of the ends is lost");
}

/// Strict priorities would leave nothing for the least urgent team, or for the least
/// urgent kind of request of one team.
#[test]
fn nobody_starves_below_more_urgent_requests() {
    let least = Load {
        priority: 9,
        ..load(2, 40.0)
    };
    let kinds = [
        Load {
            priority: 0,
            per_s: [60.0, 400.0],
            ..load(1, 0.0)
        },
        least,
        Load {
            priority: 0,
            per_s: [60.0, 400.0],
            ..load(3, 0.0)
        },
    ];
    let served = Replay::new(&kinds, 1).run();
    assert!(served[&2].fraction() > 0.95, "{served:?}");
}

/// A team whose callers repeat at once must not get more than one whose callers wait as
/// they were told.
#[test]
fn repeating_at_once_gains_nothing() {
    let patient = load(1, 130.0);
    let repeating = Load {
        refused: Refused::Repeat,
        ..load(2, 130.0)
    };
    let loads = [patient, repeating].map(|load| Load {
        per_s: [load.per_s[0], 4.0 * load.per_s[0]],
        ..load
    });
    let served = Replay::new(&loads, 2).run();
    let (patient, repeating) = (served[&1].fraction(), served[&2].fraction());
    assert!(patient >= repeating * 0.98, "{served:?}");
}

fn ask_one(
    queue: &mut AdmissionQueue,
    number: u64,
    identity: u64,
    now: Millis,
) -> AdmissionVerdict {
    let question = AdmissionQuestion {
        key: AdmissionKey {
            gateway: None,
            number,
        },
        team: 1,
        priority: 0,
        left_ms: 200,
        running: 0,
        identity,
        usual: 0.0,
    };
    let capacity = PermitCapacity {
        slots: 1,
        permits: 1,
    };
    queue.ask(&question, capacity, 0.0, now)
}

/// Callers who wait as they were told would otherwise lose against new ones for ever.
#[test]
fn returning_caller_goes_before_new_ones_of_its_team() {
    let capacity = PermitCapacity {
        slots: 1,
        permits: 1,
    };
    let mut queue = AdmissionQueue::default();
    let key = |number| AdmissionKey {
        gateway: None,
        number,
    };
    let mut now = Millis(1_000_000);
    assert_eq!(ask_one(&mut queue, 1, 1, now), AdmissionVerdict::Granted);
    now = now.plus(40);
    queue.end(key(1), capacity, 0.0, now);
    assert_eq!(ask_one(&mut queue, 2, 2, now), AdmissionVerdict::Granted);
    let mut number = 2;
    let refused = loop {
        number += 1;
        match ask_one(&mut queue, number, number, now) {
            AdmissionVerdict::Refused { retry_after_ms, .. } => break retry_after_ms,
            verdict => assert_eq!(verdict, AdmissionVerdict::Waiting),
        }
        assert!(number < 20, "nothing is refused");
    };
    let caller = number;
    for waiting in 2..number {
        queue.end(key(waiting), capacity, 0.0, now);
    }
    queue.take_decided();
    now = now.plus(refused);
    assert_eq!(
        ask_one(&mut queue, 100, 100, now),
        AdmissionVerdict::Granted
    );
    assert_eq!(
        ask_one(&mut queue, 101, 101, now),
        AdmissionVerdict::Waiting
    );
    assert_eq!(
        ask_one(&mut queue, 102, caller, now),
        AdmissionVerdict::Waiting
    );
    now = now.plus(40);
    queue.end(key(100), capacity, 0.0, now);
    let decided = queue.take_decided();
    assert_eq!(decided, [(key(102), AdmissionVerdict::Granted)]);
}

/// The permits of a gateway that was lost would otherwise stay in use for ever.
#[test]
fn permit_expires_after_its_deadline() {
    let capacity = PermitCapacity {
        slots: 1,
        permits: 1,
    };
    let mut queue = AdmissionQueue::default();
    let now = Millis(1_000_000);
    assert_eq!(ask_one(&mut queue, 1, 1, now), AdmissionVerdict::Granted);
    queue.expire(capacity, 0.0, now.plus(1_100));
    assert_eq!(queue.in_use(), 1);
    queue.expire(capacity, 0.0, now.plus(2_300));
    assert_eq!(queue.in_use(), 0);
}

/// One team filled all places of a gateway, and others were refused there.
#[test]
fn one_team_cannot_fill_the_waiting_room() {
    let mut room = WaitingRoom::new(100, 10_000);
    while room.try_enter(1, 10) {}
    assert!(room.try_enter(2, 10));
    let mut bytes = WaitingRoom::new(100, 10_000);
    while bytes.try_enter(1, 1_000) {}
    assert!(bytes.try_enter(2, 1_000));
    assert!(!bytes.try_enter(2, 9_000));
    bytes.leave(1, 1_000);
    assert!(bytes.try_enter(1, 1_000));
}
