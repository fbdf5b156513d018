//! Streams are cut into whole events, and datagrams taken within bounds.

use gateway::{Datagram, EventCutter, News, UpgradeWord, Word, decode};
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
        let mut cutter = EventCutter::default();
        let mut given = String::new();
        let mut rest = torn.as_bytes();
        for cut in cuts.iter().cycle() {
            let at = (*cut).min(rest.len());
            cutter.push(&rest[..at]);
            rest = &rest[at..];
            if let Some(events) = cutter.take() {
                given.push_str(std::str::from_utf8(&events).unwrap());
            }
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(given, whole);
        prop_assert!(cutter.is_torn());
        let last = cutter.last_id().map(|id| id.to_vec());
        prop_assert_eq!(last, Some(count.to_string().into_bytes()));
    }

    #[test]
    fn any_datagram_is_a_word_within_bounds_or_none(
        bytes in proptest::collection::vec(any::<u8>(), 0..1_400),
    ) {
        match decode(&bytes) {
            Some(Datagram::Word(word)) => {
                prop_assert!(word.peers.len() <= 16 && word.upgrades.len() <= 2);
                prop_assert!(word.running.len() <= 48);
            }
            Some(Datagram::News(news)) => prop_assert!(news.sent.len() <= 32),
            None => {}
        }
    }
}

#[test]
fn event_that_never_ends_is_not_held_for_ever() {
    let mut cutter = EventCutter::default();
    let mut held = 0;
    while cutter.push(&[b'x'; 4_096]) {
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
    let word = |new_bad| Word {
        upgrades: vec![UpgradeWord {
            evidence: vec![(1, evidence(new_bad))],
            ..UpgradeWord::default()
        }],
        ..Word::default()
    };
    let word = |new_bad| Datagram::Word(word(new_bad));
    let bytes = |word: &Datagram| postcard::to_stdvec(word).unwrap();
    assert_eq!(decode(&bytes(&word(9))), Some(word(9)));
    assert_eq!(decode(&bytes(&word(u64::MAX))), None);
}

#[test]
fn news_of_absurd_requests_is_none() {
    let sent = |tokens| DispatchNotice {
        endpoint_digest: 1,
        prefix_digest: 2,
        tokens,
    };
    let news = |count, tokens| {
        Datagram::News(News {
            born_ms: 1,
            sent: vec![sent(tokens); count],
            sessions: vec![(3, 4); count],
        })
    };
    let bytes = |news: &Datagram| postcard::to_stdvec(news).unwrap();
    assert_eq!(decode(&bytes(&news(32, 9))), Some(news(32, 9)));
    assert_eq!(decode(&bytes(&news(33, 9))), None);
    assert_eq!(decode(&bytes(&news(1, u32::MAX))), None);
}
