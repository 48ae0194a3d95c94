//! Logs: one line of key=value pairs for each event, on standard error.

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::error::{Error, Result};
use crate::settings::{Level, LogSettings};

/// Time in UTC, level, then the pairs of the event.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} {m}{n}";

/// Events of the library; what other libraries log is not in key=value form and left out.
const LIBRARY: &str = "kingcupfield";
/// Events of the daemon's program.
const DAEMON: &str = "kingcupd";

/// Starts the logger of this process; a second start in one process is an error.
pub fn init(cfg: &LogSettings) -> Result<()> {
    let appender = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(PatternEncoder::new(PATTERN)))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .logger(Logger::builder().build(LIBRARY, filter(cfg.level)))
        .logger(Logger::builder().build(DAEMON, filter(cfg.level)))
        .build(Root::builder().appender("stderr").build(LevelFilter::Off))
        .map_err(|e| Error::Log(e.to_string()))?;
    log4rs::init_config(config)
        .map(|_| ())
        .map_err(|e| Error::Log(e.to_string()))
}

fn filter(level: Level) -> LevelFilter {
    match level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
    }
}

/// Quotes a value that holds spaces, quotes or control characters, so that a line stays one line.
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
