//! A runner that runs a part of its requests and then fails them with 503.

use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::{Client, Sent, AT_ONCE};
use crate::deployment::{Deployment, Route, PCANT_RUTA_GROWN};
use crate::http::{write_answer, Request};
use crate::runner::Identity;
use crate::sys::SocketSizes;
use crate::{Setup, Verdict};

/// Number of runners; one of them, 12.5 in 100, fails requests.
const RUNNERS: usize = 8;
const GREY: &str = "i-11";

/// Of ten requests, this many fail there.
const FAILS_OF_TEN: u32 = 4;

const CALLERS: usize = 42;
const BOOKINGS_EACH: usize = 20;

/// Time between two bookings of a caller.
const INTERVAL: Duration = Duration::from_millis(150);

/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(60);

const ROUTES: [Route; 1] = [Route {
    prefix: "/book/",
    service: "ledger",
    fields: r#""kind":"unsafe","timeout_ms":4000,"slo_ms":300,"priority":2,"max_attempts":1,"sticky":false,"resumable":false"#,
}];

/// Statuses that promise that the request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(setup: &Setup) -> Verdict {
    let trouble = setup.trouble;
    let taken = AtomicU32::new(0);
    let work = move |own: &Identity, request: &Request, stream: &mut TcpStream| {
        let turn = match own.id.as_str() {
            GREY => taken.fetch_add(1, Ordering::Relaxed) % 10,
            _ => 10,
        };
        answer(own, request, stream, trouble && turn < FAILS_OF_TEN)
    };
    let deployment =
        Deployment::start(setup, &PCANT_RUTA_GROWN, &ROUTES, RUNNERS, work)?;
    let callers: Vec<JoinHandle<io::Result<Vec<(String, u16)>>>> = (0..CALLERS)
        .map(|number| {
            let front = deployment.gateways[number % 2].front;
            let record = deployment.record.clone();
            std::thread::spawn(move || {
                let mut answers = Vec::new();
                let mut client =
                    Client::connect(front, SocketSizes::default(), &record)?;
                for booking in 0..BOOKINGS_EACH {
                    // A caller sends a booking once more if it is told that it has not run.
                    for attempt in 1..=2 {
                        let id = format!("b{number}-{booking}-{attempt}");
                        let sent = Sent {
                            id: &id,
                            method: "POST",
                            path: "/book/points",
                            deadline_ms: 4000,
                            headers: "",
                            body: "points=1",
                        };
                        let status = client.send(&sent, AT_ONCE)?.status;
                        answers.push((id, status));
                        if !PROMISES.contains(&status) {
                            break;
                        }
                        client =
                            Client::connect(front, SocketSizes::default(), &record)?;
                    }
                    std::thread::sleep(INTERVAL);
                }
                Ok(answers)
            })
        })
        .collect();
    let (mut sent, mut refused, mut refused_and_run, mut twice) = (0, 0, 0, 0);
    for caller in callers {
        let answers = caller.join().map_err(|_| "a caller failed")??;
        for (id, status) in answers {
            sent += 1;
            if !PROMISES.contains(&status) {
                continue;
            }
            refused += 1;
            let again = id.replace("-1", "-2");
            if deployment.runs_of(&id) > 0 {
                refused_and_run += 1;
                twice +=
                    u32::from(id.ends_with("-1") && deployment.runs_of(&again) > 0);
                deployment
                    .record
                    .line(format!("broken    {id} ran and was answered {status}"));
            }
        }
    }
    deployment.record.line(format!(
        "result    of {sent} bookings {refused} were told that they have not run, {refused_and_run} of them had; {twice} were sent once more and ran again"
    ));
    Ok(refused_and_run > 0)
}

fn answer(
    own: &Identity,
    request: &Request,
    stream: &mut TcpStream,
    fails: bool,
) -> io::Result<bool> {
    std::thread::sleep(WORK);
    let id = request.header("x-request-id").unwrap_or_default();
    let headers = format!("X-Request-Id: {id}\r\nX-Server-Seal: {}.{id}\r\n", own.id);
    // No `X-Not-Executed`: the booking has run.
    let (status, body) = match fails {
        true => ("503 Service Unavailable", "booked, but the receipt failed"),
        false => ("200 OK", "booked"),
    };
    write_answer(stream, status, &headers, body.as_bytes())?;
    Ok(true)
}
