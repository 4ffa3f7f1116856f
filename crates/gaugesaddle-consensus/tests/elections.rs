//! The failure: a bootstrapped group that elects no leader, a change that is accepted twice, or a long time without a
//! leader although a majority runs.

mod group;

use gaugesaddle_consensus::ProposalResult;
use group::Group;

#[test]
fn three_bootstrap_voters_elect_one_leader_and_add_a_fourth() {
    let mut group = Group::new(1, 4, 3);
    let leader = group.run_until_leader(5000).expect("a replica leads");
    group.run(2000);
    let replica = group.machines[&leader].replica.as_ref().expect("its process runs");
    assert_eq!(replica.voters().len(), 4);
    assert_eq!(group.check(), Vec::<String>::new());
}

#[test]
fn a_repeated_proposal_is_committed_once_and_gets_the_same_result() {
    let mut group = Group::new(2, 3, 3);
    let leader = group.run_until_leader(5000).expect("a replica leads");
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

/// The incident inc-fbca: after a power loss the first replica to start requested pre-votes before a majority ran, and
/// then not again for most of a second.
#[test]
fn a_leader_is_elected_within_450_ms_after_a_majority_has_restarted() {
    for seed in 1..=40 {
        let mut group = Group::new(seed, 4, 3);
        group.run_until_leader(5000).expect("a replica leads");
        group.run(3000);
        (1..=4).for_each(|ip| group.crash(ip));
        group.run(800);
        // One after the other, as machines start; the third completes a majority.
        for (ip, wait) in [(1, 200), (2, 100), (3, 0)] {
            group.start(ip, false);
            group.run(wait);
        }
        let up = group.now;
        group.run_until_leader(3000).expect("a replica leads again");
        let elapsed = group.now - up;
        assert!(elapsed <= 450, "seed {seed}: {elapsed} ms without a leader although a majority runs");
    }
}
