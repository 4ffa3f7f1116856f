//! Tracks sources (an account, an address) that retry earlier than advised, in a bounded table from which the least recently
//! seen one is evicted.
//!
//! A count-min sketch would hold any number of sources in fixed memory, but it only counts: it cannot store the time that a
//! source was advised, and a full one reports sources that did not retry early. A full table evicts the early sources that
//! were not seen for the longest time, which is the lesser error.

use gaugesaddle_balancer::{Micros, Time};
use std::collections::{BTreeMap, HashMap};

/// A retry that is early by up to this is tolerated, since clocks and rounding differ.
const EARLY_TOLERANCE: Micros = Micros(150_000);
/// A source that has not retried early for this long no longer counts as early.
const FORGIVENESS_TIME: Micros = Micros(30_000_000);

#[derive(Clone, Copy, Debug)]
struct SourceEntry {
    /// Advised time of the retry.
    retry_at: Time,
    /// Time of the last early retry.
    last_early: Option<Time>,
    sequence: u64,
}

/// Sources that were refused, with their advised times and early retries.
#[derive(Clone, Debug)]
pub struct RetryAccounting {
    max_sources: usize,
    entries: HashMap<u64, SourceEntry>,
    /// Sources by the sequence number of their last update, the least recent first.
    order: BTreeMap<u64, u64>,
    last_sequence: u64,
}

impl RetryAccounting {
    /// An empty table for at most `max_sources` sources, at least one.
    pub fn new(max_sources: usize) -> RetryAccounting {
        RetryAccounting {
            max_sources: max_sources.max(1),
            entries: HashMap::new(),
            order: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// The number of sources in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn touch(&mut self, source: u64, entry: SourceEntry) {
        if let Some(old) = self.entries.get(&source) {
            self.order.remove(&old.sequence);
        } else if self.entries.len() >= self.max_sources {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.entries.remove(&oldest);
            }
        }
        self.last_sequence += 1;
        self.order.insert(self.last_sequence, source);
        self.entries.insert(source, SourceEntry { sequence: self.last_sequence, ..entry });
    }

    /// Records a request of a source. Returns whether the source has recently retried early.
    pub fn record_request(&mut self, now: Time, source: u64) -> bool {
        let Some(mut entry) = self.entries.get(&source).copied() else { return false };
        if now + EARLY_TOLERANCE < entry.retry_at {
            entry.last_early = Some(now);
        }
        let is_early = entry.last_early.is_some_and(|at| now - at < FORGIVENESS_TIME);
        self.touch(source, entry);
        is_early
    }

    /// Records the time at which a source was advised to retry.
    pub fn record_advice(&mut self, source: u64, retry_at: Time) {
        let last_early = self.entries.get(&source).and_then(|r| r.last_early);
        self.touch(source, SourceEntry { retry_at, last_early, sequence: 0 });
    }
}

#[cfg(test)]
mod tests;
