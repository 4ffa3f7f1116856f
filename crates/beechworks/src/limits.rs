//! What a backend may hold, learned from what it does. Little's law on unloaded latency: a backend that
//! serves so many requests a second, each of which would take so long there alone, works on their product
//! at once, whatever part of that is cores and whatever part is waiting for others. Its limit is that, some
//! room for chance (TCP Vegas: the queue that is kept), and while its latency stays flat a step more. Each
//! proxy counts what it was served itself; the room for chance is shared out by the told number. No clock,
//! no list: `logic.rs` feeds it.

use crate::interface::*;
use crate::state::{Mean, Rate};

/// Requests beyond those that a backend works on, all proxies together: with the one that runs they are
/// three, the mean of a shared processor at three quarters of its capacity. More only makes every one of
/// them later.
pub(crate) const QUEUE: f64 = 2.0;
/// Memory of what a backend serves, s: long beside a request, short beside a slowdown.
const FLOW_MEMORY: f64 = 1.0;
/// Samples in a backend's recent latency.
const RECENT: f64 = 30.0;
/// Samples in a kind's unloaded latency by class, and in the recent one that it never exceeds.
const UNLOADED: f64 = 100.0;
const RECENT_CLASS: f64 = 300.0;
/// A kind's first requests of a class are taken as alone: a fleet that starts holds nothing yet. They are
/// chosen as they are sent, for those that are answered first are the short ones: so many at least, and all
/// in this time, s.
const FIRST: u32 = 6;
const FIRST_S: f64 = 0.06;
/// Part of the first that may be out when their mean counts.
const FIRST_OUT: f64 = 0.1;
/// One sample counts up to this multiple of the mean: an ill backend's answers say nothing of its kind.
const CLIP: f64 = 2.0;
/// What all others hold on a backend, by this proxy's mean of all, up to which one counts as idle.
pub(crate) const IDLE: f64 = 0.25;
/// Unloaded part of a kind's latency: up to the first it counts as crowded, from the second on as flat.
const CROWDED: f64 = 0.85;
const FLAT: f64 = 0.95;
/// What each of its backends holds in the mean from which flat latency tells that it works on several at
/// once: one core that only computes is crowded then.
const SEVERAL: f64 = 2.5;
/// So many times more its backends may hold then. Flat latency alone is no reason: that of a calm second is
/// flat too, and the burst after it chokes for half a minute what was let hold more (a score of 0.70 for
/// 0.92 in simulated days).
const STEP: f64 = 3.0;
/// What a backend may hold by all proxies until its kind has been looked at once: nothing is known, and
/// four choke no core that only computes.
const START: f64 = 4.0;
/// Spreads of what it works on, as a random count, that there is room for at least: a limit at the mean
/// would cut half of what chance brings, and follow the rest down.
const SPREADS: f64 = 0.8;
/// A look at a kind takes so many answers and this time, s.
const LOOK: f64 = 100.0;
const LOOK_S: f64 = 0.2;
/// The same part of one backend's own latency under which it takes no step, whatever its kind does.
const ILL: f64 = 0.5;
/// One in so many backends is left to one proxy, one request at a time, to see its unloaded latency; for so
/// long, s.
const QUIET_TURNS: u64 = 48;
const QUIET_S: f64 = 1.0;
/// Part of that time until what it held before has left.
const SETTLE: f64 = 0.35;
/// Below so many ready backends none is left alone: it would be missed.
pub(crate) const QUIET_FLEET: f64 = 4.0;

/// Numbers into one that looks like none of them (SplitMix64's last steps).
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_add(b.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A backend's turn to be left to one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Quiet {
    /// It has none now.
    No,
    /// It is left to this proxy; `true` once what it held before is gone.
    Mine(bool),
    /// It is left to another.
    Others,
}

/// Whose turn it is: by the clock that all share and the backend's mark, so that no proxy need tell another.
pub(crate) fn quiet(now: Time, id: BackendId, position: u32, proxies: u32) -> Quiet {
    let span = Micros::from_secs(QUIET_S).0;
    let drawn = mix(id.0, now.0 / span);
    if drawn % QUIET_TURNS != 0 {
        return Quiet::No;
    }
    match (drawn / QUIET_TURNS) % u64::from(proxies) == u64::from(position) {
        true => Quiet::Mine((now.0 % span) as f64 >= SETTLE * span as f64),
        false => Quiet::Others,
    }
}

/// What is known of a class on a kind.
#[derive(Clone, Copy, Debug, Default)]
struct OfClass {
    unloaded: Mean,
    recent: Mean,
    /// First requests that were sent, and those of them that are out.
    first: u32,
    first_out: u32,
    since: Time,
}

impl OfClass {
    fn known(&self) -> bool {
        self.unloaded.count > 0.0 && f64::from(self.first_out) <= FIRST_OUT * f64::from(self.first)
    }
}

/// Unloaded latencies of a kind by class, and how far its recent ones are from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unloaded {
    classes: Vec<OfClass>,
    /// The look under way: its begin, answers, what they took and would have taken alone, s.
    look: (Time, f64, f64, f64),
    /// What the last one said.
    step: f64,
    looked: bool,
}

impl Unloaded {
    fn class(&mut self, class: usize) -> &mut OfClass {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, OfClass::default());
        }
        &mut self.classes[class]
    }

    /// The class's, s.
    pub fn get(&self, class: usize) -> Option<f64> {
        self.classes.get(class).filter(|c| c.known()).and_then(|c| c.unloaded.get())
    }

    /// One is sent: whether it is among the first.
    pub fn sent(&mut self, now: Time, class: usize) -> bool {
        let c = self.class(class);
        c.since = if c.first == 0 { now } else { c.since };
        let first = c.first < FIRST || (now - c.since).secs() < FIRST_S;
        (c.first, c.first_out) = (c.first + u32::from(first), c.first_out + u32::from(first));
        first
    }

    /// One of the first has ended, however.
    pub fn first_ended(&mut self, class: usize) {
        let c = self.class(class);
        c.first_out = c.first_out.saturating_sub(1);
    }

    /// Takes in a served request; `alone`: its backend held nothing else.
    pub fn served(&mut self, class: usize, secs: f64, alone: bool) {
        let c = self.class(class);
        let most = if c.known() { c.unloaded.value * CLIP } else { f64::MAX };
        if alone {
            c.unloaded.add(secs.min(most), UNLOADED);
        }
        if !c.known() {
            return;
        }
        c.recent.add(secs.min(most), RECENT_CLASS);
        // Nothing is faster than unloaded: a mean that was taken in a crowd goes with the first calm.
        if c.recent.count >= RECENT_CLASS {
            c.unloaded.value = c.unloaded.value.min(c.recent.value);
        }
        let unloaded = c.unloaded.value;
        (self.look.1, self.look.2, self.look.3) =
            (self.look.1 + 1.0, self.look.2 + secs, self.look.3 + unloaded);
    }

    /// Looks whether its `ready` backends, on which `part` of what they hold is this proxy's, work on
    /// several at once.
    pub fn look(&mut self, now: Time, ready: f64, part: f64) {
        let (since, count, took, alone) = self.look;
        let secs = (now - since).secs();
        if secs < LOOK_S || count < LOOK {
            return;
        }
        (self.look, self.looked) = ((now, 0.0, 0.0, 0.0), true);
        let (held, flat) = (took / secs / ready.max(1.0) / part, alone / took.max(1e-9));
        let several = if held >= SEVERAL { STEP } else { 0.0 };
        self.step = several * ((flat - CROWDED) / (FLAT - CROWDED)).clamp(0.0, 1.0);
    }

    /// The step up that its backends may take; none is known before the first look.
    pub fn step(&self) -> Option<f64> {
        self.looked.then_some(self.step)
    }
}

/// What is learned of one backend by one proxy.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    /// Unloaded seconds served a second: what it works on at once for this proxy.
    flow: Rate,
    /// Recent answers: their unloaded time and what they took, s.
    alone: Mean,
    took: Mean,
    /// Why the limit moved last.
    pub why: LimitReason,
}

impl Default for Limiter {
    fn default() -> Limiter {
        let (flow, why) = (Rate::over(FLOW_MEMORY), LimitReason::Start);
        Limiter { flow, alone: Mean::default(), took: Mean::default(), why }
    }
}

impl Limiter {
    /// Lets time pass.
    pub fn pass(&mut self, now: Time) {
        self.flow.add(now, 0.0);
    }

    /// A served request; `alone`: what it would have taken there alone, s.
    pub fn served(&mut self, now: Time, alone: f64, took: f64) {
        self.flow.add(now, alone);
        self.alone.add(alone, RECENT);
        self.took.add(took.min(alone * CLIP / ILL), RECENT);
    }

    /// What it works on at once for this proxy; nothing before chance alone would speak.
    pub fn works_on(&self) -> f64 {
        self.flow.per_s().unwrap_or(0.0)
    }

    /// Recent latency and what it would be unloaded, s.
    pub fn latencies(&self) -> Option<(f64, f64)> {
        self.took.get().zip(self.alone.get())
    }

    /// What this proxy may hold there, of which `queue` is its part of the room for chance; `step`: its
    /// kind's.
    pub fn limit(&mut self, queue: f64, step: Option<f64>) -> f64 {
        let ill = self.took.count >= RECENT / 3.0 && self.alone.value < self.took.value * ILL;
        let up = step.filter(|_| !ill).unwrap_or(0.0);
        self.why = match step {
            None => LimitReason::Start,
            Some(_) if up > 0.0 => LimitReason::Flat,
            Some(_) => LimitReason::Served,
        };
        let works_on = self.works_on();
        let limit = (works_on + queue.max(SPREADS * works_on.sqrt())) * (1.0 + up);
        if step.is_none() {
            limit.max(START * queue / QUEUE)
        } else {
            limit
        }
    }
}
