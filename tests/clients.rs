//! Clients that do not behave, against the system's own processes.
//!
//! Each test holds [`ALONE`], so that its process has the machine's memory and
//! descriptors for itself.  The bounds are those of the users' smallest machine, and
//! nothing depends on the machine's speed: every check is of a state that must hold, or
//! waits for one.

use tokio::sync::Mutex;

#[allow(dead_code, reason = "other test programs use the rest of the helpers")]
mod util;

#[path = "clients/bodies.rs"]
mod bodies;
#[path = "clients/connections.rs"]
mod connections;
#[path = "clients/entry.rs"]
mod entry;
#[path = "clients/gateway.rs"]
mod gateway;
#[path = "clients/soak.rs"]
mod soak;

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Memory of the users' smallest machine, MB.
const MEMORY_MB: u64 = 88;

/// The same, KiB.
const MEMORY_MAX_KIB: u64 = MEMORY_MB * 1_000_000 / 1_024;

/// Descriptors that each process may open in tests that lower this limit.
const DESCRIPTORS_MAX: u32 = 400;

/// Descriptors of a machine that are reserved for files.
const DESCRIPTORS_RESERVED: usize = 200;
