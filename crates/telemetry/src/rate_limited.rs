//! Writes log lines without delaying requests.

use std::{
    io::{self, Write},
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Sustained rate, lines per second; lines beyond it are dropped and counted.
const LINES_PER_S: f64 = 200.0;

/// Size of the token bucket, lines.
const LINES_BURST: f64 = 400.0;

/// Maximum size of a write that a pipe performs atomically, bytes (`PIPE_BUF`).
const LINE_MAX_BYTES: usize = 4_096;

/// Writes lines to a non-blocking sink, at most 200 per second on average.
///
/// While the reader stalls, lines are dropped instead of blocking the caller.
/// The next line that is written is preceded by the number of dropped lines.
pub struct RateLimitedWriter {
    state: Mutex<State>,
}

struct State {
    sink: Box<dyn Write + Send>,
    tokens: f64,
    /// Time at which `tokens` was last refilled.
    refilled_at: Instant,
    /// Number of lines dropped since the last write.
    dropped: u64,
}

impl std::fmt::Debug for RateLimitedWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RateLimitedWriter").finish_non_exhaustive()
    }
}

impl RateLimitedWriter {
    /// Writes to standard output, which is switched to non-blocking mode.
    pub fn stdout() -> Self {
        let stdout = io::stdout();
        // If the mode cannot be set, a write may block; the rate still applies.
        let _ = rustix::io::ioctl_fionbio(&stdout, true);
        RateLimitedWriter::new(Box::new(UnbufferedStdout))
    }

    /// Writes to `sink`, which must fail with `WouldBlock` instead of blocking.
    pub fn new(sink: Box<dyn Write + Send>) -> Self {
        RateLimitedWriter {
            state: Mutex::new(State {
                sink,
                tokens: LINES_BURST,
                refilled_at: Instant::now(),
                dropped: 0,
            }),
        }
    }

    /// Writes `line`, truncated to fit one atomic write, or drops it.
    pub fn write(&self, line: &str) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.refill();
        if state.tokens < 1.0 {
            state.dropped += 1;
            return;
        }
        state.tokens -= 1.0;
        let mut text = String::with_capacity(line.len() + 1);
        if state.dropped > 0 {
            text.push_str(&format!(
                "event=log_lines_dropped count={}\n",
                state.dropped
            ));
        }
        let capacity = LINE_MAX_BYTES - text.len() - 1;
        text.push_str(&line[..line.floor_char_boundary(capacity)]);
        text.push('\n');
        // A pipe writes a text of this length completely or not at all; on other
        // sinks a partial write counts as a dropped line.
        match state.sink.write(text.as_bytes()) {
            Ok(written) if written == text.len() => state.dropped = 0,
            Ok(_) | Err(_) => state.dropped += 1,
        }
    }
}

impl State {
    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self) {
        let now = Instant::now();
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * LINES_PER_S).min(LINES_BURST);
        self.refilled_at = now;
    }
}

/// Standard output without the line buffer of `std`, which would retain part of
/// a line after a partial write.
struct UnbufferedStdout;

impl Write for UnbufferedStdout {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = rustix::io::write(rustix::stdio::stdout(), bytes)?;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
