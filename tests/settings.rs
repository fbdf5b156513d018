//! Parsing of settings files, reports of their faults, and the secrets file.

use std::{fs, os::unix::fs::PermissionsExt};

use settings::{Role, Settings, SettingsError};

const FAULTY_SETTINGS: &str = "\
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
fn all_faults_are_reported_with_line_and_remedy() {
    let faults = Settings::parse(Role::Entry, "entry.ini", FAULTY_SETTINGS)
        .expect_err("the settings are faulty");
    insta::assert_snapshot!("faults_of_a_file", faults.to_string());
}

#[test]
fn agent_without_an_endpoint_is_rejected() {
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
fn secrets_readable_by_others_are_rejected_and_never_printed() {
    let dir = tempfile::tempdir().expect("temporary directory is created");
    let path = dir.path().join("secrets.ini");
    fs::write(&path, "[ticket]\nkey = do-not-show\n").expect("secrets file is written");
    let text = format!("[process]\nroom = a\nsecrets_file = {}\n", path.display());
    fs::set_permissions(&path, fs::Permissions::from_mode(0o644))
        .expect("file mode is set");
    let faults = Settings::parse(Role::Entry, "e.ini", &text)
        .expect_err("others can read the secrets file");
    assert!(
        matches!(faults.0[0], SettingsError::InsecurePermissions { .. }),
        "{faults}"
    );
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600))
        .expect("file mode is set");
    let settings = Settings::parse(Role::Entry, "e.ini", &text)
        .expect("only the owner can read the secrets file");
    assert!(!format!("{settings:?}").contains("do-not-show"));
}

#[test]
fn malformed_secrets_file_is_not_quoted_in_faults() {
    let dir = tempfile::tempdir().expect("temporary directory is created");
    let path = dir.path().join("secrets.ini");
    fs::write(&path, "[ticket\nkey do-not-show\n").expect("secrets file is written");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o600))
        .expect("file mode is set");
    let text = format!("[process]\nroom = a\nsecrets_file = {}\n", path.display());
    let faults = Settings::parse(Role::Entry, "e.ini", &text)
        .expect_err("the secrets file is not valid INI");
    assert!(!faults.to_string().contains("do-not-show"), "{faults}");
}
