//! Services and the limits on what callers send.

/// A model that a service's engines offer.
#[derive(Clone, Debug, PartialEq)]
pub struct PricedModel {
    /// Name of the model.
    pub name: String,
    /// Price of 1,000 generated tokens.
    pub cost: f64,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections that one endpoint takes from all callers together.
    pub connections_max: u32,
    /// Requests that one engine works on at once; zero for a plain service.
    pub engine_slots: u32,
    /// Tokens that one engine holds in memory; zero for a plain service.
    pub engine_memory_tokens: u64,
    /// Models of the engines; empty for a plain service.
    pub models: Vec<PricedModel>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest head of a request, bytes.
    pub head_max_bytes: usize,
    /// Longest body of a request, bytes.
    pub body_max_bytes: usize,
    /// Longest time from a head's first byte to its last, ms.
    pub head_timeout_ms: u64,
    /// Longest time between requests on a connection, ms.
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
