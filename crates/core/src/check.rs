//! Checks a settings file offline.

use settings::Settings;

use crate::{exit::Exit, flags::CheckArgs};

/// Runs `currantbank check`.
pub fn run(args: &CheckArgs) -> Exit {
    let Some(file) = &args.file else {
        print!("{}", settings::reference());
        return Exit::Done;
    };
    match Settings::load(args.role, file) {
        Ok(_) => {
            println!("{}: good", file.display());
            Exit::Done
        }
        Err(faults) => {
            eprintln!("{faults}");
            Exit::Usage
        }
    }
}
