//! The I/O of the membership in the running proxy: the UDP socket, its timer, and the key file. Which proxies are live
//! is decided in `gaugesaddle_membership`; [`Tier`] passes datagrams and the time to it and carries out its outputs.
//!
//! - [`settings`] is the section `[peers]` of the operator's file.
//! - [`Tier`] is this proxy's membership with its socket. Subsystems read live members and their signals from it, and
//!   exchange messages with other proxies through it.
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

/// The platform's settings for the tier, if it allows traffic between proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Platform {
    /// `peer_listen`.
    pub listen: Option<SocketAddr>,
    /// `peers`.
    pub addresses: Vec<SocketAddr>,
    /// `peers_all`.
    pub all: Option<SocketAddr>,
}

/// The identity of this proxy in the platform's settings.
pub struct LocalProxy {
    pub name: String,
    pub zone: String,
    /// Its position in the platform's list of proxies.
    pub position: u32,
}

/// The live members, in an order that all members share, and how far this can be trusted.
pub struct LiveMembers {
    /// Configured members.
    pub configured: usize,
    /// Time since this process last stalled; 0 until it has its socket.
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
    /// Its zone; empty until it has sent it.
    pub zone: String,
    /// Age of the signals.
    pub age: Micros,
    /// Its signals.
    pub signals: Signals,
}

/// This process in the tier.
pub struct LocalIdentity {
    /// Its index.
    pub index: u16,
    /// Configured members.
    pub members: u16,
    /// Its boot number.
    pub boot: u32,
}

/// A message to another proxy.
pub type OutgoingMessage = (u16, Vec<u8>);

/// Handles messages of other proxies' hosts. Each handler receives all messages and recognizes its own by their format.
pub trait MessageHandler {
    /// Handles a message of the member at index `from`; appends the replies.
    fn handle_message(&self, now: Time, from: u16, body: &[u8], replies: &mut Vec<OutgoingMessage>);
}
