//! Names of teams, models, versions and the like.

use displaydoc::Display;

/// Longest name, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// Why a name cannot be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum NameError {
    /// the {0} name is empty; give 1 to 64 letters, digits, '.', '_' or '-'
    Empty(&'static str),
    /// the {0} name is longer than 64 bytes; shorten it
    TooLong(&'static str),
    /// the {0} name holds other than letters, digits, '.', '_' or '-'; rename it
    InvalidByte(&'static str),
}

impl std::error::Error for NameError {}

/// Checks that `name` can stand in headers, logs and record keys unquoted.
pub fn check_name(what: &'static str, name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty(what));
    }
    if name.len() > NAME_MAX_BYTES {
        return Err(NameError::TooLong(what));
    }
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if !name.bytes().all(plain) {
        return Err(NameError::InvalidByte(what));
    }
    Ok(())
}
