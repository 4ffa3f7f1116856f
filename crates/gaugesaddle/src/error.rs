//! The error with which the program or one of its commands ends. Each module has its own error type; this one combines
//! them.

use crate::application::ListenError;
use crate::configuration::operator::OperatorError;
use crate::configuration::platform::PlatformError;
use crate::federation::FederationError;
use crate::membership::PeersError;
use crate::operations::state_socket::StateError;
use gaugesaddle_balancer::ConfigError;
use std::io;

/// The error with which the program or one of its commands ends.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform's configuration is invalid.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The operator's file is invalid.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorError),
    /// A setting that the balancer does not accept.
    #[error("settings: {0}")]
    Balancer(#[from] ConfigError),
    /// A setting of retry storm detection is out of range; the operator's file is checked against the same ranges.
    #[error("storm.{0}")]
    Overload(#[source] ConfigError),
    /// The data plane of a router fleet cannot start, or ended with an error.
    #[error("edge: {0}")]
    Edge(String),
    /// Federation with other regions cannot start.
    #[error(transparent)]
    Federation(#[from] FederationError),
    /// Membership of the proxy tier cannot start.
    #[error(transparent)]
    Peers(#[from] PeersError),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The state socket of this proxy cannot be opened, or that of a running one cannot be read.
    #[error(transparent)]
    State(#[from] StateError),
    /// A system call that the program requires failed.
    #[error("{doing}: {source}")]
    System {
        /// The operation that failed.
        doing: &'static str,
        /// The error of the system.
        source: io::Error,
    },
    /// A command lacks an argument, or the state lacks the requested section.
    #[error("{0}")]
    Usage(&'static str),
}

impl Error {
    /// Adds the operation that failed to an error of the system.
    pub(crate) fn system(doing: &'static str) -> impl FnOnce(io::Error) -> Error {
        move |source| Error::System { doing, source }
    }
}
