//! Cost of each mechanism in CPU time, memory or bytes, measured at four or more
//! loads, and the line fitted to it.

use std::{
    hint::black_box,
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use bill::{Bill, BillBuffer, BillRecord, LineItem};
use claim::{Claim, ClaimRecord, Claims};
use clock::SystemClock;
use config::{Change, ChangeRecord, Config, ModelSpec, TeamSpec, VersionSpec};
use ingress::Connections;
use route::{Locality, PickSettings, Report, Runners, Target};
use store::{Instance, InstanceState, Role};
use tokio::{net::TcpListener, task::LocalSet};
use wire::{Hello, Hub, PeerHandler};

use crate::cost::{loopback_bytes, print_line_fit, rss_bytes, thread_cpu_s};

/// Numbers of peers of one process.
const PEER_COUNTS: [usize; 5] = [10, 50, 100, 200, 400];

/// Interval between heartbeats during the measurement, ms.
///
/// They are sent five times as often as by the daemons, so that their CPU time is
/// large enough to measure.
const HEARTBEAT_MS: u64 = 100;

/// Rounds of heartbeats for each number of peers.
const ROUNDS: u32 = 50;

/// Numbers of configuration records.
const RECORD_COUNTS: [usize; 4] = [1_000, 2_000, 5_000, 10_000];

/// Numbers of claims, and of buffered bills.
const KEY_COUNTS: [usize; 4] = [10_000, 50_000, 100_000, 200_000];

/// Runs all measurements.
pub fn run() {
    measure_heartbeats();
    measure_config();
    measure_claims();
    measure_bill_records();
    measure_bill_buffer();
    measure_runner_choice();
    measure_heartbeat_targets();
}

/// Measures how long an entry takes to choose the agents to which it sends
/// heartbeats, and prints their number.
fn measure_heartbeat_targets() {
    let mut points = Vec::new();
    for agents in [500_usize, 1_000, 2_000, 4_500] {
        let entries = agents * 550 / 4_500;
        let instance = |role, index: usize| Instance {
            name: format!("{role:?}-{index}"),
            role,
            failure_domain: format!("room-{}", index % 6),
            address: SocketAddr::from((
                [10, 1, (index / 250) as u8, (index % 250) as u8],
                1,
            )),
            state: InstanceState::Live,
        };
        let mut instances: Vec<Instance> = (0..entries)
            .map(|index| instance(Role::Entry, index))
            .collect();
        instances.extend((0..agents).map(|index| instance(Role::Agent, index)));
        let started = Instant::now();
        let target_count =
            node::heartbeat_targets(&instances, instances[0].address, 20).len();
        points.push((agents as f64, started.elapsed().as_secs_f64() * 1e6));
        println!(
            "subset of {agents} agents for one of {entries} entries: {target_count} greeted"
        );
    }
    print_line_fit("subset", "agents", "us a change of the list", &points);
}

/// Peer that answers heartbeats.
struct StubPeer;

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

impl PeerHandler for StubPeer {
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

/// Starts `count` peers on a separate thread and returns their addresses.
fn start_peers(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<std::net::TcpListener> = (0..count)
        .map(|_| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0")
                .expect("cannot bind a port on the loopback device");
            listener
                .set_nonblocking(true)
                .expect("cannot make the listener non-blocking");
            listener
        })
        .collect();
    let address = |listener: &std::net::TcpListener| {
        listener.local_addr().expect("the listener is bound")
    };
    let addresses = listeners.iter().map(address).collect();
    thread::Builder::new()
        .name("stub-peers".into())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("cannot start the runtime");
            LocalSet::new().block_on(&runtime, async {
                for listener in listeners {
                    let listener = TcpListener::from_std(listener)
                        .expect("cannot register the listener");
                    tokio::task::spawn_local(wire::serve_peer(
                        listener,
                        Rc::new(StubPeer),
                        Connections::new(usize::MAX, SystemClock::default()),
                    ));
                }
                std::future::pending::<()>().await;
            });
        })
        .expect("cannot start the thread");
    addresses
}

/// Measures CPU time, network traffic and memory of heartbeats by number of peers.
fn measure_heartbeats() {
    let runtime = tokio::runtime::Runtime::new().expect("cannot start the runtime");
    let mut cpu_points = Vec::new();
    let mut byte_points = Vec::new();
    let mut memory_points = Vec::new();
    for count in PEER_COUNTS {
        let addresses = start_peers(count);
        let before_bytes = rss_bytes();
        let hub = Hub::start(2_000);
        let (cpu_s, network_bytes) =
            runtime.block_on(send_heartbeats(&hub, &addresses));
        // Both ends of each connection are in this process; each uses half.
        let end_bytes = rss_bytes().saturating_sub(before_bytes) / 2;
        let rounds = f64::from(ROUNDS);
        cpu_points.push((count as f64, cpu_s * 1e6 / rounds));
        byte_points.push((count as f64, network_bytes as f64 / rounds));
        memory_points.push((count as f64, end_bytes as f64 / 1024.0));
    }
    print_line_fit(
        "heartbeat",
        "peers",
        "us of the greeter a round",
        &cpu_points,
    );
    print_line_fit(
        "heartbeat",
        "peers",
        "bytes a round, both ways, with TCP and IP",
        &byte_points,
    );
    print_line_fit("connection", "peers", "KiB of one end", &memory_points);
}

/// Connects to all peers, then sends rounds of heartbeats; returns their CPU time
/// on this side, seconds, and the bytes sent both ways.
async fn send_heartbeats(hub: &Hub, addresses: &[SocketAddr]) -> (f64, u64) {
    for address in addresses {
        let _ = hub.hello(*address, hello(0)).await;
    }
    // The threads of earlier hubs are idle, so the increase is due to this hub.
    let cpu_before_s = thread_cpu_s("wire-hub");
    let bytes_before = loopback_bytes();
    for _ in 0..ROUNDS {
        let mut round = tokio::task::JoinSet::new();
        for address in addresses.iter().copied() {
            let hub = hub.clone();
            round.spawn(async move { hub.hello(address, hello(0)).await.is_ok() });
        }
        while round.join_next().await.is_some() {}
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
    (
        thread_cpu_s("wire-hub") - cpu_before_s,
        loopback_bytes() - bytes_before,
    )
}

fn change_record(index: usize, expected_revision: u64, change: Change) -> String {
    let record = ChangeRecord {
        change_id: format!("ctl-{index:032x}"),
        who: "alice".into(),
        at_ms: 1_700_000_000_000,
        expected_revision,
        change,
        ..ChangeRecord::default()
    };
    record.encode()
}

/// Returns `count` encoded changes, as they accumulate over a day: the first adds a
/// model, the others change the same 60 teams and 40 versions repeatedly.
fn config_records(count: usize) -> Vec<String> {
    let mut records = vec![change_record(
        0,
        0,
        Change::Model(ModelSpec {
            name: "draft".into(),
            serving: String::new(),
        }),
    )];
    let mut revisions = [0_u64; 100];
    for index in 1..count {
        let object_index = index % 100;
        let expected_revision = revisions[object_index];
        revisions[object_index] = index as u64 + 1;
        let change = if object_index < 60 {
            Change::Team(TeamSpec {
                name: format!("team-{object_index}"),
                token_digests: vec!["ab".repeat(32)],
                allowed: (0..8).map(|model| format!("model-{model}")).collect(),
                max_concurrent: index as u32,
                weight: 1,
                ..TeamSpec::default()
            })
        } else {
            Change::Version(VersionSpec {
                model: "draft".into(),
                version: format!("v{object_index}"),
                cost_micros_per_ktoken: index as u64,
                quality: 0.9,
            })
        };
        records.push(change_record(index, expected_revision, change));
    }
    records
}

/// Measures how long replaying the configuration takes, and the snapshot size.
fn measure_config() {
    let mut time_points = Vec::new();
    let mut size_points = Vec::new();
    for count in RECORD_COUNTS {
        let records = config_records(count);
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
    print_line_fit("config fold", "records", "us", &time_points);
    print_line_fit("config snapshot", "records folded", "KiB", &size_points);
}

/// Measures how long replaying claims takes, and their memory.
fn measure_claims() {
    let mut time_points = Vec::new();
    let mut memory_points = Vec::new();
    for count in KEY_COUNTS {
        let records: Vec<String> = (0..count)
            .map(|index| {
                let claim = Claim {
                    team: format!("team-{}", index % 10),
                    key: format!("key-{index:024x}"),
                    request_id: format!("{index:032x}"),
                    holder: "i-0123456789abcdef".into(),
                    attempt: 1,
                };
                ClaimRecord::claim(1_700_000_000_000, claim).encode()
            })
            .collect();
        let before_bytes = rss_bytes();
        let started = Instant::now();
        let mut claims = Claims::default();
        for (offset, record) in records.iter().enumerate() {
            claims.apply(offset as u64, record);
        }
        let took = started.elapsed();
        let used_bytes = rss_bytes().saturating_sub(before_bytes);
        time_points.push((count as f64, took.as_secs_f64() * 1e6));
        memory_points.push((count as f64, used_bytes as f64 / 1024.0));
        black_box(claims.len());
        // Leaked, since freed memory would be reused for the next size and distort
        // its measurement.
        std::mem::forget(claims);
    }
    print_line_fit("claim fold", "keys", "us", &time_points);
    print_line_fit("claim memory", "keys", "KiB", &memory_points);
}

/// Measures the size of a bill record by number of bills.
fn measure_bill_records() {
    let mut points = Vec::new();
    for count in [10_usize, 50, 100, 200, 500] {
        let bills = (0..count).map(typical_bill).collect();
        let record = BillRecord::new("i-0123456789abcdef", bills).encode();
        points.push((count as f64, record.len() as f64));
    }
    print_line_fit("bill record", "bills", "bytes", &points);
}

/// Measures the memory of bills buffered while the log is unavailable.
fn measure_bill_buffer() {
    let mut points = Vec::new();
    for count in KEY_COUNTS {
        let before_bytes = rss_bytes();
        let mut buffer = BillBuffer::new(count);
        for index in 0..count {
            buffer.hold(typical_bill(index), clock::Millis(0), "");
        }
        let used_bytes = rss_bytes().saturating_sub(before_bytes);
        points.push((count as f64, used_bytes as f64 / 1024.0));
        std::mem::forget(buffer);
    }
    print_line_fit("bill buffer", "bills", "KiB", &points);
}

fn typical_bill(index: usize) -> Bill {
    Bill {
        request_id: format!("{index:032x}"),
        team: format!("team-{}", index % 10),
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

/// Measures how long choosing a runner takes by number of known runners.
fn measure_runner_choice() {
    let mut points = Vec::new();
    for count in [10_usize, 50, 100, 200, 400] {
        let mut runners = Runners::default();
        let now = clock::Millis(1_000_000);
        for index in 0..count {
            let key = SocketAddr::from((
                [10, 0, (index / 256) as u8, (index % 256) as u8],
                1,
            ));
            let report = Report {
                instance: format!("i-{index}"),
                locality: Locality {
                    failure_domain: format!("room-{}", index % 6),
                    region: "r".into(),
                },
                versions: [format!("draft@v{}", index % 2)].into(),
                slots: 8,
                running: (index % 8) as u32,
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
    print_line_fit("runner choice", "runners known", "us", &points);
}
