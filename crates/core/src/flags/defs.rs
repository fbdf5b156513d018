//! Definitions of all flags, used by the parser and the help texts.

/// Definition of a flag.
#[derive(Clone, Copy, Debug)]
pub struct FlagDef {
    /// Long name, without the dashes.
    pub long: &'static str,
    /// Short name, a single letter.
    pub short: Option<char>,
    /// Placeholder of the value in help; `None` for a flag without a value.
    pub value: Option<&'static str>,
    /// Commands that accept the flag.
    pub commands: &'static [&'static str],
    /// One-line description, printed by `-h`.
    pub short_doc: &'static str,
    /// Full description, printed by `--help`.
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

const fn with_short(short: char, def: FlagDef) -> FlagDef {
    FlagDef {
        short: Some(short),
        ..def
    }
}

/// All flags, in the order of the help text.
pub const FLAGS: &[FlagDef] = &[
    with_short(
        'h',
        flag(
            "help",
            None,
            &["entry", "agent", "gateway", "check", "ctl"],
            "Print help; -h for the short form.",
            "Print help. -h prints one line per flag, --help the full descriptions.",
        ),
    ),
    with_short(
        'V',
        flag(
            "version",
            None,
            &["entry", "agent", "gateway", "check", "ctl"],
            "Print the version.",
            "Print the version and exit.",
        ),
    ),
    with_short(
        'c',
        flag(
            "config",
            Some("FILE"),
            &["entry", "agent", "gateway"],
            "Settings file, INI.",
            "Settings file, INI. Every key has a default except process.room and, for an agent, agent.endpoint. All errors in the file are reported together, with exit code 2. A gateway without this flag reads the file named by the environment variable CURRANTBANK_BOOT.",
        ),
    ),
    flag(
        "role",
        Some("ROLE"),
        &["check"],
        "Check as entry (default), agent or gateway.",
        "Daemon that the file is for: entry (the default), agent or gateway. An agent must also name its endpoint.",
    ),
    flag(
        "keys",
        None,
        &["check"],
        "Print every key as a Markdown page.",
        "Print every key with its default, range and meaning as a Markdown page, and exit. docs/SETTINGS.md is generated with this flag.",
    ),
    with_short(
        'e',
        flag(
            "entry",
            Some("ADDRESS"),
            &["ctl"],
            "Operators' address of an entry.",
            "Operators' address of an entry, IP and port; 127.0.0.1:7001 by default. Any entry can be used.",
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
        "Print JSON instead of text.",
    ),
    flag(
        "change-id",
        Some("ID"),
        &["ctl"],
        "Id of the change; reuse it to retry.",
        "Id of the change. After exit code 4, repeat the same command with the same id: a change that was already applied is not applied again, and its result is reported.",
    ),
    flag(
        "expect",
        Some("REVISION"),
        &["ctl"],
        "Expected revision of the object.",
        "Expected revision of the object, as printed by `list`; 0 if the object must not exist. Without this flag the current revision is read first, so a concurrent change after that read is still a conflict.",
    ),
    flag(
        "timeout-ms",
        Some("MS"),
        &["ctl"],
        "Timeout for a reply.",
        "Timeout for a reply, 15000 ms by default.",
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
        "SHA-256 of a team's bearer token in hex, as `ctl digest` prints it. Repeatable, so that a token can be rotated without an interruption.",
    ),
    flag(
        "max-concurrent",
        Some("N"),
        &["ctl"],
        "Concurrent requests of a team.",
        "Maximum number of concurrent requests of a team, over all entries; 0, the default, for no limit.",
    ),
    flag(
        "tokens-per-minute",
        Some("N"),
        &["ctl"],
        "Output tokens of a team per minute.",
        "Maximum output tokens of a team per minute, over all entries; 0, the default, for no limit.",
    ),
    flag(
        "weight",
        Some("N"),
        &["ctl"],
        "Share of a team under contention.",
        "Share of a team relative to the other teams while slots are scarce; 1 by default.",
    ),
    flag(
        "serving",
        Some("VERSION"),
        &["ctl"],
        "Version that new sessions get.",
        "Version that new sessions of a model get while no rollout is in progress.",
    ),
    flag(
        "cost",
        Some("MICROS"),
        &["ctl"],
        "Price, millionths of a euro.",
        "Price in millionths of a euro: per 1,000 tokens for a version, per call for a service.",
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
        "Step of a cascade: a model, and the minimum rating at which its answer is returned. Repeatable, cheapest model first; the last step needs no rating.",
    ),
    flag(
        "idempotent",
        None,
        &["ctl"],
        "A service's calls may be repeated.",
        "A service's calls may be repeated. Without this flag a call runs at most once per idempotency key.",
    ),
    flag(
        "load",
        Some("MODEL@VERSION"),
        &["ctl"],
        "Version that an endpoint must load; repeatable.",
        "Version that an endpoint's engine must load. Repeatable; versions not listed are unloaded when no request runs on them.",
    ),
    flag(
        "to",
        Some("VERSION"),
        &["ctl"],
        "Version that a rollout moves to.",
        "Version that a rollout moves to.",
    ),
    flag(
        "percent",
        Some("P,P,..."),
        &["ctl"],
        "Percentages of new sessions, one per step.",
        "Percentages of new sessions that a rollout gives the new version, one per step, increasing, 1 to 100.",
    ),
    flag(
        "gate",
        Some("GATE"),
        &["ctl"],
        "How a rollout advances.",
        "How a rollout advances to the next step: `sequential`, the default, tests the new version's ratings against those of the serving version; `fixed` advances by time alone.",
    ),
    flag(
        "step-ms",
        Some("MS"),
        &["ctl"],
        "Minimum duration of a step.",
        "Minimum duration of a rollout's step, 600000 ms by default.",
    ),
    flag(
        "reason",
        Some("TEXT"),
        &["ctl"],
        "Reason, for the audit trail.",
        "Reason for advancing or stopping a rollout; recorded in the audit trail.",
    ),
    flag(
        "let-sessions-finish",
        None,
        &["ctl"],
        "Withdraw for new sessions only.",
        "Withdraw the version for new sessions only and let existing sessions finish. Without this flag the version gets no requests at all after the withdrawal.",
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
        "Audit: objects with this prefix.",
        "Audit: only objects whose kind/name starts with this text, such as team/ or version/draft@v2.",
    ),
    flag(
        "since-ms",
        Some("MS"),
        &["ctl"],
        "Audit: changes since this time.",
        "Audit: only changes since this time, in ms since 1970.",
    ),
    flag(
        "limit",
        Some("N"),
        &["ctl"],
        "Audit: number of newest entries.",
        "Audit: only the newest N entries; 50 by default, 0 for all.",
    ),
];
