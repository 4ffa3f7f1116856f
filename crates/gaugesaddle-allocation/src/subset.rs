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
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// Needs from 1 to 5.
    fn members(count: u64, seed: u64) -> Vec<Member> {
        let need = |n: u64| 1.0 + (mix(n ^ mix(seed)) % 1000) as f64 / 250.0;
        let sum: f64 = (0..count).map(need).sum();
        (0..count).map(|n| Member { mark: mix(n + 7 * seed), part: need(n) / sum }).collect()
    }

    /// Three kinds in three zones.
    fn servers(count: u64) -> Vec<Server> {
        (0..count).map(|n| Server { mark: n * 3 + 1, kind: n % 3, zone: n / 3 % 3 }).collect()
    }

    fn dealt(members: &[Member], servers: &[Server]) -> Vec<Vec<Link>> {
        uses(members, servers, &Crowd::default())
    }

    /// The greatest load of a backend beside the mean of its kind.
    fn worst(members: &[Member], servers: &[Server], rows: &[Vec<Link>]) -> f64 {
        let mut load = vec![0.0; servers.len()];
        for (member, row) in members.iter().zip(rows) {
            for kind in 0..3 {
                let of = row.iter().filter(|l| servers[l.server].kind == kind);
                let sum: f64 = of.clone().map(|l| l.weight).sum();
                of.for_each(|l| load[l.server] += member.part * l.weight / sum);
            }
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

    fn links(rows: &[Vec<Link>], members: &[Member], servers: &[Server]) -> BTreeSet<(u64, u64)> {
        let of = |(m, row): (&Member, &Vec<Link>)| {
            row.iter().map(|l| (m.mark, servers[l.server].mark)).collect::<Vec<_>>()
        };
        members.iter().zip(rows).flat_map(of).collect()
    }

    fn scaled(members: &[Member]) -> Vec<Member> {
        let sum: f64 = members.iter().map(|m| m.part).sum();
        members.iter().map(|m| Member { mark: m.mark, part: m.part / sum }).collect()
    }

    #[test]
    fn a_thousand_backends_get_even_traffic_of_a_hundred_uneven_proxies() {
        for seed in 0..5 {
            let (members, servers) = (members(100, seed), servers(1000));
            let rows = dealt(&members, &servers);
            let worst = worst(&members, &servers, &rows);
            assert!(worst < 1.05, "seed {seed}: {worst}");
            for (member, row) in members.iter().zip(&rows) {
                let due = member.part * 20.0 * 1000.0;
                let got = row.len() as f64;
                assert!((got - due).abs() <= 5.0, "{got} backends for a part of {due}");
                for (kind, zone) in (0..3).flat_map(|kind| (0..3).map(move |zone| (kind, zone))) {
                    let of = |s: &Server| s.kind == kind && s.zone == zone;
                    let cell = servers.iter().filter(|s| of(s)).count() as f64 / 1000.0;
                    let got = row.iter().filter(|l| of(&servers[l.server])).count() as f64;
                    assert!((got - due * cell).abs() <= 1.0, "{got} of a cell where {} are due", due * cell);
                }
            }
            // What all take of a backend is the whole, one after the other.
            for s in 0..servers.len() {
                let of: Vec<&Link> = rows.iter().flatten().filter(|l| l.server == s).collect();
                assert!((of.iter().map(|l| l.part).sum::<f64>() - 1.0).abs() < 1e-9);
                assert!(of.windows(2).all(|w| (w[0].before + w[0].part - w[1].before).abs() < 1e-9));
                assert!(of.iter().all(|l| l.users as usize == of.len()));
            }
        }
    }

    #[test]
    fn one_more_or_less_moves_at_most_twice_the_least() {
        let (all, servers) = (members(100, 3), servers(300));
        let before = links(&dealt(&all, &servers), &all, &servers);
        let moved = |after: &BTreeSet<(u64, u64)>| {
            (after.difference(&before).count(), before.difference(after).count())
        };
        for at in [0, 41, 99] {
            let mut fewer = all.clone();
            let gone = fewer.remove(at).mark;
            let fewer = scaled(&fewer);
            let after = links(&dealt(&fewer, &servers), &fewer, &servers);
            let had = before.iter().filter(|l| l.0 == gone).count();
            let (new, lost) = moved(&after);
            assert!(new <= 2 * had && lost <= 2 * had, "{new} new and {lost} lost where {had} went");
        }
        for at in [0, 41, 299] {
            let mut fewer = servers.clone();
            let gone = fewer.remove(at).mark;
            let after = links(&dealt(&all, &fewer), &all, &fewer);
            let had = before.iter().filter(|l| l.1 == gone).count();
            let (new, lost) = moved(&after);
            assert!(
                new <= 2 * had && lost <= 2 * had + had / 4,
                "{new} new and {lost} lost where {had} went"
            );
        }
        let mut more = servers.clone();
        more.push(Server { mark: 99_999, kind: 0, zone: 0 });
        let after = links(&dealt(&all, &more), &all, &more);
        let its = after.iter().filter(|l| l.1 == 99_999).count();
        let (new, lost) = moved(&after);
        assert!(new <= 2 * its + its / 4 && lost <= 2 * its, "{new} new and {lost} lost where {its} came");
        // One that needs twice as much: links to it, and few between others.
        let mut busier = all.clone();
        busier[5].part *= 2.0;
        let busier = scaled(&busier);
        let after = links(&dealt(&busier, &servers), &busier, &servers);
        let of = |l: &&(u64, u64)| l.0 == all[5].mark;
        assert!(!before.difference(&after).any(|l| of(&l)), "it loses none");
        let won = after.difference(&before).filter(of).count();
        assert!(won > 10 && before.difference(&after).count() <= 2 * won);
    }

    #[test]
    fn few_use_all_and_none_is_nobody() {
        let (few, servers) = (members(3, 1), servers(10));
        let all = dealt(&few, &servers);
        assert!(all.iter().all(|row| row.len() == 10));
        assert!(worst(&few, &servers, &all) < 1.01);
        assert!(all.iter().zip(&few).all(|(row, m)| row.iter().all(|l| (l.part - m.part).abs() < 0.02)));
        assert!(dealt(&[], &servers).is_empty());
        assert!(dealt(&few, &[]).iter().all(Vec::is_empty));
        let odd = [0.0, f64::NAN, f64::INFINITY].map(|part| Member { mark: 1, part });
        assert!(dealt(&odd, &servers).iter().all(Vec::is_empty), "nobody wants anything that can be");
    }
}
