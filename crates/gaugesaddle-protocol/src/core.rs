//! Requests to a control process and its replies, and the messages between control processes.

use crate::{
    BackendLoad, CatalogDelta, DocumentUpdate, LogPosition, QuotaGrant, QuotaRequest, Registration,
    ReplicaId, ReplicaMessage, VersionVector,
};
use gaugesaddle_delta::Digest;
use musli::{Decode, Encode};

/// A proxy renews its lease and requests the changes that it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Pull {
    /// The proxy's own registration.
    pub proxy: Registration,
    /// The catalog changes that it has.
    pub vector: VersionVector,
    /// Position of the configuration that it uses; `None` without any.
    pub position: Option<LogPosition>,
    /// Digest of the document of that configuration.
    pub document: Option<Digest>,
    /// Digests of the ranges of its catalog; empty unless it has applied all changes.
    pub digests: Vec<u64>,
    /// The departed registrations that it knows, in the first call to a control process. One that has just started may
    /// not know them, and no other one may either if all control processes ended together after acknowledging them.
    pub departed: Vec<Registration>,
    /// How long the reply may be delayed while there are no changes, in milliseconds (long polling).
    pub wait_ms: u32,
}

/// A committed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Configuration {
    /// Its position in the history.
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
    /// Its position in the history.
    pub position: LogPosition,
    /// The operator's revision.
    pub revision: u64,
    /// The operator's document.
    pub document: DocumentUpdate,
}

/// The reply to a [`Pull`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PullReply {
    /// Whether this process was in contact with a majority of replicas within its lease.
    pub fresh: bool,
    /// IPv4 address of the leader's machine; `None` where it is not known.
    pub leader: Option<u32>,
    /// IPv4 addresses of the machines that run a control process.
    pub members: Vec<u32>,
    /// The newest configuration, if the proxy lacks it.
    pub configuration: Option<ConfigurationUpdate>,
    /// The catalog changes that the proxy lacks.
    pub delta: CatalogDelta,
}

/// The body of a change, byte for byte as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeBody {
    /// A full configuration.
    Full(#[musli(bytes)] Vec<u8>),
    /// A patch of named items.
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

/// An operator's change, forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChange {
    /// The revision on which it builds.
    pub base: u64,
    /// The new configuration or a patch.
    pub body: ChangeBody,
}

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeReply {
    /// It is committed, now or by an earlier identical request.
    Applied,
    /// Rejected: another revision than its base is current.
    Conflict {
        /// The current revision.
        current: u64,
    },
    /// Rejected: it is invalid.
    Invalid {
        /// One line for each finding.
        findings: Vec<String>,
    },
    /// Unknown: it may or may not be, or become, committed.
    Indeterminate,
}

/// A request to a control process; each has one reply.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Request {
    /// From a proxy.
    Pull(Box<Pull>),
    /// From a proxy to the leader: requests for tokens.
    Quota {
        /// Name of the proxy's machine.
        machine: String,
        /// One request for each tenant.
        requests: Vec<QuotaRequest>,
    },
    /// From a proxy: the backends' load as it observes it.
    Load {
        /// Random number of this proxy process.
        proxy: u64,
        /// One entry for each backend.
        loads: Vec<BackendLoad>,
    },
    /// From a control process to the leader: an operator's change.
    Change(Box<ConfigurationChange>),
    /// From a control process to the leader: the current configuration.
    Read,
    /// From an operator: the status of this process.
    Status,
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reply {
    /// To a `Pull`.
    Pull(Box<PullReply>),
    /// To `Quota`.
    Quota {
        /// Tokens leased to the proxy, by tenant.
        grants: Vec<QuotaGrant>,
    },
    /// To `Load`: what all proxies together observe, including this one.
    Load {
        /// The sums.
        loads: Vec<BackendLoad>,
    },
    /// To `Change`.
    Change(ChangeReply),
    /// To `Read`: the configuration, `None` before the first.
    Read(Option<Configuration>),
    /// To `Status`.
    Status(Box<StatusReport>),
    /// This process does not lead, or cannot answer the request.
    Unavailable,
}

/// A message from one control process to another. None has a reply of its own.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// The first message on a connection: the sender introduces itself.
    Hello {
        /// IPv4 address of its machine.
        ip: u32,
        /// Whether it stores the configuration on a disk.
        has_disk: bool,
        /// The machine that an operator named as bootstrap node, where the seeds could not bootstrap the group.
        bootstrap_node: Option<u32>,
        /// The origin under which it numbers its changes.
        origin: crate::Origin,
        /// IPv4 addresses of the machines that it knows to run a control process.
        members: Vec<u32>,
    },
    /// A message for the receiver's replica.
    Replica {
        /// The sending replica; it may exist only some time after the connection was opened.
        from: ReplicaId,
        /// The receiving replica; `None` for whichever runs there. A message to the replica of a lost disk is dropped.
        to: Option<ReplicaId>,
        /// The message.
        message: ReplicaMessage,
    },
    /// The backends' load: the sums of what the proxies that call the sender observe.
    Load(Vec<BackendLoad>),
    /// Changes of the catalog, as they happen.
    Push(CatalogDelta),
    /// The sender has applied the changes of an origin up to a number.
    Acknowledge {
        /// The origin.
        origin: crate::Origin,
        /// The number.
        change: u64,
    },
    /// What the sender has: the receiver pushes the changes that it lacks (anti-entropy).
    Compare {
        /// The sender's vector.
        vector: VersionVector,
        /// Digests of the ranges of its catalog.
        digests: Vec<u64>,
        /// IPv4 addresses of the machines that it knows to run a control process, for a receiver that was unreachable
        /// while one was added.
        members: Vec<u32>,
    },
}

/// The status of a control process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StatusReport {
    /// Identity of its replica: machine and disk incarnation.
    pub replica: String,
    /// Its role.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// The leader, as far as it knows.
    pub leader: Option<String>,
    /// The voters.
    pub voters: Vec<String>,
    /// Index of the newest committed state.
    pub index: u64,
    /// Revision of the committed configuration.
    pub revision: u64,
    /// Whether it was in contact with a majority within its lease.
    pub fresh: bool,
    /// Whether it stores the configuration on a disk.
    pub disk: bool,
    /// Number of other control processes that are alive.
    pub peers_alive: u64,
    /// Number of backends that are ready for requests.
    pub backends: u64,
    /// Number of backends that are draining or have departed.
    pub backends_leaving: u64,
    /// Number of live proxies.
    pub proxies: u64,
}

/// The first message on a connection to a control process: what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConnectionPreface {
    /// [`Request`]s follow, each with its [`Reply`] in turn.
    Requests,
    /// [`PeerMessage`]s follow.
    Peer,
}
