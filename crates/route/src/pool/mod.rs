//! Selects the endpoint that serves a request at a gateway.
//!
//! The workload is many long prompts with common prefixes, sent through several
//! gateways at once. An engine computes a shared prefix once and then serves it
//! from its cache, so spreading the prompts of one prefix over all engines
//! multiplies the prefill work, while keeping them on one engine builds a queue
//! there as others idle. [`Pool::pick`] compares both effects in milliseconds.
//! See `docs/design/deployment.md`.

mod discovery;
mod endpoint_stats;
mod pick;
mod prefix;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use catalog::{Endpoint, EndpointState};
use clock::Millis;
use serde::{Deserialize, Serialize};

pub use discovery::AnnouncedAt;
use discovery::Departure;
use endpoint_stats::EndpointStats;
pub use pick::{Costs, Pick, PickRequest, VersionFilter};
pub use prefix::rendezvous_weight;
pub use prefix::{digest_bytes, digest_pair, digest_text, prefix_digests};
use prefix::{mix, salted, salted_parts, shared_parts, shared_prefix};

use endpoint_stats::Load;
pub(crate) use endpoint_stats::{PREFIX_TTL_MS, PREFIXES_MAX};

use crate::{
    health::HealthSample,
    load_tracker::TrackedLoad,
    warmup::{Warmup, WarmupGrounds, WarmupRule},
};

/// Loads that trackers told, by the digest of the endpoint's id.
pub type TrackedLoads = HashMap<u64, TrackedLoad>;

/// Number of endpoints at which a prefix belongs.
const HOME_RANKS: usize = 3;

/// Number of other endpoints that are considered for a request.
const SPILL_RANKS: usize = 2;

/// Maximum number of shared parts of a prompt that trackers are told.
const TRACKED_PARTS_MAX: usize = 8;

/// Probability that an endpoint has cached a prefix through a gateway whose
/// dispatches are unknown here, by the endpoint's rank for that prefix.
const CACHED_PRIOR: [f64; 2] = [0.9, 0.4];

/// Time for which a peer's notice that an endpoint is draining is believed, ms. The
/// log or the endpoint itself says so within that time.
const PEER_DRAINING_MS: u64 = 5_000;

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
    /// The last incarnation of each endpoint that left.
    departed: HashMap<String, Departure>,
    /// Digests of the failure domains that get no requests.
    evacuated: BTreeSet<u64>,
}

/// An incarnation that is draining, as gateways announce it to each other.
///
/// Encoded with postcard, so the order of the fields is part of the format.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainNotice {
    /// Digest of the endpoint's id; see [`digest_text`].
    pub endpoint_digest: u64,
    /// Start time of the incarnation, ms since the Unix epoch.
    pub born_ms: u64,
}

impl Pool {
    /// Creates an empty pool that predicts waits with `costs`.
    pub fn new(costs: Costs) -> Self {
        Pool {
            costs,
            ..Pool::default()
        }
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
    /// Ejected endpoints are skipped, unless more than half of the matching ones are
    /// ejected; those that could not be reached are then used if there is no other.
    /// Draining endpoints, those that asked for a pause and those in evacuated failure
    /// domains are always skipped; those that only a peer calls draining are used if
    /// there is no other, since notices of peers are not authenticated.
    pub fn pick(&self, request: &PickRequest<'_>, now: Millis) -> Option<Pick> {
        self.pick_tracked(request, &TrackedLoads::default(), now)
    }

    /// Like [`Pool::pick`], among the endpoints whose load their trackers told; among
    /// all if they told none.
    pub fn pick_tracked(
        &self,
        request: &PickRequest<'_>,
        tracked: &TrackedLoads,
        now: Millis,
    ) -> Option<Pick> {
        let parts = salted_parts(request);
        let usable = self.ranked(request, now);
        let any_tracked = usable
            .iter()
            .any(|stats| tracked.contains_key(&stats.id_digest));
        let usable: Vec<(&EndpointStats, u32)> = usable
            .into_iter()
            .map(|stats| (stats, stats.cached_tokens(&parts, now)))
            .collect();
        let any_cached = usable.iter().any(|(_, cached)| *cached > 0);
        let all_known = self.peer_coverage == PeerCoverage::Complete;
        let priors = if any_cached && all_known {
            [0.0; 2]
        } else {
            CACHED_PRIOR
        };
        usable
            .into_iter()
            .enumerate()
            .filter_map(|(rank, (stats, cached))| {
                if let Some(load) = tracked.get(&stats.id_digest) {
                    let cached = parts.iter().take(usize::from(load.cached_parts));
                    let cached = cached.map(|(_, tokens)| tokens).sum();
                    let uncached = request.uncached_tokens(cached, 0.0);
                    return Some((stats, Load::from(*load), uncached, uncached));
                }
                if any_tracked {
                    return None;
                }
                let prior = priors.get(rank).copied().unwrap_or(0.0);
                let expected = request.uncached_tokens(cached, prior);
                let uncached = match self.peer_coverage {
                    PeerCoverage::Complete => request.uncached_tokens(cached, 0.0),
                    PeerCoverage::Partial => expected,
                };
                Some((stats, stats.known_load(), expected, uncached))
            })
            .map(|(stats, load, expected, uncached)| {
                let cost = stats.cost_ms(&self.costs, request, load, expected, now);
                (stats, load, uncached, cost)
            })
            .min_by(|a, b| a.3.total_cmp(&b.3))
            .map(|(stats, load, uncached_tokens, _)| Pick {
                endpoint: stats.endpoint.clone(),
                uncached_tokens,
                wait_ms: stats.wait_ms(&self.costs, request, load, uncached_tokens)
                    as u64,
                running: stats.running,
                peer_requests: stats.peer_requests,
            })
    }

    /// Returns the digests of the endpoints whose load is worth knowing before a
    /// request is sent: those where its prefix belongs, and some others, which take
    /// it if the first are overloaded.
    pub fn candidates(&self, request: &PickRequest<'_>, now: Millis) -> Vec<u64> {
        let usable = self.ranked(request, now);
        let digests: Vec<u64> = usable.iter().map(|stats| stats.id_digest).collect();
        if digests.len() <= HOME_RANKS + SPILL_RANKS {
            return digests;
        }
        let (home, others) = digests.split_at(HOME_RANKS);
        // The last part is unique to the request, so that requests of one prefix
        // spill over to different endpoints.
        let own = request.parts.last().map_or(0, |(digest, _)| *digest);
        let spill = (0..SPILL_RANKS as u64).map(|turn| {
            let index = mix(own.wrapping_add(turn)) % others.len() as u64;
            others[index as usize]
        });
        home.iter().copied().chain(spill).collect()
    }

    /// Returns the salted digests of the shared parts of a request's prompt, for its
    /// trackers.
    pub fn shared_prefixes(request: &PickRequest<'_>) -> Vec<u64> {
        let parts = salted_parts(request);
        let shared = shared_parts(&parts).iter().take(TRACKED_PARTS_MAX);
        shared.map(|(digest, _)| *digest).collect()
    }

    /// Returns the digest of the id of an endpoint.
    pub fn digest_of(&self, id: &str) -> Option<u64> {
        self.endpoints.get(id).map(|stats| stats.id_digest)
    }

    /// Returns the endpoints that may get the request now, in the order in which its
    /// prefix prefers them.
    fn ranked<'a>(
        &'a self,
        request: &'a PickRequest<'_>,
        now: Millis,
    ) -> Vec<&'a EndpointStats> {
        let mut candidates: Vec<&EndpointStats> = self
            .matching(request)
            .filter(|stats| !stats.is_paused(now))
            .collect();
        if candidates
            .iter()
            .any(|stats| !stats.is_draining_at_peer(now))
        {
            candidates.retain(|stats| !stats.is_draining_at_peer(now));
        }
        let healthy = candidates
            .iter()
            .filter(|stats| stats.health.is_available(now))
            .count();
        // With fewer than half available, overloading the rest would cost more
        // than the failures do. Where no connection can be established, a request
        // only loses time, so such endpoints are used if there is no other.
        if healthy * 2 >= candidates.len() {
            candidates.retain(|stats| stats.health.is_available(now));
        } else if candidates.iter().any(|s| s.health.is_reachable(now)) {
            candidates.retain(|stats| stats.health.is_reachable(now));
        }
        if let VersionFilter::Trial(_, fraction) = request.versions {
            // All gateways have them in the order of their ids.
            let count = (candidates.len() as f64 * fraction).ceil() as usize;
            candidates.truncate(count.max(1));
        }
        // Every gateway derives the same order, so all prefer the same endpoint
        // for a prefix.
        candidates.sort_by_cached_key(|stats| stats.rank(request));
        candidates
    }

    /// Returns when the first of the paused endpoints that match takes requests
    /// again; `None` if none of them is paused.
    pub fn earliest_pause_end(
        &self,
        request: &PickRequest<'_>,
        now: Millis,
    ) -> Option<Millis> {
        let paused = self.matching(request).filter(|stats| stats.is_paused(now));
        paused.map(|stats| stats.paused_until).min()
    }

    /// Sets the failure domains whose endpoints get no requests, by the digests of
    /// their names.
    pub fn set_evacuated<I>(&mut self, domains: I)
    where
        I: IntoIterator<Item = u64>,
    {
        self.evacuated = domains.into_iter().collect();
    }

    /// Returns whether an endpoint that matches the request is left out since its
    /// failure domain is evacuated.
    pub fn leaves_out_evacuated(&self, request: &PickRequest<'_>) -> bool {
        !self.evacuated.is_empty()
            && self
                .matching_anywhere(request)
                .any(|stats| self.is_evacuated(stats))
    }

    /// Returns whether endpoints match the request, and all of them are in evacuated
    /// failure domains.
    pub fn finds_only_evacuated(&self, request: &PickRequest<'_>) -> bool {
        self.leaves_out_evacuated(request) && self.matching(request).next().is_none()
    }

    /// Returns the name of the failure domain with this digest, if an endpoint is
    /// there.
    pub fn domain_of_digest(&self, digest: u64) -> Option<&str> {
        let mut there = self.endpoints.values();
        let found = there.find(|stats| stats.domain_digest == digest)?;
        Some(&found.endpoint.failure_domain)
    }

    /// Returns the number of endpoints in the failure domain with this digest.
    pub fn count_in_domain(&self, digest: u64) -> usize {
        let there = self.endpoints.values();
        there.filter(|stats| stats.domain_digest == digest).count()
    }

    fn is_evacuated(&self, stats: &EndpointStats) -> bool {
        self.evacuated.contains(&stats.domain_digest)
    }

    /// Returns the endpoints that may serve the request, healthy and paused or not, in
    /// failure domains that are not evacuated.
    fn matching<'a>(
        &'a self,
        request: &'a PickRequest<'_>,
    ) -> impl Iterator<Item = &'a EndpointStats> {
        let anywhere = self.matching_anywhere(request);
        anywhere.filter(|stats| !self.is_evacuated(stats))
    }

    /// Like [`Pool::matching`], in all failure domains.
    fn matching_anywhere<'a>(
        &'a self,
        request: &'a PickRequest<'_>,
    ) -> impl Iterator<Item = &'a EndpointStats> {
        self.endpoints.values().filter(|stats| {
            let endpoint = &stats.endpoint;
            endpoint.service == request.service
                && endpoint.state == EndpointState::Ready
                && request.versions.allows(&endpoint.version)
                && !request.tried.contains(&endpoint.id)
        })
    }

    /// Returns whether `id` takes requests: it is listed, neither draining nor
    /// paused, and its failure domain is not evacuated.
    pub fn takes_requests(&self, id: &str, now: Millis) -> bool {
        let stats = self.endpoints.get(id);
        stats.is_some_and(|stats| {
            stats.endpoint.state == EndpointState::Ready
                && !stats.is_paused(now)
                && !self.is_evacuated(stats)
        })
    }

    /// Returns the slots of the endpoints of `service` that take requests now; see
    /// [`Pool::pick`].
    pub fn open_slots(&self, service: &str, now: Millis) -> u32 {
        let request = PickRequest {
            service,
            ..PickRequest::default()
        };
        let open: Vec<&EndpointStats> = self
            .matching(&request)
            .filter(|stats| !stats.is_paused(now))
            .collect();
        let is_healthy = |stats: &&&EndpointStats| stats.health.is_available(now);
        let ignore_health = open.iter().filter(is_healthy).count() * 2 < open.len();
        let used = open
            .iter()
            .filter(|stats| ignore_health || is_healthy(stats));
        let slots = used.map(|stats| stats.endpoint.slots);
        slots.fold(0, u32::saturating_add)
    }

    /// Returns whether `id` asked for a pause that is not over.
    pub fn is_paused(&self, id: &str, now: Millis) -> bool {
        let stats = self.endpoints.get(id);
        stats.is_some_and(|stats| stats.is_paused(now))
    }

    /// Records that `id` asked for no requests until `until`; a shorter pause does
    /// not end a longer one.
    pub fn pause(&mut self, id: &str, until: Millis) {
        if let Some(stats) = self.endpoints.get_mut(id) {
            stats.paused_until = stats.paused_until.max(until);
        }
    }

    /// Returns the requests a second that `id` takes from all gateways, if it said so.
    pub fn limit_of(&self, id: &str) -> Option<f64> {
        self.endpoints.get(id)?.limit_per_s
    }

    /// Returns the limits of all endpoints by the digests of their ids.
    pub fn limits(&self) -> Vec<(u64, f64)> {
        let limits = self.endpoints.values();
        limits
            .filter_map(|stats| Some((stats.id_digest, stats.limit_per_s?)))
            .collect()
    }

    /// Returns the id of the endpoint with this digest.
    pub fn id_of(&self, digest: u64) -> Option<&str> {
        self.ids_by_digest.get(&digest).map(String::as_str)
    }

    /// Sets the limit that `id` named in the answer to a request of `asked`, or the end
    /// of one; returns whether that is news. An answer that may be older than what is
    /// known does not end a limit.
    pub fn set_limit(
        &mut self,
        id: &str,
        per_s: Option<f64>,
        asked: Millis,
        now: Millis,
    ) -> bool {
        let Some(stats) = self.endpoints.get_mut(id) else {
            return false;
        };
        let outdated = per_s.is_none() && asked < stats.limit_learned;
        if outdated || stats.limit_per_s == per_s {
            return false;
        }
        stats.limit_per_s = per_s;
        stats.limit_learned = now;
        true
    }

    /// Returns the warm-up of `id`, if the incarnation `born_ms` is the known one, or a
    /// later one, which then has the address.
    pub fn warmup_mut(&mut self, id: &str, born_ms: u64) -> Option<&mut Warmup> {
        let stats = self.endpoints.get_mut(id)?;
        (stats.endpoint.born_ms <= born_ms).then_some(&mut stats.warmup)
    }

    /// Records that the announcement of `id` was read at `now`.
    pub fn record_announcement_read(&mut self, id: &str, now: Millis) {
        if let Some(stats) = self.endpoints.get_mut(id) {
            stats.warmup.record_announcement_read(now);
        }
    }

    /// Records that the evacuation of the failure domain with this digest was withdrawn.
    pub fn record_readmission(&mut self, domain_digest: u64, now: Millis) {
        let there = self.endpoints.values_mut();
        for stats in there.filter(|stats| stats.domain_digest == domain_digest) {
            stats.warmup.record_readmission(now);
        }
    }

    /// Returns whether `id` counts as warming by the rule of its service.
    pub fn is_warming(&self, id: &str, rule: WarmupRule, now: Millis) -> bool {
        let stats = self.endpoints.get(id);
        stats.is_some_and(|stats| stats.warmup.grounds(rule, now).is_some())
    }

    /// Returns the warming endpoints, with the time left by their own responses and the
    /// time left in all, ms. `rule_of` gives the rule of a service.
    pub fn warming<F>(&self, rule_of: F, now: Millis) -> Vec<(&Endpoint, u64, u64)>
    where
        F: Fn(&str) -> WarmupRule,
    {
        let warming = self.endpoints.values().filter_map(|stats| {
            let rule = rule_of(&stats.endpoint.service);
            let (_, until) = stats.warmup.grounds(rule, now)?;
            let reported_left_ms = stats.warmup.reported_left_ms(now);
            Some((&stats.endpoint, reported_left_ms, until.since(now)))
        });
        warming.collect()
    }

    /// Returns the endpoints that began to count as warming since the last call, with the
    /// reason and the time left, ms, and those that no longer do.
    pub fn warmup_changes<F>(
        &mut self,
        rule_of: F,
        now: Millis,
    ) -> Vec<(&str, Option<(WarmupGrounds, u64)>)>
    where
        F: Fn(&str) -> WarmupRule,
    {
        let changed = self.endpoints.values_mut().filter_map(|stats| {
            let rule = rule_of(&stats.endpoint.service);
            let warming = stats.warmup.grounds(rule, now);
            if warming.is_some() == stats.warmup.is_logged {
                return None;
            }
            stats.warmup.is_logged = warming.is_some();
            let warming = warming.map(|(grounds, until)| (grounds, until.since(now)));
            Some((stats.endpoint.id.as_str(), warming))
        });
        changed.collect()
    }

    /// Returns the ids of the endpoints of `service` for which `needs_grant` holds.
    pub fn ids_where<F>(&self, service: &str, needs_grant: F) -> Vec<String>
    where
        F: Fn(&str) -> bool,
    {
        let of_service = self.endpoints.values().map(|stats| &stats.endpoint);
        of_service
            .filter(|endpoint| endpoint.service == service && needs_grant(&endpoint.id))
            .map(|endpoint| endpoint.id.clone())
            .collect()
    }

    /// Records that the incarnation `born_ms` of `id` said that it is draining;
    /// returns the notice for the other gateways if this was not known.
    pub fn record_draining(&mut self, id: &str, born_ms: u64) -> Option<DrainNotice> {
        let stats = self.endpoints.get_mut(id)?;
        let known = stats.endpoint.state == EndpointState::Draining;
        if known || stats.endpoint.born_ms != born_ms {
            return None;
        }
        stats.endpoint.state = EndpointState::Draining;
        Some(DrainNotice {
            endpoint_digest: stats.id_digest,
            born_ms,
        })
    }

    /// Records a peer's notice that an endpoint is draining; returns the
    /// endpoint's id if this is news.
    pub fn record_peer_draining(
        &mut self,
        notice: &DrainNotice,
        now: Millis,
    ) -> Option<&str> {
        let id = self.ids_by_digest.get(&notice.endpoint_digest)?;
        let stats = self.endpoints.get_mut(id)?;
        let same = stats.endpoint.born_ms == notice.born_ms;
        if !same || stats.is_draining_at_peer(now) {
            return None;
        }
        stats.peer_draining_until = now.plus(PEER_DRAINING_MS);
        Some(id)
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

    /// Returns the versions of the endpoints of `service`, one for each endpoint.
    pub fn versions<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a str> {
        let endpoints = self.endpoints.values().map(|stats| &stats.endpoint);
        endpoints
            .filter(move |endpoint| endpoint.service == service)
            .map(|endpoint| endpoint.version.as_str())
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
