//! Sends and takes datagrams.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use log::{info, warn};
use tokio::net::UdpSocket;

use crate::{
    peers::WORD_EVERY_MS,
    state::Gateway,
    words::{Datagram, RUNNING_MAX, UPGRADES_MAX, Word, decode},
};

/// Largest datagram, bytes: one Ethernet frame.
const WORD_MAX_BYTES: usize = 1_400;

/// Sends and takes words for good.
pub(crate) async fn talk(gateway: Rc<Gateway>, socket: UdpSocket) {
    let born_ms = gateway.born_ms();
    let mut count = 0;
    let mut buffer = [0; WORD_MAX_BYTES];
    let mut tick = tokio::time::interval(Duration::from_millis(WORD_EVERY_MS));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                count += 1;
                speak(&gateway, &socket, born_ms, count).await;
            }
            () = gateway.news.notified() => tell_news(&gateway, &socket, born_ms).await,
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
    match decode(bytes) {
        Some(Datagram::Word(word)) => {
            gateway.stats.count("peer_words", "taken");
            gateway.take_upgrades(&word);
            if gateway.peers.borrow_mut().take(from, word, now) {
                info!("event=peer_heard peer={from}");
            }
        }
        Some(Datagram::News(news)) => {
            gateway.stats.count("peer_words", "news");
            if !gateway.peers.borrow_mut().take_news(from, &news) {
                return;
            }
            for (session, version) in news.sessions {
                gateway.hold_session(session, version);
            }
            let mut pool = gateway.pool.borrow_mut();
            for sent in &news.sent {
                pool.record_peer_dispatch(sent, now);
            }
        }
        None => gateway.stats.count("peer_words", "malformed"),
    }
}

/// Tells what was sent since the last time.
async fn tell_news(gateway: &Gateway, socket: &UdpSocket, born_ms: u64) {
    let (news, receivers) = gateway.peers.borrow_mut().take_news_to_tell(born_ms);
    if news.sent.is_empty() && news.sessions.is_empty() {
        return;
    }
    send(gateway, socket, &Datagram::News(news), receivers).await;
}

async fn speak(gateway: &Gateway, socket: &UdpSocket, born_ms: u64, count: u64) {
    let now = gateway.now();
    for peer in gateway.peers.borrow_mut().expire(now) {
        warn!("event=peer_silent peer={peer}");
    }
    let (word, receivers) = {
        let mut peers = gateway.peers.borrow_mut();
        let mut running = gateway.pool.borrow().own_load();
        running.truncate(RUNNING_MAX);
        let word = Word {
            born_ms,
            count,
            catalog_version: gateway.catalog().map_or(0, |catalog| catalog.version),
            reads_log: !gateway.log_lost.get(),
            ends: gateway.ends.get(),
            running,
            upgrades: gateway.upgrade_words(UPGRADES_MAX),
            peers: peers.told(now),
        };
        (word, peers.next_receivers())
    };
    gateway.take_elsewhere(now);
    send(gateway, socket, &Datagram::Word(word), receivers).await;
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
