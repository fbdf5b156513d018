//! The table of cases: store down for all, or this process cut off.

use node::{ConfigState, PeerLogAge, assess};
use settings::Settings;
use store::ConfigHealth;

fn peer(failure_domain: &str, log_age_ms: u64) -> PeerLogAge {
    PeerLogAge {
        failure_domain: failure_domain.into(),
        log_age_ms,
    }
}

fn judged(fold: ConfigState, own_age_ms: u64, peers: &[PeerLogAge]) -> ConfigHealth {
    let mut store = Settings::default().store;
    store.stale_after_ms = 10_000;
    store.failure_domains = 3;
    assess("a", fold, own_age_ms, peers, &store)
}

#[test]
fn cases() {
    let old = 60_000;
    let ready = ConfigState::Ready;
    let table = [
        (
            "hears the log",
            judged(ready, 5_000, &[]),
            ConfigHealth::Fresh,
        ),
        ("alone", judged(ready, old, &[]), ConfigHealth::CutOff),
        (
            "own room only",
            judged(ready, old, &[peer("a", old)]),
            ConfigHealth::CutOff,
        ),
        (
            "two rooms of three",
            judged(ready, old, &[peer("b", old)]),
            ConfigHealth::StoreDown,
        ),
        (
            "a peer hears the log",
            judged(ready, old, &[peer("b", 100)]),
            ConfigHealth::CutOff,
        ),
        (
            "no configuration",
            judged(ConfigState::Empty, u64::MAX, &[peer("b", old)]),
            ConfigHealth::Empty,
        ),
        (
            "newer record",
            judged(ConfigState::Blocked, old, &[peer("b", old)]),
            ConfigHealth::CutOff,
        ),
    ];
    for (case, judged, wanted) in table {
        assert_eq!(judged, wanted, "{case}");
    }
}
