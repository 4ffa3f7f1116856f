//! Token quotas of tenants: requests of the proxies and leases granted by the leader.

use musli::{Decode, Encode};

/// A proxy's request for tokens of one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaRequest {
    /// The tenant.
    pub tenant: String,
    /// Number of tokens requested.
    pub tokens: u64,
    /// Leased tokens that the proxy has not used yet.
    pub unused: u64,
    /// Recent usage in tokens per second; the proxy may continue at this rate while no leader responds.
    pub usage_rate: u64,
}

/// The leader's grant for one tenant.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// The tenant.
    pub tenant: String,
    /// Number of tokens leased; unused tokens expire with the lease.
    pub tokens: u64,
}
