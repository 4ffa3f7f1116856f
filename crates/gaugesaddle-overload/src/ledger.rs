//! Who comes back before the moment that it was given. A bounded table of sources (an account, an address), the least
//! recently seen leaving first.
//!
//! Weighed against a count-min sketch: the sketch holds any number of sources in fixed memory but only counts; it
//! can't keep the moment a source was given, and a full one wrongs the innocent. A table that is full forgets the
//! guilty who have been silent longest: the milder error.

use gaugesaddle_balancer::{Micros, Time};
use std::collections::{BTreeMap, HashMap};

/// Coming so much early is no fault: clocks and roundings differ.
const EARLY: Micros = Micros(150_000);
/// A source that has kept its moments for so long is trusted again.
const FORGIVEN: Micros = Micros(30_000_000);

#[derive(Clone, Copy, Debug)]
struct Row {
    /// It may come from then on.
    moment: Time,
    /// It came before its moment, last at that time.
    early: Option<Time>,
    seen: u64,
}

/// Sources that were refused.
#[derive(Clone, Debug)]
pub struct Ledger {
    most: usize,
    rows: HashMap<u64, Row>,
    /// By when they were seen.
    order: BTreeMap<u64, u64>,
    next: u64,
}

impl Ledger {
    /// Knows so many sources at most; at least one.
    pub fn new(most: usize) -> Ledger {
        Ledger { most: most.max(1), rows: HashMap::new(), order: BTreeMap::new(), next: 0 }
    }

    /// Sources that it knows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether it knows none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn touch(&mut self, source: u64, row: Row) {
        if let Some(old) = self.rows.get(&source) {
            self.order.remove(&old.seen);
        } else if self.rows.len() >= self.most {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.rows.remove(&oldest);
            }
        }
        self.next += 1;
        self.order.insert(self.next, source);
        self.rows.insert(source, Row { seen: self.next, ..row });
    }

    /// A source asks: whether it has been coming out of turn.
    pub fn asks(&mut self, now: Time, source: u64) -> bool {
        let Some(mut row) = self.rows.get(&source).copied() else { return false };
        if now + EARLY < row.moment {
            row.early = Some(now);
        }
        let guilty = row.early.is_some_and(|at| now - at < FORGIVEN);
        self.touch(source, row);
        guilty
    }

    /// A source was told to come back then.
    pub fn told(&mut self, source: u64, moment: Time) {
        let early = self.rows.get(&source).and_then(|r| r.early);
        self.touch(source, Row { moment, early, seen: 0 });
    }
}

#[cfg(test)]
mod tests;
