//! Settings files, their faults and their secrets.

use std::{fs, os::unix::fs::PermissionsExt};

use settings::{Role, Settings, SettingsError};

const BAD: &str = "\
[process]
room = ghent 1
[store]
address = localhost:7400
retention_ms = 60000
claim_window_ms = 120000
stale_after_ms = 40000
[entry]
listne = 127.0.0.1:1
deadline_ms = soon
heartbeat_ms = 500
silence_ms = 600
";

#[test]
fn all_faults_are_told_at_once_with_line_and_remedy() {
    let faults = Settings::parse(Role::Entry, "entry.ini", BAD)
        .expect_err("it is full of faults");
    insta::assert_snapshot!("faults_of_a_file", faults.to_string());
}

#[test]
fn agent_needs_an_endpoint() {
    let faults = Settings::parse(Role::Agent, "agent.ini", "[process]\nroom = a\n");
    let faults = faults.expect_err("the endpoint is missing");
    let text = faults.to_string();
    assert!(text.contains("agent.endpoint"), "{text}");
}

#[test]
fn reference_page_is_up_to_date() {
    let page = include_str!("../docs/SETTINGS.md");
    assert_eq!(
        page,
        settings::reference(),
        "run `currantbank check --keys > docs/SETTINGS.md`"
    );
}

#[test]
fn open_secrets_are_refused_and_never_shown() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("secrets.ini");
    fs::write(&path, "[ticket]\nkey = do-not-show\n").expect("written");
    let text = format!("[process]\nroom = a\nsecrets_file = {}\n", path.display());
    fs::set_permissions(&path, fs::Permissions::from_mode(0o644)).expect("mode set");
    let faults =
        Settings::parse(Role::Entry, "e.ini", &text).expect_err("others may read");
    assert!(
        matches!(faults.0[0], SettingsError::InsecurePermissions { .. }),
        "{faults}"
    );
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).expect("mode set");
    let settings =
        Settings::parse(Role::Entry, "e.ini", &text).expect("it is closed now");
    assert!(!format!("{settings:?}").contains("do-not-show"));
}

#[test]
fn broken_secrets_file_does_not_quote_its_lines() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("secrets.ini");
    fs::write(&path, "[ticket\nkey do-not-show\n").expect("written");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).expect("mode set");
    let text = format!("[process]\nroom = a\nsecrets_file = {}\n", path.display());
    let faults =
        Settings::parse(Role::Entry, "e.ini", &text).expect_err("it is not INI");
    assert!(!faults.to_string().contains("do-not-show"), "{faults}");
}
