//! Tokens of tenants: the proxies' requests and the leader's leases.

use musli::{Decode, Encode};

/// A proxy's request for one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaRequest {
    /// The tenant.
    pub tenant: String,
    /// Number of tokens requested.
    pub tokens: u64,
    /// Leased tokens that it has not used yet.
    pub unused: u64,
    /// Recent usage in tokens per second; the proxy may continue at this rate while no leader responds.
    pub usage_rate: u64,
}

/// The leader's grant for one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// The tenant.
    pub tenant: String,
    /// Tokens leased, to be used within the lease.
    pub tokens: u64,
}
