//! Which connections of callers stay open, by the pure table.

use clock::Millis;
use ingress::{Admission, ConnectionId, ConnectionTable, InstanceShares};
use proptest::prelude::*;

const START: Millis = Millis(1_000);

fn admit(table: &mut ConnectionTable, now: Millis) -> ConnectionId {
    match table.admit(now) {
        Admission::Admitted(id) => id,
        other => panic!("there is room: {other:?}"),
    }
}

#[test]
fn connection_that_was_silent_longest_gives_way_to_a_new_one() {
    let mut table = ConnectionTable::new(3);
    let ids = [START, START.plus(1), START.plus(2)].map(|now| admit(&mut table, now));
    table.heard(ids[0], START.plus(10));
    let Admission::Replaced(_, victims) = table.admit(START.plus(20)) else {
        panic!("a silent connection gives way");
    };
    assert_eq!(victims, [ids[1]]);
    assert_eq!(table.open(), 3);
}

#[test]
fn connection_with_a_request_in_progress_never_gives_way() {
    let mut table = ConnectionTable::new(2);
    let ids = [START, START].map(|now| admit(&mut table, now));
    for id in ids {
        table.request_received(id);
    }
    assert_eq!(table.admit(START.plus(60_000)), Admission::Rejected);
    table.answered(ids[1], START.plus(60_000));
    let admission = table.admit(START.plus(60_001));
    assert!(
        matches!(admission, Admission::Replaced(_, victims) if victims == [ids[1]])
    );
}

#[test]
fn lower_bound_closes_silent_connections_with_the_next_new_one() {
    let mut table = ConnectionTable::new(4);
    let ids = [0, 1, 2, 3].map(|ms| admit(&mut table, START.plus(ms)));
    table.request_received(ids[0]);
    table.set_open_max(2);
    assert_eq!(table.open(), 4);
    let Admission::Replaced(_, victims) = table.admit(START.plus(10)) else {
        panic!("silent connections give way");
    };
    assert_eq!(victims, [ids[1], ids[2], ids[3]]);
    assert_eq!(table.open(), 2);
}

#[test]
fn connection_that_was_replaced_is_forgotten() {
    let mut table = ConnectionTable::new(1);
    let first = admit(&mut table, START);
    assert!(matches!(table.admit(START), Admission::Replaced(..)));
    // Its task may still report what it sees.
    table.heard(first, START.plus(1));
    table.request_received(first);
    table.close(first);
    assert_eq!(table.open(), 1);
}

proptest! {
    /// Whatever connections do, there are never more than allowed, and none with a
    /// request in progress is closed for another.
    #[test]
    fn table_stays_within_its_bound(
        steps in prop::collection::vec((0..4_u8, 0..12_usize), 1..200),
    ) {
        let mut table = ConnectionTable::new(8);
        let mut known: Vec<(ConnectionId, bool)> = Vec::new();
        for (time, (kind, index)) in (0_u64..).zip(steps) {
            let now = START.plus(time);
            let connection = known.get_mut(index);
            match (kind, connection) {
                (0, _) => match table.admit(now) {
                    Admission::Admitted(id) => known.push((id, false)),
                    Admission::Replaced(id, victims) => {
                        for victim in victims {
                            prop_assert!(known.contains(&(victim, false)));
                            known.retain(|(known, _)| *known != victim);
                        }
                        known.push((id, false));
                    }
                    Admission::Rejected => {
                        prop_assert!(known.iter().all(|(_, works)| *works));
                    }
                },
                (1, Some((id, works))) => {
                    *works = true;
                    table.request_received(*id);
                }
                (2, Some((id, works))) => {
                    *works = false;
                    table.answered(*id, now);
                }
                (3, Some((id, _))) => {
                    table.close(*id);
                    known.remove(index);
                }
                _ => {}
            }
            prop_assert_eq!(table.open(), known.len());
            prop_assert!(table.open() <= 8);
        }
    }
}

#[test]
fn shares_of_small_instances_leave_room_for_the_process_itself() {
    for (memory_mb, descriptors_max) in [(88, 4_100), (110, 4_100), (120, 3_075)] {
        let shares = InstanceShares {
            memory_bytes: memory_mb * 1_000_000,
            descriptors_max,
        };
        let connections = shares.connections(16 * 1024) as u64;
        assert!(connections > 256, "{connections} at {memory_mb} MB");
        assert!(connections < descriptors_max / 2);
        assert!(shares.bodies_bytes() > 6 * 4 * 1024 * 1024);
    }
}
