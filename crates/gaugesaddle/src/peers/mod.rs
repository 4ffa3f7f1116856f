//! The tier that this proxy belongs to, in the running proxy: the socket, the timer and the file beside the driver. Who
//! lives is `gaugesaddle_membership`' to say; here it is told what arrives and when, and its datagrams are sent.

pub mod settings;
mod watch;

use crate::clock::Clock;
use crate::registry::{PeerRow, PeersView, Totalled};
use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::{
    Authenticator, Boot, Counters, Membership, Output, PartitionStatus, Signals, TierConfig, Totals,
    MAX_DATAGRAM_BYTES,
};
use rand_core::{OsRng, TryRngCore};
use settings::PeersError;
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

pub use watch::PeerWatch;

/// Datagrams that are read before the next turn: more than a socket's buffer holds, so that a proxy that has slept
/// reads what came meanwhile before it judges anybody.
const READS: usize = 1024;
/// The system is asked for a buffer of so much: a tier of 300 that answers at once.
const BUFFER_BYTES: usize = 1 << 20;
/// While the process before this one holds the address, it is tried this often.
const BIND_AGAIN: Duration = Duration::from_millis(50);
/// Records older than this many of their publishing times are told as old.
const OLD: u64 = 8;

/// What the platform tells of the tier, where its settings allow words between proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Platform {
    /// `peer_listen`.
    pub listen: Option<SocketAddr>,
    /// `peers`.
    pub addresses: Vec<SocketAddr>,
    /// `peers_all`.
    pub all: Option<SocketAddr>,
}

/// What a proxy tells of itself.
pub struct Own {
    pub name: String,
    pub zone: String,
    /// Its number in the platform's settings.
    pub position: u32,
}

/// Who lives, in an order that all share, and how sure that is.
pub struct Living {
    /// Places of the told list.
    pub told: usize,
    /// So long this process has been awake.
    pub awake: Micros,
    /// So long nobody came to the living or went from them.
    pub still: Micros,
    /// Which of them this proxy is.
    pub own: usize,
    /// Their places in the told list.
    pub places: Vec<u16>,
}

/// What one that lives says of itself.
pub struct Said {
    /// Its place.
    pub place: u16,
    /// The zone that it stands in; empty before it has told.
    pub zone: String,
    /// How old it is.
    pub age: Micros,
    /// What.
    pub signals: Signals,
}

/// Who takes what other proxies' hosts have to say, and answers; the answers go to places.
pub trait Listener {
    fn noted(&self, now: Time, from: u16, body: &[u8], answers: &mut Vec<(u16, Vec<u8>)>);
}

/// One proxy's place in its tier.
pub struct Tier {
    clock: Clock,
    listen: SocketAddr,
    peers: RefCell<Membership>,
    publish: Micros,
    /// What is published next.
    record: RefCell<Vec<u8>>,
    /// Once the address is held.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Datagrams that the system did not take.
    unsent: Cell<u64>,
    classes: Vec<String>,
    /// Each takes those notes that are for it, by their form.
    listeners: RefCell<Vec<Rc<dyn Listener>>>,
}

fn key(key: &str, what: &str) -> PeersError {
    PeersError::Key { key: key.into(), what: what.into() }
}

impl Tier {
    /// Reads the key and checks what was told. `platform`: `None` where its settings refuse words between proxies.
    pub fn new(
        section: &settings::Peers, platform: Option<Platform>, own: Own, classes: &[String], clock: Clock,
    ) -> Result<Rc<Tier>, PeersError> {
        let by_file = !section.addresses.is_empty();
        let platform = platform.filter(|_| !by_file).unwrap_or_default();
        let (addresses, all) = if by_file {
            (section.addresses.clone(), section.all)
        } else {
            (platform.addresses, section.all.or(platform.all))
        };
        if addresses.is_empty() {
            return Err(key(
                "peers.addresses",
                "missing, and the platform tells none or its settings refuse words \
                                               between proxies: expected the address of each proxy",
            ));
        }
        let listen = section.listen.or(platform.listen);
        let listen = listen.ok_or_else(|| key("peers.listen", "missing, expected an address"))?;
        let place = if by_file {
            addresses.iter().position(|a| *a == section.own.unwrap_or(listen))
        } else {
            Some(own.position as usize)
        };
        let place = place.filter(|p| *p < addresses.len());
        let place =
            place.ok_or_else(|| key("peers.addresses", "expected a list with this proxy's own address"))?;
        let secret = section.secret()?;
        let auth = match &secret {
            Some(secret) => {
                Authenticator::from_secret(secret).map_err(|_| key("peers.key", "expected a longer key"))?
            }
            None => Authenticator::disabled(),
        };
        if !auth.is_keyed() && !listen.ip().is_loopback() {
            return Err(key(
                "peers.key",
                "missing, expected a key where peers.listen is no loopback address",
            ));
        }
        // As it is written here and there; a name that can't travel is none.
        let sound =
            |n: String| Some(n).filter(|n| n.bytes().all(|b| b.is_ascii_graphic())).unwrap_or_default();
        let cut = |n: String| n.chars().take(gaugesaddle_membership::MAX_NAME_BYTES).collect::<String>();
        let (name, zone) = (cut(sound(own.name)), cut(sound(own.zone)));
        let config = TierConfig { addresses, own_index: place as u16, broadcast_address: all, name, zone };
        let drawn = || {
            OsRng.try_next_u64().map_err(|e| key("peers.enabled", &format!("expected random numbers: {e}")))
        };
        let boot = Boot((drawn()? as u32).max(1));
        let settings = section.settings();
        let publish = settings.publish_interval;
        let peers = Membership::new(settings, auth, config, boot, drawn()?, clock.now());
        let peers = peers.map_err(|e| key("peers.addresses", &e.to_string()))?;
        let (record, socket, unsent) = (RefCell::default(), RefCell::default(), Cell::default());
        let (peers, classes, listeners) = (RefCell::new(peers), classes.to_vec(), RefCell::default());
        Ok(Rc::new(Tier { clock, listen, peers, publish, record, socket, unsent, classes, listeners }))
    }

    /// Takes the address.
    pub fn bind(&self) -> io::Result<UdpSocket> {
        let socket = Socket::new(Domain::for_address(self.listen), Type::DGRAM, None)?;
        socket.set_nonblocking(true)?;
        // What the system grants is enough; what it refuses is dropped when it overflows.
        let _ = socket.set_recv_buffer_size(BUFFER_BYTES);
        socket.bind(&self.listen.into())?;
        UdpSocket::from_std(socket.into())
    }

    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Speaks and listens for ever. Without a socket yet it waits for the process before this one to let go.
    pub async fn run(self: Rc<Tier>, socket: Option<UdpSocket>) {
        let socket = match socket {
            Some(socket) => socket,
            None => self.bound().await,
        };
        let socket = Rc::new(socket);
        *self.socket.borrow_mut() = Some(socket.clone());
        let (places, boot) = (
            self.peers.borrow().view(self.clock.now()).configured,
            self.peers.borrow().local_member().boot.0,
        );
        let place = self.peers.borrow().own_index();
        tracing::info!("peers: this is {place} of {places}, boot {boot:08x}, at {}", self.listen);
        let (mut out, mut publish) = (Vec::new(), self.clock.now());
        // A byte more than is allowed: what is longer shows as such.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let wake = self.peers.borrow().wake().min(publish);
            tokio::select! {
                ready = socket.readable() => if ready.is_err() {
                    return; // the runtime ends
                },
                () = tokio::time::sleep_until(self.clock.instant(wake)) => {}
            }
            self.step(&socket, &mut buffer, &mut publish, &mut out);
            // What is read without an end must not keep the runtime from everything else.
            tokio::task::yield_now().await;
        }
    }

    /// All that has come, then the turn: a process that has slept must not judge before it has listened.
    fn step(&self, socket: &UdpSocket, buffer: &mut [u8], publish: &mut Time, out: &mut Vec<Output>) {
        let mut peers = self.peers.borrow_mut();
        for _ in 0..READS {
            match socket.try_recv_from(buffer) {
                Ok((n, from)) => peers.datagram(self.clock.now(), from, &buffer[..n], out),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {} // somebody was not there: silence says so as well
            }
        }
        let now = self.clock.now();
        if now >= *publish {
            *publish = now + self.publish;
            let record = self.record.borrow();
            if !record.is_empty() {
                peers.publish(now, &record);
            }
        }
        peers.turn(now, out);
        drop(peers);
        self.carry_out(socket, out);
    }

    async fn bound(&self) -> UdpSocket {
        let mut told = false;
        loop {
            match self.bind() {
                Ok(socket) => return socket,
                Err(e) => {
                    if !std::mem::replace(&mut told, true) {
                        tracing::info!("peers: {} is not free yet: {e}", self.listen);
                    }
                    tokio::time::sleep(BIND_AGAIN).await;
                }
            }
        }
    }

    /// From now on this one takes notes, too.
    pub fn listen_to(&self, listener: Rc<dyn Listener>) {
        self.listeners.borrow_mut().push(listener);
    }

    /// This proxy's place.
    pub fn place(&self) -> u16 {
        self.peers.borrow().own_index()
    }

    /// What these say of themselves, as far as it has come.
    pub fn records(&self, now: Time, places: &[u16]) -> Vec<Said> {
        let peers = self.peers.borrow();
        let said = |place: &u16| {
            let record = peers.record(*place)?;
            let (place, zone) = (*place, peers.zone(*place).into());
            Some(Said { place, zone, age: record.age(now), signals: Signals::decode(&record.body)? })
        };
        places.iter().filter_map(said).collect()
    }

    /// This proxy's place, how many there are, and its process; `None` until the address is held: the process before this
    /// one may still have the place.
    pub fn held(&self) -> Option<(u16, u16, u32)> {
        self.socket.borrow().as_ref()?;
        let peers = self.peers.borrow();
        Some((peers.own_index(), peers.view(self.clock.now()).configured as u16, peers.local_member().boot.0))
    }

    /// Says these to other hosts, as far as they live; any may get lost.
    pub fn note(&self, notes: impl IntoIterator<Item = (u16, Vec<u8>)>) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let (now, mut out) = (self.clock.now(), Vec::new());
        let mut peers = self.peers.borrow_mut();
        for (place, body) in notes {
            peers.send_message(now, place, &body, &mut out);
        }
        drop(peers);
        self.carry_out(&socket, &mut out);
    }

    fn noted(&self, from: u16, body: &[u8]) {
        let listeners = self.listeners.borrow().clone();
        let mut answers = Vec::new();
        listeners.iter().for_each(|l| l.noted(self.clock.now(), from, body, &mut answers));
        if !answers.is_empty() {
            self.note(answers);
        }
    }

    fn carry_out(&self, socket: &UdpSocket, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::MessageReceived { from, body } => self.noted(from, &body),
                Output::Send { to, bytes } => {
                    if socket.try_send_to(&bytes, to).is_err() {
                        self.unsent.set(self.unsent.get() + 1); // as good as lost on its way
                    }
                }
                Output::StateChanged(transition) => tracing::info!("peers: {transition}"),
                Output::IndexConflict { index } => {
                    tracing::warn!("peers: two processes claim place {index}");
                }
                Output::NameConflict { indices } => {
                    tracing::warn!("peers: {} and {} have one name", indices.0, indices.1);
                }
                Output::Stalled { duration } => {
                    tracing::warn!("peers: this process slept for {:.1} s", duration.secs());
                }
            }
        }
    }

    /// The last word to all others; not where a successor has the place.
    pub fn leave(&self) {
        let mut out = Vec::new();
        self.peers.borrow_mut().leave(&mut out);
        if let Some(socket) = &*self.socket.borrow() {
            self.carry_out(socket, &mut out);
        }
    }

    /// The next record.
    fn publish(&self, body: Vec<u8>) {
        *self.record.borrow_mut() = body;
    }

    /// What is published so often, at most.
    fn every(&self) -> Micros {
        self.publish
    }

    /// Who lives, in the order of places.
    pub fn living(&self, now: Time) -> Living {
        let peers = self.peers.borrow();
        let (places, view) = (peers.live_members(), peers.view(now));
        let own = places.iter().position(|p| *p == peers.own_index()).unwrap_or(0);
        // Who has not the address yet hears nobody, and would take itself for the only one.
        let awake = if self.socket.borrow().is_some() { view.since_stall } else { Micros(0) };
        Living { told: view.configured, awake, still: view.since_change, own, places }
    }

    /// What comes to each of these, in requests a second; `None`: not told yet.
    pub fn needs(&self, places: &[u16]) -> Vec<Option<f64>> {
        let peers = self.peers.borrow();
        places.iter().map(|p| Signals::decode(&peers.record(*p)?.body)?.demand_per_s).collect()
    }

    /// What can be read of the tier.
    pub fn view(&self, now: Time) -> PeersView {
        let peers = self.peers.borrow();
        let view = peers.view(now);
        let stale = Micros(self.publish.0 * OLD);
        let totals = Totals::sum(now, stale, peers.live_members().into_iter().map(|p| peers.record(p)));
        let c: Counters = peers.counters();
        let row = |p: gaugesaddle_membership::MemberView| PeerRow {
            place: p.index,
            address: p.address.to_string(),
            name: p.name,
            zone: p.zone,
            own: p.index == peers.own_index(),
            state: p.state.name().into(),
            since_us: p.state_since.0,
            boot: p.boot.map(|b| format!("{:08x}", b.0)),
            incarnation: p.incarnation,
            heard_us: p.since_received.map(|a| a.0),
            record_age_us: p.record_age.map(|a| a.0),
            contested: p.in_conflict,
        };
        PeersView {
            place: peers.own_index(),
            boot: format!("{:08x}", peers.local_member().boot.0),
            told: view.configured,
            living: view.live,
            suspect: view.suspect,
            dead: view.dead,
            left: view.departed,
            unseen: view.unknown,
            shape: view.partition_status().name().into(),
            more_than_half: view.partition_status() == PartitionStatus::Majority,
            unchanged_us: view.since_change.0,
            answered_us: view.since_ack.0,
            awake_us: view.since_stall.0,
            health: view.health_multiplier,
            totals: Totalled {
                told: totals.reporting,
                older: totals.stale,
                older_than_us: stale.0,
                oldest_us: totals.oldest.0,
                arrivals_per_s: self
                    .classes
                    .iter()
                    .cloned()
                    .zip(totals.arrivals_per_s.iter().copied())
                    .collect(),
                held: totals.in_flight,
                given_up_per_s: totals.rejected_per_s,
            },
            sent: c.sent,
            sent_bytes: c.sent_bytes,
            unsent: self.unsent.get(),
            came: c.received,
            garbled: c.malformed,
            foreign: c.misaddressed,
            forged: c.unauthenticated,
            replayed: c.replayed,
            unproven: c.unverified,
            over: c.rate_limited,
            asked: c.probes,
            silent: c.failed_probes,
            refuted: c.refutations,
            stalls: c.stalls,
            peers: peers.members(now).into_iter().map(row).collect(),
        }
    }
}
