//! Distribution of configuration and catalog from control processes to proxies. The crate performs no I/O.
//!
//! It decides what a control process answers to a proxy's pull, which control process a proxy calls, and which answers
//! the proxy applies.
//!
//! - [`Distributor`]: at a control process. It owns the configuration in force and the versions before it; the catalog
//!   belongs to a [`CatalogReplica`](gaugesaddle_catalog::CatalogReplica) that is passed in.
//! - [`DistributionProgress`]: at a control process. It owns the position of each proxy that pulls from it.
//! - [`Follower`]: at a proxy (not a Raft follower). It owns the configuration applied last, a
//!   [`Catalog`](gaugesaddle_catalog::Catalog) and the [`Members`].
//! - [`CallSet`]: at a proxy. It owns the calls in flight, and decides when another process is called beside them.
//! - [`Members`]: the control processes known to a proxy, and the order in which it calls them.
//!
//! ```
//! use gaugesaddle_catalog::CatalogReplica;
//! use gaugesaddle_distribution::{Distributor, Follower, ReplicaStatus};
//! use gaugesaddle_protocol::{Configuration, Lifecycle, LogPosition, Origin, Registration, Subject};
//!
//! let now_ms = 10_000;
//! let mut distributor = Distributor::default();
//! let position = LogPosition { term: 1, index: 1 };
//! distributor.apply(&Configuration { position, revision: 7, document: b"{}".to_vec() });
//! let catalog_replica = CatalogReplica::new(now_ms, Origin(1), 4200);
//!
//! let proxy = Registration {
//!     id: "proxy-1".to_owned(),
//!     zone: "a".to_owned(),
//!     subject: Subject::Proxy,
//!     sequence: 0,
//!     lifecycle: Lifecycle::Ready,
//! };
//! let mut follower = Follower::new(now_ms, 9, proxy, [1].into_iter());
//! let pull = follower.pull(now_ms, Lifecycle::Ready, 0);
//! let status = ReplicaStatus { fresh: true, leader: Some(1), members: vec![1] };
//! let reply = distributor.answer(now_ms, &catalog_replica, &pull, status);
//! assert!(follower.apply(now_ms + 5, now_ms, 5_000, reply).configuration);
//! assert_eq!(follower.configuration().map(|c| c.revision), Some(7));
//! ```
//!
//! # Guarantees
//!
//! A proxy never returns to a configuration older than one that it has applied. It applies one only from a process in
//! contact with a majority, and only within the validity of the answer, even if the answer was delayed or the proxy was
//! suspended. It has an upper bound on the time since its configuration was the newest one acknowledged
//! ([`Follower::is_proven_within`]).
//!
//! # Bounds
//!
//! A distributor retains at most [`MAX_VERSIONS`] versions of [`MAX_VERSION_BYTES`] in total, and the newest one
//! always. The members are the control processes reported within [`MEMBER_RETENTION_MS`]. All times are milliseconds of
//! one machine's monotonic clock.

mod calls;
mod distributor;
mod follower;
mod members;
mod progress;

pub use calls::{CallSet, HEDGE_DELAY_MS, MAX_CALLS};
pub use distributor::{Distributor, ReplicaStatus, MAX_VERSIONS, MAX_VERSION_BYTES};
pub use follower::{Applied, Follower, FOLLOWER_LEASE_MS};
pub use members::{Members, FAILED_MEMBER_BACKOFF_MS, MEMBER_RETENTION_MS};
pub use progress::{Completion, DistributionProgress};
