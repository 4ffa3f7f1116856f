//! Replication of states, commitment, proposals and current reads.

use crate::pending::{Confirmed, Confirming, PendingOnSync};
use crate::replica::{Answer, Heartbeat, NotLeader};
use crate::settings::MAX_PENDING;
use crate::{update, Output, Proposal, ProposalResult, Replica, Role};
use gaugesaddle_protocol::{
    Accepted, ClockReading, Configuration, LogPosition, ReplicaId, ReplicaMessage, State, StateUpdate,
};

/// Heartbeats whose time of sending is remembered.
const MAX_ROUNDS: usize = 64;
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
        self.state.position =
            LogPosition { term: self.hard_state.term, index: self.state.position.index + 1 };
        self.persist(now, true, out);
        self.heartbeat_at = now;
    }

    pub(crate) fn heartbeat(&mut self, now: u64, out: &mut Vec<Output>) {
        self.heartbeat_at = now + self.settings.heartbeat_interval_ms;
        self.sequence += 1;
        self.heartbeats.push_back((self.sequence, now));
        if self.heartbeats.len() > MAX_ROUNDS {
            self.heartbeats.pop_front();
        }
        let receivers: Vec<ReplicaId> =
            self.others().into_iter().chain(self.learners.keys().copied()).collect();
        for to in receivers {
            self.send_append(now, to, out);
        }
        self.advance(now, out);
    }

    fn send_append(&mut self, now: u64, to: ReplicaId, out: &mut Vec<Output>) {
        let echoed_reading = self.peers.entry(to).or_default().clock_reading;
        let state = self.state_for(now, to);
        let (term, sequence, last_position, committed) =
            (self.hard_state.term, self.sequence, self.state.position, self.committed);
        out.push(Output::Send(
            to,
            ReplicaMessage::Append { term, sequence, last_position, committed, state, echoed_reading },
        ));
    }

    /// The state for a replica that has said that it has another one, unless it is on its way. One that has said nothing
    /// gets none: it may be gone, and nothing can be told against what it has.
    fn state_for(&mut self, now: u64, to: ReplicaId) -> Option<Box<StateUpdate>> {
        let at = self.state.position;
        let resend = RESEND + self.state.document.len() as u64 / BYTES_FOR_MILLISECOND;
        let progress = self.peers.entry(to).or_default();
        let received = progress.received.filter(|received| *received != at)?;
        let sent = progress.sent.filter(|(position, _)| *position == at).map(|(_, when)| when);
        if sent.is_some_and(|when| now < when + resend) {
            return None;
        }
        progress.sent = Some((at, now));
        // What did not arrive, or could not be used, is told whole.
        let base = Some(received).filter(|_| sent.is_none());
        Some(Box::new(self.history.update(base, &self.state)))
    }

    pub(crate) fn append(
        &mut self, now: u64, from: ReplicaId, heartbeat: Heartbeat, state: Option<Box<StateUpdate>>,
        out: &mut Vec<Output>,
    ) {
        let Heartbeat { term, sequence, last_position, committed, echoed_reading } = heartbeat;
        let clock_reading = self.clock_reading(now);
        if term < self.hard_state.term {
            self.answer_append(from, (self.hard_state.term, sequence), clock_reading, out);
            return;
        }
        if term > self.hard_state.term {
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
        self.note_current(now, committed, echoed_reading);
        let newer = state.filter(|s| s.position > self.state.position && s.position == last_position);
        if let Some(state) = newer.and_then(|update| update::apply(&self.state, *update)) {
            self.state = state;
            let write_id = self.persist(now, true, out);
            self.after.push_back((
                write_id,
                PendingOnSync::AppendResponse { to: from, term, sequence, clock_reading },
            ));
        }
        self.learn_commit(committed, out);
        if self.durable_term == term {
            self.answer_append(from, (term, sequence), clock_reading, out);
        } else if let Some((write_id, ..)) = self.writes.back().copied() {
            self.after.push_back((
                write_id,
                PendingOnSync::AppendResponse { to: from, term, sequence, clock_reading },
            ));
        }
    }

    pub(crate) fn answer_append(
        &mut self, to: ReplicaId, (term, sequence): (u64, u64), clock_reading: ClockReading,
        out: &mut Vec<Output>,
    ) {
        let (matched, received) = (self.matched_in(term), self.state.position);
        out.push(Output::Send(
            to,
            ReplicaMessage::AppendResponse { term, sequence, matched, received, clock_reading },
        ));
    }

    /// Notes what the leader says of how current it is: what it says was said after the mark that it sends back.
    fn note_current(&mut self, now: u64, committed: LogPosition, echoed_reading: Option<ClockReading>) {
        self.told_committed = self.told_committed.max(committed);
        if let Some(clock_reading) = echoed_reading.filter(|m| m.process == self.process && m.time_ms <= now)
        {
            self.current_at = self.current_at.max(Some(clock_reading.time_ms));
        }
    }

    /// The newest state on this disk, where it is of a term; else none.
    pub(crate) fn matched_in(&self, term: u64) -> LogPosition {
        if self.durable.term == term {
            self.durable
        } else {
            LogPosition::default()
        }
    }

    /// A follower's news of what a majority has on disk.
    fn learn_commit(&mut self, committed: LogPosition, out: &mut Vec<Output>) {
        if committed == self.state.position && committed > self.committed {
            self.committed = committed;
            self.publish(out);
        }
    }

    fn publish(&mut self, out: &mut Vec<Output>) {
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

    pub(crate) fn append_reply(&mut self, now: u64, from: ReplicaId, answer: Answer, out: &mut Vec<Output>) {
        let Answer { term, sequence, matched, received, clock_reading } = answer;
        if term > self.hard_state.term {
            return self.observe_term(now, term, out);
        }
        if self.role != Role::Leader || term < self.hard_state.term {
            return;
        }
        let sent = self.heartbeats.iter().find(|(r, _)| *r == sequence).map(|(_, at)| *at);
        let at = self.state.position;
        let Some(progress) = self.peers.get_mut(&from) else { return };
        progress.sequence = progress.sequence.max(sequence);
        progress.contact = progress.contact.max(sent);
        if progress.clock_reading.is_none_or(|m| m.process != clock_reading.process) {
            // What another process there held in its memory is gone.
            (progress.received, progress.sent) = (None, None);
        }
        progress.received = progress.received.max(Some(received));
        // Answers of one process come in order, but for those that waited for its disk.
        if progress
            .clock_reading
            .is_none_or(|m| m.process != clock_reading.process || m.time_ms < clock_reading.time_ms)
        {
            progress.clock_reading = Some(clock_reading);
        }
        if matched.term == term && matched > progress.matched {
            progress.matched = matched;
        }
        let never_sent = progress.sent.is_none_or(|(position, _)| position != at);
        if never_sent && progress.received != Some(at) {
            self.send_append(now, from, out);
        }
        self.advance(now, out);
    }

    /// Commits what a majority has, answers what waited for it, and goes on to the next proposal.
    pub(crate) fn advance(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        let at = self.state.position;
        if self.committed != at && self.on_majority(at) {
            self.committed = at;
            self.publish(out);
            if let Some(id) = self.proposing.take() {
                out.push(Output::Proposed(id, ProposalResult::Committed));
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
        while self.committed == self.state.position && self.proposing.is_none() {
            let Some((id, proposal)) = self.proposals.pop_front() else { break };
            self.consider(now, id, proposal, out);
        }
    }

    fn on_majority(&self, at: LogPosition) -> bool {
        self.quorum().is_reached(|v| {
            if *v == self.hard_state.id {
                self.durable == at
            } else {
                self.peers.get(v).is_some_and(|p| p.matched == at)
            }
        })
    }

    /// Holds an answer until a majority has answered a heartbeat sent after now.
    fn confirm(&mut self, now: u64, answer: Confirmed) {
        self.confirming.push(Confirming { sequence: self.sequence + 1, answer });
        self.heartbeat_at = self.heartbeat_at.min(now);
    }

    fn answer_confirmed(&mut self, out: &mut Vec<Output>) {
        let confirmed = self.quorum().reaches(|v| self.answered(v));
        let (ready, waiting): (Vec<Confirming>, Vec<Confirming>) =
            self.confirming.drain(..).partition(|c| c.sequence <= confirmed);
        self.confirming = waiting;
        for Confirming { answer, .. } in ready {
            out.push(match answer {
                Confirmed::Read(id, configuration) => Output::Read(id, Ok(configuration)),
                Confirmed::Proposal(id, result) => Output::Proposed(id, result),
            });
        }
    }

    fn answered(&self, voter: &ReplicaId) -> u64 {
        if *voter == self.hard_state.id {
            self.sequence
        } else {
            self.peers.get(voter).map_or(0, |p| p.sequence)
        }
    }

    pub(crate) fn propose(&mut self, now: u64, id: u64, proposal: Proposal, out: &mut Vec<Output>) {
        if self.role != Role::Leader || self.proposals.len() >= MAX_PENDING {
            out.push(Output::Proposed(id, ProposalResult::Indeterminate));
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
            out.push(Output::Proposed(id, ProposalResult::Committed));
        } else if (1..=self.state.forgotten).contains(&proposal.revision) {
            // It may have been accepted: an order that was is never refused. Revision 0 never was.
            out.push(Output::Proposed(id, ProposalResult::Indeterminate));
        } else if proposal.base != current {
            self.confirm(now, Confirmed::Proposal(id, ProposalResult::Conflict { current }));
        } else if proposal.revision <= current {
            self.confirm(now, Confirmed::Proposal(id, ProposalResult::StaleRevision { current }));
        } else {
            let revision = proposal.revision;
            let Some(document) = proposal.document_on(&self.state.document) else {
                // Made out of a document that is no longer, or not yet, the one in force: its caller asks again.
                out.push(Output::Proposed(id, ProposalResult::Indeterminate));
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
        let full = self.confirming.len() + self.early.len() >= MAX_PENDING;
        if self.role != Role::Leader || full {
            out.push(Output::Read(id, Err(NotLeader)));
        } else if self.committed.term != self.hard_state.term {
            self.early.push(id);
        } else {
            self.confirm(now, Confirmed::Read(id, self.published.clone()));
        }
    }
}
