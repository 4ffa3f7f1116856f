//! Selection of the connection to a region's gateways for the next request.

use gaugesaddle_balancer::{Micros, Time};

/// Maximum number of connections to one region: a proxy does not connect to every gateway of a large region.
pub const MAX_CONNECTIONS: usize = 8;
/// Minimum number of connections: the second one is used while the first is being replaced or recovers from packet loss.
pub const MIN_CONNECTIONS: usize = 2;
/// Duration for which a gateway without remaining budget is skipped: a tenth of its budget per second is available again
/// after it.
const FULL_BACKOFF: Micros = Micros(100_000);
/// Duration for which an unreachable gateway is skipped.
const UNREACHABLE_BACKOFF: Micros = Micros(1_000_000);

/// Why a connection did not accept a request. The request was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// The gateway's allocation of the budget is exhausted.
    Full,
    /// The gateway cannot be reached.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct Avoidance {
    reason: Unavailable,
    until: Time,
}

/// Round robin over the available connections to one region.
#[derive(Clone, Debug)]
pub struct EndpointSelector {
    /// Indexed by connection.
    avoided: Vec<Option<Avoidance>>,
    next: usize,
}

impl EndpointSelector {
    /// A selector with one connection per gateway, but at least [`MIN_CONNECTIONS`] and at most [`MAX_CONNECTIONS`].
    pub fn new(gateways: usize) -> EndpointSelector {
        EndpointSelector { avoided: vec![None; gateways.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)], next: 0 }
    }

    /// Number of connections.
    pub fn connections(&self) -> usize {
        self.avoided.len()
    }

    /// The next available connection for a request. `attempted` has a bit set for each connection that the request was
    /// already sent to. If no connection is available, the first attempt uses an unreachable one; full connections are
    /// never selected.
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

    /// Records that a connection did not accept a request; the connection is skipped until its backoff ends.
    pub fn mark_unavailable(&mut self, now: Time, connection: usize, reason: Unavailable) {
        let backoff = match reason {
            Unavailable::Full => FULL_BACKOFF,
            Unavailable::Unreachable => UNREACHABLE_BACKOFF,
        };
        if let Some(avoided) = self.avoided.get_mut(connection) {
            *avoided = Some(Avoidance { reason, until: now + backoff });
        }
    }

    /// Time until the backoff of the first full connection ends; `None` if no connection is full.
    pub fn shortest_full_backoff(&self, now: Time) -> Option<Micros> {
        let is_full = |avoided: &&Avoidance| avoided.reason == Unavailable::Full && now < avoided.until;
        self.avoided.iter().flatten().filter(is_full).map(|avoided| avoided.until - now).min()
    }
}

#[cfg(test)]
mod tests;
