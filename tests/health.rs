//! The table of cases: store down for all, or this process cut off.

use node::{Fold, PeerNews, judge};
use settings::Settings;
use store::ConfigHealth;

fn peer(room: &str, log_age_ms: u64) -> PeerNews {
    PeerNews {
        room: room.into(),
        log_age_ms,
    }
}

fn judged(fold: Fold, own_age_ms: u64, peers: &[PeerNews]) -> ConfigHealth {
    let mut store = Settings::default().store;
    store.stale_after_ms = 10_000;
    store.known_rooms = 3;
    judge("a", fold, own_age_ms, peers, &store)
}

#[test]
fn cases() {
    let old = 60_000;
    let ready = Fold::Ready;
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
            judged(Fold::Empty, u64::MAX, &[peer("b", old)]),
            ConfigHealth::Empty,
        ),
        (
            "newer record",
            judged(Fold::Blocked, old, &[peer("b", old)]),
            ConfigHealth::CutOff,
        ),
    ];
    for (case, judged, wanted) in table {
        assert_eq!(judged, wanted, "{case}");
    }
}
