//! Makes one call of each kind and prints what came.

use std::{net::SocketAddr, time::Duration};

use bill::Bills;
use bytes::Bytes;
use store::BILL_STREAM;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
    response::Response,
};

use crate::plant::{OPERATOR_TOKEN, Plant, TEAM_TOKEN};

/// Longest wait for the plant to be ready.
const READY_WAIT: Duration = Duration::from_secs(20);

/// One call to show.
struct Call {
    title: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: &'static str,
}

fn calls() -> Vec<Call> {
    let chat = "/v1/chat/completions";
    vec![
        Call {
            title: "a cheap answer",
            path: chat,
            headers: vec![],
            body: r#"{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":4}"#,
        },
        Call {
            title: "a cascade: an easy question stays on the cheap model",
            path: chat,
            headers: vec![],
            body: r#"{"model":"care","messages":[{"role":"user","content":"easy"}],"max_tokens":4}"#,
        },
        Call {
            title: "a cascade: a hard one goes on to the dear model, streamed",
            path: chat,
            headers: vec![],
            body: r#"{"model":"care","messages":[{"role":"user","content":"hard"}],"max_tokens":4,"stream":true}"#,
        },
        Call {
            title: "a session: its ticket keeps the version",
            path: chat,
            headers: vec![("x-session-id", "dossier-1".into())],
            body: r#"{"model":"draft","messages":[{"role":"user","content":"hello"}],"max_tokens":4}"#,
        },
        Call {
            title: "a filing, which runs at most once for its key",
            path: "/v1/services/filing/deeds",
            headers: vec![("idempotency-key", "deed-7".into())],
            body: r#"{"deed":7}"#,
        },
        Call {
            title: "the same filing again: its first answer, not a second run",
            path: "/v1/services/filing/deeds",
            headers: vec![("idempotency-key", "deed-7".into())],
            body: r#"{"deed":7}"#,
        },
    ]
}

/// Shows the plant at work.
pub async fn run(plant: &Plant, stay: bool) {
    if !is_ready(plant).await {
        println!("the plant did not become ready; run it again with more cores free");
        return;
    }
    let entry = plant.callers;
    let calls = calls();
    let count = calls.len() - 1;
    for call in &calls {
        println!("== {}", call.title);
        if stay {
            println!("{}", curl(entry, call));
        }
        match send(entry, call).await {
            Ok((status, body)) => println!("{status}\n{}\n", body.trim()),
            Err(why) => println!("failed: {why}\n"),
        }
    }
    print_bills(plant, count).await;
    if stay {
        println!(
            "\noperators: CURRANTBANK_TOKEN={OPERATOR_TOKEN} cargo run -q -- ctl status --entry {}",
            plant.operators
        );
        println!("stop with ctrl-c");
    }
}

/// Waits until the dearest model answers, so that every agent is known.
async fn is_ready(plant: &Plant) -> bool {
    let until = tokio::time::Instant::now() + READY_WAIT;
    let probes = [
        r#"{"model":"small","messages":[{"content":"ready?"}],"max_tokens":1}"#,
        r#"{"model":"draft","messages":[{"content":"ready?"}],"max_tokens":1}"#,
    ];
    for body in probes {
        let probe = Call {
            title: "",
            path: "/v1/chat/completions",
            headers: vec![],
            body,
        };
        loop {
            if matches!(send(plant.callers, &probe).await, Ok((200, _))) {
                break;
            }
            if tokio::time::Instant::now() > until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    true
}

fn curl(entry: SocketAddr, call: &Call) -> String {
    let mut line = format!(
        "curl -sN http://{entry}{} -H 'authorization: Bearer {TEAM_TOKEN}'",
        call.path
    );
    for (name, value) in &call.headers {
        line.push_str(&format!(" -H '{name}: {value}'"));
    }
    line.push_str(&format!(" -d '{}'", call.body));
    line
}

async fn send(entry: SocketAddr, call: &Call) -> Result<(u16, String), String> {
    let mut request = Client::default()
        .post(format!("http://{entry}{}", call.path))
        .header("authorization", format!("Bearer {TEAM_TOKEN}"));
    for (name, value) in &call.headers {
        request = request.header(*name, value.as_str());
    }
    let body = Body::from(Bytes::from_static(call.body.as_bytes()));
    let response: Response = request
        .body(body)
        .send()
        .await
        .map_err(|err| err.to_string())?;
    let status = response.status().as_u16();
    let mut text = String::new();
    for name in ["x-model-version", "x-session-ticket", "x-replayed"] {
        if let Some(value) = response.headers().get(name).and_then(|v| v.to_str().ok())
        {
            text.push_str(&format!("{name}: {value}\n"));
        }
    }
    let body = response
        .into_body()
        .into_string()
        .await
        .map_err(|err| err.to_string())?;
    text.push_str(&body);
    Ok((status, text))
}

/// Prints the bills, once those of the shown calls stand on the log.
async fn print_bills(plant: &Plant, count: usize) {
    let probes = 2;
    let mut bills = Bills::default();
    for _ in 0..100 {
        for (offset, body) in plant.log.records(BILL_STREAM) {
            bills.apply(offset, &body);
        }
        if bills.len() >= count + probes {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("== bills on the log, the first of each request counted");
    for bill in bills.iter() {
        let steps: Vec<String> = bill
            .lines
            .iter()
            .map(|line| format!("{} {} tokens", line.model, line.output_tokens))
            .collect();
        println!(
            "{} {} micro-euro: {}",
            bill.team,
            bill.cost_micros(),
            steps.join(", ")
        );
    }
}
