//! Help texts, generated from the flag definitions.

use std::fmt::Write;

use super::FLAGS;

/// Maximum width of a help line, in columns.
const COLUMNS: usize = 79;

/// Indentation of the long description of a flag.
const INDENT: &str = "        ";

const USAGE: &str = "\
usage: currantbank entry --config FILE
       currantbank agent --config FILE
       currantbank gateway [--config FILE]
       currantbank check [--role ROLE] FILE
       currantbank ctl [FLAGS] VERB ...
";

const VERBS: &str = "\
verbs of ctl:
  put team|model|version|cascade|service|placement NAME   create or change
  rollout start|advance|pause|resume|abort MODEL
  withdraw MODEL@VERSION    reinstate MODEL@VERSION
  delete KIND NAME          list KIND
  status                    audit
  digest                    digest of the token read from standard input

exit codes: 0 success, 1 failure, 2 invalid usage or settings, 3 conflict,
            4 outcome unknown (repeat with the same --change-id),
            5 invalid change
";

/// Returns the help text for all commands or for one, with the short or long
/// description of each flag.
pub fn text(command: Option<&str>, long: bool) -> String {
    let mut out =
        String::from("currantbank routes requests to model versions and services.\n\n");
    out.push_str(USAGE);
    if command.is_none() || command == Some("ctl") {
        out.push('\n');
        out.push_str(VERBS);
    }
    out.push_str("\nflags:\n");
    for def in FLAGS {
        if command.is_some_and(|command| !def.commands.contains(&command)) {
            continue;
        }
        let letter = def
            .short
            .map_or("    ".into(), |short| format!("-{short}, "));
        let value = def.value.map_or(String::new(), |value| format!(" {value}"));
        let names = format!("{letter}--{}{value}", def.long);
        if long {
            let _ = writeln!(out, "  {names}\n{}", wrap(def.long_doc));
        } else {
            let _ = writeln!(out, "  {names:<34} {}", def.short_doc);
        }
    }
    out
}

/// Indents `text` and wraps it at `COLUMNS`.
fn wrap(text: &str) -> String {
    let mut out = String::new();
    let mut line = String::from(INDENT);
    for word in text.split_whitespace() {
        if line.len() + word.len() + 1 > COLUMNS && line.trim() != "" {
            out.push_str(line.trim_end());
            out.push('\n');
            line = String::from(INDENT);
        }
        line.push_str(word);
        line.push(' ');
    }
    out.push_str(line.trim_end());
    out.push('\n');
    out
}
