//! Which backends each proxy uses where proxies are many, by the parts of those that live: a proxy with more traffic uses
//! more backends, and every backend gets the same traffic of its kind.
//!
//! Each member draws its backends, kind by kind and zone by zone, so many of each as its part is due: those whose draw
//! with it is least (rendezvous hashing). So all are alike in kinds and zones, and whoever comes or goes, or needs more or
//! less, wins or loses little but its own. What chance leaves uneven is evened by the weights with which a member spreads
//! its traffic over its backends (rows and columns scaled in turn), which moves traffic and no connection.

use gaugesaddle_balancer::mix;
use std::collections::BTreeMap;

/// Rounds of scaling at most; ten leave under a hundredth where every backend has ten users or more.
const SCALINGS: usize = 20;
/// Loads this even need no further scaling.
const EVEN: f64 = 0.01;

/// How many use what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crowd {
    /// Users of a backend, in the mean.
    pub users: u32,
    /// Backends of a member at least.
    pub least: usize,
}

impl Default for Crowd {
    fn default() -> Crowd {
        // As the module has them where nobody tells it more: few enough to know a backend by what each sends it, many
        // enough for their sum to be even; and with an ill third of eight there is a choice in each of three zones.
        Crowd { users: 20, least: 8 }
    }
}

/// A proxy that lives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// What it is drawn by; the same at all proxies.
    pub mark: u64,
    /// Its part of all traffic.
    pub part: f64,
}

/// A backend that may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server {
    /// What it is drawn by.
    pub mark: u64,
    /// Its kind: the module decides what each kind gets.
    pub kind: u64,
    /// Its zone.
    pub zone: u64,
}

/// A member's use of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// By its place in the list.
    pub server: usize,
    /// What it gets of the member's traffic beside the mean of the member's backends of that kind.
    pub weight: f64,
    /// The member's part of all that the backend gets.
    pub part: f64,
    /// The parts of those before it, in an order that all share.
    pub before: f64,
    /// Users of the backend.
    pub users: u32,
}

/// A use on its way to its weight.
struct Edge {
    member: usize,
    server: usize,
    weight: f64,
}

/// How many backends a member is due, of all. Up to as many members as a backend has users all use all, and up to twice
/// as many that fades out: no one more or less makes all of them choose anew.
fn due(member: &Member, members: usize, servers: usize, crowd: &Crowd) -> f64 {
    let users = f64::from(crowd.users.max(1));
    let all = (2.0 - members as f64 / users).min(1.0);
    let due = (member.part * users).max(all) * servers as f64;
    if due.is_finite() {
        due.clamp(crowd.least.min(servers) as f64, servers as f64)
    } else {
        0.0
    }
}

/// Who uses what: of each member, in their order, its backends. All members compute the same from the same.
pub fn uses(members: &[Member], servers: &[Server], crowd: &Crowd) -> Vec<Vec<Link>> {
    let mut cells: BTreeMap<(u64, u64), Vec<usize>> = BTreeMap::new();
    servers
        .iter()
        .enumerate()
        .for_each(|(s, server)| cells.entry((server.kind, server.zone)).or_default().push(s));
    let mut edges: BTreeMap<u64, Vec<Edge>> = BTreeMap::new();
    let mut drawn: Vec<(u64, usize)> = Vec::new();
    for (i, member) in members.iter().enumerate().filter(|m| m.1.part > 0.0) {
        let mark = mix(member.mark);
        let due = due(member, members.len(), servers.len(), crowd);
        for ((kind, zone), cell) in &cells {
            // Where its count is rounded up is its own: in the sum over members each cell gets what it is due.
            let up = (mix(mark ^ mix(kind ^ mix(*zone))) >> 11) as f64 / (1u64 << 53) as f64;
            let count = (due * cell.len() as f64 / servers.len() as f64 + up) as usize;
            drawn.clear();
            drawn.extend(cell.iter().map(|s| (mix(servers[*s].mark ^ mark), *s)));
            if (1..drawn.len()).contains(&count) {
                drawn.select_nth_unstable(count - 1);
            }
            let own =
                drawn.iter().take(count).map(|(_, server)| Edge { member: i, server: *server, weight: 1.0 });
            edges.entry(*kind).or_default().extend(own);
        }
    }
    let mut rows = vec![Vec::new(); members.len()];
    edges.into_values().for_each(|of_kind| even(members, servers.len(), of_kind, &mut rows));
    rows.iter_mut().for_each(|row| row.sort_unstable_by_key(|link: &Link| link.server));
    rows
}

/// Scales the weights of one kind's uses: each member's sum to one, each backend's traffic is the same.
fn even(members: &[Member], servers: usize, mut edges: Vec<Edge>, rows: &mut [Vec<Link>]) {
    let (mut own, mut load) = (vec![0.0; members.len()], vec![0.0; servers]);
    let mut users = vec![0u32; servers];
    edges.iter().for_each(|e| users[e.server] += 1);
    let count = users.iter().filter(|n| **n > 0).count();
    for round in 0..=SCALINGS {
        own.fill(0.0);
        edges.iter().for_each(|e| own[e.member] += e.weight);
        edges.iter_mut().for_each(|e| e.weight /= own[e.member]);
        load.fill(0.0);
        edges.iter().for_each(|e| load[e.server] += e.weight * members[e.member].part);
        let mean = load.iter().sum::<f64>() / count.max(1) as f64;
        let is_even = |l: &f64| *l == 0.0 || (l / mean - 1.0).abs() < EVEN;
        if round == SCALINGS || mean <= 0.0 || load.iter().all(is_even) {
            break;
        }
        edges.iter_mut().for_each(|e| e.weight *= (mean / load[e.server]).clamp(0.1, 10.0));
    }
    let mut count_of = vec![0u32; members.len()];
    edges.iter().for_each(|e| count_of[e.member] += 1);
    let mut before = vec![0.0; servers];
    for Edge { member, server, weight } in edges {
        let part = weight * members[member].part / load[server];
        let link = Link {
            server,
            weight: weight * f64::from(count_of[member]),
            part,
            before: before[server],
            users: users[server],
        };
        before[server] += part;
        rows[member].push(link);
    }
}

#[cfg(test)]
mod tests;
