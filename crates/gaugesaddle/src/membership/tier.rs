//! This proxy's membership with its socket.

use super::error::PeersError;
use super::settings::PeersSection;
use super::{
    LiveMembers, LocalIdentity, LocalProxy, MemberReport, MessageHandler, OutgoingMessage, Platform,
};
use crate::clock::Clock;
use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::{
    Authenticator, Boot, Membership, Output, Signals, TierConfig, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES,
};
use rand_core::{OsRng, TryRngCore};
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Maximum number of datagrams that are read before a turn: more than the socket's receive buffer holds. A proxy that has
/// stalled thus reads everything that arrived meanwhile before it suspects any member.
const MAX_READS_PER_TURN: usize = 1024;
/// Requested size of the socket's receive buffer: enough for simultaneous replies from a tier of 300.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;
/// Delay between attempts to bind the address while the previous process still uses it.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// This proxy's membership with its socket.
pub struct Tier {
    pub(super) membership: RefCell<Membership>,
    pub(super) publish_interval: Micros,
    /// Number of datagrams that the system did not accept.
    pub(super) unsent: Cell<u64>,
    /// Names of the request classes, in the order of the settings.
    pub(super) classes: Vec<String>,
    clock: Clock,
    listen: SocketAddr,
    /// The record to publish next; empty before the first.
    next_record: RefCell<Vec<u8>>,
    /// `None` until the address is bound.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    handlers: RefCell<Vec<Rc<dyn MessageHandler>>>,
}

/// The members of the tier, from the operator's file or from the platform.
struct MemberList {
    addresses: Vec<SocketAddr>,
    own_index: usize,
    listen: SocketAddr,
    all: Option<SocketAddr>,
}

impl MemberList {
    /// Uses the list of the operator's file, if it has one; otherwise that of the platform.
    fn resolve(
        section: &PeersSection, platform: Option<Platform>, local: &LocalProxy,
    ) -> Result<MemberList, PeersError> {
        let is_in_file = !section.addresses.is_empty();
        let platform = platform.filter(|_| !is_in_file).unwrap_or_default();
        let addresses = if is_in_file { section.addresses.clone() } else { platform.addresses };
        if addresses.is_empty() {
            return Err(PeersError::NoAddresses);
        }
        let listen = section.listen.or(platform.listen).ok_or(PeersError::NoListenAddress)?;
        let own_index = if is_in_file {
            let own_address = section.own.unwrap_or(listen);
            addresses.iter().position(|address| *address == own_address)
        } else {
            Some(local.position as usize)
        };
        let own_index = own_index.filter(|index| *index < addresses.len()).ok_or(PeersError::NotListed)?;
        Ok(MemberList { addresses, own_index, listen, all: section.all.or(platform.all) })
    }
}

impl Tier {
    /// Reads the key and checks the configuration. `platform` is `None` if the platform does not allow messages between
    /// proxies.
    ///
    /// # Errors
    /// Returns an error if the configuration is incomplete or invalid, or if the key file cannot be used.
    pub fn new(
        section: &PeersSection, platform: Option<Platform>, local: LocalProxy, classes: &[String],
        clock: Clock,
    ) -> Result<Rc<Tier>, PeersError> {
        let list = MemberList::resolve(section, platform, &local)?;
        let auth = match section.secret()? {
            Some(secret) => Authenticator::from_secret(&secret).map_err(PeersError::KeyTooShort)?,
            None => Authenticator::disabled(),
        };
        if !auth.is_keyed() && !list.listen.ip().is_loopback() {
            return Err(PeersError::KeyRequired);
        }
        let config = TierConfig {
            addresses: list.addresses,
            own_index: list.own_index as u16,
            broadcast_address: list.all,
            name: sendable_name(local.name),
            zone: sendable_name(local.zone),
        };
        let random = || OsRng.try_next_u64().map_err(PeersError::Random);
        let boot = Boot((random()? as u32).max(1));
        let settings = section.settings();
        let publish_interval = settings.publish_interval;
        let membership = Membership::new(settings, auth, config, boot, random()?, clock.now());
        Ok(Rc::new(Tier {
            membership: RefCell::new(membership.map_err(PeersError::Tier)?),
            publish_interval,
            unsent: Cell::default(),
            classes: classes.to_vec(),
            clock,
            listen: list.listen,
            next_record: RefCell::default(),
            socket: RefCell::default(),
            handlers: RefCell::default(),
        }))
    }

    /// Binds the socket.
    ///
    /// # Errors
    /// Returns the system's error, as a rule because the previous process still uses the address.
    pub fn bind(&self) -> io::Result<UdpSocket> {
        let socket = Socket::new(Domain::for_address(self.listen), Type::DGRAM, None)?;
        socket.set_nonblocking(true)?;
        // A smaller buffer is acceptable: datagrams that overflow it are lost, and the protocol tolerates loss.
        let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        socket.bind(&self.listen.into())?;
        UdpSocket::from_std(socket.into())
    }

    /// The address of the socket.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Runs the membership until the runtime ends. Without a socket it first waits until the previous process has
    /// released the address.
    pub async fn run(self: Rc<Tier>, socket: Option<UdpSocket>) {
        let socket = match socket {
            Some(socket) => socket,
            None => self.bind_when_free().await,
        };
        let socket = Rc::new(socket);
        *self.socket.borrow_mut() = Some(socket.clone());
        self.log_identity();
        let mut outputs = Vec::new();
        let mut next_publish = self.clock.now();
        // One byte more than the maximum, so that longer datagrams are recognized.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let wake = self.membership.borrow().next_timer_at().min(next_publish);
            tokio::select! {
                ready = socket.readable() => if ready.is_err() {
                    return; // the runtime ends
                },
                () = tokio::time::sleep_until(self.clock.instant(wake)) => {}
            }
            self.step(&socket, &mut buffer, &mut next_publish, &mut outputs);
            // A continuous stream of datagrams must not block the other tasks of the runtime.
            tokio::task::yield_now().await;
        }
    }

    async fn bind_when_free(&self) -> UdpSocket {
        let mut is_logged = false;
        loop {
            match self.bind() {
                Ok(socket) => return socket,
                Err(e) => {
                    if !is_logged {
                        is_logged = true;
                        tracing::info!("peers: {} is not free yet: {e}", self.listen);
                    }
                    tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn log_identity(&self) {
        let LocalIdentity { index, members, boot } = self.identity();
        tracing::info!("peers: this is {index} of {members}, boot {boot:08x}, at {}", self.listen);
    }

    /// Reads all received datagrams, then runs the timers: a process that has stalled must not suspect any member before
    /// it has read the acknowledgements that arrived meanwhile.
    fn step(
        &self, socket: &UdpSocket, buffer: &mut [u8], next_publish: &mut Time, outputs: &mut Vec<Output>,
    ) {
        let mut membership = self.membership.borrow_mut();
        for _ in 0..MAX_READS_PER_TURN {
            match socket.try_recv_from(buffer) {
                Ok((length, from)) => {
                    membership.handle_datagram(self.clock.now(), from, &buffer[..length], outputs);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {} // a destination was unreachable; missing acknowledgements reveal that as well
            }
        }
        let now = self.clock.now();
        if now >= *next_publish {
            *next_publish = now + self.publish_interval;
            let record = self.next_record.borrow();
            if !record.is_empty() {
                membership.publish(now, &record);
            }
        }
        membership.run_due_timers(now, outputs);
        drop(membership); // message handlers borrow the membership
        self.carry_out(socket, outputs);
    }

    fn carry_out(&self, socket: &UdpSocket, outputs: &mut Vec<Output>) {
        for output in outputs.drain(..) {
            match output {
                Output::MessageReceived { from, body } => self.dispatch_message(from, &body),
                Output::Send { to, bytes } => {
                    if socket.try_send_to(&bytes, to).is_err() {
                        self.unsent.set(self.unsent.get() + 1); // equivalent to a datagram lost in transit
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

    /// Adds a handler of messages from other proxies.
    pub fn add_handler(&self, handler: Rc<dyn MessageHandler>) {
        self.handlers.borrow_mut().push(handler);
    }

    fn dispatch_message(&self, from: u16, body: &[u8]) {
        let handlers = self.handlers.borrow().clone();
        let mut replies = Vec::new();
        for handler in &handlers {
            handler.handle_message(self.clock.now(), from, body, &mut replies);
        }
        if !replies.is_empty() {
            self.send_messages(replies);
        }
    }

    /// Sends messages to live members, without a guarantee of delivery. Nothing is sent before the address is bound.
    pub fn send_messages(&self, messages: impl IntoIterator<Item = OutgoingMessage>) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let (now, mut outputs) = (self.clock.now(), Vec::new());
        let mut membership = self.membership.borrow_mut();
        for (index, body) in messages {
            membership.send_message(now, index, &body, &mut outputs);
        }
        drop(membership); // message handlers borrow the membership
        self.carry_out(&socket, &mut outputs);
    }

    /// Announces the departure to all members; must not be called if a successor process uses the address.
    pub fn leave(&self) {
        let mut outputs = Vec::new();
        self.membership.borrow_mut().leave(&mut outputs);
        if let Some(socket) = &*self.socket.borrow() {
            self.carry_out(socket, &mut outputs);
        }
    }

    /// Sets the record to publish next.
    pub(super) fn publish(&self, record: Vec<u8>) {
        *self.next_record.borrow_mut() = record;
    }

    /// Returns the index of this proxy.
    pub fn own_index(&self) -> u16 {
        self.membership.borrow().own_index()
    }

    /// Returns the identity of this process in the tier; `None` until the address is bound, since the previous process
    /// may still use the index.
    pub fn bound_identity(&self) -> Option<LocalIdentity> {
        self.socket.borrow().as_ref()?;
        Some(self.identity())
    }

    fn identity(&self) -> LocalIdentity {
        let membership = self.membership.borrow();
        LocalIdentity {
            index: membership.own_index(),
            members: membership.view(self.clock.now()).configured as u16,
            boot: membership.local_member().boot.0,
        }
    }

    /// Returns the live members.
    pub fn live_members(&self, now: Time) -> LiveMembers {
        let membership = self.membership.borrow();
        let view = membership.view(now);
        let indices = membership.live_members();
        let own_index = membership.own_index();
        let own = indices.iter().position(|index| *index == own_index).unwrap_or(0);
        // Without a bound socket this process receives nothing and would consider itself the only live member.
        let is_bound = self.socket.borrow().is_some();
        let since_stall = if is_bound { view.since_stall } else { Micros(0) };
        LiveMembers {
            configured: view.configured,
            since_stall,
            since_change: view.since_change,
            own,
            indices,
        }
    }

    /// Returns the signals of these members, as far as they have been received.
    pub fn reports(&self, now: Time, indices: &[u16]) -> Vec<MemberReport> {
        let membership = self.membership.borrow();
        let report = |index: &u16| {
            let record = membership.record(*index)?;
            let signals = Signals::decode(&record.body)?;
            let zone = membership.zone(*index).into();
            Some(MemberReport { index: *index, zone, age: record.age(now), signals })
        };
        indices.iter().filter_map(report).collect()
    }

    /// Returns the demand of each of these members in requests per second; `None` while it is unknown.
    pub fn demands(&self, indices: &[u16]) -> Vec<Option<f64>> {
        let membership = self.membership.borrow();
        let demand = |index: &u16| Signals::decode(&membership.record(*index)?.body)?.demand_per_s;
        indices.iter().map(demand).collect()
    }
}

/// Returns the name, truncated to its maximum length, or an empty string if it contains other than graphic ASCII
/// characters.
fn sendable_name(name: String) -> String {
    if !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return String::new();
    }
    name.chars().take(MAX_NAME_BYTES).collect()
}
