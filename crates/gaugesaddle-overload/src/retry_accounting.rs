//! Who retries before the time that it was given: a bounded table of sources (an account, an address) from which the least
//! recently seen one is evicted.
//!
//! Weighed against a count-min sketch: the sketch holds any number of sources in fixed memory but only counts; it cannot keep
//! the time that a source was given, and a full one blames sources that did nothing. A full table forgets early sources
//! that have not come for the longest time: the milder error.

use gaugesaddle_balancer::{Micros, Time};
use std::collections::{BTreeMap, HashMap};

/// A retry this much early is tolerated: clocks and roundings differ.
const EARLY_TOLERANCE: Micros = Micros(150_000);
/// A source that has kept its times for this long is trusted again.
const FORGIVENESS_TIME: Micros = Micros(30_000_000);

#[derive(Clone, Copy, Debug)]
struct Row {
    /// It may retry from then on.
    retry_at: Time,
    /// When it last came before its time.
    early: Option<Time>,
    seen: u64,
}

/// Sources that were refused, and whether they keep their times.
#[derive(Clone, Debug)]
pub struct RetryAccounting {
    max_sources: usize,
    rows: HashMap<u64, Row>,
    /// Sources by when they were seen.
    order: BTreeMap<u64, u64>,
    next: u64,
}

impl RetryAccounting {
    /// Knows at most `max_sources` sources, at least one.
    pub fn new(max_sources: usize) -> RetryAccounting {
        RetryAccounting {
            max_sources: max_sources.max(1),
            rows: HashMap::new(),
            order: BTreeMap::new(),
            next: 0,
        }
    }

    /// The number of known sources.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no source is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn touch(&mut self, source: u64, row: Row) {
        if let Some(old) = self.rows.get(&source) {
            self.order.remove(&old.seen);
        } else if self.rows.len() >= self.max_sources {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.rows.remove(&oldest);
            }
        }
        self.next += 1;
        self.order.insert(self.next, source);
        self.rows.insert(source, Row { seen: self.next, ..row });
    }

    /// A source sends a request. Returns whether it has lately come before its time.
    pub fn record_request(&mut self, now: Time, source: u64) -> bool {
        let Some(mut row) = self.rows.get(&source).copied() else { return false };
        if now + EARLY_TOLERANCE < row.retry_at {
            row.early = Some(now);
        }
        let returns_early = row.early.is_some_and(|at| now - at < FORGIVENESS_TIME);
        self.touch(source, row);
        returns_early
    }

    /// A source was advised to retry at a time.
    pub fn record_advice(&mut self, source: u64, retry_at: Time) {
        let early = self.rows.get(&source).and_then(|r| r.early);
        self.touch(source, Row { retry_at, early, seen: 0 });
    }
}

#[cfg(test)]
mod tests;
