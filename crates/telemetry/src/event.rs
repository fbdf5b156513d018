//! One log line of key=value pairs.

use std::fmt::{self, Display, Write};

/// Longest value that is written whole, in characters.
const VALUE_MAX_CHARS: usize = 512;

/// An event to log, built up pair by pair.
#[derive(Clone, Debug)]
pub struct Event {
    line: String,
}

impl Event {
    /// An event with a name.
    pub fn new(name: &str) -> Self {
        Event {
            line: format!("event={name}"),
        }
    }

    /// Adds a pair.  The value is quoted where it holds anything that could
    /// be taken for another pair or another line.
    pub fn with<V>(mut self, key: &str, value: V) -> Self
    where
        V: Display,
    {
        let value = value.to_string();
        let _ = write!(self.line, " {key}=");
        push_value(&mut self.line, &value);
        self
    }
}

impl Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.line)
    }
}

fn push_value(line: &mut String, value: &str) {
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    let short = value.chars().count() <= VALUE_MAX_CHARS;
    if !value.is_empty() && short && value.chars().all(plain) {
        line.push_str(value);
        return;
    }
    line.push('"');
    for c in value.chars().take(VALUE_MAX_CHARS) {
        match c {
            '"' => line.push_str("\\\""),
            '\\' => line.push_str("\\\\"),
            ' ' => line.push(' '),
            c if c.is_control() || c == '\u{2028}' || c == '\u{2029}' => {
                let _ = write!(line, "\\u{{{:x}}}", u32::from(c));
            }
            c => line.push(c),
        }
    }
    if !short {
        line.push_str("...");
    }
    line.push('"');
}
