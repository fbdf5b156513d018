//! Offline validation of a settings file.

use settings::Settings;

use crate::{exit::Exit, flags::CheckArgs};

/// Runs `currantbank check`: validates a settings file or prints the reference of
/// all keys.
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
        Err(errors) => {
            eprintln!("{errors}");
            Exit::Usage
        }
    }
}
