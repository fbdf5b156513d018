//! Answers with neither a length nor chunks, which end with their connection.

use standin::{Action, ScriptedEndpoint, StreamEnd};

use crate::util::gateway_harness::{
    GatewayProcess, Reply, one_endpoint, request, send,
};

async fn draft(gateway: &GatewayProcess) -> Reply {
    draft_about(gateway, "a1").await
}

/// Sends a request whose prompt begins with `part`.
async fn draft_about(gateway: &GatewayProcess, part: &str) -> Reply {
    let headers = format!(
        "x-model: *\r\nx-token-usage: 100,40\r\nx-prompt-prefix: {part}:60,b2:40\r\n"
    );
    let text = request("POST", "/draft/", part, &headers, "x");
    send(gateway.callers, &text).await
}

#[tokio::test]
async fn stream_that_ends_with_its_connection_is_whole() {
    let act = Action::UnframedStream(3, StreamEnd::Whole);
    let (_platform, _endpoint, gateway) = one_endpoint("engine", act).await;
    let reply = draft(&gateway).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert!(
        reply.is_whole() && reply.text.contains("id: 3"),
        "{reply:?}"
    );
    gateway.wait_logged("outcome=answered").await;
}

#[tokio::test]
async fn stream_whose_connection_ends_inside_an_event_is_broken_off() {
    let act = Action::UnframedStream(2, StreamEnd::Torn);
    let (_platform, _endpoint, gateway) = one_endpoint("engine", act).await;
    let reply = draft(&gateway).await;
    assert!(!reply.is_whole(), "{reply:?}");
    assert!(!reply.text.contains("id: 99"), "{reply:?}");
    gateway.wait_logged("outcome=stream_broken").await;
    gateway.wait_logged("event=request_cut").await;
}

/// Regression test: a stream whose connection ended right after its head was forwarded
/// as complete, and counted as a success of the endpoint.
#[tokio::test]
async fn stream_whose_connection_ends_before_any_event_is_broken_off() {
    let act = Action::UnframedStream(0, StreamEnd::Whole);
    let (_platform, _endpoint, gateway) = one_endpoint("engine", act).await;
    let reply = draft(&gateway).await;
    assert!(!reply.is_whole(), "{reply:?}");
    gateway.wait_logged("event=request_cut").await;
    assert!(gateway.logged("outcome=answered").is_empty());
}

#[tokio::test]
async fn stream_whose_connection_ends_before_any_event_is_resumed_elsewhere() {
    let act = Action::UnframedStream(0, StreamEnd::Whole);
    let (platform, endpoint, gateway) = one_endpoint("engine", act).await;
    let sound = ScriptedEndpoint::start(Action::Stream(3)).await;
    platform.announce("p2", "engine", &sound);
    gateway.wait_logged("endpoint=p2").await;
    for part in 0xa0..0xb0 {
        let reply = draft_about(&gateway, &format!("{part:x}")).await;
        assert!(
            reply.is_whole() && reply.text.contains("id: 3"),
            "{reply:?}"
        );
    }
    assert!(!endpoint.received().is_empty());
}

/// The same cause in an answer that is not a stream.
#[tokio::test]
async fn answer_whose_connection_ends_before_any_byte_is_no_answer() {
    let (platform, _endpoint, gateway) = one_endpoint("plain", Action::HeadOnly).await;
    let once = request("POST", "/once/", "r1", "", "x");
    let reply = send(gateway.callers, &once).await;
    assert_eq!(reply.status, 502, "{reply:?}");
    let sound = ScriptedEndpoint::start(Action::Answer).await;
    platform.announce("p2", "plain", &sound);
    gateway.wait_logged("endpoint=p2").await;
    for n in 0..4 {
        let text = request("GET", "/safe/", &format!("s{n}"), "", "");
        let reply = send(gateway.callers, &text).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert!(reply.text.contains("ran GET"), "{reply:?}");
    }
}
