//! Many connections that are kept open, with as much of a request as each sends.

use crate::{
    ALONE,
    gateway::{Fixture, assert_descriptors_left, sized_head},
    util::client_group::ClientGroup,
};

/// Clients of a group that opens more connections than there are descriptors for.
const CONNECTIONS_CLIENTS: usize = 500;

async fn assert_clients_are_tolerated<F>(head: F)
where
    F: Fn(&str) -> String,
{
    let fixture = Fixture::start_with_few_descriptors().await;
    let callers = fixture.gateway.callers;
    let _group =
        ClientGroup::send(callers, CONNECTIONS_CLIENTS, head, Vec::new()).await;
    fixture.assert_serves_within_bounds().await;
    assert_descriptors_left(&fixture.gateway);
}

/// The readiness check, the metrics and the configuration for peers share the descriptors
/// with callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_to_internal_listeners_leave_descriptors() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start_with_few_descriptors().await;
    let gateway = &fixture.gateway;
    let mut groups = Vec::new();
    for listener in [gateway.ready, gateway.metrics, gateway.peer_address] {
        let head = |_: &str| "GET / HTTP/1.1\r\nx-padding: ".into();
        let padding = vec![b'x'; 2_000];
        let group =
            ClientGroup::send(listener, CONNECTIONS_CLIENTS, head, padding).await;
        groups.push(group);
        fixture.assert_serves_within_bounds().await;
        assert_descriptors_left(&fixture.gateway);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_leave_descriptors() {
    let _alone = ALONE.lock().await;
    assert_clients_are_tolerated(|_| String::new()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_with_a_part_of_a_head_leave_descriptors() {
    let _alone = ALONE.lock().await;
    let field = "x".repeat(2_000);
    assert_clients_are_tolerated(|id| {
        format!("POST /held/ HTTP/1.1\r\nx-request-id: {id}\r\nx-padding: {field}")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_with_a_part_of_a_small_body_leave_descriptors() {
    let _alone = ALONE.lock().await;
    assert_clients_are_tolerated(|id| sized_head("/held/", id, 1_000) + "part").await;
}
