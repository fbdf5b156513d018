//! Log lines with hostile input, and the page of metrics.

use telemetry::{Event, METRICS};

#[test]
fn hostile_values_stay_within_their_pair() {
    let line = Event::new("request")
        .with("id", "r1\nlevel=error event=forged")
        .with("team", "a\" b=\"c")
        .with("empty", "")
        .with("wide", "\u{2028}x\u{7}")
        .to_string();
    insta::assert_snapshot!(line, @r#"event=request id="r1\u{a}level=error event=forged" team="a\" b=\"c" empty="" wide="\u{2028}x\u{7}""#);
    assert_eq!(line.lines().count(), 1);
}

#[test]
fn long_values_are_cut() {
    let line = Event::new("request")
        .with("id", "x".repeat(10_000))
        .to_string();
    assert!(line.len() < 600, "{}", line.len());
}

#[test]
fn every_metric_stands_on_the_page() {
    let page = include_str!("../docs/METRICS.md");
    for metric in METRICS {
        let row = format!("| `currantbank.{}` | {} |", metric.name, metric.unit);
        assert!(page.contains(&row), "docs/METRICS.md lacks: {row}");
    }
}
