//! Validated settings from INI files.
//!
//! [`KEYS`] defines every key with its default, range and description.  The
//! validation and the reference page are derived from that table.  All errors of
//! a file are reported at once, each with its line and a remedy.
//!
//! ```
//! use settings::{Role, Settings};
//!
//! let text = "[process]\nroom = ghent-1\n[entry]\nlisten = 127.0.0.1:0\n";
//! let settings = Settings::parse(Role::Entry, "entry.ini", text).unwrap();
//! assert_eq!(settings.entry.deadline_ms, 60_000);
//! ```

mod errors;
mod keys;
mod raw;
mod secrets;
mod values;

pub use errors::{SettingsError, SettingsErrors};
pub use keys::{KEYS, KeyDef, ValueKind, reference};
pub use secrets::{Operator, Secrets};
pub use values::{
    AgentSettings, EntrySettings, FirstModel, GatewaySettings, LogSettings, Objective,
    ProcessSettings, Role, RoutingSettings, Settings, StoreOutage, StoreSettings,
};
