//! A proxy's side: tokens lent, and what to ask for.

use crate::{faded, CONTACT_TIMEOUT_MS, FALLBACK_MS, LEASE_MS, SMOOTHING_MS};
use gaugesaddle_protocol::{QuotaGrant, QuotaRequest};
use std::collections::{BTreeMap, VecDeque};

/// Tokens are asked for ahead for so long, in seconds of the present pace.
const AHEAD: f64 = 0.5;

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Its tokens are taken.
    Granted,
    /// There are not enough; the leader may lend more.
    Insufficient,
}

#[derive(Clone, Debug, Default)]
struct TenantAllowance {
    /// Tokens lent and until when they may be used.
    leased: VecDeque<(u64, f64)>,
    /// Tokens a second used lately, and when that was reckoned.
    usage_rate: f64,
    reckoned: u64,
    /// When the leader was asked last, and the pace that it was told.
    requested: (u64, f64),
    /// The same, for the last time that it answered: what it keeps back for this proxy.
    acknowledged: (u64, f64),
    /// Tokens that waiting requests lack.
    deficit: f64,
    /// Tokens that may be used without a leader, and when they were reckoned.
    reserve: f64,
    filled: u64,
}

/// The tokens of all tenants at one proxy.
#[derive(Clone, Debug, Default)]
pub struct TokenAllowance {
    tenants: BTreeMap<String, TenantAllowance>,
    answered: u64,
    /// Tokens a second and tenant that a proxy may use at any time, out of the slack of the rule.
    floor: f64,
}

impl TokenAllowance {
    /// Forgets tenants that have no limit any more, and sets the floor, in tokens a second.
    pub fn configure(&mut self, tenants: &[String], floor: f64) {
        self.floor = floor;
        self.tenants.retain(|t, _| tenants.contains(t));
        for tenant in tenants {
            self.tenants.entry(tenant.clone()).or_default();
        }
    }

    /// Takes the tokens of a request.
    pub fn take(&mut self, now: u64, tenant: &str, cost: u64) -> Admission {
        let led = now < self.answered + CONTACT_TIMEOUT_MS;
        let alone_since = self.answered + CONTACT_TIMEOUT_MS;
        let alone_until = alone_since + FALLBACK_MS;
        let floor = self.floor;
        let Some(tenant) = self.tenants.get_mut(tenant) else { return Admission::Granted };
        tenant.expire(now);
        let cost = cost as f64;
        if tenant.take(cost) {
            tenant.record(now, cost);
            return Admission::Granted;
        }
        if !led {
            let usage_rate = if now < alone_until { tenant.pace_alone(now).max(floor) } else { floor };
            if tenant.take_reserve(now, alone_since, usage_rate, cost) {
                return Admission::Granted;
            }
        }
        Admission::Insufficient
    }

    /// A request waits for that many tokens, or does no more.
    pub fn adjust_deficit(&mut self, tenant: &str, cost: u64, waits: bool) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            let sign = if waits { 1.0 } else { -1.0 };
            tenant.deficit = (tenant.deficit + sign * cost as f64).max(0.0);
        }
    }

    /// What to ask the leader for.
    pub fn requests(&mut self, now: u64) -> Vec<QuotaRequest> {
        let mut requests = Vec::new();
        for (name, tenant) in &mut self.tenants {
            tenant.expire(now);
            tenant.decay(now);
            let unused: f64 = tenant.leased.iter().map(|(_, n)| n).sum();
            let wanted = tenant.deficit + tenant.usage_rate * AHEAD - unused;
            if wanted >= 1.0 || tenant.usage_rate >= 1.0 {
                tenant.requested = (now, tenant.usage_rate);
                let (tokens, usage_rate) = (wanted.max(0.0) as u64, tenant.usage_rate.ceil() as u64);
                requests.push(QuotaRequest {
                    tenant: name.clone(),
                    tokens,
                    unused: unused.ceil() as u64,
                    usage_rate,
                });
            }
        }
        requests
    }

    /// Whether requests wait.
    pub fn has_deficit(&self) -> bool {
        self.tenants.values().any(|p| p.deficit > 0.0)
    }

    /// The leader's answer to wants that were sent at `asked`.
    pub fn granted(&mut self, asked: u64, grants: &[QuotaGrant]) {
        self.answered = self.answered.max(asked);
        for grant in grants {
            let Some(tenant) = self.tenants.get_mut(&grant.tenant) else { continue };
            if tenant.requested.0 == asked {
                tenant.acknowledged = tenant.requested;
            }
            if grant.tokens > 0 {
                tenant.leased.push_back((asked + LEASE_MS, grant.tokens as f64));
            }
        }
    }
}

impl TenantAllowance {
    /// The pace without a leader: the one that it was told, fading as it does there, whatever was used since.
    fn pace_alone(&self, now: u64) -> f64 {
        faded(self.acknowledged.1, now.saturating_sub(self.acknowledged.0))
    }

    fn expire(&mut self, now: u64) {
        while self.leased.front().is_some_and(|(until, _)| *until <= now) {
            self.leased.pop_front();
        }
    }

    fn take(&mut self, cost: f64) -> bool {
        if self.leased.iter().map(|(_, n)| n).sum::<f64>() < cost {
            return false;
        }
        let mut left = cost;
        while let Some((_, tokens)) = self.leased.front_mut() {
            if *tokens > left {
                *tokens -= left;
                break;
            }
            left -= *tokens;
            self.leased.pop_front();
        }
        true
    }

    /// Uses what the pace has brought since the leader fell silent; a request may go into debt by its own cost.
    fn take_reserve(&mut self, now: u64, alone_since: u64, usage_rate: f64, cost: f64) -> bool {
        if self.filled < alone_since {
            // What an earlier silence has left was kept back then.
            self.filled = alone_since;
            self.reserve = self.reserve.min(0.0);
        }
        let passed = now.saturating_sub(self.filled).min(1000) as f64 / 1000.0;
        self.filled = now;
        self.reserve = (self.reserve + usage_rate * passed).min(usage_rate);
        if self.reserve <= 0.0 {
            return false;
        }
        self.reserve -= cost;
        true
    }

    fn record(&mut self, now: u64, cost: f64) {
        self.decay(now);
        self.usage_rate += cost / (SMOOTHING_MS / 1000.0);
    }

    fn decay(&mut self, now: u64) {
        self.usage_rate = faded(self.usage_rate, now.saturating_sub(self.reckoned));
        self.reckoned = now;
    }
}
