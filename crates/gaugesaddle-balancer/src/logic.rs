//! Every decision of the proxy. Its whole interface (events, actions, settings) is `src/interface.rs`;
//! what it remembers of backends, kinds, classes and requests is laid out in `src/state.rs`.
//!
//! Ordinary path: `solve` turns the arrival rate and the learned speeds into a share per kind (HALB),
//! `draw` picks a kind by share and a backend inside it at random. All else is a departure for trouble.

use crate::interface::*;
use crate::limits::{turn, HOLD, IDLE};
use crate::state::*;
use crate::subset;
use std::collections::BTreeMap;

/// Memory of a kind's speed, s: a machine's speed changes seldom, the rate it is computed from all the time.
pub(crate) const SPEED_MEMORY: f64 = 10.0;
/// Multiple of its kind's mean latency up to which one answer counts.
pub(crate) const LATENCY_CLIP: f64 = 3.0;
/// Samples in a kind's or class's mean: its error is then about a tenth of the spread.
pub(crate) const KIND_SAMPLES: f64 = 100.0;
/// The proxies' parts of a backend's hold change hands this often, s: long beside any request.
const TURN: f64 = 5.0;
/// Draws by share before all backends are looked through: when so many are taken, most are.
const DRAWS: usize = 8;
/// Held requests are looked at every so many ticks.
const HELD_TICKS: f64 = 4.0;
/// Error share from which a backend is ejected: two errors close together reach it.
const ERROR_LIMIT: f64 = 0.3;
/// The same where the newest was turned away unseen: one that takes some of them is used for those.
const FULL_LIMIT: f64 = 0.7;
/// Weight of the newest outcome in a backend's error share.
const ERROR_STEP: f64 = 0.2;
/// An unanswered attempt this many times older than usual, with no later answer, marks silence.
const SILENT_AFTER: f64 = 6.0;
/// Answers that count as usual beside those that a backend gave: work varies by as much as illness.
const BESIDE_PRIOR: f64 = 2.5;
/// A backend this much slower than its kind is ill: it gets less by the square of what is beyond.
const SLOWER: f64 = 1.4;
/// First term of an ejection, s; it doubles with each failed return, twice at most.
const EJECT_TERM: f64 = 1.0;
/// Ejected backends beyond half of the fleet are used after all: then it is not they who are ill.
const PANIC: f64 = 0.5;
/// The pool's allowance for chance, in spreads of a random count with the pool's mean.
const POOL_SPREAD: f64 = 1.5;
/// Parts of what a proxy may hold in the mean from which the allowance shrinks, and at which it is gone.
const CROWDED: (f64, f64) = (0.7, 1.3);
/// Least part of what backends may hold that a proxy goes by, while crowded; where proxies are so many that
/// less is due to one, it would refuse beside idle backends.
const LEAST_OPEN: f64 = 2.0;
/// So much earlier for classes that are worth less for their work: a place must be free when the best come.
const KEPT_FREE: f64 = 0.4;
/// Part of this proxy's fall budget that it uses: the rest is for skew between proxies and heavy work.
const FALL_MARGIN: f64 = 0.8;
/// Part of the longest ramp that a backend likely needs to warm: that one is the bound over all kinds.
const LIKELY_RAMP: f64 = 0.7;
/// Least budget of one proxy in a window: where its part is below one request the random draw by readiness
/// keeps the sum of all proxies near a cold backend's capacity; less would throw its share at warm ones.
const FALL_FLOOR: f64 = 3.0;
/// Spreads of a random count that the whole traffic to a cold backend stays under the limit.
const FALL_SPREADS: f64 = 3.0;
/// Extra attempts for each request: the usual tenth, doubled for the time until a failure is seen.
pub(crate) const RETRY_RATIO: f64 = 0.2;
/// In a storm a repeat that finds no room is held so long, s, then refused: it comes again, and a line grows.
const STORM_HOLD: f64 = 0.03;
/// Worth of a request whose source comes before it was told to, beside one in its turn.
const OUT_OF_TURN: f64 = 0.05;
/// Worth of another region's request beside an own one: it finds half of the room, and waits behind the own.
const FOREIGN: f64 = 0.4;
/// Least worth of a client's repeat beside a first try: some still come in time.
const LATE_FLOOR: f64 = 0.1;
/// A brisk answer comes in this part of the time from an unloaded one to the aim: at twice that tails miss.
const BRISK: f64 = 0.25;
/// Answers before a kind's mean latency counts.
pub(crate) const LATE_SAMPLES: f64 = 10.0;
/// Least part of the traffic that is let in, so that recovery is seen.
const ADMIT_LEAST: f64 = 0.05;
/// Change of the admitted part for each answer, twice that for one that is not brisk: it settles at a third.
const ADMIT_STEP: f64 = 0.07;
/// Answers a second from which the step is cut: it must not outrun the answers that tell its effect.
const ADMIT_RATE: f64 = 10.0;
/// A request worth less than this part of a first try within quota finds half of the room: the rest is kept.
const LOW: f64 = 0.5;

/// HALB: the clamped M/G/1/PS optimum. For kinds of (ready count, speed of one backend) and the arrival
/// rate, the part of the traffic for each kind; all zero when nothing is ready.
pub fn halb_shares(kinds: &[(f64, f64)], rate: Option<f64>) -> Vec<f64> {
    let split = |on: &dyn Fn(&(f64, f64)) -> bool| -> Vec<f64> {
        let total: f64 = kinds.iter().filter(|k| on(k)).map(|k| k.0).sum();
        kinds.iter().map(|k| if on(k) && total > 0.0 { k.0 / total } else { 0.0 }).collect()
    };
    let Some(rate) = rate else { return split(&|_| true) }; // no rate yet: by ready counts
    let mut live = kinds.to_vec();
    loop {
        let (roots, speeds) = live.iter().fold((0.0, 0.0), |s, k| (s.0 + k.0 * k.1.sqrt(), s.1 + k.0 * k.1));
        if rate <= speeds * 1e-6 || speeds <= 0.0 {
            let best = live.iter().filter(|k| k.0 > 0.0).map(|k| k.1).fold(0.0, f64::max);
            return split(&|k| k.1 == best); // the limit: the fastest kind takes all
        }
        let flow = |k: &(f64, f64)| k.0 * k.1 - k.0 * k.1.sqrt() * (speeds - rate) / roots;
        let flows: Vec<f64> = live.iter().map(flow).collect();
        if flows.iter().all(|f| *f >= 0.0) {
            return flows.iter().map(|f| f / rate).collect();
        }
        live.iter_mut().zip(&flows).filter(|(_, f)| **f <= 0.0).for_each(|(k, _)| k.0 = 0.0);
    }
}

/// Where list weights are live, the part of its kind's even slice that a crowded backend keeps: all of it up
/// to half the hold, then little, so that silent, choked or slowed ones drain. Lighter ones gain nothing:
/// all proxies see the same late weights and would chase the lightest together.
fn uncrowded(cfg: &Config, entry: &Backend, idle: f64) -> f64 {
    let part = if cfg.live_weights { entry.weight / idle.max(1e-9) * (1.0 + HOLD / 2.0) } else { 1.0 };
    part.clamp(0.0, 1.0).powi(2)
}

impl Balancer {
    /// Takes one event that happened at `now` and adds the actions it calls for.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !matches!(event, Event::Request(_) | Event::Timer { .. }) {
            self.blocked = 0.0; // those two make no room, and trying a long line in vain costs too much CPU
        }
        match event {
            Event::Members { update, backends } => self.members(now, update, backends),
            Event::Request(arrival) => self.request(now, arrival),
            Event::StreamStarted { request, attempt } => {
                if let Some(r) = self.requests.get_mut(&request) {
                    r.streaming |= r.sent.get(attempt.0 as usize).is_some_and(|s| s.out);
                }
            }
            Event::AttemptEnded(end) => self.ended(now, end),
            Event::Pressure(pressure) => self.press(now, pressure),
            Event::Offer(offer) => self.offer = offer,
            Event::Tier(tier) if tier.is_sound() && tier != self.tier => {
                self.tier = tier;
                self.choose();
            }
            Event::Tier(_) => {}
            Event::Uses(uses) => {
                let sound = uses.into_iter().filter(Use::is_sound);
                self.uses = sound.map(|u| (u.backend, u)).collect();
                self.choose();
            }
            Event::ClientGone { request } => self.close(request, None),
            Event::Timer { token } if token != TimerToken(self.timer.0) => return,
            Event::Timer { .. } => self.timer.1 = None,
        }
        if now - self.solved >= self.period {
            self.solve(now);
        }
        if now >= self.due {
            self.due = Time(u64::MAX);
            self.look_after(now);
        }
        self.pump(now);
        if self.timer.1.is_none_or(|pending| self.due < pending) && self.due < Time(u64::MAX) {
            self.timer = (self.timer.0 + 1, Some(self.due));
            let (token, after) = (TimerToken(self.timer.0), (self.due - now).max(self.cfg.tick));
            self.actions.push(Action::SetTimer { token, after });
        }
        actions.append(&mut self.actions);
    }

    fn members(&mut self, now: Time, update: ListUpdate, list: Vec<Backend>) {
        match (update, self.cfg.discovery) {
            // A lost subscription is asked for again, later each time and not in step with others.
            (ListUpdate::Lost, Discovery::Subscribe(within)) => {
                let wait = (self.ask.1 * 2.0).clamp(0.1, (within.secs() / 8.0).max(0.1));
                let at = now + Micros::from_secs(wait * (0.5 + self.dice.unit()));
                self.ask = (Some(at), wait);
                self.wake_by(at);
                self.log(now, "discovery lost, asking again".into());
            }
            (ListUpdate::Changes | ListUpdate::Full, _) => {
                self.ask = (None, 0.0);
                self.peers.values_mut().for_each(|p| p.absent = false);
            }
            _ => {}
        }
        if self.take_list(update, list) {
            self.peers.retain(|_, p| p.entry.state != BackendState::Gone || p.out > 0);
            self.choose();
            self.solve(now);
        }
    }

    fn request(&mut self, now: Time, new: Arrival) {
        let Some(c) = self.cfg.classes.get(new.class.0) else { return };
        if self.requests.contains_key(&new.request) {
            return;
        }
        let ratio = self.pressure.retry_ratio;
        let budget = &mut self.classes[new.class.0].extra;
        *budget = (*budget + ratio).min((ratio * KIND_SAMPLES).max(1.0));
        self.arrivals.add(now, 1.0);
        for (i, s) in self.classes.iter_mut().enumerate() {
            s.asked += (f64::from(i == new.class.0) - s.asked) / KIND_SAMPLES;
        }
        let tenant = new.tenant.and_then(|t| self.cfg.tenants.get(t.0).zip(self.buckets.get_mut(t.0)));
        let share = self.tier.share();
        let over_quota = tenant.is_some_and(|(t, bucket)| !bucket.take(now, t.quota_per_s * share));
        let aim = c.aim.0 + new.work_hint.unwrap_or_default().times(c.aim_stretch).0;
        let (aim, deadline) = (now + Micros(aim).min(new.time_left), now + new.time_left);
        // A client that comes again waited for its first try: what is left to earn is mostly the late worth,
        // and serving it before a new request would make both late, all through a storm of repeats.
        let again = if new.repeat { c.late_worth.max(LATE_FLOOR) } else { 1.0 };
        let turn = if new.out_of_turn { OUT_OF_TURN } else { 1.0 };
        let turn = turn * if new.foreign { FOREIGN } else { 1.0 };
        let value = again * turn * if over_quota { self.cfg.over_quota_worth } else { 1.0 };
        let (class, came, streaming, sent) = (new.class.0, now, false, Vec::new());
        self.requests.insert(new.request, Request { class, came, aim, deadline, value, streaming, sent });
        self.low += (f64::from(value < LOW) - self.low) / KIND_SAMPLES;
        // No draw without an offer: where there is no other region nothing else is drawn differently either.
        let part = self.offer.at_once.get(class).copied().unwrap_or(0.0);
        if part > 0.0 && self.dice.unit() < part && self.leave(now, new.request) {
            return;
        }
        // What is shed reaches no backend: the formula's rate is of what is let in.
        let storm = self.pressure.let_in_per_s;
        let admitted = self.admitted(class, value) && storm.is_none_or(|rate| self.let_in.take(now, rate));
        self.rate.add(now, f64::from(admitted));
        // Where cold backends are held to less than their parts, the rest of the traffic has no place.
        let pull: f64 = self.kinds.values().map(|k| k.pull).sum();
        if !admitted {
            return self.give_up(now, new.request, GivenUp::Shed);
        }
        if pull > 0.0 && self.dice.unit() > pull {
            return self.give_up(now, new.request, GivenUp::Cold);
        }
        self.held.push(new.request);
        self.wake_by(now + self.cfg.tick.times(HELD_TICKS).min(new.time_left));
    }

    /// Load shedding: what is admitted covers the densest worth first; the layer at the edge is thinned.
    fn admitted(&mut self, class: usize, value: f64) -> bool {
        // In a storm the budget's part of what comes, if that is less than what answers leave.
        let part = |rate: f64| rate / self.arrivals.per_s().unwrap_or(rate).max(1e-9);
        let admit = self.admit.min(self.pressure.let_in_per_s.map_or(1.0, part));
        if admit >= 1.0 {
            return true;
        }
        let density = self.densities();
        let share = |i: usize| self.classes[i].asked * self.work(i);
        let all: f64 = (0..density.len()).map(share).sum();
        let over = |i: &usize| density[*i] > density[class];
        let (above, own) = if value < LOW {
            (1.0 - self.low, self.low)
        } else {
            let denser: f64 = (0..density.len()).filter(over).map(share).sum();
            (denser / all * (1.0 - self.low), share(class) / all * (1.0 - self.low))
        };
        self.dice.unit() * own < admit - above
    }

    /// A storm's budget begins empty: what has been let in before it is still out.
    fn press(&mut self, now: Time, pressure: Pressure) {
        if self.pressure.let_in_per_s.is_none() {
            self.let_in = Bucket::empty(now);
        }
        self.pressure = pressure;
    }

    /// Until when an attempt's answer is brisk.
    fn brisk(&self, backend: BackendId, class: usize) -> Micros {
        let aim = self.cfg.classes[class].aim.secs();
        let kind = self.peers.get(&backend).and_then(|p| self.kinds.get(&p.entry.kind));
        // Not known yet: no more than what a request usually takes, nor than the part of an aim for the rest.
        let usual = || self.usual(class).secs().min(aim * BRISK);
        let unloaded = kind.and_then(|k| k.unloaded.get(class)).unwrap_or_else(usual);
        Micros::from_secs(unloaded + (aim - unloaded).max(0.0) * BRISK)
    }

    /// Many proxies cannot bound what a backend holds; each learns from its answers that all hold too much.
    fn gauge(&mut self, brisk: bool) {
        if !self.many() {
            return; // the rooms of so few proxies bound it well enough
        }
        let step = ADMIT_STEP * (ADMIT_RATE / self.rate.per_s().unwrap_or(1.0)).min(1.0);
        // By answers, not by arrivals: the slow return after deep shedding lets choked backends rest.
        let change = if brisk { 1.0 + step } else { 1.0 - 2.0 * step };
        self.admit = (self.admit * change).clamp(ADMIT_LEAST, 1.0);
    }

    fn ended(&mut self, now: Time, mut end: AttemptEnd) {
        let id = end.request;
        let Some(flight) = self.attempts.remove(&(id, end.attempt)) else { return };
        let Flight { backend, class, late, .. } = flight;
        self.held_mean.at(now, self.out as f64);
        self.out -= 1;
        if end.outcome == Outcome::Cancelled && end.latency > self.cfg.classes[class].aim {
            // Called off when its client left after all that time: as much against the backend as a time-out.
            end.outcome = Outcome::TimedOut;
        }
        // Turned away unseen is that backend's own matter: it drains, hangs or has no connection left.
        let judged = matches!(end.outcome, Outcome::Ok | Outcome::TimedOut);
        if judged && !late {
            self.gauge(end.outcome == Outcome::Ok && end.latency < self.brisk(backend, class));
        }
        self.learn(now, &flight, &end);
        let Some(r) = self.requests.get_mut(&id) else { return };
        if let Some(s) = r.sent.get_mut(end.attempt.0 as usize) {
            (s.out, s.never_ran) = (false, end.outcome.never_ran());
        }
        if end.settled || end.outcome == Outcome::Ok {
            let in_time = end.outcome == Outcome::Ok && now <= r.aim;
            self.close(id, Some(in_time));
        } else if !r.out() && !self.held.contains(&id) {
            self.held.push(id); // `pump` sends it again or gives it up
        }
    }

    /// What an outcome says of the backend, its kind and its class.
    fn learn(&mut self, now: Time, flight: &Flight, end: &AttemptEnd) {
        let Flight { backend: id, class, sent, .. } = *flight;
        self.hold_changes(now, id);
        let took = end.latency.secs().max(1e-6);
        let usual = self.classes[class].latency.get().unwrap_or(took);
        let Some(p) = self.peers.get_mut(&id) else { return };
        p.out = p.out.saturating_sub(1);
        let kind = p.entry.kind;
        if flight.first {
            self.kinds.entry(kind).or_default().unloaded.first_ended(class);
        }
        match end.outcome {
            Outcome::Ok => {
                p.answered = now;
                p.errors *= 1.0 - ERROR_STEP;
                p.strikes = 0;
                // Errors teach no limit: fast is not good.
                let k = self.kinds.entry(kind).or_default();
                let expected = usual * k.latency.get().unwrap_or(took) / self.overall.get().unwrap_or(took);
                p.beside.add(now, (took / expected.max(1e-6)).ln());
                k.unloaded.served(class, took, flight.alone);
                let unloaded = k.unloaded.get(class);
                p.limiter.served(took, usual, unloaded.unwrap_or(took));
                if self.cfg.limits.learned {
                    let (_, turn, settled) = turn(sent, id, self.turn);
                    let beside = took / (usual * p.limiter.beside()).max(1e-9);
                    k.search.answered(settled.then_some(turn), beside);
                }
                self.served(kind, class, end.latency);
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
            // A heavy request alone is no illness: other answers came back meanwhile.
            Outcome::TimedOut if p.answered >= sent => {}
            Outcome::Error | Outcome::Full | Outcome::Reset => {
                p.answered = now;
                p.errors += (1.0 - p.errors) * ERROR_STEP;
                let limit = if end.outcome == Outcome::Full { FULL_LIMIT } else { ERROR_LIMIT };
                if p.errors > limit {
                    self.eject(now, id, end.outcome);
                }
            }
            _ => self.eject(now, id, end.outcome),
        }
    }

    fn eject(&mut self, now: Time, id: BackendId, why: Outcome) {
        let term = EJECT_TERM * (0.75 + 0.5 * self.dice.unit());
        let Some(p) = self.peers.get_mut(&id) else { return };
        if p.ejected.is_none_or(|until| now >= until) {
            p.ejected = Some(now + Micros::from_secs(term * f64::from(p.strikes.min(2)).exp2()));
            (p.strikes, p.ready) = (p.strikes + 1, 0.0);
            p.absent = why == Outcome::ConnectFailed && p.strikes > 1;
            self.wake_by(now + self.cfg.tick);
            self.log(now, format!("backend {} ejected: {why:?}", id.0));
        }
    }

    /// Every tick: what time alone brings about.
    fn look_after(&mut self, now: Time) {
        if let (Some(at), Discovery::Subscribe(within)) = (self.ask.0, self.cfg.discovery) {
            if now >= at {
                self.ask.0 = Some(now + within.times(0.5)); // unanswered so long, the call itself was lost
                self.actions.push(Action::Follow);
            }
        }
        self.wake_by(self.ask.0.unwrap_or(self.due));
        self.suspect(now);
        let (mut over, mut leaving) = (Vec::new(), Vec::new());
        let by = now + self.offer.trip + self.cfg.tick.times(2.0 * HELD_TICKS);
        for (&id, r) in self.requests.iter().filter(|(_, r)| !r.streaming) {
            let usual = self.usual(r.class);
            let late_pays = self.cfg.classes[r.class].late_worth > 0.0 && !r.sent.is_empty();
            let last_start = if late_pays { r.deadline } else { r.aim };
            let lost =
                |s: &Sent| s.out && self.peers.get(&s.to.id).is_none_or(|p| p.silent || p.ejected.is_some());
            let lost = matches!(&r.sent[..], [only] if lost(only));
            let held = if r.out() { r.deadline } else { now + self.cfg.tick.times(HELD_TICKS) };
            self.due = self.due.min(held).min(Time(r.deadline.0.saturating_sub(self.cfg.tick.0)));
            let repeat = !self.pressure.copies && r.value < LOW && r.sent.is_empty();
            let too_long = repeat && (now - r.came).secs() >= STORM_HOLD;
            if now + self.cfg.tick >= r.deadline || (!r.out() && (now + usual >= last_start || too_long)) {
                // The deadline's own tick would be too late to answer; a request that was held so long
                // that it cannot make it is refused while that is still harmless.
                over.push(id);
            } else if self.offer.room(r.class) > 0 && !r.out() && by + usual >= r.aim {
                leaving.push((r.class, r.value, id)); // later the way would be too long
            } else if lost && now + usual < r.aim && self.classes[r.class].extra >= 1.0 {
                // Age alone is no reason: copies of merely heavy requests crowd every backend.
                if self.cfg.second_copies {
                    if self.pressure.copies && self.may_send(now, r) && !self.held.contains(&id) {
                        self.held.push(id);
                    }
                } else if self.cfg.cancel && self.cfg.classes[r.class].effect != Effect::Unsafe {
                    // Where no copy may run beside it, the first is called back to make way for the next.
                    self.actions.push(Action::Cancel { request: id, attempt: AttemptNo(0) });
                }
            }
        }
        if !leaving.is_empty() {
            let density = self.densities();
            leaving.sort_by(|a, b| (density[b.0] * b.1).total_cmp(&(density[a.0] * a.1)).then(a.2.cmp(&b.2)));
            for (_, _, id) in leaving {
                self.leave(now, id);
            }
        }
        over.into_iter().for_each(|id| self.give_up(now, id, GivenUp::Held));
    }

    /// Marks the backends that owe an answer for suspiciously long.
    fn suspect(&mut self, now: Time) {
        let before = std::mem::take(&mut self.silent);
        for id in &before {
            self.peers.get_mut(id).into_iter().for_each(|p| p.silent = false);
        }
        let mut attempts = std::mem::take(&mut self.attempts);
        for Flight { backend, class, sent, late, .. } in attempts.values_mut() {
            // Late is known once the time is up: an overloaded backend answers only much later.
            let limit = *sent + self.brisk(*backend, *class);
            if !*late && now >= limit {
                *late = true;
                self.gauge(false);
            }
            let usual = self.usual(*class);
            let from = *sent + usual.times(SILENT_AFTER);
            let next = if now < from { from } else { now + usual };
            self.wake_by(if *late { next } else { next.min(limit) });
            let peer = self.peers.get_mut(backend).filter(|p| now >= from && p.answered <= *sent);
            if let Some(p) = peer {
                p.silent = true;
                self.silent.push(*backend);
            }
        }
        self.attempts = attempts;
        if self.attempts.is_empty() && !before.is_empty() {
            self.blocked = 0.0; // the last answer came to a silence: no other event will tell of its room
        }
    }

    /// The backends that this proxy uses.
    fn choose(&mut self) {
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
    fn many(&self) -> bool {
        self.users() > HOLD
    }

    /// Proxies that use a backend.
    fn users(&self) -> f64 {
        f64::from(self.tier.proxies) / self.groups as f64
    }

    /// The most of a backend that there can be, whatever each sees of the others.
    fn users_at_most(&self, p: &Peer) -> f64 {
        let users = p.told.map_or(self.users(), |u| f64::from(u.users));
        users * (f64::from(self.cfg.proxies) / f64::from(self.tier.proxies)).max(1.0)
    }

    /// Readiness of every backend, speed and share of every kind.
    fn solve(&mut self, now: Time) {
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
    fn hold_changes(&mut self, now: Time, id: BackendId) {
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

    /// Work that this proxy may still send to a cold backend inside the present fall window.
    fn budget(&self, now: Time, p: &Peer) -> f64 {
        let spent: f64 = p.spent.iter().filter(|s| now - s.0 < self.cfg.fall_window).map(|s| s.1).sum();
        (self.fall_limit(now, p) / self.users_at_most(p) * FALL_MARGIN).max(FALL_FLOOR) - spent
    }

    fn may_send(&self, now: Time, r: &Request) -> bool {
        let safe = |s: &Sent| match self.cfg.classes[r.class].effect {
            Effect::Free => true,
            Effect::Keyed(_, window) => s.never_ran || now + self.cfg.tick < s.at + window,
            Effect::Unsafe => s.never_ran,
        };
        let alone = self.cfg.second_copies || !r.out();
        alone && r.sent.len() < self.cfg.max_attempts as usize && r.sent.iter().all(safe)
    }

    /// A backend for the request: kind by share, backend inside it by readiness, both at random.
    fn draw(&mut self, now: Time, r: &Request) -> Option<BackendId> {
        self.held_mean.at(now, self.out as f64);
        let pool = self.pool_now(r.class);
        let pool = if r.value < LOW { pool / 2.0 } else { pool };
        if self.out as f64 >= pool {
            return None;
        }
        if r.sent.is_empty() {
            let kinds: Vec<(KindId, f64)> = self.kinds.iter().map(|(k, s)| (*k, s.pull)).collect();
            for _ in 0..DRAWS {
                let kind = self.dice.pick(&kinds)?;
                let part = self.dice.unit();
                let drawn = self.kinds.get(&kind).and_then(|k| k.pick(part));
                if let Some(backend) = drawn.filter(|b| self.open_to(now, *b, r)) {
                    return Some(backend);
                }
            }
        }
        let open = self.used.iter().filter(|b| self.open_to(now, **b, r));
        let open: Vec<(BackendId, f64)> = open.map(|b| (*b, self.peers[b].pull)).collect();
        self.dice.pick(&open)
    }

    /// The allowance for chance is for moments: a proxy that has held more than its part for a while must not
    /// go on with it, for a crowded backend chokes by the mean of what it holds. What is left of it, 0 to 1.
    fn allowance(&self, earlier: f64) -> f64 {
        let over = self.held_mean.mean / self.hold.max(1e-9) + earlier;
        1.0 - ((over - CROWDED.0) / (CROWDED.1 - CROWDED.0)).clamp(0.0, 1.0)
    }

    /// How many attempts may be out, for a request of the class.
    fn pool_now(&self, class: usize) -> f64 {
        if !self.many() {
            return self.pool; // its rooms bound a proxy among few: no need to rank classes for every draw
        }
        let density = self.densities();
        let first = density.iter().all(|d| *d <= density[class]);
        self.hold + (self.pool - self.hold) * self.allowance(if first { 0.0 } else { KEPT_FREE })
    }

    /// Whether the backend may be sent this request and has room for it.
    fn open_to(&self, now: Time, id: BackendId, r: &Request) -> bool {
        let Some(p) = self.peers.get(&id).filter(|p| p.used && p.ready > 0.0 && !p.silent) else {
            return false;
        };
        // Never overfill: a crowded backend slows for long, so a full one is drawn again.
        let room = self.room(now, id, p);
        let room = if r.value < LOW { (room / 2.0).ceil() } else { room };
        f64::from(p.out) < room && self.fits(now, p, r)
    }

    /// How many attempts of this proxy a backend may hold: its turns move that between two solvings.
    fn room(&self, now: Time, id: BackendId, p: &Peer) -> f64 {
        let kind = self.kinds.get(&p.entry.kind).filter(|_| self.cfg.limits.learned);
        let Some(search) = kind.map(|k| &k.search) else {
            let factor = self.many().then(|| self.open * (1.0 + self.allowance(0.0)));
            return p.room_now(factor, self.turnless && self.out == 0);
        };
        let all = p.limiter.own(search.limit(turn(now, id, self.turn).1));
        p.room_of(self.cfg.limits.hold(all), !self.many())
    }

    /// Whether the rules let the backend have this request.
    fn fits(&self, now: Time, p: &Peer, r: &Request) -> bool {
        // A repeat outside the scope that knows the key would run twice.
        let known = |s: &Sent| match self.cfg.classes[r.class].effect {
            Effect::Keyed(KeyScope::Zone, _) => s.never_ran || s.to.zone == p.entry.zone,
            Effect::Keyed(KeyScope::Cell, _) => s.never_ran || s.to.cell == p.entry.cell,
            _ => true,
        };
        let fresh = r.sent.iter().all(|s| s.to.id != p.entry.id && known(s));
        p.entry.state == BackendState::Ready && fresh && self.budget(now, p) >= self.work(r.class)
    }

    /// Worth to the goal of serving a request of each class, for each unit of work.
    fn densities(&self) -> Vec<f64> {
        let share = |i: usize| self.classes[i].asked.max(1e-3);
        let served = |i: usize| self.classes[i].in_time / share(i);
        let classes = self.cfg.classes.iter().enumerate();
        let mean: f64 = classes.clone().map(|(i, c)| c.worth * share(i)).sum();
        let worst = (0..self.classes.len()).map(served).fold(f64::MAX, f64::min);
        let density = |(i, c): (usize, &Class)| {
            let lowest = if served(i) <= worst + 0.02 { self.cfg.goal_worst_class / share(i) } else { 0.0 };
            (self.cfg.goal_whole * c.worth / mean + lowest) / self.work(i)
        };
        classes.map(density).collect()
    }

    /// Sends what is held, the densest worth first and the newest first inside it.
    fn pump(&mut self, now: Time) {
        if self.held.is_empty() || self.blocked == f64::MAX {
            return;
        }
        let density = self.densities();
        let mut line: Vec<(f64, Time, RequestId, f64)> = Vec::new();
        for id in std::mem::take(&mut self.held) {
            if let Some(r) = self.requests.get(&id) {
                let value = if r.sent.is_empty() { r.value } else { f64::MAX };
                line.push((density[r.class] * r.value, r.came, id, value));
            }
        }
        line.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, _, id, value) in line {
            if value < self.blocked {
                self.held.push(id); // nothing less urgent finds room either, and trying each costs CPU
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let (again, work) = (!r.sent.is_empty(), self.work(r.class));
            // What never ran has cost no work: only attempts beside those that may have are held to a number.
            let extra = r.sent.iter().any(|s| !s.never_ran);
            let sendable = self.may_send(now, &r) && (!extra || self.classes[r.class].extra >= 1.0);
            let backend = if sendable { self.draw(now, &r) } else { None };
            backend.into_iter().for_each(|b| self.hold_changes(now, b));
            if let Some(p) = backend.and_then(|b| self.peers.get_mut(&b)) {
                self.classes[r.class].extra -= f64::from(extra);
                let (no, backend) = (AttemptNo(r.sent.len() as u32), p.entry.id);
                r.sent.push(Sent { to: p.entry.clone(), at: now, out: true, never_ran: false });
                let others = f64::from(self.tier.proxies - 1) * self.out as f64 / self.ready.max(1.0);
                let (class, sent, late) = (r.class, now, false);
                let first = self.kinds.entry(p.entry.kind).or_default().unloaded.sent(now, class);
                let alone = first || (p.out == 0 && others < IDLE);
                p.out += 1;
                self.held_mean.at(now, self.out as f64);
                self.out += 1;
                p.spent.retain(|s| now - s.0 < self.cfg.fall_window);
                p.spent.push((now, work));
                self.attempts.insert((id, no), Flight { backend, class, sent, late, alone, first });
                self.wake_by(now + self.brisk(backend, r.class));
                self.actions.push(Action::Dispatch { request: id, backend });
            } else if sendable {
                if !again {
                    self.blocked = self.blocked.max(if r.value < LOW { LOW } else { f64::MAX });
                }
                self.held.push(id);
            }
            let over = !sendable && !r.out();
            self.requests.insert(id, r);
            over.then(|| self.give_up(now, id, GivenUp::Spent));
        }
    }

    /// Hands a request to another region, if it could come in time there and has no effect here: backends
    /// there know nothing of its key, so what may have run here must not run there.
    fn leave(&mut self, now: Time, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let free = self.cfg.classes[r.class].effect == Effect::Free;
        let unseen = free || r.sent.iter().all(|s| s.never_ran);
        let in_time = now + self.offer.trip + self.usual(r.class) < r.aim;
        let Some(room) = self.offer.room.get_mut(r.class).filter(|n| **n > 0) else { return false };
        if r.streaming || !unseen || !in_time {
            return false;
        }
        *room -= 1;
        self.close(id, None); // whatever is out of a free one is called off first
        self.actions.push(Action::Leave { request: id });
        true
    }

    /// Final answer for a request that will not be served here, unless it leaves.
    fn give_up(&mut self, now: Time, id: RequestId, why: GivenUp) {
        if self.leave(now, id) {
            return;
        }
        let Some(r) = self.requests.get(&id) else { return };
        self.given_up[why as usize] += 1;
        let free = matches!(self.cfg.classes[r.class].effect, Effect::Free | Effect::Keyed(KeyScope::All, _));
        let harmless = free || r.sent.iter().all(|s| s.never_ran);
        let (refused, failed) = (Action::Refuse { request: id }, Action::Fail { request: id });
        self.actions.push(if harmless { refused } else { failed });
        self.close(id, Some(false));
    }

    fn close(&mut self, id: RequestId, in_time: Option<bool>) {
        let Some(r) = self.requests.remove(&id) else { return };
        self.held.retain(|h| *h != id);
        if let Some(good) = in_time {
            for (i, s) in self.classes.iter_mut().enumerate() {
                s.in_time += (f64::from(good && i == r.class) - s.in_time) / KIND_SAMPLES;
            }
        }
        for (no, _) in r.sent.iter().enumerate().filter(|(_, s)| s.out && self.cfg.cancel) {
            self.actions.push(Action::Cancel { request: id, attempt: AttemptNo(no as u32) });
        }
    }
}
