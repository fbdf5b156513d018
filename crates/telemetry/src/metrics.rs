//! Counters, gauges and timings for StatsD.

use std::net::{SocketAddr, UdpSocket};

use cadence::{
    CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};
use displaydoc::Display;

/// Definition of a metric; `docs/METRICS.md` lists the same names and units.
#[derive(Clone, Copy, Debug)]
pub struct MetricDef {
    /// Name below the prefix `currantbank`.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Description.
    pub doc: &'static str,
}

/// All metrics that a process may send to StatsD.
pub const METRICS: &[MetricDef] = &[
    MetricDef {
        name: "request",
        unit: "count",
        doc: "Requests received from callers.",
    },
    MetricDef {
        name: "refused",
        unit: "count",
        doc: "Requests rejected before dispatch.",
    },
    MetricDef {
        name: "connection_evicted",
        unit: "count",
        doc: "Callers' connections that were silent and closed for a new one.",
    },
    MetricDef {
        name: "connection_rejected",
        unit: "count",
        doc: "New connections of callers that were closed, since all others had a request in progress.",
    },
    MetricDef {
        name: "answered",
        unit: "count",
        doc: "Requests with a complete response.",
    },
    MetricDef {
        name: "failed",
        unit: "count",
        doc: "Requests that failed after a dispatch.",
    },
    MetricDef {
        name: "retried",
        unit: "count",
        doc: "Attempts after the first.",
    },
    MetricDef {
        name: "escalated",
        unit: "count",
        doc: "Cascade steps whose response was discarded in favor of the next step.",
    },
    MetricDef {
        name: "first_token",
        unit: "ms",
        doc: "Time to the first token.",
    },
    MetricDef {
        name: "answer",
        unit: "ms",
        doc: "Time to the complete response.",
    },
    MetricDef {
        name: "config_offset",
        unit: "offset",
        doc: "Next offset of the configuration stream to apply.",
    },
    MetricDef {
        name: "log_age",
        unit: "ms",
        doc: "Time since the log was last read.",
    },
    MetricDef {
        name: "bills_held",
        unit: "count",
        doc: "Buffered bills that are not yet on the log.",
    },
    MetricDef {
        name: "admitted",
        unit: "count",
        doc: "Attempts that an agent admitted.",
    },
    MetricDef {
        name: "stopped",
        unit: "count",
        doc: "Attempts that an agent rejected.",
    },
    MetricDef {
        name: "claim",
        unit: "ms",
        doc: "Time from submitting a claim to reading it back from the log.",
    },
];

/// Error of setting up the metrics.
#[derive(Debug, Display)]
pub enum MetricsError {
    /// cannot open a UDP socket for metrics: {0}; free a port or leave `metrics.address` empty
    Socket(std::io::Error),
    /// cannot send metrics to {0}; set `metrics.address` to an IP address and port
    Sink(SocketAddr),
}

impl std::error::Error for MetricsError {}

/// Sends metrics to StatsD; the default value discards them.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics {
            client: StatsdClient::from_sink("currantbank", NopMetricSink),
        }
    }
}

impl Metrics {
    /// Sends metrics to `address` through a queue, so that a slow receiver does
    /// not delay requests.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened for `address`.
    pub fn to_address(address: SocketAddr) -> Result<Self, MetricsError> {
        let unspecified = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(unspecified).map_err(MetricsError::Socket)?;
        socket.set_nonblocking(true).map_err(MetricsError::Socket)?;
        let sink = UdpMetricSink::from(address, socket)
            .map_err(|_| MetricsError::Sink(address))?;
        let queue = QueuingMetricSink::from(sink);
        Ok(Metrics {
            client: StatsdClient::from_sink("currantbank", queue),
        })
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration, ms.
    pub fn time_ms(&self, name: &str, value_ms: u64) {
        let _ = self.client.time(name, value_ms);
    }
}
