//! Selects the model size for a request.
//!
//! A small model serves most requests well, but an answer from too small a
//! model has almost no value, and the largest model takes ten times the engine
//! time of the smallest. Always using the largest builds queues at peak load;
//! always using the smallest fails the hard requests. The confidence of the
//! first answer identifies most of the hard ones before any of the answer
//! reaches the caller.

/// Model size of the first attempt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FirstSize {
    /// The cheapest model.
    #[default]
    Smallest,
    /// A model of intermediate size.
    Middle,
    /// The most reliable model.
    Largest,
}

impl FirstSize {
    /// Returns its index in a list of `sizes` models, ordered from smallest to
    /// largest.
    fn index(self, sizes: usize) -> usize {
        match self {
            FirstSize::Smallest => 0,
            FirstSize::Middle => sizes.saturating_sub(1) / 2,
            FirstSize::Largest => sizes.saturating_sub(1),
        }
    }
}

/// Settings that select the first model and the escalation to a larger one.
#[derive(Clone, Copy, Debug)]
pub struct SizeSettings {
    /// Paces of the smallest model, the intermediate ones and the largest:
    /// prefill time per token relative to a model of pace 1.
    pub paces: [f64; 3],
    /// Model size of the first attempt.
    pub first: FirstSize,
    /// Confidence at which an answer is accepted, 0 to 100.
    pub confidence_min: u8,
    /// Fraction of the route's objective after which a larger model's answer
    /// arrives too late to be worth its engine time.
    pub late_fraction: f64,
    /// Minimum time until the deadline for a second attempt, ms.
    pub left_min_ms: u64,
}

impl Default for SizeSettings {
    fn default() -> Self {
        SizeSettings {
            paces: [1.0; 3],
            first: FirstSize::default(),
            confidence_min: 50,
            late_fraction: 1.0,
            left_min_ms: 400,
        }
    }
}

impl SizeSettings {
    /// Returns the pace of the model at index `size` in a list of `sizes`
    /// models.
    pub fn pace(&self, size: usize, sizes: usize) -> f64 {
        let [smallest, middle, largest] = self.paces;
        if size + 1 >= sizes {
            largest
        } else if size == 0 {
            smallest
        } else {
            middle
        }
    }
}

/// Distance below the required confidence within which the next larger model
/// suffices.
const NEAR_MISS_CONFIDENCE: u8 = 12;

/// Returns the index of the model for the first attempt: the configured one, or
/// the largest if the time until the deadline, `left_ms`, is too short for a
/// second attempt.
pub fn first_size(sizes: usize, left_ms: u64, settings: &SizeSettings) -> usize {
    // There is no time for a second attempt, so the most reliable model is used
    // at once.
    if left_ms < settings.left_min_ms {
        return sizes.saturating_sub(1);
    }
    settings.first.index(sizes)
}

/// Returns the index of the model to try after an answer of the model at
/// `index`, or `None` if the answer is accepted, as it is if its confidence is
/// unknown.
///
/// If the confidence is slightly too low, the next larger model suffices. If it
/// is far too low, an intermediate model would probably fail as well, so the
/// largest is used.
pub fn escalation_size(
    index: usize,
    sizes: usize,
    confidence: Option<u8>,
    settings: &SizeSettings,
) -> Option<usize> {
    let last = sizes.saturating_sub(1);
    let confidence = confidence?;
    if index >= last || confidence >= settings.confidence_min {
        return None;
    }
    let near_miss =
        confidence.saturating_add(NEAR_MISS_CONFIDENCE) >= settings.confidence_min;
    Some(if near_miss { index + 1 } else { last })
}

/// Returns whether to request an answer from a larger model that is predicted
/// to arrive `answered_ms` after the request.
///
/// At peak load, a late answer only delays other requests.
pub fn is_worth_escalating(
    answered_ms: u64,
    objective_ms: u64,
    left_ms: u64,
    settings: &SizeSettings,
) -> bool {
    let in_time = answered_ms as f64 <= objective_ms as f64 * settings.late_fraction;
    in_time && left_ms >= settings.left_min_ms
}
