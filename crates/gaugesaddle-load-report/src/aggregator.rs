//! The control process's side: stores the proxies' reports and computes their sums.

use crate::heaviest::heaviest;
use crate::{MAX_BACKENDS, MAX_PROCESSES, MAX_PROXIES, REPORT_TTL_MS};
use gaugesaddle_protocol::BackendLoad;
use std::collections::BTreeMap;

/// A report or a set of sums, with the time at which it was received.
#[derive(Clone, Debug)]
struct Received {
    at_ms: u64,
    loads: Vec<BackendLoad>,
}

impl Received {
    fn is_live(&self, now: u64) -> bool {
        now < self.at_ms + REPORT_TTL_MS
    }
}

/// Stores the newest report of each proxy that calls this process, and the newest sums of the other control processes.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    /// Keyed by the proxy's number.
    proxies: BTreeMap<u64, Received>,
    /// Keyed by the IPv4 address of the process's machine.
    processes: BTreeMap<u32, Received>,
}

impl LoadAggregator {
    /// Records the report of a proxy received at `now` (milliseconds); it replaces the proxy's previous report. The report
    /// of a new proxy is dropped if the table is full of live reports.
    pub fn record_report(&mut self, now: u64, proxy: u64, loads: Vec<BackendLoad>) {
        insert_bounded(&mut self.proxies, MAX_PROXIES, now, proxy, loads);
    }

    /// Records another control process's sums over the proxies that call it; they replace its previous sums.
    pub fn record_sums(&mut self, now: u64, process: u32, loads: Vec<BackendLoad>) {
        insert_bounded(&mut self.processes, MAX_PROCESSES, now, process, loads);
    }

    /// The sums over the proxies that call this process, for the other control processes.
    pub fn local_sums(&self, now: u64) -> Vec<BackendLoad> {
        sums(now, self.proxies.values())
    }

    /// The sums over all proxies, for a proxy that calls this process.
    pub fn total_sums(&self, now: u64) -> Vec<BackendLoad> {
        sums(now, self.proxies.values().chain(self.processes.values()))
    }
}

/// Inserts loads received at `now`. A full table first evicts expired entries; if it stays full, a new key is dropped.
fn insert_bounded<K: Ord>(
    table: &mut BTreeMap<K, Received>, max: usize, now: u64, key: K, mut loads: Vec<BackendLoad>,
) {
    if table.len() >= max && !table.contains_key(&key) {
        table.retain(|_, received| received.is_live(now));
        if table.len() >= max {
            return;
        }
    }
    loads.truncate(MAX_BACKENDS);
    table.insert(key, Received { at_ms: now, loads });
}

/// The sum for each backend over the live entries.
fn sums<'a>(now: u64, received: impl Iterator<Item = &'a Received>) -> Vec<BackendLoad> {
    let mut sums: BTreeMap<u32, BackendLoad> = BTreeMap::new();
    for received in received.filter(|received| received.is_live(now)) {
        for load in &received.loads {
            let sum = sums.entry(load.backend).or_default();
            sum.backend = load.backend;
            sum.work = sum.work.saturating_add(load.work);
            sum.failed = sum.failed.saturating_add(load.failed);
            sum.served = sum.served.saturating_add(load.served);
        }
    }
    heaviest(sums.into_values().collect())
}
