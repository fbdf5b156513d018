//! Admission of requests to one service whose endpoints have few slots.
//!
//! The workload is short requests of many teams to a service that can be filled up by
//! one of them: a team at several times its usual load would otherwise fill the queues
//! of all endpoints, which then refuse the requests of all teams alike. One gateway
//! therefore grants permits for all, and requests without one wait in order. Its state
//! is learned again from the other gateways after it is lost. See
//! `docs/design/deployment.md`.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
};

use clock::Millis;

/// Maximum number of waiting requests of one service, since questions are not
/// authenticated; each gateway bounds its own to fewer.
const WAITING_MAX: usize = 4_096;

/// Maximum number of teams that are told apart; others share one account.
const TEAMS_MAX: usize = 1_024;

/// Maximum number of refusals of a team whose callers are recognized when they return.
const TOLD_MAX: usize = 512;

/// Time after which a waiting request is dropped that its gateway did not renew, ms;
/// four times the interval of renewals.
const RENEWAL_EXPIRY_MS: u64 = 1_600;

/// Time after its deadline at which a permit expires whose end was not reported, ms.
const PERMIT_GRACE_MS: u64 = 1_000;

/// Age from which a permit must be among the requests that its gateway counts, ms: the
/// grant may still be on its way before.
const SETTLED_MS: u64 = 300;

/// Time for which the number of requests that a gateway counted is used, ms.
const COUNT_EXPIRY_MS: u64 = 2_000;

/// Time constant of the usual load of a team, ms.
const USUAL_MS: f64 = 60_000.0;

/// The same while requests wait: a surge must not become the usual load.
const USUAL_CONTENDED_MS: f64 = 600_000.0;

/// Time after the last waiting request for which the service counts as contended, ms.
const CONTENDED_MS: u64 = 1_000;

/// Time from its first request for which the usual load of a team is taken over from
/// gateways that an earlier owner told it, ms.
const TAKE_OVER_MS: u64 = 5_000;

/// Maximum usual load that is taken over, in slots, since questions are not
/// authenticated.
const USUAL_MAX: f64 = 10_000.0;

/// Part of the mean load that each team's share has on top of its own usual load, so
/// that a new team gets something.
const WEIGHT_FLOOR: f64 = 0.25;

/// Weight of one request in the moving mean of durations.
const DURATION_WEIGHT: f64 = 0.05;

/// Number of mean durations that a request must have left after its predicted wait. With
/// one, a tenth of the granted requests of a surging team missed their deadline.
const DURATION_MARGIN: f64 = 2.0;

/// Time constant of the measured rate of drain, ms.
const DRAIN_MS: f64 = 1_000.0;

/// One of this many grants goes to the team that has waited longest since its last one,
/// and there to the oldest request, so that no team and no priority starves.
const OLDEST_EVERY: u64 = 8;

/// Part of the permits that teams over their share use while other teams are active.
/// The rest keeps the queues of the endpoints short for those within theirs.
const OVER_SHARE_FRACTION: f64 = 0.75;

/// Number of requests, running or waiting, that a team may have beyond twice its share, or
/// its part of all, while others wait: a short burst of a small team is not refused.
const BURST: f64 = 8.0;

/// Bounds of the time after which refused callers are told to return, ms.
const RETRY_AFTER_MIN_MS: f64 = 200.0;
const RETRY_AFTER_MAX_MS: f64 = 10_000.0;

/// Maximum part of the told time that is added at random, so that returning callers do
/// not arrive together.
const JITTER_FRACTION: f64 = 0.5;

/// Time by which a caller may return too early, ms: callers' clocks and the decimals of
/// `Retry-After` are coarse.
const RETURN_SLACK_MS: u64 = 20;

/// Time after which a refused caller counts as a new one, ms.
const RETURN_EXPIRY_MS: u64 = 20_000;

/// Maximum lead of a team that is charged for callers who repeat at once, as time at
/// its whole share, ms.
const CHARGE_MAX_MS: f64 = 2_000.0;

/// Identifies a request that asks for a permit.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdmissionKey {
    /// Gateway that holds the request; `None` for the one that grants.
    pub gateway: Option<SocketAddr>,
    /// Number of the request at its gateway; later requests have higher ones.
    pub number: u64,
}

/// A question for a permit.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuestion {
    /// The request.
    pub key: AdmissionKey,
    /// Digest of the team.
    pub team: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time left until the request's deadline, ms.
    pub left_ms: u64,
    /// Number of requests that the gateway has admitted and that have not ended.
    pub running: u32,
    /// Digest by which the request is recognized when it comes again with another id.
    pub identity: u64,
    /// Usual load of the team, in slots, as the gateway was told last; zero if it was
    /// not.
    pub usual: f64,
}

/// What the endpoints of a service take.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PermitCapacity {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may be sent: those that run, and some that endpoints queue.
    pub permits: u32,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// It would not be answered before its deadline.
    Deadline,
    /// Its team uses more than its share while others wait.
    Share,
    /// Too many requests wait.
    Full,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// It may be sent.
    Granted,
    /// It waits; the decision follows.
    Waiting,
    /// It may not be sent.
    Refused {
        /// Why not.
        reason: AdmissionRefusal,
        /// Time after which the caller is to return, ms.
        retry_after_ms: u64,
    },
}

/// How a caller comes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Arrival {
    /// After a refusal, at the time that it was told.
    Returning,
    New,
    /// After a refusal, before that time.
    Early,
}

/// Position of a waiting request within its team; the lowest is the next.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    priority: u8,
    arrival: Arrival,
    deadline: Millis,
    sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    team: u64,
    rank: Rank,
    identity: u64,
    /// When its gateway last asked.
    heard: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Permitted {
    team: u64,
    granted: Millis,
    expires: Millis,
    /// Predicted work that its team was charged for, ms.
    work_ms: f64,
}

/// A refused caller.
#[derive(Clone, Copy, Debug)]
struct Told {
    identity: u64,
    due: Millis,
}

#[derive(Clone, Debug, Default)]
struct Team {
    in_use: u32,
    waiting: BTreeMap<Rank, AdmissionKey>,
    /// Work that the team was granted, by its weight, ms.
    virtual_ms: f64,
    /// Usual load, in slots.
    usual: f64,
    usual_updated: Millis,
    /// When the first request of the team came.
    first_asked: Option<Millis>,
    /// Moving mean of the duration of its requests, ms; zero if unknown.
    duration_ms: f64,
    last_granted: Millis,
    told: VecDeque<Told>,
}

impl Team {
    fn is_active(&self) -> bool {
        self.in_use > 0 || !self.waiting.is_empty()
    }

    /// Finds out how a caller comes, and forgets the refusal that it comes after.
    fn take_arrival(&mut self, identity: u64, now: Millis) -> Arrival {
        self.told
            .retain(|told| now.since(told.due) < RETURN_EXPIRY_MS);
        let is_due = |told: &Told| told.due <= now.plus(RETURN_SLACK_MS);
        let own = |told: &Told| told.identity == identity;
        let due = self.told.iter().position(|told| own(told) && is_due(told));
        if let Some(index) = due {
            self.told.remove(index);
            return Arrival::Returning;
        }
        let early = self.told.iter().position(own);
        if let Some(index) = early {
            self.told.remove(index);
            return Arrival::Early;
        }
        Arrival::New
    }

    fn remember_told(&mut self, told: Told) {
        if self.told.len() >= TOLD_MAX {
            self.told.pop_front();
        }
        self.told.push_back(told);
    }

    /// Number of refused callers who have not been told to be back by now.
    fn expected_back(&self, now: Millis) -> usize {
        self.told.iter().filter(|told| told.due > now).count()
    }

    /// Takes over what an earlier owner knew, while this one has learned little.
    fn take_over_usual(&mut self, usual: f64, now: Millis) {
        let first_asked = *self.first_asked.get_or_insert(now);
        if now.since(first_asked) < TAKE_OVER_MS && usual > self.usual {
            self.usual = usual.min(USUAL_MAX);
            self.usual_updated = now;
        }
    }

    fn add_usual(&mut self, work_ms: f64, time_constant_ms: f64, now: Millis) {
        let age_ms = now.since(self.usual_updated) as f64;
        self.usual *= (-age_ms / time_constant_ms).exp();
        self.usual += work_ms / time_constant_ms;
        self.usual_updated = now;
    }
}

/// What a gateway has in progress.
#[derive(Clone, Debug, Default)]
struct GatewayUse {
    /// When each of its permits was granted, by the request's number.
    permits: BTreeMap<u64, Millis>,
    /// Requests that it counted beyond these, which others granted.
    others: u32,
    counted: Millis,
}

/// Weights of the active teams.
#[derive(Clone, Copy, Debug)]
struct Weights {
    floor: f64,
    total: f64,
    active: usize,
}

impl Weights {
    fn of(self, team: &Team) -> f64 {
        team.usual + self.floor
    }
}

/// Permits and waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    teams: BTreeMap<u64, Team>,
    gateways: HashMap<Option<SocketAddr>, GatewayUse>,
    permits: HashMap<AdmissionKey, Permitted>,
    waiting: HashMap<AdmissionKey, Waiting>,
    /// Decisions on requests that waited.
    decided: Vec<(AdmissionKey, AdmissionVerdict)>,
    /// Lowest work by weight among the waiting teams, ms.
    virtual_ms: f64,
    sequence: u64,
    grant_count: u64,
    last_waiting: Option<Millis>,
    /// Moving mean of the duration of all requests, ms; zero if unknown.
    duration_ms: f64,
    /// Ends a ms, decayed.
    drain_per_ms: f64,
    drain_updated: Millis,
}

impl AdmissionQueue {
    /// Decides on a request, or renews a question for it. `jitter`, 0 to 1, is drawn
    /// uniformly for each call.
    ///
    /// Decisions on other requests are added to [`AdmissionQueue::take_decided`].
    pub fn ask(
        &mut self,
        question: &AdmissionQuestion,
        capacity: PermitCapacity,
        jitter: f64,
        now: Millis,
    ) -> AdmissionVerdict {
        let key = question.key;
        self.reconcile(key.gateway, question.running, now);
        if self.permits.contains_key(&key) {
            return AdmissionVerdict::Granted;
        }
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.heard = now;
            return AdmissionVerdict::Waiting;
        }
        let team_id = self.account(question.team);
        self.team(team_id).take_over_usual(question.usual, now);
        let arrival = self.record_arrival(team_id, question.identity, now);
        self.sequence += 1;
        let rank = Rank {
            priority: question.priority,
            arrival,
            deadline: now.plus(question.left_ms),
            sequence: self.sequence,
        };
        if !self.has_room(team_id, capacity)
            && let Some(reason) = self.refusal(team_id, rank, capacity, now)
        {
            return self.refuse(
                team_id,
                question.identity,
                reason,
                capacity,
                jitter,
                now,
            );
        }
        let waiting = Waiting {
            team: team_id,
            rank,
            identity: question.identity,
            heard: now,
        };
        self.waiting.insert(key, waiting);
        self.team(team_id).waiting.insert(rank, key);
        self.grant(capacity, jitter, now);
        let own = self.decided.iter().position(|(decided, _)| *decided == key);
        match own {
            Some(index) => self.decided.swap_remove(index).1,
            None => {
                self.last_waiting = Some(now);
                AdmissionVerdict::Waiting
            }
        }
    }

    /// Records that a request ended, or no longer waits.
    pub fn end(
        &mut self,
        key: AdmissionKey,
        capacity: PermitCapacity,
        jitter: f64,
        now: Millis,
    ) {
        self.remove_waiting(key);
        if let Some(permit) = self.release(key) {
            self.measure(&permit, now);
        }
        self.grant(capacity, jitter, now);
    }

    /// Drops what has expired, and grants permits to requests that wait.
    pub fn expire(&mut self, capacity: PermitCapacity, jitter: f64, now: Millis) {
        let expired = self.permits.iter().filter(|(_, p)| p.expires <= now);
        let expired: Vec<AdmissionKey> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            self.release(key);
        }
        let abandoned = self
            .waiting
            .iter()
            .filter(|(_, waiting)| now.since(waiting.heard) >= RENEWAL_EXPIRY_MS);
        let abandoned: Vec<AdmissionKey> = abandoned.map(|(key, _)| *key).collect();
        for key in abandoned {
            self.remove_waiting(key);
        }
        let late = self
            .waiting
            .iter()
            .filter(|(_, waiting)| self.is_too_late(waiting, now));
        let late: Vec<AdmissionKey> = late.map(|(key, _)| *key).collect();
        for key in late {
            self.refuse_waiting(key, capacity, jitter, now);
        }
        self.gateways.retain(|_, gateway| {
            if now.since(gateway.counted) >= COUNT_EXPIRY_MS {
                gateway.others = 0;
            }
            gateway.others > 0 || !gateway.permits.is_empty()
        });
        if self.teams.len() >= TEAMS_MAX {
            self.teams.retain(|_, team| {
                let idle_ms = now.since(team.usual_updated.max(team.last_granted));
                team.is_active() || (idle_ms as f64) < USUAL_MS
            });
        }
        self.grant(capacity, jitter, now);
    }

    /// Takes the decisions on requests that waited.
    pub fn take_decided(&mut self) -> Vec<(AdmissionKey, AdmissionVerdict)> {
        std::mem::take(&mut self.decided)
    }

    /// Returns the usual load of a team, in slots.
    pub fn usual(&self, team: u64) -> f64 {
        let team = self.teams.get(&self.account(team));
        team.map_or(0.0, |team| team.usual)
    }

    /// Returns the number of requests in progress, also of those that others granted.
    pub fn in_use(&self) -> u32 {
        let others: u32 = self.gateways.values().map(|gateway| gateway.others).sum();
        self.permits.len() as u32 + others
    }

    /// Returns the number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing is in progress or waits.
    pub fn is_idle(&self) -> bool {
        self.permits.is_empty() && self.waiting.is_empty()
    }

    /// Corrects what is known of a gateway by the number of requests that it counts:
    /// ends may have been lost, and others may have granted some.
    fn reconcile(&mut self, gateway: Option<SocketAddr>, running: u32, now: Millis) {
        let known = self.gateways.entry(gateway).or_default();
        let settled = known
            .permits
            .iter()
            .filter(|(_, granted)| now.since(**granted) >= SETTLED_MS);
        let settled: Vec<u64> = settled.map(|(number, _)| *number).collect();
        let lost = settled.len().saturating_sub(running as usize);
        known.others = running.saturating_sub(known.permits.len() as u32);
        known.counted = now;
        for number in settled.into_iter().take(lost) {
            self.release(AdmissionKey { gateway, number });
        }
    }

    /// Returns the account of a team.
    fn account(&self, team: u64) -> u64 {
        let fits = self.teams.len() < TEAMS_MAX || self.teams.contains_key(&team);
        if fits { team } else { 0 }
    }

    fn team(&mut self, id: u64) -> &mut Team {
        self.teams.entry(id).or_default()
    }

    /// Records a request of a team, and returns how its caller comes.
    fn record_arrival(&mut self, team_id: u64, identity: u64, now: Millis) -> Arrival {
        let weights = self.weights(Some(team_id));
        let floor_ms = self.virtual_ms;
        let duration_ms = self.duration_ms;
        let team = self.team(team_id);
        if team.waiting.is_empty() {
            team.virtual_ms = team.virtual_ms.max(floor_ms);
        }
        let arrival = team.take_arrival(identity, now);
        if arrival == Arrival::Early {
            let share = weights.of(team);
            let charged = team.virtual_ms + duration_ms / share;
            let most = floor_ms + CHARGE_MAX_MS / weights.total.max(share);
            team.virtual_ms = team.virtual_ms.max(charged.min(most));
        }
        arrival
    }

    /// Returns the weights of the active teams, and of `team_id`.
    fn weights(&self, team_id: Option<u64>) -> Weights {
        let counted = |id: u64, team: &Team| Some(id) == team_id || team.is_active();
        let (mut usual, mut active) = (0.0, 0);
        for (id, team) in &self.teams {
            if counted(*id, team) {
                usual += team.usual;
                active += 1;
            }
        }
        let count = active.max(1) as f64;
        let floor = if usual > 0.0 {
            WEIGHT_FLOOR * usual / count
        } else {
            1.0
        };
        Weights {
            floor,
            total: usual + floor * count,
            active,
        }
    }

    /// Returns the permits that a team may use while all want more.
    fn share(&self, team: &Team, weights: Weights, capacity: PermitCapacity) -> f64 {
        f64::from(capacity.permits) * weights.of(team) / weights.total
    }

    fn is_over_share(
        &self,
        team: &Team,
        weights: Weights,
        capacity: PermitCapacity,
    ) -> bool {
        f64::from(team.in_use) >= self.share(team, weights, capacity).max(1.0)
    }

    /// Returns how many requests may be in progress when a team over its share gets
    /// a permit.
    fn over_share_limit(weights: Weights, capacity: PermitCapacity) -> u32 {
        if weights.active < 2 {
            return capacity.permits;
        }
        let part = f64::from(capacity.permits) * OVER_SHARE_FRACTION;
        (part as u32).max(capacity.slots).min(capacity.permits)
    }

    /// Whether a request of the team gets a permit at once.
    fn has_room(&self, team_id: u64, capacity: PermitCapacity) -> bool {
        let in_use = self.in_use();
        if !self.waiting.is_empty() || in_use >= capacity.permits {
            return false;
        }
        let weights = self.weights(Some(team_id));
        let Some(team) = self.teams.get(&team_id) else {
            return true;
        };
        !self.is_over_share(team, weights, capacity)
            || in_use < Self::over_share_limit(weights, capacity)
    }

    /// Returns why a request is not to wait.
    fn refusal(
        &self,
        team_id: u64,
        rank: Rank,
        capacity: PermitCapacity,
        now: Millis,
    ) -> Option<AdmissionRefusal> {
        let team = self.teams.get(&team_id)?;
        // As in [`WaitingRoom`].
        if team.waiting.len() >= WAITING_MAX.saturating_sub(self.waiting.len()) {
            return Some(AdmissionRefusal::Full);
        }
        let weights = self.weights(Some(team_id));
        let wanted = f64::from(team.in_use) + team.waiting.len() as f64;
        let others_wait = self.waiting.len() > team.waiting.len();
        // All teams want more when the endpoints become slower, so one that wants no more
        // than its part of all is not the cause.
        let part = weights.of(team) / weights.total;
        let wanted_by_all = f64::from(self.in_use()) + self.waiting.len() as f64;
        let share = self.share(team, weights, capacity);
        let most = (2.0 * share).max(part * wanted_by_all) + BURST;
        if others_wait && rank.arrival != Arrival::Returning && wanted >= most {
            return Some(AdmissionRefusal::Share);
        }
        let ahead = team.waiting.range(..rank).count();
        let wait_ms = self.drain_time_ms(team_id, ahead + 1, capacity, now)?;
        let answered_ms = wait_ms + DURATION_MARGIN * self.duration_ms;
        let left_ms = rank.deadline.since(now) as f64;
        (answered_ms > left_ms).then_some(AdmissionRefusal::Deadline)
    }

    /// Predicts the time in which `count` requests of a team get a permit, ms; `None`
    /// before any has ended.
    fn drain_time_ms(
        &self,
        team_id: u64,
        count: usize,
        capacity: PermitCapacity,
        now: Millis,
    ) -> Option<f64> {
        if self.duration_ms <= 0.0 {
            return None;
        }
        let age_ms = now.since(self.drain_updated) as f64;
        let measured = self.drain_per_ms * (-age_ms / DRAIN_MS).exp();
        // Before the service is full, it drains faster than requests end.
        let possible = f64::from(capacity.slots) / self.duration_ms;
        let team = self.teams.get(&team_id)?;
        let weights = self.weights(Some(team_id));
        let used = f64::from(team.in_use) / f64::from(self.in_use().max(1));
        let part = (weights.of(team) / weights.total).max(used);
        Some(count as f64 / (measured.max(possible) * part))
    }

    fn refuse(
        &mut self,
        team_id: u64,
        identity: u64,
        reason: AdmissionRefusal,
        capacity: PermitCapacity,
        jitter: f64,
        now: Millis,
    ) -> AdmissionVerdict {
        let team = self.team(team_id);
        let before = team.waiting.len() + team.expected_back(now);
        let drained_ms = self.drain_time_ms(team_id, before + 1, capacity, now);
        let drained_ms = drained_ms.unwrap_or(RETRY_AFTER_MIN_MS);
        let told_ms = drained_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        let told_ms = told_ms * (1.0 + JITTER_FRACTION * jitter.clamp(0.0, 1.0));
        let retry_after_ms = told_ms as u64;
        self.team(team_id).remember_told(Told {
            identity,
            due: now.plus(retry_after_ms),
        });
        AdmissionVerdict::Refused {
            reason,
            retry_after_ms,
        }
    }

    fn refuse_waiting(
        &mut self,
        key: AdmissionKey,
        capacity: PermitCapacity,
        jitter: f64,
        now: Millis,
    ) {
        let Some(waiting) = self.remove_waiting(key) else {
            return;
        };
        let (team, reason) = (waiting.team, AdmissionRefusal::Deadline);
        let verdict =
            self.refuse(team, waiting.identity, reason, capacity, jitter, now);
        self.decided.push((key, verdict));
    }

    /// Whether a waiting request would not be answered before its deadline.
    fn is_too_late(&self, waiting: &Waiting, now: Millis) -> bool {
        waiting.rank.deadline.since(now) <= self.duration_ms as u64
    }

    /// Grants permits while there are some.
    fn grant(&mut self, capacity: PermitCapacity, jitter: f64, now: Millis) {
        while let Some(key) = self.next(capacity) {
            let waiting = &self.waiting[&key];
            if self.is_too_late(waiting, now) {
                self.refuse_waiting(key, capacity, jitter, now);
                continue;
            }
            self.permit(key, now);
        }
        if !self.waiting.is_empty() {
            self.last_waiting = Some(now);
        }
    }

    /// Returns the waiting request that gets the next permit, if there is one.
    fn next(&self, capacity: PermitCapacity) -> Option<AdmissionKey> {
        let in_use = self.in_use();
        if self.waiting.is_empty() || in_use >= capacity.permits {
            return None;
        }
        let weights = self.weights(None);
        let may_exceed = in_use < Self::over_share_limit(weights, capacity);
        let teams = self.teams.values().filter_map(|team| {
            let (rank, key) = team.waiting.first_key_value()?;
            let over = self.is_over_share(team, weights, capacity);
            (!over || may_exceed).then_some((team, over, rank, *key))
        });
        if self.grant_count % OLDEST_EVERY == OLDEST_EVERY - 1 {
            let (team, ..) = teams.min_by_key(|(team, ..)| team.last_granted)?;
            let oldest = team.waiting.iter().min_by_key(|(rank, _)| rank.sequence);
            return oldest.map(|(_, key)| *key);
        }
        let best = teams.min_by(|(a, a_over, a_rank, _), (b, b_over, b_rank, _)| {
            let by_urgency =
                (*a_over, a_rank.priority).cmp(&(*b_over, b_rank.priority));
            by_urgency.then(a.virtual_ms.total_cmp(&b.virtual_ms))
        });
        best.map(|(_, _, _, key)| key)
    }

    fn permit(&mut self, key: AdmissionKey, now: Millis) {
        let Some(waiting) = self.remove_waiting(key) else {
            return;
        };
        let weights = self.weights(Some(waiting.team));
        let mean_ms = self.duration_ms;
        let team = self.team(waiting.team);
        let work_ms = if team.duration_ms > 0.0 {
            team.duration_ms
        } else {
            mean_ms
        };
        let started_ms = team.virtual_ms;
        team.virtual_ms += work_ms / weights.of(team);
        team.in_use += 1;
        team.last_granted = now;
        let permit = Permitted {
            team: waiting.team,
            granted: now,
            expires: waiting.rank.deadline.plus(PERMIT_GRACE_MS),
            work_ms,
        };
        self.permits.insert(key, permit);
        let gateway = self.gateways.entry(key.gateway).or_default();
        gateway.permits.insert(key.number, now);
        self.grant_count += 1;
        let lowest = self.teams.values().filter(|team| !team.waiting.is_empty());
        let lowest = lowest.map(|team| team.virtual_ms).min_by(f64::total_cmp);
        self.virtual_ms = self.virtual_ms.max(lowest.unwrap_or(started_ms));
        self.decided.push((key, AdmissionVerdict::Granted));
    }

    fn remove_waiting(&mut self, key: AdmissionKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&key)?;
        self.team(waiting.team).waiting.remove(&waiting.rank);
        Some(waiting)
    }

    fn release(&mut self, key: AdmissionKey) -> Option<Permitted> {
        let permit = self.permits.remove(&key)?;
        if let Some(gateway) = self.gateways.get_mut(&key.gateway) {
            gateway.permits.remove(&key.number);
        }
        let team = self.team(permit.team);
        team.in_use = team.in_use.saturating_sub(1);
        Some(permit)
    }

    /// Learns from the end of a request.
    fn measure(&mut self, permit: &Permitted, now: Millis) {
        let age_ms = now.since(self.drain_updated) as f64;
        self.drain_per_ms *= (-age_ms / DRAIN_MS).exp();
        self.drain_per_ms += 1.0 / DRAIN_MS;
        self.drain_updated = now;
        let taken_ms = now.since(permit.granted) as f64;
        add_duration(&mut self.duration_ms, taken_ms);
        let contended = self
            .last_waiting
            .is_some_and(|at| now.since(at) < CONTENDED_MS);
        let time_constant_ms = if contended {
            USUAL_CONTENDED_MS
        } else {
            USUAL_MS
        };
        let weights = self.weights(Some(permit.team));
        let team = self.team(permit.team);
        let missed_ms = (taken_ms - permit.work_ms) / weights.of(team);
        team.virtual_ms = (team.virtual_ms + missed_ms).max(0.0);
        add_duration(&mut team.duration_ms, taken_ms);
        team.add_usual(taken_ms, time_constant_ms, now);
    }
}

/// Adds a request to a moving mean of durations, ms; zero stands for an unknown one.
fn add_duration(mean_ms: &mut f64, taken_ms: f64) {
    let taken_ms = taken_ms.max(1.0);
    if *mean_ms <= 0.0 {
        *mean_ms = taken_ms;
    } else {
        *mean_ms += (taken_ms - *mean_ms) * DURATION_WEIGHT;
    }
}

/// Requests that wait at one gateway, bounded in number and bytes.
///
/// A team gets at most as much as is left for all, so that one team fills half of the
/// room and others still find some. With one common bound, a team at eight times its
/// share took all places, and 133 of 300 requests of another were refused.
#[derive(Clone, Debug, Default)]
pub struct WaitingRoom {
    count_max: usize,
    bytes_max: usize,
    count: usize,
    bytes: usize,
    /// Number and bytes of the requests of each team.
    teams: HashMap<u64, (usize, usize)>,
}

impl WaitingRoom {
    /// Creates an empty one.
    pub fn new(count_max: usize, bytes_max: usize) -> Self {
        WaitingRoom {
            count_max,
            bytes_max,
            ..WaitingRoom::default()
        }
    }

    /// Adds a request, unless there is no room for it.
    pub fn try_enter(&mut self, team: u64, bytes: usize) -> bool {
        let (count, sum) = self.teams.get(&team).copied().unwrap_or_default();
        let fits = count < self.count_max.saturating_sub(self.count)
            && sum + bytes <= self.bytes_max.saturating_sub(self.bytes);
        if fits {
            self.count += 1;
            self.bytes += bytes;
            self.teams.insert(team, (count + 1, sum + bytes));
        }
        fits
    }

    /// Removes a request that was added.
    pub fn leave(&mut self, team: u64, bytes: usize) {
        let Some((count, sum)) = self.teams.get_mut(&team) else {
            return;
        };
        *count = count.saturating_sub(1);
        *sum = sum.saturating_sub(bytes);
        if *count == 0 {
            self.teams.remove(&team);
        }
        self.count = self.count.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(bytes);
    }
}
