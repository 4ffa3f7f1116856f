//! What may cross to a region, or come from one: so many a second and in flight, over all proxies together, held in
//! every window of a second and not only in the mean.
//!
//! A token bucket of rate r and burst b lets r + b through in some second; a log of the last sends lets r. Its memory
//! is r times, which for a last resort is small. Proxies tell one another nothing, so each goes by its even part; the
//! parts add up to the budget exactly. Where the budget is below the number of proxies, each has one send in slots of
//! the clock that they share, cut so that no second touches more slots than the budget has sends.

use gaugesaddle_balancer::{Micros, Time};
use std::collections::VecDeque;

const SECOND: Micros = Micros(1_000_000);
/// A burst is what may go in any window of this length.
const BURST: Micros = Micros(100_000);

/// One of so many proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// How many there are, at least one.
    pub proxies: u32,
    /// Which this is, from 0.
    pub position: u32,
}

impl Share {
    /// This one's part of a whole number; all parts add up to it.
    pub fn of(self, whole: u32) -> u32 {
        let proxies = self.proxies.max(1);
        whole / proxies + u32::from(self.position % proxies < whole % proxies)
    }
}

/// A proxy's part of everything, by need, among those that live.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// The parts of those before it, in an order that all share.
    pub before: f64,
    /// Its own.
    pub part: f64,
    /// Its place among those that live.
    pub share: Share,
}

impl Span {
    /// This one's part of a whole number; where all see the same all parts add up to it.
    pub fn of(self, whole: u32) -> u32 {
        let upto = |part: f64| (part.clamp(0.0, 1.0) * f64::from(whole) + 1e-6) as u32;
        upto(self.before + self.part) - upto(self.before.min(self.before + self.part))
    }
}

/// Sends in a sliding window.
#[derive(Clone, Debug)]
struct Window {
    span: Micros,
    most: u32,
    sent: VecDeque<Time>,
}

impl Window {
    fn new(span: Micros, most: u32) -> Window {
        Window { span, most, sent: VecDeque::new() }
    }

    fn left(&mut self, now: Time) -> u32 {
        // Open at its end: two sends a whole span apart never share a window.
        while self.sent.front().is_some_and(|at| now - *at >= self.span) {
            self.sent.pop_front();
        }
        self.most.saturating_sub(self.sent.len() as u32)
    }

    fn take(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}

/// One proxy's part of a rate that all proxies share.
#[derive(Clone, Debug)]
enum Rate {
    /// So many in every second.
    Part(Window),
    /// One in each of its slots: their length, one slot of how many, which, and the last that was used.
    Slots { length: u64, of: u64, own: u64, used: Option<u64> },
}

impl Rate {
    fn new(per_s: u32, share: Share) -> Rate {
        let proxies = share.proxies.max(1);
        if per_s >= proxies {
            return Rate::Part(Window::new(SECOND, share.of(per_s)));
        }
        // A second touches one slot more than fit into it; with a budget of one every other slot stays empty.
        let fit = u64::from(per_s.max(2) - 1);
        let stride = if per_s < 2 { 2 } else { 1 };
        let (of, own) = (u64::from(proxies) * stride, u64::from(share.position % proxies) * stride);
        Rate::Slots { length: SECOND.0.div_ceil(fit), of, own, used: None }
    }

    fn left(&mut self, now: Time) -> u32 {
        match self {
            Rate::Part(window) => window.left(now),
            Rate::Slots { length, of, own, used } => {
                let slot = now.0 / *length;
                u32::from(slot % *of == *own && *used != Some(slot))
            }
        }
    }

    fn take(&mut self, now: Time) {
        match self {
            Rate::Part(window) => window.take(now),
            Rate::Slots { length, used, .. } => *used = Some(now.0 / *length),
        }
    }

    /// Takes another part of so many a second; what was sent in the last one counts on.
    fn deal(&mut self, per_s: u32, span: Span) {
        match self {
            Rate::Part(window) if per_s >= span.share.proxies => window.most = span.of(per_s),
            Rate::Slots { of, own, .. } if per_s < span.share.proxies => {
                let stride = if per_s < 2 { 2 } else { 1 };
                *of = u64::from(span.share.proxies) * stride;
                *own = u64::from(span.share.position % span.share.proxies) * stride;
            }
            _ => *self = Rate::new(per_s, span.share),
        }
    }

    /// What this proxy may send in a second at most.
    fn most(&self) -> u32 {
        match self {
            Rate::Part(window) => window.most,
            Rate::Slots { .. } => 1,
        }
    }
}

/// The bound that leaves no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// Requests a second, of the region or of the class, or its burst.
    Rate,
    /// Requests in flight.
    InFlight,
}

/// What is known of a class.
#[derive(Clone, Debug)]
struct Class {
    /// Bound more closely than the whole: so many for all proxies.
    rate: Option<(u32, Rate)>,
    worth: f64,
    /// Sent in the last second, and how many a second want to.
    sent: Window,
    wants: f64,
}

/// One proxy's part of a region's budget.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: Rate,
    burst: Window,
    classes: Vec<Class>,
    in_flight: (u32, u32),
    /// Of all proxies: a second, in a burst, in flight.
    whole: [u32; 3],
    clock: Time,
    /// In the present second, which one that is, and the most in any: for the operators.
    second: (u64, u32),
}

impl Budget {
    /// `per_s`, `burst` and `in_flight` are those of all proxies; `classes` has for each class the rate that binds it
    /// more closely, if one does, and what one of its requests is worth.
    pub fn new(
        per_s: u32, burst: u32, in_flight: u32, classes: &[(Option<u32>, f64)], share: Share,
    ) -> Budget {
        let class = |&(per_s, worth): &(Option<u32>, f64)| Class {
            rate: per_s.map(|per_s| (per_s, Rate::new(per_s, share))),
            worth,
            sent: Window::new(SECOND, u32::MAX),
            wants: 0.0,
        };
        Budget {
            rate: Rate::new(per_s, share),
            burst: Window::new(BURST, share.of(burst).max(1)),
            classes: classes.iter().map(class).collect(),
            in_flight: (0, share.of(in_flight)),
            whole: [per_s, burst, in_flight],
            clock: Time(0),
            second: (0, 0),
        }
    }

    /// Another part of the whole from now on: by need among those that live, where the other end holds the whole.
    pub fn deal(&mut self, span: Span) {
        let [per_s, burst, in_flight] = self.whole;
        self.rate.deal(per_s, span);
        self.burst.most = span.of(burst).max(1);
        self.in_flight.1 = span.of(in_flight).max(1);
        for (per_s, rate) in self.classes.iter_mut().filter_map(|c| c.rate.as_mut()) {
            rate.deal(*per_s, span);
        }
    }

    /// So many a second from now on, and of the burst as large a part; classes that are bound more closely keep theirs.
    /// Nothing changes where proxies take turns.
    pub fn hold(&mut self, most: u32) {
        let [per_s, burst, _] = self.whole;
        if let Rate::Part(window) = &mut self.rate {
            window.most = most;
            let part = u64::from(burst) * u64::from(most) / u64::from(per_s.max(1));
            self.burst.most = (part as u32).max(1);
        }
    }

    /// Whether each proxy has a number a second for its part, and not a turn now and then.
    pub fn is_counted(&self) -> bool {
        matches!(self.rate, Rate::Part(_))
    }

    /// How many requests a second of each class are expected to want to go: what is worth less leaves that room.
    pub fn expect(&mut self, wants: impl IntoIterator<Item = f64>) {
        for (class, wants) in self.classes.iter_mut().zip(wants) {
            class.wants = if wants.is_finite() { wants.max(0.0) } else { 0.0 };
        }
    }

    /// Room that those worth more will want within this second.
    fn kept(&mut self, now: Time, class: usize) -> u32 {
        let worth = self.classes[class].worth;
        let above = self.classes.iter_mut().filter(|c| c.worth > worth);
        let wanted = above.map(|c| (c.wants.ceil() as u32).saturating_sub(u32::MAX - c.sent.left(now)));
        wanted.fold(0, u32::saturating_add)
    }

    /// How many more of the class may go now while only the part `open` of the budget may be used, and what keeps
    /// the rest.
    pub fn room(&mut self, now: Time, class: usize, open: f64) -> Result<u32, Over> {
        self.clock = self.clock.max(now);
        let now = self.clock;
        if class >= self.classes.len() {
            return Err(Over::Rate);
        }
        let shut = (f64::from(self.rate.most()) * (1.0 - open.clamp(0.0, 1.0))) as u32;
        let kept = self.kept(now, class).saturating_add(if open > 0.0 { shut } else { u32::MAX });
        let own = self.classes[class].rate.as_mut().map_or(u32::MAX, |rate| rate.1.left(now));
        let rate = self.rate.left(now).saturating_sub(kept).min(own).min(self.burst.left(now));
        if rate == 0 {
            return Err(Over::Rate);
        }
        match self.in_flight.1.saturating_sub(self.in_flight.0) {
            0 => Err(Over::InFlight),
            flights => Ok(rate.min(flights)),
        }
    }

    /// Takes a place for one, if there is room.
    pub fn take(&mut self, now: Time, class: usize, open: f64) -> Result<(), Over> {
        self.room(now, class, open)?;
        let now = self.clock;
        self.rate.take(now);
        self.burst.take(now);
        let class = &mut self.classes[class];
        class.rate.iter_mut().for_each(|rate| rate.1.take(now));
        class.sent.take(now);
        self.in_flight.0 += 1;
        let second = now.0 / SECOND.0;
        self.second = (second, if self.second.0 == second { self.second.1 + 1 } else { 1 });
        Ok(())
    }

    /// One of those that took a place has ended.
    pub fn ended(&mut self) {
        self.in_flight.0 = self.in_flight.0.saturating_sub(1);
    }

    /// In flight, and how many may be.
    pub fn in_flight(&self) -> (u32, u32) {
        self.in_flight
    }

    /// Sent in the second of `now`, and how many this proxy may send in one.
    pub fn used(&self, now: Time) -> (u32, u32) {
        let used = if self.second.0 == now.0 / SECOND.0 { self.second.1 } else { 0 };
        (used, self.rate.most())
    }
}

#[cfg(test)]
mod tests;
