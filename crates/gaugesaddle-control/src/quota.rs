//! Allocation of the tenants' tokens by the leader.

use crate::core::Core;
use gaugesaddle_config::OperatorConfig;
use gaugesaddle_quota::{Limit, TokenAllocator};

/// Fraction of the quotas' slack that is added to the rate, and again to the burst.
const SLACK_FRACTION: f64 = 0.3;
/// Fraction of the permitted excess over a quota that is leased: tokens that are leased and not used in time are lost.
const EXCESS_FRACTION: f64 = 0.5;

impl Core {
    /// Whether this process leads under a lease and so may allocate tokens; a new leader starts with empty buckets.
    pub fn allocates_quota(&mut self) -> bool {
        let now = self.clock.now();
        let Some(replica) = self.replica.as_ref().filter(|replica| replica.has_lease(now)) else {
            return false;
        };
        let term = replica.term();
        if term != self.allocator_term {
            self.allocator_term = term;
            self.allocator = TokenAllocator::default();
            self.configure_allocator();
        }
        true
    }

    /// Gives the allocator the limits of the committed configuration.
    pub fn configure_allocator(&mut self) {
        let Some(configuration) = self.distributor.current() else { return };
        let now = self.clock.now();
        // Committed documents are valid: they were checked before they were proposed.
        let Ok(config) = OperatorConfig::parse(&configuration.document) else { return };
        let bounds = &self.boot.bounds;
        let slack = bounds.quota_slack * SLACK_FRACTION;
        let limit = |rate: f64, burst: f64| Limit {
            rate: rate * (1.0 + EXCESS_FRACTION * bounds.quota_excess_fraction)
                + slack / bounds.quota_window_s.max(1.0),
            burst: burst.max(0.0) + slack,
        };
        let limited_tenants = config.tenants.into_iter().filter(|tenant| tenant.rate_per_s > 0.0);
        let limits: Vec<(String, Limit)> =
            limited_tenants.map(|tenant| (tenant.name, limit(tenant.rate_per_s, tenant.burst))).collect();
        self.allocator.configure(now, &limits);
    }
}
