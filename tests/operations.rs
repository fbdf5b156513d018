//! The lines that the operations page leads along are those that are written.

use std::collections::BTreeSet;

use standin::{Action, ScriptedEndpoint};

use crate::util::site::{Site, ask, request};

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

/// The fields of a log line from its event on, in order.
fn fields(line: &str) -> Option<Vec<(&str, &str)>> {
    let start = line.find("event=")?;
    let pairs = line[start..].split(' ');
    Some(pairs.filter_map(|pair| pair.split_once('=')).collect())
}

/// What makes a line the one that the page means: its event, and its outcome or
/// reason.
fn kind(line: &str) -> Option<Vec<String>> {
    let named = ["event", "status", "outcome", "reason"];
    let fields = fields(line)?;
    let named = fields.iter().filter(|(key, _)| named.contains(key));
    Some(named.map(|(key, value)| format!("{key}={value}")).collect())
}

fn names(line: &str) -> Vec<String> {
    let fields = fields(line).unwrap_or_default();
    fields.iter().map(|(key, _)| (*key).to_owned()).collect()
}

#[tokio::test]
async fn lines_of_three_failed_requests_are_as_the_page_shows_them() {
    const DRAFT: &str =
        "x-model: *\r\nx-token-usage: 100,40\r\nx-prompt-prefix: a1:60,b2:40\r\n";
    let site = Site::start().await;
    let plain = ScriptedEndpoint::start(Action::Disconnect).await;
    site.announce("p1", "plain", &plain);
    let gateway = site.gateway("").await;
    let draft = |id| request("POST", "/draft/", id, DRAFT, "x");
    assert_eq!(ask(gateway.callers, &draft("r503")).await.status, 503);
    let once = request("POST", "/once/", "r502", "", "x");
    assert_eq!(ask(gateway.callers, &once).await.status, 502);
    let engine = ScriptedEndpoint::start(Action::BreakStream(2)).await;
    engine.queue(&[Action::StreamWithConfidence(2, 20)]);
    site.announce("e1", "engine", &engine);
    gateway.wait_logged("event=endpoint endpoint=e1").await;
    assert!(!ask(gateway.callers, &draft("rcut")).await.is_whole());
    gateway.wait_logged("outcome=stream_broken").await;

    let shown: Vec<&str> = PAGE.lines().filter(|l| l.starts_with("event=")).collect();
    let kinds: BTreeSet<_> = shown.iter().filter_map(|line| kind(line)).collect();
    assert!(kinds.len() >= 6, "{kinds:?}");
    for line in shown {
        let written = gateway.logged(" event=").into_iter();
        let mut same = written.filter(|written| kind(written) == kind(line));
        let written = same
            .next()
            .unwrap_or_else(|| panic!("never written: {line}"));
        assert_eq!(names(&written), names(line), "{line}");
    }
}
