//! Token allocation at the leader: one token bucket for each tenant.

use crate::{decayed, CONTACT_TIMEOUT_MS, FALLBACK_MS, LEASE_MS, SMOOTHING_MS};
use gaugesaddle_protocol::{QuotaGrant, QuotaRequest};
use std::collections::BTreeMap;

/// Minimum capacity of a bucket, in seconds of its rate: a smaller one would overflow and lose tokens between two
/// requests.
const MIN_BUCKET_S: f64 = 0.1;

/// A tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that may be used at once in excess of the rate.
    pub burst: f64,
}

/// The state of the proxy on a machine, as of its last request. A restarted proxy replaces its predecessor, which no
/// longer uses tokens.
#[derive(Clone, Copy, Debug)]
struct ProxyState {
    /// When its last request arrived, in milliseconds.
    requested_ms: u64,
    /// Its usage rate in tokens per second.
    usage_rate: f64,
    /// Tokens that it may still use: those unused at its last request, and those leased in response.
    unused: f64,
}

impl ProxyState {
    /// The tokens that it may have used at its decaying rate between two times without contact with the leader.
    fn used_without_leader(&self, from_ms: u64, to_ms: u64) -> f64 {
        let from_ms = from_ms.max(self.requested_ms + CONTACT_TIMEOUT_MS);
        if to_ms <= from_ms {
            return 0.0;
        }
        // The integral of the decaying rate.
        let rate_before = decayed(self.usage_rate, from_ms - self.requested_ms);
        let rate_after = decayed(self.usage_rate, to_ms - self.requested_ms);
        (rate_before - rate_after) * SMOOTHING_MS / 1000.0
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    tokens: f64,
    /// When it was last refilled, in milliseconds.
    refilled_ms: u64,
    /// The proxies by machine.
    proxies: BTreeMap<String, ProxyState>,
}

/// Leases tokens to proxies. A new leader starts with empty buckets, since tokens leased by the previous leader may
/// still be used.
#[derive(Clone, Debug, Default)]
pub struct TokenAllocator {
    buckets: BTreeMap<String, Bucket>,
}

impl TokenAllocator {
    /// Applies the limits of a configuration by tenant, at `now` (milliseconds); tenants without a limit are not listed.
    pub fn configure(&mut self, now: u64, limits: &[(String, Limit)]) {
        self.buckets.retain(|tenant, _| limits.iter().any(|(t, _)| t == tenant));
        for (tenant, limit) in limits {
            match self.buckets.get_mut(tenant) {
                Some(bucket) => bucket.set_limit(now, *limit),
                None => {
                    self.buckets.insert(tenant.clone(), Bucket::empty(now, *limit));
                }
            }
        }
    }

    /// Leases tokens to the proxy on a machine, as many as it requests and the buckets have. The response has one grant
    /// for each request of a tenant with a limit.
    pub fn allocate(&mut self, now: u64, machine: &str, requests: &[QuotaRequest]) -> Vec<QuotaGrant> {
        let mut grants = Vec::with_capacity(requests.len());
        for request in requests {
            let Some(bucket) = self.buckets.get_mut(&request.tenant) else { continue };
            let proxy = ProxyState {
                requested_ms: now,
                usage_rate: request.usage_rate as f64,
                unused: request.unused as f64,
            };
            bucket.proxies.insert(machine.to_owned(), proxy);
            bucket.refill(now);
            let tokens = bucket.lease(machine, request.tokens as f64);
            grants.push(QuotaGrant { tenant: request.tenant.clone(), tokens: tokens as u64 });
        }
        grants
    }
}

impl Bucket {
    fn empty(now: u64, limit: Limit) -> Bucket {
        Bucket { limit, tokens: 0.0, refilled_ms: now, proxies: BTreeMap::new() }
    }

    fn set_limit(&mut self, now: u64, limit: Limit) {
        self.refill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
    }

    /// Adds the tokens of the time since the last refill, less those reserved for proxies that have lost their leader.
    ///
    /// Leased tokens that proxies may still use count against the capacity; otherwise they would be used on top of a
    /// full bucket when demand rises at all proxies at once.
    fn refill(&mut self, now: u64) {
        let since_ms = std::mem::replace(&mut self.refilled_ms, now);
        self.proxies.retain(|_, p| now < p.requested_ms + FALLBACK_MS + CONTACT_TIMEOUT_MS);
        let reserved: f64 = self.proxies.values().map(|p| p.used_without_leader(since_ms, now)).sum();
        let added = self.limit.rate * now.saturating_sub(since_ms) as f64 / 1000.0;
        let live_leases = self.proxies.values().filter(|p| now < p.requested_ms + LEASE_MS);
        let unused: f64 = live_leases.map(|p| p.unused).sum();
        let capacity = self.limit.burst.max(self.limit.rate * MIN_BUCKET_S);
        let available_capacity = (capacity - unused).max(0.0);
        self.tokens = (self.tokens + (added - reserved).max(0.0)).min(available_capacity);
    }

    /// Leases whole tokens to a proxy, at most as many as it requests and the bucket has.
    fn lease(&mut self, machine: &str, requested: f64) -> f64 {
        let tokens = requested.min(self.tokens.max(0.0)).floor();
        self.tokens -= tokens;
        if let Some(proxy) = self.proxies.get_mut(machine) {
            proxy.unused += tokens;
        }
        tokens
    }
}
