//! Replication of states, commitment, proposals and current reads.

use crate::pending::{AfterWrite, Confirmed, Confirming};
use crate::replica::{Answer, Heartbeat, NotLeading};
use crate::settings::MOST_PENDING;
use crate::{update, Output, Proposal, ProposalResult, Replica, Role};
use gaugesaddle_protocol::{
    Accepted, Configuration, Mark, ReplicaId, ReplicaMessage, Stamp, State, StateUpdate,
};

/// Heartbeats whose time of sending is remembered.
const MOST_ROUNDS: usize = 64;
/// A state that was sent is not sent again for so long, in milliseconds, unless the receiver says it lacks it.
const RESEND: u64 = 400;
/// A large state has a millisecond more for so many bytes: what is still on its way over a slow link is not sent again
/// behind itself, where it would hold up all that follows.
const BYTES_FOR_MILLISECOND: u64 = 1000;

impl Replica {
    /// Replaces the state by a changed one in this leader's term, on this disk and on its way to the others. The history
    /// keeps the old one, so that the new one can be told against it.
    pub(crate) fn replace_state(&mut self, now: u64, change: impl FnOnce(&mut State), out: &mut Vec<Output>) {
        self.history.keep(&self.state);
        change(&mut self.state);
        self.state.stamp = Stamp { term: self.ballot.term, index: self.state.stamp.index + 1 };
        self.persist(now, true, out);
        self.heartbeat_at = now;
    }

    pub(crate) fn heartbeat(&mut self, now: u64, out: &mut Vec<Output>) {
        self.heartbeat_at = now + self.settings.heartbeat;
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MOST_ROUNDS {
            self.rounds.pop_front();
        }
        let receivers: Vec<ReplicaId> =
            self.others().into_iter().chain(self.learners.keys().copied()).collect();
        for to in receivers {
            self.send_append(now, to, out);
        }
        self.advance(now, out);
    }

    fn send_append(&mut self, now: u64, to: ReplicaId, out: &mut Vec<Output>) {
        let echo = self.peers.entry(to).or_default().mark;
        let state = self.state_for(now, to);
        let (term, round, at, committed) = (self.ballot.term, self.round, self.state.stamp, self.committed);
        out.push(Output::Send(to, ReplicaMessage::Append { term, round, at, committed, state, echo }));
    }

    /// The state for a replica that has said that it has another one, unless it is on its way. One that has said nothing
    /// gets none: it may be gone, and nothing can be told against what it has.
    fn state_for(&mut self, now: u64, to: ReplicaId) -> Option<Box<StateUpdate>> {
        let at = self.state.stamp;
        let resend = RESEND + self.state.document.len() as u64 / BYTES_FOR_MILLISECOND;
        let progress = self.peers.entry(to).or_default();
        let held = progress.held.filter(|held| *held != at)?;
        let sent = progress.sent.filter(|(stamp, _)| *stamp == at).map(|(_, when)| when);
        if sent.is_some_and(|when| now < when + resend) {
            return None;
        }
        progress.sent = Some((at, now));
        // What did not arrive, or could not be used, is told whole.
        let base = Some(held).filter(|_| sent.is_none());
        Some(Box::new(self.history.update(base, &self.state)))
    }

    pub(crate) fn append(
        &mut self, now: u64, from: ReplicaId, heartbeat: Heartbeat, state: Option<Box<StateUpdate>>,
        out: &mut Vec<Output>,
    ) {
        let Heartbeat { term, round, at, committed, echo } = heartbeat;
        let mark = self.mark(now);
        if term < self.ballot.term {
            self.answer_append(from, (self.ballot.term, round), mark, out);
            return;
        }
        if term > self.ballot.term {
            self.observe_term(now, term, out);
        }
        if self.role != Role::Follower {
            self.step_down(now, Some(from), out);
        }
        if self.leader != Some(from) {
            self.leader = Some(from);
            self.current_at = None;
        }
        self.heard = Some(now);
        self.set_election_time(now);
        self.note_current(now, committed, echo);
        let newer = state.filter(|s| s.stamp > self.state.stamp && s.stamp == at);
        if let Some(state) = newer.and_then(|update| update::apply(&self.state, *update)) {
            self.state = state;
            let ticket = self.persist(now, true, out);
            self.after.push_back((ticket, AfterWrite::AppendReply { to: from, term, round, mark }));
        }
        self.learn_commit(committed, out);
        if self.durable_term == term {
            self.answer_append(from, (term, round), mark, out);
        } else if let Some((ticket, ..)) = self.writes.back().copied() {
            self.after.push_back((ticket, AfterWrite::AppendReply { to: from, term, round, mark }));
        }
    }

    pub(crate) fn answer_append(
        &mut self, to: ReplicaId, (term, round): (u64, u64), mark: Mark, out: &mut Vec<Output>,
    ) {
        let (matched, held) = (self.matched_in(term), self.state.stamp);
        out.push(Output::Send(to, ReplicaMessage::AppendReply { term, round, matched, held, mark }));
    }

    /// Notes what the leader says of how current it is: what it says was said after the mark that it sends back.
    fn note_current(&mut self, now: u64, committed: Stamp, echo: Option<Mark>) {
        self.told_committed = self.told_committed.max(committed);
        if let Some(mark) = echo.filter(|m| m.process == self.process && m.at <= now) {
            self.current_at = self.current_at.max(Some(mark.at));
        }
    }

    /// The newest state on this disk, where it is of a term; else none.
    pub(crate) fn matched_in(&self, term: u64) -> Stamp {
        if self.durable.term == term {
            self.durable
        } else {
            Stamp::default()
        }
    }

    /// A follower's news of what a majority has on disk.
    fn learn_commit(&mut self, committed: Stamp, out: &mut Vec<Output>) {
        if committed == self.state.stamp && committed > self.committed {
            self.committed = committed;
            self.publish(out);
        }
    }

    fn publish(&mut self, out: &mut Vec<Output>) {
        if self.state.revision == 0 {
            return;
        }
        self.published = Some(Configuration {
            stamp: self.state.stamp,
            revision: self.state.revision,
            document: self.state.document.clone(),
        });
        out.push(Output::Committed);
    }

    pub(crate) fn append_reply(&mut self, now: u64, from: ReplicaId, answer: Answer, out: &mut Vec<Output>) {
        let Answer { term, round, matched, held, mark } = answer;
        if term > self.ballot.term {
            return self.observe_term(now, term, out);
        }
        if self.role != Role::Leader || term < self.ballot.term {
            return;
        }
        let sent = self.rounds.iter().find(|(r, _)| *r == round).map(|(_, at)| *at);
        let at = self.state.stamp;
        let Some(progress) = self.peers.get_mut(&from) else { return };
        progress.round = progress.round.max(round);
        progress.contact = progress.contact.max(sent);
        if progress.mark.is_none_or(|m| m.process != mark.process) {
            // What another process there held in its memory is gone.
            (progress.held, progress.sent) = (None, None);
        }
        progress.held = progress.held.max(Some(held));
        // Answers of one process come in order, but for those that waited for its disk.
        if progress.mark.is_none_or(|m| m.process != mark.process || m.at < mark.at) {
            progress.mark = Some(mark);
        }
        if matched.term == term && matched > progress.matched {
            progress.matched = matched;
        }
        let never_sent = progress.sent.is_none_or(|(stamp, _)| stamp != at);
        if never_sent && progress.held != Some(at) {
            self.send_append(now, from, out);
        }
        self.advance(now, out);
    }

    /// Commits what a majority has, answers what waited for it, and goes on to the next proposal.
    pub(crate) fn advance(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        let at = self.state.stamp;
        if self.committed != at && self.on_majority(at) {
            self.committed = at;
            self.publish(out);
            if let Some(id) = self.proposing.take() {
                out.push(Output::Proposed(id, ProposalResult::Taken));
            }
            for id in std::mem::take(&mut self.early) {
                self.confirm(now, Confirmed::Read(id, self.published.clone()));
            }
            // The others learn it at once: a change has a time to be in force.
            self.heartbeat(now, out);
        }
        self.answer_confirmed(out);
        // Orders that never stop coming must not keep a replica out.
        self.change_membership(now, out);
        while self.committed == self.state.stamp && self.proposing.is_none() {
            let Some((id, proposal)) = self.proposals.pop_front() else { break };
            self.consider(now, id, proposal, out);
        }
    }

    fn on_majority(&self, at: Stamp) -> bool {
        self.quorum().is_reached(|v| {
            if *v == self.ballot.me {
                self.durable == at
            } else {
                self.peers.get(v).is_some_and(|p| p.matched == at)
            }
        })
    }

    /// Holds an answer until a majority has answered a heartbeat sent after now.
    fn confirm(&mut self, now: u64, answer: Confirmed) {
        self.confirming.push(Confirming { round: self.round + 1, answer });
        self.heartbeat_at = self.heartbeat_at.min(now);
    }

    fn answer_confirmed(&mut self, out: &mut Vec<Output>) {
        let confirmed = self.quorum().reaches(|v| self.answered(v));
        let (ready, waiting): (Vec<Confirming>, Vec<Confirming>) =
            self.confirming.drain(..).partition(|c| c.round <= confirmed);
        self.confirming = waiting;
        for Confirming { answer, .. } in ready {
            out.push(match answer {
                Confirmed::Read(id, configuration) => Output::Read(id, Ok(configuration)),
                Confirmed::Proposal(id, result) => Output::Proposed(id, result),
            });
        }
    }

    fn answered(&self, voter: &ReplicaId) -> u64 {
        if *voter == self.ballot.me {
            self.round
        } else {
            self.peers.get(voter).map_or(0, |p| p.round)
        }
    }

    pub(crate) fn propose(&mut self, now: u64, id: u64, proposal: Proposal, out: &mut Vec<Output>) {
        if self.role != Role::Leader || self.proposals.len() >= MOST_PENDING {
            out.push(Output::Proposed(id, ProposalResult::Unclear));
            return;
        }
        self.proposals.push_back((id, proposal));
        self.advance(now, out);
    }

    /// Decides a proposal on top of a committed state.
    fn consider(&mut self, now: u64, id: u64, proposal: Proposal, out: &mut Vec<Output>) {
        let accepted = Accepted { revision: proposal.revision, digest: proposal.digest };
        let current = self.state.revision;
        if self.state.accepted.contains(&accepted) {
            out.push(Output::Proposed(id, ProposalResult::Taken));
        } else if (1..=self.state.forgotten).contains(&proposal.revision) {
            // It may have been accepted: an order that was is never refused. Revision 0 never was.
            out.push(Output::Proposed(id, ProposalResult::Unclear));
        } else if proposal.base != current {
            self.confirm(now, Confirmed::Proposal(id, ProposalResult::Conflict { current }));
        } else if proposal.revision <= current {
            self.confirm(now, Confirmed::Proposal(id, ProposalResult::NotAbove { current }));
        } else {
            let revision = proposal.revision;
            let Some(document) = proposal.document_on(&self.state.document) else {
                // Made out of a document that is no longer, or not yet, the one in force: its caller asks again.
                out.push(Output::Proposed(id, ProposalResult::Unclear));
                return;
            };
            self.proposing = Some(id);
            let change = |state: &mut State| {
                state.revision = revision;
                state.document = document;
                state.accepted.push(accepted);
                let dropped = update::drop_oldest(&mut state.accepted);
                state.forgotten = state.forgotten.max(dropped.unwrap_or(0));
            };
            self.replace_state(now, change, out);
        }
    }

    pub(crate) fn read(&mut self, now: u64, id: u64, out: &mut Vec<Output>) {
        let full = self.confirming.len() + self.early.len() >= MOST_PENDING;
        if self.role != Role::Leader || full {
            out.push(Output::Read(id, Err(NotLeading)));
        } else if self.committed.term != self.ballot.term {
            self.early.push(id);
        } else {
            self.confirm(now, Confirmed::Read(id, self.published.clone()));
        }
    }
}
