//! The command line: help, exit codes, JSON.

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
        .expect("it runs")
}

fn code(args: &[&str]) -> i32 {
    run(args).status.code().expect("it exits by itself")
}

#[test]
fn help_is_short_or_long() {
    let short = String::from_utf8(run(&["-h"]).stdout).expect("UTF-8");
    let long = String::from_utf8(run(&["--help"]).stdout).expect("UTF-8");
    assert!(long.lines().count() > short.lines().count());
    insta::assert_snapshot!("short_help_of_check", {
        String::from_utf8(run(&["check", "-h"]).stdout).expect("UTF-8")
    });
}

#[test]
fn wrong_usage_exits_with_two() {
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
        assert_eq!(code(&args), 2, "{args:?}");
    }
    assert_eq!(code(&["--version"]), 0);
    assert_eq!(code(&["check", "--keys"]), 0);
}

#[test]
fn entry_that_does_not_answer_exits_with_one() {
    let output = Command::new(PROGRAM)
        .args(["ctl", "status", "--entry", "127.0.0.1:1"])
        .env("CURRANTBANK_TOKEN", "x")
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn digest_reads_the_token_from_standard_input() {
    let mut child = Command::new(PROGRAM)
        .args(["ctl", "digest"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("it runs");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(b"members-token\n")
        .expect("written");
    let output = child.wait_with_output().expect("it ends");
    let digest = String::from_utf8(output.stdout).expect("UTF-8");
    assert_eq!(digest.trim(), crate::util::cluster::digest("members-token"));
}
