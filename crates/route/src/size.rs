//! Which model size a request is tried with.
//!
//! The load pattern it answers: most requests are served well by a small
//! model, an answer of too small a model is worth next to nothing, and the
//! largest takes ten times the engine time of the smallest.  Always-largest
//! queues at the peak; always-smallest fails the hard ones.  The first answer's
//! own confidence tells most of them apart before a caller has any of it.

/// Which model a request is tried with first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FirstSize {
    /// The cheapest.
    #[default]
    Smallest,
    /// One in between.
    Middle,
    /// The surest.
    Largest,
}

impl FirstSize {
    /// Its place among so many sizes.
    fn index(self, sizes: usize) -> usize {
        match self {
            FirstSize::Smallest => 0,
            FirstSize::Middle => sizes.saturating_sub(1) / 2,
            FirstSize::Largest => sizes.saturating_sub(1),
        }
    }
}

/// What decides which model is asked, and whether another is after it.
#[derive(Clone, Copy, Debug)]
pub struct SizeSettings {
    /// Work of the smallest model, of those in between and of the largest,
    /// relative to a model of pace 1.
    pub paces: [f64; 3],
    /// Model of the first attempt.
    pub first: FirstSize,
    /// Confidence from which an answer is passed on, 0 to 100.
    pub confidence_min: u8,
    /// Part of the objective beyond which a larger model's answer is too late
    /// to be worth its engine's time.
    pub late_fraction: f64,
    /// Time left below which there is no second run, ms.
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
    /// Work of the model `size` of so many, relative to a model of pace 1.
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

/// Confidence by which a little unsure answer may miss what is asked for.
const NEAR_MISS_CONFIDENCE: u8 = 12;

/// Which model of `sizes` a request is tried with first.
pub fn first_size(sizes: usize, left_ms: u64, settings: &SizeSettings) -> usize {
    // With no time for a second run the surest answer is asked for at once.
    if left_ms < settings.left_min_ms {
        return sizes.saturating_sub(1);
    }
    settings.first.index(sizes)
}

/// The size to ask after an answer of size `index`, if it is not good enough.
///
/// A model that is a little unsure was a little too small, so that the next
/// size will do; one that is very unsure would be followed by another that is.
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

/// Whether another answer is worth waiting for, which is predicted to come
/// `answered_ms` after the request did.
///
/// At the peak one that comes too late anyhow only delays others.
pub fn is_worth_escalating(
    answered_ms: u64,
    objective_ms: u64,
    left_ms: u64,
    settings: &SizeSettings,
) -> bool {
    let in_time = answered_ms as f64 <= objective_ms as f64 * settings.late_fraction;
    in_time && left_ms >= settings.left_min_ms
}
