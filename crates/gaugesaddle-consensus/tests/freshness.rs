//! Checks that a replica that is partitioned, was suspended or lags behind does not report itself as fresh; its machine
//! would distribute an old configuration.

mod group;

use gaugesaddle_consensus::{Input, Output, Replica, Settings, Storage};
use gaugesaddle_protocol::{
    ClockReading, DocumentUpdate, HardState, LogPosition, ReplicaId, ReplicaMessage, State, StateUpdate,
};
use group::Group;

const NOW: u64 = 100_000;

fn id(ip: u32) -> ReplicaId {
    ReplicaId { ip, incarnation: 0 }
}

fn follower() -> Replica {
    let voters = vec![id(1), id(2), id(3)];
    let state =
        State { position: LogPosition { term: 4, index: 9 }, revision: 3, voters, ..State::default() };
    let hard_state = HardState { id: id(1), term: 4, voted_for: None };
    Replica::new(Settings::default(), hard_state, state, NOW, 7, Storage::Durable)
}

/// Delivers a heartbeat of replica 2, the leader of term 4. Returns the clock reading in the follower's response.
fn heartbeat(
    replica: &mut Replica, now: u64, committed: u64, echoed_reading: Option<ClockReading>,
) -> Option<ClockReading> {
    let at = LogPosition { term: 4, index: 9 };
    let committed = LogPosition { term: 4, index: committed };
    let message = ReplicaMessage::Append {
        term: 4,
        sequence: 1,
        last_position: at,
        committed,
        state: None,
        echoed_reading,
    };
    let mut out = Vec::new();
    replica.handle(now, Input::Message { from: id(2), message }, &mut out);
    out.iter().find_map(|o| match o {
        Output::Send(_, ReplicaMessage::AppendResponse { clock_reading, .. }) => Some(*clock_reading),
        _ => None,
    })
}

#[test]
fn a_delayed_heartbeat_does_not_make_a_follower_fresh() {
    let mut replica = follower();
    let clock_reading =
        heartbeat(&mut replica, NOW, 9, None).expect("the follower should respond to the heartbeat");
    assert!(!replica.is_fresh(NOW), "fresh although the leader has echoed no clock reading");
    heartbeat(&mut replica, NOW + 120, 9, Some(clock_reading));
    let lease = Settings::default().follower_lease_ms;
    assert!(replica.is_fresh(NOW + lease - 1), "not fresh within one lease of the clock reading");
    assert!(!replica.is_fresh(NOW + lease));
    // Heartbeats that are delayed by 20 s echo old clock readings.
    for late in [Some(clock_reading), None, Some(ClockReading { time_ms: NOW + 100, ..clock_reading })] {
        heartbeat(&mut replica, NOW + 20_000, 9, late);
        assert!(!replica.is_fresh(NOW + 20_000), "fresh after the delayed reading {late:?}");
    }
}

#[test]
fn clock_readings_of_another_process_or_the_future_are_ignored() {
    let mut replica = follower();
    let clock_reading =
        heartbeat(&mut replica, NOW, 9, None).expect("the follower should respond to the heartbeat");
    let other = ClockReading { process: clock_reading.process ^ 1, ..clock_reading };
    heartbeat(&mut replica, NOW + 10, 9, Some(other));
    assert!(!replica.is_fresh(NOW + 10), "fresh by a clock reading of another process");
    heartbeat(&mut replica, NOW + 20, 9, Some(ClockReading { time_ms: NOW + 500, ..clock_reading }));
    assert!(!replica.is_fresh(NOW + 20), "fresh by a clock reading from the future");
}

#[test]
fn a_follower_behind_the_committed_state_is_not_fresh() {
    let mut replica = follower();
    let clock_reading =
        heartbeat(&mut replica, NOW, 9, None).expect("the follower should respond to the heartbeat");
    heartbeat(&mut replica, NOW + 10, 9, Some(clock_reading));
    assert!(replica.is_fresh(NOW + 10));
    // The leader reports state 10 as committed; the message that contained it was lost.
    heartbeat(&mut replica, NOW + 20, 10, Some(clock_reading));
    assert!(!replica.is_fresh(NOW + 20), "fresh although it has only state 9");
}

#[test]
fn a_delta_against_another_state_is_ignored_and_the_full_state_accepted() {
    let mut replica = follower();
    let at = LogPosition { term: 4, index: 12 };
    let update = StateUpdate {
        base: Some(LogPosition { term: 4, index: 11 }),
        position: at,
        revision: 5,
        document: DocumentUpdate::Unchanged,
        accepted: Vec::new(),
        pruned_revision: 0,
        voters: vec![id(1), id(2), id(3)],
        outgoing: Vec::new(),
    };
    let append = |state| ReplicaMessage::Append {
        term: 4,
        sequence: 2,
        last_position: at,
        committed: at,
        state,
        echoed_reading: None,
    };
    let mut out = Vec::new();
    let message = append(Some(Box::new(update.clone())));
    replica.handle(NOW + 1, Input::Message { from: id(2), message }, &mut out);
    let received = out.iter().find_map(|o| match o {
        Output::Send(_, ReplicaMessage::AppendResponse { received, .. }) => Some(*received),
        _ => None,
    });
    assert_eq!(
        received,
        Some(LogPosition { term: 4, index: 9 }),
        "the response should report the unchanged state"
    );
    assert!(out.iter().all(|o| !matches!(o, Output::Persist { .. })), "{out:?}");
    let full = StateUpdate { base: None, document: DocumentUpdate::Full(vec![5]), ..update };
    replica.handle(NOW + 2, Input::Message { from: id(2), message: append(Some(Box::new(full))) }, &mut out);
    assert_eq!(replica.committed().map(|c| (c.revision, c.document.clone())), Some((5, vec![5])));
}

/// One machine is partitioned for 20 s: the leader on even seeds, another machine on odd seeds.
#[test]
fn a_partitioned_replica_is_not_fresh_after_its_lease() {
    for seed in 1..=40 {
        let mut group = Group::new(seed, 4, 3);
        let leader = group.run_until_leader(5000).expect("a leader should be elected");
        group.run(3000);
        let isolated = if seed % 2 == 0 { leader } else { leader % 4 + 1 };
        for other in (1..=4).filter(|ip| *ip != isolated) {
            group.partitioned.insert((isolated, other));
            group.partitioned.insert((other, isolated));
        }
        group.run(Settings::default().follower_lease_ms + 1);
        for step in 0..40 {
            group.run(500);
            let replica =
                group.machines[&isolated].replica.as_ref().expect("isolated replica should be running");
            assert!(!replica.is_fresh(group.now), "seed {seed}, step {step}: the isolated replica is fresh");
            let read = group.read(isolated);
            let call = group.propose(isolated, 0, 1, vec![1]);
            group.run(50);
            assert!(group.reads[&read].ended.is_none(), "seed {seed}: the isolated replica answered a read");
            let ended = group.calls[&call].ended.clone().map(|(_, result)| result);
            assert_eq!(ended, Some(gaugesaddle_consensus::ProposalResult::Indeterminate), "seed {seed}");
        }
        assert!(group.leader().is_some_and(|ip| ip != isolated), "seed {seed}: the majority has no leader");
    }
}
