//! Logging to standard error, one line of key=value pairs per event.

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::error::{Error, Result};
use crate::settings::{Level, LogSettings};

/// Line format: UTC time, level, then the key=value pairs of the event.
const LINE_PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Log target of the library. Other libraries' targets are not logged: their lines are not
/// key=value pairs.
const LIBRARY_TARGET: &str = "kingcupfield";
/// Log target of the daemon binary.
const DAEMON_TARGET: &str = "kingcupd";

/// Installs the process-wide logger; a second call in the same process returns an error.
pub fn init(cfg: &LogSettings) -> Result<()> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(LINE_PATTERN)))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .logger(Logger::builder().build(LIBRARY_TARGET, level_filter(cfg.level)))
        .logger(Logger::builder().build(DAEMON_TARGET, level_filter(cfg.level)))
        .build(Root::builder().appender("stderr").build(LevelFilter::Off))
        .map_err(|e| Error::Log(e.to_string()))?;
    log4rs::init_config(config)
        .map(|_| ())
        .map_err(|e| Error::Log(e.to_string()))
}

fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
    }
}

/// Formats a log value; quotes and escapes it if it is empty or holds spaces, control or non-ASCII
/// characters, double quotes or `=`.
///
/// This keeps an event on one line, also when the value holds line breaks.
pub fn quote_value<V>(v: V) -> String
where
    V: std::fmt::Display,
{
    let text = v.to_string();
    let plain = !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_graphic() && b != b'"' && b != b'=');
    if plain { text } else { format!("{text:?}") }
}
