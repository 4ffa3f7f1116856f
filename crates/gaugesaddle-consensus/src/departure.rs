//! Planned departure: a replica whose process is about to end leaves the group first.
//!
//! A voter that ends without leaving remains a voter until the leader removes it. Meanwhile it increases the size of
//! the majority, so that the loss of another voter may leave the group without one for good. A departing replica
//! therefore broadcasts `Leave` until the leader answers, and its process continues to vote and to acknowledge states
//! meanwhile:
//!
//! ```text
//!                 begin_departure             removal committed
//!  not departing -----------------> Pending -------------------> Left
//!                                    |   ^
//!     all voters respond, but none   |   |  a learner can take the place,
//!     can be spared or replaced      v   |  or another voter was lost
//!                                  Required
//! ```
//!
//! `Left` is final: the replica does not request to join again. A leader that departs transfers its leadership first.

use crate::membership::JOIN_INTERVAL_MS;
use crate::{Output, Replica, Role, Storage};
use gaugesaddle_protocol::{Departure, LogPosition, ReplicaId, ReplicaMessage};

/// Interval between the `Leave` broadcasts of a departing replica.
const LEAVE_INTERVAL_MS: u64 = 100;
/// Time after its election for which a leader may not know all learners yet.
pub(crate) const LEARNER_DISCOVERY_MS: u64 = 2 * JOIN_INTERVAL_MS;

/// The departure of this replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnDeparture {
    pub status: Departure,
    /// Time of the next `Leave` broadcast.
    pub broadcast_deadline: u64,
}

impl Replica {
    /// Starts to leave the group before a planned end of the process. A leader transfers its leadership as
    /// [`Replica::transfer_leadership`] does. The host continues to report inputs, and ends the process once
    /// [`Replica::departure`] is no longer [`Departure::Pending`], or when it cannot wait any longer.
    pub fn begin_departure(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.own_departure.is_some() {
            return;
        }
        let is_diskless = self.storage == Storage::Diskless;
        let status = if is_diskless { Departure::Left } else { Departure::Pending };
        self.own_departure = Some(OwnDeparture { status, broadcast_deadline: now });
        self.transfer_leadership(now, out);
        self.advance_departure(now, out);
    }

    /// The departure of this replica; `None` before [`Replica::begin_departure`].
    pub fn departure(&self) -> Option<Departure> {
        let own = self.own_departure?;
        // A replica outside the initial group that has received no state cannot have become a voter, and there may be
        // no leader to answer it.
        let has_received_state = self.state.position != LogPosition::default();
        let has_joined = has_received_state || self.is_voter();
        Some(if has_joined { own.status } else { Departure::Left })
    }

    /// Time of the next step of this replica's departure, in milliseconds; `None` if no step is due.
    pub(crate) fn departure_deadline(&self) -> Option<u64> {
        let own = self.own_departure.filter(|own| own.status != Departure::Left)?;
        Some(own.broadcast_deadline)
    }

    /// Broadcasts `Leave`, or, on a leader, transfers the leadership to a voter that does not depart.
    pub(crate) fn advance_departure(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.departure_deadline().is_none_or(|deadline| now < deadline) {
            return;
        }
        if let Some(own) = &mut self.own_departure {
            own.broadcast_deadline = now + LEAVE_INTERVAL_MS;
        }
        if self.role != Role::Leader {
            out.push(Output::Broadcast(ReplicaMessage::Leave { process: self.process }));
        } else if self.transfer_target().is_some() {
            self.transfer_leadership(now, out);
        } else {
            self.record_departure(self.departure_of(now, self.hard_state.id));
        }
    }

    /// Delays the next transfer of a departing replica that has become leader: it does not know yet which other voters
    /// depart, and would transfer the leadership to one of them.
    pub(crate) fn delay_departure(&mut self, now: u64) {
        if let Some(own) = &mut self.own_departure {
            own.broadcast_deadline = now + 2 * LEAVE_INTERVAL_MS;
        }
    }

    /// Handles the request of another replica to leave the group.
    pub(crate) fn handle_leave(&mut self, now: u64, from: ReplicaId, process: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        self.learners.remove(&from);
        if let Some(progress) = self.progress.get_mut(&from) {
            // A delayed message of a process that has ended does not concern the replica's present process.
            if progress.clock_reading.is_some_and(|reading| reading.process != process) {
                return;
            }
            progress.is_departing = true;
        }
        self.advance(now, out);
        let departure = self.departure_of(now, from);
        out.push(Output::Send(from, ReplicaMessage::LeaveResponse { process, departure }));
    }

    /// Handles the leader's answer; one to an earlier process of this machine is ignored.
    pub(crate) fn handle_leave_response(&mut self, process: u64, departure: Departure) {
        if process == self.process {
            self.record_departure(departure);
        }
    }

    fn record_departure(&mut self, departure: Departure) {
        // `Left` is final.
        if let Some(own) = self.own_departure.as_mut().filter(|own| own.status != Departure::Left) {
            own.status = departure;
        }
    }

    /// The departure of a replica that leaves. It is pending while a learner may take its place, and while another
    /// voter does not respond: the end of its process could take the majority from the group.
    fn departure_of(&self, now: u64, departing: ReplicaId) -> Departure {
        if !self.is_membership_committed() {
            return Departure::Pending;
        }
        if !self.state.voters.contains(&departing) {
            return Departure::Left;
        }
        let may_shrink = self.state.voters.len() > self.settings.min_voters;
        let may_have_successor = now < self.elected_ms + LEARNER_DISCOVERY_MS
            || self.learners.values().any(|learner| learner.durable);
        if may_shrink || may_have_successor || self.is_any_voter_lost(now) {
            Departure::Pending
        } else {
            Departure::Required
        }
    }

    /// Whether a voter does not respond although it has not announced its departure.
    fn is_any_voter_lost(&self, now: u64) -> bool {
        let timeout_ms = self.settings.replacement_timeout_ms;
        let is_lost =
            |voter: &ReplicaId| self.is_unresponsive(now, voter, timeout_ms) && !self.is_departing(voter);
        self.state.voters.iter().any(is_lost)
    }

    /// Whether a voter has requested to leave, as far as this leader knows.
    pub(crate) fn is_departing(&self, voter: &ReplicaId) -> bool {
        self.progress.get(voter).is_some_and(|progress| progress.is_departing)
    }
}

#[cfg(test)]
mod tests;
