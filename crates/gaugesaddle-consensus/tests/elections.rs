//! The failure: a group that founds nothing, two leaders, a change that is taken and lost, a wiped voter that votes.

mod group;

use gaugesaddle_consensus::ProposalResult;
use group::Group;

#[test]
fn three_founders_elect_one_leader_and_take_a_fourth_in() {
    let mut group = Group::new(1, 4, 3);
    let leader = group.run_to_leader(5000).expect("somebody leads");
    group.run(2000);
    let replica = group.machines[&leader].replica.as_ref().expect("it runs");
    assert_eq!(replica.voters().len(), 4);
    assert_eq!(group.check(), Vec::<String>::new());
}

#[test]
fn a_change_is_taken_once_and_answered_alike_when_it_is_sent_again() {
    let mut group = Group::new(2, 3, 3);
    let leader = group.run_to_leader(5000).expect("somebody leads");
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

/// The incident inc-fbca: after a loss of all power the first replica up asked before a majority was there, and then
/// not again for most of a second.
#[test]
fn a_leader_stands_soon_after_a_majority_is_up_again() {
    for seed in 1..=40 {
        let mut group = Group::new(seed, 4, 3);
        group.run_to_leader(5000).expect("somebody leads");
        group.run(3000);
        (1..=4).for_each(|ip| group.crash(ip));
        group.run(800);
        // One after the other, as machines come up; the third makes a majority.
        for (ip, wait) in [(1, 200), (2, 100), (3, 0)] {
            group.start(ip, false);
            group.run(wait);
        }
        let up = group.now;
        group.run_to_leader(3000).expect("somebody leads again");
        let took = group.now - up;
        assert!(took <= 450, "seed {seed}: {took} ms without a leader though a majority is up");
    }
}
