//! The leader's side: a token bucket a tenant.

use crate::{faded, CONTACT_TIMEOUT_MS, FALLBACK_MS, LEASE_MS, SMOOTHING_MS};
use gaugesaddle_protocol::{QuotaGrant, QuotaRequest};
use std::collections::BTreeMap;

/// A bucket holds at least what the rate brings in so many seconds, however small the burst.
const MIN_BUCKET: f64 = 0.1;

/// A tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be used at once above that.
    pub burst: f64,
}

/// What is known of the proxy on a machine. A restarted one takes the place of the one before it, which uses nothing any
/// more.
#[derive(Clone, Copy, Debug)]
struct Borrower {
    /// When it asked last.
    asked: u64,
    /// Its pace, in tokens a second.
    usage_rate: f64,
    /// Tokens that it may still use: those that it had not used when it asked, and what it was lent then.
    unused: f64,
}

impl Borrower {
    /// What it may have used at its fading pace between two times, if it has fallen silent.
    fn used_alone(&self, from: u64, to: u64) -> f64 {
        let from = from.max(self.asked + CONTACT_TIMEOUT_MS);
        if to <= from {
            return 0.0;
        }
        let (before, after) =
            (faded(self.usage_rate, from - self.asked), faded(self.usage_rate, to - self.asked));
        (before - after) * SMOOTHING_MS / 1000.0
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    tokens: f64,
    filled: u64,
    borrowers: BTreeMap<String, Borrower>,
}

/// Lends tokens. A new leader begins with empty buckets: what the last one lent may still be used.
#[derive(Clone, Debug, Default)]
pub struct TokenAllocator {
    buckets: BTreeMap<String, Bucket>,
}

impl TokenAllocator {
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
                    let borrowers = BTreeMap::new();
                    let bucket = Bucket { limit: *limit, tokens: 0.0, filled: now, borrowers };
                    self.buckets.insert(tenant.clone(), bucket);
                }
            }
        }
    }

    /// Lends the proxy on a machine what it wants, as far as there is.
    pub fn allocate(&mut self, now: u64, machine: &str, requests: &[QuotaRequest]) -> Vec<QuotaGrant> {
        let mut grants = Vec::with_capacity(requests.len());
        for request in requests {
            let Some(bucket) = self.buckets.get_mut(&request.tenant) else { continue };
            let borrower =
                Borrower { asked: now, usage_rate: request.usage_rate as f64, unused: request.unused as f64 };
            bucket.borrowers.insert(machine.to_owned(), borrower);
            bucket.fill(now);
            let tokens = bucket.take(machine, request.tokens as f64);
            grants.push(QuotaGrant { tenant: request.tenant.clone(), tokens: tokens as u64 });
        }
        grants
    }
}

impl Bucket {
    /// Takes what the rate has brought. What proxies hold and may still use counts as if it were in the bucket: else it
    /// would come on top of a full bucket, when all is used at once.
    fn fill(&mut self, now: u64) {
        let since = std::mem::replace(&mut self.filled, now);
        self.borrowers.retain(|_, b| now < b.asked + FALLBACK_MS + CONTACT_TIMEOUT_MS);
        let kept_back: f64 = self.borrowers.values().map(|b| b.used_alone(since, now)).sum();
        let brought = self.limit.rate * now.saturating_sub(since) as f64 / 1000.0;
        let unused: f64 =
            self.borrowers.values().filter(|b| now < b.asked + LEASE_MS).map(|b| b.unused).sum();
        let room = (self.limit.burst.max(self.limit.rate * MIN_BUCKET) - unused).max(0.0);
        self.tokens = (self.tokens + (brought - kept_back).max(0.0)).min(room);
    }

    /// Lends a proxy that has just asked what it wants, as far as there is.
    fn take(&mut self, machine: &str, wanted: f64) -> f64 {
        let tokens = wanted.min(self.tokens.max(0.0)).floor();
        self.tokens -= tokens;
        if let Some(borrower) = self.borrowers.get_mut(machine) {
            borrower.unused += tokens;
        }
        tokens
    }
}
