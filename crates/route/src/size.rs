//! Which model size a request is tried with.
//!
//! The load pattern it answers: most requests are served well by a small
//! model, an answer of too small a model is worth next to nothing, and the
//! largest takes ten times the engine time of the smallest.  Always-largest
//! queues at the peak; always-smallest fails the hard ones.  The first answer's
//! own confidence tells most of them apart before a caller has any of it.

/// What decides after an answer's head arrived.
#[derive(Clone, Copy, Debug)]
pub struct SizeSettings {
    /// Confidence from which an answer is passed on, 0 to 100.
    pub confidence_min: u8,
    /// Time left that a second run must have, as a multiple of the time that
    /// the first took to its head.
    pub left_min_ms: u64,
}

impl Default for SizeSettings {
    fn default() -> Self {
        SizeSettings {
            confidence_min: 50,
            left_min_ms: 400,
        }
    }
}

/// What to do with an answer whose head came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SizeChoice {
    /// Pass it on.
    Keep,
    /// Drop it and ask the model of this index.
    Ask(usize),
}

/// Which model of `sizes` a request is tried with first.
pub fn first_size(sizes: usize, left_ms: u64, settings: &SizeSettings) -> usize {
    // With no time for a second run the surest answer is asked for at once.
    if left_ms < settings.left_min_ms {
        return sizes.saturating_sub(1);
    }
    0
}

/// Whether the answer of model `index` of `sizes` is good enough.
///
/// The middle size is passed over: where the smallest is unsure, it is too
/// often unsure as well, and each run costs one of the attempts.
pub fn judge_size(
    index: usize,
    sizes: usize,
    confidence: Option<u8>,
    left_ms: u64,
    settings: &SizeSettings,
) -> SizeChoice {
    let last = sizes.saturating_sub(1);
    let sure = confidence.is_none_or(|c| c >= settings.confidence_min);
    if index >= last || sure || left_ms < settings.left_min_ms {
        return SizeChoice::Keep;
    }
    SizeChoice::Ask(last)
}
