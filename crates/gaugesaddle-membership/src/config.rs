//! The static configuration of a tier: the addresses of its members and the identity of this one.

use crate::auth::Authenticator;
use crate::settings::MAX_MEMBERS;
use crate::wire::MAX_NAME_BYTES;
use std::collections::HashSet;
use std::net::SocketAddr;

/// The members of a tier. The list is fixed for the lifetime of a process; the protocol determines which of them
/// are live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TierConfig {
    /// The address of each member, in an order that all members share. A position in this list is a member's index.
    pub addresses: Vec<SocketAddr>,
    /// The index of this process.
    pub own_index: u16,
    /// An address that reaches all members, if there is one.
    pub broadcast_address: Option<SocketAddr>,
    /// This proxy's name, at most [`MAX_NAME_BYTES`].
    pub name: String,
    /// Its zone, at most [`MAX_NAME_BYTES`].
    pub zone: String,
}

/// Why a [`TierConfig`] is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TierConfigError {
    /// There is no address, or there are more than [`MAX_MEMBERS`].
    #[error("expected 1 to {MAX_MEMBERS} addresses")]
    AddressCount,
    /// The index of this process is not in the list.
    #[error("expected a list with this proxy's own address")]
    OwnIndex,
    /// An address occurs twice.
    #[error("expected each address once, got {0} twice")]
    DuplicateAddress(SocketAddr),
    /// The name or the zone is too long, or has a character other than printable ASCII.
    #[error(
        "expected a name and a zone of at most {MAX_NAME_BYTES} printable ASCII characters without spaces"
    )]
    Name,
    /// An address is not a loopback address, and there is no key: any host could impersonate a member.
    #[error("expected only loopback addresses without a key, got {0}")]
    KeyRequired(SocketAddr),
}

impl TierConfig {
    pub(crate) fn check(&self, auth: &Authenticator) -> Result<(), TierConfigError> {
        if !(1..=MAX_MEMBERS).contains(&self.addresses.len()) {
            return Err(TierConfigError::AddressCount);
        }
        if usize::from(self.own_index) >= self.addresses.len() {
            return Err(TierConfigError::OwnIndex);
        }
        let mut seen = HashSet::new();
        if let Some(duplicate) = self.addresses.iter().find(|address| !seen.insert(**address)) {
            return Err(TierConfigError::DuplicateAddress(*duplicate));
        }
        if !is_valid_name(&self.name) || !is_valid_name(&self.zone) {
            return Err(TierConfigError::Name);
        }
        let mut addresses = self.addresses.iter().chain(&self.broadcast_address);
        match addresses.find(|address| !address.ip().is_loopback()) {
            Some(address) if !auth.is_keyed() => Err(TierConfigError::KeyRequired(*address)),
            _ => Ok(()),
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES && name.bytes().all(|byte| byte.is_ascii_graphic())
}
