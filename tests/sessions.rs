//! Versions of sessions, and their tickets.

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
fn ticket_is_kept_over_a_change_of_keys() {
    let old = TicketKeys::new(&["first"]);
    let both = TicketKeys::new(&["second", "first"]);
    let new = TicketKeys::new(&["second"]);
    let text = old.sign(&ticket()).expect("there is a key");
    assert_eq!(both.verify(&text), Ok(ticket()));
    assert_eq!(new.verify(&text), Err(TicketError::BadSignature));
    let renewed = both.sign(&ticket()).expect("there is a key");
    assert_eq!(new.verify(&renewed), Ok(ticket()));
}

#[test]
fn forged_and_malformed_tickets_are_refused() {
    let keys = TicketKeys::new(&["first"]);
    let text = keys.sign(&ticket()).expect("there is a key");
    let forged = Ticket {
        team: "others".into(),
        ..ticket()
    };
    let body = TicketKeys::new(&["x"])
        .sign(&forged)
        .expect("there is a key");
    let parts: Vec<&str> = text.split('.').collect();
    let other: Vec<&str> = body.split('.').collect();
    let mixed = format!("{}.{}.{}", parts[0], other[1], parts[2]);
    assert_eq!(keys.verify(&mixed), Err(TicketError::BadSignature));
    let long = "s1.".repeat(1_000);
    for bad in [
        "",
        "s1",
        "s1.zz",
        "s1.zz.zz",
        "s2.aa.bb",
        "s1.aa.bb.cc",
        long.as_str(),
    ] {
        assert!(keys.verify(bad).is_err(), "{bad:?}");
    }
}

#[test]
fn session_is_refused_rather_than_moved() {
    let mut folded = two_versions();
    let session = Session {
        name: "dossier-1",
        started_on: Some("v1"),
    };
    let choose = |config: &config::Config| {
        choose_version(config, "members", "draft", None, session, "r")
    };
    folded.change(rollout("draft", "v2", &[100], Gate::Fixed));
    folded.change(control("draft", RolloutAction::Advance));
    let kept = choose(&folded.config).expect("v1 still serves its sessions");
    assert_eq!((kept.version.as_str(), kept.continues), ("v1", true));
    folded.change(withdraw("draft", "v1", WithdrawMode::Now));
    assert_eq!(
        choose(&folded.config),
        Err(SelectionError::Withdrawn("draft@v1".into()))
    );
}

#[test]
fn rollout_share_is_met_and_grows_without_moving_anyone_back() {
    let mut folded = two_versions();
    folded.change(rollout("draft", "v2", &[10, 50], Gate::Fixed));
    let on_new = |config: &config::Config| {
        let names: Vec<String> = (0..2_000).map(|at| format!("s{at}")).collect();
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
    let first = on_new(&folded.config);
    folded.change(control("draft", RolloutAction::Advance));
    let second = on_new(&folded.config);
    assert!((140..=260).contains(&first.len()), "{}", first.len());
    assert!((900..=1_100).contains(&second.len()), "{}", second.len());
    assert!(first.is_subset(&second));
}

#[test]
fn halted_rollout_sends_new_sessions_back() {
    let mut folded = two_versions();
    folded.change(rollout("draft", "v2", &[100], Gate::Sequential));
    folded.change(control("draft", RolloutAction::Halt));
    let choice = choose_version(
        &folded.config,
        "members",
        "draft",
        None,
        Session::default(),
        "r",
    );
    assert_eq!(choice.map(|choice| choice.version), Ok("v1".to_owned()));
}
