//! Ways to deal out backends among many proxies, beside one another: how even the load is, how much moves when one proxy
//! or backend goes, and in how many zones of a kind a proxy has no backend at all.

use crate::runs::round;
use gaugesaddle_allocation::{allocate_by_demand, assign, AllocationLimits, BackendKey, Member, SubsetSize};
use gaugesaddle_balancer::{mix, subset, BackendId, KindId, ZoneId};
use serde_json::{json, Value};
use std::collections::HashSet;

const KINDS: u64 = 3;
const ZONES: u64 = 3;
/// So many proxies, and as many backends, are taken away in turn.
const TAKEN: usize = 10;

/// Of each member its backends, with weights.
type Rows = Vec<Vec<(usize, f64)>>;
type Way = fn(&[Member], &[BackendKey]) -> Rows;

/// Needs from 1 to 5.
fn members(count: u64, seed: u64) -> Vec<Member> {
    let needs: Vec<Option<f64>> =
        (0..count).map(|n| Some(1.0 + (mix(n ^ mix(seed)) % 1000) as f64 / 250.0)).collect();
    let parts = allocate_by_demand(&AllocationLimits::default(), &needs);
    (0..count).zip(parts).map(|(mark, part)| Member { hash_key: mark, fraction: part }).collect()
}

fn servers(count: u64, seed: u64) -> Vec<BackendKey> {
    let server =
        |n: u64| BackendKey { hash_key: mix(n ^ mix(seed + 1000)), kind: n % KINDS, zone: n / KINDS % ZONES };
    (0..count).map(server).collect()
}

fn by_draw(members: &[Member], servers: &[BackendKey]) -> Rows {
    let rows = assign(members, servers, &SubsetSize::default());
    rows.into_iter().map(|row| row.into_iter().map(|l| (l.backend, l.weight)).collect()).collect()
}

/// As the module deals them out by itself: in rounds, by the number of proxies and their positions.
fn rounds(members: &[Member], servers: &[BackendKey]) -> Rows {
    let listed: Vec<_> =
        servers.iter().map(|s| (BackendId(s.hash_key), KindId(s.kind), ZoneId(s.zone))).collect();
    let row = |position: usize| {
        let own = subset::select(position as u32, members.len() as u32, &listed);
        (0..servers.len()).filter(|s| own.contains(&listed[*s].0)).map(|s| (s, 1.0)).collect()
    };
    (0..members.len()).map(row).collect()
}

/// Deterministic aperture: backends on a ring, zones and kinds in turn; each member an arc as long as its part is due.
fn aperture(members: &[Member], servers: &[BackendKey]) -> Rows {
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

/// Each backend draws its users, by weighted rendezvous hashing.
fn drawn_by_backends(members: &[Member], servers: &[BackendKey]) -> Rows {
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

/// The same where none of them takes more than a tenth over its part: the next in order does.
fn drawn_and_bounded(members: &[Member], servers: &[BackendKey]) -> Rows {
    let users = SubsetSize::default().users_per_backend as usize;
    let most: Vec<usize> = members
        .iter()
        .map(|m| (1.1 * m.fraction * users as f64 * servers.len() as f64).ceil().max(1.0) as usize)
        .collect();
    let mut rows: Rows = vec![Vec::new(); members.len()];
    for (s, server) in servers.iter().enumerate() {
        let draw = |(i, m): (usize, &Member)| (mix(server.hash_key ^ mix(m.hash_key)), i);
        let mut drawn: Vec<(u64, usize)> = members.iter().enumerate().map(draw).collect();
        drawn.sort_unstable();
        let free: Vec<usize> =
            drawn.iter().map(|d| d.1).filter(|i| rows[*i].len() < most[*i]).take(users).collect();
        free.into_iter().for_each(|i| rows[i].push((s, 1.0)));
    }
    rows
}

/// The greatest load of a backend beside the mean.
fn greatest(members: &[Member], servers: &[BackendKey], rows: &Rows) -> f64 {
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

fn links(members: &[Member], servers: &[BackendKey], rows: &Rows) -> HashSet<(u64, u64)> {
    let of = |(m, row): (&Member, &Vec<(usize, f64)>)| {
        row.iter().map(|r| (m.hash_key, servers[r.0].hash_key)).collect()
    };
    members.iter().zip(rows).flat_map(|pair| -> Vec<(u64, u64)> { of(pair) }).collect()
}

/// Links that others win or lose when each of some goes, whichever is more, beside those that it had.
fn moved(
    before: &HashSet<(u64, u64)>, after: &HashSet<(u64, u64)>, its: impl Fn(&(u64, u64)) -> bool,
) -> f64 {
    let had = before.iter().filter(|l| its(l)).count();
    let won = after.difference(before).count();
    let lost = before.difference(after).filter(|l| !its(l)).count();
    won.max(lost) as f64 / had.max(1) as f64
}

fn one(way: Way, proxies: u64, backends: u64) -> Value {
    let (members, servers) = (members(proxies, 5), servers(backends, 5));
    let rows = way(&members, &servers);
    let before = links(&members, &servers, &rows);
    let without = |at: usize| {
        let mut fewer = members.clone();
        let gone = fewer.remove(at);
        fewer.iter_mut().for_each(|m| m.fraction /= 1.0 - gone.fraction);
        let after = links(&fewer, &servers, &way(&fewer, &servers));
        moved(&before, &after, |l| l.0 == gone.hash_key)
    };
    let bare = |at: usize| {
        let mut fewer = servers.clone();
        let gone = fewer.remove(at);
        let after = links(&members, &fewer, &way(&members, &fewer));
        moved(&before, &after, |l| l.1 == gone.hash_key)
    };
    let some = |of: usize| (0..TAKEN).map(move |n| n * of / TAKEN);
    let mean = |all: Vec<f64>| all.iter().sum::<f64>() / all.len() as f64;
    let empty = rows.iter().map(|row| {
        let has: HashSet<(u64, u64)> = row.iter().map(|r| (servers[r.0].kind, servers[r.0].zone)).collect();
        (KINDS * ZONES) as usize - has.len()
    });
    let cells = (rows.len() as u64 * KINDS * ZONES) as f64;
    json!({
        "greatest_load": round(greatest(&members, &servers, &rows)),
        "moved_by_a_proxy": round(mean(some(members.len()).map(without).collect())),
        "moved_by_a_backend": round(mean(some(servers.len()).map(bare).collect())),
        "empty": round(empty.sum::<usize>() as f64 / cells),
    })
}

/// All of it, and whether the way that is used keeps its bounds: `load`, and links moved beside the least.
pub fn measure(load: f64, most_moved: f64) -> (Value, bool) {
    let ways: [(&str, Way); 5] = [
        ("by draw", by_draw),
        ("rounds", rounds),
        ("aperture", aperture),
        ("drawn by backends", drawn_by_backends),
        ("drawn and bounded", drawn_and_bounded),
    ];
    let (mut all, mut held) = (serde_json::Map::new(), true);
    for (proxies, backends) in [(100, 1000), (300, 200), (1000, 1000)] {
        let mut figures = serde_json::Map::new();
        for (name, way) in ways {
            let found = one(way, proxies, backends);
            println!("{proxies} proxies, {backends} backends, {name}: {found}");
            if name == "by draw" {
                let least = |key: &str| found[key].as_f64().unwrap_or(f64::INFINITY);
                held &= least("greatest_load") <= load;
                held &= least("moved_by_a_proxy") <= most_moved && least("moved_by_a_backend") <= most_moved;
            }
            figures.insert(name.into(), found);
        }
        all.insert(format!("{proxies} over {backends}"), figures.into());
    }
    (all.into(), held)
}
