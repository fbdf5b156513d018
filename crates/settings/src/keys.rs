//! The table of all keys.

use std::fmt::Write;

/// What a key's value looks like.
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
        /// Least value.
        min: u64,
        /// Greatest value.
        max: u64,
    },
    /// A share or a time that may have a fraction, within a range.
    Decimal {
        /// Least value.
        min: f64,
        /// Greatest value.
        max: f64,
    },
    /// One of some words.
    Choice(&'static [&'static str]),
}

/// One key: its place, its default, its range and what it is for.
#[derive(Clone, Copy, Debug)]
pub struct KeyDef {
    /// Section of the file.
    pub section: &'static str,
    /// Key in the section; its suffix names the unit.
    pub key: &'static str,
    /// Value where the file says nothing; empty for none.
    pub default: &'static str,
    /// What it may be.
    pub kind: ValueKind,
    /// What it is for.
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

/// Every key that a settings file may hold.
pub const KEYS: &[KeyDef] = &[
    key(
        "process",
        "instance",
        "",
        ValueKind::Text,
        "Id of this instance; a fresh one at each start if empty.",
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
        "File with the ticket keys, the peer key and the operators' token digests, mode 600.",
    ),
    key(
        "process",
        "drain_timeout_ms",
        "900000",
        number(1_000, 86_400_000),
        "Longest wait for work in progress at a planned stop.",
    ),
    key(
        "process",
        "objective",
        "exposure",
        ValueKind::Choice(&["exposure", "latency"]),
        "What weighs most: exposure to bad versions, or latency.",
    ),
    key("log", "level", "info", LEVELS, "Least level of log lines."),
    key(
        "metrics",
        "address",
        "",
        ValueKind::Address,
        "StatsD receiver; metrics are dropped if empty.",
    ),
    key(
        "store",
        "address",
        "127.0.0.1:7400",
        ValueKind::Address,
        "The platform's append-only log.",
    ),
    key(
        "store",
        "live_address",
        "",
        ValueKind::Address,
        "The platform's live list; the log's address if empty.",
    ),
    key(
        "store",
        "timeout_ms",
        "2000",
        number(50, 60_000),
        "Longest wait for an answer of the log.",
    ),
    key(
        "store",
        "poll_wait_ms",
        "1000",
        number(10, 30_000),
        "How long a read waits at the log's end for a record.",
    ),
    key(
        "store",
        "retention_ms",
        "172800000",
        number(60_000, 31_536_000_000),
        "How long the log keeps records.",
    ),
    key(
        "store",
        "snapshot_records",
        "2000",
        number(10, 1_000_000),
        "Records after which the configuration is appended as a snapshot.",
    ),
    key(
        "store",
        "claim_window_ms",
        "86400000",
        number(60_000, 31_536_000_000),
        "How long a key of non-idempotent work is remembered.",
    ),
    key(
        "store",
        "claim_partitions",
        "8",
        number(1, 1_024),
        "Streams that claims are spread over; the same on all instances.",
    ),
    key(
        "store",
        "append_interval_ms",
        "20",
        number(1, 10_000),
        "How long claims gather before an append.",
    ),
    key(
        "store",
        "bill_interval_ms",
        "500",
        number(1, 60_000),
        "How long bills gather before an append.",
    ),
    key(
        "store",
        "stale_after_ms",
        "10000",
        number(1_000, 600_000),
        "Age of the last news of the log, own or by peers, at which an instance takes no new work.",
    ),
    key(
        "store",
        "outage",
        "serve",
        ValueKind::Choice(&["serve", "refuse"]),
        "What happens while most rooms agree that the log is down.",
    ),
    key(
        "store",
        "known_rooms",
        "1",
        number(1, 64),
        "How many rooms there are; most of them must agree that the log is down.",
    ),
    key(
        "peers",
        "addresses",
        "",
        ValueKind::Addresses,
        "Addresses of entries and agents to ask for the configuration at start.",
    ),
    key(
        "entry",
        "listen",
        "127.0.0.1:7000",
        ValueKind::Address,
        "Where callers connect.",
    ),
    key(
        "entry",
        "admin_listen",
        "127.0.0.1:7001",
        ValueKind::Address,
        "Where operators connect.",
    ),
    key(
        "entry",
        "peer_listen",
        "127.0.0.1:7002",
        ValueKind::Address,
        "Where other processes of the system connect.",
    ),
    key(
        "entry",
        "deadline_ms",
        "60000",
        number(100, 3_600_000),
        "Deadline of a request that names none.",
    ),
    key(
        "entry",
        "deadline_max_ms",
        "900000",
        number(100, 86_400_000),
        "Longest deadline that a caller may name.",
    ),
    key(
        "entry",
        "body_max_bytes",
        "1048576",
        number(1_024, 268_435_456),
        "Largest request body.",
    ),
    key(
        "entry",
        "body_timeout_ms",
        "10000",
        number(100, 600_000),
        "Longest wait for a request's body.",
    ),
    key(
        "entry",
        "headers_max",
        "64",
        number(8, 1_024),
        "Headers of a request.",
    ),
    key(
        "entry",
        "streams_max",
        "4096",
        number(1, 1_000_000),
        "Requests in progress at once.",
    ),
    key(
        "entry",
        "heartbeat_ms",
        "500",
        number(20, 60_000),
        "Time between heartbeats to an agent.",
    ),
    key(
        "entry",
        "greet_max",
        "64",
        number(4, 10_000),
        "Agents that an entry greets; with more, each agent has its few entries.",
    ),
    key(
        "entry",
        "silence_ms",
        "2000",
        number(50, 600_000),
        "Silence after which a connection is given up.",
    ),
    key(
        "entry",
        "stall_ms",
        "10000",
        number(100, 600_000),
        "Time without a token after which an attempt goes on elsewhere.",
    ),
    key(
        "entry",
        "attempts_max",
        "3",
        number(1, 10),
        "Attempts of idempotent work.",
    ),
    key(
        "entry",
        "retry_percent",
        "10",
        number(0, 100),
        "Retries allowed, as a share of first attempts.",
    ),
    key(
        "entry",
        "balance",
        "predicted",
        ValueKind::Choice(&["predicted", "two_choice", "round_robin"]),
        "How a runner is chosen.",
    ),
    key(
        "entry",
        "cascade",
        "learned",
        ValueKind::Choice(&["learned", "always", "dearest"]),
        "Whether the cheap steps of a cascade are tried.",
    ),
    key(
        "entry",
        "rater_address",
        "",
        ValueKind::Address,
        "The platform's rating service; cascades go to their last step if empty.",
    ),
    key(
        "entry",
        "rater_timeout_ms",
        "500",
        number(10, 60_000),
        "Longest wait for a rating.",
    ),
    key(
        "entry",
        "bills_max",
        "200000",
        number(100, 10_000_000),
        "Bills held while the log is down; no new work beyond.",
    ),
    key(
        "entry",
        "bill_handover_ms",
        "5000",
        number(100, 600_000),
        "Time after which a holder appends another's bill.",
    ),
    key(
        "agent",
        "listen",
        "127.0.0.1:7100",
        ValueKind::Address,
        "Where entries connect.",
    ),
    key(
        "agent",
        "endpoint",
        "",
        ValueKind::Name,
        "Name of the endpoint beside this agent; required.",
    ),
    key(
        "agent",
        "endpoint_address",
        "127.0.0.1:7200",
        ValueKind::Address,
        "Where the endpoint listens.",
    ),
    key(
        "agent",
        "service",
        "",
        ValueKind::Text,
        "Plain service behind the endpoint; empty for a model engine.",
    ),
    key(
        "agent",
        "checks_fencing",
        "yes",
        ValueKind::Choice(&["yes", "no"]),
        "Whether the engine refuses orders with an old fencing number.",
    ),
    key(
        "agent",
        "attempts_max",
        "512",
        number(1, 100_000),
        "Attempts in progress at once.",
    ),
    key(
        "agent",
        "bills_max",
        "200000",
        number(100, 10_000_000),
        "Bills held for entries while the log is down.",
    ),
    key(
        "agent",
        "remember_ms",
        "300000",
        number(1_000, 86_400_000),
        "How long ended attempts and tombstones are remembered.",
    ),
    key(
        "agent",
        "start_within_ms",
        "2000",
        number(10, 60_000),
        "Age of a won claim beyond which its call is not started.",
    ),
    key(
        "gateway",
        "listen",
        "127.0.0.1:7500",
        ValueKind::Address,
        "Where callers connect.",
    ),
    key(
        "gateway",
        "ready_listen",
        "127.0.0.1:7501",
        ValueKind::Address,
        "Where the balancer asks whether new callers are welcome.",
    ),
    key(
        "gateway",
        "metrics_listen",
        "127.0.0.1:7502",
        ValueKind::Address,
        "Where counters and histograms are served as text, under /metrics.",
    ),
    key(
        "gateway",
        "peer_listen",
        "127.0.0.1:7503",
        ValueKind::Address,
        "Where other gateways send datagrams and fetch the configuration.",
    ),
    key(
        "gateway",
        "retry_share",
        "0.7",
        decimal(0.0, 10.0),
        "Attempts after the first that a service may get at most, as a share of first attempts.",
    ),
    key(
        "gateway",
        "retry_window_s",
        "10",
        decimal(0.1, 3_600.0),
        "Time over which these attempts are counted.",
    ),
    key(
        "gateway",
        "expose_share",
        "0.15",
        decimal(0.0, 1.0),
        "Share of a service's requests that a bad version may get at most.",
    ),
    key(
        "gateway",
        "session_s",
        "5",
        decimal(0.0, 3_600.0),
        "Pause after which a session's next request may go to another version.",
    ),
    key(
        "gateway",
        "start_wait_ms",
        "100",
        number(0, 60_000),
        "Longest wait of a request for the first configuration of a process that has just started.",
    ),
    key(
        "place",
        "read_weight_percent",
        "250",
        number(0, 10_000),
        "What reading a prompt weighs besides its own wait, percent: it delays others.",
    ),
    key(
        "place",
        "running_us",
        "6000",
        number(0, 1_000_000),
        "Delay that one running request adds for a new one.",
    ),
    key(
        "place",
        "prefill_tokens_per_ms",
        "60",
        decimal(0.1, 100_000.0),
        "Prompt tokens that an engine reads in a ms with a model of pace 1.",
    ),
    key(
        "place",
        "pace_smallest",
        "0.3",
        decimal(0.001, 1_000.0),
        "Work of the smallest model of a route relative to a model of pace 1.",
    ),
    key(
        "place",
        "pace_middle",
        "0.8",
        decimal(0.001, 1_000.0),
        "Work of the models in between.",
    ),
    key(
        "place",
        "pace_largest",
        "3",
        decimal(0.001, 1_000.0),
        "Work of the largest model.",
    ),
    key(
        "place",
        "confidence_min",
        "50",
        number(0, 100),
        "Confidence from which a smaller model's answer is passed on.",
    ),
    key(
        "place",
        "first_model",
        "smallest",
        ValueKind::Choice(&["smallest", "middle", "largest"]),
        "Model size that a request is tried with first, where the gateway names it.",
    ),
    key(
        "place",
        "late_percent",
        "100",
        number(0, 100_000),
        "A larger model is not asked if its answer is predicted beyond this part of the objective.",
    ),
];

/// The reference page of all keys, in Markdown.
pub fn reference() -> String {
    let mut page = String::from("# Settings\n\nMade by `currantbank check --keys`.\n");
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

/// What a value must look like, in words.
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
