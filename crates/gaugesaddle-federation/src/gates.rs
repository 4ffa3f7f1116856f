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
mod tests;
