//! What a request's task tells the HTTP side.

use bytes::Bytes;

use crate::RequestError;

/// Pieces that may wait for a slow caller.
pub(crate) const PIECES_WAITING: usize = 64;

/// The head of an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Head {
    /// `model@version` that answers.
    pub version: String,
    /// Session ticket to hand back, if there is a session.
    pub ticket: Option<String>,
}

/// What an answer used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Prompt tokens read.
    pub prompt_tokens: u64,
    /// Output tokens generated.
    pub output_tokens: u64,
}

/// A piece of an answer, in order: a head, texts, an end or an error.
#[derive(Clone, Debug)]
pub(crate) enum Piece {
    /// Comes once, before any text.
    Head(Head),
    /// A piece of the answer.
    Text(Bytes),
    /// The answer is whole, and its bill is held.
    End(Usage),
    /// There is no whole answer.
    Error(RequestError),
}

/// The caller is gone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerGone;

/// Where a request's task puts its pieces.
pub(crate) type Pieces = tokio::sync::mpsc::Sender<Piece>;
