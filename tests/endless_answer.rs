//! Endpoints in trouble that send bytes without end.

use std::time::Duration;

use standin::{Action, Framing, ScriptedEndpoint};

use crate::util::gateway_harness::{one_endpoint, request, send};

/// Most memory that a gateway may use while it gets bytes without end, KiB; the
/// smallest instance of the users has 88 MB.
const MEMORY_MAX_KIB: u64 = 64 * 1_024;

const DRAFT_HEADERS: &str =
    "x-model: *\r\nx-token-usage: 100,40\r\nx-prompt-prefix: a1:60,b2:40\r\n";

/// Waits until the gateway has closed the connections of all requests.
async fn assert_all_closed(endpoint: &ScriptedEndpoint) {
    for _ in 0..500 {
        let received = endpoint.received();
        if !received.is_empty() && received.iter().all(|request| request.client_closed)
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("a connection is still open: {:?}", endpoint.received());
}

/// Regression test: an answer without end, in its head or its body, is no answer.
#[tokio::test]
async fn answer_without_end_fails_and_its_connection_is_closed() {
    for act in [
        Action::EndlessHead,
        Action::EndlessBody(Framing::Chunks),
        Action::EndlessBody(Framing::Connection),
    ] {
        let (_platform, endpoint, gateway) = one_endpoint("plain", act).await;
        let reply =
            send(gateway.callers, &request("POST", "/once/", "r1", "", "x")).await;
        assert!([502, 504].contains(&reply.status), "{act:?}: {reply:?}");
        assert_all_closed(&endpoint).await;
        assert_eq!(endpoint.received().len(), 1, "{act:?}");
        let peak_kib = gateway.memory_peak_kib();
        assert!(peak_kib < MEMORY_MAX_KIB, "{act:?}: {peak_kib} KiB");
    }
}

#[tokio::test]
async fn request_that_may_be_repeated_is_answered_by_another_endpoint() {
    for act in [
        Action::EndlessHead,
        Action::EndlessBody(Framing::Chunks),
        Action::EndlessBody(Framing::Connection),
    ] {
        let (platform, endpoint, gateway) = one_endpoint("plain", act).await;
        let sound = ScriptedEndpoint::start(Action::Answer).await;
        platform.announce("p2", "plain", &sound);
        gateway.wait_logged("endpoint=p2").await;
        for n in 0..6 {
            let text = request("GET", "/safe/", &format!("r{n}"), "", "");
            let reply = send(gateway.callers, &text).await;
            assert_eq!(reply.status, 200, "{act:?}: {reply:?}");
        }
        assert_all_closed(&endpoint).await;
    }
}

/// An event without end is not forwarded, so nothing of it is kept for the caller.
#[tokio::test]
async fn event_without_end_breaks_its_stream_within_bounded_memory() {
    let (_platform, endpoint, gateway) =
        one_endpoint("engine", Action::EndlessEvent).await;
    let text = request("POST", "/draft/", "r1", DRAFT_HEADERS, "x");
    let reply = send(gateway.callers, &text).await;
    assert!(!reply.is_whole());
    assert_all_closed(&endpoint).await;
    let peak_kib = gateway.memory_peak_kib();
    assert!(peak_kib < MEMORY_MAX_KIB, "{peak_kib} KiB");
}

/// A body without end that a caller reads slowly must not pile up in the gateway.
#[tokio::test]
async fn endless_answers_of_many_requests_stay_within_bounded_memory() {
    let act = Action::EndlessBody(Framing::Chunks);
    let (_platform, endpoint, gateway) = one_endpoint("plain", act).await;
    let callers = gateway.callers;
    let sent = (0..8).map(|n| {
        let text = request("POST", "/once/", &format!("r{n}"), "", "x");
        tokio::spawn(async move { send(callers, &text).await })
    });
    for reply in sent.collect::<Vec<_>>() {
        let reply = reply.await.expect("the task ends");
        assert_ne!(reply.status, 200);
    }
    assert_all_closed(&endpoint).await;
    let peak_kib = gateway.memory_peak_kib();
    assert!(peak_kib < MEMORY_MAX_KIB, "{peak_kib} KiB");
}
