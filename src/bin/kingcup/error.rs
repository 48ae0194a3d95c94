//! What can go wrong in the client, with its exit code and the next step to take.

use std::path::PathBuf;
use std::process::ExitCode;

use kingcupfield::client::ClientError;
use kingcupfield::load::MixError;
use kingcupfield::load::plot::PlotError;
use kingcupfield::logbook::LogError;
use kingcupfield::table::TableError;
use thiserror::Error;

/// The command was understood and failed.
const FAILED: u8 = 1;
/// The command line or an input file is wrong; nothing was done.
const BAD_INPUT: u8 = 2;

/// Why a command ends with another exit code than 0.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A table can't be used.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A file of instances can't be used.
    #[error("{}: {reason}", path.display())]
    Instances {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The mix of a load can't be used.
    #[error(transparent)]
    Mix(#[from] MixError),
    /// The picture of a load can't be written.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// An instance gave no answer.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// An instance answered, but not as asked.
    #[error("{address}: {reason}")]
    Instance {
        /// `IP:port`.
        address: String,
        /// What it answered.
        reason: String,
    },
    /// The demonstration broke a promise.
    #[error("a promise was broken, as the table above tells")]
    PromiseBroken,
    /// The demonstration could not run.
    #[error(transparent)]
    Demo(#[from] kingcupfield::error::Error),
    /// Some instances gave no status.
    #[error("{missing} of the addresses gave no status, the first is {first}")]
    NoStatus {
        /// How many.
        missing: usize,
        /// The first of them.
        first: String,
    },
    /// A saved log can't be read.
    #[error(transparent)]
    Log(#[from] LogError),
    /// No saved log names the request.
    #[error("no log given names request {0}")]
    NotLogged(String),
    /// No instance asked remembers the request.
    #[error("no instance asked remembers request {0}")]
    Forgotten(String),
    /// The output can't be written.
    #[error("can't write the output: {0}")]
    Output(#[from] std::io::Error),
    /// The output can't be put into its form.
    #[error("can't form the output: {0}")]
    Form(String),
}

impl CliError {
    /// The exit code, as `--help` documents it.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Usage(_)
            | Self::Table(_)
            | Self::Instances { .. }
            | Self::Mix(_)
            | Self::Log(_) => BAD_INPUT,
            _ => FAILED,
        })
    }

    /// What to do next, when there is something to tell.
    pub fn next(&self) -> Option<&'static str> {
        match self {
            Self::Usage(_) => Some("see kingcup --help"),
            Self::Table(TableError::Read { .. }) => Some("give the path of a readable file"),
            Self::Table(TableError::Extension { .. }) => {
                Some("rename the file, or export it as CSV from the spreadsheet")
            }
            Self::Table(TableError::Malformed { .. }) => {
                Some("mend the place named above; docs/operating/table.md shows the form")
            }
            Self::Table(TableError::Faults { .. }) => {
                Some("mend the rows named above, then run kingcup table check again")
            }
            Self::Instances { .. } => Some("give the published list of instances as JSON"),
            Self::Mix(_) => Some("mend the file; examples/harrowgate/load.json shows the form"),
            Self::Client(ClientError::Address { .. }) => Some("give addresses as IP:port"),
            Self::Client(_) | Self::NoStatus { .. } => {
                Some("give the admin address of a running instance, as in its start line")
            }
            Self::Forgotten(_) => Some(
                "ask the admin address of the instance named in the id; a request is remembered \
                 for about two thousand later ones and lost when its instance restarts",
            ),
            Self::Log(_) => Some("give the paths of readable files"),
            Self::NotLogged(_) => Some(
                "give the logs of all instances; under load lines of answers that went well are \
                 left out and counted as event=log_dropped",
            ),
            Self::Instance { .. } => Some("see the instance's log, or kingcup dump ADDR"),
            Self::PromiseBroken => Some("report it with the seed that the table names"),
            Self::Demo(_) | Self::Plot(_) | Self::Output(_) | Self::Form(_) => None,
        }
    }
}

impl From<pico_args::Error> for CliError {
    fn from(e: pico_args::Error) -> Self {
        Self::Usage(e.to_string())
    }
}
