//! Encodes datagrams.

use super::{kind, Header, Section, MAGIC, MAX_DATAGRAM_BYTES};
use crate::member_state::MemberStatus;

/// A datagram under construction.
pub struct DatagramBuilder {
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl DatagramBuilder {
    /// A datagram without sections. `tag_bytes` are reserved at its end.
    pub fn new(header: Header, tag_bytes: usize) -> DatagramBuilder {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        bytes.extend(MAGIC);
        bytes.extend(header.to.to_be_bytes());
        bytes.extend(header.from.to_be_bytes());
        bytes.extend(header.boot.0.to_be_bytes());
        bytes.extend(header.incarnation.to_be_bytes());
        bytes.extend(header.counter.to_be_bytes());
        DatagramBuilder { bytes, max_bytes: MAX_DATAGRAM_BYTES - tag_bytes }
    }

    /// Appends a section. Returns `false`, with the datagram unchanged, if it does not fit.
    pub fn push(&mut self, section: &Section) -> bool {
        let length_before = self.bytes.len();
        encode_section(&mut self.bytes, section);
        let fits = self.bytes.len() <= self.max_bytes;
        if !fits {
            self.bytes.truncate(length_before);
        }
        fits
    }

    /// The bytes of the datagram, without a tag.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

fn encode_section(out: &mut Vec<u8>, section: &Section) {
    match section {
        Section::Ping { nonce, status } => {
            out.push(kind::PING);
            out.extend(nonce.to_be_bytes());
            encode_status(out, *status);
        }
        Section::Ack { nonce } => {
            out.push(kind::ACK);
            out.extend(nonce.to_be_bytes());
        }
        Section::PingRequest { target, nonce, status } => {
            out.push(kind::PING_REQUEST);
            out.extend(target.to_be_bytes());
            out.extend(nonce.to_be_bytes());
            encode_status(out, *status);
        }
        Section::PingRequestReceipt { nonce } => {
            out.push(kind::PING_REQUEST_RECEIPT);
            out.extend(nonce.to_be_bytes());
        }
        Section::IndirectPing { origin, nonce, status } => {
            out.push(kind::INDIRECT_PING);
            out.extend(origin.to_be_bytes());
            out.extend(nonce.to_be_bytes());
            encode_status(out, *status);
        }
        Section::IndirectAck { origin, nonce } => {
            out.push(kind::INDIRECT_ACK);
            out.extend(origin.to_be_bytes());
            out.extend(nonce.to_be_bytes());
        }
        Section::ForwardedAck { subject, boot, incarnation, nonce } => {
            out.push(kind::FORWARDED_ACK);
            out.extend(subject.to_be_bytes());
            out.extend(boot.0.to_be_bytes());
            out.extend(incarnation.to_be_bytes());
            out.extend(nonce.to_be_bytes());
        }
        Section::Update { subject, reporter, status } => {
            out.push(kind::UPDATE);
            out.extend(subject.to_be_bytes());
            out.extend(reporter.to_be_bytes());
            encode_status(out, Some(*status));
        }
        Section::Record { subject, boot, version, age_ms, body } => {
            out.push(kind::RECORD);
            out.extend(subject.to_be_bytes());
            out.extend(boot.0.to_be_bytes());
            out.extend(version.to_be_bytes());
            out.extend(age_ms.to_be_bytes());
            encode_bytes(out, body);
        }
        Section::RecordRequest { subject } => {
            out.push(kind::RECORD_REQUEST);
            out.extend(subject.to_be_bytes());
        }
        Section::Message { body } => {
            out.push(kind::MESSAGE);
            encode_bytes(out, body);
        }
        Section::Hello { name, zone } => {
            out.push(kind::HELLO);
            encode_bytes(out, name.as_bytes());
            encode_bytes(out, zone.as_bytes());
        }
    }
}

/// Appends one byte of length and the bytes, truncated to 255.
fn encode_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    let length = bytes.len().min(usize::from(u8::MAX));
    out.push(length as u8);
    out.extend(&bytes[..length]);
}

/// State, boot and incarnation; all zero for an unknown member.
fn encode_status(out: &mut Vec<u8>, status: Option<MemberStatus>) {
    let (state, boot, incarnation) = match status {
        Some(status) => (status.state as u8, status.boot.0, status.incarnation),
        None => (0, 0, 0),
    };
    out.push(state);
    out.extend(boot.to_be_bytes());
    out.extend(incarnation.to_be_bytes());
}
