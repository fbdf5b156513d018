//! Selects the model version that serves a request.

use config::{Config, VersionState};
use displaydoc::Display;
use sha2::{Digest, Sha256};

/// Number of hash buckets, which sets the resolution of a rollout's share.
const SHARE_SCALE: u64 = 10_000;

/// Parsed value of the `model` field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ModelSelector<'a> {
    /// A model; the configuration selects the version.
    Model(&'a str),
    /// A specific version of a model, as model and version.
    Pinned(&'a str, &'a str),
    /// A cascade.
    Cascade(&'a str),
}

/// Session of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Session<'a> {
    /// Session name; empty if the caller gave none, in which case the rollout's
    /// share is applied to a hash of the request id.
    pub name: &'a str,
    /// Version on which the session started, from its ticket or binding.
    pub started_on: Option<&'a str>,
}

/// The selected version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionChoice {
    /// Version of the model.
    pub version: String,
    /// Whether the session started on this version before.
    pub continues: bool,
}

/// Reason why no version can serve a request.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SelectionError {
    /// no model or cascade is named {0:?}; see `ctl list model`
    UnknownModel(String),
    /// the team is not permitted to use {0}; ask an operator for permission
    NotAllowed(String),
    /// version {0} is withdrawn; start a new session
    Withdrawn(String),
    /// version {0} is retiring and accepts no new sessions; start the session on another version
    Retiring(String),
    /// version {0} does not exist; see `ctl list version`
    UnknownVersion(String),
    /// model {0} has no serving version; ask an operator to set one
    NoVersion(String),
}

impl std::error::Error for SelectionError {}

impl SelectionError {
    /// Returns the stable error code.
    pub fn code(&self) -> &'static str {
        match self {
            SelectionError::UnknownModel(_) => "unknown_model",
            SelectionError::NotAllowed(_) => "not_allowed",
            SelectionError::Withdrawn(_) => "version_withdrawn",
            SelectionError::Retiring(_) => "version_retiring",
            SelectionError::UnknownVersion(_) => "unknown_version",
            SelectionError::NoVersion(_) => "no_version",
        }
    }
}

/// Parses the `model` field of a request.
///
/// # Errors
///
/// [`SelectionError::UnknownModel`] if it names neither a model nor a cascade.
pub fn parse_model_selector<'a>(
    config: &Config,
    model: &'a str,
) -> Result<ModelSelector<'a>, SelectionError> {
    if let Some((model, version)) = model.split_once('@') {
        return Ok(ModelSelector::Pinned(model, version));
    }
    if config.cascades.contains_key(model) {
        return Ok(ModelSelector::Cascade(model));
    }
    if config.models.contains_key(model) {
        return Ok(ModelSelector::Model(model));
    }
    Err(SelectionError::UnknownModel(model.to_owned()))
}

/// Selects the version of `model` for a request.
///
/// A session that started on a version gets that version or an error, never
/// another version. New sessions follow the rollout's share by a hash of team
/// and session name, so that all entries with the same configuration select the
/// same version.
///
/// # Errors
///
/// Returns why the required version, or every version, cannot serve the
/// request.
pub fn choose_version(
    config: &Config,
    team: &str,
    model: &str,
    pinned: Option<&str>,
    session: Session<'_>,
    request_id: &str,
) -> Result<VersionChoice, SelectionError> {
    if let Some(version) = session.started_on {
        check_version(config, team, model, version, true)?;
        return Ok(VersionChoice {
            version: version.to_owned(),
            continues: true,
        });
    }
    if let Some(version) = pinned {
        check_version(config, team, model, version, false)?;
        return Ok(VersionChoice {
            version: version.to_owned(),
            continues: false,
        });
    }
    let entity = config.models.get(model);
    let entity =
        entity.ok_or_else(|| SelectionError::UnknownModel(model.to_owned()))?;
    let hash_key = if session.name.is_empty() {
        request_id
    } else {
        session.name
    };
    let candidate = rollout_version(config, team, model, hash_key);
    let serving = entity.value.serving.as_str();
    if let Some(candidate) = candidate
        && check_version(config, team, model, candidate, false).is_ok()
    {
        return Ok(VersionChoice {
            version: candidate.to_owned(),
            continues: false,
        });
    }
    if serving.is_empty() {
        return Err(SelectionError::NoVersion(model.to_owned()));
    }
    check_version(config, team, model, serving, false)?;
    Ok(VersionChoice {
        version: serving.to_owned(),
        continues: false,
    })
}

/// Returns the version being rolled out if the hash of `hash_key` is within its
/// share.
fn rollout_version<'a>(
    config: &'a Config,
    team: &str,
    model: &str,
    hash_key: &str,
) -> Option<&'a str> {
    let rollout = &config.rollouts.get(model)?.value;
    if !rollout.is_open() {
        return None;
    }
    let share = u64::from(rollout.percent()) * SHARE_SCALE / 100;
    let bucket = stable_hash(&[team, model, &rollout.spec.to, hash_key]) % SHARE_SCALE;
    (bucket < share).then_some(rollout.spec.to.as_str())
}

fn stable_hash(parts: &[&str]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(head)
}

fn check_version(
    config: &Config,
    team: &str,
    model: &str,
    version: &str,
    continues: bool,
) -> Result<(), SelectionError> {
    let name = || format!("{model}@{version}");
    if !config.permits(team, model, version) {
        return Err(SelectionError::NotAllowed(name()));
    }
    match config.version_state(model, version) {
        None => Err(SelectionError::UnknownVersion(name())),
        Some(VersionState::Withdrawn) => Err(SelectionError::Withdrawn(name())),
        Some(VersionState::Retiring) if !continues => {
            Err(SelectionError::Retiring(name()))
        }
        Some(VersionState::Retiring | VersionState::Serving) => Ok(()),
    }
}
