//! Which connections are closed so that others can be served.

use super::Server;
use crate::operations::event_counters::Reason;
use crate::serving::client_connection::{ClientConnection, EvictionRank, Phase};
use gaugesaddle_balancer::{Micros, Time};
use std::rc::Rc;

/// Maximum time for which a partial request on an otherwise idle connection is awaited when the process stops: the
/// process may be killed before it has answered a later one, while a client whose connection is closed tries another
/// proxy.
const PARTIAL_HEAD_TIMEOUT: Micros = Micros(200_000);

impl Server {
    /// Closes idle connections while the proxy drains or stops.
    pub(super) fn close_idle_on_drain(&self, now: Time) {
        let lifecycle = self.registry.lifecycle();
        if !lifecycle.closes_idle_connections(now) {
            return;
        }
        let is_stopping = lifecycle.is_stopping();
        let reason = if is_stopping { Reason::ClosedStopping } else { Reason::ClosedDraining };
        let is_idle = |c: &&Rc<ClientConnection>| c.is_used() && matches!(c.phase.get(), Phase::Idle(_));
        for connection in self.connections.borrow().values().filter(is_idle) {
            match connection.close_requested.get() {
                Some((at, _)) if is_stopping && now - at >= PARTIAL_HEAD_TIMEOUT => {
                    connection.close.notify_one();
                }
                _ => connection.request_close(now, reason),
            }
        }
    }

    /// Closes connections that have timed out, and logs the counters that have changed.
    pub(super) fn close_timed_out(&self) {
        let now = self.clock.now();
        self.close_idle_on_drain(now);
        for connection in self.connections.borrow().values() {
            if let Some(reason) = connection.timed_out(now) {
                connection.request_close(now, reason);
            }
        }
        if let Some(counters) = self.registry.event_counters.take_line(now) {
            self.log_connections(&counters);
        }
    }

    fn log_connections(&self, counters: &str) {
        let connections = self.connections.borrow();
        let in_service = connections.values().filter(|c| matches!(c.phase.get(), Phase::InService));
        let in_service = in_service.count();
        let is_used = |c: &&Rc<ClientConnection>| c.is_used() || matches!(c.phase.get(), Phase::InService);
        let used = connections.values().filter(is_used).count();
        let (open, max) = (connections.len(), self.registry.bounds().connections);
        // Operators' tools read this line.
        tracing::info!("{counters}; open {open} of {max}, asked on {used}, in service {in_service}");
    }

    /// Closes a connection that is not in service when all connections are in use: new clients must be served, even if
    /// many others have connections without sending requests.
    pub(super) fn evict_one(&self) {
        let now = self.clock.now();
        let connections = self.connections.borrow();
        let ranked = connections.values().filter_map(|c| c.eviction_rank(now).map(|rank| (rank, c)));
        if let Some(((rank, _), connection)) = ranked.min_by_key(|(rank, _)| *rank) {
            let reason = match rank {
                EvictionRank::UsedOnce | EvictionRank::UsedOften => Reason::EvictedIdle,
                EvictionRank::NeverUsed => Reason::EvictedUnused,
                EvictionRank::Reading => Reason::EvictedReading,
            };
            connection.request_close(now, reason);
        }
    }

    /// Closes surplus idle connections before all connections are in use: clients whose descriptors are all used by
    /// idle connections could send no request, and no new connection would cause an eviction.
    pub(super) fn limit_idle(&self) {
        let connections = self.connections.borrow();
        let max = self.registry.bounds().idle_connections;
        if connections.len() <= max {
            return;
        }
        let now = self.clock.now();
        let idle = connections.values().filter(|c| c.is_idle());
        let surplus = idle.clone().count().saturating_sub(max);
        for _ in 0..surplus {
            if let Some(connection) = idle.clone().min_by_key(|c| c.eviction_rank(now)) {
                connection.request_close(now, Reason::ClosedSurplusIdle);
            }
        }
    }
}
