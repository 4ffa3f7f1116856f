//! Which backends a proxy uses where proxies are many. No clock, no I/O.
//!
//! Each of many proxies that uses every backend sends each of them a request now and then: it keeps
//! connections to all that are hardly used, and learns nothing of any of them in time. So the proxies are
//! dealt out in rounds. In a round the backends are shuffled and cut into as many groups as the round has
//! proxies; each proxy uses one. Every backend is in one group of each round, so all have as many users,
//! and two backends that share one user seldom share the next: what an ill backend does not take is spread
//! over the fleet.

use crate::interface::*;
use crate::mix::mix;
use std::collections::{BTreeMap, BTreeSet};

/// Proxies that use a backend, about: as few as let it be known from what each of them sends, and enough
/// for the sum of their traffic to be even.
const TARGET_USERS: u32 = 20;
/// Least backends of a proxy: with an ill third of them it still has a choice in each zone of three.
const MIN_BACKENDS: usize = 8;

/// Groups that a round cuts the backends into; one: every proxy uses all of them.
pub fn groups(proxies: u32, backends: usize) -> u64 {
    u64::from(proxies / TARGET_USERS).min((backends / MIN_BACKENDS) as u64).max(1)
}

/// What a proxy uses of the backends that are listed ready. Every kind is cut by itself, the zones of a
/// kind taking turns, so that groups are alike in both. A change of one backend moves few others.
pub fn chosen(position: u32, proxies: u32, listed: &[(BackendId, KindId, ZoneId)]) -> BTreeSet<BackendId> {
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
