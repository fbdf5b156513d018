//! Runs the whole system on one machine and demonstrates it.
//!
//! An entry, three agents and fakes of the platform's services run in this
//! process, on loopback addresses.  The demo makes one request of each kind,
//! prints the responses and the resulting bills on the log, and exits.  With
//! `--stay` it keeps serving, and prints a curl command for each request.

mod demo;
mod system;

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
    let runtime = tokio::runtime::Runtime::new().expect("cannot build the runtime");
    runtime.block_on(async {
        let system = system::LocalSystem::start().await;
        demo::run(&system, stay).await;
        if stay {
            let _ = tokio::signal::ctrl_c().await;
        }
    });
    // The agents' threads never return, so end them by exiting the process.
    std::process::exit(0);
}
