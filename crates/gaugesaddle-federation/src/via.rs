//! The regions that a request has passed through, and the rule that prevents loops.
//!
//! As a header: `Region-Path: north, south;left=1`. Names in the order of the hops, the sender last, then the number of
//! further hops that the request may make. Only an authenticated gateway is believed. It has the shape of CDN-Loop (RFC
//! 8586) without being it: that header must be forwarded whoever wrote it, and this one must not.

use thiserror::Error;

/// Maximum number of regions that may be configured.
pub const MAX_REGIONS: usize = 16;
/// Maximum number of hops that may be configured; more would use up the deadline in transit.
pub const MAX_HOPS: u8 = 4;
/// Maximum length of a region's name, in bytes.
const MAX_NAME_BYTES: usize = 32;
/// Maximum length of the header's value: the longest list of regions with its separators, in bytes.
pub const MAX_HEADER_BYTES: usize = (MAX_HOPS as usize + 1) * (MAX_NAME_BYTES + 2) + 8;
/// Precedes the number of hops.
const HOPS_SEPARATOR: &str = ";left=";

/// Whether this may be a region's name: lower-case letters, digits and inner hyphens.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(is_allowed)
        && !name.starts_with('-')
        && !name.ends_with('-')
}

/// The regions that a request has left, in order, and the hops that it may still make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Via {
    regions: Vec<String>,
    remaining_hops: u8,
}

/// Why a header cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ViaError {
    /// Longer than [`MAX_HEADER_BYTES`], or more than [`MAX_HOPS`] regions.
    #[error("Region-Path: expected up to {MAX_HEADER_BYTES} bytes and {MAX_HOPS} regions")]
    TooLong,
    /// An entry is not a region's name.
    #[error("Region-Path: expected names of lower-case letters, digits and hyphens, separated by commas")]
    InvalidName,
    /// A region is in it twice: the request has looped already.
    #[error("Region-Path: expected each region once")]
    DuplicateRegion,
    /// The number of hops is missing, not a number, or too high.
    #[error("Region-Path: expected ;left= and a number from 0 to {MAX_HOPS} at its end")]
    InvalidHops,
    /// The last region is not the one that the sender's certificate names.
    #[error("Region-Path: expected the sender's own region last")]
    WrongSender,
}

/// Why a request may not be forwarded to a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Ineligible {
    /// It has been there, or comes from there.
    #[error("the request has been in that region")]
    AlreadyVisited,
    /// It may make no further hop.
    #[error("the request may make no further hop")]
    HopsExhausted,
}

fn parse_hops(text: &str) -> Option<u8> {
    match text.as_bytes() {
        [digit] if digit.is_ascii_digit() => Some(digit - b'0').filter(|hops| *hops <= MAX_HOPS),
        _ => None,
    }
}

impl Via {
    /// Reads the header of a request that came from the region `sender`.
    ///
    /// # Errors
    /// What is wrong with it; see [`ViaError`].
    pub fn parse(header: &str, sender: &str) -> Result<Via, ViaError> {
        if header.len() > MAX_HEADER_BYTES {
            return Err(ViaError::TooLong);
        }
        let (names, hops) = header.rsplit_once(HOPS_SEPARATOR).ok_or(ViaError::InvalidHops)?;
        let remaining_hops = parse_hops(hops).ok_or(ViaError::InvalidHops)?;
        let mut regions: Vec<String> = Vec::new();
        for name in names.split(',') {
            let name = name.trim_matches([' ', '\t']);
            if !is_valid_name(name) {
                return Err(ViaError::InvalidName);
            }
            if regions.iter().any(|region| region == name) {
                return Err(ViaError::DuplicateRegion);
            }
            if regions.len() == usize::from(MAX_HOPS) {
                return Err(ViaError::TooLong);
            }
            regions.push(name.into());
        }
        match regions.last() {
            Some(last) if last == sender => Ok(Via { regions, remaining_hops }),
            _ => Err(ViaError::WrongSender),
        }
    }

    /// The header's value.
    pub fn header_value(&self) -> String {
        format!("{}{HOPS_SEPARATOR}{}", self.regions.join(", "), self.remaining_hops)
    }

    /// The regions in order, the last sender last.
    pub fn regions(&self) -> &[String] {
        &self.regions
    }

    /// Hops that the request may still make.
    pub fn remaining_hops(&self) -> u8 {
        self.remaining_hops
    }

    fn has_visited(&self, region: &str) -> bool {
        self.regions.iter().any(|visited| visited == region)
    }

    /// Whether the region `local` may accept a request that came this way.
    ///
    /// # Errors
    /// [`Ineligible::AlreadyVisited`] where it has been there.
    pub fn check_entry(&self, local: &str) -> Result<(), Ineligible> {
        if self.has_visited(local) {
            Err(Ineligible::AlreadyVisited)
        } else {
            Ok(())
        }
    }

    /// The header with which the region `local` forwards a request to the region `to`. `incoming` is what it came with,
    /// `None` from a client; a client's request may make `max_hops` hops. A forwarded one never gets more hops than it had.
    ///
    /// # Errors
    /// Why it may not be forwarded.
    pub fn next_hop(incoming: Option<&Via>, local: &str, to: &str, max_hops: u8) -> Result<Via, Ineligible> {
        let mut via = match incoming {
            None => Via { regions: Vec::new(), remaining_hops: max_hops.min(MAX_HOPS) },
            Some(via) => {
                Via { regions: via.regions.clone(), remaining_hops: via.remaining_hops.min(max_hops) }
            }
        };
        if to == local || via.has_visited(to) || via.has_visited(local) {
            return Err(Ineligible::AlreadyVisited);
        }
        if via.remaining_hops == 0 || via.regions.len() >= usize::from(MAX_HOPS) {
            return Err(Ineligible::HopsExhausted);
        }
        via.regions.push(local.into());
        via.remaining_hops -= 1;
        Ok(via)
    }
}

#[cfg(test)]
mod tests;
