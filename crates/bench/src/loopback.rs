//! Measures the real daemons on loopback: processor time a request and a
//! token, memory, and the latency that they add.

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

use crate::cost::{process_memory_bytes, process_time_s, report};

/// Output tokens of a request.
const TOKENS: [u64; 5] = [1, 16, 64, 128, 256];

/// Requests measured for each.
const REQUESTS: usize = 1_500;

/// Requests at once.
const CONCURRENCY: usize = 16;

/// Requests at once while the added latency is measured.
const QUIET_CONCURRENCY: usize = 2;

struct Daemon {
    child: Child,
    addresses: Vec<(String, SocketAddr)>,
}

impl Daemon {
    fn start(command: &str, settings: &str) -> Daemon {
        let file = std::env::temp_dir().join(format!(
            "currantbank-bench-{}-{command}.ini",
            std::process::id()
        ));
        fs::write(&file, settings).expect("settings can be written");
        let mut child = Command::new(program())
            .args([command, "--config"])
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("build the program first: cargo build --release");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("its output is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("it announces itself");
        let pairs = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        let addresses = pairs
            .map(|(name, address)| {
                (name.to_owned(), address.parse().expect("an address"))
            })
            .collect();
        Daemon { child, addresses }
    }

    fn address(&self, name: &str) -> SocketAddr {
        let found = self.addresses.iter().find(|(known, _)| known == name);
        found.expect("an announced address").1
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

/// The daemons' program, beside this one.
fn program() -> PathBuf {
    let own = std::env::current_exe().expect("this program has a path");
    own.with_file_name("currantbank")
}

struct Plant {
    engine: Engine,
    entry: Daemon,
    agent: Daemon,
    _live: InstanceListService,
    _log: LogService,
}

fn publish(log: &LogService) {
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
    for (at, (expected_revision, change)) in changes.into_iter().enumerate() {
        let record = ChangeRecord {
            change_id: format!("bench-{at}"),
            expected_revision,
            change,
            ..ChangeRecord::default()
        };
        log.append("config", &record.encode());
    }
}

async fn start() -> Plant {
    let log = LogService::start().await;
    let live = InstanceListService::start().await;
    let model = EngineConfig {
        slots: 10_000,
        first_token_ms: 0,
        token_ms: 0,
        ..EngineConfig::default()
    };
    let engine = Engine::start(model, &["draft@v1"]).await;
    publish(&log);
    let common = format!(
        "[process]\nroom = ghent\n[log]\nlevel = warn\n[store]\naddress = {}\nlive_address = {}\n",
        log.address, live.address
    );
    let agent = Daemon::start(
        "agent",
        &format!(
            "{common}[agent]\nlisten = 127.0.0.1:0\nendpoint = big\nendpoint_address = {}\n",
            engine.address
        ),
    );
    live.add("agent", "agent", "ghent", agent.address("peers"));
    let entry = Daemon::start(
        "entry",
        &format!(
            "{common}[entry]\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n"
        ),
    );
    live.add("entry", "entry", "ghent", entry.address("peers"));
    Plant {
        engine,
        entry,
        agent,
        _live: live,
        _log: log,
    }
}

/// What a run of requests showed, in microseconds.
struct Run {
    answer_us: Histogram<u64>,
    first_us: Histogram<u64>,
    failed: usize,
}

async fn load(
    address: SocketAddr,
    model: &str,
    count: usize,
    at_once: usize,
    tokens: u64,
) -> Run {
    let client = Client::default();
    let places = Arc::new(Semaphore::new(at_once));
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..count {
        let place = places
            .clone()
            .acquire_owned()
            .await
            .expect("an open semaphore");
        let client = client.clone();
        let model = model.to_owned();
        tasks.spawn(async move {
            let _place = place;
            request(&client, address, &model, tokens).await
        });
    }
    let histogram = || Histogram::new(3).expect("three digits are valid");
    let mut run = Run {
        answer_us: histogram(),
        first_us: histogram(),
        failed: 0,
    };
    while let Some(result) = tasks.join_next().await {
        match result.ok().flatten() {
            Some((first, whole)) => {
                let _ = run.first_us.record(first.as_micros() as u64);
                let _ = run.answer_us.record(whole.as_micros() as u64);
            }
            None => run.failed += 1,
        }
    }
    run
}

/// Time to the first piece and to the end of a streamed answer.
async fn request(
    client: &Client,
    address: SocketAddr,
    model: &str,
    tokens: u64,
) -> Option<(Duration, Duration)> {
    let body = format!(
        r#"{{"model":"{model}","messages":[{{"role":"user","content":"hello"}}],"max_tokens":{tokens},"stream":true}}"#
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
    let mut first = None;
    let mut tail = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().ok()?;
        first.get_or_insert_with(|| started.elapsed());
        tail = data.to_vec();
    }
    let whole = tail.windows(6).any(|window| window == b"[DONE]");
    whole.then_some((first?, started.elapsed()))
}

/// Runs all measurements.
pub fn run() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let plant = start().await;
        let entry = plant.entry.address("callers");
        wait_until_ready(entry).await;
        added_latency(&plant, entry).await;
        processor_time(&plant, entry).await;
        println!(
            "memory: entry {} KiB, agent {} KiB",
            process_memory_bytes(plant.entry.pid()) / 1024,
            process_memory_bytes(plant.agent.pid()) / 1024
        );
    });
}

async fn wait_until_ready(entry: SocketAddr) {
    for _ in 0..400 {
        if request(&Client::default(), entry, "draft", 1)
            .await
            .is_some()
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("the daemons did not become ready");
}

/// The same requests to the engine itself and through entry and agent, in
/// turns within one run.
async fn added_latency(plant: &Plant, entry: SocketAddr) {
    let mut direct =
        load(plant.engine.address, "draft@v1", 200, QUIET_CONCURRENCY, 1).await;
    let mut through = load(entry, "draft", 200, QUIET_CONCURRENCY, 1).await;
    for _ in 0..4 {
        let more =
            load(plant.engine.address, "draft@v1", 500, QUIET_CONCURRENCY, 1).await;
        let _ = direct.first_us.add(&more.first_us);
        let more = load(entry, "draft", 500, QUIET_CONCURRENCY, 1).await;
        let _ = through.first_us.add(&more.first_us);
        through.failed += more.failed;
    }
    for (name, run) in [("direct", &direct), ("through", &through)] {
        println!(
            "first token {name}: p50 {} us, p99 {} us, {} requests, {} failed",
            run.first_us.value_at_quantile(0.5),
            run.first_us.value_at_quantile(0.99),
            run.first_us.len(),
            run.failed
        );
    }
    let added = |q| {
        through.first_us.value_at_quantile(q) as i64
            - direct.first_us.value_at_quantile(q) as i64
    };
    println!(
        "added to the first token: p50 {} us, p99 {} us\n",
        added(0.5),
        added(0.99)
    );
}

async fn processor_time(plant: &Plant, entry: SocketAddr) {
    let mut entry_points = Vec::new();
    let mut agent_points = Vec::new();
    for tokens in TOKENS {
        let before = (
            process_time_s(plant.entry.pid()),
            process_time_s(plant.agent.pid()),
        );
        let run = load(entry, "draft", REQUESTS, CONCURRENCY, tokens).await;
        let per_request = 1e6 / REQUESTS as f64;
        let spent = |pid, before: f64| (process_time_s(pid) - before) * per_request;
        entry_points.push((tokens as f64, spent(plant.entry.pid(), before.0)));
        agent_points.push((tokens as f64, spent(plant.agent.pid(), before.1)));
        if run.failed > 0 {
            println!(
                "{} of {REQUESTS} requests failed at {tokens} tokens",
                run.failed
            );
        }
    }
    report(
        "entry",
        "tokens",
        "us of processor a request",
        &entry_points,
    );
    report(
        "agent",
        "tokens",
        "us of processor a request",
        &agent_points,
    );
}
