//! Asks the gateways that keep track of endpoints for their load, and tells them of
//! requests.
//!
//! Each endpoint is tracked by one gateway, chosen by rendezvous hashing among those
//! that were heard recently. Nothing here is repeated: a lost question leaves what this
//! gateway knows itself, and a lost report expires. See [`route::LoadTracker`].

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use clock::Millis;
use owner::{Answered, OpenQuestions, Outcome};
use rand::RngExt;
use route::{
    LoadTracker, PeerCoverage, PickRequest, Pool, RunKey, StreamStart, TrackedLoads,
    UsualSpeed,
};
use tokio::net::UdpSocket;

use crate::{
    datagram::{Datagram, LoadAnswer, LoadQuestion, LoadReport, RunEvent, SpeedAnswer},
    state::Gateway,
};

/// Time for which answers are awaited, ms; several times a round trip between two
/// failure domains, and short against any objective of a streaming route.
const ANSWER_TIMEOUT_MS: u64 = 10;

/// State of the exchange with trackers.
#[derive(Debug)]
pub(crate) struct LoadExchange {
    /// Endpoints that this gateway tracks.
    pub tracker: RefCell<LoadTracker>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Random number of this process.
    sender: u64,
    last_run: Cell<u64>,
    questions: OpenQuestions<TrackedLoads>,
}

impl LoadExchange {
    /// Creates the state; endpoints' speed is learned if `learned` tells the usual one.
    pub fn new(prefill_tokens_per_ms: f64, learned: Option<UsualSpeed>) -> Self {
        let mut tracker = LoadTracker::new(prefill_tokens_per_ms);
        if let Some(usual) = learned {
            tracker = tracker.with_speeds(usual);
        }
        LoadExchange {
            tracker: RefCell::new(tracker),
            socket: RefCell::default(),
            sender: rand::rng().random(),
            last_run: Cell::default(),
            questions: OpenQuestions::default(),
        }
    }

    /// Sets the socket that datagrams are sent from.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Returns the key of a new run.
    pub fn next_run(&self) -> RunKey {
        let number = self.last_run.get() + 1;
        self.last_run.set(number);
        RunKey {
            sender: self.sender,
            number,
        }
    }
}

impl Gateway {
    /// Whether endpoints are tracked by single gateways: in a small fleet all gateways
    /// tell each other everything.
    fn tracks_loads(&self) -> bool {
        self.peers.borrow().coverage() == PeerCoverage::Partial
    }

    /// Whether the speed of engines is learned.
    pub fn learns_speeds(&self) -> bool {
        self.settings.routing.learn_speeds
    }

    /// Asks for the load of the endpoints that may get a request; empty if there is no
    /// need to, or if nobody answers in time.
    pub async fn ask_loads(&self, request: &PickRequest<'_>) -> TrackedLoads {
        if request.parts.is_empty() || !self.tracks_loads() {
            return TrackedLoads::default();
        }
        let now = self.now();
        let candidates = self.pool.borrow().candidates(request, now);
        let prefixes = Pool::shared_prefixes(request);
        let mut loads = TrackedLoads::default();
        let mut by_tracker: HashMap<SocketAddr, Vec<u64>> = HashMap::new();
        for endpoint in candidates {
            match self.peers.borrow().tracker(endpoint, now) {
                Some(peer) => by_tracker.entry(peer).or_default().push(endpoint),
                None => {
                    let tracker = self.load.tracker.borrow();
                    loads.insert(endpoint, tracker.load(endpoint, &prefixes, now));
                }
            }
        }
        if by_tracker.is_empty() {
            return loads;
        }
        let questions = &self.load.questions;
        let question = questions.ask(loads, by_tracker.len(), ANSWER_TIMEOUT_MS);
        for (peer, endpoints) in by_tracker {
            let asked = LoadQuestion {
                number: question.number(),
                endpoints,
                prefixes: prefixes.clone(),
            };
            self.send_now(peer, &Datagram::LoadQuestion(asked));
        }
        let (loads, result) = match question.wait(tokio::time::sleep).await {
            Outcome::Complete(loads) => (loads, "answered"),
            Outcome::Expired(loads) => (loads, "timeout"),
        };
        self.stats.count("load_questions", result);
        loads
    }

    /// Answers a peer's question.
    pub fn answer_load_question(&self, from: SocketAddr, question: &LoadQuestion) {
        let now = self.now();
        let tracker = self.load.tracker.borrow();
        let loads = question.endpoints.iter().map(|endpoint| {
            let load = tracker.load(*endpoint, &question.prefixes, now);
            (*endpoint, load)
        });
        let answer = LoadAnswer {
            number: question.number,
            loads: loads.collect(),
        };
        if !self.learns_speeds() {
            self.send_now(from, &Datagram::LoadAnswer(answer));
            return;
        }
        let speeds = answer.loads.iter().map(|(_, load)| load.speed).collect();
        let told = SpeedAnswer { answer, speeds };
        self.send_now(from, &Datagram::SpeedAnswer(told));
    }

    /// Records an answer with speeds, which are also kept for the time in which no tracker
    /// answers.
    pub fn record_speed_answer(&self, told: &SpeedAnswer) {
        let now = self.now();
        let mut answer = told.answer.clone();
        for ((endpoint, load), speed) in answer.loads.iter_mut().zip(&told.speeds) {
            load.speed = *speed;
            self.pool.borrow_mut().set_speed(*endpoint, *speed, now);
        }
        self.record_load_answer(&answer);
    }

    /// Records an answer, unless nobody waits for it any more.
    pub fn record_load_answer(&self, answer: &LoadAnswer) {
        let loads = answer.loads.iter().copied();
        let add = |known: &mut TrackedLoads| known.extend(loads);
        if self.load.questions.answer(answer.number, add) == Answered::Late {
            self.stats.count("load_questions", "late_answer");
        }
    }

    /// Tells the tracker of `endpoint` what happened to one of its runs.
    pub fn report_run(&self, endpoint: u64, key: RunKey, event: RunEvent) {
        let tracks_loads = self.tracks_loads();
        if !tracks_loads && !self.learns_speeds() {
            return;
        }
        let now = self.now();
        let report = LoadReport {
            endpoint,
            key,
            event,
        };
        if !tracks_loads {
            // In a small fleet each gateway learns from its own requests.
            self.record_load_report(&report, now);
            let speed = self.load.tracker.borrow().load(endpoint, &[], now).speed;
            self.pool.borrow_mut().set_speed(endpoint, speed, now);
            return;
        }
        let tracker = self.peers.borrow().tracker(endpoint, now);
        match tracker {
            Some(peer) => self.send_now(peer, &Datagram::LoadReport(report)),
            None => self.record_load_report(&report, now),
        }
    }

    /// Records what happened to a run at an endpoint that this gateway tracks.
    pub fn record_load_report(&self, report: &LoadReport, now: Millis) {
        let mut tracker = self.load.tracker.borrow_mut();
        let (endpoint, key) = (report.endpoint, report.key);
        match &report.event {
            RunEvent::Started { tokens, prefixes } => {
                tracker.record_start(endpoint, key, *tokens, prefixes, now);
            }
            RunEvent::PrefillEnded => {
                tracker.record_prefill_end(endpoint, key, now);
            }
            RunEvent::Ended => tracker.record_end(endpoint, key),
            RunEvent::StreamStarted {
                tokens,
                prefixes,
                pace_milli,
                expected_output,
                born_ms,
            } => {
                let start = StreamStart {
                    prefill_tokens: *tokens,
                    prefixes,
                    pace: f64::from(*pace_milli) / 1_000.0,
                    expected_output: *expected_output,
                    born_ms: *born_ms,
                };
                tracker.record_stream_start(endpoint, key, &start, now);
            }
            RunEvent::StreamEnded { events, events_ms } => {
                tracker.record_stream_end(endpoint, key, *events, *events_ms, now);
            }
        }
    }

    /// Sends a datagram without waiting; one that cannot be sent now is dropped.
    pub fn send_now(&self, to: SocketAddr, datagram: &Datagram) {
        let socket = self.load.socket.borrow();
        let Some(socket) = socket.as_ref() else {
            return;
        };
        let sent = postcard::to_stdvec(datagram)
            .is_ok_and(|bytes| socket.try_send_to(&bytes, to).is_ok());
        if !sent {
            self.stats.count("peer_words", "send_failed");
        }
    }
}
