//! Decides whether new certificates and keys may replace the current ones. The host reads the files and passes their
//! metadata.

use gaugesaddle_balancer::{Micros, Time};
use thiserror::Error;

const DAY_US: u64 = 86_400 * 1_000_000;
/// Time before the expiry of a certificate at which the first warning is due.
const FIRST_WARNING: Micros = Micros(30 * DAY_US);
/// Time before the expiry of a certificate at which the second warning is due.
const SECOND_WARNING: Micros = Micros(7 * DAY_US);
/// Permission bits that grant access to a private key to users other than the owner.
const GROUP_AND_OTHERS: u32 = 0o077;
/// Permission bits that are included in an error.
const PERMISSIONS: u32 = 0o7777;

/// Properties of a certificate, its private key and the trust anchors, as read by the host. Times are wall-clock times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CredentialMetadata {
    /// Start of the validity of the region's own certificate.
    pub valid_from: Time,
    /// End of the validity of the region's own certificate.
    pub valid_until: Time,
    /// Whether the private key belongs to the certificate.
    pub key_matches: bool,
    /// Permission bits of the key file.
    pub key_mode: u32,
    /// Whether the certificate was issued for this region's name.
    pub names_own_region: bool,
    /// Number of certificates in the chain.
    pub chain_length: usize,
    /// Number of trust anchors.
    pub anchors: usize,
}

/// Why a set of files is rejected. The current credentials remain in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CredentialError {
    /// The certificate file contains no certificate: it is incomplete, or a different file.
    #[error("certificate: expected at least one certificate in PEM, found none")]
    NoCertificate,
    /// There are no trust anchors.
    #[error("trust: expected at least one certificate in PEM, found none")]
    NoAnchor,
    /// Users other than the owner may access the key file, which has these permission bits.
    #[error("key: expected a file that only its owner may read (mode 0600), got {0:04o}")]
    KeyAccessible(u32),
    /// Private key and certificate do not belong together, for example because only one of the two files was replaced so
    /// far.
    #[error("key: expected the private key of the certificate, but the two do not match")]
    KeyMismatch,
    /// The certificate was not issued for this region's name.
    #[error("certificate: expected a certificate for this region's own name")]
    WrongName,
    /// The certificate has expired.
    #[error("certificate: expected a certificate that has not expired")]
    Expired,
    /// The certificate is not yet valid.
    #[error("certificate: expected a certificate that is already valid")]
    NotYetValid,
}

/// Checks whether the files may replace the current credentials.
///
/// # Errors
/// The first check that failed.
pub fn validate(now: Time, credential_metadata: &CredentialMetadata) -> Result<(), CredentialError> {
    if credential_metadata.key_mode & GROUP_AND_OTHERS != 0 {
        return Err(CredentialError::KeyAccessible(credential_metadata.key_mode & PERMISSIONS));
    }
    if credential_metadata.chain_length == 0 {
        return Err(CredentialError::NoCertificate);
    }
    if credential_metadata.anchors == 0 {
        return Err(CredentialError::NoAnchor);
    }
    if !credential_metadata.key_matches {
        return Err(CredentialError::KeyMismatch);
    }
    if !credential_metadata.names_own_region {
        return Err(CredentialError::WrongName);
    }
    if now > credential_metadata.valid_until {
        return Err(CredentialError::Expired);
    }
    if now < credential_metadata.valid_from {
        return Err(CredentialError::NotYetValid);
    }
    Ok(())
}

/// How soon the current certificate expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Expiry {
    /// In more than 30 days.
    Distant,
    /// Within 30 days.
    Near,
    /// Within 7 days.
    Urgent,
    /// The certificate has expired: other regions reject new TLS handshakes.
    Expired,
}

impl Expiry {
    /// The expiry at `now` of a certificate that is valid until `valid_until`.
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
