//! Log lines with hostile input, and the metrics reference page.

use telemetry::{Event, METRICS};

#[test]
fn hostile_values_are_escaped() {
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
fn long_values_are_truncated() {
    let line = Event::new("request")
        .with("id", "x".repeat(10_000))
        .to_string();
    assert!(line.len() < 600, "{}", line.len());
}

#[test]
fn every_metric_is_documented() {
    let page = include_str!("../docs/METRICS.md");
    for metric in METRICS {
        let row = format!("| `currantbank.{}` | {} |", metric.name, metric.unit);
        assert!(page.contains(&row), "docs/METRICS.md has no row {row}");
    }
}

/// A stalled reader of the log output must not block the process; lines that it
/// does not read are dropped and counted.
#[test]
fn rate_limited_writer_drops_lines_and_logs_their_count() {
    #[derive(Clone, Default)]
    struct Pipe(std::sync::Arc<std::sync::Mutex<(bool, String)>>);
    impl std::io::Write for Pipe {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let mut pipe = self.0.lock().expect("lock is not poisoned");
            if pipe.0 {
                return Err(std::io::ErrorKind::WouldBlock.into());
            }
            pipe.1.push_str(&String::from_utf8_lossy(bytes));
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let pipe = Pipe::default();
    let writer = telemetry::RateLimitedWriter::new(Box::new(pipe.clone()));
    writer.write("event=a");
    pipe.0.lock().expect("lock is not poisoned").0 = true;
    for _ in 0..10_000 {
        writer.write("event=b");
    }
    pipe.0.lock().expect("lock is not poisoned").0 = false;
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while !pipe
        .0
        .lock()
        .expect("lock is not poisoned")
        .1
        .contains("event=c")
    {
        assert!(std::time::Instant::now() < deadline);
        writer.write(&format!("event=c {}", "x".repeat(9_000)));
    }
    let written = pipe.0.lock().expect("lock is not poisoned").1.clone();
    assert!(written.starts_with("event=a\nevent=log_lines_dropped count="));
    assert!(written.lines().all(|line| line.len() <= 4_096));
}

#[test]
fn occasional_line_tells_how_often_its_event_occurred() {
    let occasional = telemetry::Occasional::default();
    let start = clock::Millis(5_000);
    assert_eq!(occasional.due(start), Some(1));
    assert_eq!(occasional.due(start.plus(10)), None);
    assert_eq!(occasional.due(start.plus(999)), None);
    assert_eq!(occasional.due(start.plus(1_000)), Some(3));
    assert_eq!(occasional.due(start.plus(2_000)), Some(1));
}
