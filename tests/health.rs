//! Distinguishes a store outage from a process that is cut off from the store.

use node::{ConfigState, PeerLogAge, assess};
use settings::Settings;
use store::ConfigHealth;

fn peer(failure_domain: &str, log_age_ms: u64) -> PeerLogAge {
    PeerLogAge {
        failure_domain: failure_domain.into(),
        log_age_ms,
    }
}

fn health(state: ConfigState, own_age_ms: u64, peers: &[PeerLogAge]) -> ConfigHealth {
    let mut store = Settings::default().store;
    store.stale_after_ms = 10_000;
    store.failure_domains = 3;
    assess("a", state, own_age_ms, peers, &store)
}

#[test]
fn store_outage_is_distinguished_from_a_cut_off_process() {
    let stale = 60_000;
    let ready = ConfigState::Ready;
    let cases = [
        (
            "log read recently",
            health(ready, 5_000, &[]),
            ConfigHealth::Fresh,
        ),
        (
            "stale log, no peers",
            health(ready, stale, &[]),
            ConfigHealth::CutOff,
        ),
        (
            "stale log, peers in own failure domain only",
            health(ready, stale, &[peer("a", stale)]),
            ConfigHealth::CutOff,
        ),
        (
            "stale log in two of three failure domains",
            health(ready, stale, &[peer("b", stale)]),
            ConfigHealth::StoreDown,
        ),
        (
            "peer read the log recently",
            health(ready, stale, &[peer("b", 100)]),
            ConfigHealth::CutOff,
        ),
        (
            "no configuration",
            health(ConfigState::Empty, u64::MAX, &[peer("b", stale)]),
            ConfigHealth::Empty,
        ),
        (
            "record in a newer format",
            health(ConfigState::Blocked, stale, &[peer("b", stale)]),
            ConfigHealth::CutOff,
        ),
    ];
    for (case, actual, expected) in cases {
        assert_eq!(actual, expected, "{case}");
    }
}
