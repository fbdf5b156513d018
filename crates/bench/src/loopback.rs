//! Benchmark of the real daemons over the loopback device: CPU time per request
//! and per token, memory, and the latency added to a direct request.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use config::{Change, ChangeRecord, ModelSpec, TeamSpec, VersionSpec};
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use sha2::{Digest, Sha256};
use standin::{Engine, EngineConfig, InstanceListService, LogService};
use tokio::sync::Semaphore;
use volo_http::{body::Body, client::Client, response::Response};

use crate::cost::{print_line_fit, process_cpu_s, process_rss_bytes};

/// Numbers of output tokens of a request.
const OUTPUT_TOKENS: [u64; 5] = [1, 16, 64, 128, 256];

/// Number of requests for each of them.
const REQUESTS: usize = 1_500;

/// Number of concurrent requests.
const CONCURRENCY: usize = 16;

/// Number of concurrent requests while the added latency is measured; low, so that
/// requests do not wait for each other.
const LATENCY_CONCURRENCY: usize = 2;

/// Daemon process; it is killed on drop.
struct Daemon {
    child: Child,
    /// Listening addresses by name, as announced on standard output.
    addresses: Vec<(String, SocketAddr)>,
}

impl Daemon {
    fn start(command: &str, settings: &str) -> Daemon {
        let file = std::env::temp_dir().join(format!(
            "currantbank-bench-{}-{command}.ini",
            std::process::id()
        ));
        fs::write(&file, settings).expect("cannot write the settings file");
        let mut child = Command::new(daemon_path())
            .args([command, "--config"])
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start the daemon; build it with `cargo build --release`");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("cannot read the daemon's addresses");
        let announced = line
            .split_whitespace()
            .filter_map(|field| field.split_once('='));
        let addresses = announced
            .map(|(name, address)| {
                (
                    name.to_owned(),
                    address
                        .parse()
                        .expect("the daemon announces valid addresses"),
                )
            })
            .collect();
        Daemon { child, addresses }
    }

    fn address(&self, name: &str) -> SocketAddr {
        let found = self
            .addresses
            .iter()
            .find(|(announced, _)| announced == name);
        found.expect("the daemon announces this address").1
    }

    fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the daemons' executable, in the directory of this one.
fn daemon_path() -> PathBuf {
    let own_path =
        std::env::current_exe().expect("cannot determine the path of this executable");
    own_path.with_file_name("currantbank")
}

/// An engine, an entry and an agent, with the services that they need.
struct LocalSystem {
    engine: Engine,
    entry: Daemon,
    agent: Daemon,
    _instance_list: InstanceListService,
    _log: LogService,
}

/// Appends the configuration to the log.
fn publish_config(log: &LogService) {
    let changes = [
        (
            0,
            Change::Model(ModelSpec {
                name: "draft".into(),
                serving: String::new(),
            }),
        ),
        (
            0,
            Change::Version(VersionSpec {
                model: "draft".into(),
                version: "v1".into(),
                cost_micros_per_ktoken: 1_000,
                quality: 0.9,
            }),
        ),
        (
            1,
            Change::Model(ModelSpec {
                name: "draft".into(),
                serving: "v1".into(),
            }),
        ),
        (
            0,
            Change::Team(TeamSpec {
                name: "members".into(),
                token_digests: vec![hex::encode(Sha256::digest("members-token"))],
                allowed: vec!["draft".into()],
                weight: 1,
                ..TeamSpec::default()
            }),
        ),
    ];
    for (index, (expected_revision, change)) in changes.into_iter().enumerate() {
        let record = ChangeRecord {
            change_id: format!("bench-{index}"),
            expected_revision,
            change,
            ..ChangeRecord::default()
        };
        log.append("config", &record.encode());
    }
}

async fn start_system() -> LocalSystem {
    let log = LogService::start().await;
    let instance_list = InstanceListService::start().await;
    let engine_config = EngineConfig {
        slots: 10_000,
        first_token_ms: 0,
        token_ms: 0,
        ..EngineConfig::default()
    };
    let engine = Engine::start(engine_config, &["draft@v1"]).await;
    publish_config(&log);
    let common_settings = format!(
        "[process]\nroom = ghent\n[log]\nlevel = warn\n[store]\naddress = {}\nlive_address = {}\n",
        log.address, instance_list.address
    );
    let agent = Daemon::start(
        "agent",
        &format!(
            "{common_settings}[agent]\nlisten = 127.0.0.1:0\nendpoint = big\nendpoint_address = {}\n",
            engine.address
        ),
    );
    instance_list.add("agent", "agent", "ghent", agent.address("peers"));
    let entry = Daemon::start(
        "entry",
        &format!(
            "{common_settings}[entry]\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n"
        ),
    );
    instance_list.add("entry", "entry", "ghent", entry.address("peers"));
    LocalSystem {
        engine,
        entry,
        agent,
        _instance_list: instance_list,
        _log: log,
    }
}

/// Measurements of a series of requests.
struct LoadStats {
    /// Time to the end of the answer, microseconds.
    total_us: Histogram<u64>,
    /// Time to the first chunk of the answer, microseconds.
    first_chunk_us: Histogram<u64>,
    failed: usize,
}

/// Sends `count` requests, at most `concurrency` of them at a time.
async fn load(
    address: SocketAddr,
    model: &str,
    count: usize,
    concurrency: usize,
    output_tokens: u64,
) -> LoadStats {
    let client = Client::default();
    let semaphore = Arc::new(Semaphore::new(concurrency));
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..count {
        let permit = semaphore
            .clone()
            .acquire_owned()
            .await
            .expect("the semaphore is never closed");
        let client = client.clone();
        let model = model.to_owned();
        tasks.spawn(async move {
            let _permit = permit;
            send_request(&client, address, &model, output_tokens).await
        });
    }
    let histogram = || {
        Histogram::new(3).expect("3 significant digits are within the supported range")
    };
    let mut stats = LoadStats {
        total_us: histogram(),
        first_chunk_us: histogram(),
        failed: 0,
    };
    while let Some(result) = tasks.join_next().await {
        match result.ok().flatten() {
            Some((first_chunk, total)) => {
                let _ = stats.first_chunk_us.record(first_chunk.as_micros() as u64);
                let _ = stats.total_us.record(total.as_micros() as u64);
            }
            None => stats.failed += 1,
        }
    }
    stats
}

/// Sends a request and returns the times to the first chunk and to the end of the
/// streamed answer; `None` if it failed or was incomplete.
async fn send_request(
    client: &Client,
    address: SocketAddr,
    model: &str,
    output_tokens: u64,
) -> Option<(Duration, Duration)> {
    let body = format!(
        r#"{{"model":"{model}","messages":[{{"role":"user","content":"hello"}}],"max_tokens":{output_tokens},"stream":true}}"#
    );
    let started = Instant::now();
    let response: Response = client
        .post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", "Bearer members-token")
        .body(Body::from(Bytes::from(body)))
        .send()
        .await
        .ok()?;
    if response.status() != 200 {
        return None;
    }
    let mut body = response.into_body();
    let mut first_chunk = None;
    let mut last_chunk = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().ok()?;
        first_chunk.get_or_insert_with(|| started.elapsed());
        last_chunk = data.to_vec();
    }
    let is_complete = last_chunk.windows(6).any(|window| window == b"[DONE]");
    is_complete.then_some((first_chunk?, started.elapsed()))
}

/// Runs all measurements.
pub fn run() {
    let runtime = tokio::runtime::Runtime::new().expect("cannot start the runtime");
    runtime.block_on(async {
        let system = start_system().await;
        let entry = system.entry.address("callers");
        wait_until_ready(entry).await;
        measure_added_latency(&system, entry).await;
        measure_cpu_time(&system, entry).await;
        println!(
            "memory: entry {} KiB, agent {} KiB",
            process_rss_bytes(system.entry.pid()) / 1024,
            process_rss_bytes(system.agent.pid()) / 1024
        );
    });
}

/// Waits until a request succeeds; prints a message and returns after 400 failed
/// ones.
async fn wait_until_ready(entry: SocketAddr) {
    for _ in 0..400 {
        if send_request(&Client::default(), entry, "draft", 1)
            .await
            .is_some()
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("the daemons did not become ready");
}

/// Compares requests sent directly to the engine with requests through entry and
/// agent. Both alternate within one run, so that a change in the machine's load
/// affects both.
async fn measure_added_latency(system: &LocalSystem, entry: SocketAddr) {
    let mut direct = load(
        system.engine.address,
        "draft@v1",
        200,
        LATENCY_CONCURRENCY,
        1,
    )
    .await;
    let mut proxied = load(entry, "draft", 200, LATENCY_CONCURRENCY, 1).await;
    for _ in 0..4 {
        let more = load(
            system.engine.address,
            "draft@v1",
            500,
            LATENCY_CONCURRENCY,
            1,
        )
        .await;
        let _ = direct.first_chunk_us.add(&more.first_chunk_us);
        let more = load(entry, "draft", 500, LATENCY_CONCURRENCY, 1).await;
        let _ = proxied.first_chunk_us.add(&more.first_chunk_us);
        proxied.failed += more.failed;
    }
    for (name, stats) in [("direct", &direct), ("through", &proxied)] {
        println!(
            "first token {name}: p50 {} us, p99 {} us, {} requests, {} failed",
            stats.first_chunk_us.value_at_quantile(0.5),
            stats.first_chunk_us.value_at_quantile(0.99),
            stats.first_chunk_us.len(),
            stats.failed
        );
    }
    let added_us = |quantile| {
        proxied.first_chunk_us.value_at_quantile(quantile) as i64
            - direct.first_chunk_us.value_at_quantile(quantile) as i64
    };
    println!(
        "added to the first token: p50 {} us, p99 {} us\n",
        added_us(0.5),
        added_us(0.99)
    );
}

/// Measures the CPU time of entry and agent per request, by number of output
/// tokens.
async fn measure_cpu_time(system: &LocalSystem, entry: SocketAddr) {
    let mut entry_points = Vec::new();
    let mut agent_points = Vec::new();
    for output_tokens in OUTPUT_TOKENS {
        let before = (
            process_cpu_s(system.entry.pid()),
            process_cpu_s(system.agent.pid()),
        );
        let stats = load(entry, "draft", REQUESTS, CONCURRENCY, output_tokens).await;
        let us_per_request = 1e6 / REQUESTS as f64;
        let cpu_us = |pid, before: f64| (process_cpu_s(pid) - before) * us_per_request;
        entry_points.push((output_tokens as f64, cpu_us(system.entry.pid(), before.0)));
        agent_points.push((output_tokens as f64, cpu_us(system.agent.pid(), before.1)));
        if stats.failed > 0 {
            println!(
                "{} of {REQUESTS} requests failed at {output_tokens} tokens",
                stats.failed
            );
        }
    }
    print_line_fit(
        "entry",
        "tokens",
        "us of processor a request",
        &entry_points,
    );
    print_line_fit(
        "agent",
        "tokens",
        "us of processor a request",
        &agent_points,
    );
}
