//! Linearizable reads and rejections: an answer is released once a quorum has confirmed the leadership (thesis 6.4).
//!
//! A deposed leader that has not received a message of the newer term would answer from a stale state. Each such answer
//! is therefore delayed until a quorum has acknowledged a heartbeat that was sent after the request.

use crate::settings::MAX_PENDING;
use crate::{NotLeader, Output, ProposalResult, Replica, Role};
use gaugesaddle_protocol::{Configuration, ReplicaId};

/// An answer that is valid only if this replica was still the leader when the request arrived.
#[derive(Clone, Debug)]
pub(crate) enum UnconfirmedAnswer {
    Read(u64, Option<Configuration>),
    Proposal(u64, ProposalResult),
}

/// An answer and the heartbeat that a quorum must acknowledge before the answer is released.
#[derive(Clone, Debug)]
pub(crate) struct PendingConfirmation {
    pub sequence: u64,
    pub answer: UnconfirmedAnswer,
}

impl Replica {
    pub(crate) fn handle_read(&mut self, now: u64, request: u64, out: &mut Vec<Output>) {
        let pending = self.pending_confirmations.len() + self.reads_awaiting_commit.len();
        if self.role != Role::Leader || pending >= MAX_PENDING {
            out.push(Output::Read(request, Err(NotLeader)));
        } else if self.committed.term != self.hard_state.term {
            // The committed position of a new leader is current only once a state of its own term is committed (thesis
            // 6.4, step 1).
            self.reads_awaiting_commit.push(request);
        } else {
            self.answer_once_confirmed(now, UnconfirmedAnswer::Read(request, self.published.clone()));
        }
    }

    /// Delays an answer until a quorum has acknowledged a heartbeat sent after `now`; that heartbeat is due at once.
    pub(crate) fn answer_once_confirmed(&mut self, now: u64, answer: UnconfirmedAnswer) {
        let sequence = self.heartbeat_sequence + 1;
        self.pending_confirmations.push(PendingConfirmation { sequence, answer });
        self.heartbeat_deadline = self.heartbeat_deadline.min(now);
    }

    /// Releases the answers whose heartbeat a quorum has acknowledged.
    pub(crate) fn release_confirmed(&mut self, out: &mut Vec<Output>) {
        let confirmed = self.quorum().highest_reached(|voter| self.acknowledged_sequence(voter));
        let (ready, waiting): (Vec<_>, Vec<_>) =
            self.pending_confirmations.drain(..).partition(|pending| pending.sequence <= confirmed);
        self.pending_confirmations = waiting;
        for pending in ready {
            out.push(match pending.answer {
                UnconfirmedAnswer::Read(request, configuration) => Output::Read(request, Ok(configuration)),
                UnconfirmedAnswer::Proposal(request, result) => Output::Proposed(request, result),
            });
        }
    }

    /// Answers all delayed requests after the leadership has ended: reads with [`NotLeader`], proposals as
    /// indeterminate.
    pub(crate) fn abandon_confirmations(&mut self, out: &mut Vec<Output>) {
        for pending in self.pending_confirmations.drain(..) {
            out.push(match pending.answer {
                UnconfirmedAnswer::Read(request, _) => Output::Read(request, Err(NotLeader)),
                UnconfirmedAnswer::Proposal(request, _) => {
                    Output::Proposed(request, ProposalResult::Indeterminate)
                }
            });
        }
        for request in self.reads_awaiting_commit.drain(..) {
            out.push(Output::Read(request, Err(NotLeader)));
        }
    }

    /// The newest heartbeat that a voter has acknowledged; for the leader itself, the newest that it has sent.
    fn acknowledged_sequence(&self, voter: &ReplicaId) -> u64 {
        if *voter == self.hard_state.id {
            self.heartbeat_sequence
        } else {
            self.progress.get(voter).map_or(0, |p| p.acknowledged_sequence)
        }
    }
}
