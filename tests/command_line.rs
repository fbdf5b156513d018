//! Command-line help, exit codes and token digests.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use crate::util::process::PROGRAM;

fn run(args: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(args)
        .env_remove("CURRANTBANK_TOKEN")
        .output()
        .expect("the program starts")
}

fn exit_code(args: &[&str]) -> i32 {
    run(args)
        .status
        .code()
        .expect("the program was not ended by a signal")
}

#[test]
fn long_help_has_more_lines_than_short_help() {
    let short = String::from_utf8(run(&["-h"]).stdout).expect("UTF-8");
    let long = String::from_utf8(run(&["--help"]).stdout).expect("UTF-8");
    assert!(long.lines().count() > short.lines().count());
    insta::assert_snapshot!("short_help_of_check", {
        String::from_utf8(run(&["check", "-h"]).stdout).expect("UTF-8")
    });
}

#[test]
fn usage_error_exits_with_2() {
    for args in [
        vec!["fly"],
        vec!["entry"],
        vec!["entry", "--json"],
        vec!["ctl", "dance"],
        vec!["ctl", "put", "team"],
        vec!["ctl", "--expect", "many", "status"],
        vec!["entry", "--config", "/no/such/file"],
        vec!["check", "/no/such/file"],
        vec!["ctl", "status"],
    ] {
        assert_eq!(exit_code(&args), 2, "{args:?}");
    }
    assert_eq!(exit_code(&["--version"]), 0);
    assert_eq!(exit_code(&["check", "--keys"]), 0);
}

#[test]
fn unreachable_entry_exits_with_1() {
    let output = Command::new(PROGRAM)
        .args(["ctl", "status", "--entry", "127.0.0.1:1"])
        .env("CURRANTBANK_TOKEN", "x")
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn digest_reads_the_token_from_standard_input() {
    let mut child = Command::new(PROGRAM)
        .args(["ctl", "digest"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(b"members-token\n")
        .expect("token is written");
    let output = child.wait_with_output().expect("the program exits");
    let digest = String::from_utf8(output.stdout).expect("UTF-8");
    assert_eq!(digest.trim(), crate::util::cluster::digest("members-token"));
}
