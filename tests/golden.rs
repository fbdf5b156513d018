//! A caller's whole session, byte for byte but for ids and dates.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::util::script::Script;

/// Shortest run of hex digits that counts as an id or a signature.
const ID_DIGITS: usize = 32;

/// Puts `<id>` in place of ids and signatures, and drops the date.
fn redact(text: &str) -> String {
    let mut out = String::new();
    let mut run = String::new();
    for c in text.chars().chain(['\0']) {
        if c.is_ascii_hexdigit() {
            run.push(c);
            continue;
        }
        out.push_str(if run.len() >= ID_DIGITS { "<id>" } else { &run });
        run.clear();
        if c != '\0' && c != '\r' {
            out.push(c);
        }
    }
    let lines = out.lines().filter(|line| !line.starts_with("date:"));
    lines.collect::<Vec<_>>().join("\n")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_session() {
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
    let chat = "/v1/chat/completions";
    let whole = r#"{"model":"draft","messages":[{"role":"user","content":"hello"}],"max_tokens":2}"#;
    // One token: more could share a frame when the machine is busy.
    let streamed = whole.replace("2}", "1,\"stream\":true}");
    let session = "x-session-id: dossier-1\r\n";
    let key = "idempotency-key: deed-7\r\n";
    let calls = [
        ("GET", "/v1/models", "", ""),
        ("POST", chat, session, whole),
        ("POST", chat, session, streamed.as_str()),
        ("POST", "/v1/services/filing/deeds", key, r#"{"deed":7}"#),
        ("POST", "/v1/services/filing/deeds", key, r#"{"deed":7}"#),
        ("GET", "/v1/outcomes/deed-7", "", ""),
        (
            "POST",
            chat,
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
        let mut stream = TcpStream::connect(entry).await.expect("it listens");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .await
            .expect("a whole answer");
        transcript.push_str(&format!("> {method} {path}\n{}\n\n", redact(&answer)));
    }
    insta::assert_snapshot!("callers_session", transcript);
}
