//! Failure domains that operators have asked to be emptied.
//!
//! Made for a domain that is emptied under full load, by many gateways that read the
//! request at different times: all of what the domain served moves within seconds, and
//! one gateway that missed the request would keep the domain busy. A gateway that
//! cannot read the log therefore believes its peers, and a log that was restored from
//! an older copy changes nothing by itself. See `docs/design/deployment.md`.

use std::collections::BTreeMap;

use clock::Millis;

use crate::pool::digest_text;

/// Time for which a gateway believes what a peer says, ms.
const PEER_BELIEVED_MS: u64 = 10_000;

/// Maximum number of domains that peers' statuses can add, since they are not
/// authenticated.
const PEER_DOMAINS_MAX: usize = 64;

/// Maximum number of withdrawn requests that are remembered.
const WITHDRAWN_MAX: usize = 256;

/// Position in the operators' topic; a restoration of the log raises the epoch.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct TopicPosition {
    /// Number of restorations of the log.
    pub epoch: u64,
    /// Offset within the topic.
    pub offset: u64,
}

/// How a gateway learned of an evacuation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationSource {
    /// From the operators' topic.
    Log,
    /// From another gateway.
    Peer,
}

/// Start or end of an evacuation at this gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// Digest of the domain's name; see [`digest_text`].
    pub domain_digest: u64,
    /// Name of the domain, if the log named it.
    pub domain: Option<String>,
    /// How the gateway learned of the evacuation that starts; `None` if one ends.
    pub started: Option<EvacuationSource>,
}

/// What peers said, all of it up to the same position.
#[derive(Clone, Debug, Default)]
struct PeerKnowledge {
    position: TopicPosition,
    heard: Millis,
    /// When each domain was last named, by digest.
    domains: BTreeMap<u64, Millis>,
}

/// The evacuated failure domains, as far as a gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Highest offset at which a request for each domain was.
    requested: BTreeMap<String, u64>,
    /// Highest offset at which a request for each domain was, if it is withdrawn.
    withdrawn: BTreeMap<String, u64>,
    read_to: TopicPosition,
    /// Whether the records until the next [`Evacuations::log_read`] lead from the
    /// state before a restoration of the log to the one after it.
    is_restoring: bool,
    peers: PeerKnowledge,
    /// Evacuations in effect, with the domain's name if the log named it.
    active: BTreeMap<u64, Option<String>>,
}

impl Evacuations {
    /// Records that the log was restored from an older copy: the changes of the next
    /// read are what the copy does not have, and no requests of operators.
    pub fn log_restored(&mut self) {
        self.is_restoring = true;
    }

    /// Records that the topic holds a request for `domain` at `offset`.
    ///
    /// A restored log may hold a request again that had been withdrawn. The copy then
    /// ends before the withdrawal, and a request that is written again is after the
    /// last one, unless the copy ends before that too.
    pub fn record_request(&mut self, domain: &str, offset: u64) {
        let withdrawn = self.withdrawn.get(domain).copied();
        if self.is_restoring && withdrawn.is_some_and(|last| offset <= last) {
            return;
        }
        self.withdrawn.remove(domain);
        let earlier = self.requested.get(domain).copied();
        let last = offset.max(withdrawn.or(earlier).unwrap_or(0));
        self.requested.insert(domain.to_owned(), last);
    }

    /// Records that the topic no longer holds a request for `domain`. One that a
    /// restoration lost still holds: the operators write it again.
    pub fn record_removal(&mut self, domain: &str) {
        if self.is_restoring {
            return;
        }
        if let Some(offset) = self.requested.remove(domain) {
            if self.withdrawn.len() >= WITHDRAWN_MAX {
                self.withdrawn.pop_first();
            }
            self.withdrawn.insert(domain.to_owned(), offset);
        }
    }

    /// Records that the changes up to `position` have been recorded.
    pub fn log_read(&mut self, position: TopicPosition) {
        self.read_to = position;
        self.is_restoring = false;
    }

    /// Records the domains that a peer has read of up to `position`.
    ///
    /// What a peer says that has read less than another one recently heard is ignored.
    pub fn record_peer<I>(&mut self, domains: I, position: TopicPosition, now: Millis)
    where
        I: IntoIterator<Item = u64>,
    {
        let peers = &mut self.peers;
        let is_outdated = now.since(peers.heard) > PEER_BELIEVED_MS;
        if position < peers.position && !is_outdated {
            return;
        }
        if position != peers.position {
            peers.domains.clear();
        }
        peers.position = position;
        peers.heard = now;
        for domain in domains {
            if peers.domains.len() < PEER_DOMAINS_MAX
                || peers.domains.contains_key(&domain)
            {
                peers.domains.insert(domain, now);
            }
        }
    }

    /// Returns the digests of the domains that the log names, at most `max`, for the
    /// peers.
    pub fn logged(&self, max: usize) -> Vec<u64> {
        let domains = self.requested.keys().take(max);
        domains.map(|domain| digest_text(domain)).collect()
    }

    /// Returns the digests of the evacuated domains, as of the last
    /// [`Evacuations::refresh`].
    pub fn active(&self) -> impl Iterator<Item = u64> {
        self.active.keys().copied()
    }

    /// Determines the evacuations that are in effect at `now`, and returns those that
    /// started or ended.
    pub fn refresh(&mut self, now: Millis) -> Vec<EvacuationChange> {
        let mut active: BTreeMap<u64, (Option<String>, EvacuationSource)> =
            BTreeMap::new();
        if self.read_to < self.peers.position {
            let believed = self.peers.domains.iter();
            let believed =
                believed.filter(|(_, heard)| now.since(**heard) <= PEER_BELIEVED_MS);
            active.extend(
                believed.map(|(digest, _)| (*digest, (None, EvacuationSource::Peer))),
            );
        }
        active.extend(self.requested.keys().map(|domain| {
            let known = (Some(domain.clone()), EvacuationSource::Log);
            (digest_text(domain), known)
        }));
        let mut changes = Vec::new();
        for (digest, domain) in &self.active {
            if !active.contains_key(digest) {
                changes.push(EvacuationChange {
                    domain_digest: *digest,
                    domain: domain.clone(),
                    started: None,
                });
            }
        }
        for (digest, (domain, source)) in &active {
            if !self.active.contains_key(digest) {
                changes.push(EvacuationChange {
                    domain_digest: *digest,
                    domain: domain.clone(),
                    started: Some(*source),
                });
            }
        }
        let names = active.into_iter();
        self.active = names.map(|(digest, (name, _))| (digest, name)).collect();
        changes
    }
}
