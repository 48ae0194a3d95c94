//! Arguments of the daemon.

use std::path::PathBuf;

/// Help that fits a screen.
pub const HELP: &str = "\
kingcupd: one entry instance of kingcupfield

usage: kingcupd --settings FILE [--check]

  --settings FILE  settings in JSON (see docs/operating/try-it-by-hand.md)
  --check          only check the settings
  --help           this text

exit codes: 0 left in order, 1 failed, 2 wrong arguments or settings
signals:    SIGTERM or SIGINT starts to leave; no request is cut
";

/// What to do.
#[derive(Debug)]
pub enum Args {
    /// Print the help.
    Help,
    /// Check the settings.
    Check(PathBuf),
    /// Run an instance.
    Run(PathBuf),
}

impl Args {
    /// Reads the arguments of this process.
    pub fn from_env() -> Result<Self, String> {
        let mut args = pico_args::Arguments::from_env();
        if args.contains(["-h", "--help"]) {
            return Ok(Self::Help);
        }
        let check = args.contains("--check");
        let path: PathBuf = args
            .value_from_str("--settings")
            .map_err(|e| e.to_string())?;
        let rest = args.finish();
        if let Some(word) = rest.first() {
            return Err(format!("unknown argument {}", word.to_string_lossy()));
        }
        Ok(if check {
            Self::Check(path)
        } else {
            Self::Run(path)
        })
    }
}
