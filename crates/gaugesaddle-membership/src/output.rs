//! Actions that the membership requests from its host: datagrams to send, messages to deliver, and events to log.

use crate::member_state::{Boot, MemberState};
use gaugesaddle_balancer::Micros;
use std::net::SocketAddr;

/// An action for the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The destination.
        to: SocketAddr,
        /// At most [`crate::MAX_DATAGRAM_BYTES`].
        bytes: Vec<u8>,
    },
    /// Deliver a message from the host of a live member.
    MessageReceived {
        /// Index of the sender. The message was sent by the live process at this index.
        from: u16,
        /// The payload.
        body: Vec<u8>,
    },
    /// Log: the state of a member changed.
    StateChanged(Transition),
    /// Log: two live processes use the same index.
    IndexConflict {
        /// The index.
        index: u16,
    },
    /// Log: two live members have the same name.
    NameConflict {
        /// Their indices, the lower one first.
        indices: (u16, u16),
    },
    /// Log: this process was stopped or got no CPU time.
    Stalled {
        /// Duration of the stall.
        duration: Micros,
    },
}

/// A change of a member's state. `Display` is its log line, which operators' tools read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// Index of the member.
    pub index: u16,
    /// The former state.
    pub from: MemberState,
    /// The new state.
    pub to: MemberState,
    /// The member's process.
    pub boot: Boot,
    /// The incarnation of that process.
    pub incarnation: u32,
    /// Why it changed.
    pub cause: Cause,
}

/// Why a member's state changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It acknowledged a probe.
    ProbeAcked,
    /// It reported this state itself.
    SelfReported,
    /// The member with this index reported it.
    ReportedBy(u16),
    /// A probe failed.
    ProbeFailed,
    /// The suspicion timed out.
    SuspicionTimedOut,
    /// The retention time of a dead or departed member is over.
    Expired,
}

impl std::fmt::Display for Transition {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Transition { index, from, to, boot, incarnation, cause } = self;
        let (from, to) = (from.name(), to.name());
        write!(f, "{index} is {to} after {from}, boot {:08x}, incarnation {incarnation}: {cause}", boot.0)
    }
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Cause::ProbeAcked => f.write_str("it answered"),
            Cause::SelfReported => f.write_str("it says so"),
            Cause::ReportedBy(reporter) => write!(f, "told by {reporter}"),
            Cause::ProbeFailed => f.write_str("no answer"),
            Cause::SuspicionTimedOut => f.write_str("no objection"),
            Cause::Expired => f.write_str("forgotten"),
        }
    }
}
