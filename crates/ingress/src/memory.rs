//! How much of an instance's memory callers may use.

use log::warn;
use procfs::{Current, Meminfo};

/// Part of the memory that bodies may hold, percent.
const BODIES_PERCENT: u64 = 30;

/// Memory that is assumed if the instance does not report it, bytes.
const UNKNOWN_MEMORY_BYTES: u64 = 256_000_000;

const BYTES_PER_MB: u64 = 1_000_000;

/// The parts of an instance's memory that callers may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryShares {
    memory_bytes: u64,
}

impl MemoryShares {
    /// The shares of `memory_mb`, or of what the instance reports if that is 0.
    pub fn new(memory_mb: u64) -> Self {
        let memory_bytes = match memory_mb {
            0 => reported_bytes(),
            mb => mb * BYTES_PER_MB,
        };
        MemoryShares { memory_bytes }
    }

    /// Returns the bytes that bodies may hold together.
    pub fn bodies_bytes(&self) -> u64 {
        self.memory_bytes / 100 * BODIES_PERCENT
    }
}

fn reported_bytes() -> u64 {
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
