//! Cuts a stream of bytes into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for, bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Gathers bytes and gives them out event by event.
///
/// An endpoint may break off in the middle of an event.  A caller that got
/// half of it could not go on elsewhere, so only whole events are passed on.
#[derive(Debug, Default)]
pub struct EventFramer {
    held: BytesMut,
    last_id: Option<Bytes>,
}

impl EventFramer {
    /// Takes bytes as they came; false if an event grows past all bounds.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.held.extend_from_slice(bytes);
        self.held.len() <= EVENT_MAX_BYTES
    }

    /// All whole events that came since, as one piece.
    pub fn take_events(&mut self) -> Option<Bytes> {
        let end = last_event_end(&self.held)?;
        let events = self.held.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Whether part of an event is held.
    pub fn has_partial_event(&self) -> bool {
        !self.held.is_empty()
    }

    /// Forgets a part of an event, since the stream goes on elsewhere.
    pub fn discard_partial_event(&mut self) {
        self.held.clear();
    }

    /// Id of the last event that was given out.
    pub fn last_event_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}

/// Where the last whole event ends: an event ends with an empty line.
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

fn last_id(events: &Bytes) -> Option<Bytes> {
    let lines = events.split(|&byte| byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next_back()?.trim_ascii();
    Some(events.slice_ref(id))
}
