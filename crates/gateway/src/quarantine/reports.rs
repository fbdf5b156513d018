//! Reports requests that were in progress at endpoints that crashed, and records the
//! reports of other gateways.

use std::{collections::VecDeque, net::SocketAddr};

use clock::Millis;
use route::{ComponentSet, CutRequest, digest_text};

use super::RequestTrace;
use crate::{
    attempt::InFlight,
    datagram::{CrashNotice, CutReport, Datagram},
    state::Gateway,
};

/// Number of gateways that count the crashes of a service, so that one of them may fail.
const COUNTERS: usize = 2;

/// Maximum number of services whose crashes are counted here, since reports are not
/// authenticated.
const LEDGERS_MAX: usize = 64;

/// Time for which a request that was given up may still crash its endpoint, ms.
const ABANDONED_MS: u64 = 3_000;

/// Maximum number of crashes that are remembered for as long.
const CRASHED_MAX: usize = 256;

/// Maximum number of requests that were given up and are remembered.
const ABANDONED_MAX: usize = 256;

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
    pub(super) fn is_news(&self, notice: &CrashNotice, now: Millis) -> bool {
        let mut crashed = self.quarantine.crashed.borrow_mut();
        crashed.retain(|_, at| now.since(*at) < ABANDONED_MS);
        let is_news = crashed.len() < CRASHED_MAX && !crashed.contains_key(notice);
        if is_news {
            crashed.insert(*notice, now);
        }
        is_news
    }

    pub(super) fn spread(&self, notice: &CrashNotice, now: Millis) {
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
    pub(super) fn report_abandoned(&self, crashed: &CrashNotice, now: Millis) {
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

    pub(super) fn report(&self, trace: &RequestTrace) {
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
    pub(super) fn tell_counters(&self, service: u64, datagram: &Datagram, now: Millis) {
        for counter in self.counters(service, now).into_iter().flatten() {
            self.send_now(counter, datagram);
        }
    }

    /// Whether this gateway counts the crashes of a service.
    pub(super) fn is_counter(&self, service: u64, now: Millis) -> bool {
        self.counters(service, now).contains(&None)
    }

    /// Returns the gateways that count the crashes of a service; `None` stands for this
    /// one.
    pub(super) fn counters(
        &self,
        service: u64,
        now: Millis,
    ) -> Vec<Option<SocketAddr>> {
        self.peers.borrow().trackers(service, COUNTERS, now)
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
}
