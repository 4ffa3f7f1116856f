//! What travels over the simulated links: messages between control processes, calls and their answers.

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
    /// A backend, by its id, deregisters.
    Deregister(String),
}

/// Whether a registration may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// It is replicated far enough.
    Acknowledged,
    /// It may be lost, or is malformed: the backend should call another process.
    NotAcknowledged,
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Answer {
    /// To `Pull`.
    Pull(Box<PullReply>),
    /// To `Change`.
    Change(ChangeReply),
    /// To `Read`.
    Read(Result<Option<Configuration>, NotLeader>),
    /// To `Heartbeat` and `Deregister`.
    Registered(RegistrationOutcome),
}

/// Identifies the process that sent a message to a peer.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// Number of the process among those of its machine, from 1.
    pub incarnation: u64,
    /// Origin of its changes to the catalog.
    pub origin: Origin,
}

/// A packet.
#[derive(Clone, Debug)]
pub enum Packet {
    /// Opens a connection between control processes.
    Hello {
        /// The sending process.
        sender: Sender,
        /// Machines that it knows to serve control.
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
        /// Its number, unique among all callers.
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
