//! Streams on engines of different speeds, with simulated time and no network.
//!
//! An engine decodes one token a step for all its streams, and processes a chunk of the
//! waiting prompts between two steps. A chunk of a large model takes longer than ten
//! steps, so that prompts decide when the streams beside them end.

use std::collections::VecDeque;

use catalog::Endpoint;
use clock::Millis;
use gateway::{
    Datagram, LoadAnswer, LoadReport, RunEvent, SpeedAnswer, decode_datagram,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{
    AnnouncedAt, Costs, EngineSpeed, LoadTracker, Pick, PickRequest, Pool, RunKey,
    StepSpeed, StreamStart, TrackedLoad, TrackedLoads, TrackedSpeed, UsualSpeed,
    choose_in_time, digest_text, prefix_digests,
};
use standin::{Action, ScriptedEndpoint};

use crate::{
    load_tracking::start_fleet,
    util::{
        endpoints::endpoint,
        gateway_harness::{GatewayProcess, Reply, TestPlatform, request, send},
    },
};

/// Time of a step without streams at pace 1, ms.
const STEP_MS: f64 = 3.8;

/// Time that each stream adds to a step at pace 1, ms.
const STEP_RUNNING_MS: f64 = 0.09;

/// Prompt tokens that are processed between two steps at most.
const CHUNK_TOKENS: f64 = 4_096.0;

/// Prompt tokens that an engine of usual speed processes per ms at pace 1.
const PREFILL_TOKENS_PER_MS: f64 = 57.0;

/// Paces of the models, the smallest first.
const PACES: [f64; 3] = [0.3, 0.8, 3.0];

/// Share of the requests by model.
const MODEL_SHARES: [f64; 3] = [0.60, 0.20, 0.20];

/// Median of the prompt tokens that no engine has cached, by model.
const PROMPT_TOKENS: [f64; 3] = [2_500.0, 2_500.0, 5_000.0];

/// Slowness of the engines, in turn.
const SLOWNESS: [f64; 3] = [0.7, 0.7, 1.7];

const ENGINES: usize = 24;

/// Median number of output tokens.
const OUTPUT_TOKENS: f64 = 50.0;

/// Maximum number of output tokens that a request names.
const OUTPUT_MAX: u32 = 400;

/// Time from the arrival of a request to its deadline, ms.
const DEADLINE_MS: f64 = 4_000.0;

/// Simulated time, ms; requests of the first tenth are not counted.
const DURATION_MS: f64 = 60_000.0;

/// A request, from its arrival to its last token.
#[derive(Clone, Debug)]
struct Stream {
    number: u64,
    model: usize,
    arrived_ms: f64,
    prompt_left: f64,
    output: u32,
    sent: u32,
    first_ms: f64,
    predicted_ms: f64,
}

/// What an engine reports.
#[derive(Clone, Debug)]
enum Report {
    First(u64, f64),
    Ended(Stream, f64),
}

/// An engine that processes prompts in the order of their arrival.
#[derive(Clone, Debug)]
struct Engine {
    slowness: f64,
    now_ms: f64,
    waiting: VecDeque<Stream>,
    running: Vec<Stream>,
    /// Time spent on prompts and on steps, ms.
    prompt_ms: f64,
    step_ms: f64,
}

impl Engine {
    fn new(slowness: f64) -> Self {
        Engine {
            slowness,
            now_ms: 0.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            prompt_ms: 0.0,
            step_ms: 0.0,
        }
    }

    /// Works until `until_ms`, and to the end of the step or chunk at that time.
    fn advance(&mut self, until_ms: f64, reports: &mut Vec<Report>) {
        while self.now_ms < until_ms {
            if self.waiting.is_empty() && self.running.is_empty() {
                self.now_ms = until_ms;
                return;
            }
            self.step(reports);
            self.chunk();
        }
    }

    fn step(&mut self, reports: &mut Vec<Report>) {
        let paces = self.running.iter().map(|stream| PACES[stream.model]);
        let pace = paces.fold(0.0, f64::max);
        let count = self.running.len() as f64;
        let step_ms = pace * (STEP_MS + STEP_RUNNING_MS * count) * self.slowness;
        self.now_ms += step_ms;
        self.step_ms += step_ms;
        let now_ms = self.now_ms;
        for stream in &mut self.running {
            stream.sent += 1;
            if stream.sent == 1 {
                stream.first_ms = now_ms;
                reports.push(Report::First(stream.number, now_ms));
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|stream: &Stream| stream.sent >= stream.output);
        self.running = running;
        let ended: Vec<Stream> = ended;
        reports.extend(ended.into_iter().map(|s| Report::Ended(s, now_ms)));
    }

    fn chunk(&mut self) {
        let mut room = CHUNK_TOKENS;
        while room > 0.0 {
            let Some(stream) = self.waiting.front_mut() else {
                return;
            };
            let tokens = stream.prompt_left.min(room);
            room -= tokens.max(1.0);
            stream.prompt_left -= tokens;
            let pace = PACES[stream.model];
            let chunk_ms = tokens * pace / PREFILL_TOKENS_PER_MS * self.slowness;
            self.now_ms += chunk_ms;
            self.prompt_ms += chunk_ms;
            if stream.prompt_left <= 0.0
                && let Some(stream) = self.waiting.pop_front()
            {
                self.running.push(stream);
            }
        }
    }
}

/// What differs between two replays.
#[derive(Clone, Copy, Debug)]
struct Setup {
    /// Prompt time of the requests, as a fraction of what the engines can do.
    load: f64,
    slowness: [f64; 3],
    /// Factor of the large model's prompts.
    large_prompts: f64,
    /// Whether the engines' speed is learned.
    learn: bool,
    /// Whether callers estimate the output correctly.
    exact_hints: bool,
    /// Whether streams that would surely end late are sent to a smaller model, or refused.
    refuse: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            load: 0.55,
            slowness: SLOWNESS,
            large_prompts: 1.0,
            learn: false,
            exact_hints: false,
            refuse: false,
        }
    }
}

/// Figures of a replay.
#[derive(Clone, Debug, Default)]
struct Figures {
    streams: usize,
    /// Streams that had not ended at their deadline.
    late: usize,
    arrived: usize,
    /// Requests that were refused, and those sent to a smaller model.
    refused: usize,
    smaller: usize,
    /// Streams that ended, and those that ended late, at engines of each slowness.
    ended_at: [usize; 3],
    late_at: [usize; 3],
    /// Times to the first and the last token, ms, sorted.
    first_ms: Vec<f64>,
    last_ms: Vec<f64>,
    /// Predicted times to the last token relative to the actual ones, sorted.
    errors: Vec<f64>,
    /// Prompts at engines of each slowness.
    prompts: [usize; 3],
    /// Share of the time that the engines spent on prompts, and on steps.
    prompt_share: f64,
    step_share: f64,
}

impl Figures {
    fn late_share(&self) -> f64 {
        self.late as f64 / self.streams.max(1) as f64
    }

    fn late_by_speed(&self) -> [f64; 3] {
        let share = |i: usize| self.late_at[i] as f64 / self.ended_at[i].max(1) as f64;
        [share(0), share(1), share(2)]
    }

    fn text(&self) -> String {
        let at = |times: &[f64], q: f64| times[((times.len() - 1) as f64 * q) as usize];
        format!(
            "streams={} late={:.4} refused={:.4} smaller={:.4} late_by_speed={:.3?} first_p50={:.0} first_p95={:.0} last_p50={:.0} last_p95={:.0} prompts={:?} prompt_share={:.2} step_share={:.2}",
            self.streams,
            self.late_share(),
            self.refused as f64 / self.arrived as f64,
            self.smaller as f64 / self.arrived as f64,
            self.late_by_speed(),
            at(&self.first_ms, 0.5),
            at(&self.first_ms, 0.95),
            at(&self.last_ms, 0.5),
            at(&self.last_ms, 0.95),
            self.prompts,
            self.prompt_share,
            self.step_share,
        )
    }
}

/// Draws from a normal distribution.
fn normal(rng: &mut StdRng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    sum - 6.0
}

fn name(engine: usize) -> String {
    format!("e{engine:02}")
}

/// Replays one load through a tracker that hears of each request.
fn replay(setup: Setup, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|i| Engine::new(setup.slowness[i % 3]))
        .collect();
    let usual = UsualSpeed::default();
    let mut pool = Pool::new(Costs {
        learned: setup.learn.then_some(usual),
        ..Costs::default()
    });
    for i in 0..ENGINES {
        let engine = Endpoint {
            ..endpoint(&name(i))
        };
        pool.announce(engine, AnnouncedAt::default());
    }
    let mut tracker = LoadTracker::new(60.0);
    if setup.learn {
        tracker = tracker.with_speeds(usual);
    }
    let capacity: f64 = engines.iter().map(|engine| 1.0 / engine.slowness).sum();
    let mean_ms: f64 = (0..3)
        .map(|m| {
            let tokens = PROMPT_TOKENS[m] * (0.5_f64 * 0.5 / 2.0).exp();
            MODEL_SHARES[m] * tokens * PACES[m] / PREFILL_TOKENS_PER_MS
        })
        .sum();
    let interval_ms = mean_ms / (capacity * setup.load);
    let mut figures = Figures::default();
    let mut now_ms = 0.0;
    let mut number = 0;
    while now_ms < DURATION_MS {
        now_ms += -(1.0 - rng.random::<f64>()).ln() * interval_ms;
        number += 1;
        for (i, engine) in engines.iter_mut().enumerate() {
            let mut reports = Vec::new();
            engine.advance(now_ms, &mut reports);
            record(&mut tracker, i, reports, &mut figures);
        }
        let draw = rng.random::<f64>();
        let model = match draw {
            d if d < MODEL_SHARES[0] => 0,
            d if d < MODEL_SHARES[0] + MODEL_SHARES[1] => 1,
            _ => 2,
        };
        let factor = if model == 2 { setup.large_prompts } else { 1.0 };
        let tokens = PROMPT_TOKENS[model] * (normal(&mut rng) * 0.5).exp() * factor;
        let output = OUTPUT_TOKENS * (normal(&mut rng) * 0.7).exp();
        let output = output.clamp(2.0, f64::from(OUTPUT_MAX)) as u32;
        // Right at the median and often far off.
        let hint = f64::from(output) * (normal(&mut rng) * 0.7).exp();
        let hint = match setup.exact_hints {
            true => output,
            false => hint.clamp(1.0, f64::from(OUTPUT_MAX)) as u32,
        };
        let parts = prefix_digests([(number, tokens as u32), (number, 1)]);
        let now = Millis(10_000 + now_ms as u64);
        let request_of = |model: usize| PickRequest {
            service: "s",
            failure_domain: "a",
            model: ["m0", "m1", "m2"][model],
            pace: PACES[model],
            parts: &parts,
            tokens_in: tokens as u32,
            expected_output: hint,
            ..PickRequest::default()
        };
        // The requested model, and smaller ones if it would end late.
        let models = (0..=model).rev().take(if setup.refuse { 3 } else { 1 });
        let picks: Vec<(usize, Pick)> = models
            .map(|model| {
                let request = request_of(model);
                let mut loads = TrackedLoads::default();
                for digest in pool.candidates(&request, now) {
                    loads.insert(digest, tracker.load(digest, &[], now));
                }
                let pick = pool.pick_tracked(&request, &loads, now);
                (model, pick.expect("an engine"))
            })
            .collect();
        let whole = picks.iter().map(|(_, pick)| pick.whole_ms.unwrap_or(0));
        let whole: Vec<u64> = whole.collect();
        let chosen = match setup.refuse {
            true => choose_in_time(&whole, DEADLINE_MS as u64),
            false => Some(0),
        };
        let picked = chosen.map(|index| picks[index].clone());
        figures.arrived += 1;
        let Some((chosen_model, pick)) = picked else {
            figures.refused += 1;
            continue;
        };
        figures.smaller += usize::from(chosen_model != model);
        let model = chosen_model;
        let id = pick.endpoint.id.clone();
        let chosen = (0..ENGINES).find(|i| name(*i) == id).expect("a known id");
        let scaled = (tokens * PACES[model]) as u32;
        let start = StreamStart {
            prefill_tokens: scaled,
            prefixes: &[],
            pace: PACES[model],
            expected_output: hint,
            born_ms: 1,
        };
        tracker.record_stream_start(digest_text(&id), key(number), &start, now);
        figures.prompts[chosen % 3] += 1;
        engines[chosen].waiting.push_back(Stream {
            number,
            model,
            arrived_ms: now_ms,
            prompt_left: tokens,
            output,
            sent: 0,
            first_ms: 0.0,
            predicted_ms: pick.whole_ms.unwrap_or(0) as f64,
        });
    }
    for (i, engine) in engines.iter_mut().enumerate() {
        figures.prompt_share += engine.prompt_ms / now_ms / ENGINES as f64;
        figures.step_share += engine.step_ms / now_ms / ENGINES as f64;
        let mut reports = Vec::new();
        engine.advance(DURATION_MS * 3.0, &mut reports);
        record(&mut tracker, i, reports, &mut figures);
    }
    figures.first_ms.sort_by(f64::total_cmp);
    figures.last_ms.sort_by(f64::total_cmp);
    figures.errors.sort_by(f64::total_cmp);
    figures
}

fn key(number: u64) -> RunKey {
    RunKey { sender: 1, number }
}

fn record(
    tracker: &mut LoadTracker,
    engine: usize,
    reports: Vec<Report>,
    figures: &mut Figures,
) {
    let digest = digest_text(&name(engine));
    for report in reports {
        match report {
            Report::First(number, at_ms) => {
                let at = Millis(10_000 + at_ms as u64);
                tracker.record_prefill_end(digest, key(number), at);
            }
            Report::Ended(stream, at_ms) => {
                let took_ms = (at_ms - stream.first_ms) as u32;
                let at = Millis(10_000 + at_ms as u64);
                let tokens = stream.sent - 1;
                tracker.record_stream_end(
                    digest,
                    key(stream.number),
                    tokens,
                    took_ms,
                    at,
                );
                if stream.arrived_ms < DURATION_MS / 10.0 {
                    continue;
                }
                figures.streams += 1;
                let took_ms = at_ms - stream.arrived_ms;
                let late = usize::from(took_ms > DEADLINE_MS);
                figures.late += late;
                figures.ended_at[engine % 3] += 1;
                figures.late_at[engine % 3] += late;
                figures.first_ms.push(stream.first_ms - stream.arrived_ms);
                figures.last_ms.push(took_ms);
                figures.errors.push(stream.predicted_ms / took_ms);
            }
        }
    }
}

/// Guards against a simulation in which streams end late for another reason than those
/// that placement is to mend: the prompts of the large model, and slow engines.
#[test]
fn large_prompts_and_slow_engines_make_streams_late() {
    let usual = replay(Setup::default(), 1);
    let short = Setup {
        large_prompts: 0.1,
        ..Setup::default()
    };
    let short = replay(short, 1);
    println!("usual {}", usual.text());
    println!("short {}", short.text());
    assert!(usual.late_share() > 0.05, "{}", usual.text());
    assert!(short.late_share() < 0.005, "{}", short.text());
    let [fast, _, slow] = usual.late_by_speed();
    assert!(slow > fast * 1.2, "{}", usual.text());
}

/// Guards against a cost that sends streams where prompts or slow engines make them late.
#[test]
fn learned_speed_lets_streams_end_in_time() {
    let learned = Setup {
        learn: true,
        ..Setup::default()
    };
    for seed in [1, 2] {
        let constant = replay(Setup::default(), seed);
        let learned = replay(learned, seed);
        println!("constant {}", constant.text());
        println!("learned {}", learned.text());
        assert!(learned.late_share() < constant.late_share() / 3.0);
    }
}

/// Samples of an engine that is `slowness` times slower than the settings say.
fn learn(speed: &mut EngineSpeed, slowness: f64, count: u64, now: &mut Millis) {
    for number in 0..count {
        let started = *now;
        let prompt_ms = (6_000.0 / 60.0 * slowness) as u64;
        *now = now.plus(prompt_ms);
        speed.count_time(0.0, 0.0, *now);
        speed.record_prefill(6_000.0, started, *now);
        let mark = speed.mark(*now);
        let running = (1 + number % 8) as f64;
        let took_ms = (100.0 * (4.0 + 0.1 * running) * slowness).round();
        *now = now.plus(took_ms as u64);
        speed.count_time(running, 1.0, *now);
        speed.record_stream(mark, 100.0, took_ms, *now);
    }
}

/// Engines of 0.3 to 3 times the usual speed: prompts and tokens are predicted within a
/// tenth after some samples, and one outlier changes little.
#[test]
fn speed_is_learned_from_few_samples_and_one_outlier_is_ignored() {
    let usual = UsualSpeed::default();
    for slowness in [0.3, 0.7, 1.0, 1.7, 3.0] {
        let mut now = Millis(10_000);
        let mut speed = EngineSpeed::new(usual, 1, now);
        learn(&mut speed, slowness, 12, &mut now);
        let near = |value: f64, expected: f64| (value / expected - 1.0).abs() < 0.1;
        let check = |known: TrackedSpeed| {
            assert!(
                near(known.prefill_factor(), slowness),
                "{slowness} {known:?}"
            );
            for running in [1.0, 8.0] {
                let expected_ms = (4.0 + 0.1 * running) * slowness;
                let step_ms = known.step_ms(&usual, running, 1.0);
                assert!(near(step_ms, expected_ms), "{slowness} {running} {known:?}");
            }
        };
        check(speed.known(now));
        learn(&mut speed, slowness * 50.0, 1, &mut now);
        check(speed.known(now));
    }
}

/// One request that waited for a lost packet must not make a new engine look slow.
#[test]
fn first_sample_alone_changes_nothing() {
    let mut now = Millis(10_000);
    let mut speed = EngineSpeed::new(UsualSpeed::default(), 1, now);
    learn(&mut speed, 40.0, 1, &mut now);
    assert_eq!(speed.known(now).prefill_factor(), 1.0);
}

/// Prompts whose prefix is cached take hardly longer than a step, whatever the rate of
/// prefill: they must not make an engine look slow.
#[test]
fn short_prompts_tell_nothing_of_the_rate_of_prefill() {
    let mut now = Millis(10_000);
    let mut speed = EngineSpeed::new(UsualSpeed::default(), 1, now);
    for _ in 0..1_000 {
        let started = now;
        now = now.plus(8);
        speed.record_prefill(20.0, started, now);
    }
    assert_eq!(speed.known(now).prefill_factor(), 1.0);
}

/// Reports are not authenticated: a learned value stays within a tenth and ten times the
/// setting, and any sequence of reports leaves what other gateways accept.
#[test]
fn learned_speed_is_bounded() {
    for slowness in [1e-6, 1e6] {
        let mut now = Millis(10_000);
        let mut speed = EngineSpeed::new(UsualSpeed::default(), 1, now);
        learn(&mut speed, slowness, 20, &mut now);
        let known = speed.known(now);
        assert!(known.is_within_bounds(), "{known:?}");
        assert!((0.1..=10.0).contains(&known.prefill_factor()), "{known:?}");
    }
}

fn start(born_ms: u64) -> StreamStart<'static> {
    StreamStart {
        prefill_tokens: 6_000,
        prefixes: &[],
        pace: 1.0,
        expected_output: 100,
        born_ms,
    }
}

/// A restarted endpoint may be another machine, and one without requests may have
/// recovered: what was learned before would keep requests away from it for ever.
#[test]
fn speed_is_forgotten_at_a_restart_and_without_samples() {
    let mut tracker = LoadTracker::new(60.0).with_speeds(UsualSpeed::default());
    let mut now = Millis(10_000);
    for number in 0..12 {
        tracker.record_stream_start(7, key(number), &start(5), now);
        now = now.plus(300);
        tracker.record_prefill_end(7, key(number), now);
        now = now.plus(1_230);
        tracker.record_stream_end(7, key(number), 100, 1_230, now);
    }
    let slow = tracker.load(7, &[], now).speed;
    assert!((2_700..=3_300).contains(&slow.prefill_milli), "{slow:?}");
    assert!(
        (2_700..=3_300).contains(&slow.steps[0].token_milli),
        "{slow:?}"
    );
    let idle = tracker.load(7, &[], now.plus(60_000)).speed;
    assert_eq!(idle.prefill_milli, 0, "{idle:?}");
    tracker.record_stream_start(7, key(98), &start(4), now);
    let same = tracker.load(7, &[], now).speed;
    assert_eq!(same.prefill_milli, slow.prefill_milli);
    tracker.record_stream_start(7, key(99), &start(6), now);
    let restarted = tracker.load(7, &[], now).speed;
    assert_eq!(restarted.prefill_milli, 1_000, "{restarted:?}");
}

/// Without the setting, nothing is learned and no whole answer is predicted.
#[test]
fn nothing_is_learned_without_the_setting() {
    let mut tracker = LoadTracker::new(60.0);
    tracker.record_stream_start(7, key(1), &start(5), Millis(0));
    tracker.record_prefill_end(7, key(1), Millis(900));
    let load = tracker.load(7, &[], Millis(900));
    assert_eq!(load.speed, TrackedSpeed::default());
}

/// Engines of 0.3 to 3 times the usual speed, from which a third of the time is taken by
/// prompts: the predictions of whole answers must be neither too long nor too short.
#[test]
fn whole_answers_are_predicted_on_engines_of_any_speed() {
    for (load, slowness) in [(0.2, [0.3, 1.0, 3.0]), (0.35, [0.3, 1.0, 3.0])] {
        let setup = Setup {
            load,
            slowness,
            learn: true,
            exact_hints: true,
            ..Setup::default()
        };
        let errors = replay(setup, 1).errors;
        let median = errors[errors.len() / 2];
        let mut sizes: Vec<f64> = errors.iter().map(|e| (e - 1.0).abs()).collect();
        sizes.sort_by(f64::total_cmp);
        let size = sizes[sizes.len() / 2];
        println!("load {load} median {median:.2} size of error {size:.2}");
        assert!((0.8..1.2).contains(&median), "{load} {median}");
        assert!(size < 0.2, "{load} {size}");
    }
}

/// Guards against streams that are started although they cannot end in time, and slow down
/// those that could, and against refusing more than those.
#[test]
fn few_streams_run_into_their_deadline_at_high_load() {
    for seed in [1, 5, 8] {
        let setup = Setup {
            load: 0.8,
            learn: true,
            refuse: true,
            ..Setup::default()
        };
        let figures = replay(setup, seed);
        println!("high {}", figures.text());
        assert!(figures.late_share() < 0.005, "{}", figures.text());
        let refused = figures.refused as f64 / figures.arrived as f64;
        assert!(refused < 0.02, "{}", figures.text());
    }
}

#[test]
fn model_that_ends_in_time_is_chosen() {
    assert_eq!(choose_in_time(&[700, 500, 100], 1_000), Some(0));
    assert_eq!(choose_in_time(&[900, 700, 100], 1_000), Some(1));
    assert_eq!(choose_in_time(&[2_000, 1_200, 1_100], 1_000), Some(2));
    assert_eq!(choose_in_time(&[2_000, 1_300], 1_000), None);
    assert_eq!(choose_in_time(&[], 1_000), None);
}

/// A speed by which everything takes `milli` thousandths of the usual time.
fn told_speed(milli: u32) -> TrackedSpeed {
    let mut speed = TrackedSpeed {
        prefill_milli: milli,
        ..TrackedSpeed::default()
    };
    speed.steps[0] = StepSpeed {
        pace_milli: 1_000,
        token_milli: milli,
        token_running_milli: milli,
    };
    speed
}

/// The tracker of an engine is lost: what it told last holds for some time, until the
/// engine restarts.
#[test]
fn told_speed_holds_while_no_tracker_answers() {
    let mut pool = Pool::new(Costs {
        learned: Some(UsualSpeed::default()),
        ..Costs::default()
    });
    for i in 0..2 {
        pool.announce(endpoint(&name(i)), AnnouncedAt::default());
    }
    let parts = prefix_digests([(1, 3_000), (2, 1_000)]);
    let request = PickRequest {
        service: "s",
        failure_domain: "a",
        pace: 1.0,
        parts: &parts,
        tokens_in: 4_000,
        expected_output: 100,
        ..PickRequest::default()
    };
    let now = Millis(100_000);
    let first = pool.pick(&request, now).expect("an engine").endpoint;
    let usual_ms = pool.pick(&request, now).and_then(|pick| pick.whole_ms);
    pool.set_speed(digest_text(&first.id), told_speed(5_000), now);
    let other = pool.pick(&request, now.plus(1_000)).expect("an engine");
    assert_ne!(other.endpoint.id, first.id, "the slow one was picked");
    let later = pool.pick(&request, now.plus(60_000)).expect("an engine");
    assert_eq!(later.endpoint.id, first.id, "it is tried again");
    let restarted = Endpoint {
        born_ms: 2,
        ..first.clone()
    };
    pool.announce(restarted, AnnouncedAt::default());
    let again = pool.pick(&request, now.plus(1_000)).expect("an engine");
    assert_eq!(again.endpoint.id, first.id, "another machine is not slow");
    assert_eq!(again.whole_ms, usual_ms);
}

/// Without the setting, no gateway predicts whole answers, and what a tracker tells of
/// speeds changes no choice.
#[test]
fn speeds_change_nothing_in_a_pool_that_does_not_learn() {
    let mut pool = Pool::new(Costs::default());
    pool.announce(endpoint("e1"), AnnouncedAt::default());
    let parts = prefix_digests([(1, 3_000), (2, 1_000)]);
    let request = PickRequest {
        service: "s",
        failure_domain: "a",
        pace: 1.0,
        parts: &parts,
        tokens_in: 4_000,
        ..PickRequest::default()
    };
    let now = Millis(100_000);
    let before = pool.pick(&request, now);
    pool.set_speed(digest_text("e1"), told_speed(5_000), now);
    assert_eq!(pool.pick(&request, now), before);
    assert_eq!(before.and_then(|pick| pick.whole_ms), None);
}

/// Datagrams are not authenticated, and gateways of the version before are in the fleet
/// during an upgrade: values out of bounds are rejected, and without the setting an
/// answer is encoded as before.
#[test]
fn speeds_are_bounded_and_sent_apart_from_loads() {
    let load = TrackedLoad {
        running: 3,
        prefill_tokens: 5,
        cached_parts: 1,
        delay_ms: 7,
        speed: told_speed(5_000),
    };
    let answer = LoadAnswer {
        number: 9,
        loads: vec![(8, load)],
    };
    let encode = |datagram: &Datagram| postcard::to_stdvec(datagram).expect("encodes");
    let bytes = encode(&Datagram::LoadAnswer(answer.clone()));
    assert_eq!(bytes, [3, 9, 1, 8, 3, 5, 1, 7]);
    let told = |speeds| {
        let answer = answer.clone();
        encode(&Datagram::SpeedAnswer(SpeedAnswer { answer, speeds }))
    };
    assert!(decode_datagram(&told(vec![told_speed(5_000)])).is_some());
    assert!(decode_datagram(&told(vec![told_speed(10_001)])).is_none());
    assert!(decode_datagram(&told(vec![told_speed(99)])).is_none());
    assert!(decode_datagram(&told(vec![])).is_none());
    let started = |pace_milli, expected_output| {
        let event = RunEvent::StreamStarted {
            tokens: 1,
            prefixes: vec![],
            pace_milli,
            expected_output,
            born_ms: 1,
        };
        let report = LoadReport {
            endpoint: 8,
            key: key(1),
            event,
        };
        decode_datagram(&encode(&Datagram::LoadReport(report)))
    };
    assert!(started(3_000, 400).is_some());
    assert!(started(1_000_001, 400).is_none());
    assert!(started(3_000, 1_000_001).is_none());
}

/// Settings by which a token of the smallest model takes 6 ms; the endpoints of the
/// following tests take 20 ms.
const LEARNING: &str = "[place]\nlearn_speeds = yes\ntoken_us = 20000\n";

/// Tokens that take longer than the route's timeout of 6 s, but not by the settings.
const LONG: u32 = 600;

fn draft_text(id: &str, hint: u32, max: u32) -> String {
    let headers = format!(
        "x-model: *\r\nx-token-usage: 100,{max}\r\nx-length-hint: {hint}\r\nx-prompt-prefix: a1:60,b2:40\r\n"
    );
    request("POST", "/draft/", id, &headers, "x")
}

async fn draft(gateway: &GatewayProcess, id: &str, hint: u32, max: u32) -> Reply {
    send(gateway.callers, &draft_text(id, hint, max)).await
}

/// Sends streams of 30 tokens through all gateways in turn.
async fn send_short(gateways: &[GatewayProcess]) {
    let mut streams = tokio::task::JoinSet::new();
    for number in 0..12 {
        let callers = gateways[number % gateways.len()].callers;
        let text = draft_text(&format!("a{number}"), 30, 100);
        streams.spawn(async move { send(callers, &text).await });
    }
    for reply in streams.join_all().await {
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}

/// A stream that is known to end after its deadline is refused before it runs, and one
/// whose maximum output is short is not, whatever its caller estimates.
#[tokio::test]
async fn stream_that_cannot_end_in_time_is_refused() {
    let platform = TestPlatform::start().await;
    let engine = ScriptedEndpoint::start(Action::Stream(30)).await;
    platform.announce("e1", "engine", &engine);
    let gateway = platform.gateway(LEARNING).await;
    let before = draft(&gateway, "b1", LONG, 1_000).await;
    assert_eq!(before.status, 200, "nothing is known yet: {before:?}");
    send_short(std::slice::from_ref(&gateway)).await;
    let received = engine.received().len();
    let refused = draft(&gateway, "b2", LONG, 1_000).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    gateway.wait_logged("outcome=cannot_end_in_time").await;
    assert_eq!(engine.received().len(), received, "it ran");
    let short = draft(&gateway, "b3", LONG, 40).await;
    assert_eq!(short.status, 200, "{short:?}");
}

/// Without the setting, the estimate of the output changes nothing.
#[tokio::test]
async fn no_stream_is_refused_without_the_setting() {
    let platform = TestPlatform::start().await;
    let engine = ScriptedEndpoint::start(Action::Stream(30)).await;
    platform.announce("e1", "engine", &engine);
    let gateway = platform.gateway("").await;
    send_short(std::slice::from_ref(&gateway)).await;
    let reply = draft(&gateway, "b1", 1_000_000, 1_000_000).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// In a large fleet, each gateway has sent a stream or two, and all know the speed.
#[tokio::test]
async fn speed_is_learned_from_the_requests_of_all_gateways() {
    let platform = TestPlatform::start().await;
    let engine = ScriptedEndpoint::start(Action::Stream(30)).await;
    platform.announce("e1", "engine", &engine);
    let gateways = start_fleet(&platform, LEARNING).await;
    send_short(&gateways).await;
    let received = engine.received().len();
    for (number, gateway) in gateways.iter().enumerate() {
        let refused = draft(gateway, &format!("c{number}"), LONG, 1_000).await;
        assert_eq!(refused.status, 503, "gateway {number}: {refused:?}");
    }
    assert_eq!(engine.received().len(), received, "one ran");
}
