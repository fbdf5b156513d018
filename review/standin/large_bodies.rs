//! Requests of the largest size that the configuration allows, many at once.

use std::io;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::{Client, Sent, AT_ONCE};
use crate::deployment::{Deployment, Route, PROCURE_SICILIA};
use crate::http::{write_answer, Request};
use crate::runner::Identity;
use crate::sys::SocketSizes;
use crate::{Setup, Verdict};

/// Requests that the tenant usually has in progress, and how many times that it sends.
const USUAL: usize = 10;
const TIMES: f64 = 7.5;

/// How often it does so.
const WAVES: usize = 5;

/// Size of a body, bytes; the configuration allows 4,194,304.
const BODY_BYTES: usize = 4_000_000;

/// Memory of a machine, KiB.
const MEMORY_KIB: u64 = 110 * 1024;

/// Ends of each process that break the rule.
const ENDS: usize = 3;

/// Time that a runner takes to the first event, and the only one.
const WORK: Duration = Duration::from_millis(300);

/// Time between two waves.
const WAVE_INTERVAL: Duration = Duration::from_secs(2);

const PROMPT: &str =
    "X-Model: m0\r\nX-Token-Usage: 100,4\r\nX-Prompt-Prefix: a1:60,b2:40\r\n";

const CHECK_INTERVAL: Duration = Duration::from_millis(2);

const ROUTES: [Route; 1] = [Route {
    prefix: "/review/",
    service: "drafts",
    fields: r#""kind":"streaming","timeout_ms":12000,"slo_ms":2000,"gap_aim_ms":1200,"priority":0,"max_attempts":3,"sticky":true,"resumable":true"#,
}];

pub fn run(setup: &Setup) -> Verdict {
    let mut deployment = Deployment::start(setup, &PROCURE_SICILIA, &ROUTES, 3, work)?;
    let count = match setup.trouble {
        true => (USUAL as f64 * TIMES) as usize,
        false => USUAL,
    };
    let mut ends = vec![0; deployment.gateways.len()];
    for wave in 0..WAVES {
        let callers = send_all(&deployment, wave, count)?;
        while !callers.iter().all(JoinHandle::is_finished) {
            std::thread::sleep(CHECK_INTERVAL);
            for index in 0..ends.len() {
                let peak_kib = deployment.gateways[index].memory_peak_kib();
                if peak_kib <= MEMORY_KIB {
                    continue;
                }
                ends[index] += 1;
                deployment.record.line(format!(
                    "killed    front-{} with {peak_kib} of {MEMORY_KIB} KiB",
                    index + 1
                ));
                deployment.kill_and_restart(index)?;
            }
        }
        let mut lost = 0;
        for (index, caller) in callers.into_iter().enumerate() {
            let whole = caller
                .join()
                .map_err(|_| "a caller failed")?
                .unwrap_or(false);
            lost += usize::from(!whole && deployment.runs_of(&id_of(wave, index)) > 0);
        }
        deployment.record.line(format!(
            "wave      {wave}: of {count} reviews {lost} ran and have no answer"
        ));
        std::thread::sleep(WAVE_INTERVAL);
    }
    deployment
        .record
        .line(format!("result    ends of the processes: {ends:?}"));
    Ok(ends.iter().filter(|ends| **ends >= ENDS).count() >= 2)
}

fn id_of(wave: usize, index: usize) -> String {
    format!("w{wave}-{index}")
}

type Caller = JoinHandle<io::Result<bool>>;

/// Sends the requests of a wave; each caller tells whether its answer is whole.
fn send_all(
    deployment: &Deployment,
    wave: usize,
    count: usize,
) -> io::Result<Vec<Caller>> {
    let mut callers = Vec::new();
    for index in 0..count {
        let gateway = &deployment.gateways[index % deployment.gateways.len()];
        let (front, record) = (gateway.front, deployment.record.clone());
        let mut client = Client::connect(front, SocketSizes::default(), &record)?;
        callers.push(std::thread::spawn(move || {
            let body = "d".repeat(BODY_BYTES);
            let sent = Sent {
                id: &id_of(wave, index),
                method: "POST",
                path: "/review/deed",
                deadline_ms: 12_000,
                headers: PROMPT,
                body: &body,
            };
            client.send(&sent, AT_ONCE).map(|answer| answer.is_whole)
        }));
    }
    Ok(callers)
}

fn work(own: &Identity, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    std::thread::sleep(WORK);
    let id = request.header("x-request-id").unwrap_or_default();
    let headers = format!(
        "X-Request-Id: {id}\r\nX-Server-Seal: {}.{id}\r\nContent-Type: text/event-stream\r\n",
        own.id
    );
    write_answer(stream, "200 OK", &headers, b"id: 1\ndata: reviewed\n\n")?;
    Ok(true)
}
