//! Failures guarded against: all proxies use the same few backends, some backends are unused, or a change of one
//! backend changes the selection of many.

use super::*;

fn fleet(backends: u64) -> Vec<(BackendId, KindId, ZoneId)> {
    (0..backends).map(|i| (BackendId(mix(i)), KindId(u64::from(i % 3 > 0)), ZoneId(i / 3 % 3))).collect()
}

fn selections(proxies: u32, listed: &[(BackendId, KindId, ZoneId)]) -> Vec<BTreeSet<BackendId>> {
    (0..proxies).map(|p| select(p, proxies, listed)).collect()
}

#[test]
fn few_proxies_use_every_backend() {
    for (proxies, backends) in [(1, 1), (3, 12), (39, 60), (100, 12), (100, 0)] {
        let selections = selections(proxies, &fleet(backends));
        assert!(
            selections.iter().all(|own| own.len() == backends as usize),
            "{proxies} proxies, {backends} backends"
        );
    }
}

#[test]
fn users_are_even_and_each_has_every_kind_and_zone() {
    for (proxies, backends) in [(100, 60), (100, 41), (100, 78), (60, 60), (97, 60), (300, 200)] {
        let listed = fleet(backends);
        let selections = selections(proxies, &listed);
        let groups = groups(proxies, listed.len()) as f64;
        let mean = f64::from(proxies) / groups;
        for (id, ..) in &listed {
            let users = selections.iter().filter(|own| own.contains(id)).count() as f64;
            assert!(
                (users - mean).abs() <= 1.0,
                "{users} users, mean {mean}; {proxies} proxies, {backends} backends"
            );
        }
        for own in &selections {
            let min = (backends as f64 / groups - 2.0).max(MIN_BACKENDS as f64 - 2.0);
            assert!(
                own.len() as f64 >= min,
                "{} of {backends} backends for one of {proxies} proxies",
                own.len()
            );
            let count_of_kind =
                |kind: u64| listed.iter().filter(|l| own.contains(&l.0) && l.1 .0 == kind).count();
            assert!(count_of_kind(0) > 0 && count_of_kind(1) > 0, "a proxy has no backend of one kind");
            let zones: BTreeSet<ZoneId> = listed.iter().filter(|l| own.contains(&l.0)).map(|l| l.2).collect();
            assert_eq!(zones.len(), 3, "a proxy has no backend in one zone");
        }
    }
}

/// The load of an unhealthy backend must not move to the same few backends at all of its users.
#[test]
fn two_backends_share_few_users() {
    let listed = fleet(60);
    let selections = selections(100, &listed);
    for (i, (a, ..)) in listed.iter().enumerate() {
        for (b, ..) in &listed[i + 1..] {
            let both = selections.iter().filter(|own| own.contains(a) && own.contains(b)).count();
            assert!(both <= 12, "two backends have {both} of about 20 users in common");
        }
    }
}

/// A rollout replaces one backend after another: the connections to the others must be kept.
#[test]
fn change_of_one_backend_moves_few_others() {
    let mut listed = fleet(60);
    let before = selections(100, &listed);
    listed.remove(7);
    let after = selections(100, &listed);
    let moved: usize = before.iter().zip(&after).map(|(a, b)| b.difference(a).count()).sum();
    assert!(moved <= 200, "{moved} of the 1,200 selections of 100 proxies changed");
}
