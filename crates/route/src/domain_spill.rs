//! How much of a failure domain's load is sent to other domains.
//!
//! The load: the demand of each domain moves by 55% within 17 s, with a different phase
//! in each, so that one domain's endpoints are too few while a neighbour's are not busy.
//! Traffic between domains is slower and has a price. All gateways of a domain see the
//! same idle neighbour, with a delay: if each sent there what is cheaper there now, they
//! would all switch at once, overload the neighbour and switch back.
//!
//! A request is therefore sent to another domain only if that pays for the request
//! itself, and if it is among the random part, the *share*, that may go there. The share
//! follows the average gain of recent requests that home had no room for, by bounded
//! steps, and stays under a bound that falls as soon as the other domain has no room. A
//! request goes home at once if there is room, whatever the share; it crosses for a
//! cached prefix if reading its prompt at home costs more than the crossing. See `docs/design/deployment.md`.

use std::collections::BTreeMap;

use clock::Millis;

/// Time between two steps of a share, ms; the time between two statuses of a peer, so
/// that each step sees the effect of an earlier one.
const STEP_MS: u64 = 200;

/// Maximum rise of a share in one step. The full share is reached within 2 s, against
/// 17 s in which the demand changes.
const STEP_UP_MAX: f64 = 0.1;

/// Maximum fall of a share in one step.
const STEP_DOWN_MAX: f64 = 0.15;

/// Part of the difference between a share and the mean gain that one step closes.
const STEP_PART: f64 = 0.3;

/// Part of the requests that may find no room in a domain before its share falls.
const NO_ROOM_MAX: f64 = 0.3;

/// Factor by which a share falls in a step that found no room in the other domain.
const CEILING_FALL: f64 = 0.85;

/// Rise of the bound on a share in each step that found room. In the trial of one
/// overloaded domain, 0.01 left its mean delay at 266 ms instead of 88 ms.
const CEILING_RISE: f64 = 0.02;

/// Factor by which a share falls in a step without a request that home had no room for.
const IDLE_FALL: f64 = 0.95;

/// Maximum share of one domain's requests that is sent to one other domain.
const SHARE_MAX: f64 = 0.8;

/// Maximum share that is sent to all other domains together.
const SHARES_MAX: f64 = 0.9;

/// Maximum wait in another domain, with the crossing and its price, relative to the wait
/// at home: the neighbour's own requests never wait for as long as those of the
/// overloaded domain.
const AWAY_WAIT_MAX: f64 = 0.75;

/// Maximum wait for others in another domain that a request accepts for a cached prefix,
/// relative to what it saves there.
const PREFIX_WAIT_MAX: f64 = 0.6;

/// Time without a request after which a share is forgotten, ms.
const SHARE_EXPIRY_MS: u64 = 2_000;

/// Change of a share that is worth a log line.
const REPORTED_CHANGE: f64 = 0.1;

/// Maximum number of pairs of a service and a domain, since announcements of endpoints
/// are not bounded.
const PAIRS_MAX: usize = 1_024;

/// What the best endpoint of one domain offers to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainOffer {
    /// Name of the domain.
    pub domain: String,
    /// Predicted time to the first event, with the crossing, ms.
    pub wait_ms: f64,
    /// Predicted cost, with the crossing and the delay of other requests, ms. It covers
    /// the prefixes that are cached there.
    pub cost_ms: f64,
    /// Part of the cost for reading the request's own prompt, as far as it is not cached
    /// there, ms.
    pub prompt_ms: f64,
    /// Whether the endpoint can take the request without delaying others by much.
    pub has_room: bool,
    /// Whether the load of the endpoint over all gateways is known.
    pub is_load_known: bool,
}

/// Why a request is sent to another domain. The text is the reason in metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrossReason {
    /// No endpoint of its own domain can take it.
    NoHomeEndpoint,
    /// Reading its prompt at home takes longer than the crossing is worth.
    CachedPrefix,
    /// It is served sooner there, although the crossing has a price.
    Overload,
}

impl CrossReason {
    /// Returns the reason as it is written in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            CrossReason::NoHomeEndpoint => "no_home_endpoint",
            CrossReason::CachedPrefix => "cached_prefix",
            CrossReason::Overload => "overload",
        }
    }
}

/// A change of a share that is worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Name of the service.
    pub service: String,
    /// The other domain.
    pub domain: String,
    /// The share that was reported before.
    pub before: f64,
    /// The share that holds now.
    pub share: f64,
}

/// What is known about one service and one other domain.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    share: f64,
    /// Bound on the share by the room that was found there.
    ceiling: f64,
    reported: f64,
    /// Requests since the last step that home had no room for, the sum of their
    /// relative gains, and how many of them found no room there either.
    requests: u32,
    gain_sum: f64,
    no_room: u32,
    stepped: Millis,
    updated: Millis,
}

/// The shares of one gateway, by service and other domain.
#[derive(Clone, Debug, Default)]
pub struct DomainSpill {
    ms_per_mb: f64,
    pairs: BTreeMap<String, BTreeMap<String, Pair>>,
}

impl DomainSpill {
    /// Creates shares of zero. `ms_per_mb` is the delay that is worth as much as a
    /// megabyte between two domains.
    pub fn new(ms_per_mb: f64) -> Self {
        DomainSpill {
            ms_per_mb,
            pairs: BTreeMap::new(),
        }
    }

    /// Returns the price of `bytes` between two domains, ms.
    pub fn price_ms(&self, bytes: u64) -> f64 {
        bytes as f64 / 1e6 * self.ms_per_mb
    }

    /// Returns the share of requests for `service` that may be sent to `domain`.
    pub fn share(&self, service: &str, domain: &str, now: Millis) -> f64 {
        let pair = self.pairs.get(service).and_then(|pairs| pairs.get(domain));
        pair.filter(|pair| now.since(pair.updated) < SHARE_EXPIRY_MS)
            .map_or(0.0, |pair| pair.share)
    }

    /// Selects the other domain that gets a request of `bytes`, as an index into
    /// `others`; `None` keeps it at home. `random` is uniform in 0 to 1.
    ///
    /// `home` is `None` if no endpoint of the own domain can take the request: only then
    /// it may go where no load is known.
    pub fn choose(
        &self,
        service: &str,
        home: Option<&DomainOffer>,
        others: &[DomainOffer],
        bytes: u64,
        random: f64,
        now: Millis,
    ) -> Option<(usize, CrossReason)> {
        let Some(home) = home else {
            let is_open = |offer: &DomainOffer| offer.is_load_known && offer.has_room;
            let best = others.iter().enumerate().min_by(|(_, a), (_, b)| {
                let open = is_open(b).cmp(&is_open(a));
                open.then(a.cost_ms.total_cmp(&b.cost_ms))
            });
            return best.map(|(index, _)| (index, CrossReason::NoHomeEndpoint));
        };
        let price_ms = self.price_ms(bytes);
        let cached = others.iter().enumerate().filter_map(|(index, other)| {
            Some((index, prefix_gain_ms(home, other, price_ms)?))
        });
        if let Some((index, _)) = cached.max_by(|a, b| a.1.total_cmp(&b.1)) {
            return Some((index, CrossReason::CachedPrefix));
        }
        if home.has_room {
            return None;
        }
        // Each domain has an interval of its own, so that a request follows one share.
        let mut end = 0.0;
        for (index, other) in others.iter().enumerate() {
            let start = end;
            end += self.share(service, &other.domain, now);
            if (start..end).contains(&random) {
                let pays = gain(home, other, price_ms) > 0.0;
                return pays.then_some((index, CrossReason::Overload));
            }
        }
        None
    }

    /// Records what was offered to a request of `bytes`, and moves the shares; returns
    /// those that have changed by more than a tenth since they were last returned.
    pub fn record(
        &mut self,
        service: &str,
        home: &DomainOffer,
        others: &[DomainOffer],
        bytes: u64,
        now: Millis,
    ) -> Vec<ShareChange> {
        let price_ms = self.price_ms(bytes);
        let mut changes = Vec::new();
        for other in others {
            if !self.has_room(service, &other.domain, now) {
                continue;
            }
            let pairs = self.pairs.entry(service.to_owned()).or_default();
            let sum: f64 = pairs.values().map(|pair| pair.share).sum();
            let pair = pairs.entry(other.domain.clone()).or_insert(Pair {
                ceiling: SHARE_MAX,
                stepped: now,
                updated: now,
                ..Pair::default()
            });
            let left = SHARES_MAX - (sum - pair.share);
            pair.record(home, other, price_ms, left, now);
            if !other.is_load_known {
                pair.share = 0.0;
            }
            if (pair.share - pair.reported).abs() > REPORTED_CHANGE {
                changes.push(ShareChange {
                    service: service.to_owned(),
                    domain: other.domain.clone(),
                    before: pair.reported,
                    share: pair.share,
                });
                pair.reported = pair.share;
            }
        }
        changes
    }

    /// Whether the pair is known or there is room for it.
    fn has_room(&mut self, service: &str, domain: &str, now: Millis) -> bool {
        let known = self.pairs.get(service);
        if known.is_some_and(|pairs| pairs.contains_key(domain)) {
            return true;
        }
        let count =
            |spill: &Self| spill.pairs.values().map(BTreeMap::len).sum::<usize>();
        if count(self) >= PAIRS_MAX {
            self.pairs.retain(|_, pairs| {
                pairs.retain(|_, pair| now.since(pair.updated) < SHARE_EXPIRY_MS);
                !pairs.is_empty()
            });
        }
        count(self) < PAIRS_MAX
    }
}

/// Returns what a request saves by crossing for a cached prefix, ms; `None` if it may
/// not. What it has to wait for there counts, but not what it would wait for at home, so
/// that an overload at home does not follow the prefixes.
fn prefix_gain_ms(
    home: &DomainOffer,
    other: &DomainOffer,
    price_ms: f64,
) -> Option<f64> {
    let saved_ms = home.prompt_ms - other.prompt_ms - price_ms;
    let waits_ms = other.cost_ms - other.prompt_ms;
    let pays = other.is_load_known && waits_ms < saved_ms * PREFIX_WAIT_MAX;
    pays.then_some(saved_ms - waits_ms)
}

/// Returns the part of the cost at home that a request saves in the other domain, 0 to
/// 1; zero if it may not go there.
fn gain(home: &DomainOffer, other: &DomainOffer, price_ms: f64) -> f64 {
    let may_go = !home.has_room
        && other.has_room
        && other.is_load_known
        && other.wait_ms + price_ms <= home.wait_ms * AWAY_WAIT_MAX;
    if !may_go || home.cost_ms <= 0.0 {
        return 0.0;
    }
    let saved_ms = home.cost_ms - other.cost_ms - price_ms;
    (saved_ms / home.cost_ms).clamp(0.0, 1.0)
}

impl Pair {
    /// Records what was offered to a request, and moves the share if a step is due. The
    /// share stays under `left`.
    fn record(
        &mut self,
        home: &DomainOffer,
        other: &DomainOffer,
        price_ms: f64,
        left: f64,
        now: Millis,
    ) {
        if now.since(self.updated) >= SHARE_EXPIRY_MS {
            self.share = 0.0;
            self.start_step(now);
        }
        self.updated = now;
        if !home.has_room {
            self.requests += 1;
            self.gain_sum += gain(home, other, price_ms);
            self.no_room += u32::from(!other.has_room);
        }
        if now.since(self.stepped) < STEP_MS {
            return;
        }
        let requests = f64::from(self.requests);
        let no_room = f64::from(self.no_room);
        if self.requests > 0 && no_room > NO_ROOM_MAX * requests {
            self.ceiling = self.share * CEILING_FALL;
        } else {
            self.ceiling = (self.ceiling + CEILING_RISE).min(SHARE_MAX);
        }
        if self.requests == 0 {
            self.share *= IDLE_FALL;
        } else {
            let step = (self.gain_sum / requests - self.share) * STEP_PART;
            self.share += step.clamp(-STEP_DOWN_MAX, STEP_UP_MAX);
        }
        self.share = self.share.min(self.ceiling).min(left).max(0.0);
        self.start_step(now);
    }

    fn start_step(&mut self, now: Millis) {
        self.requests = 0;
        self.gain_sum = 0.0;
        self.no_room = 0;
        self.stepped = now;
    }
}
