//! Where a gateway sends requests, with scripted time.

use std::collections::{HashMap, VecDeque};

use catalog::{Endpoint, EndpointState};
use clock::Millis;
use route::{
    Costs, Health, HealthSample, PeerCoverage, PickRequest, Pool, SizeSettings,
    digest_text, escalation_size, is_worth_escalating, prefix_digests,
};

fn endpoint(id: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        born_ms: 1,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 64,
        state: EndpointState::Ready,
        warmup_left_ms: 0,
    }
}

fn pool(count: usize, costs: Costs) -> Pool {
    let mut pool = Pool::new(costs);
    for at in 0..count {
        pool.announce(endpoint(&format!("e{at}")));
    }
    pool
}

fn ask<'a>(parts: &'a [(u64, u32)], tokens_in: u32) -> PickRequest<'a> {
    PickRequest {
        service: "s",
        failure_domain: "a",
        model: "m",
        pace: 1.0,
        parts,
        tokens_in,
        ..PickRequest::default()
    }
}

/// Many subjects with long shared parts, sent by two gateways at once: each
/// prompt is to be read by few engines.
fn engines_a_subject(costs: Costs) -> f64 {
    const SUBJECTS: u64 = 40;
    let mut gateways = [pool(9, costs), pool(9, costs)];
    let mut homes: HashMap<u64, Vec<String>> = HashMap::new();
    let mut reading = VecDeque::new();
    for turn in 0..800_u64 {
        let now = Millis(10_000 + turn * 20);
        let subject = (turn * 7) % SUBJECTS;
        let parts = prefix_digests([(subject, 13_000), (1_000 + turn, 3_000)]);
        let pool = &mut gateways[(turn % 2) as usize];
        let ask = ask(&parts, 16_000);
        let pick = pool.pick(&ask, now).unwrap();
        pool.record_dispatch(&pick.endpoint.id, &ask, pick.uncached_tokens, now);
        let ids = homes.entry(subject).or_default();
        if !ids.contains(&pick.endpoint.id) {
            ids.push(pick.endpoint.id.clone());
        }
        // Each request is read within 24 turns; two in three end with that.
        reading.push_back((turn, pick));
        if reading.len() > 24 {
            let (turn, pick) = reading.pop_front().unwrap();
            let pool = &mut gateways[(turn % 2) as usize];
            pool.record_prefill_end(&pick.endpoint.id, pick.uncached_tokens, 1.0);
            if turn % 3 != 0 {
                pool.record_end(&pick.endpoint.id);
            }
        }
    }
    let all: usize = homes.values().map(Vec::len).sum();
    all as f64 / SUBJECTS as f64
}

#[test]
fn subject_is_kept_on_few_engines() {
    let kept = engines_a_subject(Costs::default());
    let spread = engines_a_subject(Costs {
        prefill_weight: 0.0,
        ..Costs::default()
    });
    assert!(kept < 2.5, "{kept}");
    assert!(kept < spread, "{kept} {spread}");
}

#[test]
fn hot_subject_spreads_before_it_queues() {
    let mut pool = pool(4, Costs::default());
    let now = Millis(10_000);
    let mut used = Vec::new();
    for request in 0..60 {
        let parts = prefix_digests([(1, 6_000), (100 + request, 3_000)]);
        let ask = ask(&parts, 9_000);
        let pick = pool.pick(&ask, now).unwrap();
        pool.record_dispatch(&pick.endpoint.id, &ask, pick.uncached_tokens, now);
        used.push(pick.endpoint.id);
    }
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 4, "none idles while others queue");
}

#[test]
fn what_other_gateways_run_counts() {
    let mut pool = pool(2, Costs::default());
    let plain = ask(&[], 0);
    let now = Millis(1_000);
    let first = pool.pick(&plain, now).unwrap().endpoint.id;
    let busy = HashMap::from([(digest_text(&first), (500, 0))]);
    pool.set_peer_load(&busy);
    assert_ne!(pool.pick(&plain, now).unwrap().endpoint.id, first);
}

#[test]
fn draining_tried_and_foreign_endpoints_are_not_picked() {
    let mut pool = pool(2, Costs::default());
    pool.announce(Endpoint {
        state: EndpointState::Draining,
        ..endpoint("e0")
    });
    let now = Millis(1_000);
    assert_eq!(pool.pick(&ask(&[], 0), now).unwrap().endpoint.id, "e1");
    let tried = ["e1".to_owned()];
    let again = PickRequest {
        tried: &tried,
        ..ask(&[], 0)
    };
    assert_eq!(pool.pick(&again, now), None);
    let other = PickRequest {
        service: "other",
        ..ask(&[], 0)
    };
    assert_eq!(pool.pick(&other, now), None);
}

#[test]
fn late_word_of_an_earlier_incarnation_changes_nothing() {
    let mut pool = pool(0, Costs::default());
    let reborn = Endpoint {
        born_ms: 9,
        version: "v2".to_owned(),
        ..endpoint("e0")
    };
    assert!(pool.announce(reborn));
    assert!(!pool.announce(endpoint("e0")));
    assert_eq!(pool.get("e0").unwrap().version, "v2");
}

#[test]
fn endpoint_that_lapsed_while_the_list_was_away_gets_two_seconds() {
    let mut pool = pool(2, Costs::default());
    pool.discovery_lost();
    pool.unlist("e0", Millis(1_000));
    assert!(pool.get("e0").is_some(), "it may only have lapsed");
    pool.discovery_restored(Millis(5_000));
    assert!(pool.expire(Millis(6_900)).is_empty());
    assert_eq!(pool.expire(Millis(7_000)), ["e0"]);
    pool.unlist("e1", Millis(8_000));
    assert!(pool.is_empty(), "gone at once while the list is well");
}

/// An endpoint that answers nothing has the shortest queue, and would draw
/// every request.
#[test]
fn unreachable_endpoint_is_out_and_comes_back_on_trial() {
    let mut pool = pool(3, Costs::default());
    let mut now = Millis(10_000);
    let out_ms = pool
        .record_health("e0", HealthSample::Unreachable, now)
        .unwrap();
    for _ in 0..50 {
        assert_ne!(pool.pick(&ask(&[], 0), now).unwrap().endpoint.id, "e0");
    }
    now = now.plus(out_ms);
    let again_ms = pool
        .record_health("e0", HealthSample::Unreachable, now)
        .unwrap();
    assert!(again_ms > out_ms, "longer each time");
}

#[test]
fn half_of_the_pool_stays_in_whatever_fails() {
    let mut pool = pool(3, Costs::default());
    let now = Millis(10_000);
    for id in ["e0", "e1", "e2"] {
        pool.record_health(id, HealthSample::Unreachable, now);
    }
    assert!(pool.pick(&ask(&[], 0), now).is_some());
}

#[test]
fn partly_failing_endpoint_is_taken_out_and_a_full_one_is_not() {
    let mut health = Health::default();
    let mut out = false;
    for at in 0..40_u64 {
        let verdict = if at % 5 < 2 {
            HealthSample::Success
        } else {
            HealthSample::Failure
        };
        out |= health.record(verdict, Millis(at * 20)).is_some();
    }
    assert!(out);
    let mut full = Health::default();
    for at in 0..100 {
        assert_eq!(full.record(HealthSample::Full, Millis(at)), None);
    }
}

#[test]
fn unsure_answer_is_followed_by_a_size_that_fits() {
    let settings = SizeSettings::default();
    let wanted = |index, confidence| escalation_size(index, 3, confidence, &settings);
    assert_eq!(wanted(0, Some(90)), None);
    assert_eq!(wanted(0, Some(50)), None);
    assert_eq!(wanted(0, Some(45)), Some(1), "a little too small");
    assert_eq!(wanted(0, Some(5)), Some(2), "far too small");
    assert_eq!(wanted(1, Some(45)), Some(2));
    assert_eq!(wanted(2, Some(0)), None, "there is none larger");
    assert_eq!(wanted(0, None), None);
}

/// At the peak an answer of the largest model that comes too late is worth
/// little and delays all others.
#[test]
fn larger_model_is_asked_only_for_an_answer_in_time() {
    let settings = SizeSettings {
        late_fraction: 0.4,
        ..SizeSettings::default()
    };
    assert!(is_worth_escalating(500, 2_000, 10_000, &settings));
    assert!(!is_worth_escalating(900, 2_000, 10_000, &settings));
    assert!(
        !is_worth_escalating(500, 2_000, 100, &settings),
        "no time is left"
    );
}

/// Five gateways each place a long prompt of another subject within the time
/// between two words; how many went to the engine that got most.
fn crowding(tell: bool) -> usize {
    let mut gateways: Vec<Pool> = (0..5).map(|_| pool(9, Costs::default())).collect();
    let now = Millis(10_000);
    // All but one engine are busy, as every gateway knows.
    let busy = (1..9).map(|at| (digest_text(&format!("e{at}")), (20, 40_000)));
    let busy: HashMap<_, _> = busy.collect();
    for gateway in &mut gateways {
        gateway.set_peer_coverage(PeerCoverage::Complete);
        gateway.set_peer_load(&busy);
    }
    let mut sent_to: HashMap<String, usize> = HashMap::new();
    for turn in 0..10_u64 {
        let parts = prefix_digests([(turn, 13_000), (1_000 + turn, 3_000)]);
        let ask = ask(&parts, 16_000);
        let from = (turn % 5) as usize;
        let pick = gateways[from].pick(&ask, now).unwrap();
        let id = pick.endpoint.id;
        let sent = gateways[from].record_dispatch(&id, &ask, pick.uncached_tokens, now);
        *sent_to.entry(id).or_default() += 1;
        let others = gateways.iter_mut().enumerate();
        for (_, other) in others.filter(|(at, _)| tell && *at != from) {
            other.record_peer_dispatch(&sent.unwrap(), now);
        }
    }
    sent_to.into_values().max().unwrap()
}

#[test]
fn gateways_that_tell_what_they_sent_do_not_crowd_the_idle_engine() {
    let told = crowding(true);
    let untold = crowding(false);
    assert!(told * 2 <= untold, "told {told}, untold {untold}");
}

#[test]
fn parts_that_another_gateway_sent_are_known_to_be_there() {
    let mut own = pool(3, Costs::default());
    let mut other = pool(3, Costs::default());
    own.set_peer_coverage(PeerCoverage::Complete);
    let now = Millis(10_000);
    let parts = prefix_digests([(1, 8_000), (2, 5_000), (3, 3_000)]);
    let ask = ask(&parts, 16_000);
    assert_eq!(own.pick(&ask, now).unwrap().uncached_tokens, 16_000);
    let sent = other.record_dispatch("e1", &ask, 16_000, now).unwrap();
    own.record_peer_dispatch(&sent, now);
    let idle = Millis(10_500);
    own.set_peer_load(&HashMap::new());
    let pick = own.pick(&ask, idle).unwrap();
    assert_eq!(pick.endpoint.id, "e1");
    assert_eq!(pick.uncached_tokens, 3_000);
}

#[test]
fn only_where_all_are_heard_is_nothing_hoped_for() {
    let parts = prefix_digests([(1, 10_000), (2, 1_000)]);
    let ask = ask(&parts, 11_000);
    let now = Millis(10_000);
    let mut pool = pool(3, Costs::default());
    let hoped = pool.pick(&ask, now).unwrap();
    assert!(hoped.uncached_tokens < 11_000);
    pool.set_peer_coverage(PeerCoverage::Complete);
    let known = pool.pick(&ask, now).unwrap();
    assert_eq!(known.uncached_tokens, 11_000);
    assert_eq!(known.endpoint.id, hoped.endpoint.id);
}
