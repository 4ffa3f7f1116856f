//! Received datagrams: which ones are accepted, how a process is verified, and the effect of each section.

use super::Membership;
use crate::member::LastAck;
use crate::member_state::{Boot, MemberState, MemberStatus};
use crate::output::{Cause, Output};
use crate::wire::{self, Header, Section, BROADCAST};
use gaugesaddle_balancer::{Micros, Time};
use std::net::SocketAddr;

impl Membership {
    /// Processes a datagram that arrived from `from`. No content causes a panic; invalid datagrams are counted and
    /// dropped.
    pub fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.detect_stall(now, out);
        if self.departed {
            return;
        }
        self.receive(now, from, bytes, out);
        // The datagram may have moved the next due time into the past; that is not a stall.
        self.timers_due_at = self.next_timer_at().max(now);
    }

    fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.counters.received += 1;
        let Some((header, sections)) = self.accept(from, bytes) else { return };
        let index = header.from;
        // Acknowledgements first: they verify the sender's process.
        for section in &sections {
            if let Section::Ack { nonce } = section {
                self.receive_ack(now, &header, *nonce, out);
            }
        }
        let received_at = Time(now.0.saturating_sub(self.receive_delay.0));
        let member = self.member_mut(index);
        if member.known.boot() != Some(header.boot) {
            self.counters.unverified += 1;
            self.receive_unverified(now, index, &sections, out);
            return;
        }
        if !member.replay_window.accept(header.counter) {
            self.counters.replayed += 1;
            return;
        }
        member.last_received = member.last_received.max(Some(received_at));
        let Header { boot, incarnation, .. } = header;
        let alive = MemberStatus { boot, incarnation, state: MemberState::Alive };
        self.apply_update(now, index, alive, Cause::SelfReported, out);
        for section in sections {
            self.receive_section(now, &header, section, out);
        }
        if self.needs_refutation_probe(index) {
            self.probe_outside_cycle(now, index, out);
        }
    }

    /// Decodes and authenticates a datagram, or counts why it is dropped.
    fn accept(&mut self, from: SocketAddr, bytes: &[u8]) -> Option<(Header, Vec<Section>)> {
        let Ok(header) = wire::decode_header(bytes) else {
            self.counters.malformed += 1;
            return None;
        };
        // The cheap checks come first: no hash is computed for a datagram from a host that is not a member.
        let is_for_us = header.to == self.config.own_index || header.to == BROADCAST;
        let index = header.from;
        if !is_for_us || !self.is_peer(index) || self.config.addresses[usize::from(index)] != from {
            self.counters.misaddressed += 1;
            return None;
        }
        let Some(body) = self.auth.verify(bytes) else {
            self.counters.unauthenticated += 1;
            return None;
        };
        let Ok(sections) = wire::decode_sections(body) else {
            self.counters.malformed += 1;
            return None;
        };
        Some((header, sections))
    }

    fn receive_ack(&mut self, now: Time, header: &Header, nonce: u32, out: &mut Vec<Output>) {
        let index = header.from;
        if self.probe_acked(now, index, nonce) {
            self.member_mut(index).last_ack = Some(LastAck { nonce, boot: header.boot });
            self.apply_ack(now, index, header.boot, header.incarnation, out);
            return;
        }
        let is_by_other_process = |last: &LastAck| last.nonce == nonce && last.boot != header.boot;
        if self.member(index).last_ack.as_ref().is_some_and(is_by_other_process) {
            self.process_changed(now, index, out); // two processes acknowledged one probe
        }
    }

    /// Processes a datagram of a process that is not verified. Its pings are acknowledged, so that the sender can
    /// verify this process, and a wrong status in them is refuted. The sender is probed. All other sections are
    /// ignored.
    fn receive_unverified(&mut self, now: Time, index: u16, sections: &[Section], out: &mut Vec<Output>) {
        for section in sections {
            let Section::Ping { nonce, status } = section else { continue };
            if let Some(status) = status {
                self.refute(now, *status, out);
            }
            if self.may_reply(now) {
                let mut datagram = self.new_datagram(index);
                datagram.push(&Section::Ack { nonce: *nonce });
                self.send(index, datagram, out);
            }
        }
        self.probe_outside_cycle(now, index, out);
    }

    fn receive_section(&mut self, now: Time, header: &Header, section: Section, out: &mut Vec<Output>) {
        let from = header.from;
        match section {
            Section::Ack { .. } => {} // see `receive_ack`
            Section::Ping { nonce, status } => self.receive_ping(now, from, nonce, status, out),
            Section::PingRequest { target, nonce, status } => {
                self.receive_ping_request(now, from, target, nonce, status, out);
            }
            Section::PingRequestReceipt { nonce } => self.count_receipt(nonce),
            Section::IndirectPing { origin, nonce, status } => {
                self.receive_indirect_ping(now, from, origin, nonce, status, out);
            }
            Section::IndirectAck { origin, nonce } => {
                self.receive_indirect_ack(now, header, origin, nonce, out);
            }
            Section::ForwardedAck { subject, boot, incarnation, nonce } => {
                if self.is_peer(subject) && self.probe_acked(now, subject, nonce) {
                    self.apply_ack(now, subject, boot, incarnation, out);
                }
            }
            Section::Update { subject, reporter, status } => {
                self.receive_update(now, from, subject, reporter, status, out);
            }
            Section::Record { subject, boot, version, age_ms, body } => {
                if self.is_live_process(subject, boot) {
                    let age = Micros(u64::from(age_ms) * 1000 + self.receive_delay.0);
                    self.records.insert(now, subject, (boot, version), age, &body);
                }
            }
            Section::RecordRequest { subject } => self.receive_record_request(now, from, subject, out),
            Section::Message { body } => out.push(Output::MessageReceived { from, body }),
            Section::Hello { name, zone } => self.receive_hello(from, name, zone, out),
        }
    }

    fn receive_ping(
        &mut self, now: Time, from: u16, nonce: u32, status: Option<MemberStatus>, out: &mut Vec<Output>,
    ) {
        if let Some(status) = status {
            self.refute(now, status, out);
        }
        if self.may_reply(now) {
            let mut datagram = self.new_datagram(from);
            datagram.push(&Section::Ack { nonce });
            self.add_updates(now, &mut datagram);
            self.send(from, datagram, out);
        }
    }

    fn receive_ping_request(
        &mut self, now: Time, from: u16, target: u16, nonce: u32, status: Option<MemberStatus>,
        out: &mut Vec<Output>,
    ) {
        if !self.is_peer(target) || target == from || !self.may_reply(now) {
            return;
        }
        let mut receipt = self.new_datagram(from);
        receipt.push(&Section::PingRequestReceipt { nonce });
        self.send(from, receipt, out);
        let mut ping = self.new_datagram(target);
        ping.push(&Section::IndirectPing { origin: from, nonce, status });
        self.send(target, ping, out);
    }

    fn receive_indirect_ping(
        &mut self, now: Time, from: u16, origin: u16, nonce: u32, status: Option<MemberStatus>,
        out: &mut Vec<Output>,
    ) {
        if let Some(status) = status {
            self.refute(now, status, out);
        }
        if self.is_peer(origin) && self.may_reply(now) {
            let mut datagram = self.new_datagram(from);
            datagram.push(&Section::IndirectAck { origin, nonce });
            self.send(from, datagram, out);
        }
    }

    fn receive_indirect_ack(
        &mut self, now: Time, header: &Header, origin: u16, nonce: u32, out: &mut Vec<Output>,
    ) {
        let Header { from: subject, boot, incarnation, .. } = *header;
        if self.is_peer(origin) && origin != subject && self.may_reply(now) {
            let mut datagram = self.new_datagram(origin);
            datagram.push(&Section::ForwardedAck { subject, boot, incarnation, nonce });
            self.send(origin, datagram, out);
        }
    }

    fn receive_update(
        &mut self, now: Time, from: u16, subject: u16, reporter: u16, mut status: MemberStatus,
        out: &mut Vec<Output>,
    ) {
        if subject == self.config.own_index {
            self.refute(now, status, out);
            return;
        }
        if !self.is_peer(subject) {
            return;
        }
        let member = self.member(subject);
        // A suspicion lasts at least for the minimum time-out. If a datagram of the member arrived here within that
        // time, the member is partitioned from those that declared it dead: it becomes suspect and is probed.
        let min_suspicion = self.settings.min_suspicion;
        let is_recent = member.last_received.is_some_and(|at| now - at < min_suspicion);
        let is_same_process = member.known.boot() == Some(status.boot);
        if status.state == MemberState::Dead && is_same_process && is_recent {
            status.state = MemberState::Suspect;
        }
        if status.state == MemberState::Suspect && member.known.status() == Some(status) {
            self.confirm_suspicion(subject, status, reporter);
            return;
        }
        let cause = if subject == from { Cause::SelfReported } else { Cause::ReportedBy(reporter) };
        if self.apply_update(now, subject, status, cause, out) {
            self.probe_outside_cycle(now, subject, out);
        }
    }

    fn receive_record_request(&mut self, now: Time, from: u16, subject: u16, out: &mut Vec<Output>) {
        let Some(record) = self.record_section(now, subject) else { return };
        if self.may_reply(now) {
            let mut datagram = self.new_datagram(from);
            datagram.push(&record);
            self.send(from, datagram, out);
        }
    }

    fn receive_hello(&mut self, index: u16, name: String, zone: String, out: &mut Vec<Output>) {
        let member = self.member_mut(index);
        if member.name == name && member.zone == zone {
            return;
        }
        member.name = name;
        member.zone = zone;
        if let Some(other) = self.find_same_name(index) {
            out.push(Output::NameConflict { indices: (other.min(index), other.max(index)) });
        }
    }

    /// Another live member with the name of this one, if it has a name.
    fn find_same_name(&self, index: u16) -> Option<u16> {
        let name = &self.member(index).name;
        if name.is_empty() {
            return None;
        }
        let has_same_name = |other: &u16| {
            if *other == self.config.own_index {
                return self.config.name == *name;
            }
            *other != index && self.member(*other).name == *name && self.state(*other).is_live()
        };
        (0..self.members.len() as u16).find(has_same_name)
    }

    fn is_live_process(&self, index: u16, boot: Boot) -> bool {
        self.is_peer(index) && self.member(index).known.boot() == Some(boot) && self.state(index).is_live()
    }
}
