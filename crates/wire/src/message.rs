//! Typed messages, as the daemons see them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// What a process says of itself in a heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hello {
    /// Instance id, new at each start.
    pub instance: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Where peers reach it, `ip:port`; empty if unknown.
    pub address: String,
    /// Next offset of its configuration fold.
    pub config_offset: u64,
    /// Time since it last heard the log, ms.
    pub log_age_ms: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Endpoint beside it; empty for an entry.
    pub endpoint: String,
    /// Plain service behind the endpoint, or empty.
    pub service: String,
    /// Loaded versions, as `model@version`.
    pub versions: Vec<String>,
    /// Attempts under way.
    pub running: u32,
    /// Attempts that wait in the engine.
    pub queued: u32,
    /// Attempts that the engine runs at once.
    pub slots: u32,
    /// Observed time per output token, microseconds.
    pub token_us: u32,
}

/// Name of one attempt.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// Request it belongs to.
    pub request_id: String,
    /// Number under the request, from 1.
    pub attempt: u32,
}

/// Work for an agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub id: AttemptId,
    /// Team of the caller.
    pub team: String,
    /// Model, empty for a plain service.
    pub model: String,
    /// Version, empty for a plain service.
    pub version: String,
    /// Plain service, or empty.
    pub service: String,
    /// Request body for the endpoint, whole.
    pub body: Bytes,
    /// Request path on a plain service.
    pub path: String,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Idempotency key of non-idempotent work.
    pub key: String,
    /// Time left, ms.
    pub deadline_ms: u32,
    /// Sender's configuration offset.
    pub config_offset: u64,
    /// Bill lines of earlier cascade steps, JSON.
    pub prior_steps: String,
    /// Text that the caller has already.
    pub resume_text: String,
    /// Tokens that the caller has already.
    pub resume_tokens: u32,
    /// Engine priority; higher goes first.
    pub priority: u8,
    /// Whether the session started on this version before.
    pub continues: bool,
    /// Instance that answers for the bill.
    pub owner: String,
    /// Price, in millionths of a euro: of 1,000 tokens, or of a service's call.
    pub cost_micros: u64,
}

/// Why an agent refused an attempt, which it then never ran.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Refusal {
    /// Stable code.
    pub reason: String,
    /// What to do about it.
    pub remedy: String,
    /// When to come back, ms; 0 if that does not help.
    pub retry_after_ms: u32,
}

/// An agent's answer to a dispatch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// `None` if the attempt was accepted.
    pub refusal: Option<Refusal>,
    /// Agent's configuration offset.
    pub config_offset: u64,
}

/// What a frame carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FrameKind {
    /// A piece of the answer.
    #[default]
    Chunk,
    /// The end mark of a whole answer.
    End,
    /// The end of an attempt without a whole answer.
    Failed,
}

/// One frame of an attempt's answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Frame {
    /// The attempt.
    pub id: AttemptId,
    /// Number of the frame, from 0.
    pub seq: u32,
    /// What it carries.
    pub kind: FrameKind,
    /// Piece of the answer, or the reason of a failure.
    pub payload: Bytes,
    /// Output tokens in a chunk; in the end mark their sum.
    pub tokens: u32,
    /// Prompt tokens; end mark only.
    pub prompt_tokens: u32,
    /// Chunks before the end mark; end mark only.
    pub count: u32,
    /// Checksum over all payloads; end mark only.
    pub checksum: u64,
    /// HTTP status of the endpoint's answer.
    pub status: u16,
    /// Whether it is the key's earlier answer and nothing ran; end mark only.
    pub replayed: bool,
}

/// Whether a failed attempt ran.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It did not run and will not.
    #[serde(rename = "no")]
    NotRun,
    /// It ran in part; idempotent work only.
    #[serde(rename = "partly")]
    Partial,
    /// It may have run.
    #[default]
    Unknown,
}

/// What a frame of a failed attempt carries.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// Stable code.
    pub reason: String,
    /// What to do about it.
    pub remedy: String,
    /// Whether it ran.
    pub ran: Execution,
    /// When to come back, ms; 0 if that does not help.
    pub retry_after_ms: u32,
}

impl Failure {
    /// The failure as a frame's payload.
    pub fn encode(&self) -> Bytes {
        let body = serde_json::to_vec(self).expect("a failure always encodes");
        Bytes::from(body)
    }

    /// Reads a payload; one that is not a failure may have run.
    pub fn decode(payload: &[u8]) -> Failure {
        serde_json::from_slice(payload).unwrap_or_else(|_| Failure {
            reason: "unreadable_failure".into(),
            remedy: "ask for the request's outcome".into(),
            ..Failure::default()
        })
    }
}

/// State of an attempt at its agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// Never seen there.
    Unseen,
    /// Under way.
    Running,
    /// Ended with a whole answer.
    Done,
    /// Ended without one; the text says why.
    Failed(String),
    /// Refused for good: it did not run and will not.
    Tombstoned,
}

/// Running count and checksum over an attempt's chunks, on both ends.
#[derive(Clone, Debug, Default)]
pub struct StreamChecksum {
    count: u32,
    tokens: u32,
    hash: Sha256,
}

impl StreamChecksum {
    /// Takes the next chunk.
    pub fn push(&mut self, payload: &[u8], tokens: u32) {
        self.count += 1;
        self.tokens += tokens;
        self.hash.update(payload);
    }

    /// Chunks so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Output tokens so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Checksum so far: the head of a SHA-256.
    pub fn checksum(&self) -> u64 {
        let digest = self.hash.clone().finalize();
        let mut head = [0; 8];
        head.copy_from_slice(&digest[..8]);
        u64::from_le_bytes(head)
    }

    /// Whether an end mark fits the chunks that came.
    pub fn matches(&self, end: &Frame) -> bool {
        end.count == self.count && end.checksum == self.checksum()
    }
}
