//! Load and experiment tool.
//!
//! `policy` drives the decision core against a model of the engines on
//! scripted time; `slopes` measures what each mechanism costs a process;
//! `loopback` measures the real daemons.  See `docs/EXPERIMENTS.md`.

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
    let mut out = PathBuf::from("target/bench");
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
                out = parser.value().map(PathBuf::from).unwrap_or(out);
            }
            Ok(Some(Arg::Value(word))) if command.is_none() => {
                command = word.into_string().ok();
            }
            _ => {
                print!("{USAGE}");
                return;
            }
        }
    }
    match command.as_deref() {
        Some("policy") => policy::run(seed, &out),
        Some("slopes") => slopes::run(),
        Some("loopback") => loopback::run(),
        _ => print!("{USAGE}"),
    }
}
