//! Subsetting: which backends each proxy of a large tier uses, by the traffic fractions of the live proxies. A proxy with
//! more traffic uses more backends, and all backends of a kind get the same traffic.
//!
//! For each kind and zone a member selects a number of backends in proportion to its fraction: those whose hash with the
//! member is lowest (rendezvous hashing). So all members have the same mix of kinds and zones, and a member that joins,
//! leaves or changes its demand changes few assignments but its own. The remaining random imbalance is removed by the
//! weights with which a member distributes its traffic over its backends (iterative proportional fitting: rows and
//! columns are scaled in turn), which moves traffic but no connections.

use gaugesaddle_balancer::mix;
use std::collections::BTreeMap;

/// Maximum iterations of scaling. Ten leave an imbalance of less than a hundredth where every backend has at least ten
/// users.
const MAX_SCALINGS: usize = 20;
/// Scaling ends once the load of each backend deviates by less than this fraction from the mean.
const MAX_IMBALANCE: f64 = 0.01;

/// How many proxies use a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSize {
    /// Mean number of users of a backend.
    pub users_per_backend: u32,
    /// Minimum number of backends of a member.
    pub min_backends: usize,
}

impl Default for SubsetSize {
    fn default() -> SubsetSize {
        // The balancer assumes the same without a tier. Twenty users are few enough that each measures a backend's
        // latency by its own requests, and many enough for an even sum. With a third of eight backends unhealthy there
        // is still a choice in each of three zones.
        SubsetSize { users_per_backend: 20, min_backends: 8 }
    }
}

/// A live proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Key for rendezvous hashing, the same at all proxies.
    pub hash_key: u64,
    /// Its fraction of all traffic.
    pub fraction: f64,
}

/// A backend that may receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendKey {
    /// Key for rendezvous hashing.
    pub hash_key: u64,
    /// Its kind. The balancer decides how much traffic each kind gets.
    pub kind: u64,
    /// Its zone.
    pub zone: u64,
}

/// A member's use of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assignment {
    /// The backend's index in the list.
    pub backend: usize,
    /// The backend's fraction of the member's traffic, relative to the mean of the member's backends of that kind.
    pub weight: f64,
    /// The member's fraction of the backend's traffic.
    pub fraction: f64,
    /// Sum of the fractions of the preceding members, in an order that all proxies share.
    pub preceding: f64,
    /// Number of members that use the backend.
    pub users: u32,
}

/// An assignment whose weight is being computed.
struct Edge {
    member: usize,
    backend: usize,
    weight: f64,
}

/// The number of backends that a member should use. With up to `users_per_backend` members each uses all backends. Up to
/// twice as many members this minimum decreases linearly, so that one member more or less does not change all assignments.
fn due_backends(member: &Member, members: usize, backends: usize, size: &SubsetSize) -> f64 {
    let users = f64::from(size.users_per_backend.max(1));
    let min_fraction = (2.0 - members as f64 / users).min(1.0);
    let due = (member.fraction * users).max(min_fraction) * backends as f64;
    if due.is_finite() {
        due.clamp(size.min_backends.min(backends) as f64, backends as f64)
    } else {
        0.0
    }
}

/// The backends of each member, in the members' order. All members compute the same from the same view.
pub fn assign(members: &[Member], backends: &[BackendKey], size: &SubsetSize) -> Vec<Vec<Assignment>> {
    let mut cells: BTreeMap<(u64, u64), Vec<usize>> = BTreeMap::new();
    backends
        .iter()
        .enumerate()
        .for_each(|(s, backend)| cells.entry((backend.kind, backend.zone)).or_default().push(s));
    let mut edges: BTreeMap<u64, Vec<Edge>> = BTreeMap::new();
    let mut candidates: Vec<(u64, usize)> = Vec::new();
    for (i, member) in members.iter().enumerate().filter(|m| m.1.fraction > 0.0) {
        let member_hash = mix(member.hash_key);
        let due = due_backends(member, members.len(), backends.len(), size);
        for ((kind, zone), cell) in &cells {
            // Each member rounds its count with a pseudorandom offset of its own, so that over all members each cell gets
            // its expected number of users.
            let rounding_offset =
                (mix(member_hash ^ mix(kind ^ mix(*zone))) >> 11) as f64 / (1u64 << 53) as f64;
            let count = (due * cell.len() as f64 / backends.len() as f64 + rounding_offset) as usize;
            candidates.clear();
            candidates.extend(cell.iter().map(|s| (mix(backends[*s].hash_key ^ member_hash), *s)));
            if (1..candidates.len()).contains(&count) {
                candidates.select_nth_unstable(count - 1);
            }
            let selected = candidates.iter().take(count).map(|(_, backend)| Edge {
                member: i,
                backend: *backend,
                weight: 1.0,
            });
            edges.entry(*kind).or_default().extend(selected);
        }
    }
    let mut rows = vec![Vec::new(); members.len()];
    edges.into_values().for_each(|of_kind| balance_weights(members, backends.len(), of_kind, &mut rows));
    rows.iter_mut().for_each(|row| row.sort_unstable_by_key(|assignment: &Assignment| assignment.backend));
    rows
}

/// Scales the weights of one kind's assignments so that the weights of each member sum to one and all backends get the same
/// traffic.
fn balance_weights(members: &[Member], backends: usize, mut edges: Vec<Edge>, rows: &mut [Vec<Assignment>]) {
    let (mut weight_sums, mut load) = (vec![0.0; members.len()], vec![0.0; backends]);
    let mut users = vec![0u32; backends];
    edges.iter().for_each(|e| users[e.backend] += 1);
    let count = users.iter().filter(|n| **n > 0).count();
    for iteration in 0..=MAX_SCALINGS {
        weight_sums.fill(0.0);
        edges.iter().for_each(|e| weight_sums[e.member] += e.weight);
        edges.iter_mut().for_each(|e| e.weight /= weight_sums[e.member]);
        load.fill(0.0);
        edges.iter().for_each(|e| load[e.backend] += e.weight * members[e.member].fraction);
        let mean = load.iter().sum::<f64>() / count.max(1) as f64;
        let is_balanced = |l: &f64| *l == 0.0 || (l / mean - 1.0).abs() < MAX_IMBALANCE;
        if iteration == MAX_SCALINGS || mean <= 0.0 || load.iter().all(is_balanced) {
            break;
        }
        edges.iter_mut().for_each(|e| e.weight *= (mean / load[e.backend]).clamp(0.1, 10.0));
    }
    let mut backends_of = vec![0u32; members.len()];
    edges.iter().for_each(|e| backends_of[e.member] += 1);
    let mut preceding = vec![0.0; backends];
    for Edge { member, backend, weight } in edges {
        let fraction = weight * members[member].fraction / load[backend];
        rows[member].push(Assignment {
            backend,
            weight: weight * f64::from(backends_of[member]),
            fraction,
            preceding: preceding[backend],
            users: users[backend],
        });
        preceding[backend] += fraction;
    }
}

#[cfg(test)]
mod tests;
