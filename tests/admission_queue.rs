//! Requests at plain services with more requests than slots.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use route::{digest_text, rendezvous_weight};
use standin::{Action, ScriptedEndpoint, SlottedEndpoint};
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::util::gateway_harness::{
    GatewayProcess, Reply, TestPlatform, configuration_with, request, send,
};

/// A route with an objective long enough for a busy machine: an attempt is given up
/// after 1 s of silence.
const SLOW_ROUTE: &str = r#",{"name":"slow","host":"h.example","path_prefix":"/slow/","kind":"safe","timeout_ms":12000,"slo_ms":2000,"priority":2,"service":"plain","max_attempts":2,"public":false}"#;

/// A request that an endpoint only queued was given up while the endpoint answered
/// others, and the caller got 502 since nobody knew whether it had run.
#[tokio::test]
async fn queued_request_is_not_given_up_while_its_endpoint_answers_others() {
    let platform = TestPlatform::start().await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    let config = configuration_with(2, SLOW_ROUTE);
    platform.log.put("keyed.op", "config", &config);
    platform.announce("p1", "plain", &endpoint);
    let gateway = platform.gateway("").await;
    gateway.wait_logged("event=config_in_force version=2").await;
    gateway.wait_logged("endpoint=p1").await;
    endpoint.queue(&[Action::Delay(3_000)]);
    let callers = gateway.callers;
    let queued = tokio::spawn(async move {
        send(callers, &request("GET", "/slow/", "queued", "", "")).await
    });
    while endpoint.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut count = 0;
    while !queued.is_finished() {
        let id = format!("r{count}");
        let reply = send(callers, &request("GET", "/slow/", &id, "", "")).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        count += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let reply = queued.await.expect("the task ends");
    assert_eq!(reply.status, 200, "{reply:?}");
    let received = endpoint.received();
    let sent = received
        .iter()
        .filter(|received| received.header("x-request-id") == Some("queued"));
    assert_eq!(sent.count(), 1);
}

/// An endpoint that answers nobody must not hold idempotent requests until their
/// deadline, although it answered just before.
#[tokio::test]
async fn endpoint_that_answers_nobody_is_given_up() {
    let platform = TestPlatform::start().await;
    let silent = ScriptedEndpoint::start(Action::Hang).await;
    silent.queue(&[Action::Answer, Action::Answer]);
    let config = configuration_with(2, SLOW_ROUTE);
    platform.log.put("keyed.op", "config", &config);
    platform.announce("p1", "plain", &silent);
    let gateway = platform.gateway("").await;
    gateway.wait_logged("event=config_in_force version=2").await;
    gateway.wait_logged("endpoint=p1").await;
    for n in 0..2 {
        let text = request("GET", "/slow/", &format!("first{n}"), "", "");
        assert_eq!(send(gateway.callers, &text).await.status, 200);
    }
    let callers = gateway.callers;
    let given_up = tokio::spawn(async move {
        send(callers, &request("GET", "/slow/", "given-up", "", "")).await
    });
    while silent.received().len() < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let other = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce("p2", "plain", &other);
    let reply = given_up.await.expect("the task ends");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(other.received().len(), 1);
}

/// A refusal is true only if nothing ran: a request that every endpoint refused may be
/// sent again, one that may have run may not.
#[tokio::test]
async fn refused_request_gets_503_and_one_that_may_have_run_502() {
    let platform = TestPlatform::start().await;
    let endpoints = [
        ScriptedEndpoint::start(Action::Refuse).await,
        ScriptedEndpoint::start(Action::Refuse).await,
        ScriptedEndpoint::start(Action::Refuse).await,
    ];
    for (n, endpoint) in endpoints.iter().enumerate() {
        platform.announce(&format!("p{n}"), "plain", endpoint);
    }
    let gateway = platform.gateway("").await;
    for n in 0..endpoints.len() {
        gateway.wait_logged(&format!("endpoint=p{n}")).await;
    }
    for path in ["/safe/", "/once/"] {
        let reply = send(gateway.callers, &request("GET", path, "r1", "", "")).await;
        assert_eq!(reply.status, 503, "{path} {reply:?}");
        let after = reply.header("retry-after").expect("names a time");
        assert!(
            after.parse::<f64>().is_ok_and(|after| after > 0.0),
            "{after}"
        );
    }
    for endpoint in &endpoints {
        endpoint.queue(&[Action::Disconnect]);
    }
    let reply = send(gateway.callers, &request("GET", "/once/", "r2", "", "")).await;
    assert_eq!(reply.status, 502, "{reply:?}");
}

const ENABLED: &str = "[admission]\nenabled = yes\n";

/// Slots of each endpoint that [`slotted_platform`] starts, as they are announced.
const SLOTS: usize = 8;

/// A platform with endpoints of [`SLOTS`] slots that take 40 ms for a request.
async fn slotted_platform(count: usize) -> (TestPlatform, Vec<SlottedEndpoint>) {
    slotted_platform_with(count, Duration::from_millis(40)).await
}

async fn slotted_platform_with(
    count: usize,
    work: Duration,
) -> (TestPlatform, Vec<SlottedEndpoint>) {
    let platform = TestPlatform::start().await;
    let config = configuration_with(2, SLOW_ROUTE);
    platform.log.put("keyed.op", "config", &config);
    let mut endpoints = Vec::new();
    for n in 0..count {
        let endpoint = SlottedEndpoint::start(SLOTS, 3 * SLOTS, work).await;
        let id = format!("p{n}");
        platform.announce_as(&id, "plain", endpoint.address, "v1", "ready");
        endpoints.push(endpoint);
    }
    (platform, endpoints)
}

/// Starts gateways with admission that hear each other.
async fn gateways(platform: &TestPlatform, count: usize) -> Vec<GatewayProcess> {
    let mut gateways: Vec<GatewayProcess> = Vec::new();
    for _ in 0..count {
        let peers: Vec<String> = gateways
            .iter()
            .map(|gateway| gateway.peer_address.to_string())
            .collect();
        let peers = format!("[peers]\naddresses = {}\n", peers.join(","));
        let peers = if gateways.is_empty() { "" } else { &peers };
        gateways.push(platform.gateway(&format!("{ENABLED}{peers}")).await);
    }
    for gateway in &gateways {
        gateway.wait_logged("event=config_in_force version=2").await;
        gateway.wait_logged("endpoint=p0").await;
        for other in &gateways {
            if other.peer_address != gateway.peer_address {
                let line = format!("event=peer_heard peer={}", other.peer_address);
                gateway.wait_logged(&line).await;
            }
        }
    }
    gateways
}

fn get(team: &str, id: &str) -> String {
    request("GET", "/slow/", id, "", "").replace("key-a", &format!("key-{team}"))
}

/// Sends requests of a team at a constant rate for some time; returns the replies.
async fn send_at_rate(
    callers: Vec<SocketAddr>,
    team: &'static str,
    interval: Duration,
    count: usize,
) -> Vec<Reply> {
    let mut sent = Vec::new();
    let started = Instant::now();
    for n in 0..count {
        let due = started + interval * n as u32;
        tokio::time::sleep_until(due.into()).await;
        let callers = callers[n % callers.len()];
        let text = get(team, &format!("{team}{n}"));
        sent.push(tokio::spawn(async move { send(callers, &text).await }));
    }
    let mut replies = Vec::new();
    for reply in sent {
        replies.push(reply.await.expect("the task ends"));
    }
    replies
}

fn count_status(replies: &[Reply], status: u16) -> usize {
    replies.iter().filter(|r| r.status == status).count()
}

/// Checks that each reply is an answer or a refusal with a time to return, and that
/// exactly the answered requests ran.
fn check_outcomes(replies: &[Reply], endpoints: &[SlottedEndpoint]) {
    for reply in replies {
        assert!([200, 503].contains(&reply.status), "{reply:?}");
        if reply.status == 503 {
            let after = reply.header("retry-after").expect("names a time");
            let after: f64 = after.parse().expect("a number of seconds");
            assert!((0.2..=15.0).contains(&after), "{after}");
        }
    }
    let ran: u32 = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.counts().ran.into_values())
        .sum();
    assert_eq!(ran as usize, count_status(replies, 200));
}

/// Sends 100 requests a second of team B for 5 s, and those of team A: 75 a second for
/// the first 2 s, then 675. 16 slots of 40 ms run up to 400. Returns the replies to both.
async fn send_surge(callers: &[SocketAddr]) -> (Vec<Reply>, Vec<Reply>) {
    let interval = Duration::from_millis(10);
    let others = tokio::spawn(send_at_rate(callers.to_vec(), "b", interval, 500));
    let interval = Duration::from_millis(1_000) / 75;
    let mut surge = send_at_rate(callers.to_vec(), "a", interval, 150).await;
    surge.extend(send_at_rate(callers.to_vec(), "a", interval / 9, 2_000).await);
    (others.await.expect("the task ends"), surge)
}

/// Three plain endpoints refused 1,701 of 6,341 requests of all teams when one team had
/// nine times its usual load, and 252 requests ended with 502.
#[tokio::test]
async fn surge_of_one_team_is_refused_and_others_are_served() {
    let (platform, endpoints) = slotted_platform(2).await;
    let gateways = gateways(&platform, 3).await;
    let callers: Vec<SocketAddr> = gateways.iter().map(|g| g.callers).collect();
    let (others, surge) = send_surge(&callers).await;
    let served = count_status(&others, 200);
    assert!(served >= 490, "{served} of {} were served", others.len());
    assert!(count_status(&surge, 503) > 0, "the surge exceeds the slots");
    check_outcomes(&[others, surge].concat(), &endpoints);
    let line = "event=admission_contended";
    let logged = gateways.iter().flat_map(|gateway| gateway.logged(line));
    assert!(logged.count() > 0, "the owner logs that requests wait");
}

/// When the owner of the service is lost, its permits are lost with it: requests must
/// neither wait for it nor be sent without bound.
#[tokio::test]
async fn others_are_served_when_the_owner_is_killed_during_a_surge() {
    let (platform, endpoints) = slotted_platform(2).await;
    let mut gateways = gateways(&platform, 3).await;
    let service = digest_text("plain");
    gateways.sort_by_key(|gateway| {
        let gateway = digest_text(&gateway.peer_address.to_string());
        rendezvous_weight(gateway, service)
    });
    let owner = gateways.pop().expect("there are three");
    let callers: Vec<SocketAddr> = gateways.iter().map(|g| g.callers).collect();
    let sending = tokio::spawn(async move { send_surge(&callers).await });
    owner.wait_logged("event=admission_contended").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    drop(owner);
    let (others, surge) = sending.await.expect("the task ends");
    let served = count_status(&others, 200);
    assert!(served >= 490, "{served} of {} were served", others.len());
    assert!(count_status(&surge, 503) > 0, "the surge exceeds the slots");
    check_outcomes(&[others, surge].concat(), &endpoints);
    let line = "event=admission_unanswered";
    let logged = gateways.iter().flat_map(|gateway| gateway.logged(line));
    assert!(logged.count() > 0, "lost answers are logged");
}

/// A request whose caller has left would otherwise keep its place and then run.
#[tokio::test]
async fn waiting_request_ends_when_its_caller_leaves() {
    let (platform, endpoints) =
        slotted_platform_with(1, Duration::from_millis(400)).await;
    let gateways = gateways(&platform, 1).await;
    let callers = gateways[0].callers;
    // Permits are twice the slots.
    let sending: Vec<_> = (0..2 * SLOTS)
        .map(|n| {
            let text = get("a", &format!("r{n}"));
            tokio::spawn(async move { send(callers, &text).await })
        })
        .collect();
    while endpoints[0].counts().held_most < 2 * SLOTS {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut leaving = TcpStream::connect(callers).await.expect("connects");
    let text = get("a", "leaver");
    leaving.write_all(text.as_bytes()).await.expect("sends");
    gateways[0].wait_logged("event=admission_contended").await;
    drop(leaving);
    let line = gateways[0].wait_logged("outcome=caller_left").await;
    assert!(line.contains("request=leaver"), "{line}");
    for sending in sending {
        assert_eq!(sending.await.expect("the task ends").status, 200);
    }
    assert_eq!(send(callers, &get("a", "last")).await.status, 200);
    let ran = endpoints[0].counts().ran["team-a"];
    assert_eq!(ran as usize, 2 * SLOTS + 1, "the abandoned request ran");
}

/// Without the setting, a gateway sends requests on at once, and peers get no datagram
/// that an earlier version cannot decode.
#[tokio::test]
async fn nothing_waits_without_the_setting() {
    let (platform, endpoints) =
        slotted_platform_with(1, Duration::from_millis(300)).await;
    let gateway = platform.gateway("").await;
    gateway.wait_logged("event=config_in_force version=2").await;
    gateway.wait_logged("endpoint=p0").await;
    let callers = gateway.callers;
    let held_max = 4 * SLOTS;
    let sending: Vec<_> = (0..held_max)
        .map(|n| {
            let text = get("a", &format!("r{n}"));
            tokio::spawn(async move { send(callers, &text).await })
        })
        .collect();
    for sending in sending {
        assert_eq!(sending.await.expect("the task ends").status, 200);
    }
    assert!(endpoints[0].counts().held_most > 2 * SLOTS);
    let metrics = "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n";
    let metrics = send(gateway.metrics, metrics).await;
    assert!(!metrics.text.contains("admission"), "{metrics:?}");
}
