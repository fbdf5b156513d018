//! Endpoints of the gateway: which one takes a request.
//!
//! The load pattern it answers: long prompts that share their beginnings, sent
//! by many gateways at once.  A prompt's shared parts are read once by each
//! engine that sees them, so that a subject that is spread over all engines
//! costs several times its work; a subject kept on one engine queues there
//! while others idle.  [`Pool::pick`] weighs the two in ms.  See
//! `docs/design/deployment.md`.

use std::collections::{BTreeMap, HashMap};

use catalog::{Endpoint, EndpointState};
use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::health::{Health, HealthSample};

/// Time that a plain service takes for a request, ms.
const PLAIN_SERVICE_MS: f64 = 20.0;

/// How likely an endpoint has a subject's parts from a gateway that is not
/// heard, by its place in the subject's order.
const CACHED_PRIOR: [f64; 2] = [0.9, 0.4];

/// Delay of a call to another failure domain, ms.
const CROSS_DOMAIN_MS: f64 = 2.0;

/// Time for which an engine is trusted to keep a part that it read.
const PREFIX_TTL_MS: u64 = 12_000;

/// Most parts remembered for one endpoint.
const PREFIXES_MAX: usize = 512;

/// Time after the log's return for which a missing endpoint may still serve:
/// those that live announce themselves again within it.
const REANNOUNCE_GRACE_MS: u64 = 2_000;

/// What waits weigh.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Prompt tokens that an engine reads in one ms at pace 1.
    pub prefill_tokens_per_ms: f64,
    /// Delay that one running request adds for a new one, ms.
    pub running_ms: f64,
    /// What a ms of reading weighs besides the request's own wait: it delays
    /// all that run there.
    pub read_weight: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Costs {
            prefill_tokens_per_ms: 60.0,
            running_ms: 6.0,
            read_weight: 4.0,
        }
    }
}

impl Costs {
    /// Time in which an engine reads so many tokens, ms.
    fn prefill_ms(&self, request: &PickRequest<'_>, tokens: u32) -> f64 {
        f64::from(tokens) * request.pace / self.prefill_tokens_per_ms
    }
}

/// What a request asks of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct PickRequest<'a> {
    /// Service.
    pub service: &'a str,
    /// Failure domain of the gateway.
    pub failure_domain: &'a str,
    /// Model, as a salt of what is cached.
    pub model: &'a str,
    /// Work of the model relative to a middle one.
    pub pace: f64,
    /// Prompt parts, each as the digest of all parts up to it, and its length.
    pub parts: &'a [(u64, u32)],
    /// Tokens of the whole prompt.
    pub tokens_in: u32,
    /// Endpoints that were tried already.
    pub tried: &'a [String],
    /// Versions that may serve.
    pub versions: VersionFilter<'a>,
}

impl PickRequest<'_> {
    /// Tokens that an endpoint would have to read that has `cached` of them.
    ///
    /// What no gateway that is heard sent anywhere, another may have sent there:
    /// so `likely` are the parts that nothing is known of.
    fn uncached_tokens(&self, cached: u32, prior: f64) -> u32 {
        let shared: u32 = shared_parts(self.parts).iter().map(|(_, n)| n).sum();
        let unknown = shared.saturating_sub(cached);
        let assumed = (f64::from(unknown) * prior) as u32;
        self.tokens_in.saturating_sub(cached + assumed)
    }
}

/// Which versions of a service may take a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum VersionFilter<'a> {
    /// Any.
    #[default]
    Any,
    /// Only this one.
    Only(&'a str),
    /// Any but this one.
    Not(&'a str),
}

impl VersionFilter<'_> {
    /// Whether `version` may serve.
    pub fn allows(self, version: &str) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(only) => only == version,
            VersionFilter::Not(not) => not != version,
        }
    }
}

/// An endpoint that was picked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Tokens of the prompt that it has to read.
    pub uncached_tokens: u32,
    /// Predicted wait before the first event, ms.
    pub wait_ms: u64,
    /// Own requests that ran there already.
    pub running: u32,
    /// Requests of other gateways there.
    pub peer_requests: u32,
}

#[derive(Clone, Debug)]
struct EndpointStats {
    endpoint: Endpoint,
    health: Health,
    /// Own requests under way.
    running: u32,
    /// Prompt tokens of own requests that have no first event yet.
    prefill_tokens: f64,
    /// Requests of other gateways, as they said last.
    peer_requests: u32,
    /// Tokens that those still have to read.
    peer_prefill_tokens: f64,
    /// When it last answered anything.
    last_activity: Millis,
    id_digest: u64,
    prefixes: HashMap<u64, Millis>,
    unlisted: bool,
}

/// Whose requests a gateway hears of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PeerCoverage {
    /// Those of some gateways.
    #[default]
    Partial,
    /// Those of all: what none of them sent has not been read.
    Complete,
}

/// A request that was sent, as gateways tell each other of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DispatchNotice {
    /// Digest of the endpoint's id.
    pub endpoint_digest: u64,
    /// Digest of the prompt's shared parts and of the model that read them.
    pub prefix_digest: u64,
    /// Tokens to read, as many as a middle model would read in the time.
    pub tokens: u32,
}

/// Every endpoint that is known, in id order.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    costs: Costs,
    endpoints: BTreeMap<String, EndpointStats>,
    /// Ids by their digests.
    ids_by_digest: HashMap<u64, String>,
    peer_coverage: PeerCoverage,
    grace_until: Option<Millis>,
}

impl Pool {
    /// An empty pool that weighs waits by `costs`.
    pub fn new(costs: Costs) -> Self {
        Pool {
            costs,
            ..Pool::default()
        }
    }

    /// Takes an announcement; returns whether it says anything new.
    ///
    /// An older incarnation's late word changes nothing; a later one starts
    /// without any of what was known of the earlier.
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

    /// Takes that an endpoint is no longer listed.
    pub fn withdraw(&mut self, id: &str, now: Millis) {
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

    /// Takes that the list cannot be read: entries may lapse meanwhile.
    pub fn discovery_lost(&mut self) {
        self.grace_until = Some(Millis(u64::MAX));
    }

    /// Takes that the list can be read again.
    pub fn discovery_restored(&mut self, now: Millis) {
        self.grace_until = Some(now.plus(REANNOUNCE_GRACE_MS));
    }

    /// Drops what stayed missing after the list came back; returns its ids.
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

    /// The endpoint `id`.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|stats| &stats.endpoint)
    }

    /// How many endpoints are known.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Picks the endpoint with the least predicted wait.
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
        // With fewer than half in, more is lost by crowding than by failures.
        let ignore_health = healthy * 2 < candidates.len();
        let mut usable: Vec<&EndpointStats> = candidates
            .into_iter()
            .filter(|stats| ignore_health || stats.health.is_available(now))
            .collect();
        // The same order at every gateway: the first is the subject's home.
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

    /// Takes that a request was sent to `id`; returns what to tell the other
    /// gateways of it.
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

    /// Takes whose requests are heard of.
    pub fn set_peer_coverage(&mut self, peer_coverage: PeerCoverage) {
        self.peer_coverage = peer_coverage;
    }

    /// Takes what another gateway sent.
    pub fn record_peer_dispatch(&mut self, notice: &DispatchNotice, now: Millis) {
        let id = self.ids_by_digest.get(&notice.endpoint_digest);
        let Some(stats) = id.and_then(|id| self.endpoints.get_mut(id)) else {
            return;
        };
        stats.peer_requests = stats.peer_requests.saturating_add(1);
        stats.peer_prefill_tokens += f64::from(notice.tokens);
        stats.remember_prefixes([notice.prefix_digest], now);
    }

    /// Takes that the first part of an answer came, or will not come.
    pub fn record_prefill_end(&mut self, id: &str, uncached_tokens: u32, pace: f64) {
        if let Some(stats) = self.endpoints.get_mut(id) {
            let read = f64::from(uncached_tokens) * pace;
            stats.prefill_tokens = (stats.prefill_tokens - read).max(0.0);
        }
    }

    /// Takes that a request at `id` ended, for the number under way.
    pub fn record_end(&mut self, id: &str) {
        if let Some(stats) = self.endpoints.get_mut(id) {
            stats.running = stats.running.saturating_sub(1);
        }
    }

    /// Takes how an attempt at `id` went; returns a change of belief.
    pub fn record_health(
        &mut self,
        id: &str,
        sample: HealthSample,
        now: Millis,
    ) -> Option<u64> {
        let stats = self.endpoints.get_mut(id)?;
        stats.health.record(sample, now)
    }

    /// Own requests under way at each endpoint, by the digest of its id, and
    /// the tokens that these still have to read.
    pub fn own_load(&self) -> Vec<(u64, u32, u32)> {
        let active = self.endpoints.values().filter(|stats| stats.running > 0);
        active
            .map(|stats| (stats.id_digest, stats.running, stats.prefill_tokens as u32))
            .collect()
    }

    /// Own requests under way at endpoints of `service` besides `version`.
    pub fn running_on_other_versions(&self, service: &str, version: &str) -> u32 {
        let others = self.endpoints.values().filter(|stats| {
            stats.endpoint.service == service && stats.endpoint.version != version
        });
        others.map(|stats| stats.running).sum()
    }

    /// Takes what other gateways run, by the digest of the endpoint's id.
    pub fn set_peer_load(&mut self, load: &HashMap<u64, (u32, u32)>) {
        for stats in self.endpoints.values_mut() {
            let (count, tokens) =
                load.get(&stats.id_digest).copied().unwrap_or_default();
            stats.peer_requests = count;
            stats.peer_prefill_tokens = f64::from(tokens);
        }
    }

    /// Takes that `id` gave some sign of life.
    pub fn record_activity(&mut self, id: &str, now: Millis) {
        if let Some(stats) = self.endpoints.get_mut(id) {
            stats.last_activity = now;
        }
    }

    /// When `id` last gave a sign of life.
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

    /// Takes that it reads parts, by their salted digests.
    fn remember_prefixes<I>(&mut self, parts: I, now: Millis)
    where
        I: IntoIterator<Item = u64>,
    {
        if self.prefixes.len() >= PREFIXES_MAX {
            self.prefixes
                .retain(|_, used| now.since(*used) < PREFIX_TTL_MS);
        }
        if self.prefixes.len() < PREFIXES_MAX {
            self.prefixes
                .extend(parts.into_iter().map(|part| (part, now)));
        }
    }

    /// Tokens of the salted `parts` that it was sent before.
    ///
    /// A part's digest is over all before it, which it holds as well then.
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
        let reading = own + self.peer_prefill_tokens;
        let running = f64::from(self.running + self.peer_requests);
        let cross_domain = self.endpoint.domain != request.failure_domain;
        let slots = f64::from(self.endpoint.slots.max(1));
        let queueing_ms = if request.parts.is_empty() {
            // A plain service queues behind its few slots.
            running / slots * PLAIN_SERVICE_MS
        } else {
            running * costs.running_ms
        };
        let wait = reading / costs.prefill_tokens_per_ms + queueing_ms;
        wait + if cross_domain { CROSS_DOMAIN_MS } else { 0.0 }
    }

    /// What sending the request here weighs, to it and to others, ms.
    fn cost_ms(
        &self,
        costs: &Costs,
        request: &PickRequest<'_>,
        uncached: u32,
        now: Millis,
    ) -> f64 {
        let wait = self.wait_ms(costs, request, uncached);
        let prefill_ms = costs.prefill_ms(request, uncached);
        wait + prefill_ms * costs.read_weight + self.health.penalty_ms(now)
    }

    /// Orders endpoints for a subject in the same way at every gateway.
    fn rank(&self, request: &PickRequest<'_>) -> u64 {
        let prefix = shared_prefix(request.parts).unwrap_or(0);
        salted(mix(self.id_digest ^ prefix), request.model)
    }
}

/// All parts but the last, which is the request's own.
fn shared_parts(parts: &[(u64, u32)]) -> &[(u64, u32)] {
    &parts[..parts.len().saturating_sub(1)]
}

fn shared_prefix(parts: &[(u64, u32)]) -> Option<u64> {
    shared_parts(parts).last().map(|(digest, _)| *digest)
}

/// Digests of a prompt's parts, each over all parts up to it.
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

/// A digest of text that is the same in every process.
pub fn digest_text(text: &str) -> u64 {
    text.bytes()
        .fold(0, |digest, byte| mix(digest ^ u64::from(byte)))
}

/// The parts of a prompt as the asked model caches them.
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

/// The finalizer of splitmix64.
fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
