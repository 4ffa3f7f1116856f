//! Transmission: datagrams with their counters, updates that are piggybacked on other datagrams, and the local record,
//! which is sent to all live members in cycles.

use super::Membership;
use crate::member_state::{MemberState, MemberStatus};
use crate::output::Output;
use crate::rate_limit::MAX_BUDGET_CREDIT;
use crate::wire::{DatagramBuilder, Header, Section, BROADCAST};
use gaugesaddle_balancer::{Micros, Time};
use std::net::SocketAddr;

/// Each update is sent this many times the binary logarithm of the number n of live members (SWIM, section 4.1). With
/// this factor an update misses a member with a probability below 1 in n^2, even if a third of the datagrams is lost
/// (in virtual time).
const UPDATE_SENDS_FACTOR: u32 = 3;
/// Maximum time for which updates wait for another datagram that can carry them.
const MAX_UPDATE_DELAY: Micros = Micros(50_000);

impl Membership {
    /// A datagram without sections for one member, or for all with [`BROADCAST`].
    pub(super) fn new_datagram(&mut self, to: u16) -> DatagramBuilder {
        self.datagram_counter += 1;
        let header = Header {
            to,
            from: self.config.own_index,
            boot: self.local.boot,
            incarnation: self.local.incarnation,
            counter: self.datagram_counter,
        };
        DatagramBuilder::new(header, self.auth.tag_bytes())
    }

    pub(super) fn send(&mut self, index: u16, datagram: DatagramBuilder, out: &mut Vec<Output>) {
        let to = self.config.addresses[usize::from(index)];
        self.send_to(to, datagram, out);
    }

    /// Sends a datagram and charges its bytes to the budget.
    pub(super) fn send_within_budget(
        &mut self, now: Time, index: u16, datagram: DatagramBuilder, out: &mut Vec<Output>,
    ) {
        let sent_bytes_before = self.counters.sent_bytes;
        self.send(index, datagram, out);
        self.spend(now, self.counters.sent_bytes - sent_bytes_before);
    }

    fn send_to(&mut self, to: SocketAddr, datagram: DatagramBuilder, out: &mut Vec<Output>) {
        let bytes = self.auth.sign(datagram.finish());
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }

    /// Charges bytes to the budget.
    pub(super) fn spend(&mut self, now: Time, bytes: u64) {
        self.budget.spend(now, bytes, self.settings.bytes_per_s);
    }

    /// Whether a reply may be sent now.
    pub(super) fn may_reply(&mut self, now: Time) -> bool {
        let may_reply = self.replies.try_take(now);
        if !may_reply {
            self.counters.rate_limited += 1;
        }
        may_reply
    }

    /// This process's name and zone.
    pub(super) fn hello(&self) -> Section {
        Section::Hello { name: self.config.name.clone(), zone: self.config.zone.clone() }
    }

    /// Sends one ping to all members at the start, if a broadcast address is configured.
    pub(super) fn broadcast_hello(&mut self, out: &mut Vec<Output>) {
        let Some(to) = self.config.broadcast_address else { return };
        let mut datagram = self.new_datagram(BROADCAST);
        datagram.push(&Section::Ping { nonce: 0, status: None });
        datagram.push(&self.hello());
        self.send_to(to, datagram, out);
    }

    /// Adds as many pending updates to the datagram as fit.
    pub(super) fn add_updates(&mut self, now: Time, datagram: &mut DatagramBuilder) {
        if self.updates.is_empty() {
            return;
        }
        let live = self.live_peers + 1;
        let max_sends = UPDATE_SENDS_FACTOR * (usize::BITS - live.leading_zeros());
        self.updates.send_pending(max_sends, |subject, status, reporter| {
            datagram.push(&Section::Update { subject, reporter, status })
        });
        self.updates_sent_at = now;
    }

    /// When pending updates are sent in a datagram of their own.
    pub(super) fn send_updates_at(&self) -> Time {
        (self.updates_sent_at + MAX_UPDATE_DELAY).max(self.budget.available_at())
    }

    /// Sends pending updates to a random live member, if no other datagram has carried them in time.
    pub(super) fn send_updates(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.updates.is_empty() || self.live_peers == 0 || now < self.send_updates_at() {
            return;
        }
        let live = self.live_peer_indices();
        let index = live[self.random_below(live.len())];
        let mut datagram = self.new_datagram(index);
        self.add_updates(now, &mut datagram);
        self.send_within_budget(now, index, datagram, out);
    }

    /// Sends the local record to the live members that are due, in cycles.
    pub(super) fn send_records(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.record_version == 0 || self.live_peers == 0 {
            return;
        }
        while now >= self.publishing.next_at && now >= self.budget.available_at() {
            let Some(index) = self.publishing.remaining.pop() else {
                if self.start_publish_cycle(now) {
                    continue;
                }
                return;
            };
            if !self.state(index).is_live() {
                continue;
            }
            self.send_local_record(now, index, out);
            let interval = Micros(self.settings.publish_interval.0 / self.live_peers as u64);
            let earliest = Time(now.0.saturating_sub(MAX_BUDGET_CREDIT.0));
            self.publishing.next_at = self.publishing.next_at.max(earliest) + interval;
        }
    }

    /// Starts the next publish cycle after the last one is complete. Returns `false` if the publish interval is not
    /// over or no other member is live.
    fn start_publish_cycle(&mut self, now: Time) -> bool {
        self.publishing.last_cycle = now - self.publishing.cycle_started_at;
        let next_cycle_at = self.publishing.cycle_started_at + self.settings.publish_interval;
        if now < next_cycle_at {
            self.publishing.next_at = next_cycle_at;
            return false;
        }
        self.publishing.cycle_started_at = now;
        let mut cycle = self.live_peer_indices();
        self.shuffle(&mut cycle);
        self.publishing.remaining = cycle;
        !self.publishing.remaining.is_empty()
    }

    fn send_local_record(&mut self, now: Time, index: u16, out: &mut Vec<Output>) {
        let mut datagram = self.new_datagram(index);
        if let Some(record) = self.record_section(now, self.config.own_index) {
            datagram.push(&record);
        }
        self.add_updates(now, &mut datagram);
        self.send_within_budget(now, index, datagram, out);
    }

    /// The section with the record of a member and its age at this time.
    pub(super) fn record_section(&self, now: Time, subject: u16) -> Option<Section> {
        let record = self.records.get(subject)?;
        // The local record is sent with age 0: its owner confirms it at each transmission.
        let age_ms = if subject == self.config.own_index { 0 } else { record.age(now).0 / 1000 };
        Some(Section::Record {
            subject,
            boot: record.boot,
            version: record.version,
            age_ms: age_ms.min(u64::from(u16::MAX)) as u16,
            body: record.body.clone(),
        })
    }

    /// Announces this process's departure to one member.
    pub(super) fn announce_departure(&mut self, index: u16, out: &mut Vec<Output>) {
        let mut datagram = self.new_datagram(index);
        let status = MemberStatus { state: MemberState::Departed, ..self.local.status() };
        let own_index = self.config.own_index;
        datagram.push(&Section::Update { subject: own_index, reporter: own_index, status });
        self.send(index, datagram, out);
    }
}
