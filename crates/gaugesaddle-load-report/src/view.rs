//! The proxy's side: combines its own observations with the sums over the other proxies.

use crate::decaying::DecayingCount;
use crate::heaviest::heaviest;
use crate::{MAX_BACKENDS, REPORT_TTL_MS};
use gaugesaddle_protocol::BackendLoad;
use std::collections::HashMap;

/// Units per request in a report: reports contain integers, while decayed counts are fractional.
const UNITS_PER_REQUEST: f64 = 16.0;
/// A request without a response for this long counts as failed until the response begins, in milliseconds. A hanging backend
/// is thus detected before its clients time out; a backend that is merely loaded continues to respond to other requests.
const STALL_TIMEOUT_MS: u64 = 1000;
/// Minimum decayed number of failures of a failing backend: fewer may be caused by a client or a network link.
const MIN_FAILURES: f64 = 2.5;
/// Fraction of failed requests above which a backend is failing.
const FAILING_FRACTION: f64 = 0.3;
/// Decayed counts below this value are treated as 0: they would be reported as 0 units.
const NEGLIGIBLE_COUNT: f64 = 1.0 / UNITS_PER_REQUEST;

/// A request whose response has not begun.
#[derive(Clone, Copy, Debug, PartialEq)]
struct InFlight {
    sent_ms: u64,
    /// In tokens.
    work: f64,
}

/// This proxy's observations of one backend.
#[derive(Clone, Debug, Default)]
struct Observed {
    /// In the order of sending.
    in_flight: Vec<InFlight>,
    failed: DecayingCount,
    served: DecayingCount,
}

impl Observed {
    /// Work in flight, in tokens.
    fn work(&self) -> f64 {
        self.in_flight.iter().map(|request| request.work).sum()
    }

    /// The decayed number of failed requests, plus the stalled requests in flight.
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

/// The recent outcomes of a backend's requests at all proxies with a live report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    /// Decayed number of failed requests.
    pub failed: f64,
    /// Decayed number of served requests.
    pub served: f64,
}

impl Health {
    /// Whether the backend fails so many requests that other backends should be preferred.
    pub fn is_failing(&self) -> bool {
        let total = self.failed + self.served;
        self.failed >= MIN_FAILURES && self.failed > FAILING_FRACTION * total
    }
}

/// A proxy's estimate of the backends' load and health.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    observed: HashMap<u32, Observed>,
    /// The latest report, which the sums in its reply include.
    reported: HashMap<u32, BackendLoad>,
    /// The sums over the other proxies.
    others: HashMap<u32, BackendLoad>,
    /// Time at which the report was sent whose reply contained `others`, in milliseconds.
    others_ms: Option<u64>,
    /// Whether the latest report contained any backend.
    last_report_has_load: bool,
}

impl LoadView {
    /// Records that a request of `work` tokens is sent to a backend at `now` (milliseconds).
    pub fn begin(&mut self, now: u64, backend: u32, work: f64) {
        let request = InFlight { sent_ms: now, work };
        self.observed.entry(backend).or_default().in_flight.push(request);
    }

    /// Records that the response to a request sent at `sent_ms` has begun, or that the attempt has ended without one.
    pub fn end(&mut self, backend: u32, sent_ms: u64, work: f64) {
        let Some(observed) = self.observed.get_mut(&backend) else { return };
        let ended = InFlight { sent_ms, work };
        if let Some(index) = observed.in_flight.iter().position(|request| *request == ended) {
            observed.in_flight.remove(index);
        }
    }

    /// Records that a backend served a request.
    pub fn record_served_request(&mut self, now: u64, backend: u32) {
        self.observed.entry(backend).or_default().served.add(now);
    }

    /// Records that a request failed at a backend, whether or not the backend caused the failure.
    pub fn record_failed_request(&mut self, now: u64, backend: u32) {
        self.observed.entry(backend).or_default().failed.add(now);
    }

    /// Whether a report must be sent: there is load to report, or the latest report contained load that has since ended.
    pub fn is_report_due(&mut self, now: u64) -> bool {
        self.observed.retain(|_, observed| !observed.is_idle(now));
        self.last_report_has_load || !self.observed.is_empty()
    }

    /// Creates the report to send at `now` (milliseconds).
    pub fn report(&mut self, now: u64) -> Vec<BackendLoad> {
        let observed = self.observed.iter();
        let loads = heaviest(observed.map(|(backend, observed)| observed.load(now, *backend)).collect());
        self.last_report_has_load = !loads.is_empty();
        self.reported = loads.iter().map(|load| (load.backend, *load)).collect();
        loads
    }

    /// Records the sums over all proxies from the reply to the latest report, which was sent at `reported_ms`.
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

    /// The load of a backend that the other proxies report; zero if their sums have expired.
    fn others_load(&self, now: u64, backend: u32) -> BackendLoad {
        let is_live = self.others_ms.is_some_and(|at| now < at + REPORT_TTL_MS);
        if !is_live {
            return BackendLoad::default();
        }
        self.others.get(&backend).copied().unwrap_or_default()
    }

    /// Work in flight from this proxy at a backend, in tokens.
    pub fn own_work(&self, backend: u32) -> f64 {
        self.observed.get(&backend).map_or(0.0, Observed::work)
    }

    /// Work in flight from all proxies at a backend, as far as reported, in tokens.
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
