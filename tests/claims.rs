//! State of claims on non-idempotent work, replayed from the log.

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

fn replay(events: Vec<ClaimEvent>) -> Claims {
    let mut claims = Claims::default();
    for (offset, event) in events.into_iter().enumerate() {
        claims.apply(offset as u64, &ClaimRecord::new(0, vec![event]).encode());
    }
    claims
}

fn status(claims: &Claims, claim: &Claim) -> ClaimStatus {
    claims.claim_status("desk", "deed-7", &claim.id())
}

#[test]
fn first_claim_wins_and_second_is_taken() {
    let (first, second) = (claim("r1", "a1"), claim("r2", "a2"));
    let claims = replay(vec![
        ClaimEvent::Claim(first.clone()),
        ClaimEvent::Claim(second.clone()),
    ]);
    assert_eq!(status(&claims, &first), ClaimStatus::Won);
    assert_eq!(status(&claims, &second), ClaimStatus::Taken);
}

#[test]
fn void_takes_effect_only_before_the_claim() {
    let claim = claim("r1", "a1");
    let before = replay(vec![void(&claim), ClaimEvent::Claim(claim.clone())]);
    assert_eq!(status(&before, &claim), ClaimStatus::Voided);
    let after = replay(vec![ClaimEvent::Claim(claim.clone()), void(&claim)]);
    assert_eq!(status(&after, &claim), ClaimStatus::Won);
}

#[test]
fn claim_is_ended_only_by_its_holder() {
    let (claim, other) = (claim("r1", "a1"), claim("r1", "a2"));
    let claims = replay(vec![
        ClaimEvent::Claim(claim.clone()),
        ended(&other, Ending::NotRun),
    ]);
    assert_eq!(status(&claims, &claim), ClaimStatus::Won);
}

#[test]
fn released_key_can_be_claimed_by_others_but_not_by_same_attempt() {
    let (claim, next) = (claim("r1", "a1"), claim("r2", "a2"));
    let claims = replay(vec![
        ClaimEvent::Claim(claim.clone()),
        ended(&claim, Ending::NotRun),
        ClaimEvent::Claim(claim.clone()),
        ClaimEvent::Claim(next.clone()),
    ]);
    assert_eq!(status(&claims, &claim), ClaimStatus::Voided);
    assert_eq!(status(&claims, &next), ClaimStatus::Won);
}

#[test]
fn done_claim_keeps_its_answer_and_unknown_ending_is_final() {
    let claim = claim("r1", "a1");
    let done = replay(vec![
        ClaimEvent::Claim(claim.clone()),
        ended(&claim, Ending::Done),
    ]);
    let ClaimStatus::Ended { ending, answer, .. } = status(&done, &claim) else {
        panic!("the claim has not ended");
    };
    assert_eq!((ending, answer.as_str()), (Ending::Done, "filed"));
    let unknown = replay(vec![
        ClaimEvent::Claim(claim.clone()),
        ended(&claim, Ending::Unknown),
        ended(&claim, Ending::NotRun),
    ]);
    assert!(matches!(
        status(&unknown, &claim),
        ClaimStatus::Ended {
            ending: Ending::Unknown,
            ..
        }
    ));
}

#[test]
fn first_binding_of_a_session_wins() {
    let bind = |version: &str| ClaimEvent::Bind {
        team: "desk".into(),
        session: "s1".into(),
        model: "draft".into(),
        version: version.into(),
    };
    let claims = replay(vec![bind("v1"), bind("v2")]);
    assert_eq!(claims.binding("desk", "s1", "draft"), Some("v1"));
    assert_eq!(claims.binding("other", "s1", "draft"), None);
}

#[test]
fn unsupported_record_blocks_replay_and_truncated_one_is_skipped() {
    let claim = claim("r1", "a1");
    let mut claims = Claims::default();
    claims.apply(0, r#"{"v":1,"events":["#);
    claims.apply(1, &ClaimRecord::claim(0, claim.clone()).encode());
    claims.apply(2, r#"{"v":9}"#);
    claims.apply(
        3,
        &ClaimRecord::new(0, vec![ended(&claim, Ending::Done)]).encode(),
    );
    assert_eq!(status(&claims, &claim), ClaimStatus::Won);
    assert_eq!(claims.blocked_at, Some(2));
}

#[test]
fn partition_keeps_team_and_key_apart() {
    let partition = |team: &str, key: &str| claim::partition(team, key, 1_000_000_007);
    assert_ne!(partition("ab", "c"), partition("a", "bc"));
}
