//! Calls between currantbank's own processes, over `capnp-rpc`.
//!
//! The schema is `schema/wire.capnp`; `wire_capnp.rs` is made from it by
//! `tools/codegen` and committed.  The rest of the system sees the typed
//! messages of [`message`] only.  `capnp-rpc` lives on one thread, so a
//! [`Hub`] owns all outgoing connections of a process on a thread of its own
//! and is called from any other.  See `docs/design/wire.md`.

mod assemble;
mod convert;
mod hub;
pub mod message;
mod serve;
#[allow(missing_docs, clippy::all, unused_qualifications)]
#[rustfmt::skip]
mod wire_capnp;

pub use assemble::{Assembled, Assembler};
pub use hub::{CallError, FrameReceiver, Hub};
pub use message::{
    AttemptId, AttemptState, Dispatch, Execution, Failure, Frame, FrameKind, Hello,
    Refusal, StreamChecksum, Verdict,
};
pub use serve::{
    AgentHandler, FrameSink, PeerHandler, SinkClosed, serve_agent, serve_peer,
};
