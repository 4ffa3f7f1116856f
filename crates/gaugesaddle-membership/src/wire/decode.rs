//! Decodes datagrams. No input causes a panic, and no section exceeds the length of its datagram.

use super::{kind, Header, Section};
use super::{HEADER_BYTES, MAGIC, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, MAX_NAME_BYTES, MAX_RECORD_BYTES};
use crate::member_state::{Boot, MemberState, MemberStatus, MAX_INCARNATION};

/// Why bytes are not a valid datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is too long, or ends within the header or a section.
    #[error("the datagram exceeds {MAX_DATAGRAM_BYTES} bytes or is truncated")]
    Length,
    /// It does not start with the magic number of this version.
    #[error("the datagram does not start with the magic number of this protocol version")]
    Magic,
    /// The kind of a section is unknown.
    #[error("the kind of a section is unknown")]
    Kind,
    /// A value is out of its range.
    #[error("a value is out of its range")]
    Value,
}

/// Decodes the header only, which is needed before the tag is verified.
///
/// # Errors
/// The datagram is too long, truncated or of another version, or a value is out of its range.
pub fn decode_header(bytes: &[u8]) -> Result<Header, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Length);
    }
    let mut reader = Reader(bytes);
    if reader.take(MAGIC.len())? != MAGIC {
        return Err(DecodeError::Magic);
    }
    Ok(Header {
        to: reader.u16()?,
        from: reader.u16()?,
        boot: reader.boot()?,
        incarnation: reader.incarnation()?,
        counter: reader.u64()?,
    })
}

/// Decodes all sections of a datagram whose tag has been removed.
///
/// # Errors
/// Any section is truncated, of an unknown kind, or has a value out of its range.
pub fn decode_sections(bytes: &[u8]) -> Result<Vec<Section>, DecodeError> {
    let mut reader = Reader(bytes.get(HEADER_BYTES..).ok_or(DecodeError::Length)?);
    let mut sections = Vec::new();
    while !reader.0.is_empty() {
        sections.push(reader.section()?);
    }
    Ok(sections)
}

/// The bytes that are not decoded yet.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (head, rest) = self.0.split_at_checked(count).ok_or(DecodeError::Length)?;
        self.0 = rest;
        Ok(head)
    }

    fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.take(1)?[0])
    }

    fn u16(&mut self) -> Result<u16, DecodeError> {
        let bytes = self.take(2)?;
        Ok(u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    fn u32(&mut self) -> Result<u32, DecodeError> {
        let bytes = self.take(4)?;
        Ok(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    fn u64(&mut self) -> Result<u64, DecodeError> {
        Ok(u64::from(self.u32()?) << 32 | u64::from(self.u32()?))
    }

    fn boot(&mut self) -> Result<Boot, DecodeError> {
        match self.u32()? {
            0 => Err(DecodeError::Value),
            boot => Ok(Boot(boot)),
        }
    }

    fn incarnation(&mut self) -> Result<u32, DecodeError> {
        match self.u32()? {
            incarnation if incarnation > MAX_INCARNATION => Err(DecodeError::Value),
            incarnation => Ok(incarnation),
        }
    }

    fn status(&mut self) -> Result<Option<MemberStatus>, DecodeError> {
        let state = match self.u8()? {
            0 => {
                self.take(8)?; // boot and incarnation of an unknown member are not used
                return Ok(None);
            }
            1 => MemberState::Alive,
            2 => MemberState::Suspect,
            3 => MemberState::Dead,
            4 => MemberState::Departed,
            _ => return Err(DecodeError::Value),
        };
        Ok(Some(MemberStatus { boot: self.boot()?, incarnation: self.incarnation()?, state }))
    }

    fn bytes(&mut self, max_length: usize) -> Result<&'a [u8], DecodeError> {
        let length = usize::from(self.u8()?);
        if length > max_length {
            return Err(DecodeError::Value);
        }
        self.take(length)
    }

    /// Printable ASCII only: names go into logs and tables.
    fn name(&mut self) -> Result<String, DecodeError> {
        let bytes = self.bytes(MAX_NAME_BYTES)?;
        if !bytes.iter().all(u8::is_ascii_graphic) {
            return Err(DecodeError::Value);
        }
        Ok(bytes.iter().map(|byte| char::from(*byte)).collect())
    }

    fn section(&mut self) -> Result<Section, DecodeError> {
        let section = match self.u8()? {
            kind::PING => Section::Ping { nonce: self.u32()?, status: self.status()? },
            kind::ACK => Section::Ack { nonce: self.u32()? },
            kind::PING_REQUEST => {
                Section::PingRequest { target: self.u16()?, nonce: self.u32()?, status: self.status()? }
            }
            kind::PING_REQUEST_RECEIPT => Section::PingRequestReceipt { nonce: self.u32()? },
            kind::INDIRECT_PING => {
                Section::IndirectPing { origin: self.u16()?, nonce: self.u32()?, status: self.status()? }
            }
            kind::INDIRECT_ACK => Section::IndirectAck { origin: self.u16()?, nonce: self.u32()? },
            kind::FORWARDED_ACK => Section::ForwardedAck {
                subject: self.u16()?,
                boot: self.boot()?,
                incarnation: self.incarnation()?,
                nonce: self.u32()?,
            },
            kind::UPDATE => Section::Update {
                subject: self.u16()?,
                reporter: self.u16()?,
                status: self.status()?.ok_or(DecodeError::Value)?,
            },
            kind::RECORD => Section::Record {
                subject: self.u16()?,
                boot: self.boot()?,
                version: self.u32()?,
                age_ms: self.u16()?,
                body: self.bytes(MAX_RECORD_BYTES)?.to_vec(),
            },
            kind::RECORD_REQUEST => Section::RecordRequest { subject: self.u16()? },
            kind::HELLO => Section::Hello { name: self.name()?, zone: self.name()? },
            kind::MESSAGE => Section::Message { body: self.bytes(MAX_MESSAGE_BYTES)?.to_vec() },
            _ => return Err(DecodeError::Kind),
        };
        Ok(section)
    }
}
