//! Channel from a request's task to the HTTP handler.

use bytes::Bytes;

use crate::RequestError;

/// Response parts that are queued for a slow caller before the task waits.
pub(crate) const CHANNEL_CAPACITY: usize = 64;

/// Metadata sent before the response text.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseHead {
    /// Version that responds, as `model@version`.
    pub version: String,
    /// Session ticket returned to the caller, if the request has a session.
    pub ticket: Option<String>,
}

/// Tokens used by a response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Prompt tokens read.
    pub prompt_tokens: u64,
    /// Output tokens generated.
    pub output_tokens: u64,
}

/// Part of a response. The order is a head, any number of texts, then an end or
/// an error; an error may also come first.
#[derive(Clone, Debug)]
pub(crate) enum ResponsePart {
    /// Sent once, before any text.
    Head(ResponseHead),
    /// A chunk of the response text.
    Text(Bytes),
    /// The response is complete and its bill is stored.
    End(Usage),
    /// The response failed or is incomplete.
    Error(RequestError),
}

/// The caller closed its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerDisconnected;

/// Sending half of a request's response channel.
pub(crate) type ResponseSender = tokio::sync::mpsc::Sender<ResponsePart>;
