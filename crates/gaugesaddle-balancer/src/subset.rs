//! Subsetting: which backends a proxy uses where proxies are many. No clock, no I/O.
//!
//! If each of many proxies used every backend, it would keep connections to all that are hardly used, and
//! learn too little of each. So proxies are assigned in rounds, as in deterministic subsetting (Site
//! Reliability Engineering, chapter 20): in a round the backends are shuffled and divided into as many groups
//! as the round has proxies, and each proxy uses one group. Every backend is in one group of each round, so
//! all have the same number of users, and two backends share few users: an unhealthy backend's load spreads
//! over the fleet.

use crate::interface::*;
use crate::mix::mix;
use std::collections::{BTreeMap, BTreeSet};

/// Approximate number of proxies that use a backend: few enough that each learns it from its own traffic, and
/// enough for the sum of their traffic to be even.
const TARGET_USERS: u32 = 20;
/// Minimum backends of a proxy: with a third of them unhealthy it still has a choice in each of three zones.
const MIN_BACKENDS: usize = 8;

/// Number of groups in a round; 1: every proxy uses all backends.
pub fn groups(proxies: u32, backends: usize) -> u64 {
    u64::from(proxies / TARGET_USERS).min((backends / MIN_BACKENDS) as u64).max(1)
}

/// The backends that a proxy uses of those listed ready. Each kind is divided by itself, with its zones
/// interleaved, so that groups have the same mix of both. A change of one backend moves few others.
pub fn select(position: u32, proxies: u32, listed: &[(BackendId, KindId, ZoneId)]) -> BTreeSet<BackendId> {
    let groups = groups(proxies, listed.len());
    let (round, group) = (u64::from(position) / groups, u64::from(position) % groups);
    let mut zones: BTreeMap<(KindId, ZoneId), Vec<(u64, BackendId)>> = BTreeMap::new();
    for (id, kind, zone) in listed {
        zones.entry((*kind, *zone)).or_default().push((mix(id.0 ^ mix(round)), *id));
    }
    let mut kinds: BTreeMap<KindId, Vec<(f64, u64, BackendId)>> = BTreeMap::new();
    for ((kind, zone), mut members) in zones {
        members.sort_unstable();
        let (of, first) = (members.len() as f64, mix(zone.0 ^ mix(round)) as f64 / u64::MAX as f64);
        let spread =
            members.iter().enumerate().map(|(i, (order, id))| ((i as f64 + first) / of, *order, *id));
        kinds.entry(kind).or_default().extend(spread);
    }
    let mut own = BTreeSet::new();
    for mut ranked in kinds.into_values() {
        ranked.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let of = ranked.len() as u64;
        let mine = ranked.iter().enumerate().filter(|(rank, _)| *rank as u64 * groups / of == group);
        own.extend(mine.map(|(_, (_, _, id))| *id));
    }
    own
}

#[cfg(test)]
mod tests;
