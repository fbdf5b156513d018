//! Compares a caller's session with a snapshot, byte for byte except for ids and
//! dates.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::util::script::Script;

/// Shortest run of hex digits that is redacted as an id or a signature.
const MIN_ID_DIGITS: usize = 32;

/// Replaces ids and signatures by `<id>`, and drops the date header.
fn redact(text: &str) -> String {
    let mut out = String::new();
    let mut digits = String::new();
    for c in text.chars().chain(['\0']) {
        if c.is_ascii_hexdigit() {
            digits.push(c);
            continue;
        }
        out.push_str(if digits.len() >= MIN_ID_DIGITS {
            "<id>"
        } else {
            &digits
        });
        digits.clear();
        if c != '\0' && c != '\r' {
            out.push(c);
        }
    }
    let lines = out.lines().filter(|line| !line.starts_with("date:"));
    lines.collect::<Vec<_>>().join("\n")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_session_matches_the_snapshot() {
    let mut script = Script::new().await;
    for command in [
        "engine big versions=draft@v1",
        "service filing",
        "entry entry-1 room=ghent",
        "agent agent-1 room=ghent endpoint=big",
        "agent agent-2 room=ghent endpoint=filing",
        "setup entry-1 draft=v1 teams=members services=filing",
        "wait-config entry-1",
    ] {
        script.command(command).await;
    }
    let entry = script.cluster.address("entry-1", "callers");
    let chat_path = "/v1/chat/completions";
    let buffered = r#"{"model":"draft","messages":[{"role":"user","content":"hello"}],"max_tokens":2}"#;
    // One token: on a busy machine, several tokens could share a frame and the
    // transcript would vary.
    let streamed = buffered.replace("2}", "1,\"stream\":true}");
    let session = "x-session-id: dossier-1\r\n";
    let key = "idempotency-key: deed-7\r\n";
    let calls = [
        ("GET", "/v1/models", "", ""),
        ("POST", chat_path, session, buffered),
        ("POST", chat_path, session, streamed.as_str()),
        ("POST", "/v1/services/filing/deeds", key, r#"{"deed":7}"#),
        ("POST", "/v1/services/filing/deeds", key, r#"{"deed":7}"#),
        ("GET", "/v1/outcomes/deed-7", "", ""),
        (
            "POST",
            chat_path,
            "",
            r#"{"model":"other","messages":[{"content":"x"}]}"#,
        ),
    ];
    let mut transcript = String::new();
    for (method, path, headers, body) in calls {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer members-token\r\n{headers}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut stream = TcpStream::connect(entry).await.expect("the entry listens");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("request is sent");
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .await
            .expect("the answer is UTF-8 and the connection closes");
        transcript.push_str(&format!("> {method} {path}\n{}\n\n", redact(&answer)));
    }
    insta::assert_snapshot!("callers_session", transcript);
}
