//! Endpoints of the gateway: which one takes a request.
//!
//! The load pattern it answers: long prompts that share their beginnings, sent
//! by many gateways at once.  A prompt's shared parts are read once by each
//! engine that sees them, so that a subject that is spread over all engines
//! costs several times its work; a subject kept on one engine queues there
//! while others idle.  [`Pool::pick`] weighs the two in ms.  See
//! `docs/design/deployment.md`.

use std::collections::{BTreeMap, HashMap};

use catalog::{Endpoint, EndpointState};
use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::health::{Health, HealthSample};

/// Time that a plain service takes for a request, ms.
const PLAIN_WORK_MS: f64 = 20.0;

/// How likely an endpoint has a subject's parts from a gateway that is not
/// heard, by its place in the subject's order.
const HOME_CACHED: [f64; 2] = [0.9, 0.4];

/// Delay of a call to another failure domain, ms.
const FAR_MS: f64 = 2.0;

/// Time for which an engine is trusted to keep a part that it read.
const CACHED_FOR_MS: u64 = 12_000;

/// Most parts remembered for one endpoint.
const PARTS_MAX: usize = 512;

/// Time after the log's return for which a missing endpoint may still serve:
/// those that live announce themselves again within it.
const LAPSE_GRACE_MS: u64 = 2_000;

/// What waits weigh.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Prompt tokens that an engine reads in one ms at pace 1.
    pub prefill_tokens_per_ms: f64,
    /// Delay that one running request adds for a new one, ms.
    pub running_ms: f64,
    /// What a ms of reading weighs besides the request's own wait: it delays
    /// all that run there.
    pub read_weight: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Costs {
            prefill_tokens_per_ms: 60.0,
            running_ms: 6.0,
            read_weight: 4.0,
        }
    }
}

impl Costs {
    /// Time in which an engine reads so many tokens, ms.
    fn read_ms(&self, ask: &PickRequest<'_>, tokens: u32) -> f64 {
        f64::from(tokens) * ask.pace / self.prefill_tokens_per_ms
    }
}

/// What a request asks of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct PickRequest<'a> {
    /// Service.
    pub service: &'a str,
    /// Failure domain of the gateway.
    pub failure_domain: &'a str,
    /// Model, as a salt of what is cached.
    pub model: &'a str,
    /// Work of the model relative to a middle one.
    pub pace: f64,
    /// Prompt parts, each as the digest of all parts up to it, and its length.
    pub parts: &'a [(u64, u32)],
    /// Tokens of the whole prompt.
    pub tokens_in: u32,
    /// Endpoints that were tried already.
    pub tried: &'a [String],
    /// Versions that may serve.
    pub versions: VersionFilter<'a>,
}

impl PickRequest<'_> {
    /// Tokens that an endpoint would have to read that has `cached` of them.
    ///
    /// What no gateway that is heard sent anywhere, another may have sent there:
    /// so `likely` are the parts that nothing is known of.
    fn uncached(&self, cached: u32, likely: f64) -> u32 {
        let shared: u32 = shared_parts(self.parts).iter().map(|(_, n)| n).sum();
        let unknown = shared.saturating_sub(cached);
        let likely = (f64::from(unknown) * likely) as u32;
        self.tokens_in.saturating_sub(cached + likely)
    }
}

/// Which versions of a service may take a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum VersionFilter<'a> {
    /// Any.
    #[default]
    Any,
    /// Only this one.
    Only(&'a str),
    /// Any but this one.
    Not(&'a str),
}

impl VersionFilter<'_> {
    /// Whether `version` may serve.
    pub fn allows(self, version: &str) -> bool {
        match self {
            VersionFilter::Any => true,
            VersionFilter::Only(only) => only == version,
            VersionFilter::Not(not) => not != version,
        }
    }
}

/// An endpoint that was picked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Tokens of the prompt that it has to read.
    pub uncached_tokens: u32,
    /// Predicted wait before the first event, ms.
    pub wait_ms: u64,
    /// Own requests that ran there already.
    pub running: u32,
    /// Requests of other gateways there.
    pub peer_requests: u32,
}

#[derive(Clone, Debug)]
struct Row {
    endpoint: Endpoint,
    health: Health,
    /// Own requests under way.
    running: u32,
    /// Prompt tokens of own requests that have no first event yet.
    reading_tokens: f64,
    /// Requests of other gateways, as they said last.
    elsewhere: u32,
    /// Tokens that those still have to read.
    elsewhere_tokens: f64,
    /// When it last answered anything.
    answered: Millis,
    digest: u64,
    parts: HashMap<u64, Millis>,
    missing: bool,
}

/// Whose requests a gateway hears of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PeerCoverage {
    /// Those of some gateways.
    #[default]
    Partial,
    /// Those of all: what none of them sent has not been read.
    Complete,
}

/// A request that was sent, as gateways tell each other of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DispatchNotice {
    /// Digest of the endpoint's id.
    pub endpoint_digest: u64,
    /// Digest of the prompt's shared parts and of the model that read them.
    pub prefix_digest: u64,
    /// Tokens to read, as many as a middle model would read in the time.
    pub tokens: u32,
}

/// Every endpoint that is known, in id order.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    costs: Costs,
    rows: BTreeMap<String, Row>,
    /// Ids by their digests.
    ids: HashMap<u64, String>,
    hearing: PeerCoverage,
    lapses_until: Option<Millis>,
}

impl Pool {
    /// An empty pool that weighs waits by `costs`.
    pub fn new(costs: Costs) -> Self {
        Pool {
            costs,
            ..Pool::default()
        }
    }

    /// Takes an announcement; returns whether it says anything new.
    ///
    /// An older incarnation's late word changes nothing; a later one starts
    /// without any of what was known of the earlier.
    pub fn announce(&mut self, endpoint: Endpoint) -> bool {
        let Some(row) = self.rows.get_mut(&endpoint.id) else {
            let digest = digest_text(&endpoint.id);
            self.ids.insert(digest, endpoint.id.clone());
            self.rows.insert(endpoint.id.clone(), Row::new(endpoint));
            return true;
        };
        if endpoint.born_ms < row.endpoint.born_ms {
            return false;
        }
        let reborn = endpoint.born_ms > row.endpoint.born_ms;
        let moved = endpoint.address != row.endpoint.address;
        if reborn || moved {
            let running = row.running;
            *row = Row::new(endpoint);
            row.running = running;
            return true;
        }
        row.missing = false;
        let changed = row.endpoint != endpoint;
        row.endpoint = endpoint;
        changed
    }

    /// Takes that an endpoint is no longer listed.
    pub fn withdraw(&mut self, id: &str, now: Millis) {
        let lapsing = self.lapses_until.is_some_and(|until| now < until);
        match self.rows.get_mut(id) {
            Some(row) if lapsing => row.missing = true,
            _ => self.remove(id),
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(row) = self.rows.remove(id) {
            self.ids.remove(&row.digest);
        }
    }

    /// Takes that the list cannot be read: entries may lapse meanwhile.
    pub fn discovery_lost(&mut self) {
        self.lapses_until = Some(Millis(u64::MAX));
    }

    /// Takes that the list can be read again.
    pub fn discovery_restored(&mut self, now: Millis) {
        self.lapses_until = Some(now.plus(LAPSE_GRACE_MS));
    }

    /// Drops what stayed missing after the list came back; returns its ids.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        let over = self.lapses_until.is_some_and(|until| now >= until);
        if !over {
            return Vec::new();
        }
        self.lapses_until = None;
        let gone = self.rows.iter().filter(|(_, row)| row.missing);
        let gone: Vec<String> = gone.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.remove(id);
        }
        gone
    }

    /// The endpoint `id`.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.rows.get(id).map(|row| &row.endpoint)
    }

    /// How many endpoints are known.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Picks the endpoint with the least predicted wait.
    pub fn pick(&self, ask: &PickRequest<'_>, now: Millis) -> Option<Pick> {
        let fit = |row: &&Row| {
            let endpoint = &row.endpoint;
            endpoint.service == ask.service
                && endpoint.state == EndpointState::Ready
                && ask.versions.allows(&endpoint.version)
                && !ask.tried.contains(&endpoint.id)
        };
        let fits: Vec<&Row> = self.rows.values().filter(fit).collect();
        let healthy = fits
            .iter()
            .filter(|row| row.health.is_available(now))
            .count();
        // With fewer than half in, more is lost by crowding than by failures.
        let all = healthy * 2 < fits.len();
        let mut usable: Vec<&Row> = fits
            .into_iter()
            .filter(|row| all || row.health.is_available(now))
            .collect();
        // The same order at every gateway: the first is the subject's home.
        usable.sort_by_cached_key(|row| row.rank(ask));
        let parts = salted_parts(ask);
        let usable: Vec<(&Row, u32)> = usable
            .into_iter()
            .map(|row| (row, row.cached(&parts, now)))
            .collect();
        let held = usable.iter().any(|(_, cached)| *cached > 0);
        let unheard = if held { [0.0; 2] } else { HOME_CACHED };
        usable
            .into_iter()
            .enumerate()
            .map(|(place, (row, cached))| {
                let likely = unheard.get(place).copied().unwrap_or(0.0);
                let hoped = ask.uncached(cached, likely);
                let weight = row.weight_ms(&self.costs, ask, hoped, now);
                let uncached = match self.hearing {
                    PeerCoverage::Complete => ask.uncached(cached, 0.0),
                    PeerCoverage::Partial => hoped,
                };
                (row, uncached, weight)
            })
            .min_by(|a, b| a.2.total_cmp(&b.2))
            .map(|(row, uncached_tokens, _)| Pick {
                endpoint: row.endpoint.clone(),
                uncached_tokens,
                wait_ms: row.wait_ms(&self.costs, ask, uncached_tokens) as u64,
                running: row.running,
                peer_requests: row.elsewhere,
            })
    }

    /// Takes that a request was sent to `id`; returns what to tell the other
    /// gateways of it.
    pub fn record_dispatch(
        &mut self,
        id: &str,
        ask: &PickRequest<'_>,
        uncached_tokens: u32,
        now: Millis,
    ) -> Option<DispatchNotice> {
        let row = self.rows.get_mut(id)?;
        let tokens = f64::from(uncached_tokens) * ask.pace;
        row.running += 1;
        row.reading_tokens += tokens;
        row.hold(salted_parts(ask).into_iter().map(|(part, _)| part), now);
        Some(DispatchNotice {
            endpoint_digest: row.digest,
            prefix_digest: salted(subject(ask.parts)?, ask.model),
            tokens: tokens as u32,
        })
    }

    /// Takes whose requests are heard of.
    pub fn set_peer_coverage(&mut self, hearing: PeerCoverage) {
        self.hearing = hearing;
    }

    /// Takes what another gateway sent.
    pub fn record_peer_dispatch(&mut self, sent: &DispatchNotice, now: Millis) {
        let id = self.ids.get(&sent.endpoint_digest);
        let Some(row) = id.and_then(|id| self.rows.get_mut(id)) else {
            return;
        };
        row.elsewhere = row.elsewhere.saturating_add(1);
        row.elsewhere_tokens += f64::from(sent.tokens);
        row.hold([sent.prefix_digest], now);
    }

    /// Takes that the first part of an answer came, or will not come.
    pub fn record_prefill_end(&mut self, id: &str, uncached_tokens: u32, pace: f64) {
        if let Some(row) = self.rows.get_mut(id) {
            let read = f64::from(uncached_tokens) * pace;
            row.reading_tokens = (row.reading_tokens - read).max(0.0);
        }
    }

    /// Takes that a request at `id` ended, for the number under way.
    pub fn record_end(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.running = row.running.saturating_sub(1);
        }
    }

    /// Takes how an attempt at `id` went; returns a change of belief.
    pub fn record_health(
        &mut self,
        id: &str,
        verdict: HealthSample,
        now: Millis,
    ) -> Option<u64> {
        let row = self.rows.get_mut(id)?;
        row.health.record(verdict, now)
    }

    /// Own requests under way at each endpoint, by the digest of its id, and
    /// the tokens that these still have to read.
    pub fn own_load(&self) -> Vec<(u64, u32, u32)> {
        let busy = self.rows.values().filter(|row| row.running > 0);
        busy.map(|row| (row.digest, row.running, row.reading_tokens as u32))
            .collect()
    }

    /// Own requests under way at endpoints of `service` besides `version`.
    pub fn running_on_other_versions(&self, service: &str, version: &str) -> u32 {
        let others = self.rows.values().filter(|row| {
            row.endpoint.service == service && row.endpoint.version != version
        });
        others.map(|row| row.running).sum()
    }

    /// Takes what other gateways run, by the digest of the endpoint's id.
    pub fn set_peer_load(&mut self, running: &HashMap<u64, (u32, u32)>) {
        for row in self.rows.values_mut() {
            let (count, tokens) = running.get(&row.digest).copied().unwrap_or_default();
            row.elsewhere = count;
            row.elsewhere_tokens = f64::from(tokens);
        }
    }

    /// Takes that `id` gave some sign of life.
    pub fn record_activity(&mut self, id: &str, now: Millis) {
        if let Some(row) = self.rows.get_mut(id) {
            row.answered = now;
        }
    }

    /// When `id` last gave a sign of life.
    pub fn last_activity(&self, id: &str) -> Option<Millis> {
        self.rows.get(id).map(|row| row.answered)
    }
}

impl Row {
    fn new(endpoint: Endpoint) -> Self {
        let digest = digest_text(&endpoint.id);
        Row {
            endpoint,
            health: Health::default(),
            running: 0,
            reading_tokens: 0.0,
            elsewhere: 0,
            elsewhere_tokens: 0.0,
            answered: Millis::default(),
            digest,
            parts: HashMap::new(),
            missing: false,
        }
    }

    /// Takes that it reads parts, by their salted digests.
    fn hold<I>(&mut self, parts: I, now: Millis)
    where
        I: IntoIterator<Item = u64>,
    {
        if self.parts.len() >= PARTS_MAX {
            self.parts
                .retain(|_, used| now.since(*used) < CACHED_FOR_MS);
        }
        if self.parts.len() < PARTS_MAX {
            self.parts.extend(parts.into_iter().map(|part| (part, now)));
        }
    }

    /// Tokens of the salted `parts` that it was sent before.
    ///
    /// A part's digest is over all before it, which it holds as well then.
    fn cached(&self, parts: &[(u64, u32)], now: Millis) -> u32 {
        let known = |(part, _): &(u64, u32)| {
            let used = self.parts.get(part);
            used.is_some_and(|used| now.since(*used) < CACHED_FOR_MS)
        };
        let last = parts.iter().rposition(known);
        let held = last.map_or(&[][..], |last| &parts[..=last]);
        held.iter().map(|(_, tokens)| tokens).sum()
    }

    fn wait_ms(&self, costs: &Costs, ask: &PickRequest<'_>, uncached: u32) -> f64 {
        let own = self.reading_tokens + f64::from(uncached) * ask.pace;
        let reading = own + self.elsewhere_tokens;
        let running = f64::from(self.running + self.elsewhere);
        let far = self.endpoint.domain != ask.failure_domain;
        let slots = f64::from(self.endpoint.slots.max(1));
        let crowding = if ask.parts.is_empty() {
            // A plain service queues behind its few slots.
            running / slots * PLAIN_WORK_MS
        } else {
            running * costs.running_ms
        };
        let wait = reading / costs.prefill_tokens_per_ms + crowding;
        wait + if far { FAR_MS } else { 0.0 }
    }

    /// What sending the request here weighs, to it and to others, ms.
    fn weight_ms(
        &self,
        costs: &Costs,
        ask: &PickRequest<'_>,
        uncached: u32,
        now: Millis,
    ) -> f64 {
        let wait = self.wait_ms(costs, ask, uncached);
        let read_ms = costs.read_ms(ask, uncached);
        wait + read_ms * costs.read_weight + self.health.penalty_ms(now)
    }

    /// Orders endpoints for a subject in the same way at every gateway.
    fn rank(&self, ask: &PickRequest<'_>) -> u64 {
        let subject = subject(ask.parts).unwrap_or(0);
        salted(mix(self.digest ^ subject), ask.model)
    }
}

/// All parts but the last, which is the request's own.
fn shared_parts(parts: &[(u64, u32)]) -> &[(u64, u32)] {
    &parts[..parts.len().saturating_sub(1)]
}

fn subject(parts: &[(u64, u32)]) -> Option<u64> {
    shared_parts(parts).last().map(|(digest, _)| *digest)
}

/// Digests of a prompt's parts, each over all parts up to it.
pub fn prefix_digests<I>(parts: I) -> Vec<(u64, u32)>
where
    I: IntoIterator<Item = (u64, u32)>,
{
    let mut digest = 0;
    let chained = parts.into_iter().map(|(id, tokens)| {
        digest = mix(digest ^ id);
        (digest, tokens)
    });
    chained.collect()
}

/// A digest of text that is the same in every process.
pub fn digest_text(text: &str) -> u64 {
    text.bytes()
        .fold(0, |digest, byte| mix(digest ^ u64::from(byte)))
}

/// The parts of a prompt as the asked model caches them.
fn salted_parts(ask: &PickRequest<'_>) -> Vec<(u64, u32)> {
    let parts = ask.parts.iter();
    let salted = parts.map(|(digest, tokens)| (salted(*digest, ask.model), *tokens));
    salted.collect()
}

fn salted(digest: u64, model: &str) -> u64 {
    model
        .bytes()
        .fold(digest, |digest, byte| mix(digest ^ u64::from(byte)))
}

/// The finalizer of splitmix64.
fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
