//! Checks that a bootstrapped group elects a leader, that a change is accepted only once, and that a group with a
//! running majority is not without a leader for long.

mod group;

use gaugesaddle_consensus::ProposalResult;
use group::Group;

#[test]
fn three_bootstrap_voters_elect_one_leader_and_add_a_fourth() {
    let mut group = Group::new(1, 4, 3);
    let leader = group.run_until_leader(5000).expect("a leader should be elected");
    group.run(2000);
    let replica =
        group.machines[&leader].replica.as_ref().expect("the process of the leader should be running");
    assert_eq!(replica.voters().len(), 4);
    assert_eq!(group.check(), Vec::<String>::new());
}

#[test]
fn a_repeated_proposal_is_committed_once_and_gets_the_same_result() {
    let mut group = Group::new(2, 3, 3);
    let leader = group.run_until_leader(5000).expect("a leader should be elected");
    group.run(300);
    let first = group.propose(leader, 0, 5, vec![5]);
    let rival = group.propose(leader, 0, 6, vec![6]);
    group.run(500);
    let again = group.propose(leader, 0, 5, vec![5]);
    group.run(500);
    let result = |group: &Group, id| group.calls[&id].ended.clone().map(|(_, r)| r);
    assert_eq!(result(&group, first), Some(ProposalResult::Committed));
    assert_eq!(result(&group, rival), Some(ProposalResult::Conflict { current: 5 }));
    assert_eq!(result(&group, again), Some(ProposalResult::Committed));
    assert!((1..=3).all(|ip| group.revision(ip) == 5));
}

/// Guards against a slow election after a power loss: the first replica to start requests pre-votes before a majority
/// is running, and does not repeat them for most of a second.
#[test]
fn a_leader_is_elected_within_450_ms_after_a_majority_has_restarted() {
    for seed in 1..=40 {
        let mut group = Group::new(seed, 4, 3);
        group.run_until_leader(5000).expect("a leader should be elected");
        group.run(3000);
        (1..=4).for_each(|ip| group.crash(ip));
        group.run(800);
        // The machines start one after the other; the third completes a majority.
        for (ip, wait) in [(1, 200), (2, 100), (3, 0)] {
            group.start(ip, false);
            group.run(wait);
        }
        let up = group.now;
        group.run_until_leader(3000).expect("a leader should be elected after the restart");
        let elapsed = group.now - up;
        assert!(elapsed <= 450, "seed {seed}: a running majority had no leader for {elapsed} ms");
    }
}
