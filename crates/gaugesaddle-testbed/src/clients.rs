//! Stand-in clients: they ask when the plan says so, whatever became of the answers before, over connections that
//! they keep, and again after a failure where that is harmless.

use crate::dice::mix;
use crate::http::{Message, Reader};
use crate::plan::{may_retry, retry_id, Ask};
use crate::record::{Event, Journal};
use crate::scenario::{Class, Effect, Scenario};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A client goes on listening so much longer than it would wait, to tell a late answer from none.
const LISTENING: Duration = Duration::from_millis(700);
/// A connect that takes longer has failed.
const CONNECT: Duration = Duration::from_millis(1000);
/// The front takes a proxy that could not be reached out for so long.
const OUT: Duration = Duration::from_millis(500);
/// Pieces of a request that is written slowly, and the pause between two.
const PIECES: usize = 4;
const PIECE_PAUSE: Duration = Duration::from_millis(15);
/// A slow reader lets its answer lie for so long.
const SLOW_READ: Duration = Duration::from_millis(120);
/// The longest `Retry-After` that clients follow.
const LONGEST_ADVICE_MS: u64 = 10_000;

/// What clients see of a proxy.
struct Door {
    address: SocketAddr,
    hall: usize,
    /// With the request that each has carried last.
    idle: Vec<(u64, Reader<TcpStream>)>,
    open: usize,
    out_until: Option<Instant>,
}

/// Tells the nodes of a request's facts before it is sent.
type Tell = Box<dyn Fn(u64, &Ask)>;

/// All clients.
pub struct Clients {
    journal: Journal,
    classes: Vec<Class>,
    tell: Tell,
    doors: RefCell<Vec<Door>>,
    /// Clients stay in their own region.
    regions: usize,
    most: usize,
    marks: bool,
    /// See [`crate::scenario::Clients::uneven`].
    uneven: Vec<f64>,
    moves_every_us: u64,
    kept: RefCell<Vec<(usize, Reader<TcpStream>)>>,
}

/// How a try ended.
struct Ended {
    status: u16,
    reached: bool,
    advice_ms: Option<u64>,
    left: bool,
}

impl Clients {
    pub fn new(s: &Scenario, journal: Journal, addresses: &[SocketAddr], tell: Tell) -> Rc<Clients> {
        let door = |(i, address): (usize, &SocketAddr)| Door {
            address: *address,
            hall: i % s.halls,
            idle: Vec::new(),
            open: 0,
            out_until: None,
        };
        Rc::new(Clients {
            journal,
            classes: s.classes.clone(),
            tell,
            doors: RefCell::new(addresses.iter().enumerate().map(door).collect()),
            regions: s.regions.count,
            most: s.clients.connections,
            marks: s.clients.mark_retries,
            uneven: s.clients.uneven.clone(),
            moves_every_us: (s.clients.moves_every_s * 1e6) as u64,
            kept: RefCell::default(),
        })
    }

    /// One request with all its tries.
    pub async fn ask(self: Rc<Self>, ask: Ask) {
        let effect = self.classes[ask.class].effect;
        let mut number = 0;
        loop {
            let id = if number == 0 { ask.id } else { retry_id(ask.id, number) };
            (self.tell)(id, &ask);
            let ended = self.try_once(&ask, id, number).await;
            if ended.left || number >= ask.retries || !may_retry(effect, ended.status, ended.reached) {
                return;
            }
            let advised = ended.advice_ms.filter(|_| ask.honours).map(|ms| ms.min(LONGEST_ADVICE_MS) * 1000);
            let doubled = if ask.crowd.is_some() { 0 } else { number.min(8) };
            let wait = advised.unwrap_or(ask.backoff_us << doubled);
            number += 1;
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }

    /// The proxies in the order in which this try goes to them: those of its hall first, dealt out.
    fn order(&self, ask: &Ask, number: u32) -> Vec<usize> {
        let now = Instant::now();
        let doors = self.doors.borrow();
        let own = |i: &usize| doors[*i].hall % self.regions == ask.hall % self.regions;
        let mut order: Vec<usize> = (0..doors.len()).filter(own).collect();
        let deal = |i: usize| mix(ask.id, (u64::from(number) << 32) + i as u64);
        let out = |i: usize| doors[i].out_until.is_some_and(|until| until > now);
        if self.uneven.is_empty() {
            order.sort_by_key(|i| (out(*i), doors[*i].hall != ask.hall, deal(*i)));
            return order;
        }
        let moved = ask.at_us.checked_div(self.moves_every_us).unwrap_or(0) as usize;
        let part = |i: usize| self.uneven[(i + moved) % self.uneven.len()];
        // Of exponential draws with these rates each is the least as often as its part says.
        let draw = |i: usize| -(1.0 - (deal(i) >> 11) as f64 / (1u64 << 53) as f64).ln() / part(i);
        order.sort_by(|a, b| out(*a).cmp(&out(*b)).then(draw(*a).total_cmp(&draw(*b))));
        order
    }

    async fn try_once(&self, ask: &Ask, id: u64, number: u32) -> Ended {
        for proxy in self.order(ask, number) {
            // A kept connection that was closed meanwhile is no try: it goes on with a new one.
            for _ in 0..2 {
                let Some((reader, fresh)) = self.connection(proxy, ask.crowd).await else { break };
                if let Some(ended) = self.exchange(proxy, reader, fresh, ask, id, number).await {
                    return ended;
                }
            }
        }
        self.journal.put(Event::Unreachable { id, first: ask.id, class: ask.class });
        Ended { status: 0, reached: false, advice_ms: None, left: false }
    }

    /// A kept connection that is still open, or a new one.
    async fn connection(&self, proxy: usize, crowd: Option<u32>) -> Option<(Reader<TcpStream>, bool)> {
        if let Some(number) = crowd {
            let address = self.doors.borrow().get(proxy)?.address;
            let stream = tokio::time::timeout(CONNECT, connect_from(number, address)).await;
            return Some((Reader::new(stream.ok()?.ok()?), true));
        }
        let address = {
            let mut doors = self.doors.borrow_mut();
            let door = &mut doors[proxy];
            while let Some((id, kept)) = door.idle.pop() {
                match kept.get_ref().try_read(&mut [0; 64]) {
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Some((kept, false)),
                    Ok(1..) => {
                        self.journal.put(Event::Surplus { id });
                    }
                    _ => {}
                }
                door.open -= 1;
            }
            if door.open >= self.most {
                return None;
            }
            door.open += 1;
            door.address
        };
        match tokio::time::timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                Some((Reader::new(stream), true))
            }
            _ => {
                let door = &mut self.doors.borrow_mut()[proxy];
                door.open -= 1;
                door.out_until = Some(Instant::now() + OUT);
                None
            }
        }
    }

    fn close(&self, proxy: usize, ask: &Ask) {
        if ask.crowd.is_some() {
            return; // a crowd's connections are its own
        }
        self.doors.borrow_mut()[proxy].open -= 1;
    }

    /// One request on one connection; `None`: the connection had been closed before the proxy read it.
    async fn exchange(
        &self, proxy: usize, mut reader: Reader<TcpStream>, fresh: bool, ask: &Ask, id: u64, number: u32,
    ) -> Option<Ended> {
        let text = self.text(ask, id, number);
        let pieces = if ask.slow_writing { PIECES } else { 1 };
        let mut written = true;
        for (i, piece) in text.as_bytes().chunks(text.len().div_ceil(pieces)).enumerate() {
            if i > 0 {
                tokio::time::sleep(PIECE_PAUSE).await;
            }
            written &= reader.get_mut().write_all(piece).await.is_ok();
        }
        if !written {
            // The proxy never had its last byte.
            self.close(proxy, ask);
            if !fresh {
                return None;
            }
            self.journal.put(Event::Unreachable { id, first: ask.id, class: ask.class });
            return Some(Ended { status: 0, reached: false, advice_ms: None, left: false });
        }
        let (class, key, patience_us) = (ask.class, ask.key, ask.patience_us);
        self.journal.put(Event::Asked { proxy, id, first: ask.id, class, key, patience_us, fresh });
        let sent = Instant::now();
        if ask.slow_reading {
            tokio::time::sleep(SLOW_READ).await;
        }
        let leaves = ask.leaves_us.filter(|_| number == 0).map(Duration::from_micros);
        let end = sent + leaves.unwrap_or(Duration::from_micros(ask.patience_us) + LISTENING);
        let before = reader.unread();
        let answer = tokio::time::timeout_at(end, reader.message()).await;
        let reached = |status, advice_ms| Ended { status, reached: true, advice_ms, left: false };
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => {
                self.close(proxy, ask);
                let bytes = reader.unread() - before.min(reader.unread());
                self.journal.put(Event::Broken { id, bytes });
                // Between two requests a proxy may close. Whether this one was read before it closed, or died with
                // what it had sent on, a client can't tell: only what is harmless goes out once more (RFC 9110, 9.2.2).
                let again = bytes == 0 && !fresh && self.classes[class].effect == Effect::Safe;
                return if again { None } else { Some(reached(0, None)) };
            }
            Err(_) => {
                self.close(proxy, ask);
                self.journal.put(if leaves.is_some() {
                    Event::Left { id }
                } else {
                    Event::Unanswered { id }
                });
                return Some(Ended { left: leaves.is_some(), ..reached(0, None) });
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
            self.close(proxy, ask);
        } else if answer.wants_close() || ask.crowd.is_some() {
            self.close(proxy, ask);
        } else if ask.once && number == 0 {
            // Kept for good; it counts among those that clients may open.
            self.kept.borrow_mut().push((proxy, reader));
        } else {
            self.doors.borrow_mut()[proxy].idle.push((id, reader));
        }
        Some(reached(status, retry_after_ms))
    }

    /// Lets go of connections that are kept for good and that the proxy has closed.
    pub fn let_go(&self) {
        let mut kept = self.kept.borrow_mut();
        let mut doors = self.doors.borrow_mut();
        kept.retain(|(proxy, reader)| {
            let open = matches!(reader.get_ref().try_read(&mut [0; 64]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if !open {
                doors[*proxy].open -= 1;
            }
            open
        });
    }

    fn text(&self, ask: &Ask, id: u64, number: u32) -> String {
        let class = &self.classes[ask.class];
        let (method, key, body) = match class.effect {
            Effect::Safe => ("GET", String::new(), ""),
            Effect::Keyed => ("POST", format!("Idempotency-Key: {:016x}\r\n", ask.key), "one vote"),
            Effect::Unsafe => ("POST", String::new(), "one sum"),
        };
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let repeat = if number > 0 && self.marks { "X-Repeat: 1\r\n" } else { "" };
        format!(
            "{method} /{name}/{id:x} HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id:016x}\r\n\
             X-Service-Class: {name}\r\nX-Time-Left-Ms: {left}\r\n{repeat}{key}{length}\r\n{body}",
            name = class.name,
            left = ask.patience_us / 1000,
        )
    }
}

/// A connection from an address that only this client of a crowd has.
async fn connect_from(number: u32, to: SocketAddr) -> std::io::Result<TcpStream> {
    let (high, low) = ((number / 250) as u8, 1 + (number % 250) as u8);
    let socket = tokio::net::TcpSocket::new_v4()?;
    // The system picks the port with the connect, by both ends: 28,000 to each proxy from each address.
    socket2::SockRef::from(&socket).set_reuse_address(true)?;
    socket.bind(SocketAddr::from(([127, 255, high, low], 0)))?;
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// The attempt that a body says it comes from, if it says that it is for this request.
fn attempt_of(answer: &Message, id: u64) -> Option<u64> {
    let body = std::str::from_utf8(&answer.body).ok()?;
    let (attempt, of) = body.strip_prefix("attempt=")?.split_once(" id=")?;
    (of == format!("{id:016x}")).then(|| attempt.parse().ok())?
}

#[cfg(test)]
mod tests;
