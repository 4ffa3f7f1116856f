//! The failure: something goes out before what it promises is certain. One replica alone, its inputs one by one.

use gaugesaddle_consensus::{Input, Output, Proposal, ProposalResult, Replica, Role, Settings, WriteId};
use gaugesaddle_protocol::{ClockReading, HardState, LogPosition, ReplicaId, ReplicaMessage, State};

const NOW: u64 = 100_000;
/// What the followers say of their clocks; only they read it.
const MARK: ClockReading = ClockReading { process: 9, time_ms: 1 };

fn id(ip: u32) -> ReplicaId {
    ReplicaId { ip, incarnation: 0 }
}

fn state(term: u64, index: u64) -> State {
    State { position: LogPosition { term, index }, voters: vec![id(1), id(2), id(3)], ..State::default() }
}

fn replica(term: u64, state: State) -> Replica {
    let hard_state = HardState { id: id(1), term, voted_for: None };
    Replica::new(Settings::default(), hard_state, state, NOW, 7, true)
}

fn give(replica: &mut Replica, now: u64, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    replica.handle(now, input, &mut out);
    out
}

fn message(replica: &mut Replica, now: u64, from: u32, message: ReplicaMessage) -> Vec<Output> {
    give(replica, now, Input::Message { from: id(from), message })
}

fn write_id(out: &[Output]) -> WriteId {
    let tickets = out.iter().filter_map(|o| match o {
        Output::Persist { write_id, .. } => Some(*write_id),
        _ => None,
    });
    tickets.reduce(|_, later| later).expect("something is written")
}

fn granted(out: &[Output]) -> bool {
    out.iter()
        .any(|o| matches!(o, Output::Send(_, ReplicaMessage::RequestVoteResponse { granted: true, .. })))
}

/// Has replica 1 elected by replica 2; when that is done, and what it wrote last.
fn elect(replica: &mut Replica) -> (u64, WriteId) {
    // While nobody leads it also asks to be taken in, in case it was taken out meanwhile.
    let asks = |out: &[Output]| {
        out.iter().any(|o| matches!(o, Output::Send(_, ReplicaMessage::RequestPreVote { .. })))
    };
    let mut now = replica.deadline();
    while !asks(&give(replica, now, Input::Tick)) {
        now = replica.deadline();
    }
    let term = replica.term() + 1;
    let out = message(replica, now + 1, 2, ReplicaMessage::RequestPreVoteResponse { term, granted: true });
    let written = write_id(&out);
    give(replica, now + 2, Input::Persisted(written));
    let out = message(replica, now + 3, 2, ReplicaMessage::RequestVoteResponse { term, granted: true });
    assert_eq!(replica.role(), Role::Leader);
    (now + 3, write_id(&out))
}

/// What a leader says in its last heartbeat to replica 2: term, round and newest state.
fn heartbeat(out: &[Output]) -> Option<(u64, u64, LogPosition)> {
    out.iter().rev().find_map(|o| match o {
        Output::Send(to, ReplicaMessage::Append { term, sequence, last_position, .. }) if *to == id(2) => {
            Some((*term, *sequence, *last_position))
        }
        _ => None,
    })
}

#[test]
fn a_vote_goes_out_only_when_it_is_on_the_disk_and_never_to_two() {
    let mut one = replica(4, state(4, 9));
    let last = LogPosition { term: 4, index: 9 };
    let out = message(
        &mut one,
        NOW + 1,
        2,
        ReplicaMessage::RequestVote { term: 5, last_position: last, leadership_transfer: false },
    );
    assert!(!granted(&out), "before the write");
    let rival = message(
        &mut one,
        NOW + 2,
        3,
        ReplicaMessage::RequestVote { term: 5, last_position: last, leadership_transfer: false },
    );
    assert!(!granted(&rival));
    let out = give(&mut one, NOW + 3, Input::Persisted(write_id(&out)));
    assert!(granted(&out), "after it");
    let rival = message(
        &mut one,
        NOW + 4,
        3,
        ReplicaMessage::RequestVote { term: 5, last_position: last, leadership_transfer: false },
    );
    assert!(!granted(&rival), "the same term twice");
}

#[test]
fn nobody_with_an_older_state_gets_a_vote() {
    for (last, wanted) in [((4, 8), false), ((3, 20), false), ((4, 9), true), ((5, 1), true)] {
        let last = LogPosition { term: last.0, index: last.1 };
        let mut one = replica(5, state(4, 9));
        let out = message(
            &mut one,
            NOW + 1,
            2,
            ReplicaMessage::RequestVote { term: 6, last_position: last, leadership_transfer: false },
        );
        let after = match out.iter().any(|o| matches!(o, Output::Persist { .. })) {
            true => give(&mut one, NOW + 2, Input::Persisted(write_id(&out))),
            false => Vec::new(),
        };
        assert_eq!(granted(&out) || granted(&after), wanted, "{last:?}");
        let mut one = replica(5, state(4, 9));
        let out =
            message(&mut one, NOW + 1, 2, ReplicaMessage::RequestPreVote { term: 6, last_position: last });
        let pre = out.iter().any(|o| {
            matches!(o, Output::Send(_, ReplicaMessage::RequestPreVoteResponse { granted: true, .. }))
        });
        assert_eq!(pre, wanted, "{last:?} before an election");
    }
}

#[test]
fn a_replica_that_is_no_voter_gives_no_vote_and_stands_for_none() {
    let mut wiped = replica(0, State::default());
    let last = LogPosition { term: 9, index: 9 };
    let out = message(
        &mut wiped,
        NOW + 1,
        2,
        ReplicaMessage::RequestVote { term: 10, last_position: last, leadership_transfer: false },
    );
    assert!(out.iter().all(|o| matches!(o, Output::Broadcast(ReplicaMessage::Join { .. }))), "{out:?}");
    let deadline = wiped.deadline() + 10_000;
    let out = give(&mut wiped, deadline, Input::Tick);
    assert!(out.iter().all(|o| matches!(o, Output::Broadcast(ReplicaMessage::Join { .. }))), "{out:?}");
}

#[test]
fn a_change_is_taken_only_when_a_majority_has_it_on_disk() {
    let mut one = replica(1, state(1, 1));
    let (now, first) = elect(&mut one);
    let reply = |term, sequence, matched| ReplicaMessage::AppendResponse {
        term,
        sequence,
        matched,
        received: matched,
        clock_reading: MARK,
    };
    // The state under its own term first.
    let out = give(&mut one, now + 1, Input::Persisted(first));
    let (term, sequence, at) = heartbeat(&out).unwrap_or((2, 1, LogPosition { term: 2, index: 2 }));
    message(&mut one, now + 2, 2, reply(term, sequence, at));
    let proposal = Proposal::new(0, 3, vec![1]);
    let out = give(&mut one, now + 3, Input::Propose(8, Box::new(proposal)));
    let taken = |out: &[Output]| out.contains(&Output::Proposed(8, ProposalResult::Committed));
    let written = write_id(&out);
    assert!(!taken(&out));
    let newest = LogPosition { term, index: at.index + 1 };
    let out = message(&mut one, now + 4, 2, reply(term, sequence + 1, at));
    assert!(!taken(&out), "the other has an older state only");
    let out = message(&mut one, now + 5, 2, reply(term, sequence + 2, newest));
    assert!(!taken(&out), "one of three disks");
    let out = give(&mut one, now + 6, Input::Persisted(written));
    assert!(taken(&out), "two of three");
}

#[test]
fn a_read_waits_for_a_heartbeat_of_a_majority_sent_after_it() {
    let mut one = replica(1, state(1, 1));
    let (now, first) = elect(&mut one);
    let out = give(&mut one, now + 1, Input::Persisted(first));
    let (term, sequence, at) = heartbeat(&out).unwrap_or((2, 1, LogPosition { term: 2, index: 2 }));
    message(
        &mut one,
        now + 2,
        2,
        ReplicaMessage::AppendResponse { term, sequence, matched: at, received: at, clock_reading: MARK },
    );
    let answered = |out: &[Output]| out.iter().any(|o| matches!(o, Output::Read(5, Ok(_))));
    let out = give(&mut one, now + 3, Input::Read(5));
    assert!(!answered(&out), "nobody has confirmed that it still leads");
    let (_, asked, _) = heartbeat(&out).expect("it asks at once");
    let old = ReplicaMessage::AppendResponse {
        term,
        sequence: asked - 1,
        matched: at,
        received: at,
        clock_reading: MARK,
    };
    assert!(!answered(&message(&mut one, now + 4, 2, old)), "an answer to an earlier heartbeat");
    let new = ReplicaMessage::AppendResponse {
        term,
        sequence: asked,
        matched: at,
        received: at,
        clock_reading: MARK,
    };
    assert!(answered(&message(&mut one, now + 5, 2, new)));
}

/// A leader that was replaced without knowing it would refuse an order that builds on what its successor has taken.
#[test]
fn a_refusal_waits_for_a_heartbeat_of_a_majority_sent_after_it() {
    for (base, revision) in [(7, 9), (0, 0)] {
        let mut one = replica(1, state(1, 1));
        let (now, first) = elect(&mut one);
        let out = give(&mut one, now + 1, Input::Persisted(first));
        let (term, sequence, at) = heartbeat(&out).unwrap_or((2, 1, LogPosition { term: 2, index: 2 }));
        let reply = |sequence| ReplicaMessage::AppendResponse {
            term,
            sequence,
            matched: at,
            received: at,
            clock_reading: MARK,
        };
        message(&mut one, now + 2, 2, reply(sequence));
        let refused = |out: &[Output]| {
            out.iter().any(|o| {
                let result = match o {
                    Output::Proposed(5, result) => result,
                    _ => return false,
                };
                matches!(result, ProposalResult::Conflict { .. } | ProposalResult::StaleRevision { .. })
            })
        };
        let order = Proposal::new(base, revision, vec![1]);
        let out = give(&mut one, now + 3, Input::Propose(5, Box::new(order)));
        assert!(!refused(&out), "nobody has confirmed that it still leads");
        let (_, asked, _) = heartbeat(&out).expect("it asks at once");
        assert!(
            !refused(&message(&mut one, now + 4, 2, reply(asked - 1))),
            "an answer to an earlier heartbeat"
        );
        assert!(refused(&message(&mut one, now + 5, 2, reply(asked))));
    }
}

#[test]
fn a_leader_that_slept_answers_nothing_when_it_wakes() {
    let mut one = replica(1, state(1, 1));
    let (now, first) = elect(&mut one);
    give(&mut one, now + 1, Input::Persisted(first));
    let out = give(&mut one, now + 5000, Input::Read(5));
    assert!(out.iter().any(|o| matches!(o, Output::Read(5, Err(_)))), "{out:?}");
    assert_eq!(one.role(), Role::Follower);
    assert!(!one.has_lease(now + 5000) && !one.is_fresh(now + 5000));
}

#[test]
fn a_leader_whose_disk_hangs_steps_down() {
    let mut one = replica(1, state(1, 1));
    let (now, _) = elect(&mut one);
    let mut at = now;
    while at < now + 1500 {
        at += 100;
        let out = give(&mut one, at, Input::Tick);
        if let Some((term, sequence, _)) = heartbeat(&out) {
            let matched = LogPosition::default();
            message(
                &mut one,
                at + 1,
                2,
                ReplicaMessage::AppendResponse {
                    term,
                    sequence,
                    matched,
                    received: LogPosition::default(),
                    clock_reading: MARK,
                },
            );
        }
    }
    assert_eq!(one.role(), Role::Follower, "its own write has hung for more than a second");
}
