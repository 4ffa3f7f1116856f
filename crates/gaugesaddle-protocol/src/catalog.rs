//! The catalog of backends and proxies: registrations and their changes.

use musli::{Decode, Encode};

/// One incarnation of a control process. A restarted one numbers its changes from 1 under another origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Origin(pub u64);

/// A version vector: for each origin the number of its newest known change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionVector(pub Vec<(Origin, u64)>);

impl VersionVector {
    /// Number of the newest known change of an origin; 0 without any.
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

/// Lifecycle of a registration. The greater variant takes precedence at equal sequence numbers.
///
/// ```text
///  Ready <--renewed, lease timed out--> Expired
///    |                                    |
///    +--announced its end--> Draining <---+
///    |                          |         |
///    +--deregistered------> Departed <----+
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Lifecycle {
    /// It is ready for requests.
    Ready,
    /// Its lease has expired.
    Expired,
    /// It has announced its end and receives no new requests.
    Draining,
    /// It has deregistered.
    Departed,
}

impl Lifecycle {
    /// Whether its end is announced. This is never revoked: a restarted process has another identity.
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

/// A registration: soft state that its owner renews.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Registration {
    /// Identity of this incarnation of the backend or proxy, unique in the fleet.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// The kind of process.
    pub subject: Subject,
    /// Rises with each call of the registered process.
    pub sequence: u64,
    /// Its lifecycle.
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

/// Entries that a receiver lacks, and what it knows after applying them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CatalogDelta {
    /// The entries.
    pub entries: Vec<CatalogEntry>,
    /// The changes that the receiver must already have, so that there is no gap.
    pub since: VersionVector,
    /// The changes that it has afterwards.
    pub vector: VersionVector,
    /// Ranges of which `entries` contains every live registration, as far as the sender knows: no process knows the
    /// receiver's other registrations of these ranges any more. Empty unless the sender has received the full catalog.
    pub complete_ranges: Vec<u8>,
}
