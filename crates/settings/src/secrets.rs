//! Secrets, from a file of their own.

use std::{fmt, fs, os::unix::fs::PermissionsExt};

use ini::Ini;

use crate::SettingsError;

/// Mode bits that let others than the owner read or write.
const OTHERS_MODE: u32 = 0o077;

/// An operator and the digest of its token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Name, as the audit trail shows it.
    pub name: String,
    /// SHA-256 of the token, hex.
    pub token_digest: String,
}

/// Keys and digests that must not be logged.
#[derive(Clone, Default)]
pub struct Secrets {
    /// Keys of session tickets; the first signs, all are accepted.
    pub ticket_keys: Vec<String>,
    /// Operators.
    pub operators: Vec<Operator>,
}

impl fmt::Debug for Secrets {
    /// Shows counts only, since settings are logged at start.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Secrets")
            .field("ticket_keys", &self.ticket_keys.len())
            .field("operators", &self.operators.len())
            .finish()
    }
}

impl Secrets {
    /// Reads the file, if one is named.
    pub(crate) fn load(path: &str, faults: &mut Vec<SettingsError>) -> Secrets {
        if path.is_empty() {
            return Secrets::default();
        }
        let mode = match fs::metadata(path) {
            Ok(metadata) => metadata.permissions().mode(),
            Err(err) => {
                faults.push(unreadable(path, &err.to_string()));
                return Secrets::default();
            }
        };
        if mode & OTHERS_MODE != 0 {
            faults.push(SettingsError::InsecurePermissions {
                file: path.to_owned(),
                mode: format!("{:o}", mode & 0o777),
            });
        }
        match Ini::load_from_file(path) {
            Ok(parsed) => collect(path, &parsed, faults),
            Err(err) => {
                // The parser's message may quote the line, which is secret.
                let why = match err {
                    ini::Error::Io(err) => err.to_string(),
                    ini::Error::Parse(err) => {
                        format!("line {} is not INI", err.line + 1)
                    }
                };
                faults.push(unreadable(path, &why));
                Secrets::default()
            }
        }
    }
}

fn unreadable(path: &str, why: &str) -> SettingsError {
    SettingsError::Unreadable {
        file: path.to_owned(),
        why: why.to_owned(),
    }
}

fn collect(path: &str, parsed: &Ini, faults: &mut Vec<SettingsError>) -> Secrets {
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
                (section, key) => faults.push(SettingsError::UnknownKey {
                    file: path.to_owned(),
                    line: 0,
                    key: format!("{}.{key}", section.unwrap_or("")),
                }),
            }
        }
    }
    secrets
}
