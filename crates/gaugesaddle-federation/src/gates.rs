//! The ways to one region, a connection to each of its gateways: which one has the next request, and which is left alone
//! for a moment because it had no place, or could not be reached.

use gaugesaddle_balancer::{Micros, Time};

/// Ways at the most: a proxy of a great region keeps no connection to each gateway of another.
pub const MOST_WAYS: usize = 8;
/// Ways at least: a second one for when the first is being replaced or has lost a packet.
pub const LEAST_WAYS: usize = 2;
/// A gateway whose part of the budget is used up is left alone for so long: its part is of a second, and a tenth of it
/// comes back in this time.
const FULL: Micros = Micros(100_000);
/// One that can't be reached.
const DOWN: Micros = Micros(1_000_000);

/// Why a way did not take a request, which it surely never saw or turned away before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shut {
    /// Its gateway's part of the budget is used up.
    Full,
    /// It can't be reached.
    Down,
}

/// All of them.
#[derive(Clone, Debug)]
pub struct Gates {
    shut: Vec<Option<(Shut, Time)>>,
    turn: usize,
}

impl Gates {
    /// As many ways as there are gateways, within the bounds.
    pub fn new(gateways: usize) -> Gates {
        Gates { shut: vec![None; gateways.clamp(LEAST_WAYS, MOST_WAYS)], turn: 0 }
    }

    /// How many there are.
    pub fn ways(&self) -> usize {
        self.shut.len()
    }

    /// The way for a request that has tried these (a bit each): the next in turn that is not shut. Where all are down one
    /// is tried all the same, once; full ones are not.
    pub fn next(&mut self, now: Time, tried: u32) -> Option<usize> {
        let count = self.shut.len();
        let order = (0..count).map(|i| (self.turn + i) % count).filter(|way| tried >> way & 1 == 0);
        let shut = |way: usize| self.shut[way].filter(|s| now < s.1).map(|s| s.0);
        let open = order.clone().find(|way| shut(*way).is_none());
        let down = || order.clone().find(|way| tried == 0 && shut(*way) == Some(Shut::Down));
        let way = open.or_else(down)?;
        self.turn = (way + 1) % count;
        Some(way)
    }

    /// A way did not take a request.
    pub fn shut(&mut self, now: Time, way: usize, why: Shut) {
        let span = if why == Shut::Full { FULL } else { DOWN };
        if let Some(shut) = self.shut.get_mut(way) {
            *shut = Some((why, now + span));
        }
    }

    /// When some full way may have a place again, where that is why none is open.
    pub fn again(&self, now: Time) -> Option<Micros> {
        let full = self.shut.iter().flatten().filter(|s| s.0 == Shut::Full && now < s.1);
        full.map(|s| s.1 - now).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(1_000_000_000 + ms * 1000)
    }

    #[test]
    fn ways_take_turns_and_shut_ones_are_passed_over_for_a_moment() {
        let mut gates = Gates::new(3);
        assert_eq!((0..4).filter_map(|_| gates.next(at(0), 0)).collect::<Vec<_>>(), [0, 1, 2, 0]);
        gates.shut(at(0), 1, Shut::Full);
        assert_eq!((0..3).filter_map(|_| gates.next(at(1), 0)).collect::<Vec<_>>(), [2, 0, 2]);
        assert_eq!(gates.next(at(2), 0b101), None, "it has tried the others");
        assert_eq!(gates.again(at(2)), Some(Micros(98_000)));
        assert_eq!(gates.next(at(100), 0b101), Some(1));
        (0..3).for_each(|way| gates.shut(at(200), way, Shut::Full));
        assert_eq!(gates.next(at(299), 0), None);
        assert_eq!(gates.next(at(300), 0), Some(2));
    }

    #[test]
    fn where_all_are_down_one_is_tried_all_the_same() {
        let mut gates = Gates::new(1);
        assert_eq!(gates.ways(), LEAST_WAYS);
        assert_eq!(Gates::new(100).ways(), MOST_WAYS);
        (0..2).for_each(|way| gates.shut(at(0), way, Shut::Down));
        assert_eq!(gates.next(at(1), 0), Some(0));
        assert_eq!(gates.next(at(1), 0b01), None);
        assert_eq!(gates.next(at(1), 0), Some(1), "in turn");
        assert_eq!(gates.again(at(1)), None, "nobody is full");
        gates.shut(at(2), 0, Shut::Full);
        assert_eq!(gates.next(at(3), 0), Some(1));
        gates.shut(at(2), 9, Shut::Full);
    }
}
