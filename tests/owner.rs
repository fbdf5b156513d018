//! The owner of a key among gateways, and the questions that are put to it.

use std::{
    collections::HashMap,
    future::{Future, pending, ready},
    net::SocketAddr,
    pin::pin,
    task::{Context, Poll, Waker},
    time::Duration,
};

use owner::{Answered, Member, OpenQuestions, Outcome, heard_fraction, owner, owners};
use proptest::prelude::*;
use route::{digest_text, rendezvous_weight};

fn member(number: usize) -> Member {
    let (high, low) = (number / 250, number % 250 + 1);
    Member::new(format!("10.0.{high}.{low}:7800").parse().unwrap())
}

fn members(count: usize) -> Vec<Member> {
    (0..count).map(member).collect()
}

/// Polls a future once, without a runtime.
fn poll_once<F: Future>(future: std::pin::Pin<&mut F>) -> Poll<F::Output> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

/// The owners must be those of earlier builds: gateways of both kinds run side by side
/// during an upgrade.
#[test]
fn owner_has_the_highest_rendezvous_weight() {
    let members = members(20);
    for key in 0..500 {
        let weight = |address: &SocketAddr| {
            rendezvous_weight(digest_text(&address.to_string()), key)
        };
        let mut addresses: Vec<SocketAddr> =
            members.iter().map(Member::address).collect();
        addresses.sort_by_key(|address| std::cmp::Reverse(weight(address)));
        assert_eq!(owner(members.clone(), key), Some(addresses[0]));
        assert_eq!(owners(members.clone(), key, 3), addresses[..3]);
    }
    assert_eq!(owner([], 7), None);
    assert_eq!(owners(members[..2].to_vec(), 7, 5).len(), 2);
}

/// Without spread, one gateway would answer the questions of the whole fleet.
#[test]
fn keys_are_spread_over_the_members() {
    let mut counts: HashMap<SocketAddr, u32> = HashMap::new();
    for key in 0..4_500 {
        let owner = owner(members(50), digest_text(&format!("e{key}"))).unwrap();
        *counts.entry(owner).or_default() += 1;
    }
    assert_eq!(counts.len(), 50);
    let most = counts.values().max().unwrap();
    assert!(*most < 180, "{most} of 4,500 keys, an equal share is 90");
}

proptest! {
    /// Gateways list the members in different orders, each itself first.
    #[test]
    fn gateways_that_hear_the_same_members_agree(
        key: u64,
        count in 1_usize..40,
        first in 0_usize..40,
    ) {
        let listed = members(count);
        let mut other = listed.clone();
        other.rotate_left(first % count);
        prop_assert_eq!(owner(listed.clone(), key), owner(other.clone(), key));
        prop_assert_eq!(owners(listed, key, 3), owners(other, key, 3));
    }

    /// Gateways with different lists disagree only about the keys of a member that not
    /// all of them hear; those who miss it take the next one in its order.
    #[test]
    fn gateways_disagree_only_about_the_member_that_some_miss(
        key: u64,
        count in 2_usize..40,
        missed in 0_usize..40,
    ) {
        let all = members(count);
        let mut others = all.clone();
        let missed = others.remove(missed % count).address();
        let order = owners(all.clone(), key, 2);
        let chosen = owner(others, key).unwrap();
        let expected = if order[0] == missed { order[1] } else { order[0] };
        prop_assert_eq!(chosen, expected);
    }

    /// A fleet is cut into parts: what their owners grant adds up to no more than the
    /// whole.
    #[test]
    fn fractions_of_a_cut_fleet_add_up_to_one(
        parts in proptest::collection::vec(1_usize..50, 1..6),
    ) {
        let fleet = parts.iter().sum();
        let sum: f64 = parts.iter().map(|heard| heard_fraction(*heard, fleet)).sum();
        prop_assert!((sum - 1.0).abs() < 1e-9, "{}", sum);
    }
}

/// A gateway that hears nobody, and one that has heard more now than within the longer
/// time, grant everything and not more.
#[test]
fn heard_fraction_is_at_most_one() {
    assert_eq!(heard_fraction(1, 1), 1.0);
    assert_eq!(heard_fraction(0, 0), 1.0);
    assert_eq!(heard_fraction(9, 4), 1.0);
    assert_eq!(heard_fraction(1, 4), 0.25);
}

/// An asker that waits for several answers must not go on before the last one.
#[test]
fn question_completes_with_its_last_answer() {
    let questions: OpenQuestions<Vec<u32>> = OpenQuestions::default();
    let question = questions.ask(vec![1], 2, 10);
    let number = question.number();
    let mut waiting = pin!(question.wait(|_| pending::<()>()));
    assert!(poll_once(waiting.as_mut()).is_pending());
    let first = questions.answer(number, |answers| answers.push(2));
    assert_eq!(first, Answered::Incomplete);
    assert!(poll_once(waiting.as_mut()).is_pending());
    let second = questions.answer(number, |answers| answers.push(3));
    assert_eq!(second, Answered::Complete);
    assert_eq!(
        poll_once(waiting.as_mut()),
        Poll::Ready(Outcome::Complete(vec![1, 2, 3]))
    );
    assert_eq!(questions.open_count(), 0);
}

/// The asker sleeps: without a wake-up it would go on only when the question expires.
#[tokio::test]
async fn last_answer_wakes_the_asker() {
    let questions: OpenQuestions<u32> = OpenQuestions::default();
    let question = questions.ask(0, 1, 600_000);
    let number = question.number();
    let answer = async {
        tokio::task::yield_now().await;
        questions.answer(number, |answer| *answer = 5)
    };
    let both = async { tokio::join!(question.wait(tokio::time::sleep), answer) };
    let both = tokio::time::timeout(Duration::from_secs(5), both).await;
    assert_eq!(both.unwrap(), (Outcome::Complete(5), Answered::Complete));
}

/// An expired question must give what was answered in time, and its answers must not be
/// taken for those of a later question.
#[test]
fn expired_question_keeps_its_answers_and_drops_late_ones() {
    let questions: OpenQuestions<Vec<u32>> = OpenQuestions::default();
    let question = questions.ask(Vec::new(), 2, 10);
    let number = question.number();
    questions.answer(number, |answers| answers.push(2));
    let mut timeout = Duration::ZERO;
    {
        let sleep = |duration| {
            timeout = duration;
            ready(())
        };
        let mut waiting = pin!(question.wait(sleep));
        let outcome = poll_once(waiting.as_mut());
        assert_eq!(outcome, Poll::Ready(Outcome::Expired(vec![2])));
    }
    assert_eq!(timeout, Duration::from_millis(10));
    let late = questions.answer(number, |_| panic!("a late answer is taken"));
    assert_eq!(late, Answered::Late);
    let next = questions.ask(Vec::new(), 2, 10);
    assert_ne!(next.number(), number);
}

/// A busy gateway reads the last answer and finds the timer ended at once: the answer
/// counts.
#[test]
fn answer_counts_that_is_read_before_the_asker_sees_the_timer() {
    let questions: OpenQuestions<u32> = OpenQuestions::default();
    let question = questions.ask(0, 1, 10);
    questions.answer(question.number(), |answer| *answer = 5);
    let mut waiting = pin!(question.wait(|_| ready(())));
    let outcome = poll_once(waiting.as_mut());
    assert_eq!(outcome, Poll::Ready(Outcome::Complete(5)));
}

/// Datagrams may be repeated: one too many must not change what the asker gets.
#[test]
fn answer_beyond_the_awaited_ones_is_late() {
    let questions: OpenQuestions<u32> = OpenQuestions::default();
    let question = questions.ask(0, 1, 10);
    let number = question.number();
    let take = |value| questions.answer(number, |answer| *answer += value);
    assert_eq!(take(5), Answered::Complete);
    assert_eq!(take(7), Answered::Late);
    let mut waiting = pin!(question.wait(|_| pending::<()>()));
    let outcome = poll_once(waiting.as_mut());
    assert_eq!(outcome, Poll::Ready(Outcome::Complete(5)));
    assert_eq!(
        questions.answer(u64::MAX, |_| {}),
        Answered::Late,
        "no such question"
    );
}

/// Callers leave while their gateway waits: their questions must not stay in memory.
#[test]
fn question_closes_when_its_asker_stops_waiting() {
    let questions: OpenQuestions<u32> = OpenQuestions::default();
    let question = questions.ask(0, 1, 10);
    let number = question.number();
    {
        let mut waiting = pin!(question.wait(|_| pending::<()>()));
        assert!(poll_once(waiting.as_mut()).is_pending());
        assert_eq!(questions.open_count(), 1);
    }
    assert_eq!(questions.open_count(), 0);
    assert_eq!(questions.answer(number, |_| {}), Answered::Late);
    drop(questions.ask(0, 1, 10));
    assert_eq!(questions.open_count(), 0);
}
