//! The leader's side: a token bucket a tenant.

use crate::{faded, FALLBACK, SILENCE};
use gaugesaddle_protocol::{QuotaGrant, QuotaWant};
use std::collections::BTreeMap;

/// A tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be used at once above that.
    pub burst: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    tokens: f64,
    filled: u64,
    /// When the proxy on each machine asked last, and its pace. A restarted one takes the place of the one before it,
    /// which uses nothing any more.
    paces: BTreeMap<String, (u64, f64)>,
}

/// Lends tokens. A new leader begins with empty buckets: what the last one lent may still be used.
#[derive(Clone, Debug, Default)]
pub struct Dealer {
    buckets: BTreeMap<String, Bucket>,
}

impl Dealer {
    /// Takes the limits of a configuration; tenants without one are not listed.
    pub fn configure(&mut self, now: u64, limits: &[(String, Limit)]) {
        self.buckets.retain(|tenant, _| limits.iter().any(|(t, _)| t == tenant));
        for (tenant, limit) in limits {
            match self.buckets.get_mut(tenant) {
                Some(bucket) => {
                    bucket.fill(now);
                    bucket.limit = *limit;
                    bucket.tokens = bucket.tokens.min(limit.burst);
                }
                None => {
                    let bucket = Bucket { limit: *limit, tokens: 0.0, filled: now, paces: BTreeMap::new() };
                    self.buckets.insert(tenant.clone(), bucket);
                }
            }
        }
    }

    /// Lends the proxy on a machine what it wants, as far as there is.
    pub fn lend(&mut self, now: u64, machine: &str, wants: &[QuotaWant]) -> Vec<QuotaGrant> {
        let mut grants = Vec::with_capacity(wants.len());
        for want in wants {
            let Some(bucket) = self.buckets.get_mut(&want.tenant) else { continue };
            bucket.fill(now);
            bucket.paces.insert(machine.to_owned(), (now, want.pace as f64));
            let tokens = (want.tokens as f64).min(bucket.tokens.max(0.0)).floor();
            bucket.tokens -= tokens;
            grants.push(QuotaGrant { tenant: want.tenant.clone(), tokens: tokens as u64 });
        }
        grants
    }
}

impl Bucket {
    fn fill(&mut self, now: u64) {
        let passed = now.saturating_sub(self.filled) as f64 / 1000.0;
        self.filled = now;
        self.paces.retain(|_, (asked, _)| now < *asked + FALLBACK + SILENCE);
        // Proxies that have fallen silent may go on at their pace, which fades.
        let silent = self.paces.values().filter(|(asked, _)| now >= *asked + SILENCE);
        let kept_back: f64 = silent.map(|(asked, pace)| faded(*pace, now - *asked)).sum();
        let rate = (self.limit.rate - kept_back).max(0.0);
        self.tokens = (self.tokens + rate * passed).min(self.limit.burst.max(self.limit.rate * 0.1));
    }
}
