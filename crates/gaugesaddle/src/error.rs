//! Why the program or one of its commands ends with an error. Each module has an error type of its own; this one joins them.

use crate::application::ListenError;
use crate::configuration::operator::OperatorError;
use crate::configuration::platform::PlatformError;
use crate::federation::FederationError;
use crate::membership::PeersError;
use crate::operations::state_socket::StateError;
use gaugesaddle_balancer::ConfigError;
use std::io;

/// Why the program or one of its commands ends with an error.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform's configuration.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The operator's file.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorError),
    /// A setting that the balancer does not accept.
    #[error("settings: {0}")]
    Balancer(#[from] ConfigError),
    /// A setting of the detection of retry storms; the operator's file is checked against the same ranges.
    #[error("storm.{0}")]
    Overload(#[source] ConfigError),
    /// The data plane of a router fleet cannot start, or ended.
    #[error("edge: {0}")]
    Edge(String),
    /// Other regions.
    #[error(transparent)]
    Federation(#[from] FederationError),
    /// The tier of proxies.
    #[error(transparent)]
    Peers(#[from] PeersError),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The state socket, of this proxy or of a running one.
    #[error(transparent)]
    State(#[from] StateError),
    /// The system refused something that the program requires.
    #[error("{doing}: {source}")]
    System {
        /// What was being done.
        doing: &'static str,
        /// The error of the system.
        source: io::Error,
    },
    /// A command was called without something that it requires.
    #[error("{0}")]
    Usage(&'static str),
}

impl Error {
    /// Adds what was being done to an error of the system.
    pub(crate) fn system(doing: &'static str) -> impl FnOnce(io::Error) -> Error {
        move |source| Error::System { doing, source }
    }
}
