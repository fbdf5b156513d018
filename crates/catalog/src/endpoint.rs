//! Endpoints, as they announce themselves.

use std::net::SocketAddr;

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    #[default]
    Ready,
    /// The endpoint finishes its current requests and accepts no new ones.
    Draining,
}

/// An endpoint, as of its latest announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Endpoint id; the endpoint refuses a request that names another id.
    pub id: String,
    /// Start time of this incarnation, ms since the Unix epoch; zero if unknown.
    ///
    /// An endpoint with the same id and a later start time has restarted and
    /// kept no state of the earlier incarnation.
    pub born_ms: u64,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Listen address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Version of the endpoint's software.
    pub version: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Time from the announcement for which the endpoint is still slow after its
    /// start, ms.
    pub warmup_left_ms: u64,
}
