//! Claims on non-idempotent work, folded.

use claim::{Claim, ClaimEvent, ClaimRecord, ClaimStatus, Claims, Ending};

fn claim(request: &str, holder: &str) -> Claim {
    Claim {
        team: "desk".into(),
        key: "deed-7".into(),
        request_id: request.into(),
        holder: holder.into(),
        attempt: 1,
    }
}

fn void(claim: &Claim) -> ClaimEvent {
    ClaimEvent::Void {
        team: claim.team.clone(),
        key: claim.key.clone(),
        claim_id: claim.id(),
    }
}

fn ended(claim: &Claim, ending: Ending) -> ClaimEvent {
    ClaimEvent::Ended {
        team: claim.team.clone(),
        key: claim.key.clone(),
        holder: claim.holder.clone(),
        ending,
        status: 200,
        answer: "filed".into(),
    }
}

fn fold(events: Vec<ClaimEvent>) -> Claims {
    let mut claims = Claims::default();
    for (offset, event) in events.into_iter().enumerate() {
        claims.apply(offset as u64, &ClaimRecord::new(0, vec![event]).encode());
    }
    claims
}

fn standing(claims: &Claims, claim: &Claim) -> ClaimStatus {
    claims.claim_status("desk", "deed-7", &claim.id())
}

#[test]
fn first_claim_wins_and_is_never_passed_on() {
    let (first, second) = (claim("r1", "a1"), claim("r2", "a2"));
    let claims = fold(vec![
        ClaimEvent::Claim(first.clone()),
        ClaimEvent::Claim(second.clone()),
    ]);
    assert_eq!(standing(&claims, &first), ClaimStatus::Won);
    assert_eq!(standing(&claims, &second), ClaimStatus::Taken);
}

#[test]
fn void_before_the_claim_forbids_it_and_after_it_does_nothing() {
    let own = claim("r1", "a1");
    let before = fold(vec![void(&own), ClaimEvent::Claim(own.clone())]);
    assert_eq!(standing(&before, &own), ClaimStatus::Voided);
    let after = fold(vec![ClaimEvent::Claim(own.clone()), void(&own)]);
    assert_eq!(standing(&after, &own), ClaimStatus::Won);
}

#[test]
fn only_the_holder_ends_its_claim() {
    let (own, other) = (claim("r1", "a1"), claim("r1", "a2"));
    let claims = fold(vec![
        ClaimEvent::Claim(own.clone()),
        ended(&other, Ending::NotRun),
    ]);
    assert_eq!(standing(&claims, &own), ClaimStatus::Won);
}

#[test]
fn key_that_was_given_up_is_free_for_others_but_not_for_the_same_attempt() {
    let (own, next) = (claim("r1", "a1"), claim("r2", "a2"));
    let claims = fold(vec![
        ClaimEvent::Claim(own.clone()),
        ended(&own, Ending::NotRun),
        ClaimEvent::Claim(own.clone()),
        ClaimEvent::Claim(next.clone()),
    ]);
    assert_eq!(standing(&claims, &own), ClaimStatus::Voided);
    assert_eq!(standing(&claims, &next), ClaimStatus::Won);
}

#[test]
fn done_answer_is_kept_and_an_unknown_end_stays() {
    let own = claim("r1", "a1");
    let done = fold(vec![
        ClaimEvent::Claim(own.clone()),
        ended(&own, Ending::Done),
    ]);
    let ClaimStatus::Ended { ending, answer, .. } = standing(&done, &own) else {
        panic!("the call ended");
    };
    assert_eq!((ending, answer.as_str()), (Ending::Done, "filed"));
    let unknown = fold(vec![
        ClaimEvent::Claim(own.clone()),
        ended(&own, Ending::Unknown),
        ended(&own, Ending::NotRun),
    ]);
    assert!(matches!(
        standing(&unknown, &own),
        ClaimStatus::Ended {
            ending: Ending::Unknown,
            ..
        }
    ));
}

#[test]
fn first_binding_of_a_session_holds() {
    let bind = |version: &str| ClaimEvent::Bind {
        team: "desk".into(),
        session: "s1".into(),
        model: "draft".into(),
        version: version.into(),
    };
    let claims = fold(vec![bind("v1"), bind("v2")]);
    assert_eq!(claims.binding("desk", "s1", "draft"), Some("v1"));
    assert_eq!(claims.binding("other", "s1", "draft"), None);
}

#[test]
fn newer_record_stops_the_fold_and_a_torn_one_is_skipped() {
    let own = claim("r1", "a1");
    let mut claims = Claims::default();
    claims.apply(0, r#"{"v":1,"events":["#);
    claims.apply(1, &ClaimRecord::claim(0, own.clone()).encode());
    claims.apply(2, r#"{"v":9}"#);
    claims.apply(
        3,
        &ClaimRecord::new(0, vec![ended(&own, Ending::Done)]).encode(),
    );
    assert_eq!(standing(&claims, &own), ClaimStatus::Won);
    assert_eq!(claims.blocked_at, Some(2));
}

#[test]
fn partitions_do_not_mix_up_team_and_key() {
    let parts = |team: &str, key: &str| claim::partition(team, key, 1_000_000_007);
    assert_ne!(parts("ab", "c"), parts("a", "bc"));
}
