//! I/O of the membership in the running proxy: the UDP socket, its timer, and the key file. `gaugesaddle_membership`
//! decides which proxies are live; [`Tier`] passes datagrams and the time to it and carries out its outputs.
//!
//! - [`settings`] contains the section `[peers]` of the operator's file.
//! - [`Tier`] contains this proxy's membership and its socket. Subsystems read live members and their signals from it,
//!   and exchange messages with other proxies through it.
//! - [`PeerWatch`] measures this proxy's own signals and publishes them.

pub mod allocation;
mod error;
mod key;
pub mod settings;
mod state;
mod tier;
mod watch;
pub mod zones;

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::Signals;
use std::net::SocketAddr;

pub use error::PeersError;
pub use tier::Tier;
pub use watch::PeerWatch;

/// The platform's settings for the tier; present only where the platform allows messages between proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Platform {
    /// Address of the datagram socket (key `peer_listen`).
    pub listen: Option<SocketAddr>,
    /// Addresses of the members in the platform's order (key `peers`).
    pub addresses: Vec<SocketAddr>,
    /// Address that reaches all members (key `peers_all`).
    pub all: Option<SocketAddr>,
}

/// The identity of this proxy in the platform's settings.
pub struct LocalProxy {
    pub name: String,
    pub zone: String,
    /// Its position in the platform's list of proxies.
    pub position: u32,
}

/// The live members in an order common to all members, with the times that show how reliable this view is.
pub struct LiveMembers {
    /// Number of configured members.
    pub configured: usize,
    /// Time since this process last stalled; 0 until its socket is bound.
    pub since_stall: Micros,
    /// Time since the set of live members last changed.
    pub since_change: Micros,
    /// Position of this proxy in `indices`.
    pub own: usize,
    /// Indices of the live members.
    pub indices: Vec<u16>,
}

/// The newest signals of a live member.
pub struct MemberReport {
    /// Its index.
    pub index: u16,
    /// Its zone; empty until it is received.
    pub zone: String,
    /// Age of the signals.
    pub age: Micros,
    pub signals: Signals,
}

/// Identity of this process in the tier.
pub struct LocalIdentity {
    /// Its index among the configured members.
    pub index: u16,
    /// Number of configured members.
    pub members: u16,
    /// Random number chosen at the start of this process.
    pub boot: u32,
}

/// A message to another proxy: the index of the receiver and the body.
pub type OutgoingMessage = (u16, Vec<u8>);

/// Handles messages from other proxies. Each handler receives all messages and recognizes its own by their format.
pub trait MessageHandler {
    /// Handles a message from the member at index `from`; appends the replies.
    fn handle_message(&self, now: Time, from: u16, body: &[u8], replies: &mut Vec<OutgoingMessage>);
}
