//! The command line: flags, their help, and what they come to.

mod defs;
mod help;
mod parse;

pub use defs::FLAGS;
pub use parse::{
    Action, CheckArgs, Command, Common, CtlArgs, DaemonArgs, Parsed, parse,
};
