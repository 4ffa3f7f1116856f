//! Raft for the operator's configuration: election, replication, membership changes and linearizable reads, without
//! I/O.
//!
//! The replicated [`State`](gaugesaddle_protocol::State) is one value that each change replaces, so the log is one
//! entry long, and a state is sent as a delta against the state that the receiver has. Raft's rules for the last log
//! entry apply to the state's [`LogPosition`](gaugesaddle_protocol::LogPosition): a vote is granted only to a candidate
//! whose position is not older, and a new leader rewrites its present state in its own term before anything is
//! committed (Ongaro, *Consensus: Bridging Theory and Practice*, 2014, section 3.6).
//!
//! # Main types
//!
//! - [`Replica`] is the state machine. It handles an [`Input`] with the monotonic time of its occurrence and appends
//!   the [`Output`]s that its host must execute. [`Role`] documents the transitions.
//! - [`FirstStart`] describes a process at the first start of a fleet; [`Replica::bootstrap`] derives the initial group from it.
//! - [`Proposal`] is a proposed change of the configuration, [`ProposalResult`] its outcome; [`change`] builds
//!   proposals from operators' requests.
//! - [`disk_format`] encodes the records that [`Output::Persist`] writes. The host owns the disk, the sockets, the
//!   clock and the source of random numbers.
//!
//! # Example
//!
//! A replica without a disk joins as a learner and never votes:
//!
//! ```rust
//! use gaugesaddle_consensus::{Input, Output, Replica, Role, Settings, Storage};
//! use gaugesaddle_protocol::{HardState, ReplicaId, ReplicaMessage, State};
//!
//! let id = ReplicaId { ip: 0x0a00_0001, incarnation: 7 };
//! let hard_state = HardState { id, term: 0, voted_for: None };
//! let (now, seed) = (1_000, 42);
//! let mut replica =
//!     Replica::new(Settings::default(), hard_state, State::default(), now, seed, Storage::Diskless);
//!
//! let mut out = Vec::new();
//! replica.handle(replica.deadline(), Input::Tick, &mut out);
//! assert_eq!(out, [Output::Broadcast(ReplicaMessage::Join { durable: false })]);
//! assert_eq!(replica.role(), Role::Follower);
//! assert!(!replica.is_fresh(now));
//! ```
//!
//! # Guarantees
//!
//! With any number of lost messages and crashed processes:
//!
//! - A change reported as [`ProposalResult::Committed`] is durable on a quorum.
//! - A term has at most one leader.
//! - A replica whose disk was lost gets a new identity: it never votes in place of the old one.
//! - A replica that [is fresh](Replica::is_fresh) has every state that was committed one lease ago, regardless of
//!   message delays and of how long the process was suspended.
//!
//! Votes and acknowledgements are sent only after [`Input::Persisted`] of the write that contains them. The host may
//! lose and reorder messages.
//!
//! # Bounds
//!
//! Tables are bounded by the number of replicas ([`settings::MAX_VOTERS`], [`settings::MAX_LEARNERS`]), queues by
//! [`settings::MAX_PENDING`], accepted changes by [`settings::MAX_ACCEPTED`].

mod bootstrap;
pub mod change;
mod commit;
mod departure;
pub mod disk_format;
mod election;
mod follower;
mod history;
mod interface;
mod membership;
mod progress;
mod proposal;
mod quorum;
mod read_index;
mod replica;
mod replication;
pub mod settings;
mod writes;

pub use bootstrap::{FirstStart, INITIAL_INCARNATION};
pub use gaugesaddle_protocol::Departure;
pub use interface::{Input, NotLeader, Output, Role, Storage, WriteId};
pub use proposal::{Proposal, ProposalResult, ProposedDocument};
pub use replica::Replica;
pub use settings::Settings;
