//! Whether a proxy accepts clients, and when it closes its idle connections and its listener.

use gaugesaddle_balancer::{Micros, Time};

/// Time for which new connections are accepted after SIGTERM without a successor. They still arrive for 0.2 to 0.4 s
/// (PROTOCOL of the platform).
pub const LISTEN_AFTER_STOP: Micros = Micros(500_000);
/// Time for which idle connections stay open when another proxy takes over the clients. Nearly all of them carry another
/// request within it and are closed with its response, while closing an idle connection can race with a new request. It is
/// short enough for the last request to end before the platform checks the drain (4 s).
pub const IDLE_CLOSE_DELAY: Micros = Micros(1_500_000);

/// The phase of a proxy's lifecycle.
///
/// ```text
///            drain                  stop
///  Serving ---------> Draining ----------+
///   ^   |  <---------                    v
///   |   |    rejoin               Stopping { has_successor }
///   |   +------------------------------> ^
///   |                 stop               |
///   +--- (no transition back: a stopping process ends)
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The proxy accepts clients.
    Serving,
    /// Clients are moved to other proxies; the process continues to run.
    Draining {
        /// Since when.
        since: Time,
    },
    /// The process ends.
    Stopping {
        /// Since when.
        since: Time,
        /// Another process listens on the same address.
        has_successor: bool,
    },
}

/// The phase of this proxy and the decisions that depend on it.
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
    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Starts to drain. Has no effect on a proxy that is draining or stopping.
    pub fn drain(&mut self, now: Time) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Draining { since: now };
        }
    }

    /// Returns to serving; false if the process is stopping.
    pub fn rejoin(&mut self) -> bool {
        if !self.is_stopping() {
            self.phase = Phase::Serving;
        }
        !self.is_stopping()
    }

    /// Starts to stop. `has_successor`: another process listens on the same address. Has no effect on a stopping process.
    pub fn stop(&mut self, now: Time, has_successor: bool) {
        if !self.is_stopping() {
            self.phase = Phase::Stopping { since: now, has_successor };
        }
    }

    /// Whether new clients are accepted.
    pub fn accepts_clients(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        matches!(self.phase, Phase::Stopping { .. })
    }

    /// Whether the listener is open. It stays open during a drain, since the platform queries the state of the drain
    /// through it.
    pub fn listens(&self, now: Time) -> bool {
        match self.phase {
            Phase::Serving | Phase::Draining { .. } => true,
            Phase::Stopping { has_successor: true, .. } => false,
            Phase::Stopping { since, .. } => now - since < LISTEN_AFTER_STOP,
        }
    }

    /// Time from which on idle connections are closed; `None` while serving.
    pub fn idle_close_time(&self) -> Option<Time> {
        match self.phase {
            Phase::Serving => None,
            Phase::Draining { since } | Phase::Stopping { since, has_successor: true } => {
                Some(since + IDLE_CLOSE_DELAY)
            }
            // Clients cannot go to another proxy before the platform has noticed the stop. Once it has, idle connections are
            // closed without further delay.
            Phase::Stopping { since, .. } => Some(since + LISTEN_AFTER_STOP),
        }
    }

    /// Whether idle connections are closed now.
    pub fn closes_idle_connections(&self, now: Time) -> bool {
        self.idle_close_time().is_some_and(|time| now >= time)
    }
}

#[cfg(test)]
mod tests;
