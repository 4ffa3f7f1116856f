//! Failures guarded against: proxies all use the same few backends, leave some unused, or change all when one changes.

use super::*;

fn fleet(backends: u64) -> Vec<(BackendId, KindId, ZoneId)> {
    (0..backends).map(|i| (BackendId(mix(i)), KindId(u64::from(i % 3 > 0)), ZoneId(i / 3 % 3))).collect()
}

fn users(proxies: u32, listed: &[(BackendId, KindId, ZoneId)]) -> Vec<BTreeSet<BackendId>> {
    (0..proxies).map(|p| select(p, proxies, listed)).collect()
}

#[test]
fn few_proxies_use_every_backend() {
    for (proxies, backends) in [(1, 1), (3, 12), (39, 60), (100, 12), (100, 0)] {
        let all = users(proxies, &fleet(backends));
        assert!(all.iter().all(|own| own.len() == backends as usize), "{proxies} of {backends}");
    }
}

#[test]
fn users_are_even_and_each_has_every_kind_and_zone() {
    for (proxies, backends) in [(100, 60), (100, 41), (100, 78), (60, 60), (97, 60), (300, 200)] {
        let listed = fleet(backends);
        let all = users(proxies, &listed);
        let groups = groups(proxies, listed.len()) as f64;
        let mean = f64::from(proxies) / groups;
        for (id, ..) in &listed {
            let of = all.iter().filter(|own| own.contains(id)).count() as f64;
            assert!((of - mean).abs() <= 1.0, "{of} users relative {mean}, {proxies} of {backends}");
        }
        for own in &all {
            let least = (backends as f64 / groups - 2.0).max(MIN_BACKENDS as f64 - 2.0);
            assert!(own.len() as f64 >= least, "{} of {backends} for one of {proxies}", own.len());
            let of = |kind: u64| listed.iter().filter(|l| own.contains(&l.0) && l.1 .0 == kind).count();
            assert!(of(0) > 0 && of(1) > 0, "no kind is left out");
            let zones: BTreeSet<ZoneId> = listed.iter().filter(|l| own.contains(&l.0)).map(|l| l.2).collect();
            assert_eq!(zones.len(), 3, "no zone is");
        }
    }
}

/// What an ill backend leaves must not fall on the same few others at all of its users.
#[test]
fn two_backends_share_few_users() {
    let listed = fleet(60);
    let all = users(100, &listed);
    for (i, (a, ..)) in listed.iter().enumerate() {
        for (b, ..) in &listed[i + 1..] {
            let both = all.iter().filter(|own| own.contains(a) && own.contains(b)).count();
            assert!(both <= 12, "{both} of 20 users in common");
        }
    }
}

/// A release replaces one after another: the connections to the rest must last.
#[test]
fn change_of_one_backend_moves_few_others() {
    let mut listed = fleet(60);
    let before = users(100, &listed);
    listed.remove(7);
    let after = users(100, &listed);
    let moved: usize = before.iter().zip(&after).map(|(a, b)| b.difference(a).count()).sum();
    assert!(moved <= 200, "{moved} new in the 1,200 places of 100 proxies");
}
