//! Checks that a follower whose disk stalls does not queue a response for each heartbeat without bound.

use super::*;
use crate::{Input, Settings, Storage};
use gaugesaddle_protocol::HardState;

fn id(ip: u32) -> ReplicaId {
    ReplicaId { ip, incarnation: 0 }
}

fn follower() -> Replica {
    let voters = vec![id(1), id(2), id(3)];
    let position = LogPosition { term: 1, index: 1 };
    let state = State { position, revision: 1, voters, ..State::default() };
    let hard_state = HardState { id: id(1), term: 1, voted_for: None };
    Replica::new(Settings::default(), hard_state, state, 0, 7, Storage::Durable)
}

fn heartbeat(replica: &mut Replica, now: u64, term: u64, sequence: u64) -> Vec<Output> {
    let message = ReplicaMessage::Append {
        term,
        sequence,
        last_position: LogPosition { term: 1, index: 1 },
        committed: LogPosition::default(),
        state: None,
        echoed_reading: None,
    };
    let mut out = Vec::new();
    replica.handle(now, Input::Message { from: id(2), message }, &mut out);
    out
}

#[test]
fn responses_blocked_by_a_stalled_disk_are_bounded() {
    let mut replica = follower();
    // The write of the new term does not complete.
    for sequence in 1..=1000 {
        heartbeat(&mut replica, sequence, 2, sequence);
        assert_eq!(replica.blocked_actions.len(), 1, "heartbeat {sequence}");
    }
    for term in 3..=1000 {
        heartbeat(&mut replica, 1000 + term, term, 1);
        assert!(replica.blocked_actions.len() <= MAX_BLOCKED_ACTIONS, "term {term}");
    }
    // Once all writes are durable, the newest response is sent.
    let newest = replica.pending_writes.back().expect("a write should be pending").id;
    let mut out = Vec::new();
    replica.handle(3000, Input::Persisted(newest), &mut out);
    let is_response =
        |output: &&Output| matches!(output, Output::Send(_, ReplicaMessage::AppendResponse { .. }));
    assert_eq!(
        out.iter().filter(is_response).count(),
        1,
        "expected only the response of the present term: {out:?}"
    );
    assert!(replica.blocked_actions.is_empty());
}

#[test]
fn the_newest_response_acknowledges_the_newest_heartbeat() {
    let mut replica = follower();
    for sequence in 1..=5 {
        heartbeat(&mut replica, sequence, 2, sequence);
    }
    let newest = replica.pending_writes.back().expect("a write should be pending").id;
    let mut out = Vec::new();
    replica.handle(10, Input::Persisted(newest), &mut out);
    let acknowledged = out.iter().find_map(|output| match output {
        Output::Send(_, ReplicaMessage::AppendResponse { sequence, .. }) => Some(*sequence),
        _ => None,
    });
    assert_eq!(acknowledged, Some(5));
}
