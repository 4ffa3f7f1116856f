//! Replication on the leader: heartbeats, state updates, and the followers' acknowledgements.

use crate::progress::{SentHeartbeat, SentState};
use crate::{Output, Replica, Role};
use gaugesaddle_protocol::{ClockReading, LogPosition, ReplicaId, ReplicaMessage, State, StateUpdate};

/// Number of sent heartbeats whose send time is retained: 7.7 s at the default interval, 17 times the lease.
const MAX_SENT_HEARTBEATS: usize = 64;
/// Minimum time after which the same state is resent to a receiver that has not reported it.
const RESEND_INTERVAL_MS: u64 = 400;
/// Document bytes that extend the resend interval by one millisecond. Otherwise a large state that is still in transit
/// over a slow link would be sent a second time, which delays all later messages on the link.
const RESEND_BYTES_PER_MS: u64 = 1000;

/// The fields of `ReplicaMessage::AppendResponse`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppendResponse {
    pub term: u64,
    pub sequence: u64,
    pub matched: LogPosition,
    pub received: LogPosition,
    pub clock_reading: ClockReading,
}

impl Replica {
    /// Applies a change to the state and gives the new state a position in this leader's term. The new state is
    /// persisted, and the heartbeat that sends it to the other replicas is due at once. The history retains the old
    /// state as a base for deltas.
    pub(crate) fn replace_state(&mut self, now: u64, change: impl FnOnce(&mut State), out: &mut Vec<Output>) {
        self.history.push(&self.state);
        change(&mut self.state);
        let index = self.state.position.index + 1;
        self.state.position = LogPosition { term: self.hard_state.term, index };
        self.persist_state(now, out);
        self.heartbeat_deadline = now;
    }

    pub(crate) fn broadcast_heartbeat(&mut self, now: u64, out: &mut Vec<Output>) {
        self.heartbeat_deadline = now + self.settings.heartbeat_interval_ms;
        self.heartbeat_sequence += 1;
        self.sent_heartbeats.push_back(SentHeartbeat { sequence: self.heartbeat_sequence, sent_ms: now });
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        let mut receivers = self.other_voters();
        receivers.extend(self.learners.keys().copied());
        for to in receivers {
            self.send_append(now, to, out);
        }
        self.advance(now, out);
    }

    fn send_append(&mut self, now: u64, to: ReplicaId, out: &mut Vec<Output>) {
        let echoed_reading = self.progress.entry(to).or_default().clock_reading;
        let state = self.state_update_for(now, to);
        let message = ReplicaMessage::Append {
            term: self.hard_state.term,
            sequence: self.heartbeat_sequence,
            last_position: self.state.position,
            committed: self.committed,
            state,
            echoed_reading,
        };
        out.push(Output::Send(to, message));
    }

    /// The update for a replica that has reported another state than the newest, unless the update is still in transit.
    /// No update is sent to a replica that has reported no state: it may have departed, and there is no base for a
    /// delta.
    fn state_update_for(&mut self, now: u64, to: ReplicaId) -> Option<Box<StateUpdate>> {
        let newest = self.state.position;
        let resend_after_ms = RESEND_INTERVAL_MS + self.state.document.len() as u64 / RESEND_BYTES_PER_MS;
        let progress = self.progress.entry(to).or_default();
        let received = progress.received.filter(|received| *received != newest)?;
        let sent_before = progress.sent.filter(|sent| sent.position == newest);
        if sent_before.is_some_and(|sent| now < sent.sent_ms + resend_after_ms) {
            return None;
        }
        progress.sent = Some(SentState { position: newest, sent_ms: now });
        // If a delta was lost or could not be applied, the full state is sent next.
        let base = if sent_before.is_some() { None } else { Some(received) };
        Some(Box::new(self.history.update(base, &self.state)))
    }

    pub(crate) fn handle_append_response(
        &mut self, now: u64, from: ReplicaId, response: AppendResponse, out: &mut Vec<Output>,
    ) {
        let AppendResponse { term, sequence, matched, received, clock_reading } = response;
        if term > self.hard_state.term {
            return self.enter_newer_term(now, term, out);
        }
        if self.role != Role::Leader || term < self.hard_state.term {
            return;
        }
        let sent_ms = self.sent_heartbeats.iter().find(|h| h.sequence == sequence).map(|h| h.sent_ms);
        let newest = self.state.position;
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.acknowledged_sequence = progress.acknowledged_sequence.max(sequence);
        progress.contact_ms = progress.contact_ms.max(sent_ms);
        let same_process = |reading: ClockReading| reading.process == clock_reading.process;
        if !progress.clock_reading.is_some_and(same_process) {
            // A restarted process has lost the state that the previous process had only in memory.
            progress.received = None;
            progress.sent = None;
            progress.is_departing = false;
        }
        progress.received = progress.received.max(Some(received));
        // A response that was delayed until a disk write completed may carry an older clock reading than its
        // predecessor.
        let has_newer =
            |reading: ClockReading| same_process(reading) && reading.time_ms >= clock_reading.time_ms;
        if !progress.clock_reading.is_some_and(has_newer) {
            progress.clock_reading = Some(clock_reading);
        }
        if matched.term == term && matched > progress.matched {
            progress.matched = matched;
        }
        let never_sent = progress.sent.is_none_or(|sent| sent.position != newest);
        if never_sent && progress.received != Some(newest) {
            self.send_append(now, from, out);
        }
        self.advance(now, out);
    }
}
