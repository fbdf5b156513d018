//! A request for an endpoint, and the endpoint that was picked.

use catalog::Endpoint;

use super::prefix::shared_parts;

/// Coefficients of the predicted wait.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Prompt tokens that an engine prefills per ms for a model of pace 1.
    pub prefill_tokens_per_ms: f64,
    /// Delay that each running request adds to a new one, ms.
    pub running_ms: f64,
    /// Weight of a request's own prefill time beyond its wait, since prefill takes room
    /// from the prompts after it.
    pub prefill_weight: f64,
    /// Weight of a request's own prefill time for each request running on the engine,
    /// since all of them wait while it lasts.
    pub stalled_weight: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Costs {
            prefill_tokens_per_ms: 60.0,
            running_ms: 6.0,
            prefill_weight: 4.0,
            stalled_weight: 0.4,
        }
    }
}

impl Costs {
    /// Time to prefill `tokens`, ms.
    pub(super) fn prefill_ms(&self, request: &PickRequest<'_>, tokens: u32) -> f64 {
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
    pub(super) fn uncached_tokens(&self, cached: u32, prior: f64) -> u32 {
        let shared: u32 = shared_parts(self.parts).iter().map(|(_, n)| n).sum();
        let unknown = shared.saturating_sub(cached);
        let assumed = (f64::from(unknown) * prior) as u32;
        self.tokens_in.saturating_sub(cached + assumed)
    }
}

/// Versions of a service that may serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum VersionFilter<'a> {
    /// Every version.
    #[default]
    Any,
    /// Only this version.
    Only(&'a str),
    /// Only this version, at the first endpoints that make up this fraction of those
    /// that take requests.
    Trial(&'a str, f64),
    /// Every version except this one.
    Not(&'a str),
}

impl VersionFilter<'_> {
    /// Returns whether `version` passes the filter.
    pub fn allows(self, version: &str) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(only) | VersionFilter::Trial(only, _) => {
                only == version
            }
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
