//! When an endpoint counts as warming, and how many requests it then gets.
//!
//! Made for a burst of requests to endpoints that have just started or come back: an
//! idle endpoint is the best choice of every gateway at once, but for some seconds it
//! tolerates a few requests a second, and crashes far above that. All gateways must
//! therefore know in time, and err on the side of a warm-up. See
//! `docs/design/deployment.md`.

use clock::Millis;

use crate::request_limit::GrantRate;

/// Maximum time for which an endpoint can say that it is cold, ms. A damaged value must
/// not throttle it for longer.
const COLD_MAX_MS: u64 = 600_000;

/// Time after an event, ms, in which an announcement that is read may have been written
/// before it: announcements are read in batches.
const ANNOUNCEMENT_DELAY_MS: u64 = 1_000;

/// Maximum time that a peer can say an endpoint reported, ms: less than the endpoint can
/// report itself, since peers are not authenticated.
const PEER_REPORT_MAX_MS: u64 = 60_000;

/// Smallest change of the end of a warm-up that peers are told, ms: each response names
/// the time that is left, and these differ by the time that responses take.
const NEWS_MIN_MS: u64 = 250;

/// The warm-up of a service's endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmupRule {
    /// Time for which an endpoint that came back is cold, ms.
    pub cold_ms: u64,
    /// Requests a second that a cold endpoint takes from all gateways.
    pub cold_per_s: f64,
}

/// Why an endpoint counts as warming.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WarmupGrounds {
    /// Its announcement says so.
    Announced,
    /// A response says so.
    Reported,
    /// The evacuation of its failure domain was withdrawn.
    Readmitted,
    /// It cannot be reached, or answers again after that.
    Unreachable,
    /// A peer says that it came back.
    Peer,
}

impl WarmupGrounds {
    /// The grounds as a word for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            WarmupGrounds::Announced => "announcement",
            WarmupGrounds::Reported => "response",
            WarmupGrounds::Readmitted => "evacuation",
            WarmupGrounds::Unreachable => "unreachable",
            WarmupGrounds::Peer => "peer",
        }
    }
}

/// What is known of the warm-up of one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmup {
    /// Time left by an announcement that has not been recorded yet, ms.
    unread_left_ms: Option<u64>,
    announced_until: Millis,
    reported_until: Millis,
    readmitted_at: Option<Millis>,
    /// When it could not be reached last, if it has not answered since.
    unreachable_at: Option<Millis>,
    /// When it answered again.
    returned_at: Option<Millis>,
    /// Until when the peers know that it cannot be reached or came back, from this
    /// gateway or another one, and since when.
    told_until: Millis,
    told_at: Millis,
    /// Whether the last log line said that it is warming.
    pub(crate) is_logged: bool,
}

impl Warmup {
    /// Keeps the time left that an announcement names for
    /// [`Warmup::record_announcement_read`].
    pub(crate) fn announce(&mut self, left_ms: u64) {
        self.unread_left_ms = Some(left_ms.min(COLD_MAX_MS));
    }

    /// Records that the last announcement was read at `now`. One that says that the
    /// endpoint is warm ends what was only assumed.
    pub fn record_announcement_read(&mut self, now: Millis) {
        let Some(left_ms) = self.unread_left_ms.take() else {
            return;
        };
        self.announced_until = now.plus(left_ms);
        if left_ms > 0 {
            return;
        }
        let is_later = |event: &Millis| now.since(*event) >= ANNOUNCEMENT_DELAY_MS;
        let assumed = [
            &mut self.readmitted_at,
            &mut self.unreachable_at,
            &mut self.returned_at,
        ];
        for event in assumed {
            event.take_if(|event| is_later(event));
        }
        if is_later(&self.told_at) {
            self.told_until = Millis::default();
        }
    }

    /// Records that the endpoint said that it is cold for `left_ms`; returns whether the
    /// peers need to be told.
    pub fn record_report(&mut self, left_ms: u64, now: Millis) -> bool {
        let until = now.plus(left_ms.min(COLD_MAX_MS));
        let is_news = until > self.reported_until.plus(NEWS_MIN_MS) && until > now;
        self.reported_until = self.reported_until.max(until);
        is_news
    }

    /// Records that the evacuation of the endpoint's failure domain was withdrawn.
    pub fn record_readmission(&mut self, now: Millis) {
        self.readmitted_at = Some(now);
    }

    /// Records that the endpoint, which would be cold for `cold_ms`, cannot be reached;
    /// returns whether the peers need to be told, again if it is away for long.
    pub fn record_unreachable(&mut self, cold_ms: u64, now: Millis) -> bool {
        self.unreachable_at = Some(now);
        let is_news = self.told_until.since(now) * 2 < cold_ms;
        if is_news {
            self.told_until = now.plus(cold_ms);
            self.told_at = now;
        }
        is_news
    }

    /// Records that the endpoint answered; returns whether it could not be reached
    /// before.
    pub fn record_answer(&mut self, now: Millis) -> bool {
        let returned = self.unreachable_at.take().is_some();
        if returned {
            self.returned_at = Some(now);
        }
        returned
    }

    /// Records that the endpoint said to a peer that it is cold for `left_ms`.
    pub fn record_peer_report(&mut self, left_ms: u64, now: Millis) {
        self.record_report(left_ms.min(PEER_REPORT_MAX_MS), now);
    }

    /// Records that a peer assumes the endpoint to be cold for `left_ms` of `cold_ms`;
    /// `answers` if that is since it answered the peer.
    pub fn record_peer(
        &mut self,
        left_ms: u64,
        cold_ms: u64,
        answers: bool,
        now: Millis,
    ) {
        self.told_until = self.told_until.max(now.plus(left_ms.min(cold_ms)));
        self.told_at = now;
        if answers {
            self.unreachable_at = None;
        }
    }

    /// Returns why and until when the endpoint counts as warming, if it does.
    pub fn grounds(
        &self,
        rule: WarmupRule,
        now: Millis,
    ) -> Option<(WarmupGrounds, Millis)> {
        if rule.cold_per_s <= 0.0 {
            return None;
        }
        let after = |event: Option<Millis>| {
            event.map_or(Millis::default(), |event| event.plus(rule.cold_ms))
        };
        // It gets as few requests before it answers again, for as long as that takes.
        let unreachable = match self.unreachable_at {
            Some(_) => now.plus(rule.cold_ms.max(1)),
            None => after(self.returned_at),
        };
        let grounds = [
            (WarmupGrounds::Announced, self.announced_until),
            (WarmupGrounds::Reported, self.reported_until),
            (WarmupGrounds::Readmitted, after(self.readmitted_at)),
            (WarmupGrounds::Unreachable, unreachable),
            (WarmupGrounds::Peer, self.told_until),
        ];
        let last = grounds.into_iter().max_by_key(|(_, until)| *until);
        last.filter(|(_, until)| now < *until)
    }

    /// Returns the time left by the endpoint's own responses, ms, for peers that are
    /// new.
    pub(crate) fn reported_left_ms(&self, now: Millis) -> u64 {
        self.reported_until.since(now)
    }
}

/// Returns the rate of the requests to an endpoint, by the limit that it named and the
/// rate at which it warms up; the lower one counts. `None` if it has neither. For
/// `hearing_ms` see [`GrantRate::warmup`].
pub fn grant_rate(
    limit_per_s: Option<f64>,
    cold_per_s: Option<f64>,
    hearing_ms: u64,
) -> Option<GrantRate> {
    let limit = limit_per_s.map(GrantRate::limit);
    let warmup = cold_per_s.map(|per_s| GrantRate::warmup(per_s, hearing_ms));
    match (limit, warmup) {
        (Some(limit), Some(warmup)) => Some(limit.lower(warmup)),
        (limit, warmup) => limit.or(warmup),
    }
}
