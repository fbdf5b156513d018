//! Checks that the log lines shown in the operations page match those that a
//! gateway writes.

use std::collections::BTreeSet;

use standin::{Action, ScriptedEndpoint};

use crate::util::gateway_harness::{TestPlatform, request, send};

const OPERATIONS_PAGE: &str = include_str!("../docs/OPERATIONS.md");

/// The fields of a log line from `event` on, in order.
fn fields(line: &str) -> Option<Vec<(&str, &str)>> {
    let start = line.find("event=")?;
    let pairs = line[start..].split(' ');
    Some(pairs.filter_map(|pair| pair.split_once('=')).collect())
}

/// The fields that tell which example in the page a line corresponds to: its
/// event, and its status, outcome or reason.
fn identity(line: &str) -> Option<Vec<String>> {
    let identifying = ["event", "status", "outcome", "reason"];
    let fields = fields(line)?;
    let fields = fields.iter().filter(|(key, _)| identifying.contains(key));
    Some(
        fields
            .map(|(key, value)| format!("{key}={value}"))
            .collect(),
    )
}

fn field_names(line: &str) -> Vec<String> {
    let fields = fields(line).unwrap_or_default();
    fields.iter().map(|(key, _)| (*key).to_owned()).collect()
}

#[tokio::test]
async fn log_lines_of_failed_requests_match_the_operations_page() {
    const DRAFT_HEADERS: &str =
        "x-model: *\r\nx-token-usage: 100,40\r\nx-prompt-prefix: a1:60,b2:40\r\n";
    let platform = TestPlatform::start().await;
    let plain = ScriptedEndpoint::start(Action::Disconnect).await;
    platform.announce("p1", "plain", &plain);
    let gateway = platform.gateway("").await;
    let draft = |id: &str| request("POST", "/draft/", id, DRAFT_HEADERS, "x");
    assert_eq!(send(gateway.callers, &draft("r503")).await.status, 503);
    let once = request("POST", "/once/", "r502", "", "x");
    assert_eq!(send(gateway.callers, &once).await.status, 502);
    let engine = ScriptedEndpoint::start(Action::BreakStream(2)).await;
    engine.queue(&[Action::StreamWithConfidence(2, 20)]);
    platform.announce("e1", "engine", &engine);
    gateway.wait_logged("event=endpoint endpoint=e1").await;
    assert!(!send(gateway.callers, &draft("rcut")).await.is_whole());
    gateway.wait_logged("outcome=stream_broken").await;
    // More unsure answers than the budget has retries for.
    for n in 0..10 {
        engine.queue(&[Action::StreamWithConfidence(2, 20)]);
        let id = format!("unsure{n}");
        send(gateway.callers, &draft(&id)).await;
    }
    gateway.wait_logged("event=retry_denied").await;
    let short = request("POST", "/once/", "rslow", "x-deadline-ms: 50\r\n", "xy");
    let reply = send(gateway.callers, short.trim_end_matches('y')).await;
    assert_eq!(reply.status, 408, "{reply:?}");

    let examples: Vec<&str> = OPERATIONS_PAGE
        .lines()
        .filter(|l| l.starts_with("event="))
        .collect();
    let identities: BTreeSet<_> =
        examples.iter().filter_map(|line| identity(line)).collect();
    assert!(identities.len() >= 6, "{identities:?}");
    for line in examples {
        let written = gateway.logged(" event=").into_iter();
        let mut matching =
            written.filter(|written| identity(written) == identity(line));
        let written = matching
            .next()
            .unwrap_or_else(|| panic!("the gateway never wrote {line}"));
        assert_eq!(field_names(&written), field_names(line), "{line}");
    }
}
