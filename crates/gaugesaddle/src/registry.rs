//! The one registry of counters, gauges and states. The driver and the fronts count here and nowhere else; the
//! log, the state socket and every later exit read a [`Snapshot`], a copy.
//!
//! Its size is fixed by names that are known: a row a class, a row a reason, a row a backend of the list. A
//! backend's row leaves when the backend has left the list and nothing of it is out.

use crate::exchange::Target;
use crate::tally::Tally;
use gaugesaddle_balancer::{BackendId, BackendState, ClassId, Micros, Outcome, Time};
use gaugesaddle_maintenance::{Lifecycle, Phase};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

pub use crate::snapshot::*;

/// Bounds of the latency histogram: each is the square root of two times the one before, from 0.5 ms to 23 s. A
/// quantile read from it is at most 42% too high.
const BUCKETS: usize = 32;
const FIRST_BOUND_US: f64 = 500.0;

/// How a request of a class ended. Taken = the sum of these and the open ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    InAim,
    Late,
    RefusedByModule,
    RefusedOpenCap,
    FailedByModule,
    /// The module had not answered when its turn after the deadline was over.
    FailedUnanswered,
    /// The module had to start anew.
    FailedRestart,
    /// Handed over, and no region had a place for it, or one refused it as not run.
    RefusedElsewhere,
    /// Handed over, and it may have run there without an answer in time.
    FailedElsewhere,
    /// Its client closed the connection first.
    Left,
}

impl End {
    /// The proxy did not serve it.
    pub fn gave_up(self) -> bool {
        !matches!(self, End::InAim | End::Late | End::Left)
    }
}

const ENDS: usize = End::Left as usize + 1;

#[derive(Default)]
struct ClassRow {
    taken: Cell<u64>,
    ends: [Cell<u64>; ENDS],
}

/// The counters of one backend.
pub(crate) struct BackendRow {
    target: RefCell<Target>,
    state: Cell<BackendState>,
    in_flight: Cell<u32>,
    attempts: Cell<u64>,
    outcomes: [Cell<u64>; OUTCOMES.len()],
    latency: [Cell<u32>; BUCKETS],
    latency_us: Cell<u64>,
    limit: Cell<Option<gaugesaddle_balancer::LimitView>>,
}

/// All outcomes of an attempt, by the names that every exit uses.
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

fn add(cell: &Cell<u64>, more: u64) {
    cell.set(cell.get().saturating_add(more));
}

impl BackendRow {
    fn new(target: Target) -> BackendRow {
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

    /// What the module last knew of its limit.
    pub fn limited(&self, view: gaugesaddle_balancer::LimitView) {
        self.limit.set(Some(view));
    }

    pub fn sent(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        add(&self.attempts, 1);
    }

    pub fn ended(&self, outcome: Outcome, latency: Micros) {
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

/// The upper bound of a bucket, in microseconds.
fn bound(bucket: usize) -> u64 {
    (FIRST_BOUND_US * 2f64.powf(bucket as f64 / 2.0)) as u64
}

/// Everything that is counted.
pub struct Registry {
    /// Connections and requests by reason.
    pub(crate) tally: Tally,
    classes: Vec<(String, ClassRow)>,
    backends: RefCell<HashMap<BackendId, Rc<BackendRow>>>,
    open: Cell<usize>,
    /// Some backend can be sent requests.
    pub(crate) serving: Cell<bool>,
    /// None can, and another region takes requests in their place.
    pub(crate) elsewhere: Cell<bool>,
    /// Clients can connect.
    pub(crate) listening: Cell<bool>,
    lifecycle: Cell<Lifecycle>,
    /// Connections accepted so far.
    pub(crate) connects: Cell<u64>,
    /// What the proxy stands in, and since when; calm where storms are not watched.
    pub(crate) storm: Cell<gaugesaddle_overload::StormPhase>,
    pub(crate) storm_seen: RefCell<Option<StormState>>,
    /// Other regions, where there are some.
    pub(crate) region: RefCell<Option<RegionView>>,
    /// The tier of proxies, where it is known: read when it is asked for.
    pub(crate) peers: RefCell<Option<Rc<crate::peers::Tier>>>,
    /// This proxy's part, where parts go by need.
    pub(crate) shares: RefCell<Option<SharesView>>,
    pub(crate) zones: RefCell<Option<ZonesView>>,
    /// Most see what this proxy does not: it asks for no more clients.
    pub(crate) cut_off: Cell<bool>,
    /// Proxies that live, where parts go by that; else 0.
    pub(crate) living: Rc<Cell<u32>>,
    pub(crate) connections: Cell<usize>,
    pub(crate) upstream_sockets: Cell<usize>,
    /// What one process may hold alone, and while two share it.
    bounds: [Bounds; 2],
    shared: Cell<bool>,
    pub(crate) body_bytes: Cell<usize>,
    list: Cell<(Option<u64>, Option<Time>)>,
    name: String,
    start: Time,
}

/// What bounds the registry's gauges.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    pub connections: usize,
    /// Of these so many are kept between requests.
    pub kept: usize,
    pub upstream_sockets: usize,
    pub body_bytes: usize,
}

impl Registry {
    pub(crate) fn new(name: &str, classes: &[String], bounds: [Bounds; 2], start: Time) -> Registry {
        Registry {
            tally: Tally::new(),
            classes: classes.iter().map(|c| (c.clone(), ClassRow::default())).collect(),
            backends: RefCell::default(),
            open: Cell::default(),
            serving: Cell::default(),
            elsewhere: Cell::default(),
            listening: Cell::default(),
            lifecycle: Cell::default(),
            connects: Cell::default(),
            storm: Cell::new(gaugesaddle_overload::StormPhase::Calm),
            storm_seen: RefCell::default(),
            region: RefCell::default(),
            peers: RefCell::default(),
            shares: RefCell::default(),
            zones: RefCell::default(),
            cut_off: Cell::new(false),
            living: Rc::default(),
            connections: Cell::default(),
            upstream_sockets: Cell::default(),
            bounds,
            shared: Cell::default(),
            body_bytes: Cell::default(),
            list: Cell::default(),
            name: name.into(),
            start,
        }
    }

    /// What this process may hold now.
    pub(crate) fn bounds(&self) -> Bounds {
        self.bounds[usize::from(self.shared.get())]
    }

    /// Another process of the same proxy runs beside this one, or does no more.
    pub(crate) fn share(&self, shared: bool) {
        self.shared.set(shared);
    }

    pub(crate) fn lifecycle(&self) -> Lifecycle {
        self.lifecycle.get()
    }

    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Lifecycle) -> T) -> T {
        let mut lifecycle = self.lifecycle.get();
        let told = change(&mut lifecycle);
        self.lifecycle.set(lifecycle);
        told
    }

    /// Clients may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        (self.serving.get() || self.elsewhere.get())
            && self.listening.get()
            && self.lifecycle.get().accepts_clients()
            && !self.cut_off.get()
    }

    /// Another region's requests may be sent here: they go no further than to backends of this one.
    pub(crate) fn serves_here(&self) -> bool {
        self.serving.get() && self.is_ready()
    }

    /// Requests that are owed an answer.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    pub(crate) fn taken(&self, class: ClassId) {
        self.open.set(self.open.get() + 1);
        if let Some((_, row)) = self.classes.get(class.0) {
            add(&row.taken, 1);
        }
    }

    pub(crate) fn ended(&self, class: ClassId, end: End) {
        self.open.set(self.open.get().saturating_sub(1));
        if let Some((_, row)) = self.classes.get(class.0) {
            add(&row.ends[end as usize], 1);
        }
    }

    /// News of the list: rows come, change and leave with it.
    pub(crate) fn list(&self, now: Time, index: Option<u64>, whole: bool, targets: &[Target]) {
        self.list.set((index.or(self.list.get().0), Some(now)));
        let mut rows = self.backends.borrow_mut();
        if whole {
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

    /// A copy of everything, as of now.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        // Rows of backends that left while an attempt was out go once it has ended.
        self.backends
            .borrow_mut()
            .retain(|_, r| r.state.get() != BackendState::Departed || r.in_flight.get() > 0);
        let classes = self.classes.iter().map(|(name, row)| {
            let end = |e: End| row.ends[e as usize].get();
            ClassState {
                name: name.clone(),
                taken: row.taken.get(),
                in_aim: end(End::InAim),
                late: end(End::Late),
                refused: Refused {
                    module: end(End::RefusedByModule),
                    open_cap: end(End::RefusedOpenCap),
                    elsewhere: end(End::RefusedElsewhere),
                },
                failed: Failed {
                    module: end(End::FailedByModule),
                    unanswered: end(End::FailedUnanswered),
                    restart: end(End::FailedRestart),
                    elsewhere: end(End::FailedElsewhere),
                },
                left: end(End::Left),
            }
        });
        let mut backends: Vec<BackendStateRow> = self.backends.borrow().values().map(|r| r.copy()).collect();
        backends.sort_by(|a, b| a.name.cmp(&b.name));
        let (index, told) = self.list.get();
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
            list: ListState { index, age_us: told.map(|t| (now - t).0) },
            reasons: self.tally.all(),
            connects: self.connects.get(),
            storm: self.storm_seen.borrow().clone(),
            region: self.region.borrow().clone(),
            peers: self.peers.borrow().as_ref().map(|tier| tier.view(now)),
            shares: self.shares.borrow().clone(),
            zones: self.zones.borrow().clone(),
        }
    }
}

impl BackendRow {
    fn copy(&self) -> BackendStateRow {
        let target = self.target.borrow();
        let served: u64 = self.latency.iter().map(|c| u64::from(c.get())).sum();
        let quantile = |part: f64| {
            let rank = (served as f64 * part).ceil() as u64;
            let mut seen = 0;
            let at = self.latency.iter().position(|c| {
                seen += u64::from(c.get());
                seen >= rank
            });
            at.filter(|_| served > 0).map(bound)
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
