//! Daemons run as child processes.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// Path of the binary under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_currantbank");

/// Maximum time for a process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(90);

/// A command that runs the binary with at most `descriptors_max` open descriptors.
pub fn command_with_descriptors(descriptors_max: u32) -> Command {
    let mut command = Command::new("sh");
    command
        .arg("-c")
        .arg(format!("ulimit -n {descriptors_max} && exec \"$0\" \"$@\""))
        .arg(PROGRAM);
    command
}

/// A running daemon; killed on drop.
pub struct Daemon {
    child: Child,
    /// Listening addresses printed at startup, by name.
    pub addresses: BTreeMap<String, SocketAddr>,
}

impl Daemon {
    /// Starts `currantbank COMMAND --config FILE` and waits for its addresses.
    pub fn start(command: &str, config: &Path, log: &Path) -> Daemon {
        Daemon::start_program(Command::new(PROGRAM), command, config, log)
    }

    /// Like [`Daemon::start`], for a `program` that runs the binary.
    pub fn start_program(
        mut program: Command,
        command: &str,
        config: &Path,
        log: &Path,
    ) -> Daemon {
        let stderr = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("opens the log file");
        let mut child = program
            .arg(command)
            .arg("--config")
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .expect("starts the binary");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("reads the line of addresses");
        let pairs = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        let addresses = pairs
            .map(|(name, address)| {
                (name.to_owned(), address.parse().expect("a socket address"))
            })
            .collect();
        Daemon { child, addresses }
    }

    /// Address of the listener `name`.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        let _ = kill_process(pid, signal);
    }

    /// Waits for the process to exit; `None` after [`EXIT_TIMEOUT`].
    pub fn wait(&mut self) -> Option<ExitStatus> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
