//! The way that a request has come through regions, and the rule that lets none go round.
//!
//! As a header: `Region-Path: north, south;left=1`. Names in the order of the hops, the sender last, then how many
//! further hops the request may make. Only an authenticated gateway is believed. It has the shape of CDN-Loop (RFC
//! 8586) without being it: that header must be passed on whoever wrote it, and this one must not.

/// Regions that an installation may name: a path holds each once, so this bounds it.
pub const MOST_REGIONS: usize = 16;
/// Hops that may be allowed at most; with more, what is left of a deadline goes on the way.
pub const MOST_HOPS: u8 = 4;
/// A name's length.
const NAME_BYTES: usize = 32;
/// The header's length: the longest path with its separators.
pub const HEADER_BYTES: usize = (MOST_HOPS as usize + 1) * (NAME_BYTES + 2) + 8;

/// A region's name: lower-case letters, digits and inner hyphens.
pub fn valid_name(name: &str) -> bool {
    (1..=NAME_BYTES).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
        && !name.starts_with('-')
        && !name.ends_with('-')
}

/// Regions that a request has left, in order, and the hops that it may still make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Path {
    regions: Vec<String>,
    left: u8,
}

/// Why a header is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// Longer than [`HEADER_BYTES`], or more regions than hops may be made.
    #[error("Region-Path: expected up to {HEADER_BYTES} bytes and {MOST_HOPS} regions")]
    Long,
    /// A part is no name.
    #[error("Region-Path: expected names of lower-case letters, digits and hyphens, parted by commas")]
    Name,
    /// A region stands in it twice: it has gone round already.
    #[error("Region-Path: expected each region once")]
    Twice,
    /// The hops left are missing, no number, or too many.
    #[error("Region-Path: expected ;left= and a number from 0 to {MOST_HOPS} at its end")]
    Left,
    /// The sender is not who its certificate says.
    #[error("Region-Path: expected the sender's own region last")]
    Sender,
}

/// Why a request may not go on to a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Barred {
    /// It was there, or comes from there.
    Been,
    /// It has no hop left.
    Spent,
}

impl Path {
    /// Reads the header of a request that `sender` brought.
    pub fn parse(header: &str, sender: &str) -> Result<Path, PathError> {
        if header.len() > HEADER_BYTES {
            return Err(PathError::Long);
        }
        let (names, left) = header.rsplit_once(";left=").ok_or(PathError::Left)?;
        let digit = |b: &u8| b.is_ascii_digit().then(|| b - b'0');
        let left = match left.as_bytes() {
            [one] => digit(one).filter(|n| *n <= MOST_HOPS),
            _ => None,
        };
        let left = left.ok_or(PathError::Left)?;
        let mut regions: Vec<String> = Vec::new();
        for name in names.split(',') {
            let name = name.trim_matches([' ', '\t']);
            if !valid_name(name) {
                return Err(PathError::Name);
            }
            if regions.iter().any(|r| r == name) {
                return Err(PathError::Twice);
            }
            if regions.len() == usize::from(MOST_HOPS) {
                return Err(PathError::Long);
            }
            regions.push(name.into());
        }
        match regions.last() {
            Some(last) if last == sender => Ok(Path { regions, left }),
            _ => Err(PathError::Sender),
        }
    }

    /// For the header.
    pub fn text(&self) -> String {
        format!("{};left={}", self.regions.join(", "), self.left)
    }

    /// The regions in order, the last sender last.
    pub fn regions(&self) -> &[String] {
        &self.regions
    }

    /// Hops that it may still make.
    pub fn left(&self) -> u8 {
        self.left
    }

    /// Whether a request with this path may be taken in by region `me` at all.
    pub fn enters(&self, me: &str) -> Result<(), Barred> {
        match self.regions.iter().any(|r| r == me) {
            true => Err(Barred::Been),
            false => Ok(()),
        }
    }

    /// The path with which region `me` passes a request on to `to`. `came`: the one that it came with, none from a
    /// client; those start with `hops`. What came from elsewhere never gets more hops than it had left.
    pub fn onward(came: Option<&Path>, me: &str, to: &str, hops: u8) -> Result<Path, Barred> {
        let (mut regions, left) = match came {
            None => (Vec::new(), hops.min(MOST_HOPS)),
            Some(path) => (path.regions.clone(), path.left.min(hops)),
        };
        let been = |name: &str| regions.iter().any(|r| r == name);
        if to == me || been(to) || been(me) {
            return Err(Barred::Been);
        }
        if left == 0 || regions.len() >= usize::from(MOST_HOPS) {
            return Err(Barred::Spent);
        }
        regions.push(me.into());
        Ok(Path { regions, left: left - 1 })
    }
}

#[cfg(test)]
mod tests;
