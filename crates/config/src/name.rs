//! Validation of the names of teams, models, versions and other objects.

use displaydoc::Display;

/// Maximum length of a name, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// Why a name is invalid.
///
/// The messages become part of a [`ChangeError`](crate::ChangeError) and, like its
/// messages, are stored in the audit trail.
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

/// Checks that `name` needs no quoting in headers, log lines and record keys.
///
/// `what` is the kind of the name, for the error message.
pub fn check_name(what: &'static str, name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty(what));
    }
    if name.len() > NAME_MAX_BYTES {
        return Err(NameError::TooLong(what));
    }
    let is_allowed =
        |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if !name.bytes().all(is_allowed) {
        return Err(NameError::InvalidByte(what));
    }
    Ok(())
}
