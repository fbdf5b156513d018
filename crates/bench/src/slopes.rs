//! What each mechanism costs a process, at four sizes or more.

use std::{
    hint::black_box,
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use bill::{Bill, BillBuffer, BillRecord, LineItem};
use claim::{Claim, ClaimRecord, Claims};
use config::{Change, ChangeRecord, Config, ModelSpec, TeamSpec, VersionSpec};
use route::{Locality, PickSettings, Report, Runners, Target};
use store::{Instance, InstanceState, Role};
use tokio::{net::TcpListener, task::LocalSet};
use wire::{Hello, Hub, PeerHandler};

use crate::cost::{loopback_bytes, memory_bytes, report, thread_time_s};

/// Peers of one process.
const PEERS: [usize; 5] = [10, 50, 100, 200, 400];

/// Time between heartbeats while measuring, ms; five times as often as the
/// daemons send them, so that the processor time stands out.
const BEAT_MS: u64 = 100;

/// Heartbeats measured for each number of peers.
const BEATS: u32 = 50;

/// Objects or records of a fold.
const SIZES: [usize; 4] = [1_000, 2_000, 5_000, 10_000];

/// Keys of a claim fold.
const KEYS: [usize; 4] = [10_000, 50_000, 100_000, 200_000];

/// Runs all measurements.
pub fn run() {
    heartbeats();
    config_fold();
    claim_fold();
    bill_records();
    bill_buffer();
    runner_choice();
    subset_cost();
}

/// Cost of an entry's choice of the agents that it greets, and how many they
/// are.
fn subset_cost() {
    let mut points = Vec::new();
    for agents in [500_usize, 1_000, 2_000, 4_500] {
        let entries = agents * 550 / 4_500;
        let instance = |role, at: usize| Instance {
            name: format!("{role:?}-{at}"),
            role,
            failure_domain: format!("room-{}", at % 6),
            address: SocketAddr::from(([10, 1, (at / 250) as u8, (at % 250) as u8], 1)),
            state: InstanceState::Live,
        };
        let mut list: Vec<Instance> =
            (0..entries).map(|at| instance(Role::Entry, at)).collect();
        list.extend((0..agents).map(|at| instance(Role::Agent, at)));
        let started = Instant::now();
        let greeted = node::heartbeat_targets(&list, list[0].address, 20).len();
        points.push((agents as f64, started.elapsed().as_secs_f64() * 1e6));
        println!(
            "subset of {agents} agents for one of {entries} entries: {greeted} greeted"
        );
    }
    report("subset", "agents", "us a change of the list", &points);
}

struct Stub;

fn hello(instance: usize) -> Hello {
    Hello {
        instance: format!("i-{instance:016x}"),
        failure_domain: "ghent".into(),
        region: "centre".into(),
        address: "127.0.0.1:65535".into(),
        config_offset: 123_456,
        log_age_ms: 80,
        endpoint: "endpoint-12".into(),
        versions: vec!["draft@v1".into(), "draft@v2".into()],
        running: 6,
        queued: 1,
        slots: 8,
        token_us: 20_000,
        ..Hello::default()
    }
}

impl PeerHandler for Stub {
    async fn hello(&self, _from: Hello) -> Hello {
        hello(1)
    }

    async fn fetch_config(&self, _have: u64) -> Option<(u64, String)> {
        None
    }

    async fn hold_bills(&self, _owner: String, _bills: String) -> Result<(), String> {
        Ok(())
    }

    async fn release_bills(&self, _owner: String, _request_ids: Vec<String>) {}
}

/// Starts `count` peers on a thread of their own.
fn start_peers(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<std::net::TcpListener> = (0..count)
        .map(|_| {
            let listener =
                std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener
                .set_nonblocking(true)
                .expect("a non-blocking listener");
            listener
        })
        .collect();
    let address =
        |listener: &std::net::TcpListener| listener.local_addr().expect("bound");
    let addresses = listeners.iter().map(address).collect();
    thread::Builder::new()
        .name("stub-peers".into())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            LocalSet::new().block_on(&runtime, async {
                for listener in listeners {
                    let listener = TcpListener::from_std(listener).expect("a listener");
                    tokio::task::spawn_local(wire::serve_peer(listener, Rc::new(Stub)));
                }
                std::future::pending::<()>().await;
            });
        })
        .expect("a thread");
    addresses
}

fn heartbeats() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let mut time_points = Vec::new();
    let mut byte_points = Vec::new();
    let mut memory_points = Vec::new();
    for count in PEERS {
        let addresses = start_peers(count);
        let before = memory_bytes();
        let hub = Hub::start(2_000);
        let (time_s, bytes) = runtime.block_on(beat(&hub, &addresses));
        // Both ends live here, so half of the memory belongs to each.
        let memory = memory_bytes().saturating_sub(before) / 2;
        let beats = f64::from(BEATS);
        time_points.push((count as f64, time_s * 1e6 / beats));
        byte_points.push((count as f64, bytes as f64 / beats));
        memory_points.push((count as f64, memory as f64 / 1024.0));
    }
    report(
        "heartbeat",
        "peers",
        "us of the greeter a round",
        &time_points,
    );
    report(
        "heartbeat",
        "peers",
        "bytes a round, both ways, with TCP and IP",
        &byte_points,
    );
    report("connection", "peers", "KiB of one end", &memory_points);
}

/// Warms up the connections, then sends rounds of heartbeats.
async fn beat(hub: &Hub, addresses: &[SocketAddr]) -> (f64, u64) {
    for address in addresses {
        let _ = hub.hello(*address, hello(0)).await;
    }
    // Threads of earlier sizes sleep; only this one adds time.
    let time = thread_time_s("wire-hub");
    let bytes = loopback_bytes();
    for _ in 0..BEATS {
        let mut round = tokio::task::JoinSet::new();
        for address in addresses.iter().copied() {
            let hub = hub.clone();
            round.spawn(async move { hub.hello(address, hello(0)).await.is_ok() });
        }
        while round.join_next().await.is_some() {}
        tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
    }
    (thread_time_s("wire-hub") - time, loopback_bytes() - bytes)
}

fn change(at: usize, expected_revision: u64, change: Change) -> String {
    let record = ChangeRecord {
        change_id: format!("ctl-{at:032x}"),
        who: "alice".into(),
        at_ms: 1_700_000_000_000,
        expected_revision,
        change,
        ..ChangeRecord::default()
    };
    record.encode()
}

/// A day's changes: teams and versions changed again and again.
fn records(count: usize) -> Vec<String> {
    let mut records = vec![change(
        0,
        0,
        Change::Model(ModelSpec {
            name: "draft".into(),
            serving: String::new(),
        }),
    )];
    let mut revisions = [0_u64; 100];
    for at in 1..count {
        let slot = at % 100;
        let expected = revisions[slot];
        revisions[slot] = at as u64 + 1;
        let object = if slot < 60 {
            Change::Team(TeamSpec {
                name: format!("team-{slot}"),
                token_digests: vec!["ab".repeat(32)],
                allowed: (0..8).map(|model| format!("model-{model}")).collect(),
                max_concurrent: at as u32,
                weight: 1,
                ..TeamSpec::default()
            })
        } else {
            Change::Version(VersionSpec {
                model: "draft".into(),
                version: format!("v{slot}"),
                cost_micros_per_ktoken: at as u64,
                quality: 0.9,
            })
        };
        records.push(change(at, expected, object));
    }
    records
}

fn config_fold() {
    let mut time_points = Vec::new();
    let mut size_points = Vec::new();
    for count in SIZES {
        let records = records(count);
        let started = Instant::now();
        let mut config = Config::default();
        for (offset, record) in records.iter().enumerate() {
            config.apply(offset as u64, record);
        }
        let took = started.elapsed();
        time_points.push((count as f64, took.as_secs_f64() * 1e6));
        size_points.push((count as f64, config.encode().len() as f64 / 1024.0));
        black_box(config);
    }
    report("config fold", "records", "us", &time_points);
    report("config snapshot", "records folded", "KiB", &size_points);
}

fn claim_fold() {
    let mut time_points = Vec::new();
    let mut memory_points = Vec::new();
    for count in KEYS {
        let records: Vec<String> = (0..count)
            .map(|at| {
                let claim = Claim {
                    team: format!("team-{}", at % 10),
                    key: format!("key-{at:024x}"),
                    request_id: format!("{at:032x}"),
                    holder: "i-0123456789abcdef".into(),
                    attempt: 1,
                };
                ClaimRecord::claim(1_700_000_000_000, claim).encode()
            })
            .collect();
        let before = memory_bytes();
        let started = Instant::now();
        let mut claims = Claims::default();
        for (offset, record) in records.iter().enumerate() {
            claims.apply(offset as u64, record);
        }
        let took = started.elapsed();
        let memory = memory_bytes().saturating_sub(before);
        time_points.push((count as f64, took.as_secs_f64() * 1e6));
        memory_points.push((count as f64, memory as f64 / 1024.0));
        black_box(claims.len());
        // The next size must not find this one's memory free again.
        std::mem::forget(claims);
    }
    report("claim fold", "keys", "us", &time_points);
    report("claim memory", "keys", "KiB", &memory_points);
}

fn bill_records() {
    let mut points = Vec::new();
    for count in [10_usize, 50, 100, 200, 500] {
        let bills = (0..count).map(usual_bill).collect();
        let record = BillRecord::new("i-0123456789abcdef", bills).encode();
        points.push((count as f64, record.len() as f64));
    }
    report("bill record", "bills", "bytes", &points);
}

/// Bills held while the log is down.
fn bill_buffer() {
    let mut points = Vec::new();
    for count in KEYS {
        let before = memory_bytes();
        let mut buffer = BillBuffer::new(count);
        for at in 0..count {
            buffer.hold(usual_bill(at), clock::Millis(0), "");
        }
        let memory = memory_bytes().saturating_sub(before);
        points.push((count as f64, memory as f64 / 1024.0));
        std::mem::forget(buffer);
    }
    report("bill buffer", "bills", "KiB", &points);
}

fn usual_bill(at: usize) -> Bill {
    Bill {
        request_id: format!("{at:032x}"),
        team: format!("team-{}", at % 10),
        at_ms: 1_700_000_000_000,
        lines: vec![LineItem {
            model: "draft".into(),
            version: "v1".into(),
            prompt_tokens: 800,
            output_tokens: 320,
            cost_micros: 2_240,
        }],
    }
}

fn runner_choice() {
    let mut points = Vec::new();
    for count in [10_usize, 50, 100, 200, 400] {
        let mut runners = Runners::default();
        let now = clock::Millis(1_000_000);
        for at in 0..count {
            let key =
                SocketAddr::from(([10, 0, (at / 256) as u8, (at % 256) as u8], 1));
            let report = Report {
                instance: format!("i-{at}"),
                locality: Locality {
                    failure_domain: format!("room-{}", at % 6),
                    region: "r".into(),
                },
                versions: [format!("draft@v{}", at % 2)].into(),
                slots: 8,
                running: (at % 8) as u32,
                ..Report::default()
            };
            runners.record_report(key, report, now);
        }
        let settings = PickSettings {
            silence_ms: 2_000,
            ..PickSettings::default()
        };
        let mut rng = rand::rng();
        let rounds = 2_000;
        let started = Instant::now();
        for _ in 0..rounds {
            let picked = runners.pick(
                Target::Version("draft@v1"),
                &[],
                &settings,
                now,
                &mut rng,
            );
            black_box(picked.is_ok());
        }
        let took_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
        points.push((count as f64, took_us));
    }
    report("runner choice", "runners known", "us", &points);
}
