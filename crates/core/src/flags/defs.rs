//! One definition for each flag; help is made from these.

/// A flag: its names, its value's name, and its docs.
#[derive(Clone, Copy, Debug)]
pub struct FlagDef {
    /// Name after two dashes.
    pub long: &'static str,
    /// Letter after one dash.
    pub short: Option<char>,
    /// Name of its value; `None` for a switch.
    pub value: Option<&'static str>,
    /// Commands it belongs to.
    pub commands: &'static [&'static str],
    /// One line.
    pub short_doc: &'static str,
    /// A few lines.
    pub long_doc: &'static str,
}

const fn flag(
    long: &'static str,
    value: Option<&'static str>,
    commands: &'static [&'static str],
    short_doc: &'static str,
    long_doc: &'static str,
) -> FlagDef {
    FlagDef {
        long,
        short: None,
        value,
        commands,
        short_doc,
        long_doc,
    }
}

const fn lettered(short: char, def: FlagDef) -> FlagDef {
    FlagDef {
        short: Some(short),
        ..def
    }
}

/// Every flag.
pub const FLAGS: &[FlagDef] = &[
    lettered(
        'h',
        flag(
            "help",
            None,
            &["entry", "agent", "gateway", "check", "ctl"],
            "Print help; -h for the short form.",
            "Print help. -h prints one line a flag, --help prints all there is to say.",
        ),
    ),
    lettered(
        'V',
        flag(
            "version",
            None,
            &["entry", "agent", "gateway", "check", "ctl"],
            "Print the version.",
            "Print the version and end.",
        ),
    ),
    lettered(
        'c',
        flag(
            "config",
            Some("FILE"),
            &["entry", "agent", "gateway"],
            "Settings file, INI.",
            "Settings file, INI. Every key has a default but the room, and the endpoint of an agent. All faults are told at once, with exit code 2. A gateway without this flag takes the file that the environment variable CURRANTBANK_BOOT names.",
        ),
    ),
    flag(
        "role",
        Some("ROLE"),
        &["check"],
        "Check as entry (default), agent or gateway.",
        "Which daemon the file is for: entry, the default, agent or gateway. An agent also needs its endpoint's name.",
    ),
    flag(
        "keys",
        None,
        &["check"],
        "Print every key as a Markdown page.",
        "Print every key with its default, range and meaning as a Markdown page, and end. docs/SETTINGS.md is made with it.",
    ),
    lettered(
        'e',
        flag(
            "entry",
            Some("ADDRESS"),
            &["ctl"],
            "Operators' address of an entry.",
            "Operators' address of an entry, IP and port; 127.0.0.1:7001 by default. Any entry will do.",
        ),
    ),
    flag(
        "token-file",
        Some("FILE"),
        &["ctl"],
        "File with the operator's token.",
        "File whose first line is the operator's token. Without it the token is taken from the environment variable CURRANTBANK_TOKEN.",
    ),
    flag(
        "json",
        None,
        &["ctl"],
        "Print JSON.",
        "Print one JSON value in place of text for people.",
    ),
    flag(
        "change-id",
        Some("ID"),
        &["ctl"],
        "Id of the change; repeat it to ask again.",
        "Id of the change. After exit code 4 send the same command with the same id: if the change holds already, nothing happens and you are told so.",
    ),
    flag(
        "expect",
        Some("REVISION"),
        &["ctl"],
        "Revision that you saw.",
        "Revision of the object that you saw with `list`; 0 if it must not exist. Without it the present revision is looked up first, which still refuses a change that comes in between.",
    ),
    flag(
        "timeout-ms",
        Some("MS"),
        &["ctl"],
        "Longest wait for an answer.",
        "Longest wait for an answer, 15000 ms by default.",
    ),
    flag(
        "allow",
        Some("MODEL[@VERSION]"),
        &["ctl"],
        "Model or version that a team may use; repeatable.",
        "Model, or one version of it, that a team may use. Repeatable.",
    ),
    flag(
        "service",
        Some("NAME"),
        &["ctl"],
        "Plain service that a team may call; repeatable.",
        "Plain service that a team may call. Repeatable.",
    ),
    flag(
        "token-digest",
        Some("SHA256"),
        &["ctl"],
        "Digest of a team's token; repeatable.",
        "SHA-256 of a team's bearer token in hex, as `ctl digest` prints it. Repeatable, so that a token can be changed without a gap.",
    ),
    flag(
        "max-concurrent",
        Some("N"),
        &["ctl"],
        "Requests of a team at once.",
        "Requests of a team in progress at once, over all entries; 0, the default, for no bound.",
    ),
    flag(
        "tokens-per-minute",
        Some("N"),
        &["ctl"],
        "Output tokens of a team a minute.",
        "Output tokens of a team a minute, over all entries; 0, the default, for no bound.",
    ),
    flag(
        "weight",
        Some("N"),
        &["ctl"],
        "Share of a team under contention.",
        "Share of a team while slots are short, relative to the other teams; 1 by default.",
    ),
    flag(
        "serving",
        Some("VERSION"),
        &["ctl"],
        "Version that new sessions get.",
        "Version that new sessions of a model get outside roll-outs.",
    ),
    flag(
        "cost",
        Some("MICROS"),
        &["ctl"],
        "Price, millionths of a euro.",
        "Price in millionths of a euro: of 1,000 tokens for a version, of a call for a service.",
    ),
    flag(
        "quality",
        Some("Q"),
        &["ctl"],
        "Expected rating, 0 to 1.",
        "Expected rating of a version's answers, 0 to 1.",
    ),
    flag(
        "step",
        Some("MODEL[:RATING]"),
        &["ctl"],
        "Step of a cascade; repeatable, in order.",
        "Step of a cascade: a model, and the least rating with which its answer is returned. Repeatable, cheapest first; the last needs no rating.",
    ),
    flag(
        "idempotent",
        None,
        &["ctl"],
        "A service's calls may be repeated.",
        "A service's calls may be repeated. Without it each key runs at most once.",
    ),
    flag(
        "load",
        Some("MODEL@VERSION"),
        &["ctl"],
        "Version that an endpoint has loaded; repeatable.",
        "Version that an endpoint's engine is to have loaded. Repeatable; what is not named is unloaded once nothing runs on it.",
    ),
    flag(
        "to",
        Some("VERSION"),
        &["ctl"],
        "Version that a roll-out moves to.",
        "Version that a roll-out moves to.",
    ),
    flag(
        "percent",
        Some("P,P,..."),
        &["ctl"],
        "Shares of new sessions, step by step.",
        "Shares of new sessions that a roll-out gives the new version, step by step, rising, 1 to 100.",
    ),
    flag(
        "gate",
        Some("GATE"),
        &["ctl"],
        "How a roll-out passes steps.",
        "How a roll-out passes steps: `sequential`, the default, tests the new version's ratings against the serving one's; `fixed` goes by time alone.",
    ),
    flag(
        "step-ms",
        Some("MS"),
        &["ctl"],
        "Least time of a step.",
        "Least time that a roll-out's step lasts, 600000 ms by default.",
    ),
    flag(
        "reason",
        Some("TEXT"),
        &["ctl"],
        "Why, for the audit trail.",
        "Why a roll-out is moved or stopped; kept in the audit trail.",
    ),
    flag(
        "let-sessions-finish",
        None,
        &["ctl"],
        "A withdrawal spares sessions under way.",
        "A withdrawal sends new sessions elsewhere but lets sessions under way finish. Without it the version gets no work at all from then on.",
    ),
    flag(
        "who",
        Some("NAME"),
        &["ctl"],
        "Audit: this operator's changes.",
        "Audit: only this operator's changes.",
    ),
    flag(
        "object",
        Some("KIND/NAME"),
        &["ctl"],
        "Audit: objects that start so.",
        "Audit: only objects whose kind/name starts so, such as team/ or version/draft@v2.",
    ),
    flag(
        "since-ms",
        Some("MS"),
        &["ctl"],
        "Audit: since this time.",
        "Audit: only since this time, ms since 1970.",
    ),
    flag(
        "limit",
        Some("N"),
        &["ctl"],
        "Audit: the newest so many.",
        "Audit: only the newest so many entries; 50 by default, 0 for all.",
    ),
];
