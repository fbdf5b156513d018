//! Endpoints that have just started or come back, and tolerate few requests a second
//! from all gateways together while they are cold.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use clock::Millis;
use gateway::{Datagram, WarmupNotice, WarmupReason, decode_datagram};
use http::{HeaderMap, HeaderValue};
use platform::{ColdTime, decode_catalog};
use proptest::prelude::*;
use route::{
    AnnouncedAt, Costs, GrantRate, Permit, Pool, RequestBudgets, WarmupRule, grant_rate,
};
use standin::{Action, Relay, RelayMode, ScriptedEndpoint};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
};

use crate::util::{
    endpoints::endpoint,
    gateway_harness::{
        EndpointRecord, GatewayProcess, TestPlatform, configuration, request, send,
    },
};

/// Maximum time for an expected condition to hold.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

const DRAFT_HEADERS: &str =
    "x-model: *\r\nx-token-usage: 100,40\r\nx-prompt-prefix: a1:60,b2:40\r\n";

/// Most requests that a cold endpoint may get in this time.
fn allowed(per_s: f64, elapsed: Duration) -> f64 {
    1.5 * per_s * elapsed.as_secs_f64().max(1.0) + 5.0
}

fn get(id: &str) -> String {
    request("GET", "/safe/", id, "", "")
}

/// A platform whose services have a warm-up of 20 s with `cold_per_s`.
async fn platform_with(cold_per_s: &str) -> TestPlatform {
    let platform = TestPlatform::start().await;
    let mut text = configuration(2);
    for service in ["plain", "engine"] {
        let name = format!(r#"{{"name":"{service}","health_path""#);
        let cold = format!(
            r#"{{"name":"{service}","cold_s":20,"cold_per_s":{cold_per_s},"health_path""#
        );
        assert!(text.contains(&name));
        text = text.replace(&name, &cold);
    }
    platform.log.put("keyed.op", "config", &text);
    platform
}

fn announce(
    platform: &TestPlatform,
    id: &str,
    service: &str,
    address: SocketAddr,
    cold_left_ms: u64,
) {
    let record = EndpointRecord {
        cold_left_ms,
        ..EndpointRecord::new(service, address)
    };
    platform.announce_record(id, &record);
}

async fn gateway(platform: &TestPlatform, last_endpoint: &str) -> GatewayProcess {
    let gateway = platform.gateway("").await;
    gateway.wait_logged("event=config_in_force version=2").await;
    gateway
        .wait_logged(&format!("event=endpoint endpoint={last_endpoint}"))
        .await;
    gateway
}

/// Two gateways that hear each other and know `last_endpoint`.
async fn two_gateways(
    platform: &TestPlatform,
    last_endpoint: &str,
) -> [GatewayProcess; 2] {
    let first = gateway(platform, last_endpoint).await;
    let peers = format!("[peers]\naddresses = {}\n", first.peer_address);
    let second = GatewayProcess::start(&platform.dir, platform.log.address, &peers);
    second.wait_ready().await;
    second
        .wait_logged(&format!("event=endpoint endpoint={last_endpoint}"))
        .await;
    for gateway in [&first, &second] {
        gateway.wait_logged("event=peer_heard").await;
    }
    [first, second]
}

/// Sends requests through all gateways until the endpoint has got `count` more; returns
/// how many it got and how long that took, and the statuses of the answers.
async fn load_until(
    gateways: &[&GatewayProcess],
    cold: &ScriptedEndpoint,
    count: usize,
) -> (usize, Duration, Vec<u16>) {
    let before = cold.received().len();
    let started = Instant::now();
    let mut statuses = Vec::new();
    while cold.received().len() < before + count {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "the endpoint is unused"
        );
        for gateway in gateways {
            let id = format!("l{}", statuses.len());
            statuses.push(send(gateway.callers, &get(&id)).await.status);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    (cold.received().len() - before, started.elapsed(), statuses)
}

/// Guards against gateways that each send a cold endpoint what it tolerates from all.
#[tokio::test]
async fn cold_endpoint_gets_its_rate_from_all_gateways_together() {
    let platform = platform_with("3").await;
    let [cold, warm] = [
        ScriptedEndpoint::start(Action::Answer).await,
        ScriptedEndpoint::start(Action::Answer).await,
    ];
    announce(&platform, "p1", "plain", cold.address, 60_000);
    announce(&platform, "p2", "plain", warm.address, 0);
    let gateways = two_gateways(&platform, "p2").await;
    for gateway in &gateways {
        gateway
            .wait_logged("event=endpoint_warming endpoint=p1")
            .await;
    }
    let gateways = [&gateways[0], &gateways[1]];
    let (got, elapsed, statuses) = load_until(&gateways, &cold, 8).await;
    assert!(got as f64 <= allowed(3.0, elapsed), "{got} in {elapsed:?}");
    assert!(statuses.iter().all(|status| *status == 200));
    assert!(warm.received().len() > 8);
}

/// Whichever gateway granted the requests, the other one goes on without a burst.
#[tokio::test]
async fn bound_holds_when_a_gateway_is_lost() {
    let platform = platform_with("4").await;
    let [cold, warm] = [
        ScriptedEndpoint::start(Action::Answer).await,
        ScriptedEndpoint::start(Action::Answer).await,
    ];
    announce(&platform, "p1", "plain", cold.address, 60_000);
    announce(&platform, "p2", "plain", warm.address, 0);
    for lost in 0..2 {
        let mut gateways: Vec<_> = two_gateways(&platform, "p2").await.into();
        let started = Instant::now();
        let before = cold.received().len();
        load_until(&[&gateways[0], &gateways[1]], &cold, 4).await;
        gateways.remove(lost);
        let (_, _, statuses) = load_until(&[&gateways[0]], &cold, 6).await;
        let (got, elapsed) = (cold.received().len() - before, started.elapsed());
        assert!(got as f64 <= allowed(4.0, elapsed), "{got} in {elapsed:?}");
        assert!(statuses.iter().all(|status| *status == 200));
    }
}

#[tokio::test]
async fn response_of_a_cold_endpoint_slows_all_gateways_down() {
    let platform = platform_with("2").await;
    let [cold, warm] = [
        ScriptedEndpoint::start(Action::Answer).await,
        ScriptedEndpoint::start(Action::Answer).await,
    ];
    announce(&platform, "p1", "plain", cold.address, 0);
    announce(&platform, "p2", "plain", warm.address, 0);
    let gateways = two_gateways(&platform, "p2").await;
    cold.set_cold(Some("40000"));
    load_until(&[&gateways[0]], &cold, 1).await;
    for gateway in &gateways {
        gateway
            .wait_logged("event=endpoint_warming endpoint=p1")
            .await;
    }
    let gateways = [&gateways[0], &gateways[1]];
    let (got, elapsed, statuses) = load_until(&gateways, &cold, 4).await;
    assert!(got as f64 <= allowed(2.0, elapsed), "{got} in {elapsed:?}");
    assert!(statuses.iter().all(|status| *status == 200));
}

/// Listens on `address` and forwards all connections to `server`.
async fn forward(address: SocketAddr, server: SocketAddr) {
    let listener = TcpListener::bind(address).await.expect("listens again");
    tokio::spawn(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            tokio::spawn(async move {
                let Ok(mut upstream) = TcpStream::connect(server).await else {
                    return;
                };
                // Either side may close the connection.
                let _ = copy_bidirectional(&mut client, &mut upstream).await;
            });
        }
    });
}

/// The endpoint cannot be reached for a while, and is then the only one left.
#[tokio::test]
async fn endpoint_that_comes_back_is_not_flooded() {
    let platform = platform_with("3").await;
    let [back, other] = [
        ScriptedEndpoint::start(Action::Answer).await,
        ScriptedEndpoint::start(Action::Answer).await,
    ];
    // Nothing listens here until the endpoint comes back.
    let address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr();
    let address = address.expect("the listener has an address");
    announce(&platform, "p1", "plain", address, 0);
    announce(&platform, "p2", "plain", other.address, 0);
    let gateways = two_gateways(&platform, "p2").await;
    let mut sent = 0;
    while gateways[0]
        .logged("event=endpoint_warming endpoint=p1")
        .is_empty()
    {
        sent += 1;
        assert!(sent < 5_000, "nobody found the endpoint unreachable");
        send(gateways[0].callers, &get(&format!("r{sent}"))).await;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    // The other gateway has not tried it, and is told.
    gateways[1]
        .wait_logged("event=endpoint_warming endpoint=p1")
        .await;
    forward(address, back.address).await;
    other.crash_for_good();
    let gateways = [&gateways[0], &gateways[1]];
    let (got, elapsed, _) = load_until(&gateways, &back, 6).await;
    assert!(got as f64 <= allowed(3.0, elapsed), "{got} in {elapsed:?}");
}

/// All endpoints of a domain may be cold when its evacuation is withdrawn; a later
/// announcement says that one is not.
#[tokio::test]
async fn domain_is_filled_slowly_after_its_evacuation() {
    let platform = platform_with("3").await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    announce(&platform, "p1", "plain", endpoint.address, 0);
    let gateway = gateway(&platform, "p1").await;
    assert_eq!(send(gateway.callers, &get("r0")).await.status, 200);
    platform.log.put("keyed.op", "evacuate/a", "{}");
    gateway.wait_logged("event=evacuation_started").await;
    platform.log.put("keyed.op", "evacuate/a", "");
    gateway.wait_logged("event=evacuation_ended").await;
    let (got, elapsed, _) = load_until(&[&gateway], &endpoint, 6).await;
    assert!(got as f64 <= allowed(3.0, elapsed), "{got} in {elapsed:?}");
    let line = gateway
        .wait_logged("event=endpoint_warming endpoint=p1")
        .await;
    assert!(line.contains("source=evacuation"), "{line}");
    announce(&platform, "p1", "plain", endpoint.address, 0);
    gateway.wait_logged("event=endpoint_warm endpoint=p1").await;
    // Until the pause of the last grant that was denied is over.
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    for n in 0..30 {
        let reply = send(gateway.callers, &get(&format!("s{n}"))).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}

/// A gateway that cannot read the log knows only the incarnation before the restart.
#[tokio::test]
async fn gateway_without_the_log_learns_that_an_endpoint_has_restarted() {
    let platform = platform_with("2").await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    announce(&platform, "p1", "plain", endpoint.address, 0);
    let first = gateway(&platform, "p1").await;
    let relay = Relay::start(platform.log.address).await;
    let peers = format!("[peers]\naddresses = {}\n", first.peer_address);
    let second = GatewayProcess::start(&platform.dir, relay.address, &peers);
    second.wait_ready().await;
    second.wait_logged("event=endpoint endpoint=p1").await;
    second.wait_logged("event=peer_heard").await;
    relay.set_mode(RelayMode::Partition);
    second.wait_logged("event=log_lost topic=keyed.op").await;
    let started = Instant::now();
    let line = "event=endpoint_warming endpoint=p1";
    for born_ms in 6.. {
        // The first gateway may not have heard yet that the other one lost the log.
        let record = EndpointRecord {
            cold_left_ms: 60_000,
            born_ms,
            ..EndpointRecord::new("plain", endpoint.address)
        };
        platform.announce_record("p1", &record);
        tokio::time::sleep(Duration::from_millis(500)).await;
        if !second.logged(line).is_empty() {
            break;
        }
        assert!(started.elapsed() < CONDITION_TIMEOUT, "it is not told");
    }
    let (got, elapsed, _) = load_until(&[&second], &endpoint, 4).await;
    assert!(got as f64 <= allowed(2.0, elapsed), "{got} in {elapsed:?}");
}

#[tokio::test]
async fn service_without_a_rate_has_no_warm_up() {
    let platform = platform_with("0").await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    endpoint.set_cold(Some("60000"));
    announce(&platform, "p1", "plain", endpoint.address, 60_000);
    let gateway = gateway(&platform, "p1").await;
    for n in 0..40 {
        let reply = send(gateway.callers, &get(&format!("r{n}"))).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert!(gateway.logged("event=endpoint_warming").is_empty());
}

#[tokio::test]
async fn request_that_finds_only_cold_endpoints_is_refused_at_once() {
    let platform = platform_with("0.2").await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    announce(&platform, "p1", "plain", endpoint.address, 60_000);
    let gateway = gateway(&platform, "p1").await;
    let reply = send(gateway.callers, &get("r1")).await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.header("retry-after").is_some());
    let line = gateway.wait_logged("event=request request=r1").await;
    assert!(line.contains("outcome=endpoints_paused"), "{line}");
    assert!(endpoint.received().is_empty());
}

/// Guards against a request that is refused after it has asked for grants at the first
/// few endpoints, although another one takes it.
#[tokio::test]
async fn one_warm_endpoint_among_many_cold_ones_takes_all_requests() {
    let platform = platform_with("0.1").await;
    let mut cold = Vec::new();
    for n in 0..80 {
        let endpoint = ScriptedEndpoint::start(Action::Answer).await;
        announce(
            &platform,
            &format!("p{n:02}"),
            "plain",
            endpoint.address,
            60_000,
        );
        cold.push(endpoint);
    }
    let warm = ScriptedEndpoint::start(Action::Answer).await;
    // It is farther away, so that all others are asked first.
    platform.announce_in("b", "p99", "plain", warm.address, "v1");
    let gateway = gateway(&platform, "p99").await;
    for n in 0..40 {
        let reply = send(gateway.callers, &get(&format!("r{n}"))).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    let got: usize = cold.iter().map(|endpoint| endpoint.received().len()).sum();
    assert_eq!(got + warm.received().len(), 40);
}

#[tokio::test]
async fn retry_and_resumed_stream_need_a_grant() {
    let platform = platform_with("0.02").await;
    let cold = ScriptedEndpoint::start(Action::Stream(4)).await;
    let engine = ScriptedEndpoint::start(Action::BreakStream(2)).await;
    let failing = ScriptedEndpoint::start(Action::Fail).await;
    announce(&platform, "e1", "engine", cold.address, 600_000);
    announce(&platform, "e2", "engine", engine.address, 0);
    announce(&platform, "p1", "plain", cold.address, 600_000);
    announce(&platform, "p2", "plain", failing.address, 0);
    let gateway = gateway(&platform, "p2").await;
    for n in 0..3 {
        let draft = request("POST", "/draft/", &format!("d{n}"), DRAFT_HEADERS, "x");
        assert!(!send(gateway.callers, &draft).await.is_whole());
        let reply = send(gateway.callers, &get(&format!("r{n}"))).await;
        assert_ne!(reply.status, 200, "{reply:?}");
    }
    assert!(!engine.received().is_empty() && !failing.received().is_empty());
    assert!(cold.received().is_empty());
}

/// A kept connection is lost after the one granted request was sent on it: sending it
/// again on a new one would be a second request for one grant.
#[tokio::test]
async fn second_send_after_a_lost_connection_needs_a_grant() {
    let platform = platform_with("4").await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    endpoint.set_cold(Some("600000"));
    announce(&platform, "p1", "plain", endpoint.address, 0);
    let gateway = gateway(&platform, "p1").await;
    // The gateway does not know yet that the endpoint is cold.
    assert_eq!(send(gateway.callers, &get("r1")).await.status, 200);
    let started = Instant::now();
    while metric(&gateway, "currantbank_kept_link{of=\"lost\"}").await == 0 {
        assert!(started.elapsed() < CONDITION_TIMEOUT, "none was lost");
        endpoint.queue(&[Action::Answer, Action::Disconnect]);
        for n in 0..40 {
            send(gateway.callers, &get(&format!("s{n}"))).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let granted = metric(&gateway, "currantbank_warmup_requests{of=\"granted\"}").await;
    let received = endpoint.received().len();
    assert!(received <= granted + 1, "{received} for {granted} grants");
}

/// Returns a counter of a gateway; zero if it has not counted yet.
async fn metric(gateway: &GatewayProcess, name: &str) -> usize {
    let reply = send(gateway.metrics, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let mut lines = reply.body().lines();
    let found = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    found.map_or(0, |value| value.parse().expect("a number"))
}

const RULE: WarmupRule = WarmupRule {
    cold_ms: 8_000,
    cold_per_s: 3.0,
};

/// A pool with one endpoint, `e`, announced with this time left and read at 10 s.
fn pool_with(warmup_left_ms: u64) -> Pool {
    let mut pool = Pool::new(Costs::default());
    announce_to(&mut pool, warmup_left_ms, Millis(10_000));
    pool
}

fn announce_to(pool: &mut Pool, warmup_left_ms: u64, now: Millis) {
    let mut endpoint = endpoint("e");
    endpoint.warmup_left_ms = warmup_left_ms;
    pool.announce(endpoint, AnnouncedAt::default());
    pool.record_announcement_read("e", now);
}

#[test]
fn announced_time_counts_from_its_reading() {
    let pool = pool_with(500);
    assert!(pool.is_warming("e", RULE, Millis(10_499)));
    assert!(!pool.is_warming("e", RULE, Millis(10_500)));
    assert!(!pool.is_warming("e", WarmupRule::default(), Millis(10_000)));
}

#[test]
fn endpoint_that_came_back_is_cold_until_an_announcement_says_otherwise() {
    let mut pool = pool_with(0);
    assert!(!pool.is_warming("e", RULE, Millis(10_000)));
    let warmup = pool.warmup_mut("e", 1).unwrap();
    assert!(warmup.record_unreachable(8_000, Millis(11_000)));
    assert!(
        !warmup.record_unreachable(8_000, Millis(11_500)),
        "told before"
    );
    assert!(
        warmup.record_unreachable(8_000, Millis(17_000)),
        "told long ago"
    );
    assert!(
        pool.is_warming("e", RULE, Millis(99_000)),
        "it has not answered"
    );
    let warmup = pool.warmup_mut("e", 1).unwrap();
    assert!(warmup.record_answer(Millis(100_000)));
    assert!(
        !warmup.record_answer(Millis(100_100)),
        "only the first answer counts"
    );
    assert!(pool.is_warming("e", RULE, Millis(107_999)));
    assert!(!pool.is_warming("e", RULE, Millis(108_000)));
    assert!(pool.warmup_mut("e", 0).is_none(), "an earlier incarnation");
    // An announcement that may have been written before changes nothing.
    announce_to(&mut pool, 0, Millis(100_500));
    assert!(pool.is_warming("e", RULE, Millis(100_500)));
    announce_to(&mut pool, 0, Millis(101_500));
    assert!(!pool.is_warming("e", RULE, Millis(101_500)));
}

#[test]
fn word_of_a_peer_is_bounded_and_ends_the_wait_for_an_answer() {
    let mut pool = pool_with(0);
    let warmup = pool.warmup_mut("e", 1).unwrap();
    warmup.record_unreachable(8_000, Millis(11_000));
    warmup.record_peer(u64::MAX, 8_000, true, Millis(12_000));
    assert!(pool.is_warming("e", RULE, Millis(19_999)));
    assert!(!pool.is_warming("e", RULE, Millis(20_000)));
    let warmup = pool.warmup_mut("e", 1).unwrap();
    warmup.record_peer_report(u64::MAX, Millis(20_000));
    assert!(pool.is_warming("e", RULE, Millis(79_999)));
    assert!(!pool.is_warming("e", RULE, Millis(80_000)));
    let notice = |reason| WarmupNotice {
        endpoint: 1,
        born_ms: 1,
        left_ms: 1,
        reason,
    };
    for (count, fits) in [(32, true), (33, false)] {
        let notices = vec![notice(WarmupReason::Returned); count];
        let bytes = postcard::to_stdvec(&Datagram::Warmups(notices)).unwrap();
        assert_eq!(decode_datagram(&bytes).is_some(), fits);
    }
}

/// Each response names the time that is left; peers are told once.
#[test]
fn same_end_of_a_warm_up_is_news_only_once() {
    let mut pool = pool_with(0);
    let warmup = pool.warmup_mut("e", 1).unwrap();
    assert!(warmup.record_report(5_000, Millis(10_000)));
    for n in 1..50 {
        let now = Millis(10_000 + n * 100);
        assert!(!warmup.record_report(5_000 - n * 100 + n % 7, now));
    }
    assert!(warmup.record_report(5_000, Millis(15_000)));
}

#[test]
fn lower_of_limit_and_warm_up_counts() {
    let granted = |rate: GrantRate| {
        let mut budgets = RequestBudgets::default();
        let granted = (0..20_000)
            .filter(|ms| budgets.take_at(7, rate, 1.0, Millis(*ms)) == Permit::Granted);
        granted.count() as f64 / 20.0
    };
    let rate = |limit, cold| grant_rate(limit, cold, 400).unwrap();
    assert!((4.2..=5.0).contains(&granted(rate(Some(50.0), Some(5.0)))));
    assert!((2.0..=2.7).contains(&granted(rate(Some(3.0), Some(5.0)))));
    assert!((4.2..=5.0).contains(&granted(rate(None, Some(5.0)))));
    assert_eq!(grant_rate(None, None, 400), None);
}

#[test]
fn fields_of_a_service_are_decoded() {
    let decode = |fields: &str| {
        let text = configuration(1).replace(
            r#"{"name":"plain","health_path""#,
            &format!(r#"{{"name":"plain",{fields}"health_path""#),
        );
        let catalog = decode_catalog(text.as_bytes()).unwrap();
        let service = catalog.service("plain").unwrap();
        (service.cold_ms, service.cold_per_s)
    };
    assert_eq!(decode(""), (0, 0.0));
    assert_eq!(decode(r#""cold_s":7.5,"cold_per_s":7.3,"#), (7_500, 7.3));
    assert_eq!(decode(r#""cold_s":-1,"cold_per_s":-2,"#), (0, 0.0));
    assert_eq!(decode(r#""cold_s":"x","cold_per_s":[],"#), (0, 0.0));
    let mut headers = HeaderMap::new();
    assert_eq!(ColdTime::from_headers(&headers), ColdTime::Absent);
    for (text, expected) in [
        ("1500", ColdTime::Left(1_500)),
        ("0", ColdTime::Left(0)),
        ("0.5", ColdTime::Left(1)),
        ("-1", ColdTime::Malformed),
        ("nan", ColdTime::Malformed),
        ("soon", ColdTime::Malformed),
    ] {
        headers.insert("x-cold-ms", HeaderValue::from_static(text));
        assert_eq!(ColdTime::from_headers(&headers), expected, "{text}");
    }
}

/// What happens to the gateway that grants the requests to an endpoint.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// It fails; the others ask another one when it counts as silent.
    Lost,
    /// Another one joins and takes over, as the others hear of it in this time, ms; it
    /// is the longer the larger the fleet.
    Joined(u64),
    /// It is cut off, with this part of the fleet, and both sides notice that.
    Cut(f64),
}

/// A gateway that always has a request for the endpoint.
#[derive(Clone, Copy, Debug)]
struct Asker {
    /// When it asks the second owner instead of the first.
    switches_ms: u64,
    paused_until_ms: u64,
}

#[derive(Clone, Debug)]
struct Simulation {
    per_s: f64,
    change: Change,
    change_ms: u64,
    /// Time until each asker knows of the change, as a fraction of the maximum.
    switch_delays: Vec<f64>,
    /// Offsets of the owners' clocks, ms.
    offsets_ms: [u64; 2],
    /// Drawn once for each question: whether it or its answer is lost, and the time from
    /// the grant to the arrival, ms.
    draws: Vec<(f64, u64)>,
}

/// Length of a simulation, ms.
const SIMULATED_MS: u64 = 8_000;

/// Fraction of the questions that are lost, and of the answers.
const LOST: f64 = 0.05;

impl Simulation {
    fn askers(&self) -> Vec<Asker> {
        let (after_ms, most_ms) = match self.change {
            Change::Lost => (1_000.0, 400.0),
            Change::Joined(heard_ms) => (0.0, heard_ms as f64),
            Change::Cut(_) => (800.0, 400.0),
        };
        let delays = self.switch_delays.iter();
        let askers = delays.enumerate().map(|(index, delay)| {
            let stays = matches!(self.change, Change::Cut(part)
                if (index as f64) < part * self.switch_delays.len() as f64);
            let switches_ms = match stays {
                true => u64::MAX,
                false => self.change_ms + (after_ms + delay * most_ms) as u64,
            };
            Asker {
                switches_ms,
                paused_until_ms: 0,
            }
        });
        askers.collect()
    }

    /// Returns the time in which all gateways hear of a new one, as that one knows it.
    fn hearing_ms(&self) -> u64 {
        match self.change {
            Change::Joined(heard_ms) => heard_ms,
            Change::Lost | Change::Cut(_) => 400,
        }
    }

    /// Returns when requests arrive at the endpoint.
    fn arrivals(&self) -> Vec<u64> {
        let rate = GrantRate::warmup(self.per_s, self.hearing_ms());
        let mut budgets = [RequestBudgets::default(), RequestBudgets::default()];
        let mut askers = self.askers();
        let mut draws = self.draws.iter().cycle();
        let mut arrivals = Vec::new();
        for at_ms in 0..SIMULATED_MS {
            for asker in &mut askers {
                if at_ms < asker.paused_until_ms {
                    continue;
                }
                let owner = usize::from(at_ms >= asker.switches_ms);
                let (lost, delay_ms) = draws.next().copied().unwrap();
                let is_gone = owner == 0
                    && matches!(self.change, Change::Lost)
                    && at_ms >= self.change_ms;
                if is_gone || lost < LOST {
                    asker.paused_until_ms = at_ms + 250;
                    continue;
                }
                let noticed = at_ms >= self.change_ms + 1_200;
                let part = match self.change {
                    Change::Cut(part) if noticed => [part, 1.0 - part][owner],
                    _ => 1.0,
                };
                let now = Millis(at_ms + self.offsets_ms[owner]);
                match budgets[owner].take_at(7, rate, part, now) {
                    // The grant is used up, but its answer does not arrive in time.
                    Permit::Granted if lost > 1.0 - LOST => {
                        asker.paused_until_ms = at_ms + 250;
                    }
                    Permit::Granted => arrivals.push(at_ms + delay_ms),
                    Permit::DeniedFor(wait_ms) => {
                        asker.paused_until_ms = at_ms + wait_ms.max(1);
                    }
                }
            }
        }
        arrivals.sort_unstable();
        arrivals
    }
}

fn simulation() -> impl Strategy<Value = Simulation> {
    let change = prop_oneof![
        Just(Change::Lost),
        (200_u64..4_000).prop_map(Change::Joined),
        (0.1..0.9).prop_map(Change::Cut),
    ];
    (
        0.2..60.0,
        change,
        0..SIMULATED_MS,
        proptest::collection::vec(0.0..1.0, 1..6),
        [0_u64..1_000_000, 0_u64..1_000_000],
        proptest::collection::vec((0.0..1.0, 0_u64..=50), 50..200),
    )
        .prop_map(
            |(per_s, change, change_ms, switch_delays, offsets_ms, draws)| Simulation {
                per_s,
                change,
                change_ms,
                switch_delays,
                offsets_ms,
                draws,
            },
        )
}

/// Guards against pauses and a burst that leave a part of the rate unused.
#[test]
fn most_of_the_rate_is_used_while_requests_wait() {
    for per_s in [0.5, 1.0, 3.0, 7.3, 40.0] {
        for askers in [1, 3, 20] {
            let simulation = Simulation {
                per_s,
                change: Change::Joined(400),
                change_ms: u64::MAX / 2,
                switch_delays: vec![0.0; askers],
                offsets_ms: [0; 2],
                draws: vec![(0.5, 0)],
            };
            let arrivals = simulation.arrivals();
            // A new budget is empty for a second, and then has to reach one request.
            let first = arrivals[0];
            assert!(first as f64 <= 1_000.0 + 1_000.0 / per_s + 5.0);
            let used = arrivals.len() as f64;
            let granted = per_s * (SIMULATED_MS - first) as f64 / 1_000.0;
            assert!(used >= 0.8 * granted, "{used} of {granted} at {per_s}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Whatever becomes of the gateway that grants, of the datagrams and of the time from
    /// a grant to its arrival: in no second does a cold endpoint get too many requests.
    #[test]
    fn cold_endpoint_never_gets_too_many_requests(simulation in simulation()) {
        let arrivals = simulation.arrivals();
        let allowed = 1.5 * simulation.per_s + 5.0;
        for (index, first) in arrivals.iter().enumerate() {
            let window = arrivals[index..].iter().take_while(|at| **at < first + 1_000);
            let count = window.count();
            prop_assert!(count as f64 <= allowed, "{} at {}", count, first);
        }
    }

    #[test]
    fn any_cold_header_is_decoded_without_a_panic(bytes: Vec<u8>) {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_bytes(&bytes) {
            headers.insert("x-cold-ms", value);
        }
        let _ = ColdTime::from_headers(&headers);
    }
}
