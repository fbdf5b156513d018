//! Simulation and benchmark tool.
//!
//! `policy` runs the routing policies against simulated engines in virtual time;
//! `slopes` measures how the cost of each mechanism grows with its load;
//! `loopback` measures the real daemons over the loopback device. See
//! `docs/EXPERIMENTS.md`.

mod cost;
mod loopback;
mod plot;
mod policy;
mod sim;
mod slopes;

use std::path::PathBuf;

use lexopt::{Arg, ValueExt};

const USAGE: &str = "\
usage: bench policy [--seed N] [--out DIR]
       bench slopes
       bench loopback
";

fn main() {
    let mut command = None;
    let mut seed = 1;
    let mut out_dir = PathBuf::from("target/bench");
    let mut parser = lexopt::Parser::from_env();
    loop {
        match parser.next() {
            Ok(None) => break,
            Ok(Some(Arg::Long("seed"))) => {
                seed = parser
                    .value()
                    .and_then(|value| value.parse())
                    .unwrap_or(seed);
            }
            Ok(Some(Arg::Long("out"))) => {
                out_dir = parser.value().map(PathBuf::from).unwrap_or(out_dir);
            }
            Ok(Some(Arg::Value(value))) if command.is_none() => {
                command = value.into_string().ok();
            }
            _ => {
                print!("{USAGE}");
                return;
            }
        }
    }
    match command.as_deref() {
        Some("policy") => policy::run(seed, &out_dir),
        Some("slopes") => slopes::run(),
        Some("loopback") => loopback::run(),
        _ => print!("{USAGE}"),
    }
}
