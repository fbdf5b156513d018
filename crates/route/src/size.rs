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
    /// Part of the objective beyond which a larger model's answer is too late
    /// to be worth its engine's time.
    pub late: f64,
    /// Time left below which there is no second run, ms.
    pub left_min_ms: u64,
}

impl Default for SizeSettings {
    fn default() -> Self {
        SizeSettings {
            confidence_min: 50,
            late: 1.0,
            left_min_ms: 400,
        }
    }
}

/// What is known of a request when the head of an answer came.
#[derive(Clone, Copy, Debug)]
pub struct SizeInput {
    /// Place of the model that answered among the sizes.
    pub index: usize,
    /// How many sizes there are.
    pub sizes: usize,
    /// The model's own opinion, 0 to 100.
    pub confidence: Option<u8>,
    /// Time since the request's first byte, ms.
    pub elapsed_ms: u64,
    /// Time until its deadline, ms.
    pub left_ms: u64,
    /// Objective of its route, ms.
    pub objective_ms: u64,
    /// Predicted time to a first event of the largest model, ms.
    pub predicted_ms: u64,
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

/// Whether an answer is good enough, or another is worth asking for.
///
/// The middle size is passed over: where the smallest is unsure, it is too
/// often unsure as well, and each run costs one of the attempts.
pub fn judge_size(input: &SizeInput, settings: &SizeSettings) -> SizeChoice {
    let last = input.sizes.saturating_sub(1);
    let confidence = input.confidence;
    let sure = confidence.is_none_or(|c| c >= settings.confidence_min);
    if input.index >= last || sure || input.left_ms < settings.left_min_ms {
        return SizeChoice::Keep;
    }
    let answered_ms = (input.elapsed_ms + input.predicted_ms) as f64;
    // At the peak an answer that comes too late anyhow only delays others.
    if answered_ms > input.objective_ms as f64 * settings.late {
        return SizeChoice::Keep;
    }
    SizeChoice::Ask(last)
}
