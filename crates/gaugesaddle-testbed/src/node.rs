//! A stand-in node: an HTTP/1.1 server whose processing times follow the model in [`crate::processor`], and that
//! injects the faults of a scenario.

use crate::http::{Message, Reader};
use crate::processor::{work_between, Processor};
use crate::random::RandomStream;
use crate::record::{Boot, Event, Journal, Moment};
use crate::scenario::{Effect, Kind, Overload, Rules};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

/// Parameters of a planned request that are not transmitted; the node looks them up by the request id.
#[derive(Clone, Copy, Debug)]
pub struct RequestParameters {
    pub class: usize,
    pub key: u64,
    pub work_us: u64,
    pub wait_us: u64,
}

/// Idempotency keys that a zone deduplicates, with the time of their first arrival. Expired keys are removed when a
/// key arrives.
#[derive(Default)]
pub struct Deduplication {
    seen: HashMap<u64, Moment>,
    order: VecDeque<(Moment, u64)>,
}

impl Deduplication {
    /// Records a key; returns whether it arrives for the first time within the window.
    pub fn is_new(&mut self, now: Moment, key: u64, window_us: u64) -> bool {
        while let Some((at, old)) = self.order.front().copied().filter(|o| o.0 + window_us < now) {
            self.order.pop_front();
            if self.seen.get(&old) == Some(&at) {
                self.seen.remove(&old);
            }
        }
        if self.seen.contains_key(&key) {
            return false;
        }
        self.seen.insert(key, now);
        self.order.push_back((now, key));
        true
    }
}

/// State shared by all nodes of a run.
pub struct SharedState {
    pub journal: Journal,
    pub parameters: RefCell<HashMap<u64, RequestParameters>>,
    /// Received idempotency keys, by zone.
    pub seen_keys: RefCell<Vec<Deduplication>>,
    /// Effect and window of each class.
    pub classes: Vec<(Effect, u64)>,
    pub rules: Rules,
    /// Mean work of a request, for the tolerance of slow-start budgets.
    pub mean_work_us: f64,
    pub overload: Overload,
    pub next_attempt: Cell<u64>,
    pub random: RefCell<RandomStream>,
}

/// One process of a node.
pub struct Node {
    pub boot: Boot,
    pub name: String,
    pub zone: usize,
    pub kind: Kind,
    /// Its listening address for each proxy.
    pub addresses: Vec<SocketAddr>,
    pub started: Moment,
    shared: Rc<SharedState>,
    slow_start: bool,
    processor: RefCell<Processor>,
    running: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    wake: Notify,
    tasks: RefCell<Vec<AbortHandle>>,
    open: Cell<usize>,
    /// Work received within the last window during slow start, with its time of arrival.
    budget: RefCell<VecDeque<(Moment, f64)>>,
    pub frozen: Cell<bool>,
    stopping: Cell<bool>,
    /// Whether its connections are reset when they are dropped.
    crashed: Cell<bool>,
    pub failed: Cell<bool>,
    pub corrupt_fraction: Cell<f64>,
    pub reset_fraction: Cell<f64>,
}

/// How a node's process terminates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// Its connections are reset at once.
    Crash,
    /// It completes its requests in flight first.
    Leave,
}

/// Parameters of a node's process.
pub struct NodeParameters<'a> {
    pub boot: Boot,
    pub name: String,
    pub zone: usize,
    pub kind: &'a Kind,
    pub slow_start: bool,
    pub proxies: usize,
    pub bind: SocketAddr,
}

impl Node {
    pub async fn start(shared: &Rc<SharedState>, with: NodeParameters<'_>) -> io::Result<Rc<Node>> {
        let mut listeners = Vec::new();
        for _ in 0..with.proxies {
            listeners.push(TcpListener::bind(with.bind).await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let (boot, zone, kind, cold) = (with.boot, with.zone, with.kind, with.slow_start);
        let cold_from = if cold { kind.initial_capacity } else { 1.0 };
        let started = shared.journal.put(Event::NodeUp {
            boot,
            zone,
            speed: kind.speed * kind.cores as f64,
            initial_capacity: cold_from,
            slow_start_us: (kind.slow_start_s * 1e6) as u64,
        });
        let node = Rc::new(Node {
            boot,
            name: with.name,
            zone,
            kind: kind.clone(),
            addresses,
            started,
            shared: shared.clone(),
            slow_start: cold,
            processor: RefCell::new(Processor::new(kind, shared.overload, started, cold)),
            running: RefCell::default(),
            wake: Notify::new(),
            tasks: RefCell::default(),
            open: Cell::default(),
            budget: RefCell::default(),
            frozen: Cell::default(),
            stopping: Cell::default(),
            crashed: Cell::default(),
            failed: Cell::default(),
            corrupt_fraction: Cell::default(),
            reset_fraction: Cell::default(),
        });
        for (proxy, listener) in listeners.into_iter().enumerate() {
            let this = node.clone();
            node.track(tokio::task::spawn_local(this.accept(listener, proxy)).abort_handle());
        }
        node.track(tokio::task::spawn_local(node.clone().drive_processor()).abort_handle());
        Ok(node)
    }

    fn track(&self, task: AbortHandle) {
        let mut tasks = self.tasks.borrow_mut();
        if tasks.len() > 2 * (self.addresses.len() + 1 + self.open.get()) {
            tasks.retain(|t| !t.is_finished());
        }
        tasks.push(task);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.processor.borrow().in_flight()
    }

    /// Whether it is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.processor.borrow().overloaded
    }

    /// Slows processing down by a factor from now on; 1 is the normal speed.
    pub fn slow(&self, factor: f64) {
        self.advance();
        self.processor.borrow_mut().slow = factor.max(1e-3);
        self.wake.notify_one();
    }

    /// While true, the node accepts requests and completes none.
    pub fn hang(&self, hung: bool) {
        self.advance();
        self.processor.borrow_mut().hung = hung;
        self.wake.notify_one();
    }

    /// Terminates its process. [`Termination::Leave`] waits at most two seconds for the requests in flight.
    pub fn terminate(self: &Rc<Self>, how: Termination) {
        if self.stopping.replace(true) {
            return;
        }
        let this = self.clone();
        tokio::task::spawn_local(async move {
            if how == Termination::Leave {
                for _ in 0..200 {
                    if this.in_flight() == 0 && this.running.borrow().is_empty() {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
            this.kill(how == Termination::Crash);
            this.shared.journal.put(Event::NodeDown { boot: this.boot });
        });
    }

    fn kill(&self, reset: bool) {
        self.crashed.set(reset);
        self.tasks.borrow_mut().drain(..).for_each(|t| t.abort());
        self.running.borrow_mut().clear();
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, proxy: usize) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            if self.stopping.get() || self.open.get() >= self.kind.connections * self.kind.cores {
                continue; // dropping the stream closes the connection
            }
            let _ = stream.set_nodelay(true);
            self.open.set(self.open.get() + 1);
            let connection = Connection { node: self.clone(), reader: Reader::new(stream) };
            self.track(tokio::task::spawn_local(connection.serve(proxy)).abort_handle());
        }
    }

    /// Drives the processor and completes the requests whose work is done.
    async fn drive_processor(self: Rc<Self>) {
        loop {
            self.advance();
            let next = self.processor.borrow().next();
            match next {
                None => self.wake.notified().await,
                Some(at) => {
                    let at = tokio::time::Instant::from_std(self.shared.journal.instant(at));
                    tokio::select! {
                        () = tokio::time::sleep_until(at) => {}
                        () = self.wake.notified() => {}
                    }
                }
            }
        }
    }

    fn advance(&self) {
        let mut ended = Vec::new();
        self.processor.borrow_mut().run(self.shared.journal.now(), &mut ended);
        let mut running = self.running.borrow_mut();
        for id in ended {
            if let Some(done) = running.remove(&id) {
                let _ = done.send(());
            }
        }
    }

    /// Charges received work to the slow-start budget; a node that exceeds it fails and resets its connections.
    fn charge_slow_start_budget(self: &Rc<Self>, at: Moment, work_us: u64) {
        if !self.slow_start || self.failed.get() {
            return;
        }
        let (rules, kind) = (&self.shared.rules, &self.kind);
        let (window, ramp) = (rules.fall_ms * 1e3, kind.slow_start_s * 1e6);
        let age = (at - self.started) as f64;
        if age > ramp + window {
            return;
        }
        let mut budget = self.budget.borrow_mut();
        budget.push_back((at, work_us as f64));
        while budget.front().is_some_and(|b| (b.0 as f64) < at as f64 - window) {
            budget.pop_front();
        }
        let sent: f64 = budget.iter().map(|b| b.1).sum();
        let speed = kind.speed * kind.cores as f64;
        // A node has no capacity before its start, so the first window begins there and is granted in full.
        let capacity = work_between(
            speed,
            kind.initial_capacity,
            ramp,
            (age - window).max(0.0),
            (age - window).max(0.0) + window,
        );
        if sent > rules.fall_multiple * capacity + rules.fall_slack * self.shared.mean_work_us {
            drop(budget);
            self.failed.set(true);
            self.shared.journal.put(Event::NodeFell { boot: self.boot });
            let this = self.clone();
            tokio::task::spawn_local(async move { this.kill(true) });
        }
    }
}

/// A connection from a proxy.
struct Connection {
    node: Rc<Node>,
    reader: Reader<TcpStream>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.node.open.set(self.node.open.get() - 1);
        if self.node.crashed.get() {
            self.reset_at_end();
        }
    }
}

/// An attempt whose last byte was received.
struct ReceivedAttempt {
    attempt: u64,
    id: u64,
    request: RequestParameters,
    /// Whether it takes effect when it runs: false for a safe request, and for a keyed one whose key its zone has
    /// received within the window.
    takes_effect: bool,
}

impl Connection {
    fn reset_at_end(&self) {
        let _ = socket2::SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO));
    }

    async fn serve(mut self, proxy: usize) {
        loop {
            match self.reader.first_byte().await {
                Ok(true) => {}
                _ => return,
            }
            while self.node.frozen.get() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let shared = self.node.shared.clone();
            let attempt = shared.next_attempt.get();
            shared.next_attempt.set(attempt + 1);
            shared.journal.put(Event::Arriving { attempt, boot: self.node.boot, proxy });
            let reset = shared.random.borrow_mut().bernoulli(self.node.reset_fraction.get());
            if reset && shared.random.borrow_mut().bernoulli(0.5) {
                return self.reset_at_end(); // reset before the request is read
            }
            let Ok(message) = self.reader.message().await else { return };
            let Some(received) = self.receive(attempt, &message).await else { return };
            if reset {
                self.record_effect(&received);
                return self.reset_at_end(); // reset after the request has run
            }
            if !self.respond(received).await {
                return;
            }
        }
    }

    /// Identifies the request. `None`: an error response was sent and the connection must be closed.
    async fn receive(&mut self, attempt: u64, message: &Message) -> Option<ReceivedAttempt> {
        let shared = self.node.shared.clone();
        let text = message.header("x-correlation-id").unwrap_or("");
        let id = Some(text).filter(|t| t.len() == 16).and_then(|t| u64::from_str_radix(t, 16).ok());
        let request = id.and_then(|id| shared.parameters.borrow().get(&id).copied());
        let Some((id, request)) = id.zip(request) else {
            let path = message.path().to_string();
            shared.journal.put(Event::Unexpected {
                text: format!("node {}: no such request: {path} {text}", self.node.name),
            });
            let status = if text.is_empty() { "404 Not Found" } else { "400 Bad Request" };
            let _ = self
                .write(&format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
                .await;
            return None;
        };
        let at = shared.journal.put(Event::Received { attempt, id, work_us: request.work_us });
        self.node.charge_slow_start_budget(at, request.work_us);
        let (effect, window_us) = shared.classes[request.class];
        let takes_effect = match effect {
            Effect::Safe => false,
            Effect::Unsafe => true,
            Effect::Keyed => shared.seen_keys.borrow_mut()[self.node.zone].is_new(at, request.key, window_us),
        };
        Some(ReceivedAttempt { attempt, id, request, takes_effect })
    }

    async fn write(&mut self, text: &str) -> io::Result<()> {
        self.reader.get_mut().write_all(text.as_bytes()).await
    }

    /// Records the effect of a request that has run.
    fn record_effect(&self, received: &ReceivedAttempt) {
        if received.takes_effect {
            let (attempt, key) = (received.attempt, received.request.key);
            self.node.shared.journal.put(Event::Effect { attempt, key });
        }
    }

    /// Processes an attempt and responds to it; returns whether the connection can be reused.
    async fn respond(&mut self, received: ReceivedAttempt) -> bool {
        let (node, attempt) = (self.node.clone(), received.attempt);
        let journal = node.shared.journal.clone();
        node.advance();
        if !node.processor.borrow_mut().offer(journal.now(), attempt, received.request.work_us) {
            // Recorded before the response is written, since the proxy may act on it immediately.
            journal.put(Event::Rejected { attempt });
            return self
                .write("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
                .await
                .is_ok();
        }
        let (done, mut ended) = oneshot::channel();
        node.running.borrow_mut().insert(attempt, done);
        node.wake.notify_one();
        tokio::select! {
            ended = &mut ended => if ended.is_err() {
                return false;
            },
            _ = self.reader.first_byte() => {
                // The proxy closed the connection or sent unexpected bytes: a queued attempt is dropped, and a running
                // one completes.
                if node.processor.borrow_mut().drop_waiting(attempt) {
                    node.running.borrow_mut().remove(&attempt);
                } else if ended.await.is_ok() {
                    self.record_effect(&received);
                }
                return false;
            }
        }
        self.record_effect(&received);
        tokio::time::sleep(Duration::from_micros(received.request.wait_us)).await;
        let corrupted = node.shared.random.borrow_mut().bernoulli(node.corrupt_fraction.get());
        let body = format!("attempt={attempt} id={:016x}", received.id);
        let valid = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if !corrupted {
            journal.put(Event::Replied { attempt, status: 200 });
            return self.write(&valid).await.is_ok();
        }
        let corruption = node.shared.random.borrow_mut().below(6);
        let (text, status, reusable) = match corruption {
            0 => ("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n".to_string(), 500, true),
            1 => (format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len() + 9), 0, false),
            2 => ("\u{1}\u{2}noise without an end".repeat(3), 0, false),
            3 => (format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{body}"), 0, false),
            4 => (format!("{valid}{valid}"), 200, true),
            _ => (format!("HTTP/1.1 100 Continue\r\n\r\n{valid}"), 200, true),
        };
        journal.put(Event::Replied { attempt, status });
        self.write(&text).await.is_ok() && reusable
    }
}

#[cfg(test)]
mod tests;
