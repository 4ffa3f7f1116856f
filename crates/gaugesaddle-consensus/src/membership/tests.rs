//! Checks that a leader drops the progress of departed learners, and that a replica that is being removed can lead
//! until the change is committed.

use super::*;
use crate::{Input, Settings};
use gaugesaddle_protocol::{HardState, LogPosition};

fn id(ip: u32) -> ReplicaId {
    ReplicaId { ip, incarnation: 0 }
}

/// The leader of a group of one voter.
fn leader() -> Replica {
    let position = LogPosition { term: 1, index: 1 };
    let state = State { position, revision: 1, voters: vec![id(1)], ..State::default() };
    let hard_state = HardState { id: id(1), term: 1, voted_for: None };
    let mut replica = Replica::new(Settings::default(), hard_state, state, 0, 7, Storage::Durable);
    let mut now = 0;
    while replica.role != Role::Leader {
        now += 1;
        assert!(now < 10_000, "the only voter was not elected within 10 s");
        tick(&mut replica, now);
    }
    replica
}

/// Advances the time; every write is durable at once.
fn tick(replica: &mut Replica, now: u64) {
    let mut out = Vec::new();
    replica.handle(now, Input::Tick, &mut out);
    while let Some(output) = out.pop() {
        if let Output::Persist { write_id, .. } = output {
            replica.handle(now, Input::Persisted(write_id), &mut out);
        }
    }
}

#[test]
fn a_leader_drops_the_progress_of_departed_learners() {
    let mut replica = leader();
    let start = 10_000;
    for n in 0..50 {
        // Each learner is a different diskless process, which broadcasts `Join` once and departs.
        let now = start + u64::from(n) * 3 * LEARNER_TIMEOUT_MS;
        let message = ReplicaMessage::Join { durable: false };
        replica.handle(now, Input::Message { from: id(100 + n), message }, &mut Vec::new());
        (now..now + 3 * LEARNER_TIMEOUT_MS).step_by(50).for_each(|at| tick(&mut replica, at));
        assert!(
            replica.progress.len() <= 1,
            "progress of {} replicas after {n} learners",
            replica.progress.len()
        );
    }
    assert_eq!(replica.role, Role::Leader, "the only voter lost its leadership");
}

/// The replicas from which a restarted replica with this state requests pre-votes after its election time-out.
fn pre_votes_requested_by(ip: u32, state: State) -> Vec<ReplicaId> {
    let hard_state = HardState { id: id(ip), term: 2, voted_for: None };
    let mut replica = Replica::new(Settings::default(), hard_state, state, 0, 7, Storage::Durable);
    let mut out = Vec::new();
    replica.handle(replica.deadline().max(replica.election_deadline), Input::Tick, &mut out);
    let requested = |output: &Output| match output {
        Output::Send(to, ReplicaMessage::RequestPreVote { .. }) => Some(*to),
        _ => None,
    };
    out.iter().filter_map(requested).collect()
}

/// Guards against a group that never elects a leader: the only replica with the newest state is being removed and does
/// not campaign, its vote is required for the majority of the outgoing group, and it grants no vote to a replica with
/// an older state.
#[test]
fn a_replica_that_is_being_removed_may_lead_until_the_change_is_committed() {
    let voters = vec![id(1), id(2), id(4)];
    let outgoing = vec![id(1), id(2), id(4), id(3)];
    let position = LogPosition { term: 2, index: 49 };
    let state = State { position, revision: 1, voters, outgoing, ..State::default() };
    assert_eq!(pre_votes_requested_by(3, state), [id(1), id(2), id(4)]);
}

/// The same group after one machine has lost its disk: the other replicas elect a leader and complete the change, and
/// the removed replica does not lead after it.
#[test]
fn a_removed_leader_transfers_leadership_once_the_change_is_committed() {
    let voters = vec![id(1), id(2), id(4)];
    let outgoing = vec![id(1), id(2), id(4), id(3)];
    let state = |index| State {
        position: LogPosition { term: 1, index },
        revision: 1,
        voters: voters.clone(),
        outgoing: outgoing.clone(),
        ..State::default()
    };
    let mut replicas: Vec<Replica> = (1..=3)
        .map(|n| {
            let hard_state = HardState { id: id(n), term: 1, voted_for: None };
            let index = if n == 3 { 9 } else { 8 };
            Replica::new(Settings::default(), hard_state, state(index), 0, u64::from(n), Storage::Durable)
        })
        .collect();
    let mut has_led = false;
    for now in 1..10_000 {
        let mut inputs: Vec<(usize, Input)> = (0..3).map(|n| (n, Input::Tick)).collect();
        while let Some((n, input)) = inputs.pop() {
            let mut out = Vec::new();
            replicas[n].handle(now, input, &mut out);
            has_led |= replicas[2].role == Role::Leader;
            let from = replicas[n].id();
            for output in out {
                match output {
                    Output::Persist { write_id, .. } => inputs.push((n, Input::Persisted(write_id))),
                    Output::Send(to, message) if to.ip <= 3 => {
                        inputs.push((to.ip as usize - 1, Input::Message { from, message }));
                    }
                    _ => {}
                }
            }
        }
        let leader = replicas.iter().find(|replica| replica.role == Role::Leader);
        if leader.is_some_and(|leader| leader.is_voter() && leader.is_membership_committed()) {
            assert!(has_led, "the only replica with the newest state, the third, has never led");
            assert_ne!(replicas[2].role, Role::Leader);
            return;
        }
    }
    panic!("no voter leads within 10 s");
}

/// Guards against a group that never elects a leader: the leader was removing this replica, sent the final state to it
/// alone, since it had joined as a learner again, and was lost. The replica no longer has a vote of its own, but the
/// others still need it, and it grants no vote to a replica with an older state.
#[test]
fn a_removed_replica_campaigns_while_the_state_without_it_may_be_uncommitted() {
    let voters = vec![id(1), id(2), id(4)];
    let position = LogPosition { term: 2, index: 50 };
    let state = State { position, revision: 1, voters, ..State::default() };
    assert_eq!(pre_votes_requested_by(3, state), [id(1), id(2), id(4)]);
}
