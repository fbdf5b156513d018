//! Callers that read their answers slowly, within their deadlines.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::client::{Client, Pace, Sent, AT_ONCE};
use crate::deployment::{Deployment, Route, PCANT_RUTA_GROWN};
use crate::http::{write_answer, Request};
use crate::record::Record;
use crate::runner::Identity;
use crate::sys::SocketSizes;
use crate::{Setup, Verdict};

/// Number of callers of each kind, half of them at each gateway.
const CALLERS: usize = 8;

/// Number of answers that may be cut off before the rule is broken.
const ALLOWED: usize = 3;

const ROUTES: [Route; 2] = [
    Route {
        prefix: "/book/",
        service: "ledger",
        fields: r#""kind":"unsafe","timeout_ms":4000,"slo_ms":300,"priority":2,"max_attempts":1,"sticky":false,"resumable":false"#,
    },
    Route {
        prefix: "/draft/",
        service: "drafts",
        fields: r#""kind":"streaming","timeout_ms":20000,"slo_ms":2000,"gap_aim_ms":2000,"priority":2,"max_attempts":3,"sticky":true,"resumable":true"#,
    },
];

/// Size of an answer to a booking, bytes: the largest one of the sheet.
const BOOKING_BYTES: usize = 4800;

/// A stream of the sheet: its largest number of events, and the largest size of one.
const EVENTS: usize = 120;
const EVENT_BYTES: usize = 300;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// A caller of bookings: it reads nothing for most of its time.
const BOOKING_PACE: Pace = Pace {
    stop: Duration::from_millis(3500),
    ..AT_ONCE
};
const BOOKING_SIZES: SocketSizes = SocketSizes {
    receive_buffer: 2048,
    segment: 0,
};

/// A caller of drafts: it reads some events, is busy with them, and reads on.
const DRAFT_PACE: Pace = Pace {
    stop_after_bytes: 2048,
    stop: Duration::from_millis(6000),
    ..AT_ONCE
};
const DRAFT_SIZES: SocketSizes = SocketSizes {
    receive_buffer: 4096,
    segment: 0,
};

pub fn run(setup: &Setup) -> Verdict {
    let deployment = Deployment::start(setup, &PCANT_RUTA_GROWN, &ROUTES, 2, work)?;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let front = deployment.gateways[number % 2].front;
        for kind in ["book", "draft"] {
            let (record, trouble) = (deployment.record.clone(), setup.trouble);
            callers.push(std::thread::spawn(move || {
                let id = format!("{kind}-{number}");
                call(kind, &id, front, &record, trouble)
                    .map(|is_whole| (kind, id, is_whole))
            }));
        }
    }
    let (mut bookings, mut drafts) = (0, 0);
    for caller in callers {
        let (kind, id, is_whole) = caller.join().map_err(|_| "a caller failed")??;
        if is_whole || deployment.runs_of(&id) == 0 {
            continue;
        }
        match kind {
            "book" => bookings += 1,
            _ => drafts += 1,
        }
    }
    deployment.record.line(format!(
        "result    of {CALLERS} bookings {bookings} ran and have no whole answer, of {CALLERS} drafts {drafts}"
    ));
    Ok(bookings + drafts > ALLOWED)
}

/// Sends a quick request and then the one that counts, on one connection; returns whether the
/// answer of the second one is whole.
fn call(
    kind: &str,
    id: &str,
    front: SocketAddr,
    record: &Record,
    trouble: bool,
) -> io::Result<bool> {
    let (sizes, pace) = match kind {
        "book" => (BOOKING_SIZES, BOOKING_PACE),
        _ => (DRAFT_SIZES, DRAFT_PACE),
    };
    let mut client = Client::connect(front, sizes, record)?;
    let first = Sent {
        id: &format!("{id}-before"),
        method: "POST",
        path: "/book/short",
        deadline_ms: 4000,
        headers: "",
        body: "points=1",
    };
    if !client.send(&first, AT_ONCE)?.is_whole {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let second = match kind {
        "book" => Sent { id, path: "/book/long", ..first },
        _ => Sent {
            id,
            path: "/draft/reply",
            deadline_ms: 20_000,
            headers: "X-Model: m0\r\nX-Token-Usage: 100,600\r\nX-Prompt-Prefix: a1:60,b2:40\r\n",
            ..first
        },
    };
    let answer = client.send(&second, if trouble { pace } else { AT_ONCE })?;
    Ok(answer.is_whole)
}

fn work(own: &Identity, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    let id = request.header("x-request-id").unwrap_or_default();
    let headers = format!("X-Request-Id: {id}\r\nX-Server-Seal: {}.{id}\r\n", own.id);
    match request.path.as_str() {
        "/book/short" => write_answer(stream, "200 OK", &headers, b"booked")?,
        "/book/long" => {
            write_answer(stream, "200 OK", &headers, &[b'b'; BOOKING_BYTES])?
        }
        _ => stream_events(stream, &headers, request.header("last-event-id"))?,
    }
    Ok(true)
}

/// Streams the events after `last`.
fn stream_events(
    stream: &mut TcpStream,
    headers: &str,
    last: Option<&str>,
) -> io::Result<()> {
    let last: usize = last.and_then(|text| text.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in last + 1..=EVENTS {
        let mut event = format!("id: {number}\ndata: ");
        event.push_str(&"d".repeat(EVENT_BYTES - event.len() - 2));
        event.push_str("\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        std::thread::sleep(EVENT_INTERVAL);
    }
    stream.write_all(b"0\r\n\r\n")
}
