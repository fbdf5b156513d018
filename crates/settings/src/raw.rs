//! Parses a settings file and validates each value against its definition.

use std::{collections::BTreeMap, net::SocketAddr};

use ini::Ini;

use crate::{KEYS, KeyDef, SettingsError, ValueKind, keys::describe};

/// Validated values of a file, completed with the defaults.
#[derive(Debug, Default)]
pub(crate) struct RawSettings {
    pub file: String,
    values: BTreeMap<(&'static str, &'static str), String>,
    lines: BTreeMap<(String, String), usize>,
}

impl RawSettings {
    /// Parses `text` and appends the errors found to `errors`.
    ///
    /// An invalid value is replaced by its default, so that the checks that
    /// follow can still report all other errors.
    pub fn parse(
        file: &str,
        text: &str,
        errors: &mut Vec<SettingsError>,
    ) -> RawSettings {
        let mut raw = RawSettings {
            file: file.to_owned(),
            ..RawSettings::default()
        };
        raw.lines = find_lines(text);
        for def in KEYS {
            raw.values
                .insert((def.section, def.key), def.default.to_owned());
        }
        let parsed = match Ini::load_from_str(text) {
            Ok(parsed) => parsed,
            Err(err) => {
                errors.push(SettingsError::Syntax {
                    file: raw.file.clone(),
                    line: err.line + 1,
                    reason: err.msg.to_string(),
                });
                return raw;
            }
        };
        for (section, pairs) in parsed.iter() {
            for (key, value) in pairs.iter() {
                raw.insert(section.unwrap_or(""), key, value, errors);
            }
        }
        raw
    }

    /// Stores a value if its key is known and the value is valid.
    fn insert(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        errors: &mut Vec<SettingsError>,
    ) {
        let line = self.line(section, key);
        let found = KEYS
            .iter()
            .find(|def| def.section == section && def.key == key);
        let Some(def) = found else {
            errors.push(SettingsError::UnknownKey {
                file: self.file.clone(),
                line,
                key: format!("{section}.{key}"),
            });
            return;
        };
        if is_valid(def, value) {
            self.values.insert((def.section, def.key), value.to_owned());
        } else {
            errors.push(self.bad_value(section, key, value, &describe(def.kind)));
        }
    }

    /// Creates an error about the value of one key.
    pub fn bad_value(
        &self,
        section: &str,
        key: &str,
        value: &str,
        expected: &str,
    ) -> SettingsError {
        SettingsError::BadValue {
            file: self.file.clone(),
            line: self.line(section, key),
            key: format!("{section}.{key}"),
            value: value.to_owned(),
            expected: expected.to_owned(),
        }
    }

    /// Creates an error about a key that conflicts with another.
    pub fn conflict(&self, section: &str, key: &str, remedy: &str) -> SettingsError {
        SettingsError::Conflict {
            file: self.file.clone(),
            line: self.line(section, key),
            key: format!("{section}.{key}"),
            value: self.text(section, key).to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// Line number of a key, or 0 if the file does not set it.
    fn line(&self, section: &str, key: &str) -> usize {
        let path = (section.to_owned(), key.to_owned());
        self.lines.get(&path).copied().unwrap_or(0)
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
    // An empty value is valid only if the default is empty too.
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

/// Finds the line number of each key, which the INI parser does not report.
fn find_lines(text: &str) -> BTreeMap<(String, String), usize> {
    let mut lines = BTreeMap::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            section = name.trim().to_owned();
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            lines.insert((section.clone(), key.trim().to_owned()), index + 1);
        }
    }
    lines
}
