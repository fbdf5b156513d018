//! From arguments to commands.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use config::{
    CascadeSpec, CascadeStep, Change, Gate, ModelSpec, ObjectKey, PlacementSpec,
    RolloutAction, RolloutSpec, ServiceSpec, TeamSpec, VersionSpec, WithdrawMode,
};
use displaydoc::Display;
use lexopt::{Arg, Parser, ValueExt};
use settings::Role;

use super::{FLAGS, help};

/// Longest wait for an answer, unless the flag says otherwise, ms.
const TIMEOUT_MS: u64 = 15_000;

/// Least time of a roll-out's step, unless the flag says otherwise, ms.
const STEP_MS: u64 = 600_000;

/// Names a gateway's settings file where no flag does.
const CONFIG_VARIABLE: &str = "CURRANTBANK_BOOT";

/// Audit entries shown, unless the flag says otherwise.
const AUDIT_LIMIT: u32 = 50;

/// What is wrong with a command line.
#[derive(Debug, Display)]
pub enum FlagError {
    /// {0}; see `currantbank --help`
    Lexer(lexopt::Error),
    /// no command {0:?}; give entry, agent, gateway, check or ctl
    Command(String),
    /// no verb {0:?}; see `currantbank ctl --help`
    Verb(String),
    /// {0} is missing; see `currantbank --help`
    Missing(&'static str),
    /// {0:?} is not a value for --{1}; see `currantbank --help`
    Value(String, String),
    /// --{0} does not belong to {1}; see `currantbank {1} -h`
    Foreign(String, String),
}

impl std::error::Error for FlagError {}

impl From<lexopt::Error> for FlagError {
    fn from(err: lexopt::Error) -> Self {
        FlagError::Lexer(err)
    }
}

/// What a command line comes to.
#[derive(Debug)]
pub enum Parsed {
    /// Print this and end.
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
    /// File to check; `None` to print the keys.
    pub file: Option<PathBuf>,
    /// Daemon that the file is for.
    pub role: Role,
}

/// What all verbs of `ctl` take.
#[derive(Debug)]
pub struct Common {
    /// Operators' address of an entry.
    pub entry: SocketAddr,
    /// File with the token.
    pub token_file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// Id of the change.
    pub change_id: Option<String>,
    /// Revision that the operator saw.
    pub expect: Option<u64>,
    /// Longest wait for an answer, ms.
    pub timeout_ms: u64,
}

/// What `ctl` is to do.
#[derive(Debug)]
pub enum Action {
    /// Publish a change.
    Apply(Change),
    /// List the objects of a kind.
    List(String),
    /// Show the instances.
    Status,
    /// Show the audit trail.
    Audit {
        /// Only this operator's.
        who: String,
        /// Only objects that start so.
        object: String,
        /// Only since, ms since 1970.
        since_ms: u64,
        /// Only the newest so many.
        limit: u32,
    },
    /// Print the digest of a token.
    Digest,
}

/// Arguments of `ctl`.
#[derive(Debug)]
pub struct CtlArgs {
    /// What all verbs take.
    pub common: Common,
    /// What to do.
    pub action: Action,
}

/// Flags and words as they were given.
#[derive(Debug, Default)]
struct Given {
    words: Vec<String>,
    flags: Vec<(&'static str, String)>,
}

impl Given {
    fn has(&self, name: &str) -> bool {
        self.flags.iter().any(|(flag, _)| *flag == name)
    }

    fn all(&self, name: &str) -> Vec<String> {
        let found = self.flags.iter().filter(|(flag, _)| *flag == name);
        found.map(|(_, value)| value.clone()).collect()
    }

    fn last(&self, name: &str) -> Option<&str> {
        let found = self.flags.iter().rev().find(|(flag, _)| *flag == name);
        found.map(|(_, value)| value.as_str())
    }

    fn text(&self, name: &str) -> String {
        self.last(name).unwrap_or_default().to_owned()
    }

    fn parsed<T>(&self, name: &str) -> Result<Option<T>, FlagError>
    where
        T: std::str::FromStr,
    {
        let Some(value) = self.last(name) else {
            return Ok(None);
        };
        let parsed = value.parse();
        parsed
            .map(Some)
            .map_err(|_| FlagError::Value(value.to_owned(), name.to_owned()))
    }

    fn word(&self, at: usize, what: &'static str) -> Result<&str, FlagError> {
        self.words
            .get(at)
            .map(String::as_str)
            .ok_or(FlagError::Missing(what))
    }
}

/// Reads a command line.
pub fn parse<I>(args: I) -> Result<Parsed, FlagError>
where
    I: IntoIterator<Item = OsString>,
{
    let mut parser = Parser::from_args(args);
    let mut given = Given::default();
    let mut command: Option<String> = None;
    while let Some(arg) = parser.next()? {
        let name = match arg {
            Arg::Value(word) => {
                let word = word.string()?;
                match command {
                    None => command = Some(word),
                    Some(_) => given.words.push(word),
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
        let owner = command.clone().unwrap_or_default();
        if !owner.is_empty() && !name.commands.contains(&owner.as_str()) {
            return Err(FlagError::Foreign(name.long.to_owned(), owner));
        }
        let value = match name.value {
            Some(_) => parser.value()?.string()?,
            None => String::new(),
        };
        given.flags.push((name.long, value));
    }
    let Some(command) = command else {
        return Ok(Parsed::Print(help::text(None, false)));
    };
    build(&command, &given).map(Parsed::Run)
}

fn build(command: &str, given: &Given) -> Result<Command, FlagError> {
    match command {
        "entry" => Ok(Command::Entry(daemon(given)?)),
        "agent" => Ok(Command::Agent(daemon(given)?)),
        "gateway" => Ok(Command::Gateway(gateway(given)?)),
        "check" => check(given),
        "ctl" => ctl(given),
        other => Err(FlagError::Command(other.to_owned())),
    }
}

fn daemon(given: &Given) -> Result<DaemonArgs, FlagError> {
    let config = given
        .last("config")
        .ok_or(FlagError::Missing("--config FILE"))?;
    Ok(DaemonArgs {
        config: config.into(),
    })
}

/// A gateway's settings may also be named by the environment, as platforms do
/// that write the file themselves.
fn gateway(given: &Given) -> Result<DaemonArgs, FlagError> {
    if given.has("config") {
        return daemon(given);
    }
    let config = std::env::var_os(CONFIG_VARIABLE);
    let config = config.ok_or(FlagError::Missing("--config FILE"))?;
    Ok(DaemonArgs {
        config: config.into(),
    })
}

fn check(given: &Given) -> Result<Command, FlagError> {
    let role = match given.last("role") {
        None | Some("entry") => Role::Entry,
        Some("agent") => Role::Agent,
        Some("gateway") => Role::Gateway,
        Some(other) => {
            return Err(FlagError::Value(other.to_owned(), "role".to_owned()));
        }
    };
    let file = if given.has("keys") {
        None
    } else {
        Some(given.word(0, "the settings FILE")?.into())
    };
    Ok(Command::Check(CheckArgs { file, role }))
}

fn ctl(given: &Given) -> Result<Command, FlagError> {
    let entry = given.parsed("entry")?;
    let common = Common {
        entry: entry.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 7001))),
        token_file: given.last("token-file").map(PathBuf::from),
        json: given.has("json"),
        change_id: given.last("change-id").map(str::to_owned),
        expect: given.parsed("expect")?,
        timeout_ms: given.parsed("timeout-ms")?.unwrap_or(TIMEOUT_MS),
    };
    let action = action(given)?;
    Ok(Command::Ctl(Box::new(CtlArgs { common, action })))
}

fn action(given: &Given) -> Result<Action, FlagError> {
    match given.word(0, "a verb")? {
        "put" => Ok(Action::Apply(put(given)?)),
        "rollout" => Ok(Action::Apply(rollout(given)?)),
        "withdraw" => {
            let (model, version) = pair(given.word(1, "MODEL@VERSION")?)?;
            let mode = if given.has("let-sessions-finish") {
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
            let (model, version) = pair(given.word(1, "MODEL@VERSION")?)?;
            Ok(Action::Apply(Change::Reinstate { model, version }))
        }
        "delete" => {
            let key = object(given.word(1, "KIND")?, given.word(2, "NAME")?)?;
            Ok(Action::Apply(Change::Delete(key)))
        }
        "list" => Ok(Action::List(given.word(1, "KIND")?.to_owned())),
        "status" => Ok(Action::Status),
        "audit" => Ok(Action::Audit {
            who: given.text("who"),
            object: given.text("object"),
            since_ms: given.parsed("since-ms")?.unwrap_or(0),
            limit: given.parsed("limit")?.unwrap_or(AUDIT_LIMIT),
        }),
        "digest" => Ok(Action::Digest),
        other => Err(FlagError::Verb(other.to_owned())),
    }
}

fn pair(name: &str) -> Result<(String, String), FlagError> {
    let (model, version) = name
        .split_once('@')
        .ok_or(FlagError::Missing("the @VERSION after the model"))?;
    Ok((model.to_owned(), version.to_owned()))
}

fn object(kind: &str, name: &str) -> Result<ObjectKey, FlagError> {
    let name = name.to_owned();
    Ok(match kind {
        "team" => ObjectKey::Team(name),
        "model" => ObjectKey::Model(name),
        "cascade" => ObjectKey::Cascade(name),
        "rollout" => ObjectKey::Rollout(name),
        "service" => ObjectKey::Service(name),
        "placement" => ObjectKey::Placement(name),
        "version" => {
            let (model, version) = pair(&name)?;
            ObjectKey::Version(model, version)
        }
        other => return Err(FlagError::Verb(format!("delete {other}"))),
    })
}

fn put(given: &Given) -> Result<Change, FlagError> {
    let kind = given.word(1, "a kind of object")?;
    let name = given.word(2, "the object's NAME")?.to_owned();
    match kind {
        "team" => Ok(Change::Team(TeamSpec {
            name,
            token_digests: given.all("token-digest"),
            allowed: given.all("allow"),
            services: given.all("service"),
            max_concurrent: given.parsed("max-concurrent")?.unwrap_or(0),
            tokens_per_minute: given.parsed("tokens-per-minute")?.unwrap_or(0),
            weight: given.parsed("weight")?.unwrap_or(1),
        })),
        "model" => Ok(Change::Model(ModelSpec {
            name,
            serving: given.text("serving"),
        })),
        "version" => {
            let (model, version) = pair(&name)?;
            Ok(Change::Version(VersionSpec {
                model,
                version,
                cost_micros_per_ktoken: given.parsed("cost")?.unwrap_or(0),
                quality: given.parsed("quality")?.unwrap_or(0.0),
            }))
        }
        "cascade" => {
            let steps = given.all("step");
            let steps: Result<Vec<CascadeStep>, FlagError> =
                steps.iter().map(|step| cascade_step(step)).collect();
            Ok(Change::Cascade(CascadeSpec {
                name,
                steps: steps?,
            }))
        }
        "placement" => Ok(Change::Placement(PlacementSpec {
            endpoint: name,
            versions: given.all("load"),
        })),
        "service" => Ok(Change::Service(ServiceSpec {
            name,
            idempotent: given.has("idempotent"),
            cost_micros: given.parsed("cost")?.unwrap_or(0),
        })),
        other => Err(FlagError::Verb(format!("put {other}"))),
    }
}

fn cascade_step(text: &str) -> Result<CascadeStep, FlagError> {
    let (model, rating) = text.split_once(':').unwrap_or((text, "0"));
    let pass_rating = rating
        .parse()
        .map_err(|_| FlagError::Value(text.to_owned(), "step".to_owned()))?;
    Ok(CascadeStep {
        model: model.to_owned(),
        pass_rating,
    })
}

fn rollout(given: &Given) -> Result<Change, FlagError> {
    let verb = given.word(1, "start, advance, pause, resume or abort")?;
    let model = given.word(2, "MODEL")?.to_owned();
    let action = match verb {
        "start" => return start_rollout(given, model),
        "advance" => RolloutAction::Advance,
        "pause" => RolloutAction::Pause,
        "resume" => RolloutAction::Resume,
        "abort" => RolloutAction::Abort,
        other => return Err(FlagError::Verb(format!("rollout {other}"))),
    };
    Ok(Change::RolloutControl {
        model,
        action,
        reason: given.text("reason"),
    })
}

fn start_rollout(given: &Given, model: String) -> Result<Change, FlagError> {
    let to = given
        .last("to")
        .ok_or(FlagError::Missing("--to VERSION"))?
        .to_owned();
    let shares = given
        .last("percent")
        .ok_or(FlagError::Missing("--percent P,P,..."))?;
    let percents: Result<Vec<u32>, _> = shares
        .split(',')
        .map(|share| share.trim().parse())
        .collect();
    let percents = percents
        .map_err(|_| FlagError::Value(shares.to_owned(), "percent".to_owned()))?;
    let gate = match given.last("gate") {
        None | Some("sequential") => Gate::Sequential,
        Some("fixed") => Gate::Fixed,
        Some(other) => {
            return Err(FlagError::Value(other.to_owned(), "gate".to_owned()));
        }
    };
    let step_ms = given.parsed("step-ms")?.unwrap_or(STEP_MS);
    Ok(Change::Rollout(RolloutSpec {
        model,
        to,
        percents,
        gate,
        step_ms,
    }))
}
