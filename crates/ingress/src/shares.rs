//! How much of an instance's memory and descriptors callers may use.

use log::warn;
use procfs::{Current, Meminfo};
use rustix::process::{Resource, getrlimit};

/// Part of the memory that bodies may hold, percent.
const BODIES_PERCENT: u64 = 30;

/// Part of the memory that connections may hold, percent.
const CONNECTIONS_PERCENT: u64 = 40;

/// Memory that a connection takes besides what it receives, bytes: its task and the
/// buffers of its answer.
const CONNECTION_BYTES: u64 = 16 * 1024;

/// Size of the receive buffer of a caller's connection, bytes. What the kernel has
/// received takes memory while the process cannot read it.
pub const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// Size of the read buffer of an internal connection, bytes.
pub const INTERNAL_BUFFER_BYTES: usize = 16 * 1024;

/// Descriptors that callers leave for files.
const FILES_RESERVED: u64 = 200;

/// Part of the other descriptors that callers leave for endpoints, the log and peers.
const OUTGOING_PART: u64 = 2;

/// Part of the number of callers' connections that an entry's peers may have.
const PEER_PART: usize = 2;

/// Part of the number of callers' connections that each internal listener may have.
const INTERNAL_PART: usize = 8;

/// Minimum number of connections of a listener, however small the instance.
const CONNECTIONS_MIN: u64 = 16;

/// Memory that is assumed if the instance does not report it, bytes.
const UNKNOWN_MEMORY_BYTES: u64 = 256_000_000;

const BYTES_PER_MB: u64 = 1_000_000;

/// An instance's memory and descriptors, of which callers may use parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InstanceShares {
    /// Memory of the instance, bytes.
    pub memory_bytes: u64,
    /// Descriptors that a process may open.
    pub descriptors_max: u64,
}

impl InstanceShares {
    /// Reads what the instance reports; `memory_mb` and `descriptors_max` take the place
    /// of that unless they are 0, but a process cannot have more descriptors than it is
    /// allowed.
    pub fn read(memory_mb: u64, descriptors_max: u64) -> Self {
        let memory_bytes = match memory_mb {
            0 => reported_memory_bytes(),
            mb => mb * BYTES_PER_MB,
        };
        let allowed = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        InstanceShares {
            memory_bytes,
            descriptors_max: match descriptors_max {
                0 => allowed,
                max => max.min(allowed),
            },
        }
    }

    /// Returns the bytes that bodies may hold together.
    pub fn bodies_bytes(&self) -> u64 {
        self.memory_bytes / 100 * BODIES_PERCENT
    }

    /// Returns the number of callers' connections that may be open, if each has a receive
    /// buffer of [`RECEIVE_BUFFER_BYTES`] and a read buffer of `buffer_bytes`.
    pub fn connections(&self, buffer_bytes: usize) -> usize {
        let each = CONNECTION_BYTES + (RECEIVE_BUFFER_BYTES + buffer_bytes) as u64;
        let by_memory = self.memory_bytes / 100 * CONNECTIONS_PERCENT / each;
        let sockets = self.descriptors_max.saturating_sub(FILES_RESERVED);
        let by_descriptors = sockets / OUTGOING_PART;
        let connections = by_memory.min(by_descriptors).max(CONNECTIONS_MIN);
        usize::try_from(connections).unwrap_or(usize::MAX)
    }

    /// Returns the number of connections of peers that an entry may have open besides its
    /// callers'.
    pub fn peer_connections(&self) -> usize {
        (self.connections(INTERNAL_BUFFER_BYTES) / PEER_PART)
            .max(CONNECTIONS_MIN as usize)
    }

    /// Returns the number of connections that each listener for readiness checks, metrics,
    /// operators or peers may have open.
    pub fn internal_connections(&self) -> usize {
        (self.connections(INTERNAL_BUFFER_BYTES) / INTERNAL_PART)
            .max(CONNECTIONS_MIN as usize)
    }
}

fn reported_memory_bytes() -> u64 {
    match Meminfo::current() {
        Ok(info) => info.mem_total,
        Err(err) => {
            warn!(
                "event=memory_unknown assumed_bytes={UNKNOWN_MEMORY_BYTES} reason=\"{err}\""
            );
            UNKNOWN_MEMORY_BYTES
        }
    }
}
