//! Typed messages of the calls between processes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// State that a process reports in a heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hello {
    /// Instance id, regenerated at each start.
    pub instance: String,
    /// Failure domain; `room` in the schema.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Address that peers connect to, `ip:port`; empty if unknown.
    pub address: String,
    /// Next offset that it reads from the configuration stream.
    pub config_offset: u64,
    /// Time since its last successful read of the log, in milliseconds.
    pub log_age_ms: u64,
    /// Whether it is shutting down and accepts no new work.
    pub draining: bool,
    /// Endpoint that an agent serves; empty for an entry.
    pub endpoint: String,
    /// Plain service behind the endpoint; empty for models.
    pub service: String,
    /// Loaded versions, in the form `model@version`.
    pub versions: Vec<String>,
    /// Attempts that are running.
    pub running: u32,
    /// Attempts in the engine's queue.
    pub queued: u32,
    /// Maximum number of attempts that the engine runs concurrently.
    pub slots: u32,
    /// Measured time per output token, in microseconds.
    pub token_us: u32,
}

/// Identifies one attempt of a request.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId {
    /// Request that the attempt serves.
    pub request_id: String,
    /// Number of the attempt within the request, from 1.
    pub attempt: u32,
}

/// An attempt that an entry offers to an agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Dispatch {
    /// Attempt to run.
    pub id: AttemptId,
    /// Caller's team.
    pub team: String,
    /// Model; empty for a plain service.
    pub model: String,
    /// Model version; empty for a plain service.
    pub version: String,
    /// Plain service; empty for a model.
    pub service: String,
    /// Complete request body for the endpoint.
    pub body: Bytes,
    /// Request path at a plain service.
    pub path: String,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Idempotency key of non-idempotent work.
    pub key: String,
    /// Time until the request's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Configuration offset of the sender.
    pub config_offset: u64,
    /// Bill lines of earlier cascade steps, as JSON.
    pub prior_lines: String,
    /// Text already delivered to the caller, from which generation resumes.
    pub resume_text: String,
    /// Number of tokens already delivered to the caller.
    pub resume_tokens: u32,
    /// Scheduling priority in the engine; higher values run first.
    pub priority: u8,
    /// Whether the request continues a session that started on this version.
    pub continues: bool,
    /// Instance that is responsible for the bill.
    pub owner: String,
    /// Price in micro-euros: per 1,000 tokens for a model, per call for a service.
    pub cost_micros: u64,
}

/// Refusal of an attempt, which the agent then never runs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Refusal {
    /// Stable refusal code.
    pub reason: String,
    /// Suggested remedy.
    pub remedy: String,
    /// Delay before a retry, in milliseconds; 0 if a retry does not help.
    pub retry_after_ms: u32,
}

/// An agent's reply to a dispatch.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// `None` if the attempt was accepted.
    pub refusal: Option<Refusal>,
    /// Configuration offset of the agent.
    pub config_offset: u64,
}

/// Kind of a frame.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FrameKind {
    /// Part of the response.
    #[default]
    Chunk,
    /// End of a complete response.
    End,
    /// End of an attempt that failed.
    Failed,
}

/// One frame of an attempt's response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Frame {
    /// Attempt that the frame belongs to.
    pub id: AttemptId,
    /// Sequence number, from 0.
    pub seq: u32,
    /// Kind of the frame.
    pub kind: FrameKind,
    /// Part of the response, or an encoded [`Failure`].
    pub payload: Bytes,
    /// Output tokens in a chunk; their total in an end frame.
    pub tokens: u32,
    /// Prompt tokens; end frame only.
    pub prompt_tokens: u32,
    /// Number of chunks before the end frame; end frame only.
    pub count: u32,
    /// Checksum over all chunk payloads; end frame only.
    pub checksum: u64,
    /// HTTP status of the endpoint's response; end frame only.
    pub status: u16,
    /// Whether this is the stored response of the idempotency key, without a new
    /// run; end frame only.
    pub replayed: bool,
}

/// Whether a failed attempt ran.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It did not run and never will.
    #[serde(rename = "no")]
    NotRun,
    /// It ran in part; idempotent work only.
    #[serde(rename = "partly")]
    Partial,
    /// It may have run.
    #[default]
    Unknown,
}

/// Payload of a [`FrameKind::Failed`] frame.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// Stable error code.
    pub reason: String,
    /// Suggested remedy.
    pub remedy: String,
    /// Whether the attempt ran.
    pub ran: Execution,
    /// Delay before a retry, in milliseconds; 0 if a retry does not help.
    pub retry_after_ms: u32,
}

impl Failure {
    /// Encodes the failure as a frame payload.
    pub fn encode(&self) -> Bytes {
        let body =
            serde_json::to_vec(self).expect("a failure can be serialized as JSON");
        Bytes::from(body)
    }

    /// Decodes a frame payload.  If it is malformed, the attempt may have run.
    pub fn decode(payload: &[u8]) -> Failure {
        serde_json::from_slice(payload).unwrap_or_else(|_| Failure {
            reason: "unreadable_failure".into(),
            remedy: "ask for the request's outcome".into(),
            ..Failure::default()
        })
    }
}

/// State of an attempt as its agent knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptState {
    /// The agent never received it.
    Unseen,
    /// It is running.
    Running,
    /// It ended with a complete response.
    Done,
    /// It ended without a complete response, for the given reason.
    Failed(String),
    /// It was refused permanently: it did not run and never will.
    Tombstoned,
}

/// Running count and checksum over an attempt's chunks.  The sender writes
/// the result into the end frame, and the receiver verifies it.
#[derive(Clone, Debug, Default)]
pub struct StreamChecksum {
    count: u32,
    tokens: u32,
    hash: Sha256,
}

impl StreamChecksum {
    /// Adds the next chunk.
    pub fn push(&mut self, payload: &[u8], tokens: u32) {
        self.count += 1;
        self.tokens += tokens;
        self.hash.update(payload);
    }

    /// Number of chunks added.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Sum of the output tokens of the added chunks.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The first 8 bytes of the SHA-256 over all payloads, little-endian.
    pub fn checksum(&self) -> u64 {
        let digest = self.hash.clone().finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        u64::from_le_bytes(prefix)
    }

    /// Whether the count and checksum of an end frame match the added chunks.
    pub fn matches(&self, end: &Frame) -> bool {
        end.count == self.count && end.checksum == self.checksum()
    }
}
