//! Routes, which map requests to services and set how they are handled.

/// Whether and how a request may be sent again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetrySafety {
    /// The request may run any number of times.
    Idempotent,
    /// The request must run at most once.
    #[default]
    AtMostOnce,
    /// A stream of events that another endpoint can resume after the last event
    /// forwarded to the caller.
    ResumableStream,
    /// A stream of events that must run at most once.
    AtMostOnceStream,
}

impl RetrySafety {
    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(
            self,
            RetrySafety::ResumableStream | RetrySafety::AtMostOnceStream
        )
    }

    /// Whether a request that may already have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, RetrySafety::Idempotent | RetrySafety::ResumableStream)
    }
}

/// A service of a route and its share of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name, for log lines.
    pub name: String,
    /// Host name that the route matches.
    pub host: String,
    /// Path prefix that the route matches; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether and how a request may be sent again.
    pub retry_safety: RetrySafety,
    /// Maximum time until the response ends, ms; callers may ask for less.
    pub timeout_ms: u64,
    /// Latency objective for the response, ms.
    pub objective_ms: u64,
    /// Objective for the longest pause between two events of a stream, ms; zero
    /// if there is none.
    pub pause_objective_ms: u64,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// Models that may answer, smallest first; empty if the caller chooses one.
    pub candidate_models: Vec<String>,
    /// Services that the requests are distributed over.
    pub weighted_services: Vec<WeightedService>,
    /// Maximum number of attempts of one request, including the first. An
    /// attempt that an endpoint refuses does not count.
    pub attempts_max: u32,
    /// Whether callers need no API key.
    pub public: bool,
}

impl Route {
    /// Chooses a service by weight; `hash` must be uniformly distributed.
    ///
    /// While the weights do not change, the same hash yields the same service,
    /// so the requests of a session go to one service. Returns `None` if the
    /// weights add up to zero.
    pub fn service_for(&self, hash: u64) -> Option<&str> {
        let total: u64 = self
            .weighted_services
            .iter()
            .map(|s| u64::from(s.weight))
            .sum();
        let mut rest = hash.checked_rem(total)?;
        for service in &self.weighted_services {
            let weight = u64::from(service.weight);
            if rest < weight {
                return Some(&service.service);
            }
            rest -= weight;
        }
        None
    }
}
