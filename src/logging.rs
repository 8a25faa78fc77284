//! Structured logging to standard error.

use std::str::FromStr;
use std::sync::Mutex;

use bpaf::{Parser, construct};
use slog::{Drain, Level, Logger, o};
use thiserror::Error;

/// Output format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

/// An invalid value of a logging option.
#[derive(Debug, Error)]
pub(crate) enum LogOptionError {
    /// The value is not a log format.
    #[error("unknown log format; expected json or text")]
    Format,
    /// The value is not a log level.
    #[error("unknown log level; expected error, warning, info, debug or trace")]
    Level,
}

impl FromStr for LogFormat {
    type Err = LogOptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err(LogOptionError::Format),
        }
    }
}

fn parse_level(text: &str) -> Result<Level, LogOptionError> {
    Level::from_str(text).or(match text {
        "warn" => Ok(Level::Warning),
        _ => Err(LogOptionError::Level),
    })
}

/// Logging options.
///
/// They are accepted before and after the subcommand; a value after the subcommand takes precedence.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogOptions {
    format: Option<LogFormat>,
    level: Option<Level>,
}

/// Returns the command-line parser of the logging options.
pub(crate) fn options() -> impl Parser<LogOptions> {
    let format = bpaf::long("log-format")
        .help("Format of log lines: json or text")
        .argument("FORMAT")
        .optional();
    let level = bpaf::long("log-level").help("Lowest level to log: error, warning, info, debug or trace");
    let level = level
        .argument::<String>("LEVEL")
        .parse(|text| parse_level(&text))
        .optional();
    construct!(LogOptions { format, level })
}

impl LogOptions {
    /// Returns these options, with unset values taken from `outer`.
    pub(crate) fn or(&self, outer: &Self) -> Self {
        Self {
            format: self.format.or(outer.format),
            level: self.level.or(outer.level),
        }
    }

    /// Creates the root logger.
    pub(crate) fn logger(&self) -> Logger {
        let level = self.level.unwrap_or(Level::Info);
        match self.format.unwrap_or(LogFormat::Text) {
            LogFormat::Json => {
                let drain = slog_json::Json::default(std::io::stderr());
                Logger::root(async_drain(Mutex::new(drain).fuse(), level), o!())
            }
            LogFormat::Text => {
                let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
                let drain = slog_term::FullFormat::new(decorator).build();
                Logger::root(async_drain(drain.fuse(), level), o!())
            }
        }
    }
}

fn async_drain<D>(drain: D, level: Level) -> slog::Fuse<slog::LevelFilter<slog::Fuse<slog_async::Async>>>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let queue = slog_async::Async::new(drain).build().fuse();
    slog::LevelFilter::new(queue, level).fuse()
}
