//! How long a tenant's key may be used without news of the configuration, on closed deployments (`bounds.closed`).
//!
//! A revoked key must not be used later than `bounds.revokeMs` after the change was acknowledged, at any proxy, in
//! contact with the control plane or not. A proxy knows a time of its own steady clock at which its configuration was the
//! newest acknowledged one
//! ([`Follower::is_proven_within`](gaugesaddle_distribution::Follower::is_proven_within)); whatever revoked the key was
//! acknowledged later than that. So a request that begins less than `revokeMs` after that time is never too late, and any
//! other one is rejected until there is a newer proof. This is checked when the request has been read and again right
//! before the first byte of each attempt, since requests wait inside the process and processes are suspended.

use crate::state::EdgeState;
use gaugesaddle_config::Tenant;
use gaugesaddle_http_connection::SendGuard;
use std::rc::Rc;

/// Fraction of `revokeMs` for which a proof is used: clocks of two machines may differ in rate by a tenth.
const PROOF_FRACTION: f64 = 0.9;
/// Fraction of `revokeMs` after which a proxy without a newer proof reports unready, so that clients are sent elsewhere
/// before it has to reject them.
const UNREADY_FRACTION: f64 = 0.5;

/// The key of a request under way, with the tenant that it was accepted for.
#[derive(Clone)]
pub struct ApiKeyGuard {
    state: Rc<EdgeState>,
    key: String,
    tenant: String,
}

impl ApiKeyGuard {
    /// The guard of an admitted request; `None` where the deployment is not closed or the request has no tenant.
    pub fn new(state: &Rc<EdgeState>, key: Option<&str>, tenant: Option<&Tenant>) -> Option<ApiKeyGuard> {
        let key = key?.to_owned();
        let tenant = tenant?.name.clone();
        let is_closed = state.boot.bounds.fail_closed;
        is_closed.then(|| ApiKeyGuard { state: state.clone(), key, tenant })
    }

    fn is_still_the_tenants(&self) -> bool {
        let table = self.state.routing_table();
        table.is_some_and(|table| table.tenant(&self.key).is_some_and(|t| t.name == self.tenant))
    }
}

impl SendGuard for ApiKeyGuard {
    /// Whether a request with this key may be sent now: the configuration in force was the newest one less than
    /// `revokeMs` ago, and the key still belongs to that tenant.
    fn may_send(&self) -> bool {
        is_proven(&self.state, PROOF_FRACTION) && self.is_still_the_tenants()
    }
}

/// Whether requests with keys will be accepted for a while; always true where the deployment is not closed.
pub fn accepts_keys(state: &EdgeState) -> bool {
    !state.boot.bounds.fail_closed || is_proven(state, UNREADY_FRACTION)
}

fn is_proven(state: &EdgeState, fraction: f64) -> bool {
    state.is_proven_within((state.boot.bounds.revoke_ms as f64 * fraction) as u64)
}
