//! Failure domains that operators empty: nothing more is sent there, whatever a request
//! has been through.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use clock::Millis;
use gateway::{Datagram, PeerStatus, decode_datagram};
use platform::QuarantineRecord;
use proptest::prelude::*;
use route::{
    AnnouncedAt, Costs, EvacuationSource, Evacuations, HealthSample, PickRequest, Pool,
    TopicPosition, digest_pair, digest_text,
};
use standin::{Action, KeyedLogFaults, Relay, RelayMode, ScriptedEndpoint};
use store::{KeyedChange, KeyedPage, KeyedRecord, KeyedTable};

use crate::util::{
    endpoints::endpoint,
    gateway_harness::{
        GatewayProcess, Reply, TestPlatform, configuration, request, send,
    },
};

const DRAFT_HEADERS: &str =
    "x-model: *\r\nx-token-usage: 100,40\r\nx-prompt-prefix: a1:60,b2:40\r\n";

/// Maximum time for an expected condition to hold.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

fn get(id: &str) -> String {
    request("GET", "/safe/", id, "", "")
}

fn draft(id: &str) -> String {
    request("POST", "/draft/", id, DRAFT_HEADERS, "x")
}

/// A platform with one endpoint of `service` in each of the failure domains `a` and
/// `b`, and a gateway in `a`.
async fn two_domains(
    service: &str,
    actions: [Action; 2],
) -> (TestPlatform, [ScriptedEndpoint; 2], GatewayProcess) {
    let platform = TestPlatform::start().await;
    let endpoints = [
        ScriptedEndpoint::start(actions[0]).await,
        ScriptedEndpoint::start(actions[1]).await,
    ];
    platform.announce_in("a", "p1", service, endpoints[0].address, "v1");
    platform.announce_in("b", "p2", service, endpoints[1].address, "v1");
    let gateway = platform.gateway("").await;
    gateway.wait_logged("endpoint=p1").await;
    gateway.wait_logged("endpoint=p2").await;
    (platform, endpoints, gateway)
}

async fn evacuate(platform: &TestPlatform, domain: &str, gateways: &[&GatewayProcess]) {
    let key = format!("evacuate/{domain}");
    platform.log.put("keyed.op", &key, "{}");
    for gateway in gateways {
        let started = format!("event=evacuation_started domain={domain} source=log");
        gateway.wait_logged(&started).await;
    }
}

async fn withdraw(platform: &TestPlatform, domain: &str, gateway: &GatewayProcess) {
    let ended = format!("event=evacuation_ended domain={domain}");
    let before = gateway.logged(&ended).len();
    platform
        .log
        .put("keyed.op", &format!("evacuate/{domain}"), "");
    wait_until(|| gateway.logged(&ended).len() > before).await;
}

async fn wait_until<F>(condition: F)
where
    F: Fn() -> bool,
{
    let holds = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let limited = tokio::time::timeout(CONDITION_TIMEOUT, holds).await;
    limited.expect("the condition holds in time");
}

async fn metric(gateway: &GatewayProcess, name: &str) -> Option<u64> {
    let reply = send(gateway.metrics, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let mut lines = reply.body().lines();
    let found = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    found.map(|value| value.parse().expect("a number"))
}

fn assert_evacuated(reply: &Reply) {
    assert_eq!(reply.status, 503, "{reply:?}");
    let after_s = reply.header("retry-after").expect("names a time");
    assert!(after_s.parse::<f64>().expect("a number") > 0.0);
}

/// Guards against a gateway that goes on sending to the domain under load, and against
/// one that never sends there again.
#[tokio::test]
async fn domain_under_load_gets_nothing_until_the_request_is_withdrawn() {
    let (platform, [there, elsewhere], first) =
        two_domains("plain", [Action::Answer; 2]).await;
    let peers = format!("[peers]\naddresses = {}\n", first.peer_address);
    let second = GatewayProcess::start(&platform.dir, platform.log.address, &peers);
    second.wait_ready().await;
    second.wait_logged("endpoint=p1").await;
    second.wait_logged("endpoint=p2").await;
    let stop = Arc::new(AtomicBool::new(false));
    let load = [first.callers, second.callers].map(|callers| {
        let stop = stop.clone();
        tokio::spawn(async move {
            let mut failed = 0;
            let mut sent = 0;
            while !stop.load(Ordering::Relaxed) {
                sent += 1;
                let reply = send(callers, &get(&format!("r{sent}"))).await;
                failed += usize::from(reply.status != 200);
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            failed
        })
    });
    wait_until(|| there.received().len() > 20).await;
    evacuate(&platform, "a", &[&first, &second]).await;
    // Requests that were sent before the record was read.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = [&there, &elsewhere].map(|endpoint| endpoint.received().len());
    wait_until(|| elsewhere.received().len() > before[1] + 100).await;
    assert_eq!(there.received().len(), before[0]);
    withdraw(&platform, "a", &first).await;
    wait_until(|| there.received().len() > before[0] + 20).await;
    stop.store(true, Ordering::Relaxed);
    for load in load {
        assert_eq!(load.await.expect("the load runs"), 0, "failed requests");
    }
}

#[tokio::test]
async fn request_that_finds_only_evacuated_endpoints_is_refused_at_once() {
    let (platform, endpoints, gateway) =
        two_domains("plain", [Action::Answer; 2]).await;
    evacuate(&platform, "a", &[&gateway]).await;
    evacuate(&platform, "b", &[&gateway]).await;
    assert_evacuated(&send(gateway.callers, &get("r1")).await);
    let line = gateway.wait_logged("event=request request=r1").await;
    assert!(line.contains("outcome=evacuated"), "{line}");
    let once = request("POST", "/once/", "r2", "", "x");
    assert_evacuated(&send(gateway.callers, &once).await);
    let count = metric(&gateway, "currantbank_evacuated{of=\"plain\"}").await;
    assert_eq!(count, Some(2));
    assert!(endpoints.iter().all(|e| e.received().is_empty()));
    withdraw(&platform, "a", &gateway).await;
    assert_eq!(send(gateway.callers, &get("r3")).await.status, 200);
    assert_eq!(endpoints[0].received().len(), 1);
    assert!(endpoints[1].received().is_empty());
}

#[tokio::test]
async fn third_domain_serves_while_two_are_evacuated() {
    let (platform, endpoints, gateway) =
        two_domains("plain", [Action::Answer; 2]).await;
    let third = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce_in("c", "p3", "plain", third.address, "v1");
    gateway.wait_logged("endpoint=p3").await;
    evacuate(&platform, "a", &[&gateway]).await;
    evacuate(&platform, "b", &[&gateway]).await;
    for n in 0..20 {
        let reply = send(gateway.callers, &get(&format!("r{n}"))).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(third.received().len(), 20);
    assert!(endpoints.iter().all(|e| e.received().is_empty()));
}

/// Guards against a retry, the fallback that ignores health, and the second connection
/// after a failed one, none of which may use the domain.
#[tokio::test]
async fn retries_stay_away_from_the_domain() {
    for (act, status) in [(Action::Fail, 502), (Action::Refuse, 503)] {
        let (platform, [there, elsewhere], gateway) =
            two_domains("plain", [Action::Answer, act]).await;
        evacuate(&platform, "a", &[&gateway]).await;
        let reply = send(gateway.callers, &get("r1")).await;
        assert!([status, 500].contains(&reply.status), "{reply:?}");
        if status == 503 {
            assert_evacuated(&reply);
        }
        // All remaining endpoints are ejected after some failures.
        for n in 0..30 {
            send(gateway.callers, &get(&format!("s{n}"))).await;
        }
        elsewhere.crash_for_good();
        for n in 0..10 {
            let reply = send(gateway.callers, &get(&format!("t{n}"))).await;
            assert_ne!(reply.status, 200, "{act:?}");
        }
        assert!(there.received().is_empty(), "{act:?}");
    }
}

#[tokio::test]
async fn stream_is_not_resumed_in_the_domain() {
    let (platform, [there, _elsewhere], gateway) =
        two_domains("engine", [Action::Stream(8), Action::BreakStream(2)]).await;
    evacuate(&platform, "a", &[&gateway]).await;
    let reply = send(gateway.callers, &draft("r1")).await;
    assert!(!reply.is_whole());
    assert!(there.received().is_empty());
    let count = metric(&gateway, "currantbank_evacuated{of=\"engine\"}").await;
    assert_eq!(count, Some(1));
}

#[tokio::test]
async fn later_step_of_a_cascade_stays_away_from_the_domain() {
    let unsure = Action::StreamWithConfidence(2, 10);
    let (platform, [there, elsewhere], gateway) =
        two_domains("engine", [Action::Stream(2), unsure]).await;
    evacuate(&platform, "a", &[&gateway]).await;
    for n in 0..10 {
        let reply = send(gateway.callers, &draft(&format!("r{n}"))).await;
        assert!(reply.is_whole(), "{reply:?}");
    }
    assert!(elsewhere.received().len() > 10, "no larger model was asked");
    assert!(there.received().is_empty());
}

/// An operator sees when the domain is empty; a stream in it is not cut off.
#[tokio::test]
async fn running_stream_ends_by_itself_and_is_counted_until_then() {
    let platform = TestPlatform::start().await;
    let engine = ScriptedEndpoint::start(Action::PauseStream(1_500)).await;
    platform.announce_in("a", "e1", "engine", engine.address, "v1");
    let gateway = platform.gateway("").await;
    gateway.wait_logged("endpoint=e1").await;
    let callers = gateway.callers;
    let running = tokio::spawn(async move { send(callers, &draft("r1")).await });
    wait_until(|| !engine.received().is_empty()).await;
    evacuate(&platform, "a", &[&gateway]).await;
    let gauge = "currantbank_domain_running{of=\"a\"}";
    let during = metric(&gateway, gauge).await;
    let reply = running.await.expect("the request ends");
    assert!(reply.is_whole(), "{reply:?}");
    assert!(during.is_some_and(|count| count <= 1), "{during:?}");
    let emptied = async {
        while metric(&gateway, gauge).await != Some(0) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let limited = tokio::time::timeout(CONDITION_TIMEOUT, emptied).await;
    limited.expect("the gauge falls to zero");
    assert_evacuated(&send(gateway.callers, &draft("r2")).await);
}

/// A gateway whose path to the log is cut learns of the request, and of its end when it
/// reads the log again.
#[tokio::test]
async fn gateway_without_the_log_learns_of_it_from_a_peer() {
    let (platform, [there, elsewhere], first) =
        two_domains("plain", [Action::Answer; 2]).await;
    let relay = Relay::start(platform.log.address).await;
    let peers = format!("[peers]\naddresses = {}\n", first.peer_address);
    let second = GatewayProcess::start(&platform.dir, relay.address, &peers);
    second.wait_ready().await;
    second.wait_logged("endpoint=p1").await;
    second.wait_logged("endpoint=p2").await;
    second.wait_logged("event=peer_heard").await;
    relay.set_mode(RelayMode::Partition);
    second.wait_logged("event=log_lost topic=keyed.op").await;
    evacuate(&platform, "a", &[&first]).await;
    second
        .wait_logged("event=evacuation_started domain=a source=peer")
        .await;
    for n in 0..20 {
        let reply = send(second.callers, &get(&format!("r{n}"))).await;
        assert_eq!(reply.status, 200);
    }
    assert!(there.received().is_empty());
    assert_eq!(elsewhere.received().len(), 20);
    withdraw(&platform, "a", &first).await;
    relay.set_mode(RelayMode::Forward);
    second.wait_logged("event=evacuation_ended domain=a").await;
}

/// A gateway that starts while the log is down, and has no endpoints yet, names the
/// domain by its digest.
#[tokio::test]
async fn gateway_that_starts_without_the_log_learns_of_it_from_a_peer() {
    let (platform, _endpoints, first) = two_domains("plain", [Action::Answer; 2]).await;
    evacuate(&platform, "a", &[&first]).await;
    platform.log.set_faults(KeyedLogFaults {
        down: true,
        ..KeyedLogFaults::default()
    });
    first.wait_logged("event=log_lost topic=keyed.op").await;
    let peers = format!("[peers]\naddresses = {}\n", first.peer_address);
    let late = GatewayProcess::start(&platform.dir, platform.log.address, &peers);
    let digest = digest_text("a");
    late.wait_logged(&format!(
        "event=evacuation_started domain={digest:x} source=peer"
    ))
    .await;
}

/// The domain cannot be reached when it is evacuated, and can be before that ends.
#[tokio::test]
async fn domain_that_is_cut_off_when_evacuated_gets_nothing_when_it_returns() {
    let platform = TestPlatform::start().await;
    let [there, elsewhere] = [
        ScriptedEndpoint::start(Action::Answer).await,
        ScriptedEndpoint::start(Action::Answer).await,
    ];
    let relay = Relay::start(there.address).await;
    platform.announce_in("a", "p1", "plain", relay.address, "v1");
    platform.announce_in("b", "p2", "plain", elsewhere.address, "v1");
    let gateway = platform.gateway("").await;
    gateway.wait_logged("endpoint=p1").await;
    gateway.wait_logged("endpoint=p2").await;
    relay.set_mode(RelayMode::Partition);
    for n in 0..20 {
        send(gateway.callers, &get(&format!("r{n}"))).await;
    }
    evacuate(&platform, "a", &[&gateway]).await;
    relay.set_mode(RelayMode::Forward);
    for n in 0..50 {
        let reply = send(gateway.callers, &get(&format!("s{n}"))).await;
        assert_eq!(reply.status, 200);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert!(there.received().is_empty());
    withdraw(&platform, "a", &gateway).await;
    elsewhere.crash_for_good();
    let mut sent = 0;
    while there.received().is_empty() {
        sent += 1;
        assert!(sent < 2_000, "the domain is not used again");
        send(gateway.callers, &get(&format!("t{sent}"))).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a restored log that undoes what the operators asked for.
#[tokio::test]
async fn restored_log_neither_loses_nor_repeats_a_request() {
    let (platform, [there, elsewhere], gateway) =
        two_domains("plain", [Action::Answer; 2]).await;
    let without = platform.log.copy();
    evacuate(&platform, "a", &[&gateway]).await;
    let with = platform.log.copy();
    platform.log.restore(&without);
    gateway
        .wait_logged("event=log_restored topic=keyed.op")
        .await;
    let newer = configuration(2);
    platform.log.put("keyed.op", "config", &newer);
    gateway.wait_logged("event=config_in_force version=2").await;
    for n in 0..10 {
        let reply = send(gateway.callers, &get(&format!("r{n}"))).await;
        assert_eq!(reply.status, 200);
    }
    assert!(there.received().is_empty(), "the request was lost");
    // The operators write it again, and withdraw it later.
    platform.log.put("keyed.op", "evacuate/a", "{}");
    withdraw(&platform, "a", &gateway).await;
    platform.log.restore(&with);
    wait_until(|| gateway.logged("event=log_restored topic=keyed.op").len() == 2).await;
    let newest = configuration(3);
    platform.log.put("keyed.op", "config", &newest);
    gateway.wait_logged("event=config_in_force version=3").await;
    assert_eq!(gateway.logged("event=evacuation_started").len(), 1);
    let mut sent = 0;
    while there.received().is_empty() {
        sent += 1;
        assert!(sent < 1_000, "the domain is evacuated again");
        send(gateway.callers, &get(&format!("s{sent}"))).await;
    }
    assert!(elsewhere.received().len() >= 10);
}

/// The new version has endpoints in the evacuated domain only: the rollout waits for
/// them, and goes on when the request is withdrawn.
#[tokio::test]
async fn evacuation_withdrawn_during_a_rollout_lets_it_go_on() {
    let (platform, [_, elsewhere], gateway) =
        two_domains("plain", [Action::Answer; 2]).await;
    let new = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce_in("a", "n1", "plain", new.address, "v2");
    gateway.wait_logged("endpoint=n1").await;
    evacuate(&platform, "a", &[&gateway]).await;
    let order = r#"{"service":"plain","target":"v2","over_s":8}"#;
    platform.log.put("keyed.op", "rollout/plain", order);
    gateway.wait_logged("event=rollout_ordered").await;
    for n in 0..100 {
        let reply = send(gateway.callers, &get(&format!("r{n}"))).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(elsewhere.received().len(), 100);
    assert!(new.received().is_empty());
    withdraw(&platform, "a", &gateway).await;
    let mut sent = 0;
    while new.received().is_empty() {
        sent += 1;
        assert!(sent < 20_000, "the version gets nothing");
        send(gateway.callers, &get(&format!("s{sent}"))).await;
    }
}

/// Regression test: the trial of a request that is held back was used up while all
/// endpoints were in evacuated domains, so that the next one came much later.
#[tokio::test]
async fn trial_is_not_used_up_by_an_evacuation() {
    let platform = TestPlatform::start().await;
    let engine = ScriptedEndpoint::start(Action::Stream(2)).await;
    platform.announce_in("a", "e1", "engine", engine.address, "v2");
    let gateway = platform.gateway("").await;
    gateway.wait_logged("endpoint=e1").await;
    evacuate(&platform, "a", &[&gateway]).await;
    // The version that crashed is gone, so one request is tried at once.
    let record = QuarantineRecord {
        service: digest_text("engine"),
        components: vec![digest_pair(digest_text("engine"), 0xa1)],
        version: digest_text("v1"),
        since_ms: 1_000,
        is_lifted: false,
    };
    let text = String::from_utf8(record.encode()).expect("is JSON");
    platform.log.put("keyed.status", &record.key(9), &text);
    gateway.wait_logged("event=quarantined").await;
    for n in 0..3 {
        assert_evacuated(&send(gateway.callers, &draft(&format!("r{n}"))).await);
    }
    assert!(gateway.logged("event=quarantine_review").is_empty());
    withdraw(&platform, "a", &gateway).await;
    let reply = send(gateway.callers, &draft("s1")).await;
    assert!(reply.is_whole(), "{reply:?}");
    assert_eq!(gateway.logged("event=quarantine_review").len(), 1);
}

fn at(epoch: u64, offset: u64) -> TopicPosition {
    TopicPosition { epoch, offset }
}

fn active(evacuations: &mut Evacuations, now: Millis) -> BTreeSet<u64> {
    evacuations.refresh(now);
    evacuations.active().collect()
}

#[test]
fn word_of_a_peer_holds_while_it_has_read_more_and_not_for_long() {
    let mut known = Evacuations::default();
    known.log_read(at(0, 5));
    known.record_peer([7], at(0, 5), Millis(0));
    assert!(
        active(&mut known, Millis(0)).is_empty(),
        "it has read no more"
    );
    known.record_peer([7], at(0, 6), Millis(0));
    let changes = known.refresh(Millis(0));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].started, Some(EvacuationSource::Peer));
    known.record_peer([], at(0, 5), Millis(100));
    assert_eq!(active(&mut known, Millis(10_000)), BTreeSet::from([7]));
    assert!(
        active(&mut known, Millis(10_001)).is_empty(),
        "for 10 s only"
    );
    known.record_peer([7], at(0, 6), Millis(11_000));
    known.record_peer([], at(0, 7), Millis(11_000));
    assert!(active(&mut known, Millis(11_000)).is_empty(), "withdrawn");
    known.record_peer([7], at(1, 2), Millis(11_000));
    assert!(active(&mut known, Millis(11_000)).contains(&7));
    known.log_read(at(1, 2));
    assert!(active(&mut known, Millis(11_000)).is_empty(), "read itself");
}

/// Guards against the same evacuation being logged again when a second source names it.
#[test]
fn request_known_from_both_sources_starts_once() {
    let mut known = Evacuations::default();
    known.record_peer([digest_text("a")], at(0, 6), Millis(0));
    assert_eq!(known.refresh(Millis(0)).len(), 1);
    known.record_request("a", 5);
    known.log_read(at(0, 6));
    assert!(known.refresh(Millis(0)).is_empty());
    assert_eq!(known.logged(16), [digest_text("a")]);
}

#[test]
fn peers_cannot_name_any_number_of_domains() {
    let mut known = Evacuations::default();
    for first in 0..100 {
        known.record_peer(first * 16..first * 16 + 16, at(0, 6), Millis(0));
    }
    assert!(active(&mut known, Millis(0)).len() <= 64);
    let status = |count: u64| {
        let status = PeerStatus {
            evacuated: (0..count).collect(),
            ..PeerStatus::default()
        };
        postcard::to_stdvec(&Datagram::Status(status)).expect("encodes")
    };
    assert!(decode_datagram(&status(16)).is_some());
    assert!(decode_datagram(&status(17)).is_none());
}

/// Guards against the fallback that ignores health using an evacuated domain.
#[test]
fn pool_prefers_no_endpoint_to_an_evacuated_one() {
    let mut pool = Pool::new(Costs::default());
    for (id, domain) in [("e1", "a"), ("e2", "b")] {
        let mut endpoint = endpoint(id);
        endpoint.failure_domain = domain.to_owned();
        pool.announce(endpoint, AnnouncedAt::default());
    }
    pool.set_evacuated([digest_text("a")]);
    let now = Millis(1_000);
    pool.record_health("e2", HealthSample::Unreachable, now);
    let request = PickRequest {
        service: "s",
        failure_domain: "a",
        ..PickRequest::default()
    };
    assert_eq!(pool.pick(&request, now).unwrap().endpoint.id, "e2");
    assert_eq!(pool.candidates(&request, now), [digest_text("e2")]);
    assert!(!pool.takes_requests("e1", now));
    assert!(!pool.finds_only_evacuated(&request));
    let tried = ["e2".to_owned()];
    let request = PickRequest {
        tried: &tried,
        ..request
    };
    assert!(pool.pick(&request, now).is_none());
    assert!(pool.finds_only_evacuated(&request));
    pool.pause("e1", now.plus(100));
    assert_eq!(pool.earliest_pause_end(&request, now), None);
}

/// What happens to the operators' topic.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request(usize),
    Withdraw(usize),
    Copy,
    Restore,
    Compact,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3_usize).prop_map(Step::Request),
        (0..3_usize).prop_map(Step::Withdraw),
        Just(Step::Copy),
        Just(Step::Restore),
        Just(Step::Compact),
    ]
}

/// The records of a topic by offset; `None` removes a key.
type Records = BTreeMap<u64, (usize, Option<Bytes>)>;

fn page(records: &Records, from: u64, epoch: u64, end: u64) -> KeyedPage {
    let records = records
        .range(from..)
        .map(|(offset, (domain, value))| KeyedRecord {
            key: format!("evacuate/{domain}"),
            value: value.clone(),
            offset: *offset,
        });
    KeyedPage {
        records: records.collect(),
        epoch,
        end,
        next: end,
    }
}

/// Passes the changes of a read on, as the gateway's follower does.
fn record_changes(
    known: &mut Evacuations,
    changes: &[KeyedChange],
    end: TopicPosition,
) {
    for change in changes {
        match change {
            KeyedChange::Put { key, position, .. } => {
                let domain = key.strip_prefix("evacuate/").unwrap();
                known.record_request(domain, position.offset);
            }
            KeyedChange::Removed { key } => {
                known.record_removal(key.strip_prefix("evacuate/").unwrap());
            }
        }
    }
    known.log_read(end);
}

proptest! {
    /// A follower that reads after each change of the topic, through compactions and
    /// restorations, has exactly the operators' last word on each domain.
    #[test]
    fn last_word_of_the_operators_holds(
        steps in proptest::collection::vec(step(), 0..60),
    ) {
        let mut records = Records::new();
        let (mut epoch, mut end) = (0, 0);
        let mut copy = (records.clone(), end);
        let mut table = KeyedTable::default();
        let mut known = Evacuations::default();
        let mut wanted = BTreeSet::new();
        for step in steps {
            let mut lists = false;
            match step {
                Step::Request(domain) => {
                    records.insert(end, (domain, Some(Bytes::from("{}"))));
                    end += 1;
                    wanted.insert(digest_text(&domain.to_string()));
                }
                Step::Withdraw(domain) => {
                    records.insert(end, (domain, None));
                    end += 1;
                    wanted.remove(&digest_text(&domain.to_string()));
                }
                Step::Copy => copy = (records.clone(), end),
                Step::Restore => {
                    (records, end) = copy.clone();
                    epoch += 1;
                    known.log_restored();
                    lists = true;
                }
                Step::Compact => {
                    let mut newest = BTreeMap::new();
                    for (offset, (domain, value)) in &records {
                        newest.insert(*domain, (*offset, value.clone()));
                    }
                    let kept = newest.into_iter().filter(|(_, (_, v))| v.is_some());
                    records = kept.map(|(d, (offset, v))| (offset, (d, v))).collect();
                    lists = true;
                }
            }
            let from = if lists { 0 } else { table.end().offset };
            let mut page = page(&records, from, epoch, end);
            let changes = if lists {
                // A listing has the newest record of each key only.
                let mut newest: BTreeMap<String, KeyedRecord> = BTreeMap::new();
                for record in page.records.drain(..) {
                    newest.insert(record.key.clone(), record);
                }
                let listed = newest.into_values().filter(|r| r.value.is_some());
                page.records = listed.collect();
                table.apply_full(&page)
            } else {
                table.apply(&page)
            };
            record_changes(&mut known, &changes, at(epoch, end));
            prop_assert_eq!(active(&mut known, Millis(0)), wanted.clone());
        }
    }
}
