//! What a process accepts from callers.
//!
//! Callers are not trusted: a body may come in any pieces, and may never end. See
//! `docs/design/ingress.md`.

mod account;
mod bodies;
mod body;
mod connection_table;
mod connections;
mod discard;
mod evictions;
mod listener;
mod observed_stream;
mod shares;

pub use account::{BodyAccount, BodyId, BodyStart, NoRoom};
pub use bodies::{Bodies, HeldBody, ReadError};
pub use body::{BodyError, read_body};
pub use connection_table::{Admission, ConnectionId, ConnectionTable};
pub use connections::{Connection, Connections};
pub use discard::discard;
pub use listener::{Accepted, Listener};
pub use observed_stream::{ObservedStream, StreamObserver};
pub use shares::{INTERNAL_BUFFER_BYTES, InstanceShares, RECEIVE_BUFFER_BYTES};
