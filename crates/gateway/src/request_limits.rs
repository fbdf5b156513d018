//! Keeps to the limits that endpoints name, as one budget of all gateways.
//!
//! The gateway that tracks an endpoint grants the requests to it. A gateway that gets no
//! answer sends nothing there: other endpoints take the request, or it is refused.

use std::{cell::RefCell, net::SocketAddr};

use clock::Millis;
use log::info;
use owner::{Answered, OpenQuestions, Outcome};
use platform::NamedLimit;
use route::{GrantRate, Permit, RequestBudgets, grant_rate};

use crate::{
    attempt::InFlight,
    datagram::{Datagram, LIMITS_MAX, LimitAnswer, LimitNotice, LimitQuestion},
    state::Gateway,
};

/// Time for which an answer is awaited, ms; several times a round trip between two
/// failure domains.
const ANSWER_TIMEOUT_MS: u64 = 15;

/// Time for which an endpoint gets nothing after a question was not answered, ms.
const UNANSWERED_PAUSE_MS: u64 = 250;

/// Maximum time for which an endpoint gets nothing after a request was not granted,
/// ms, since it may take more again before.
const DENIED_PAUSE_MAX_MS: u64 = 2_000;

/// Number of the thousandths in which limits are exchanged, per request.
const MILLIS_PER_REQUEST: f64 = 1_000.0;

/// State of the exchange on limits.
#[derive(Debug, Default)]
pub(crate) struct LimitExchange {
    budgets: RefCell<RequestBudgets>,
    questions: OpenQuestions<Option<Permit>>,
}

impl Gateway {
    /// Records what an endpoint's answer says about its limit.
    pub fn record_named_limit(&self, in_flight: &InFlight, named: NamedLimit) {
        let endpoint = &in_flight.pick.endpoint;
        let per_s = match named {
            NamedLimit::PerSecond(per_s) => Some(per_s),
            NamedLimit::Absent => None,
            NamedLimit::Malformed => {
                log::warn!("event=endpoint_limit_malformed endpoint={}", endpoint.id);
                return;
            }
        };
        let mut pool = self.pool.borrow_mut();
        let now = self.now();
        let Some(endpoint_digest) = pool.digest_of(&endpoint.id) else {
            return;
        };
        // Kept as the peers get it, or each answer would differ from their notices.
        let notice = LimitNotice::new(endpoint_digest, per_s);
        let per_s = notice.per_s();
        if !pool.set_limit(&endpoint.id, per_s, in_flight.started, now) {
            return;
        }
        drop(pool);
        self.log_limit(&endpoint.id, per_s, "response");
        self.announce_limits(&[notice]);
    }

    fn log_limit(&self, id: &str, per_s: Option<f64>, source: &str) {
        match per_s {
            Some(per_s) => {
                info!(
                    "event=endpoint_limited endpoint={id} per_s={per_s} source={source}"
                );
            }
            None => info!("event=endpoint_limit_ended endpoint={id} source={source}"),
        }
    }

    /// Tells all limits that are known to all peers, since one of them is new.
    pub fn announce_known_limits(&self) {
        let limits = self.pool.borrow().limits();
        let notices: Vec<LimitNotice> = limits
            .into_iter()
            .map(|(endpoint, per_s)| LimitNotice::new(endpoint, Some(per_s)))
            .collect();
        if !notices.is_empty() {
            self.announce_limits(&notices);
        }
    }

    fn announce_limits(&self, notices: &[LimitNotice]) {
        let peers = self.peers.borrow().addresses();
        for part in notices.chunks(LIMITS_MAX) {
            let datagram = Datagram::Limits(part.to_vec());
            for peer in &peers {
                self.send_now(*peer, &datagram);
            }
        }
    }

    /// Records limits that a peer knows of.
    pub fn record_peer_limits(&self, notices: &[LimitNotice], now: Millis) {
        for notice in notices {
            let per_s = notice.per_s();
            let mut pool = self.pool.borrow_mut();
            let id = pool.id_of(notice.endpoint).map(str::to_owned);
            let Some(id) = id.filter(|id| pool.set_limit(id, per_s, now, now)) else {
                continue;
            };
            drop(pool);
            self.log_limit(&id, per_s, "peer");
        }
    }

    /// Returns whether a request may be sent to the endpoint now. If not, the endpoint
    /// gets nothing from this gateway until it may.
    pub async fn may_send(&self, id: &str) -> bool {
        let now = self.now();
        let cold_per_s = self.cold_per_s(id, now);
        let (limit_per_s, endpoint) = {
            let pool = self.pool.borrow();
            (pool.limit_of(id), pool.digest_of(id))
        };
        let hearing_ms = self.peers.borrow().hearing_ms();
        let rate = grant_rate(limit_per_s, cold_per_s, hearing_ms);
        let Some((rate, endpoint)) = rate.zip(endpoint) else {
            return true;
        };
        let counter = match cold_per_s {
            Some(_) => "warmup_requests",
            None => "limited_requests",
        };
        let grants = self.peers.borrow().tracker(endpoint, now);
        let permit = match grants {
            None => self.grant(endpoint, rate, now),
            Some(peer) => {
                let limit = LimitNotice::new(endpoint, limit_per_s);
                self.ask_permit(peer, limit, cold_per_s).await
            }
        };
        match permit {
            Permit::Granted => {
                self.stats.count(counter, "granted");
                true
            }
            Permit::DeniedFor(wait_ms) => {
                self.stats.count(counter, "denied");
                let until = self.now().plus(wait_ms.min(DENIED_PAUSE_MAX_MS));
                self.pool.borrow_mut().pause(id, until);
                false
            }
        }
    }

    /// Grants a request for which this gateway is responsible, in the part of the
    /// fleet that it hears: gateways that it does not hear may have another.
    fn grant(&self, endpoint: u64, rate: GrantRate, now: Millis) -> Permit {
        let part = self.peers.borrow().heard_fraction(now);
        let mut budgets = self.limits_exchange.budgets.borrow_mut();
        budgets.take_at(endpoint, rate, part, now)
    }

    async fn ask_permit(
        &self,
        peer: SocketAddr,
        limit: LimitNotice,
        cold_per_s: Option<f64>,
    ) -> Permit {
        let questions = &self.limits_exchange.questions;
        let question = questions.ask(None, 1, ANSWER_TIMEOUT_MS);
        let asked = LimitQuestion {
            number: question.number(),
            limit,
            warmup_milli_per_s: cold_per_s
                .map(|per_s| (per_s * MILLIS_PER_REQUEST).floor() as u64),
        };
        self.send_now(peer, &Datagram::LimitQuestion(asked));
        match question.wait(tokio::time::sleep).await {
            Outcome::Complete(Some(permit)) => permit,
            Outcome::Complete(None) | Outcome::Expired(_) => {
                self.stats.count("limited_requests", "unanswered");
                Permit::DeniedFor(UNANSWERED_PAUSE_MS)
            }
        }
    }

    /// Answers a peer's question for a request.
    pub fn answer_limit_question(
        &self,
        from: SocketAddr,
        question: &LimitQuestion,
        now: Millis,
    ) {
        let cold_per_s = question
            .warmup_milli_per_s
            .map(|milli| milli as f64 / MILLIS_PER_REQUEST);
        // A question that names no rate is from a stray or forged datagram.
        let hearing_ms = self.peers.borrow().hearing_ms();
        let rate = grant_rate(question.limit.per_s(), cold_per_s, hearing_ms);
        let rate = rate.unwrap_or_else(|| GrantRate::limit(0.0));
        let wait_ms = match self.grant(question.limit.endpoint, rate, now) {
            Permit::Granted => 0,
            Permit::DeniedFor(wait_ms) => u32::try_from(wait_ms).unwrap_or(u32::MAX),
        };
        let answer = LimitAnswer {
            number: question.number,
            wait_ms,
        };
        self.send_now(from, &Datagram::LimitAnswer(answer));
    }

    /// Records an answer, unless nobody waits for it any more.
    pub fn record_limit_answer(&self, answer: &LimitAnswer) {
        let permit = match answer.wait_ms {
            0 => Permit::Granted,
            wait_ms => Permit::DeniedFor(wait_ms.into()),
        };
        let questions = &self.limits_exchange.questions;
        let answered = questions.answer(answer.number, |held| *held = Some(permit));
        if answered == Answered::Late {
            self.stats.count("limited_requests", "late_answer");
        }
    }
}

impl LimitNotice {
    fn new(endpoint: u64, per_s: Option<f64>) -> Self {
        let per_s = per_s.map(|per_s| per_s.max(route::LIMIT_MIN_PER_S));
        let milli_per_s =
            per_s.map(|per_s| (per_s * MILLIS_PER_REQUEST).round() as u64);
        LimitNotice {
            endpoint,
            milli_per_s,
        }
    }

    fn per_s(&self) -> Option<f64> {
        self.milli_per_s
            .map(|milli| milli as f64 / MILLIS_PER_REQUEST)
    }
}
