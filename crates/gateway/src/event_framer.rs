//! Splits a byte stream into whole server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of the buffer, bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Buffers bytes and returns whole events.
///
/// An endpoint may fail in the middle of an event. A stream cannot be resumed at
/// another endpoint once part of an event was forwarded, so only whole events are.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
    last_id: Option<Bytes>,
    /// Whether the next event is the first one of a resumed stream.
    is_resumed: bool,
    /// Whether ids so far were not consecutive numbers, so that a gap is no loss.
    has_gaps: bool,
}

/// An event that is not the next one of a resumed stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutOfOrder;

impl EventFramer {
    /// Appends received bytes; returns false once more than 1 MiB is buffered.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_MAX_BYTES
    }

    /// Returns all whole events received since the last call, as one chunk.
    ///
    /// Fails if a resumed stream does not go on after the last event.
    pub fn take_events(&mut self) -> Option<Result<Bytes, OutOfOrder>> {
        let end = last_event_end(&self.buffer)?;
        let events = self.buffer.split_to(end).freeze();
        if self.is_resumed && !self.goes_on_with(&events) {
            return Some(Err(OutOfOrder));
        }
        for id in ids(&events) {
            let previous = self.last_id.as_ref().map(|id| number(id));
            let is_next = previous.is_none_or(|p| is_next(p, number(id)));
            self.has_gaps |= !is_next;
            self.last_id = Some(events.slice_ref(id));
        }
        Some(Ok(events))
    }

    /// Expects the event after the last one next, from another endpoint. Its answer may
    /// begin anywhere, or be no stream at all.
    pub fn resume(&mut self) {
        self.buffer.clear();
        self.is_resumed = self.last_id.is_some();
    }

    /// Returns whether the first event of a resumed stream is the one after the last.
    fn goes_on_with(&mut self, events: &Bytes) -> bool {
        // Comments keep a connection open and are no events.
        let is_comment = |line: &&[u8]| line.trim_ascii().is_empty() || line[0] == b':';
        let lines = events.split(|&byte| byte == b'\n');
        let mut event = lines.skip_while(is_comment).peekable();
        if event.peek().is_none() {
            return true;
        }
        let first = event.take_while(|line| !line.trim_ascii().is_empty());
        let id = first.filter_map(|line| line.strip_prefix(b"id:")).last();
        let (Some(last), Some(id)) = (&self.last_id, id) else {
            return false;
        };
        self.is_resumed = false;
        match (number(last), number(id)) {
            (Some(last), Some(id)) if self.has_gaps => id > last,
            (last, id) => is_next(last, id),
        }
    }

    /// Whether a partial event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the id of the last event returned by [`Self::take_events`].
    pub fn last_event_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}

/// Returns the end of the last whole event: an empty line ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut end = None;
    let mut line_start = 0;
    for (at, &byte) in bytes.iter().enumerate() {
        if byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            end = Some(at + 1);
        }
        line_start = at + 1;
    }
    end
}

/// Returns the ids of events, in order.
fn ids(events: &Bytes) -> impl Iterator<Item = &[u8]> {
    let lines = events.split(|&byte| byte == b'\n');
    let ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.map(<[u8]>::trim_ascii)
}

fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok()
}

/// Whether one number follows another; ids that are no numbers may be any.
fn is_next(previous: Option<u64>, id: Option<u64>) -> bool {
    match (previous, id) {
        (Some(previous), Some(id)) => previous.checked_add(1) == Some(id),
        _ => true,
    }
}
