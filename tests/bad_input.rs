//! Callers' input that is broken, too large, hostile or slow.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::util::{caller, script::Script, world::World};

const TOKEN: &str = "authorization: Bearer members-token\r\n";

async fn world() -> World {
    let mut script = Script::new().await;
    script
        .world
        .common
        .insert("entry.body_max_bytes".into(), "2048".into());
    script
        .world
        .common
        .insert("entry.body_timeout_ms".into(), "300".into());
    script
        .world
        .common
        .insert("entry.headers_max".into(), "16".into());
    for command in [
        "engine big versions=draft@v1",
        "entry entry-1 room=ghent",
        "agent agent-1 room=ghent endpoint=big",
        "setup entry-1 draft=v1 locked=v1 teams=others",
        "ctl entry-1 put team members --token-digest token:members-token --allow draft",
        "wait-config entry-1",
    ] {
        script.command(command).await;
    }
    script.world
}

/// Sends raw bytes and returns the head's status and the body.
async fn raw(address: SocketAddr, bytes: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = async {
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            answer.extend_from_slice(&buffer[..count]);
            if is_whole(&answer) {
                break;
            }
        }
    };
    let _ = tokio::time::timeout(Duration::from_secs(5), read).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status.unwrap_or(0), body.to_owned())
}

/// Whether the answer has all the body that its head promises.
fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    length.is_some_and(|length| body.len() >= length)
}

fn post(headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn chat(model: &str) -> Vec<u8> {
    format!(r#"{{"model":"{model}","messages":[{{"content":"x"}}],"max_tokens":1}}"#)
        .into_bytes()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_fault_has_its_code_and_leaves_the_entry_serving() {
    let world = world().await;
    let entry = world.address("entry-1", "callers");
    let long = format!(
        r#"{{"model":"draft","messages":["{}"]}}"#,
        "x".repeat(4_000)
    );
    let many: String = (0..40).map(|at| format!("x-h{at}: 1\r\n")).collect();
    let with = |header: &str| format!("{TOKEN}{header}\r\n");
    let cases: Vec<(&str, Vec<u8>, u16, &str)> = vec![
        ("no token", post("", &chat("draft")), 401, "unauthorized"),
        (
            "wrong token",
            post("authorization: Bearer x\r\n", &chat("draft")),
            401,
            "unauthorized",
        ),
        ("no JSON", post(TOKEN, b"{\"model\":"), 400, "bad_request"),
        (
            "no UTF-8",
            post(TOKEN, b"{\"model\":\"\xff\"}"),
            400,
            "bad_request",
        ),
        (
            "no messages",
            post(TOKEN, b"{\"model\":\"draft\"}"),
            400,
            "bad_request",
        ),
        (
            "too long",
            post(TOKEN, long.as_bytes()),
            413,
            "body_too_large",
        ),
        (
            "unknown model",
            post(TOKEN, &chat("none")),
            404,
            "unknown_model",
        ),
        (
            "unknown version",
            post(TOKEN, &chat("draft@v9")),
            404,
            "unknown_version",
        ),
        (
            "not allowed",
            post(TOKEN, &chat("locked")),
            403,
            "not_allowed",
        ),
        (
            "bad id",
            post(&with("x-request-id: a b"), &chat("draft")),
            400,
            "bad_request",
        ),
        (
            "bad session",
            post(&with("x-session-id: a;b"), &chat("draft")),
            400,
            "bad_request",
        ),
        (
            "bad ticket",
            post(&with("x-session-ticket: s1.aa.bb"), &chat("draft")),
            400,
            "bad_ticket",
        ),
        (
            "bad deadline",
            post(&with("x-deadline-ms: soon"), &chat("draft")),
            400,
            "bad_request",
        ),
        (
            "bad priority",
            post(&with("x-priority: 99"), &chat("draft")),
            400,
            "bad_request",
        ),
        ("many headers", post(&with(&many), &chat("draft")), 431, ""),
        (
            "no such path",
            b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
            404,
            "not_found",
        ),
        ("no HTTP", b"\x00\x01\x02\r\n\r\n".to_vec(), 400, ""),
    ];
    for (case, bytes, status, code) in cases {
        let (found, body) = raw(entry, &bytes).await;
        assert_eq!(found, status, "{case}: {body}");
        assert!(body.contains(code), "{case}: {body}");
        assert!(
            code.is_empty() || body.contains("\"ran\":\"no\""),
            "{case}: {body}"
        );
    }
    let (status, _) = raw(entry, &post(TOKEN, &chat("draft"))).await;
    assert_eq!(status, 200);
    assert_eq!(world.engines["big"].state().started.len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_and_vanished_callers_hold_nothing() {
    let world = world().await;
    let entry = world.address("entry-1", "callers");
    // A body that never comes whole.
    let mut half = post(TOKEN, &chat("draft"));
    half.truncate(half.len() - 10);
    let (status, body) = raw(entry, &half).await;
    assert_eq!(status, 400, "{body}");
    assert!(body.contains("body_broken"), "{body}");
    // A caller that goes in the middle of a stream frees the engine's slot.
    world.engines["big"].update_config(|config| config.token_ms = 50);
    let body = br#"{"model":"draft","messages":[{"content":"x"}],"max_tokens":1000,"stream":true}"#;
    let mut stream = TcpStream::connect(entry).await.expect("it listens");
    stream.write_all(&post(TOKEN, body)).await.expect("sent");
    let mut buffer = [0; 512];
    let count = stream.read(&mut buffer).await.expect("the stream begins");
    assert!(count > 0);
    drop(stream);
    let until = tokio::time::Instant::now() + crate::util::world::HOLDS_WAIT;
    while world.engines["big"].state().running > 0 {
        assert!(
            tokio::time::Instant::now() < until,
            "the slot is still taken"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_teams_request_and_key_cannot_be_seen() {
    let world = world().await;
    let entry = world.address("entry-1", "callers");
    let request = format!("{TOKEN}x-request-id: mine-1\r\n");
    let (status, _) = raw(entry, &post(&request, &chat("draft"))).await;
    assert_eq!(status, 200);
    let (status, body) =
        caller::get(entry, "members-token", "/v1/requests/mine-1").await;
    assert_eq!(status, 200, "{body}");
    assert!(body.contains("done"), "{body}");
    let (status, body) =
        caller::get(entry, "others-token", "/v1/requests/mine-1").await;
    assert_eq!(status, 404, "{body}");
}
