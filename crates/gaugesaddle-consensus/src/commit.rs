//! Evaluation of proposals and commitment on the leader.

use crate::proposal::QueuedProposal;
use crate::read_index::UnconfirmedAnswer;
use crate::settings::MAX_PENDING;
use crate::{history, Output, Proposal, ProposalResult, Replica, Role};
use gaugesaddle_protocol::{AcceptedChange, Configuration, LogPosition, State};

impl Replica {
    pub(crate) fn handle_propose(
        &mut self, now: u64, request: u64, proposal: Proposal, out: &mut Vec<Output>,
    ) {
        let is_full = self.queued_proposals.len() >= MAX_PENDING;
        if self.role != Role::Leader || is_full || self.witness_index().is_some() {
            out.push(Output::Proposed(request, ProposalResult::Indeterminate));
            return;
        }
        self.queued_proposals.push_back(QueuedProposal { request, proposal });
        self.advance(now, out);
    }

    /// Commits the newest state if it is durable on a quorum, answers the requests that depend on it, and starts the
    /// next change.
    pub(crate) fn advance(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        let newest = self.state.position;
        if self.committed != newest && self.is_on_quorum(newest) {
            self.commit(now, out);
        }
        self.release_confirmed(out);
        // Membership changes precede the next proposal, so that a steady flow of proposals cannot starve them.
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
        for request in std::mem::take(&mut self.reads_awaiting_commit) {
            self.answer_once_confirmed(now, UnconfirmedAnswer::Read(request, self.published.clone()));
        }
        // The commitment is sent to the followers at once, not with the next periodic heartbeat, since the time until a
        // change takes effect is bounded.
        self.broadcast_heartbeat(now, out);
    }

    /// Whether a state is durable on a quorum. The position contains the leader's term, so that a state of an earlier
    /// term is committed only together with one of this term (thesis 3.6.2).
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

    /// Accepts or rejects a proposal on top of the committed state.
    fn evaluate(&mut self, now: u64, request: u64, proposal: Proposal, out: &mut Vec<Output>) {
        let accepted = AcceptedChange { revision: proposal.revision, digest: proposal.digest };
        let current = self.state.revision;
        if self.state.accepted.contains(&accepted) {
            out.push(Output::Proposed(request, ProposalResult::Committed));
            return;
        }
        if (1..=self.state.pruned_revision).contains(&proposal.revision) {
            // The proposal may have been accepted and its record dropped, and an accepted proposal must never be
            // rejected. Revision 0 is never accepted.
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
        let Some(document) = proposal.resulting_document(&self.state.document) else {
            // The patch was applied to a document other than the current one: the client is expected to repeat the
            // request.
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

    /// Answers all queued and replicating proposals as indeterminate after the leadership has ended.
    pub(crate) fn abandon_proposals(&mut self, out: &mut Vec<Output>) {
        let replicating = self.replicating_proposal.take();
        let queued = self.queued_proposals.drain(..).map(|queued| queued.request);
        for request in replicating.into_iter().chain(queued) {
            out.push(Output::Proposed(request, ProposalResult::Indeterminate));
        }
    }
}
