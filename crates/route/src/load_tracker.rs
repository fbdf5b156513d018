//! Load and caches of the endpoints that a gateway keeps track of for all gateways.
//!
//! In a large fleet each gateway sends a small part of the requests, and what it hears
//! about the others' is seconds old, longer than an engine's queue lasts: its
//! predictions are noise, long prompts meet behind each other, and the prompts of one
//! prefix scatter. Each endpoint therefore has one gateway, the same for all by a hash,
//! which is told of each request when it is sent, leaves prefill and ends, and is asked
//! before one is sent. The cost of that for a gateway depends on its own requests and
//! not on the size of the fleet. See `docs/design/deployment.md`.

use std::collections::HashMap;

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::pool::PREFIX_TTL_MS;

/// Time after which a run whose end was not reported is forgotten, ms.
const RUN_EXPIRY_MS: u64 = 15_000;

/// Maximum number of runs that are tracked per endpoint.
const RUNS_MAX: usize = 1_024;

/// Maximum number of prefixes that are remembered per endpoint.
const PREFIXES_MAX: usize = 1_024;

/// Identifies a run: a request at one endpoint.
///
/// Encoded with postcard, so the order of the fields is part of the format.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RunKey {
    /// Random number of the process that sent the request.
    pub sender: u64,
    /// Number of the run at that process.
    pub number: u64,
}

/// Load of an endpoint over all gateways, and what its cache holds of one prompt.
///
/// Encoded with postcard, so the order of the fields is part of the format.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrackedLoad {
    /// Requests in progress.
    pub running: u32,
    /// Their prompt tokens still in prefill, scaled by the model's pace.
    pub prefill_tokens: u32,
    /// Number of leading parts of the prompt that were sent there recently.
    pub cached_parts: u8,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    started: Millis,
    prefill_tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct TrackedEndpoint {
    runs: HashMap<RunKey, Run>,
    /// Time when each prefix was last sent to the endpoint, by salted digest.
    prefixes: HashMap<u64, Millis>,
}

/// The endpoints that one gateway keeps track of, by the digests of their ids.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    endpoints: HashMap<u64, TrackedEndpoint>,
}

impl LoadTracker {
    /// Records that a request with `prefill_tokens` to process, scaled by the model's
    /// pace, was sent to `endpoint`. `prefixes` are the salted digests of its prompt's
    /// shared parts, in order.
    pub fn record_start(
        &mut self,
        endpoint: u64,
        key: RunKey,
        prefill_tokens: u32,
        prefixes: &[u64],
        now: Millis,
    ) {
        let tracked = self.endpoints.entry(endpoint).or_default();
        if tracked.runs.len() < RUNS_MAX {
            let run = Run {
                started: now,
                prefill_tokens,
            };
            tracked.runs.insert(key, run);
        }
        for prefix in prefixes {
            if tracked.prefixes.len() < PREFIXES_MAX
                || tracked.prefixes.contains_key(prefix)
            {
                tracked.prefixes.insert(*prefix, now);
            }
        }
    }

    /// Records that the endpoint has processed the prompt of a run.
    pub fn record_prefill_end(&mut self, endpoint: u64, key: RunKey) {
        let tracked = self.endpoints.get_mut(&endpoint);
        if let Some(run) = tracked.and_then(|tracked| tracked.runs.get_mut(&key)) {
            run.prefill_tokens = 0;
        }
    }

    /// Records that a run ended.
    pub fn record_end(&mut self, endpoint: u64, key: RunKey) {
        if let Some(tracked) = self.endpoints.get_mut(&endpoint) {
            tracked.runs.remove(&key);
        }
    }

    /// Returns the load of `endpoint`, and how many of the leading `prefixes` its
    /// cache holds.
    ///
    /// A digest covers all preceding parts, so these are cached as well.
    pub fn load(&self, endpoint: u64, prefixes: &[u64], now: Millis) -> TrackedLoad {
        let Some(tracked) = self.endpoints.get(&endpoint) else {
            return TrackedLoad::default();
        };
        let mut load = TrackedLoad::default();
        let runs = tracked.runs.values();
        for run in runs.filter(|run| now.since(run.started) < RUN_EXPIRY_MS) {
            load.running += 1;
            load.prefill_tokens =
                load.prefill_tokens.saturating_add(run.prefill_tokens);
        }
        let is_cached = |prefix: &u64| {
            let used = tracked.prefixes.get(prefix);
            used.is_some_and(|used| now.since(*used) < PREFIX_TTL_MS)
        };
        let cached = prefixes.iter().rposition(is_cached).map_or(0, |i| i + 1);
        load.cached_parts = u8::try_from(cached).unwrap_or(u8::MAX);
        load
    }

    /// Forgets runs and prefixes that have expired, and endpoints without any.
    pub fn expire(&mut self, now: Millis) {
        self.endpoints.retain(|_, tracked| {
            tracked
                .runs
                .retain(|_, run| now.since(run.started) < RUN_EXPIRY_MS);
            tracked
                .prefixes
                .retain(|_, used| now.since(*used) < PREFIX_TTL_MS);
            !tracked.runs.is_empty() || !tracked.prefixes.is_empty()
        });
    }
}
