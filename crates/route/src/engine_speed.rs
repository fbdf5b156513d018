//! Speed of an engine, learned from what became of its requests.
//!
//! The load is streams of several models on engines of different speeds. An engine
//! decodes one token a step for all its streams, and processes the waiting prompts in
//! chunks between the steps, so that a stream lasts longer the more prompts are
//! processed beside it, and the longer a step of the largest model beside it takes. The
//! settings name the usual speed. An engine may be several times slower or faster, and
//! after a restart it may be another machine. See `docs/design/overload.md`.

use std::collections::VecDeque;

use clock::Millis;
use serde::{Deserialize, Serialize};

/// Maximum factor between a learned value and its setting, in both directions.
const FACTOR_MAX: f64 = 10.0;

/// Number of samples that an estimate is made from.
const SAMPLES_MAX: usize = 11;

/// Number of samples of the setting that a new estimate starts with, so that one sample
/// does not change it.
const INITIAL_SAMPLES: usize = 2;

/// Time without samples after which an estimate starts afresh, ms.
const SAMPLES_KEPT_MS: u64 = 30_000;

/// Expected prompt time that makes one sample of the rate of prefill, ms. The time that a
/// short prompt takes consists mostly of steps and the network.
const PREFILL_SAMPLE_MS: f64 = 25.0;

/// Minimum expected time of a prompt that counts toward a sample, ms. What a shorter one
/// takes is mostly the step that it waits for: with its prefix cached, a prompt of 20 tokens
/// would make an engine look ten times slower.
const PREFILL_MIN_MS: f64 = 3.0;

/// Minimum number of output tokens of a stream that makes a sample.
const DECODE_SAMPLE_TOKENS: f64 = 8.0;

/// Maximum share of a stream's time that prompts beside it may have taken if it makes a
/// sample: with more, little of the time is left to measure.
const DECODE_SAMPLE_SHARE_MAX: f64 = 0.8;

/// Difference between the mean and the median of the number of prompts that a stream meets,
/// which is about a third for arrivals at random.
const MEDIAN_SHIFT: f64 = 0.33;

/// Maximum number of paces whose steps are learned.
const PACES_MAX: usize = 4;

/// Maximum deviation of the mean pace in a stream's time from the one at its end, as a
/// fraction, for the stream to tell the time of that pace's steps.
const PACE_DEVIATION_MAX: f64 = 0.1;

/// Minimum difference in running requests between two samples from which the rise of a
/// step's time with them is learned.
const RISE_DIFFERENCE_MIN: f64 = 2.0;

/// Time over which the share of an engine's time that prompts take is averaged, ms.
const PROMPT_SHARE_MS: f64 = 3_000.0;

/// Maximum share of the time that prompts are predicted to take: an engine also decodes
/// while prompts wait.
const PROMPT_SHARE_MAX: f64 = 0.9;

/// Share of the time left within which an answer must be predicted to end for its model to
/// be used: half of the predictions are too low.
const IN_TIME_SHARE: f64 = 0.75;

/// Share of the time left beyond which an answer is not started. It exceeds the time left,
/// since half of the predictions are too high and a refusal is final.
const LATE_SHARE: f64 = 1.25;

/// Whether an answer that is predicted to take `predicted_ms` ends within the time left,
/// allowing for the error of the prediction.
pub fn ends_in_time(predicted_ms: u64, left_ms: u64) -> bool {
    predicted_ms as f64 <= left_ms as f64 * IN_TIME_SHARE
}

/// Chooses among models by the predicted times to the end of their answers, the preferred
/// model first: the first one that ends in time, or the fastest one unless it is well over
/// the time left, `left_ms`. Returns its index, or `None` if no answer would end in time.
pub fn choose_in_time(predicted_ms: &[u64], left_ms: u64) -> Option<usize> {
    let within = |ms: u64, share: f64| ms as f64 <= left_ms as f64 * share;
    let first = predicted_ms
        .iter()
        .position(|ms| within(*ms, IN_TIME_SHARE));
    first.or_else(|| {
        let fastest = predicted_ms.iter().enumerate().min_by_key(|(_, ms)| **ms);
        let (index, ms) = fastest?;
        let is_possible = *ms as f64 <= left_ms as f64 * LATE_SHARE;
        is_possible.then_some(index)
    })
}

/// Speed of engines according to the settings, for a model of pace 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsualSpeed {
    /// Prompt tokens that are processed per ms.
    pub prefill_tokens_per_ms: f64,
    /// Time of a step with no running request, ms.
    pub token_ms: f64,
    /// Time that each running request adds to a step, ms.
    pub token_running_ms: f64,
}

impl Default for UsualSpeed {
    fn default() -> Self {
        UsualSpeed {
            prefill_tokens_per_ms: 60.0,
            token_ms: 4.0,
            token_running_ms: 0.1,
        }
    }
}

/// Time of an engine's steps with models of one pace.
///
/// Encoded with postcard, so the order of the fields is part of the format.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpeed {
    /// The pace, thousandths.
    pub pace_milli: u32,
    /// Time of a step without running requests relative to the setting, thousandths.
    pub token_milli: u32,
    /// Rise of that time with running requests relative to the setting, thousandths.
    pub token_running_milli: u32,
}

/// What is known of an engine's speed and of the streams that run there.
///
/// Encoded with postcard, so the order of the fields is part of the format. Zero stands
/// for the setting in factors.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrackedSpeed {
    /// Time to process prompts relative to the setting, thousandths; more is slower.
    pub prefill_milli: u32,
    /// Time of a step by the largest pace of the running models; unused ones are zero.
    pub steps: [StepSpeed; PACES_MAX],
    /// Largest pace of the running models, thousandths.
    pub pace_milli: u32,
    /// Share of the time that prompts take, thousandths.
    pub prompt_share_milli: u32,
    /// Time of a prompt, averaged over the time that prompts take, ms.
    pub prompt_ms: u32,
    /// Expected output tokens that the running requests still have to send.
    pub remaining_output: u32,
}

/// Maximum mean time of a prompt that is accepted from another gateway, ms.
const PROMPT_MAX_MS: u32 = 3_600_000;

/// Maximum pace of a model that is accepted from another gateway, thousandths.
const PACE_MAX_MILLI: u32 = 1_000_000;

/// Maximum number of expected output tokens that is accepted from another gateway.
const OUTPUT_MAX: u32 = 1_000_000_000;

impl TrackedSpeed {
    /// Whether all values are ones that a gateway may learn.
    pub fn is_within_bounds(&self) -> bool {
        let steps = self.steps.iter();
        let mut factors = steps
            .flat_map(|step| [step.token_milli, step.token_running_milli])
            .chain([self.prefill_milli]);
        let (low, high) =
            ((1_000.0 / FACTOR_MAX) as u32, (1_000.0 * FACTOR_MAX) as u32);
        factors.all(|milli| milli == 0 || (low..=high).contains(&milli))
            && self
                .steps
                .iter()
                .all(|step| step.pace_milli <= PACE_MAX_MILLI)
            && self.pace_milli <= PACE_MAX_MILLI
            && self.prompt_share_milli <= 1_000
            && self.prompt_ms <= PROMPT_MAX_MS
            && self.remaining_output <= OUTPUT_MAX
    }

    /// Returns the factor by which prompts take longer than the setting says.
    pub fn prefill_factor(&self) -> f64 {
        factor(self.prefill_milli)
    }

    /// Predicts the time of one step with `running` requests of the largest pace `pace`,
    /// ms, while no prompt is processed.
    pub fn step_ms(&self, usual: &UsualSpeed, running: f64, pace: f64) -> f64 {
        // Of the paces that are known, the nearest one tells most of another.
        let known = self.steps.iter().filter(|step| step.pace_milli > 0);
        let distance = |step: &StepSpeed| {
            let known_pace = f64::from(step.pace_milli) / 1_000.0;
            (known_pace / pace.max(1e-3)).ln().abs()
        };
        let step = known
            .min_by(|a, b| distance(a).total_cmp(&distance(b)))
            .copied()
            .unwrap_or_default();
        let token_ms = usual.token_ms * factor(step.token_milli);
        let rise_ms = usual.token_running_ms * factor(step.token_running_milli);
        pace * (token_ms + rise_ms * running)
    }

    /// Predicts the time from the first to the last of `output` tokens of a request of
    /// `pace` beside `running` others, ms. Prompts that arrive meanwhile are assumed to
    /// take the share of the time that they took recently; half of the streams meet fewer
    /// prompts than the mean, so the median of that time is predicted.
    pub fn decode_ms(
        &self,
        usual: &UsualSpeed,
        running: f64,
        pace: f64,
        output: f64,
    ) -> f64 {
        let pace = pace.max(f64::from(self.pace_milli) / 1_000.0);
        let share = f64::from(self.prompt_share_milli) / 1_000.0;
        let free = 1.0 - share.min(PROMPT_SHARE_MAX);
        let alone_ms = output * self.step_ms(usual, running + 1.0, pace);
        let prompts_ms = alone_ms / free - alone_ms;
        alone_ms + (prompts_ms - f64::from(self.prompt_ms) * MEDIAN_SHIFT).max(0.0)
    }
}

fn factor(milli: u32) -> f64 {
    match milli {
        0 => 1.0,
        milli => f64::from(milli) / 1_000.0,
    }
}

/// Returns the median; `values` must not be empty.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() % 2 {
        0 => f64::midpoint(values[middle - 1], values[middle]),
        _ => values[middle],
    }
}

/// A factor relative to the setting, as the median of the last samples, which one outlier
/// hardly moves.
#[derive(Clone, Debug)]
struct Factor {
    samples: VecDeque<f64>,
}

impl Default for Factor {
    fn default() -> Self {
        Factor {
            samples: std::iter::repeat_n(1.0, INITIAL_SAMPLES).collect(),
        }
    }
}

impl Factor {
    fn record(&mut self, sample: f64) {
        if !sample.is_finite() {
            return;
        }
        if self.samples.len() >= SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(bounded(sample));
    }

    fn value(&self) -> f64 {
        bounded(median(self.samples.iter().copied().collect()))
    }
}

fn bounded(factor: f64) -> f64 {
    factor.clamp(1.0 / FACTOR_MAX, FACTOR_MAX)
}

/// Time of a step, and its rise with the running requests.
///
/// The rise is the median of the slopes between all pairs of samples, and the time
/// without running requests the median of what is left. One outlier moves neither.
#[derive(Clone, Debug, Default)]
struct StepTime {
    /// Running requests, and the time of a step at pace 1, ms.
    samples: VecDeque<(f64, f64)>,
}

impl StepTime {
    fn record(&mut self, running: f64, token_ms: f64) {
        if !running.is_finite() || !token_ms.is_finite() {
            return;
        }
        if self.samples.len() >= SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back((running, token_ms));
    }

    /// Returns the factors of the time without running requests and of the rise.
    fn factors(&self, usual: &UsualSpeed) -> (f64, f64) {
        let expected_ms =
            |running: f64| usual.token_ms + usual.token_running_ms * running;
        let ratios = self
            .samples
            .iter()
            .map(|(running, token_ms)| token_ms / expected_ms(*running));
        let initial = std::iter::repeat_n(1.0, INITIAL_SAMPLES);
        let overall = bounded(median(ratios.chain(initial).collect()));
        let pairs = self.samples.iter().enumerate().flat_map(|(i, first)| {
            self.samples
                .iter()
                .skip(i + 1)
                .map(move |second| (first, second))
        });
        let slopes: Vec<f64> = pairs
            .filter(|(a, b)| (a.0 - b.0).abs() >= RISE_DIFFERENCE_MIN)
            .map(|(a, b)| (a.1 - b.1) / (a.0 - b.0))
            .collect();
        // Less than half of the pairs show the rise: the load hardly changed.
        let pairs_max = self.samples.len() * self.samples.len().saturating_sub(1) / 2;
        if self.samples.len() < SAMPLES_MAX || slopes.len() * 2 < pairs_max {
            return (overall, overall);
        }
        // The noise of single streams must not turn into a rise of its own.
        let rise = bounded(median(slopes) / usual.token_running_ms)
            .clamp(overall / 3.0, overall * 3.0);
        let rise = bounded(rise);
        let rest = self.samples.iter().map(|(running, token_ms)| {
            (token_ms - rise * usual.token_running_ms * running) / usual.token_ms
        });
        (bounded(median(rest.collect())), rise)
    }
}

/// Where an engine's counts stood when a stream began.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamMark {
    at: Millis,
    steps: f64,
    running_ms: f64,
    pace_ms: f64,
    prompt_ms: f64,
}

/// Speed of one engine, from all requests that are reported.
#[derive(Clone, Debug)]
pub struct EngineSpeed {
    usual: UsualSpeed,
    born_ms: u64,
    last_sample: Millis,
    prefill: Factor,
    /// Time of the steps, by the largest pace of the running models, thousandths.
    steps_by_pace: Vec<(u32, StepTime)>,
    /// Prompt time expected by the settings, and actual time, of prompts that do not make
    /// up a sample yet, ms.
    prompts_expected_ms: f64,
    prompts_took_ms: f64,
    last_prefill_end: Millis,
    /// Time up to which the counts below are kept.
    counted: Millis,
    /// Steps that the engine would have made at the usual speed without prompts.
    steps: f64,
    /// Sum of the running requests over time, ms.
    running_ms: f64,
    /// Sum of the largest pace over time, ms.
    pace_ms: f64,
    /// Largest pace in the time that was counted last.
    pace: f64,
    /// Expected time of all processed prompts by the settings, ms.
    prompt_ms: f64,
    /// Sums of the time of prompts and of its square, which fade.
    prompt_sum_ms: f64,
    prompt_square_ms: f64,
    /// Average of the time that prompts took, as a share of the time.
    prompt_share: f64,
    share_updated: Millis,
}

impl EngineSpeed {
    /// Creates the speed of the incarnation `born_ms` of an engine, of which only the
    /// settings are known.
    pub fn new(usual: UsualSpeed, born_ms: u64, now: Millis) -> Self {
        EngineSpeed {
            usual,
            born_ms,
            last_sample: now,
            prefill: Factor::default(),
            steps_by_pace: Vec::new(),
            prompts_expected_ms: 0.0,
            prompts_took_ms: 0.0,
            last_prefill_end: now,
            counted: now,
            steps: 0.0,
            running_ms: 0.0,
            pace_ms: 0.0,
            pace: 0.0,
            prompt_ms: 0.0,
            prompt_sum_ms: 0.0,
            prompt_square_ms: 0.0,
            prompt_share: 0.0,
            share_updated: now,
        }
    }

    /// Returns the start time of the incarnation, ms since the Unix epoch.
    pub fn born_ms(&self) -> u64 {
        self.born_ms
    }

    /// Whether there was no sample for so long that the speed is no longer known.
    pub fn is_outdated(&self, now: Millis) -> bool {
        now.since(self.last_sample) >= SAMPLES_KEPT_MS
    }

    /// Counts the time since the last call, in which `running` requests were decoded, the
    /// largest of pace `pace`.
    pub fn count_time(&mut self, running: f64, pace: f64, now: Millis) {
        let elapsed_ms = now.since(self.counted) as f64;
        self.counted = self.counted.max(now);
        if running > 0.0 && pace > 0.0 {
            let usual = &self.usual;
            let step_ms = pace * (usual.token_ms + usual.token_running_ms * running);
            self.steps += elapsed_ms / step_ms;
            self.running_ms += elapsed_ms * running;
            self.pace_ms += elapsed_ms * pace;
            self.pace = pace;
        }
    }

    /// Records that the engine has processed a prompt of `tokens`, scaled by pace, that
    /// was sent at `started`.
    pub fn record_prefill(&mut self, tokens: f64, started: Millis, now: Millis) {
        let expected_ms = tokens / self.usual.prefill_tokens_per_ms;
        self.prompt_ms += expected_ms;
        let elapsed_ms = now.since(self.share_updated) as f64;
        let faded = (-elapsed_ms / PROMPT_SHARE_MS).exp();
        let took_ms = expected_ms * self.prefill.value();
        self.prompt_share = self.prompt_share * faded + took_ms / PROMPT_SHARE_MS;
        self.prompt_sum_ms = self.prompt_sum_ms * faded + took_ms;
        self.prompt_square_ms = self.prompt_square_ms * faded + took_ms * took_ms;
        self.share_updated = self.share_updated.max(now);
        // Prompts are processed in the order of their arrival, so this one was begun
        // after the one before.
        let begun = started.max(self.last_prefill_end);
        self.last_prefill_end = self.last_prefill_end.max(now);
        if expected_ms < PREFILL_MIN_MS {
            return;
        }
        // Includes the steps between its chunks, which also delay the prompts behind it.
        self.prompts_expected_ms += expected_ms;
        self.prompts_took_ms += now.since(begun) as f64;
        if self.prompts_expected_ms >= PREFILL_SAMPLE_MS {
            let sample = self.prompts_took_ms / self.prompts_expected_ms;
            self.prefill.record(sample);
            self.last_sample = now;
            self.prompts_expected_ms = 0.0;
            self.prompts_took_ms = 0.0;
        }
    }

    /// Returns the mark of a stream that begins now.
    pub fn mark(&self, now: Millis) -> StreamMark {
        StreamMark {
            at: now,
            steps: self.steps,
            running_ms: self.running_ms,
            pace_ms: self.pace_ms,
            prompt_ms: self.prompt_ms,
        }
    }

    /// Predicts how many tokens a stream has sent that began at `mark`; `known` is what
    /// is known of the speed.
    pub fn sent_since(
        &self,
        mark: StreamMark,
        known: &TrackedSpeed,
        now: Millis,
    ) -> f64 {
        let elapsed_ms = now.since(mark.at) as f64;
        let counted_ms = self.counted.since(mark.at) as f64;
        if counted_ms < 1.0 || self.pace <= 0.0 {
            return 0.0;
        }
        let steps = (self.steps - mark.steps) * elapsed_ms / counted_ms;
        let free = 1.0 - self.prompt_share.min(PROMPT_SHARE_MAX);
        let usual_ms = TrackedSpeed::default().step_ms(&self.usual, 1.0, self.pace);
        let step_ms = known.step_ms(&self.usual, 1.0, self.pace);
        steps * free * usual_ms / step_ms
    }

    /// Records a stream that sent `tokens` in `took_ms` after its first one, which
    /// arrived at `mark`.
    pub fn record_stream(
        &mut self,
        mark: StreamMark,
        tokens: f64,
        took_ms: f64,
        now: Millis,
    ) {
        let counted_ms = now.since(mark.at) as f64;
        if tokens < DECODE_SAMPLE_TOKENS || took_ms < 1.0 || counted_ms < 1.0 {
            return;
        }
        let prompt_ms = (self.prompt_ms - mark.prompt_ms) * self.prefill.value();
        let share = prompt_ms / counted_ms;
        if share > DECODE_SAMPLE_SHARE_MAX {
            return;
        }
        let steps = (self.steps - mark.steps) * took_ms / counted_ms;
        let running = (self.running_ms - mark.running_ms) / counted_ms;
        let mean_pace = (self.pace_ms - mark.pace_ms) / counted_ms;
        if self.pace <= 0.0 || (mean_pace / self.pace - 1.0).abs() > PACE_DEVIATION_MAX
        {
            return;
        }
        let usual = &self.usual;
        let usual_ms = usual.token_ms + usual.token_running_ms * running;
        let token_ms = usual_ms * steps * (1.0 - share) / tokens;
        let pace_milli = (self.pace * 1_000.0).round() as u32;
        let mut known = self.steps_by_pace.iter();
        let is_new = !known.any(|(pace, _)| *pace == pace_milli);
        if is_new && self.steps_by_pace.len() < PACES_MAX {
            self.steps_by_pace.push((pace_milli, StepTime::default()));
        }
        let mut known = self.steps_by_pace.iter_mut();
        if let Some((_, step)) = known.find(|(pace, _)| *pace == pace_milli) {
            step.record(running, token_ms);
            self.last_sample = now;
        }
    }

    /// Returns what is known of the speed. The running requests are the caller's to add.
    pub fn known(&self, now: Millis) -> TrackedSpeed {
        if self.is_outdated(now) {
            return TrackedSpeed::default();
        }
        let milli = |value: f64| (value * 1_000.0).round() as u32;
        let mut steps = [StepSpeed::default(); PACES_MAX];
        for (known, (pace_milli, step)) in steps.iter_mut().zip(&self.steps_by_pace) {
            let (token, token_running) = step.factors(&self.usual);
            *known = StepSpeed {
                pace_milli: *pace_milli,
                token_milli: milli(token),
                token_running_milli: milli(token_running),
            };
        }
        let elapsed_ms = now.since(self.share_updated) as f64;
        let mean_ms = self.prompt_square_ms / self.prompt_sum_ms.max(1.0);
        let share = self.prompt_share * (-elapsed_ms / PROMPT_SHARE_MS).exp();
        TrackedSpeed {
            prefill_milli: milli(self.prefill.value()),
            steps,
            prompt_ms: (mean_ms as u32).min(PROMPT_MAX_MS),
            prompt_share_milli: milli(share.min(1.0)),
            ..TrackedSpeed::default()
        }
    }
}
