//! Admission control: concurrency, token rate and fair share by team.

use std::collections::HashMap;

use clock::Millis;
use config::TeamSpec;
use displaydoc::Display;

/// Period of the token limit, ms. Usage decays with this time constant.
const MINUTE_MS: f64 = 60_000.0;

/// Retry delay suggested to callers if slots are exhausted, ms.
const SLOT_RETRY_MS: u64 = 500;

/// Maximum retry delay suggested to callers, ms.
const RETRY_MAX_MS: u64 = 30_000;

/// Reason why a request was rejected before it ran.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AdmissionError {
    /// the team reached its limit of concurrent requests; retry in {retry_after_ms} ms
    Concurrency {
        /// Suggested delay before a retry, ms.
        retry_after_ms: u64,
    },
    /// the team used up its tokens for this minute; retry in {retry_after_ms} ms
    Tokens {
        /// Suggested delay before a retry, ms.
        retry_after_ms: u64,
    },
    /// this entry reached its limit of concurrent requests; retry in {retry_after_ms} ms
    Streams {
        /// Suggested delay before a retry, ms.
        retry_after_ms: u64,
    },
    /// the endpoints are overloaded and the team exceeds its fair share; retry in {retry_after_ms} ms
    Share {
        /// Suggested delay before a retry, ms.
        retry_after_ms: u64,
    },
}

impl std::error::Error for AdmissionError {}

impl AdmissionError {
    /// Returns the stable error code.
    pub fn code(&self) -> &'static str {
        match self {
            AdmissionError::Concurrency { .. } => "team_concurrency",
            AdmissionError::Tokens { .. } => "team_tokens",
            AdmissionError::Streams { .. } => "entry_streams",
            AdmissionError::Share { .. } => "team_share",
        }
    }

    /// Returns the suggested delay before a retry, ms.
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            AdmissionError::Concurrency { retry_after_ms }
            | AdmissionError::Tokens { retry_after_ms }
            | AdmissionError::Streams { retry_after_ms }
            | AdmissionError::Share { retry_after_ms } => *retry_after_ms,
        }
    }
}

/// Capacity of the endpoints that match a request, shared by all entries.
#[derive(Clone, Copy, Debug)]
pub struct PoolCapacity {
    /// Number of live entries, including this one.
    pub entries: u32,
    /// Total slots of these endpoints, which live entries share equally; 0 if
    /// unknown.
    pub slots: u32,
    /// Attempts of all entries on these endpoints, running or queued.
    pub slots_in_use: u32,
}

#[derive(Clone, Debug, Default)]
struct TeamUsage {
    running: u32,
    tokens: f64,
    updated_at: Millis,
    /// Exponentially decayed number of recent requests; identifies teams that
    /// compete for slots.
    recent_requests: f64,
    weight: u32,
}

/// Usage of the limits, by team.
///
/// Each entry grants an equal part of a team's limit, so the sum over all
/// entries stays within the limit as long as they agree on the number of live
/// entries.
#[derive(Clone, Debug)]
pub struct Admission {
    teams: HashMap<String, TeamUsage>,
    streams: usize,
    streams_max: usize,
}

impl Admission {
    /// Creates the state for an entry that serves at most `streams_max`
    /// requests concurrently, over all teams and whether or not their responses
    /// are streamed.
    pub fn new(streams_max: usize) -> Self {
        Admission {
            teams: HashMap::new(),
            streams: 0,
            streams_max,
        }
    }

    /// Admits a request of `team`.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request exceeds, and when to retry.
    pub fn admit(
        &mut self,
        team: &TeamSpec,
        capacity: PoolCapacity,
        now: Millis,
    ) -> Result<(), AdmissionError> {
        if self.streams >= self.streams_max {
            return Err(AdmissionError::Streams {
                retry_after_ms: SLOT_RETRY_MS,
            });
        }
        let entries = capacity.entries.max(1);
        self.decay(&team.name, now);
        let fair_share = self.fair_share(team, capacity);
        let usage = self.teams.entry(team.name.clone()).or_default();
        usage.recent_requests += 1.0;
        usage.weight = team.weight.max(1);
        if team.max_concurrent > 0 {
            let quota = team.max_concurrent.div_ceil(entries);
            if usage.running >= quota {
                return Err(AdmissionError::Concurrency {
                    retry_after_ms: SLOT_RETRY_MS,
                });
            }
        }
        if team.tokens_per_minute > 0 {
            let quota = team.tokens_per_minute as f64 / f64::from(entries);
            if usage.tokens >= quota {
                return Err(AdmissionError::Tokens {
                    retry_after_ms: tokens_wait_ms(usage.tokens, quota),
                });
            }
        }
        if fair_share.is_some_and(|fair_share| usage.running >= fair_share) {
            return Err(AdmissionError::Share {
                retry_after_ms: SLOT_RETRY_MS,
            });
        }
        usage.running += 1;
        self.streams += 1;
        Ok(())
    }

    /// Returns the team's part of the slots, weighted among the teams with
    /// recent requests, or `None` while slots are free.
    fn fair_share(&self, team: &TeamSpec, capacity: PoolCapacity) -> Option<u32> {
        if capacity.slots == 0 || capacity.slots_in_use < capacity.slots {
            return None;
        }
        let own = f64::from(team.weight.max(1));
        let others = self.teams.iter().filter(|(name, usage)| {
            **name != team.name && (usage.running > 0 || usage.recent_requests > 0.5)
        });
        let other_weights: f64 = others
            .map(|(_, usage)| f64::from(usage.weight.max(1)))
            .sum();
        let slots = f64::from(capacity.slots) / f64::from(capacity.entries.max(1));
        let quota = slots * own / (own + other_weights);
        Some((quota.ceil() as u32).max(1))
    }

    fn decay(&mut self, team: &str, now: Millis) {
        let usage = self.teams.entry(team.to_owned()).or_default();
        let elapsed_ms = now.since(usage.updated_at) as f64;
        usage.tokens *= (-elapsed_ms / MINUTE_MS).exp();
        usage.recent_requests *= (-elapsed_ms / 1_000.0).exp();
        usage.updated_at = usage.updated_at.max(now);
    }

    /// Records tokens that a request generated.
    pub fn record_tokens(&mut self, team: &str, tokens: u64, now: Millis) {
        self.decay(team, now);
        if let Some(usage) = self.teams.get_mut(team) {
            usage.tokens += tokens as f64;
        }
    }

    /// Releases the slot of an admitted request.
    pub fn release(&mut self, team: &str) {
        self.streams = self.streams.saturating_sub(1);
        if let Some(usage) = self.teams.get_mut(team) {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}

/// Returns the time until the decayed usage falls below the quota, ms.
fn tokens_wait_ms(used: f64, quota: f64) -> u64 {
    if quota <= 0.0 {
        return RETRY_MAX_MS;
    }
    let wait_ms = (used / quota).ln() * MINUTE_MS;
    (wait_ms.ceil() as u64).clamp(SLOT_RETRY_MS, RETRY_MAX_MS)
}
