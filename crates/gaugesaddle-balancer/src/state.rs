//! The state of one proxy: its records, its views for the host, and how latencies become speeds.

use crate::estimates::*;
use crate::interface::*;
use crate::limits::{turn_length, BASE_LIMIT};
use crate::records::*;
use std::collections::{BTreeMap, BTreeSet};

/// Memory of a kind's speed in seconds: the speed changes seldom, the rate that it is computed from
/// constantly.
const SPEED_MEMORY: f64 = 10.0;
/// Multiple of its kind's mean latency up to which one answer counts.
const LATENCY_CLIP: f64 = 3.0;
/// Retries per request: the usual tenth, doubled for the time until a failure is detected.
const RETRY_RATIO: f64 = 0.2;
/// Answers before a kind's mean latency counts.
const LATE_SAMPLES: f64 = 10.0;

/// The decisions of one proxy. The host reports every event in order and carries out the returned actions.
pub struct Balancer {
    pub(crate) cfg: Config,
    pub(crate) rng: Rng,
    pub(crate) backends: BTreeMap<BackendId, BackendRecord>,
    pub(crate) kinds: BTreeMap<KindId, Kind>,
    pub(crate) classes: Vec<ClassState>,
    pub(crate) overall: Mean,
    pub(crate) buckets: Vec<Bucket>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: Vec<RequestId>,
    /// First attempts of lower value have found no slot since the last event that could free one.
    pub(crate) blocked: f64,
    /// Fraction of the traffic that is admitted, and fraction of the arrivals that has a low value.
    pub(crate) admit: f64,
    pub(crate) low: f64,
    pub(crate) attempts: BTreeMap<(RequestId, AttemptNo), InFlightAttempt>,
    /// Attempts of this proxy in flight, and their limit.
    pub(crate) in_flight: usize,
    pub(crate) pool: f64,
    /// Limit of the mean number in flight.
    pub(crate) mean_limit: f64,
    /// Factor of the limits that slots are computed by, so that `MIN_OPEN` are open at least.
    pub(crate) open: f64,
    /// No backend has a slot for this proxy in the current rotation.
    pub(crate) without_slots: bool,
    pub(crate) load_mean: Level,
    /// Number of groups of backends; see [`crate::subset`].
    pub(crate) groups: u64,
    /// The backends that this proxy uses, in the order of their ids.
    pub(crate) used: Vec<BackendId>,
    /// Number of backends in use.
    pub(crate) ready: f64,
    pub(crate) unresponsive: Vec<BackendId>,
    pub(crate) rate: Rate,
    /// Requests that arrived, admitted or not, and the tokens of a storm's rate limit.
    pub(crate) arrivals: Rate,
    pub(crate) storm_admission: Bucket,
    pub(crate) pressure: StormLimits,
    pub(crate) offer: Offer,
    /// The proxies that share the traffic; by the settings until the host reports them.
    pub(crate) tier: Tier,
    /// Backends that the host assigned to this proxy.
    pub(crate) uses: BTreeMap<BackendId, BackendAssignment>,
    /// Length of the backends' turns.
    pub(crate) turn: Micros,
    /// How often the traffic split is solved, and when it was last.
    pub(crate) period: Micros,
    pub(crate) solved: Time,
    /// When something is next due by time alone.
    pub(crate) due: Time,
    pub(crate) timer: (u64, Option<Time>),
    pub(crate) subscription: Subscription,
    pub(crate) log_at: Time,
    /// Requests given up, by [`GivenUp`].
    pub(crate) given_up: [u64; 4],
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// A proxy without backends or requests.
    ///
    /// # Errors
    /// Where a field of the configuration is out of its range.
    pub fn new(cfg: Config, seed: u64) -> Result<Balancer, ConfigError> {
        cfg.validate()?;
        Ok(Balancer {
            rng: Rng::new(seed),
            backends: BTreeMap::new(),
            kinds: BTreeMap::new(),
            classes: cfg.classes.iter().map(|_| ClassState::default()).collect(),
            overall: Mean::default(),
            buckets: cfg.tenants.iter().map(|_| Bucket::default()).collect(),
            requests: BTreeMap::new(),
            queue: Vec::new(),
            blocked: 0.0,
            admit: 1.0,
            low: 0.0,
            attempts: BTreeMap::new(),
            in_flight: 0,
            pool: 0.0,
            mean_limit: 0.0,
            open: 1.0,
            without_slots: false,
            load_mean: Level::default(),
            groups: 1,
            used: Vec::new(),
            ready: 0.0,
            unresponsive: Vec::new(),
            rate: Rate::default(),
            arrivals: Rate::default(),
            storm_admission: Bucket::default(),
            pressure: StormLimits { admit_per_s: None, hedging: true, retry_ratio: RETRY_RATIO },
            offer: Offer::default(),
            tier: Tier { proxies: cfg.proxies, position: cfg.position, weight: 1.0 },
            uses: BTreeMap::new(),
            turn: turn_length(&cfg),
            // An answer is known to be late only after an objective: estimates move no faster.
            period: cfg.classes.iter().map(|c| c.latency_objective).min().unwrap_or_default(),
            solved: Time(0),
            due: Time(0),
            timer: (0, None),
            subscription: Subscription {
                retry_at: (cfg.discovery != Discovery::Push).then_some(Time(0)),
                wait_s: 0.0,
            },
            log_at: Time(0),
            given_up: [0; 4],
            actions: Vec::new(),
            cfg,
        })
    }

    /// After which time a client that is refused now should retry: until then the current rate still counts.
    pub fn retry_after(&self) -> Micros {
        Micros::from_secs(RATE_MEMORY)
    }

    /// Makes the next timer fire at `at` at the latest.
    pub(crate) fn wake_by(&mut self, at: Time) {
        self.due = self.due.min(at);
    }

    /// Usual latency of a served request of the class; a quarter of its objective before any was served.
    pub(crate) fn usual(&self, class: usize) -> Micros {
        let known = self.classes[class].latency.get();
        known.map_or(self.cfg.classes[class].latency_objective.times(0.25), Micros::from_secs)
    }

    /// A class's work relative to the mean, estimated by latency.
    pub(crate) fn work(&self, class: usize) -> f64 {
        self.classes[class].latency.get().map_or(1.0, |own| own / self.overall.value)
    }

    /// The current state, for operators.
    pub fn status(&self) -> BalancerStatus {
        BalancerStatus {
            rate: self.rate.per_s().unwrap_or(0.0),
            arrivals: self.arrivals.per_s().unwrap_or(0.0),
            admit: self.admit,
            pool: self.pool,
            in_flight: self.in_flight,
            queued: self.queue.len(),
            ready: self.ready,
            routed_fraction: self.kinds.values().map(|k| k.routed_fraction).sum(),
            given_up: self.given_up,
        }
    }

    /// Capacity of the healthy backends, and demand, in requests per second. An ejected backend counts again
    /// after its first served request.
    pub fn capacity(&self) -> Capacity {
        let hold: f64 = self.backends.values().filter(|p| p.is_healthy()).map(|p| p.limit * p.fraction).sum();
        let able = self.rate_of(hold);
        let arrivals = self.arrivals.per_s().unwrap_or(0.0);
        Capacity {
            capacity_per_s: able,
            demand_per_s: self.classes.iter().map(|c| c.demand * arrivals).collect(),
        }
    }

    /// The backends that are listed ready, by id: those that may be assigned to proxies.
    pub fn listed(&self) -> Vec<(BackendId, KindId, ZoneId)> {
        let ready = self.backends.values().filter(|p| p.entry.state == BackendState::Ready);
        ready.map(|p| (p.entry.id, p.entry.kind, p.entry.zone)).collect()
    }

    /// Requests per second at `hold` requests in flight (Little's law).
    fn rate_of(&self, hold: f64) -> f64 {
        match self.overall.get() {
            _ if hold <= 0.0 => 0.0,
            Some(latency) => hold / latency.max(1e-6),
            None => f64::INFINITY,
        }
    }

    /// Capacity by zone; zones without a backend that this proxy uses are left out.
    pub fn zones(&self) -> BTreeMap<ZoneId, ZoneCapacity> {
        let mut zones: BTreeMap<ZoneId, (ZoneCapacity, f64)> = BTreeMap::new();
        for p in self.backends.values().filter(|p| p.used && p.entry.state == BackendState::Ready) {
            let (zone, hold) = zones.entry(p.entry.zone).or_default();
            zone.backends += 1;
            zone.unhealthy += u32::from(!p.is_healthy());
            *hold += if p.is_healthy() { p.limit * p.fraction } else { 0.0 };
        }
        let able = |(id, (zone, hold))| (id, ZoneCapacity { capacity_per_s: self.rate_of(hold), ..zone });
        zones.into_iter().map(able).collect()
    }

    /// The limit of each backend.
    pub fn limits(&self) -> Vec<LimitView> {
        let at_bound = |limit: f64| limit <= self.cfg.limits.min || limit >= self.cfg.limits.max;
        let view = |(id, p): (&BackendId, &BackendRecord)| LimitView {
            backend: *id,
            limit: p.limit,
            slots: p.slots as u32,
            in_flight: p.in_flight,
            latency: p.limiter.latencies(),
            reason: match self.kinds.get(&p.entry.kind) {
                Some(_) if self.cfg.limits.learned && at_bound(p.limit) => LimitReason::Bound,
                Some(k) if self.cfg.limits.learned => k.search.reason,
                _ => LimitReason::Constant,
            },
        };
        self.backends.iter().map(view).collect()
    }

    /// Logs a line for operators, at most two per second.
    pub(crate) fn log(&mut self, now: Time, text: String) {
        if now >= self.log_at {
            self.log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }

    /// Work that all proxies together may send to a backend in slow start in a fall window; infinite after it.
    pub(crate) fn fall_limit(&self, now: Time, p: &BackendRecord) -> f64 {
        let capacity = capacity_fraction(&self.cfg, now, &p.entry, 1.0);
        if capacity >= 1.0 {
            return f64::INFINITY;
        }
        let fair =
            self.rate.per_s().unwrap_or(1.0) / self.tier.traffic_fraction() / self.backends.len() as f64;
        // With few ready backends the flow overshoots; a backend within its limit is no faster than this.
        let hold = |k: &Kind| if k.limit > 0.0 { k.limit } else { BASE_LIMIT };
        let known = |k: &Kind| k.latency.get().map(|t| k.speed.min((1.0 + hold(k)) / t));
        let speed = self.kinds.get(&p.entry.kind).and_then(known).unwrap_or(fair);
        self.cfg.fall_multiple * capacity * speed * self.cfg.fall_window.secs()
    }

    /// Applies an update of the list to the records; whether anything but weights changed.
    pub(crate) fn apply_list(&mut self, update: ListUpdate, list: Vec<Backend>) -> bool {
        let mut changed = false;
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            let named: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
            for p in self.backends.values_mut().filter(|p| !named.contains(&p.entry.id)) {
                (p.entry.state, changed) = (BackendState::Departed, true);
            }
        }
        for entry in list {
            let p = self.backends.entry(entry.id).or_default();
            if p.entry.booted != entry.booted {
                // A restarted process shares only the address with the old one.
                *p = BackendRecord {
                    in_flight: p.in_flight,
                    used: p.used,
                    recent_work: std::mem::take(&mut p.recent_work),
                    ..BackendRecord::default()
                };
            }
            // Live weights change constantly; the next regular solve applies them.
            changed |= p.entry != Backend { weight: p.entry.weight, ..entry.clone() };
            p.entry = entry;
        }
        changed
    }

    /// Updates every kind's speed from its latency and its fraction of the rate; kinds without data get the
    /// mean.
    pub(crate) fn estimate_speeds(&mut self, passed: f64, rate: Option<f64>) {
        for k in self.kinds.values_mut() {
            let flow = if k.ready > 0.0 { rate.unwrap_or(0.0) * k.traffic_fraction / k.ready } else { 0.0 };
            // Smoothed, since the flow is this proxy's own estimate: unsmoothed, a kind with a large fraction
            // looks ever faster, and proxies oscillate together.
            let speed = k.latency.get().map_or(0.0, |t| 1.0 / t + flow);
            let weight = if k.latency.count < LATE_SAMPLES { 1.0 } else { (passed / SPEED_MEMORY).min(1.0) };
            k.speed += (speed - k.speed) * weight;
        }
        let speeds = self.kinds.values().filter(|k| k.speed > 0.0).map(|k| k.speed);
        let (sum, count) = speeds.fold((0.0, 0.0), |n, s| (n.0 + s, n.1 + 1.0));
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        self.kinds.values_mut().filter(|k| k.speed == 0.0).for_each(|k| k.speed = mean);
    }

    /// Records a served request's latency.
    pub(crate) fn record_served(&mut self, kind: KindId, class: usize, latency: Micros) {
        // Served requests only: errors, time-outs and refusals stay out of the speeds.
        let secs = latency.secs().max(1e-6);
        self.classes[class].latency.add(secs, KIND_SAMPLES);
        self.overall.add(secs, KIND_SAMPLES);
        let plain = secs * self.overall.value / self.classes[class].latency.value;
        let k = self.kinds.entry(kind).or_default();
        // Unhealthy backends answer late; a few such answers must not slow their kind's estimate.
        k.latency.add(plain.min(k.latency.get().unwrap_or(plain) * LATENCY_CLIP), KIND_SAMPLES);
    }
}
