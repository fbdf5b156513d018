//! Settings as structs, made once from the checked file.

use std::{fs, net::SocketAddr, path::Path};

use crate::{Secrets, SettingsError, SettingsErrors, raw::Raw};

/// Longest that part of a file may claim: the snapshot must be renewed well
/// before the log drops the oldest record it stands for.
const RETENTION_MARGIN: u64 = 2;

/// Which daemon a file is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// The front that callers and operators reach.
    Entry,
    /// The process beside an endpoint.
    Agent,
    /// The front that forwards callers' HTTP on the users' platform.
    Gateway,
}

/// What the user weighs most.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Objective {
    /// Few requests on a bad version.
    #[default]
    Exposure,
    /// Short waits.
    Latency,
}

/// What happens while most rooms agree that the log is down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreOutage {
    /// Work goes on with the configuration in force.
    #[default]
    Serve,
    /// No new work is taken.
    Refuse,
}

/// Settings of any process.
#[derive(Clone, Debug, Default)]
pub struct ProcessSettings {
    /// Id of this instance; empty for a fresh one.
    pub instance: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Region.
    pub region: String,
    /// Longest wait for work in progress at a planned stop, ms.
    pub drain_timeout_ms: u64,
    /// What weighs most.
    pub objective: Objective,
    /// Peers to ask for the configuration at start.
    pub peers: Vec<SocketAddr>,
}

/// Settings of logs and metrics.
#[derive(Clone, Debug, Default)]
pub struct LogSettings {
    /// Least level of log lines.
    pub level: String,
    /// StatsD receiver.
    pub metrics_address: Option<SocketAddr>,
}

/// Settings of the platform's log and what is kept on it.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Address of the log.
    pub address: SocketAddr,
    /// Address of the live list.
    pub live_address: SocketAddr,
    /// Longest wait for an answer, ms.
    pub timeout_ms: u64,
    /// How long a read waits at the end, ms.
    pub poll_wait_ms: u64,
    /// How long the log keeps records, ms.
    pub retention_ms: u64,
    /// Records after which a snapshot is appended.
    pub snapshot_records: u64,
    /// How long keys are remembered, ms.
    pub claim_window_ms: u64,
    /// Streams that claims are spread over.
    pub claim_partitions: u32,
    /// How long claims gather, ms.
    pub append_interval_ms: u64,
    /// How long bills gather, ms.
    pub bill_interval_ms: u64,
    /// Age of the last news of the log that ends new work, ms.
    pub stale_after_ms: u64,
    /// What happens while the log is down.
    pub outage: StoreOutage,
    /// How many rooms there are.
    pub failure_domains: usize,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub admin_listen: SocketAddr,
    /// Where other processes connect.
    pub peer_listen: SocketAddr,
    /// Deadline of a request that names none, ms.
    pub deadline_ms: u64,
    /// Longest deadline, ms.
    pub deadline_max_ms: u64,
    /// Largest body, bytes.
    pub body_max_bytes: usize,
    /// Longest wait for a body, ms.
    pub body_timeout_ms: u64,
    /// Headers of a request.
    pub headers_max: usize,
    /// Requests at once.
    pub streams_max: usize,
    /// Time between heartbeats, ms.
    pub heartbeat_ms: u64,
    /// Agents that an entry greets.
    pub heartbeat_agents_max: usize,
    /// Silence that ends a connection, ms.
    pub silence_ms: u64,
    /// Time without a token that moves an attempt, ms.
    pub stall_ms: u64,
    /// Attempts of idempotent work.
    pub attempts_max: u32,
    /// Retries allowed, percent of first attempts.
    pub retry_percent: u32,
    /// How a runner is chosen.
    pub balance: String,
    /// Whether cheap steps are tried.
    pub cascade: String,
    /// The rating service.
    pub rater_address: Option<SocketAddr>,
    /// Longest wait for a rating, ms.
    pub rater_timeout_ms: u64,
    /// Bills held while the log is down.
    pub bills_max: usize,
    /// Time after which a holder appends another's bill, ms.
    pub bill_handover_ms: u64,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Where entries connect.
    pub listen: SocketAddr,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Where the endpoint listens.
    pub endpoint_address: SocketAddr,
    /// Plain service behind the endpoint; empty for an engine.
    pub service: String,
    /// Whether the engine checks fencing numbers.
    pub checks_fencing: bool,
    /// Attempts at once.
    pub attempts_max: usize,
    /// Bills held for entries.
    pub bills_max: usize,
    /// How long ended attempts are remembered, ms.
    pub remember_ms: u64,
    /// Age of a won claim beyond which its call is not started, ms.
    pub start_within_ms: u64,
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether new callers are welcome.
    pub ready_listen: SocketAddr,
    /// Where metrics are served.
    pub metrics_listen: SocketAddr,
    /// Where other gateways connect and send datagrams.
    pub peer_listen: SocketAddr,
    /// Attempts after the first that are allowed, as a share of first attempts.
    pub retry_share: f64,
    /// Time over which these are counted, s.
    pub retry_window_s: f64,
    /// Share of requests that a bad version may get.
    pub expose_share: f64,
    /// Pause after which a session may change its version, s.
    pub session_s: f64,
    /// Longest wait for the first configuration, ms.
    pub start_wait_ms: u64,
}

/// Model size that a request is tried with first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FirstModel {
    /// The cheapest; an unsure answer is asked for again from a larger one.
    #[default]
    Smallest,
    /// One in between.
    Middle,
    /// The surest, whose answers are final.
    Largest,
}

/// Settings of where a gateway places requests, and with which model.
#[derive(Clone, Copy, Debug)]
pub struct PlacementSettings {
    /// What reading a prompt weighs besides its own wait, percent.
    pub read_weight_percent: u32,
    /// Delay that one running request adds for a new one, us.
    pub running_us: u32,
    /// Prompt tokens that an engine reads in a ms at pace 1.
    pub prefill_tokens_per_ms: f64,
    /// Work of the smallest model relative to one of pace 1.
    pub pace_smallest: f64,
    /// Work of the models in between.
    pub pace_middle: f64,
    /// Work of the largest model.
    pub pace_largest: f64,
    /// Confidence from which a smaller model's answer is passed on.
    pub confidence_min: u8,
    /// Model size that a request is tried with first.
    pub first_model: FirstModel,
    /// Part of the objective beyond which a larger model is not asked, percent.
    pub late_percent: u32,
}

/// All settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Of any process.
    pub process: ProcessSettings,
    /// Of logs and metrics.
    pub log: LogSettings,
    /// Of the platform's log.
    pub store: StoreSettings,
    /// Of an entry.
    pub entry: EntrySettings,
    /// Of an agent.
    pub agent: AgentSettings,
    /// Of a gateway.
    pub gateway: GatewaySettings,
    /// Of where a gateway places requests.
    pub place: PlacementSettings,
    /// Keys and digests from the secrets file.
    pub secrets: Secrets,
}

impl Default for Settings {
    /// The table's defaults, in a room named `local`.
    fn default() -> Self {
        Settings::parse(Role::Entry, "defaults", "[process]\nroom = local\n")
            .expect("the table's defaults are valid")
    }
}

impl Settings {
    /// Reads and checks a file.
    pub fn load(role: Role, path: &Path) -> Result<Settings, SettingsErrors> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Settings::parse(role, &file, &text),
            Err(err) => Err(SettingsErrors(vec![SettingsError::Unreadable {
                file,
                why: err.to_string(),
            }])),
        }
    }

    /// Checks a file's text; tells all its faults at once.
    pub fn parse(
        role: Role,
        file: &str,
        text: &str,
    ) -> Result<Settings, SettingsErrors> {
        let mut faults = Vec::new();
        let raw = Raw::parse(file, text, &mut faults);
        check_together(role, &raw, &mut faults);
        let secrets = Secrets::load(raw.text("process", "secrets_file"), &mut faults);
        if !faults.is_empty() {
            return Err(SettingsErrors(faults));
        }
        Ok(build(&raw, secrets))
    }
}

/// Checks what no single key shows.
fn check_together(role: Role, raw: &Raw, faults: &mut Vec<SettingsError>) {
    let required = match role {
        Role::Entry | Role::Gateway => vec![("process", "room")],
        Role::Agent => vec![("process", "room"), ("agent", "endpoint")],
    };
    for (section, key) in required {
        let is_told = faults.iter().any(|fault| fault.is_about(section, key));
        if raw.text(section, key).is_empty() && !is_told {
            faults.push(raw.bad_value(section, key, "", "set, and it must be"));
        }
    }
    let retention_ms = raw.number("store", "retention_ms");
    if raw.number("store", "claim_window_ms") > retention_ms {
        faults.push(raw.contradiction(
            "store",
            "claim_window_ms",
            "keys cannot be remembered longer than store.retention_ms; lower it",
        ));
    }
    if raw.number("store", "stale_after_ms") * RETENTION_MARGIN > retention_ms {
        faults.push(raw.contradiction(
            "store",
            "stale_after_ms",
            "a stale instance could miss records; keep it under half of store.retention_ms",
        ));
    }
    if raw.number("entry", "deadline_ms") > raw.number("entry", "deadline_max_ms") {
        faults.push(raw.contradiction(
            "entry",
            "deadline_ms",
            "it exceeds entry.deadline_max_ms; lower it",
        ));
    }
    if raw.number("entry", "silence_ms") < 2 * raw.number("entry", "heartbeat_ms") {
        faults.push(raw.contradiction(
            "entry",
            "silence_ms",
            "it must span two heartbeats; raise it or lower entry.heartbeat_ms",
        ));
    }
}

fn build(raw: &Raw, secrets: Secrets) -> Settings {
    let log_address = raw
        .address("store", "address")
        .expect("checked, with a default");
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
        place: build_place(raw),
        secrets,
    }
}

fn build_process(raw: &Raw) -> ProcessSettings {
    ProcessSettings {
        instance: raw.text("process", "instance").to_owned(),
        failure_domain: raw.text("process", "room").to_owned(),
        region: raw.text("process", "region").to_owned(),
        drain_timeout_ms: raw.number("process", "drain_timeout_ms"),
        objective: match raw.text("process", "objective") {
            "latency" => Objective::Latency,
            _ => Objective::Exposure,
        },
        peers: raw.addresses("peers", "addresses"),
    }
}

fn build_store(raw: &Raw, address: SocketAddr) -> StoreSettings {
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

fn build_entry(raw: &Raw) -> EntrySettings {
    let address = |key| raw.address("entry", key).expect("checked, with a default");
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

fn build_agent(raw: &Raw) -> AgentSettings {
    let address = |key| raw.address("agent", key).expect("checked, with a default");
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

fn build_gateway(raw: &Raw) -> GatewaySettings {
    let address = |key| {
        raw.address("gateway", key)
            .expect("checked, with a default")
    };
    let decimal = |key| raw.decimal("gateway", key);
    GatewaySettings {
        listen: address("listen"),
        ready_listen: address("ready_listen"),
        metrics_listen: address("metrics_listen"),
        peer_listen: address("peer_listen"),
        retry_share: decimal("retry_share"),
        retry_window_s: decimal("retry_window_s"),
        expose_share: decimal("expose_share"),
        session_s: decimal("session_s"),
        start_wait_ms: raw.number("gateway", "start_wait_ms"),
    }
}

fn build_place(raw: &Raw) -> PlacementSettings {
    let number = |key| raw.number("place", key);
    let decimal = |key| raw.decimal("place", key);
    PlacementSettings {
        read_weight_percent: number("read_weight_percent") as u32,
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
