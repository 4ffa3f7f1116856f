//! How long a tenant's key may be used without news, where the deployment is closed (`bounds.closed`).
//!
//! A key that was taken away must not be used `bounds.revokeMs` after the change was acknowledged, at any proxy, in touch
//! or not. A proxy knows a time of its own steady clock at which its configuration was the newest one acknowledged
//! ([`Follower::is_proven_within`](gaugesaddle_distribution::Follower::is_proven_within)); whatever took the key away was
//! acknowledged later than that. So a request that begins less than `revokeMs` after that time is never too late, and any
//! other one is refused until there is a newer proof. It is asked when the request has come in and again right before the
//! first byte of each attempt, since requests wait inside and processes sleep.

use super::fleet::Fleet;
use crate::wire::MayBegin;
use gaugesaddle_config::Tenant;
use std::rc::Rc;

/// Part of `revokeMs` for which a proof is used: clocks of two machines may run at speeds that differ by a tenth.
const PROOF_PART: f64 = 0.9;
/// Part of `revokeMs` after which a proxy without a newer proof calls itself unready: clients are sent elsewhere before it
/// has to refuse them.
const UNREADY_PART: f64 = 0.5;

/// A tenant's key that a request came with.
#[derive(Clone)]
pub struct KeyInUse {
    fleet: Rc<Fleet>,
    key: String,
    tenant: String,
}

impl KeyInUse {
    /// The key of an admitted request; `None` where the deployment is not closed or no tenant's key was given.
    pub fn of(fleet: &Rc<Fleet>, key: Option<&str>, tenant: Option<&Tenant>) -> Option<KeyInUse> {
        let (key, tenant) = (key?.to_owned(), tenant?.name.clone());
        fleet.bounds().closed.then(|| KeyInUse { fleet: fleet.clone(), key, tenant })
    }
}

impl MayBegin for KeyInUse {
    /// Whether a request on this key may be sent now: the configuration in force was the newest one less than `revokeMs`
    /// ago, and the key is still that tenant's.
    fn may_begin(&self) -> bool {
        let holds = |table: &gaugesaddle_config::RoutingTable| {
            table.tenant(&self.key).is_some_and(|tenant| tenant.name == self.tenant)
        };
        is_proven(&self.fleet, PROOF_PART) && self.fleet.table().is_some_and(|table| holds(&table))
    }
}

/// Whether requests with keys will be taken for a while; always where the deployment is not closed.
pub fn will_be_proven(fleet: &Fleet) -> bool {
    !fleet.bounds().closed || is_proven(fleet, UNREADY_PART)
}

fn is_proven(fleet: &Fleet, part: f64) -> bool {
    fleet.is_proven_within((fleet.bounds().revoke_ms as f64 * part) as u64)
}
