//! The catalog of backends and proxies: registrations and their changes.

use musli::{Decode, Encode};

/// Identifies one incarnation of a control process. After a restart, a process numbers its changes from 1 under a new
/// origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Origin(pub u64);

/// A version vector: the number of the newest known change of each origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionVector(pub Vec<(Origin, u64)>);

impl VersionVector {
    /// Number of the newest known change of an origin; 0 if none is known.
    pub fn of(&self, origin: Origin) -> u64 {
        self.0.iter().find(|(o, _)| *o == origin).map_or(0, |(_, n)| *n)
    }

    /// Records that the changes of an origin are known up to a number.
    pub fn advance(&mut self, origin: Origin, change: u64) {
        match self.0.iter_mut().find(|(o, _)| *o == origin) {
            Some((_, n)) => *n = (*n).max(change),
            None => self.0.push((origin, change)),
        }
    }
}

/// Lifecycle of a registration. At equal sequence numbers, the greater variant takes precedence.
///
/// ```text
///  Ready <--renewed, lease expired--> Expired
///    |                                  |
///    +--drain announced--> Draining <---+
///    |                        |         |
///    +--deregistered-----> Departed <---+
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Lifecycle {
    /// Ready for requests.
    Ready,
    /// Not renewed before its lease expired.
    Expired,
    /// Has announced its shutdown and receives no new requests.
    Draining,
    /// Deregistered.
    Departed,
}

impl Lifecycle {
    /// Whether the process drains or has departed. This is never revoked: a restarted process has another identity.
    pub fn is_leaving(self) -> bool {
        self >= Lifecycle::Draining
    }
}

/// The kind of process that a registration describes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Subject {
    /// A backend of a service.
    Backend {
        /// Name of the service.
        service: String,
        /// Its address, as `ip:port`.
        address: String,
        /// Number of requests that it processes concurrently.
        slots: u32,
    },
    /// A proxy of the data plane.
    Proxy,
}

/// A registration: soft state under a lease that the registered process renews.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Registration {
    /// Identity of this incarnation of the backend or proxy, unique in the fleet.
    pub id: String,
    /// Zone of the process.
    pub zone: String,
    /// The kind of process.
    pub subject: Subject,
    /// Sequence number, which increases with each call of the registered process.
    pub sequence: u64,
    /// Lifecycle of the registration.
    pub lifecycle: Lifecycle,
}

/// A registration with the change that created or updated it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CatalogEntry {
    /// The control process that accepted the change.
    pub origin: Origin,
    /// Number of the change at that origin.
    pub change: u64,
    /// The registration.
    pub registration: Registration,
}

/// Entries that a receiver lacks, and its version vector after applying them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CatalogDelta {
    /// The entries.
    pub entries: Vec<CatalogEntry>,
    /// The changes that the receiver must already have, so that applying the entries leaves no gap.
    pub since: VersionVector,
    /// The changes that the receiver has after applying the entries.
    pub vector: VersionVector,
    /// Ranges of which `entries` contains every live registration. The receiver expires its other ready registrations
    /// of these ranges, since the processes that granted their leases no longer exist. Empty unless the sender has
    /// received the full catalog.
    pub complete_ranges: Vec<u8>,
}
