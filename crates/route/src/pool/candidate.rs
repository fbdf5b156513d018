//! Endpoints that are compared for one request.

use clock::Millis;

use super::{
    Costs, Pick, PickRequest, TrackedLoads,
    endpoint_stats::{EndpointStats, Load},
    prefix::salted_parts,
};

/// An endpoint, with its load and what it would have to read of a prompt.
pub(super) struct Candidate<'a> {
    pub stats: &'a EndpointStats,
    pub load: Load,
    /// Prompt tokens that it is expected to prefill, for the comparison.
    pub expected_tokens: u32,
    /// Prompt tokens that count as its load if it is picked.
    pub uncached_tokens: u32,
}

impl Candidate<'_> {
    /// Returns the cost of sending the request there, ms.
    pub fn cost_ms(
        &self,
        costs: &Costs,
        request: &PickRequest<'_>,
        now: Millis,
    ) -> f64 {
        let tokens = self.expected_tokens;
        self.stats.cost_ms(costs, request, self.load, tokens, now)
    }

    /// Returns the endpoint as the one that was picked.
    pub fn pick(&self, costs: &Costs, request: &PickRequest<'_>) -> Pick {
        let tokens = self.uncached_tokens;
        let wait_ms = self.stats.wait_ms(costs, request, self.load, tokens);
        Pick {
            endpoint: self.stats.endpoint.clone(),
            uncached_tokens: tokens,
            wait_ms: wait_ms as u64,
            running: self.stats.running,
            peer_requests: self.stats.peer_requests,
        }
    }
}

/// Returns those of the endpoints whose load their trackers told.
pub(super) fn tracked_candidates<'a>(
    request: &PickRequest<'_>,
    usable: &[&'a EndpointStats],
    tracked: &TrackedLoads,
) -> Vec<Candidate<'a>> {
    let parts = salted_parts(request);
    let candidates = usable.iter().filter_map(|stats| {
        let load = tracked.get(&stats.id_digest)?;
        let cached = parts.iter().take(usize::from(load.cached_parts));
        let cached = cached.map(|(_, tokens)| tokens).sum();
        // The tracker knows of all requests, so that nothing else is cached.
        let tokens = request.uncached_tokens(cached, 0.0);
        Some(Candidate {
            stats,
            load: Load::from(*load),
            expected_tokens: tokens,
            uncached_tokens: tokens,
        })
    });
    candidates.collect()
}
