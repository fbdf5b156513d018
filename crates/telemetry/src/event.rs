//! Log lines of `key=value` pairs.

use std::fmt::{self, Display, Write};

/// Maximum length of a value, characters; longer values are truncated.
const VALUE_MAX_CHARS: usize = 512;

/// Builder of a log line for an event.
#[derive(Clone, Debug)]
pub struct Event {
    line: String,
}

impl Event {
    /// Creates an event with the given name and no pairs.
    pub fn new(name: &str) -> Self {
        Event {
            line: format!("event={name}"),
        }
    }

    /// Appends a pair.
    ///
    /// The value is quoted and escaped if it contains characters that could be
    /// parsed as another pair or another line.
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

/// Appends a value, quoted and truncated if necessary.
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
