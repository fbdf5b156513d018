//! Keeps requests away from the failure domains that operators empty.

use clock::Millis;
use log::info;
use route::{EvacuationSource, TopicPosition};
use store::LogPosition;

use crate::{datagram::PeerStatus, peers::TRUSTED_STATUSES_MIN, state::Gateway};

fn topic_position(position: LogPosition) -> TopicPosition {
    TopicPosition {
        epoch: position.epoch,
        offset: position.offset,
    }
}

impl Gateway {
    /// Records that the evacuations in the operators' topic are known up to `end`.
    pub fn record_evacuations_read(&self, end: LogPosition) {
        self.evacuations.borrow_mut().log_read(topic_position(end));
        self.apply_evacuations(self.now());
    }

    /// Records the evacuations that a peer has read of.
    pub fn merge_evacuations(&self, status: &PeerStatus, now: Millis) {
        if status.sequence < TRUSTED_STATUSES_MIN {
            return;
        }
        let position = topic_position(status.log_positions.operator);
        let domains = status.evacuated.iter().copied();
        self.evacuations
            .borrow_mut()
            .record_peer(domains, position, now);
        self.apply_evacuations(now);
    }

    /// Makes the pool leave out the evacuated domains, and logs those that changed.
    pub fn apply_evacuations(&self, now: Millis) {
        let mut evacuations = self.evacuations.borrow_mut();
        let changes = evacuations.refresh(now);
        if changes.is_empty() {
            return;
        }
        let mut pool = self.pool.borrow_mut();
        pool.set_evacuated(evacuations.active());
        for change in changes {
            let digest = change.domain_digest;
            // A peer names a domain by its digest.
            let known = change.domain.as_deref();
            let known = known.or_else(|| pool.domain_of_digest(digest));
            let domain = known.map_or_else(|| format!("{digest:x}"), str::to_owned);
            match change.started {
                Some(source) => {
                    let source = match source {
                        EvacuationSource::Log => "log",
                        EvacuationSource::Peer => "peer",
                    };
                    info!(
                        "event=evacuation_started domain={domain} source={source} endpoints={}",
                        pool.count_in_domain(digest)
                    );
                    self.stats.add_domain(&domain);
                }
                None => {
                    pool.record_readmission(digest, now);
                    info!(
                        "event=evacuation_ended domain={domain} endpoints={}",
                        pool.count_in_domain(digest)
                    );
                }
            }
        }
    }
}
