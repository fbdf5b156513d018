//! Integration tests, by feature.
//!
//! Scenarios under `tests/scenarios` drive real processes through a small
//! language; see `tests/util/script.rs`.

mod util;

mod scenarios;
