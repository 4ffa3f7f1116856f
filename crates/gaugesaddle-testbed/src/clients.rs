//! Stand-in clients. They send requests at the planned times, independently of the outcome of earlier ones, over
//! persistent connections, and retry after a failure if a retry is safe.

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

/// Time for which a client continues to read after its deadline, to distinguish a late response from a missing one.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(700);
/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for which a proxy that refused a connection, or timed out, is tried last.
const UNREACHABLE_FOR: Duration = Duration::from_millis(500);
/// Chunks of a request that is written slowly, and the interval between them.
const WRITE_CHUNKS: usize = 4;
const WRITE_INTERVAL: Duration = Duration::from_millis(15);
/// Time before a slow reader begins to read the response.
const SLOW_READ_DELAY: Duration = Duration::from_millis(120);
/// Upper limit of the delay by `Retry-After`.
const MAX_RETRY_DELAY_MS: u64 = 10_000;

/// The state of a proxy at its clients.
struct ProxyEndpoint {
    address: SocketAddr,
    zone: usize,
    /// Idle connections, each with the id of the last request on it.
    idle: Vec<(u64, Reader<TcpStream>)>,
    open: usize,
    unreachable_until: Option<Instant>,
}

/// Registers the properties of an attempt with the nodes, before it is sent.
type RegisterFacts = Box<dyn Fn(u64, &PlannedRequest)>;

/// All clients.
pub struct Clients {
    journal: Journal,
    classes: Vec<Class>,
    register: RegisterFacts,
    endpoints: RefCell<Vec<ProxyEndpoint>>,
    /// Number of regions; clients use only proxies of their own region.
    regions: usize,
    max_connections: usize,
    label_retries: bool,
    /// See [`crate::scenario::Clients::uneven`].
    uneven: Vec<f64>,
    moves_every_us: u64,
    single_use: RefCell<Vec<(usize, Reader<TcpStream>)>>,
}

/// The outcome of an attempt.
struct AttemptEnd {
    status: u16,
    reached: bool,
    requested_delay_ms: Option<u64>,
    disconnected: bool,
}

impl Clients {
    pub fn new(
        s: &Scenario, journal: Journal, addresses: &[SocketAddr], register_facts: RegisterFacts,
    ) -> Rc<Clients> {
        let endpoint = |(i, address): (usize, &SocketAddr)| ProxyEndpoint {
            address: *address,
            zone: i % s.zones,
            idle: Vec::new(),
            open: 0,
            unreachable_until: None,
        };
        Rc::new(Clients {
            journal,
            classes: s.classes.clone(),
            register: register_facts,
            endpoints: RefCell::new(addresses.iter().enumerate().map(endpoint).collect()),
            regions: s.regions.count,
            max_connections: s.clients.connections,
            label_retries: s.clients.label_retries,
            uneven: s.clients.uneven.clone(),
            moves_every_us: (s.clients.moves_every_s * 1e6) as u64,
            single_use: RefCell::default(),
        })
    }

    /// Sends a request, with all its retries.
    pub async fn send(self: Rc<Self>, request: PlannedRequest) {
        let effect = self.classes[request.class].effect;
        let mut number = 0;
        loop {
            let id = if number == 0 { request.id } else { retry_id(request.id, number) };
            (self.register)(id, &request);
            let ended = self.send_attempt(&request, id, number).await;
            if ended.disconnected
                || number >= request.retries
                || !may_retry(effect, ended.status, ended.reached)
            {
                return;
            }
            let requested_delay_us = ended
                .requested_delay_ms
                .filter(|_| request.follows_retry_after)
                .map(|ms| ms.min(MAX_RETRY_DELAY_MS) * 1000);
            let doubled = if request.storm_client.is_some() { 0 } else { number.min(8) };
            let wait = requested_delay_us.unwrap_or(request.backoff_us << doubled);
            number += 1;
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }

    /// The order in which an attempt tries the proxies: those of its zone first, each group in random order. With
    /// uneven weights, the order depends on the weights alone. Unreachable proxies come last.
    fn proxy_order(&self, request: &PlannedRequest, number: u32) -> Vec<usize> {
        let now = Instant::now();
        let endpoints = self.endpoints.borrow();
        let own = |i: &usize| endpoints[*i].zone % self.regions == request.zone % self.regions;
        let mut order: Vec<usize> = (0..endpoints.len()).filter(own).collect();
        let draw_for = |i: usize| mix(request.id, (u64::from(number) << 32) + i as u64);
        let is_unreachable = |i: usize| endpoints[i].unreachable_until.is_some_and(|until| until > now);
        if self.uneven.is_empty() {
            order.sort_by_key(|i| (is_unreachable(*i), endpoints[*i].zone != request.zone, draw_for(*i)));
            return order;
        }
        let moved = request.at_us.checked_div(self.moves_every_us).unwrap_or(0) as usize;
        let weight = |i: usize| self.uneven[(i + moved) % self.uneven.len()];
        // Of exponential draws with the weights as rates, each is the least with a probability proportional to its
        // weight.
        let draw = |i: usize| -(1.0 - (draw_for(i) >> 11) as f64 / (1u64 << 53) as f64).ln() / weight(i);
        order.sort_by(|a, b| is_unreachable(*a).cmp(&is_unreachable(*b)).then(draw(*a).total_cmp(&draw(*b))));
        order
    }

    async fn send_attempt(&self, request: &PlannedRequest, id: u64, number: u32) -> AttemptEnd {
        for proxy in self.proxy_order(request, number) {
            // A write to an idle connection that was closed in the meantime does not count as an attempt; a new
            // connection follows.
            for _ in 0..2 {
                let Some((reader, fresh)) = self.connection(proxy, request.storm_client).await else { break };
                if let Some(ended) = self.exchange(proxy, reader, fresh, request, id, number).await {
                    return ended;
                }
            }
        }
        self.journal.put(Event::Unreachable { id, first: request.id, class: request.class });
        AttemptEnd { status: 0, reached: false, requested_delay_ms: None, disconnected: false }
    }

    /// An idle connection that is still open, or a new one.
    async fn connection(&self, proxy: usize, storm_client: Option<u32>) -> Option<(Reader<TcpStream>, bool)> {
        if let Some(number) = storm_client {
            let address = self.endpoints.borrow().get(proxy)?.address;
            let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect_from(number, address)).await;
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
        match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Some((Reader::new(stream), true))
            }
            _ => {
                let endpoint = &mut self.endpoints.borrow_mut()[proxy];
                endpoint.open -= 1;
                endpoint.unreachable_until = Some(Instant::now() + UNREACHABLE_FOR);
                None
            }
        }
    }

    fn close(&self, proxy: usize, request: &PlannedRequest) {
        if request.storm_client.is_some() {
            return; // connections of a storm do not count against the limit
        }
        self.endpoints.borrow_mut()[proxy].open -= 1;
    }

    /// Sends one attempt on one connection. `None` if an idle connection was closed and the request may be sent again.
    async fn exchange(
        &self, proxy: usize, mut reader: Reader<TcpStream>, fresh: bool, request: &PlannedRequest, id: u64,
        number: u32,
    ) -> Option<AttemptEnd> {
        let text = self.request_text(request, id, number);
        let chunk_count = if request.slow_writing { WRITE_CHUNKS } else { 1 };
        let mut written = true;
        for (i, chunk) in text.as_bytes().chunks(text.len().div_ceil(chunk_count)).enumerate() {
            if i > 0 {
                tokio::time::sleep(WRITE_INTERVAL).await;
            }
            written &= reader.get_mut().write_all(chunk).await.is_ok();
        }
        if !written {
            // The proxy did not receive the last byte of the request.
            self.close(proxy, request);
            if !fresh {
                return None;
            }
            self.journal.put(Event::Unreachable { id, first: request.id, class: request.class });
            return Some(AttemptEnd {
                status: 0,
                reached: false,
                requested_delay_ms: None,
                disconnected: false,
            });
        }
        let (class, key, patience_us) = (request.class, request.key, request.patience_us);
        self.journal.put(Event::RequestSent { proxy, id, first: request.id, class, key, patience_us, fresh });
        let sent = Instant::now();
        if request.slow_reading {
            tokio::time::sleep(SLOW_READ_DELAY).await;
        }
        let leaves = request.disconnects_after_us.filter(|_| number == 0).map(Duration::from_micros);
        let end = sent + leaves.unwrap_or(Duration::from_micros(request.patience_us) + LATE_RESPONSE_WAIT);
        let before = reader.unread();
        let answer = tokio::time::timeout_at(end, reader.message()).await;
        let reached = |status, requested_delay_ms| AttemptEnd {
            status,
            reached: true,
            requested_delay_ms,
            disconnected: false,
        };
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => {
                self.close(proxy, request);
                let bytes = reader.unread() - before.min(reader.unread());
                self.journal.put(Event::Broken { id, bytes });
                // A proxy may close an idle connection. The client cannot determine whether the proxy had read this
                // request, so that it sends only idempotent requests again (RFC 9110, 9.2.2).
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
            // The client keeps this connection open and unused; it counts against the limit on connections.
            self.single_use.borrow_mut().push((proxy, reader));
        } else {
            self.endpoints.borrow_mut()[proxy].idle.push((id, reader));
        }
        Some(reached(status, retry_after_ms))
    }

    /// Drops the single-use connections that the proxy has closed.
    pub fn release_closed(&self) {
        let mut connections = self.single_use.borrow_mut();
        let mut endpoints = self.endpoints.borrow_mut();
        connections.retain(|(proxy, reader)| {
            let open = matches!(reader.get_ref().try_read(&mut [0; 64]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if !open {
                endpoints[*proxy].open -= 1;
            }
            open
        });
    }

    fn request_text(&self, request: &PlannedRequest, id: u64, number: u32) -> String {
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
             X-Service-Class: {name}\r\nX-Time-Left-Ms: {time_left_ms}\r\n{repeat}{key}{length}\r\n{body}",
            name = class.name,
            time_left_ms = request.patience_us / 1000,
        )
    }
}

/// Connects from an address that is used only by this client of a storm.
async fn connect_from(number: u32, to: SocketAddr) -> std::io::Result<TcpStream> {
    let (high, low) = ((number / 250) as u8, 1 + (number % 250) as u8);
    let socket = tokio::net::TcpSocket::new_v4()?;
    // With this option the kernel chooses the port at the connect by both endpoints, which allows 28,000 connections
    // from each address to each proxy.
    socket2::SockRef::from(&socket).set_reuse_address(true)?;
    socket.bind(SocketAddr::from(([127, 255, high, low], 0)))?;
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// The number of the node's attempt in a response, if the response names this request.
fn attempt_of(answer: &Message, id: u64) -> Option<u64> {
    let body = std::str::from_utf8(&answer.body).ok()?;
    let (attempt, of) = body.strip_prefix("attempt=")?.split_once(" id=")?;
    (of == format!("{id:016x}")).then(|| attempt.parse().ok())?
}

#[cfg(test)]
mod tests;
