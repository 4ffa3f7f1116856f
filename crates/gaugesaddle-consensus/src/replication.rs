//! Replication of states, commitment, proposals and current reads.

use crate::pending::{AfterWrite, Confirmed, Confirming};
use crate::replica::NotLeading;
use crate::settings::{MOST_ACCEPTED, MOST_PENDING};
use crate::{Output, Proposal, ProposalResult, Replica, Role};
use gaugesaddle_protocol::{Accepted, Configuration, ReplicaId, ReplicaMessage, Stamp, State};

/// Heartbeats whose time of sending is remembered.
const MOST_ROUNDS: usize = 64;
/// A state that was sent is not sent again for so long, in milliseconds, unless the receiver says it lacks it.
const RESEND: u64 = 400;

impl Replica {
    /// Puts the present state into this leader's term, on this disk and on its way to the others.
    pub(crate) fn write_state(&mut self, now: u64, out: &mut Vec<Output>) {
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
        let at = self.state.stamp;
        let progress = self.peers.entry(to).or_default();
        let sent_lately = progress.sent.is_some_and(|(stamp, when)| stamp == at && now < when + RESEND);
        let lacks = progress.matched != at && !sent_lately;
        if lacks {
            progress.sent = Some((at, now));
        }
        let state = lacks.then(|| Box::new(self.state.clone()));
        let (term, round, committed) = (self.ballot.term, self.round, self.committed);
        out.push(Output::Send(to, ReplicaMessage::Append { term, round, at, committed, state }));
    }

    pub(crate) fn append(
        &mut self, now: u64, from: ReplicaId, (term, round): (u64, u64), (at, committed): (Stamp, Stamp),
        state: Option<Box<State>>, out: &mut Vec<Output>,
    ) {
        if term < self.ballot.term {
            let (term, matched) = (self.ballot.term, Stamp::default());
            out.push(Output::Send(from, ReplicaMessage::AppendReply { term, round, matched }));
            return;
        }
        if term > self.ballot.term {
            self.observe_term(now, term, out);
        }
        if self.role != Role::Follower {
            self.step_down(now, Some(from), out);
        }
        self.leader = Some(from);
        self.heard = Some(now);
        self.set_election_time(now);
        if let Some(state) = state.filter(|s| s.stamp > self.state.stamp && s.stamp == at) {
            self.state = *state;
            let ticket = self.persist(now, true, out);
            self.after.push_back((ticket, AfterWrite::AppendReply { to: from, term, round }));
        }
        self.learn_commit(committed, out);
        if self.durable_term == term {
            let matched = self.matched_in(term);
            out.push(Output::Send(from, ReplicaMessage::AppendReply { term, round, matched }));
        } else if let Some((ticket, ..)) = self.writes.back().copied() {
            self.after.push_back((ticket, AfterWrite::AppendReply { to: from, term, round }));
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

    pub(crate) fn append_reply(
        &mut self, now: u64, from: ReplicaId, term: u64, round: u64, matched: Stamp, out: &mut Vec<Output>,
    ) {
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
        if matched.term == term && matched > progress.matched {
            progress.matched = matched;
        }
        let never_sent = progress.matched != at && progress.sent.is_none_or(|(stamp, _)| stamp != at);
        if never_sent {
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
        while self.committed == self.state.stamp && self.proposing.is_none() {
            let Some((id, proposal)) = self.proposals.pop_front() else { break };
            self.consider(now, id, proposal, out);
        }
    }

    fn on_majority(&self, at: Stamp) -> bool {
        let has = |v: &&ReplicaId| {
            if **v == self.ballot.me {
                self.durable == at
            } else {
                self.peers.get(v).is_some_and(|p| p.matched == at)
            }
        };
        self.state.voters.iter().filter(has).count() >= self.majority()
    }

    /// Holds an answer until a majority has answered a heartbeat sent after now.
    fn confirm(&mut self, now: u64, answer: Confirmed) {
        self.confirming.push(Confirming { round: self.round + 1, answer });
        self.heartbeat_at = self.heartbeat_at.min(now);
    }

    fn answer_confirmed(&mut self, out: &mut Vec<Output>) {
        let mut rounds: Vec<u64> = self.state.voters.iter().map(|v| self.answered(v)).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = rounds.get(self.majority() - 1).copied().unwrap_or(0);
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
        } else if proposal.base != current {
            self.confirm(now, Confirmed::Proposal(id, ProposalResult::Conflict { current }));
        } else if proposal.revision <= current {
            self.confirm(now, Confirmed::Proposal(id, ProposalResult::NotAbove { current }));
        } else {
            self.state.revision = proposal.revision;
            self.state.document = proposal.document;
            self.state.accepted.push(accepted);
            let surplus = self.state.accepted.len().saturating_sub(MOST_ACCEPTED);
            self.state.accepted.drain(..surplus);
            self.proposing = Some(id);
            self.write_state(now, out);
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
