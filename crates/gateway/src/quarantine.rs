//! Holds back requests that have a component on which endpoints crash.
//!
//! Each gateway reports the requests that endpoints cut off to the two gateways that
//! count the crashes of the service. These decide what is held back, tell all others
//! and record it in the log, from which a gateway that starts reads it. A gateway that
//! had a good answer to such a request objects. See `docs/design/deployment.md`.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::{Clock, Millis};
use http::{HeaderValue, Method};
use log::{info, warn};
use platform::{Prompt, QuarantineRecord};
use route::{
    ComponentSet, CrashLedger, CutRequest, Grounds, Quarantine, Quarantines,
    RecentCount, SoundComponents, digest_bytes, digest_pair, digest_text,
};
use tokio::sync::Notify;

use crate::{
    attempt::InFlight,
    caller_request::CallerRequest,
    datagram::{
        COMPONENTS_MAX, CrashNotice, CutReport, Datagram, QuarantineNotice,
        QuarantineState, SoundNotice, WHOLES_MAX,
    },
    state::Gateway,
};

/// Number of gateways that count the crashes of a service, so that one of them may fail.
const COUNTERS: usize = 2;

/// Time in which reports on one crash are collected before they are evaluated, ms.
const COLLECT_MS: u64 = 20;

/// Maximum number of services whose crashes are counted here, since reports are not
/// authenticated.
const LEDGERS_MAX: usize = 64;

/// Interval of checks for what has expired, and of notices on what the log does not
/// hold yet, ms.
const TICK_MS: u64 = 5_000;

/// Maximum number of times that the crashes of a service are evaluated in a row.
const EVALUATIONS_MAX: usize = 4;

/// Time for which a request that was given up may still crash its endpoint, ms.
const ABANDONED_MS: u64 = 3_000;

/// Maximum number of crashes that are remembered for as long.
const CRASHED_MAX: usize = 256;

/// Maximum number of requests that were given up and are remembered.
const ABANDONED_MAX: usize = 256;

/// Digests of what is known of a request and may be the cause of crashes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Components {
    /// The request as a whole, without the description of its prompt.
    whole: u64,
    /// The same with all parts of the prompt.
    with_prompt: u64,
    /// The parts of its prompt that other requests share.
    shared: Vec<u64>,
}

impl Components {
    fn wholes(&self) -> impl Iterator<Item = &u64> {
        let with_prompt = (self.with_prompt != self.whole).then_some(&self.with_prompt);
        std::iter::once(&self.whole).chain(with_prompt)
    }

    fn iter(&self) -> impl Iterator<Item = &u64> {
        self.wholes().chain(&self.shared)
    }

    fn contains(&self, component: &u64) -> bool {
        self.iter().any(|known| known == component)
    }
}

/// A request as it was sent to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct RequestTrace {
    /// Digest of the service.
    pub service: u64,
    /// Digest of the endpoint's version.
    pub version: u64,
    /// Digest of the endpoint's id.
    pub endpoint: u64,
    /// Start time of the endpoint's incarnation, ms since the Unix epoch.
    pub born_ms: u64,
    /// What the request held.
    pub components: Rc<Components>,
    /// When it was cut off or given up.
    pub at: Millis,
}

impl RequestTrace {
    fn crash_notice(&self) -> CrashNotice {
        CrashNotice {
            service: self.service,
            endpoint: self.endpoint,
            born_ms: self.born_ms,
        }
    }
}

/// State of the exchange on crashes.
#[derive(Debug, Default)]
pub(crate) struct QuarantineExchange {
    pub sets: RefCell<Quarantines>,
    /// Crashes by the digest of the service, as far as this gateway counts them.
    ledgers: RefCell<HashMap<u64, CrashLedger>>,
    /// Components of the good answers of this gateway.
    sound: RefCell<SoundComponents>,
    /// Number of good answers of this gateway, by the digest of the service.
    answered: RefCell<HashMap<u64, RecentCount>>,
    /// Crashes that were reported, and when.
    crashed: RefCell<HashMap<CrashNotice, Millis>>,
    /// Requests that were given up, oldest first.
    abandoned: RefCell<VecDeque<RequestTrace>>,
    /// Records to append to the log beyond those of the sets.
    pub lifted: RefCell<Vec<QuarantineRecord>>,
    /// Notified when crashes were reported that have not been evaluated.
    reported: Notify,
    /// Notified when something is to be recorded in the log.
    pub record_pending: Notify,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Hold {
    /// It may.
    Free,
    /// Endpoints are assumed to crash on it; tried again at this time.
    HeldUntil(Millis),
}

/// What a request is recognized by when it comes again, with another id.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestContent<'a> {
    pub service: &'a str,
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// Name of the caller's team, if it is known.
    pub team: Option<&'a HeaderValue>,
    pub body: &'a [u8],
    pub prompt: &'a Prompt,
}

impl RequestContent<'_> {
    /// Returns the digests of what may be the cause of crashes.
    pub fn components(&self) -> Components {
        let service = digest_text(self.service);
        let whole = digest_pair(service, self.digest());
        let parts = self.prompt.parts.iter();
        let with_prompt = parts.fold(whole, |all, part| digest_pair(all, part.id));
        let shared = self
            .prompt
            .shared_parts()
            .iter()
            .take(COMPONENTS_MAX - WHOLES_MAX);
        Components {
            whole,
            with_prompt,
            shared: shared.map(|part| digest_pair(service, part.id)).collect(),
        }
    }

    fn digest(&self) -> u64 {
        let team = self.team.map_or(0, |team| digest_bytes(team.as_bytes()));
        let head = digest_text(self.method.as_str());
        let head = digest_pair(head, digest_text(self.target));
        digest_pair(digest_pair(head, team), digest_bytes(self.body))
    }
}

impl Gateway {
    /// Reports a request that its endpoint cut off to the gateways that count crashes.
    pub fn report_cut(&self, in_flight: &InFlight) {
        self.report(&in_flight.trace(self.now()));
        self.report_crash(in_flight);
    }

    /// Reports that an endpoint seems to have crashed, so that all gateways report the
    /// requests that they gave up there.
    pub fn report_crash(&self, in_flight: &InFlight) {
        let now = self.now();
        let notice = in_flight.trace(now).crash_notice();
        self.report_abandoned(&notice, now);
        if self.is_news(&notice, now) {
            self.tell_counters(notice.service, &Datagram::Crashed(notice), now);
            self.spread(&notice, now);
        }
    }

    /// Records that an endpoint seems to have crashed; tells it to all peers if this
    /// gateway counts the crashes of its service.
    pub fn record_crash_notice(&self, notice: &CrashNotice, now: Millis) {
        self.report_abandoned(notice, now);
        if self.is_news(notice, now) {
            self.spread(notice, now);
        }
    }

    /// Whether a crash was not known yet.
    fn is_news(&self, notice: &CrashNotice, now: Millis) -> bool {
        let mut crashed = self.quarantine.crashed.borrow_mut();
        crashed.retain(|_, at| now.since(*at) < ABANDONED_MS);
        let is_news = crashed.len() < CRASHED_MAX && !crashed.contains_key(notice);
        if is_news {
            crashed.insert(*notice, now);
        }
        is_news
    }

    fn spread(&self, notice: &CrashNotice, now: Millis) {
        if !self.is_counter(notice.service, now) {
            return;
        }
        let peers = self.peers.borrow().addresses();
        for peer in peers {
            self.send_now(peer, &Datagram::Crashed(*notice));
        }
    }

    /// Remembers a request that was given up while the endpoint may have been at work on
    /// it: the endpoint may still crash.
    pub fn remember_abandoned(&self, in_flight: &InFlight) {
        let now = self.now();
        let mut abandoned = self.quarantine.abandoned.borrow_mut();
        abandoned.retain(|trace| now.since(trace.at) < ABANDONED_MS);
        if abandoned.len() >= ABANDONED_MAX {
            abandoned.pop_front();
        }
        abandoned.push_back(in_flight.trace(now));
    }

    /// Reports the requests that were given up at an endpoint, since it has crashed.
    fn report_abandoned(&self, crashed: &CrashNotice, now: Millis) {
        let mut abandoned = self.quarantine.abandoned.borrow_mut();
        let (cut, others): (VecDeque<RequestTrace>, VecDeque<RequestTrace>) =
            std::mem::take(&mut *abandoned)
                .into_iter()
                .partition(|trace| trace.crash_notice() == *crashed);
        *abandoned = others;
        drop(abandoned);
        for trace in cut.iter().filter(|t| now.since(t.at) < ABANDONED_MS) {
            self.report(trace);
        }
    }

    fn report(&self, trace: &RequestTrace) {
        let now = self.now();
        let service = trace.service;
        let answered = {
            let answered = self.quarantine.answered.borrow();
            answered.get(&service).map_or(0, |count| count.total(now))
        };
        let sound = self.quarantine.sound.borrow();
        let unproven = |component: &&u64| !sound.contains(component, now);
        let components = &trace.components;
        let report = CutReport {
            service,
            version: trace.version,
            endpoint: trace.endpoint,
            born_ms: trace.born_ms,
            answered,
            age_ms: now.since(trace.at),
            wholes: components.wholes().filter(unproven).copied().collect(),
            identity: components.with_prompt,
            shared: components.shared.iter().filter(unproven).copied().collect(),
        };
        drop(sound);
        self.tell_counters(service, &Datagram::Cut(report.clone()), now);
        if self.is_counter(service, now) {
            self.record_cut_report(None, &report, now);
        }
    }

    /// Sends a datagram to the other gateways that count the crashes of a service.
    fn tell_counters(&self, service: u64, datagram: &Datagram, now: Millis) {
        let counters = self.peers.borrow().trackers(service, COUNTERS, now);
        for counter in counters.into_iter().flatten() {
            self.send_now(counter, datagram);
        }
    }

    /// Whether this gateway counts the crashes of a service.
    fn is_counter(&self, service: u64, now: Millis) -> bool {
        let peers = self.peers.borrow();
        peers.trackers(service, COUNTERS, now).contains(&None)
    }

    /// Records a report of `from`; `None` stands for this gateway.
    pub fn record_cut_report(
        &self,
        from: Option<SocketAddr>,
        report: &CutReport,
        now: Millis,
    ) {
        let shared: ComponentSet = report.shared.iter().copied().collect();
        let wholes: ComponentSet = report.wholes.iter().copied().collect();
        let has =
            |component: &u64| shared.contains(component) || wholes.contains(component);
        let held = {
            let mut sets = self.quarantine.sets.borrow_mut();
            let held = sets.find(has).cloned();
            if let Some(held) = &held {
                sets.record_crash(&held.components, report.version);
            }
            held
        };
        // The sender has not heard of it.
        if let (Some(held), Some(from)) = (held, from) {
            self.send_now(from, &Datagram::Quarantine(self.notice(&held)));
        }
        let mut ledgers = self.quarantine.ledgers.borrow_mut();
        if ledgers.len() >= LEDGERS_MAX && !ledgers.contains_key(&report.service) {
            self.stats.count("request_cut", "not_counted");
            return;
        }
        let reporter = from.map_or(0, |from| digest_text(&from.to_string()));
        let cut = CutRequest {
            version: report.version,
            endpoint: report.endpoint,
            born_ms: report.born_ms,
            wholes,
            identity: report.identity,
            shared,
        };
        let ledger = ledgers.entry(report.service).or_default();
        ledger.record_cut(reporter, report.answered, cut, now.minus(report.age_ms));
        self.quarantine.reported.notify_one();
    }

    /// Records that a request was answered well. `is_framed` is whether the answer told
    /// its own end; one that ended with its connection proves nothing.
    pub fn record_sound(&self, req: &CallerRequest, is_framed: bool) {
        let now = self.now();
        let service = digest_text(&req.service);
        let mut answered = self.quarantine.answered.borrow_mut();
        answered.entry(service).or_default().add(now);
        drop(answered);
        if !is_framed {
            return;
        }
        let mut sound = self.quarantine.sound.borrow_mut();
        sound.record(req.components.iter(), now);
        drop(sound);
        if let Some(ledger) = self.quarantine.ledgers.borrow_mut().get_mut(&service) {
            for component in req.components.iter() {
                ledger.record_sound(*component, now);
            }
        }
        let is_held = {
            let sets = self.quarantine.sets.borrow();
            let held = |set: &Quarantine| {
                req.components.iter().any(|c| set.components.contains(c))
            };
            sets.iter().any(held)
        };
        if is_held {
            let components: Vec<u64> = req.components.iter().copied().collect();
            self.object(service, &components, now);
        }
    }

    /// Tells the gateways that count crashes that answers with `components` were good.
    fn object(&self, service: u64, components: &[u64], now: Millis) {
        let notice = SoundNotice {
            service,
            components: components.to_vec(),
        };
        self.tell_counters(service, &Datagram::Sound(notice.clone()), now);
        if self.is_counter(service, now) {
            self.record_sound_notice(&notice, now);
        }
    }

    /// Records that answers with the components of a notice were good.
    pub fn record_sound_notice(&self, notice: &SoundNotice, now: Millis) {
        if let Some(ledger) = self
            .quarantine
            .ledgers
            .borrow_mut()
            .get_mut(&notice.service)
        {
            for component in &notice.components {
                ledger.record_sound(*component, now);
            }
        }
        let disproved: Vec<Quarantine> = {
            let sets = self.quarantine.sets.borrow();
            let has = |set: &&Quarantine| {
                notice.components.iter().any(|c| set.components.contains(c))
            };
            sets.iter().filter(has).cloned().collect()
        };
        for set in disproved {
            self.lift(&set, "answered");
            let notice = QuarantineNotice {
                state: QuarantineState::Lifted,
                ..self.notice(&set)
            };
            self.tell_peers(&notice);
            let record = self.record_of(&set, true);
            self.quarantine.lifted.borrow_mut().push(record);
            self.quarantine.record_pending.notify_one();
        }
        // What remains of a set may be the cause.
        self.quarantine.reported.notify_one();
    }

    fn lift(&self, set: &Quarantine, reason: &str) {
        if self.quarantine.sets.borrow_mut().lift(&set.components) {
            info!(
                "event=quarantine_lifted service={} components={} reason={reason}",
                self.service_name(set.service),
                set_text(&set.components)
            );
        }
    }

    /// Returns whether a request may be sent to an endpoint.
    ///
    /// From time to time one is let through by one gateway, to see whether the cause is
    /// gone; at once if the version that crashed is.
    pub fn check_hold(&self, req: &CallerRequest) -> Hold {
        let Some(set) = self.quarantine_of(req) else {
            return Hold::Free;
        };
        let now = self.now();
        let is_due =
            set.review_at() <= now || !self.has_version(&req.service, set.version);
        if !is_due || !self.reviews(set.service, now) {
            return Hold::HeldUntil(set.review_at());
        }
        let mut sets = self.quarantine.sets.borrow_mut();
        sets.record_review(&set.components, now);
        sets.record_crash(&set.components, self.first_version(&req.service));
        info!(
            "event=quarantine_review service={} components={} request={}",
            req.service,
            set_text(&set.components),
            crate::dispatch::id_str(&req.id)
        );
        Hold::Free
    }

    /// Returns the set for which a request is held back.
    fn quarantine_of(&self, req: &CallerRequest) -> Option<Quarantine> {
        let sets = self.quarantine.sets.borrow();
        sets.find(|component| req.components.contains(component))
            .cloned()
    }

    /// Returns when a request that is held back is tried again.
    pub fn held_until(&self, req: &CallerRequest) -> Option<Millis> {
        self.quarantine_of(req).map(|set| set.review_at())
    }

    /// Whether this gateway lets requests through to see whether a cause is gone.
    fn reviews(&self, service: u64, now: Millis) -> bool {
        self.peers.borrow().tracker(service, now).is_none()
    }

    fn has_version(&self, service: &str, version: u64) -> bool {
        let pool = self.pool.borrow();
        pool.versions(service)
            .any(|known| digest_text(known) == version)
    }

    fn first_version(&self, service: &str) -> u64 {
        let pool = self.pool.borrow();
        pool.versions(service).next().map_or(0, digest_text)
    }

    /// Decides what to hold back, from all reports.
    fn evaluate_crashes(&self, now: Millis) {
        let services: Vec<u64> = {
            let mut ledgers = self.quarantine.ledgers.borrow_mut();
            ledgers.retain(|_, ledger| ledger.expire(now));
            ledgers.keys().copied().collect()
        };
        for service in services {
            let mut suspects = self.suspects(service, now);
            // What is held back explains crashes, so that others may stand out.
            for _ in 0..EVALUATIONS_MAX {
                for suspect in std::mem::take(&mut suspects) {
                    self.hold_suspect(service, suspect, now);
                }
                suspects = self.suspects(service, now);
            }
        }
    }

    fn suspects(&self, service: u64, now: Millis) -> Vec<ComponentSet> {
        let sets = self.quarantine.sets.borrow();
        let held: Vec<&ComponentSet> = sets.iter().map(|set| &set.components).collect();
        let mut ledgers = self.quarantine.ledgers.borrow_mut();
        let Some(ledger) = ledgers.get_mut(&service) else {
            return Vec::new();
        };
        let sound = self.quarantine.sound.borrow();
        loop {
            let suspects = ledger.suspects(&held, now);
            let proven: Vec<u64> = suspects
                .iter()
                .flatten()
                .copied()
                .filter(|component| sound.contains(component, now))
                .collect();
            if proven.is_empty() {
                return suspects;
            }
            for component in proven {
                ledger.record_sound(component, now);
            }
        }
    }

    fn hold_suspect(&self, service: u64, components: ComponentSet, now: Millis) {
        let text = set_text(&components);
        let version = {
            let ledgers = self.quarantine.ledgers.borrow();
            let ledger = ledgers.get(&service);
            ledger
                .and_then(CrashLedger::last_version)
                .unwrap_or_default()
        };
        let mut sets = self.quarantine.sets.borrow_mut();
        let grounds = Grounds::Decided;
        if !sets.hold(service, components.clone(), version, grounds, 0, now) {
            self.stats.count("quarantined", "no_room");
            return;
        }
        let held = sets
            .find(|component| components.contains(component))
            .cloned();
        drop(sets);
        self.stats.count("quarantined", "decided");
        warn!(
            "event=quarantined service={} components={text} source=crashes",
            self.service_name(service)
        );
        if let Some(held) = held {
            self.tell_peers(&self.notice(&held));
        }
        self.quarantine.record_pending.notify_one();
    }

    /// Records a peer's notice on a set.
    pub fn record_quarantine_notice(
        &self,
        from: SocketAddr,
        notice: &QuarantineNotice,
        now: Millis,
    ) {
        let components: ComponentSet = notice.components.iter().copied().collect();
        if notice.state == QuarantineState::Lifted {
            let counters = self.peers.borrow().trackers(notice.service, COUNTERS, now);
            if counters.contains(&Some(from)) {
                self.lift_components(&components, "peer");
            }
            return;
        }
        self.hold_told(
            notice.service,
            components,
            notice.version,
            Grounds::peer(now),
            notice.age_ms,
        );
    }

    fn lift_components(&self, components: &ComponentSet, reason: &str) {
        let set = {
            let sets = self.quarantine.sets.borrow();
            sets.iter()
                .find(|set| set.components == *components)
                .cloned()
        };
        if let Some(set) = set {
            self.lift(&set, reason);
        }
    }

    /// Holds back a set that a peer or the log names, unless answers of this gateway
    /// prove all of it to be sound.
    fn hold_told(
        &self,
        service: u64,
        components: ComponentSet,
        version: u64,
        grounds: Grounds,
        age_ms: u64,
    ) {
        let now = self.now();
        let proven: Vec<u64> = {
            let sound = self.quarantine.sound.borrow();
            let proven = components.iter().filter(|c| sound.contains(c, now));
            proven.copied().collect()
        };
        let all_proven = proven.len() == components.len();
        if !proven.is_empty() {
            self.object(service, &proven, now);
        }
        if all_proven {
            return;
        }
        let text = set_text(&components);
        let mut sets = self.quarantine.sets.borrow_mut();
        if sets.hold(service, components, version, grounds, age_ms, now) {
            let source = match grounds {
                Grounds::Logged => "log",
                Grounds::Decided | Grounds::Peer(_) => "peer",
            };
            warn!(
                "event=quarantined service={} components={text} source={source}",
                self.service_name(service)
            );
            self.stats.count("quarantined", source);
        }
    }

    /// Applies the record that the log holds under `key`.
    pub fn apply_quarantine_record(&self, key: &str, bytes: &[u8]) {
        let record = match QuarantineRecord::decode(bytes) {
            Ok(record) => record,
            Err(err) => {
                warn!("event=quarantine_skipped key=\"{key}\" reason=\"{err}\"");
                return;
            }
        };
        let components: ComponentSet = record.components.iter().copied().collect();
        if record.is_lifted {
            self.lift_components(&components, "log");
            return;
        }
        let age_ms = self.clock.wall().since(Millis(record.since_ms));
        self.hold_told(
            record.service,
            components,
            record.version,
            Grounds::Logged,
            age_ms,
        );
    }

    /// Records that the log no longer holds a record under `key`.
    pub fn lose_quarantine_record(&self, key: &str) {
        let mut sets = self.quarantine.sets.borrow_mut();
        let lost: Vec<ComponentSet> = sets
            .iter()
            .filter(|set| key_of(set) == key)
            .map(|set| set.components.clone())
            .collect();
        for components in lost {
            info!("event=quarantine_record_lost key=\"{key}\"");
            sets.set_logged(&components, false);
            self.quarantine.record_pending.notify_one();
        }
    }

    /// Returns the records that this gateway is to append to the log.
    pub fn pending_quarantine_records(&self) -> Vec<QuarantineRecord> {
        let now = self.now();
        let sets = self.quarantine.sets.borrow();
        let due = sets.iter().filter(|set| match set.grounds {
            Grounds::Decided => !set.is_logged,
            Grounds::Logged => !set.is_logged && self.is_counter(set.service, now),
            Grounds::Peer(_) => false,
        });
        let held = due.map(|set| self.record_of(set, false));
        let lifted = self.quarantine.lifted.borrow();
        held.chain(lifted.iter().cloned()).collect()
    }

    /// Records that a record is in the log.
    pub fn quarantine_recorded(&self, record: &QuarantineRecord) {
        if record.is_lifted {
            let mut lifted = self.quarantine.lifted.borrow_mut();
            lifted.retain(|pending| pending != record);
            return;
        }
        let components = record.components.iter().copied().collect();
        let mut sets = self.quarantine.sets.borrow_mut();
        sets.set_logged(&components, true);
    }

    /// Tells a peer that is new all that is held back.
    pub fn tell_quarantines(&self, peer: SocketAddr) {
        let sets = self.quarantine.sets.borrow();
        for set in sets.iter() {
            self.send_now(peer, &Datagram::Quarantine(self.notice(set)));
        }
    }

    fn tell_peers(&self, notice: &QuarantineNotice) {
        let peers = self.peers.borrow().addresses();
        for peer in peers {
            self.send_now(peer, &Datagram::Quarantine(notice.clone()));
        }
    }

    fn notice(&self, set: &Quarantine) -> QuarantineNotice {
        QuarantineNotice {
            service: set.service,
            components: set.components.iter().copied().collect(),
            version: set.version,
            age_ms: set.age_ms(self.now()),
            state: QuarantineState::Held,
        }
    }

    fn record_of(&self, set: &Quarantine, is_lifted: bool) -> QuarantineRecord {
        let since = self.clock.wall().minus(set.age_ms(self.now()));
        QuarantineRecord {
            service: set.service,
            components: set.components.iter().copied().collect(),
            version: set.version,
            since_ms: since.0,
            is_lifted,
        }
    }

    /// Returns the name of a service for log lines; its digest if it is not configured.
    fn service_name(&self, service: u64) -> String {
        let catalog = self.catalog();
        let services = catalog.iter().flat_map(|catalog| &catalog.services);
        let mut names = services.map(|service| &service.name);
        let found = names.find(|name| digest_text(name) == service);
        found.map_or_else(|| format!("{service:016x}"), String::clone)
    }

    /// Ends what has expired, passes trials of others by, and repeats what the log does
    /// not hold.
    fn refresh_quarantines(&self) {
        let now = self.now();
        let expired = self.quarantine.sets.borrow_mut().expire(now);
        for set in expired {
            info!(
                "event=quarantine_lifted service={} components={} reason=unconfirmed",
                self.service_name(set.service),
                set_text(&set.components)
            );
        }
        let sets: Vec<Quarantine> =
            self.quarantine.sets.borrow().iter().cloned().collect();
        for set in sets {
            if set.review_at() <= now && !self.reviews(set.service, now) {
                let mut sets = self.quarantine.sets.borrow_mut();
                sets.record_review(&set.components, now);
            }
            if set.grounds == Grounds::Decided && !set.is_logged {
                self.tell_peers(&self.notice(&set));
            }
        }
    }
}

/// Returns the key of a set's record in the log.
pub(crate) fn key_of(set: &Quarantine) -> String {
    let record = QuarantineRecord {
        service: set.service,
        ..QuarantineRecord::default()
    };
    record.key(set_digest(&set.components))
}

/// Returns a digest of all components of a set.
pub(crate) fn set_digest<'a, I>(components: I) -> u64
where
    I: IntoIterator<Item = &'a u64>,
{
    components
        .into_iter()
        .fold(0, |all, c| digest_pair(all, *c))
}

fn set_text(components: &ComponentSet) -> String {
    let texts: Vec<String> = components.iter().map(|c| format!("{c:016x}")).collect();
    texts.join(",")
}

/// Evaluates crashes shortly after they were reported.
pub(crate) async fn evaluate(gateway: Rc<Gateway>) {
    loop {
        gateway.quarantine.reported.notified().await;
        tokio::time::sleep(Duration::from_millis(COLLECT_MS)).await;
        gateway.evaluate_crashes(gateway.now());
    }
}

/// Refreshes what is held back, as long as there is something.
pub(crate) async fn refresh(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        if !gateway.quarantine.sets.borrow().is_empty() {
            gateway.refresh_quarantines();
        }
    }
}
