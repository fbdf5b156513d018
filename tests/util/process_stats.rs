//! What the kernel tells about a process.

use std::{fs, net::SocketAddr};

/// Returns the largest amount of memory that a process has used so far, KiB.
pub fn memory_peak_kib(pid: u32) -> u64 {
    let path = format!("/proc/{pid}/status");
    let status = fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .expect("the status has the peak")
}

/// Returns the number of descriptors that a process has open.
pub fn descriptors(pid: u32) -> usize {
    let path = format!("/proc/{pid}/fd");
    fs::read_dir(path).expect("the process runs").count()
}

/// Bytes that wait in the kernel's buffers of a listener's connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueuedBytes {
    /// Sent by clients on this machine and not yet received.
    pub unsent: u64,
    /// Received and not yet read by the process that listens.
    pub unread: u64,
}

/// Reads the queues of a listener's connections; only those over IPv4 are counted.
pub fn queued_bytes(listener: SocketAddr) -> QueuedBytes {
    let port = format!(":{:04X}", listener.port());
    let table = fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let mut queued = QueuedBytes::default();
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, _, queues, ..] = fields[..] else {
            continue;
        };
        let Some((unsent, unread)) = queues.split_once(':') else {
            continue;
        };
        let number = |text| u64::from_str_radix(text, 16).unwrap_or_default();
        if remote.ends_with(&port) {
            queued.unsent += number(unsent);
        }
        if local.ends_with(&port) {
            queued.unread += number(unread);
        }
    }
    queued
}

/// Returns how much the sockets of a listener have received that the process has not
/// read, KiB.
pub fn unread_kib(listener: SocketAddr) -> u64 {
    queued_bytes(listener).unread / 1_024
}
