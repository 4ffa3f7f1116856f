//! The state of one proxy: its records, its views for the host, and how latencies become speeds.

use crate::estimates::*;
use crate::interface::*;
use crate::limits::{turn_length, BASE_LIMIT};
use crate::records::*;
use std::collections::{BTreeMap, BTreeSet};

/// Memory of a kind's speed, s: a machine's speed changes seldom, the rate it is computed from all the time.
const SPEED_MEMORY: f64 = 10.0;
/// Multiple of its kind's mean latency up to which one answer counts.
const LATENCY_CLIP: f64 = 3.0;
/// Extra attempts for each request: the usual tenth, doubled for the time until a failure is seen.
const RETRY_RATIO: f64 = 0.2;
/// Answers before a kind's mean latency counts.
const LATE_SAMPLES: f64 = 10.0;

/// The decisions of one proxy. Give it every event in order; it answers with actions.
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
    /// First tries worth less than this have found no room since the last event that could make some.
    pub(crate) blocked: f64,
    /// Part of the traffic that is let in, and the part of the arrivals that is worth little.
    pub(crate) admit: f64,
    pub(crate) low: f64,
    pub(crate) attempts: BTreeMap<(RequestId, AttemptNo), Flight>,
    /// Attempts of this proxy that are out, and how many may be.
    pub(crate) out: usize,
    pub(crate) pool: f64,
    /// What it may hold in the mean, and has held of late.
    pub(crate) mean_limit: f64,
    /// Multiple of its turns' parts that its rooms go by.
    pub(crate) open: f64,
    /// None of the backends is in its turn.
    pub(crate) turnless: bool,
    pub(crate) load_mean: Level,
    /// Groups that the backends are cut into, one for each proxy of a round.
    pub(crate) groups: u64,
    /// The backends that it uses, in their order: a request looks through no others.
    pub(crate) used: Vec<BackendId>,
    /// Backends that are in use.
    pub(crate) ready: f64,
    pub(crate) unresponsive: Vec<BackendId>,
    pub(crate) rate: Rate,
    /// Requests that came, let in or not, and what is left of what a storm lets in.
    pub(crate) arrivals: Rate,
    pub(crate) let_in: Bucket,
    pub(crate) pressure: Pressure,
    pub(crate) offer: Offer,
    /// Who shares the traffic; by the settings until it is told.
    pub(crate) tier: Tier,
    /// Backends that it is told to use, and how.
    pub(crate) uses: BTreeMap<BackendId, Use>,
    /// Backends' turns last so long.
    pub(crate) turn: Micros,
    /// The shares are solved this often, and when.
    pub(crate) period: Micros,
    pub(crate) solved: Time,
    /// When time alone next asks for attention.
    pub(crate) due: Time,
    pub(crate) timer: (u64, Option<Time>),
    pub(crate) subscription: Subscription,
    pub(crate) log_at: Time,
    /// Requests given up, by [`GivenUp`].
    pub(crate) given_up: [u64; 4],
    pub(crate) actions: Vec<Action>,
}

impl Balancer {
    /// A proxy that knows nothing yet but its configuration.
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
            out: 0,
            pool: 0.0,
            mean_limit: 0.0,
            open: 1.0,
            turnless: false,
            load_mean: Level::default(),
            groups: 1,
            used: Vec::new(),
            ready: 0.0,
            unresponsive: Vec::new(),
            rate: Rate::default(),
            arrivals: Rate::default(),
            let_in: Bucket::default(),
            pressure: Pressure { let_in_per_s: None, copies: true, retry_ratio: RETRY_RATIO },
            offer: Offer::default(),
            tier: Tier { proxies: cfg.proxies, position: cfg.position, weight: 1.0 },
            uses: BTreeMap::new(),
            turn: turn_length(&cfg),
            // No answer is told late by less than an aim: estimates move no faster.
            period: cfg.classes.iter().map(|c| c.aim).min().unwrap_or_default(),
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

    /// When a client that is refused now may find room: until then the rate that left it none still counts.
    pub fn retry_after(&self) -> Micros {
        Micros::from_secs(RATE_MEMORY)
    }

    /// Asks for attention at that time at the latest.
    pub(crate) fn wake_by(&mut self, at: Time) {
        self.due = self.due.min(at);
    }

    /// What a served request of the class usually takes; before any was served, a quarter of its aim.
    pub(crate) fn usual(&self, class: usize) -> Micros {
        let known = self.classes[class].latency.get();
        known.map_or(self.cfg.classes[class].aim.times(0.25), Micros::from_secs)
    }

    /// A class's work beside the mean, so far as latency tells it.
    pub(crate) fn work(&self, class: usize) -> f64 {
        self.classes[class].latency.get().map_or(1.0, |own| own / self.overall.value)
    }

    /// How the proxy stands, for those who look for a cause.
    pub fn standing(&self) -> Standing {
        Standing {
            rate: self.rate.per_s().unwrap_or(0.0),
            arrivals: self.arrivals.per_s().unwrap_or(0.0),
            admit: self.admit,
            pool: self.pool,
            out: self.out,
            held: self.queue.len(),
            ready: self.ready,
            pull: self.kinds.values().map(|k| k.pull).sum(),
            given_up: self.given_up,
        }
    }

    /// What the backends can do that this proxy has no reason to doubt, and what comes. One that was ejected counts
    /// again with its first good answer.
    pub fn capacity(&self) -> Capacity {
        let hold: f64 = self.backends.values().filter(|p| p.is_sound()).map(|p| p.limit * p.fraction).sum();
        let able = self.rate_of(hold);
        let arrivals = self.arrivals.per_s().unwrap_or(0.0);
        Capacity { able, demand: self.classes.iter().map(|c| c.demand * arrivals).collect() }
    }

    /// The backends that are listed ready, by their ids: those that may be dealt out.
    pub fn listed(&self) -> Vec<(BackendId, KindId, ZoneId)> {
        let ready = self.backends.values().filter(|p| p.entry.state == BackendState::Ready);
        ready.map(|p| (p.entry.id, p.entry.kind, p.entry.zone)).collect()
    }

    /// Requests a second of those that are held so many at a time.
    fn rate_of(&self, hold: f64) -> f64 {
        match self.overall.get() {
            _ if hold <= 0.0 => 0.0,
            Some(latency) => hold / latency.max(1e-6),
            None => f64::INFINITY,
        }
    }

    /// The same by zone; a zone without a backend that this proxy uses is left out.
    pub fn zones(&self) -> BTreeMap<ZoneId, ZoneCapacity> {
        let mut zones: BTreeMap<ZoneId, (ZoneCapacity, f64)> = BTreeMap::new();
        for p in self.backends.values().filter(|p| p.used && p.entry.state == BackendState::Ready) {
            let (zone, hold) = zones.entry(p.entry.zone).or_default();
            zone.backends += 1;
            zone.ill += u32::from(!p.is_sound());
            *hold += if p.is_sound() { p.limit * p.fraction } else { 0.0 };
        }
        let able = |(id, (zone, hold))| (id, ZoneCapacity { able: self.rate_of(hold), ..zone });
        zones.into_iter().map(able).collect()
    }

    /// What is known of each backend's limit.
    pub fn limits(&self) -> Vec<LimitView> {
        let at_bound = |limit: f64| limit <= self.cfg.limits.least || limit >= self.cfg.limits.most;
        let view = |(id, p): (&BackendId, &BackendRecord)| LimitView {
            backend: *id,
            limit: p.limit,
            room: p.slots as u32,
            held: p.out,
            latency: p.limiter.latencies(),
            why: match self.kinds.get(&p.entry.kind) {
                Some(_) if self.cfg.limits.learned && at_bound(p.limit) => LimitReason::Bound,
                Some(k) if self.cfg.limits.learned => k.search.reason,
                _ => LimitReason::Constant,
            },
        };
        self.backends.iter().map(view).collect()
    }

    /// A line for the operators, two a second at most.
    pub(crate) fn log(&mut self, now: Time, text: String) {
        if now >= self.log_at {
            self.log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }

    /// Work that all proxies may send to a cold backend in a fall window; infinite once it is warm.
    pub(crate) fn fall_limit(&self, now: Time, p: &BackendRecord) -> f64 {
        let warm = warm_fraction(&self.cfg, now, &p.entry, 1.0);
        if warm >= 1.0 {
            return f64::INFINITY;
        }
        let fair = self.rate.per_s().unwrap_or(1.0) / self.tier.share() / self.backends.len() as f64;
        // Beside few ready backends the flow overshoots; one that holds no more than its limit is no faster than this.
        let hold = |k: &Kind| if k.limit > 0.0 { k.limit } else { BASE_LIMIT };
        let known = |k: &Kind| k.latency.get().map(|t| k.speed.min((1.0 + hold(k)) / t));
        let speed = self.kinds.get(&p.entry.kind).and_then(known).unwrap_or(fair);
        self.cfg.fall_multiple * warm * speed * self.cfg.fall_window.secs()
    }

    /// Takes news of the list into the records; true if anything but weights changed.
    pub(crate) fn take_list(&mut self, update: ListUpdate, list: Vec<Backend>) -> bool {
        let mut changed = false;
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            let named: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
            for p in self.backends.values_mut().filter(|p| !named.contains(&p.entry.id)) {
                (p.entry.state, changed) = (BackendState::Gone, true);
            }
        }
        for entry in list {
            let p = self.backends.entry(entry.id).or_default();
            if p.entry.booted != entry.booted {
                // A restarted process has nothing in common with the old one but its address.
                *p = BackendRecord {
                    out: p.out,
                    used: p.used,
                    spent: std::mem::take(&mut p.spent),
                    ..BackendRecord::default()
                };
            }
            // A live weight moves all the time; the next regular solving takes it in.
            changed |= p.entry != Backend { weight: p.entry.weight, ..entry.clone() };
            p.entry = entry;
        }
        changed
    }

    /// Speed of every kind from its latency and its part of the rate; kinds without data: as fast as the others.
    pub(crate) fn estimate_speeds(&mut self, passed: f64, rate: Option<f64>) {
        for k in self.kinds.values_mut() {
            let flow = if k.ready > 0.0 { rate.unwrap_or(0.0) * k.share / k.ready } else { 0.0 };
            // Smoothed: the flow that this proxy computes is its own view; unsmoothed a kind with a large share
            // looks ever faster, and proxies swing together.
            let speed = k.latency.get().map_or(0.0, |t| 1.0 / t + flow);
            let weight = if k.latency.count < LATE_SAMPLES { 1.0 } else { (passed / SPEED_MEMORY).min(1.0) };
            k.speed += (speed - k.speed) * weight;
        }
        let speeds = self.kinds.values().filter(|k| k.speed > 0.0).map(|k| k.speed);
        let (sum, count) = speeds.fold((0.0, 0.0), |n, s| (n.0 + s, n.1 + 1.0));
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        self.kinds.values_mut().filter(|k| k.speed == 0.0).for_each(|k| k.speed = mean);
    }

    /// Takes in a served request's latency.
    pub(crate) fn served(&mut self, kind: KindId, class: usize, latency: Micros) {
        // Served requests only: errors, time-outs and refusals stay out of the speeds.
        let secs = latency.secs().max(1e-6);
        self.classes[class].latency.add(secs, KIND_SAMPLES);
        self.overall.add(secs, KIND_SAMPLES);
        let plain = secs * self.overall.value / self.classes[class].latency.value;
        let k = self.kinds.entry(kind).or_default();
        // Ill backends answer late; a few such answers must not make the whole kind look slow.
        k.latency.add(plain.min(k.latency.get().unwrap_or(plain) * LATENCY_CLIP), KIND_SAMPLES);
    }
}
