//! The failure: a second loss right after a repair or a replacement leaves no majority, a member that was taken out never
//! comes back, a new one is of no use to a group that loses another, or a planned end leaves the group without a leader.

mod group;

use gaugesaddle_consensus::{Input, Output, ProposalResult, Replica, Settings};
use gaugesaddle_protocol::{HardState, LogPosition, ReplicaId, ReplicaMessage, State};
use group::Group;
use std::collections::BTreeSet;

const SEEDS: u64 = 30;

/// A calm group of so many machines that bears the loss of some.
fn group(losses: usize, seed: u64, size: u32) -> Group {
    let mut group = Group::tolerating(losses, seed, size, size.min(3));
    group.run_to_leader(5000).expect("somebody leads");
    group.run(3000);
    assert_eq!(group.voting().len(), size as usize, "seed {seed}");
    group
}

/// Has a change taken within a time.
fn change(group: &mut Group, within: u64) -> bool {
    let Some(leader) = group.run_to_leader(within) else { return false };
    let base = group.revision(leader);
    let id = group.propose(leader, base, base + 1, vec![base as u8]);
    group.run(1000);
    matches!(group.calls[&id].ended, Some((_, ProposalResult::Committed)))
}

fn wipe(group: &mut Group, ip: u32, down: u64) {
    group.crash(ip);
    group.wipe(ip);
    group.run(down);
    group.start(ip, false);
}

#[test]
fn no_vote_is_lost_before_its_successor_has_the_state() {
    for (losses, size) in [(1, 3), (1, 4), (2, 5), (2, 8)] {
        for seed in 1..=SEEDS {
            let mut group = group(losses, seed, size);
            let victim = 1 + (seed as u32 % size);
            wipe(&mut group, victim, 300);
            for _ in 0..4000 {
                group.run(1);
                if let Some(leading) = group.leading() {
                    let voters = leading.voters().len();
                    assert!(voters >= size as usize, "{size} replicas, seed {seed}: {voters} voters");
                }
            }
            let me = group.machines[&victim].replica.as_ref().map(|r| r.id());
            assert!(group
                .leading()
                .is_some_and(|r| r.voters().contains(&me.expect("it runs")) && r.is_membership_committed()));
            assert_eq!(group.check(), Vec::<String>::new(), "{size} replicas, seed {seed}");
        }
    }
}

#[test]
fn a_second_disk_may_be_lost_as_soon_as_the_first_has_caught_up() {
    for (losses, size) in [(1, 3), (1, 4), (2, 5), (2, 8)] {
        for seed in 1..=SEEDS {
            let mut group = group(losses, seed, size);
            // One machine is gone for good and another comes; then every disk in turn is lost, each 4 s after the last.
            let gone = 1 + (seed as u32 % size);
            group.crash(gone);
            group.machines.remove(&gone);
            group.run(1000);
            group.add(size + 1);
            group.run(4000);
            let victims: Vec<u32> = group.machines.keys().copied().collect();
            for victim in victims {
                assert!(change(&mut group, 4000), "{size} replicas, seed {seed}: stuck before {victim}");
                wipe(&mut group, victim, 300);
                group.run(4000);
            }
            assert!(change(&mut group, 4000), "{size} replicas, seed {seed}: stuck at the end");
            let machines: BTreeSet<u32> = group.machines.keys().copied().collect();
            assert_eq!(group.voting(), machines, "{size} replicas, seed {seed}");
            assert_eq!(group.check(), Vec::<String>::new(), "{size} replicas, seed {seed}");
        }
    }
}

#[test]
fn replacements_in_a_row_leave_no_dead_voter_behind() {
    for (losses, size) in [(1, 3), (1, 4), (2, 5), (2, 8)] {
        for seed in 1..=SEEDS {
            let mut group = group(losses, seed, size);
            for step in 0..size {
                // Planned: the new machine first, a second later the old one ends.
                group.add(size + 1 + step);
                group.run(1000);
                group.transfer_leadership(step + 1);
                group.run(300);
                group.crash(step + 1);
                group.machines.remove(&(step + 1));
                group.run(4000);
            }
            assert!(change(&mut group, 4000), "{size} replicas, seed {seed}");
            let machines: BTreeSet<u32> = group.machines.keys().copied().collect();
            assert_eq!(group.voting(), machines, "{size} replicas, seed {seed}");
            assert_eq!(group.check(), Vec::<String>::new(), "{size} replicas, seed {seed}");
        }
    }
}

/// The machine of the leader is gone, and the one that takes its place is up before there is another leader: that one does
/// not know yet who is gone, and a vote more beside a dead one only makes the majority larger.
#[test]
fn a_successor_is_not_added_beside_a_voter_that_nobody_has_heard() {
    for seed in 1..=SEEDS {
        let mut group = group(1, seed, 3);
        let gone = group.leader().expect("somebody leads");
        group.crash(gone);
        group.machines.remove(&gone);
        group.add(4);
        for _ in 0..4000 {
            group.run(1);
            let voters = group.leading().map_or(3, |r| r.voters().len());
            assert_eq!(voters, 3, "seed {seed}, {} ms", group.now);
        }
        let machines: BTreeSet<u32> = group.machines.keys().copied().collect();
        assert_eq!(group.voting(), machines, "seed {seed}");
    }
}

#[test]
fn a_voter_that_was_cut_off_and_taken_out_votes_again() {
    for seed in 1..=SEEDS {
        let mut group = group(1, seed, 4);
        let cut = group.leader().expect("somebody leads");
        let others: Vec<u32> = (1..=4).filter(|ip| *ip != cut).collect();
        for other in &others {
            group.cut.insert((cut, *other));
            group.cut.insert((*other, cut));
        }
        group.run(20_000);
        assert_eq!(group.voting(), others.iter().copied().collect(), "seed {seed}");
        assert!(change(&mut group, 3000));
        group.cut.clear();
        group.run(3000);
        assert_eq!(group.voting().len(), 4, "seed {seed}: it is back and does not vote");
        // It is as good as the others: any of them may go.
        group.crash(others[0]);
        assert!(change(&mut group, 4000), "seed {seed}");
        assert_eq!(group.check(), Vec::<String>::new(), "seed {seed}");
    }
}

/// Of three voters one was replaced a moment ago; the new one has the state from before the change, and the leader dies.
/// The two that are left are a majority only if the new one votes.
#[test]
fn a_voter_that_does_not_know_yet_that_it_is_one_gives_its_vote() {
    let id = |ip: u32, incarnation: u64| ReplicaId { ip, incarnation };
    let before = State {
        position: LogPosition { term: 3, index: 8 },
        voters: vec![id(1, 0), id(2, 0), id(3, 0)],
        ..State::default()
    };
    let hard_state = HardState { id: id(3, 7), term: 3, voted_for: None };
    let mut new = Replica::new(Settings::default(), hard_state, before, 1000, 5, true);
    let mut out = Vec::new();
    let last = LogPosition { term: 3, index: 9 };
    let vote = ReplicaMessage::RequestVote { term: 4, last_position: last, leadership_transfer: false };
    new.handle(1001, Input::Message { from: id(2, 0), message: vote }, &mut out);
    let write_id = out.iter().rev().find_map(|o| match o {
        Output::Persist { write_id, .. } => Some(*write_id),
        _ => None,
    });
    new.handle(1002, Input::Persisted(write_id.expect("its vote is written first")), &mut out);
    let granted =
        |o: &Output| matches!(o, Output::Send(_, ReplicaMessage::RequestVoteResponse { granted: true, .. }));
    assert!(out.iter().any(granted), "{out:?}");
}

/// Time without a leader after a planned end, of all seeds: what its silence would cost is never waited for.
#[test]
fn a_leader_that_ends_hands_over() {
    let mut longest = 0;
    for seed in 1..=100 {
        let mut group = group(1, seed, 4);
        let old = group.leader().expect("somebody leads");
        group.transfer_leadership(old);
        let begun = group.now;
        while group.leader().is_none() && group.now < begun + 2000 {
            group.run(1);
        }
        assert_ne!(group.leader(), Some(old), "seed {seed}");
        longest = longest.max(group.now - begun);
        assert!(change(&mut group, 500), "seed {seed}");
        assert_eq!(group.check(), Vec::<String>::new(), "seed {seed}");
    }
    assert!(longest <= 60, "{longest} ms without a leader");
}

#[test]
fn an_order_that_may_have_been_forgotten_is_not_refused() {
    let mut group = group(1, 1, 3);
    let leader = group.leader().expect("somebody leads");
    let orders = 520u64;
    for n in 0..orders {
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
    assert_eq!(again(0, 1, vec![0, 0]), Some(ProposalResult::Indeterminate), "the first, long forgotten");
    assert_eq!(again(100, 101, vec![100, 0]), Some(ProposalResult::Committed), "still remembered");
    assert_eq!(again(519, 520, vec![7, 2]), Some(ProposalResult::Committed), "the newest");
    let current = orders;
    assert_eq!(
        again(100, 101, vec![9, 9]),
        Some(ProposalResult::Conflict { current }),
        "another on that base"
    );
    assert_eq!(
        again(520, 520, vec![9, 9]),
        Some(ProposalResult::StaleRevision { current }),
        "it does not rise"
    );
}
