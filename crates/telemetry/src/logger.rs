//! Sets up the process's logger.

use std::time::{SystemTime, UNIX_EPOCH};

use displaydoc::Display;

use crate::RateLimitedWriter;
use log::LevelFilter;

/// Why the logger could not be set up.
#[derive(Debug, Display)]
pub enum LogError {
    /// {0:?} is no log level; give error, warn, info, debug or trace
    Level(String),
    /// a logger is set up already; call `telemetry::init` once
    AlreadyInitialized,
}

impl std::error::Error for LogError {}

/// Where log lines go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sink {
    /// Standard error, which may block.
    Stderr,
    /// Standard output, bounded and without ever blocking; see [`RateLimitedWriter`].
    Stdout,
}

/// Sends log lines of `level` and above to `sink`.
///
/// Lines of the libraries below us are shown from `warn` on only, since theirs
/// are not key=value.
pub fn init(level: &str, instance: &str, sink: Sink) -> Result<(), LogError> {
    let parsed: LevelFilter = level
        .parse()
        .map_err(|_| LogError::Level(level.to_owned()))?;
    let instance = instance.to_owned();
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            let at_ms = since_epoch.unwrap_or_default().as_millis();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!(
                "at_ms={at_ms} level={level} instance={instance} {message}"
            ));
        })
        .level(parsed)
        .level_for("volo_http", LevelFilter::Off)
        .level_for("volo_grpc", LevelFilter::Off)
        .level_for("volo", LevelFilter::Off)
        .level_for("hyper", LevelFilter::Off)
        .level_for("hyper_util", LevelFilter::Off)
        .level_for("h2", LevelFilter::Off)
        .level_for("tracing", LevelFilter::Off);
    let dispatch = match sink {
        Sink::Stderr => dispatch.chain(std::io::stderr()),
        Sink::Stdout => {
            let lines = RateLimitedWriter::stdout();
            dispatch.chain(fern::Output::call(move |record| {
                lines.write(&record.args().to_string());
            }))
        }
    };
    dispatch.apply().map_err(|_| LogError::AlreadyInitialized)
}
