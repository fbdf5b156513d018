//! Secrets, which are kept in a separate file.

use std::{fmt, fs, os::unix::fs::PermissionsExt};

use ini::Ini;

use crate::SettingsError;

/// Mode bits that grant access to users other than the owner.
const NON_OWNER_MODE: u32 = 0o077;

/// An operator and the digest of their token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Name as recorded in the audit trail.
    pub name: String,
    /// SHA-256 digest of the token, hexadecimal.
    pub token_digest: String,
}

/// Keys and digests, which must not be logged.
#[derive(Clone, Default)]
pub struct Secrets {
    /// Keys of session tickets: the first signs, all of them verify.
    pub ticket_keys: Vec<String>,
    /// Operators that may connect.
    pub operators: Vec<Operator>,
}

impl fmt::Debug for Secrets {
    /// Formats only the counts, so that secrets do not end up in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Secrets")
            .field("ticket_keys", &self.ticket_keys.len())
            .field("operators", &self.operators.len())
            .finish()
    }
}

impl Secrets {
    /// Reads the file at `path`; returns no secrets if `path` is empty.
    pub(crate) fn load(path: &str, errors: &mut Vec<SettingsError>) -> Secrets {
        if path.is_empty() {
            return Secrets::default();
        }
        let mode = match fs::metadata(path) {
            Ok(metadata) => metadata.permissions().mode(),
            Err(err) => {
                errors.push(unreadable(path, &err.to_string()));
                return Secrets::default();
            }
        };
        if mode & NON_OWNER_MODE != 0 {
            errors.push(SettingsError::InsecurePermissions {
                file: path.to_owned(),
                mode: format!("{:o}", mode & 0o777),
            });
        }
        match Ini::load_from_file(path) {
            Ok(parsed) => collect(path, &parsed, errors),
            Err(err) => {
                // The parser's message may quote the line, which may hold a secret.
                let reason = match err {
                    ini::Error::Io(err) => err.to_string(),
                    ini::Error::Parse(err) => {
                        format!("line {} is not INI", err.line + 1)
                    }
                };
                errors.push(unreadable(path, &reason));
                Secrets::default()
            }
        }
    }
}

fn unreadable(path: &str, reason: &str) -> SettingsError {
    SettingsError::Unreadable {
        file: path.to_owned(),
        reason: reason.to_owned(),
    }
}

fn collect(path: &str, parsed: &Ini, errors: &mut Vec<SettingsError>) -> Secrets {
    let mut secrets = Secrets::default();
    for (section, pairs) in parsed.iter() {
        for (key, value) in pairs.iter() {
            match (section, key) {
                (Some("ticket"), "key" | "old_key") => {
                    secrets.ticket_keys.push(value.to_owned());
                }
                (Some("operators"), name) => secrets.operators.push(Operator {
                    name: name.to_owned(),
                    token_digest: value.to_ascii_lowercase(),
                }),
                (section, key) => errors.push(SettingsError::UnknownKey {
                    file: path.to_owned(),
                    line: 0,
                    key: format!("{}.{key}", section.unwrap_or("")),
                }),
            }
        }
    }
    secrets
}
