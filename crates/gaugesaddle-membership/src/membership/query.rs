//! Queries of the host.

use super::Membership;
use crate::counters::Counters;
use crate::member::MemberView;
use crate::member_state::{Boot, LocalMember, MemberState};
use crate::records::Record;
use crate::view::View;
use gaugesaddle_balancer::Time;

impl Membership {
    /// This process's identity, as the other members know it.
    pub fn local_member(&self) -> LocalMember {
        self.local
    }

    /// The index of this process.
    pub fn own_index(&self) -> u16 {
        self.config.own_index
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// A summary of the membership, with measures of its reliability.
    pub fn view(&self, now: Time) -> View {
        let count = |wanted: MemberState| self.peer_indices(|state| state == wanted).len();
        View {
            configured: self.members.len(),
            live: 1 + self.live_peers,
            suspect: self.suspects.len(),
            dead: count(MemberState::Dead),
            departed: count(MemberState::Departed),
            unknown: count(MemberState::Unknown),
            since_change: now - self.live_changed_at,
            since_ack: now - self.probes.last_ack,
            since_stall: now - self.resumed_at,
            health_multiplier: self.health.multiplier(),
        }
    }

    /// The indices of the live members in ascending order, this process included.
    pub fn live_members(&self) -> Vec<u16> {
        let indices = 0..self.members.len() as u16;
        let is_live = |index: &u16| *index == self.config.own_index || self.state(*index).is_live();
        indices.filter(is_live).collect()
    }

    /// The process of a live member; `None` if the member is not live, and for this process's own index.
    pub fn live_boot(&self, index: u16) -> Option<Boot> {
        let known = self.members.get(usize::from(index))?.known;
        known.boot().filter(|_| known.state().is_live())
    }

    /// The record of a live member, this process included.
    pub fn record(&self, index: u16) -> Option<&Record> {
        self.records.get(index)
    }

    /// The zone of a member; empty until it has sent it.
    pub fn zone(&self, index: u16) -> &str {
        if index == self.config.own_index {
            return &self.config.zone;
        }
        self.members.get(usize::from(index)).map_or("", |member| &member.zone)
    }

    /// All configured members by index.
    pub fn members(&self, now: Time) -> Vec<MemberView> {
        (0..self.members.len() as u16).map(|index| self.member_view(now, index)).collect()
    }

    fn member_view(&self, now: Time, index: u16) -> MemberView {
        let member = self.member(index);
        let is_own = index == self.config.own_index;
        let status = if is_own { Some(self.local.status()) } else { member.known.status() };
        MemberView {
            index,
            address: self.config.addresses[usize::from(index)],
            name: if is_own { self.config.name.clone() } else { member.name.clone() },
            zone: self.zone(index).into(),
            state: status.map_or(MemberState::Unknown, |status| status.state),
            state_since: member.state_since,
            boot: status.map(|status| status.boot),
            incarnation: status.map_or(0, |status| status.incarnation),
            since_received: member.last_received.map(|at| now - at),
            record_age: self.records.get(index).map(|record| record.age(now)),
            in_conflict: member.is_in_conflict(now),
        }
    }
}
