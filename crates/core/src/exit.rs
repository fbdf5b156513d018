//! Exit codes of the commands.

use std::process::ExitCode;

/// Result of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed.
    Failed,
    /// The command line or the settings file is invalid.
    Usage,
    /// The object was changed since the revision that the operator expected.
    Conflict,
    /// Whether the change was applied is unknown; repeat it with the same change
    /// id.
    Unknown,
    /// The change was rejected as invalid.
    Invalid,
}

impl Exit {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Conflict => 3,
            Exit::Unknown => 4,
            Exit::Invalid => 5,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit.code())
    }
}
