//! The proxy's side: its own observations and the sums over the other proxies.

use crate::decaying::DecayingCount;
use crate::heaviest::heaviest;
use crate::{MAX_BACKENDS, REPORT_TTL_MS};
use gaugesaddle_protocol::BackendLoad;
use std::collections::HashMap;

/// Units that one request counts for in a report: reports are integers, decayed counts are not.
const UNITS_PER_REQUEST: f64 = 16.0;
/// A request without an answer for this long counts as a failure until it is answered, in milliseconds: a backend that
/// hangs is detected before its clients time out, while one that is merely loaded goes on answering others.
const STALL_TIMEOUT_MS: u64 = 1000;
/// Minimum number of failures of a failing backend: fewer may be the fault of a client or a link.
const MIN_FAILURES: f64 = 2.5;
/// Fraction of a backend's requests above which it is failing.
const FAILING_FRACTION: f64 = 0.3;
/// Decayed counts below this are not reported.
const NEGLIGIBLE_COUNT: f64 = 1.0 / UNITS_PER_REQUEST;

/// A request without an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
struct InFlight {
    sent_ms: u64,
    /// In tokens.
    work: f64,
}

/// What this proxy observes of one backend.
#[derive(Clone, Debug, Default)]
struct Observed {
    /// The oldest first.
    in_flight: Vec<InFlight>,
    failed: DecayingCount,
    served: DecayingCount,
}

impl Observed {
    /// Work in flight, in tokens.
    fn work(&self) -> f64 {
        self.in_flight.iter().map(|request| request.work).sum()
    }

    /// Requests that failed, and those in flight for so long that they count as failed.
    fn failures(&self, now: u64) -> f64 {
        let is_stalled = |request: &&InFlight| now >= request.sent_ms + STALL_TIMEOUT_MS;
        let stalled = self.in_flight.iter().take_while(is_stalled).count();
        self.failed.at(now) + stalled as f64
    }

    fn load(&self, now: u64, backend: u32) -> BackendLoad {
        let units = |count: f64| (count * UNITS_PER_REQUEST) as u32;
        BackendLoad {
            backend,
            work: self.work() as u32,
            failed: units(self.failures(now)),
            served: units(self.served.at(now)),
        }
    }

    fn is_idle(&self, now: u64) -> bool {
        let has_outcomes = self.failed.at(now) >= NEGLIGIBLE_COUNT || self.served.at(now) >= NEGLIGIBLE_COUNT;
        self.in_flight.is_empty() && !has_outcomes
    }
}

/// The recent outcomes of a backend's requests, over all proxies with a live report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Requests that failed, decayed.
    pub failed: f64,
    /// Requests that were answered, decayed.
    pub served: f64,
}

impl Health {
    /// Whether so many requests fail that other backends should be preferred.
    pub fn is_failing(&self) -> bool {
        let total = self.failed + self.served;
        self.failed >= MIN_FAILURES && self.failed > FAILING_FRACTION * total
    }
}

/// What a proxy knows of the backends' load.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    observed: HashMap<u32, Observed>,
    /// The last report. Sums that answer it include it.
    reported: HashMap<u32, BackendLoad>,
    /// The sums over the other proxies.
    others: HashMap<u32, BackendLoad>,
    /// When the report was sent that was answered by `others`, in milliseconds.
    others_ms: Option<u64>,
    /// Whether the last report had any backend.
    last_report_has_load: bool,
}

impl LoadView {
    /// Records that `work` tokens are sent to a backend at `now` (milliseconds).
    pub fn begin(&mut self, now: u64, backend: u32, work: f64) {
        let request = InFlight { sent_ms: now, work };
        self.observed.entry(backend).or_default().in_flight.push(request);
    }

    /// Records that the answer to work sent at `sent_ms` has begun, or never will.
    pub fn end(&mut self, backend: u32, sent_ms: u64, work: f64) {
        let Some(observed) = self.observed.get_mut(&backend) else { return };
        let ended = InFlight { sent_ms, work };
        if let Some(index) = observed.in_flight.iter().position(|request| *request == ended) {
            observed.in_flight.remove(index);
        }
    }

    /// Records that a backend answered a request.
    pub fn record_served_request(&mut self, now: u64, backend: u32) {
        self.observed.entry(backend).or_default().served.add(now);
    }

    /// Records that a request failed at a backend, which need not be the backend's fault.
    pub fn record_failed_request(&mut self, now: u64, backend: u32) {
        self.observed.entry(backend).or_default().failed.add(now);
    }

    /// Whether a report is due: there is load to report, or the last report had some that has since ended.
    pub fn is_report_due(&mut self, now: u64) -> bool {
        self.observed.retain(|_, observed| !observed.is_idle(now));
        self.last_report_has_load || !self.observed.is_empty()
    }

    /// The report to send at `now` (milliseconds).
    pub fn report(&mut self, now: u64) -> Vec<BackendLoad> {
        let observed = self.observed.iter();
        let loads = heaviest(observed.map(|(backend, observed)| observed.load(now, *backend)).collect());
        self.last_report_has_load = !loads.is_empty();
        self.reported = loads.iter().map(|load| (load.backend, *load)).collect();
        loads
    }

    /// Records the sums over all proxies that answer the last report, sent at `reported_ms`.
    pub fn record_sums(&mut self, reported_ms: u64, sums: Vec<BackendLoad>) {
        self.others.clear();
        for mut sum in sums.into_iter().take(MAX_BACKENDS) {
            let own = self.reported.get(&sum.backend).copied().unwrap_or_default();
            sum.work = sum.work.saturating_sub(own.work);
            sum.failed = sum.failed.saturating_sub(own.failed);
            sum.served = sum.served.saturating_sub(own.served);
            self.others.insert(sum.backend, sum);
        }
        self.others_ms = Some(reported_ms);
    }

    /// The load that the other proxies report of a backend; none where their sums are too old.
    fn others_load(&self, now: u64, backend: u32) -> BackendLoad {
        let is_live = self.others_ms.is_some_and(|at| now < at + REPORT_TTL_MS);
        if !is_live {
            return BackendLoad::default();
        }
        self.others.get(&backend).copied().unwrap_or_default()
    }

    /// Work of this proxy in flight at a backend, in tokens.
    pub fn own_work(&self, backend: u32) -> f64 {
        self.observed.get(&backend).map_or(0.0, Observed::work)
    }

    /// Work of all proxies in flight at a backend, in tokens, as far as it is known.
    pub fn work(&self, now: u64, backend: u32) -> f64 {
        self.own_work(backend) + f64::from(self.others_load(now, backend).work)
    }

    /// The recent outcomes of a backend's requests.
    pub fn health(&self, now: u64, backend: u32) -> Health {
        let mut health = Health::default();
        if let Some(observed) = self.observed.get(&backend) {
            health = Health { failed: observed.failures(now), served: observed.served.at(now) };
        }
        let others = self.others_load(now, backend);
        health.failed += f64::from(others.failed) / UNITS_PER_REQUEST;
        health.served += f64::from(others.served) / UNITS_PER_REQUEST;
        health
    }
}
