//! Guards against a first start that bootstraps two clusters, or none if some seeds have no disk.

use gaugesaddle_control::bootstrap::Bootstrap;

/// Delivers the reports of all processes to one another in the given order, and returns the initial voters that each
/// process determines.
fn initial_voters(disks: &[(u32, bool)], seeds: &[u32], order: &[usize]) -> Vec<Option<Vec<u32>>> {
    let mut all: Vec<Bootstrap> =
        disks.iter().map(|(ip, disk)| Bootstrap::new(*ip, *disk, seeds.to_vec(), true)).collect();
    for _ in 0..2 {
        for sender in order {
            let (ip, disk) = disks[*sender];
            let bootstrap_node = all[*sender].bootstrap_node();
            for (receiver, bootstrap) in all.iter_mut().enumerate() {
                if receiver != *sender {
                    bootstrap.record_report(ip, disk, bootstrap_node);
                }
            }
        }
    }
    all.iter().map(Bootstrap::initial_voters).collect()
}

#[test]
fn all_processes_agree_on_the_seeds_with_disks() {
    let disks = [(1, true), (2, false), (3, true), (4, true), (5, false)];
    for order in [[0, 1, 2, 3, 4], [4, 3, 2, 1, 0], [2, 0, 4, 1, 3]] {
        for voters in initial_voters(&disks, &[3, 1, 2], &order) {
            assert_eq!(voters, Some(vec![1, 3]));
        }
    }
}

#[test]
fn without_a_seed_with_a_disk_one_bootstrap_node_is_nominated() {
    let disks = [(1, false), (2, false), (3, false), (7, true), (9, true)];
    for order in [[0, 1, 2, 3, 4], [4, 3, 2, 1, 0], [3, 0, 4, 2, 1]] {
        let voters = initial_voters(&disks, &[1, 2, 3], &order);
        assert_eq!(voters.len(), 5);
        assert!(voters.windows(2).all(|pair| pair[0] == pair[1]), "{voters:?}");
        assert!(matches!(voters[0].as_deref(), Some([7 | 9])), "{voters:?}");
    }
}

#[test]
fn no_bootstrap_before_all_seeds_reported_or_after_the_first_start() {
    let mut early = Bootstrap::new(1, true, vec![1, 2, 3], true);
    early.record_report(2, true, None);
    assert_eq!(early.initial_voters(), None);
    early.record_report(3, true, None);
    assert_eq!(early.initial_voters(), Some(vec![1, 2, 3]));
    let mut later = Bootstrap::new(1, true, vec![1, 2, 3], false);
    later.record_report(2, true, None);
    later.record_report(3, true, None);
    assert_eq!(later.initial_voters(), None);
    let mut restarted = Bootstrap::new(1, false, vec![1, 2, 3], false);
    for ip in 2..6 {
        restarted.record_report(ip, ip > 3, None);
    }
    assert_eq!(restarted.bootstrap_node(), None, "a restarted seed nominates no bootstrap node");
}
