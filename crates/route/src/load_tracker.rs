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

use crate::pool::{PREFIX_TTL_MS, PREFIXES_MAX};

/// Time after which a run whose end was not reported is forgotten, ms.
const RUN_EXPIRY_MS: u64 = 15_000;

/// Maximum time by which a prompt is counted to have exceeded its prediction, ms.
const DELAY_MAX_MS: f64 = 5_000.0;

/// Weight of one prompt in the moving average of that time.
const DELAY_WEIGHT: f64 = 0.25;

/// Time for which that average is kept after the last prompt, ms.
const DELAY_KEPT_MS: u64 = 500;

/// Time in which that average halves while nothing is sent to the endpoint, ms.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;

/// Maximum number of tracked endpoints, since reports are not authenticated.
const ENDPOINTS_MAX: usize = 8_192;

/// Maximum number of runs that are tracked per endpoint.
const RUNS_MAX: usize = 1_024;

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
    /// Time that prompts recently took there beyond what their tokens explain, ms.
    pub delay_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    started: Millis,
    prefill_tokens: u32,
    /// Predicted time to the end of prefill, ms, from the tokens known at the start.
    predicted_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct TrackedEndpoint {
    runs: HashMap<RunKey, Run>,
    /// Time when each prefix was last sent to the endpoint, by salted digest.
    prefixes: HashMap<u64, Millis>,
    delay: Delay,
}

/// Moving average of the time by which predictions are exceeded.
///
/// An engine may be slower than configured, or hold work that no gateway tells of. The
/// average fades while nothing is sent there, so that it is tried again.
#[derive(Clone, Copy, Debug, Default)]
struct Delay {
    average_ms: f64,
    updated: Millis,
}

impl Delay {
    fn record(&mut self, excess_ms: f64, now: Millis) {
        let average_ms = self.now_ms(now);
        let excess_ms = excess_ms.clamp(0.0, DELAY_MAX_MS);
        self.average_ms = average_ms + DELAY_WEIGHT * (excess_ms - average_ms);
        self.updated = now;
    }

    fn now_ms(&self, now: Millis) -> f64 {
        let idle_ms = now.since(self.updated).saturating_sub(DELAY_KEPT_MS) as f64;
        self.average_ms * (-idle_ms / DELAY_HALF_LIFE_MS).exp2()
    }
}

/// The endpoints that one gateway keeps track of, by the digests of their ids.
#[derive(Clone, Debug)]
pub struct LoadTracker {
    prefill_tokens_per_ms: f64,
    endpoints: HashMap<u64, TrackedEndpoint>,
}

impl LoadTracker {
    /// Creates a tracker of no endpoints. `prefill_tokens_per_ms` is the rate that
    /// engines are expected to have with a model of pace 1.
    pub fn new(prefill_tokens_per_ms: f64) -> Self {
        LoadTracker {
            prefill_tokens_per_ms,
            endpoints: HashMap::new(),
        }
    }

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
        let known = self.endpoints.contains_key(&endpoint);
        if !known && self.endpoints.len() >= ENDPOINTS_MAX {
            return;
        }
        let tracked = self.endpoints.entry(endpoint).or_default();
        let queued = tracked
            .runs
            .values()
            .map(|run| f64::from(run.prefill_tokens));
        let tokens = queued.sum::<f64>() + f64::from(prefill_tokens);
        if tracked.runs.len() < RUNS_MAX {
            let run = Run {
                started: now,
                prefill_tokens,
                predicted_ms: tokens / self.prefill_tokens_per_ms,
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
    pub fn record_prefill_end(&mut self, endpoint: u64, key: RunKey, now: Millis) {
        let Some(tracked) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        if let Some(run) = tracked.runs.get_mut(&key) {
            run.prefill_tokens = 0;
            let took_ms = now.since(run.started) as f64;
            tracked.delay.record(took_ms - run.predicted_ms, now);
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
        load.delay_ms = tracked.delay.now_ms(now) as u32;
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
