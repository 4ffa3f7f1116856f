//! Requests to a control process and its replies, and the messages between control processes.

use crate::{
    BackendLoad, CatalogDelta, DocumentUpdate, LogPosition, QuotaGrant, QuotaRequest, Registration,
    ReplicaId, ReplicaMessage, VersionVector,
};
use gaugesaddle_delta::Digest;
use musli::{Decode, Encode};

/// A proxy's request, which renews its lease and asks for the changes that it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Pull {
    /// The proxy's own registration.
    pub proxy: Registration,
    /// The catalog changes that the proxy has.
    pub vector: VersionVector,
    /// Position of the configuration that the proxy uses; `None` if it has none.
    pub position: Option<LogPosition>,
    /// Digest of the document of that configuration.
    pub document: Option<Digest>,
    /// Digests of the ranges of the proxy's catalog; empty unless it has applied all changes.
    pub digests: Vec<u64>,
    /// The departed registrations in the proxy's catalog, sent with its first call to a control process only. A control
    /// process that has just started may lack them, and so may all others if all of them ended together after they had
    /// acknowledged the departures.
    pub departed: Vec<Registration>,
    /// Maximum time that the reply is delayed while there are no changes, in milliseconds (long polling).
    pub wait_ms: u32,
}

/// A committed configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Configuration {
    /// Position in the history.
    pub position: LogPosition,
    /// Revision given by the operator.
    pub revision: u64,
    /// The configuration document.
    #[musli(bytes)]
    pub document: Vec<u8>,
}

/// A configuration for a proxy that may have an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationUpdate {
    /// Position in the history.
    pub position: LogPosition,
    /// Revision given by the operator.
    pub revision: u64,
    /// The configuration document.
    pub document: DocumentUpdate,
}

/// The reply to a [`Pull`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PullReply {
    /// Whether the control process was in contact with a majority of the replicas within its lease.
    pub fresh: bool,
    /// IPv4 address of the leader's machine; `None` if no leader is known.
    pub leader: Option<u32>,
    /// IPv4 addresses of the machines that run a control process.
    pub members: Vec<u32>,
    /// The newest configuration, if the proxy lacks it.
    pub configuration: Option<ConfigurationUpdate>,
    /// The catalog changes that the proxy lacks.
    pub delta: CatalogDelta,
}

/// The body of a change: the exact bytes that the operator sent.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeBody {
    /// A full configuration.
    Full(#[musli(bytes)] Vec<u8>),
    /// A patch of named items.
    Patch(#[musli(bytes)] Vec<u8>),
}

impl ChangeBody {
    /// Length of the body in bytes.
    pub fn size(&self) -> usize {
        match self {
            ChangeBody::Full(body) | ChangeBody::Patch(body) => body.len(),
        }
    }
}

/// An operator's change, forwarded to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationChange {
    /// The revision that the change is based on.
    pub base: u64,
    /// The new configuration or a patch.
    pub body: ChangeBody,
}

/// The result of a change.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ChangeReply {
    /// The change is committed, by this request or by an earlier identical one.
    Applied,
    /// The change is rejected: its base is not the current revision.
    Conflict {
        /// The current revision.
        current: u64,
    },
    /// The change is rejected as invalid.
    Invalid {
        /// One line for each finding.
        findings: Vec<String>,
    },
    /// The outcome is unknown: the change may be committed already, may still be committed, or may be lost.
    Indeterminate,
}

/// A request to a control process; each has one reply.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Request {
    /// From a proxy: lease renewal and request for changes.
    Pull(Box<Pull>),
    /// From a proxy to the leader: requests for tokens.
    Quota {
        /// Name of the proxy's machine.
        machine: String,
        /// One request for each tenant.
        requests: Vec<QuotaRequest>,
    },
    /// From a proxy: load of the backends as the proxy observes it.
    Load {
        /// Random number that identifies the proxy process.
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
    /// From an operator: which proxies of this process have the newest configuration.
    Distribution,
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Reply {
    /// Reply to [`Request::Pull`].
    Pull(Box<PullReply>),
    /// Reply to [`Request::Quota`].
    Quota {
        /// Tokens leased to the proxy, by tenant.
        grants: Vec<QuotaGrant>,
    },
    /// Reply to [`Request::Load`]: load as observed by all proxies, including the caller.
    Load {
        /// Sums over the proxies, one entry for each backend.
        loads: Vec<BackendLoad>,
    },
    /// Reply to [`Request::Change`].
    Change(ChangeReply),
    /// Reply to [`Request::Read`]: the configuration, `None` before the first one.
    Read(Option<Configuration>),
    /// Reply to [`Request::Status`].
    Status(Box<StatusReport>),
    /// The process is not the leader, or cannot answer the request.
    Unavailable,
    /// Reply to [`Request::Distribution`].
    Distribution(Box<DistributionReport>),
}

/// Feature of a control process: it reads compressed frames.
pub const FEATURE_COMPRESSION: u32 = 1;

/// A message from one control process to another. Messages are one-way: none has a matching reply.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// Identifies the sender: the first message on a connection.
    Hello {
        /// IPv4 address of the sender's machine.
        ip: u32,
        /// Whether the sender stores the configuration on a disk.
        has_disk: bool,
        /// Optional features that the sender supports, a bit set: [`FEATURE_COMPRESSION`]. Earlier builds send `None` and
        /// ignore it.
        features: Option<u32>,
        /// The origin under which the sender numbers its changes.
        origin: crate::Origin,
        /// IPv4 addresses of the machines that the sender knows to run a control process.
        members: Vec<u32>,
    },
    /// A message for the receiver's replica.
    Replica {
        /// The sending replica, which may be created after the connection was opened.
        from: ReplicaId,
        /// The receiving replica; `None` addresses any replica at the receiver. A message to the replica of a lost disk
        /// is dropped.
        to: Option<ReplicaId>,
        /// The message.
        message: ReplicaMessage,
    },
    /// Load of the backends, summed over the proxies that report to the sender.
    Load(Vec<BackendLoad>),
    /// New changes of the catalog.
    Push(CatalogDelta),
    /// The sender has applied the changes of an origin up to a number.
    Acknowledge {
        /// The origin.
        origin: crate::Origin,
        /// Number of the newest change applied.
        change: u64,
    },
    /// Summary of the sender's catalog; the receiver pushes the changes that the sender lacks (anti-entropy).
    Compare {
        /// Version vector of the sender.
        vector: VersionVector,
        /// Digests of the ranges of the sender's catalog.
        digests: Vec<u64>,
        /// IPv4 addresses of the machines that the sender knows to run a control process, for a receiver that was
        /// unreachable while one was added.
        members: Vec<u32>,
    },
}

/// The status of a control process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct StatusReport {
    /// Identity of the replica: machine and disk incarnation.
    pub replica: String,
    /// Raft role of the replica.
    pub role: String,
    /// Term of the replica.
    pub term: u64,
    /// The leader, if the process knows it.
    pub leader: Option<String>,
    /// The voters.
    pub voters: Vec<String>,
    /// Index of the newest committed state.
    pub index: u64,
    /// Revision of the committed configuration.
    pub revision: u64,
    /// Whether the process was in contact with a majority of the replicas within its lease.
    pub fresh: bool,
    /// Whether the process stores the configuration on a disk.
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

/// How far a control process has distributed its newest configuration to the proxies that pull from it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DistributionReport {
    /// Revision of the newest configuration; 0 before the first.
    pub revision: u64,
    /// Time since the process learned of its commitment, in milliseconds.
    pub age_ms: u64,
    /// Number of proxies that pull from the process.
    pub proxies: u64,
    /// Number of them that lack the newest configuration.
    pub outdated_proxies: u64,
    /// Time since the oldest of their last pulls, in milliseconds.
    pub oldest_pull_ms: u64,
    /// Bytes of the replies that contained the newest configuration.
    pub sent_bytes: u64,
    /// Identities of proxies that lack it, a limited number of them.
    pub outdated: Vec<String>,
}

/// The first message on a connection to a control process, which selects the messages that follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConnectionPreface {
    /// [`Request`]s follow, each with its [`Reply`] in turn.
    Requests,
    /// [`PeerMessage`]s follow.
    Peer,
    /// As `Requests`, and the caller reads compressed replies. A control process of an earlier build closes the
    /// connection.
    CompressedRequests,
}
