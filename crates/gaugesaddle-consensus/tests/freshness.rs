//! The failure: a replica that is cut off, slept or lags behind calls itself current, so that its machine hands an old
//! configuration out.

mod group;

use gaugesaddle_consensus::{Input, Output, Replica, Settings};
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
    Replica::new(Settings::default(), hard_state, state, NOW, 7, true)
}

/// A heartbeat of replica 2, which leads term 4; what the follower answers.
fn heartbeat(
    one: &mut Replica, now: u64, committed: u64, echoed_reading: Option<ClockReading>,
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
    one.handle(now, Input::Message { from: id(2), message }, &mut out);
    out.iter().find_map(|o| match o {
        Output::Send(_, ReplicaMessage::AppendResponse { clock_reading, .. }) => Some(*clock_reading),
        _ => None,
    })
}

#[test]
fn a_heartbeat_that_waited_makes_nobody_current() {
    let mut one = follower();
    let clock_reading = heartbeat(&mut one, NOW, 9, None).expect("answered");
    assert!(!one.is_fresh(NOW), "the leader has not said that it heard this process");
    heartbeat(&mut one, NOW + 120, 9, Some(clock_reading));
    let lease = Settings::default().follower_lease_ms;
    assert!(one.is_fresh(NOW + lease - 1), "counted from the mark");
    assert!(!one.is_fresh(NOW + lease));
    // Twenty seconds later what waited in the socket is read: sent long ago, it bears marks of then.
    for late in [Some(clock_reading), None, Some(ClockReading { time_ms: NOW + 100, ..clock_reading })] {
        heartbeat(&mut one, NOW + 20_000, 9, late);
        assert!(!one.is_fresh(NOW + 20_000), "{late:?}");
    }
}

#[test]
fn marks_of_another_process_or_of_the_future_say_nothing() {
    let mut one = follower();
    let clock_reading = heartbeat(&mut one, NOW, 9, None).expect("answered");
    let other = ClockReading { process: clock_reading.process ^ 1, ..clock_reading };
    heartbeat(&mut one, NOW + 10, 9, Some(other));
    assert!(!one.is_fresh(NOW + 10), "a process that ran here before");
    heartbeat(&mut one, NOW + 20, 9, Some(ClockReading { time_ms: NOW + 500, ..clock_reading }));
    assert!(!one.is_fresh(NOW + 20), "a time that has not come");
}

#[test]
fn a_follower_without_what_is_committed_is_not_current() {
    let mut one = follower();
    let clock_reading = heartbeat(&mut one, NOW, 9, None).expect("answered");
    heartbeat(&mut one, NOW + 10, 9, Some(clock_reading));
    assert!(one.is_fresh(NOW + 10));
    // The leader calls the tenth state committed, and its message was lost.
    heartbeat(&mut one, NOW + 20, 10, Some(clock_reading));
    assert!(!one.is_fresh(NOW + 20), "it would hand the ninth out");
}

#[test]
fn a_patch_for_another_state_changes_nothing_and_the_whole_one_comes() {
    let mut one = follower();
    let at = LogPosition { term: 4, index: 12 };
    let update = StateUpdate {
        base: Some(LogPosition { term: 4, index: 11 }),
        position: at,
        revision: 5,
        document: DocumentUpdate::Unchanged,
        accepted: Vec::new(),
        forgotten: 0,
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
    one.handle(NOW + 1, Input::Message { from: id(2), message }, &mut out);
    let held = out.iter().find_map(|o| match o {
        Output::Send(_, ReplicaMessage::AppendResponse { received, .. }) => Some(*received),
        _ => None,
    });
    assert_eq!(held, Some(LogPosition { term: 4, index: 9 }), "it says what it has");
    assert!(out.iter().all(|o| !matches!(o, Output::Persist { .. })), "{out:?}");
    let whole = StateUpdate { base: None, document: DocumentUpdate::Full(vec![5]), ..update };
    one.handle(NOW + 2, Input::Message { from: id(2), message: append(Some(Box::new(whole))) }, &mut out);
    assert_eq!(one.committed().map(|c| (c.revision, c.document.clone())), Some((5, vec![5])));
}

/// A machine is cut off for twenty seconds while changes go on, as leader and as follower.
#[test]
fn a_machine_that_is_cut_off_is_not_current_within_its_lease() {
    for seed in 1..=40 {
        let mut group = Group::new(seed, 4, 3);
        let leader = group.run_to_leader(5000).expect("somebody leads");
        group.run(3000);
        let cut = if seed % 2 == 0 { leader } else { leader % 4 + 1 };
        for other in (1..=4).filter(|ip| *ip != cut) {
            group.cut.insert((cut, other));
            group.cut.insert((other, cut));
        }
        group.run(Settings::default().follower_lease_ms + 1);
        for step in 0..40 {
            group.run(500);
            let replica = group.machines[&cut].replica.as_ref().expect("it runs");
            assert!(!replica.is_fresh(group.now), "seed {seed}, step {step}");
            let read = group.read(cut);
            let order = group.propose(cut, 0, 1, vec![1]);
            group.run(50);
            assert!(group.reads[&read].ended.is_none(), "seed {seed}: it answers a read");
            let ended = group.calls[&order].ended.clone().map(|(_, result)| result);
            assert_eq!(ended, Some(gaugesaddle_consensus::ProposalResult::Indeterminate), "seed {seed}");
        }
        assert!(group.leader().is_some_and(|ip| ip != cut), "seed {seed}: the others go on");
    }
}
