//! A control process's side.

use crate::{FRESH, MAX_BACKENDS, MAX_PROCESSES, MAX_PROXIES};
use gaugesaddle_protocol::BackendLoad;
use std::collections::BTreeMap;

/// A report or a sum, and when it came.
#[derive(Clone, Debug)]
struct Dated {
    at: u64,
    loads: Vec<BackendLoad>,
}

/// The newest report of each proxy that calls this process, and the newest sums of the other processes.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    proxies: BTreeMap<u64, Dated>,
    processes: BTreeMap<u32, Dated>,
}

impl LoadAggregator {
    /// A proxy reports; its report before this one is void.
    pub fn report(&mut self, now: u64, proxy: u64, loads: Vec<BackendLoad>) {
        put(&mut self.proxies, MAX_PROXIES, now, proxy, loads);
    }

    /// Another control process tells the sums of its own proxies.
    pub fn take(&mut self, now: u64, process: u32, loads: Vec<BackendLoad>) {
        put(&mut self.processes, MAX_PROCESSES, now, process, loads);
    }

    /// The sums of the proxies that call this process, for the others.
    pub fn own(&self, now: u64) -> Vec<BackendLoad> {
        heaviest(sums(now, self.proxies.values()))
    }

    /// The sums of all proxies, for one that calls this process.
    pub fn all(&self, now: u64) -> Vec<BackendLoad> {
        heaviest(sums(now, self.proxies.values().chain(self.processes.values())))
    }
}

fn put<K: Ord>(table: &mut BTreeMap<K, Dated>, most: usize, now: u64, key: K, mut loads: Vec<BackendLoad>) {
    if table.len() >= most && !table.contains_key(&key) {
        table.retain(|_, dated| now < dated.at + FRESH);
        if table.len() >= most {
            return;
        }
    }
    loads.truncate(MAX_BACKENDS);
    table.insert(key, Dated { at: now, loads });
}

fn sums<'a>(now: u64, reports: impl Iterator<Item = &'a Dated>) -> BTreeMap<u32, BackendLoad> {
    let mut sums: BTreeMap<u32, BackendLoad> = BTreeMap::new();
    for dated in reports.filter(|dated| now < dated.at + FRESH) {
        for load in &dated.loads {
            let sum = sums.entry(load.backend).or_default();
            sum.backend = load.backend;
            sum.work = sum.work.saturating_add(load.work);
            sum.failed = sum.failed.saturating_add(load.failed);
            sum.served = sum.served.saturating_add(load.served);
        }
    }
    sums
}

/// Those with the most work and failures, where there are too many to tell.
fn heaviest(sums: BTreeMap<u32, BackendLoad>) -> Vec<BackendLoad> {
    let mut loads: Vec<BackendLoad> = sums.into_values().collect();
    if loads.len() > MAX_BACKENDS {
        loads.sort_unstable_by_key(|load| std::cmp::Reverse((load.work, load.failed)));
        loads.truncate(MAX_BACKENDS);
    }
    loads
}
