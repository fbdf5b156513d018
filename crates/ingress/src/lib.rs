//! What a process accepts from callers.
//!
//! Callers are not trusted: a body may come in any pieces, and may never end. See
//! `docs/design/ingress.md`.

mod body;

pub use body::{BodyError, read_body};
