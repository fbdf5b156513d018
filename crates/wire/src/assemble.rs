//! Reorders an attempt's frames and detects when the response is complete.

use std::collections::BTreeMap;

use crate::{AttemptId, Frame, FrameKind, StreamChecksum};

/// Maximum number of frames that are buffered behind a missing one.
const BUFFERED_FRAMES_MAX: usize = 256;

/// Result of adding a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Assembled {
    /// The next chunks in order; empty if the frame arrived early or is a
    /// duplicate.
    Chunks(Vec<Frame>),
    /// The last chunks and the end frame of a complete response.
    Complete(Vec<Frame>, Frame),
    /// The last chunks and the failure frame of a failed attempt.
    Failed(Vec<Frame>, Frame),
    /// The end frame does not match the chunks, or more than 256 frames arrived
    /// ahead of a missing one.
    Corrupt,
}

/// Reorders the frames of one attempt.
///
/// Frames of other attempts and duplicates are ignored.  A response is complete
/// only once an end frame with a matching count and checksum arrives.
#[derive(Clone, Debug)]
pub struct Assembler {
    id: AttemptId,
    checksum: StreamChecksum,
    /// Frames that arrived before an earlier one, by sequence number.
    pending: BTreeMap<u32, Frame>,
}

impl Assembler {
    /// Creates an assembler for one attempt.
    pub fn new(id: AttemptId) -> Self {
        Assembler {
            id,
            checksum: StreamChecksum::default(),
            pending: BTreeMap::new(),
        }
    }

    /// Adds a received frame.
    pub fn push(&mut self, frame: Frame) -> Assembled {
        if frame.id != self.id || frame.seq < self.checksum.count() {
            return Assembled::Chunks(Vec::new());
        }
        self.pending.insert(frame.seq, frame);
        let mut chunks = Vec::new();
        while let Some(frame) = self.pending.remove(&self.checksum.count()) {
            match frame.kind {
                FrameKind::Chunk => {
                    self.checksum.push(&frame.payload, frame.tokens);
                    chunks.push(frame);
                }
                FrameKind::End if self.checksum.matches(&frame) => {
                    return Assembled::Complete(chunks, frame);
                }
                FrameKind::End => return Assembled::Corrupt,
                FrameKind::Failed => return Assembled::Failed(chunks, frame),
            }
        }
        if self.pending.len() > BUFFERED_FRAMES_MAX {
            return Assembled::Corrupt;
        }
        Assembled::Chunks(chunks)
    }
}
