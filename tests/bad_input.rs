//! Malformed, oversized, unauthorized and slow requests from callers.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::util::{caller, cluster::Cluster, script::Script};

const TOKEN: &str = "authorization: Bearer members-token\r\n";

async fn start_cluster() -> Cluster {
    let mut script = Script::new().await;
    script
        .cluster
        .common_settings
        .insert("entry.body_max_bytes".into(), "2048".into());
    script
        .cluster
        .common_settings
        .insert("entry.body_timeout_ms".into(), "300".into());
    script
        .cluster
        .common_settings
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
    script.cluster
}

/// Sends raw bytes; returns the status code and the body of the response.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("connection is accepted");
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let read = async {
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            response.extend_from_slice(&buffer[..count]);
            if is_complete(&response) {
                break;
            }
        }
    };
    let _ = tokio::time::timeout(Duration::from_secs(5), read).await;
    let text = String::from_utf8_lossy(&response).into_owned();
    let status = text
        .split_whitespace()
        .nth(1)
        .and_then(|code| code.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status.unwrap_or(0), body.to_owned())
}

/// Returns whether the response holds as many body bytes as `content-length`
/// announces.
fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
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
async fn invalid_requests_get_error_code_and_entry_keeps_serving() {
    let cluster = start_cluster().await;
    let entry = cluster.address("entry-1", "callers");
    let long_body = format!(
        r#"{{"model":"draft","messages":["{}"]}}"#,
        "x".repeat(4_000)
    );
    let many_headers: String = (0..40).map(|i| format!("x-h{i}: 1\r\n")).collect();
    let with_header = |header: &str| format!("{TOKEN}{header}\r\n");
    let cases: Vec<(&str, Vec<u8>, u16, &str)> = vec![
        (
            "missing token",
            post("", &chat("draft")),
            401,
            "unauthorized",
        ),
        (
            "wrong token",
            post("authorization: Bearer x\r\n", &chat("draft")),
            401,
            "unauthorized",
        ),
        (
            "truncated JSON",
            post(TOKEN, b"{\"model\":"),
            400,
            "bad_request",
        ),
        (
            "invalid UTF-8",
            post(TOKEN, b"{\"model\":\"\xff\"}"),
            400,
            "bad_request",
        ),
        (
            "missing messages",
            post(TOKEN, b"{\"model\":\"draft\"}"),
            400,
            "bad_request",
        ),
        (
            "body too large",
            post(TOKEN, long_body.as_bytes()),
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
            "model not allowed",
            post(TOKEN, &chat("locked")),
            403,
            "not_allowed",
        ),
        (
            "invalid request id",
            post(&with_header("x-request-id: a b"), &chat("draft")),
            400,
            "bad_request",
        ),
        (
            "invalid session id",
            post(&with_header("x-session-id: a;b"), &chat("draft")),
            400,
            "bad_request",
        ),
        (
            "invalid ticket",
            post(&with_header("x-session-ticket: s1.aa.bb"), &chat("draft")),
            400,
            "bad_ticket",
        ),
        (
            "invalid deadline",
            post(&with_header("x-deadline-ms: soon"), &chat("draft")),
            400,
            "bad_request",
        ),
        (
            "invalid priority",
            post(&with_header("x-priority: 99"), &chat("draft")),
            400,
            "bad_request",
        ),
        (
            "too many headers",
            post(&with_header(&many_headers), &chat("draft")),
            431,
            "",
        ),
        (
            "unknown path",
            b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n".to_vec(),
            404,
            "not_found",
        ),
        ("not HTTP", b"\x00\x01\x02\r\n\r\n".to_vec(), 400, ""),
    ];
    for (case, bytes, status, code) in cases {
        let (actual, body) = send_raw(entry, &bytes).await;
        assert_eq!(actual, status, "{case}: {body}");
        assert!(body.contains(code), "{case}: {body}");
        assert!(
            code.is_empty() || body.contains("\"ran\":\"no\""),
            "{case}: {body}"
        );
    }
    let (status, _) = send_raw(entry, &post(TOKEN, &chat("draft"))).await;
    assert_eq!(status, 200);
    assert_eq!(cluster.engines["big"].state().started.len(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_or_disconnected_callers_release_resources() {
    let cluster = start_cluster().await;
    let entry = cluster.address("entry-1", "callers");
    // The body is incomplete; the entry gives up after `body_timeout_ms`.
    let mut partial = post(TOKEN, &chat("draft"));
    partial.truncate(partial.len() - 10);
    let (status, body) = send_raw(entry, &partial).await;
    assert_eq!(status, 400, "{body}");
    assert!(body.contains("body_broken"), "{body}");
    // A caller that disconnects in the middle of a stream frees the engine's slot.
    cluster.engines["big"].update_config(|config| config.token_ms = 50);
    let body = br#"{"model":"draft","messages":[{"content":"x"}],"max_tokens":1000,"stream":true}"#;
    let mut stream = TcpStream::connect(entry)
        .await
        .expect("connection is accepted");
    stream
        .write_all(&post(TOKEN, body))
        .await
        .expect("request is sent");
    let mut buffer = [0; 512];
    let count = stream.read(&mut buffer).await.expect("stream starts");
    assert!(count > 0);
    drop(stream);
    let until = tokio::time::Instant::now() + crate::util::cluster::CONDITION_TIMEOUT;
    while cluster.engines["big"].state().running > 0 {
        assert!(
            tokio::time::Instant::now() < until,
            "the engine's slot is still in use"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_status_is_hidden_from_other_teams() {
    let cluster = start_cluster().await;
    let entry = cluster.address("entry-1", "callers");
    let request = format!("{TOKEN}x-request-id: mine-1\r\n");
    let (status, _) = send_raw(entry, &post(&request, &chat("draft"))).await;
    assert_eq!(status, 200);
    let (status, body) =
        caller::get(entry, "members-token", "/v1/requests/mine-1").await;
    assert_eq!(status, 200, "{body}");
    assert!(body.contains("done"), "{body}");
    let (status, body) =
        caller::get(entry, "others-token", "/v1/requests/mine-1").await;
    assert_eq!(status, 404, "{body}");
}
