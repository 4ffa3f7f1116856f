//! The state of one proxy: its records, its views for the host, and the speed estimates of kinds.

use crate::estimates::*;
use crate::interface::*;
use crate::limits::{turn_length, BASE_LIMIT};
use crate::records::*;
use std::collections::{BTreeMap, BTreeSet};

/// Time constant of a kind's speed: the speed changes rarely, but the rate from which it is computed fluctuates.
const SPEED_TIME_CONSTANT_S: f64 = 10.0;
/// Multiple of the kind's mean latency at which a sample is clipped.
const LATENCY_CLIP: f64 = 3.0;
/// Retry budget per request: the usual tenth, doubled to cover the time until a failure is detected.
const RETRY_RATIO: f64 = 0.2;
/// Minimum samples before a kind's speed is smoothed.
const MIN_KIND_SAMPLES: f64 = 10.0;

/// The load balancer of one proxy. The host reports every event in order and carries out the returned actions.
pub struct Balancer {
    pub(crate) cfg: Config,
    pub(crate) rng: Rng,
    pub(crate) backends: BTreeMap<BackendId, BackendRecord>,
    pub(crate) kinds: BTreeMap<KindId, Kind>,
    pub(crate) classes: Vec<ClassState>,
    pub(crate) overall: Mean,
    pub(crate) quota_buckets: Vec<TokenBucket>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) queue: Vec<RequestId>,
    /// First attempts of a value below this are not tried: none has found a slot since the last event that could free
    /// one.
    pub(crate) blocked_below: f64,
    /// Fraction of the traffic that is admitted, and fraction of the arrivals that have a low value.
    pub(crate) admitted_fraction: f64,
    pub(crate) low_fraction: f64,
    pub(crate) attempts: BTreeMap<(RequestId, AttemptNo), InFlightAttempt>,
    /// Attempts of this proxy in flight, and their maximum.
    pub(crate) in_flight: usize,
    pub(crate) max_in_flight: f64,
    /// Limit of the mean number of attempts in flight.
    pub(crate) mean_limit: f64,
    /// Factor of the backends' limits from which slots are computed, so that the mean limit is at least
    /// `MIN_MEAN_LIMIT`.
    pub(crate) limit_factor: f64,
    /// Whether no backend has a slot for this proxy in the current rotation.
    pub(crate) without_slots: bool,
    pub(crate) mean_in_flight: TimeWeightedMean,
    /// Number of groups of backends; see [`crate::subset`].
    pub(crate) groups: u64,
    /// The backends that this proxy uses, in the order of their ids.
    pub(crate) used: Vec<BackendId>,
    /// Number of ready backends in use that are not ejected.
    pub(crate) usable: f64,
    pub(crate) unresponsive: Vec<BackendId>,
    pub(crate) rate: Rate,
    /// Rate of arrivals, admitted or not, and the token bucket of a retry storm's rate limit.
    pub(crate) arrivals: Rate,
    pub(crate) storm_bucket: TokenBucket,
    pub(crate) storm_limits: StormLimits,
    pub(crate) offer: Offer,
    /// The proxies that share the traffic; from the settings until the host reports them.
    pub(crate) tier: Tier,
    /// Backends that are assigned to this proxy.
    pub(crate) assignments: BTreeMap<BackendId, BackendAssignment>,
    /// Length of the backends' turns.
    pub(crate) turn_length: Micros,
    /// Interval at which the traffic split is solved, and the time of the last solve.
    pub(crate) solve_interval: Micros,
    pub(crate) solved_at: Time,
    /// Time of the next timed check.
    pub(crate) due_at: Time,
    pub(crate) timer: (u64, Option<Time>),
    pub(crate) subscription: Subscription,
    pub(crate) next_log_at: Time,
    /// Number of abandoned requests, by [`AbandonReason`].
    pub(crate) abandoned: [u64; 4],
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// A proxy without backends or requests.
    ///
    /// # Errors
    /// Returns the field of the configuration that is out of its range.
    pub fn new(cfg: Config, seed: u64) -> Result<Balancer, ConfigError> {
        cfg.validate()?;
        Ok(Balancer {
            rng: Rng::new(seed),
            backends: BTreeMap::new(),
            kinds: BTreeMap::new(),
            classes: cfg.classes.iter().map(|_| ClassState::default()).collect(),
            overall: Mean::default(),
            quota_buckets: cfg.tenants.iter().map(|_| TokenBucket::default()).collect(),
            requests: BTreeMap::new(),
            queue: Vec::new(),
            blocked_below: 0.0,
            admitted_fraction: 1.0,
            low_fraction: 0.0,
            attempts: BTreeMap::new(),
            in_flight: 0,
            max_in_flight: 0.0,
            mean_limit: 0.0,
            limit_factor: 1.0,
            without_slots: false,
            mean_in_flight: TimeWeightedMean::default(),
            groups: 1,
            used: Vec::new(),
            usable: 0.0,
            unresponsive: Vec::new(),
            rate: Rate::default(),
            arrivals: Rate::default(),
            storm_bucket: TokenBucket::default(),
            storm_limits: StormLimits { admit_per_s: None, hedging: true, retry_ratio: RETRY_RATIO },
            offer: Offer::default(),
            tier: Tier { proxies: cfg.proxies, position: cfg.position, weight: 1.0 },
            assignments: BTreeMap::new(),
            turn_length: turn_length(&cfg),
            // A late answer is detected only after an objective has passed: estimates change no faster.
            solve_interval: cfg.classes.iter().map(|c| c.latency_objective).min().unwrap_or_default(),
            solved_at: Time(0),
            due_at: Time(0),
            timer: (0, None),
            subscription: Subscription {
                retry_at: (cfg.discovery != Discovery::Push).then_some(Time(0)),
                wait_s: 0.0,
            },
            next_log_at: Time(0),
            abandoned: [0; 4],
            actions: Vec::new(),
            cfg,
        })
    }

    /// Delay after which a refused client should retry: until then the current rate still affects decisions.
    pub fn retry_after(&self) -> Micros {
        Micros::from_secs(RATE_TIME_CONSTANT_S)
    }

    /// Schedules the next timed check at `at` at the latest.
    pub(crate) fn schedule_by(&mut self, at: Time) {
        self.due_at = self.due_at.min(at);
    }

    /// Mean latency of served requests of the class; a quarter of its objective before any was served.
    pub(crate) fn usual_latency(&self, class: usize) -> Micros {
        let known = self.classes[class].latency.get();
        known.map_or(self.cfg.classes[class].latency_objective.times(0.25), Micros::from_secs)
    }

    /// Work of a request of the class relative to the mean, estimated from latency.
    pub(crate) fn work(&self, class: usize) -> f64 {
        self.classes[class].latency.get().map_or(1.0, |own| own / self.overall.value)
    }

    /// The current state, for operators' tools.
    pub fn status(&self) -> BalancerStatus {
        BalancerStatus {
            rate: self.rate.per_s().unwrap_or(0.0),
            arrivals: self.arrivals.per_s().unwrap_or(0.0),
            admit: self.admitted_fraction,
            pool: self.max_in_flight,
            in_flight: self.in_flight,
            queued: self.queue.len(),
            ready: self.usable,
            routed_fraction: self.kinds.values().map(|k| k.routed_fraction).sum(),
            abandoned: self.abandoned,
        }
    }

    /// Capacity of the healthy backends, and demand, in requests per second. A backend that was ejected counts again
    /// after its first served request.
    pub fn capacity(&self) -> Capacity {
        let concurrency: f64 =
            self.backends.values().filter(|p| p.is_healthy()).map(|p| p.limit * p.limit_fraction).sum();
        let capacity_per_s = self.rate_at(concurrency);
        let arrivals = self.arrivals.per_s().unwrap_or(0.0);
        Capacity { capacity_per_s, demand_per_s: self.classes.iter().map(|c| c.demand * arrivals).collect() }
    }

    /// The backends that are listed as ready, by id. They may be assigned to proxies.
    pub fn listed(&self) -> Vec<(BackendId, KindId, ZoneId)> {
        let ready = self.backends.values().filter(|p| p.entry.state == BackendState::Ready);
        ready.map(|p| (p.entry.id, p.entry.kind, p.entry.zone)).collect()
    }

    /// Requests per second at a number of requests in flight (Little's law).
    fn rate_at(&self, concurrency: f64) -> f64 {
        match self.overall.get() {
            _ if concurrency <= 0.0 => 0.0,
            Some(latency) => concurrency / latency.max(1e-6),
            None => f64::INFINITY,
        }
    }

    /// Capacity by zone, of the zones that have a backend in use.
    pub fn zones(&self) -> BTreeMap<ZoneId, ZoneCapacity> {
        let mut zones: BTreeMap<ZoneId, (ZoneCapacity, f64)> = BTreeMap::new();
        for p in self.backends.values().filter(|p| p.used && p.entry.state == BackendState::Ready) {
            let (zone, limit) = zones.entry(p.entry.zone).or_default();
            zone.backends += 1;
            zone.unhealthy += u32::from(!p.is_healthy());
            *limit += if p.is_healthy() { p.limit * p.limit_fraction } else { 0.0 };
        }
        let view = |(id, (zone, limit))| (id, ZoneCapacity { capacity_per_s: self.rate_at(limit), ..zone });
        zones.into_iter().map(view).collect()
    }

    /// The limit of each backend.
    pub fn limits(&self) -> Vec<LimitView> {
        let at_bound = |limit: f64| limit <= self.cfg.limits.min || limit >= self.cfg.limits.max;
        let view = |(id, p): (&BackendId, &BackendRecord)| LimitView {
            backend: *id,
            limit: p.limit,
            slots: p.slots as u32,
            in_flight: p.in_flight,
            latency: p.limiter.recent_latencies(),
            reason: match self.kinds.get(&p.entry.kind) {
                Some(_) if self.cfg.limits.learned && at_bound(p.limit) => LimitReason::Bound,
                Some(k) if self.cfg.limits.learned => k.search.reason,
                _ => LimitReason::Constant,
            },
        };
        self.backends.iter().map(view).collect()
    }

    /// Logs a line for operators, at most two per second; further lines are dropped.
    pub(crate) fn log(&mut self, now: Time, text: String) {
        if now >= self.next_log_at {
            self.next_log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }

    /// Work that all proxies together may send to a backend in slow start in a fall window; infinite after slow
    /// start.
    pub(crate) fn fall_limit(&self, now: Time, p: &BackendRecord) -> f64 {
        let capacity = capacity_fraction(&self.cfg, now, &p.entry, 1.0);
        if capacity >= 1.0 {
            return f64::INFINITY;
        }
        let fair =
            self.rate.per_s().unwrap_or(1.0) / self.tier.traffic_fraction() / self.backends.len() as f64;
        // With few ready backends the estimated flow is too high; a backend within its limit is no faster than this.
        let concurrency = |k: &Kind| if k.limit > 0.0 { k.limit } else { BASE_LIMIT };
        let known = |k: &Kind| k.latency.get().map(|t| k.speed.min((1.0 + concurrency(k)) / t));
        let speed = self.kinds.get(&p.entry.kind).and_then(known).unwrap_or(fair);
        self.cfg.fall_multiple * capacity * speed * self.cfg.fall_window.secs()
    }

    /// Applies an update of the list to the records. Returns whether anything but weights changed.
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
                // A restarted process has only its address in common with the previous one.
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

    /// Updates every kind's speed from its latency and its fraction of the rate. Kinds without samples get the mean.
    pub(crate) fn estimate_speeds(&mut self, passed: f64, rate: Option<f64>) {
        for k in self.kinds.values_mut() {
            let flow =
                if k.readiness > 0.0 { rate.unwrap_or(0.0) * k.traffic_fraction / k.readiness } else { 0.0 };
            // Smoothed, since the flow is this proxy's own estimate: unsmoothed, the estimated speed of a kind with a
            // large fraction keeps rising, and all proxies oscillate together.
            let speed = k.latency.get().map_or(0.0, |t| 1.0 / t + flow);
            let weight = if k.latency.count < MIN_KIND_SAMPLES {
                1.0
            } else {
                (passed / SPEED_TIME_CONSTANT_S).min(1.0)
            };
            k.speed += (speed - k.speed) * weight;
        }
        let speeds = self.kinds.values().filter(|k| k.speed > 0.0).map(|k| k.speed);
        let (sum, count) = speeds.fold((0.0, 0.0), |n, s| (n.0 + s, n.1 + 1.0));
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        self.kinds.values_mut().filter(|k| k.speed == 0.0).for_each(|k| k.speed = mean);
    }

    /// Records a served request's latency.
    pub(crate) fn record_served(&mut self, kind: KindId, class: usize, latency: Micros) {
        // Errors, time-outs and refusals are not samples of the speed.
        let secs = latency.secs().max(1e-6);
        self.classes[class].latency.add(secs, KIND_SAMPLES);
        self.overall.add(secs, KIND_SAMPLES);
        let plain = secs * self.overall.value / self.classes[class].latency.value;
        let k = self.kinds.entry(kind).or_default();
        // A few late answers of unhealthy backends must not lower the speed estimate of their kind.
        k.latency.add(plain.min(k.latency.get().unwrap_or(plain) * LATENCY_CLIP), KIND_SAMPLES);
    }
}
