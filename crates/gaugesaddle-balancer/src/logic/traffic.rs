//! Traffic split: readiness and limit of every backend, and its fraction of this proxy's traffic.

use super::halb_shares;
use crate::interface::*;
use crate::limits::{turn, HOLD};
use crate::records::{warmth, Kind, Peer};
use crate::state::Balancer;
use crate::subset;
use std::collections::BTreeMap;

/// The proxies' parts of a backend's hold change hands this often, s: long beside any request.
const TURN: f64 = 5.0;
/// Answers that count as usual beside those that a backend gave: work varies by as much as illness.
const BESIDE_PRIOR: f64 = 2.5;
/// A backend this much slower than its kind is ill: it gets less by the square of what is beyond.
const SLOWER: f64 = 1.4;
/// Ejected backends beyond half of the fleet are used after all: then it is not they who are ill.
const PANIC: f64 = 0.5;
/// The pool's allowance for chance, in spreads of a random count with the pool's mean.
const POOL_SPREAD: f64 = 1.5;
/// Least part of what backends may hold that a proxy goes by, while crowded; where proxies are so many that
/// less is due to one, it would refuse beside idle backends.
const LEAST_OPEN: f64 = 2.0;
/// Part of the longest ramp that a backend likely needs to warm: that one is the bound over all kinds.
const LIKELY_RAMP: f64 = 0.7;
/// Spreads of a random count that the whole traffic to a cold backend stays under the limit.
const FALL_SPREADS: f64 = 3.0;

/// Where list weights are live, the part of its kind's even slice that a crowded backend keeps: all of it up
/// to half the hold, then little, so that silent, choked or slowed ones drain. Lighter ones gain nothing:
/// all proxies see the same late weights and would chase the lightest together.
fn uncrowded(cfg: &Config, entry: &Backend, idle: f64) -> f64 {
    let part = if cfg.live_weights { entry.weight / idle.max(1e-9) * (1.0 + HOLD / 2.0) } else { 1.0 };
    part.clamp(0.0, 1.0).powi(2)
}

impl Balancer {
    /// The backends that this proxy uses.
    pub(super) fn choose(&mut self) {
        let listed = self.listed();
        self.groups = subset::groups(self.tier.proxies, listed.len());
        // What is told may be of an older list: where nothing of it stands there any more, none is told.
        let told = listed.iter().any(|l| self.uses.contains_key(&l.0));
        let own = match told {
            true => listed.iter().map(|l| l.0).filter(|id| self.uses.contains_key(id)).collect(),
            false => subset::chosen(self.tier.position, self.tier.proxies, &listed),
        };
        for (id, p) in &mut self.peers {
            p.used = own.contains(id);
            p.told = self.uses.get(id).copied().filter(|_| told && p.used);
        }
        self.used = own.into_iter().collect();
    }

    /// A backend has more users than it may hold requests: what each may hold of it is less than one.
    pub(super) fn many(&self) -> bool {
        self.users() > HOLD
    }

    /// Proxies that use a backend.
    fn users(&self) -> f64 {
        f64::from(self.tier.proxies) / self.groups as f64
    }

    /// The most of a backend that there can be, whatever each sees of the others.
    pub(super) fn users_at_most(&self, p: &Peer) -> f64 {
        let users = p.told.map_or(self.users(), |u| f64::from(u.users));
        users * (f64::from(self.cfg.proxies) / f64::from(self.tier.proxies)).max(1.0)
    }

    /// Readiness of every backend, speed and share of every kind.
    pub(super) fn solve(&mut self, now: Time) {
        let many = self.many();
        let beside = self.peers.values_mut().filter(|p| p.used).map(|p| p.beside.at(now, BESIDE_PRIOR));
        let (sum, count) = beside.fold((0.0, 0.0), |n, b| (n.0 + b, n.1 + 1.0));
        let usual_beside = if count > 0.0 { sum / count } else { 0.0 };
        let passed = (now - self.solved).secs();
        self.solved = now;
        self.blocked = 0.0;
        let listed = self.peers.values().filter(|p| p.used && p.entry.state == BackendState::Ready);
        let (all, out) = listed.fold((0.0, 0.0), |n, p| (n.0 + 1.0, n.1 + f64::from(p.ejected.is_some())));
        self.ready = all - out;
        self.kinds.values_mut().for_each(|k| (k.ready, k.own) = (0.0, 0.0));
        for p in self.peers.values_mut() {
            // With discovery out of hearing nobody says that who is back there may be used.
            if p.ejected.is_some_and(|until| now >= until && !(p.absent && self.ask.0.is_some())) {
                // It comes back as it is: the next failure ejects it for longer.
                (p.ejected, p.errors) = (None, 0.0);
            }
            let k = self.kinds.entry(p.entry.kind).or_default();
            k.idle_weight = k.idle_weight.max(p.entry.weight);
            let health = match p.ejected {
                _ if p.entry.state != BackendState::Ready => 0.0,
                Some(_) => f64::from(out > all * PANIC),
                None => {
                    // A few proxies learn soon enough from errors and time-outs.
                    let slower =
                        if many { (p.beside.at(now, BESIDE_PRIOR) - usual_beside).exp() } else { 0.0 };
                    (1.0 - p.errors) * (SLOWER / slower).min(1.0).powi(2)
                }
            };
            p.ready = health
                * warmth(&self.cfg, now, &p.entry, LIKELY_RAMP)
                * uncrowded(&self.cfg, &p.entry, k.idle_weight);
            k.ready += p.ready;
            k.own += if p.used { p.ready * p.weight() } else { 0.0 };
        }
        if self.cfg.limits.learned {
            self.learn_limits(now);
        }
        self.rate.add(now, 0.0);
        let rate = self.rate.per_s().map(|r| r / self.tier.share());
        self.estimate_speeds(passed, rate);
        let table: Vec<(f64, f64)> = self.kinds.values().map(|k| (k.ready, k.speed)).collect();
        let shares = halb_shares(&table, rate.filter(|_| self.overall.count > 0.0));
        self.kinds.values_mut().zip(shares).for_each(|(k, share)| k.share = share);
        self.allot(now);
    }

    /// Each backend's part of this proxy's traffic: its kind's share by readiness. Where crossing zones costs
    /// and all have as many proxies, traffic stays near so far as all together still give every backend
    /// the same part: a zone that brings more than its backends are due sends the rest to zones due more.
    fn allot(&mut self, now: Time) {
        let epoch = now.0 / Micros::from_secs(TURN).0;
        let users = self.users();
        // A kind of which this proxy uses none leaves its share to the others.
        let used: f64 = self.kinds.values().filter(|k| k.own > 0.0).map(|k| k.share).sum();
        let part = |kinds: &BTreeMap<KindId, Kind>, p: &Peer| {
            let ready = p.ready * p.weight();
            kinds.get(&p.entry.kind).map_or(0.0, |k| k.share / used.max(1e-9) * ready / k.own.max(1e-9))
        };
        let mut due: BTreeMap<ZoneId, f64> = BTreeMap::new();
        let ready = self.peers.values().filter(|p| p.used && p.ready > 0.0);
        ready.for_each(|p| *due.entry(p.entry.zone).or_default() += part(&self.kinds, p));
        let zones = f64::from(self.cfg.zones);
        let biased = self.cfg.cross_zone_cost > 0.0 && self.cfg.proxies % self.cfg.zones == 0;
        let rich: f64 = due.values().map(|d| (d * zones - 1.0).max(0.0)).sum();
        let own = due.get(&self.cfg.zone).copied().unwrap_or(0.0);
        let (mut mine, mut warm) = (0.0, BTreeMap::<KindId, (f64, f64)>::new());
        self.kinds.values_mut().for_each(|k| (k.pull, k.line) = (0.0, Vec::with_capacity(k.line.len())));
        let length = self.turn;
        let cold: Vec<f64> = self.peers.values().map(|p| self.fall_part(now, p)).collect();
        let (round, many) = (u64::from(self.tier.position) / self.groups, self.many());
        for ((&id, p), most) in self.peers.iter_mut().zip(cold).filter(|(p, _)| p.1.used) {
            let here = due.get(&p.entry.zone).map_or(0.0, |d| d.max(1e-9));
            let far = (1.0 - own * zones).max(0.0) * (here * zones - 1.0).max(0.0) / rich.max(1e-9);
            let near = if p.entry.zone == self.cfg.zone { (own * zones).min(1.0) } else { far };
            let bias = if biased && here > 0.0 { near / here } else { 1.0 };
            // Half of the room for all goes by that part, half evenly. With many proxies it is below one:
            // turns, by position and the backend's mark, keep the sum at the hold; one each would crowd all.
            let place = id.0.wrapping_add(round).wrapping_add(epoch);
            let even = ((place % users.ceil() as u64) as f64 + 0.5) / users.ceil();
            let search = self.kinds.get(&p.entry.kind).map(|k| &k.search).filter(|_| self.cfg.limits.learned);
            let own_part = p.told.map_or(self.tier.weight / users, |u| u.part);
            // The pool is for the mean of all turns.
            let (all, mean) = search.map_or((HOLD, HOLD), |s| {
                (p.limiter.own(s.limit(turn(now, id, length).1)), p.limiter.own(s.found()))
            });
            (p.limit, mine) =
                (self.cfg.limits.hold(all), mine + self.cfg.limits.hold(mean) * own_part * p.ready);
            p.coin = p.told.map_or(even, |u| u.coin(p.limit, epoch));
            p.part = (0.5 + 0.5 * bias) * own_part * p.ready;
            p.room = p.room_of(p.limit, !many);
            if p.ready > 0.5 {
                let all = warm.entry(p.entry.kind).or_default();
                *all = (all.0 + 1.0, all.1 + p.limit);
            }
            // The trace takes the overflow where all that have a part are full.
            p.pull = (part(&self.kinds, p) * bias + p.ready * 1e-6).min(most);
            if p.ready > 0.0 {
                let k = self.kinds.entry(p.entry.kind).or_default();
                k.pull += p.pull;
                k.line.push((id, k.pull));
            }
        }
        self.hold = mine;
        // While no turn is its own, one attempt is bound by none: it would refuse beside idle backends.
        self.turnless =
            !self.peers.values().any(|p| p.used && p.ready > 0.0 && p.room_of(p.limit, false) > 0.0);
        self.open = (LEAST_OPEN / mine.max(1e-9)).max(1.0);
        self.pool = mine + POOL_SPREAD * mine.sqrt() + 1.0;
        warm.into_iter().for_each(|(kind, (count, sum))| {
            self.kinds.entry(kind).or_default().limit = sum / count;
        });
    }

    /// What each kind may hold, from what its backends did in their turns.
    fn learn_limits(&mut self, now: Time) {
        for (&id, p) in &mut self.peers {
            let k = self.kinds.entry(p.entry.kind).or_default();
            p.note(now, turn(now, id, self.turn), self.tier.share(), &mut k.search);
        }
        let mut moved = Vec::new();
        for (kind, k) in &mut self.kinds {
            let before = k.search.found();
            k.search.look(&self.cfg.limits);
            let (found, why) = (k.search.found(), k.search.why.name());
            if found != before {
                moved.push(format!("kind {} may hold {found:.1} a backend: {why}", kind.0));
            }
        }
        moved.into_iter().for_each(|text| self.log(now, text));
    }

    /// Ahead of a change in what a backend holds.
    pub(super) fn hold_changes(&mut self, now: Time, id: BackendId) {
        let Some(p) = self.peers.get_mut(&id).filter(|_| self.cfg.limits.learned) else { return };
        let k = self.kinds.entry(p.entry.kind).or_default();
        p.note(now, turn(now, id, self.turn), self.tier.share(), &mut k.search);
    }

    /// The greatest part of the traffic whose random count stays some spreads under the fall limit.
    fn fall_part(&self, now: Time, p: &Peer) -> f64 {
        let root =
            ((FALL_SPREADS * FALL_SPREADS + 4.0 * self.fall_limit(now, p)).sqrt() - FALL_SPREADS) / 2.0;
        let rate = self.rate.per_s().unwrap_or(0.0) * self.users_at_most(p);
        root * root / (rate * self.cfg.fall_window.secs()).max(1e-9)
    }
}
