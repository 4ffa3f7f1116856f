//! The regions that a request has passed through, and the rule that prevents loops.
//!
//! The header is `Region-Path: north, south;left=1`: the region names in the order of the hops, the sender last, then the
//! number of further hops that the request may make. It is accepted from authenticated gateways only. It resembles CDN-Loop
//! (RFC 8586) but is a separate header, because CDN-Loop must be forwarded regardless of its origin, and this header must
//! not.

use thiserror::Error;

/// Maximum number of regions that may be configured.
pub const MAX_REGIONS: usize = 16;
/// Maximum number of hops that may be configured; with more, the deadline would be spent in transit.
pub const MAX_HOPS: u8 = 4;
/// Maximum length of a region's name, in bytes.
const MAX_NAME_BYTES: usize = 32;
/// Maximum length of the header value in bytes: the longest list of regions with its separators.
pub const MAX_HEADER_BYTES: usize = (MAX_HOPS as usize + 1) * (MAX_NAME_BYTES + 2) + 8;
/// Separates the region names from the number of remaining hops.
const HOPS_SEPARATOR: &str = ";left=";

/// Whether `name` is a valid region name: lower-case letters, digits, and hyphens that are neither first nor last.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(is_allowed)
        && !name.starts_with('-')
        && !name.ends_with('-')
}

/// The regions that have forwarded a request, in order, and the number of hops that it may still make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Via {
    regions: Vec<String>,
    remaining_hops: u8,
}

/// Why a `Region-Path` header is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ViaError {
    /// Longer than [`MAX_HEADER_BYTES`], or more than [`MAX_HOPS`] regions.
    #[error("Region-Path: expected up to {MAX_HEADER_BYTES} bytes and {MAX_HOPS} regions")]
    TooLong,
    /// An entry is not a region's name.
    #[error(
        "Region-Path: expected region names of lower-case letters, digits and hyphens, separated by commas"
    )]
    InvalidName,
    /// A region is listed twice: the request has already looped.
    #[error("Region-Path: expected each region once, found a duplicate")]
    DuplicateRegion,
    /// The number of remaining hops is missing, not a number, or too high.
    #[error("Region-Path: expected ;left= and a number from 0 to {MAX_HOPS} at its end")]
    InvalidHops,
    /// The last region differs from the one in the sender's certificate.
    #[error("Region-Path: expected the region of the sender's certificate as the last entry")]
    WrongSender,
}

/// Why a request may not be forwarded to a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Ineligible {
    /// The request has visited the region, or originates there.
    #[error("the request has already visited the region")]
    AlreadyVisited,
    /// The request may make no further hop.
    #[error("the request has no remaining hops")]
    HopsExhausted,
}

fn parse_hops(text: &str) -> Option<u8> {
    match text.as_bytes() {
        [digit] if digit.is_ascii_digit() => Some(digit - b'0').filter(|hops| *hops <= MAX_HOPS),
        _ => None,
    }
}

impl Via {
    /// Parses the header of a request that was received from the region `sender`.
    ///
    /// # Errors
    /// The header is invalid; see [`ViaError`].
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

    /// Checks whether the region `local` may accept a request with this header.
    ///
    /// # Errors
    /// [`Ineligible::AlreadyVisited`] if the request has already visited `local`.
    pub fn check_entry(&self, local: &str) -> Result<(), Ineligible> {
        if self.has_visited(local) {
            Err(Ineligible::AlreadyVisited)
        } else {
            Ok(())
        }
    }

    /// The header with which the region `local` forwards a request to the region `to`. `incoming` is the header that the
    /// request was received with, `None` for a request of a client, which may make `max_hops` hops. Forwarding never raises
    /// the number of remaining hops.
    ///
    /// # Errors
    /// The request may not be forwarded to `to`; see [`Ineligible`].
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
