//! Disk writes in flight, and the actions that are delayed until one of them is durable.
//!
//! Raft requires that a vote or an acknowledgement is sent only once it is durable (thesis 3.8). Such messages are
//! queued here together with the write on which they depend.

use crate::{Output, Replica, WriteId};
use gaugesaddle_protocol::{ClockReading, LogPosition, ReplicaId, ReplicaMessage, State};

/// Maximum number of blocked actions. Beyond it the oldest is dropped, which is as safe as a lost message: a vote or an
/// acknowledgement that is not sent has no effect, and a campaign that does not start is repeated after a time-out.
const MAX_BLOCKED_ACTIONS: usize = 256;

/// The reason for a campaign (the campaign type of raft-rs).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CampaignKind {
    /// The election time-out passed and a quorum granted its pre-votes.
    Election,
    /// The leader sent `TimeoutNow`: voters grant their votes even while they have contact with that leader (thesis
    /// 3.10).
    LeadershipTransfer,
}

/// A write that is not known to be durable.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingWrite {
    pub id: WriteId,
    /// Time of the request, in milliseconds.
    pub requested_ms: u64,
    /// The term that is durable once the write is.
    pub term: u64,
    /// The newest state that is durable once the write is.
    pub position: LogPosition,
}

/// An action that is executed once a write is durable.
#[derive(Clone, Debug)]
pub(crate) enum PostSyncAction {
    Send(ReplicaId, ReplicaMessage),
    AppendResponse {
        to: ReplicaId,
        term: u64,
        sequence: u64,
        clock_reading: ClockReading,
    },
    /// Request votes in this term.
    Campaign {
        term: u64,
        kind: CampaignKind,
    },
}

impl PostSyncAction {
    /// Whether this response makes an earlier response to the same leader redundant.
    fn supersedes(&self, earlier: &PostSyncAction) -> bool {
        match (self, earlier) {
            (
                PostSyncAction::AppendResponse { to, term, sequence, .. },
                PostSyncAction::AppendResponse {
                    to: earlier_to,
                    term: earlier_term,
                    sequence: earlier_sequence,
                    ..
                },
            ) => (to, term) == (earlier_to, earlier_term) && sequence >= earlier_sequence,
            _ => false,
        }
    }
}

/// An action and the write on which it depends.
#[derive(Clone, Debug)]
pub(crate) struct BlockedAction {
    pub write_id: WriteId,
    pub action: PostSyncAction,
}

impl Replica {
    /// Writes only the hard state.
    pub(crate) fn persist_hard_state(&mut self, now: u64, out: &mut Vec<Output>) -> WriteId {
        self.persist(now, None, out)
    }

    /// Writes the hard state and the state together.
    pub(crate) fn persist_state(&mut self, now: u64, out: &mut Vec<Output>) -> WriteId {
        let state = Box::new(self.state.clone());
        self.persist(now, Some(state), out)
    }

    fn persist(&mut self, now: u64, state: Option<Box<State>>, out: &mut Vec<Output>) -> WriteId {
        let write_id = WriteId(self.next_write);
        self.next_write += 1;
        self.pending_writes.push_back(PendingWrite {
            id: write_id,
            requested_ms: now,
            term: self.hard_state.term,
            position: self.state.position,
        });
        out.push(Output::Persist { write_id, hard_state: self.hard_state, state });
        write_id
    }

    /// Queues an action until a write is durable. While a disk stalls, each heartbeat of a leader queues a response;
    /// only the newest response for each write is retained, since its sequence number also acknowledges the earlier
    /// heartbeats.
    pub(crate) fn after_sync(&mut self, write_id: WriteId, action: PostSyncAction) {
        self.blocked_actions
            .retain(|blocked| blocked.write_id != write_id || !action.supersedes(&blocked.action));
        if self.blocked_actions.len() >= MAX_BLOCKED_ACTIONS {
            self.blocked_actions.pop_front();
        }
        self.blocked_actions.push_back(BlockedAction { write_id, action });
    }

    pub(crate) fn handle_persisted(&mut self, now: u64, write_id: WriteId, out: &mut Vec<Output>) {
        while let Some(write) = self.pending_writes.front().copied().filter(|w| w.id <= write_id) {
            self.pending_writes.pop_front();
            self.durable_term = write.term;
            self.durable_position = write.position;
        }
        while self.blocked_actions.front().is_some_and(|blocked| blocked.write_id <= write_id) {
            let Some(blocked) = self.blocked_actions.pop_front() else { break };
            self.run_blocked_action(now, blocked.action, out);
        }
        self.advance(now, out);
    }

    fn run_blocked_action(&mut self, now: u64, action: PostSyncAction, out: &mut Vec<Output>) {
        match action {
            PostSyncAction::Send(to, message) => out.push(Output::Send(to, message)),
            PostSyncAction::AppendResponse { to, term, sequence, clock_reading } => {
                if term == self.hard_state.term {
                    self.send_append_response(to, term, sequence, clock_reading, out);
                }
            }
            PostSyncAction::Campaign { term, kind } => self.request_votes(now, term, kind, out),
        }
    }

    /// Whether the oldest write has been in flight for longer than `disk_stall_ms`.
    pub(crate) fn is_disk_stalled(&self, now: u64) -> bool {
        let oldest = self.pending_writes.front();
        oldest.is_some_and(|write| now > write.requested_ms + self.settings.disk_stall_ms)
    }
}

#[cfg(test)]
mod tests;
