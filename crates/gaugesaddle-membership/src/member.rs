//! The table entry of one configured member.

use crate::member_state::{Boot, KnownMember, MemberState};
use crate::replay::ReplayWindow;
use crate::suspicion::Suspicion;
use gaugesaddle_balancer::{Micros, Time};
use std::net::SocketAddr;

/// Maximum number of open probes of one member, that is probes that may still be acknowledged. A further one replaces
/// the oldest.
const MAX_OPEN_PROBES: usize = 3;
/// An index whose process changed this often within [`CONFLICT_WINDOW`] is used by two live processes.
pub(crate) const MAX_PROCESS_CHANGES: usize = 3;
/// See [`MAX_PROCESS_CHANGES`]. A process that crashes and is restarted automatically takes longer for three
/// restarts.
pub(crate) const CONFLICT_WINDOW: Micros = Micros(5_000_000);

/// A probe that may still be acknowledged.
struct OpenProbe {
    nonce: u32,
    /// Whether it carried this process's name and zone.
    with_hello: bool,
}

/// The probe that a member last acknowledged.
pub(crate) struct LastAck {
    pub nonce: u32,
    /// The process that acknowledged it.
    pub boot: Boot,
}

/// The table entry of one configured member.
pub(crate) struct Member {
    pub known: KnownMember,
    /// When its state last changed.
    pub state_since: Time,
    /// When a datagram of its current process last arrived.
    pub last_received: Option<Time>,
    /// When a probe was last sent to it.
    pub last_probed: Option<Time>,
    pub replay_window: ReplayWindow,
    pub suspicion: Option<Suspicion>,
    /// Its name; empty until it has sent it.
    pub name: String,
    /// Its zone; empty until it has sent it.
    pub zone: String,
    /// Whether it has acknowledged a probe that carried this process's name and zone.
    pub has_our_hello: bool,
    pub last_ack: Option<LastAck>,
    open_probes: Vec<OpenProbe>,
    /// The last times when its process changed or two processes acknowledged one probe; at most
    /// [`MAX_PROCESS_CHANGES`].
    process_changes: Vec<Time>,
}

impl Member {
    pub fn new(now: Time) -> Member {
        Member {
            known: KnownMember::default(),
            state_since: now,
            last_received: None,
            last_probed: None,
            replay_window: ReplayWindow::default(),
            suspicion: None,
            name: String::new(),
            zone: String::new(),
            has_our_hello: false,
            last_ack: None,
            open_probes: Vec::new(),
            process_changes: Vec::new(),
        }
    }

    /// Records a probe that may be acknowledged from now on.
    pub fn open_probe(&mut self, nonce: u32, with_hello: bool) {
        if self.open_probes.len() >= MAX_OPEN_PROBES {
            self.open_probes.remove(0);
        }
        self.open_probes.push(OpenProbe { nonce, with_hello });
    }

    /// Closes the probe with this nonce. Returns `false` if none is open: the acknowledgement is late, replayed or
    /// forged.
    pub fn close_probe(&mut self, nonce: u32) -> bool {
        let Some(at) = self.open_probes.iter().position(|probe| probe.nonce == nonce) else { return false };
        let probe = self.open_probes.remove(at);
        self.has_our_hello |= probe.with_hello;
        true
    }

    pub fn has_open_probes(&self) -> bool {
        !self.open_probes.is_empty()
    }

    /// Resets the state that belongs to the former process, including its open probes.
    pub fn reset_process(&mut self) {
        self.open_probes.clear();
        self.replay_window = ReplayWindow::default();
        self.last_received = None;
        self.has_our_hello = false;
    }

    /// Records a change of the process at this index.
    pub fn record_process_change(&mut self, now: Time) {
        self.process_changes.push(now);
        if self.process_changes.len() > MAX_PROCESS_CHANGES {
            self.process_changes.remove(0);
        }
    }

    /// Whether two live processes use this index.
    pub fn is_in_conflict(&self, now: Time) -> bool {
        self.process_changes.len() >= MAX_PROCESS_CHANGES && now - self.process_changes[0] < CONFLICT_WINDOW
    }
}

/// One configured member, for the published state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its index.
    pub index: u16,
    /// Its address.
    pub address: SocketAddr,
    /// Its name; empty until it has sent it.
    pub name: String,
    /// Its zone; empty until it has sent it.
    pub zone: String,
    /// Its state.
    pub state: MemberState,
    /// When its state last changed.
    pub state_since: Time,
    /// Its process; `None` while it is unknown.
    pub boot: Option<Boot>,
    /// The incarnation of that process; 0 while it is unknown.
    pub incarnation: u32,
    /// Time since its last datagram.
    pub since_received: Option<Micros>,
    /// Age of its record.
    pub record_age: Option<Micros>,
    /// Whether two live processes use its index.
    pub in_conflict: bool,
}
