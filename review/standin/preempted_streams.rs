//! Streams of a low priority that engines preempt while many urgent requests run.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::client::{Answer, Client, Sent, AT_ONCE};
use crate::deployment::{Deployment, Route, VAM_ROUTAGE};
use crate::http::{write_answer, Request};
use crate::record::Record;
use crate::runner::Identity;
use crate::sys::SocketSizes;
use crate::{Setup, Verdict};

/// Callers of notes, all at the first gateway, and of dossiers, all at the second.
const NOTES: usize = 24;
const DOSSIERS: usize = 12;

/// What the burst adds: with it there are 1.7 times as many dossiers.
const FURTHER_DOSSIERS: usize = 8;

/// Number of streams that may be cut off before the rule is broken.
const ALLOWED: usize = 3;

const RUNNERS: usize = 2;

/// Tokens that fit into an engine, and that it prefills in a millisecond.
const MEMORY_TOKENS: u32 = 565_878;
const PREFILL_TOKENS_PER_MS: f64 = 63.9;

/// Prompts: of a note the mean of the sheet, of a dossier its longest one.
const NOTE_TOKENS: u32 = 350 + 1_110;
const DOSSIER_TOKENS: u32 = 13_300 + 53_200;

const NOTE_EVENTS: usize = 120;
const DOSSIER_EVENTS: usize = 100;

/// Time between two events of a stream that runs.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Interval at which a stream looks whether it is preempted.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time before the first note: the gateways then have their whole budget of retries.
const WARM_UP: Duration = Duration::from_secs(10);

/// Time from the notes to the dossiers.
const NOTES_LEAD: Duration = Duration::from_millis(1500);

const ROUTES: [Route; 3] = [
    Route {
        prefix: "/book/",
        service: "ledger",
        fields: r#""kind":"unsafe","timeout_ms":1000,"slo_ms":100,"priority":2,"max_attempts":1,"sticky":false,"resumable":false"#,
    },
    Route {
        prefix: "/dossier/",
        service: "drafts",
        fields: r#""kind":"streaming","timeout_ms":15000,"slo_ms":2000,"gap_aim_ms":1000,"priority":0,"max_attempts":3,"sticky":true,"resumable":true"#,
    },
    Route {
        prefix: "/note/",
        service: "drafts",
        fields: r#""kind":"streaming","timeout_ms":15000,"slo_ms":4000,"gap_aim_ms":1000,"priority":2,"max_attempts":3,"sticky":true,"resumable":true"#,
    },
];

/// Requests at one engine, by priority and arrival, with their tokens.
type Engine = Mutex<BTreeMap<(u8, u64), u32>>;

pub fn run(setup: &Setup) -> Verdict {
    let engines: Arc<Mutex<BTreeMap<String, Arc<Engine>>>> = Arc::default();
    let work = move |own: &Identity, request: &Request, stream: &mut TcpStream| {
        let engine = engines
            .lock()
            .unwrap()
            .entry(own.id.clone())
            .or_default()
            .clone();
        answer(own, &engine, request, stream)
    };
    let deployment = Deployment::start(setup, &VAM_ROUTAGE, &ROUTES, RUNNERS, work)?;
    let (first, second) = (deployment.gateways[0].front, deployment.gateways[1].front);
    std::thread::sleep(WARM_UP);
    let mut notes = Vec::new();
    for number in 0..NOTES {
        notes.push(note(number, first, &deployment.record)?);
    }
    std::thread::sleep(NOTES_LEAD);
    let mut dossiers = Vec::new();
    let further = if setup.trouble { FURTHER_DOSSIERS } else { 0 };
    deployment.record.line(format!(
        "burst     of {further} dossiers on top of {DOSSIERS}"
    ));
    for number in 0..DOSSIERS + further {
        dossiers.push(dossier(number, second, &deployment.record)?);
    }
    let mut cut = 0;
    for note in notes {
        let answer = note.join().map_err(|_| "a caller failed")??;
        cut += usize::from(!answer.is_whole);
    }
    let mut late = 0;
    for dossier in dossiers {
        let answer = dossier.join().map_err(|_| "a caller failed")??;
        late += usize::from(!answer.is_whole);
    }
    deployment.record.line(format!(
        "result    {cut} of {NOTES} notes were cut off while their runners were sound; of the dossiers {late}"
    ));
    Ok(cut > ALLOWED)
}

type Caller = JoinHandle<io::Result<Answer>>;

/// Sends a quick booking and then a request for a note, on one connection.
fn note(number: usize, front: SocketAddr, record: &Record) -> io::Result<Caller> {
    let mut client = Client::connect(front, SocketSizes::default(), record)?;
    Ok(std::thread::spawn(move || {
        let before = Sent {
            id: &format!("n{number}-before"),
            method: "POST",
            path: "/book/cover",
            deadline_ms: 1000,
            headers: "",
            body: "cover=1",
        };
        client.send(&before, AT_ONCE)?;
        let headers = prompt(NOTE_TOKENS, NOTE_EVENTS, 0xa0, 0x1000 + number);
        let sent = Sent {
            id: &format!("n{number}"),
            path: "/note/catalogue",
            deadline_ms: 15_000,
            headers: &headers,
            ..before
        };
        client.send(&sent, AT_ONCE)
    }))
}

fn dossier(number: usize, front: SocketAddr, record: &Record) -> io::Result<Caller> {
    let mut client = Client::connect(front, SocketSizes::default(), record)?;
    Ok(std::thread::spawn(move || {
        let headers = prompt(
            DOSSIER_TOKENS,
            DOSSIER_EVENTS,
            0xd0 + number,
            0x2000 + number,
        );
        let sent = Sent {
            id: &format!("d{number}"),
            method: "POST",
            path: "/dossier/complete",
            deadline_ms: 15_000,
            headers: &headers,
            body: "x",
        };
        client.send(&sent, AT_ONCE)
    }))
}

/// Returns the headers of a prompt with a shared part and one of its own.
fn prompt(tokens: u32, events: usize, shared: usize, own: usize) -> String {
    let shared_tokens = tokens / 5;
    format!(
        "X-Model: m0\r\nX-Token-Usage: {tokens},{}\r\nX-Prompt-Prefix: {shared:x}:{shared_tokens},{own:x}:{}\r\n",
        events * 4,
        tokens - shared_tokens
    )
}

/// A request at an engine, which leaves it when dropped.
struct Running<'a> {
    engine: &'a Engine,
    key: (u8, u64),
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.engine.lock().unwrap().remove(&self.key);
    }
}

impl Running<'_> {
    /// Whether the request fits beside all that are more urgent or older.
    fn is_admitted(&self) -> bool {
        let requests = self.engine.lock().unwrap();
        let ahead = requests.range(..=self.key).map(|(_, tokens)| tokens);
        ahead.sum::<u32>() <= MEMORY_TOKENS
    }
}

fn answer(
    own: &Identity,
    engine: &Engine,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let id = request.header("x-request-id").unwrap_or_default();
    let headers = format!("X-Request-Id: {id}\r\nX-Server-Seal: {}.{id}\r\n", own.id);
    if own.service == "ledger" {
        write_answer(stream, "200 OK", &headers, b"booked")?;
        return Ok(true);
    }
    let number = |name: &str| {
        request
            .header(name)
            .and_then(|text| text.split(',').next()?.parse::<u32>().ok())
    };
    let tokens = number("x-token-usage").unwrap_or(0);
    let priority = number("x-request-priority").unwrap_or(5) as u8;
    let last = number("last-event-id").unwrap_or(0) as usize;
    let events = if request.path.starts_with("/note/") {
        NOTE_EVENTS
    } else {
        DOSSIER_EVENTS
    };
    let running = {
        let mut requests = engine.lock().unwrap();
        let arrival = requests
            .keys()
            .map(|(_, arrival)| arrival + 1)
            .max()
            .unwrap_or(0);
        requests.insert((priority, arrival), tokens);
        Running {
            engine,
            key: (priority, arrival),
        }
    };
    let mut left =
        Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MS / 1000.0);
    stream.set_nonblocking(true)?;
    for event in last..=events {
        while !left.is_zero() || !running.is_admitted() {
            if has_left(stream) {
                return Ok(false);
            }
            let started = Instant::now();
            let admitted = running.is_admitted();
            std::thread::sleep(left.min(CHECK_INTERVAL).max(Duration::from_millis(1)));
            if admitted {
                left = left.saturating_sub(started.elapsed());
            }
        }
        stream.set_nonblocking(false)?;
        if event == last {
            write!(stream, "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        } else {
            let text = format!("id: {event}\ndata: four tokens\n\n");
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
        }
        stream.set_nonblocking(true)?;
        left = if event == last {
            Duration::ZERO
        } else {
            EVENT_INTERVAL
        };
    }
    stream.set_nonblocking(false)?;
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Whether the gateway has closed the connection.
fn has_left(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
