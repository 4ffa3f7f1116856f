//! Replicas of the operator's configuration: election, replication, membership and current reads, without I/O.
//!
//! [`Replica`] takes [`Input`]s with the steady time at which they happened and returns [`Output`]s. The replicated
//! [`State`](gaugesaddle_protocol::State) is one value that each change replaces: the history kept is one state long,
//! and a state travels as what changed since the one that the receiver has. What Raft says of a log's last entry holds for it: a state's [`LogPosition`](gaugesaddle_protocol::Stamp)
//! orders it, a vote goes only to a candidate whose stamp is not older, and a new leader writes the state it found
//! under its own term before it calls anything committed.
//!
//! The group changes by joint consensus: a successor takes all that is there first, then one state names both groups,
//! and a majority of each decides until the next state names the new one alone.
//!
//! Promises, at any number of lost messages and crashed processes: what is reported as taken is on a majority of
//! disks; no two leaders share a term; a replica with an empty disk is another replica and never votes for the old
//! one; a replica that calls itself current has all that was committed a stated time ago, however late messages come
//! and however long the process slept. Tables are bounded by the number of replicas, queues by
//! [`settings::MAX_PENDING`].

pub mod change;
pub mod disk_format;
mod election;
mod membership;
mod pending;
mod quorum;
mod replica;
mod replication;
pub mod settings;
mod update;

pub use pending::{Proposal, ProposalResult, ProposedDocument, WriteId};
pub use replica::{Input, NotLeader, Output, Replica, Role};
pub use settings::Settings;
