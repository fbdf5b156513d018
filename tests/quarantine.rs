//! What a gateway holds back on the word of others, and what ends it.

use std::{net::SocketAddr, time::Duration};

use gateway::{
    CutReport, Datagram, PeerStatus, QuarantineNotice, QuarantineState, SoundNotice,
};
use platform::QuarantineRecord;
use proptest::prelude::*;
use route::{digest_pair, digest_text};
use standin::{Action, ScriptedEndpoint};
use tokio::net::UdpSocket;

use crate::util::gateway_harness::{
    GatewayProcess, Reply, TestPlatform, one_endpoint, request, send,
};

/// Interval of the statuses of a peer, shorter than the age up to which it counts.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

async fn one_engine(act: Action) -> (TestPlatform, ScriptedEndpoint, GatewayProcess) {
    one_endpoint("engine", act).await
}

/// Sends a request with the shared part `part` in its prompt.
async fn draft(callers: SocketAddr, part: u64, id: &str) -> Reply {
    let headers = format!(
        "x-model: *\r\nx-token-usage: 100,40\r\nx-prompt-prefix: {part:x}:60,5000:40\r\n"
    );
    send(callers, &request("POST", "/draft/", id, &headers, "x")).await
}

/// A peer that the gateway has heard, and which keeps sending statuses.
async fn heard_peer(gateway: &GatewayProcess) -> std::sync::Arc<UdpSocket> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
    let socket = std::sync::Arc::new(socket);
    let (sender, to) = (socket.clone(), gateway.peer_address);
    tokio::spawn(async move {
        for sequence in 1.. {
            let status = PeerStatus {
                incarnation_ms: 7,
                sequence,
                ..PeerStatus::default()
            };
            send_datagram(&sender, to, &Datagram::Status(status)).await;
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    });
    gateway.wait_logged("event=peer_heard").await;
    socket
}

async fn send_datagram(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    let bytes = postcard::to_stdvec(datagram).expect("encodes");
    socket.send_to(&bytes, to).await.expect("sends");
}

fn component(part: u64) -> u64 {
    digest_pair(digest_text("engine"), part)
}

fn hold(part: u64) -> Datagram {
    Datagram::Quarantine(QuarantineNotice {
        service: digest_text("engine"),
        components: vec![component(part)],
        version: digest_text("v1"),
        age_ms: 0,
        state: QuarantineState::Held,
    })
}

/// A record that holds back requests with `part`, since endpoints of `version` crashed.
fn hold_record(part: u64, version: &str) -> QuarantineRecord {
    QuarantineRecord {
        service: digest_text("engine"),
        components: vec![component(part)],
        version: digest_text(version),
        since_ms: 1_000,
        is_lifted: false,
    }
}

fn put_record(platform: &TestPlatform, record: &QuarantineRecord) {
    let text = String::from_utf8(record.encode()).expect("is JSON");
    platform.log.put("keyed.status", &record.key(9), &text);
}

#[tokio::test]
async fn held_back_caller_is_told_at_once_that_the_request_did_not_run() {
    let (_platform, endpoint, gateway) = one_engine(Action::Stream(2)).await;
    let peer = heard_peer(&gateway).await;
    send_datagram(&peer, gateway.peer_address, &hold(0xa7)).await;
    gateway.wait_logged("event=quarantined").await;
    let reply = draft(gateway.callers, 0xa7, "r1").await;
    assert_eq!(reply.status, 503, "{reply:?}");
    let retry_after = reply.header("retry-after").expect("names a time");
    assert!(retry_after.parse::<f64>().expect("a number") > 1.0);
    assert!(endpoint.received().is_empty());
    let line = gateway.wait_logged("event=request request=r1").await;
    assert!(line.contains("outcome=held_back"), "{line}");
    let other = draft(gateway.callers, 0xa8, "r2").await;
    assert!(other.is_whole(), "{other:?}");
    // Only who decides from reports writes to the log.
    assert!(gateway.logged("event=quarantine_record").is_empty());
}

/// A stray or forged notice changes nothing for requests that are answered.
#[tokio::test]
async fn notice_on_what_was_answered_is_not_taken() {
    let (_platform, _endpoint, gateway) = one_engine(Action::Stream(2)).await;
    let peer = heard_peer(&gateway).await;
    assert!(draft(gateway.callers, 0xa7, "r1").await.is_whole());
    send_datagram(&peer, gateway.peer_address, &hold(0xa7)).await;
    // Handled after the notice, since datagrams are read one by one.
    send_datagram(&peer, gateway.peer_address, &hold(0xa8)).await;
    gateway.wait_logged("event=quarantined").await;
    assert!(draft(gateway.callers, 0xa7, "r2").await.is_whole());
    assert_eq!(gateway.logged("event=quarantined").len(), 1);
}

#[tokio::test]
async fn notice_of_an_unknown_sender_is_ignored() {
    let (_platform, _endpoint, gateway) = one_engine(Action::Stream(2)).await;
    let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
    send_datagram(&stranger, gateway.peer_address, &hold(0xa7)).await;
    let peer = heard_peer(&gateway).await;
    send_datagram(&peer, gateway.peer_address, &hold(0xa8)).await;
    gateway.wait_logged("event=quarantined").await;
    assert!(draft(gateway.callers, 0xa7, "r1").await.is_whole());
}

#[tokio::test]
async fn good_answer_to_a_request_in_progress_ends_the_hold() {
    let (_platform, endpoint, gateway) = one_engine(Action::Stream(2)).await;
    let peer = heard_peer(&gateway).await;
    endpoint.queue(&[Action::PauseStream(700)]);
    let callers = gateway.callers;
    let running = tokio::spawn(async move { draft(callers, 0xa7, "r1").await });
    while endpoint.received().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    send_datagram(&peer, gateway.peer_address, &hold(0xa7)).await;
    gateway.wait_logged("event=quarantined").await;
    assert_eq!(draft(callers, 0xa7, "r2").await.status, 503);
    assert!(running.await.expect("the task ends").is_whole());
    gateway.wait_logged("event=quarantine_lifted").await;
    assert!(draft(callers, 0xa7, "r3").await.is_whole());
}

#[tokio::test]
async fn record_in_the_log_holds_back_until_it_says_otherwise() {
    let (platform, _endpoint, gateway) = one_engine(Action::Stream(2)).await;
    let record = hold_record(0xa7, "v1");
    put_record(&platform, &record);
    let line = gateway.wait_logged("event=quarantined").await;
    assert!(line.contains("source=log"), "{line}");
    assert_eq!(draft(gateway.callers, 0xa7, "r1").await.status, 503);
    let lifted = QuarantineRecord {
        is_lifted: true,
        ..record
    };
    put_record(&platform, &lifted);
    gateway.wait_logged("event=quarantine_lifted").await;
    assert!(draft(gateway.callers, 0xa7, "r2").await.is_whole());
}

/// Regression test: while a service had no endpoint, the version that had crashed counted
/// as replaced, and requests were let through when the endpoints came back.
#[tokio::test]
async fn hold_outlasts_the_absence_of_all_endpoints() {
    let (platform, endpoint, gateway) = one_engine(Action::Stream(2)).await;
    put_record(&platform, &hold_record(0xa7, "v1"));
    gateway.wait_logged("event=quarantined").await;
    platform.log.put("keyed.servers", "p1", "");
    gateway.wait_logged("event=endpoint_gone").await;
    assert_eq!(draft(gateway.callers, 0xa7, "r1").await.status, 503);
    platform.announce("p2", "engine", &endpoint);
    gateway.wait_logged("event=endpoint endpoint=p2").await;
    assert_eq!(draft(gateway.callers, 0xa7, "r2").await.status, 503);
    assert!(endpoint.received().is_empty());
}

/// Another version of the service may not have the fault.
#[tokio::test]
async fn request_is_tried_again_when_the_version_that_crashed_is_gone() {
    let (platform, endpoint, gateway) = one_engine(Action::Stream(2)).await;
    put_record(&platform, &hold_record(0xa7, "v0"));
    gateway.wait_logged("event=quarantined").await;
    assert!(draft(gateway.callers, 0xa7, "r1").await.is_whole());
    gateway.wait_logged("event=quarantine_lifted").await;
    assert_eq!(endpoint.received().len(), 1);
}

/// Reports are not authenticated either: what the counting gateway answers itself is
/// not held back, whatever is reported.
#[tokio::test]
async fn forged_reports_hold_back_nothing_that_is_answered() {
    let (_platform, _endpoint, gateway) = one_engine(Action::Stream(2)).await;
    let peer = heard_peer(&gateway).await;
    assert!(draft(gateway.callers, 0xa7, "r1").await.is_whole());
    for part in [0xa7, 0xa8] {
        for endpoint in 0..6 {
            let report = CutReport {
                service: digest_text("engine"),
                version: digest_text("v1"),
                endpoint,
                answered: 1_000,
                identity: endpoint,
                shared: vec![component(part)],
                ..CutReport::default()
            };
            let to = gateway.peer_address;
            send_datagram(&peer, to, &Datagram::Cut(report)).await;
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
    }
    gateway.wait_logged("event=quarantined").await;
    assert!(draft(gateway.callers, 0xa7, "r2").await.is_whole());
    let held = draft(gateway.callers, 0xa8, "r3").await;
    assert_eq!(
        held.status,
        503,
        "{held:?} {:?}",
        gateway.logged("quarantine")
    );
    // An objection ends it, at this gateway and in the log.
    let notice = SoundNotice {
        service: digest_text("engine"),
        components: vec![component(0xa8)],
    };
    send_datagram(&peer, gateway.peer_address, &Datagram::Sound(notice)).await;
    gateway.wait_logged("event=quarantine_lifted").await;
    assert!(draft(gateway.callers, 0xa8, "r4").await.is_whole());
    gateway.wait_logged("lifted=true").await;
}

/// Regression test: with its table of answers full, the evaluation of crashes never ended
/// once a component that this gateway had answered was reported.
#[tokio::test]
async fn full_table_of_answers_does_not_stop_the_gateway() {
    let (_platform, _endpoint, gateway) = one_engine(Action::Stream(2)).await;
    let (peer, to) = (heard_peer(&gateway).await, gateway.peer_address);
    assert!(draft(gateway.callers, 0xa7, "r1").await.is_whole());
    let report = |endpoint, shared| {
        Datagram::Cut(CutReport {
            service: digest_text("engine"),
            version: digest_text("v1"),
            endpoint,
            answered: 1_000,
            identity: endpoint,
            shared,
            ..CutReport::default()
        })
    };
    send_datagram(&peer, to, &report(99, Vec::new())).await;
    for n in 0..40_u64 {
        let notice = SoundNotice {
            service: digest_text("engine"),
            components: (0..32).map(|i| 1_000 + 32 * n + i).collect(),
        };
        send_datagram(&peer, to, &Datagram::Sound(notice)).await;
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    for endpoint in 0..6 {
        send_datagram(&peer, to, &report(endpoint, vec![component(0xa7)])).await;
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    assert!(draft(gateway.callers, 0xa7, "r2").await.is_whole());
}

proptest! {
    #[test]
    fn record_survives_encoding(
        service: u64,
        components in proptest::collection::vec(any::<u64>(), 0..5),
        version: u64,
        since_ms: u64,
        is_lifted: bool,
    ) {
        let record = QuarantineRecord { service, components, version, since_ms, is_lifted };
        prop_assert_eq!(QuarantineRecord::decode(&record.encode()), Ok(record));
    }

    #[test]
    fn arbitrary_record_is_decoded_or_rejected(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = QuarantineRecord::decode(&bytes);
    }
}
