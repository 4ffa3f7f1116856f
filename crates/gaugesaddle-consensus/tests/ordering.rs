//! Checks that a replica sends a vote, a result or the answer to a read only once its precondition is met (durability
//! or confirmation by a majority). The tests drive a single replica input by input.

use gaugesaddle_consensus::{
    Input, Output, Proposal, ProposalResult, Replica, Role, Settings, Storage, WriteId,
};
use gaugesaddle_protocol::{ClockReading, HardState, LogPosition, ReplicaId, ReplicaMessage, State};

const NOW: u64 = 100_000;
/// The clock reading in the followers' responses, which the leader echoes.
const CLOCK_READING: ClockReading = ClockReading { process: 9, time_ms: 1 };

fn id(ip: u32) -> ReplicaId {
    ReplicaId { ip, incarnation: 0 }
}

fn state(term: u64, index: u64) -> State {
    State { position: LogPosition { term, index }, voters: vec![id(1), id(2), id(3)], ..State::default() }
}

fn new_replica(term: u64, state: State) -> Replica {
    let hard_state = HardState { id: id(1), term, voted_for: None };
    Replica::new(Settings::default(), hard_state, state, NOW, 7, Storage::Durable)
}

fn handle(replica: &mut Replica, now: u64, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    replica.handle(now, input, &mut out);
    out
}

fn message(replica: &mut Replica, now: u64, from: u32, message: ReplicaMessage) -> Vec<Output> {
    handle(replica, now, Input::Message { from: id(from), message })
}

fn write_id(out: &[Output]) -> WriteId {
    let writes = out.iter().filter_map(|o| match o {
        Output::Persist { write_id, .. } => Some(*write_id),
        _ => None,
    });
    writes.reduce(|_, later| later).expect("a write should be requested")
}

fn granted(out: &[Output]) -> bool {
    out.iter()
        .any(|o| matches!(o, Output::Send(_, ReplicaMessage::RequestVoteResponse { granted: true, .. })))
}

/// Makes replica 1 the leader with the votes of replica 2. Returns the time of the election and the write of the
/// leader's first state.
fn elect(replica: &mut Replica) -> (u64, WriteId) {
    // Without a leader the replica also broadcasts `Join`, so that a tick need not request pre-votes.
    let requests_pre_votes = |out: &[Output]| {
        out.iter().any(|o| matches!(o, Output::Send(_, ReplicaMessage::RequestPreVote { .. })))
    };
    let mut now = replica.deadline();
    while !requests_pre_votes(&handle(replica, now, Input::Tick)) {
        now = replica.deadline();
    }
    let term = replica.term() + 1;
    let out = message(replica, now + 1, 2, ReplicaMessage::RequestPreVoteResponse { term, granted: true });
    let written = write_id(&out);
    handle(replica, now + 2, Input::Persisted(written));
    let out = message(replica, now + 3, 2, ReplicaMessage::RequestVoteResponse { term, granted: true });
    assert_eq!(replica.role(), Role::Leader);
    (now + 3, write_id(&out))
}

/// Term, sequence number and newest position in the leader's latest heartbeat to replica 2.
fn heartbeat(out: &[Output]) -> Option<(u64, u64, LogPosition)> {
    out.iter().rev().find_map(|o| match o {
        Output::Send(to, ReplicaMessage::Append { term, sequence, last_position, .. }) if *to == id(2) => {
            Some((*term, *sequence, *last_position))
        }
        _ => None,
    })
}

#[test]
fn a_vote_is_sent_once_it_is_durable_and_to_one_candidate_per_term() {
    let mut replica = new_replica(4, state(4, 9));
    let last = LogPosition { term: 4, index: 9 };
    let out = message(
        &mut replica,
        NOW + 1,
        2,
        ReplicaMessage::RequestVote { term: 5, last_position: last, leadership_transfer: false },
    );
    assert!(!granted(&out), "vote granted before its write is durable");
    let rival = message(
        &mut replica,
        NOW + 2,
        3,
        ReplicaMessage::RequestVote { term: 5, last_position: last, leadership_transfer: false },
    );
    assert!(!granted(&rival));
    let out = handle(&mut replica, NOW + 3, Input::Persisted(write_id(&out)));
    assert!(granted(&out), "vote not granted after its write is durable");
    let rival = message(
        &mut replica,
        NOW + 4,
        3,
        ReplicaMessage::RequestVote { term: 5, last_position: last, leadership_transfer: false },
    );
    assert!(!granted(&rival), "second vote granted in the same term");
}

#[test]
fn a_candidate_with_an_older_state_gets_no_vote() {
    for (last, wanted) in [((4, 8), false), ((3, 20), false), ((4, 9), true), ((5, 1), true)] {
        let last = LogPosition { term: last.0, index: last.1 };
        let mut replica = new_replica(5, state(4, 9));
        let out = message(
            &mut replica,
            NOW + 1,
            2,
            ReplicaMessage::RequestVote { term: 6, last_position: last, leadership_transfer: false },
        );
        let after = if out.iter().any(|o| matches!(o, Output::Persist { .. })) {
            handle(&mut replica, NOW + 2, Input::Persisted(write_id(&out)))
        } else {
            Vec::new()
        };
        assert_eq!(granted(&out) || granted(&after), wanted, "vote for {last:?}");
        let mut replica = new_replica(5, state(4, 9));
        let out = message(
            &mut replica,
            NOW + 1,
            2,
            ReplicaMessage::RequestPreVote { term: 6, last_position: last },
        );
        let pre = out.iter().any(|o| {
            matches!(o, Output::Send(_, ReplicaMessage::RequestPreVoteResponse { granted: true, .. }))
        });
        assert_eq!(pre, wanted, "pre-vote for {last:?}");
    }
}

#[test]
fn a_replica_without_a_group_neither_votes_nor_campaigns() {
    let mut empty = new_replica(0, State::default());
    let last = LogPosition { term: 9, index: 9 };
    let out = message(
        &mut empty,
        NOW + 1,
        2,
        ReplicaMessage::RequestVote { term: 10, last_position: last, leadership_transfer: false },
    );
    assert!(out.iter().all(|o| matches!(o, Output::Broadcast(ReplicaMessage::Join { .. }))), "{out:?}");
    let deadline = empty.deadline() + 10_000;
    let out = handle(&mut empty, deadline, Input::Tick);
    assert!(out.iter().all(|o| matches!(o, Output::Broadcast(ReplicaMessage::Join { .. }))), "{out:?}");
}

#[test]
fn a_proposal_is_committed_once_it_is_durable_on_a_majority() {
    let mut replica = new_replica(1, state(1, 1));
    let (now, first) = elect(&mut replica);
    let reply = |term, sequence, matched| ReplicaMessage::AppendResponse {
        term,
        sequence,
        matched,
        received: matched,
        clock_reading: CLOCK_READING,
    };
    // Commits the state that the leader has rewritten in its own term.
    let out = handle(&mut replica, now + 1, Input::Persisted(first));
    let (term, sequence, at) = heartbeat(&out).unwrap_or((2, 1, LogPosition { term: 2, index: 2 }));
    message(&mut replica, now + 2, 2, reply(term, sequence, at));
    let proposal = Proposal::new(0, 3, vec![1]);
    let out = handle(&mut replica, now + 3, Input::Propose(8, Box::new(proposal)));
    let is_committed = |out: &[Output]| out.contains(&Output::Proposed(8, ProposalResult::Committed));
    let written = write_id(&out);
    assert!(!is_committed(&out));
    let newest = LogPosition { term, index: at.index + 1 };
    let out = message(&mut replica, now + 4, 2, reply(term, sequence + 1, at));
    assert!(!is_committed(&out), "committed although the follower has an older state");
    let out = message(&mut replica, now + 5, 2, reply(term, sequence + 2, newest));
    assert!(!is_committed(&out), "committed on one of three disks");
    let out = handle(&mut replica, now + 6, Input::Persisted(written));
    assert!(is_committed(&out), "not committed on two of three disks");
}

#[test]
fn a_read_waits_until_a_majority_acknowledges_a_later_heartbeat() {
    let mut replica = new_replica(1, state(1, 1));
    let (now, first) = elect(&mut replica);
    let out = handle(&mut replica, now + 1, Input::Persisted(first));
    let (term, sequence, at) = heartbeat(&out).unwrap_or((2, 1, LogPosition { term: 2, index: 2 }));
    message(
        &mut replica,
        now + 2,
        2,
        ReplicaMessage::AppendResponse {
            term,
            sequence,
            matched: at,
            received: at,
            clock_reading: CLOCK_READING,
        },
    );
    let answered = |out: &[Output]| out.iter().any(|o| matches!(o, Output::Read(5, Ok(_))));
    let out = handle(&mut replica, now + 3, Input::Read(5));
    assert!(!answered(&out), "answered before the leadership is confirmed");
    let (_, requested, _) = heartbeat(&out).expect("a heartbeat should be sent at once");
    let old = ReplicaMessage::AppendResponse {
        term,
        sequence: requested - 1,
        matched: at,
        received: at,
        clock_reading: CLOCK_READING,
    };
    assert!(
        !answered(&message(&mut replica, now + 4, 2, old)),
        "answered after a response to an earlier heartbeat"
    );
    let new = ReplicaMessage::AppendResponse {
        term,
        sequence: requested,
        matched: at,
        received: at,
        clock_reading: CLOCK_READING,
    };
    assert!(answered(&message(&mut replica, now + 5, 2, new)));
}

/// Without the confirmation, a deposed leader that has not seen the newer term would reject a change on top of a state
/// that its successor has committed.
#[test]
fn a_rejection_waits_until_a_majority_acknowledges_a_later_heartbeat() {
    for (base, revision) in [(7, 9), (0, 0)] {
        let mut replica = new_replica(1, state(1, 1));
        let (now, first) = elect(&mut replica);
        let out = handle(&mut replica, now + 1, Input::Persisted(first));
        let (term, sequence, at) = heartbeat(&out).unwrap_or((2, 1, LogPosition { term: 2, index: 2 }));
        let reply = |sequence| ReplicaMessage::AppendResponse {
            term,
            sequence,
            matched: at,
            received: at,
            clock_reading: CLOCK_READING,
        };
        message(&mut replica, now + 2, 2, reply(sequence));
        let rejected = |out: &[Output]| {
            out.iter().any(|o| {
                let Output::Proposed(5, result) = o else { return false };
                matches!(result, ProposalResult::Conflict { .. } | ProposalResult::StaleRevision { .. })
            })
        };
        let proposal = Proposal::new(base, revision, vec![1]);
        let out = handle(&mut replica, now + 3, Input::Propose(5, Box::new(proposal)));
        assert!(!rejected(&out), "answered before the leadership is confirmed");
        let (_, requested, _) = heartbeat(&out).expect("a heartbeat should be sent at once");
        assert!(
            !rejected(&message(&mut replica, now + 4, 2, reply(requested - 1))),
            "answered after a response to an earlier heartbeat"
        );
        assert!(rejected(&message(&mut replica, now + 5, 2, reply(requested))));
    }
}

#[test]
fn a_resumed_leader_past_its_lease_steps_down_and_rejects_reads() {
    let mut replica = new_replica(1, state(1, 1));
    let (now, first) = elect(&mut replica);
    handle(&mut replica, now + 1, Input::Persisted(first));
    let out = handle(&mut replica, now + 5000, Input::Read(5));
    assert!(out.iter().any(|o| matches!(o, Output::Read(5, Err(_)))), "{out:?}");
    assert_eq!(replica.role(), Role::Follower);
    assert!(!replica.has_lease(now + 5000) && !replica.is_fresh(now + 5000));
}

#[test]
fn a_leader_whose_disk_stalls_steps_down() {
    let mut replica = new_replica(1, state(1, 1));
    let (now, _) = elect(&mut replica);
    let mut at = now;
    while at < now + 1500 {
        at += 100;
        let out = handle(&mut replica, at, Input::Tick);
        if let Some((term, sequence, _)) = heartbeat(&out) {
            let matched = LogPosition::default();
            message(
                &mut replica,
                at + 1,
                2,
                ReplicaMessage::AppendResponse {
                    term,
                    sequence,
                    matched,
                    received: LogPosition::default(),
                    clock_reading: CLOCK_READING,
                },
            );
        }
    }
    assert_eq!(
        replica.role(),
        Role::Follower,
        "the leader has not stepped down although its write has been pending for more than 1 s"
    );
}
