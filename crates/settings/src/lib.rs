//! Checked INI settings.
//!
//! Every key stands once in [`KEYS`], with its unit, default, range and doc;
//! help, docs and checks come from that table.  All faults of a file are told
//! at once, each with line and remedy.
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
    PlacementSettings, ProcessSettings, Role, Settings, StoreOutage, StoreSettings,
};
