//! What can keep the program from starting, or a command from doing its work.

use gaugesaddle_balancer::settings::KeyError;
use std::io;
use std::path::PathBuf;

/// Why the program or one of its commands ends with an error.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The environment tells no configuration.
    #[error("BALANCER_CONFIG: missing, expected a file name")]
    NoConfig,
    /// A file that must be read can't be.
    #[error("{what}: expected a readable file, got {}: {source}", path.display())]
    Read {
        /// The variable, flag or key that named it.
        what: &'static str,
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file is longer than any that could be used.
    #[error("{what}: expected at most {most} bytes, {} has more", path.display())]
    Long {
        /// The variable, flag or key that named it.
        what: &'static str,
        /// The file.
        path: PathBuf,
        /// How many bytes are read.
        most: u64,
    },
    /// A file of the platform's is no JSON.
    #[error("{what}: expected JSON in {}: {source}", path.display())]
    Json {
        /// The variable that named it.
        what: &'static str,
        /// The file.
        path: PathBuf,
        /// Where and what.
        source: serde_json::Error,
    },
    /// A key of the platform's configuration.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The list in it can't be used.
    #[error("{0}")]
    Known(#[source] crate::discovery::ListError),
    /// A setting that the module does not accept.
    #[error("settings: {0}")]
    Module(#[from] gaugesaddle_balancer::ConfigError),
    /// A setting of the storm's watch; the operator's file is checked against the same ranges.
    #[error("storm.{0}")]
    Storm(gaugesaddle_balancer::ConfigError),
    /// The data plane of a router fleet cannot start.
    #[error("edge: {0}")]
    Edge(String),
    /// The operator's file.
    #[error(transparent)]
    Operator(#[from] crate::operator::OperatorError),
    /// A key of `[region]` that does not go with what the platform tells.
    #[error("{key}: {what}")]
    Region {
        /// The key.
        key: String,
        /// What was expected.
        what: String,
    },
    /// The region's keys.
    #[error(transparent)]
    Keys(#[from] crate::region::KeyError),
    /// The tier of proxies.
    #[error(transparent)]
    Peers(#[from] crate::peers::PeersError),
    /// An address or a path can't be listened on.
    #[error("{key}: expected {expected}, got {at}: {source}")]
    Listen {
        /// The key that told it.
        key: &'static str,
        /// What it must be.
        expected: &'static str,
        /// What it is.
        at: String,
        /// What the system said.
        source: io::Error,
    },
    /// The system refused something that the program needs to run.
    #[error("{doing}: {source}")]
    System {
        /// What was being done.
        doing: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// A running proxy did not tell its state.
    #[error("{}: {why}", socket.display())]
    State {
        /// Its socket.
        socket: PathBuf,
        /// What went wrong.
        why: String,
    },
    /// A command was called without something that it needs.
    #[error("{0}")]
    Usage(&'static str),
}

impl Error {
    /// Adds what was being done to an error of the system's.
    pub(crate) fn system(doing: &'static str) -> impl FnOnce(io::Error) -> Error {
        move |source| Error::System { doing, source }
    }
}
