//! RPC between currantbank's processes, over `capnp-rpc`.
//!
//! The schema is `schema/wire.capnp`; `tools/codegen` generates `wire_capnp.rs`
//! from it, and the result is committed.  Other crates use only the typed
//! messages of [`message`].  `capnp-rpc` is single-threaded, so a [`Hub`] owns
//! all outgoing connections of a process on a dedicated thread and can be called
//! from any thread.  See `docs/design/wire.md`.

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
