//! Traffic split: readiness and limit of every backend, and its fraction of this proxy's traffic.

use super::halb_fractions;
use crate::interface::*;
use crate::limits::{turn, BASE_LIMIT};
use crate::records::{capacity_fraction, BackendRecord, Kind};
use crate::state::Balancer;
use crate::subset;
use std::collections::BTreeMap;

/// How often the proxies' fractions of a backend's limit rotate, in seconds: long compared with any request.
const TURN_EPOCH_S: f64 = 5.0;
/// Weight of the prior in a backend's relative latency, in answers: work varies as much as health does.
const RELATIVE_PRIOR: f64 = 2.5;
/// Relative latency above which a backend is unhealthy: its readiness falls with the square of the excess.
const SLOW_THRESHOLD: f64 = 1.4;
/// Ejected fraction of the fleet above which ejected backends are used again: then the cause is elsewhere.
const PANIC_THRESHOLD: f64 = 0.5;
/// Allowance of the pool for chance, in standard deviations of a Poisson count with the pool's mean.
const POOL_SPREAD: f64 = 1.5;
/// Minimum of the limits that a proxy goes by under congestion: where proxies are so many that less is due
/// to one, it would refuse requests while backends are idle.
const MIN_OPEN: f64 = 2.0;
/// Fraction of the longest slow start that a backend likely needs: that one is the bound over all kinds.
const LIKELY_SLOW_START: f64 = 0.7;
/// Standard deviations by which the total traffic to a backend in slow start stays below its limit.
const FALL_SPREADS: f64 = 3.0;

/// Where list weights are live, the fraction of its kind's even slice for a congested backend: all of it up
/// to half the limit, then little, so that unresponsive or overloaded ones drain. Lighter ones gain nothing:
/// all proxies see the same late weights and would all move to the lightest.
fn uncongested(cfg: &Config, entry: &Backend, idle: f64) -> f64 {
    let part = if cfg.live_weights { entry.weight / idle.max(1e-9) * (1.0 + BASE_LIMIT / 2.0) } else { 1.0 };
    part.clamp(0.0, 1.0).powi(2)
}

impl Balancer {
    /// The backends that this proxy uses.
    pub(super) fn choose(&mut self) {
        let listed = self.listed();
        self.groups = subset::groups(self.tier.proxies, listed.len());
        // An assignment may be of an older list: it counts only if some of its backends are still listed.
        let is_assigned = listed.iter().any(|l| self.uses.contains_key(&l.0));
        let own = if is_assigned {
            listed.iter().map(|l| l.0).filter(|id| self.uses.contains_key(id)).collect()
        } else {
            subset::select(self.tier.position, self.tier.proxies, &listed)
        };
        for (id, p) in &mut self.backends {
            p.used = own.contains(id);
            p.assigned = self.uses.get(id).copied().filter(|_| is_assigned && p.used);
        }
        self.used = own.into_iter().collect();
    }

    /// Whether more proxies use a backend than it has slots at least: each has less than one.
    pub(super) fn many(&self) -> bool {
        self.users() > BASE_LIMIT
    }

    /// Proxies that use a backend.
    fn users(&self) -> f64 {
        f64::from(self.tier.proxies) / self.groups as f64
    }

    /// Upper bound of the proxies that use a backend, whatever each sees of the others.
    pub(super) fn max_users(&self, p: &BackendRecord) -> f64 {
        let users = p.assigned.map_or(self.users(), |u| f64::from(u.users));
        users * (f64::from(self.cfg.proxies) / f64::from(self.tier.proxies)).max(1.0)
    }

    /// Updates the readiness of every backend, and the speed and fraction of every kind.
    pub(super) fn solve(&mut self, now: Time) {
        let many = self.many();
        let relative =
            self.backends.values_mut().filter(|p| p.used).map(|p| p.relative.at(now, RELATIVE_PRIOR));
        let (sum, count) = relative.fold((0.0, 0.0), |n, b| (n.0 + b, n.1 + 1.0));
        let usual_relative = if count > 0.0 { sum / count } else { 0.0 };
        let passed = (now - self.solved).secs();
        self.solved = now;
        self.blocked = 0.0;
        let listed = self.backends.values().filter(|p| p.used && p.entry.state == BackendState::Ready);
        let (all, out) = listed.fold((0.0, 0.0), |n, p| (n.0 + 1.0, n.1 + f64::from(p.ejected.is_some())));
        self.ready = all - out;
        self.kinds.values_mut().for_each(|k| (k.ready, k.own) = (0.0, 0.0));
        for p in self.backends.values_mut() {
            // Without discovery nobody confirms that the process now at that address may be used.
            if p.ejected
                .is_some_and(|until| now >= until && !(p.absent && self.subscription.retry_at.is_some()))
            {
                // Its strikes remain: the next failure ejects it for longer.
                (p.ejected, p.errors) = (None, 0.0);
            }
            let k = self.kinds.entry(p.entry.kind).or_default();
            k.idle_weight = k.idle_weight.max(p.entry.weight);
            let health = match p.ejected {
                _ if p.entry.state != BackendState::Ready => 0.0,
                Some(_) => f64::from(out > all * PANIC_THRESHOLD),
                None => {
                    // A few proxies detect it soon enough by errors and time-outs.
                    let slower =
                        if many { (p.relative.at(now, RELATIVE_PRIOR) - usual_relative).exp() } else { 0.0 };
                    (1.0 - p.errors) * (SLOW_THRESHOLD / slower).min(1.0).powi(2)
                }
            };
            p.ready = health
                * capacity_fraction(&self.cfg, now, &p.entry, LIKELY_SLOW_START)
                * uncongested(&self.cfg, &p.entry, k.idle_weight);
            k.ready += p.ready;
            k.own += if p.used { p.ready * p.weight() } else { 0.0 };
        }
        if self.cfg.limits.learned {
            self.learn_limits(now);
        }
        self.rate.add(now, 0.0);
        let rate = self.rate.per_s().map(|r| r / self.tier.traffic_fraction());
        self.estimate_speeds(passed, rate);
        let table: Vec<(f64, f64)> = self.kinds.values().map(|k| (k.ready, k.speed)).collect();
        let shares = halb_fractions(&table, rate.filter(|_| self.overall.count > 0.0));
        self.kinds.values_mut().zip(shares).for_each(|(k, share)| k.traffic_fraction = share);
        self.allot(now);
    }

    /// Each backend's fraction of this proxy's traffic: its kind's, by readiness. Where crossing zones has a
    /// cost and all zones have the same number of proxies, traffic stays in its zone as far as all proxies
    /// together still give every backend the same: a zone with more than its backends are due sends the
    /// excess to others.
    fn allot(&mut self, now: Time) {
        let epoch = now.0 / Micros::from_secs(TURN_EPOCH_S).0;
        let users = self.users();
        // The fraction of a kind of which this proxy uses no backend goes to the others.
        let used: f64 = self.kinds.values().filter(|k| k.own > 0.0).map(|k| k.traffic_fraction).sum();
        let part = |kinds: &BTreeMap<KindId, Kind>, p: &BackendRecord| {
            let ready = p.ready * p.weight();
            let share = |k: &Kind| k.traffic_fraction / used.max(1e-9) * ready / k.own.max(1e-9);
            kinds.get(&p.entry.kind).map_or(0.0, share)
        };
        let mut due: BTreeMap<ZoneId, f64> = BTreeMap::new();
        let ready = self.backends.values().filter(|p| p.used && p.ready > 0.0);
        ready.for_each(|p| *due.entry(p.entry.zone).or_default() += part(&self.kinds, p));
        let zones = f64::from(self.cfg.zones);
        let biased = self.cfg.cross_zone_cost > 0.0 && self.cfg.proxies % self.cfg.zones == 0;
        let rich: f64 = due.values().map(|d| (d * zones - 1.0).max(0.0)).sum();
        let own = due.get(&self.cfg.zone).copied().unwrap_or(0.0);
        let (mut mine, mut warmed_up) = (0.0, BTreeMap::<KindId, (f64, f64)>::new());
        self.kinds
            .values_mut()
            .for_each(|k| (k.routed_fraction, k.cumulative) = (0.0, Vec::with_capacity(k.cumulative.len())));
        let length = self.turn;
        let limits: Vec<f64> = self.backends.values().map(|p| self.fall_fraction(now, p)).collect();
        let (round, many) = (u64::from(self.tier.position) / self.groups, self.many());
        for ((&id, p), limit) in self.backends.iter_mut().zip(limits).filter(|(p, _)| p.1.used) {
            let here = due.get(&p.entry.zone).map_or(0.0, |d| d.max(1e-9));
            let far = (1.0 - own * zones).max(0.0) * (here * zones - 1.0).max(0.0) / rich.max(1e-9);
            let near = if p.entry.zone == self.cfg.zone { (own * zones).min(1.0) } else { far };
            let bias = if biased && here > 0.0 { near / here } else { 1.0 };
            // Half of the limit goes by that fraction, half evenly. With many proxies a slot count is below
            // one: rotation by position and backend keeps the sum at the limit; one each would overload all.
            let place = id.0.wrapping_add(round).wrapping_add(epoch);
            let even = ((place % users.ceil() as u64) as f64 + 0.5) / users.ceil();
            let search = self.kinds.get(&p.entry.kind).map(|k| &k.search).filter(|_| self.cfg.limits.learned);
            let own_part = p.assigned.map_or(self.tier.weight / users, |u| u.fraction);
            // The pool is computed for the mean of all turns.
            let (all, mean) = search.map_or((BASE_LIMIT, BASE_LIMIT), |s| {
                (p.limiter.own(s.limit(turn(now, id, length).1)), p.limiter.own(s.found()))
            });
            (p.limit, mine) =
                (self.cfg.limits.clamp(all), mine + self.cfg.limits.clamp(mean) * own_part * p.ready);
            p.coin = p.assigned.map_or(even, |u| u.coin(p.limit, epoch));
            p.fraction = (0.5 + 0.5 * bias) * own_part * p.ready;
            p.slots = p.slots_for(p.limit, !many);
            if p.ready > 0.5 {
                let all = warmed_up.entry(p.entry.kind).or_default();
                *all = (all.0 + 1.0, all.1 + p.limit);
            }
            // The small constant lets others take the overflow where all backends with a fraction are full.
            p.traffic_fraction = (part(&self.kinds, p) * bias + p.ready * 1e-6).min(limit);
            if p.ready > 0.0 {
                let k = self.kinds.entry(p.entry.kind).or_default();
                k.routed_fraction += p.traffic_fraction;
                k.cumulative.push((id, k.routed_fraction));
            }
        }
        self.mean_limit = mine;
        // Without a turn of its own, one attempt is let through: else it is refused while backends idle.
        self.without_slots =
            !self.backends.values().any(|p| p.used && p.ready > 0.0 && p.slots_for(p.limit, false) > 0.0);
        self.open = (MIN_OPEN / mine.max(1e-9)).max(1.0);
        self.pool = mine + POOL_SPREAD * mine.sqrt() + 1.0;
        warmed_up.into_iter().for_each(|(kind, (count, sum))| {
            self.kinds.entry(kind).or_default().limit = sum / count;
        });
    }

    /// Updates each kind's concurrency limit by its backends' turns.
    fn learn_limits(&mut self, now: Time) {
        for (&id, p) in &mut self.backends {
            let k = self.kinds.entry(p.entry.kind).or_default();
            p.record_load(now, turn(now, id, self.turn), self.tier.traffic_fraction(), &mut k.search);
        }
        let mut moved = Vec::new();
        for (kind, k) in &mut self.kinds {
            let before = k.search.found();
            k.search.look(&self.cfg.limits);
            let (found, reason) = (k.search.found(), k.search.reason.name());
            if found != before {
                moved.push(format!("kind {}: limit {found:.1} per backend: {reason}", kind.0));
            }
        }
        moved.into_iter().for_each(|text| self.log(now, text));
    }

    /// Records a backend's requests in flight before they change.
    pub(super) fn record_load(&mut self, now: Time, id: BackendId) {
        let Some(p) = self.backends.get_mut(&id).filter(|_| self.cfg.limits.learned) else { return };
        let k = self.kinds.entry(p.entry.kind).or_default();
        p.record_load(now, turn(now, id, self.turn), self.tier.traffic_fraction(), &mut k.search);
    }

    /// The largest traffic fraction whose random count stays below the fall limit (see `FALL_SPREADS`).
    fn fall_fraction(&self, now: Time, p: &BackendRecord) -> f64 {
        let root =
            ((FALL_SPREADS * FALL_SPREADS + 4.0 * self.fall_limit(now, p)).sqrt() - FALL_SPREADS) / 2.0;
        let rate = self.rate.per_s().unwrap_or(0.0) * self.max_users(p);
        root * root / (rate * self.cfg.fall_window.secs()).max(1e-9)
    }
}
