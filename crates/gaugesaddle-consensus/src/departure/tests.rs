//! Checks that a delayed request of a process that has ended does not remove the replica's present process.

use super::*;
use crate::{Input, Settings};
use gaugesaddle_protocol::{ClockReading, HardState, LogPosition, State};

const NOW_MS: u64 = 5000;

fn id(ip: u32) -> ReplicaId {
    ReplicaId { ip, incarnation: 0 }
}

/// Handles an input; every write is durable at once. Returns the messages that are sent.
fn handle(replica: &mut Replica, input: Input) -> Vec<(ReplicaId, ReplicaMessage)> {
    let mut inputs = vec![input];
    let mut sent = Vec::new();
    while let Some(input) = inputs.pop() {
        let mut out = Vec::new();
        replica.handle(NOW_MS, input, &mut out);
        for output in out {
            match output {
                Output::Persist { write_id, .. } => inputs.push(Input::Persisted(write_id)),
                Output::Send(to, message) => sent.push((to, message)),
                _ => {}
            }
        }
    }
    sent
}

fn receive(replica: &mut Replica, from: u32, message: ReplicaMessage) -> Vec<(ReplicaId, ReplicaMessage)> {
    handle(replica, Input::Message { from: id(from), message })
}

/// The acknowledgement of the first heartbeat and of a state, by the process with this number.
fn acknowledgement(position: LogPosition, process: u64) -> ReplicaMessage {
    ReplicaMessage::AppendResponse {
        term: 1,
        sequence: 1,
        matched: position,
        received: position,
        clock_reading: ClockReading { process, time_ms: 1 },
    }
}

/// The leader of four voters, one of which is enough to lose: replica 1, with a committed state that voters 2 and 3 have
/// acknowledged. The process of replica 2 has the number 7.
fn leader() -> Replica {
    let state = State { voters: (1..=4).map(id).collect(), ..State::default() };
    let hard_state = HardState { id: id(1), term: 0, voted_for: None };
    let mut replica = Replica::new(Settings::default(), hard_state, state, 0, 7, Storage::Durable);
    handle(&mut replica, Input::Tick);
    for voter in 2..=3 {
        receive(&mut replica, voter, ReplicaMessage::RequestPreVoteResponse { term: 1, granted: true });
    }
    for voter in 2..=3 {
        receive(&mut replica, voter, ReplicaMessage::RequestVoteResponse { term: 1, granted: true });
    }
    assert_eq!(replica.role, Role::Leader);
    let newest = LogPosition { term: 1, index: 1 };
    for voter in 2..=3 {
        let response = acknowledgement(newest, 5 + u64::from(voter));
        receive(&mut replica, voter, response);
    }
    assert!(replica.is_membership_committed());
    replica
}

fn is_leave_response(message: &ReplicaMessage) -> bool {
    matches!(message, ReplicaMessage::LeaveResponse { .. })
}

#[test]
fn delayed_leave_of_an_ended_process_is_ignored() {
    let mut replica = leader();
    let sent = receive(&mut replica, 2, ReplicaMessage::Leave { process: 6 });
    assert!(!sent.iter().any(|(_, message)| is_leave_response(message)), "{sent:?}");
    assert!(replica.voters().contains(&id(2)));
    let sent = receive(&mut replica, 2, ReplicaMessage::Leave { process: 7 });
    assert!(sent.iter().any(|(to, message)| *to == id(2) && is_leave_response(message)), "{sent:?}");
    assert!(!replica.voters().contains(&id(2)), "the present process is being removed");
}

#[test]
fn restarted_process_is_no_longer_departing() {
    let mut replica = leader();
    replica.settings.min_voters = 4;
    receive(&mut replica, 2, ReplicaMessage::Leave { process: 7 });
    assert!(replica.is_departing(&id(2)));
    let response = acknowledgement(replica.state.position, 8);
    receive(&mut replica, 2, response);
    assert!(!replica.is_departing(&id(2)));
}
