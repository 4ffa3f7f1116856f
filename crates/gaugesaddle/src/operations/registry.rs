//! The registry of counters, gauges and states. The driver and the server update only this registry; the state socket reads
//! a copy of it, a [`Snapshot`].
//!
//! Its size is bounded: one row for each class, reason, and backend of the list. A backend's row is removed when the backend
//! has departed and none of its attempts is in flight.

use crate::operations::event_counters::EventCounters;
use crate::serving::exchange::ListedBackend;
use gaugesaddle_balancer::{BackendId, BackendState, ClassId, Micros, Outcome, Time};
use gaugesaddle_maintenance::{Lifecycle, Phase};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

pub use crate::operations::snapshot::*;

/// Number of buckets of the latency histogram. Each bound is the previous one times the square root of two, from 0.5 ms to
/// 23 s, so that a quantile is at most 42% too high.
const BUCKETS: usize = 32;
/// Upper bound of the first bucket, in microseconds.
const FIRST_BOUND_US: f64 = 500.0;

/// How a request ended. The arrivals of a class are the sum of its ended and open requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    InTime,
    Late,
    RejectedByBalancer,
    RejectedOpenCap,
    FailedByBalancer,
    /// The balancer had not answered in its tick after the deadline.
    FailedUnanswered,
    /// The balancer was restarted.
    FailedRestart,
    /// Forwarded, but no region accepted it, or a region rejected it without executing it.
    RejectedByRegion,
    /// Forwarded, and may have been executed in another region without a response in time.
    FailedInRegion,
    /// The client disconnected before the response.
    ClientDisconnected,
}

impl RequestEnd {
    /// Whether the request was rejected or failed.
    pub fn is_unserved(self) -> bool {
        !matches!(self, RequestEnd::InTime | RequestEnd::Late | RequestEnd::ClientDisconnected)
    }
}

const ENDS: usize = RequestEnd::ClientDisconnected as usize + 1;

#[derive(Default)]
struct ClassRow {
    arrivals: Cell<u64>,
    ends: [Cell<u64>; ENDS],
}

/// The counters of one backend.
pub(crate) struct BackendRow {
    target: RefCell<ListedBackend>,
    state: Cell<BackendState>,
    in_flight: Cell<u32>,
    attempts: Cell<u64>,
    outcomes: [Cell<u64>; OUTCOMES.len()],
    latency: [Cell<u32>; BUCKETS],
    latency_us: Cell<u64>,
    limit: Cell<Option<gaugesaddle_balancer::LimitView>>,
}

/// All outcomes of an attempt, with their published names.
const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Ok, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NeverSent, "never_sent"),
];

fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Full => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::NeverSent => 7,
    }
}

fn add(cell: &Cell<u64>, increase: u64) {
    cell.set(cell.get().saturating_add(increase));
}

impl BackendRow {
    fn new(target: ListedBackend) -> BackendRow {
        BackendRow {
            state: Cell::new(target.backend.state),
            target: RefCell::new(target),
            in_flight: Cell::default(),
            attempts: Cell::default(),
            outcomes: Default::default(),
            latency: Default::default(),
            latency_us: Cell::default(),
            limit: Cell::default(),
        }
    }

    /// Records the backend's limit as reported by the balancer.
    pub fn record_limit(&self, view: gaugesaddle_balancer::LimitView) {
        self.limit.set(Some(view));
    }

    pub fn record_sent(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        add(&self.attempts, 1);
    }

    pub fn record_end(&self, outcome: Outcome, latency: Micros) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        add(&self.outcomes[outcome_index(outcome)], 1);
        if outcome == Outcome::Ok {
            let bucket = &self.latency[bucket(latency)];
            bucket.set(bucket.get().saturating_add(1));
            add(&self.latency_us, latency.0);
        }
    }
}

fn bucket(latency: Micros) -> usize {
    let steps = (latency.0 as f64 / FIRST_BOUND_US).max(1e-9).log2() * 2.0;
    (steps.ceil().max(0.0) as usize).min(BUCKETS - 1)
}

/// Returns the upper bound of a bucket, in microseconds.
fn bound(bucket: usize) -> u64 {
    (FIRST_BOUND_US * 2f64.powf(bucket as f64 / 2.0)) as u64
}

/// The counters, gauges and states of a proxy.
pub struct Registry {
    /// Closed connections and unserved requests by reason.
    pub(crate) event_counters: EventCounters,
    classes: Vec<(String, ClassRow)>,
    backends: RefCell<HashMap<BackendId, Rc<BackendRow>>>,
    open: Cell<usize>,
    /// Whether some backend can be sent requests.
    pub(crate) serving: Cell<bool>,
    /// Whether another region accepts requests that no backend here can serve.
    pub(crate) region_serves: Cell<bool>,
    /// Whether clients can connect.
    pub(crate) listening: Cell<bool>,
    lifecycle: Cell<Lifecycle>,
    /// Number of accepted connections.
    pub(crate) accepted_connections: Cell<u64>,
    /// The phase of a retry storm; calm where the detection is disabled.
    pub(crate) storm: Cell<gaugesaddle_overload::StormPhase>,
    pub(crate) storm_view: RefCell<Option<StormState>>,
    /// Other regions, where they are enabled.
    pub(crate) region: RefCell<Option<RegionView>>,
    /// The tier of proxies, where the membership is enabled; read for each snapshot.
    pub(crate) peers: RefCell<Option<Rc<crate::membership::Tier>>>,
    /// This proxy's allocation, where allocation is by demand.
    pub(crate) allocation: RefCell<Option<AllocationView>>,
    pub(crate) zones: RefCell<Option<ZonesView>>,
    /// Whether this proxy is partitioned: it fails to observe zones that most proxies observe, and is not ready.
    pub(crate) is_partitioned: Cell<bool>,
    /// Number of live proxies, where allocation is by demand; otherwise 0.
    pub(crate) live_proxies: Rc<Cell<u32>>,
    pub(crate) connections: Cell<usize>,
    pub(crate) upstream_sockets: Cell<usize>,
    /// Limits while one process runs, and while two share the descriptors during a hot restart.
    bounds: [Bounds; 2],
    is_shared: Cell<bool>,
    pub(crate) body_bytes: Cell<usize>,
    list: Cell<(Option<u64>, Option<Time>)>,
    name: String,
    start: Time,
}

/// Limits of the registry's gauges.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    pub connections: usize,
    /// Maximum number of these that may be idle.
    pub idle_connections: usize,
    pub upstream_sockets: usize,
    pub body_bytes: usize,
}

impl Registry {
    pub(crate) fn new(name: &str, classes: &[String], bounds: [Bounds; 2], start: Time) -> Registry {
        Registry {
            event_counters: EventCounters::new(),
            classes: classes.iter().map(|c| (c.clone(), ClassRow::default())).collect(),
            backends: RefCell::default(),
            open: Cell::default(),
            serving: Cell::default(),
            region_serves: Cell::default(),
            listening: Cell::default(),
            lifecycle: Cell::default(),
            accepted_connections: Cell::default(),
            storm: Cell::new(gaugesaddle_overload::StormPhase::Calm),
            storm_view: RefCell::default(),
            region: RefCell::default(),
            peers: RefCell::default(),
            allocation: RefCell::default(),
            zones: RefCell::default(),
            is_partitioned: Cell::new(false),
            live_proxies: Rc::default(),
            connections: Cell::default(),
            upstream_sockets: Cell::default(),
            bounds,
            is_shared: Cell::default(),
            body_bytes: Cell::default(),
            list: Cell::default(),
            name: name.into(),
            start,
        }
    }

    /// Returns the present limits.
    pub(crate) fn bounds(&self) -> Bounds {
        self.bounds[usize::from(self.is_shared.get())]
    }

    /// Sets whether another process of this proxy runs beside this one.
    pub(crate) fn set_shared(&self, shared: bool) {
        self.is_shared.set(shared);
    }

    pub(crate) fn lifecycle(&self) -> Lifecycle {
        self.lifecycle.get()
    }

    pub(crate) fn update_lifecycle<T>(&self, change: impl FnOnce(&mut Lifecycle) -> T) -> T {
        let mut lifecycle = self.lifecycle.get();
        let result = change(&mut lifecycle);
        self.lifecycle.set(lifecycle);
        result
    }

    /// Whether clients may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        (self.serving.get() || self.region_serves.get())
            && self.listening.get()
            && self.lifecycle.get().accepts_clients()
            && !self.is_partitioned.get()
    }

    /// Whether other regions may forward requests here, which are sent to backends of this region only.
    pub(crate) fn has_backends(&self) -> bool {
        self.serving.get() && self.is_ready()
    }

    /// Returns the number of open requests.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    pub(crate) fn record_arrival(&self, class: ClassId) {
        self.open.set(self.open.get() + 1);
        if let Some((_, row)) = self.classes.get(class.0) {
            add(&row.arrivals, 1);
        }
    }

    pub(crate) fn record_end(&self, class: ClassId, end: RequestEnd) {
        self.open.set(self.open.get().saturating_sub(1));
        if let Some((_, row)) = self.classes.get(class.0) {
            add(&row.ends[end as usize], 1);
        }
    }

    /// Records an update of the list of backends; a `full` one replaces the list.
    pub(crate) fn record_list(&self, now: Time, index: Option<u64>, full: bool, targets: &[ListedBackend]) {
        self.list.set((index.or(self.list.get().0), Some(now)));
        let mut rows = self.backends.borrow_mut();
        if full {
            rows.values().for_each(|row| row.state.set(BackendState::Departed));
        }
        for target in targets {
            match rows.get(&target.backend.id) {
                Some(row) => {
                    row.state.set(target.backend.state);
                    *row.target.borrow_mut() = target.clone();
                }
                None if target.backend.state == BackendState::Departed => {}
                None => {
                    rows.insert(target.backend.id, Rc::new(BackendRow::new(target.clone())));
                }
            }
        }
        rows.retain(|_, row| row.state.get() != BackendState::Departed || row.in_flight.get() > 0);
    }

    pub(crate) fn backend(&self, id: BackendId) -> Option<Rc<BackendRow>> {
        self.backends.borrow().get(&id).cloned()
    }

    /// Returns a copy of the registry.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        // Rows of backends that departed with an attempt in flight are removed once it has ended.
        self.backends
            .borrow_mut()
            .retain(|_, r| r.state.get() != BackendState::Departed || r.in_flight.get() > 0);
        let classes = self.classes.iter().map(|(name, row)| {
            let end = |e: RequestEnd| row.ends[e as usize].get();
            ClassState {
                name: name.clone(),
                taken: row.arrivals.get(),
                in_aim: end(RequestEnd::InTime),
                late: end(RequestEnd::Late),
                refused: Rejections {
                    module: end(RequestEnd::RejectedByBalancer),
                    open_cap: end(RequestEnd::RejectedOpenCap),
                    elsewhere: end(RequestEnd::RejectedByRegion),
                },
                failed: Failures {
                    module: end(RequestEnd::FailedByBalancer),
                    unanswered: end(RequestEnd::FailedUnanswered),
                    restart: end(RequestEnd::FailedRestart),
                    elsewhere: end(RequestEnd::FailedInRegion),
                },
                left: end(RequestEnd::ClientDisconnected),
            }
        });
        let mut backends: Vec<BackendStateRow> = self.backends.borrow().values().map(|r| r.view()).collect();
        backends.sort_by(|a, b| a.name.cmp(&b.name));
        let (index, updated_at) = self.list.get();
        Snapshot {
            version: SNAPSHOT_VERSION,
            program: env!("CARGO_PKG_VERSION").into(),
            name: self.name.clone(),
            time_us: now.0,
            start_us: self.start.0,
            serving: self.serving.get(),
            stopping: self.lifecycle.get().is_stopping(),
            draining: matches!(self.lifecycle.get().phase(), Phase::Draining { .. }),
            open: self.open.get(),
            classes: classes.collect(),
            backends,
            connections: Gauge { now: self.connections.get(), most: self.bounds().connections },
            upstream_sockets: Gauge {
                now: self.upstream_sockets.get(),
                most: self.bounds().upstream_sockets,
            },
            body_bytes: Gauge { now: self.body_bytes.get(), most: self.bounds().body_bytes },
            list: ListState { index, age_us: updated_at.map(|at| (now - at).0) },
            reasons: self.event_counters.all(),
            connects: self.accepted_connections.get(),
            storm: self.storm_view.borrow().clone(),
            region: self.region.borrow().clone(),
            peers: self.peers.borrow().as_ref().map(|tier| tier.view(now)),
            shares: self.allocation.borrow().clone(),
            zones: self.zones.borrow().clone(),
        }
    }
}

impl BackendRow {
    fn view(&self) -> BackendStateRow {
        let target = self.target.borrow();
        let served: u64 = self.latency.iter().map(|c| u64::from(c.get())).sum();
        let quantile = |fraction: f64| {
            let rank = (served as f64 * fraction).ceil() as u64;
            let mut cumulative = 0;
            let bucket = self.latency.iter().position(|c| {
                cumulative += u64::from(c.get());
                cumulative >= rank
            });
            bucket.filter(|_| served > 0).map(bound)
        };
        BackendStateRow {
            name: target.name.to_string(),
            address: target.address.to_string(),
            zone: target.zone.to_string(),
            kind: target.kind.to_string(),
            state: match self.state.get() {
                BackendState::Ready => "ready",
                BackendState::Draining => "draining",
                BackendState::Departed => "gone",
            }
            .into(),
            booted_us: target.backend.booted.map(|t| t.0),
            in_flight: self.in_flight.get(),
            attempts: self.attempts.get(),
            outcomes: OUTCOMES
                .iter()
                .map(|(o, n)| (n.to_string(), self.outcomes[outcome_index(*o)].get()))
                .collect(),
            latency_mean_us: self.latency_us.get().checked_div(served),
            latency_p50_us: quantile(0.5),
            latency_p99_us: quantile(0.99),
            limit: self.limit.get().map(|v| LimitState {
                limit: v.limit,
                room: v.slots,
                held: v.in_flight,
                recent_us: v.latency.map(|l| (l.0 * 1e6) as u64),
                unloaded_us: v.latency.map(|l| (l.1 * 1e6) as u64),
                why: v.reason.name().into(),
            }),
        }
    }
}

#[cfg(test)]
mod tests;
