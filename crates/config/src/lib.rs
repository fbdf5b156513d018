//! Configuration records and the deterministic state machine that applies them.
//!
//! Operators' changes are records on the platform's log.  Every process applies
//! them in offset order, and a change is accepted or rejected when it is
//! applied, not when it is written.  The first valid change wins, a repeated
//! change id has no effect, and a change with an outdated expected revision is
//! rejected as [`ChangeError::Stale`].  See `docs/design/configuration.md`.
//!
//! ```
//! use config::{Change, ChangeRecord, Config, ModelSpec, Verdict};
//!
//! let mut config = Config::default();
//! let record = ChangeRecord {
//!     change_id: "c1".into(),
//!     who: "alice".into(),
//!     change: Change::Model(ModelSpec { name: "draft".into(), serving: "".into() }),
//!     ..ChangeRecord::default()
//! };
//! let verdict = config.apply(0, &record.encode());
//! assert_eq!(verdict, Verdict::Accepted { revision: 1 });
//! ```

mod audit;
mod change;
mod config;
mod name;
mod recent_changes;
mod record;
mod snapshot;
mod tables;

pub use audit::{AuditEntry, AuditFilter};
pub use config::{ChangeError, Config, Verdict};
pub use name::{NameError, check_name};
pub use record::{
    CascadeSpec, CascadeStep, Change, ChangeRecord, Gate, ModelSpec, ObjectKey,
    PlacementSpec, RECORD_VERSION, RolloutAction, RolloutSpec, ServiceSpec, TeamSpec,
    VersionSpec, WithdrawMode,
};
pub use snapshot::{Loader, SnapshotError, SnapshotPart};
pub use tables::{Object, Rollout, RolloutState, Version, VersionState};
