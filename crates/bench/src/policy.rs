//! x
pub fn run(_: u64, _: &std::path::Path) {}
