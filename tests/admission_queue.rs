//! Requests at plain services with more requests than slots.

use std::time::Duration;

use standin::{Action, ScriptedEndpoint};

use crate::util::gateway_harness::{TestPlatform, configuration_with, request, send};

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
