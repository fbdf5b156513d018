//! Structured logs and metrics.
//!
//! Each event is logged as one line of `key=value` pairs through `log` and
//! `fern`.  Counters, gauges and timings are sent to a StatsD receiver through
//! `cadence`.  See `docs/METRICS.md`.
//!
//! ```
//! use telemetry::Event;
//!
//! let line = Event::new("dispatch").with("request", "r1").with("why", "a b");
//! assert_eq!(line.to_string(), "event=dispatch request=r1 why=\"a b\"");
//! ```

mod event;
mod logger;
mod metrics;
mod occasional;
mod rate_limited;

pub use event::Event;
pub use logger::{LogError, Sink, init};
pub use metrics::{METRICS, MetricDef, Metrics, MetricsError};
pub use occasional::Occasional;
pub use rate_limited::RateLimitedWriter;
