//! Daemons as real processes.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_currantbank");

/// Longest wait for a process to end.
const EXIT_WAIT: Duration = Duration::from_secs(90);

/// A running daemon; killed when dropped.
pub struct Daemon {
    child: Child,
    /// Addresses that it announced, by name.
    pub addresses: BTreeMap<String, SocketAddr>,
}

impl Daemon {
    /// Starts `currantbank COMMAND --config FILE` and waits until it listens.
    pub fn start(command: &str, config: &Path, log: &Path) -> Daemon {
        let stderr = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file can be opened");
        let mut child = Command::new(PROGRAM)
            .arg(command)
            .arg("--config")
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .expect("the program can be started");
        let stdout = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("it announces itself");
        let pairs = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        let addresses = pairs
            .map(|(name, address)| {
                (
                    name.to_owned(),
                    address.parse().expect("an announced address"),
                )
            })
            .collect();
        Daemon { child, addresses }
    }

    /// An announced address.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        let _ = kill_process(pid, signal);
    }

    /// Waits until it ended.
    pub fn wait(&mut self) -> Option<ExitStatus> {
        let until = Instant::now() + EXIT_WAIT;
        while Instant::now() < until {
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
