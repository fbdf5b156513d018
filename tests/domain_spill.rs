//! Spillover to other failure domains: the shares under the load that they are made
//! for, with simulated time.

use std::{
    collections::{HashMap, VecDeque},
    f64::consts::TAU,
};

use catalog::Endpoint;
use clock::Millis;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{
    AnnouncedAt, Costs, CrossReason, DomainOffer, DomainSpill, PeerCoverage, Pick,
    PickRequest, Pool, digest_text, prefix_digests,
};
use standin::{Action, ScriptedEndpoint};

use crate::util::{
    endpoints::endpoint,
    gateway_harness::{TestPlatform, request as http_request, send},
};

const DOMAINS: usize = 3;

/// Gateways of each domain.
const GATEWAYS: usize = 20;

/// Time after which all gateways learn the load of an endpoint, ms.
const KNOWN_AFTER_MS: u64 = 200;

/// Engine time of a request whose prefix is cached, ms, and of one whose is not.
const CACHED_MS: f64 = 10.0;
const UNCACHED_MS: f64 = 25.0;

/// Time for which a prefix stays cached, ms.
const PREFIX_KEPT_MS: u64 = 12_000;

/// Price of a crossing of each request, by 20 kB and 1,000 ms a MB, ms.
const BYTES: u64 = 20_000;
const MS_PER_MB: f64 = 1_000.0;

/// Time of a crossing and back, ms.
const CROSSING_MS: f64 = 2.0;

/// How a gateway chooses the domain of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    /// The lowest predicted cost with a constant for the crossing.
    Constant,
    /// [`DomainSpill`].
    Shares,
    /// Every request stays in its domain.
    Home,
}

/// Demand of a domain at a time, relative to what its engines can serve.
type Demand = fn(usize, f64) -> f64;

/// Moves by 55% of its maximum within 17 s, in another phase in each domain.
fn moving_demand(domain: usize, second: f64) -> f64 {
    let phase = domain as f64 / DOMAINS as f64;
    0.75 * (1.0 + 0.38 * (TAU * (second / 34.0 + phase)).sin())
}

/// Domain 0 has half more than it can serve, from 10 s to 40 s; the others have room.
fn one_overloaded(domain: usize, second: f64) -> f64 {
    match domain {
        0 if (10.0..40.0).contains(&second) => 1.5,
        _ => 0.6,
    }
}

/// Domain 0 has more than all domains together can serve, from 10 s to 40 s.
fn one_beyond_all(domain: usize, second: f64) -> f64 {
    match domain {
        0 if (10.0..40.0).contains(&second) => 3.0,
        _ => 0.6,
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// Delays by the domain in which the request arrived, ms.
    delays: [Vec<f64>; DOMAINS],
    crossed_bytes: u64,
    crossed: [u32; DOMAINS],
    /// Requests that crossed, by second.
    crossed_by_second: Vec<u32>,
    /// Mean share of the gateways of domain 0 that goes elsewhere, every 200 ms.
    shares: Vec<f64>,
}

impl Outcome {
    fn mean_ms(&self) -> f64 {
        let all: Vec<f64> = self.delays.iter().flatten().copied().collect();
        all.iter().sum::<f64>() / all.len() as f64
    }

    fn percentile_ms(&self, domains: std::ops::Range<usize>, part: f64) -> f64 {
        let mut all: Vec<f64> =
            self.delays[domains].iter().flatten().copied().collect();
        all.sort_by(f64::total_cmp);
        all[((all.len() - 1) as f64 * part) as usize]
    }
}

/// One engine for each domain, which works on its queue at a constant rate.
struct Engines {
    free_at: [f64; DOMAINS],
    /// Queues as they were, for the gateways that learn them late.
    seen: VecDeque<(u64, [f64; DOMAINS])>,
    prefixes: [HashMap<u64, u64>; DOMAINS],
}

impl Engines {
    fn backlog_ms(&self, domain: usize, now: u64) -> f64 {
        (self.free_at[domain] - now as f64).max(0.0)
    }

    fn is_cached(&self, domain: usize, prefix: u64, now: u64) -> bool {
        let used = self.prefixes[domain].get(&prefix);
        used.is_some_and(|used| now - used < PREFIX_KEPT_MS)
    }
}

/// What a gateway has sent since the load that it knows was true.
#[derive(Clone, Default)]
struct Sent(VecDeque<(u64, usize, f64)>);

fn replay(rule: Rule, demand: Demand, is_load_known: bool, seconds: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(5);
    let mut outcome = Outcome::default();
    let mut engines = Engines {
        free_at: [0.0; DOMAINS],
        seen: VecDeque::new(),
        prefixes: Default::default(),
    };
    let mut spills = vec![DomainSpill::new(MS_PER_MB); DOMAINS * GATEWAYS];
    let mut sents = vec![Sent::default(); DOMAINS * GATEWAYS];
    let names = ["a", "b", "c"];
    for now in 0..seconds * 1_000 {
        let backlogs = std::array::from_fn(|domain| engines.backlog_ms(domain, now));
        if now % KNOWN_AFTER_MS == 0 {
            engines.seen.push_back((now, backlogs));
            if engines.seen.len() > 2 {
                engines.seen.pop_front();
            }
            let shares = spills[..GATEWAYS].iter().map(|spill| {
                let others = names[1..].iter();
                others
                    .map(|domain| spill.share("s", domain, Millis(now)))
                    .sum::<f64>()
            });
            outcome.shares.push(shares.sum::<f64>() / GATEWAYS as f64);
            outcome
                .crossed_by_second
                .resize((now / 1_000) as usize + 1, 0);
        }
        for domain in 0..DOMAINS {
            let rate = demand(domain, now as f64 / 1_000.0) / CACHED_MS;
            if !rng.random_bool(rate.clamp(0.0, 1.0)) {
                continue;
            }
            let gateway = domain * GATEWAYS + rng.random_range(0..GATEWAYS);
            let prefix: u64 = rng.random_range(0..60);
            let (seen_at, seen) = engines.seen[0];
            let sent = &mut sents[gateway];
            sent.0.retain(|(at, _, _)| *at >= seen_at);
            let offers: Vec<DomainOffer> = (0..DOMAINS)
                .map(|other| {
                    let own = sent.0.iter().filter(|(_, to, _)| *to == other);
                    let own: f64 = own.map(|(_, _, work)| work).sum();
                    let wait_ms = seen[other] + own;
                    let work_ms = match engines.is_cached(other, prefix, now) {
                        true => CACHED_MS,
                        false => UNCACHED_MS,
                    };
                    let crossing_ms = if other == domain { 0.0 } else { CROSSING_MS };
                    DomainOffer {
                        domain: names[other].to_owned(),
                        wait_ms: wait_ms + work_ms + crossing_ms,
                        cost_ms: wait_ms + work_ms * 3.0 + crossing_ms,
                        prompt_ms: 0.0,
                        has_room: wait_ms <= 50.0,
                        is_load_known,
                    }
                })
                .collect();
            let mut others = offers.clone();
            let home = others.remove(domain);
            let chosen = match rule {
                Rule::Home => domain,
                Rule::Constant => (0..DOMAINS)
                    .min_by(|a, b| offers[*a].cost_ms.total_cmp(&offers[*b].cost_ms))
                    .unwrap(),
                Rule::Shares => {
                    let spill = &mut spills[gateway];
                    let random = rng.random();
                    let now = Millis(now);
                    let choice =
                        spill.choose("s", Some(&home), &others, BYTES, random, now);
                    spill.record("s", &home, &others, BYTES, now);
                    choice.map_or(domain, |(index, _)| {
                        names
                            .iter()
                            .position(|name| *name == others[index].domain)
                            .unwrap()
                    })
                }
            };
            let work_ms = match engines.is_cached(chosen, prefix, now) {
                true => CACHED_MS,
                false => UNCACHED_MS,
            };
            engines.prefixes[chosen].insert(prefix, now);
            sents[gateway].0.push_back((now, chosen, work_ms));
            let free_at = engines.free_at[chosen].max(now as f64) + work_ms;
            engines.free_at[chosen] = free_at;
            let crossing_ms = if chosen == domain { 0.0 } else { CROSSING_MS };
            outcome.delays[domain].push(free_at - now as f64 + crossing_ms);
            if chosen != domain {
                outcome.crossed_bytes += BYTES;
                outcome.crossed[domain] += 1;
                outcome.crossed_by_second[(now / 1_000) as usize] += 1;
            }
        }
    }
    outcome
}

/// Mean and standard deviation.
fn spread(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2));
    (mean, (variance.sum::<f64>() / count).sqrt())
}

/// With a constant for the crossing, gateways that all see the same idle domain send
/// there together, and most requests cross.
#[test]
fn moving_demand_crosses_less_and_waits_no_longer() {
    let constant = replay(Rule::Constant, moving_demand, true, 68);
    let shares = replay(Rule::Shares, moving_demand, true, 68);
    let home = replay(Rule::Home, moving_demand, true, 68);
    let (constant_ms, shares_ms) = (constant.mean_ms(), shares.mean_ms());
    assert!(shares_ms < constant_ms, "{shares_ms} {constant_ms}");
    assert!(shares_ms < home.mean_ms(), "{shares_ms} {}", home.mean_ms());
    let (constant_bytes, shares_bytes) = (constant.crossed_bytes, shares.crossed_bytes);
    assert!(
        shares_bytes * 4 < constant_bytes,
        "{shares_bytes} {constant_bytes}"
    );
}

/// A share that follows what was seen some time ago can rise and fall in turn without
/// end.
#[test]
fn shares_converge_under_a_constant_overload() {
    let outcome = replay(Rule::Shares, one_overloaded, true, 40);
    let settled = &outcome.shares[75..200];
    let (mean, deviation) = spread(settled);
    assert!(mean > 0.1 && deviation < mean * 0.4, "{mean} {deviation}");
    let crossed = outcome.crossed_by_second[15..40].iter();
    let crossed: Vec<f64> = crossed.map(|count| f64::from(*count)).collect();
    let (mean, deviation) = spread(&crossed);
    assert!(deviation < mean * 0.4, "{mean} {deviation}");
}

/// One domain has more than all domains can serve: without a bound, the requests of all
/// domains would wait for seconds.
#[test]
fn overload_of_one_domain_leaves_the_others_served() {
    let before = replay(Rule::Home, one_beyond_all, true, 60);
    let shares = replay(Rule::Shares, one_beyond_all, true, 60);
    let constant = replay(Rule::Constant, one_beyond_all, true, 60);
    for domain in 1..DOMAINS {
        let own_ms = shares.percentile_ms(domain..domain + 1, 0.95);
        let before_ms = before.percentile_ms(domain..domain + 1, 0.95);
        let constant_ms = constant.percentile_ms(domain..domain + 1, 0.95);
        assert!(own_ms < before_ms + 100.0, "{own_ms} {before_ms}");
        assert!(own_ms * 10.0 < constant_ms, "{own_ms} {constant_ms}");
    }
    assert!(shares.crossed[0] > 1_000, "what has room is used");
}

/// Traffic that stayed away after an overload would cost money for nothing.
#[test]
fn traffic_returns_home_when_there_is_room() {
    let outcome = replay(Rule::Shares, one_overloaded, true, 60);
    let during: u32 = outcome.crossed_by_second[12..40].iter().sum();
    let after: u32 = outcome.crossed_by_second[43..].iter().sum();
    assert!(during > 500, "{during}");
    // Bursts of the usual load still find no room now and then.
    assert!(after * 50 < during, "{after} {during}");
    let home = offer("a", 500.0, false, true);
    let other = offer("b", 20.0, true, true);
    let spill = risen(&home, &other);
    let choose = |home| {
        spill.choose("s", Some(home), std::slice::from_ref(&other), 0, 0.0, RISEN)
    };
    assert!(choose(&home).is_some());
    assert_eq!(choose(&offer("a", 500.0, true, true)), None, "at once");
}

fn offer(domain: &str, ms: f64, has_room: bool, is_load_known: bool) -> DomainOffer {
    DomainOffer {
        domain: domain.to_owned(),
        wait_ms: ms,
        cost_ms: ms,
        prompt_ms: 0.0,
        has_room,
        is_load_known,
    }
}

/// Time at which [`risen`] has recorded its last request.
const RISEN: Millis = Millis(20_000);

/// Shares after 10 s of the same offers, ten a second.
fn risen(home: &DomainOffer, other: &DomainOffer) -> DomainSpill {
    let mut spill = DomainSpill::new(MS_PER_MB);
    for step in 0..=100 {
        let now = Millis(10_000 + step * 100);
        spill.record("s", home, std::slice::from_ref(other), 0, now);
    }
    spill
}

/// The gateways of another domain are cut off: its endpoints look idle, since nobody
/// tells of their load.
#[test]
fn nothing_is_sent_where_no_load_is_known() {
    let unknown = replay(Rule::Shares, one_overloaded, false, 40);
    assert_eq!(unknown.crossed, [0; DOMAINS]);
    // A load that becomes unknown ends the share at once.
    let home = offer("a", 500.0, false, true);
    let mut spill = risen(&home, &offer("b", 20.0, true, true));
    assert!(spill.share("s", "b", RISEN) > 0.5);
    let silent = offer("b", 20.0, true, false);
    spill.record("s", &home, std::slice::from_ref(&silent), 0, RISEN);
    assert_eq!(spill.share("s", "b", RISEN), 0.0);
    assert_eq!(
        spill.choose(
            "s",
            Some(&home),
            std::slice::from_ref(&silent),
            0,
            0.0,
            RISEN
        ),
        None
    );
    // What home cannot take at all goes there still, if there is nothing better.
    let reason = CrossReason::NoHomeEndpoint;
    let choose =
        |others: &[DomainOffer]| spill.choose("s", None, others, BYTES, 0.99, RISEN);
    assert_eq!(choose(std::slice::from_ref(&silent)), Some((0, reason)));
    let known = offer("c", 90.0, true, true);
    assert_eq!(choose(&[silent, known]), Some((1, reason)));
    assert_eq!(choose(&[]), None);
}

/// A request is sent away only if the delay that it saves is worth its own bytes.
#[test]
fn price_of_a_request_keeps_it_at_home() {
    let home = offer("a", 500.0, false, true);
    let other = offer("b", 20.0, true, true);
    let spill = risen(&home, &other);
    let choose = |bytes| {
        spill.choose(
            "s",
            Some(&home),
            std::slice::from_ref(&other),
            bytes,
            0.0,
            RISEN,
        )
    };
    assert_eq!(choose(100_000), Some((0, CrossReason::Overload)));
    assert_eq!(choose(400_000), None);
    assert_eq!(
        spill.choose(
            "s",
            Some(&home),
            std::slice::from_ref(&other),
            0,
            0.99,
            RISEN
        ),
        None
    );
}

/// Where all domains use the same long prefixes, each would read them for itself. An
/// overload at home must not follow the prefixes to the neighbours.
#[test]
fn request_crosses_for_a_prefix_whose_reading_takes_longer() {
    let spill = DomainSpill::new(MS_PER_MB);
    let with_prompt = |domain: &str, waits_ms: f64, prompt_ms: f64| DomainOffer {
        prompt_ms,
        ..offer(domain, waits_ms + prompt_ms, true, true)
    };
    let choose = |home: &DomainOffer, other: DomainOffer, bytes| {
        spill.choose("s", Some(home), &[other], bytes, 0.99, RISEN)
    };
    let home = with_prompt("a", 0.0, 900.0);
    let cached = (0, CrossReason::CachedPrefix);
    assert_eq!(
        choose(&home, with_prompt("b", 10.0, 100.0), BYTES),
        Some(cached)
    );
    assert_eq!(choose(&home, with_prompt("b", 10.0, 100.0), 900_000), None);
    let overloaded = with_prompt("a", 5_000.0, 900.0);
    assert_eq!(
        choose(&overloaded, with_prompt("b", 600.0, 100.0), BYTES),
        None
    );
    let unknown = DomainOffer {
        is_load_known: false,
        ..with_prompt("b", 10.0, 100.0)
    };
    assert_eq!(choose(&home, unknown, BYTES), None);
}

/// Each change by a tenth is one log line, however many requests there are.
#[test]
fn changes_of_a_share_are_reported_by_tenths() {
    let home = offer("a", 500.0, false, true);
    let other = offer("b", 20.0, true, true);
    let mut spill = DomainSpill::new(0.0);
    let mut changes = Vec::new();
    for ms in 0..10_000 {
        let others = std::slice::from_ref(&other);
        changes.extend(spill.record("s", &home, others, 0, Millis(ms)));
    }
    assert!((2..=8).contains(&changes.len()), "{changes:?}");
    for change in &changes {
        assert!((change.share - change.before).abs() > 0.1, "{change:?}");
    }
}

/// Announcements may invent services and domains without end.
#[test]
fn number_of_shares_is_bounded() {
    let home = offer("a", 500.0, false, true);
    let mut spill = DomainSpill::new(0.0);
    let record = |spill: &mut DomainSpill, name: &str, now| {
        spill.record("s", &home, &[offer(name, 20.0, true, true)], 0, Millis(now));
    };
    for number in 0..5_000 {
        for now in [0, 300] {
            record(&mut spill, &number.to_string(), now);
        }
    }
    let known = (0..5_000)
        .filter(|number| spill.share("s", &number.to_string(), Millis(300)) > 0.0);
    assert!(known.count() <= 1_024);
    // Later ones get a place when the first have expired.
    for now in [9_000, 9_300] {
        record(&mut spill, "late", now);
    }
    assert!(spill.share("s", "late", Millis(9_300)) > 0.0);
}

/// Endpoints `a0`, `a1` and so on in each of the domains, with eight slots each.
fn pool(domains: &[&str], count: usize, ms_per_mb: f64) -> Pool {
    let mut pool = Pool::new(Costs::default()).with_cross_domain_price(ms_per_mb);
    for domain in domains {
        for number in 0..count {
            let endpoint = Endpoint {
                failure_domain: (*domain).to_owned(),
                slots: 8,
                ..endpoint(&format!("{domain}{number}"))
            };
            pool.announce(endpoint, AnnouncedAt::default());
        }
    }
    pool.set_peer_coverage(PeerCoverage::Complete);
    pool.set_fleet_heard(true);
    pool
}

fn request<'a>(random: f64, tried: &'a [String]) -> PickRequest<'a> {
    PickRequest {
        service: "s",
        failure_domain: "a",
        pace: 1.0,
        tried,
        bytes: BYTES,
        random,
        ..PickRequest::default()
    }
}

/// Picks, and records what the domains offered.
fn pick_recorded(pool: &mut Pool, request: &PickRequest<'_>, now: Millis) -> Pick {
    let pick = pool.pick(request, now).expect("an endpoint matches");
    if let Some(offers) = &pick.offers {
        pool.record_offers(request, offers, now);
    }
    pick
}

fn load(ids: &[&str], running: u32) -> HashMap<u64, (u32, u32)> {
    let digests = ids.iter().map(|id| digest_text(id));
    digests.map(|digest| (digest, (running, 0))).collect()
}

/// Gateways that keep their requests at home although it is overloaded, or send them
/// away although it is not, would make the price useless.
#[test]
fn pool_crosses_only_while_home_is_overloaded() {
    let mut pool = pool(&["a", "b"], 2, MS_PER_MB);
    let mut now = Millis(10_000);
    pool.set_peer_load(&load(&["a0", "a1"], 4));
    for _ in 0..50 {
        let pick = pick_recorded(&mut pool, &request(0.0, &[]), now);
        assert_eq!(pick.endpoint.failure_domain, "a");
        now = now.plus(100);
    }
    pool.set_peer_load(&load(&["a0", "a1"], 60));
    for turn in 0..50 {
        let pick = pick_recorded(&mut pool, &request(0.0, &[]), now);
        assert!(turn > 0 || pick.cross_domain.is_none(), "not all at once");
        now = now.plus(100);
    }
    let pick = pool.pick(&request(0.0, &[]), now).unwrap();
    assert_eq!(pick.endpoint.failure_domain, "b");
    assert_eq!(pick.cross_domain, Some(CrossReason::Overload));
    let pick = pool.pick(&request(0.99, &[]), now).unwrap();
    assert_eq!(pick.cross_domain, None, "only the share follows");
    pool.set_fleet_heard(false);
    let pick = pool.pick(&request(0.0, &[]), now).unwrap();
    assert_eq!(pick.cross_domain, None, "no load is known");
    pool.set_fleet_heard(true);
    pool.set_peer_load(&load(&["a0", "a1"], 0));
    let pick = pool.pick(&request(0.0, &[]), now).unwrap();
    assert_eq!(pick.endpoint.failure_domain, "a", "home at once");
}

#[test]
fn pool_without_an_endpoint_at_home_uses_another_domain() {
    let mut pool = pool(&["a", "b"], 2, MS_PER_MB);
    pool.set_fleet_heard(false);
    let tried = ["a0".to_owned(), "a1".to_owned()];
    let pick = pool.pick(&request(0.99, &tried), Millis(10_000)).unwrap();
    assert_eq!(pick.endpoint.failure_domain, "b");
    assert_eq!(pick.cross_domain, Some(CrossReason::NoHomeEndpoint));
}

fn prompt<'a>(domain: &'a str, parts: &'a [(u64, u32)]) -> PickRequest<'a> {
    PickRequest {
        failure_domain: domain,
        model: "m",
        parts,
        tokens_in: 16_000,
        ..request(0.0, &[])
    }
}

/// With the first endpoints of one order over all domains, many prompts had none of
/// their own domain to choose from.
#[test]
fn candidates_include_the_own_domain_and_gateways_agree_on_prefixes() {
    let domains = ["a", "b", "c"];
    let pool = pool(&domains, 30, MS_PER_MB);
    let now = Millis(10_000);
    let names: HashMap<u64, String> = domains
        .iter()
        .flat_map(|domain| (0..30).map(move |number| format!("{domain}{number}")))
        .map(|id| (digest_text(&id), id))
        .collect();
    for prefix in 0..40 {
        let mut homes: HashMap<&str, Vec<u64>> = HashMap::new();
        let mut away: HashMap<&str, Vec<u64>> = HashMap::new();
        for number in 0..20 {
            let parts = prefix_digests([(prefix, 13_000), (1_000 + number, 3_000)]);
            for domain in domains {
                let candidates = pool.candidates(&prompt(domain, &parts), now);
                assert_eq!(candidates.len(), 5);
                let is_own = |digest: &&u64| names[*digest].starts_with(domain);
                assert_eq!(candidates.iter().filter(is_own).count(), 3);
                let first = candidates[..2].to_vec();
                assert_eq!(*homes.entry(domain).or_insert(first.clone()), first);
                let others = candidates.iter().filter(|digest| !is_own(digest));
                away.entry(domain).or_default().extend(others);
            }
        }
        // What leaves a domain goes where the prefix belongs in the other one.
        for digest in away.values().flatten() {
            assert!(homes.values().any(|home| home.contains(digest)));
        }
    }
}

/// The setting is off: neither the bytes of a request nor its random number matter, and
/// candidates and picks are those of a pool that knows no price.
#[test]
fn pool_without_a_price_picks_as_before() {
    let domains = ["a", "b", "c"];
    let mut priceless = pool(&domains, 4, 0.0);
    let mut plain = Pool::new(Costs::default());
    for domain in domains {
        for number in 0..4 {
            let id = format!("{domain}{number}");
            let endpoint = Endpoint {
                slots: 8,
                ..priceless.get(&id).expect("it was announced").clone()
            };
            plain.announce(endpoint, AnnouncedAt::default());
        }
    }
    plain.set_peer_coverage(PeerCoverage::Complete);
    let mut rng = StdRng::seed_from_u64(9);
    let mut crossed = 0;
    for turn in 0..400 {
        let now = Millis(10_000 + turn * 10);
        let prefix = rng.random_range(0..20);
        let parts = prefix_digests([(prefix, 13_000), (1_000 + turn, 3_000)]);
        let request = PickRequest {
            random: rng.random(),
            bytes: rng.random_range(0..1_000_000),
            ..prompt("a", &parts)
        };
        let bare = PickRequest {
            random: 0.0,
            bytes: 0,
            ..request.clone()
        };
        assert_eq!(
            priceless.candidates(&request, now),
            plain.candidates(&bare, now)
        );
        let pick = priceless.pick(&request, now);
        assert_eq!(pick, plain.pick(&bare, now));
        let pick = pick.expect("an endpoint matches");
        assert_eq!((&pick.cross_domain, &pick.offers), (&None, &None));
        crossed += u32::from(pick.endpoint.failure_domain != "a");
        for pool in [&mut priceless, &mut plain] {
            let tokens = pick.uncached_tokens;
            pool.record_dispatch(&pick.endpoint.id, &bare, tokens, now);
            if turn % 3 != 0 {
                pool.record_prefill_end(&pick.endpoint.id, tokens, 1.0);
                pool.record_end(&pick.endpoint.id);
            }
        }
    }
    assert!(crossed > 100, "{crossed}");
}

/// An engine of eight slots in the failure domain `zone`.
fn announce(platform: &TestPlatform, id: &str, zone: &str, address: &str, state: &str) {
    let sequence = if state == "ready" { 1 } else { 2 };
    let record = format!(
        r#"{{"service":"engine","addr":"{address}","zone":"{zone}","version":"v1","slots":8,"state":"{state}","cold_left_ms":0,"seq":{sequence},"born":5}}"#
    );
    platform.log.put("keyed.servers", id, &record);
}

/// A real gateway in front of an overloaded engine of its domain and an idle one of
/// another: a part crosses and is counted, and nothing crosses after the overload.
#[tokio::test]
async fn gateway_crosses_under_overload_and_without_an_endpoint_at_home() {
    let platform = TestPlatform::start().await;
    let home = ScriptedEndpoint::start(Action::PauseStream(300)).await;
    let other = ScriptedEndpoint::start(Action::PauseStream(300)).await;
    let home_address = home.address.to_string();
    announce(&platform, "a0", "a", &home_address, "ready");
    announce(&platform, "b0", "b", &other.address.to_string(), "ready");
    let gateway = platform
        .gateway("[place]\ncross_domain_ms_per_mb = 1000\n")
        .await;
    gateway.wait_logged("endpoint=a0").await;
    gateway.wait_logged("endpoint=b0").await;
    let callers = gateway.callers;
    let draft = |id: String| {
        let text = http_request("POST", "/draft/", &id, "", "x");
        async move { send(callers, &text).await.status }
    };
    for number in 0..5 {
        assert_eq!(draft(format!("idle{number}")).await, 200);
    }
    assert_eq!(other.received().len(), 0, "home has room");
    for round in 0..60 {
        let wave: Vec<_> = (0..60)
            .map(|number| tokio::spawn(draft(format!("r{round}-{number}"))))
            .collect();
        let mut statuses = Vec::new();
        for reply in wave {
            statuses.push(reply.await.expect("the task ends"));
        }
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        // A share of exactly a tenth, the first step, is not logged yet.
        let is_logged = !gateway.logged("event=domain_share").is_empty();
        if is_logged && other.received().len() > 10 {
            break;
        }
    }
    let crossed = other.received().len();
    assert!(crossed > 10 && home.received().len() > crossed);
    gateway
        .wait_logged("event=domain_share service=engine domain=b")
        .await;
    for number in 0..5 {
        assert_eq!(draft(format!("after{number}")).await, 200);
    }
    assert_eq!(other.received().len(), crossed, "home has room again");
    announce(&platform, "a0", "a", &home_address, "draining");
    gateway.wait_logged("state=Draining").await;
    assert_eq!(draft("last".to_owned()).await, 200);
    assert_eq!(other.received().len(), crossed + 1);
    let metrics = send(gateway.metrics, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n");
    let metrics = metrics.await.text;
    let count = |line: &str| {
        let line = format!("currantbank_{line} ");
        let value = metrics.lines().find_map(|l| l.strip_prefix(&line));
        value.and_then(|value| value.trim().parse::<usize>().ok())
    };
    assert_eq!(count("cross_domain{of=\"overload\"}"), Some(crossed));
    assert_eq!(count("cross_domain{of=\"no_home_endpoint\"}"), Some(1));
    let sent = count("cross_domain_bytes{of=\"sent\"}");
    assert_eq!(sent, Some(crossed + 1), "bodies of one byte");
    let received = count("cross_domain_bytes{of=\"received\"}");
    assert!(received > Some(20 * crossed), "{received:?}");
}
