//! Exchanges statuses and updates with the other gateways.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use clock::Millis;
use log::{info, warn};
use tokio::net::UdpSocket;

use crate::{
    datagram::{
        Datagram, ENDPOINTS_MAX, EVACUATED_MAX, PeerStatus, ROLLOUTS_MAX,
        decode_datagram,
    },
    peers::STATUS_INTERVAL_MS,
    state::Gateway,
};

/// Maximum size of a datagram, bytes; fits in one Ethernet frame.
const DATAGRAM_MAX_BYTES: usize = 1_400;

/// Sends and receives datagrams for as long as the process runs.
pub(crate) async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    gateway.load.set_socket(socket.clone());
    let incarnation_ms = gateway.incarnation_ms();
    let mut sequence = 0;
    let mut buffer = [0; DATAGRAM_MAX_BYTES];
    let mut tick = tokio::time::interval(Duration::from_millis(STATUS_INTERVAL_MS));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                sequence += 1;
                send_status(&gateway, &socket, incarnation_ms, sequence).await;
            }
            () = gateway.status_changed.notified() => {
                sequence += 1;
                send_status(&gateway, &socket, incarnation_ms, sequence).await;
            }
            () = gateway.update_pending.notified() => send_update(&gateway, &socket, incarnation_ms).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    let heard = receive(&gateway, &buffer[..length], from);
                    if heard == Heard::Newly && gateway.has_standing_notices() {
                        sequence += 1;
                        greet(&gateway, &socket, from, incarnation_ms, sequence).await;
                    }
                }
                // An ICMP error from a peer without a listener is reported
                // here.
                Err(_) => gateway.stats.count("peer_words", "receive_failed"),
            },
        }
    }
}

/// Whether a datagram is the first status of a peer that was silent or unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Heard {
    Before,
    Newly,
}

/// Tells a peer that is new what holds until further notice. A status goes first, since
/// the peer takes notices only from a gateway that it has heard.
async fn greet(
    gateway: &Gateway,
    socket: &UdpSocket,
    peer: SocketAddr,
    incarnation_ms: u64,
    sequence: u64,
) {
    let status = build_status(gateway, incarnation_ms, sequence);
    send(gateway, socket, &Datagram::Status(status), vec![peer]).await;
    gateway.announce_known_limits();
    gateway.announce_known_warmups(peer);
    gateway.tell_quarantines(peer);
}

fn receive(gateway: &Gateway, bytes: &[u8], from: SocketAddr) -> Heard {
    let now = gateway.now();
    match decode_datagram(bytes) {
        Some(Datagram::Status(status)) => {
            gateway.stats.count("peer_words", "taken");
            gateway.merge_rollout_reports(&status);
            gateway.merge_evacuations(&status, now);
            let is_new = gateway.peers.borrow_mut().record_status(from, status, now);
            if is_new {
                info!("event=peer_heard peer={from}");
                return Heard::Newly;
            }
        }
        Some(Datagram::Update(update)) => {
            gateway.stats.count("peer_words", "news");
            if !gateway.peers.borrow_mut().record_update(from, &update) {
                return Heard::Before;
            }
            for (session, version) in update.sessions {
                gateway.set_session_version(session, version);
            }
            let mut pool = gateway.pool.borrow_mut();
            for sent in &update.dispatches {
                pool.record_peer_dispatch(sent, now);
            }
            for notice in &update.draining {
                if let Some(id) = pool.record_peer_draining(notice, now) {
                    info!(
                        "event=endpoint_draining endpoint={id} source=peer peer={from}"
                    );
                }
            }
        }
        Some(other) => receive_from_heard(gateway, &other, from, now),
        None => gateway.stats.count("peer_words", "malformed"),
    }
    Heard::Before
}

/// Handles the datagrams of the exchange with trackers and on limits; those of a sender
/// that was not heard are ignored.
fn receive_from_heard(
    gateway: &Gateway,
    datagram: &Datagram,
    from: SocketAddr,
    now: Millis,
) {
    if !gateway.peers.borrow().is_fresh(from, now) {
        gateway.stats.count("peer_words", "unknown_sender");
        return;
    }
    match datagram {
        Datagram::LoadQuestion(question) => {
            gateway.answer_load_question(from, question);
        }
        Datagram::LoadAnswer(answer) => gateway.record_load_answer(answer),
        Datagram::LoadReport(report) => gateway.record_load_report(report, now),
        Datagram::Limits(notices) => gateway.record_peer_limits(notices, now),
        Datagram::Warmups(notices) => gateway.record_peer_warmups(notices, now),
        Datagram::LimitQuestion(question) => {
            gateway.answer_limit_question(from, question, now);
        }
        Datagram::LimitAnswer(answer) => gateway.record_limit_answer(answer),
        Datagram::Cut(report) => gateway.record_cut_report(Some(from), report, now),
        Datagram::Crashed(notice) => gateway.record_crash_notice(notice, now),
        Datagram::Quarantine(notice) => {
            gateway.record_quarantine_notice(from, notice, now);
        }
        Datagram::Sound(notice) => gateway.record_sound_notice(notice, now),
        Datagram::Status(_) | Datagram::Update(_) => {}
    }
}

/// Sends the queued update, if there is one.
async fn send_update(gateway: &Gateway, socket: &UdpSocket, incarnation_ms: u64) {
    let (update, receivers) = gateway.peers.borrow_mut().drain_update(incarnation_ms);
    let empty = update.dispatches.is_empty()
        && update.sessions.is_empty()
        && update.draining.is_empty();
    if empty {
        return;
    }
    send(gateway, socket, &Datagram::Update(update), receivers).await;
}

async fn send_status(
    gateway: &Gateway,
    socket: &UdpSocket,
    incarnation_ms: u64,
    sequence: u64,
) {
    let now = gateway.now();
    for peer in gateway.peers.borrow_mut().expire(now) {
        warn!("event=peer_silent peer={peer}");
    }
    let status = build_status(gateway, incarnation_ms, sequence);
    let receivers = gateway.peers.borrow_mut().next_receivers();
    gateway.update_peer_load(now);
    gateway.load.tracker.borrow_mut().expire(now);
    send(gateway, socket, &Datagram::Status(status), receivers).await;
}

fn build_status(gateway: &Gateway, incarnation_ms: u64, sequence: u64) -> PeerStatus {
    let mut endpoint_load = gateway.pool.borrow().own_load();
    let evacuated = gateway.evacuations.borrow().logged(EVACUATED_MAX);
    // A digest takes the room of a row at most, so that the status still fits.
    endpoint_load.truncate(ENDPOINTS_MAX - evacuated.len());
    PeerStatus {
        incarnation_ms,
        sequence,
        catalog_version: gateway.catalog().map_or(0, |catalog| catalog.version),
        can_read_log: !gateway.log_lost.get(),
        takes_callers: gateway.is_ready(),
        log_positions: gateway.log_positions.get(),
        endpoint_load,
        rollouts: gateway.rollout_reports(ROLLOUTS_MAX),
        peers: gateway.peers.borrow().advertised(gateway.now()),
        evacuated,
    }
}

async fn send(
    gateway: &Gateway,
    socket: &UdpSocket,
    datagram: &Datagram,
    receivers: Vec<SocketAddr>,
) {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) if bytes.len() <= DATAGRAM_MAX_BYTES => bytes,
        Ok(_) | Err(_) => {
            gateway.stats.count("peer_words", "too_long");
            return;
        }
    };
    for receiver in receivers {
        // Not retried: the next status replaces a lost datagram.
        if socket.send_to(&bytes, receiver).await.is_err() {
            gateway.stats.count("peer_words", "send_failed");
        }
    }
}
