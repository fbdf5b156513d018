//! Routes: which requests go to which service, and how.

/// What may be done twice for one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetrySafety {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    #[default]
    AtMostOnce,
    /// A stream of events that another endpoint can go on with after the last
    /// event that was passed on.
    ResumableStream,
    /// A stream of events that runs at most once.
    AtMostOnceStream,
}

impl RetrySafety {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(
            self,
            RetrySafety::ResumableStream | RetrySafety::AtMostOnceStream
        )
    }

    /// Whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, RetrySafety::Idempotent | RetrySafety::ResumableStream)
    }
}

/// A service behind a route and its part of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Part relative to the other services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host that it answers for.
    pub host: String,
    /// Beginning of the paths that it answers for; starts and ends in a slash.
    pub path_prefix: String,
    /// What may be done twice.
    pub retry_safety: RetrySafety,
    /// Longest time that a caller is kept waiting, ms.
    pub timeout_ms: u64,
    /// Time within which an answer is on time, ms.
    pub objective_ms: u64,
    /// Longest pause between events that is still on time, ms; zero for none.
    pub pause_objective_ms: u64,
    /// Rank, zero the most urgent.
    pub priority: u8,
    /// Models that may answer, smallest first; empty where the caller names it.
    pub candidate_models: Vec<String>,
    /// Services that answer.
    pub weighted_services: Vec<WeightedService>,
    /// Most endpoints that one request may be sent to.
    pub attempts_max: u32,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// The service for a request whose `draw` is uniform.
    ///
    /// The same draw names the same service while the weights stay, so that a
    /// session is not spread over services.
    pub fn service_for(&self, draw: u64) -> Option<&str> {
        let total: u64 = self
            .weighted_services
            .iter()
            .map(|b| u64::from(b.weight))
            .sum();
        let mut rest = draw.checked_rem(total)?;
        for backing in &self.weighted_services {
            let weight = u64::from(backing.weight);
            if rest < weight {
                return Some(&backing.service);
            }
            rest -= weight;
        }
        None
    }
}
