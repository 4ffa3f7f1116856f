//! Errors that prevent a proxy from joining its tier.

use gaugesaddle_membership::{KeyTooShort, TierConfigError, MIN_KEY_BYTES};
use std::path::PathBuf;

/// Maximum size of the key file.
pub(super) const MAX_KEY_BYTES: u64 = 4096;

/// An error that prevents a proxy from joining its tier. Each text starts with the key of the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// Neither the operator's file nor the platform lists the members.
    #[error(
        "peers.addresses: missing, and the platform lists no proxies or does not allow messages between them: \
         expected the address of each proxy"
    )]
    NoAddresses,
    /// Neither the operator's file nor the platform has a listen address.
    #[error("peers.listen: missing, expected the address of the datagram socket")]
    NoListenAddress,
    /// The list of members does not contain this proxy.
    #[error("peers.addresses: expected a list with this proxy's own address")]
    NotListed,
    /// A key is required unless the listen address is a loopback address.
    #[error("peers.key: missing, expected a key file because peers.listen is not a loopback address")]
    KeyRequired,
    /// The key is too short.
    #[error("peers.key: expected a key of at least {MIN_KEY_BYTES} bytes")]
    KeyTooShort(#[source] KeyTooShort),
    /// The list of members is invalid.
    #[error("peers.addresses: {0}")]
    Tier(#[source] TierConfigError),
    /// The system provides no random numbers. (`OsError` does not implement `std::error::Error` here, so it cannot be a
    /// source.)
    #[error("peers.enabled: expected random numbers from the operating system: {0}")]
    Random(rand_core::OsError),
    /// The key file cannot be read.
    #[error("peers.key: expected a readable file, got {}: {source}", path.display())]
    Read {
        /// Path of the key file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Users other than its owner may read or write the key file.
    #[error("peers.key: expected a file that only its owner may read or write, got {} with mode {mode:04o}", path.display())]
    Mode {
        /// Path of the key file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The key file is too short or too long.
    #[error("peers.key: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, got {bytes} in {}", path.display())]
    Length {
        /// Path of the key file.
        path: PathBuf,
        /// Its length in bytes, counted up to one byte over the limit.
        bytes: u64,
    },
}
