//! Endpoints that announce themselves.

use std::net::SocketAddr;

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndpointState {
    /// It takes new requests.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// One endpoint as it announced itself last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Id; the endpoint refuses a request that names another.
    pub id: String,
    /// Start of this incarnation, ms since 1970; zero where it is not told.
    ///
    /// The same id with a later start is an endpoint that knows nothing of
    /// what the earlier one did.
    pub born_ms: u64,
    /// Service that it answers for.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// How much longer it is slow after its start, ms.
    pub warmup_left_ms: u64,
}
