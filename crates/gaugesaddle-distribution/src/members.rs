//! The control processes that a proxy knows, and which of them it asks.

use gaugesaddle_balancer::mix;
use std::collections::BTreeMap;

/// A process that failed, or was not in touch with a majority, is asked again only after the others, and so much later,
/// in ms.
pub const FAILED_MEMBER_BACKOFF_MS: u64 = 3000;
/// A process that nobody named for so long is forgotten, in ms.
pub const MEMBER_RETENTION_MS: u64 = 60_000;

/// Control processes, by the address of their machine.
#[derive(Clone, Debug)]
pub struct Members {
    own: u32,
    /// When each was named last.
    named: BTreeMap<u32, u64>,
    /// When each failed last.
    failed: BTreeMap<u32, u64>,
}

impl Members {
    /// The first ones known, at the machine `own`.
    pub fn new(own: u32, now: u64, first: impl Iterator<Item = u32>) -> Members {
        Members { own, named: first.map(|ip| (ip, now)).collect(), failed: BTreeMap::new() }
    }

    /// Some process named these.
    pub fn name(&mut self, now: u64, members: impl Iterator<Item = u32>) {
        self.named.extend(members.map(|ip| (ip, now)));
        self.named.retain(|_, at| now < *at + MEMBER_RETENTION_MS);
        let named = &self.named;
        self.failed.retain(|ip, _| named.contains_key(ip));
    }

    /// A process failed, or was not in touch with a majority.
    pub fn failed(&mut self, now: u64, ip: u32) {
        self.failed.insert(ip, now);
    }

    /// The one to ask: not one that failed lately, if there is another; the one on this machine first, the others in an
    /// order of this machine's own.
    pub fn choose(&self, now: u64) -> Option<u32> {
        let failed = |ip: &u32| {
            self.failed.get(ip).copied().filter(|at| now < *at + FAILED_MEMBER_BACKOFF_MS).unwrap_or(0)
        };
        let order = |ip: &u32| mix(u64::from(*ip) ^ (u64::from(self.own) << 32));
        self.named.keys().copied().min_by_key(|ip| (failed(ip), *ip != self.own, order(ip)))
    }
}
