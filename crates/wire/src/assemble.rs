//! Puts an attempt's frames in order and tells when the answer is whole.

use std::collections::BTreeMap;

use crate::{AttemptId, Frame, FrameKind, StreamChecksum};

/// Frames ahead of a missing one that are kept.
const AHEAD_MAX: usize = 256;

/// What a frame brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Assembled {
    /// These chunks, next in order; none if the frame came early or twice.
    Chunks(Vec<Frame>),
    /// These last chunks, and the end mark of an answer that is whole.
    Complete(Vec<Frame>, Frame),
    /// The attempt failed after these chunks.
    Failed(Vec<Frame>, Frame),
    /// The end mark does not fit the chunks, or too many are missing.
    Corrupt,
}

/// Orders the frames of one attempt.
///
/// A frame of another attempt, or one that came before, changes nothing.  Only
/// an end mark whose count and checksum fit makes an answer whole.
#[derive(Clone, Debug)]
pub struct Assembler {
    id: AttemptId,
    checker: StreamChecksum,
    ahead: BTreeMap<u32, Frame>,
}

impl Assembler {
    /// An assembler for one attempt.
    pub fn new(id: AttemptId) -> Self {
        Assembler {
            id,
            checker: StreamChecksum::default(),
            ahead: BTreeMap::new(),
        }
    }

    /// Takes the next frame that arrived.
    pub fn push(&mut self, frame: Frame) -> Assembled {
        if frame.id != self.id || frame.seq < self.checker.count() {
            return Assembled::Chunks(Vec::new());
        }
        self.ahead.insert(frame.seq, frame);
        let mut chunks = Vec::new();
        while let Some(frame) = self.ahead.remove(&self.checker.count()) {
            match frame.kind {
                FrameKind::Chunk => {
                    self.checker.push(&frame.payload, frame.tokens);
                    chunks.push(frame);
                }
                FrameKind::End if self.checker.matches(&frame) => {
                    return Assembled::Complete(chunks, frame);
                }
                FrameKind::End => return Assembled::Corrupt,
                FrameKind::Failed => return Assembled::Failed(chunks, frame),
            }
        }
        if self.ahead.len() > AHEAD_MAX {
            return Assembled::Corrupt;
        }
        Assembled::Chunks(chunks)
    }
}
