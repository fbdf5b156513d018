//! Lets requests to plain services wait for a permit.
//!
//! The gateway that owns a service grants the permits of all gateways, and keeps the
//! order of the requests that wait; the requests themselves stay at their gateways.
//! Nothing is repeated but the questions of those that wait, so a lost grant arrives
//! with the next answer, and a new owner learns of them. A gateway that gets no answer
//! admits up to its own part of the permits.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::Millis;
use log::{info, warn};
use rand::RngExt;
use route::{
    AdmissionKey, AdmissionQueue, AdmissionRefusal, AdmissionVerdict, PermitCapacity,
    WaitingRoom, digest_bytes, digest_text,
};
use settings::AdmissionSettings;
use tokio::sync::Notify;

use crate::{
    caller_request::CallerRequest,
    datagram::{
        ADMISSION_LEFT_MAX_MS, ADMISSION_RETRY_MAX_MS, AdmissionAnswer,
        AdmissionDecision, AdmissionEnd, AdmissionQuestion, Datagram,
    },
    state::Gateway,
};

/// Time for which an answer is awaited, ms; several times a round trip between two
/// failure domains.
const ANSWER_TIMEOUT_MS: u64 = 15;

/// Interval at which a request that waits asks again, ms. With 100 ms the questions of
/// 500 waiting requests kept the owner from answering new ones in time.
const RENEWAL_INTERVAL_MS: u64 = 400;

/// Interval of checks for what has expired, ms.
const EXPIRY_INTERVAL_MS: u64 = 50;

/// Time left until the deadline with which a request waits no longer, ms.
const LEFT_MIN_MS: u64 = 20;

/// Time after which callers are told to return if this gateway has no room, ms.
const FULL_RETRY_MS: u64 = 1_000;

/// Maximum part of that time that is added at random.
const JITTER_FRACTION: f64 = 0.5;

/// Time without waiting requests after which a service counts as relieved, ms.
const RELIEVED_MS: u64 = 1_000;

/// Maximum number of services and teams whose usual load is remembered.
const USUAL_COUNT_MAX: usize = 8_192;

/// Thousandths in which usual loads are exchanged, per slot.
const MILLIS_PER_SLOT: f64 = 1_000.0;

/// Minimum interval of log lines on owners that do not answer, ms.
const UNANSWERED_LOG_MS: u64 = 1_000;

/// State of the exchange on permits.
#[derive(Debug, Default)]
pub(crate) struct AdmissionExchange {
    /// Services that this gateway owns, or that it was asked for.
    owned: RefCell<HashMap<u64, OwnedService>>,
    /// Permits that this gateway gives to its own requests when no owner answers.
    local: RefCell<HashMap<u64, AdmissionQueue>>,
    /// Own requests that wait or are admitted, by their numbers.
    waiters: RefCell<HashMap<u64, Rc<Waiter>>>,
    /// Own admitted requests in progress, by service.
    running: RefCell<HashMap<u64, u32>>,
    /// Own requests that wait.
    room: RefCell<WaitingRoom>,
    /// Usual loads as owners told them, in thousandths of a slot, by the digests of the
    /// service and the team.
    usual: RefCell<HashMap<(u64, u64), u32>>,
    last_number: Cell<Option<u64>>,
    unanswered_logged: Cell<Option<Millis>>,
}

impl AdmissionExchange {
    pub fn new(settings: &AdmissionSettings) -> Self {
        let room = WaitingRoom::new(settings.waiting_max, settings.waiting_max_bytes);
        AdmissionExchange {
            room: RefCell::new(room),
            ..AdmissionExchange::default()
        }
    }

    fn usual_of(&self, service: u64, team: u64) -> u32 {
        let usual = self.usual.borrow();
        usual.get(&(service, team)).copied().unwrap_or(0)
    }

    fn record_usual(&self, service: u64, team: u64, milli: u32) {
        let mut usual = self.usual.borrow_mut();
        if usual.len() < USUAL_COUNT_MAX || usual.contains_key(&(service, team)) {
            usual.insert((service, team), milli);
        }
    }
}

#[derive(Debug, Default)]
struct OwnedService {
    queue: AdmissionQueue,
    /// When requests last waited, from the first until the service is relieved.
    contended: Option<Millis>,
}

/// A request that waits for the decision on it.
#[derive(Debug, Default)]
struct Waiter {
    verdict: Cell<Option<AdmissionVerdict>>,
    decided: Notify,
}

impl Waiter {
    fn set(&self, verdict: AdmissionVerdict) {
        // Datagrams may arrive in another order than they were sent.
        if self.verdict.get() != Some(AdmissionVerdict::Granted) {
            self.verdict.set(Some(verdict));
            self.decided.notify_one();
        }
    }

    /// Returns the next verdict; `None` if there is none within `limit_ms`.
    async fn next(&self, limit_ms: u64) -> Option<AdmissionVerdict> {
        let verdict = async {
            loop {
                if let Some(verdict) = self.verdict.take() {
                    return verdict;
                }
                self.decided.notified().await;
            }
        };
        let limit = Duration::from_millis(limit_ms);
        tokio::time::timeout(limit, verdict).await.ok()
    }
}

/// Who was asked for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Asked {
    /// The gateway that owns the service; `None` for this one.
    Owner(Option<SocketAddr>),
    /// This gateway, for its own part of the permits.
    Local,
}

/// A request that waits for its permit or has it; all who were asked for it are told of
/// its end when it is dropped.
pub(crate) struct AdmissionTicket {
    gateway: Rc<Gateway>,
    service: u64,
    number: u64,
    waiter: Rc<Waiter>,
    asked: Vec<Asked>,
    admitted: bool,
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let exchange = &gateway.admission;
        exchange.waiters.borrow_mut().remove(&self.number);
        if self.admitted {
            let mut running = exchange.running.borrow_mut();
            if let Some(count) = running.get_mut(&self.service) {
                *count = count.saturating_sub(1);
            }
        }
        let end = AdmissionEnd {
            service: self.service,
            number: self.number,
        };
        for asked in &self.asked {
            match asked {
                Asked::Owner(Some(peer)) => {
                    gateway.send_now(*peer, &Datagram::AdmissionEnd(end));
                }
                Asked::Owner(None) => gateway.end_owned(None, &end, gateway.now()),
                Asked::Local => gateway.end_local(&end, gateway.now()),
            }
        }
    }
}

/// Keeps a request in the [`WaitingRoom`] while it lives.
struct WaitingPlace<'a> {
    exchange: &'a AdmissionExchange,
    team: u64,
    bytes: usize,
}

impl<'a> WaitingPlace<'a> {
    fn take(exchange: &'a AdmissionExchange, team: u64, bytes: usize) -> Option<Self> {
        let entered = exchange.room.borrow_mut().try_enter(team, bytes);
        entered.then_some(WaitingPlace {
            exchange,
            team,
            bytes,
        })
    }
}

impl Drop for WaitingPlace<'_> {
    fn drop(&mut self) {
        self.exchange.room.borrow_mut().leave(self.team, self.bytes);
    }
}

/// A request that gets no permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct NotAdmitted {
    /// Reason for logs and metrics.
    pub reason: &'static str,
    /// Time after which the caller is to return, ms.
    pub retry_after_ms: u64,
}

impl NotAdmitted {
    fn new(reason: AdmissionRefusal, retry_after_ms: u64) -> Self {
        let reason = match reason {
            AdmissionRefusal::Deadline => "admission_deadline",
            AdmissionRefusal::Share => "admission_share",
            AdmissionRefusal::Full => "admission_full",
        };
        NotAdmitted {
            reason,
            retry_after_ms,
        }
    }

    /// Returns the refusal of a request for which this gateway has no room or time.
    fn here(reason: AdmissionRefusal) -> Self {
        let jitter = 1.0 + JITTER_FRACTION * draw_jitter();
        NotAdmitted::new(reason, (FULL_RETRY_MS as f64 * jitter) as u64)
    }
}

impl Gateway {
    /// Waits for the permit of a request; `None` if it needs none. The permit ends when
    /// it is dropped.
    pub async fn admit(
        self: &Rc<Self>,
        req: &CallerRequest,
    ) -> Result<Option<AdmissionTicket>, NotAdmitted> {
        if !self.needs_permit(req) {
            return Ok(None);
        }
        let started = self.now();
        let admitted = self.wait_for_permit(req).await;
        let waited_ms = self.now().since(started);
        self.stats
            .time("admission_wait_ms", &req.service, waited_ms);
        match &admitted {
            Ok(_) => self.stats.count("admission", "granted"),
            Err(refused) => self.stats.count("admission", refused.reason),
        }
        admitted.map(Some)
    }

    /// Whether a request is for a plain service whose endpoints have slots. Without
    /// endpoints that take requests it is handled as without admission.
    fn needs_permit(&self, req: &CallerRequest) -> bool {
        let is_plain = req.catalog.service(&req.service);
        let is_plain = is_plain.is_some_and(|service| service.engine_slots == 0);
        self.settings.admission.enabled
            && is_plain
            && req.parts.is_empty()
            && self.pool.borrow().open_slots(&req.service, self.now()) > 0
    }

    async fn wait_for_permit(
        self: &Rc<Self>,
        req: &CallerRequest,
    ) -> Result<AdmissionTicket, NotAdmitted> {
        let team = team_digest(req);
        let place = WaitingPlace::take(&self.admission, team, size_of(req));
        let Some(_place) = place else {
            return Err(NotAdmitted::here(AdmissionRefusal::Full));
        };
        let mut ticket = self.new_ticket(digest_text(&req.service));
        loop {
            let asked_at = self.now();
            if req.left_ms(asked_at) < LEFT_MIN_MS {
                return Err(NotAdmitted::here(AdmissionRefusal::Deadline));
            }
            let owner = self.peers.borrow().tracker(ticket.service, asked_at);
            ticket.ask(Asked::Owner(owner), req);
            let mut verdict = ticket.waiter.next(ANSWER_TIMEOUT_MS).await;
            if verdict.is_none() {
                self.record_unanswered(owner);
                if !self.needs_permit(req) {
                    // The endpoints have gone, so the request is to be refused at once.
                    ticket.record_admitted();
                    return Ok(ticket);
                }
                ticket.ask(Asked::Local, req);
                verdict = ticket.waiter.next(0).await;
            }
            let until = asked_at.plus(RENEWAL_INTERVAL_MS).min(req.deadline);
            loop {
                match verdict {
                    Some(AdmissionVerdict::Granted) => {
                        ticket.record_admitted();
                        return Ok(ticket);
                    }
                    Some(AdmissionVerdict::Refused {
                        reason,
                        retry_after_ms,
                    }) => {
                        return Err(NotAdmitted::new(reason, retry_after_ms));
                    }
                    Some(AdmissionVerdict::Waiting) | None => {}
                }
                let left_ms = until.since(self.now());
                verdict = ticket.waiter.next(left_ms).await;
                if verdict.is_none() {
                    break;
                }
            }
        }
    }

    fn new_ticket(self: &Rc<Self>, service: u64) -> AdmissionTicket {
        let exchange = &self.admission;
        // A random start, so that an owner does not take the numbers of this process
        // for those of the one before.
        let last = exchange.last_number.get();
        let last = last.unwrap_or_else(|| u64::from(rand::rng().random::<u32>()) << 24);
        let number = last + 1;
        exchange.last_number.set(Some(number));
        let waiter = Rc::<Waiter>::default();
        let mut waiters = exchange.waiters.borrow_mut();
        waiters.insert(number, waiter.clone());
        AdmissionTicket {
            gateway: self.clone(),
            service,
            number,
            waiter,
            asked: Vec::new(),
            admitted: false,
        }
    }

    fn record_unanswered(&self, owner: Option<SocketAddr>) {
        self.stats.count("admission", "unanswered");
        let now = self.now();
        let logged = self.admission.unanswered_logged.get();
        let is_due = logged.is_none_or(|at| now.since(at) >= UNANSWERED_LOG_MS);
        if let Some(owner) = owner
            && is_due
        {
            self.admission.unanswered_logged.set(Some(now));
            warn!("event=admission_unanswered owner={owner}");
        }
    }

    /// Returns the name of the service with this digest.
    fn permit_service(&self, service: u64) -> Option<String> {
        let catalog = self.catalog()?;
        let mut names = catalog.services.iter().map(|known| &known.name);
        names.find(|name| digest_text(name) == service).cloned()
    }

    /// Returns what the endpoints of a service take from the gateways that this one
    /// hears; `None` if the service is unknown or none of them takes requests.
    fn permit_capacity(&self, service: u64, now: Millis) -> Option<PermitCapacity> {
        let slots = self
            .pool
            .borrow()
            .open_slots(&self.permit_service(service)?, now);
        let part = self.peers.borrow().heard_fraction(now);
        let factor = self.settings.admission.queue_factor;
        (slots > 0).then(|| scale(slots, factor, part))
    }

    /// Returns what this gateway grants to requests that wait: nothing if another one
    /// owns the service now, since they ask that one.
    fn owned_capacity(&self, service: u64, now: Millis) -> PermitCapacity {
        if self.peers.borrow().tracker(service, now).is_some() {
            return PermitCapacity::default();
        }
        self.permit_capacity(service, now).unwrap_or_default()
    }

    /// Returns this gateway's own part of [`Gateway::permit_capacity`].
    fn local_capacity(&self, service: u64, now: Millis) -> Option<PermitCapacity> {
        let all = self.permit_capacity(service, now)?;
        let fresh = self.peers.borrow().fresh_statuses(now).count() + 1;
        let part = |count: u32| (count / fresh as u32).max(1);
        Some(PermitCapacity {
            slots: part(all.slots),
            permits: part(all.permits),
        })
    }

    /// Answers a peer's question for a permit. A gateway without admission does not
    /// answer, since its own requests are not counted.
    pub fn answer_admission_question(
        &self,
        from: SocketAddr,
        question: &AdmissionQuestion,
        now: Millis,
    ) {
        if !self.settings.admission.enabled {
            return;
        }
        if let Some(verdict) = self.ask_owned(Some(from), question, now) {
            let key = AdmissionKey {
                gateway: Some(from),
                number: question.number,
            };
            self.answer(question.service, question.team, key, verdict);
        }
    }

    /// Decides on a request to a service that this gateway owns; `None` if it does not
    /// know the service.
    fn ask_owned(
        &self,
        gateway: Option<SocketAddr>,
        question: &AdmissionQuestion,
        now: Millis,
    ) -> Option<AdmissionVerdict> {
        let capacity = self.permit_capacity(question.service, now)?;
        let mut owned = self.admission.owned.borrow_mut();
        let service = owned.entry(question.service).or_default();
        let asked = question.with_gateway(gateway);
        let verdict = service.queue.ask(&asked, capacity, draw_jitter(), now);
        let decided = service.queue.take_decided();
        let usual = service.queue.usual(question.team);
        drop(owned);
        let usual_milli = (usual * MILLIS_PER_SLOT) as u32;
        self.admission
            .record_usual(question.service, question.team, usual_milli);
        self.deliver(question.service, decided);
        Some(verdict)
    }

    fn ask_local(
        &self,
        question: &AdmissionQuestion,
        now: Millis,
    ) -> Option<AdmissionVerdict> {
        let capacity = self.local_capacity(question.service, now)?;
        let mut local = self.admission.local.borrow_mut();
        let queue = local.entry(question.service).or_default();
        let asked = question.with_gateway(None);
        let verdict = queue.ask(&asked, capacity, draw_jitter(), now);
        let decided = queue.take_decided();
        drop(local);
        self.deliver(question.service, decided);
        Some(verdict)
    }

    /// Records an answer. A grant to a request that has left is given back.
    pub fn record_admission_answer(&self, from: SocketAddr, answer: &AdmissionAnswer) {
        let waiters = self.admission.waiters.borrow();
        let waiter = waiters.get(&answer.number).cloned();
        drop(waiters);
        let Some(waiter) = waiter else {
            self.stats.count("admission", "late_answer");
            if answer.decision == AdmissionDecision::Granted {
                let end = AdmissionEnd {
                    service: answer.service,
                    number: answer.number,
                };
                self.send_now(from, &Datagram::AdmissionEnd(end));
            }
            return;
        };
        if answer.usual_milli > 0 {
            self.admission.record_usual(
                answer.service,
                answer.team,
                answer.usual_milli,
            );
        }
        waiter.set(answer.decision.into());
    }

    /// Records the end of a peer's request.
    pub fn record_admission_end(
        &self,
        from: SocketAddr,
        end: &AdmissionEnd,
        now: Millis,
    ) {
        self.end_owned(Some(from), end, now);
    }

    fn end_owned(&self, gateway: Option<SocketAddr>, end: &AdmissionEnd, now: Millis) {
        let capacity = self.owned_capacity(end.service, now);
        let mut owned = self.admission.owned.borrow_mut();
        let Some(service) = owned.get_mut(&end.service) else {
            return;
        };
        let key = AdmissionKey {
            gateway,
            number: end.number,
        };
        service.queue.end(key, capacity, draw_jitter(), now);
        let decided = service.queue.take_decided();
        drop(owned);
        self.deliver(end.service, decided);
    }

    fn end_local(&self, end: &AdmissionEnd, now: Millis) {
        let capacity = self.local_capacity(end.service, now).unwrap_or_default();
        let mut local = self.admission.local.borrow_mut();
        let Some(queue) = local.get_mut(&end.service) else {
            return;
        };
        let key = AdmissionKey {
            gateway: None,
            number: end.number,
        };
        queue.end(key, capacity, draw_jitter(), now);
        let decided = queue.take_decided();
        drop(local);
        self.deliver(end.service, decided);
    }

    /// Passes decisions on to the requests that wait for them.
    fn deliver(&self, service: u64, decided: Vec<(AdmissionKey, AdmissionVerdict)>) {
        for (key, verdict) in decided {
            self.answer(service, 0, key, verdict);
        }
    }

    /// Passes a decision on; the usual load of `team` goes with it, unless that is zero.
    fn answer(
        &self,
        service: u64,
        team: u64,
        key: AdmissionKey,
        verdict: AdmissionVerdict,
    ) {
        let Some(peer) = key.gateway else {
            let waiters = self.admission.waiters.borrow();
            if let Some(waiter) = waiters.get(&key.number) {
                waiter.set(verdict);
            }
            return;
        };
        let usual_milli = match team {
            0 => 0,
            team => self.admission.usual_of(service, team),
        };
        let answer = AdmissionAnswer {
            service,
            number: key.number,
            decision: verdict.into(),
            team,
            usual_milli,
        };
        self.send_now(peer, &Datagram::AdmissionAnswer(answer));
    }

    /// Drops what has expired at the services that this gateway owns or grants its own
    /// part of.
    fn expire_admission(&self, now: Millis) {
        let services: Vec<u64> = {
            let owned = self.admission.owned.borrow();
            owned.keys().copied().collect()
        };
        for service in services {
            let capacity = self.owned_capacity(service, now);
            let mut owned = self.admission.owned.borrow_mut();
            let Some(entry) = owned.get_mut(&service) else {
                continue;
            };
            entry.queue.expire(capacity, draw_jitter(), now);
            let name = self.permit_service(service).unwrap_or_default();
            entry.log_contention(&name, capacity, now);
            let decided = entry.queue.take_decided();
            drop(owned);
            self.deliver(service, decided);
        }
        let services: Vec<u64> = {
            let local = self.admission.local.borrow();
            local.keys().copied().collect()
        };
        for service in services {
            let capacity = self.local_capacity(service, now).unwrap_or_default();
            let mut local = self.admission.local.borrow_mut();
            let Some(queue) = local.get_mut(&service) else {
                continue;
            };
            queue.expire(capacity, draw_jitter(), now);
            let decided = queue.take_decided();
            if queue.is_idle() {
                local.remove(&service);
            }
            drop(local);
            self.deliver(service, decided);
        }
    }
}

impl AdmissionTicket {
    /// Asks for the permit, or renews the question.
    fn ask(&mut self, asked: Asked, req: &CallerRequest) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let running = {
            let running = gateway.admission.running.borrow();
            running.get(&self.service).copied().unwrap_or(0)
        };
        let team = team_digest(req);
        let left_ms = u32::try_from(req.left_ms(now)).unwrap_or(u32::MAX);
        let question = AdmissionQuestion {
            service: self.service,
            number: self.number,
            team,
            priority: req.priority,
            left_ms: left_ms.min(ADMISSION_LEFT_MAX_MS),
            running,
            identity: req.components.whole,
            usual_milli: gateway.admission.usual_of(self.service, team),
        };
        if !self.asked.contains(&asked) {
            self.asked.push(asked);
        }
        let verdict = match asked {
            Asked::Owner(Some(peer)) => {
                gateway.send_now(peer, &Datagram::AdmissionQuestion(question));
                None
            }
            Asked::Owner(None) => gateway.ask_owned(None, &question, now),
            Asked::Local => gateway.ask_local(&question, now),
        };
        if let Some(verdict) = verdict {
            self.waiter.set(verdict);
        }
    }

    fn record_admitted(&mut self) {
        self.admitted = true;
        let mut running = self.gateway.admission.running.borrow_mut();
        *running.entry(self.service).or_default() += 1;
        let local_only = self.asked.last() == Some(&Asked::Local);
        if local_only {
            self.gateway.stats.count("admission", "own_part");
        }
    }
}

impl OwnedService {
    /// Logs when requests begin to wait, and when none has waited for some time.
    fn log_contention(&mut self, service: &str, capacity: PermitCapacity, now: Millis) {
        let waiting = self.queue.waiting_count();
        if waiting > 0 {
            if self.contended.replace(now).is_none() {
                info!(
                    "event=admission_contended service={service} permits={} in_use={} waiting={waiting}",
                    capacity.permits,
                    self.queue.in_use()
                );
            }
        } else if self
            .contended
            .is_some_and(|at| now.since(at) >= RELIEVED_MS)
        {
            self.contended = None;
            info!(
                "event=admission_relieved service={service} permits={} in_use={}",
                capacity.permits,
                self.queue.in_use()
            );
        }
    }
}

impl AdmissionQuestion {
    fn with_gateway(&self, gateway: Option<SocketAddr>) -> route::AdmissionQuestion {
        route::AdmissionQuestion {
            key: AdmissionKey {
                gateway,
                number: self.number,
            },
            team: self.team,
            priority: self.priority,
            left_ms: self.left_ms.into(),
            running: self.running,
            identity: self.identity,
            usual: f64::from(self.usual_milli) / MILLIS_PER_SLOT,
        }
    }
}

impl From<AdmissionVerdict> for AdmissionDecision {
    fn from(verdict: AdmissionVerdict) -> Self {
        match verdict {
            AdmissionVerdict::Granted => AdmissionDecision::Granted,
            AdmissionVerdict::Waiting => AdmissionDecision::Waiting,
            AdmissionVerdict::Refused {
                reason,
                retry_after_ms,
            } => {
                let after_ms = u32::try_from(retry_after_ms).unwrap_or(u32::MAX);
                let after_ms = after_ms.min(ADMISSION_RETRY_MAX_MS);
                match reason {
                    AdmissionRefusal::Deadline => {
                        AdmissionDecision::RefusedForDeadline(after_ms)
                    }
                    AdmissionRefusal::Share => {
                        AdmissionDecision::RefusedForShare(after_ms)
                    }
                    AdmissionRefusal::Full => {
                        AdmissionDecision::RefusedForRoom(after_ms)
                    }
                }
            }
        }
    }
}

impl From<AdmissionDecision> for AdmissionVerdict {
    fn from(decision: AdmissionDecision) -> Self {
        let (reason, after_ms) = match decision {
            AdmissionDecision::Granted => return AdmissionVerdict::Granted,
            AdmissionDecision::Waiting => return AdmissionVerdict::Waiting,
            AdmissionDecision::RefusedForDeadline(after_ms) => {
                (AdmissionRefusal::Deadline, after_ms)
            }
            AdmissionDecision::RefusedForShare(after_ms) => {
                (AdmissionRefusal::Share, after_ms)
            }
            AdmissionDecision::RefusedForRoom(after_ms) => {
                (AdmissionRefusal::Full, after_ms)
            }
        };
        AdmissionVerdict::Refused {
            reason,
            retry_after_ms: after_ms.into(),
        }
    }
}

/// Drops expired permits and questions for as long as the process runs.
pub(crate) async fn expire(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL_MS)).await;
        gateway.expire_admission(gateway.now());
    }
}

/// Returns the part of a service that is granted; at least one permit.
fn scale(slots: u32, factor: f64, part: f64) -> PermitCapacity {
    let slots = f64::from(slots) * part;
    PermitCapacity {
        slots: (slots as u32).max(1),
        permits: ((slots * factor) as u32).max(1),
    }
}

fn draw_jitter() -> f64 {
    rand::rng().random()
}

fn team_digest(req: &CallerRequest) -> u64 {
    let team = req.team.as_ref();
    team.map_or(0, |team| digest_bytes(team.as_bytes()))
}

/// Returns about how many bytes a request holds while it waits.
fn size_of(req: &CallerRequest) -> usize {
    let headers = req.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    headers + req.target.len() + req.body.len()
}
