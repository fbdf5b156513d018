//! Configures the logger of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use displaydoc::Display;

use crate::RateLimitedWriter;
use log::LevelFilter;

/// Error of configuring the logger.
#[derive(Debug, Display)]
pub enum LogError {
    /// {0:?} is not a log level; use error, warn, info, debug or trace
    Level(String),
    /// a logger is already installed; call `telemetry::init` only once
    AlreadyInitialized,
}

impl std::error::Error for LogError {}

/// Destination of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sink {
    /// Standard error; a write may block.
    Stderr,
    /// Standard output, rate-limited and non-blocking; see [`RateLimitedWriter`].
    Stdout,
}

/// Installs a logger that writes lines of `level` and above to `sink`.
///
/// The lines of the HTTP and RPC libraries are discarded, since they are not
/// `key=value` pairs.
///
/// # Errors
///
/// Fails if `level` is not a log level or a logger is already installed.
pub fn init(level: &str, instance: &str, sink: Sink) -> Result<(), LogError> {
    let level_filter: LevelFilter = level
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
        .level(level_filter)
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
            let writer = RateLimitedWriter::stdout();
            dispatch.chain(fern::Output::call(move |record| {
                writer.write(&record.args().to_string());
            }))
        }
    };
    dispatch.apply().map_err(|_| LogError::AlreadyInitialized)
}
