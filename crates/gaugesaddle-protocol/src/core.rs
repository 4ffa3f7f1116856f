//! Requests to a control process and its answers, and what control processes tell each other.

use crate::{
    BackendLoad, CatalogDelta, DocumentUpdate, LogPosition, QuotaGrant, QuotaRequest, Registration,
    ReplicaId, ReplicaMessage, VersionVector,
};
use gaugesaddle_delta::Digest;
use musli::{Decode, Encode};

/// A proxy renews its lease and asks for what it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Pull {
    /// The proxy's own registration.
    pub proxy: Registration,
    /// What it knows of the catalog.
    pub vector: VersionVector,
    /// The configuration it has in force.
    pub position: Option<LogPosition>,
    /// Digest of the document of that configuration.
    pub document: Option<Digest>,
    /// Digests of the ranges of its catalog, when it has taken all changes.
    pub digests: Vec<u64>,
    /// What it knows to have left, at the first call to a process: one that has just started may not know it, and nobody
    /// else may, where all control processes ended together after they had acknowledged it.
    pub departed: Vec<Registration>,
    /// How long the answer may be held back while there is no news, in milliseconds.
    pub wait_ms: u32,
}

/// A configuration on its way to a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Configuration {
    /// Its place in the history.
    pub position: LogPosition,
    /// The operator's revision.
    pub revision: u64,
    /// The operator's document.
    #[musli(bytes)]
    pub document: Vec<u8>,
}

/// A configuration for a proxy that may have an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationUpdate {
    /// Its place in the history.
    pub position: LogPosition,
    /// The operator's revision.
    pub revision: u64,
    /// The operator's document.
    pub document: DocumentUpdate,
}

/// The answer to a [`Pull`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PullReply {
    /// Whether this process was in touch with a majority of replicas a moment ago.
    pub fresh: bool,
    /// Address of the leader's machine.
    pub leader: Option<u32>,
    /// Addresses of the machines that serve control.
    pub members: Vec<u32>,
    /// The newest configuration, where the proxy lacks it.
    pub configuration: Option<ConfigurationUpdate>,
    /// What the proxy lacks of the catalog.
    pub delta: CatalogDelta,
}

/// What an order brings, as its operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeBody {
    /// A whole configuration.
    Full(#[musli(bytes)] Vec<u8>),
    /// Changes of named items.
    Patch(#[musli(bytes)] Vec<u8>),
}

impl ChangeBody {
    /// Its length in bytes.
    pub fn size(&self) -> usize {
        match self {
            ChangeBody::Full(body) | ChangeBody::Patch(body) => body.len(),
        }
    }
}

/// An order of the operator, passed on to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChange {
    /// The revision that the order builds on.
    pub base: u64,
    /// What it brings.
    pub body: ChangeBody,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeReply {
    /// It is in force, or was.
    Applied,
    /// Another version is in place.
    Conflict {
        /// Its revision.
        current: u64,
    },
    /// It is invalid.
    Invalid {
        /// Every finding, a line each.
        findings: Vec<String>,
    },
    /// Nothing is known of what became or becomes of it.
    Indeterminate,
}

/// A request to a control process; each has one answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Request {
    /// From a proxy.
    Pull(Box<Pull>),
    /// From a proxy to the leader.
    Quota {
        /// Name of the proxy's machine.
        machine: String,
        /// Its wants.
        requests: Vec<QuotaRequest>,
    },
    /// From a proxy: what it sees of the backends' load.
    Load {
        /// A number that this process of the proxy has drawn.
        proxy: u64,
        /// Its part.
        loads: Vec<BackendLoad>,
    },
    /// From a control process to the leader.
    Change(Box<ConfigurationChange>),
    /// From a control process to the leader: the current configuration.
    Read,
    /// From an operator: how does this process stand?
    Status,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reply {
    /// To a `Pull`.
    Pull(Box<PullReply>),
    /// To `Quota`.
    Quota {
        /// What is lent, for a lease.
        grants: Vec<QuotaGrant>,
    },
    /// To `Load`: what all proxies together see, this one included.
    Load {
        /// The sums.
        loads: Vec<BackendLoad>,
    },
    /// To `ConfigurationChange`.
    Change(ChangeReply),
    /// To `Read`: the configuration, `None` before the first.
    Read(Option<Configuration>),
    /// To `Status`.
    Status(Box<StatusReport>),
    /// This process does not lead, or cannot tell what is asked.
    Unavailable,
}

/// What one control process tells another; none has an answer of its own.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// The first message: who speaks.
    Hello {
        /// Address of its machine.
        ip: u32,
        /// Whether it keeps the configuration on a disk.
        has_disk: bool,
        /// The machine that was named to found the group, where the seeds could not.
        bootstrap_node: Option<u32>,
        /// What it counts its changes under.
        origin: crate::Origin,
        /// Addresses of the machines that it knows to serve control.
        members: Vec<u32>,
    },
    /// For the replica.
    Replica {
        /// The sender; it may be known only after the connection is open.
        from: ReplicaId,
        /// The receiver, `None`: whichever replica is there. A message for the disk that a machine had is for nobody.
        to: Option<ReplicaId>,
        /// What is said.
        message: ReplicaMessage,
    },
    /// The sums of what the proxies that call the sender see of the backends' load.
    Load(Vec<BackendLoad>),
    /// Changes of the catalog, as they happen.
    Push(CatalogDelta),
    /// The sender has taken the changes of an origin up to a number.
    Acknowledge {
        /// The origin.
        origin: crate::Origin,
        /// The number.
        change: u64,
    },
    /// What the sender knows: the receiver pushes what it lacks.
    Compare {
        /// The sender's vector.
        vector: VersionVector,
        /// Digests of the ranges of its catalog.
        digests: Vec<u64>,
        /// Addresses of the machines that it knows to serve control: one that was silent while another came is told of it.
        members: Vec<u32>,
    },
}

/// How a control process stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StatusReport {
    /// The replica, machine and disk.
    pub replica: String,
    /// What it does at present.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<String>,
    /// Who votes.
    pub voters: Vec<String>,
    /// Count of the newest state on a majority of disks.
    pub index: u64,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Whether it was in touch with a majority a moment ago.
    pub fresh: bool,
    /// Whether it keeps the configuration on a disk.
    pub disk: bool,
    /// Other control processes that spoke lately.
    pub peers_alive: u64,
    /// Backends that may get requests.
    pub backends: u64,
    /// Backends that have announced their end or have ended.
    pub backends_leaving: u64,
    /// Proxies that live.
    pub proxies: u64,
}

/// What opens a connection to a control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Opening {
    /// Requests follow, each answered in turn.
    Requests,
    /// [`PeerMessage`]s follow.
    Peer,
}
