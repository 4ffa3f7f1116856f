//! Token use at a proxy: the tokens leased to it, and its requests for more.

use crate::{decayed, CONTACT_TIMEOUT_MS, FALLBACK_MS, LEASE_MS, SMOOTHING_MS};
use gaugesaddle_protocol::{QuotaGrant, QuotaRequest};
use std::collections::{BTreeMap, VecDeque};

/// How far ahead tokens are requested, in seconds of the current usage rate.
const PREFETCH_S: f64 = 0.5;
/// Maximum time for which the reserve is refilled at once, in milliseconds.
const MAX_REFILL_MS: u64 = 1000;

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted, and its tokens are deducted.
    Granted,
    /// It is not admitted: there are not enough tokens. The leader may lease more.
    Insufficient,
}

/// The tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct Lease {
    expires_ms: u64,
    tokens: f64,
}

/// A usage rate that was sent to the leader.
#[derive(Clone, Copy, Debug, Default)]
struct SentRate {
    at_ms: u64,
    /// Tokens per second.
    usage_rate: f64,
}

#[derive(Clone, Debug, Default)]
struct TenantAllowance {
    /// In the order in which they expire.
    leases: VecDeque<Lease>,
    /// Smoothed usage in tokens per second, as of `usage_rate_ms`.
    usage_rate: f64,
    usage_rate_ms: u64,
    /// The last request to the leader.
    requested: SentRate,
    /// The last request that the leader answered: it reserves tokens for this proxy at that rate.
    acknowledged: SentRate,
    /// Tokens that queued requests lack.
    deficit: f64,
    /// Tokens that may be used without a leader, as of `reserve_ms`. Below zero after a request larger than the reserve.
    reserve: f64,
    reserve_ms: u64,
}

/// The tokens of all tenants at one proxy.
///
/// ```text
///             no answer for CONTACT_TIMEOUT_MS           for FALLBACK_MS more
///  connected ----------------------------> fallback ----------------------> isolated
///  leased tokens only                      and the reserve, refilled at     and the reserve, refilled at
///   ^                                      the decaying acknowledged rate   the floor only
///   +------------ answer --------------------+----------------------------------+
/// ```
#[derive(Clone, Debug, Default)]
pub struct TokenAllowance {
    tenants: BTreeMap<String, TenantAllowance>,
    /// When the last request that the leader answered was sent, in milliseconds.
    answered_ms: u64,
    /// Tokens per second and tenant that a proxy may use without a leader at any time, taken from the slack of the
    /// limit.
    floor: f64,
}

impl TokenAllowance {
    /// Sets the tenants with a limit, and the floor in tokens per second; other tenants are dropped.
    pub fn configure(&mut self, tenants: &[String], floor: f64) {
        self.floor = floor;
        self.tenants.retain(|t, _| tenants.contains(t));
        for tenant in tenants {
            self.tenants.entry(tenant.clone()).or_default();
        }
    }

    /// Deducts the `cost` in tokens of a request at `now` (milliseconds). Requests of a tenant without a limit are
    /// always granted.
    pub fn take(&mut self, now: u64, tenant: &str, cost: u64) -> Admission {
        let leader_lost_ms = self.answered_ms + CONTACT_TIMEOUT_MS;
        let floor = self.floor;
        let Some(tenant) = self.tenants.get_mut(tenant) else { return Admission::Granted };
        tenant.drop_expired(now);
        let cost = cost as f64;
        if tenant.take_leased(cost) {
            tenant.record_usage(now, cost);
            return Admission::Granted;
        }
        if now < leader_lost_ms {
            return Admission::Insufficient;
        }
        let is_fallback = now < leader_lost_ms + FALLBACK_MS;
        let refill_rate = if is_fallback { tenant.fallback_rate(now).max(floor) } else { floor };
        if tenant.take_reserve(now, leader_lost_ms, refill_rate, cost) {
            Admission::Granted
        } else {
            Admission::Insufficient
        }
    }

    /// Records that a request is queued until there are `cost` tokens for it.
    pub fn add_deficit(&mut self, tenant: &str, cost: u64) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.deficit = (tenant.deficit + cost as f64).max(0.0);
        }
    }

    /// Records that a request recorded by [`TokenAllowance::add_deficit`] is no longer queued.
    pub fn remove_deficit(&mut self, tenant: &str, cost: u64) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.deficit = (tenant.deficit - cost as f64).max(0.0);
        }
    }

    /// The requests to send to the leader at `now` (milliseconds): one for each tenant that needs tokens or has used
    /// some recently.
    pub fn requests(&mut self, now: u64) -> Vec<QuotaRequest> {
        let mut requests = Vec::new();
        for (name, tenant) in &mut self.tenants {
            tenant.drop_expired(now);
            tenant.decay_usage_rate(now);
            let unused = tenant.unused();
            let needed = tenant.deficit + tenant.usage_rate * PREFETCH_S - unused;
            if needed < 1.0 && tenant.usage_rate < 1.0 {
                continue;
            }
            tenant.requested = SentRate { at_ms: now, usage_rate: tenant.usage_rate };
            requests.push(QuotaRequest {
                tenant: name.clone(),
                tokens: needed.max(0.0) as u64,
                unused: unused.ceil() as u64,
                usage_rate: tenant.usage_rate.ceil() as u64,
            });
        }
        requests
    }

    /// Whether requests are queued for tokens.
    pub fn has_deficit(&self) -> bool {
        self.tenants.values().any(|tenant| tenant.deficit > 0.0)
    }

    /// Records the leader's answer to the requests sent at `requested_ms`. The leases start at that time, so they end
    /// here no later than at the leader.
    pub fn record_grants(&mut self, requested_ms: u64, grants: &[QuotaGrant]) {
        self.answered_ms = self.answered_ms.max(requested_ms);
        for grant in grants {
            let Some(tenant) = self.tenants.get_mut(&grant.tenant) else { continue };
            if tenant.requested.at_ms == requested_ms {
                tenant.acknowledged = tenant.requested;
            }
            if grant.tokens > 0 {
                let lease = Lease { expires_ms: requested_ms + LEASE_MS, tokens: grant.tokens as f64 };
                tenant.leases.push_back(lease);
            }
        }
    }
}

impl TenantAllowance {
    /// The rate without a leader, in tokens per second: the acknowledged rate with the same decay as at the leader,
    /// regardless of the usage since.
    fn fallback_rate(&self, now: u64) -> f64 {
        decayed(self.acknowledged.usage_rate, now.saturating_sub(self.acknowledged.at_ms))
    }

    fn drop_expired(&mut self, now: u64) {
        while self.leases.front().is_some_and(|lease| lease.expires_ms <= now) {
            self.leases.pop_front();
        }
    }

    /// The number of leased tokens that are not used yet.
    fn unused(&self) -> f64 {
        self.leases.iter().map(|lease| lease.tokens).sum()
    }

    /// Deducts leased tokens, those that expire first; false where there are too few.
    fn take_leased(&mut self, cost: f64) -> bool {
        if self.unused() < cost {
            return false;
        }
        let mut remaining = cost;
        while let Some(lease) = self.leases.front_mut() {
            if lease.tokens > remaining {
                lease.tokens -= remaining;
                break;
            }
            remaining -= lease.tokens;
            self.leases.pop_front();
        }
        true
    }

    /// Deducts tokens from the reserve, which is refilled at `refill_rate` (tokens per second) since the leader was
    /// lost. A request may cost more than the reserve, which is then negative.
    fn take_reserve(&mut self, now: u64, leader_lost_ms: u64, refill_rate: f64, cost: f64) -> bool {
        if self.reserve_ms < leader_lost_ms {
            // Tokens left from an earlier loss of contact are dropped, since the leader reserved them only for that
            // time.
            self.reserve_ms = leader_lost_ms;
            self.reserve = self.reserve.min(0.0);
        }
        let elapsed_ms = now.saturating_sub(self.reserve_ms).min(MAX_REFILL_MS);
        self.reserve_ms = now;
        let refill = refill_rate * (elapsed_ms as f64 / 1000.0);
        self.reserve = (self.reserve + refill).min(refill_rate);
        if self.reserve <= 0.0 {
            return false;
        }
        self.reserve -= cost;
        true
    }

    fn record_usage(&mut self, now: u64, cost: f64) {
        self.decay_usage_rate(now);
        self.usage_rate += cost / (SMOOTHING_MS / 1000.0);
    }

    fn decay_usage_rate(&mut self, now: u64) {
        self.usage_rate = decayed(self.usage_rate, now.saturating_sub(self.usage_rate_ms));
        self.usage_rate_ms = now;
    }
}
