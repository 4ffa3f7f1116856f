//! Replication on a follower: handling of the leader's heartbeats and state updates.

use crate::writes::PostSyncAction;
use crate::{history, Output, Replica, Role};
use gaugesaddle_protocol::{ClockReading, LogPosition, ReplicaId, ReplicaMessage, StateUpdate};

/// The fields of `ReplicaMessage::Append` except the state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heartbeat {
    pub term: u64,
    pub sequence: u64,
    pub last_position: LogPosition,
    pub committed: LogPosition,
    pub echoed_reading: Option<ClockReading>,
}

impl Replica {
    pub(crate) fn handle_append(
        &mut self, now: u64, from: ReplicaId, heartbeat: Heartbeat, state: Option<Box<StateUpdate>>,
        out: &mut Vec<Output>,
    ) {
        let Heartbeat { term, sequence, last_position, committed, echoed_reading } = heartbeat;
        let clock_reading = ClockReading { process: self.process, time_ms: now };
        if term < self.hard_state.term {
            self.send_append_response(from, self.hard_state.term, sequence, clock_reading, out);
            return;
        }
        self.accept_leader(now, from, term, out);
        self.record_freshness(now, committed, echoed_reading);
        let newer = state.filter(|s| s.position > self.state.position && s.position == last_position);
        let response = PostSyncAction::AppendResponse { to: from, term, sequence, clock_reading };
        if let Some(state) = newer.and_then(|update| history::apply(&self.state, *update)) {
            self.state = state;
            let write_id = self.persist_state(now, out);
            self.after_sync(write_id, response.clone());
        }
        self.advance_committed(committed, out);
        // An acknowledgement is sent only once the term is durable, since a crash would otherwise lose it. While only
        // the state is being written, this response reports the position that is durable so far, and the response
        // queued above follows.
        if self.durable_term == term {
            self.send_append_response(from, term, sequence, clock_reading, out);
        } else if let Some(write) = self.pending_writes.back() {
            let write_id = write.id;
            self.after_sync(write_id, response);
        }
    }

    /// Accepts the sender of a heartbeat as the leader of a term that is not older than this replica's term.
    fn accept_leader(&mut self, now: u64, leader: ReplicaId, term: u64, out: &mut Vec<Output>) {
        if term > self.hard_state.term {
            self.enter_newer_term(now, term, out);
        }
        if self.role != Role::Follower {
            self.step_down(now, Some(leader), out);
        }
        if self.leader != Some(leader) {
            self.leader = Some(leader);
            self.fresh_as_of_ms = None;
        }
        self.leader_contact_ms = Some(now);
        self.reset_election_deadline(now);
    }

    pub(crate) fn send_append_response(
        &mut self, to: ReplicaId, term: u64, sequence: u64, clock_reading: ClockReading,
        out: &mut Vec<Output>,
    ) {
        // Only a state of the leader's own term counts for its quorum (thesis 3.6.2).
        let is_of_term = self.durable_position.term == term;
        let matched = if is_of_term { self.durable_position } else { LogPosition::default() };
        let received = self.state.position;
        let message = ReplicaMessage::AppendResponse { term, sequence, matched, received, clock_reading };
        out.push(Output::Send(to, message));
    }

    /// Records the freshness of the leader's report: the leader sent it after this process took the echoed clock
    /// reading. A reading of another process, or one later than `now`, is ignored.
    fn record_freshness(&mut self, now: u64, committed: LogPosition, echoed_reading: Option<ClockReading>) {
        self.leader_committed = self.leader_committed.max(committed);
        let own_reading = echoed_reading.filter(|r| r.process == self.process && r.time_ms <= now);
        if let Some(reading) = own_reading {
            self.fresh_as_of_ms = self.fresh_as_of_ms.max(Some(reading.time_ms));
        }
    }

    /// Advances the committed position if the leader reports the newest state of this replica as committed.
    fn advance_committed(&mut self, committed: LogPosition, out: &mut Vec<Output>) {
        if committed == self.state.position && committed > self.committed {
            self.committed = committed;
            self.publish(out);
        }
    }
}
