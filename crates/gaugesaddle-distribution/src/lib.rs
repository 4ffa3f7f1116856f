//! How configuration and catalog get from control processes to proxies, decided without I/O.
//!
//! - [`Distributor`]: at a control process, the configuration in force and the versions before it; answers a proxy's call
//!   when there is news for it.
//! - [`Follower`]: at a proxy, what it has taken, which control process it asks next, and what it makes of an answer.
//! - [`Members`]: the control processes that a proxy knows.
//!
//! Promise: a proxy never goes back behind a configuration that it has had in force, and takes one only from a process
//! that was in touch with a majority a stated time before the answer was taken, however long the answer or the proxy
//! itself stood still. It knows how long ago at most its configuration was the newest one acknowledged
//! ([`Follower::is_proven_within`]). Tables are bounded by the number of control processes, and by [`MAX_VERSIONS`] versions of
//! [`MAX_VERSION_BYTES`] together.

mod distributor;
mod follower;
mod members;

pub use distributor::{Distributor, ReplicaStatus, MAX_VERSIONS, MAX_VERSION_BYTES};
pub use follower::{Applied, Follower, FOLLOWER_LEASE_MS};
pub use members::{Members, FAILED_MEMBER_BACKOFF_MS, MEMBER_RETENTION_MS};
