//! Reads and checks a file's lines against the table of keys.

use std::{collections::BTreeMap, net::SocketAddr};

use ini::Ini;

use crate::{KEYS, KeyDef, SettingsError, ValueKind, keys::describe};

/// Checked values of a file, defaults filled in.
#[derive(Debug, Default)]
pub(crate) struct Raw {
    pub file: String,
    values: BTreeMap<(&'static str, &'static str), String>,
    lines: BTreeMap<(String, String), usize>,
}

impl Raw {
    /// Parses `text`; a faulty value is replaced by its default, so that the
    /// checks that follow can still tell all other faults.
    pub fn parse(file: &str, text: &str, faults: &mut Vec<SettingsError>) -> Raw {
        let mut raw = Raw {
            file: file.to_owned(),
            ..Raw::default()
        };
        raw.lines = find_lines(text);
        for def in KEYS {
            raw.values
                .insert((def.section, def.key), def.default.to_owned());
        }
        let parsed = match Ini::load_from_str(text) {
            Ok(parsed) => parsed,
            Err(err) => {
                faults.push(SettingsError::Syntax {
                    file: raw.file.clone(),
                    line: err.line + 1,
                    why: err.msg.to_string(),
                });
                return raw;
            }
        };
        for (section, pairs) in parsed.iter() {
            for (key, value) in pairs.iter() {
                raw.take(section.unwrap_or(""), key, value, faults);
            }
        }
        raw
    }

    fn take(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        faults: &mut Vec<SettingsError>,
    ) {
        let line = self.line(section, key);
        let found = KEYS
            .iter()
            .find(|def| def.section == section && def.key == key);
        let Some(def) = found else {
            faults.push(SettingsError::UnknownKey {
                file: self.file.clone(),
                line,
                key: format!("{section}.{key}"),
            });
            return;
        };
        if is_valid(def, value) {
            self.values.insert((def.section, def.key), value.to_owned());
        } else {
            faults.push(self.bad_value(section, key, value, &describe(def.kind)));
        }
    }

    /// A fault of one key's value.
    pub fn bad_value(
        &self,
        section: &str,
        key: &str,
        value: &str,
        wanted: &str,
    ) -> SettingsError {
        SettingsError::BadValue {
            file: self.file.clone(),
            line: self.line(section, key),
            key: format!("{section}.{key}"),
            value: value.to_owned(),
            wanted: wanted.to_owned(),
        }
    }

    /// A fault of two keys together.
    pub fn contradiction(
        &self,
        section: &str,
        key: &str,
        remedy: &str,
    ) -> SettingsError {
        SettingsError::Conflict {
            file: self.file.clone(),
            line: self.line(section, key),
            key: format!("{section}.{key}"),
            value: self.text(section, key).to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    fn line(&self, section: &str, key: &str) -> usize {
        let place = (section.to_owned(), key.to_owned());
        self.lines.get(&place).copied().unwrap_or(0)
    }

    pub fn text(&self, section: &str, key: &str) -> &str {
        let found = self
            .values
            .iter()
            .find(|((s, k), _)| *s == section && *k == key);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn number(&self, section: &str, key: &str) -> u64 {
        self.text(section, key).parse().unwrap_or_default()
    }

    pub fn decimal(&self, section: &str, key: &str) -> f64 {
        self.text(section, key).parse().unwrap_or_default()
    }

    pub fn address(&self, section: &str, key: &str) -> Option<SocketAddr> {
        self.text(section, key).parse().ok()
    }

    pub fn addresses(&self, section: &str, key: &str) -> Vec<SocketAddr> {
        let items = self.text(section, key).split(',');
        items.filter_map(|item| item.trim().parse().ok()).collect()
    }
}

fn is_valid(def: &KeyDef, value: &str) -> bool {
    // An empty value means the default where that is empty too.
    if value.is_empty() {
        return def.default.is_empty();
    }
    match def.kind {
        ValueKind::Text => true,
        ValueKind::Name => value
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-')),
        ValueKind::Address => value.parse::<SocketAddr>().is_ok(),
        ValueKind::Addresses => value
            .split(',')
            .all(|item| item.trim().parse::<SocketAddr>().is_ok()),
        ValueKind::Number { min, max } => value
            .parse::<u64>()
            .is_ok_and(|number| (min..=max).contains(&number)),
        ValueKind::Decimal { min, max } => value
            .parse::<f64>()
            .is_ok_and(|number| (min..=max).contains(&number)),
        ValueKind::Choice(words) => words.contains(&value),
    }
}

/// Line of each key, since the INI library tells none.
fn find_lines(text: &str) -> BTreeMap<(String, String), usize> {
    let mut lines = BTreeMap::new();
    let mut section = String::new();
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            section = name.trim().to_owned();
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            lines.insert((section.clone(), key.trim().to_owned()), at + 1);
        }
    }
    lines
}
