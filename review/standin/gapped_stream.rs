//! Streams whose ids rise by more than one, and a runner that crashes after their first event.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Client, Sent, AT_ONCE};
use crate::deployment::{Deployment, Route, VAM_ROUTAGE};
use crate::http::{write_answer, Request};
use crate::runner::Identity;
use crate::sys::{reset_on_close, SocketSizes};
use crate::{Setup, Verdict};

const RUNNERS: usize = 7;
const CALLERS: usize = 56;

/// Number of streams that may be cut off before the rule is broken.
const ALLOWED: usize = 3;

/// The runner that crashes, one of seven.
const CRASHES: &str = "i-11";

/// Events of a stream; their ids count tokens, of which an event holds four.
const EVENTS: usize = 6;
const STRIDE: usize = 4;

/// Time to the first event, and between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(600);

/// Time after which the runner crashes: each stream has one event then.
const CRASH_AFTER: Duration = Duration::from_millis(900);

const ROUTES: [Route; 1] = [Route {
    prefix: "/draft/",
    service: "drafts",
    fields: r#""kind":"streaming","timeout_ms":20000,"slo_ms":2000,"gap_aim_ms":2000,"priority":2,"max_attempts":3,"sticky":true,"resumable":true"#,
}];

pub fn run(setup: &Setup) -> Verdict {
    let crashed = Arc::new(AtomicBool::new(false));
    let is_crashed = crashed.clone();
    let work = move |own: &Identity, request: &Request, stream: &mut TcpStream| {
        answer(own, request, stream, &|| {
            own.id == CRASHES && is_crashed.load(Ordering::Relaxed)
        })
    };
    let deployment = Deployment::start(setup, &VAM_ROUTAGE, &ROUTES, RUNNERS, work)?;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let front = deployment.gateways[number % 2].front;
        let mut client =
            Client::connect(front, SocketSizes::default(), &deployment.record)?;
        callers.push(std::thread::spawn(move || {
            let prompt = format!("X-Model: m0\r\nX-Token-Usage: 100,24\r\nX-Prompt-Prefix: {number:x}:60,{:x}:40\r\n", number + 1000);
            let mut whole = Vec::new();
            // The first request makes the connection a kept one.
            for turn in ["short", "long"] {
                let id = format!("d{number}-{turn}");
                let path = format!("/draft/{turn}");
                let sent = Sent { id: &id, method: "POST", path: &path, deadline_ms: 20_000, headers: &prompt, body: "x" };
                let answer = client.send(&sent, AT_ONCE)?;
                whole.push((id, answer.is_whole && ids(&answer.body) == expected(turn)));
                if turn == "short" {
                    std::thread::sleep(Duration::from_millis(500));
                }
            }
            io::Result::Ok(whole)
        }));
    }
    if setup.trouble {
        let started = Instant::now();
        while deployment.runs_of("d0-long") == 0
            && started.elapsed() < Duration::from_secs(5)
        {
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(CRASH_AFTER);
        crashed.store(true, Ordering::Relaxed);
        deployment.record.line(format!("crash     {CRASHES}"));
    }
    let mut cut = 0;
    for caller in callers {
        for (id, is_whole) in caller.join().map_err(|_| "a caller failed")?? {
            if !is_whole {
                cut += 1;
                deployment.record.line(format!(
                    "broken    {id} ran at a sound runner and ended without its answer"
                ));
            }
        }
    }
    deployment
        .record
        .line(format!("result    of {CALLERS} streams {cut} ended early"));
    Ok(cut > ALLOWED)
}

/// Returns the ids of a stream's events.
fn ids(body: &[u8]) -> Vec<usize> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

fn expected(turn: &str) -> Vec<usize> {
    let events = if turn == "short" { 1 } else { EVENTS };
    (1..=events).map(|event| event * STRIDE).collect()
}

fn answer(
    own: &Identity,
    request: &Request,
    stream: &mut TcpStream,
    is_crashed: &dyn Fn() -> bool,
) -> io::Result<bool> {
    if is_crashed() {
        reset_on_close(stream);
        return Ok(false);
    }
    let id = request.header("x-request-id").unwrap_or_default();
    let headers = format!("X-Request-Id: {id}\r\nX-Server-Seal: {}.{id}\r\nContent-Type: text/event-stream\r\n", own.id);
    if request.path.ends_with("short") {
        let event = format!("id: {STRIDE}\ndata: token\n\n");
        write_answer(stream, "200 OK", &headers, event.as_bytes())?;
        return Ok(true);
    }
    let last: usize = request
        .header("last-event-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    write!(
        stream,
        "HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n"
    )?;
    for event in last / STRIDE + 1..=EVENTS {
        let until = Instant::now() + EVENT_INTERVAL;
        while Instant::now() < until {
            if is_crashed() {
                reset_on_close(stream);
                return Ok(false);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let event = format!("id: {}\ndata: token\n\n", event * STRIDE);
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}
