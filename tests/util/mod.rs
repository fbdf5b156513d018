//! What the tests share.

pub mod caller;
pub mod process;
pub mod script;
pub mod site;
pub mod world;
