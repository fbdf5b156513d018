//! Log lines that never hold up a request.

use std::{
    io::{self, Write},
    sync::{Mutex, PoisonError},
    time::Instant,
};

/// Lines a second on average; more are dropped and counted.
const LINES_PER_S: f64 = 200.0;

/// Lines at once.
const LINES_BURST: f64 = 400.0;

/// Longest line that a pipe takes whole or not at all, bytes (`PIPE_BUF`).
const LINE_MAX_BYTES: usize = 4_096;

/// Writes lines to a sink that does not block, within a rate.
///
/// A reader that stalls costs lines, never time: a line that does not fit is
/// dropped, and the next that does says how many were.
pub struct RateLimitedWriter {
    state: Mutex<State>,
}

struct State {
    sink: Box<dyn Write + Send>,
    tokens: f64,
    at: Instant,
    dropped: u64,
}

impl std::fmt::Debug for RateLimitedWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RateLimitedWriter").finish_non_exhaustive()
    }
}

impl RateLimitedWriter {
    /// Lines on standard output, which is made not to block.
    pub fn stdout() -> Self {
        let stdout = io::stdout();
        // Where it cannot be set, lines may block but are still bounded.
        let _ = rustix::io::ioctl_fionbio(&stdout, true);
        RateLimitedWriter::new(Box::new(Unbuffered))
    }

    /// Lines on `sink`, which must fail with `WouldBlock` rather than block.
    pub fn new(sink: Box<dyn Write + Send>) -> Self {
        RateLimitedWriter {
            state: Mutex::new(State {
                sink,
                tokens: LINES_BURST,
                at: Instant::now(),
                dropped: 0,
            }),
        }
    }

    /// Writes a line or drops it.
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
        let room = LINE_MAX_BYTES - text.len() - 1;
        text.push_str(&line[..line.floor_char_boundary(room)]);
        text.push('\n');
        // A pipe takes a text of this length whole or not at all; elsewhere a
        // torn line counts as dropped.
        match state.sink.write(text.as_bytes()) {
            Ok(written) if written == text.len() => state.dropped = 0,
            Ok(_) | Err(_) => state.dropped += 1,
        }
    }
}

impl State {
    fn refill(&mut self) {
        let now = Instant::now();
        let passed_s = now.duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed_s * LINES_PER_S).min(LINES_BURST);
        self.at = now;
    }
}

/// Standard output without the line buffer, which would keep part of a line
/// that did not fit.
struct Unbuffered;

impl Write for Unbuffered {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = rustix::io::write(rustix::stdio::stdout(), bytes)?;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
