//! Checks that a second loss after a repair or a replacement leaves a majority, that a removed voter rejoins, that a
//! new voter counts when another voter is lost, and that a planned shutdown does not leave the group without a leader.

mod group;

use gaugesaddle_consensus::{Input, Output, ProposalResult, Replica, Settings, Storage};
use gaugesaddle_protocol::{HardState, LogPosition, ReplicaId, ReplicaMessage, State};
use group::Group;
use std::collections::BTreeSet;

const SEEDS: u64 = 30;

fn restart_with_empty_disk(group: &mut Group, ip: u32, down_ms: u64) {
    group.crash(ip);
    group.wipe(ip);
    group.run(down_ms);
    group.start(ip, false);
}

#[test]
fn the_number_of_voters_never_decreases_while_a_wiped_disk_is_replaced() {
    for (losses, size) in [(1, 3), (1, 4), (2, 5), (2, 8)] {
        for seed in 1..=SEEDS {
            let mut group = Group::formed(losses, seed, size);
            let victim = 1 + (seed as u32 % size);
            restart_with_empty_disk(&mut group, victim, 300);
            for _ in 0..4000 {
                group.run(1);
                if let Some(leading) = group.leading_replica() {
                    let voters = leading.voters().len();
                    assert!(voters >= size as usize, "{size} replicas, seed {seed}: {voters} voters");
                }
            }
            let id = group.machines[&victim].replica.as_ref().map(gaugesaddle_consensus::Replica::id);
            assert!(group
                .leading_replica()
                .is_some_and(|r| r.voters().contains(&id.expect("wiped machine should be running"))
                    && r.is_membership_committed()));
            assert_eq!(group.check(), Vec::<String>::new(), "{size} replicas, seed {seed}");
        }
    }
}

#[test]
fn every_disk_may_be_lost_in_turn_once_the_previous_one_has_caught_up() {
    for (losses, size) in [(1, 3), (1, 4), (2, 5), (2, 8)] {
        for seed in 1..=SEEDS {
            let mut group = Group::formed(losses, seed, size);
            // One machine is replaced by another; then each disk is lost in turn, 4 s after the previous one.
            let removed = 1 + (seed as u32 % size);
            group.remove(removed);
            group.run(1000);
            group.add(size + 1);
            group.run(4000);
            let victims: Vec<u32> = group.machines.keys().copied().collect();
            for victim in victims {
                assert!(
                    group.commits_change(4000),
                    "{size} replicas, seed {seed}: no change committed before the loss of {victim}"
                );
                restart_with_empty_disk(&mut group, victim, 300);
                group.run(4000);
            }
            assert!(
                group.commits_change(4000),
                "{size} replicas, seed {seed}: no change committed after the last loss"
            );
            let machines: BTreeSet<u32> = group.machines.keys().copied().collect();
            assert_eq!(group.voting_machines(), machines, "{size} replicas, seed {seed}");
            assert_eq!(group.check(), Vec::<String>::new(), "{size} replicas, seed {seed}");
        }
    }
}

#[test]
fn consecutive_replacements_leave_no_dead_voter() {
    for (losses, size) in [(1, 3), (1, 4), (2, 5), (2, 8)] {
        for seed in 1..=SEEDS {
            let mut group = Group::formed(losses, seed, size);
            for step in 0..size {
                // A planned replacement: the new machine starts 1 s before the old one transfers its leadership and
                // stops.
                group.add(size + 1 + step);
                group.run(1000);
                group.transfer_leadership(step + 1);
                group.run(300);
                group.remove(step + 1);
                group.run(4000);
            }
            assert!(group.commits_change(4000), "{size} replicas, seed {seed}");
            let machines: BTreeSet<u32> = group.machines.keys().copied().collect();
            assert_eq!(group.voting_machines(), machines, "{size} replicas, seed {seed}");
            assert_eq!(group.check(), Vec::<String>::new(), "{size} replicas, seed {seed}");
        }
    }
}

/// The leader's machine is lost, and its replacement starts before another leader is elected. The new leader cannot
/// determine yet which voters are dead, and an additional voter beside a dead one only increases the size of the majority.
#[test]
fn a_learner_is_not_added_beside_a_voter_that_has_not_responded() {
    for seed in 1..=SEEDS {
        let mut group = Group::formed(1, seed, 3);
        let removed = group.leader().expect("a leader should be elected");
        group.remove(removed);
        group.add(4);
        for _ in 0..4000 {
            group.run(1);
            let voters = group.leading_replica().map_or(3, |r| r.voters().len());
            assert_eq!(voters, 3, "seed {seed}, {} ms", group.now);
        }
        let machines: BTreeSet<u32> = group.machines.keys().copied().collect();
        assert_eq!(group.voting_machines(), machines, "seed {seed}");
    }
}

#[test]
fn a_voter_removed_during_a_partition_returns_after_it() {
    for seed in 1..=SEEDS {
        let mut group = Group::formed(1, seed, 4);
        let isolated = group.leader().expect("a leader should be elected");
        let others: Vec<u32> = (1..=4).filter(|ip| *ip != isolated).collect();
        for other in &others {
            group.partitioned.insert((isolated, *other));
            group.partitioned.insert((*other, isolated));
        }
        group.run(20_000);
        assert_eq!(group.voting_machines(), others.iter().copied().collect(), "seed {seed}");
        assert!(group.commits_change(3000));
        group.partitioned.clear();
        group.run(3000);
        assert_eq!(group.voting_machines().len(), 4, "seed {seed}: the reconnected replica is not a voter");
        // The returned voter counts toward the majority, so that another voter may be lost.
        group.crash(others[0]);
        assert!(group.commits_change(4000), "seed {seed}");
        assert_eq!(group.check(), Vec::<String>::new(), "seed {seed}");
    }
}

/// One of three voters has just been replaced, the new voter still has the state from before the change, and the leader
/// crashes. The remaining two voters are a majority only if the new one grants its vote.
#[test]
fn a_new_voter_grants_votes_before_it_has_the_state_that_added_it() {
    let id = |ip: u32, incarnation: u64| ReplicaId { ip, incarnation };
    let before = State {
        position: LogPosition { term: 3, index: 8 },
        voters: vec![id(1, 0), id(2, 0), id(3, 0)],
        ..State::default()
    };
    let hard_state = HardState { id: id(3, 7), term: 3, voted_for: None };
    let mut new = Replica::new(Settings::default(), hard_state, before, 1000, 5, Storage::Durable);
    let mut out = Vec::new();
    let last = LogPosition { term: 3, index: 9 };
    let vote = ReplicaMessage::RequestVote { term: 4, last_position: last, leadership_transfer: false };
    new.handle(1001, Input::Message { from: id(2, 0), message: vote }, &mut out);
    let write_id = out.iter().rev().find_map(|o| match o {
        Output::Persist { write_id, .. } => Some(*write_id),
        _ => None,
    });
    new.handle(
        1002,
        Input::Persisted(write_id.expect("the vote should be written before it is sent")),
        &mut out,
    );
    let granted =
        |o: &Output| matches!(o, Output::Send(_, ReplicaMessage::RequestVoteResponse { granted: true, .. }));
    assert!(out.iter().any(granted), "{out:?}");
}

/// Bounds the longest time without a leader after a leadership transfer over all seeds; it is shorter than any election
/// time-out.
#[test]
fn a_leadership_transfer_takes_at_most_60_ms() {
    let mut longest = 0;
    for seed in 1..=100 {
        let mut group = Group::formed(1, seed, 4);
        let old = group.leader().expect("a leader should be elected");
        group.transfer_leadership(old);
        let started_at = group.now;
        while group.leader().is_none() && group.now < started_at + 2000 {
            group.run(1);
        }
        assert_ne!(group.leader(), Some(old), "seed {seed}");
        longest = longest.max(group.now - started_at);
        assert!(group.commits_change(500), "seed {seed}");
        assert_eq!(group.check(), Vec::<String>::new(), "seed {seed}");
    }
    assert!(longest <= 60, "no leader for {longest} ms after a leadership transfer");
}

#[test]
fn a_proposal_older_than_the_accepted_list_is_not_rejected() {
    let mut group = Group::formed(1, 1, 3);
    let leader = group.leader().expect("a leader should be elected");
    let changes = 520u64;
    for n in 0..changes {
        let id = group.propose(leader, n, n + 1, vec![n as u8, (n >> 8) as u8]);
        while group.calls[&id].ended.is_none() {
            group.run(1);
        }
    }
    let mut again = |base: u64, revision: u64, document: Vec<u8>| {
        let id = group.propose(leader, base, revision, document);
        group.run(300);
        group.calls[&id].ended.clone().map(|(_, result)| result)
    };
    assert_eq!(
        again(0, 1, vec![0, 0]),
        Some(ProposalResult::Indeterminate),
        "the oldest change, dropped from the list"
    );
    assert_eq!(
        again(100, 101, vec![100, 0]),
        Some(ProposalResult::Committed),
        "a change that is still in the list"
    );
    assert_eq!(again(519, 520, vec![7, 2]), Some(ProposalResult::Committed), "the newest change");
    let current = changes;
    assert_eq!(
        again(100, 101, vec![9, 9]),
        Some(ProposalResult::Conflict { current }),
        "a different change on the same base"
    );
    assert_eq!(
        again(520, 520, vec![9, 9]),
        Some(ProposalResult::StaleRevision { current }),
        "a change whose revision is not above the current one"
    );
}
