//! Errors in settings files.

use std::fmt;

use displaydoc::Display;

/// One error in a settings file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SettingsError {
    /// {file}: cannot be read ({reason}); check the path and its permissions
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system or the parser.
        reason: String,
    },
    /// {file}:{line}: not an INI line ({reason}); write `key = value` below a `[section]`
    Syntax {
        /// File that contains the line.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Error of the parser.
        reason: String,
    },
    /// {file}:{line}: unknown key {key}; remove it, or see `currantbank check --keys`
    UnknownKey {
        /// File that contains the key.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Section and key, `section.key`.
        key: String,
    },
    /// {file}:{line}: {key} = {value:?} is not {expected}; correct it
    BadValue {
        /// File that contains the key.
        file: String,
        /// Line number, from 1; 0 if the key is missing.
        line: usize,
        /// Section and key, `section.key`.
        key: String,
        /// Value in the file.
        value: String,
        /// Description of the valid values.
        expected: String,
    },
    /// {file}:{line}: {key} = {value:?} conflicts with another key: {remedy}
    Conflict {
        /// File that contains the key.
        file: String,
        /// Line number, from 1; 0 if the key has its default.
        line: usize,
        /// Section and key, `section.key`.
        key: String,
        /// Value of the key, from the file or the default.
        value: String,
        /// The conflict and how to resolve it.
        remedy: String,
    },
    /// {file}: secrets are accessible to other users (mode {mode}); run `chmod 600` on the file
    InsecurePermissions {
        /// Path of the secrets file.
        file: String,
        /// Mode of the file, octal.
        mode: String,
    },
}

impl SettingsError {
    /// Whether the error is a bad value of the key.
    pub(crate) fn is_bad_value_of(&self, section: &str, name: &str) -> bool {
        match self {
            SettingsError::BadValue { key, .. } => *key == format!("{section}.{name}"),
            _ => false,
        }
    }
}

/// All errors in a settings file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
