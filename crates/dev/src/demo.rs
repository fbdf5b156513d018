//! Makes one request of each kind and prints the responses.

use std::{net::SocketAddr, time::Duration};

use bill::Bills;
use bytes::Bytes;
use store::BILL_STREAM;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
    response::Response,
};

use crate::system::{LocalSystem, OPERATOR_TOKEN, TEAM_TOKEN};

/// Maximum wait until the system is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A request of the demo.
struct DemoRequest {
    title: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: &'static str,
}

fn demo_requests() -> Vec<DemoRequest> {
    let chat = "/v1/chat/completions";
    vec![
        DemoRequest {
            title: "a request to the small model",
            path: chat,
            headers: vec![],
            body: r#"{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":4}"#,
        },
        DemoRequest {
            title: "a cascade: the small model's answer to an easy prompt suffices",
            path: chat,
            headers: vec![],
            body: r#"{"model":"care","messages":[{"role":"user","content":"easy"}],"max_tokens":4}"#,
        },
        DemoRequest {
            title: "a cascade: a hard prompt escalates to the expensive model, streamed",
            path: chat,
            headers: vec![],
            body: r#"{"model":"care","messages":[{"role":"user","content":"hard"}],"max_tokens":4,"stream":true}"#,
        },
        DemoRequest {
            title: "a session: its ticket pins the model version",
            path: chat,
            headers: vec![("x-session-id", "dossier-1".into())],
            body: r#"{"model":"draft","messages":[{"role":"user","content":"hello"}],"max_tokens":4}"#,
        },
        DemoRequest {
            title: "a filing, which runs at most once per idempotency key",
            path: "/v1/services/filing/deeds",
            headers: vec![("idempotency-key", "deed-7".into())],
            body: r#"{"deed":7}"#,
        },
        DemoRequest {
            title: "the same filing again: replays the first answer without a second run",
            path: "/v1/services/filing/deeds",
            headers: vec![("idempotency-key", "deed-7".into())],
            body: r#"{"deed":7}"#,
        },
    ]
}

/// Makes the requests and prints their responses and bills.  With `stay`, also
/// prints the commands that repeat them.
pub async fn run(system: &LocalSystem, stay: bool) {
    if !is_ready(system).await {
        println!(
            "the system did not become ready in time; try again on a less busy machine"
        );
        return;
    }
    let entry = system.callers;
    let requests = demo_requests();
    // The repeated filing is not billed again.
    let billed = requests.len() - 1;
    for request in &requests {
        println!("== {}", request.title);
        if stay {
            println!("{}", curl_command(entry, request));
        }
        match send(entry, request).await {
            Ok((status, body)) => println!("{status}\n{}\n", body.trim()),
            Err(err) => println!("failed: {err}\n"),
        }
    }
    print_bills(system, billed).await;
    if stay {
        println!(
            "\noperators: CURRANTBANK_TOKEN={OPERATOR_TOKEN} cargo run -q -- ctl status --entry {}",
            system.operators
        );
        println!("stop with ctrl-c");
    }
}

/// Waits until both models answer, so that their agents are known to the entry.
/// Returns false on a timeout.
async fn is_ready(system: &LocalSystem) -> bool {
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    let probes = [
        r#"{"model":"small","messages":[{"content":"ready?"}],"max_tokens":1}"#,
        r#"{"model":"draft","messages":[{"content":"ready?"}],"max_tokens":1}"#,
    ];
    for body in probes {
        let probe = DemoRequest {
            title: "",
            path: "/v1/chat/completions",
            headers: vec![],
            body,
        };
        loop {
            if matches!(send(system.callers, &probe).await, Ok((200, _))) {
                break;
            }
            if tokio::time::Instant::now() > deadline {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    true
}

fn curl_command(entry: SocketAddr, request: &DemoRequest) -> String {
    let mut command = format!(
        "curl -sN http://{entry}{} -H 'authorization: Bearer {TEAM_TOKEN}'",
        request.path
    );
    for (name, value) in &request.headers {
        command.push_str(&format!(" -H '{name}: {value}'"));
    }
    command.push_str(&format!(" -d '{}'", request.body));
    command
}

/// Sends a request.  Returns the status, and the text of the notable headers and
/// the body.
///
/// # Errors
///
/// The transport failed, as the error says.
async fn send(entry: SocketAddr, demo: &DemoRequest) -> Result<(u16, String), String> {
    let mut request = Client::default()
        .post(format!("http://{entry}{}", demo.path))
        .header("authorization", format!("Bearer {TEAM_TOKEN}"));
    for (name, value) in &demo.headers {
        request = request.header(*name, value.as_str());
    }
    let body = Body::from(Bytes::from_static(demo.body.as_bytes()));
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

/// Prints the bills on the log, after waiting up to 5 s for those of `count`
/// requests and of the probes of [`is_ready`].
async fn print_bills(system: &LocalSystem, count: usize) {
    let probes = 2;
    let mut bills = Bills::default();
    for _ in 0..100 {
        for (offset, body) in system.log.records(BILL_STREAM) {
            bills.apply(offset, &body);
        }
        if bills.len() >= count + probes {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("== bills on the log, without duplicates");
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
