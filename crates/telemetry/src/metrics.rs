//! Counters, gauges and timings, by StatsD.

use std::net::{SocketAddr, UdpSocket};

use cadence::{
    CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};
use displaydoc::Display;

/// A metric's name, unit and meaning; the page of metrics is made from these.
#[derive(Clone, Copy, Debug)]
pub struct MetricDef {
    /// Name below the prefix `currantbank`.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// What it tells.
    pub doc: &'static str,
}

/// Every metric that a process may send.
pub const METRICS: &[MetricDef] = &[
    MetricDef {
        name: "request",
        unit: "count",
        doc: "Requests taken from callers.",
    },
    MetricDef {
        name: "refused",
        unit: "count",
        doc: "Requests refused before they ran.",
    },
    MetricDef {
        name: "answered",
        unit: "count",
        doc: "Requests answered whole.",
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
        doc: "Cascade steps passed on.",
    },
    MetricDef {
        name: "first_token",
        unit: "ms",
        doc: "Time to the first token.",
    },
    MetricDef {
        name: "answer",
        unit: "ms",
        doc: "Time to the whole answer.",
    },
    MetricDef {
        name: "config_offset",
        unit: "offset",
        doc: "Next offset of the fold.",
    },
    MetricDef {
        name: "log_age",
        unit: "ms",
        doc: "Time since the log was last read.",
    },
    MetricDef {
        name: "bills_held",
        unit: "count",
        doc: "Bills not yet on the log.",
    },
    MetricDef {
        name: "admitted",
        unit: "count",
        doc: "Attempts an agent let pass.",
    },
    MetricDef {
        name: "stopped",
        unit: "count",
        doc: "Attempts an agent refused.",
    },
    MetricDef {
        name: "claim",
        unit: "ms",
        doc: "Time from a claim to its reading back.",
    },
];

/// Why the metrics could not be set up.
#[derive(Debug, Display)]
pub enum MetricsError {
    /// cannot open a UDP socket for metrics: {0}; free a port or leave `metrics.address` empty
    Socket(std::io::Error),
    /// cannot send metrics to {0}; give an IP address and port
    Sink(SocketAddr),
}

impl std::error::Error for MetricsError {}

/// Sends metrics, or drops them where no address is set.
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
    /// Sends to `address`, from a queue of its own, so that a slow receiver
    /// never holds up a request.
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

    /// Adds one to a counter.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Sends a time, in ms.
    pub fn time_ms(&self, name: &str, value_ms: u64) {
        let _ = self.client.time(name, value_ms);
    }
}
