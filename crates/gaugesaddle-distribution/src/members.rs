//! The control processes known to a proxy, and the choice of the one to call next.

use gaugesaddle_balancer::mix;
use std::collections::BTreeMap;

/// Time after a failure, or after an answer of a process that was not in contact with a majority, during which a
/// process is called only if every other one has failed too, in milliseconds. It is extended until any process gives a
/// fresh reply: otherwise, if the calls of several silent processes take longer than this time, those processes would be
/// called again and again before the others.
pub const FAILED_MEMBER_BACKOFF_MS: u64 = 3000;
/// How long a process is retained after it was last reported as a member, in milliseconds.
pub const MEMBER_RETENTION_MS: u64 = 60_000;

/// Control processes, by the IPv4 address of their machine.
#[derive(Clone, Debug)]
pub struct Members {
    own_ip: u32,
    /// When each was last reported as a member, in milliseconds.
    reported_ms: BTreeMap<u32, u64>,
    /// When the last call of each failed, in milliseconds. It contains only known members.
    failed_ms: BTreeMap<u32, u64>,
    /// When a process last gave a fresh reply, in milliseconds.
    last_fresh_ms: Option<u64>,
}

impl Members {
    /// The initial members, known at `now` (milliseconds) to the proxy on the machine `own_ip`.
    pub fn new(own_ip: u32, now: u64, initial: impl Iterator<Item = u32>) -> Members {
        Members {
            own_ip,
            reported_ms: initial.map(|ip| (ip, now)).collect(),
            failed_ms: BTreeMap::new(),
            last_fresh_ms: None,
        }
    }

    /// Adds members reported at `now` (milliseconds), and drops those that were not reported for
    /// [`MEMBER_RETENTION_MS`].
    pub fn add(&mut self, now: u64, members: impl Iterator<Item = u32>) {
        self.reported_ms.extend(members.map(|ip| (ip, now)));
        self.reported_ms.retain(|_, at| now < *at + MEMBER_RETENTION_MS);
        let reported_ms = &self.reported_ms;
        self.failed_ms.retain(|ip, _| reported_ms.contains_key(ip));
    }

    /// Records that a process failed, or was not in contact with a majority.
    pub fn record_failure(&mut self, now: u64, ip: u32) {
        self.failed_ms.insert(ip, now);
    }

    /// Records that a process gave a fresh reply.
    pub fn record_fresh(&mut self, now: u64) {
        self.last_fresh_ms = Some(now);
    }

    /// When a process last gave a fresh reply, in milliseconds; `None` before the first.
    pub fn last_fresh_ms(&self) -> Option<u64> {
        self.last_fresh_ms
    }

    /// The process to call next: one without a recent failure, else the one whose failure is oldest; among several of
    /// these the one on this machine, else the first one in an order that differs by machine, which spreads the proxies
    /// over the processes.
    pub fn choose(&self, now: u64) -> Option<u32> {
        self.choose_except(now, &[])
    }

    /// As [`Members::choose`], without the processes that are `called` already.
    pub fn choose_except(&self, now: u64, called: &[u32]) -> Option<u32> {
        let candidates = self.reported_ms.keys().copied().filter(|ip| !called.contains(ip));
        candidates.min_by_key(|ip| {
            let is_remote = *ip != self.own_ip;
            (self.recent_failure_ms(now, *ip), is_remote, self.machine_order(*ip))
        })
    }

    /// When the last call of a process failed; 0 where that is longer ago than the backoff and than the last fresh reply.
    fn recent_failure_ms(&self, now: u64, ip: u32) -> u64 {
        match self.failed_ms.get(&ip) {
            Some(at) if now < *at + FAILED_MEMBER_BACKOFF_MS || Some(*at) > self.last_fresh_ms => *at,
            _ => 0,
        }
    }

    fn machine_order(&self, ip: u32) -> u64 {
        mix(u64::from(ip) ^ (u64::from(self.own_ip) << 32))
    }
}
