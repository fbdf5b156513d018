//! What a gateway knows about one endpoint, and its predicted cost for a request.

use std::collections::HashMap;

use catalog::Endpoint;
use clock::Millis;

use super::{
    AnnouncedAt, Costs, PickRequest,
    prefix::{digest_text, mix, salted, shared_prefix},
};
use crate::{health::Health, load_tracker::TrackedLoad, warmup::Warmup};

/// Assumed service time of a request to a plain (non-engine) service, ms.
const PLAIN_SERVICE_MS: f64 = 20.0;

/// Added latency of a call to another failure domain, ms.
const CROSS_DOMAIN_MS: f64 = 2.0;

/// Time for which a prefix is assumed to stay in an engine's cache, ms.
pub(crate) const PREFIX_TTL_MS: u64 = 40_000;

/// Maximum number of prefixes remembered per endpoint.
pub(crate) const PREFIXES_MAX: usize = 2_048;

/// Maximum time of a prompt that counts for the requests running beside it, ms; a very long
/// one would otherwise wait behind others for an engine without streams.
const STALLED_MAX_MS: f64 = 300.0;

/// Requests at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    /// Requests in progress.
    pub running: f64,
    /// Their prompt tokens still in prefill, scaled by pace.
    pub prefill_tokens: f64,
    /// Time that prompts take there beyond what these explain, ms.
    pub delay_ms: f64,
}

impl From<TrackedLoad> for Load {
    fn from(tracked: TrackedLoad) -> Self {
        Load {
            running: f64::from(tracked.running),
            prefill_tokens: f64::from(tracked.prefill_tokens),
            delay_ms: f64::from(tracked.delay_ms),
        }
    }
}

/// What a gateway knows about one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointStats {
    pub endpoint: Endpoint,
    pub health: Health,
    /// Requests of this gateway in progress.
    pub running: u32,
    /// Prompt tokens, scaled by pace, of this gateway's requests that are still
    /// in prefill.
    pub prefill_tokens: f64,
    /// Requests of other gateways, as last reported.
    pub peer_requests: u32,
    /// Prompt tokens, scaled by pace, that those requests still have in
    /// prefill.
    pub peer_prefill_tokens: f64,
    /// Time of the last response or other activity.
    pub last_activity: Millis,
    pub id_digest: u64,
    /// Digest of the name of its failure domain.
    pub domain_digest: u64,
    /// Time when each prefix was last sent to the endpoint, by salted digest.
    pub prefixes: HashMap<u64, Millis>,
    /// Whether the endpoint left the list while discovery was unavailable.
    pub unlisted: bool,
    /// Order of its latest announcement.
    pub announced: AnnouncedAt,
    /// End of the pause that the endpoint asked this gateway for.
    pub paused_until: Millis,
    /// Requests a second that the endpoint takes from all gateways, if it said so, and
    /// when this gateway learned of it or of its end.
    pub limit_per_s: Option<f64>,
    pub limit_learned: Millis,
    /// End of the time for which a peer's notice that the endpoint is draining is
    /// believed.
    pub peer_draining_until: Millis,
    pub warmup: Warmup,
}

impl EndpointStats {
    pub fn new(endpoint: Endpoint, announced: AnnouncedAt) -> Self {
        let id_digest = digest_text(&endpoint.id);
        let domain_digest = digest_text(&endpoint.failure_domain);
        let mut warmup = Warmup::default();
        warmup.announce(endpoint.warmup_left_ms);
        EndpointStats {
            endpoint,
            health: Health::default(),
            running: 0,
            prefill_tokens: 0.0,
            peer_requests: 0,
            peer_prefill_tokens: 0.0,
            last_activity: Millis::default(),
            id_digest,
            domain_digest,
            prefixes: HashMap::new(),
            unlisted: false,
            announced,
            paused_until: Millis::default(),
            limit_per_s: None,
            limit_learned: Millis::default(),
            peer_draining_until: Millis::default(),
            warmup,
        }
    }

    /// Returns whether the endpoint asked this gateway for a pause that is not over.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Returns whether a peer recently learned that the endpoint is draining.
    pub fn is_draining_at_peer(&self, now: Millis) -> bool {
        now < self.peer_draining_until
    }

    /// Remembers salted prefix digests as cached by this endpoint.
    pub fn remember_prefixes<I>(&mut self, digests: I, now: Millis)
    where
        I: IntoIterator<Item = u64>,
    {
        if self.prefixes.len() >= PREFIXES_MAX {
            self.prefixes
                .retain(|_, used| now.since(*used) < PREFIX_TTL_MS);
        }
        if self.prefixes.len() < PREFIXES_MAX {
            self.prefixes
                .extend(digests.into_iter().map(|digest| (digest, now)));
        }
    }

    /// Returns the tokens of the salted `parts` that the endpoint has cached.
    ///
    /// A digest covers all preceding parts, so these are cached as well.
    pub fn cached_tokens(&self, parts: &[(u64, u32)], now: Millis) -> u32 {
        let is_cached = |(part, _): &(u64, u32)| {
            let used = self.prefixes.get(part);
            used.is_some_and(|used| now.since(*used) < PREFIX_TTL_MS)
        };
        let last = parts.iter().rposition(is_cached);
        let cached = last.map_or(&[][..], |last| &parts[..=last]);
        cached.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Returns the load that this gateway knows of: its own, and what peers reported.
    pub fn known_load(&self) -> Load {
        Load {
            running: f64::from(self.running + self.peer_requests),
            prefill_tokens: self.prefill_tokens + self.peer_prefill_tokens,
            delay_ms: 0.0,
        }
    }

    /// Returns the predicted time to the first event of a response, ms.
    pub fn wait_ms(
        &self,
        costs: &Costs,
        request: &PickRequest<'_>,
        load: Load,
        uncached: u32,
    ) -> f64 {
        let running = load.running;
        let prefill_tokens = load.prefill_tokens + f64::from(uncached) * request.pace;
        let cross_domain = self.endpoint.failure_domain != request.failure_domain;
        let slots = f64::from(self.endpoint.slots.max(1));
        let queueing_ms = if request.parts.is_empty() {
            // Requests to a plain service queue for its few slots.
            running / slots * PLAIN_SERVICE_MS
        } else {
            running * costs.running_ms
        };
        let wait =
            prefill_tokens / costs.prefill_tokens_per_ms + queueing_ms + load.delay_ms;
        wait + if cross_domain { CROSS_DOMAIN_MS } else { 0.0 }
    }

    /// Returns the cost of sending the request here, ms: its predicted wait,
    /// the delay of other requests, and the failure penalty.
    pub fn cost_ms(
        &self,
        costs: &Costs,
        request: &PickRequest<'_>,
        load: Load,
        uncached: u32,
        now: Millis,
    ) -> f64 {
        let wait_ms = self.wait_ms(costs, request, load, uncached);
        let prefill_ms = costs.prefill_ms(request, uncached);
        // The engine makes no tokens for its other streams in that time.
        let stalled_ms = prefill_ms.min(STALLED_MAX_MS) * load.running;
        wait_ms
            + prefill_ms * costs.prefill_weight
            + stalled_ms * costs.stalled_weight
            + self.health.penalty_ms(now)
    }

    /// Returns the sort key of this endpoint for the request's prefix. It is
    /// the same at every gateway.
    pub fn rank(&self, request: &PickRequest<'_>) -> u64 {
        let prefix = shared_prefix(request.parts).unwrap_or(0);
        salted(mix(self.id_digest ^ prefix), request.model)
    }
}
