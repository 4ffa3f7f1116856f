//! Which backends each proxy uses where proxies are many, by the fractions of the live ones: a proxy with more traffic uses
//! more backends, and every backend gets the same traffic of its kind.
//!
//! Each member draws its backends, kind by kind and zone by zone, as many of each as its fraction is due: those whose hash
//! with it is lowest (rendezvous hashing). So all members are alike in kinds and zones, and one that joins or leaves, or has
//! more or less demand, changes little but its own. What chance leaves uneven is balanced by the weights with which a member
//! distributes its traffic over its backends (rows and columns scaled in turn), which moves traffic and no connection.

use gaugesaddle_balancer::mix;
use std::collections::BTreeMap;

/// Maximum iterations of scaling; ten leave under a hundredth where every backend has ten users or more.
const MAX_SCALINGS: usize = 20;
/// Relative deviation of loads that needs no further scaling.
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
        // As the balancer assumes without a tier: few enough that each learns a backend's latency from its own requests,
        // many enough for their sum to be even; and with a third of eight unhealthy there is a choice in each of three zones.
        SubsetSize { users_per_backend: 20, min_backends: 8 }
    }
}

/// A live proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// What it is hashed by; the same at all proxies.
    pub hash_key: u64,
    /// Its fraction of all traffic.
    pub fraction: f64,
}

/// A backend that may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendKey {
    /// What it is hashed by.
    pub hash_key: u64,
    /// Its kind: the balancer decides how much each kind gets.
    pub kind: u64,
    /// Its zone.
    pub zone: u64,
}

/// A member's use of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assignment {
    /// Its index in the list.
    pub backend: usize,
    /// Its fraction of the member's traffic, relative to the mean of the member's backends of that kind.
    pub weight: f64,
    /// The member's fraction of all that the backend gets.
    pub fraction: f64,
    /// Sum of the fractions of the members before it, in an order that all share.
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

/// How many backends a member is due. With up to `users_per_backend` members each uses all, and up to twice as many that
/// fades out, so that one member more or less does not make all choose anew.
fn due_backends(member: &Member, members: usize, backends: usize, size: &SubsetSize) -> f64 {
    let users = f64::from(size.users_per_backend.max(1));
    let all = (2.0 - members as f64 / users).min(1.0);
    let due = (member.fraction * users).max(all) * backends as f64;
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
    let mut drawn: Vec<(u64, usize)> = Vec::new();
    for (i, member) in members.iter().enumerate().filter(|m| m.1.fraction > 0.0) {
        let member_hash = mix(member.hash_key);
        let due = due_backends(member, members.len(), backends.len(), size);
        for ((kind, zone), cell) in &cells {
            // Each member rounds its count up by an offset of its own: summed over members each cell gets what it is due.
            let up = (mix(member_hash ^ mix(kind ^ mix(*zone))) >> 11) as f64 / (1u64 << 53) as f64;
            let count = (due * cell.len() as f64 / backends.len() as f64 + up) as usize;
            drawn.clear();
            drawn.extend(cell.iter().map(|s| (mix(backends[*s].hash_key ^ member_hash), *s)));
            if (1..drawn.len()).contains(&count) {
                drawn.select_nth_unstable(count - 1);
            }
            let own = drawn.iter().take(count).map(|(_, backend)| Edge {
                member: i,
                backend: *backend,
                weight: 1.0,
            });
            edges.entry(*kind).or_default().extend(own);
        }
    }
    let mut rows = vec![Vec::new(); members.len()];
    edges.into_values().for_each(|of_kind| balance_weights(members, backends.len(), of_kind, &mut rows));
    rows.iter_mut().for_each(|row| row.sort_unstable_by_key(|link: &Assignment| link.backend));
    rows
}

/// Scales the weights of one kind's assignments: each member's sum to one, each backend's traffic is the same.
fn balance_weights(members: &[Member], backends: usize, mut edges: Vec<Edge>, rows: &mut [Vec<Assignment>]) {
    let (mut own, mut load) = (vec![0.0; members.len()], vec![0.0; backends]);
    let mut users = vec![0u32; backends];
    edges.iter().for_each(|e| users[e.backend] += 1);
    let count = users.iter().filter(|n| **n > 0).count();
    for iteration in 0..=MAX_SCALINGS {
        own.fill(0.0);
        edges.iter().for_each(|e| own[e.member] += e.weight);
        edges.iter_mut().for_each(|e| e.weight /= own[e.member]);
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
