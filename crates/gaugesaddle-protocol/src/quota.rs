//! Requests for tokens of tenants and what the leader lends.

use musli::{Decode, Encode};

/// One tenant's line of a request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaRequest {
    /// The tenant.
    pub tenant: String,
    /// Tokens that the proxy would like to have.
    pub tokens: u64,
    /// Tokens that it was lent and has not used yet.
    pub unused: u64,
    /// Tokens a second that the proxy has used lately, and may go on using when no leader answers.
    pub usage_rate: u64,
}

/// One tenant's line of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// The tenant.
    pub tenant: String,
    /// Tokens lent, to be used within the lease.
    pub tokens: u64,
}
