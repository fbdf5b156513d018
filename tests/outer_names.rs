//! Checks docs/outer-names.txt, the names that an upgrade may rely on, against
//! the code's own tables.

use std::{collections::BTreeSet, process::Command};

use settings::{KEYS, ValueKind};
use telemetry::METRICS;

use crate::util::process::PROGRAM;

const LIST: &str = include_str!("../docs/outer-names.txt");

/// Groups of the list whose names all stand in a table of the code.
const TABLE_GROUPS: &[&str] = &[
    "# Sections of settings files",
    "# Keys of settings files",
    "# Values of settings",
    "# Flags",
    "# Metrics sent to StatsD",
];

/// Long flags, as the help of each command prints them.
fn flags() -> BTreeSet<String> {
    let mut flags = BTreeSet::new();
    for command in ["entry", "agent", "gateway", "check", "ctl"] {
        let output = Command::new(PROGRAM)
            .args([command, "--help"])
            .output()
            .expect("the program starts");
        let help = String::from_utf8(output.stdout).expect("help is UTF-8");
        for line in help.lines().map(str::trim_start) {
            let names = line.split_whitespace().take(2);
            let long = names.filter_map(|name| name.strip_prefix("--"));
            flags.extend(long.map(str::to_owned).filter(|_| line.starts_with('-')));
        }
    }
    flags
}

fn table_names() -> BTreeSet<String> {
    let mut names = flags();
    for def in KEYS {
        names.extend([def.section.to_owned(), def.key.to_owned()]);
        if let ValueKind::Choice(values) = def.kind {
            names.extend(values.iter().map(|value| (*value).to_owned()));
        }
    }
    names.extend(METRICS.iter().map(|metric| metric.name.to_owned()));
    names
}

#[test]
fn names_of_settings_flags_and_metrics_are_on_the_list_and_no_others() {
    let names = table_names();
    assert!(names.len() > 100, "{names:?}");
    let mut listed = BTreeSet::new();
    let mut unknown = Vec::new();
    let mut group = "";
    for line in LIST.lines().filter(|line| !line.is_empty()) {
        if line.starts_with('#') {
            group = line;
            continue;
        }
        listed.insert(line.to_owned());
        if TABLE_GROUPS.contains(&group) && !names.contains(line) {
            unknown.push(line);
        }
    }
    let missing: Vec<_> = names.difference(&listed).collect();
    assert!(missing.is_empty(), "not on the list: {missing:?}");
    assert!(unknown.is_empty(), "in no table of the code: {unknown:?}");
    for head in TABLE_GROUPS {
        assert!(LIST.lines().any(|line| line == *head), "no group {head}");
    }
}
