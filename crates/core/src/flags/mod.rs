//! Command-line flags: definitions, help and parsing.

mod defs;
mod help;
mod parse;

pub use defs::FLAGS;
pub use parse::{
    Action, CheckArgs, Command, CommonArgs, CtlArgs, DaemonArgs, Parsed, parse,
};
