//! What a proxy remembers: running estimates and plain records. No decisions.

use crate::interface::*;
use crate::limits::{turn_length, Limiter, Search, Turn, Unloaded, HOLD};
use crate::logic::{KIND_SAMPLES, LATENCY_CLIP, LATE_SAMPLES, RETRY_RATIO, SPEED_MEMORY};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

/// The proxy's own random numbers, the same on every machine for the same seed.
pub(crate) struct Dice(Pcg32);

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice(Pcg32::seed_from_u64(seed))
    }

    /// Even from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// One of the items, each with its weight.
    pub fn pick<T: Copy>(&mut self, weighted: &[(T, f64)]) -> Option<T> {
        let mut left = self.unit() * weighted.iter().map(|w| w.1).sum::<f64>();
        let mut hit = |w: &&(T, f64)| {
            left -= w.1;
            left < 0.0
        };
        weighted.iter().find(&mut hit).or(weighted.last()).map(|w| w.0)
    }
}

/// A mean over about the last `cap` samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub value: f64,
    pub count: f64,
}

impl Mean {
    pub fn add(&mut self, sample: f64, cap: f64) {
        self.count = (self.count + 1.0).min(cap);
        self.value += (sample - self.value) / self.count;
    }

    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Events a second over about the last seconds, [`RATE_MEMORY`] where no other number is given; unbiased from the
/// start on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    memory: f64,
    events: f64,
    seen: f64,
    at: Option<Time>,
}

/// Memory of a rate, s: some hundred arrivals, yet short beside a ramp or a failure.
pub(crate) const RATE_MEMORY: f64 = 2.0;

impl Default for Rate {
    fn default() -> Rate {
        Rate::over(RATE_MEMORY)
    }
}

impl Rate {
    /// One with another memory, s.
    pub fn over(memory: f64) -> Rate {
        Rate { memory, events: 0.0, seen: 0.0, at: None }
    }

    /// Counts `events` at `now`; none just lets time pass.
    pub fn add(&mut self, now: Time, events: f64) {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        let fade = (-gap / self.memory).exp();
        self.events = self.events * fade + events;
        self.seen = self.seen * fade + (1.0 - fade) * self.memory;
        self.at = Some(now);
    }

    /// `None` until a twentieth of the memory has passed.
    pub fn per_s(&self) -> Option<f64> {
        (self.seen > self.memory / 20.0).then(|| self.events / self.seen)
    }
}

/// Memory of a level, s: what makes a backend choke is the mean over some seconds, and this acts ahead of it.
const LEVEL_MEMORY: f64 = 1.0;

/// The mean of a level over about the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Level {
    pub mean: f64,
    at: Option<Time>,
}

impl Level {
    /// The mean, where the level has been `now` since it was last told.
    pub fn at(&mut self, now: Time, level: f64) -> f64 {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        self.mean += (level - self.mean) * (1.0 - (-gap / LEVEL_MEMORY).exp());
        self.at = Some(now);
        self.mean
    }
}

/// A tenant's quota: full at first, it holds what it is due over [`RATE_MEMORY`].
#[derive(Default)]
pub(crate) struct Bucket {
    tokens: f64,
    at: Option<Time>,
}

impl Bucket {
    /// An empty one.
    pub fn empty(now: Time) -> Bucket {
        Bucket { tokens: 0.0, at: Some(now) }
    }

    /// Takes a token if there is one, at so many a second.
    pub fn take(&mut self, now: Time, rate: f64) -> bool {
        let gap = self.at.map_or(f64::MAX, |at| (now - at).secs());
        self.tokens = (self.tokens + rate * gap).min((rate * RATE_MEMORY).max(1.0));
        self.at = Some(now);
        let within = self.tokens >= 1.0;
        self.tokens -= f64::from(within);
        within
    }
}

/// What is learned of a kind of machine.
#[derive(Default)]
pub(crate) struct Kind {
    /// Seconds from dispatch to answer, of served requests only, with the class mix taken out.
    pub latency: Mean,
    /// Sum of its backends' readiness.
    pub ready: f64,
    /// The same of those that this proxy uses.
    pub own: f64,
    /// Requests a second that one backend could serve.
    pub speed: f64,
    /// Part of all proxies' traffic.
    pub share: f64,
    /// What a request of each class takes on an unloaded backend.
    pub unloaded: Unloaded,
    /// What one of its warm backends may hold, by all proxies together.
    pub limit: f64,
    /// The search for what its backends may hold.
    pub search: Search,
    /// Highest weight that the list gave one of its backends: that of an idle one.
    pub idle_weight: f64,
    /// Part of this proxy's traffic.
    pub pull: f64,
    /// Its usable backends, each with its pull and those before it added up.
    pub line: Vec<(BackendId, f64)>,
}

impl Kind {
    /// One of the usable backends, each by its pull; `part` is even from 0 to 1.
    pub fn pick(&self, part: f64) -> Option<BackendId> {
        let at = self.line.partition_point(|l| l.1 <= part * self.pull);
        self.line.get(at).or(self.line.last()).map(|l| l.0)
    }
}

/// Memory of a backend's latency beside its kind's, s: some answers of one user among many, short beside an illness.
const BESIDE_MEMORY: f64 = 8.0;

/// A sum of logarithms that fades.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Beside {
    sum: f64,
    count: f64,
    at: Option<Time>,
}

impl Beside {
    fn fade(&mut self, now: Time) {
        let gap = self.at.map_or(0.0, |at| (now - at).secs());
        let keep = (-gap / BESIDE_MEMORY).exp();
        (self.sum, self.count, self.at) = (self.sum * keep, self.count * keep, Some(now));
    }

    /// Takes in one answer.
    pub fn add(&mut self, now: Time, logarithm: f64) {
        self.fade(now);
        (self.sum, self.count) = (self.sum + logarithm, self.count + 1.0);
    }

    /// The mean, with so many answers of 0 among them.
    pub fn at(&mut self, now: Time, prior: f64) -> f64 {
        self.fade(now);
        self.sum / (self.count + prior)
    }
}

/// What is known of a backend.
#[derive(Default)]
pub(crate) struct Peer {
    pub entry: Backend,
    /// This proxy is one of its users, and how, where it is told.
    pub used: bool,
    pub told: Option<Use>,
    /// From 0 (send nothing) to 1 (healthy and warm).
    pub ready: f64,
    /// Its part of this proxy's traffic.
    pub pull: f64,
    /// How many attempts of this proxy it may hold, as of the last solving; this proxy's part of its limit, and what
    /// rounds it.
    pub room: f64,
    pub part: f64,
    pub coin: f64,
    /// How many it holds.
    pub out: u32,
    /// Running share of error answers.
    pub errors: f64,
    /// Its latency beside what its kind and the class would have it be.
    pub beside: Beside,
    /// When it last answered anything.
    pub answered: Time,
    /// It owes an answer for suspiciously long.
    pub silent: bool,
    /// Out of use, until this time at least.
    pub ejected: Option<Time>,
    /// Ejections without a good answer between them.
    pub strikes: i32,
    /// Nobody took its connections time and again: its process has left, and who comes back there is another one.
    pub absent: bool,
    /// Work sent inside the fall window.
    pub spent: Vec<(Time, f64)>,
    /// What it may hold.
    pub limiter: Limiter,
    /// That of all proxies together, by this one's part.
    pub limit: f64,
}

impl Peer {
    /// It is used, and nothing speaks against it.
    fn is_sound(&self) -> bool {
        let ready = self.entry.state == BackendState::Ready;
        self.used && ready && self.ejected.is_none() && self.strikes == 0 && !self.silent
    }

    /// How much it counts among those of its kind, by what was told.
    pub fn weight(&self) -> f64 {
        self.told.map_or(1.0, |u| u.weight)
    }

    /// How many attempts of this proxy it may hold where all proxies together may hold so many; where a user's part
    /// of that is below one by their number alone its turn decides, else it is one at least.
    pub fn room_of(&self, limit: f64, one: bool) -> f64 {
        (limit * self.part + self.coin).floor().max(f64::from(one))
    }

    /// The same with the limit times a factor where there are many users.
    pub fn room_now(&self, many: Option<f64>, one: bool) -> f64 {
        many.map_or(self.room, |factor| self.room_of(self.limit * factor, one))
    }

    /// Ahead of a change in what it holds, and now and then: tells the search what it held since.
    pub fn note(&mut self, now: Time, turn: (u64, Turn, bool), share: f64, search: &mut Search) {
        if let Some((turn, area, secs)) = self.limiter.pass(now, turn, self.out) {
            search.held(turn, area / share, secs);
        }
    }
}

/// What is learned of a class.
#[derive(Default)]
pub(crate) struct ClassState {
    pub latency: Mean,
    /// Its part of the arrivals.
    pub asked: f64,
    /// Its part of all that ended, served in time.
    pub in_time: f64,
    /// Attempts that it may make beside those that may have run: the retry budget of the class.
    pub extra: f64,
}

/// An attempt of a request.
pub(crate) struct Sent {
    pub to: Backend,
    pub at: Time,
    /// It has not ended yet.
    pub out: bool,
    /// Its outcome proves that it did not run.
    pub never_ran: bool,
}

/// An attempt that is out.
#[derive(Clone, Copy)]
pub(crate) struct Flight {
    pub backend: BackendId,
    pub class: usize,
    pub sent: Time,
    /// It counts as late already.
    pub late: bool,
    /// Its backend held nothing else when it was sent.
    pub alone: bool,
    /// It is among its kind's first of the class.
    pub first: bool,
}

/// A request that is owed an answer.
pub(crate) struct Request {
    pub class: usize,
    pub came: Time,
    pub aim: Time,
    pub deadline: Time,
    /// Its worth beside a first try within quota.
    pub value: f64,
    pub streaming: bool,
    pub sent: Vec<Sent>,
}

impl Request {
    /// Some attempt has not ended yet.
    pub fn out(&self) -> bool {
        self.sent.iter().any(|s| s.out)
    }
}

/// The part of its capacity that a backend has if it needs that part of the longest ramp to warm.
pub(crate) fn warmth(cfg: &Config, now: Time, entry: &Backend, ramp: f64) -> f64 {
    let ramp = (cfg.ramp.secs() * ramp).max(1e-6);
    let age = entry.booted.map_or(f64::MAX, |boot| (now - boot).secs() / ramp);
    cfg.cold_from + (1.0 - cfg.cold_from) * age.min(1.0)
}

/// The decisions of one proxy. Give it every event in order; it answers with actions.
pub struct Balancer {
    pub(crate) cfg: Config,
    pub(crate) dice: Dice,
    pub(crate) peers: BTreeMap<BackendId, Peer>,
    pub(crate) kinds: BTreeMap<KindId, Kind>,
    pub(crate) classes: Vec<ClassState>,
    pub(crate) overall: Mean,
    pub(crate) buckets: Vec<Bucket>,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) held: Vec<RequestId>,
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
    pub(crate) hold: f64,
    /// Multiple of its turns' parts that its rooms go by.
    pub(crate) open: f64,
    /// None of the backends is in its turn.
    pub(crate) turnless: bool,
    pub(crate) held_mean: Level,
    /// Groups that the backends are cut into, one for each proxy of a round.
    pub(crate) groups: u64,
    /// The backends that it uses, in their order: a request looks through no others.
    pub(crate) used: Vec<BackendId>,
    /// Backends that are in use.
    pub(crate) ready: f64,
    pub(crate) silent: Vec<BackendId>,
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
    pub(crate) ask: (Option<Time>, f64),
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
            dice: Dice::new(seed),
            peers: BTreeMap::new(),
            kinds: BTreeMap::new(),
            classes: cfg.classes.iter().map(|_| ClassState::default()).collect(),
            overall: Mean::default(),
            buckets: cfg.tenants.iter().map(|_| Bucket::default()).collect(),
            requests: BTreeMap::new(),
            held: Vec::new(),
            blocked: 0.0,
            admit: 1.0,
            low: 0.0,
            attempts: BTreeMap::new(),
            out: 0,
            pool: 0.0,
            hold: 0.0,
            open: 1.0,
            turnless: false,
            held_mean: Level::default(),
            groups: 1,
            used: Vec::new(),
            ready: 0.0,
            silent: Vec::new(),
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
            ask: ((cfg.discovery != Discovery::Push).then_some(Time(0)), 0.0),
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
            held: self.held.len(),
            ready: self.ready,
            pull: self.kinds.values().map(|k| k.pull).sum(),
            given_up: self.given_up,
        }
    }

    /// What the backends can do that this proxy has no reason to doubt, and what comes. One that was ejected counts
    /// again with its first good answer.
    pub fn capacity(&self) -> Capacity {
        let hold: f64 = self.peers.values().filter(|p| p.is_sound()).map(|p| p.limit * p.part).sum();
        let able = self.rate_of(hold);
        let arrivals = self.arrivals.per_s().unwrap_or(0.0);
        Capacity { able, demand: self.classes.iter().map(|c| c.asked * arrivals).collect() }
    }

    /// The backends that are listed ready, by their ids: those that may be dealt out.
    pub fn listed(&self) -> Vec<(BackendId, KindId, ZoneId)> {
        let ready = self.peers.values().filter(|p| p.entry.state == BackendState::Ready);
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
        for p in self.peers.values().filter(|p| p.used && p.entry.state == BackendState::Ready) {
            let (zone, hold) = zones.entry(p.entry.zone).or_default();
            zone.backends += 1;
            zone.ill += u32::from(!p.is_sound());
            *hold += if p.is_sound() { p.limit * p.part } else { 0.0 };
        }
        let able = |(id, (zone, hold))| (id, ZoneCapacity { able: self.rate_of(hold), ..zone });
        zones.into_iter().map(able).collect()
    }

    /// What is known of each backend's limit.
    pub fn limits(&self) -> Vec<LimitView> {
        let at_bound = |limit: f64| limit <= self.cfg.limits.least || limit >= self.cfg.limits.most;
        let view = |(id, p): (&BackendId, &Peer)| LimitView {
            backend: *id,
            limit: p.limit,
            room: p.room as u32,
            held: p.out,
            latency: p.limiter.latencies(),
            why: match self.kinds.get(&p.entry.kind) {
                Some(_) if self.cfg.limits.learned && at_bound(p.limit) => LimitReason::Bound,
                Some(k) if self.cfg.limits.learned => k.search.why,
                _ => LimitReason::Constant,
            },
        };
        self.peers.iter().map(view).collect()
    }

    /// A line for the operators, two a second at most.
    pub(crate) fn log(&mut self, now: Time, text: String) {
        if now >= self.log_at {
            self.log_at = now + Micros(500_000);
            self.actions.push(Action::Log(text));
        }
    }

    /// Work that all proxies may send to a cold backend in a fall window; infinite once it is warm.
    pub(crate) fn fall_limit(&self, now: Time, p: &Peer) -> f64 {
        let warmth = warmth(&self.cfg, now, &p.entry, 1.0);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let fair = self.rate.per_s().unwrap_or(1.0) / self.tier.share() / self.peers.len() as f64;
        // Beside few ready backends the flow overshoots; one that holds no more than its limit is no faster than this.
        let hold = |k: &Kind| if k.limit > 0.0 { k.limit } else { HOLD };
        let known = |k: &Kind| k.latency.get().map(|t| k.speed.min((1.0 + hold(k)) / t));
        let speed = self.kinds.get(&p.entry.kind).and_then(known).unwrap_or(fair);
        self.cfg.fall_multiple * warmth * speed * self.cfg.fall_window.secs()
    }

    /// Takes news of the list into the records; true if anything but weights changed.
    pub(crate) fn take_list(&mut self, update: ListUpdate, list: Vec<Backend>) -> bool {
        let mut changed = false;
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            let named: BTreeSet<BackendId> = list.iter().map(|b| b.id).collect();
            for p in self.peers.values_mut().filter(|p| !named.contains(&p.entry.id)) {
                (p.entry.state, changed) = (BackendState::Gone, true);
            }
        }
        for entry in list {
            let p = self.peers.entry(entry.id).or_default();
            if p.entry.booted != entry.booted {
                // A restarted process has nothing in common with the old one but its address.
                *p =
                    Peer { out: p.out, used: p.used, spent: std::mem::take(&mut p.spent), ..Peer::default() };
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
