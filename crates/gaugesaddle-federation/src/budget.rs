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
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(1_700_000_000_000_000 + ms * 1000)
    }

    #[test]
    fn the_parts_of_all_proxies_are_the_whole() {
        for whole in 0..200 {
            for proxies in 1..40 {
                let sum: u32 = (0..proxies).map(|position| Share { proxies, position }.of(whole)).sum();
                assert_eq!(sum, whole, "{proxies} proxies");
            }
        }
    }

    #[test]
    fn a_window_of_a_second_never_holds_more_wherever_it_begins() {
        let share = Share { proxies: 1, position: 0 };
        let mut budget = Budget::new(10, 10, 1000, &[(None, 8.0)], share);
        let sent = (0..4000).filter(|ms| budget.take(at(*ms), 0, 1.0).is_ok()).collect::<Vec<_>>();
        assert_eq!(sent.len(), 40);
        for (i, first) in sent.iter().enumerate() {
            assert!(sent[i..].iter().filter(|s| **s < first + 1000).count() <= 10);
        }
    }

    #[test]
    fn what_is_worth_less_leaves_room_for_the_rest_and_a_class_keeps_its_own_bound() {
        let share = Share { proxies: 1, position: 0 };
        let mut budget = Budget::new(20, 20, 1000, &[(None, 8.0), (None, 1.0), (Some(3), 2.0)], share);
        budget.expect([4.2, 100.0, 3.0]);
        assert_eq!((0..9).filter(|_| budget.take(at(0), 2, 1.0).is_ok()).count(), 3, "its own bound");
        assert_eq!((0..30).filter(|_| budget.take(at(0), 1, 1.0).is_ok()).count(), 12, "five are kept");
        assert_eq!(budget.room(at(0), 1, 1.0), Err(Over::Rate));
        assert_eq!((0..30).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 5);
        budget.expect([0.0, 0.0, 0.0]);
        assert_eq!(budget.room(at(1000), 1, 1.0), Ok(20), "nobody else wants it");
        assert_eq!(budget.room(at(1000), 1, 0.25), Ok(5), "a quarter is open");
        assert_eq!(budget.room(at(1000), 1, 0.0), Err(Over::Rate));
        assert_eq!(budget.room(at(0), 7, 1.0), Err(Over::Rate), "no such class");
    }

    #[test]
    fn flights_and_bursts_are_bounds_of_their_own() {
        let share = Share { proxies: 2, position: 1 };
        let mut budget = Budget::new(100, 8, 6, &[(None, 8.0)], share);
        assert_eq!((0..9).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 3, "half of six");
        assert_eq!(budget.room(at(500), 0, 1.0), Err(Over::InFlight));
        (0..9).for_each(|_| budget.ended());
        assert_eq!(budget.in_flight(), (0, 3));
        assert_eq!(budget.room(at(500), 0, 1.0), Ok(3));
        let mut budget = Budget::new(100, 8, 1000, &[(None, 8.0)], share);
        assert_eq!((0..9).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 4, "half of the burst");
        assert_eq!(budget.used(at(10)), (4, 50));
    }

    #[test]
    fn parts_by_need_add_up_and_what_was_sent_counts_on() {
        for whole in 0..150u32 {
            for proxies in 1..12u32 {
                let need = |p: u32| f64::from(1 + p * 7 % 5);
                let all: f64 = (0..proxies).map(need).sum();
                let span = |position: u32| Span {
                    before: (0..position).map(need).sum::<f64>() / all,
                    part: need(position) / all,
                    share: Share { proxies, position },
                };
                assert_eq!((0..proxies).map(|p| span(p).of(whole)).sum::<u32>(), whole);
            }
        }
        let mut budget = Budget::new(30, 30, 30, &[(Some(15), 8.0)], Share { proxies: 3, position: 0 });
        assert_eq!((0..20).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 5, "a third of its class");
        let span = Span { before: 0.0, part: 0.8, share: Share { proxies: 2, position: 0 } };
        budget.deal(span);
        assert_eq!((0..20).filter(|_| budget.take(at(200), 0, 1.0).is_ok()).count(), 7, "12, less five sent");
        assert_eq!((budget.used(at(200)).1, budget.in_flight()), (24, (12, 24)));
        budget.deal(Span { share: Share { proxies: 40, position: 39 }, before: 0.9, part: 0.02 });
        assert!(!budget.is_counted(), "thirty among forty: turns");
        let odd = Span { before: f64::NAN, part: f64::NAN, share: Share { proxies: 1, position: 0 } };
        assert_eq!(odd.of(7), 0);
    }

    #[test]
    fn what_is_held_is_told_and_a_burst_is_as_large_a_part() {
        let mut budget = Budget::new(40, 20, 100, &[(None, 8.0)], Share { proxies: 2, position: 0 });
        budget.hold(30);
        assert_eq!((0..40).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 15);
        assert_eq!((0..40).filter(|_| budget.take(at(500), 0, 1.0).is_ok()).count(), 15);
        budget.hold(0);
        assert!(budget.take(at(5000), 0, 1.0).is_err());
    }

    #[test]
    fn a_clock_that_goes_back_opens_no_room() {
        let share = Share { proxies: 1, position: 0 };
        let mut budget = Budget::new(2, 2, 1000, &[(None, 8.0)], share);
        assert!(budget.take(at(5000), 0, 1.0).is_ok() && budget.take(at(5000), 0, 1.0).is_ok());
        assert!(budget.take(at(1000), 0, 1.0).is_err());
        assert!(budget.take(at(5999), 0, 1.0).is_err());
        assert!(budget.take(at(6000), 0, 1.0).is_ok());
    }
}
