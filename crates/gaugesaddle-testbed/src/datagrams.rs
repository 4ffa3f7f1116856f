//! The network between the proxies of a tier: a relay that partitions, loses, duplicates, delays and reorders their
//! datagrams.
//!
//! The relay has a socket for each proxy, at whose address the other proxies reach it. It identifies a sender by its
//! source address and forwards from the sender's socket, so that the receiver sees the configured address. It runs on a
//! thread of its own until it is dropped. Bound: [`MAX_IN_FLIGHT`] datagrams; further ones are dropped and counted.

use crate::random::RandomStream;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Most datagrams in flight.
pub const MAX_IN_FLIGHT: usize = 20_000;
/// Number of the most recent datagrams of each proxy that are retained for replay.
const RETAINED: usize = 64;
/// Longest latency of a datagram, in microseconds.
const MAX_DELAY_US: u64 = 10_000_000;

/// The state of the network between all processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Links {
    /// Group of each process, by index; datagrams between groups are lost. Empty: one group.
    #[serde(rename = "parts")]
    pub groups: Vec<u8>,
    /// Pairs of processes; datagrams from the first to the second are lost.
    pub one_way: Vec<(usize, usize)>,
    /// Processes whose outgoing datagrams are lost.
    pub unheard: Vec<usize>,
    /// Processes whose incoming and outgoing datagrams have the additional latency `slow_us`.
    pub slow: Vec<usize>,
    /// Additional latency of `slow`, in microseconds.
    pub slow_us: u64,
    /// Fraction of all datagrams that is lost.
    pub loss: f64,
    /// Fraction of datagrams that is duplicated; the duplicate arrives much later.
    pub doubled: f64,
    /// Range of the latency, in microseconds. It is drawn uniformly, so that datagrams may be reordered.
    pub way_us: [u64; 2],
    /// Paths with additional loss or latency.
    pub poor: Vec<LossyPath>,
}

/// A path on which datagrams have additional loss or latency.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LossyPath {
    /// Senders, by index; empty: all.
    pub from: Vec<usize>,
    /// Receivers, by index; empty: all.
    pub to: Vec<usize>,
    /// Fraction of these datagrams that is lost, in addition to [`Links::loss`].
    pub loss: f64,
    /// Additional latency, in microseconds.
    pub more_us: u64,
}

/// A value of [`Links`] that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("links: expected {expected}")]
pub struct InvalidLinks {
    /// The expected value.
    pub expected: &'static str,
}

impl LossyPath {
    /// The paths between the proxies of two zones, in both directions; proxies are assigned to the zones in turn.
    pub fn between(zones: [usize; 2], of: usize, size: usize, loss: f64, more_us: u64) -> Vec<LossyPath> {
        let [a, b] = zones.map(|zone| (0..size).filter(|p| p % of == zone).collect::<Vec<usize>>());
        let back = LossyPath { from: b.clone(), to: a.clone(), loss, more_us };
        vec![LossyPath { from: a, to: b, loss, more_us }, back]
    }

    fn applies_to(&self, from: usize, to: usize) -> bool {
        let among = |set: &[usize], index| set.is_empty() || set.contains(&index);
        among(&self.from, from) && among(&self.to, to)
    }
}

impl Default for Links {
    fn default() -> Links {
        Links {
            groups: Vec::new(),
            one_way: Vec::new(),
            unheard: Vec::new(),
            slow: Vec::new(),
            slow_us: 0,
            loss: 0.0,
            doubled: 0.0,
            way_us: [100, 2000],
            poor: Vec::new(),
        }
    }
}

impl Links {
    /// A partition into that many groups, with the processes assigned in turn.
    pub fn partitioned(size: usize, parts: usize) -> Links {
        Links { groups: (0..size).map(|p| (p % parts) as u8).collect(), ..Links::default() }
    }

    /// The links between these processes only, with the indexes renumbered by position in `members`.
    pub fn restricted_to(&self, members: &[usize]) -> Links {
        let index = |p: &usize| members.iter().position(|m| m == p);
        let indexes = |all: &[usize]| all.iter().filter_map(index).collect::<Vec<_>>();
        let pair = |(a, b): &(usize, usize)| Some((index(a)?, index(b)?));
        let poor = |p: &LossyPath| {
            let (from, to) = (indexes(&p.from), indexes(&p.to));
            let none = |all: &[usize], here: &[usize]| !all.is_empty() && here.is_empty();
            (!none(&p.from, &from) && !none(&p.to, &to)).then_some(LossyPath { from, to, ..p.clone() })
        };
        Links {
            groups: members.iter().filter_map(|m| self.groups.get(*m).copied()).collect(),
            one_way: self.one_way.iter().filter_map(pair).collect(),
            unheard: indexes(&self.unheard),
            slow: indexes(&self.slow),
            poor: self.poor.iter().filter_map(poor).collect(),
            ..self.clone()
        }
    }

    /// Whether datagrams from one process to another can arrive.
    pub fn allows(&self, from: usize, to: usize) -> bool {
        self.groups.get(from) == self.groups.get(to)
            && !self.unheard.contains(&from)
            && !self.one_way.contains(&(from, to))
            && !self.poor.iter().any(|p| p.loss >= 1.0 && p.applies_to(from, to))
    }

    /// Whether every process reaches every other one directly.
    pub fn fully_connected(&self) -> bool {
        let cut = !self.one_way.is_empty() || self.poor.iter().any(|p| p.loss >= 1.0);
        self.groups.is_empty() && self.unheard.is_empty() && !cut
    }

    /// Whether no datagram is lost or slowed between processes that are not partitioned.
    pub fn lossless(&self) -> bool {
        self.loss == 0.0 && self.slow.is_empty() && self.poor.is_empty()
    }

    /// Whether the network is undisturbed.
    pub fn is_undisturbed(&self) -> bool {
        self.fully_connected() && self.lossless()
    }

    /// Whether two processes reach each other in both directions, directly or through a third running process.
    pub fn connected(&self, i: usize, j: usize, running: impl Fn(usize) -> bool, size: usize) -> bool {
        let reaches = |a: usize, b: usize| {
            let through = |k: usize| k != a && k != b && running(k) && self.allows(a, k) && self.allows(k, b);
            self.allows(a, b) || (0..size).any(through)
        };
        self.fully_connected() || (reaches(i, j) && reaches(j, i))
    }

    /// Draws the latencies of a datagram, in microseconds, for none, one or two arrivals.
    pub fn draw(&self, random: &mut RandomStream, from: usize, to: usize) -> [Option<u64>; 2] {
        if !self.allows(from, to) || random.bernoulli(self.loss) {
            return [None, None];
        }
        let mut more = if self.slow.contains(&from) || self.slow.contains(&to) { self.slow_us } else { 0 };
        for poor in self.poor.iter().filter(|p| p.applies_to(from, to)) {
            if random.bernoulli(poor.loss) {
                return [None, None];
            }
            more += poor.more_us;
        }
        let [least, most] = self.way_us;
        let mut latency = || random.uniform([least as f64, most as f64]) as u64 + more;
        let once = latency();
        let late = latency() + 20 * most;
        [Some(once), random.bernoulli(self.doubled).then_some(late)]
    }

    /// Checks all values, for a network of that many processes.
    ///
    /// # Errors
    /// The first value that is out of its range.
    pub fn check(&self, size: usize) -> Result<(), InvalidLinks> {
        let fraction = |x: f64| (0.0..=1.0).contains(&x);
        let exists = |p: &usize| *p < size;
        let poor = self.poor.iter().flat_map(|p| p.from.iter().chain(&p.to));
        let more = self.poor.iter().map(|p| p.more_us).fold(self.slow_us, u64::saturating_add);
        let longest = self.way_us[1].saturating_add(more);
        let tests = [
            (self.groups.is_empty() || self.groups.len() == size, "a group for each proxy"),
            (self.one_way.iter().all(|(a, b)| exists(a) && exists(b)), "indexes of existing proxies"),
            (self.unheard.iter().chain(&self.slow).chain(poor).all(exists), "indexes of existing proxies"),
            (
                fraction(self.loss) && fraction(self.doubled) && self.poor.iter().all(|p| fraction(p.loss)),
                "fractions from 0 to 1",
            ),
            (self.way_us[0] <= self.way_us[1] && longest <= MAX_DELAY_US, "a latency range of at most 10 s"),
        ];
        tests.into_iter().find(|t| !t.0).map_or(Ok(()), |t| Err(InvalidLinks { expected: t.1 }))
    }
}

struct RelayState {
    links: Links,
    random: RandomStream,
    in_flight: usize,
    dropped: u64,
    /// Number of datagrams and bytes that each process sent, by index.
    sent: Vec<(u64, u64)>,
    longest: usize,
    retained: Vec<VecDeque<(usize, Vec<u8>)>>,
    /// Injected datagrams: sender, receiver and content.
    inject: VecDeque<(usize, usize, Vec<u8>)>,
}

/// A datagram relay between proxies.
pub struct DatagramRelay {
    addresses: Vec<SocketAddr>,
    state: Arc<Mutex<RelayState>>,
    /// Notifies the thread of injected datagrams; the thread ends when it is dropped.
    injections: Option<watch::Sender<u64>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Locks a mutex, also after a thread panicked while holding it.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DatagramRelay {
    /// Starts a relay for proxies at these addresses, with its own sockets on `host`.
    ///
    /// # Errors
    /// A socket cannot be bound.
    pub fn start(listens: &[SocketAddr], host: IpAddr, seed: u64) -> io::Result<DatagramRelay> {
        let sockets: Vec<std::net::UdpSocket> =
            listens.iter().map(|_| std::net::UdpSocket::bind((host, 0))).collect::<io::Result<_>>()?;
        let addresses =
            sockets.iter().map(std::net::UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        sockets.iter().try_for_each(|s| s.set_nonblocking(true))?;
        let count = listens.len();
        let state = RelayState {
            links: Links::default(),
            random: RandomStream::new(seed, "datagrams"),
            in_flight: 0,
            dropped: 0,
            sent: vec![(0, 0); count],
            longest: 0,
            retained: vec![VecDeque::new(); count],
            inject: VecDeque::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let (notifier, notified) = watch::channel(0);
        let (shared, listens) = (state.clone(), listens.to_vec());
        let thread = std::thread::spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            tokio::task::LocalSet::new()
                .block_on(&runtime, forward_datagrams(sockets, listens, shared, notified));
        });
        Ok(DatagramRelay { addresses, state, injections: Some(notifier), thread: Some(thread) })
    }

    /// The address of the relay for each proxy.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Changes the links; datagrams in flight still arrive.
    pub fn set(&self, links: Links) {
        lock(&self.state).links = links;
    }

    /// Datagrams and bytes that each proxy sent so far.
    pub fn sent(&self) -> Vec<(u64, u64)> {
        lock(&self.state).sent.clone()
    }

    /// Length of the longest datagram so far, in bytes.
    pub fn longest(&self) -> usize {
        lock(&self.state).longest
    }

    /// Number of datagrams that were dropped because [`MAX_IN_FLIGHT`] were in flight.
    pub fn dropped(&self) -> u64 {
        lock(&self.state).dropped
    }

    /// The most recent datagrams of a proxy, with their receivers.
    pub fn retained(&self, index: usize) -> Vec<(usize, Vec<u8>)> {
        lock(&self.state).retained[index].iter().cloned().collect()
    }

    /// Sends a datagram to a proxy with the address of another as its source.
    pub fn inject(&self, from: usize, to: usize, bytes: Vec<u8>) {
        lock(&self.state).inject.push_back((from, to, bytes));
        if let Some(notifier) = &self.injections {
            notifier.send_modify(|n| *n += 1);
        }
    }
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.injections = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn forward_datagrams(
    sockets: Vec<std::net::UdpSocket>, listens: Vec<SocketAddr>, state: Arc<Mutex<RelayState>>,
    mut notified: watch::Receiver<u64>,
) {
    let Ok(sockets) = sockets.into_iter().map(UdpSocket::from_std).collect::<io::Result<Vec<_>>>() else {
        return;
    };
    let sockets = Rc::new(sockets);
    let indexes: Rc<HashMap<SocketAddr, usize>> = Rc::new(listens.iter().copied().zip(0..).collect());
    let listens = Rc::new(listens);
    for to in 0..sockets.len() {
        let (sockets, listens, indexes, state) =
            (sockets.clone(), listens.clone(), indexes.clone(), state.clone());
        tokio::task::spawn_local(async move {
            let mut buffer = [0; 2048];
            loop {
                let Ok((n, from)) = sockets[to].recv_from(&mut buffer).await else {
                    tokio::task::yield_now().await; // receive error after a killed proxy refused a datagram
                    continue;
                };
                let Some(from) = indexes.get(&from).copied() else { continue };
                let latencies = schedule(&state, from, to, &buffer[..n]);
                for latency in latencies.into_iter().flatten() {
                    let (sockets, listens, state) = (sockets.clone(), listens.clone(), state.clone());
                    let bytes = buffer[..n].to_vec();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(Duration::from_micros(latency)).await;
                        lock(&state).in_flight -= 1;
                        let _ = sockets[from].send_to(&bytes, listens[to]).await;
                    });
                }
            }
        });
    }
    while notified.changed().await.is_ok() {
        let injected = std::mem::take(&mut lock(&state).inject);
        for (from, to, bytes) in injected {
            let _ = sockets[from].send_to(&bytes, listens[to]).await;
        }
    }
}

/// Counts and retains a datagram and draws its latencies.
fn schedule(state: &Mutex<RelayState>, from: usize, to: usize, bytes: &[u8]) -> [Option<u64>; 2] {
    let mut state = lock(state);
    let state = &mut *state;
    state.sent[from].0 += 1;
    state.sent[from].1 += bytes.len() as u64;
    state.longest = state.longest.max(bytes.len());
    let recent = &mut state.retained[from];
    if recent.len() == RETAINED {
        recent.pop_front();
    }
    recent.push_back((to, bytes.to_vec()));
    let mut latencies = state.links.draw(&mut state.random, from, to);
    for latency in &mut latencies {
        if latency.is_some() && state.in_flight >= MAX_IN_FLIGHT {
            *latency = None;
            state.dropped += 1;
        }
        state.in_flight += usize::from(latency.is_some());
    }
    latencies
}

#[cfg(test)]
mod tests;
