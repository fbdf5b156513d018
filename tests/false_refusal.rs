//! Endpoints that run a request and answer with a status that says that it did not run.

use standin::Action;

use crate::util::gateway_harness::{one_endpoint, request, send};

/// Regression test: a 503 of an endpoint that had run a non-idempotent request was passed
/// on, so that its caller sent the request again and it ran twice.
#[tokio::test]
async fn failure_after_a_run_is_not_passed_on_as_a_refusal() {
    for status in [408, 429, 503] {
        let act = Action::FailWith(status);
        let (_platform, endpoint, gateway) = one_endpoint("plain", act).await;
        let text = request("POST", "/once/", "r1", "", "x");
        let reply = send(gateway.callers, &text).await;
        assert_eq!(reply.status, 502, "{reply:?}");
        // The status is the gateway's own, and so is the rest of the answer.
        assert!(!reply.text.contains("server-seal"), "{reply:?}");
        assert!(!reply.text.contains("retry-after"), "{reply:?}");
        assert_eq!(endpoint.received().len(), 1);
        gateway.wait_logged("reason=false_refusal").await;
    }
}

#[tokio::test]
async fn refusal_that_an_endpoint_means_is_still_one() {
    let (_platform, endpoint, gateway) = one_endpoint("plain", Action::Refuse).await;
    let text = request("POST", "/once/", "r1", "", "x");
    let reply = send(gateway.callers, &text).await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.text.contains("retry-after"), "{reply:?}");
    assert!(!endpoint.received().is_empty());
}
