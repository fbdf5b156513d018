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
use route::{LoadTracker, PeerCoverage, PickRequest, Pool, RunKey, TrackedLoads};
use tokio::net::UdpSocket;

use crate::{
    datagram::{Datagram, LoadAnswer, LoadQuestion, LoadReport, RunEvent},
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
    pub fn new(prefill_tokens_per_ms: f64) -> Self {
        let tracker = LoadTracker::new(prefill_tokens_per_ms);
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
        self.send_now(from, &Datagram::LoadAnswer(answer));
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
        if !self.tracks_loads() {
            return;
        }
        let now = self.now();
        let report = LoadReport {
            endpoint,
            key,
            event,
        };
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
