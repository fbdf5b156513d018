//! The choice between the endpoints of the own failure domain and those of others, where
//! traffic between domains has a price. See [`DomainSpill`].

use std::collections::{BTreeMap, HashMap};

use clock::Millis;

use super::{
    HOME_RANKS, PeerCoverage, PickRequest, Pool, SPILL_RANKS, TrackedLoads,
    endpoint_stats::{EndpointStats, Load},
};
use crate::domain_spill::{CrossReason, DomainOffer, DomainSpill, ShareChange};

/// Part of an endpoint's slots up to which it has room. The rest is for requests of its
/// own domain that other gateways do not know of yet.
const ROOM_SLOTS: f64 = 0.75;

/// Time that queued prompts take up to which an engine has room, ms; about a sixth of
/// the time for a long prompt on the largest model.
const ROOM_QUEUE_MS: f64 = 50.0;

/// What the domains offered to a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainOffers {
    /// The best offer of the own domain.
    pub home: Option<DomainOffer>,
    /// The best offer of each other domain, by its name.
    pub others: Vec<DomainOffer>,
}

/// An endpoint with its load, the tokens that it has to prefill, and its cost, ms.
pub(super) type Scored<'a> = (&'a EndpointStats, Load, u32, f64);

/// What is picked among endpoints of several domains.
pub(super) struct DomainChoice<'a> {
    pub best: Scored<'a>,
    pub reason: Option<CrossReason>,
    pub offers: DomainOffers,
}

/// Whether endpoints are left out whose load was not told.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeftOut {
    /// Those of the own domain.
    home: bool,
    /// Those of other domains.
    others: bool,
}

impl LeftOut {
    pub fn covers(self, stats: &EndpointStats, request: &PickRequest<'_>) -> bool {
        if stats.endpoint.failure_domain == request.failure_domain {
            self.home
        } else {
            self.others
        }
    }
}

impl Pool {
    /// Sets the delay that is worth as much as a megabyte between two failure domains;
    /// at zero, traffic between them has no price and is not bounded.
    #[must_use]
    pub fn with_cross_domain_price(mut self, ms_per_mb: f64) -> Self {
        self.spill = (ms_per_mb > 0.0).then(|| DomainSpill::new(ms_per_mb));
        self
    }

    /// Sets whether most other gateways are heard. If not, the load of endpoints of
    /// other domains is unknown.
    pub fn set_fleet_heard(&mut self, heard: bool) {
        self.fleet_unheard = !heard;
    }

    /// Records what the domains offered to a request that is sent; returns the changes
    /// of shares that are worth a log line.
    pub fn record_offers(
        &mut self,
        request: &PickRequest<'_>,
        offers: &DomainOffers,
        now: Millis,
    ) -> Vec<ShareChange> {
        match (&mut self.spill, &offers.home) {
            (Some(spill), Some(home)) => {
                spill.record(request.service, home, &offers.others, request.bytes, now)
            }
            _ => Vec::new(),
        }
    }

    /// Picks among `scored` endpoints, which are all that the request may get.
    pub(super) fn choose_domain<'a>(
        &self,
        spill: &DomainSpill,
        request: &PickRequest<'_>,
        tracked: &TrackedLoads,
        scored: impl Iterator<Item = Scored<'a>>,
        now: Millis,
    ) -> Option<DomainChoice<'a>> {
        let mut best: BTreeMap<&str, Scored<'a>> = BTreeMap::new();
        for new in scored {
            let domain = new.0.endpoint.failure_domain.as_str();
            let known = best.entry(domain).or_insert(new);
            if new.3 < known.3 {
                *known = new;
            }
        }
        let home = best.remove(request.failure_domain);
        let others: Vec<Scored<'a>> = best.into_values().collect();
        let offer = |scored: &Scored<'_>| self.offer(request, tracked, scored);
        let offers = DomainOffers {
            home: home.as_ref().map(offer),
            others: others.iter().map(offer).collect(),
        };
        let crossing = spill.choose(
            request.service,
            offers.home.as_ref(),
            &offers.others,
            request.bytes,
            request.random,
            now,
        );
        let (best, reason) = match crossing {
            Some((index, reason)) => (others.get(index).copied()?, Some(reason)),
            None => (home?, None),
        };
        Some(DomainChoice {
            best,
            reason,
            offers,
        })
    }

    fn offer(
        &self,
        request: &PickRequest<'_>,
        tracked: &TrackedLoads,
        (stats, load, uncached, cost_ms): &Scored<'_>,
    ) -> DomainOffer {
        let slots = f64::from(stats.endpoint.slots.max(1));
        let queued_ms = load.prefill_tokens / self.costs.prefill_tokens_per_ms;
        // Statuses tell of all requests of a small fleet, and of the requests to plain
        // services in a large one.
        let by_statuses =
            request.parts.is_empty() || self.peer_coverage == PeerCoverage::Complete;
        DomainOffer {
            domain: stats.endpoint.failure_domain.clone(),
            wait_ms: stats.wait_ms(&self.costs, request, *load, *uncached),
            cost_ms: *cost_ms,
            prompt_ms: self.costs.prefill_ms(request, *uncached)
                * (1.0 + self.costs.prefill_weight),
            has_room: load.running < (slots * ROOM_SLOTS).max(1.0)
                && queued_ms <= ROOM_QUEUE_MS,
            is_load_known: tracked.contains_key(&stats.id_digest)
                || (by_statuses && !self.fleet_unheard),
        }
    }

    /// Returns which endpoints are left out if their trackers did not tell their load.
    /// If no tracker of the own domain answered, what this gateway knows itself is used
    /// there: an endpoint that is not known does not mean that there is none.
    pub(super) fn untracked_left_out(
        &self,
        request: &PickRequest<'_>,
        tracked: &TrackedLoads,
        usable: &[&EndpointStats],
    ) -> LeftOut {
        let mut told = usable
            .iter()
            .filter(|stats| tracked.contains_key(&stats.id_digest))
            .map(|stats| stats.endpoint.failure_domain == request.failure_domain)
            .peekable();
        let any = told.peek().is_some();
        LeftOut {
            home: any && (self.spill.is_none() || told.any(|is_home| is_home)),
            others: any,
        }
    }

    /// Returns the rank of each endpoint for the prefix of a request: over all domains,
    /// or within its own domain if traffic between domains has a price.
    pub(super) fn prefix_ranks(&self, usable: &[&EndpointStats]) -> Vec<usize> {
        if self.spill.is_none() {
            return (0..usable.len()).collect();
        }
        let mut next: HashMap<&str, usize> = HashMap::new();
        let ranks = usable.iter().map(|stats| {
            let next = next.entry(&stats.endpoint.failure_domain).or_default();
            *next += 1;
            *next - 1
        });
        ranks.collect()
    }

    /// Returns the digests of the endpoints whose load is worth knowing: most of the own
    /// domain, so that there is a choice, and some of others. `usable` is in the order of
    /// ranks, `own` a random number of the request. `None` if the own domain has none.
    pub(super) fn domain_candidates(
        request: &PickRequest<'_>,
        usable: &[&EndpointStats],
        own: u64,
    ) -> Option<Vec<u64>> {
        let mut domains: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for stats in usable {
            let domain = domains.entry(&stats.endpoint.failure_domain);
            domain.or_default().push(stats.id_digest);
        }
        let home = domains.remove(request.failure_domain)?;
        let (ranked, rest) = home.split_at(home.len().min(HOME_RANKS - 1));
        let mut chosen = ranked.to_vec();
        if !rest.is_empty() {
            chosen.push(rest[(own % rest.len() as u64) as usize]);
        }
        let others: Vec<Vec<u64>> = domains.into_values().collect();
        for turn in 0..SPILL_RANKS as u64 {
            if others.is_empty() {
                break;
            }
            // Domains in turn, and of each the first endpoint for the prefix.
            let place = (own >> 1).wrapping_add(turn);
            let domain = &others[(place % others.len() as u64) as usize];
            let rank = turn as usize / others.len();
            let digest = domain[rank.min(domain.len() - 1)];
            if !chosen.contains(&digest) {
                chosen.push(digest);
            }
        }
        Some(chosen)
    }
}
