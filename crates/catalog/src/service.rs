//! Services, and the limits on the requests of callers.

/// A model that a service's engines serve, with its price.
#[derive(Clone, Debug, PartialEq)]
pub struct PricedModel {
    /// Name of the model.
    pub name: String,
    /// Price of 1,000 output tokens, in the unit of the published
    /// configuration.
    pub cost: f64,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one endpoint accepts, over all
    /// callers.
    pub connections_max: u32,
    /// Maximum number of concurrent requests of one engine; zero for a plain
    /// service.
    pub engine_slots: u32,
    /// Capacity of one engine's KV cache, in tokens; zero for a plain service.
    pub engine_memory_tokens: u64,
    /// Models that the engines serve; empty for a plain service.
    pub models: Vec<PricedModel>,
    /// Time for which an endpoint that came back is cold, ms.
    pub cold_ms: u64,
    /// Requests a second that a cold endpoint takes from all gateways together; zero if
    /// its endpoints need no warm-up.
    pub cold_per_s: f64,
}

/// Limits on the size and duration of the requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, bytes.
    pub head_max_bytes: usize,
    /// Maximum size of a request body, bytes.
    pub body_max_bytes: usize,
    /// Maximum time from the first to the last byte of a request head, ms.
    pub head_timeout_ms: u64,
    /// Maximum idle time between requests on a connection, ms.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
