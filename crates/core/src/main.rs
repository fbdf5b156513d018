//! Command-line program of currantbank; see `currantbank --help`.

mod check;
mod ctl;
mod daemon;
mod exit;
mod flags;

use std::process::ExitCode;

use flags::{Command, Parsed};

fn main() -> ExitCode {
    let parsed = flags::parse(std::env::args_os().skip(1));
    let exit = match parsed {
        Ok(Parsed::Print(text)) => {
            print!("{text}");
            exit::Exit::Done
        }
        Ok(Parsed::Run(Command::Entry(args))) => daemon::entry(&args),
        Ok(Parsed::Run(Command::Agent(args))) => daemon::agent(&args),
        Ok(Parsed::Run(Command::Gateway(args))) => daemon::gateway(&args),
        Ok(Parsed::Run(Command::Check(args))) => check::run(&args),
        Ok(Parsed::Run(Command::Ctl(args))) => ctl::run(&args),
        Err(err) => {
            eprintln!("currantbank: {err}");
            exit::Exit::Usage
        }
    };
    exit.into()
}
