//! Limits the use of API keys without a current configuration, in closed deployments (`bounds.closed`).
//!
//! A revoked key must not be used later than `bounds.revokeMs` after the change was acknowledged, at any proxy, whether or
//! not the proxy is in contact with the control plane. Each proxy records a time of its own monotonic clock at which
//! its configuration was the newest acknowledged one, the proof
//! ([`Follower::is_proven_within`](gaugesaddle_distribution::Follower::is_proven_within)). A change that the proxy has not
//! received was acknowledged after that time. A request that begins less than `revokeMs` after the proof is therefore
//! within the bound; any other request is rejected until there is a newer proof. The proof is checked before each attempt
//! and again right before the first byte of the attempt, since requests can wait inside the process and the process can be
//! suspended.

use crate::state::{EdgeState, PROOF_FRACTION};
use gaugesaddle_config::Tenant;
use gaugesaddle_http_connection::SendGuard;
use std::rc::Rc;

/// Fraction of `revokeMs` after which a proxy without a newer proof reports that it is not ready, so that clients are sent
/// to other proxies before this one has to reject their requests.
const UNREADY_FRACTION: f64 = 0.5;

/// The API key of an admitted request, with the tenant that the key identified.
#[derive(Clone)]
pub struct ApiKeyGuard {
    state: Rc<EdgeState>,
    key: String,
    tenant: String,
}

impl ApiKeyGuard {
    /// The guard of an admitted request; `None` if the deployment is not closed or the request has no key or tenant.
    pub fn new(state: &Rc<EdgeState>, key: Option<&str>, tenant: Option<&Tenant>) -> Option<ApiKeyGuard> {
        let key = key?.to_owned();
        let tenant = tenant?.name.clone();
        let is_closed = state.boot.bounds.fail_closed;
        is_closed.then(|| ApiKeyGuard { state: state.clone(), key, tenant })
    }

    fn key_identifies_tenant(&self) -> bool {
        let table = self.state.routing_table();
        table.is_some_and(|table| table.tenant(&self.key).is_some_and(|t| t.name == self.tenant))
    }
}

impl SendGuard for ApiKeyGuard {
    /// Whether a request with this key may be sent now: the proof is recent enough, and the key still identifies the same
    /// tenant.
    fn may_send(&self) -> bool {
        is_proven(&self.state, PROOF_FRACTION) && self.key_identifies_tenant()
    }
}

/// Whether the proof is recent enough for the proxy to be ready; always true if the deployment is not closed.
pub fn accepts_keys(state: &EdgeState) -> bool {
    !state.boot.bounds.fail_closed || is_proven(state, UNREADY_FRACTION)
}

/// Whether the proof is more recent than a fraction of `revokeMs`.
fn is_proven(state: &EdgeState, fraction: f64) -> bool {
    state.is_proven_within((state.boot.bounds.revoke_ms as f64 * fraction) as u64)
}
