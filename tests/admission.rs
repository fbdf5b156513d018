//! Admission control, the bill buffer, and the skipping of cascade steps.

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

fn capacity(entries: u32, slots: u32, slots_in_use: u32) -> PoolCapacity {
    PoolCapacity {
        entries,
        slots,
        slots_in_use,
    }
}

#[test]
fn concurrency_limit_holds_over_all_entries() {
    let spec = TeamSpec {
        max_concurrent: 9,
        ..team("a")
    };
    let mut admitted = 0;
    for _ in 0..3 {
        let mut admission = Admission::new(100);
        while admission.admit(&spec, capacity(3, 0, 0), NOW).is_ok() {
            admitted += 1;
        }
    }
    assert_eq!(admitted, 9);
}

#[test]
fn exceeded_token_limit_returns_retry_delay() {
    let spec = TeamSpec {
        tokens_per_minute: 1_000,
        ..team("a")
    };
    let mut admission = Admission::new(100);
    assert!(admission.admit(&spec, capacity(1, 0, 0), NOW).is_ok());
    admission.record_tokens("a", 2_000, NOW);
    let result = admission.admit(&spec, capacity(1, 0, 0), NOW);
    let Err(AdmissionError::Tokens { retry_after_ms }) = result else {
        panic!("expected a token limit error, got {result:?}");
    };
    let later = NOW.plus(retry_after_ms + 12_000);
    assert!(admission.admit(&spec, capacity(1, 0, 0), later).is_ok());
}

#[test]
fn team_is_limited_to_fair_share_while_no_slot_is_free() {
    let mut admission = Admission::new(1_000);
    for i in 0..4 {
        assert!(
            admission
                .admit(&team("small"), capacity(1, 16, 16), NOW)
                .is_ok(),
            "{i}"
        );
    }
    let mut admitted = 0;
    while admission
        .admit(&team("large"), capacity(1, 16, 16), NOW)
        .is_ok()
    {
        admitted += 1;
    }
    assert_eq!(admitted, 8, "equal share of 16 slots between two teams");
    // The fair share applies only while no slot is free.
    assert!(
        admission
            .admit(&team("large"), capacity(1, 16, 10), NOW)
            .is_ok()
    );
}

#[test]
fn released_request_frees_its_stream() {
    let mut admission = Admission::new(1);
    assert!(admission.admit(&team("a"), capacity(1, 0, 0), NOW).is_ok());
    let rejected = admission.admit(&team("b"), capacity(1, 0, 0), NOW);
    assert!(matches!(rejected, Err(AdmissionError::Streams { .. })));
    admission.release("a");
    assert!(admission.admit(&team("b"), capacity(1, 0, 0), NOW).is_ok());
}

fn bill(request: &str) -> Bill {
    Bill {
        request_id: request.into(),
        team: "a".into(),
        ..Bill::default()
    }
}

#[test]
fn bill_buffer_capacity_includes_reservations() {
    let mut buffer = BillBuffer::new(2);
    assert!(buffer.reserve().is_ok());
    assert!(buffer.reserve().is_ok());
    assert!(buffer.reserve().is_err());
    buffer.hold(bill("r1"), NOW, "");
    buffer.unreserve();
    assert!(
        buffer.reserve().is_err(),
        "one bill is held and one slot reserved"
    );
    buffer.release(["r1"]);
    assert!(buffer.reserve().is_ok());
}

#[test]
fn bill_copy_is_postponed_while_owner_is_alive() {
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
fn duplicate_bills_count_once_and_truncated_record_is_ignored() {
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
fn cascade_step_is_skipped_if_not_worth_its_cost() {
    let mut rates = PassRates::default();
    let costs = StepCosts {
        step_micros: 50.0,
        next_micros: 300.0,
        step_ms: 1_000.0,
        micros_per_ms: 0.1,
        left_ms: 60_000.0,
        later_steps_ms: 2_000.0,
    };
    let is_worth_trying = |rates: &PassRates, costs| {
        let pass_rate = rates.pass_rate("a", "small", 0.7);
        rates.should_try(CascadePolicy::Learned, pass_rate, costs, 0.5)
    };
    assert!(is_worth_trying(&rates, costs));
    for _ in 0..100 {
        rates.record("a", "small", false);
    }
    assert!(!is_worth_trying(&rates, costs));
    for _ in 0..200 {
        rates.record("a", "small", true);
    }
    assert!(
        is_worth_trying(&rates, costs),
        "the pass rate follows recent outcomes"
    );
    let near_deadline = StepCosts {
        left_ms: 2_500.0,
        ..costs
    };
    assert!(
        !is_worth_trying(&rates, near_deadline),
        "later steps would miss the deadline"
    );
}
