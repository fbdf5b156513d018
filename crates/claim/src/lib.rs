//! Claims on non-idempotent work and session bindings, folded from the log.
//!
//! A non-idempotent call may start only after its claim stands on the log and
//! was read back as the first for its key.  Claims never pass to another
//! holder, so a paused holder cannot be overtaken; a caller may be told "not
//! run" only if a void stands before the claim, or the holder says so.  See
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

/// Format of the records this build writes and the newest that it reads.
const RECORD_VERSION: u32 = 1;

/// Partition that holds a team's key, out of `partitions`.
///
/// Team and key are digested with their lengths, so that no two pairs share a
/// text by accident.
pub fn partition(team: &str, key: &str, partitions: u32) -> u32 {
    let mut hash = Sha256::new();
    hash.update((team.len() as u64).to_le_bytes());
    hash.update(team);
    hash.update(key);
    let digest = hash.finalize();
    let head = u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]]);
    head % partitions.max(1)
}

/// One holder's wish to run a key's call.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Team of the caller; keys of different teams never meet.
    pub team: String,
    /// Idempotency key, or the request id where the caller gave none.
    pub key: String,
    /// Request that the claim is for.
    pub request_id: String,
    /// Instance that would run the call; a restart makes a new one.
    pub holder: String,
    /// Attempt under the request.
    pub attempt: u32,
}

impl Claim {
    /// Name of the claim, by which it can be voided.
    pub fn id(&self) -> String {
        claim_id(&self.request_id, self.attempt)
    }
}

/// Name of the claim that an attempt would make.
pub fn claim_id(request_id: &str, attempt: u32) -> String {
    format!("{request_id}#{attempt}")
}

/// How a claimed call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// It ran, and the endpoint answered.
    Done,
    /// The holder gave it up before it started.
    NotRun,
    /// It started, and what became of it is not known.
    Unknown,
}

/// What a record of the stream says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEvent {
    /// Claims a key.
    Claim(Claim),
    /// Forbids an attempt's claim, if it does not stand yet.
    Void {
        /// Team of the caller.
        team: String,
        /// Key of the request.
        key: String,
        /// Claim that is given up, see [`claim_id`].
        claim_id: String,
    },
    /// Tells how the winner's call ended.
    Ended {
        /// Team of the caller.
        team: String,
        /// Key of the call.
        key: String,
        /// Holder that ran it.
        holder: String,
        /// How it ended.
        ending: Ending,
        /// HTTP status of the answer.
        status: u16,
        /// The answer, if it is small enough to keep for repeats.
        answer: String,
    },
    /// Binds a session to a version.
    Bind {
        /// Team of the caller.
        team: String,
        /// Session's name.
        session: String,
        /// Model of the session.
        model: String,
        /// Version it started on.
        version: String,
    },
}

/// One append: several holders' events share it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Record format.
    pub v: u32,
    /// Wall-clock time of the writer, ms since 1970.
    pub at_ms: u64,
    /// What happened, in order.
    pub events: Vec<ClaimEvent>,
}

impl ClaimRecord {
    /// A record of several events.
    pub fn new(at_ms: u64, events: Vec<ClaimEvent>) -> Self {
        ClaimRecord {
            v: RECORD_VERSION,
            at_ms,
            events,
        }
    }

    /// A record of one claim.
    pub fn claim(at_ms: u64, claim: Claim) -> Self {
        Self::new(at_ms, vec![ClaimEvent::Claim(claim)])
    }

    /// The record as one line of JSON.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a claim record always encodes")
    }
}

/// Where a key stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyState {
    /// Nobody claimed it.
    Free,
    /// This claim won; its call may have started.
    Running {
        /// The winning claim.
        claim: Claim,
    },
    /// The winner's call ended.
    Ended {
        /// The winning claim.
        claim: Claim,
        /// How it ended.
        ending: Ending,
        /// HTTP status of the answer.
        status: u16,
        /// The answer, empty if it was too large to keep.
        answer: String,
    },
}

/// Where one attempt's claim stands, as far as the reader has read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStatus {
    /// Neither it nor another claim on the key was read.
    Unseen,
    /// It can never win any more: its call did not run and will not.
    Voided,
    /// It won; its holder may start the call, or has.
    Won,
    /// It won, and its call ended so.
    Ended {
        /// How it ended.
        ending: Ending,
        /// HTTP status of the answer.
        status: u16,
        /// The answer, empty if it was too large to keep.
        answer: String,
    },
    /// Another claim has the key.
    Taken,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct KeyEntry {
    claim: Option<Claim>,
    ending: Option<(Ending, u16, String)>,
    voided: Vec<String>,
    at_ms: u64,
}

/// Key of the tables: team and name.
type TeamKey = (String, String);

/// The fold of one partition of the claim stream.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    /// Next offset to fold.
    pub offset: u64,
    keys: HashMap<TeamKey, KeyEntry>,
    bindings: BTreeMap<(String, String, String), (String, u64)>,
    /// Offset of a record from a newer build, at which the fold stopped.
    pub blocked_at: Option<u64>,
}

impl Claims {
    /// Folds the record at `offset`; one that was folded already is passed
    /// over, and one that is cut short is skipped alike by every reader.
    pub fn apply(&mut self, offset: u64, body: &str) {
        if offset < self.offset || self.blocked_at.is_some() {
            return;
        }
        let parsed = serde_json::from_str::<ClaimRecord>(body);
        match parsed {
            Ok(record) if record.v == RECORD_VERSION => self.fold(record),
            Ok(_) => {
                self.blocked_at = Some(offset);
                return;
            }
            Err(_) if is_newer(body) => {
                self.blocked_at = Some(offset);
                return;
            }
            Err(_) => {}
        }
        self.offset = offset + 1;
    }

    fn fold(&mut self, record: ClaimRecord) {
        for event in record.events {
            self.fold_event(event, record.at_ms);
        }
    }

    fn fold_event(&mut self, event: ClaimEvent, at_ms: u64) {
        match event {
            ClaimEvent::Claim(claim) => self.fold_claim(claim, at_ms),
            ClaimEvent::Void {
                team,
                key,
                claim_id,
            } => {
                let entry = self.entry(team, key, at_ms);
                let stands = entry.claim.as_ref().is_some_and(|c| c.id() == claim_id);
                if !stands && !entry.voided.contains(&claim_id) {
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
                    // The holder never started, so the key is free again.
                    let claim = entry.claim.take().expect("the holder won it");
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

    fn fold_claim(&mut self, claim: Claim, at_ms: u64) {
        let entry = self.entry(claim.team.clone(), claim.key.clone(), at_ms);
        let voided = entry.voided.contains(&claim.id());
        if entry.claim.is_none() && !voided {
            entry.claim = Some(claim);
            entry.at_ms = at_ms;
        }
    }

    fn entry(&mut self, team: String, key: String, at_ms: u64) -> &mut KeyEntry {
        let fresh = || KeyEntry {
            claim: None,
            ending: None,
            voided: Vec::new(),
            at_ms,
        };
        self.keys.entry((team, key)).or_insert_with(fresh)
    }

    /// Where a key stands.
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

    /// Whether a claim can never win its key any more.
    pub fn is_voided(&self, team: &str, key: &str, claim_id: &str) -> bool {
        let entry = self.keys.get(&(team.to_owned(), key.to_owned()));
        entry.is_some_and(|entry| entry.voided.iter().any(|id| id == claim_id))
    }

    /// Where an attempt's claim stands.  Both sides go by this: the holder
    /// starts its call only on [`ClaimStatus::Won`], and a caller is told "not
    /// run" only on [`ClaimStatus::Voided`].
    pub fn claim_status(&self, team: &str, key: &str, claim_id: &str) -> ClaimStatus {
        if self.is_voided(team, key, claim_id) {
            return ClaimStatus::Voided;
        }
        match self.state(team, key) {
            KeyState::Free => ClaimStatus::Unseen,
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

    /// Version that a session is bound to.
    pub fn binding(&self, team: &str, session: &str, model: &str) -> Option<&str> {
        let key = (team.to_owned(), session.to_owned(), model.to_owned());
        self.bindings.get(&key).map(|(version, _)| version.as_str())
    }

    /// Forgets keys and bindings older than `before_ms`, wall-clock.
    ///
    /// The window must be no longer than the log keeps records, or a fresh
    /// reader would know less than an old one.
    pub fn expire(&mut self, before_ms: u64) {
        self.keys.retain(|_, entry| entry.at_ms >= before_ms);
        self.bindings.retain(|_, (_, at_ms)| *at_ms >= before_ms);
    }

    /// How many keys the fold holds.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

fn is_newer(body: &str) -> bool {
    let value = serde_json::from_str::<serde_json::Value>(body);
    let version = value.ok().and_then(|value| value.get("v")?.as_u64());
    version.is_some_and(|v| v > u64::from(RECORD_VERSION))
}
