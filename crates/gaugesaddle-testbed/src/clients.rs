//! Stand-in clients. They send requests at the planned times, whatever became of earlier ones, over connections that
//! they keep, and retry after a failure where a retry is safe.

use crate::http::{Message, Reader};
use crate::plan::{may_retry, retry_id, PlannedRequest};
use crate::random::mix;
use crate::record::{Event, Journal};
use crate::scenario::{Class, Effect, Scenario};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time for which a client reads on after its deadline, to tell a late response from none.
const EXTRA_WAIT: Duration = Duration::from_millis(700);
/// Time-out of a connect.
const CONNECT: Duration = Duration::from_millis(1000);
/// How long a proxy that could not be reached is the last choice.
const UNREACHABLE_FOR: Duration = Duration::from_millis(500);
/// Chunks of a request that is written slowly, and the interval between them.
const WRITE_CHUNKS: usize = 4;
const WRITE_INTERVAL: Duration = Duration::from_millis(15);
/// Delay of a slow reader.
const SLOW_READ: Duration = Duration::from_millis(120);
/// Longest `Retry-After` that clients follow.
const LONGEST_ADVICE_MS: u64 = 10_000;

/// A proxy, as clients see it.
struct ProxyEndpoint {
    address: SocketAddr,
    zone: usize,
    /// Idle connections, with the last request on each.
    idle: Vec<(u64, Reader<TcpStream>)>,
    open: usize,
    out_until: Option<Instant>,
}

/// Registers the facts of an attempt with the nodes, before it is sent.
type RegisterFacts = Box<dyn Fn(u64, &PlannedRequest)>;

/// All clients.
pub struct Clients {
    journal: Journal,
    classes: Vec<Class>,
    register: RegisterFacts,
    endpoints: RefCell<Vec<ProxyEndpoint>>,
    /// Number of regions; clients stay in their own.
    regions: usize,
    max_connections: usize,
    label_retries: bool,
    /// See [`crate::scenario::Clients::uneven`].
    uneven: Vec<f64>,
    moves_every_us: u64,
    parked: RefCell<Vec<(usize, Reader<TcpStream>)>>,
}

/// How an attempt ended.
struct AttemptEnd {
    status: u16,
    reached: bool,
    advice_ms: Option<u64>,
    disconnected: bool,
}

impl Clients {
    pub fn new(s: &Scenario, journal: Journal, addresses: &[SocketAddr], tell: RegisterFacts) -> Rc<Clients> {
        let endpoint = |(i, address): (usize, &SocketAddr)| ProxyEndpoint {
            address: *address,
            zone: i % s.zones,
            idle: Vec::new(),
            open: 0,
            out_until: None,
        };
        Rc::new(Clients {
            journal,
            classes: s.classes.clone(),
            register: tell,
            endpoints: RefCell::new(addresses.iter().enumerate().map(endpoint).collect()),
            regions: s.regions.count,
            max_connections: s.clients.connections,
            label_retries: s.clients.label_retries,
            uneven: s.clients.uneven.clone(),
            moves_every_us: (s.clients.moves_every_s * 1e6) as u64,
            parked: RefCell::default(),
        })
    }

    /// Sends a request, with all its retries.
    pub async fn send(self: Rc<Self>, request: PlannedRequest) {
        let effect = self.classes[request.class].effect;
        let mut number = 0;
        loop {
            let id = if number == 0 { request.id } else { retry_id(request.id, number) };
            (self.register)(id, &request);
            let ended = self.try_once(&request, id, number).await;
            if ended.disconnected
                || number >= request.retries
                || !may_retry(effect, ended.status, ended.reached)
            {
                return;
            }
            let advised = ended
                .advice_ms
                .filter(|_| request.follows_retry_after)
                .map(|ms| ms.min(LONGEST_ADVICE_MS) * 1000);
            let doubled = if request.storm_client.is_some() { 0 } else { number.min(8) };
            let wait = advised.unwrap_or(request.backoff_us << doubled);
            number += 1;
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }

    /// The proxies in the order in which an attempt goes to them: those of its zone first, in a random order.
    fn order(&self, request: &PlannedRequest, number: u32) -> Vec<usize> {
        let now = Instant::now();
        let endpoints = self.endpoints.borrow();
        let own = |i: &usize| endpoints[*i].zone % self.regions == request.zone % self.regions;
        let mut order: Vec<usize> = (0..endpoints.len()).filter(own).collect();
        let draw_for = |i: usize| mix(request.id, (u64::from(number) << 32) + i as u64);
        let is_out = |i: usize| endpoints[i].out_until.is_some_and(|until| until > now);
        if self.uneven.is_empty() {
            order.sort_by_key(|i| (is_out(*i), endpoints[*i].zone != request.zone, draw_for(*i)));
            return order;
        }
        let moved = request.at_us.checked_div(self.moves_every_us).unwrap_or(0) as usize;
        let weight = |i: usize| self.uneven[(i + moved) % self.uneven.len()];
        // The least of exponential draws with these rates is each as often as its weight says.
        let draw = |i: usize| -(1.0 - (draw_for(i) >> 11) as f64 / (1u64 << 53) as f64).ln() / weight(i);
        order.sort_by(|a, b| is_out(*a).cmp(&is_out(*b)).then(draw(*a).total_cmp(&draw(*b))));
        order
    }

    async fn try_once(&self, request: &PlannedRequest, id: u64, number: u32) -> AttemptEnd {
        for proxy in self.order(request, number) {
            // An idle connection that was closed meanwhile is no attempt: a new one follows.
            for _ in 0..2 {
                let Some((reader, fresh)) = self.connection(proxy, request.storm_client).await else { break };
                if let Some(ended) = self.exchange(proxy, reader, fresh, request, id, number).await {
                    return ended;
                }
            }
        }
        self.journal.put(Event::Unreachable { id, first: request.id, class: request.class });
        AttemptEnd { status: 0, reached: false, advice_ms: None, disconnected: false }
    }

    /// An idle connection that is still open, or a new one.
    async fn connection(&self, proxy: usize, storm_client: Option<u32>) -> Option<(Reader<TcpStream>, bool)> {
        if let Some(number) = storm_client {
            let address = self.endpoints.borrow().get(proxy)?.address;
            let stream = tokio::time::timeout(CONNECT, connect_from(number, address)).await;
            return Some((Reader::new(stream.ok()?.ok()?), true));
        }
        let address = {
            let mut endpoints = self.endpoints.borrow_mut();
            let endpoint = &mut endpoints[proxy];
            while let Some((id, connection)) = endpoint.idle.pop() {
                match connection.get_ref().try_read(&mut [0; 64]) {
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Some((connection, false)),
                    Ok(1..) => {
                        self.journal.put(Event::Surplus { id });
                    }
                    _ => {}
                }
                endpoint.open -= 1;
            }
            if endpoint.open >= self.max_connections {
                return None;
            }
            endpoint.open += 1;
            endpoint.address
        };
        match tokio::time::timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Some((Reader::new(stream), true))
            }
            _ => {
                let endpoint = &mut self.endpoints.borrow_mut()[proxy];
                endpoint.open -= 1;
                endpoint.out_until = Some(Instant::now() + UNREACHABLE_FOR);
                None
            }
        }
    }

    fn close(&self, proxy: usize, request: &PlannedRequest) {
        if request.storm_client.is_some() {
            return; // a storm's connections are its own
        }
        self.endpoints.borrow_mut()[proxy].open -= 1;
    }

    /// One attempt on one connection; `None`: the connection had been closed before the proxy read it.
    async fn exchange(
        &self, proxy: usize, mut reader: Reader<TcpStream>, fresh: bool, request: &PlannedRequest, id: u64,
        number: u32,
    ) -> Option<AttemptEnd> {
        let text = self.text(request, id, number);
        let pieces = if request.slow_writing { WRITE_CHUNKS } else { 1 };
        let mut written = true;
        for (i, piece) in text.as_bytes().chunks(text.len().div_ceil(pieces)).enumerate() {
            if i > 0 {
                tokio::time::sleep(WRITE_INTERVAL).await;
            }
            written &= reader.get_mut().write_all(piece).await.is_ok();
        }
        if !written {
            // The proxy never had its last byte.
            self.close(proxy, request);
            if !fresh {
                return None;
            }
            self.journal.put(Event::Unreachable { id, first: request.id, class: request.class });
            return Some(AttemptEnd { status: 0, reached: false, advice_ms: None, disconnected: false });
        }
        let (class, key, patience_us) = (request.class, request.key, request.patience_us);
        self.journal.put(Event::RequestSent { proxy, id, first: request.id, class, key, patience_us, fresh });
        let sent = Instant::now();
        if request.slow_reading {
            tokio::time::sleep(SLOW_READ).await;
        }
        let leaves = request.disconnects_after_us.filter(|_| number == 0).map(Duration::from_micros);
        let end = sent + leaves.unwrap_or(Duration::from_micros(request.patience_us) + EXTRA_WAIT);
        let before = reader.unread();
        let answer = tokio::time::timeout_at(end, reader.message()).await;
        let reached =
            |status, advice_ms| AttemptEnd { status, reached: true, advice_ms, disconnected: false };
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => {
                self.close(proxy, request);
                let bytes = reader.unread() - before.min(reader.unread());
                self.journal.put(Event::Broken { id, bytes });
                // A proxy may close between two requests. A client cannot tell whether it had read this one: only what is
                // idempotent goes out once more (RFC 9110, 9.2.2).
                let again = bytes == 0 && !fresh && self.classes[class].effect == Effect::Safe;
                return if again { None } else { Some(reached(0, None)) };
            }
            Err(_) => {
                self.close(proxy, request);
                self.journal.put(if leaves.is_some() {
                    Event::ClientDisconnected { id }
                } else {
                    Event::Unanswered { id }
                });
                return Some(AttemptEnd { disconnected: leaves.is_some(), ..reached(0, None) });
            }
        };
        let status = answer.status().unwrap_or(0);
        let retry_after_ms = answer
            .header("retry-after")
            .and_then(|v| v.trim().parse::<f64>().ok())
            .map(|secs| (secs.max(0.0) * 1e3) as u64);
        let attempt = attempt_of(&answer, id);
        self.journal.put(Event::Answered { id, status, attempt, retry_after_ms });
        if reader.unread() > 0 {
            self.journal.put(Event::Surplus { id });
            self.close(proxy, request);
        } else if answer.wants_close() || request.storm_client.is_some() {
            self.close(proxy, request);
        } else if request.single_request && number == 0 {
            // Kept for good; it counts against the limit on connections.
            self.parked.borrow_mut().push((proxy, reader));
        } else {
            self.endpoints.borrow_mut()[proxy].idle.push((id, reader));
        }
        Some(reached(status, retry_after_ms))
    }

    /// Drops the connections kept for good that the proxy has closed.
    pub fn release_closed(&self) {
        let mut connection = self.parked.borrow_mut();
        let mut endpoints = self.endpoints.borrow_mut();
        connection.retain(|(proxy, reader)| {
            let open = matches!(reader.get_ref().try_read(&mut [0; 64]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if !open {
                endpoints[*proxy].open -= 1;
            }
            open
        });
    }

    fn text(&self, request: &PlannedRequest, id: u64, number: u32) -> String {
        let class = &self.classes[request.class];
        let (method, key, body) = match class.effect {
            Effect::Safe => ("GET", String::new(), ""),
            Effect::Keyed => ("POST", format!("Idempotency-Key: {:016x}\r\n", request.key), "one vote"),
            Effect::Unsafe => ("POST", String::new(), "one sum"),
        };
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let repeat = if number > 0 && self.label_retries { "X-Repeat: 1\r\n" } else { "" };
        format!(
            "{method} /{name}/{id:x} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
             X-Service-Class: {name}\r\nX-Time-Left-Ms: {disconnected}\r\n{repeat}{key}{length}\r\n{body}",
            name = class.name,
            disconnected = request.patience_us / 1000,
        )
    }
}

/// A connection from an address that only this client of a storm has.
async fn connect_from(number: u32, to: SocketAddr) -> std::io::Result<TcpStream> {
    let (high, low) = ((number / 250) as u8, 1 + (number % 250) as u8);
    let socket = tokio::net::TcpSocket::new_v4()?;
    // With this option the system chooses the port at the connect, by both ends: 28,000 to each proxy from each address.
    socket2::SockRef::from(&socket).set_reuse_address(true)?;
    socket.bind(SocketAddr::from(([127, 255, high, low], 0)))?;
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// The attempt that a response names, if it is for this request.
fn attempt_of(answer: &Message, id: u64) -> Option<u64> {
    let body = std::str::from_utf8(&answer.body).ok()?;
    let (attempt, of) = body.strip_prefix("attempt=")?.split_once(" id=")?;
    (of == format!("{id:016x}")).then(|| attempt.parse().ok())?
}

#[cfg(test)]
mod tests;
