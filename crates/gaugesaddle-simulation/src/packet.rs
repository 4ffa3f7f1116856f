//! Packets on the simulated links: messages between control processes, calls and their answers.

use gaugesaddle_consensus::NotLeader;
use gaugesaddle_protocol::{
    ChangeReply, Configuration, ConfigurationChange, Origin, PeerMessage, Pull, PullReply, Registration,
};

/// A call to a control process.
#[derive(Clone, Debug)]
pub enum Call {
    /// A proxy renews its lease and pulls changes.
    Pull(Box<Pull>),
    /// An operator's configuration change, possibly forwarded.
    Change(Box<ConfigurationChange>),
    /// A read of the configuration, possibly forwarded.
    Read,
    /// A backend's heartbeat.
    Heartbeat(Box<Registration>),
    /// A backend deregisters, by its id.
    Deregister(String),
}

/// Whether a registration is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// The registration is replicated far enough.
    Acknowledged,
    /// The registration may be lost, or is malformed: the backend should call another process.
    NotAcknowledged,
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Answer to [`Call::Pull`].
    Pull(Box<PullReply>),
    /// Answer to [`Call::Change`].
    Change(ChangeReply),
    /// Answer to [`Call::Read`].
    Read(Result<Option<Configuration>, NotLeader>),
    /// Answer to [`Call::Heartbeat`] and [`Call::Deregister`].
    Registered(RegistrationOutcome),
}

/// Identifies the process that sent a message to a peer.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// Incarnation of the process: 1 for the first on its machine, higher for each later one.
    pub incarnation: u64,
    /// Origin of the process's changes to the catalog.
    pub origin: Origin,
}

/// A packet between two nodes.
#[derive(Clone, Debug)]
pub enum Packet {
    /// Opens a connection between control processes.
    Hello {
        /// The sending process.
        sender: Sender,
        /// Addresses of the control machines known to the sender.
        members: Vec<u32>,
    },
    /// A message on such a connection.
    Peer {
        /// The sending process.
        sender: Sender,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// A call.
    Call {
        /// Number of the call, unique among all callers.
        id: u64,
        /// The call.
        call: Call,
    },
    /// An answer.
    Answer {
        /// Number of the call.
        id: u64,
        /// The answer.
        answer: Answer,
    },
}
