//! The choice of owners among the members that are heard.

use std::{cmp::Reverse, net::SocketAddr};

use route::{digest_text, rendezvous_weight};

/// A gateway that may own keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member {
    address: SocketAddr,
    /// Digest of the address, kept since each choice needs that of every member.
    digest: u64,
}

impl Member {
    /// Creates the member at `address`, which must be the same at all gateways.
    pub fn new(address: SocketAddr) -> Self {
        Member {
            address,
            digest: digest_text(&address.to_string()),
        }
    }

    /// Returns the address at which its peers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the rank for `key`; the highest one owns it. Equal weights are told apart
    /// by address, so that the order in which members are listed makes no difference.
    fn rank(&self, key: u64) -> (u64, SocketAddr) {
        (rendezvous_weight(self.digest, key), self.address)
    }
}

/// Returns the member that owns `key`; `None` if there are no members. A member that
/// comes or goes changes the owners of its own keys only.
pub fn owner<I>(members: I, key: u64) -> Option<SocketAddr>
where
    I: IntoIterator<Item = Member>,
{
    let chosen = members.into_iter().max_by_key(|member| member.rank(key));
    chosen.map(|member| member.address)
}

/// Returns the first `count` owners of `key`, in the order in which they take over from
/// each other; fewer if there are not as many members.
pub fn owners<I>(members: I, key: u64, count: usize) -> Vec<SocketAddr>
where
    I: IntoIterator<Item = Member>,
{
    let mut members: Vec<Member> = members.into_iter().collect();
    members.sort_by_key(|member| Reverse(member.rank(key)));
    let addresses = members.into_iter().map(|member| member.address);
    addresses.take(count).collect()
}

/// Returns the fraction of the fleet that a gateway hears, from 0 to 1.
///
/// `heard` is the number of gateways that are heard now, and `fleet` the number of those
/// that were heard within a longer time; both count the gateway itself. What all gateways
/// together may do is scaled by this fraction at each owner, so that the owners on the two
/// sides of a cut grant no more than one owner would.
pub fn heard_fraction(heard: usize, fleet: usize) -> f64 {
    let heard = heard.max(1);
    heard as f64 / fleet.max(heard) as f64
}
