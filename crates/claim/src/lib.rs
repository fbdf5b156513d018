//! Claims on non-idempotent calls and session bindings, replayed from the log.
//!
//! A non-idempotent call may start only after its claim was appended to the log
//! and read back as the first for its key. A claim is never transferred to
//! another holder, so a holder that resumes after a pause cannot run a call
//! that another holder has taken over. A caller may be told "not run" only if
//! a void precedes the claim in the log, or if the holder reports it. See
//! `docs/design/at-most-once.md`.
//!
//! ```
//! use claim::{Claim, ClaimRecord, Claims, KeyState};
//!
//! let mut claims = Claims::default();
//! let claim = Claim {
//!     team: "filings".into(),
//!     key: "deed-7".into(),
//!     request_id: "r1".into(),
//!     holder: "agent-1".into(),
//!     attempt: 1,
//! };
//! claims.apply(0, &ClaimRecord::claim(0, claim.clone()).encode());
//! assert_eq!(claims.state("filings", "deed-7"), KeyState::Running { claim });
//! ```

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Record format that this build writes, and the newest that it can read.
const RECORD_VERSION: u32 = 1;

/// Index of the partition that holds a team's key, below `partitions`.
///
/// The hash input starts with the length of the team name, so that two
/// different pairs of team and key never have the same input.
pub fn partition(team: &str, key: &str, partitions: u32) -> u32 {
    let mut hash = Sha256::new();
    hash.update((team.len() as u64).to_le_bytes());
    hash.update(team);
    hash.update(key);
    let digest = hash.finalize();
    let prefix = u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]]);
    prefix % partitions.max(1)
}

/// A holder's request to run the call of a key.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's team; each team has its own key space.
    pub team: String,
    /// Idempotency key, or the request id if the caller sent none.
    pub key: String,
    /// Id of the claimed request.
    pub request_id: String,
    /// Instance that runs the call if it wins; a restarted process is a new
    /// instance.
    pub holder: String,
    /// Attempt number within the request.
    pub attempt: u32,
}

impl Claim {
    /// Id of the claim, which [`ClaimEvent::Void`] refers to.
    pub fn id(&self) -> String {
        claim_id(&self.request_id, self.attempt)
    }
}

/// Id of the claim of an attempt, as `request_id#attempt`.
pub fn claim_id(request_id: &str, attempt: u32) -> String {
    format!("{request_id}#{attempt}")
}

/// How a claimed call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The call ran, and the endpoint answered.
    Done,
    /// The holder abandoned the call before it started, which frees the key for
    /// another claim.
    NotRun,
    /// The call started, and its result is not known.
    Unknown,
}

/// One event of the claim stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEvent {
    /// Claims a key.
    Claim(Claim),
    /// Prevents an attempt's claim from winning, unless it has already won.
    Void {
        /// The caller's team.
        team: String,
        /// Key of the request.
        key: String,
        /// Claim to void, see [`claim_id`].
        claim_id: String,
    },
    /// Records how the winner's call ended.
    Ended {
        /// The caller's team.
        team: String,
        /// Key of the call.
        key: String,
        /// Holder of the winning claim.
        holder: String,
        /// How the call ended.
        ending: Ending,
        /// HTTP status of the response; zero if there is none.
        status: u16,
        /// Response body to replay to repeated requests; empty if it was too
        /// large to keep.
        answer: String,
    },
    /// Binds a session to a version of a model; only the first such event of a
    /// session and model counts.
    Bind {
        /// The caller's team.
        team: String,
        /// Session name.
        session: String,
        /// Model of the session.
        model: String,
        /// Version that the session started on.
        version: String,
    },
}

/// One log record: a batch of events from one writer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Version of the record format.
    pub v: u32,
    /// The writer's wall-clock time, ms since the Unix epoch.
    pub at_ms: u64,
    /// The events, in the order in which they apply.
    pub events: Vec<ClaimEvent>,
}

impl ClaimRecord {
    /// Creates a record of `events`, written at `at_ms` ms since the Unix epoch.
    pub fn new(at_ms: u64, events: Vec<ClaimEvent>) -> Self {
        ClaimRecord {
            v: RECORD_VERSION,
            at_ms,
            events,
        }
    }

    /// Creates a record of a single claim.
    pub fn claim(at_ms: u64, claim: Claim) -> Self {
        Self::new(at_ms, vec![ClaimEvent::Claim(claim)])
    }

    /// Encodes the record as one line of JSON.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a claim record serializes to JSON")
    }
}

/// State of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyState {
    /// No claim holds the key: none has won it, or the winner's call was not
    /// run.
    Free,
    /// A claim has won the key; its call may have started.
    Running {
        /// The winning claim.
        claim: Claim,
    },
    /// The call of the winning claim has ended.
    Ended {
        /// The winning claim.
        claim: Claim,
        /// How the call ended.
        ending: Ending,
        /// HTTP status of the response.
        status: u16,
        /// Response body; empty if it was too large to keep.
        answer: String,
    },
}

/// Status of one attempt's claim in the part of the log read so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStatus {
    /// The claim is not voided, and no claim holds the key; the record of the
    /// claim may not have been read yet.
    Pending,
    /// The claim can no longer win; its call did not run and never will.
    Voided,
    /// The claim won; its holder may start the call or has started it.
    Won,
    /// The claim won, and its call has ended.
    Ended {
        /// How the call ended.
        ending: Ending,
        /// HTTP status of the response.
        status: u16,
        /// Response body; empty if it was too large to keep.
        answer: String,
    },
    /// Another claim holds the key.
    Taken,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct KeyEntry {
    claim: Option<Claim>,
    ending: Option<(Ending, u16, String)>,
    voided: Vec<String>,
    at_ms: u64,
}

/// A team and one of its idempotency keys.
type TeamKey = (String, String);

/// State of one partition of the claim stream, built by applying its records.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    /// Offset of the next record to apply.
    pub offset: u64,
    keys: HashMap<TeamKey, KeyEntry>,
    /// Bound version and the wall-clock time of its record, by team, session and
    /// model.
    bindings: BTreeMap<(String, String, String), (String, u64)>,
    /// Offset of the first record in a newer format; nothing is applied from
    /// there on.
    pub blocked_at: Option<u64>,
}

impl Claims {
    /// Applies the record at `offset`.
    ///
    /// A record that was already applied is ignored. A malformed record is
    /// skipped, which every reader does in the same way. A record in a newer
    /// format sets [`Claims::blocked_at`].
    pub fn apply(&mut self, offset: u64, body: &str) {
        if offset < self.offset || self.blocked_at.is_some() {
            return;
        }
        let parsed = serde_json::from_str::<ClaimRecord>(body);
        match parsed {
            Ok(record) if record.v == RECORD_VERSION => self.apply_record(record),
            Ok(_) => {
                self.blocked_at = Some(offset);
                return;
            }
            Err(_) if has_newer_format(body) => {
                self.blocked_at = Some(offset);
                return;
            }
            Err(_) => {}
        }
        self.offset = offset + 1;
    }

    fn apply_record(&mut self, record: ClaimRecord) {
        for event in record.events {
            self.apply_event(event, record.at_ms);
        }
    }

    fn apply_event(&mut self, event: ClaimEvent, at_ms: u64) {
        match event {
            ClaimEvent::Claim(claim) => self.apply_claim(claim, at_ms),
            ClaimEvent::Void {
                team,
                key,
                claim_id,
            } => {
                let entry = self.entry(team, key, at_ms);
                let has_won = entry.claim.as_ref().is_some_and(|c| c.id() == claim_id);
                if !has_won && !entry.voided.contains(&claim_id) {
                    entry.voided.push(claim_id);
                }
            }
            ClaimEvent::Ended {
                team,
                key,
                holder,
                ending,
                status,
                answer,
            } => {
                let entry = self.entry(team, key, at_ms);
                let won = entry.claim.as_ref().is_some_and(|c| c.holder == holder);
                if !won || entry.ending.is_some() {
                    return;
                }
                if ending == Ending::NotRun {
                    // The call never started, so the key becomes free again.
                    let claim = entry
                        .claim
                        .take()
                        .expect("the holder has the winning claim");
                    entry.voided.push(claim.id());
                } else {
                    entry.ending = Some((ending, status, answer));
                }
            }
            ClaimEvent::Bind {
                team,
                session,
                model,
                version,
            } => {
                self.bindings
                    .entry((team, session, model))
                    .or_insert((version, at_ms));
            }
        }
    }

    fn apply_claim(&mut self, claim: Claim, at_ms: u64) {
        let entry = self.entry(claim.team.clone(), claim.key.clone(), at_ms);
        let voided = entry.voided.contains(&claim.id());
        if entry.claim.is_none() && !voided {
            entry.claim = Some(claim);
            entry.at_ms = at_ms;
        }
    }

    fn entry(&mut self, team: String, key: String, at_ms: u64) -> &mut KeyEntry {
        let new_entry = || KeyEntry {
            claim: None,
            ending: None,
            voided: Vec::new(),
            at_ms,
        };
        self.keys.entry((team, key)).or_insert_with(new_entry)
    }

    /// The state of a key.
    pub fn state(&self, team: &str, key: &str) -> KeyState {
        let entry = self.keys.get(&(team.to_owned(), key.to_owned()));
        let Some((entry, claim)) = entry.and_then(|e| Some((e, e.claim.clone()?)))
        else {
            return KeyState::Free;
        };
        match &entry.ending {
            None => KeyState::Running { claim },
            Some((ending, status, answer)) => KeyState::Ended {
                claim,
                ending: *ending,
                status: *status,
                answer: answer.clone(),
            },
        }
    }

    /// Whether a claim is voided: by [`ClaimEvent::Void`] before it won, or
    /// because its holder reported [`Ending::NotRun`].
    pub fn is_voided(&self, team: &str, key: &str, claim_id: &str) -> bool {
        let entry = self.keys.get(&(team.to_owned(), key.to_owned()));
        entry.is_some_and(|entry| entry.voided.iter().any(|id| id == claim_id))
    }

    /// The status of an attempt's claim.
    ///
    /// Both sides rely on it: the holder starts its call only on
    /// [`ClaimStatus::Won`], and a caller is told "not run" only on
    /// [`ClaimStatus::Voided`].
    pub fn claim_status(&self, team: &str, key: &str, claim_id: &str) -> ClaimStatus {
        if self.is_voided(team, key, claim_id) {
            return ClaimStatus::Voided;
        }
        match self.state(team, key) {
            KeyState::Free => ClaimStatus::Pending,
            KeyState::Running { claim } if claim.id() == claim_id => ClaimStatus::Won,
            KeyState::Ended {
                claim,
                ending,
                status,
                answer,
            } if claim.id() == claim_id => ClaimStatus::Ended {
                ending,
                status,
                answer,
            },
            _ => ClaimStatus::Taken,
        }
    }

    /// The version that a session is bound to.
    pub fn binding(&self, team: &str, session: &str, model: &str) -> Option<&str> {
        let key = (team.to_owned(), session.to_owned(), model.to_owned());
        self.bindings.get(&key).map(|(version, _)| version.as_str())
    }

    /// Removes keys and bindings recorded before `before_ms`, in wall-clock ms
    /// since the Unix epoch.
    ///
    /// `before_ms` must not lie further back than the retention time of the log;
    /// otherwise a reader that starts later would miss keys that older readers
    /// still have.
    pub fn expire(&mut self, before_ms: u64) {
        self.keys.retain(|_, entry| entry.at_ms >= before_ms);
        self.bindings.retain(|_, (_, at_ms)| *at_ms >= before_ms);
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

fn has_newer_format(body: &str) -> bool {
    let value = serde_json::from_str::<serde_json::Value>(body);
    let version = value.ok().and_then(|value| value.get("v")?.as_u64());
    version.is_some_and(|v| v > u64::from(RECORD_VERSION))
}
