//! Large bodies, at once: whole, cut short, in chunks, and over the limit.

use std::time::Duration;

use rustix::process::Signal;
use standin::ScriptedEndpoint;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    ALONE,
    gateway::{BODY_MAX_BYTES, Fixture, chunked_head, sized_head},
    util::{
        client_group::{ClientGroup, chunks},
        gateway_harness::{Reply, read_reply, send_bytes},
    },
};

/// Clients of a group that sends bodies of the largest size.
const LARGE_CLIENTS: usize = 40;

/// Clients of a group that sends bodies of which each byte is a chunk.
const TINY_CHUNKS_CLIENTS: usize = 10;

/// Payload of such a body, bytes.
const TINY_CHUNKS_BYTES: usize = 400_000;

/// Size of a large chunk, bytes.
const LARGE_CHUNK_BYTES: usize = 64 * 1024;

/// Pause of a slow client between the pieces of its body.
const SLOW_PAUSE: Duration = Duration::from_millis(1_200);

/// How often a client comes back that is told to.
const RETURNS_MAX: u32 = 20;

/// Payload of a body that is far over the limit, bytes.
const FAR_OVER_LIMIT_BYTES: usize = 4 * BODY_MAX_BYTES;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_large_bodies_at_once_stay_within_memory() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head = |id: &str| sized_head("/held/", id, BODY_MAX_BYTES);
    let body = vec![b'd'; BODY_MAX_BYTES];
    let mut group =
        ClientGroup::send(fixture.gateway.callers, LARGE_CLIENTS, head, body).await;
    fixture.assert_serves_within_bounds().await;
    fixture
        .deployment
        .assert_refused_have_not_run(&mut group)
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_that_stop_short_stay_within_memory() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head = |id: &str| sized_head("/held/", id, BODY_MAX_BYTES);
    let body = vec![b'd'; BODY_MAX_BYTES - 1];
    let _group =
        ClientGroup::send(fixture.gateway.callers, LARGE_CLIENTS, head, body).await;
    fixture.assert_serves_within_bounds().await;
    assert!(fixture.deployment.held.received().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_that_stop_short_stay_within_memory() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head = |id: &str| chunked_head("/held/", id);
    let body = chunks(BODY_MAX_BYTES - 1, LARGE_CHUNK_BYTES);
    let _group =
        ClientGroup::send(fixture.gateway.callers, LARGE_CLIENTS, head, body).await;
    fixture.assert_serves_within_bounds().await;
    assert!(fixture.deployment.held.received().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tiny_chunks_that_stop_short_stay_within_memory() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head = |id: &str| chunked_head("/held/", id);
    let body = chunks(TINY_CHUNKS_BYTES, 1);
    let _group =
        ClientGroup::send(fixture.gateway.callers, TINY_CHUNKS_CLIENTS, head, body)
            .await;
    fixture.assert_serves_within_bounds().await;
    assert!(fixture.deployment.held.received().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_announce_more_than_the_limit_stay_within_memory() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head = |id: &str| sized_head("/held/", id, FAR_OVER_LIMIT_BYTES);
    let body = vec![b'd'; FAR_OVER_LIMIT_BYTES];
    let _group =
        ClientGroup::send(fixture.gateway.callers, LARGE_CLIENTS, head, body).await;
    fixture.assert_serves_within_bounds().await;
    assert!(fixture.deployment.held.received().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_beyond_the_limit_stay_within_memory() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head = |id: &str| chunked_head("/held/", id);
    let body = chunks(FAR_OVER_LIMIT_BYTES, LARGE_CHUNK_BYTES);
    let _group =
        ClientGroup::send(fixture.gateway.callers, LARGE_CLIENTS, head, body).await;
    fixture.assert_serves_within_bounds().await;
    assert!(fixture.deployment.held.received().is_empty());
}

/// Clients without a key must not take memory for what is not even read for an endpoint.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_without_a_key_stay_within_memory() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head =
        |id: &str| sized_head("/held/", id, BODY_MAX_BYTES).replace("key-a", "unknown");
    let body = vec![b'd'; BODY_MAX_BYTES - 1];
    let _group =
        ClientGroup::send(fixture.gateway.callers, LARGE_CLIENTS, head, body).await;
    fixture.assert_serves_within_bounds().await;
    assert!(fixture.deployment.held.received().is_empty());
}

/// Bodies that stop short must not keep out a large body that arrives, if its client
/// comes back as it is told.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_body_is_served_beside_bodies_that_stop_short() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head = |id: &str| sized_head("/slow/", id, BODY_MAX_BYTES);
    let payload = vec![b'd'; BODY_MAX_BYTES];
    let short = payload[1..].to_vec();
    let _group =
        ClientGroup::send(fixture.gateway.callers, LARGE_CLIENTS, head, short).await;
    let mut whole = sized_head("/patient/", "s1", BODY_MAX_BYTES).into_bytes();
    whole.extend_from_slice(&payload);
    let mut reply = send_bytes(fixture.gateway.callers, &whole).await;
    for _ in 0..RETURNS_MAX {
        let Some(after_s) = reply.header("retry-after") else {
            break;
        };
        let after_s = after_s.parse().expect("a number of seconds");
        tokio::time::sleep(Duration::from_secs_f64(after_s)).await;
        reply = send_bytes(fixture.gateway.callers, &whole).await;
    }
    assert_served(&fixture.deployment.plain, &reply, &payload).await;
    fixture.assert_serves_within_bounds().await;
}

/// A connection that is closed with bytes unread is reset, and its client may not get to
/// read why.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_reaches_a_client_that_is_still_sending() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let len = 2 * BODY_MAX_BYTES - BODY_MAX_BYTES / 8;
    let too_long = sized_head("/held/", "s1", len);
    let without_key =
        sized_head("/held/", "s2", BODY_MAX_BYTES).replace("key-a", "unknown");
    for (head, sent, status) in
        [(too_long, len, 413), (without_key, BODY_MAX_BYTES, 401)]
    {
        let mut stream = TcpStream::connect(fixture.gateway.callers)
            .await
            .expect("the gateway accepts");
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the head is sent");
        let body = vec![b'd'; sent];
        stream.write_all(&body).await.expect("the body is sent");
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer).await;
        read.expect("the connection ends without a reset");
        let status_line = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&status_line), "{answer}");
    }
    assert!(fixture.deployment.held.received().is_empty());
}

/// A body that never ends must not keep its request open for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_short_end_while_their_clients_stay() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head = |id: &str| sized_head("/held/", id, 1_000);
    let mut group =
        ClientGroup::send(fixture.gateway.callers, 4, head, vec![b'd'; 999]).await;
    for client in &mut group.clients {
        let reply = client.reply().await;
        assert_eq!(reply.status, 408, "{reply:?}");
    }
    assert!(fixture.deployment.held.received().is_empty());
    fixture.assert_serves_within_bounds().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_that_is_stopped_ends_beside_bodies_that_stop_short() {
    let _alone = ALONE.lock().await;
    let mut fixture = Fixture::start().await;
    let head = |id: &str| sized_head("/held/", id, 1_000);
    let _group =
        ClientGroup::send(fixture.gateway.callers, 4, head, vec![b'd'; 999]).await;
    fixture.gateway.signal(Signal::TERM);
    assert!(fixture.gateway.wait_exit().await);
}

/// The time that a body may take ends before the process is killed, whatever its route
/// allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_that_is_stopped_ends_beside_bodies_without_a_near_deadline() {
    let _alone = ALONE.lock().await;
    let mut fixture = Fixture::start().await;
    let head = |id: &str| sized_head("/slow/", id, 1_000);
    let mut group =
        ClientGroup::send(fixture.gateway.callers, 4, head, vec![b'd'; 999]).await;
    fixture.gateway.signal(Signal::TERM);
    for client in &mut group.clients {
        let reply = client.reply().await;
        assert_eq!(reply.status, 503, "{reply:?}");
    }
    assert!(fixture.gateway.wait_exit().await);
}

/// Bodies that are under way are read by the limit of their start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limits_may_change_while_bodies_are_under_way() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let head = |id: &str| chunked_head("/slow/", id);
    let half = chunks(BODY_MAX_BYTES / 2, LARGE_CHUNK_BYTES);
    let callers = fixture.gateway.callers;
    let _first = ClientGroup::send(callers, LARGE_CLIENTS, head, half.clone()).await;
    fixture.change_body_max(3, BODY_MAX_BYTES / 4).await;
    let _second = ClientGroup::send(callers, LARGE_CLIENTS, head, half.clone()).await;
    fixture.assert_serves_within_bounds().await;
    fixture.change_body_max(4, BODY_MAX_BYTES * 2).await;
    let _third = ClientGroup::send(callers, LARGE_CLIENTS, head, half).await;
    fixture.assert_serves_within_bounds().await;
}

/// A client that pauses inside its time is served in calm.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_body_is_served_in_calm() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let payload = vec![b'd'; BODY_MAX_BYTES];
    let mut stream = TcpStream::connect(fixture.gateway.callers)
        .await
        .expect("the gateway accepts");
    let head = sized_head("/patient/", "s1", BODY_MAX_BYTES);
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    for piece in payload.chunks(BODY_MAX_BYTES / 3) {
        tokio::time::sleep(SLOW_PAUSE).await;
        stream.write_all(piece).await.expect("a piece is sent");
    }
    let reply = read_reply(&mut stream).await;
    assert_served(&fixture.deployment.plain, &reply, &payload).await;
}

async fn assert_served(endpoint: &ScriptedEndpoint, sent: &Reply, payload: &[u8]) {
    assert_eq!(sent.status, 200, "{sent:?}");
    let received = endpoint.received();
    let last = received.last().expect("the request arrived");
    assert!(last.body == payload, "{} bytes arrived", last.body.len());
}

/// The largest request that the configuration allows is served, however it is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_body_is_served_in_calm() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let payload = vec![b'd'; BODY_MAX_BYTES];
    let callers = fixture.gateway.callers;

    let mut sized = sized_head("/patient/", "s1", BODY_MAX_BYTES).into_bytes();
    sized.extend_from_slice(&payload);
    let reply = send_bytes(callers, &sized).await;
    assert_served(&fixture.deployment.plain, &reply, &payload).await;

    let mut chunked = chunked_head("/patient/", "s2").into_bytes();
    chunked.extend(chunks(BODY_MAX_BYTES, LARGE_CHUNK_BYTES));
    chunked.extend_from_slice(b"0\r\n\r\n");
    let reply = send_bytes(callers, &chunked).await;
    assert_served(&fixture.deployment.plain, &reply, &payload).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_in_tiny_chunks_is_served_in_calm() {
    let _alone = ALONE.lock().await;
    let fixture = Fixture::start().await;
    let mut chunked = chunked_head("/patient/", "s1").into_bytes();
    chunked.extend(chunks(TINY_CHUNKS_BYTES, 1));
    chunked.extend_from_slice(b"0\r\n\r\n");
    let reply = send_bytes(fixture.gateway.callers, &chunked).await;
    let payload = vec![b'd'; TINY_CHUNKS_BYTES];
    assert_served(&fixture.deployment.plain, &reply, &payload).await;
}
