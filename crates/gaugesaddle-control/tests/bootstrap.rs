//! The failure: two groups are founded at the first start, or none where some seeds have no disk.

use gaugesaddle_control::bootstrap::Bootstrap;

/// Every process hears every other, in the order given; what each takes for the founders.
fn founders(disks: &[(u32, bool)], seeds: &[u32], order: &[usize]) -> Vec<Option<Vec<u32>>> {
    let mut all: Vec<Bootstrap> =
        disks.iter().map(|(ip, disk)| Bootstrap::new(*ip, *disk, seeds.to_vec(), true)).collect();
    for _ in 0..2 {
        for at in order {
            let (ip, disk) = disks[*at];
            let named = all[*at].named();
            for (other, bootstrap) in all.iter_mut().enumerate() {
                if other != *at {
                    bootstrap.heard(ip, disk, named);
                }
            }
        }
    }
    all.iter().map(Bootstrap::founders).collect()
}

#[test]
fn the_seeds_with_disks_found_and_all_processes_agree() {
    let disks = [(1, true), (2, false), (3, true), (4, true), (5, false)];
    for order in [[0, 1, 2, 3, 4], [4, 3, 2, 1, 0], [2, 0, 4, 1, 3]] {
        for found in founders(&disks, &[3, 1, 2], &order) {
            assert_eq!(found, Some(vec![1, 3]));
        }
    }
}

#[test]
fn where_no_seed_has_a_disk_one_founder_is_named() {
    let disks = [(1, false), (2, false), (3, false), (7, true), (9, true)];
    for order in [[0, 1, 2, 3, 4], [4, 3, 2, 1, 0], [3, 0, 4, 2, 1]] {
        let found = founders(&disks, &[1, 2, 3], &order);
        assert_eq!(found.len(), 5);
        assert!(found.windows(2).all(|pair| pair[0] == pair[1]), "{found:?}");
        assert!(matches!(found[0].as_deref(), Some([7] | [9])), "{found:?}");
    }
}

#[test]
fn nobody_founds_before_all_seeds_are_known_or_after_the_first_start() {
    let mut early = Bootstrap::new(1, true, vec![1, 2, 3], true);
    early.heard(2, true, None);
    assert_eq!(early.founders(), None);
    early.heard(3, true, None);
    assert_eq!(early.founders(), Some(vec![1, 2, 3]));
    let mut later = Bootstrap::new(1, true, vec![1, 2, 3], false);
    later.heard(2, true, None);
    later.heard(3, true, None);
    assert_eq!(later.founders(), None);
    let mut restarted = Bootstrap::new(1, false, vec![1, 2, 3], false);
    for ip in 2..6 {
        restarted.heard(ip, ip > 3, None);
    }
    assert_eq!(restarted.named(), None, "a seed that has started again names nobody");
}
