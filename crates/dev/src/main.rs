//! Runs the whole system on one machine and shows it at work.
//!
//! An entry, three agents and the platform's stand-ins run as tasks of this
//! one process, on loopback.  It makes one call of each kind, prints the real
//! answers and the bills that they left on the log, and ends; with `--stay`
//! it goes on serving, and prints a curl line for each call.

mod plant;
mod show;

use lexopt::Arg;

fn main() {
    let mut stay = false;
    let mut parser = lexopt::Parser::from_env();
    while let Ok(Some(arg)) = parser.next() {
        match arg {
            Arg::Long("stay") => stay = true,
            _ => {
                println!("usage: cargo run -p dev -- [--stay]");
                return;
            }
        }
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
    runtime.block_on(async {
        let plant = plant::Plant::start().await;
        show::run(&plant, stay).await;
        if stay {
            let _ = tokio::signal::ctrl_c().await;
        }
    });
    // The daemons' threads end with the process.
    std::process::exit(0);
}
