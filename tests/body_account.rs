//! Which bodies a process holds, by the pure account.

use clock::Millis;
use ingress::{BodyAccount, BodyId, BodyStart, NoRoom};
use proptest::prelude::*;

/// Bytes of the account in these tests: three long bodies, and a quarter for short ones.
const BOUND_BYTES: u64 = 16 * MIB;
const LONG_BYTES: u64 = 4 * MIB;
const SHORT_BYTES: u64 = 100_000;
const MIB: u64 = 1024 * 1024;

const START: Millis = Millis(1_000);
const DEADLINE: Millis = Millis(16_000);

fn start(declared_bytes: Option<u64>) -> BodyStart {
    BodyStart {
        started: START,
        deadline: DEADLINE,
        declared_bytes,
        max_bytes: LONG_BYTES,
    }
}

fn open(account: &mut BodyAccount, bytes: u64) -> Result<BodyId, NoRoom> {
    let id = account.open(start(Some(bytes)));
    account.reserve(id, bytes, START)?;
    Ok(id)
}

/// An account that long bodies have filled as far as they may.
fn full_of_long() -> (BodyAccount, Vec<BodyId>) {
    let mut account = BodyAccount::new(BOUND_BYTES);
    let ids = (0..3).map(|_| open(&mut account, LONG_BYTES).expect("there is room"));
    let ids = ids.collect();
    (account, ids)
}

#[test]
fn long_bodies_leave_room_for_short_ones() {
    let (mut account, _) = full_of_long();
    assert_eq!(open(&mut account, LONG_BYTES), Err(NoRoom));
    for _ in 0..(BOUND_BYTES / 4 / SHORT_BYTES) {
        open(&mut account, SHORT_BYTES).expect("a short body has room");
    }
    assert_eq!(open(&mut account, SHORT_BYTES), Err(NoRoom));
    assert!(account.held_bytes() <= BOUND_BYTES);
}

#[test]
fn body_that_is_refused_takes_nothing_from_others() {
    let (mut account, ids) = full_of_long();
    let held = account.held_bytes();
    let refused = account.open(start(Some(LONG_BYTES)));
    assert_eq!(account.reserve(refused, LONG_BYTES, START), Err(NoRoom));
    account.close(refused);
    assert_eq!(account.held_bytes(), held);
    assert_eq!(ids.len(), 3);
}

#[test]
fn silent_body_gives_way_to_a_long_one_after_a_second() {
    let (mut account, ids) = full_of_long();
    for id in &ids[1..] {
        account.received(*id, LONG_BYTES / 2, START.plus(900));
    }
    account.received(ids[0], LONG_BYTES / 2, START);
    let now = START.plus(1_000);
    let id = account.open(BodyStart {
        started: now,
        ..start(Some(LONG_BYTES))
    });
    let evicted = account.reserve(id, LONG_BYTES, now);
    assert_eq!(evicted, Ok(vec![ids[0]]));
    // Its last part may arrive all the same, and must not be taken for a body that is held.
    assert!(!account.complete(ids[0]));
}

#[test]
fn body_that_cannot_arrive_in_time_gives_way_though_it_is_not_silent() {
    let (mut account, ids) = full_of_long();
    let now = START.plus(600);
    account.received(ids[0], LONG_BYTES / 2, now);
    account.received(ids[1], 1, now);
    account.received(ids[2], LONG_BYTES / 2, now);
    let id = account.open(start(Some(LONG_BYTES)));
    assert_eq!(account.reserve(id, LONG_BYTES, now), Ok(vec![ids[1]]));
}

#[test]
fn complete_body_never_gives_way() {
    let (mut account, ids) = full_of_long();
    for id in ids {
        assert!(account.complete(id));
    }
    let now = DEADLINE.plus(60_000);
    let id = account.open(start(Some(LONG_BYTES)));
    assert_eq!(account.reserve(id, LONG_BYTES, now), Err(NoRoom));
}

#[test]
fn short_body_that_is_silent_gives_way_to_a_short_one_first() {
    let mut account = BodyAccount::new(BOUND_BYTES);
    while open(&mut account, SHORT_BYTES).is_ok() {}
    let now = START.plus(100);
    let id = account.open(BodyStart {
        started: now,
        ..start(Some(SHORT_BYTES))
    });
    let evicted = account
        .reserve(id, SHORT_BYTES, now)
        .expect("a silent body gives way");
    assert_eq!(evicted.len(), 1);
}

#[test]
fn longest_body_that_is_allowed_fits_into_any_account() {
    let mut account = BodyAccount::new(0);
    let id = open(&mut account, LONG_BYTES).expect("it is the only one");
    assert_eq!(account.held_bytes(), LONG_BYTES);
    account.close(id);
    assert_eq!(account.held_bytes(), 0);
}

#[derive(Clone, Debug)]
enum Step {
    Open { bytes: u64, is_declared: bool },
    Grow { index: usize, factor: u64 },
    Receive { index: usize, bytes: u64 },
    Complete(usize),
    Close(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..20_usize;
    prop_oneof![
        (1..=LONG_BYTES, any::<bool>())
            .prop_map(|(bytes, is_declared)| Step::Open { bytes, is_declared }),
        (index.clone(), 2..4_u64)
            .prop_map(|(index, factor)| Step::Grow { index, factor }),
        (index.clone(), 1..LONG_BYTES)
            .prop_map(|(index, bytes)| Step::Receive { index, bytes }),
        index.clone().prop_map(Step::Complete),
        index.prop_map(Step::Close),
        (0..2_000_u64).prop_map(Step::Wait),
    ]
}

/// A body as the model of the test knows it.
#[derive(Clone, Copy, Debug)]
struct Known {
    id: BodyId,
    bytes: u64,
    is_complete: bool,
}

/// Reserves `bytes` and applies the result to the model.
fn reserve(
    account: &mut BodyAccount,
    known: &mut Vec<Known>,
    id: BodyId,
    bytes: u64,
    now: Millis,
) -> Result<(), TestCaseError> {
    let before = account.held_bytes();
    match account.reserve(id, bytes, now) {
        Ok(evicted) => {
            prop_assert!(!evicted.contains(&id));
            for victim in &evicted {
                let found = known.iter().find(|body| body.id == *victim);
                prop_assert!(found.is_some_and(|body| !body.is_complete));
            }
            known.retain(|body| !evicted.contains(&body.id));
            let body = known.iter_mut().find(|body| body.id == id);
            body.expect("it stays").bytes = bytes;
        }
        Err(NoRoom) => {
            prop_assert_eq!(account.held_bytes(), before);
            account.close(id);
            known.retain(|body| body.id != id);
        }
    }
    Ok(())
}

proptest! {
    /// Whatever arrives in whatever order, the account holds what its bodies hold, and
    /// never more than its bound.
    #[test]
    fn account_stays_within_its_bound(steps in prop::collection::vec(step(), 1..200)) {
        let mut account = BodyAccount::new(BOUND_BYTES);
        let mut known: Vec<Known> = Vec::new();
        let mut now = START;
        for step in steps {
            match step {
                Step::Open { bytes, is_declared } => {
                    let id = account.open(BodyStart {
                        started: now,
                        deadline: now.plus(15_000),
                        declared_bytes: is_declared.then_some(bytes),
                        max_bytes: LONG_BYTES,
                    });
                    known.push(Known { id, bytes: 0, is_complete: false });
                    reserve(&mut account, &mut known, id, bytes, now)?;
                }
                Step::Grow { index, factor } => {
                    let body = known.get(index).copied();
                    if let Some(body) = body.filter(|body| !body.is_complete) {
                        let bytes = (body.bytes * factor).min(LONG_BYTES);
                        reserve(&mut account, &mut known, body.id, bytes, now)?;
                    }
                }
                Step::Receive { index, bytes } => {
                    if let Some(body) = known.get(index) {
                        account.received(body.id, bytes, now);
                    }
                }
                Step::Complete(index) => {
                    if let Some(body) = known.get_mut(index) {
                        body.is_complete = true;
                        prop_assert!(account.complete(body.id));
                    }
                }
                Step::Close(index) => {
                    if index < known.len() {
                        account.close(known.remove(index).id);
                    }
                }
                Step::Wait(ms) => now = now.plus(ms),
            }
            let held: u64 = known.iter().map(|body| body.bytes).sum();
            prop_assert_eq!(account.held_bytes(), held);
            prop_assert!(held <= BOUND_BYTES);
        }
    }
}
