//! Registrations of backends and proxies as they are passed between processes.

use musli::{Decode, Encode};

/// One incarnation of a control process; a restarted one counts its changes anew under another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Origin(pub u64);

/// How many changes of each origin are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionVector(pub Vec<(Origin, u64)>);

impl VersionVector {
    /// The changes known of an origin.
    pub fn of(&self, origin: Origin) -> u64 {
        self.0.iter().find(|(o, _)| *o == origin).map_or(0, |(_, n)| *n)
    }

    /// Notes that the changes of an origin are known up to a number.
    pub fn advance(&mut self, origin: Origin, change: u64) {
        match self.0.iter_mut().find(|(o, _)| *o == origin) {
            Some((_, n)) => *n = (*n).max(change),
            None => self.0.push((origin, change)),
        }
    }
}

/// Where a registration stands. The order is that of precedence at equal sequence numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Lifecycle {
    /// May get requests.
    Ready,
    /// Its lease has run out.
    Expired,
    /// It has announced its end and gets no new requests.
    Draining,
    /// It has deregistered.
    Departed,
}

impl Lifecycle {
    /// An announced end is never taken back: a restart has another identity.
    pub fn is_leaving(self) -> bool {
        self >= Lifecycle::Draining
    }
}

/// What a registration is about.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Subject {
    /// A backend of a service.
    Backend {
        /// Name of the service.
        service: String,
        /// Where it serves, as `ip:port`.
        address: String,
        /// Requests that it works on at once.
        slots: u32,
    },
    /// A proxy of the data plane.
    Proxy,
}

/// A registration: soft state that its owner renews.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Registration {
    /// Identity of this incarnation of the backend or proxy.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// What it is.
    pub subject: Subject,
    /// Rises with each call of the registered process.
    pub sequence: u64,
    /// Where it stands.
    pub lifecycle: Lifecycle,
}

/// A registration with the change that brought it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Entry {
    /// The control process that accepted the change.
    pub origin: Origin,
    /// Number of the change at that origin.
    pub change: u64,
    /// The registration.
    pub registration: Registration,
}

/// Entries that a receiver lacks, and what it knows after taking them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CatalogDelta {
    /// The entries.
    pub entries: Vec<Entry>,
    /// What the receiver must know already, so that nothing is missing in between.
    pub since: VersionVector,
    /// What it knows then.
    pub vector: VersionVector,
    /// Ranges of which `entries` holds every registration that lives, as far as the sender knows: what the receiver has
    /// besides these is known to nobody any more. Empty unless the sender has heard the whole fleet.
    pub complete_ranges: Vec<u8>,
}
