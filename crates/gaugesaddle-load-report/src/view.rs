//! A proxy's side.

use crate::decaying::Decaying;
use crate::{FRESH, MAX_BACKENDS};
use gaugesaddle_protocol::BackendLoad;
use std::collections::HashMap;

/// Parts that a request counts for in a report.
const PARTS: f64 = 16.0;
/// A request without an answer for so long counts as a failure while it waits, in ms: a backend that hangs is noticed
/// before its clients give up, and one that is merely loaded answers others meanwhile.
const STALLED: u64 = 1000;
/// Fewer failures say nothing of a backend: a client or a link may be at fault.
const FAILURES: f64 = 2.5;
/// A backend fails where so large a part of its requests does.
const FAILING_PART: f64 = 0.3;
/// Less than this is nothing.
const NOTHING: f64 = 1.0 / PARTS;

/// What this proxy sees of one backend.
#[derive(Clone, Debug, Default)]
struct Own {
    /// When each request that is not answered yet was sent, and its work; the oldest first.
    waiting: Vec<(u64, f64)>,
    failed: Decaying,
    served: Decaying,
}

impl Own {
    fn work(&self) -> f64 {
        self.waiting.iter().map(|(_, work)| work).sum()
    }

    /// Requests that failed, and those that wait for so long that they are as good as failed.
    fn failures(&self, now: u64) -> f64 {
        let stalled = self.waiting.iter().take_while(|(sent, _)| now >= sent + STALLED).count();
        self.failed.at(now) + stalled as f64
    }

    fn load(&self, now: u64, backend: u32) -> BackendLoad {
        let parts = |count: f64| (count * PARTS) as u32;
        let (failed, served) = (parts(self.failures(now)), parts(self.served.at(now)));
        BackendLoad { backend, work: self.work() as u32, failed, served }
    }

    fn is_idle(&self, now: u64) -> bool {
        self.waiting.is_empty() && self.failed.at(now) < NOTHING && self.served.at(now) < NOTHING
    }
}

/// How a backend fared lately, over all proxies that are heard of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Requests that failed.
    pub failed: f64,
    /// Requests that were answered.
    pub served: f64,
}

impl Health {
    /// Whether so many requests fail there that others are to be asked.
    pub fn is_failing(&self) -> bool {
        self.failed >= FAILURES && self.failed > FAILING_PART * (self.failed + self.served)
    }
}

/// What a proxy knows of the backends' load.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    own: HashMap<u32, Own>,
    /// What it reported last: the sums that come back hold that.
    reported: HashMap<u32, BackendLoad>,
    others: HashMap<u32, BackendLoad>,
    heard: Option<u64>,
    /// Whether the last report said anything.
    said: bool,
}

impl LoadView {
    /// Work is sent to a backend, in tokens.
    pub fn begin(&mut self, now: u64, backend: u32, work: f64) {
        self.own.entry(backend).or_default().waiting.push((now, work));
    }

    /// Work that was sent at a time has begun to be answered, or never will be.
    pub fn end(&mut self, backend: u32, sent: u64, work: f64) {
        let Some(own) = self.own.get_mut(&backend) else { return };
        if let Some(place) = own.waiting.iter().position(|waiting| *waiting == (sent, work)) {
            own.waiting.remove(place);
        }
    }

    /// A request was answered by a backend.
    pub fn served(&mut self, now: u64, backend: u32) {
        self.own.entry(backend).or_default().served.add(now);
    }

    /// A request failed at a backend, which may not have been the backend's fault.
    pub fn failed(&mut self, now: u64, backend: u32) {
        self.own.entry(backend).or_default().failed.add(now);
    }

    /// Whether there is anything to report, or a last report that says nothing any more.
    pub fn wants_to_report(&mut self, now: u64) -> bool {
        self.own.retain(|_, own| !own.is_idle(now));
        self.said || !self.own.is_empty()
    }

    /// The present report.
    pub fn report(&mut self, now: u64) -> Vec<BackendLoad> {
        let mut loads: Vec<BackendLoad> =
            self.own.iter().map(|(backend, own)| own.load(now, *backend)).collect();
        if loads.len() > MAX_BACKENDS {
            loads.sort_unstable_by_key(|load| std::cmp::Reverse((load.work, load.failed)));
            loads.truncate(MAX_BACKENDS);
        }
        self.said = !loads.is_empty();
        self.reported = loads.iter().map(|load| (load.backend, *load)).collect();
        loads
    }

    /// Takes the sums that came in answer to the last report, made at a time.
    pub fn heard(&mut self, reported_at: u64, sums: Vec<BackendLoad>) {
        let without_own = |mut sum: BackendLoad| {
            let own = self.reported.get(&sum.backend).copied().unwrap_or_default();
            sum.work = sum.work.saturating_sub(own.work);
            sum.failed = sum.failed.saturating_sub(own.failed);
            sum.served = sum.served.saturating_sub(own.served);
            (sum.backend, sum)
        };
        self.others = sums.into_iter().take(MAX_BACKENDS).map(without_own).collect();
        self.heard = Some(reported_at);
    }

    fn other(&self, now: u64, backend: u32) -> BackendLoad {
        let fresh = self.heard.is_some_and(|at| now < at + FRESH);
        self.others.get(&backend).filter(|_| fresh).copied().unwrap_or_default()
    }

    /// Work that waits at a backend, in tokens, as far as this proxy sees it itself.
    pub fn own_work(&self, backend: u32) -> f64 {
        self.own.get(&backend).map_or(0.0, Own::work)
    }

    /// Work that waits at a backend, in tokens, as far as it is known.
    pub fn work(&self, now: u64, backend: u32) -> f64 {
        self.own_work(backend) + f64::from(self.other(now, backend).work)
    }

    /// How a backend fared lately.
    pub fn health(&self, now: u64, backend: u32) -> Health {
        let (failed, served) =
            self.own.get(&backend).map_or((0.0, 0.0), |own| (own.failures(now), own.served.at(now)));
        let other = self.other(now, backend);
        Health {
            failed: failed + f64::from(other.failed) / PARTS,
            served: served + f64::from(other.served) / PARTS,
        }
    }
}
