//! Endpoints that name the number of requests a second that they take from all
//! gateways together.

use std::time::{Duration, Instant};

use clock::Millis;
use http::{HeaderMap, HeaderValue};
use platform::NamedLimit;
use proptest::prelude::*;
use route::{Permit, RequestBudgets};
use standin::{Action, ScriptedEndpoint};

use crate::util::gateway_harness::{GatewayProcess, TestPlatform, request, send};

/// Window in which requests to an endpoint are counted, ms.
const WINDOW_MS: u64 = 4_000;

/// Most requests that an endpoint with this limit may get in one window.
fn allowed(per_s: f64, window_ms: u64) -> f64 {
    1.5 * per_s * window_ms as f64 / 1_000.0 + 5.0
}

fn get(id: &str) -> String {
    request("GET", "/safe/", id, "", "")
}

/// Two gateways that hear each other, in front of two endpoints.
async fn two_gateways() -> (TestPlatform, [ScriptedEndpoint; 2], [GatewayProcess; 2]) {
    let platform = TestPlatform::start().await;
    let endpoints = [
        ScriptedEndpoint::start(Action::Answer).await,
        ScriptedEndpoint::start(Action::Answer).await,
    ];
    platform.announce("p1", "plain", &endpoints[0]);
    platform.announce("p2", "plain", &endpoints[1]);
    let first = platform.gateway("").await;
    let peers = format!("[peers]\naddresses = {}\n", first.peer_address);
    let second = GatewayProcess::start(&platform.dir, platform.log.address, &peers);
    second.wait_ready().await;
    for gateway in [&first, &second] {
        gateway.wait_logged("endpoint=p2").await;
        gateway.wait_logged("event=peer_heard").await;
    }
    (platform, endpoints, [first, second])
}

/// Regression test: an endpoint of the engines named a limit of 1 request a second and
/// got 14 in 4 s from five gateways, which did not read it (LIMIT).
#[tokio::test]
async fn endpoint_gets_no_more_than_its_limit_from_all_gateways() {
    let (_platform, [limited, other], gateways) = two_gateways().await;
    limited.set_limit(Some("1.0"));
    let mut sent = 0;
    while limited.received().is_empty() {
        sent += 1;
        send(gateways[0].callers, &get(&format!("t{sent}"))).await;
    }
    let line = "event=endpoint_limited endpoint=p1 per_s=1 source=";
    for gateway in &gateways {
        gateway.wait_logged(line).await;
    }
    let told = Instant::now();
    let before = limited.received().len();
    for n in 0..150 {
        for gateway in &gateways {
            let reply = send(gateway.callers, &get(&format!("r{n}"))).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    let elapsed_ms = told.elapsed().as_millis() as u64;
    let got = limited.received().len() - before;
    let allowed = allowed(1.0, elapsed_ms);
    assert!(got as f64 <= allowed, "{got} in {elapsed_ms} ms");
    assert!(other.received().len() >= 250);
}

/// All endpoints of the service are limited, so most requests are refused at once.
#[tokio::test]
async fn request_beyond_all_limits_is_refused_as_not_run() {
    let platform = TestPlatform::start().await;
    let endpoint = ScriptedEndpoint::start(Action::Answer).await;
    endpoint.set_limit(Some("0.2"));
    platform.announce("p1", "plain", &endpoint);
    let gateway = platform.gateway("").await;
    assert_eq!(send(gateway.callers, &get("r1")).await.status, 200);
    let reply = send(gateway.callers, &get("r2")).await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.header("retry-after").is_some());
    assert_eq!(endpoint.received().len(), 1);
}

#[tokio::test]
async fn limit_ends_when_an_answer_names_none() {
    let (_platform, [limited, _other], gateways) = two_gateways().await;
    limited.set_limit(Some("2"));
    let mut sent = 0;
    while limited.received().is_empty() {
        sent += 1;
        send(gateways[0].callers, &get(&format!("t{sent}"))).await;
    }
    let started = Instant::now();
    limited.set_limit(None);
    while gateways[1].logged("event=endpoint_limit_ended").is_empty() {
        assert!(started.elapsed().as_secs() < 30);
        sent += 1;
        send(gateways[0].callers, &get(&format!("t{sent}"))).await;
        // Lines beyond the bound of the log are dropped.
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    gateways[0]
        .wait_logged("event=endpoint_limit_ended endpoint=p1")
        .await;
}

/// Regression test: gateways exchange limits in thousandths, so that one with more
/// decimals was news with each answer, and told to all peers again.
#[tokio::test]
async fn limit_with_many_decimals_is_news_only_once() {
    let (_platform, [limited, _other], gateways) = two_gateways().await;
    limited.set_limit(Some("8.7654321"));
    let started = Instant::now();
    let mut sent = 0;
    while limited.received().len() < 24 {
        assert!(started.elapsed().as_secs() < 30);
        sent += 1;
        for gateway in &gateways {
            send(gateway.callers, &get(&format!("t{sent}"))).await;
        }
        // Lines beyond the bound of the log are dropped.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for gateway in &gateways {
        let lines = gateway.logged("event=endpoint_limited endpoint=p1");
        assert_eq!(lines.len(), 1, "{lines:?}");
    }
}

/// A gateway that grants for others is lost and another takes over, a gateway joins,
/// or the fleet is cut in two: in no window does the endpoint get too many.
#[test]
fn budgets_of_a_changing_fleet_stay_within_the_limit() {
    for per_s in [0.5, 1.0, 3.0, 20.0, 100.0] {
        for change_ms in (0..12_000).step_by(500) {
            for (parts, stays) in [([1.0, 1.0], false), ([0.5, 0.5], true)] {
                let mut budgets =
                    [RequestBudgets::default(), RequestBudgets::default()];
                let mut sent = Vec::new();
                for at_ms in 0..20_000 {
                    let changed = at_ms >= change_ms;
                    let first_grants = !changed || stays;
                    let now = Millis(at_ms);
                    let mut take = |index: usize, part: f64| {
                        let permit = budgets[index].take(7, per_s, part, now);
                        if permit == Permit::Granted {
                            sent.push(at_ms);
                        }
                    };
                    if first_grants {
                        take(0, if changed { parts[0] } else { 1.0 });
                    }
                    if changed {
                        take(1, parts[1]);
                    }
                }
                assert_within(&sent, per_s, change_ms);
            }
        }
    }
}

fn assert_within(sent: &[u64], per_s: f64, change_ms: u64) {
    for (index, first) in sent.iter().enumerate() {
        let window = sent[index..]
            .iter()
            .take_while(|at_ms| **at_ms < first + WINDOW_MS);
        let count = window.count() as f64;
        let allowed = allowed(per_s, WINDOW_MS);
        assert!(
            count <= allowed,
            "{count} at {first} ms, limit {per_s}, change at {change_ms} ms"
        );
    }
}

#[test]
fn limited_endpoint_is_used_up_to_most_of_its_limit() {
    let mut budgets = RequestBudgets::default();
    let granted = (0..60_000)
        .filter(|at_ms| budgets.take(7, 2.0, 1.0, Millis(*at_ms)) == Permit::Granted);
    let granted = granted.count();
    assert!((100..=120).contains(&granted), "{granted}");
}

proptest! {
    #[test]
    fn any_header_is_decoded_without_a_panic(bytes: Vec<u8>) {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_bytes(&bytes) {
            headers.insert("server-limit", value);
        }
        if let NamedLimit::PerSecond(per_s) = NamedLimit::from_headers(&headers) {
            prop_assert!(per_s.is_finite() && per_s >= 0.0);
        }
    }
}
