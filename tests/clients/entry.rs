//! The same groups at the entry.

use admin::{ApplyRequest, OperatorClient};
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet};

use crate::{
    ALONE, DESCRIPTORS_MAX, DESCRIPTORS_RESERVED,
    util::{
        client_group::{ClientGroup, chunks},
        cluster::Cluster,
        gateway_harness::{read_reply, send},
        process_stats::{descriptors, memory_peak_kib, unread_kib},
        script::Script,
    },
};

/// Memory that a node may use, MB; see docs/CAPACITY.md.
const NODE_MEMORY_MB: u64 = 256;

/// The same, KiB.
const NODE_MEMORY_MAX_KIB: u64 = NODE_MEMORY_MB * 1_000_000 / 1_024;

/// Largest body that the settings of these tests allow, bytes.
const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Clients of a group that sends bodies of the largest size.
const LARGE_CLIENTS: usize = 48;

/// Clients of a group that sends bodies of which each byte is a chunk.
const TINY_CHUNKS_CLIENTS: usize = 20;

/// Payload of such a body, bytes.
const TINY_CHUNKS_BYTES: usize = 600_000;

/// Size of a large chunk, bytes.
const LARGE_CHUNK_BYTES: usize = 64 * 1024;

/// Clients of a group that opens more connections than there are descriptors for.
const CONNECTIONS_CLIENTS: usize = 500;

async fn start_cluster(descriptors_max: Option<u32>) -> Cluster {
    let mut script = Script::new().await;
    let cluster = &mut script.cluster;
    cluster.descriptors_max = descriptors_max;
    let settings = &mut cluster.common_settings;
    settings.insert("process.memory_mb".into(), NODE_MEMORY_MB.to_string());
    settings.insert("entry.body_max_bytes".into(), BODY_MAX_BYTES.to_string());
    // So long that no body ends by it while the clients are there.
    settings.insert("entry.body_timeout_ms".into(), "60000".into());
    for command in [
        "engine big versions=draft@v1",
        "entry entry-1 room=ghent",
        "agent agent-1 room=ghent endpoint=big",
        "setup entry-1 draft=v1 teams=others",
        "ctl entry-1 put team members --token-digest token:members-token --allow draft",
        "wait-config entry-1",
    ] {
        script.command(command).await;
    }
    script.cluster
}

fn head(framing: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer members-token\r\n{framing}\r\n"
    )
}

fn sized_head(len: usize) -> String {
    head(&format!("content-length: {len}\r\n"))
}

/// Checks that the entry lives within its memory and answers an ordinary request.  The
/// connections of a group must still be open.
async fn assert_serves_within_bounds(cluster: &Cluster) {
    let entry = &cluster.daemons["entry-1"];
    let callers = entry.address("callers");
    let used_kib = memory_peak_kib(entry.pid()) + unread_kib(callers);
    assert!(used_kib < NODE_MEMORY_MAX_KIB, "{used_kib} KiB");
    let chat = r#"{"model":"draft","messages":[{"content":"x"}],"max_tokens":1}"#;
    let text = format!("{}{chat}", sized_head(chat.len()));
    let reply = send(callers, &text).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

async fn assert_clients_are_tolerated(count: usize, head: String, body: Vec<u8>) {
    let cluster = start_cluster(None).await;
    let callers = cluster.address("entry-1", "callers");
    let _group = ClientGroup::send(callers, count, |_| head.clone(), body).await;
    assert_serves_within_bounds(&cluster).await;
    assert!(cluster.engines["big"].state().started.len() <= 1);
}

/// Requests that have arrived hold their bodies until they are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_bears_whole_large_bodies_at_once() {
    let _alone = ALONE.lock().await;
    let cluster = start_cluster(None).await;
    let engine = &cluster.engines["big"];
    engine.update_config(|config| config.token_ms = 60_000);
    let frame = r#"{"model":"draft","messages":[{"content":""}],"max_tokens":9}"#;
    let content = "d".repeat(BODY_MAX_BYTES - frame.len());
    let body = frame.replace(r#""content":"""#, &format!(r#""content":"{content}""#));
    let callers = cluster.address("entry-1", "callers");
    let head = sized_head(BODY_MAX_BYTES);
    let _group =
        ClientGroup::send(callers, LARGE_CLIENTS, |_| head.clone(), body.into_bytes())
            .await;
    engine.update_config(|config| config.token_ms = 1);
    assert_serves_within_bounds(&cluster).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_bears_large_bodies_that_stop_short() {
    let _alone = ALONE.lock().await;
    let body = vec![b'd'; BODY_MAX_BYTES - 1];
    assert_clients_are_tolerated(LARGE_CLIENTS, sized_head(BODY_MAX_BYTES), body).await;
}

/// A connection that is closed with bytes unread is reset, and its client may not get to
/// read why.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_of_an_entry_reaches_a_client_that_is_still_sending() {
    let _alone = ALONE.lock().await;
    let cluster = start_cluster(None).await;
    let callers = cluster.address("entry-1", "callers");
    let mut stream = TcpStream::connect(callers)
        .await
        .expect("the entry accepts");
    let head = sized_head(BODY_MAX_BYTES).replace("members-token", "unknown");
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the head is sent");
    let body = vec![b'd'; BODY_MAX_BYTES];
    stream.write_all(&body).await.expect("the body is sent");
    let reply = read_reply(&mut stream).await;
    assert_eq!(reply.status, 401, "{reply:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_bears_large_chunks_that_stop_short() {
    let _alone = ALONE.lock().await;
    let body = chunks(BODY_MAX_BYTES - 1, LARGE_CHUNK_BYTES);
    let head = head("transfer-encoding: chunked\r\n");
    assert_clients_are_tolerated(LARGE_CLIENTS, head, body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_bears_tiny_chunks_that_stop_short() {
    let _alone = ALONE.lock().await;
    let body = chunks(TINY_CHUNKS_BYTES, 1);
    let head = head("transfer-encoding: chunked\r\n");
    assert_clients_are_tolerated(TINY_CHUNKS_CLIENTS, head, body).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_bears_bodies_over_the_limit() {
    let _alone = ALONE.lock().await;
    let len = 4 * BODY_MAX_BYTES;
    assert_clients_are_tolerated(LARGE_CLIENTS, sized_head(len), vec![b'd'; len]).await;
}

/// Checks the number of open descriptors of a daemon, of which some are reserved for files.
fn assert_descriptors_left(cluster: &Cluster, daemon: &str) {
    let open = descriptors(cluster.daemons[daemon].pid());
    let max = DESCRIPTORS_MAX as usize - DESCRIPTORS_RESERVED;
    assert!(open < max, "{daemon}: {open} descriptors are open");
}

/// Opens more connections than there are descriptors for; each sends `head`.
async fn assert_connections_are_tolerated(daemon: &str, listener: &str, head: &str) {
    let cluster = start_cluster(Some(DESCRIPTORS_MAX)).await;
    let address = cluster.address(daemon, listener);
    let _group =
        ClientGroup::send(address, CONNECTIONS_CLIENTS, |_| head.into(), Vec::new())
            .await;
    assert_serves_within_bounds(&cluster).await;
    assert_descriptors_left(&cluster, daemon);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_bears_more_connections_than_it_has_descriptors() {
    let _alone = ALONE.lock().await;
    assert_connections_are_tolerated("entry-1", "callers", "POST").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_bears_connections_to_its_peer_listener() {
    let _alone = ALONE.lock().await;
    assert_connections_are_tolerated("entry-1", "peers", "POST").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_bears_connections_to_its_operators_listener() {
    let _alone = ALONE.lock().await;
    assert_connections_are_tolerated("entry-1", "operators", "").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_bears_connections_to_its_peer_listener() {
    let _alone = ALONE.lock().await;
    assert_connections_are_tolerated("agent-1", "peers", "POST").await;
}

/// The operators' interface is on the same process; a message must be bounded before its
/// token is looked at.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_bears_large_messages_of_operators() {
    let _alone = ALONE.lock().await;
    let cluster = start_cluster(None).await;
    let operators = cluster.address("entry-1", "operators");
    let mut sending = JoinSet::new();
    for _ in 0..LARGE_CLIENTS {
        sending.spawn(async move {
            let client = OperatorClient::new(operators, "unknown", 20_000);
            let message = ApplyRequest {
                change_id: "x".repeat(BODY_MAX_BYTES).into(),
                ..ApplyRequest::default()
            };
            client.apply(message).await
        });
    }
    while let Some(sent) = sending.join_next().await {
        let refused = sent.expect("the client ends");
        assert!(refused.is_err(), "{refused:?}");
    }
    assert_serves_within_bounds(&cluster).await;
}
