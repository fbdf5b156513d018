//! Sends and takes datagrams.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use log::{info, warn};
use tokio::net::UdpSocket;

use crate::{
    datagram::{Datagram, PeerStatus, RUNNING_MAX, UPGRADES_MAX, decode_datagram},
    peers::WORD_EVERY_MS,
    state::Gateway,
};

/// Largest datagram, bytes: one Ethernet frame.
const WORD_MAX_BYTES: usize = 1_400;

/// Sends and takes words for good.
pub(crate) async fn talk(gateway: Rc<Gateway>, socket: UdpSocket) {
    let incarnation_ms = gateway.incarnation_ms();
    let mut count = 0;
    let mut buffer = [0; WORD_MAX_BYTES];
    let mut tick = tokio::time::interval(Duration::from_millis(WORD_EVERY_MS));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                count += 1;
                speak(&gateway, &socket, incarnation_ms, count).await;
            }
            () = gateway.news.notified() => tell_news(&gateway, &socket, incarnation_ms).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => hear(&gateway, &buffer[..length], from),
                // A peer's port without a listener shows here as an error.
                Err(_) => gateway.stats.count("peer_words", "receive_failed"),
            },
        }
    }
}

fn hear(gateway: &Gateway, bytes: &[u8], from: SocketAddr) {
    let now = gateway.now();
    match decode_datagram(bytes) {
        Some(Datagram::Status(word)) => {
            gateway.stats.count("peer_words", "taken");
            gateway.take_upgrades(&word);
            if gateway.peers.borrow_mut().take(from, word, now) {
                info!("event=peer_heard peer={from}");
            }
        }
        Some(Datagram::Update(news)) => {
            gateway.stats.count("peer_words", "news");
            if !gateway.peers.borrow_mut().take_news(from, &news) {
                return;
            }
            for (session, version) in news.sessions {
                gateway.hold_session(session, version);
            }
            let mut pool = gateway.pool.borrow_mut();
            for sent in &news.sent {
                pool.sent_elsewhere(sent, now);
            }
        }
        None => gateway.stats.count("peer_words", "malformed"),
    }
}

/// Tells what was sent since the last time.
async fn tell_news(gateway: &Gateway, socket: &UdpSocket, incarnation_ms: u64) {
    let (news, receivers) =
        gateway.peers.borrow_mut().take_news_to_tell(incarnation_ms);
    if news.sent.is_empty() && news.sessions.is_empty() {
        return;
    }
    send(gateway, socket, &Datagram::Update(news), receivers).await;
}

async fn speak(gateway: &Gateway, socket: &UdpSocket, incarnation_ms: u64, count: u64) {
    let now = gateway.now();
    for peer in gateway.peers.borrow_mut().expire(now) {
        warn!("event=peer_silent peer={peer}");
    }
    let (word, receivers) = {
        let mut peers = gateway.peers.borrow_mut();
        let mut running = gateway.pool.borrow().running();
        running.truncate(RUNNING_MAX);
        let word = PeerStatus {
            incarnation_ms,
            sequence: count,
            catalog_version: gateway.catalog().map_or(0, |catalog| catalog.version),
            can_read_log: !gateway.log_lost.get(),
            log_offsets: gateway.ends.get(),
            running,
            rollouts: gateway.upgrade_words(UPGRADES_MAX),
            peers: peers.told(now),
        };
        (word, peers.next_receivers())
    };
    gateway.take_elsewhere(now);
    send(gateway, socket, &Datagram::Status(word), receivers).await;
}

async fn send(
    gateway: &Gateway,
    socket: &UdpSocket,
    datagram: &Datagram,
    receivers: Vec<SocketAddr>,
) {
    let bytes = match postcard::to_stdvec(datagram) {
        Ok(bytes) if bytes.len() <= WORD_MAX_BYTES => bytes,
        Ok(_) | Err(_) => {
            gateway.stats.count("peer_words", "too_long");
            return;
        }
    };
    for receiver in receivers {
        // The next word makes up for a lost one.
        if socket.send_to(&bytes, receiver).await.is_err() {
            gateway.stats.count("peer_words", "send_failed");
        }
    }
}
