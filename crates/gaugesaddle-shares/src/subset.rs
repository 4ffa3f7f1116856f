//! Which backends each proxy uses where proxies are many, by the parts of those that live: a proxy with more traffic uses
//! more backends, and every backend gets the same traffic of its kind.
//!
//! Each backend draws its users, so many rounds: in each round the member whose draw is the least, an exponential with the
//! member's part as its rate (weighted rendezvous hashing). Whoever comes or goes, or needs more or less, wins or
//! loses only what it wins or loses; nothing passes between two others. What chance leaves uneven is evened by the
//! weights with which a member spreads its traffic over its backends (rows and columns scaled in turn), which moves
//! traffic and no connection.

use beechworks::mix;
use std::collections::BTreeMap;

/// Rounds of scaling at most; ten leave under a hundredth where every backend has ten users or more.
const SCALINGS: usize = 20;
/// Loads this even need no further scaling.
const EVEN: f64 = 0.01;

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
}

/// Who uses what, with which weight: of each member, in their order, its backends (by their place in the list) and the
/// part of its traffic to their kind that each gets.
#[derive(Clone, Debug, PartialEq)]
pub struct Uses {
    /// By member.
    pub rows: Vec<Vec<(usize, f64)>>,
}

/// The user of a backend in a round.
fn winner(members: &[(u64, f64)], mark: u64) -> Option<usize> {
    let draw = |(i, (member, part)): (usize, &(u64, f64))| {
        // Above 0 and up to 1.
        let unit = ((mix(mark ^ member) >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        (-unit.ln() / part, i)
    };
    let drawn = members.iter().enumerate().filter(|(_, m)| m.1 > 0.0).map(draw);
    drawn.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|d| d.1)
}

/// Deals out the backends: each has `users` of them, fewer where a member wins it more than once.
pub fn uses(members: &[Member], servers: &[Server], users: u32) -> Uses {
    let mut rows: Vec<BTreeMap<usize, f64>> = vec![BTreeMap::new(); members.len()];
    if members.len() <= users as usize {
        // As few as each backend bears: all use all.
        rows.iter_mut().for_each(|row| row.extend((0..servers.len()).map(|s| (s, 1.0))));
    } else {
        let marked: Vec<(u64, f64)> = members.iter().map(|m| (mix(m.mark), m.part)).collect();
        for (s, server) in servers.iter().enumerate() {
            for round in 0..u64::from(users) {
                if let Some(member) = winner(&marked, mix(server.mark ^ mix(round))) {
                    *rows[member].entry(s).or_default() += 1.0;
                }
            }
        }
    }
    let mut kinds: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    servers.iter().enumerate().for_each(|(s, server)| kinds.entry(server.kind).or_default().push(s));
    for of_kind in kinds.values() {
        even(members, &mut rows, of_kind);
    }
    Uses { rows: rows.into_iter().map(|row| row.into_iter().collect()).collect() }
}

/// Scales the weights of one kind's backends: each member's sum to one, each backend's traffic is the same.
fn even(members: &[Member], rows: &mut [BTreeMap<usize, f64>], of_kind: &[usize]) {
    let mut column = BTreeMap::new();
    of_kind.iter().enumerate().for_each(|(at, s)| _ = column.insert(*s, at));
    let mut edges: Vec<(usize, usize, f64)> = Vec::new();
    for (i, row) in rows.iter().enumerate() {
        edges.extend(row.iter().filter_map(|(s, weight)| column.get(s).map(|at| (i, *at, *weight))));
    }
    let mut own = vec![0.0; members.len()];
    for _ in 0..SCALINGS {
        own.fill(0.0);
        edges.iter().for_each(|(i, _, weight)| own[*i] += weight);
        edges.iter_mut().for_each(|(i, _, weight)| *weight /= own[*i]);
        let mut load = vec![0.0; of_kind.len()];
        edges.iter().for_each(|(i, at, weight)| load[*at] += weight * members[*i].part);
        let mean = load.iter().sum::<f64>() / of_kind.len().max(1) as f64;
        if mean <= 0.0 || load.iter().all(|l| (l / mean - 1.0).abs() < EVEN) {
            break;
        }
        // One that nobody uses stays so.
        edges.iter_mut().for_each(|(_, at, weight)| *weight *= (mean / load[*at]).clamp(0.1, 10.0));
    }
    own.fill(0.0);
    edges.iter().for_each(|(i, _, weight)| own[*i] += weight);
    for (i, at, weight) in edges {
        rows[i].insert(of_kind[at], weight / own[i]);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// Needs from 1 to 5.
    fn members(count: u64, seed: u64) -> Vec<Member> {
        let need = |n: u64| 1.0 + (mix(n ^ mix(seed)) % 1000) as f64 / 250.0;
        let sum: f64 = (0..count).map(need).sum();
        (0..count).map(|n| Member { mark: mix(n + 7 * seed), part: need(n) / sum }).collect()
    }

    fn servers(count: u64) -> Vec<Server> {
        (0..count).map(|n| Server { mark: n * 3 + 1, kind: n % 3 }).collect()
    }

    /// The greatest load of a backend beside the mean of its kind.
    fn worst(members: &[Member], servers: &[Server], uses: &Uses) -> f64 {
        let mut load = vec![0.0; servers.len()];
        for (member, row) in members.iter().zip(&uses.rows) {
            row.iter().for_each(|(s, weight)| load[*s] += member.part * weight);
        }
        let mut worst: f64 = 0.0;
        for kind in 0..3 {
            let of: Vec<f64> =
                servers.iter().zip(&load).filter(|(s, _)| s.kind == kind).map(|(_, l)| *l).collect();
            let mean = of.iter().sum::<f64>() / of.len() as f64;
            worst = of.iter().fold(worst, |w, l| w.max(l / mean));
        }
        worst
    }

    fn links(uses: &Uses, members: &[Member], servers: &[Server]) -> BTreeSet<(u64, u64)> {
        let of = |(m, row): (&Member, &Vec<(usize, f64)>)| {
            row.iter().map(|(s, _)| (m.mark, servers[*s].mark)).collect::<Vec<_>>()
        };
        members.iter().zip(&uses.rows).flat_map(of).collect()
    }

    #[test]
    fn a_thousand_backends_get_even_traffic_of_a_hundred_uneven_proxies() {
        for seed in 0..5 {
            let (members, servers) = (members(100, seed), servers(1000));
            let uses = uses(&members, &servers, 20);
            let worst = worst(&members, &servers, &uses);
            assert!(worst < 1.05, "seed {seed}: {worst}");
            for (member, row) in members.iter().zip(&uses.rows) {
                let due = member.part * 20.0 * 1000.0;
                let got = row.len() as f64;
                assert!((got - due).abs() < 5.0 * due.sqrt(), "{got} backends for a part of {due}");
                for kind in 0..3 {
                    let sum: f64 = row.iter().filter(|r| servers[r.0].kind == kind).map(|r| r.1).sum();
                    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
                }
            }
        }
    }

    #[test]
    fn one_more_or_less_moves_only_its_own_links() {
        let (all, servers) = (members(100, 3), servers(300));
        let before = links(&uses(&all, &servers, 20), &all, &servers);
        let gone = all[41].mark;
        let fewer: Vec<Member> = all.iter().copied().filter(|m| m.mark != gone).collect();
        let after = links(&uses(&fewer, &servers, 20), &fewer, &servers);
        assert!(before.difference(&after).all(|l| l.0 == gone), "others lose nothing");
        let new = after.difference(&before).count();
        let had = before.iter().filter(|l| l.0 == gone).count();
        assert!(new <= had + had / 10, "{new} new links for {had} that went");
        // A backend more: its own links, and nobody else's.
        let mut more = servers.clone();
        more.push(Server { mark: 99_999, kind: 0 });
        let with = links(&uses(&all, &more, 20), &all, &more);
        assert!(before.symmetric_difference(&with).all(|l| l.1 == 99_999));
        // One that needs twice as much: links to it, and none between others.
        let mut busier = all.clone();
        busier[5].part *= 2.0;
        let changed = links(&uses(&busier, &servers, 20), &busier, &servers);
        assert!(before.difference(&changed).all(|l| l.0 != all[5].mark), "it loses none");
        assert!(changed.difference(&before).all(|l| l.0 == all[5].mark), "and only it wins");
    }

    #[test]
    fn few_use_all_and_none_is_nobody() {
        let (few, servers) = (members(3, 1), servers(10));
        let all = uses(&few, &servers, 20);
        assert!(all.rows.iter().all(|row| row.len() == 10));
        assert!(worst(&few, &servers, &all) < 1.01);
        assert!(uses(&[], &servers, 20).rows.is_empty());
        assert!(uses(&few, &[], 20).rows.iter().all(Vec::is_empty));
        let idle = vec![Member { mark: 1, part: 0.0 }; 30];
        assert!(uses(&idle, &servers, 20).rows.iter().all(Vec::is_empty), "nobody wants anything");
    }
}
