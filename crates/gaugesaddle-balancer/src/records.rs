//! What a proxy remembers of backends, kinds, classes, requests and attempts. No decisions.

use crate::estimates::{Mean, RelativeLatency};
use crate::interface::*;
use crate::limits::{Limiter, Search, Turn, Unloaded};

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
    pub cumulative: Vec<(BackendId, f64)>,
}

impl Kind {
    /// One of the usable backends, each by its pull; `part` is even from 0 to 1.
    pub fn pick(&self, part: f64) -> Option<BackendId> {
        let at = self.cumulative.partition_point(|l| l.1 <= part * self.pull);
        self.cumulative.get(at).or(self.cumulative.last()).map(|l| l.0)
    }
}

/// What is known of a backend.
#[derive(Default)]
pub(crate) struct BackendRecord {
    pub entry: Backend,
    /// This proxy is one of its users, and how, where it is told.
    pub used: bool,
    pub assigned: Option<Use>,
    /// From 0 (send nothing) to 1 (healthy and warm).
    pub ready: f64,
    /// Its part of this proxy's traffic.
    pub pull: f64,
    /// How many attempts of this proxy it may hold, as of the last solving; this proxy's part of its limit, and what
    /// rounds it.
    pub slots: f64,
    pub fraction: f64,
    pub coin: f64,
    /// How many it holds.
    pub out: u32,
    /// Running share of error answers.
    pub errors: f64,
    /// Its latency beside what its kind and the class would have it be.
    pub relative: RelativeLatency,
    /// When it last answered anything.
    pub answered: Time,
    /// It owes an answer for suspiciously long.
    pub unresponsive: bool,
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

impl BackendRecord {
    /// It is used, and nothing speaks against it.
    pub fn is_sound(&self) -> bool {
        let ready = self.entry.state == BackendState::Ready;
        self.used && ready && self.ejected.is_none() && self.strikes == 0 && !self.unresponsive
    }

    /// How much it counts among those of its kind, by what was told.
    pub fn weight(&self) -> f64 {
        self.assigned.map_or(1.0, |u| u.weight)
    }

    /// How many attempts of this proxy it may hold where all proxies together may hold so many; where a user's part
    /// of that is below one by their number alone its turn decides, else it is one at least.
    pub fn slots_for(&self, limit: f64, one: bool) -> f64 {
        (limit * self.fraction + self.coin).floor().max(f64::from(one))
    }

    /// The same with the limit times a factor where there are many users.
    pub fn slots_now(&self, many: Option<f64>, one: bool) -> f64 {
        many.map_or(self.slots, |factor| self.slots_for(self.limit * factor, one))
    }

    /// Ahead of a change in what it holds, and now and then: tells the search what it held since.
    pub fn record_load(&mut self, now: Time, turn: (u64, Turn, bool), share: f64, search: &mut Search) {
        if let Some((turn, area, secs)) = self.limiter.pass(now, turn, self.out) {
            search.record_load(turn, area / share, secs);
        }
    }
}

/// What is learned of a class.
#[derive(Default)]
pub(crate) struct ClassState {
    pub latency: Mean,
    /// Its part of the arrivals.
    pub demand: f64,
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
pub(crate) fn warm_fraction(cfg: &Config, now: Time, entry: &Backend, ramp: f64) -> f64 {
    let ramp = (cfg.ramp.secs() * ramp).max(1e-6);
    let age = entry.booted.map_or(f64::MAX, |boot| (now - boot).secs() / ramp);
    cfg.cold_from + (1.0 - cfg.cold_from) * age.min(1.0)
}

/// The next subscription to the list of backends.
#[derive(Default)]
pub(crate) struct Subscription {
    /// When the host is asked to subscribe; `None` while a subscription stands or none is needed.
    pub retry_at: Option<Time>,
    /// The last wait before a retry, in seconds.
    pub wait_s: f64,
}
