//! Whether a team's request is taken now.

use std::collections::HashMap;

use clock::Millis;
use config::TeamSpec;
use displaydoc::Display;

/// Span of a token limit, ms.
const MINUTE_MS: f64 = 60_000.0;

/// Wait that a caller is told where slots are short, ms.
const SLOT_RETRY_MS: u64 = 500;

/// Longest wait that a caller is told, ms.
const RETRY_MAX_MS: u64 = 30_000;

/// Why a request is not taken; it was not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum AdmissionError {
    /// the team has as many requests in progress as it may; come back in {retry_after_ms} ms
    Concurrency {
        /// When to come back, ms.
        retry_after_ms: u64,
    },
    /// the team used its tokens for this minute; come back in {retry_after_ms} ms
    Tokens {
        /// When to come back, ms.
        retry_after_ms: u64,
    },
    /// this entry has as many requests in progress as it may; come back in {retry_after_ms} ms
    Streams {
        /// When to come back, ms.
        retry_after_ms: u64,
    },
    /// the pool is overloaded and the team is over its share; come back in {retry_after_ms} ms
    Share {
        /// When to come back, ms.
        retry_after_ms: u64,
    },
}

impl std::error::Error for AdmissionError {}

impl AdmissionError {
    /// Stable code for callers.
    pub fn code(&self) -> &'static str {
        match self {
            AdmissionError::Concurrency { .. } => "team_concurrency",
            AdmissionError::Tokens { .. } => "team_tokens",
            AdmissionError::Streams { .. } => "entry_streams",
            AdmissionError::Share { .. } => "team_share",
        }
    }

    /// When to come back, ms.
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            AdmissionError::Concurrency { retry_after_ms }
            | AdmissionError::Tokens { retry_after_ms }
            | AdmissionError::Streams { retry_after_ms }
            | AdmissionError::Share { retry_after_ms } => *retry_after_ms,
        }
    }
}

/// This entry's part of what all entries share.
#[derive(Clone, Copy, Debug)]
pub struct PoolCapacity {
    /// Live entries, this one included.
    pub entries: u32,
    /// Attempts that the endpoints it sees run at once; 0 if unknown.
    pub slots: u32,
    /// Live entries divide the slots alike.
    pub slots_in_use: u32,
}

#[derive(Clone, Debug, Default)]
struct TeamUsage {
    running: u32,
    tokens: f64,
    updated_at: Millis,
    /// Requests lately, faded; tells which teams contend.
    recent_requests: f64,
    weight: u32,
}

/// Use of the limits, by team.
///
/// Each entry grants its part of a team's limit: the sum over the live
/// entries never exceeds the limit while they agree on how many they are.
#[derive(Clone, Debug)]
pub struct Admission {
    teams: HashMap<String, TeamUsage>,
    streams: usize,
    streams_max: usize,
}

impl Admission {
    /// No requests in progress, at most `streams_max` at once.
    pub fn new(streams_max: usize) -> Self {
        Admission {
            teams: HashMap::new(),
            streams: 0,
            streams_max,
        }
    }

    /// Takes a request of `team`, or tells why not and when to come back.
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

    /// The team's part of the slots while they are short, by weight among
    /// the teams that lately asked; `None` while there is room.
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

    /// Counts tokens that a request generated.
    pub fn record_tokens(&mut self, team: &str, tokens: u64, now: Millis) {
        self.decay(team, now);
        if let Some(usage) = self.teams.get_mut(team) {
            usage.tokens += tokens as f64;
        }
    }

    /// Gives back a request's place.
    pub fn release(&mut self, team: &str) {
        self.streams = self.streams.saturating_sub(1);
        if let Some(usage) = self.teams.get_mut(team) {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}

/// Time until the faded use falls below the part.
fn tokens_wait_ms(used: f64, quota: f64) -> u64 {
    if quota <= 0.0 {
        return RETRY_MAX_MS;
    }
    let wait_ms = (used / quota).ln() * MINUTE_MS;
    (wait_ms.ceil() as u64).clamp(SLOT_RETRY_MS, RETRY_MAX_MS)
}
