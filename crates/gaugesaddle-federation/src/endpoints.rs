//! Which connection to a region's gateways has the next request.

use gaugesaddle_balancer::{Micros, Time};

/// Maximum connections to one region: a proxy does not connect to each gateway of a large region.
pub const MAX_CONNECTIONS: usize = 8;
/// Minimum connections: a second one for when the first is being replaced or has lost a packet.
pub const MIN_CONNECTIONS: usize = 2;
/// A gateway without budget is avoided for this long: a tenth of its budget for a second comes back in this time.
const FULL_BACKOFF: Micros = Micros(100_000);
/// An unreachable gateway is avoided for this long.
const UNREACHABLE_BACKOFF: Micros = Micros(1_000_000);

/// Why a connection did not accept a request. The request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The gateway's allocation of the budget is used up.
    Full,
    /// The gateway cannot be reached.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct Avoidance {
    reason: Unavailable,
    until: Time,
}

/// Round robin over the connections to one region, without those that are unavailable.
#[derive(Clone, Debug)]
pub struct EndpointSelector {
    /// By connection.
    avoided: Vec<Option<Avoidance>>,
    next: usize,
}

impl EndpointSelector {
    /// One connection a gateway, within [`MIN_CONNECTIONS`] and [`MAX_CONNECTIONS`].
    pub fn new(gateways: usize) -> EndpointSelector {
        EndpointSelector { avoided: vec![None; gateways.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)], next: 0 }
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.avoided.len()
    }

    /// The next available connection for a request; `attempted` has a bit for each connection that it has been sent to.
    /// Where all are unreachable the first attempt is made all the same; full ones are not used.
    pub fn select(&mut self, now: Time, attempted: u32) -> Option<usize> {
        let count = self.avoided.len();
        let reason = |connection: usize| {
            self.avoided[connection].filter(|avoided| now < avoided.until).map(|avoided| avoided.reason)
        };
        let mut unreachable = None;
        let mut selected = None;
        for connection in (0..count).map(|i| (self.next + i) % count) {
            if attempted >> connection & 1 == 1 {
                continue;
            }
            match reason(connection) {
                None => {
                    selected = Some(connection);
                    break;
                }
                Some(Unavailable::Unreachable) if attempted == 0 => {
                    unreachable = unreachable.or(Some(connection));
                }
                Some(_) => {}
            }
        }
        let connection = selected.or(unreachable)?;
        self.next = (connection + 1) % count;
        Some(connection)
    }

    /// A connection did not accept a request: it is avoided for a while.
    pub fn mark_unavailable(&mut self, now: Time, connection: usize, reason: Unavailable) {
        let backoff = match reason {
            Unavailable::Full => FULL_BACKOFF,
            Unavailable::Unreachable => UNREACHABLE_BACKOFF,
        };
        if let Some(avoided) = self.avoided.get_mut(connection) {
            *avoided = Some(Avoidance { reason, until: now + backoff });
        }
    }

    /// Time until some full gateway may have budget again; `None` where none is full.
    pub fn shortest_full_backoff(&self, now: Time) -> Option<Micros> {
        let is_full = |avoided: &&Avoidance| avoided.reason == Unavailable::Full && now < avoided.until;
        self.avoided.iter().flatten().filter(is_full).map(|avoided| avoided.until - now).min()
    }
}

#[cfg(test)]
mod tests;
