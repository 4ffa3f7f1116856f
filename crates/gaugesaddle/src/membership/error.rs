//! Why a proxy cannot join its tier.

use gaugesaddle_membership::{KeyTooShort, TierConfigError, MIN_KEY_BYTES};
use std::path::PathBuf;

/// A larger key file is rejected.
pub(super) const MAX_KEY_BYTES: u64 = 4096;

/// Why a proxy cannot join its tier. Each text starts with the key of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// Neither the file nor the platform lists the members.
    #[error(
        "peers.addresses: missing, and the platform tells none or its settings refuse words between proxies: \
         expected the address of each proxy"
    )]
    NoAddresses,
    /// Neither the file nor the platform has an address to listen at.
    #[error("peers.listen: missing, expected an address")]
    NoListenAddress,
    /// The list of members does not contain this proxy.
    #[error("peers.addresses: expected a list with this proxy's own address")]
    NotListed,
    /// Beside loopback addresses a key is required.
    #[error("peers.key: missing, expected a key where peers.listen is no loopback address")]
    KeyRequired,
    /// The key is too short.
    #[error("peers.key: expected a longer key")]
    KeyTooShort(#[source] KeyTooShort),
    /// The list of members is invalid.
    #[error("peers.addresses: {0}")]
    Tier(#[source] TierConfigError),
    /// The system provides no random numbers. (`OsError` is no `std::error::Error` here, so it cannot be a source.)
    #[error("peers.enabled: expected random numbers: {0}")]
    Random(rand_core::OsError),
    /// The key file cannot be read.
    #[error("peers.key: expected a readable file, got {}: {source}", path.display())]
    Read {
        /// The key file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// Others than its owner may read or write the key file.
    #[error("peers.key: expected a file that only its owner may read or write, got {} with mode {mode:04o}", path.display())]
    Mode {
        /// The key file.
        path: PathBuf,
        /// Its mode.
        mode: u32,
    },
    /// The key file is too short for a secret, or too long for a key.
    #[error("peers.key: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, got {bytes} in {}", path.display())]
    Length {
        /// The key file.
        path: PathBuf,
        /// Its length, counted up to one byte over the limit.
        bytes: u64,
    },
}
