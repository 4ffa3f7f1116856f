//! The client-facing server: accepts connections, limits their number, and closes them in order when the proxy stops.
//!
//! `connection_task` serves one connection, `handler` one request, `body_reader` reads its body, `eviction` decides
//! which connections are closed so that others can be served.

mod body_reader;
mod connection_task;
mod eviction;
mod handler;

pub use handler::text_response;

use crate::clock::{duration, Clock};
use crate::operations::event_counters::Reason;
use crate::operations::registry::Registry;
use crate::serving::client_connection::ClientConnection;
use crate::serving::exchange::Input;
use crate::serving::request_rules::RequestRules;
use gaugesaddle_balancer::Micros;
use gaugesaddle_maintenance::{IDLE_CLOSE_DELAY, LISTEN_AFTER_STOP};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{Instant, MissedTickBehavior};

/// Divisor of the number of descriptors that gives the maximum number of idle connections. Usual clients need at most a
/// third of the descriptors for requests. Idle connections reduce the descriptors for later requests, so half of that
/// third remains free for these. Clients that send further requests have few idle connections, since they reuse the
/// same ones.
pub const IDLE_FRACTION: usize = 6;
/// Interval of the checks for connections that have timed out.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed accept, for example for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The state that the handlers of all connections share.
pub struct Server {
    pub clock: Clock,
    pub rules: RequestRules,
    pub registry: Rc<Registry>,
    tick: Micros,
    /// Number of bytes that the bodies of open requests may still use.
    free_body_bytes: Cell<usize>,
    inputs: mpsc::UnboundedSender<Input>,
    last_number: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// The correlation ids of the open requests, which the clients have chosen.
    open_ids: RefCell<HashSet<HeaderValue>>,
    connection_closed: Notify,
}

impl Server {
    /// `body_bytes`: the maximum number of bytes that the bodies of open requests may use together.
    pub fn new(
        clock: Clock, rules: RequestRules, tick: Micros, body_bytes: usize,
        inputs: mpsc::UnboundedSender<Input>, registry: Rc<Registry>,
    ) -> Server {
        Server {
            clock,
            rules,
            registry,
            tick,
            free_body_bytes: Cell::new(body_bytes),
            inputs,
            last_number: Cell::default(),
            connections: RefCell::default(),
            open_ids: RefCell::default(),
            connection_closed: Notify::new(),
        }
    }

    /// Serves until `stop`, which returns whether another process replaces this one; returns when all connections are
    /// closed, or after the longest time for which a client waits.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = bool>) {
        tokio::pin!(stop);
        let end = tokio::time::sleep(Duration::MAX);
        tokio::pin!(end);
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_full = self.connections.borrow().len() >= self.registry.bounds().connections;
            if is_full {
                self.evict_one();
            }
            tokio::select! {
                biased;
                has_successor = &mut stop, if !self.registry.lifecycle().is_stopping() => {
                    let now = self.clock.now();
                    self.registry.update_lifecycle(|lifecycle| lifecycle.stop(now, has_successor));
                    let remaining = if has_successor { Duration::ZERO } else { duration(LISTEN_AFTER_STOP) };
                    end.as_mut().reset(Instant::now() + remaining);
                }
                () = &mut end, if self.registry.lifecycle().is_stopping() => break,
                _ = sweep.tick() => self.close_timed_out(),
                () = self.connection_closed.notified() => {}
                accepted = listener.accept(), if !is_full => match accepted {
                    Ok((stream, _)) => self.clone().spawn_connection(stream),
                    Err(e) => {
                        tracing::debug!("accept: {e}");
                        self.registry.event_counters.count(Reason::AcceptFailed);
                        self.evict_one();
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
            }
        }
        // Connections that the system has accepted meanwhile are served, too.
        for stream in drain_backlog(listener) {
            self.clone().spawn_connection(stream);
        }
        let close_by = Instant::now() + duration(IDLE_CLOSE_DELAY) + duration(self.rules.max_patience);
        while !self.connections.borrow().is_empty() && Instant::now() < close_by {
            self.close_idle_on_drain(self.clock.now());
            tokio::select! {
                _ = sweep.tick() => self.close_timed_out(),
                () = self.connection_closed.notified() => {}
            }
        }
    }

    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }
}

/// Closes the listener; returns the connections in its accept queue. They are accepted without the runtime, whose
/// readiness of the listener may be out of date.
fn drain_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    accepted
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

#[cfg(test)]
mod tests;
