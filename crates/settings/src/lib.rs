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

mod faults;
mod keys;
mod raw;
mod secrets;
mod values;

pub use faults::{Fault, Faults};
pub use keys::{KEYS, KeyDef, Kind, reference};
pub use secrets::{Operator, Secrets};
pub use values::{
    AgentSettings, EntrySettings, FirstModel, GatewaySettings, LogSettings, Objective,
    PlaceSettings, ProcessSettings, Role, Settings, StoreOutage, StoreSettings,
};
