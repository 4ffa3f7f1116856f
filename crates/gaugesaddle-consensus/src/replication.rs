//! Replication on the leader: heartbeats, states, and the followers' acknowledgements.

use crate::progress::{SentHeartbeat, SentState};
use crate::{Output, Replica, Role};
use gaugesaddle_protocol::{ClockReading, LogPosition, ReplicaId, ReplicaMessage, State, StateUpdate};

/// Number of heartbeats whose time of sending is remembered: 7.7 s at the default interval, 17 times the lease.
const MAX_SENT_HEARTBEATS: usize = 64;
/// Least time before the same state is sent again to a receiver that has not reported it.
const RESEND_INTERVAL_MS: u64 = 400;
/// A large state gets one more millisecond for this many bytes. A copy that is still on its way over a slow link would
/// otherwise be followed by a second one, which delays everything behind it.
const RESEND_BYTES_PER_MS: u64 = 1000;

/// The fields of `AppendResponse`, without the message around them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppendResponse {
    pub term: u64,
    pub sequence: u64,
    pub matched: LogPosition,
    pub received: LogPosition,
    pub clock_reading: ClockReading,
}

impl Replica {
    /// Replaces the state by a changed one in this leader's term: it is persisted here, and a heartbeat that sends it
    /// to the others is due at once. The history retains the old one as a base for deltas.
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

    /// The state for a replica that has reported another one, unless it is still on its way there. A replica that has
    /// reported nothing gets none: it may have departed, and there is no base for a delta.
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
        // A delta that did not arrive, or could not be applied, is followed by the full state.
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
            // A restarted process has lost what its predecessor had only in memory.
            progress.received = None;
            progress.sent = None;
        }
        progress.received = progress.received.max(Some(received));
        // Responses of one process come in order, except for those that waited for its disk.
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
