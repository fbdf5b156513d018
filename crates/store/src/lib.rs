//! Client of the platform's append-only log and instance list.
//!
//! The platform speaks HTTP and JSON; see `docs/design/platform.md` for the
//! calls.  An append whose response is lost may have taken effect; the client
//! distinguishes this from a rejected append, see [`StoreError::outcome_unknown`].

mod client;
mod error;
mod follow;
mod keyed;
mod keyed_follow;
mod live;
mod read_pacing;
mod view;

pub use client::{Page, Record, Store};
pub use error::StoreError;
pub use follow::{CONFIG_STREAM, claim_stream, follow, follow_config};
pub use keyed::{
    KeyedChange, KeyedLog, KeyedPage, KeyedRecord, KeyedTable, LogPosition,
};
pub use keyed_follow::{FollowOptions, KeyedEvent, follow_keyed};
pub use live::{Instance, InstanceList, InstanceState, Role};
pub use read_pacing::ReadPacing;
pub use view::{ConfigHealth, ConfigUpdate, ConfigView};

/// Stream of bills.
pub const BILL_STREAM: &str = "bills";
