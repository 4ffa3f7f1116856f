//! Datagrams: up to 256 bytes, a header and sections, read whole or not at all.
//!
//! ```text
//! header   47 01 | to 2 | from 2 | boot 4 | incarnation 4 | counter 8                       22 bytes
//! sections kind 1, then by kind a fixed body; records and names with a byte of length
//! tag      16 bytes, where there is a key; over all before it
//! ```
//! Numbers are big-endian. A place is a number of the told list; `to` is [`EVERYBODY`] where the datagram goes to all.

use crate::claim::{Boot, Claim, Standing, MOST_INCARNATION};

/// The longest datagram that the platform carries.
pub const DATAGRAM_BYTES: usize = 256;
/// The longest record: a header, a tag and some rumours fit beside it.
pub const RECORD_BYTES: usize = 120;
/// The longest name of a proxy or a zone.
pub const NAME_BYTES: usize = 32;
/// The longest note.
pub const NOTE_BYTES: usize = 64;
/// `to` of a datagram for all.
pub const EVERYBODY: u16 = u16::MAX;

const MAGIC: [u8; 2] = [0x47, 1];
const HEADER_BYTES: usize = 22;

/// Who sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// For whom it is.
    pub to: u16,
    /// The sender's place.
    pub from: u16,
    /// Its process.
    pub boot: Boot,
    /// Its incarnation.
    pub incarnation: u32,
    /// New with each datagram of this process.
    pub counter: u64,
}

/// A part of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Section {
    /// A question, with what the sender holds of who is asked.
    Ping {
        /// Comes back in the answer.
        nonce: u32,
        /// What is held.
        claim: Option<Claim>,
    },
    /// The answer to a question.
    Ack {
        /// The question's.
        nonce: u32,
    },
    /// Please ask this one for me.
    AskFor {
        /// Whom.
        target: u16,
        /// Comes back.
        nonce: u32,
        /// What the sender holds of it.
        claim: Option<Claim>,
    },
    /// The plea arrived.
    Receipt {
        /// Its.
        nonce: u32,
    },
    /// A question for another.
    PingFor {
        /// Whose.
        origin: u16,
        /// The question's.
        nonce: u32,
        /// What that one holds of who is asked.
        claim: Option<Claim>,
    },
    /// Its answer, to be passed on.
    AckFor {
        /// To whom.
        origin: u16,
        /// The question's.
        nonce: u32,
    },
    /// An answer passed on.
    Vouch {
        /// Who answered.
        subject: u16,
        /// Its process.
        boot: Boot,
        /// Its incarnation.
        incarnation: u32,
        /// The question's.
        nonce: u32,
    },
    /// What is said of a proxy.
    Rumor {
        /// Of whom.
        subject: u16,
        /// Who found so; of suspicions the number of those counts.
        by: u16,
        /// What.
        claim: Claim,
    },
    /// A proxy's record.
    Record {
        /// Whose.
        subject: u16,
        /// Of which of its processes.
        boot: Boot,
        /// Newer ones are higher.
        version: u32,
        /// How old it was when it was sent on, in milliseconds.
        age_ms: u16,
        /// What it says.
        body: Vec<u8>,
    },
    /// Please send the record of this one.
    Want {
        /// Whose.
        subject: u16,
    },
    /// What this proxy's host has to say to the other's.
    Note {
        /// Its business.
        body: Vec<u8>,
    },
    /// Who the sender is.
    Hello {
        /// Its name.
        name: String,
        /// Its zone.
        zone: String,
    },
}

/// A datagram under way to its bytes.
pub struct Draft {
    bytes: Vec<u8>,
    most: usize,
}

impl Draft {
    /// An empty one; `tag` bytes are kept free at its end.
    pub fn new(header: Header, tag: usize) -> Draft {
        let mut bytes = Vec::with_capacity(DATAGRAM_BYTES);
        bytes.extend(MAGIC);
        bytes.extend(header.to.to_be_bytes());
        bytes.extend(header.from.to_be_bytes());
        bytes.extend(header.boot.0.to_be_bytes());
        bytes.extend(header.incarnation.to_be_bytes());
        bytes.extend(header.counter.to_be_bytes());
        Draft { bytes, most: DATAGRAM_BYTES - tag }
    }

    /// Adds a section if it fits.
    pub fn push(&mut self, section: &Section) -> bool {
        let before = self.bytes.len();
        let out = &mut self.bytes;
        match section {
            Section::Ping { nonce, claim } => {
                out.push(1);
                out.extend(nonce.to_be_bytes());
                put_held(out, *claim);
            }
            Section::Ack { nonce } => {
                out.push(2);
                out.extend(nonce.to_be_bytes());
            }
            Section::AskFor { target, nonce, claim } => {
                out.push(3);
                out.extend(target.to_be_bytes());
                out.extend(nonce.to_be_bytes());
                put_held(out, *claim);
            }
            Section::Receipt { nonce } => {
                out.push(4);
                out.extend(nonce.to_be_bytes());
            }
            Section::PingFor { origin, nonce, claim } => {
                out.push(5);
                out.extend(origin.to_be_bytes());
                out.extend(nonce.to_be_bytes());
                put_held(out, *claim);
            }
            Section::AckFor { origin, nonce } => {
                out.push(6);
                out.extend(origin.to_be_bytes());
                out.extend(nonce.to_be_bytes());
            }
            Section::Vouch { subject, boot, incarnation, nonce } => {
                out.push(7);
                out.extend(subject.to_be_bytes());
                out.extend(boot.0.to_be_bytes());
                out.extend(incarnation.to_be_bytes());
                out.extend(nonce.to_be_bytes());
            }
            Section::Rumor { subject, by, claim } => {
                out.push(8);
                out.extend(subject.to_be_bytes());
                out.extend(by.to_be_bytes());
                put_held(out, Some(*claim));
            }
            Section::Record { subject, boot, version, age_ms, body } => {
                out.push(9);
                out.extend(subject.to_be_bytes());
                out.extend(boot.0.to_be_bytes());
                out.extend(version.to_be_bytes());
                out.extend(age_ms.to_be_bytes());
                put_bytes(out, body);
            }
            Section::Want { subject } => {
                out.push(10);
                out.extend(subject.to_be_bytes());
            }
            Section::Note { body } => {
                out.push(12);
                put_bytes(out, body);
            }
            Section::Hello { name, zone } => {
                out.push(11);
                put_bytes(out, name.as_bytes());
                put_bytes(out, zone.as_bytes());
            }
        }
        let fits = self.bytes.len() <= self.most;
        if !fits {
            self.bytes.truncate(before);
        }
        fits
    }

    /// Its bytes, without a tag.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

fn put_bytes(out: &mut Vec<u8>, body: &[u8]) {
    out.push(body.len().min(usize::from(u8::MAX)) as u8);
    out.extend(&body[..body.len().min(usize::from(u8::MAX))]);
}

fn put_held(out: &mut Vec<u8>, claim: Option<Claim>) {
    let (standing, boot, incarnation) =
        claim.map_or((0, 0, 0), |c| (c.standing as u8, c.boot.0, c.incarnation));
    out.push(standing);
    out.extend(boot.to_be_bytes());
    out.extend(incarnation.to_be_bytes());
}

/// Why bytes are no datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Garbled {
    /// Too long, or it ends within a section.
    #[error("a length that does not fit")]
    Length,
    /// It does not begin like one of this version.
    #[error("another protocol or version")]
    Magic,
    /// A section of no known kind.
    #[error("an unknown section")]
    Kind,
    /// A value that none may have.
    #[error("a value out of its range")]
    Value,
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], Garbled> {
        let (head, rest) = self.0.split_at_checked(count).ok_or(Garbled::Length)?;
        self.0 = rest;
        Ok(head)
    }

    fn u8(&mut self) -> Result<u8, Garbled> {
        Ok(self.take(1)?[0])
    }

    fn u16(&mut self) -> Result<u16, Garbled> {
        let b = self.take(2)?;
        Ok(u16::from_be_bytes([b[0], b[1]]))
    }

    fn u32(&mut self) -> Result<u32, Garbled> {
        let b = self.take(4)?;
        Ok(u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }

    fn u64(&mut self) -> Result<u64, Garbled> {
        Ok(u64::from(self.u32()?) << 32 | u64::from(self.u32()?))
    }

    fn boot(&mut self) -> Result<Boot, Garbled> {
        match self.u32()? {
            0 => Err(Garbled::Value),
            boot => Ok(Boot(boot)),
        }
    }

    fn incarnation(&mut self) -> Result<u32, Garbled> {
        match self.u32()? {
            n if n > MOST_INCARNATION => Err(Garbled::Value),
            n => Ok(n),
        }
    }

    fn held(&mut self) -> Result<Option<Claim>, Garbled> {
        let standing = match self.u8()? {
            0 => {
                self.take(8)?;
                return Ok(None);
            }
            1 => Standing::Alive,
            2 => Standing::Suspect,
            3 => Standing::Dead,
            4 => Standing::Left,
            _ => return Err(Garbled::Value),
        };
        Ok(Some(Claim { boot: self.boot()?, incarnation: self.incarnation()?, standing }))
    }

    fn bytes(&mut self, most: usize) -> Result<&'a [u8], Garbled> {
        let length = usize::from(self.u8()?);
        if length > most {
            return Err(Garbled::Value);
        }
        self.take(length)
    }

    fn name(&mut self) -> Result<String, Garbled> {
        let bytes = self.bytes(NAME_BYTES)?;
        // They go into logs and tables.
        match bytes.iter().all(u8::is_ascii_graphic) {
            true => Ok(bytes.iter().map(|b| char::from(*b)).collect()),
            false => Err(Garbled::Value),
        }
    }

    fn section(&mut self) -> Result<Section, Garbled> {
        Ok(match self.u8()? {
            1 => Section::Ping { nonce: self.u32()?, claim: self.held()? },
            2 => Section::Ack { nonce: self.u32()? },
            3 => Section::AskFor { target: self.u16()?, nonce: self.u32()?, claim: self.held()? },
            4 => Section::Receipt { nonce: self.u32()? },
            5 => Section::PingFor { origin: self.u16()?, nonce: self.u32()?, claim: self.held()? },
            6 => Section::AckFor { origin: self.u16()?, nonce: self.u32()? },
            7 => Section::Vouch {
                subject: self.u16()?,
                boot: self.boot()?,
                incarnation: self.incarnation()?,
                nonce: self.u32()?,
            },
            8 => Section::Rumor {
                subject: self.u16()?,
                by: self.u16()?,
                claim: self.held()?.ok_or(Garbled::Value)?,
            },
            9 => Section::Record {
                subject: self.u16()?,
                boot: self.boot()?,
                version: self.u32()?,
                age_ms: self.u16()?,
                body: self.bytes(RECORD_BYTES)?.to_vec(),
            },
            10 => Section::Want { subject: self.u16()? },
            12 => Section::Note { body: self.bytes(NOTE_BYTES)?.to_vec() },
            11 => Section::Hello { name: self.name()?, zone: self.name()? },
            _ => return Err(Garbled::Kind),
        })
    }
}

/// The header alone, for what must be known before the tag is.
pub fn header(bytes: &[u8]) -> Result<Header, Garbled> {
    if bytes.len() > DATAGRAM_BYTES {
        return Err(Garbled::Length);
    }
    let mut reader = Reader(bytes);
    if reader.take(2)? != MAGIC {
        return Err(Garbled::Magic);
    }
    Ok(Header {
        to: reader.u16()?,
        from: reader.u16()?,
        boot: reader.boot()?,
        incarnation: reader.incarnation()?,
        counter: reader.u64()?,
    })
}

/// All sections of a datagram without its tag.
pub fn sections(bytes: &[u8]) -> Result<Vec<Section>, Garbled> {
    let mut reader = Reader(bytes.get(HEADER_BYTES..).ok_or(Garbled::Length)?);
    let mut sections = Vec::new();
    while !reader.0.is_empty() {
        sections.push(reader.section()?);
    }
    Ok(sections)
}

#[cfg(test)]
mod tests;
