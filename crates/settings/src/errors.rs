//! SettingsErrors found in a settings file.

use std::fmt;

use displaydoc::Display;

/// One fault of a settings file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SettingsError {
    /// {file}: cannot be read ({why}); check the path and its mode
    Unreadable {
        /// File that was named.
        file: String,
        /// What the system said.
        why: String,
    },
    /// {file}:{line}: not an INI line ({why}); write `key = value` below a `[section]`
    Syntax {
        /// File the line stands in.
        file: String,
        /// Line, from 1.
        line: usize,
        /// What the parser said.
        why: String,
    },
    /// {file}:{line}: unknown key {key}; remove it, or see `currantbank check --keys`
    UnknownKey {
        /// File the key stands in.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Section and key.
        key: String,
    },
    /// {file}:{line}: {key} = {value:?} is not {wanted}; correct it
    BadValue {
        /// File the key stands in.
        file: String,
        /// Line, from 1; 0 if the key is missing.
        line: usize,
        /// Section and key.
        key: String,
        /// What the file says.
        value: String,
        /// What it should say.
        wanted: String,
    },
    /// {file}:{line}: {key} = {value:?} contradicts another key: {remedy}
    Conflict {
        /// File the key stands in.
        file: String,
        /// Line, from 1; 0 if the key is left to its default.
        line: usize,
        /// Section and key.
        key: String,
        /// What holds for the key.
        value: String,
        /// How to put it right.
        remedy: String,
    },
    /// {file}: secrets may be read by others (mode {mode}); run `chmod 600` on it
    InsecurePermissions {
        /// Secrets file.
        file: String,
        /// Its mode, octal.
        mode: String,
    },
}

impl SettingsError {
    /// Whether it is a bad value of a key.
    pub(crate) fn is_about(&self, section: &str, name: &str) -> bool {
        match self {
            SettingsError::BadValue { key, .. } => *key == format!("{section}.{name}"),
            _ => false,
        }
    }
}

/// All faults of a settings file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
