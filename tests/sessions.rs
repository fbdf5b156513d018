//! Session tickets, and the version that a session is assigned to.

use config::{Gate, RolloutAction, WithdrawMode};
use route::{SelectionError, Session, Ticket, TicketError, TicketKeys, choose_version};

use crate::configuration::{control, rollout, two_versions, withdraw};

fn ticket() -> Ticket {
    Ticket {
        team: "members".into(),
        session: "dossier-1".into(),
        versions: [("draft".to_owned(), "v1".to_owned())].into(),
    }
}

#[test]
fn ticket_stays_valid_during_key_rotation() {
    let old = TicketKeys::new(&["first"]);
    let both = TicketKeys::new(&["second", "first"]);
    let new = TicketKeys::new(&["second"]);
    let text = old.sign(&ticket()).expect("a signing key exists");
    assert_eq!(both.verify(&text), Ok(ticket()));
    assert_eq!(new.verify(&text), Err(TicketError::BadSignature));
    let renewed = both.sign(&ticket()).expect("a signing key exists");
    assert_eq!(new.verify(&renewed), Ok(ticket()));
}

#[test]
fn forged_and_malformed_tickets_are_rejected() {
    let keys = TicketKeys::new(&["first"]);
    let text = keys.sign(&ticket()).expect("a signing key exists");
    let forged = Ticket {
        team: "others".into(),
        ..ticket()
    };
    let forged_text = TicketKeys::new(&["x"])
        .sign(&forged)
        .expect("a signing key exists");
    let parts: Vec<&str> = text.split('.').collect();
    let forged_parts: Vec<&str> = forged_text.split('.').collect();
    let mixed = format!("{}.{}.{}", parts[0], forged_parts[1], parts[2]);
    assert_eq!(keys.verify(&mixed), Err(TicketError::BadSignature));
    let too_long = "s1.".repeat(1_000);
    for malformed in [
        "",
        "s1",
        "s1.zz",
        "s1.zz.zz",
        "s2.aa.bb",
        "s1.aa.bb.cc",
        too_long.as_str(),
    ] {
        assert!(keys.verify(malformed).is_err(), "{malformed:?}");
    }
}

#[test]
fn session_on_withdrawn_version_is_refused() {
    let mut log = two_versions();
    let session = Session {
        name: "dossier-1",
        started_on: Some("v1"),
    };
    let choose = |config: &config::Config| {
        choose_version(config, "members", "draft", None, session, "r")
    };
    log.apply(rollout("draft", "v2", &[100], Gate::Fixed));
    log.apply(control("draft", RolloutAction::Advance));
    let kept = choose(&log.config).expect("v1 still serves existing sessions");
    assert_eq!((kept.version.as_str(), kept.continues), ("v1", true));
    log.apply(withdraw("draft", "v1", WithdrawMode::Now));
    assert_eq!(
        choose(&log.config),
        Err(SelectionError::Withdrawn("draft@v1".into()))
    );
}

#[test]
fn rollout_share_is_met_and_keeps_sessions_when_it_grows() {
    let mut log = two_versions();
    log.apply(rollout("draft", "v2", &[10, 50], Gate::Fixed));
    let on_new = |config: &config::Config| {
        let names: Vec<String> = (0..2_000).map(|i| format!("s{i}")).collect();
        let chosen = names.into_iter().filter(|name| {
            let session = Session {
                name,
                started_on: None,
            };
            let choice = choose_version(config, "members", "draft", None, session, "r");
            choice.is_ok_and(|choice| choice.version == "v2")
        });
        chosen.collect::<std::collections::BTreeSet<String>>()
    };
    let first = on_new(&log.config);
    log.apply(control("draft", RolloutAction::Advance));
    let second = on_new(&log.config);
    assert!((140..=260).contains(&first.len()), "{}", first.len());
    assert!((900..=1_100).contains(&second.len()), "{}", second.len());
    assert!(first.is_subset(&second));
}

#[test]
fn halted_rollout_sends_new_sessions_to_serving_version() {
    let mut log = two_versions();
    log.apply(rollout("draft", "v2", &[100], Gate::Sequential));
    log.apply(control("draft", RolloutAction::Halt));
    let choice = choose_version(
        &log.config,
        "members",
        "draft",
        None,
        Session::default(),
        "r",
    );
    assert_eq!(choice.map(|choice| choice.version), Ok("v1".to_owned()));
}
