//! Whether a proxy wants clients, and how it lets go of those that it has.

use gaugesaddle_balancer::{Micros, Time};

/// After SIGTERM without a successor new connections still come for a while (PROTOCOL of the platform: 0.2 to
/// 0.4 s): so long they are accepted.
pub const LISTEN_ON: Micros = Micros(500_000);
/// Where another proxy takes over, connections between requests are kept for so long: nearly all bring another
/// request by then and are told with its answer, which can cross nothing, while a close out of the blue can. Late
/// enough for them, early enough for the last request to end before the drain is looked at (4 s).
pub const IDLE_CLOSE: Micros = Micros(1_500_000);

/// What the proxy is doing.
///
/// ```text
///            drain                  stop
///  Serving ---------> Draining ----------+
///   ^   |  <---------                    v
///   |   |    rejoin               Stopping { succeeded }
///   |   +------------------------------> ^
///   |                 stop               |
///   +--- (never back: a process that was told to end ends)
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Clients are welcome.
    Serving,
    /// The front is to send its clients elsewhere; the process stays.
    Draining {
        /// Since when.
        since: Time,
    },
    /// The process is to end.
    Stopping {
        /// Since when.
        since: Time,
        /// Another process listens on the same address.
        succeeded: bool,
    },
}

/// The state and what follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifecycle {
    phase: Phase,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle { phase: Phase::Serving }
    }
}

impl Lifecycle {
    /// What the proxy is doing.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The operators send its clients away. Told again it goes on as it is; one that ends, ends.
    pub fn drain(&mut self, now: Time) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Draining { since: now };
        }
    }

    /// Back to work; false where the process is ending.
    pub fn rejoin(&mut self) -> bool {
        if !self.is_stopping() {
            self.phase = Phase::Serving;
        }
        !self.is_stopping()
    }

    /// The process is to end; `succeeded`: another one listens on its address.
    pub fn stop(&mut self, now: Time, succeeded: bool) {
        if !self.is_stopping() {
            self.phase = Phase::Stopping { since: now, succeeded };
        }
    }

    /// New clients are wanted.
    pub fn welcomes(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// The process is to end.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping { .. })
    }

    /// Whether the listener stays open. While draining it does: the front asks there for the drain's end.
    pub fn listens(&self, now: Time) -> bool {
        match self.phase {
            Phase::Serving | Phase::Draining { .. } => true,
            Phase::Stopping { succeeded: true, .. } => false,
            Phase::Stopping { since, .. } => now - since < LISTEN_ON,
        }
    }

    /// From when on connections between requests are closed, if at all.
    pub fn closes_idle_from(&self) -> Option<Time> {
        match self.phase {
            Phase::Serving => None,
            Phase::Draining { since } | Phase::Stopping { since, succeeded: true } => {
                Some(since + IDLE_CLOSE)
            }
            // Its clients have nowhere to go before the front has noticed; then the sooner the better.
            Phase::Stopping { since, .. } => Some(since + LISTEN_ON),
        }
    }

    /// Whether connections between requests are closed now.
    pub fn closes_idle(&self, now: Time) -> bool {
        self.closes_idle_from().is_some_and(|from| now >= from)
    }
}

#[cfg(test)]
mod tests;
