//! Holds back requests that have a component on which endpoints crash.
//!
//! Each gateway reports the requests that endpoints cut off to the two gateways that
//! count the crashes of the service. These decide what is held back, tell all others
//! and record it in the log, from which a gateway that starts reads it. A gateway that
//! had a good answer to such a request objects. See `docs/design/deployment.md`.

mod components;
mod decisions;
mod records;
mod reports;

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::Millis;
use log::{info, warn};
use platform::QuarantineRecord;
use route::{
    ComponentSet, CrashLedger, Grounds, Quarantine, Quarantines, RecentCount,
    SoundComponents, digest_text,
};
use tokio::sync::Notify;

pub(crate) use components::{Components, RequestContent, RequestTrace};
pub(crate) use decisions::evaluate;
pub(crate) use records::run as record;

use crate::{
    caller_request::CallerRequest,
    datagram::{CrashNotice, Datagram, QuarantineNotice, QuarantineState},
    dispatch::id_str,
    state::Gateway,
};

/// Interval of checks for what has expired, and of notices on what the log does not
/// hold yet, ms.
const TICK_MS: u64 = 5_000;

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

impl Gateway {
    /// Serves the requests of a set again.
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
            set.review_at() <= now || self.is_replaced(&req.service, set.version);
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
            id_str(&req.id)
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

    /// Whether all endpoints of a service have another version, of which there are some.
    fn is_replaced(&self, service: &str, version: u64) -> bool {
        let pool = self.pool.borrow();
        let mut versions = pool.versions(service).peekable();
        versions.peek().is_some() && versions.all(|other| digest_text(other) != version)
    }

    /// Returns a version that endpoints of a service have; zero if there are none.
    fn first_version(&self, service: &str) -> u64 {
        let pool = self.pool.borrow();
        pool.versions(service).next().map_or(0, digest_text)
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
            if self.counters(notice.service, now).contains(&Some(from)) {
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

    /// Whether there are limits of endpoints or sets that are held back, which a peer that
    /// is new has to know.
    pub fn has_standing_notices(&self) -> bool {
        let has_limits = !self.pool.borrow().limits().is_empty();
        has_limits || self.has_warmups() || !self.quarantine.sets.borrow().is_empty()
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

fn set_text(components: &ComponentSet) -> String {
    let texts: Vec<String> = components.iter().map(|c| format!("{c:016x}")).collect();
    texts.join(",")
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
