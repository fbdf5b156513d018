//! Exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// It did what was asked.
    Done,
    /// It failed.
    Failed,
    /// The command line or the settings are wrong.
    Usage,
    /// Another operator's change came first.
    Conflict,
    /// Whether the change holds is not known; ask again with the same id.
    Unknown,
    /// The change is not valid.
    Invalid,
}

impl Exit {
    /// The code as the shell sees it.
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
