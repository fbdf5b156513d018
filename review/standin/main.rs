//! Runs one case of the review: `lab NAME CASE-FOLDER SCRATCH-FOLDER`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.

mod client;
mod deployment;
mod gapped_stream;
mod gateway;
mod grey_runner;
mod http;
mod large_bodies;
mod preempted_streams;
mod record;
mod runner;
mod slow_reader;
mod store;
mod sys;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// Time after which a case counts as one that could not run.
const WATCHDOG: Duration = Duration::from_secs(110);

/// Why a case could not run.
pub type Failure = Box<dyn std::error::Error>;

/// Result of a case: whether the rule was broken.
pub type Verdict = Result<bool, Failure>;

/// What every case is given.
pub struct Setup {
    /// Folder of the case, for its record.
    pub case: PathBuf,
    /// Folder for settings and logs.
    pub scratch: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    std::thread::spawn(|| {
        std::thread::sleep(WATCHDOG);
        gateway::kill_all();
        eprintln!("the case took too long");
        exit(2);
    });
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, case, scratch] = &arguments[..] else {
        eprintln!("usage: lab NAME CASE-FOLDER SCRATCH-FOLDER");
        exit(2);
    };
    let setup = Setup {
        case: case.into(),
        scratch: scratch.into(),
        trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
    };
    let verdict = match name.as_str() {
        "gapped-stream" => gapped_stream::run(&setup),
        "grey-runner" => grey_runner::run(&setup),
        "large-bodies" => large_bodies::run(&setup),
        "preempted-streams" => preempted_streams::run(&setup),
        "slow-reader" => slow_reader::run(&setup),
        _ => Err("no such case".into()),
    };
    match verdict {
        Ok(true) => exit(1),
        Ok(false) => exit(0),
        Err(failure) => {
            eprintln!("the case could not run: {failure}");
            exit(2);
        }
    }
}
