//! Streams are cut into whole events, and datagrams taken within bounds.

use gateway::{
    Datagram, EventFramer, PeerStatus, PeerUpdate, RolloutReport, decode_datagram,
};
use proptest::prelude::*;
use route::{DispatchNotice, Evidence};

proptest! {
    /// However the bytes come, what is given out are whole events in order.
    #[test]
    fn events_are_whole_however_they_come(
        count in 1_usize..12,
        cuts in proptest::collection::vec(1_usize..40, 1..30),
        line_end in prop_oneof![Just("\n"), Just("\r\n")],
    ) {
        let whole: String = (1..=count)
            .map(|id| format!("id: {id}{line_end}data: piece{line_end}{line_end}"))
            .collect();
        let torn = format!("{whole}id: 99{line_end}da");
        let mut framer = EventFramer::default();
        let mut given = String::new();
        let mut rest = torn.as_bytes();
        for cut in cuts.iter().cycle() {
            let at = (*cut).min(rest.len());
            framer.push(&rest[..at]);
            rest = &rest[at..];
            if let Some(events) = framer.take_events() {
                given.push_str(std::str::from_utf8(&events).unwrap());
            }
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(given, whole);
        prop_assert!(framer.has_partial_event());
        let last = framer.last_event_id().map(|id| id.to_vec());
        prop_assert_eq!(last, Some(count.to_string().into_bytes()));
    }

    #[test]
    fn any_datagram_is_a_word_within_bounds_or_none(
        bytes in proptest::collection::vec(any::<u8>(), 0..1_400),
    ) {
        match decode_datagram(&bytes) {
            Some(Datagram::Status(status)) => {
                prop_assert!(status.peers.len() <= 16 && status.rollouts.len() <= 2);
                prop_assert!(status.endpoint_load.len() <= 48);
            }
            Some(Datagram::Update(update)) => prop_assert!(update.dispatches.len() <= 32),
            None => {}
        }
    }
}

#[test]
fn event_that_never_ends_is_not_held_for_ever() {
    let mut framer = EventFramer::default();
    let mut held = 0;
    while framer.push(&[b'x'; 4_096]) {
        held += 4_096;
        assert!(held <= 2 * 1024 * 1024);
    }
}

#[test]
fn word_with_absurd_counts_is_none() {
    let evidence = |new_bad| Evidence {
        new_bad,
        ..Evidence::default()
    };
    let status = |new_bad| PeerStatus {
        rollouts: vec![RolloutReport {
            evidence: vec![(1, evidence(new_bad))],
            ..RolloutReport::default()
        }],
        ..PeerStatus::default()
    };
    let status = |new_bad| Datagram::Status(status(new_bad));
    let bytes = |status: &Datagram| postcard::to_stdvec(status).unwrap();
    assert_eq!(decode_datagram(&bytes(&status(9))), Some(status(9)));
    assert_eq!(decode_datagram(&bytes(&status(u64::MAX))), None);
}

#[test]
fn news_of_absurd_requests_is_none() {
    let sent = |tokens| DispatchNotice {
        endpoint_digest: 1,
        prefix_digest: 2,
        tokens,
    };
    let update = |count, tokens| {
        Datagram::Update(PeerUpdate {
            incarnation_ms: 1,
            dispatches: vec![sent(tokens); count],
            sessions: vec![(3, 4); count],
        })
    };
    let bytes = |update: &Datagram| postcard::to_stdvec(update).unwrap();
    assert_eq!(decode_datagram(&bytes(&update(32, 9))), Some(update(32, 9)));
    assert_eq!(decode_datagram(&bytes(&update(33, 9))), None);
    assert_eq!(decode_datagram(&bytes(&update(1, u32::MAX))), None);
}
