//! The datagram format: a header and sections, at most 256 bytes. A datagram is decoded completely or rejected.
//!
//! ```text
//! header    47 01 | to 2 | from 2 | boot 4 | incarnation 4 | counter 8                       22 bytes
//! sections  kind 1, then a body that is fixed by the kind; records, messages and names with one byte of length
//! tag       16 bytes, if there is a key; over all bytes before it
//! ```
//! Numbers are big-endian. `to` and `from` are indices in [`crate::TierConfig::addresses`]; `to` is [`BROADCAST`] if
//! the datagram is for all members. `tests/golden_datagrams.rs` holds the bytes of every section.

mod decode;
mod encode;

use crate::member_state::{Boot, MemberStatus};

pub use decode::{decode_header, decode_sections, DecodeError};
pub use encode::DatagramBuilder;

/// Longest datagram that the platform carries.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Longest record: it leaves space for a header, a tag and some updates.
pub const MAX_RECORD_BYTES: usize = 120;
/// Longest name of a proxy or a zone.
pub const MAX_NAME_BYTES: usize = 32;
/// Longest message between hosts.
pub const MAX_MESSAGE_BYTES: usize = 64;
/// Receiver index of a datagram for all members.
pub const BROADCAST: u16 = u16::MAX;

const MAGIC: [u8; 2] = [0x47, 1];
const HEADER_BYTES: usize = 22;

/// Numbers of the section kinds.
mod kind {
    pub const PING: u8 = 1;
    pub const ACK: u8 = 2;
    pub const PING_REQUEST: u8 = 3;
    pub const PING_REQUEST_RECEIPT: u8 = 4;
    pub const INDIRECT_PING: u8 = 5;
    pub const INDIRECT_ACK: u8 = 6;
    pub const FORWARDED_ACK: u8 = 7;
    pub const UPDATE: u8 = 8;
    pub const RECORD: u8 = 9;
    pub const RECORD_REQUEST: u8 = 10;
    pub const HELLO: u8 = 11;
    pub const MESSAGE: u8 = 12;
}

/// Header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Index of the receiver, or [`BROADCAST`].
    pub to: u16,
    /// Index of the sender.
    pub from: u16,
    /// The sender's process.
    pub boot: Boot,
    /// The incarnation of that process.
    pub incarnation: u32,
    /// Increases with each datagram of this process.
    pub counter: u64,
}

/// A section of a datagram.
///
/// An indirect probe (SWIM, section 3.1) takes these steps, with one nonce throughout:
///
/// ```text
/// origin ---- PingRequest ----> helper ---- IndirectPing ----> target
/// origin <- PingRequestReceipt- helper
/// origin <--- ForwardedAck ---- helper <---- IndirectAck ----- target
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Section {
    /// A probe.
    Ping {
        /// Identifies the probe; the acknowledgement repeats it.
        nonce: u32,
        /// The target's status as the sender knows it, so that the target can refute it.
        status: Option<MemberStatus>,
    },
    /// The acknowledgement of a probe.
    Ack {
        /// Nonce of the probe.
        nonce: u32,
    },
    /// Requests the receiver to probe another member for the sender.
    PingRequest {
        /// Index of the member to probe.
        target: u16,
        /// Nonce of the probe.
        nonce: u32,
        /// The target's status as the sender knows it.
        status: Option<MemberStatus>,
    },
    /// The helper received the ping request (Lifeguard's nack: the helper itself is reachable).
    PingRequestReceipt {
        /// Nonce of the probe.
        nonce: u32,
    },
    /// A probe for another member.
    IndirectPing {
        /// Index of the member that requested it.
        origin: u16,
        /// Nonce of the probe.
        nonce: u32,
        /// The target's status as the origin knows it.
        status: Option<MemberStatus>,
    },
    /// The acknowledgement of an indirect probe, for the helper to forward.
    IndirectAck {
        /// Index of the member that requested the probe.
        origin: u16,
        /// Nonce of the probe.
        nonce: u32,
    },
    /// The acknowledgement of an indirect probe, forwarded to its origin.
    ForwardedAck {
        /// Index of the member that acknowledged.
        subject: u16,
        /// Its process.
        boot: Boot,
        /// The incarnation of that process.
        incarnation: u32,
        /// Nonce of the probe.
        nonce: u32,
    },
    /// A disseminated update about a member.
    Update {
        /// Index of the member.
        subject: u16,
        /// Index of the member that observed it. Each reporter counts once for a suspicion.
        reporter: u16,
        /// The member's status.
        status: MemberStatus,
    },
    /// The record of a member.
    Record {
        /// Index of the member that published it.
        subject: u16,
        /// The process that published it.
        boot: Boot,
        /// Higher versions of one process are newer.
        version: u32,
        /// Its age when this datagram was sent, in milliseconds.
        age_ms: u16,
        /// The payload, at most [`MAX_RECORD_BYTES`].
        body: Vec<u8>,
    },
    /// Requests the record of a member.
    RecordRequest {
        /// Index of the member.
        subject: u16,
    },
    /// A message from the sender's host to the receiver's host.
    Message {
        /// The payload, at most [`MAX_MESSAGE_BYTES`].
        body: Vec<u8>,
    },
    /// The sender's name and zone.
    Hello {
        /// Its name, at most [`MAX_NAME_BYTES`].
        name: String,
        /// Its zone, at most [`MAX_NAME_BYTES`].
        zone: String,
    },
}

#[cfg(test)]
mod tests;
