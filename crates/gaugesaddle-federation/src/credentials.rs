//! Which certificates and keys may replace those in use. The host reads the files; this decides from what it found.

use gaugesaddle_balancer::{Micros, Time};
use thiserror::Error;

const DAY_US: u64 = 86_400 * 1_000_000;
/// First warning before a certificate expires.
const FIRST_WARNING: Micros = Micros(30 * DAY_US);
/// Second warning.
const SECOND_WARNING: Micros = Micros(7 * DAY_US);
/// Permission bits that let others than the owner access a private key.
const GROUP_AND_OTHERS: u32 = 0o077;
/// Permission bits that an error shows.
const PERMISSIONS: u32 = 0o7777;

/// What the host found in a set of files. Times are wall-clock times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CredentialMetadata {
    /// First moment at which the own certificate is valid.
    pub valid_from: Time,
    /// Last moment at which it is valid.
    pub valid_until: Time,
    /// The private key belongs to the certificate.
    pub key_matches: bool,
    /// Permission bits of the key file.
    pub key_mode: u32,
    /// The certificate names this region.
    pub names_own_region: bool,
    /// Certificates in the chain.
    pub chain_length: usize,
    /// Trust anchors.
    pub anchors: usize,
}

/// Why a set of files is not taken into use; the credentials in use stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CredentialError {
    /// The file is incomplete, or another one.
    #[error("certificate: expected at least one in PEM")]
    NoCertificate,
    /// There is no authority to trust.
    #[error("trust: expected at least one certificate in PEM")]
    NoAnchor,
    /// Others may access the key; with the permission bits.
    #[error("key: expected a file that only its owner may read (mode 0600), got {0:04o}")]
    KeyAccessible(u32),
    /// One of certificate and key was replaced and the other not yet.
    #[error("key: expected the private key of the certificate; the two do not match")]
    KeyMismatch,
    /// The certificate is another region's.
    #[error("certificate: expected one for this region's own name")]
    WrongName,
    /// It is no longer valid.
    #[error("certificate: expected one that has not expired")]
    Expired,
    /// It is not valid yet.
    #[error("certificate: expected one that is already valid")]
    NotYetValid,
}

/// Whether the files may be taken into use.
///
/// # Errors
/// The first thing that is wrong with them.
pub fn validate(now: Time, facts: &CredentialMetadata) -> Result<(), CredentialError> {
    if facts.key_mode & GROUP_AND_OTHERS != 0 {
        return Err(CredentialError::KeyAccessible(facts.key_mode & PERMISSIONS));
    }
    if facts.chain_length == 0 {
        return Err(CredentialError::NoCertificate);
    }
    if facts.anchors == 0 {
        return Err(CredentialError::NoAnchor);
    }
    if !facts.key_matches {
        return Err(CredentialError::KeyMismatch);
    }
    if !facts.names_own_region {
        return Err(CredentialError::WrongName);
    }
    if now > facts.valid_until {
        return Err(CredentialError::Expired);
    }
    if now < facts.valid_from {
        return Err(CredentialError::NotYetValid);
    }
    Ok(())
}

/// How soon the certificate in use expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Expiry {
    /// In more than 30 days.
    Distant,
    /// Within 30 days.
    Near,
    /// Within 7 days.
    Urgent,
    /// It has expired: peers reject new handshakes.
    Expired,
}

impl Expiry {
    /// As of `now`, for a certificate that is valid until `valid_until`.
    pub fn of(now: Time, valid_until: Time) -> Expiry {
        if now > valid_until {
            return Expiry::Expired;
        }
        match valid_until - now {
            remaining if remaining <= SECOND_WARNING => Expiry::Urgent,
            remaining if remaining <= FIRST_WARNING => Expiry::Near,
            _ => Expiry::Distant,
        }
    }
}

#[cfg(test)]
mod tests;
