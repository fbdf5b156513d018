//! Definitions of all keys.

use std::fmt::Write;

/// Type and range of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// Any text.
    Text,
    /// A name of letters, digits, '.', '_' and '-'.
    Name,
    /// An IP address and port.
    Address,
    /// IP addresses and ports, comma-separated.
    Addresses,
    /// A whole number within a range.
    Number {
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
    },
    /// A decimal number within a range.
    Decimal {
        /// Minimum, inclusive.
        min: f64,
        /// Maximum, inclusive.
        max: f64,
    },
    /// One of the listed words.
    Choice(&'static [&'static str]),
}

/// Definition of a key.
#[derive(Clone, Copy, Debug)]
pub struct KeyDef {
    /// Section that holds the key.
    pub section: &'static str,
    /// Name of the key; its suffix is the unit.
    pub key: &'static str,
    /// Default value; empty for none.
    pub default: &'static str,
    /// Type and range of the value.
    pub kind: ValueKind,
    /// Description for the reference page.
    pub doc: &'static str,
}

const fn key(
    section: &'static str,
    key: &'static str,
    default: &'static str,
    kind: ValueKind,
    doc: &'static str,
) -> KeyDef {
    KeyDef {
        section,
        key,
        default,
        kind,
        doc,
    }
}

const fn decimal(min: f64, max: f64) -> ValueKind {
    ValueKind::Decimal { min, max }
}

const fn number(min: u64, max: u64) -> ValueKind {
    ValueKind::Number { min, max }
}

const LEVELS: ValueKind =
    ValueKind::Choice(&["error", "warn", "info", "debug", "trace"]);

/// All keys that a settings file may contain.
pub const KEYS: &[KeyDef] = &[
    key(
        "process",
        "instance",
        "",
        ValueKind::Text,
        "Id of this instance; generated at each start if empty.",
    ),
    key(
        "process",
        "room",
        "",
        ValueKind::Name,
        "Failure domain of this instance; required.",
    ),
    key(
        "process",
        "region",
        "default",
        ValueKind::Name,
        "Region of this instance.",
    ),
    key(
        "process",
        "secrets_file",
        "",
        ValueKind::Text,
        "File with the ticket keys and the operators' token digests; only its owner may have access (mode 600).",
    ),
    key(
        "process",
        "drain_timeout_ms",
        "900000",
        number(1_000, 86_400_000),
        "Maximum time to wait for work in progress during a graceful shutdown.",
    ),
    key(
        "process",
        "memory_mb",
        "0",
        number(0, 1_000_000),
        "Memory of this instance; 0 for what the machine reports. Bodies of requests may hold 30 percent of it together, and always one of the longest that is allowed.",
    ),
    key(
        "process",
        "descriptors_max",
        "0",
        number(0, 10_000_000),
        "Descriptors that the process may open; 0 for what the system allows it. Callers may have half of them open as connections, without 200 for files, and no more than 40 percent of the memory has room for.",
    ),
    key(
        "process",
        "objective",
        "exposure",
        ValueKind::Choice(&["exposure", "latency"]),
        "Whether to minimize exposure to bad versions or latency.",
    ),
    key(
        "log",
        "level",
        "info",
        LEVELS,
        "Minimum severity of log lines.",
    ),
    key(
        "metrics",
        "address",
        "",
        ValueKind::Address,
        "Address of the StatsD receiver; metrics are discarded if empty.",
    ),
    key(
        "store",
        "address",
        "127.0.0.1:7400",
        ValueKind::Address,
        "Address of the platform's append-only log.",
    ),
    key(
        "store",
        "live_address",
        "",
        ValueKind::Address,
        "Address of the platform's live list; `store.address` if empty.",
    ),
    key(
        "store",
        "timeout_ms",
        "2000",
        number(50, 60_000),
        "Timeout of a request to the log.",
    ),
    key(
        "store",
        "poll_wait_ms",
        "1000",
        number(10, 30_000),
        "Maximum time that a read waits for a new record at the end of the log.",
    ),
    key(
        "store",
        "retention_ms",
        "172800000",
        number(60_000, 31_536_000_000),
        "Time for which the log retains records.",
    ),
    key(
        "store",
        "snapshot_records",
        "2000",
        number(10, 1_000_000),
        "Number of records after which a snapshot of the configuration is appended.",
    ),
    key(
        "store",
        "claim_window_ms",
        "86400000",
        number(60_000, 31_536_000_000),
        "Time for which the idempotency key of non-idempotent work is remembered.",
    ),
    key(
        "store",
        "claim_partitions",
        "8",
        number(1, 1_024),
        "Number of streams that claims are partitioned into; must be equal on all instances.",
    ),
    key(
        "store",
        "append_interval_ms",
        "20",
        number(1, 10_000),
        "Time for which claims are batched before an append.",
    ),
    key(
        "store",
        "bill_interval_ms",
        "500",
        number(1, 60_000),
        "Time for which bills are batched before an append.",
    ),
    key(
        "store",
        "stale_after_ms",
        "10000",
        number(1_000, 600_000),
        "Maximum age of what an instance knows about the log, by its own reads or from peers; beyond it, new work is accepted only as `store.outage` permits.",
    ),
    key(
        "store",
        "outage",
        "serve",
        ValueKind::Choice(&["serve", "refuse"]),
        "Whether new work is served or refused while a majority of the failure domains agree that the log is down.",
    ),
    key(
        "store",
        "known_rooms",
        "1",
        number(1, 64),
        "Number of failure domains; a majority of them must agree that the log is down.",
    ),
    key(
        "peers",
        "addresses",
        "",
        ValueKind::Addresses,
        "Addresses of processes to contact besides those that the platform lists, for example to fetch the configuration at start.",
    ),
    key(
        "entry",
        "listen",
        "127.0.0.1:7000",
        ValueKind::Address,
        "Address at which callers connect.",
    ),
    key(
        "entry",
        "admin_listen",
        "127.0.0.1:7001",
        ValueKind::Address,
        "Address at which operators connect.",
    ),
    key(
        "entry",
        "peer_listen",
        "127.0.0.1:7002",
        ValueKind::Address,
        "Address at which other processes of the system connect.",
    ),
    key(
        "entry",
        "deadline_ms",
        "60000",
        number(100, 3_600_000),
        "Default deadline of a request.",
    ),
    key(
        "entry",
        "deadline_max_ms",
        "900000",
        number(100, 86_400_000),
        "Maximum deadline that a caller may request.",
    ),
    key(
        "entry",
        "body_max_bytes",
        "1048576",
        number(1_024, 268_435_456),
        "Maximum size of a request body.",
    ),
    key(
        "entry",
        "body_timeout_ms",
        "10000",
        number(100, 600_000),
        "Timeout of receiving a request body.",
    ),
    key(
        "entry",
        "headers_max",
        "64",
        number(8, 1_024),
        "Maximum number of headers of a request.",
    ),
    key(
        "entry",
        "streams_max",
        "4096",
        number(1, 1_000_000),
        "Maximum number of concurrent requests.",
    ),
    key(
        "entry",
        "heartbeat_ms",
        "500",
        number(20, 60_000),
        "Interval of heartbeats to an agent.",
    ),
    key(
        "entry",
        "greet_max",
        "64",
        number(4, 10_000),
        "Number of agents up to which an entry sends heartbeats to all; beyond it, each agent is assigned to a subset of the entries.",
    ),
    key(
        "entry",
        "silence_ms",
        "2000",
        number(50, 600_000),
        "Time without a response after which a connection and its peer are considered lost.",
    ),
    key(
        "entry",
        "stall_ms",
        "10000",
        number(100, 600_000),
        "Time without a token after which an attempt is continued on another runner.",
    ),
    key(
        "entry",
        "attempts_max",
        "3",
        number(1, 10),
        "Maximum number of attempts of idempotent work.",
    ),
    key(
        "entry",
        "retry_percent",
        "10",
        number(0, 100),
        "Retry budget, as a percentage of first attempts.",
    ),
    key(
        "entry",
        "balance",
        "predicted",
        ValueKind::Choice(&["predicted", "two_choice", "round_robin"]),
        "Load-balancing policy for choosing a runner.",
    ),
    key(
        "entry",
        "cascade",
        "learned",
        ValueKind::Choice(&["learned", "always", "dearest"]),
        "Whether the cheap steps of a cascade are tried: by learned pass rate, always, or never.",
    ),
    key(
        "entry",
        "rater_address",
        "",
        ValueKind::Address,
        "Address of the platform's rating service; if empty, cascades run only their last step.",
    ),
    key(
        "entry",
        "rater_timeout_ms",
        "500",
        number(10, 60_000),
        "Timeout of a rating.",
    ),
    key(
        "entry",
        "bills_max",
        "200000",
        number(100, 10_000_000),
        "Maximum number of bills buffered while the log is down; no new work is accepted beyond it.",
    ),
    key(
        "entry",
        "bill_handover_ms",
        "5000",
        number(100, 600_000),
        "Time after which a holder appends its copy of another instance's bill.",
    ),
    key(
        "agent",
        "listen",
        "127.0.0.1:7100",
        ValueKind::Address,
        "Address at which entries connect.",
    ),
    key(
        "agent",
        "endpoint",
        "",
        ValueKind::Name,
        "Name of this agent's endpoint; required.",
    ),
    key(
        "agent",
        "endpoint_address",
        "127.0.0.1:7200",
        ValueKind::Address,
        "Address of the endpoint.",
    ),
    key(
        "agent",
        "service",
        "",
        ValueKind::Text,
        "Plain service that the endpoint provides; empty for a model engine.",
    ),
    key(
        "agent",
        "checks_fencing",
        "yes",
        ValueKind::Choice(&["yes", "no"]),
        "Whether the engine rejects orders with an outdated fencing token.",
    ),
    key(
        "agent",
        "attempts_max",
        "512",
        number(1, 100_000),
        "Maximum number of concurrent attempts.",
    ),
    key(
        "agent",
        "bills_max",
        "200000",
        number(100, 10_000_000),
        "Maximum number of bills buffered for entries while the log is down.",
    ),
    key(
        "agent",
        "remember_ms",
        "300000",
        number(1_000, 86_400_000),
        "Time for which ended attempts and tombstones are remembered.",
    ),
    key(
        "agent",
        "start_within_ms",
        "2000",
        number(10, 60_000),
        "Maximum age of a granted claim at which its call is still started.",
    ),
    key(
        "gateway",
        "listen",
        "127.0.0.1:7500",
        ValueKind::Address,
        "Address at which callers connect.",
    ),
    key(
        "gateway",
        "ready_listen",
        "127.0.0.1:7501",
        ValueKind::Address,
        "Address of the readiness check for the load balancer.",
    ),
    key(
        "gateway",
        "metrics_listen",
        "127.0.0.1:7502",
        ValueKind::Address,
        "Address at which metrics are served as text, under /metrics.",
    ),
    key(
        "gateway",
        "peer_listen",
        "127.0.0.1:7503",
        ValueKind::Address,
        "Address at which other gateways send datagrams and fetch the configuration.",
    ),
    key(
        "gateway",
        "retry_share",
        "0.7",
        decimal(0.0, 10.0),
        "Retry budget of a service for all gateways together, as a fraction of first attempts.",
    ),
    key(
        "gateway",
        "retry_slack",
        "50",
        decimal(0.0, 100_000.0),
        "Retries of a service in a window that all gateways together may make on top of retry_share.",
    ),
    key(
        "gateway",
        "retry_window_s",
        "10",
        decimal(0.1, 3_600.0),
        "Window over which the retry budget is measured.",
    ),
    key(
        "gateway",
        "expose_share",
        "0.15",
        decimal(0.0, 1.0),
        "Maximum fraction of a service's requests that a bad version may receive.",
    ),
    key(
        "gateway",
        "expose_slack",
        "30",
        decimal(0.0, 100_000.0),
        "Number of requests that a bad version may receive on top of that fraction.",
    ),
    key(
        "gateway",
        "session_s",
        "5",
        decimal(0.0, 3_600.0),
        "Idle time after which a session may switch to another version.",
    ),
    key(
        "gateway",
        "grace_s",
        "8",
        decimal(0.0, 3_600.0),
        "Time from the signal to stop until the process is killed.",
    ),
    key(
        "gateway",
        "start_wait_ms",
        "100",
        number(0, 60_000),
        "Time that every request may wait for the first configuration after a start; one whose caller has more than ten times as long waits for a tenth of that, up to 5 s.",
    ),
    key(
        "place",
        "read_weight_percent",
        "250",
        number(0, 10_000),
        "Weight of a prompt's prefill time besides the request's own wait, percent, since it delays other requests on the endpoint.",
    ),
    key(
        "place",
        "stalled_weight_percent",
        "40",
        number(0, 10_000),
        "Weight of a prompt's prefill time for each request that runs on the endpoint, percent, since all of them wait while it lasts.",
    ),
    key(
        "place",
        "running_us",
        "6000",
        number(0, 1_000_000),
        "Delay that each running request adds to a new one.",
    ),
    key(
        "place",
        "prefill_tokens_per_ms",
        "60",
        decimal(0.1, 100_000.0),
        "Prompt tokens that an engine processes per ms with a model of relative cost 1.",
    ),
    key(
        "place",
        "pace_smallest",
        "0.3",
        decimal(0.001, 1_000.0),
        "Relative prefill cost of the smallest model of a route.",
    ),
    key(
        "place",
        "pace_middle",
        "0.8",
        decimal(0.001, 1_000.0),
        "Relative prefill cost of the models in between.",
    ),
    key(
        "place",
        "pace_largest",
        "3",
        decimal(0.001, 1_000.0),
        "Relative prefill cost of the largest model.",
    ),
    key(
        "place",
        "confidence_min",
        "50",
        number(0, 100),
        "Minimum confidence at which the response of a smaller model is returned.",
    ),
    key(
        "place",
        "first_model",
        "smallest",
        ValueKind::Choice(&["smallest", "middle", "largest"]),
        "Model size of the first attempt, where the gateway chooses the model.",
    ),
    key(
        "place",
        "late_percent",
        "100",
        number(0, 100_000),
        "A larger model is not tried if its response is predicted to exceed this percentage of the latency objective.",
    ),
];

/// Formats the reference page of all keys as Markdown.
pub fn reference() -> String {
    let mut page =
        String::from("# Settings\n\nGenerated by `currantbank check --keys`.\n");
    let mut section = "";
    for def in KEYS {
        if def.section != section {
            section = def.section;
            let _ = write!(
                page,
                "\n## [{section}]\n\n| key | default | range | meaning |\n|---|---|---|---|\n"
            );
        }
        let default = if def.default.is_empty() {
            "none"
        } else {
            def.default
        };
        let _ = writeln!(
            page,
            "| `{}` | {default} | {} | {} |",
            def.key,
            describe(def.kind),
            def.doc
        );
    }
    page
}

/// Describes the valid values, for messages and the reference page.
pub(crate) fn describe(kind: ValueKind) -> String {
    match kind {
        ValueKind::Text => "any text".into(),
        ValueKind::Name => "a name of letters, digits, '.', '_' and '-'".into(),
        ValueKind::Address => "an IP address and port".into(),
        ValueKind::Addresses => "IP addresses and ports, comma-separated".into(),
        ValueKind::Number { min, max } => format!("a whole number from {min} to {max}"),
        ValueKind::Decimal { min, max } => format!("a number from {min} to {max}"),
        ValueKind::Choice(words) => format!("one of {}", words.join(", ")),
    }
}
