//! Comparison of subsetting algorithms, which assign backends to many proxies: evenness of load, number of links that
//! move when a proxy or backend is removed, and the fraction of combinations of kind and zone in which a proxy has no
//! backend.

use crate::runs::round;
use gaugesaddle_allocation::{allocate_by_demand, assign, AllocationLimits, BackendKey, Member, SubsetSize};
use gaugesaddle_balancer::{mix, subset, BackendId, KindId, ZoneId};
use serde_json::{json, Value};
use std::collections::HashSet;

const KINDS: u64 = 3;
const ZONES: u64 = 3;
/// Number of proxies, and of backends, that are removed one at a time.
const REMOVED_COUNT: usize = 10;

/// The backends of each member, as indices with weights.
type Assignment = Vec<Vec<(usize, f64)>>;
type Algorithm = fn(&[Member], &[BackendKey]) -> Assignment;

/// Members with demands from 1 to 5.
fn members(count: u64, seed: u64) -> Vec<Member> {
    let demands: Vec<Option<f64>> =
        (0..count).map(|n| Some(1.0 + (mix(n ^ mix(seed)) % 1000) as f64 / 250.0)).collect();
    let fractions = allocate_by_demand(&AllocationLimits::default(), &demands);
    (0..count).zip(fractions).map(|(hash_key, fraction)| Member { hash_key, fraction }).collect()
}

fn servers(count: u64, seed: u64) -> Vec<BackendKey> {
    let server =
        |n: u64| BackendKey { hash_key: mix(n ^ mix(seed + 1000)), kind: n % KINDS, zone: n / KINDS % ZONES };
    (0..count).map(server).collect()
}

fn by_draw(members: &[Member], servers: &[BackendKey]) -> Assignment {
    let rows = assign(members, servers, &SubsetSize::default());
    rows.into_iter().map(|row| row.into_iter().map(|l| (l.backend, l.weight)).collect()).collect()
}

/// The balancer's default subsetting: in rounds, by the number of proxies and their positions.
fn rounds(members: &[Member], servers: &[BackendKey]) -> Assignment {
    let listed: Vec<_> =
        servers.iter().map(|s| (BackendId(s.hash_key), KindId(s.kind), ZoneId(s.zone))).collect();
    let row = |position: usize| {
        let own = subset::select(position as u32, members.len() as u32, &listed);
        (0..servers.len()).filter(|s| own.contains(&listed[*s].0)).map(|s| (s, 1.0)).collect()
    };
    (0..members.len()).map(row).collect()
}

/// Deterministic aperture: backends on a ring, alternating between zones and kinds; each member has an arc proportional
/// to its fraction of the demand.
fn aperture(members: &[Member], servers: &[BackendKey]) -> Assignment {
    let mut ring: Vec<usize> = (0..servers.len()).collect();
    ring.sort_by_key(|s| mix(servers[*s].hash_key));
    let mut turns = std::collections::HashMap::<(u64, u64), u64>::new();
    let mut turn = |s: &usize| {
        let count = turns.entry((servers[*s].kind, servers[*s].zone)).or_default();
        *count += 1;
        *count
    };
    let mut placed: Vec<(u64, usize)> = ring.iter().map(|s| (turn(s), *s)).collect();
    placed.sort_by_key(|p| (p.0, servers[p.1].kind, servers[p.1].zone));
    let (count, mut at, mut rows) = (servers.len() as f64, 0.0, Vec::new());
    for member in members {
        let length = (member.fraction * f64::from(SubsetSize::default().users_per_backend)).min(1.0) * count;
        let (from, to) = (at, at + length);
        let overlap = |i: usize| (to.min(i as f64 + 1.0) - from.max(i as f64), placed[i % placed.len()].1);
        let arc = (from as usize..to.ceil() as usize).map(overlap).filter(|o| o.0 > 1e-9);
        rows.push(arc.map(|(weight, s)| (s, weight)).collect());
        at = to % count;
    }
    rows
}

/// Each backend selects its users by weighted rendezvous hashing.
fn drawn_by_backends(members: &[Member], servers: &[BackendKey]) -> Assignment {
    let mut rows = vec![Vec::new(); members.len()];
    for (s, server) in servers.iter().enumerate() {
        let draw = |(i, m): (usize, &Member)| {
            let unit = ((mix(server.hash_key ^ mix(m.hash_key)) >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
            (-unit.ln() / m.fraction, i)
        };
        let mut drawn: Vec<(f64, usize)> = members.iter().enumerate().map(draw).collect();
        drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
        drawn
            .iter()
            .take(SubsetSize::default().users_per_backend as usize)
            .for_each(|d| rows[d.1].push((s, 1.0)));
    }
    rows
}

/// Each backend selects its users by rendezvous hashing with bounded loads: a member takes at most 10% more than its
/// fraction, and the next members in the order of hashes take the rest.
fn drawn_and_bounded(members: &[Member], servers: &[BackendKey]) -> Assignment {
    let users = SubsetSize::default().users_per_backend as usize;
    let max_backends: Vec<usize> = members
        .iter()
        .map(|m| (1.1 * m.fraction * users as f64 * servers.len() as f64).ceil().max(1.0) as usize)
        .collect();
    let mut rows: Assignment = vec![Vec::new(); members.len()];
    for (s, server) in servers.iter().enumerate() {
        let draw = |(i, m): (usize, &Member)| (mix(server.hash_key ^ mix(m.hash_key)), i);
        let mut drawn: Vec<(u64, usize)> = members.iter().enumerate().map(draw).collect();
        drawn.sort_unstable();
        let free: Vec<usize> =
            drawn.iter().map(|d| d.1).filter(|i| rows[*i].len() < max_backends[*i]).take(users).collect();
        free.into_iter().for_each(|i| rows[i].push((s, 1.0)));
    }
    rows
}

/// The greatest load of a backend, relative to the mean.
fn greatest_load(members: &[Member], servers: &[BackendKey], rows: &Assignment) -> f64 {
    let mut load = vec![0.0; servers.len()];
    let of_kind = |kind: u64| servers.iter().filter(|s| s.kind == kind).count() as f64;
    for (member, row) in members.iter().zip(rows) {
        for kind in 0..KINDS {
            let own = || row.iter().filter(|(s, _)| servers[*s].kind == kind);
            let sum: f64 = own().map(|r| r.1).sum();
            own().for_each(|(s, weight)| load[*s] += member.fraction * of_kind(kind) * weight / sum);
        }
    }
    let mean = load.iter().sum::<f64>() / load.len() as f64;
    load.iter().fold(0.0, |m: f64, l| m.max(l / mean))
}

fn links(members: &[Member], servers: &[BackendKey], rows: &Assignment) -> HashSet<(u64, u64)> {
    let of = |(m, row): (&Member, &Vec<(usize, f64)>)| {
        row.iter().map(|r| (m.hash_key, servers[r.0].hash_key)).collect()
    };
    members.iter().zip(rows).flat_map(|pair| -> Vec<(u64, u64)> { of(pair) }).collect()
}

/// Number of links that the others gain or lose when a member or backend is removed, whichever is greater, relative to
/// the links that it had.
fn moved(
    before: &HashSet<(u64, u64)>, after: &HashSet<(u64, u64)>, is_removed: impl Fn(&(u64, u64)) -> bool,
) -> f64 {
    let links_before = before.iter().filter(|l| is_removed(l)).count();
    let gained = after.difference(before).count();
    let lost = before.difference(after).filter(|l| !is_removed(l)).count();
    gained.max(lost) as f64 / links_before.max(1) as f64
}

fn measure_algorithm(algorithm: Algorithm, proxies: u64, backends: u64) -> Value {
    let (members, servers) = (members(proxies, 5), servers(backends, 5));
    let rows = algorithm(&members, &servers);
    let before = links(&members, &servers, &rows);
    let moved_without_proxy = |at: usize| {
        let mut fewer = members.clone();
        let removed = fewer.remove(at);
        fewer.iter_mut().for_each(|m| m.fraction /= 1.0 - removed.fraction);
        let after = links(&fewer, &servers, &algorithm(&fewer, &servers));
        moved(&before, &after, |l| l.0 == removed.hash_key)
    };
    let moved_without_backend = |at: usize| {
        let mut fewer = servers.clone();
        let removed = fewer.remove(at);
        let after = links(&members, &fewer, &algorithm(&members, &fewer));
        moved(&before, &after, |l| l.1 == removed.hash_key)
    };
    let removal_indices = |of: usize| (0..REMOVED_COUNT).map(move |n| n * of / REMOVED_COUNT);
    let mean = |all: Vec<f64>| all.iter().sum::<f64>() / all.len() as f64;
    let empty = rows.iter().map(|row| {
        let has: HashSet<(u64, u64)> = row.iter().map(|r| (servers[r.0].kind, servers[r.0].zone)).collect();
        (KINDS * ZONES) as usize - has.len()
    });
    let cells = (rows.len() as u64 * KINDS * ZONES) as f64;
    json!({
        "greatest_load": round(greatest_load(&members, &servers, &rows)),
        "moved_by_a_proxy": round(mean(removal_indices(members.len()).map(moved_without_proxy).collect())),
        "moved_by_a_backend": round(mean(removal_indices(servers.len()).map(moved_without_backend).collect())),
        "empty": round(empty.sum::<usize>() as f64 / cells),
    })
}

/// Measures all algorithms; returns the figures and whether the one in use (`by draw`) is within its bounds: the
/// greatest load, and the links moved relative to the minimum.
pub fn measure(max_load: f64, max_moved: f64) -> (Value, bool) {
    let algorithms: [(&str, Algorithm); 5] = [
        ("by draw", by_draw),
        ("rounds", rounds),
        ("aperture", aperture),
        ("drawn by backends", drawn_by_backends),
        ("drawn and bounded", drawn_and_bounded),
    ];
    let (mut all, mut within_bounds) = (serde_json::Map::new(), true);
    for (proxies, backends) in [(100, 1000), (300, 200), (1000, 1000)] {
        let mut figures = serde_json::Map::new();
        for (name, algorithm) in algorithms {
            let figures_of_algorithm = measure_algorithm(algorithm, proxies, backends);
            println!("{proxies} proxies, {backends} backends, {name}: {figures_of_algorithm}");
            if name == "by draw" {
                let figure = |key: &str| figures_of_algorithm[key].as_f64().unwrap_or(f64::INFINITY);
                within_bounds &= figure("greatest_load") <= max_load;
                within_bounds &=
                    figure("moved_by_a_proxy") <= max_moved && figure("moved_by_a_backend") <= max_moved;
            }
            figures.insert(name.into(), figures_of_algorithm);
        }
        all.insert(format!("{proxies} over {backends}"), figures.into());
    }
    (all.into(), within_bounds)
}
