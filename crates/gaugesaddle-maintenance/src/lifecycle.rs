//! Whether a proxy accepts clients, and how it closes the connections that it has.

use gaugesaddle_balancer::{Micros, Time};

/// After SIGTERM without a successor new connections still arrive for 0.2 to 0.4 s (PROTOCOL of the platform); they are
/// accepted for this long.
pub const LISTEN_AFTER_STOP: Micros = Micros(500_000);
/// Where another proxy takes the clients, connections between requests are kept for this long. Nearly all bring another
/// request meanwhile and are closed with its response, which crosses nothing; a close between requests may cross one. Long
/// enough for them, short enough for the last request to end before the platform looks at the drain (4 s).
pub const IDLE_CLOSE_DELAY: Micros = Micros(1_500_000);

/// What the proxy is doing.
///
/// ```text
///            drain                  stop
///  Serving ---------> Draining ----------+
///   ^   |  <---------                    v
///   |   |    rejoin               Stopping { has_successor }
///   |   +------------------------------> ^
///   |                 stop               |
///   +--- (never back: a process that was told to stop ends)
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Clients are accepted.
    Serving,
    /// Clients are to be sent elsewhere; the process stays.
    Draining {
        /// Since when.
        since: Time,
    },
    /// The process is to end.
    Stopping {
        /// Since when.
        since: Time,
        /// Another process listens on the same address.
        has_successor: bool,
    },
}

/// The phase and what follows from it.
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

    /// The operators send its clients away. A repeated command changes nothing; a stopping process stays one.
    pub fn drain(&mut self, now: Time) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Draining { since: now };
        }
    }

    /// Serves again; false where the process is stopping.
    pub fn rejoin(&mut self) -> bool {
        if !self.is_stopping() {
            self.phase = Phase::Serving;
        }
        !self.is_stopping()
    }

    /// The process is to end; `has_successor`: another one listens on its address.
    pub fn stop(&mut self, now: Time, has_successor: bool) {
        if !self.is_stopping() {
            self.phase = Phase::Stopping { since: now, has_successor };
        }
    }

    /// Whether new clients are wanted.
    pub fn accepts_clients(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the process is to end.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping { .. })
    }

    /// Whether the listener stays open. It does while draining: the platform asks there whether the drain is over.
    pub fn listens(&self, now: Time) -> bool {
        match self.phase {
            Phase::Serving | Phase::Draining { .. } => true,
            Phase::Stopping { has_successor: true, .. } => false,
            Phase::Stopping { since, .. } => now - since < LISTEN_AFTER_STOP,
        }
    }

    /// When connections between requests are closed, if at all.
    pub fn idle_close_time(&self) -> Option<Time> {
        match self.phase {
            Phase::Serving => None,
            Phase::Draining { since } | Phase::Stopping { since, has_successor: true } => {
                Some(since + IDLE_CLOSE_DELAY)
            }
            // Its clients have nowhere to go before the platform has noticed; after that the sooner the better.
            Phase::Stopping { since, .. } => Some(since + LISTEN_AFTER_STOP),
        }
    }

    /// Whether connections between requests are closed now.
    pub fn closes_idle_connections(&self, now: Time) -> bool {
        self.idle_close_time().is_some_and(|time| now >= time)
    }
}

#[cfg(test)]
mod tests;
