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

/// Confidence by which a little unsure answer may miss what is asked for.
const LITTLE_UNSURE: u8 = 12;

/// What is known of a request when the head of an answer came.
#[derive(Clone, Copy, Debug)]
pub struct SizeInput<'a> {
    /// Place of the model that answered among the sizes.
    pub index: usize,
    /// The model's own opinion, 0 to 100.
    pub confidence: Option<u8>,
    /// Time since the request's first byte, ms.
    pub elapsed_ms: u64,
    /// Time until its deadline, ms.
    pub left_ms: u64,
    /// Objective of its route, ms.
    pub objective_ms: u64,
    /// Predicted time to a first event of each size, ms.
    pub predicted_ms: &'a [u64],
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
/// A model that is a little unsure was a little too small, so that the next
/// size will do; one that is very unsure would be followed by another that is.
/// At the peak an answer that comes too late anyhow only delays others: then
/// a smaller one that comes in time is asked for, or none.
pub fn judge_size(input: &SizeInput<'_>, settings: &SizeSettings) -> SizeChoice {
    let last = input.predicted_ms.len().saturating_sub(1);
    let confidence = input.confidence.unwrap_or(100);
    let sure = confidence >= settings.confidence_min;
    if input.index >= last || sure || input.left_ms < settings.left_min_ms {
        return SizeChoice::Keep;
    }
    let next = input.index + 1;
    let little = confidence.saturating_add(LITTLE_UNSURE) >= settings.confidence_min;
    let wanted = if little { next } else { last };
    let late_ms = input.objective_ms as f64 * settings.late;
    let in_time =
        |size: &usize| (input.elapsed_ms + input.predicted_ms[*size]) as f64 <= late_ms;
    let sizes = (next..=wanted).rev();
    sizes
        .into_iter()
        .find(in_time)
        .map_or(SizeChoice::Keep, SizeChoice::Ask)
}
