//! Typed settings, built from the validated file.

use std::{fs, net::SocketAddr, path::Path};

use crate::{Secrets, SettingsError, SettingsErrors, raw::RawSettings};

/// Minimum ratio of the log's retention to the age at which an instance is
/// stale, so that the log still holds the records that a stale instance missed.
const RETENTION_FACTOR_MIN: u64 = 2;

/// Process that a settings file is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Accepts requests from callers and operators.
    Entry,
    /// Runs next to an endpoint and forwards requests to it.
    Agent,
    /// Forwards callers' HTTP requests on the users' platform.
    Gateway,
}

/// What is minimized when requests are routed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Objective {
    /// Number of requests that a bad version receives.
    #[default]
    Exposure,
    /// Latency of requests.
    Latency,
}

/// Behavior while a majority of the failure domains agree that the log is down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreOutage {
    /// New work is accepted under the last known configuration.
    #[default]
    Serve,
    /// No new work is accepted.
    Refuse,
}

/// Settings that apply to all processes.
#[derive(Clone, Debug, Default)]
pub struct ProcessSettings {
    /// Id of this instance; generated at start if empty.
    pub instance: String,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Region of this instance.
    pub region: String,
    /// Maximum time to wait for work in progress during a graceful shutdown, ms.
    pub drain_timeout_ms: u64,
    /// Memory of this instance, MB; 0 for what the machine reports.
    pub memory_mb: u64,
    /// Descriptors that the process may open; 0 for what the system allows it.
    pub descriptors_max: u64,
    /// What is minimized when requests are routed.
    pub objective: Objective,
    /// Processes to contact besides those that the platform lists.
    pub peers: Vec<SocketAddr>,
}

/// Settings of logs and metrics.
#[derive(Clone, Debug, Default)]
pub struct LogSettings {
    /// Minimum severity of log lines.
    pub level: String,
    /// Address of the StatsD receiver.
    pub metrics_address: Option<SocketAddr>,
}

/// Settings of the platform's log and the data on it.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Address of the log.
    pub address: SocketAddr,
    /// Address of the live list.
    pub live_address: SocketAddr,
    /// Timeout of a request to the log, ms.
    pub timeout_ms: u64,
    /// Maximum time that a read waits for a new record, ms.
    pub poll_wait_ms: u64,
    /// Time for which the log retains records, ms.
    pub retention_ms: u64,
    /// Number of records after which a snapshot is appended.
    pub snapshot_records: u64,
    /// Time for which idempotency keys are remembered, ms.
    pub claim_window_ms: u64,
    /// Number of streams that claims are partitioned into.
    pub claim_partitions: u32,
    /// Time for which claims are batched before an append, ms.
    pub append_interval_ms: u64,
    /// Time for which bills are batched before an append, ms.
    pub bill_interval_ms: u64,
    /// Maximum age of what an instance knows about the log, ms.
    pub stale_after_ms: u64,
    /// Behavior while the log is down.
    pub outage: StoreOutage,
    /// Number of failure domains.
    pub failure_domains: usize,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Address at which operators connect.
    pub admin_listen: SocketAddr,
    /// Address at which other processes connect.
    pub peer_listen: SocketAddr,
    /// Default deadline of a request, ms.
    pub deadline_ms: u64,
    /// Maximum deadline of a request, ms.
    pub deadline_max_ms: u64,
    /// Maximum size of a request body, bytes.
    pub body_max_bytes: usize,
    /// Timeout of receiving a request body, ms.
    pub body_timeout_ms: u64,
    /// Maximum number of headers of a request.
    pub headers_max: usize,
    /// Maximum number of concurrent requests.
    pub streams_max: usize,
    /// Interval of heartbeats, ms.
    pub heartbeat_ms: u64,
    /// Number of agents up to which an entry sends heartbeats to all.
    pub heartbeat_agents_max: usize,
    /// Time without a response after which a connection and its peer are
    /// considered lost, ms.
    pub silence_ms: u64,
    /// Time without a token after which an attempt is continued on another
    /// runner, ms.
    pub stall_ms: u64,
    /// Maximum number of attempts of idempotent work.
    pub attempts_max: u32,
    /// Retry budget, percent of first attempts.
    pub retry_percent: u32,
    /// Load-balancing policy for choosing a runner: `predicted`, `two_choice` or
    /// `round_robin`.
    pub balance: String,
    /// Whether the cheap steps of a cascade are tried: by learned pass rate
    /// (`learned`), always (`always`) or never (`dearest`).
    pub cascade: String,
    /// Address of the rating service.
    pub rater_address: Option<SocketAddr>,
    /// Timeout of a rating, ms.
    pub rater_timeout_ms: u64,
    /// Maximum number of bills buffered while the log is down.
    pub bills_max: usize,
    /// Time after which a holder appends its copy of another instance's bill, ms.
    pub bill_handover_ms: u64,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Address at which entries connect.
    pub listen: SocketAddr,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Address of the endpoint.
    pub endpoint_address: SocketAddr,
    /// Plain service that the endpoint provides; empty for an engine.
    pub service: String,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Maximum number of concurrent attempts.
    pub attempts_max: usize,
    /// Maximum number of bills buffered for entries.
    pub bills_max: usize,
    /// Time for which ended attempts and tombstones are remembered, ms.
    pub remember_ms: u64,
    /// Maximum age of a granted claim at which its call is still started, ms.
    pub start_within_ms: u64,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Address at which callers connect.
    pub listen: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready_listen: SocketAddr,
    /// Address at which metrics are served.
    pub metrics_listen: SocketAddr,
    /// Address at which other gateways connect and send datagrams.
    pub peer_listen: SocketAddr,
    /// Retry budget of a service for all gateways together, as a fraction of first
    /// attempts.
    pub retry_share: f64,
    /// Number of retries of a service in a window that all gateways together may make on
    /// top of `retry_share`.
    pub retry_slack: f64,
    /// Window over which the retry budget is measured, s.
    pub retry_window_s: f64,
    /// Maximum fraction of a service's requests that a bad version may receive.
    pub expose_share: f64,
    /// Number of requests that a bad version may receive on top of `expose_share`.
    pub expose_slack: f64,
    /// Idle time after which a session may switch to another version, s.
    pub session_s: f64,
    /// Time from the signal to stop until the process is killed, s.
    pub grace_s: f64,
    /// Time that every request may wait for the first configuration, ms; see
    /// `route::StartWait`.
    pub start_wait_ms: u64,
}

/// Model size of the first attempt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FirstModel {
    /// The cheapest model; a response with low confidence is retried with a larger
    /// one.
    #[default]
    Smallest,
    /// A model in between.
    Middle,
    /// The most capable model, whose responses are final.
    Largest,
}

/// Settings of how a gateway chooses the endpoint and model of a request.
#[derive(Clone, Copy, Debug)]
pub struct RoutingSettings {
    /// Weight of a prompt's prefill time, percent; it is added to the request's
    /// own wait, because prefill delays other requests on the endpoint.
    pub read_weight_percent: u32,
    /// Weight of a prompt's prefill time for each request running on the endpoint,
    /// percent.
    pub stalled_weight_percent: u32,
    /// Delay that each running request adds to a new one, us.
    pub running_us: u32,
    /// Prompt tokens that an engine processes per ms with a model of relative cost
    /// 1.
    pub prefill_tokens_per_ms: f64,
    /// Relative prefill cost of the smallest model of a route.
    pub pace_smallest: f64,
    /// Relative prefill cost of the models in between.
    pub pace_middle: f64,
    /// Relative prefill cost of the largest model.
    pub pace_largest: f64,
    /// Minimum confidence, 0 to 100, at which the response of a smaller model is
    /// returned.
    pub confidence_min: u8,
    /// Model size of the first attempt.
    pub first_model: FirstModel,
    /// A larger model is not tried if its response is predicted to exceed this
    /// percentage of the latency objective.
    pub late_percent: u32,
}

/// All settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of all processes.
    pub process: ProcessSettings,
    /// Settings of logs and metrics.
    pub log: LogSettings,
    /// Settings of the platform's log.
    pub store: StoreSettings,
    /// Settings of an entry.
    pub entry: EntrySettings,
    /// Settings of an agent.
    pub agent: AgentSettings,
    /// Settings of a gateway.
    pub gateway: GatewaySettings,
    /// Settings of how a gateway chooses endpoints and models.
    pub routing: RoutingSettings,
    /// Keys and digests from the secrets file.
    pub secrets: Secrets,
}

impl Default for Settings {
    /// The defaults of [`KEYS`](crate::KEYS), in a failure domain named `local`.
    fn default() -> Self {
        Settings::parse(Role::Entry, "defaults", "[process]\nroom = local\n")
            .expect("the default settings must be valid")
    }
}

impl Settings {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns all errors found in the file.
    pub fn load(role: Role, path: &Path) -> Result<Settings, SettingsErrors> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Settings::parse(role, &file, &text),
            Err(err) => Err(SettingsErrors(vec![SettingsError::Unreadable {
                file,
                reason: err.to_string(),
            }])),
        }
    }

    /// Validates the contents of a file; `file` names it in messages.
    ///
    /// # Errors
    ///
    /// Returns all errors found in `text` and in the secrets file.
    pub fn parse(
        role: Role,
        file: &str,
        text: &str,
    ) -> Result<Settings, SettingsErrors> {
        let mut errors = Vec::new();
        let raw = RawSettings::parse(file, text, &mut errors);
        check_consistency(role, &raw, &mut errors);
        let secrets = Secrets::load(raw.text("process", "secrets_file"), &mut errors);
        if !errors.is_empty() {
            return Err(SettingsErrors(errors));
        }
        Ok(build(&raw, secrets))
    }
}

/// Checks for required keys and for conflicts between keys.
fn check_consistency(role: Role, raw: &RawSettings, errors: &mut Vec<SettingsError>) {
    let required = match role {
        Role::Entry | Role::Gateway => vec![("process", "room")],
        Role::Agent => vec![("process", "room"), ("agent", "endpoint")],
    };
    for (section, key) in required {
        let is_reported = errors
            .iter()
            .any(|error| error.is_bad_value_of(section, key));
        if raw.text(section, key).is_empty() && !is_reported {
            errors.push(raw.bad_value(section, key, "", "set, but is required"));
        }
    }
    let retention_ms = raw.number("store", "retention_ms");
    if raw.number("store", "claim_window_ms") > retention_ms {
        errors.push(raw.conflict(
            "store",
            "claim_window_ms",
            "keys cannot be remembered longer than store.retention_ms; lower the value",
        ));
    }
    if raw.number("store", "stale_after_ms") * RETENTION_FACTOR_MIN > retention_ms {
        errors.push(raw.conflict(
            "store",
            "stale_after_ms",
            "a stale instance could miss records; keep it under half of store.retention_ms",
        ));
    }
    if raw.number("entry", "deadline_ms") > raw.number("entry", "deadline_max_ms") {
        errors.push(raw.conflict(
            "entry",
            "deadline_ms",
            "it exceeds entry.deadline_max_ms; lower the value",
        ));
    }
    if raw.number("entry", "silence_ms") < 2 * raw.number("entry", "heartbeat_ms") {
        errors.push(raw.conflict(
            "entry",
            "silence_ms",
            "it must span at least two heartbeats; raise it or lower entry.heartbeat_ms",
        ));
    }
}

fn build(raw: &RawSettings, secrets: Secrets) -> Settings {
    let log_address = raw
        .address("store", "address")
        .expect("validated value with a default");
    Settings {
        process: build_process(raw),
        log: LogSettings {
            level: raw.text("log", "level").to_owned(),
            metrics_address: raw.address("metrics", "address"),
        },
        store: build_store(raw, log_address),
        entry: build_entry(raw),
        agent: build_agent(raw),
        gateway: build_gateway(raw),
        routing: build_routing(raw),
        secrets,
    }
}

fn build_process(raw: &RawSettings) -> ProcessSettings {
    ProcessSettings {
        instance: raw.text("process", "instance").to_owned(),
        failure_domain: raw.text("process", "room").to_owned(),
        region: raw.text("process", "region").to_owned(),
        drain_timeout_ms: raw.number("process", "drain_timeout_ms"),
        memory_mb: raw.number("process", "memory_mb"),
        descriptors_max: raw.number("process", "descriptors_max"),
        objective: match raw.text("process", "objective") {
            "latency" => Objective::Latency,
            _ => Objective::Exposure,
        },
        peers: raw.addresses("peers", "addresses"),
    }
}

fn build_store(raw: &RawSettings, address: SocketAddr) -> StoreSettings {
    StoreSettings {
        address,
        live_address: raw.address("store", "live_address").unwrap_or(address),
        timeout_ms: raw.number("store", "timeout_ms"),
        poll_wait_ms: raw.number("store", "poll_wait_ms"),
        retention_ms: raw.number("store", "retention_ms"),
        snapshot_records: raw.number("store", "snapshot_records"),
        claim_window_ms: raw.number("store", "claim_window_ms"),
        claim_partitions: raw.number("store", "claim_partitions") as u32,
        append_interval_ms: raw.number("store", "append_interval_ms"),
        bill_interval_ms: raw.number("store", "bill_interval_ms"),
        stale_after_ms: raw.number("store", "stale_after_ms"),
        outage: match raw.text("store", "outage") {
            "refuse" => StoreOutage::Refuse,
            _ => StoreOutage::Serve,
        },
        failure_domains: raw.number("store", "known_rooms") as usize,
    }
}

fn build_entry(raw: &RawSettings) -> EntrySettings {
    let address = |key| {
        raw.address("entry", key)
            .expect("validated value with a default")
    };
    let number = |key| raw.number("entry", key);
    EntrySettings {
        listen: address("listen"),
        admin_listen: address("admin_listen"),
        peer_listen: address("peer_listen"),
        deadline_ms: number("deadline_ms"),
        deadline_max_ms: number("deadline_max_ms"),
        body_max_bytes: number("body_max_bytes") as usize,
        body_timeout_ms: number("body_timeout_ms"),
        headers_max: number("headers_max") as usize,
        streams_max: number("streams_max") as usize,
        heartbeat_ms: number("heartbeat_ms"),
        heartbeat_agents_max: number("greet_max") as usize,
        silence_ms: number("silence_ms"),
        stall_ms: number("stall_ms"),
        attempts_max: number("attempts_max") as u32,
        retry_percent: number("retry_percent") as u32,
        balance: raw.text("entry", "balance").to_owned(),
        cascade: raw.text("entry", "cascade").to_owned(),
        rater_address: raw.address("entry", "rater_address"),
        rater_timeout_ms: number("rater_timeout_ms"),
        bills_max: number("bills_max") as usize,
        bill_handover_ms: number("bill_handover_ms"),
    }
}

fn build_agent(raw: &RawSettings) -> AgentSettings {
    let address = |key| {
        raw.address("agent", key)
            .expect("validated value with a default")
    };
    let number = |key| raw.number("agent", key);
    AgentSettings {
        listen: address("listen"),
        endpoint: raw.text("agent", "endpoint").to_owned(),
        endpoint_address: address("endpoint_address"),
        service: raw.text("agent", "service").to_owned(),
        checks_fencing: raw.text("agent", "checks_fencing") == "yes",
        attempts_max: number("attempts_max") as usize,
        bills_max: number("bills_max") as usize,
        remember_ms: number("remember_ms"),
        start_within_ms: number("start_within_ms"),
    }
}

fn build_gateway(raw: &RawSettings) -> GatewaySettings {
    let address = |key| {
        raw.address("gateway", key)
            .expect("validated value with a default")
    };
    let decimal = |key| raw.decimal("gateway", key);
    GatewaySettings {
        listen: address("listen"),
        ready_listen: address("ready_listen"),
        metrics_listen: address("metrics_listen"),
        peer_listen: address("peer_listen"),
        retry_share: decimal("retry_share"),
        retry_slack: decimal("retry_slack"),
        retry_window_s: decimal("retry_window_s"),
        expose_share: decimal("expose_share"),
        expose_slack: decimal("expose_slack"),
        session_s: decimal("session_s"),
        grace_s: decimal("grace_s"),
        start_wait_ms: raw.number("gateway", "start_wait_ms"),
    }
}

fn build_routing(raw: &RawSettings) -> RoutingSettings {
    let number = |key| raw.number("place", key);
    let decimal = |key| raw.decimal("place", key);
    RoutingSettings {
        read_weight_percent: number("read_weight_percent") as u32,
        stalled_weight_percent: number("stalled_weight_percent") as u32,
        running_us: number("running_us") as u32,
        prefill_tokens_per_ms: decimal("prefill_tokens_per_ms"),
        pace_smallest: decimal("pace_smallest"),
        pace_middle: decimal("pace_middle"),
        pace_largest: decimal("pace_largest"),
        confidence_min: number("confidence_min") as u8,
        first_model: match raw.text("place", "first_model") {
            "middle" => FirstModel::Middle,
            "largest" => FirstModel::Largest,
            _ => FirstModel::Smallest,
        },
        late_percent: number("late_percent") as u32,
    }
}
