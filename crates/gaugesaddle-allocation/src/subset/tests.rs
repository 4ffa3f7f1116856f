use super::*;
use std::collections::BTreeSet;

/// Needs from 1 to 5.
fn members(count: u64, seed: u64) -> Vec<Member> {
    let need = |n: u64| 1.0 + (mix(n ^ mix(seed)) % 1000) as f64 / 250.0;
    let sum: f64 = (0..count).map(need).sum();
    (0..count).map(|n| Member { hash_key: mix(n + 7 * seed), fraction: need(n) / sum }).collect()
}

/// Three kinds in three zones.
fn servers(count: u64) -> Vec<BackendKey> {
    (0..count).map(|n| BackendKey { hash_key: n * 3 + 1, kind: n % 3, zone: n / 3 % 3 }).collect()
}

fn dealt(members: &[Member], servers: &[BackendKey]) -> Vec<Vec<Assignment>> {
    assign(members, servers, &SubsetSize::default())
}

/// The greatest load of a backend beside the mean of its kind.
fn worst(members: &[Member], servers: &[BackendKey], rows: &[Vec<Assignment>]) -> f64 {
    let mut load = vec![0.0; servers.len()];
    for (member, row) in members.iter().zip(rows) {
        for kind in 0..3 {
            let of = row.iter().filter(|l| servers[l.backend].kind == kind);
            let sum: f64 = of.clone().map(|l| l.weight).sum();
            of.for_each(|l| load[l.backend] += member.fraction * l.weight / sum);
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

fn links(rows: &[Vec<Assignment>], members: &[Member], servers: &[BackendKey]) -> BTreeSet<(u64, u64)> {
    let of = |(m, row): (&Member, &Vec<Assignment>)| {
        row.iter().map(|l| (m.hash_key, servers[l.backend].hash_key)).collect::<Vec<_>>()
    };
    members.iter().zip(rows).flat_map(of).collect()
}

fn scaled(members: &[Member]) -> Vec<Member> {
    let sum: f64 = members.iter().map(|m| m.fraction).sum();
    members.iter().map(|m| Member { hash_key: m.hash_key, fraction: m.fraction / sum }).collect()
}

#[test]
fn a_thousand_backends_get_even_traffic_of_a_hundred_uneven_proxies() {
    for seed in 0..5 {
        let (members, servers) = (members(100, seed), servers(1000));
        let rows = dealt(&members, &servers);
        let worst = worst(&members, &servers, &rows);
        assert!(worst < 1.05, "seed {seed}: {worst}");
        for (member, row) in members.iter().zip(&rows) {
            let due = member.fraction * 20.0 * 1000.0;
            let got = row.len() as f64;
            assert!((got - due).abs() <= 5.0, "{got} backends for a part of {due}");
            for (kind, zone) in (0..3).flat_map(|kind| (0..3).map(move |zone| (kind, zone))) {
                let of = |s: &BackendKey| s.kind == kind && s.zone == zone;
                let cell = servers.iter().filter(|s| of(s)).count() as f64 / 1000.0;
                let got = row.iter().filter(|l| of(&servers[l.backend])).count() as f64;
                assert!((got - due * cell).abs() <= 1.0, "{got} of a cell where {} are due", due * cell);
            }
        }
        // What all take of a backend is the whole, one after the other.
        for s in 0..servers.len() {
            let of: Vec<&Assignment> = rows.iter().flatten().filter(|l| l.backend == s).collect();
            assert!((of.iter().map(|l| l.fraction).sum::<f64>() - 1.0).abs() < 1e-9);
            assert!(of.windows(2).all(|w| (w[0].preceding + w[0].fraction - w[1].preceding).abs() < 1e-9));
            assert!(of.iter().all(|l| l.users as usize == of.len()));
        }
    }
}

#[test]
fn one_more_or_less_moves_at_most_twice_the_least() {
    let (all, servers) = (members(100, 3), servers(300));
    let before = links(&dealt(&all, &servers), &all, &servers);
    let moved =
        |after: &BTreeSet<(u64, u64)>| (after.difference(&before).count(), before.difference(after).count());
    for at in [0, 41, 99] {
        let mut fewer = all.clone();
        let gone = fewer.remove(at).hash_key;
        let fewer = scaled(&fewer);
        let after = links(&dealt(&fewer, &servers), &fewer, &servers);
        let had = before.iter().filter(|l| l.0 == gone).count();
        let (new, lost) = moved(&after);
        assert!(new <= 2 * had && lost <= 2 * had, "{new} new and {lost} lost where {had} went");
    }
    for at in [0, 41, 299] {
        let mut fewer = servers.clone();
        let gone = fewer.remove(at).hash_key;
        let after = links(&dealt(&all, &fewer), &all, &fewer);
        let had = before.iter().filter(|l| l.1 == gone).count();
        let (new, lost) = moved(&after);
        assert!(new <= 2 * had && lost <= 2 * had + had / 4, "{new} new and {lost} lost where {had} went");
    }
    let mut more = servers.clone();
    more.push(BackendKey { hash_key: 99_999, kind: 0, zone: 0 });
    let after = links(&dealt(&all, &more), &all, &more);
    let its = after.iter().filter(|l| l.1 == 99_999).count();
    let (new, lost) = moved(&after);
    assert!(new <= 2 * its + its / 4 && lost <= 2 * its, "{new} new and {lost} lost where {its} came");
    // One that needs twice as much: links to it, and few between others.
    let mut busier = all.clone();
    busier[5].fraction *= 2.0;
    let busier = scaled(&busier);
    let after = links(&dealt(&busier, &servers), &busier, &servers);
    let of = |l: &&(u64, u64)| l.0 == all[5].hash_key;
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
    assert!(all.iter().zip(&few).all(|(row, m)| row.iter().all(|l| (l.fraction - m.fraction).abs() < 0.02)));
    assert!(dealt(&[], &servers).is_empty());
    assert!(dealt(&few, &[]).iter().all(Vec::is_empty));
    let odd = [0.0, f64::NAN, f64::INFINITY].map(|part| Member { hash_key: 1, fraction: part });
    assert!(dealt(&odd, &servers).iter().all(Vec::is_empty), "nobody wants anything that can be");
}
