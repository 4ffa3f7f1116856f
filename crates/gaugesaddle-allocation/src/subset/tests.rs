use super::*;
use std::collections::BTreeSet;

/// Members with demands from 1 to 5.
fn members(count: u64, seed: u64) -> Vec<Member> {
    let demand = |n: u64| 1.0 + (mix(n ^ mix(seed)) % 1000) as f64 / 250.0;
    let sum: f64 = (0..count).map(demand).sum();
    (0..count).map(|n| Member { hash_key: mix(n + 7 * seed), fraction: demand(n) / sum }).collect()
}

/// Backends of three kinds in three zones.
fn backends(count: u64) -> Vec<BackendKey> {
    (0..count).map(|n| BackendKey { hash_key: n * 3 + 1, kind: n % 3, zone: n / 3 % 3 }).collect()
}

fn assign_default(members: &[Member], backends: &[BackendKey]) -> Vec<Vec<Assignment>> {
    assign(members, backends, &SubsetSize::default())
}

/// The greatest load of a backend, relative to the mean of its kind.
fn max_relative_load(members: &[Member], backends: &[BackendKey], rows: &[Vec<Assignment>]) -> f64 {
    let mut load = vec![0.0; backends.len()];
    for (member, row) in members.iter().zip(rows) {
        for kind in 0..3 {
            let of = row.iter().filter(|l| backends[l.backend].kind == kind);
            let sum: f64 = of.clone().map(|l| l.weight).sum();
            of.for_each(|l| load[l.backend] += member.fraction * l.weight / sum);
        }
    }
    let mut max_ratio: f64 = 0.0;
    for kind in 0..3 {
        let of: Vec<f64> =
            backends.iter().zip(&load).filter(|(s, _)| s.kind == kind).map(|(_, l)| *l).collect();
        let mean = of.iter().sum::<f64>() / of.len() as f64;
        max_ratio = of.iter().fold(max_ratio, |w, l| w.max(l / mean));
    }
    max_ratio
}

fn assigned_pairs(
    rows: &[Vec<Assignment>], members: &[Member], backends: &[BackendKey],
) -> BTreeSet<(u64, u64)> {
    let of = |(m, row): (&Member, &Vec<Assignment>)| {
        row.iter().map(|l| (m.hash_key, backends[l.backend].hash_key)).collect::<Vec<_>>()
    };
    members.iter().zip(rows).flat_map(of).collect()
}

fn normalized(members: &[Member]) -> Vec<Member> {
    let sum: f64 = members.iter().map(|m| m.fraction).sum();
    members.iter().map(|m| Member { hash_key: m.hash_key, fraction: m.fraction / sum }).collect()
}

#[test]
fn a_thousand_backends_get_even_traffic_from_a_hundred_uneven_proxies() {
    for seed in 0..5 {
        let (members, backends) = (members(100, seed), backends(1000));
        let rows = assign_default(&members, &backends);
        let max_relative_load = max_relative_load(&members, &backends, &rows);
        assert!(max_relative_load < 1.05, "seed {seed}: {max_relative_load}");
        for (member, row) in members.iter().zip(&rows) {
            let due = member.fraction * 20.0 * 1000.0;
            let got = row.len() as f64;
            assert!((got - due).abs() <= 5.0, "{got} backends, expected about {due}");
            for (kind, zone) in (0..3).flat_map(|kind| (0..3).map(move |zone| (kind, zone))) {
                let of = |s: &BackendKey| s.kind == kind && s.zone == zone;
                let cell = backends.iter().filter(|s| of(s)).count() as f64 / 1000.0;
                let got = row.iter().filter(|l| of(&backends[l.backend])).count() as f64;
                assert!(
                    (got - due * cell).abs() <= 1.0,
                    "{got} backends of a cell, expected about {}",
                    due * cell
                );
            }
        }
        // The fractions of a backend are contiguous and sum to one.
        for s in 0..backends.len() {
            let of: Vec<&Assignment> = rows.iter().flatten().filter(|l| l.backend == s).collect();
            assert!((of.iter().map(|l| l.fraction).sum::<f64>() - 1.0).abs() < 1e-9);
            assert!(of.windows(2).all(|w| (w[0].preceding + w[0].fraction - w[1].preceding).abs() < 1e-9));
            assert!(of.iter().all(|l| l.users as usize == of.len()));
        }
    }
}

#[test]
fn a_membership_change_moves_at_most_twice_the_minimum_of_assignments() {
    let (all, backends) = (members(100, 3), backends(300));
    let before = assigned_pairs(&assign_default(&all, &backends), &all, &backends);
    let changes =
        |after: &BTreeSet<(u64, u64)>| (after.difference(&before).count(), before.difference(after).count());
    for at in [0, 41, 99] {
        let mut fewer = all.clone();
        let removed_key = fewer.remove(at).hash_key;
        let fewer = normalized(&fewer);
        let after = assigned_pairs(&assign_default(&fewer, &backends), &fewer, &backends);
        let affected = before.iter().filter(|l| l.0 == removed_key).count();
        let (added, removed) = changes(&after);
        assert!(
            added <= 2 * affected && removed <= 2 * affected,
            "{added} added and {removed} removed for {affected} affected"
        );
    }
    for at in [0, 41, 299] {
        let mut fewer = backends.clone();
        let removed_key = fewer.remove(at).hash_key;
        let after = assigned_pairs(&assign_default(&all, &fewer), &all, &fewer);
        let affected = before.iter().filter(|l| l.1 == removed_key).count();
        let (added, removed) = changes(&after);
        assert!(
            added <= 2 * affected && removed <= 2 * affected + affected / 4,
            "{added} added and {removed} removed for {affected} affected"
        );
    }
    let mut more = backends.clone();
    more.push(BackendKey { hash_key: 99_999, kind: 0, zone: 0 });
    let after = assigned_pairs(&assign_default(&all, &more), &all, &more);
    let to_new_backend = after.iter().filter(|l| l.1 == 99_999).count();
    let (added, removed) = changes(&after);
    assert!(
        added <= 2 * to_new_backend + to_new_backend / 4 && removed <= 2 * to_new_backend,
        "{added} added and {removed} removed for {to_new_backend} to the new backend"
    );
    // A member whose demand doubles gains assignments, and few others change.
    let mut with_more_demand = all.clone();
    with_more_demand[5].fraction *= 2.0;
    let with_more_demand = normalized(&with_more_demand);
    let after = assigned_pairs(&assign_default(&with_more_demand, &backends), &with_more_demand, &backends);
    let of = |l: &&(u64, u64)| l.0 == all[5].hash_key;
    assert!(!before.difference(&after).any(|l| of(&l)), "the member loses no assignment");
    let gained = after.difference(&before).filter(of).count();
    assert!(gained > 10 && before.difference(&after).count() <= 2 * gained);
}

#[test]
fn a_small_tier_uses_all_backends_and_empty_or_invalid_inputs_get_none() {
    let (few, backends) = (members(3, 1), backends(10));
    let all = assign_default(&few, &backends);
    assert!(all.iter().all(|row| row.len() == 10));
    assert!(max_relative_load(&few, &backends, &all) < 1.01);
    assert!(all.iter().zip(&few).all(|(row, m)| row.iter().all(|l| (l.fraction - m.fraction).abs() < 0.02)));
    assert!(assign_default(&[], &backends).is_empty());
    assert!(assign_default(&few, &[]).iter().all(Vec::is_empty));
    let invalid = [0.0, f64::NAN, f64::INFINITY].map(|fraction| Member { hash_key: 1, fraction });
    assert!(
        assign_default(&invalid, &backends).iter().all(Vec::is_empty),
        "an invalid fraction gets no backends"
    );
}
