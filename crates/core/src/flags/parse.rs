//! Parsing of the command line into a command.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use config::{
    CascadeSpec, CascadeStep, Change, Gate, ModelSpec, ObjectKey, PlacementSpec,
    RolloutAction, RolloutSpec, ServiceSpec, TeamSpec, VersionSpec, WithdrawMode,
};
use displaydoc::Display;
use lexopt::{Arg, Parser, ValueExt};
use settings::Role;

use super::{FLAGS, help};

/// Default of `--timeout-ms`, ms.
const DEFAULT_TIMEOUT_MS: u64 = 15_000;

/// Default of `--step-ms`, ms.
const DEFAULT_STEP_MS: u64 = 600_000;

/// Environment variable with the path of a gateway's settings file, used without
/// `--config`.
const GATEWAY_CONFIG_VARIABLE: &str = "CURRANTBANK_BOOT";

/// Default of `--limit`, in audit entries.
const DEFAULT_AUDIT_LIMIT: u32 = 50;

/// Error in a command line.
#[derive(Debug, Display)]
pub enum UsageError {
    /// {0}; see `currantbank --help`
    Lexer(lexopt::Error),
    /// unknown command {0:?}; use entry, agent, gateway, check or ctl
    UnknownCommand(String),
    /// unknown verb {0:?}; see `currantbank ctl --help`
    UnknownVerb(String),
    /// {0} is missing; see `currantbank --help`
    Missing(&'static str),
    /// invalid value {0:?} for --{1}; see `currantbank --help`
    InvalidValue(String, String),
    /// --{0} is not a flag of {1}; see `currantbank {1} -h`
    UnsupportedFlag(String, String),
}

impl std::error::Error for UsageError {}

impl From<lexopt::Error> for UsageError {
    fn from(err: lexopt::Error) -> Self {
        UsageError::Lexer(err)
    }
}

/// Result of parsing a command line.
#[derive(Debug)]
pub enum Parsed {
    /// Print this text and exit.
    Print(String),
    /// Run a command.
    Run(Command),
}

/// A command and its arguments.
#[derive(Debug)]
pub enum Command {
    /// Run an entry.
    Entry(DaemonArgs),
    /// Run an agent.
    Agent(DaemonArgs),
    /// Run a gateway.
    Gateway(DaemonArgs),
    /// Check a settings file.
    Check(CheckArgs),
    /// Call an entry as an operator.
    Ctl(Box<CtlArgs>),
}

/// Arguments of a daemon.
#[derive(Debug)]
pub struct DaemonArgs {
    /// Settings file.
    pub config: PathBuf,
}

/// Arguments of `check`.
#[derive(Debug)]
pub struct CheckArgs {
    /// Settings file to check; `None` to print the reference of all keys.
    pub file: Option<PathBuf>,
    /// Daemon that the file is for.
    pub role: Role,
}

/// Flags common to all verbs of `ctl`.
#[derive(Debug)]
pub struct CommonArgs {
    /// Operators' address of an entry.
    pub entry: SocketAddr,
    /// File with the operator's token.
    pub token_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// Id of the change; generated if absent.
    pub change_id: Option<String>,
    /// Expected revision of the object; read from the entry if absent.
    pub expect: Option<u64>,
    /// Timeout for a reply, ms.
    pub timeout_ms: u64,
}

/// Action of `ctl`.
#[derive(Debug)]
pub enum Action {
    /// Publish a change.
    Apply(Change),
    /// List the objects of a kind.
    List(String),
    /// Show the status of all instances.
    Status,
    /// Show the audit trail.
    Audit {
        /// Operator to filter by; empty for all.
        who: String,
        /// Prefix of `kind/name` to filter by; empty for all.
        object: String,
        /// Start of the period, ms since 1970.
        since_ms: u64,
        /// Number of newest entries; 0 for all.
        limit: u32,
    },
    /// Print the digest of a token read from standard input.
    Digest,
}

/// Arguments of `ctl`.
#[derive(Debug)]
pub struct CtlArgs {
    /// Flags common to all verbs.
    pub common: CommonArgs,
    /// Action to run.
    pub action: Action,
}

/// Positional arguments and flags in the order given, before interpretation.
#[derive(Debug, Default)]
struct RawArgs {
    positionals: Vec<String>,
    flags: Vec<(&'static str, String)>,
}

impl RawArgs {
    fn has(&self, name: &str) -> bool {
        self.flags.iter().any(|(flag, _)| *flag == name)
    }

    fn values(&self, name: &str) -> Vec<String> {
        let matching = self.flags.iter().filter(|(flag, _)| *flag == name);
        matching.map(|(_, value)| value.clone()).collect()
    }

    fn value(&self, name: &str) -> Option<&str> {
        let matching = self.flags.iter().rev().find(|(flag, _)| *flag == name);
        matching.map(|(_, value)| value.as_str())
    }

    fn value_or_empty(&self, name: &str) -> String {
        self.value(name).unwrap_or_default().to_owned()
    }

    fn parse_value<T>(&self, name: &str) -> Result<Option<T>, UsageError>
    where
        T: std::str::FromStr,
    {
        let Some(value) = self.value(name) else {
            return Ok(None);
        };
        let parsed = value.parse();
        parsed
            .map(Some)
            .map_err(|_| UsageError::InvalidValue(value.to_owned(), name.to_owned()))
    }

    fn positional(&self, index: usize, what: &'static str) -> Result<&str, UsageError> {
        self.positionals
            .get(index)
            .map(String::as_str)
            .ok_or(UsageError::Missing(what))
    }
}

/// Parses a command line, without the program name.
pub fn parse<I>(args: I) -> Result<Parsed, UsageError>
where
    I: IntoIterator<Item = OsString>,
{
    let mut parser = Parser::from_args(args);
    let mut raw = RawArgs::default();
    let mut command: Option<String> = None;
    while let Some(arg) = parser.next()? {
        let def = match arg {
            Arg::Value(word) => {
                let word = word.string()?;
                match command {
                    None => command = Some(word),
                    Some(_) => raw.positionals.push(word),
                }
                continue;
            }
            Arg::Short('h') => {
                return Ok(Parsed::Print(help::text(command.as_deref(), false)));
            }
            Arg::Long("help") => {
                return Ok(Parsed::Print(help::text(command.as_deref(), true)));
            }
            Arg::Short('V') | Arg::Long("version") => {
                let version = concat!("currantbank ", env!("CARGO_PKG_VERSION"), "\n");
                return Ok(Parsed::Print(version.into()));
            }
            Arg::Short(letter) => {
                let found = FLAGS.iter().find(|def| def.short == Some(letter));
                found.ok_or_else(|| Arg::Short(letter).unexpected())?
            }
            Arg::Long(long) => {
                let found = FLAGS.iter().find(|def| def.long == long);
                found.ok_or_else(|| Arg::Long(long).unexpected())?
            }
        };
        let command_name = command.clone().unwrap_or_default();
        if !command_name.is_empty() && !def.commands.contains(&command_name.as_str()) {
            return Err(UsageError::UnsupportedFlag(
                def.long.to_owned(),
                command_name,
            ));
        }
        let value = match def.value {
            Some(_) => parser.value()?.string()?,
            None => String::new(),
        };
        raw.flags.push((def.long, value));
    }
    let Some(command) = command else {
        return Ok(Parsed::Print(help::text(None, false)));
    };
    parse_command(&command, &raw).map(Parsed::Run)
}

fn parse_command(command: &str, raw: &RawArgs) -> Result<Command, UsageError> {
    match command {
        "entry" => Ok(Command::Entry(parse_daemon(raw)?)),
        "agent" => Ok(Command::Agent(parse_daemon(raw)?)),
        "gateway" => Ok(Command::Gateway(parse_gateway(raw)?)),
        "check" => parse_check(raw),
        "ctl" => parse_ctl(raw),
        other => Err(UsageError::UnknownCommand(other.to_owned())),
    }
}

fn parse_daemon(raw: &RawArgs) -> Result<DaemonArgs, UsageError> {
    let config = raw
        .value("config")
        .ok_or(UsageError::Missing("--config FILE"))?;
    Ok(DaemonArgs {
        config: config.into(),
    })
}

/// Takes the settings file from `--config` or from the environment variable,
/// which platforms set that generate the file themselves.
fn parse_gateway(raw: &RawArgs) -> Result<DaemonArgs, UsageError> {
    if raw.has("config") {
        return parse_daemon(raw);
    }
    let config = std::env::var_os(GATEWAY_CONFIG_VARIABLE);
    let config = config.ok_or(UsageError::Missing("--config FILE"))?;
    Ok(DaemonArgs {
        config: config.into(),
    })
}

fn parse_check(raw: &RawArgs) -> Result<Command, UsageError> {
    let role = match raw.value("role") {
        None | Some("entry") => Role::Entry,
        Some("agent") => Role::Agent,
        Some("gateway") => Role::Gateway,
        Some(other) => {
            return Err(UsageError::InvalidValue(
                other.to_owned(),
                "role".to_owned(),
            ));
        }
    };
    let file = if raw.has("keys") {
        None
    } else {
        Some(raw.positional(0, "the settings FILE")?.into())
    };
    Ok(Command::Check(CheckArgs { file, role }))
}

fn parse_ctl(raw: &RawArgs) -> Result<Command, UsageError> {
    let entry = raw.parse_value("entry")?;
    let common = CommonArgs {
        entry: entry.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 7001))),
        token_file: raw.value("token-file").map(PathBuf::from),
        json: raw.has("json"),
        change_id: raw.value("change-id").map(str::to_owned),
        expect: raw.parse_value("expect")?,
        timeout_ms: raw.parse_value("timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS),
    };
    let action = parse_action(raw)?;
    Ok(Command::Ctl(Box::new(CtlArgs { common, action })))
}

fn parse_action(raw: &RawArgs) -> Result<Action, UsageError> {
    match raw.positional(0, "the verb")? {
        "put" => Ok(Action::Apply(parse_put(raw)?)),
        "rollout" => Ok(Action::Apply(parse_rollout(raw)?)),
        "withdraw" => {
            let (model, version) =
                parse_version_name(raw.positional(1, "MODEL@VERSION")?)?;
            let mode = if raw.has("let-sessions-finish") {
                WithdrawMode::LetSessionsFinish
            } else {
                WithdrawMode::Now
            };
            Ok(Action::Apply(Change::Withdraw {
                model,
                version,
                mode,
            }))
        }
        "reinstate" => {
            let (model, version) =
                parse_version_name(raw.positional(1, "MODEL@VERSION")?)?;
            Ok(Action::Apply(Change::Reinstate { model, version }))
        }
        "delete" => {
            let key = parse_object_key(
                raw.positional(1, "KIND")?,
                raw.positional(2, "NAME")?,
            )?;
            Ok(Action::Apply(Change::Delete(key)))
        }
        "list" => Ok(Action::List(raw.positional(1, "KIND")?.to_owned())),
        "status" => Ok(Action::Status),
        "audit" => Ok(Action::Audit {
            who: raw.value_or_empty("who"),
            object: raw.value_or_empty("object"),
            since_ms: raw.parse_value("since-ms")?.unwrap_or(0),
            limit: raw.parse_value("limit")?.unwrap_or(DEFAULT_AUDIT_LIMIT),
        }),
        "digest" => Ok(Action::Digest),
        other => Err(UsageError::UnknownVerb(other.to_owned())),
    }
}

fn parse_version_name(name: &str) -> Result<(String, String), UsageError> {
    let (model, version) = name
        .split_once('@')
        .ok_or(UsageError::Missing("the @VERSION after the model"))?;
    Ok((model.to_owned(), version.to_owned()))
}

fn parse_object_key(kind: &str, name: &str) -> Result<ObjectKey, UsageError> {
    let name = name.to_owned();
    Ok(match kind {
        "team" => ObjectKey::Team(name),
        "model" => ObjectKey::Model(name),
        "cascade" => ObjectKey::Cascade(name),
        "rollout" => ObjectKey::Rollout(name),
        "service" => ObjectKey::Service(name),
        "placement" => ObjectKey::Placement(name),
        "version" => {
            let (model, version) = parse_version_name(&name)?;
            ObjectKey::Version(model, version)
        }
        other => return Err(UsageError::UnknownVerb(format!("delete {other}"))),
    })
}

fn parse_put(raw: &RawArgs) -> Result<Change, UsageError> {
    let kind = raw.positional(1, "the object's KIND")?;
    let name = raw.positional(2, "the object's NAME")?.to_owned();
    match kind {
        "team" => Ok(Change::Team(TeamSpec {
            name,
            token_digests: raw.values("token-digest"),
            allowed: raw.values("allow"),
            services: raw.values("service"),
            max_concurrent: raw.parse_value("max-concurrent")?.unwrap_or(0),
            tokens_per_minute: raw.parse_value("tokens-per-minute")?.unwrap_or(0),
            weight: raw.parse_value("weight")?.unwrap_or(1),
        })),
        "model" => Ok(Change::Model(ModelSpec {
            name,
            serving: raw.value_or_empty("serving"),
        })),
        "version" => {
            let (model, version) = parse_version_name(&name)?;
            Ok(Change::Version(VersionSpec {
                model,
                version,
                cost_micros_per_ktoken: raw.parse_value("cost")?.unwrap_or(0),
                quality: raw.parse_value("quality")?.unwrap_or(0.0),
            }))
        }
        "cascade" => {
            let steps = raw.values("step");
            let steps: Result<Vec<CascadeStep>, UsageError> =
                steps.iter().map(|step| parse_cascade_step(step)).collect();
            Ok(Change::Cascade(CascadeSpec {
                name,
                steps: steps?,
            }))
        }
        "placement" => Ok(Change::Placement(PlacementSpec {
            endpoint: name,
            versions: raw.values("load"),
        })),
        "service" => Ok(Change::Service(ServiceSpec {
            name,
            idempotent: raw.has("idempotent"),
            cost_micros: raw.parse_value("cost")?.unwrap_or(0),
        })),
        other => Err(UsageError::UnknownVerb(format!("put {other}"))),
    }
}

fn parse_cascade_step(text: &str) -> Result<CascadeStep, UsageError> {
    let (model, rating) = text.split_once(':').unwrap_or((text, "0"));
    let pass_rating = rating
        .parse()
        .map_err(|_| UsageError::InvalidValue(text.to_owned(), "step".to_owned()))?;
    Ok(CascadeStep {
        model: model.to_owned(),
        pass_rating,
    })
}

fn parse_rollout(raw: &RawArgs) -> Result<Change, UsageError> {
    let verb = raw.positional(
        1,
        "the rollout action (start, advance, pause, resume or abort)",
    )?;
    let model = raw.positional(2, "MODEL")?.to_owned();
    let action = match verb {
        "start" => return parse_rollout_start(raw, model),
        "advance" => RolloutAction::Advance,
        "pause" => RolloutAction::Pause,
        "resume" => RolloutAction::Resume,
        "abort" => RolloutAction::Abort,
        other => return Err(UsageError::UnknownVerb(format!("rollout {other}"))),
    };
    Ok(Change::RolloutControl {
        model,
        action,
        reason: raw.value_or_empty("reason"),
    })
}

fn parse_rollout_start(raw: &RawArgs, model: String) -> Result<Change, UsageError> {
    let to = raw
        .value("to")
        .ok_or(UsageError::Missing("--to VERSION"))?
        .to_owned();
    let shares = raw
        .value("percent")
        .ok_or(UsageError::Missing("--percent P,P,..."))?;
    let percents: Result<Vec<u32>, _> = shares
        .split(',')
        .map(|share| share.trim().parse())
        .collect();
    let percents = percents.map_err(|_| {
        UsageError::InvalidValue(shares.to_owned(), "percent".to_owned())
    })?;
    let gate = match raw.value("gate") {
        None | Some("sequential") => Gate::Sequential,
        Some("fixed") => Gate::Fixed,
        Some(other) => {
            return Err(UsageError::InvalidValue(
                other.to_owned(),
                "gate".to_owned(),
            ));
        }
    };
    let step_ms = raw.parse_value("step-ms")?.unwrap_or(DEFAULT_STEP_MS);
    Ok(Change::Rollout(RolloutSpec {
        model,
        to,
        percents,
        gate,
        step_ms,
    }))
}
