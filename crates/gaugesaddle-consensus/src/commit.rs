//! Proposals and commitment on the leader.

use crate::proposal::QueuedProposal;
use crate::read_index::UnconfirmedAnswer;
use crate::settings::MAX_PENDING;
use crate::{history, Output, Proposal, ProposalResult, Replica, Role};
use gaugesaddle_protocol::{AcceptedChange, Configuration, LogPosition, State};

impl Replica {
    pub(crate) fn handle_propose(
        &mut self, now: u64, request: u64, proposal: Proposal, out: &mut Vec<Output>,
    ) {
        if self.role != Role::Leader || self.queued_proposals.len() >= MAX_PENDING {
            out.push(Output::Proposed(request, ProposalResult::Indeterminate));
            return;
        }
        self.queued_proposals.push_back(QueuedProposal { request, proposal });
        self.advance(now, out);
    }

    /// Commits the state if a quorum has it, answers the requests that waited for it, and starts the next change.
    pub(crate) fn advance(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        let newest = self.state.position;
        if self.committed != newest && self.is_on_quorum(newest) {
            self.commit(now, out);
        }
        self.release_confirmed(out);
        // Before the next proposal: a steady flow of proposals must not exclude a replica from the group.
        self.advance_membership(now, out);
        while self.committed == self.state.position && self.replicating_proposal.is_none() {
            let Some(QueuedProposal { request, proposal }) = self.queued_proposals.pop_front() else { break };
            self.evaluate(now, request, proposal, out);
        }
    }

    fn commit(&mut self, now: u64, out: &mut Vec<Output>) {
        self.committed = self.state.position;
        self.publish(out);
        if let Some(request) = self.replicating_proposal.take() {
            out.push(Output::Proposed(request, ProposalResult::Committed));
        }
        for request in std::mem::take(&mut self.reads_before_commit) {
            self.answer_once_confirmed(now, UnconfirmedAnswer::Read(request, self.published.clone()));
        }
        // Followers learn of the commitment at once, since the time until a change takes effect is limited.
        self.broadcast_heartbeat(now, out);
    }

    /// Whether a state is durable on a quorum. The position contains the leader's term, so that states of earlier terms are
    /// committed only together with one of this term (thesis 3.6.2).
    fn is_on_quorum(&self, position: LogPosition) -> bool {
        self.quorum().is_reached(|voter| {
            if *voter == self.hard_state.id {
                self.durable_position == position
            } else {
                self.progress.get(voter).is_some_and(|p| p.matched == position)
            }
        })
    }

    /// Makes the newest state's configuration the one that [`Replica::committed`] returns.
    pub(crate) fn publish(&mut self, out: &mut Vec<Output>) {
        if self.state.revision == 0 {
            return;
        }
        self.published = Some(Configuration {
            position: self.state.position,
            revision: self.state.revision,
            document: self.state.document.clone(),
        });
        out.push(Output::Committed);
    }

    /// Decides a proposal on top of a committed state.
    fn evaluate(&mut self, now: u64, request: u64, proposal: Proposal, out: &mut Vec<Output>) {
        let accepted = AcceptedChange { revision: proposal.revision, digest: proposal.digest };
        let current = self.state.revision;
        if self.state.accepted.contains(&accepted) {
            out.push(Output::Proposed(request, ProposalResult::Committed));
            return;
        }
        if (1..=self.state.pruned_revision).contains(&proposal.revision) {
            // Its record may have been dropped, and an accepted proposal is never rejected. Revision 0 never was accepted.
            out.push(Output::Proposed(request, ProposalResult::Indeterminate));
            return;
        }
        if proposal.base != current {
            let result = ProposalResult::Conflict { current };
            self.answer_once_confirmed(now, UnconfirmedAnswer::Proposal(request, result));
            return;
        }
        if proposal.revision <= current {
            let result = ProposalResult::StaleRevision { current };
            self.answer_once_confirmed(now, UnconfirmedAnswer::Proposal(request, result));
            return;
        }
        let revision = proposal.revision;
        let Some(document) = proposal.document_on(&self.state.document) else {
            // Computed from a document that is not, or no longer, in effect: the client sends the request again.
            out.push(Output::Proposed(request, ProposalResult::Indeterminate));
            return;
        };
        self.replicating_proposal = Some(request);
        let change = |state: &mut State| {
            state.revision = revision;
            state.document = document;
            state.accepted.push(accepted);
            let dropped = history::drop_oldest(&mut state.accepted);
            state.pruned_revision = state.pruned_revision.max(dropped.unwrap_or(0));
        };
        self.replace_state(now, change, out);
    }

    /// Answers every proposal that is queued or under replication after the leadership has ended.
    pub(crate) fn abandon_proposals(&mut self, out: &mut Vec<Output>) {
        let replicating = self.replicating_proposal.take();
        let queued = self.queued_proposals.drain(..).map(|queued| queued.request);
        for request in replicating.into_iter().chain(queued) {
            out.push(Output::Proposed(request, ProposalResult::Indeterminate));
        }
    }
}
