//! Whether an answer is so slow that it speaks against the version that gave it.

/// An answer is slow if it takes longer than this multiple of the usual time.
const SLOW_FACTOR: f64 = 4.0;

/// An answer is slow only if it exceeds the usual time by this fraction of its route's
/// latency objective: less than that matters to no caller.
const SLOW_OBJECTIVE_FRACTION: f64 = 0.25;

/// Maximum excess over the usual time that an answer needs to be slow, ms, also
/// if its route promises little.
const SLOW_MARGIN_MAX_MS: f64 = 150.0;

/// Returns whether an answer that took `head_ms` to its head is slow, given the usual
/// time and the route's latency objective, both ms; an objective of zero means none.
pub fn is_slow(head_ms: f64, usual_ms: f64, objective_ms: u64) -> bool {
    let margin_ms = match objective_ms {
        0 => SLOW_MARGIN_MAX_MS,
        ms => (ms as f64 * SLOW_OBJECTIVE_FRACTION).min(SLOW_MARGIN_MAX_MS),
    };
    head_ms > usual_ms * SLOW_FACTOR && head_ms > usual_ms + margin_ms
}
