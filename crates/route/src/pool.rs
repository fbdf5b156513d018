//! Selects the endpoint that serves a request at a gateway.
//!
//! The workload is many long prompts with common prefixes, sent through several
//! gateways at once. An engine computes a shared prefix once and then serves it
//! from its cache, so spreading the prompts of one prefix over all engines
//! multiplies the prefill work, while keeping them on one engine builds a queue
//! there as others idle. [`Pool::pick`] compares both effects in milliseconds.
//! See `docs/design/deployment.md`.

use std::collections::{BTreeMap, HashMap};

use catalog::{Endpoint, EndpointState};
use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::health::{Health, HealthSample};

/// Assumed service time of a request to a plain (non-engine) service, ms.
const PLAIN_SERVICE_MS: f64 = 20.0;

/// Probability that an endpoint has cached a prefix through a gateway whose
/// dispatches are unknown here, by the endpoint's rank for that prefix.
const CACHED_PRIOR: [f64; 2] = [0.9, 0.4];

/// Added latency of a call to another failure domain, ms.
const CROSS_DOMAIN_MS: f64 = 2.0;

/// Time for which a prefix is assumed to stay in an engine's cache, ms.
const PREFIX_TTL_MS: u64 = 12_000;

/// Maximum number of prefixes remembered per endpoint.
const PREFIXES_MAX: usize = 512;

/// Time after discovery is restored, ms, during which unlisted endpoints stay
/// in the pool. Running endpoints announce themselves again within it.
const REANNOUNCE_GRACE_MS: u64 = 2_000;

/// Coefficients of the predicted wait.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Prompt tokens that an engine prefills per ms for a model of pace 1.
    pub prefill_tokens_per_ms: f64,
    /// Delay that each running request adds to a new one, ms.
    pub running_ms: f64,
    /// Weight of a request's own prefill time beyond its wait, since prefill
    /// delays every request running on the same engine.
    pub prefill_weight: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Costs {
            prefill_tokens_per_ms: 60.0,
            running_ms: 6.0,
            prefill_weight: 4.0,
        }
    }
}

impl Costs {
    /// Time to prefill `tokens`, ms.
    fn prefill_ms(&self, request: &PickRequest<'_>, tokens: u32) -> f64 {
        f64::from(tokens) * request.pace / self.prefill_tokens_per_ms
    }
}

/// Properties of a request that determine its endpoint.
#[derive(Clone, Debug, Default)]
pub struct PickRequest<'a> {
    /// Name of the requested service.
    pub service: &'a str,
    /// Failure domain of this gateway.
    pub failure_domain: &'a str,
    /// Model name. Cached prefixes are kept apart by model.
    pub model: &'a str,
    /// Prefill time per token of the model, relative to a model of pace 1; a
    /// larger pace is slower.
    pub pace: f64,
    /// Prompt parts as pairs of prefix digest and the part's own token count;
    /// see [`prefix_digests`]. The last part is unique to the request, and the
    /// parts before it are the shared prefix. Empty for a plain service.
    pub parts: &'a [(u64, u32)],
    /// Length of the whole prompt, tokens.
    pub tokens_in: u32,
    /// Ids of endpoints that were tried before and are excluded.
    pub tried: &'a [String],
    /// Versions that may serve the request.
    pub versions: VersionFilter<'a>,
}

impl PickRequest<'_> {
    /// Tokens that an endpoint has to prefill if it has cached `cached` of
    /// them.
    ///
    /// `prior` is the probability that the rest of the shared prefix was cached
    /// through a gateway whose dispatches are unknown here.
    fn uncached_tokens(&self, cached: u32, prior: f64) -> u32 {
        let shared: u32 = shared_parts(self.parts).iter().map(|(_, n)| n).sum();
        let unknown = shared.saturating_sub(cached);
        let assumed = (f64::from(unknown) * prior) as u32;
        self.tokens_in.saturating_sub(cached + assumed)
    }
}

/// Versions of a service that may serve a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum VersionFilter<'a> {
    /// Every version.
    #[default]
    Any,
    /// Only this version.
    Only(&'a str),
    /// Every version except this one.
    Not(&'a str),
}

impl VersionFilter<'_> {
    /// Returns whether `version` passes the filter.
    pub fn allows(self, version: &str) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(only) => only == version,
            VersionFilter::Not(not) => not != version,
        }
    }
}

/// The selected endpoint and the predictions for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The selected endpoint.
    pub endpoint: Endpoint,
    /// Prompt tokens that the endpoint is expected to prefill, not scaled by
    /// pace.
    pub uncached_tokens: u32,
    /// Predicted time to the first event of the response, ms.
    pub wait_ms: u64,
    /// Requests of this gateway already running there.
    pub running: u32,
    /// Requests of other gateways running there.
    pub peer_requests: u32,
}

#[derive(Clone, Debug)]
struct EndpointStats {
    endpoint: Endpoint,
    health: Health,
    /// Requests of this gateway in progress.
    running: u32,
    /// Prompt tokens, scaled by pace, of this gateway's requests that are still
    /// in prefill.
    prefill_tokens: f64,
    /// Requests of other gateways, as last reported.
    peer_requests: u32,
    /// Prompt tokens, scaled by pace, that those requests still have in
    /// prefill.
    peer_prefill_tokens: f64,
    /// Time of the last response or other activity.
    last_activity: Millis,
    id_digest: u64,
    /// Time when each prefix was last sent to the endpoint, by salted digest.
    prefixes: HashMap<u64, Millis>,
    /// Whether the endpoint left the list while discovery was unavailable.
    unlisted: bool,
}

/// How many of the other gateways report their dispatches to this one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PeerCoverage {
    /// Only some gateways do, so a prefix may be cached without a report.
    #[default]
    Partial,
    /// All gateways do, so a prefix that nobody reported is not cached.
    Complete,
}

/// A dispatched request, as gateways announce it to each other.
///
/// Encoded with postcard, so the order of the fields is part of the format.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DispatchNotice {
    /// Digest of the endpoint's id; see [`digest_text`].
    pub endpoint_digest: u64,
    /// Digest of the prompt's shared prefix, which is all parts but the last,
    /// and the model.
    pub prefix_digest: u64,
    /// Prompt tokens to prefill, scaled by the model's pace.
    pub tokens: u32,
}

/// All known endpoints, ordered by id.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    costs: Costs,
    endpoints: BTreeMap<String, EndpointStats>,
    /// Endpoint ids by their digests.
    ids_by_digest: HashMap<u64, String>,
    peer_coverage: PeerCoverage,
    grace_until: Option<Millis>,
}

impl Pool {
    /// Creates an empty pool that predicts waits with `costs`.
    pub fn new(costs: Costs) -> Self {
        Pool {
            costs,
            ..Pool::default()
        }
    }

    /// Adds or updates an endpoint; returns whether anything changed.
    ///
    /// A delayed announcement of an earlier incarnation is ignored. A new
    /// incarnation or address resets all statistics except the number of
    /// running requests.
    pub fn announce(&mut self, endpoint: Endpoint) -> bool {
        let Some(stats) = self.endpoints.get_mut(&endpoint.id) else {
            let id_digest = digest_text(&endpoint.id);
            self.ids_by_digest.insert(id_digest, endpoint.id.clone());
            self.endpoints
                .insert(endpoint.id.clone(), EndpointStats::new(endpoint));
            return true;
        };
        if endpoint.born_ms < stats.endpoint.born_ms {
            return false;
        }
        let restarted = endpoint.born_ms > stats.endpoint.born_ms;
        let moved = endpoint.address != stats.endpoint.address;
        if restarted || moved {
            let running = stats.running;
            *stats = EndpointStats::new(endpoint);
            stats.running = running;
            return true;
        }
        stats.unlisted = false;
        let changed = stats.endpoint != endpoint;
        stats.endpoint = endpoint;
        changed
    }

    /// Removes an endpoint that is no longer listed.
    ///
    /// While discovery is unavailable, and for a grace period afterwards, the
    /// endpoint is only marked, since its registration may have expired
    /// although it still runs.
    pub fn unlist(&mut self, id: &str, now: Millis) {
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        match self.endpoints.get_mut(id) {
            Some(stats) if in_grace => stats.unlisted = true,
            _ => self.remove(id),
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(stats) = self.endpoints.remove(id) {
            self.ids_by_digest.remove(&stats.id_digest);
        }
    }

    /// Records that the endpoint list cannot be read. Registrations may expire
    /// in the meantime.
    pub fn discovery_lost(&mut self) {
        self.grace_until = Some(Millis(u64::MAX));
    }

    /// Records that the endpoint list can be read again, which starts the grace
    /// period for unlisted endpoints.
    pub fn discovery_restored(&mut self, now: Millis) {
        self.grace_until = Some(now.plus(REANNOUNCE_GRACE_MS));
    }

    /// Removes the endpoints that are still unlisted when the grace period
    /// ends; returns their ids.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        let grace_over = self.grace_until.is_some_and(|until| now >= until);
        if !grace_over {
            return Vec::new();
        }
        self.grace_until = None;
        let expired = self.endpoints.iter().filter(|(_, stats)| stats.unlisted);
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.remove(id);
        }
        expired
    }

    /// Returns the endpoint with this id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|stats| &stats.endpoint)
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Selects the matching endpoint with the lowest predicted cost, or `None`
    /// if no endpoint matches.
    ///
    /// Ejected endpoints are skipped, unless more than half of the matching
    /// ones are ejected.
    pub fn pick(&self, request: &PickRequest<'_>, now: Millis) -> Option<Pick> {
        let matches = |stats: &&EndpointStats| {
            let endpoint = &stats.endpoint;
            endpoint.service == request.service
                && endpoint.state == EndpointState::Ready
                && request.versions.allows(&endpoint.version)
                && !request.tried.contains(&endpoint.id)
        };
        let candidates: Vec<&EndpointStats> =
            self.endpoints.values().filter(matches).collect();
        let healthy = candidates
            .iter()
            .filter(|stats| stats.health.is_available(now))
            .count();
        // With fewer than half available, overloading the rest would cost more
        // than the failures do.
        let ignore_health = healthy * 2 < candidates.len();
        let mut usable: Vec<&EndpointStats> = candidates
            .into_iter()
            .filter(|stats| ignore_health || stats.health.is_available(now))
            .collect();
        // Every gateway derives the same order, so all prefer the same endpoint
        // for a prefix.
        usable.sort_by_cached_key(|stats| stats.rank(request));
        let parts = salted_parts(request);
        let usable: Vec<(&EndpointStats, u32)> = usable
            .into_iter()
            .map(|stats| (stats, stats.cached_tokens(&parts, now)))
            .collect();
        let any_cached = usable.iter().any(|(_, cached)| *cached > 0);
        let priors = if any_cached { [0.0; 2] } else { CACHED_PRIOR };
        usable
            .into_iter()
            .enumerate()
            .map(|(rank, (stats, cached))| {
                let prior = priors.get(rank).copied().unwrap_or(0.0);
                let expected = request.uncached_tokens(cached, prior);
                let cost = stats.cost_ms(&self.costs, request, expected, now);
                let uncached = match self.peer_coverage {
                    PeerCoverage::Complete => request.uncached_tokens(cached, 0.0),
                    PeerCoverage::Partial => expected,
                };
                (stats, uncached, cost)
            })
            .min_by(|a, b| a.2.total_cmp(&b.2))
            .map(|(stats, uncached_tokens, _)| Pick {
                endpoint: stats.endpoint.clone(),
                uncached_tokens,
                wait_ms: stats.wait_ms(&self.costs, request, uncached_tokens) as u64,
                running: stats.running,
                peer_requests: stats.peer_requests,
            })
    }

    /// Records a request sent to `id`; returns the notice for the other
    /// gateways, or `None` if the endpoint is unknown or the prompt has no
    /// shared prefix.
    pub fn record_dispatch(
        &mut self,
        id: &str,
        request: &PickRequest<'_>,
        uncached_tokens: u32,
        now: Millis,
    ) -> Option<DispatchNotice> {
        let stats = self.endpoints.get_mut(id)?;
        let tokens = f64::from(uncached_tokens) * request.pace;
        stats.running += 1;
        stats.prefill_tokens += tokens;
        stats.remember_prefixes(
            salted_parts(request).into_iter().map(|(part, _)| part),
            now,
        );
        Some(DispatchNotice {
            endpoint_digest: stats.id_digest,
            prefix_digest: salted(shared_prefix(request.parts)?, request.model),
            tokens: tokens as u32,
        })
    }

    /// Sets whether all other gateways report their dispatches.
    pub fn set_peer_coverage(&mut self, peer_coverage: PeerCoverage) {
        self.peer_coverage = peer_coverage;
    }

    /// Records a request that another gateway sent.
    pub fn record_peer_dispatch(&mut self, notice: &DispatchNotice, now: Millis) {
        let id = self.ids_by_digest.get(&notice.endpoint_digest);
        let Some(stats) = id.and_then(|id| self.endpoints.get_mut(id)) else {
            return;
        };
        stats.peer_requests = stats.peer_requests.saturating_add(1);
        stats.peer_prefill_tokens += f64::from(notice.tokens);
        stats.remember_prefixes([notice.prefix_digest], now);
    }

    /// Records that a request to `id` left prefill: its first event arrived, or
    /// none will.
    pub fn record_prefill_end(&mut self, id: &str, uncached_tokens: u32, pace: f64) {
        if let Some(stats) = self.endpoints.get_mut(id) {
            let tokens = f64::from(uncached_tokens) * pace;
            stats.prefill_tokens = (stats.prefill_tokens - tokens).max(0.0);
        }
    }

    /// Records that a request to `id` ended.
    pub fn record_end(&mut self, id: &str) {
        if let Some(stats) = self.endpoints.get_mut(id) {
            stats.running = stats.running.saturating_sub(1);
        }
    }

    /// Records the outcome of an attempt at `id`; returns the duration of
    /// the ejection, ms, if the outcome ejected the endpoint.
    pub fn record_health(
        &mut self,
        id: &str,
        sample: HealthSample,
        now: Millis,
    ) -> Option<u64> {
        let stats = self.endpoints.get_mut(id)?;
        stats.health.record(sample, now)
    }

    /// Returns the load of this gateway per endpoint: the digest of its id, the
    /// requests in progress, and their tokens still in prefill, scaled by pace.
    pub fn own_load(&self) -> Vec<(u64, u32, u32)> {
        let active = self.endpoints.values().filter(|stats| stats.running > 0);
        active
            .map(|stats| (stats.id_digest, stats.running, stats.prefill_tokens as u32))
            .collect()
    }

    /// Returns the number of this gateway's requests in progress on versions of
    /// `service` other than `version`.
    pub fn running_on_other_versions(&self, service: &str, version: &str) -> u32 {
        let others = self.endpoints.values().filter(|stats| {
            stats.endpoint.service == service && stats.endpoint.version != version
        });
        others.map(|stats| stats.running).sum()
    }

    /// Replaces the load of the other gateways: requests and tokens still in
    /// prefill, scaled by pace, by the digest of the endpoint's id.
    pub fn set_peer_load(&mut self, load: &HashMap<u64, (u32, u32)>) {
        for stats in self.endpoints.values_mut() {
            let (count, tokens) =
                load.get(&stats.id_digest).copied().unwrap_or_default();
            stats.peer_requests = count;
            stats.peer_prefill_tokens = f64::from(tokens);
        }
    }

    /// Records activity of `id`, such as a response or part of one.
    pub fn record_activity(&mut self, id: &str, now: Millis) {
        if let Some(stats) = self.endpoints.get_mut(id) {
            stats.last_activity = now;
        }
    }

    /// Returns the time of the last activity of `id`.
    pub fn last_activity(&self, id: &str) -> Option<Millis> {
        self.endpoints.get(id).map(|stats| stats.last_activity)
    }
}

impl EndpointStats {
    fn new(endpoint: Endpoint) -> Self {
        let id_digest = digest_text(&endpoint.id);
        EndpointStats {
            endpoint,
            health: Health::default(),
            running: 0,
            prefill_tokens: 0.0,
            peer_requests: 0,
            peer_prefill_tokens: 0.0,
            last_activity: Millis::default(),
            id_digest,
            prefixes: HashMap::new(),
            unlisted: false,
        }
    }

    /// Remembers salted prefix digests as cached by this endpoint.
    fn remember_prefixes<I>(&mut self, digests: I, now: Millis)
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
    fn cached_tokens(&self, parts: &[(u64, u32)], now: Millis) -> u32 {
        let is_cached = |(part, _): &(u64, u32)| {
            let used = self.prefixes.get(part);
            used.is_some_and(|used| now.since(*used) < PREFIX_TTL_MS)
        };
        let last = parts.iter().rposition(is_cached);
        let cached = last.map_or(&[][..], |last| &parts[..=last]);
        cached.iter().map(|(_, tokens)| tokens).sum()
    }

    fn wait_ms(&self, costs: &Costs, request: &PickRequest<'_>, uncached: u32) -> f64 {
        let own = self.prefill_tokens + f64::from(uncached) * request.pace;
        let prefill_tokens = own + self.peer_prefill_tokens;
        let running = f64::from(self.running + self.peer_requests);
        let cross_domain = self.endpoint.failure_domain != request.failure_domain;
        let slots = f64::from(self.endpoint.slots.max(1));
        let queueing_ms = if request.parts.is_empty() {
            // Requests to a plain service queue for its few slots.
            running / slots * PLAIN_SERVICE_MS
        } else {
            running * costs.running_ms
        };
        let wait = prefill_tokens / costs.prefill_tokens_per_ms + queueing_ms;
        wait + if cross_domain { CROSS_DOMAIN_MS } else { 0.0 }
    }

    /// Returns the cost of sending the request here, ms: its predicted wait,
    /// the delay of other requests, and the failure penalty.
    fn cost_ms(
        &self,
        costs: &Costs,
        request: &PickRequest<'_>,
        uncached: u32,
        now: Millis,
    ) -> f64 {
        let wait = self.wait_ms(costs, request, uncached);
        let prefill_ms = costs.prefill_ms(request, uncached);
        wait + prefill_ms * costs.prefill_weight + self.health.penalty_ms(now)
    }

    /// Returns the sort key of this endpoint for the request's prefix. It is
    /// the same at every gateway.
    fn rank(&self, request: &PickRequest<'_>) -> u64 {
        let prefix = shared_prefix(request.parts).unwrap_or(0);
        salted(mix(self.id_digest ^ prefix), request.model)
    }
}

/// Returns all parts but the last, which is unique to the request.
fn shared_parts(parts: &[(u64, u32)]) -> &[(u64, u32)] {
    &parts[..parts.len().saturating_sub(1)]
}

/// Returns the digest of the shared prefix, if there is one.
fn shared_prefix(parts: &[(u64, u32)]) -> Option<u64> {
    shared_parts(parts).last().map(|(digest, _)| *digest)
}

/// Computes the chained digests of prompt parts, given as pairs of id and token
/// count: each digest covers all parts up to its own.
pub fn prefix_digests<I>(parts: I) -> Vec<(u64, u32)>
where
    I: IntoIterator<Item = (u64, u32)>,
{
    let mut digest = 0;
    let chained = parts.into_iter().map(|(id, tokens)| {
        digest = mix(digest ^ id);
        (digest, tokens)
    });
    chained.collect()
}

/// Digests text. The result is the same in every process.
pub fn digest_text(text: &str) -> u64 {
    text.bytes()
        .fold(0, |digest, byte| mix(digest ^ u64::from(byte)))
}

/// Returns the prompt parts with digests salted by the model, since caches are
/// kept apart by model.
fn salted_parts(request: &PickRequest<'_>) -> Vec<(u64, u32)> {
    let parts = request.parts.iter();
    let salted =
        parts.map(|(digest, tokens)| (salted(*digest, request.model), *tokens));
    salted.collect()
}

fn salted(digest: u64, model: &str) -> u64 {
    model
        .bytes()
        .fold(digest, |digest, byte| mix(digest ^ u64::from(byte)))
}

/// Returns the output of splitmix64 for the state `value`.
fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
