//! Limits of teams, their shares, and the buffer of bills.

use bill::{Bill, BillBuffer, BillRecord, Bills};
use clock::Millis;
use config::TeamSpec;
use route::{
    Admission, AdmissionError, CascadePolicy, PassRates, PoolCapacity, StepCosts,
};

const NOW: Millis = Millis(1_000);

fn team(name: &str) -> TeamSpec {
    TeamSpec {
        name: name.into(),
        weight: 1,
        ..TeamSpec::default()
    }
}

fn share(entries: u32, slots: u32, slots_in_use: u32) -> PoolCapacity {
    PoolCapacity {
        entries,
        slots,
        slots_in_use,
    }
}

#[test]
fn sum_over_the_entries_stays_within_the_limit() {
    let limited = TeamSpec {
        max_concurrent: 9,
        ..team("a")
    };
    let mut admitted = 0;
    for _ in 0..3 {
        let mut admission = Admission::new(100);
        while admission.admit(&limited, share(3, 0, 0), NOW).is_ok() {
            admitted += 1;
        }
    }
    assert_eq!(admitted, 9);
}

#[test]
fn token_limit_refuses_with_when_to_come_back() {
    let limited = TeamSpec {
        tokens_per_minute: 1_000,
        ..team("a")
    };
    let mut admission = Admission::new(100);
    assert!(admission.admit(&limited, share(1, 0, 0), NOW).is_ok());
    admission.record_tokens("a", 2_000, NOW);
    let refused = admission.admit(&limited, share(1, 0, 0), NOW);
    let Err(AdmissionError::Tokens { retry_after_ms }) = refused else {
        panic!("over the limit: {refused:?}");
    };
    let later = NOW.plus(retry_after_ms + 12_000);
    assert!(admission.admit(&limited, share(1, 0, 0), later).is_ok());
}

#[test]
fn large_team_leaves_room_while_slots_are_short() {
    let mut admission = Admission::new(1_000);
    for at in 0..4 {
        assert!(
            admission
                .admit(&team("small"), share(1, 16, 16), NOW)
                .is_ok(),
            "{at}"
        );
    }
    let mut large = 0;
    while admission
        .admit(&team("large"), share(1, 16, 16), NOW)
        .is_ok()
    {
        large += 1;
    }
    assert_eq!(large, 8, "half of sixteen slots");
    // With slots free, nobody is held to a share.
    assert!(
        admission
            .admit(&team("large"), share(1, 16, 10), NOW)
            .is_ok()
    );
}

#[test]
fn place_is_given_back() {
    let mut admission = Admission::new(1);
    assert!(admission.admit(&team("a"), share(1, 0, 0), NOW).is_ok());
    let full = admission.admit(&team("b"), share(1, 0, 0), NOW);
    assert!(matches!(full, Err(AdmissionError::Streams { .. })));
    admission.release("a");
    assert!(admission.admit(&team("b"), share(1, 0, 0), NOW).is_ok());
}

fn bill(request: &str) -> Bill {
    Bill {
        request_id: request.into(),
        team: "a".into(),
        ..Bill::default()
    }
}

#[test]
fn bills_are_bounded_with_room_set_aside() {
    let mut buffer = BillBuffer::new(2);
    assert!(buffer.reserve().is_ok());
    assert!(buffer.reserve().is_ok());
    assert!(buffer.reserve().is_err());
    buffer.hold(bill("r1"), NOW, "");
    buffer.unreserve();
    assert!(buffer.reserve().is_err(), "one is held and one reserved");
    buffer.release(["r1"]);
    assert!(buffer.reserve().is_ok());
}

#[test]
fn copy_waits_while_its_owner_lives() {
    let mut buffer = BillBuffer::new(10);
    buffer.hold(bill("r1"), NOW.plus(100), "owner");
    let due = NOW.plus(100);
    buffer.postpone(due, 500, |owner| owner == "owner");
    assert!(buffer.due(due, 10).is_empty());
    let later = due.plus(500);
    buffer.postpone(later, 500, |_| false);
    assert_eq!(buffer.due(later, 10).len(), 1);
}

#[test]
fn double_bills_count_once_and_torn_records_change_nothing() {
    let mut bills = Bills::default();
    let record = BillRecord::new("e1", vec![bill("r1"), bill("r2")]).encode();
    bills.apply(0, &record);
    bills.apply(1, &record[..record.len() - 4]);
    bills.apply(
        2,
        &BillRecord::new("a1", vec![bill("r2"), bill("r3")]).encode(),
    );
    assert_eq!((bills.len(), bills.duplicates), (3, 1));
}

#[test]
fn cheap_step_is_skipped_where_it_does_not_pay() {
    let mut rates = PassRates::default();
    let costs = StepCosts {
        step_micros: 50.0,
        next_micros: 300.0,
        step_ms: 1_000.0,
        micros_per_ms: 0.1,
        left_ms: 60_000.0,
        later_steps_ms: 2_000.0,
    };
    let worth = |rates: &PassRates, costs| {
        let chance = rates.pass_rate("a", "small", 0.7);
        rates.should_try(CascadePolicy::Learned, chance, costs, 0.5)
    };
    assert!(worth(&rates, costs));
    for _ in 0..100 {
        rates.record("a", "small", false);
    }
    assert!(!worth(&rates, costs));
    for _ in 0..200 {
        rates.record("a", "small", true);
    }
    assert!(worth(&rates, costs), "a shift is followed");
    let late = StepCosts {
        left_ms: 2_500.0,
        ..costs
    };
    assert!(!worth(&rates, late), "the deadline caps the cascade");
}
