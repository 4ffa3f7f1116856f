//! Datagrams that come: who may speak, what counts as proof, and what each section brings about.

use crate::claim::{Claim, Standing};
use crate::peers::{Output, Peers, Why};
use crate::wire::{self, Header, Section, EVERYBODY};
use gaugesaddle_balancer::{Micros, Time};
use std::net::SocketAddr;

impl Peers {
    /// A datagram has come, from that address.
    pub fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.awake(now, out);
        if self.gone {
            return;
        }
        self.read(now, from, bytes, out);
        // What was read may have put off the next turn: to be called later than that is no sleep.
        self.due = self.wake().max(now);
    }

    fn read(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.counts.came += 1;
        let Ok(header) = wire::header(bytes) else {
            self.counts.garbled += 1;
            return;
        };
        let place = header.from;
        let ours = header.to == self.told.own || header.to == EVERYBODY;
        // The cheap look first: whoever is not in the list costs no hash.
        if !ours || !self.other(place) || self.told.addresses[usize::from(place)] != from {
            self.counts.foreign += 1;
            return;
        }
        let Some(body) = self.seal.check(bytes) else {
            self.counts.forged += 1;
            return;
        };
        let Ok(sections) = wire::sections(body) else {
            self.counts.garbled += 1;
            return;
        };
        // Proof before all else: by it a boot becomes known.
        for section in &sections {
            if let Section::Ack { nonce } = section {
                let answer = self.members[usize::from(place)].answer;
                if self.answered(now, place, *nonce) {
                    self.member(place).answer = Some((*nonce, header.boot));
                    self.prove(now, place, header.boot, header.incarnation, out);
                } else if answer.is_some_and(|(asked, by)| asked == *nonce && by != header.boot) {
                    self.contest(now, place, out); // one question, two answers
                }
            }
        }
        let heard = Time(now.0.saturating_sub(self.lag.0));
        let member = self.member(place);
        if member.held.boot() != Some(header.boot) {
            self.counts.unproven += 1;
            return self.stranger(now, place, &sections, out);
        }
        if !member.window.fresh(header.counter) {
            self.counts.replayed += 1;
            return;
        }
        member.heard = Some(member.heard.map_or(heard, |at| at.max(heard)));
        let lives = Claim { boot: header.boot, incarnation: header.incarnation, standing: Standing::Alive };
        self.hear(now, place, lives, Why::Said, out);
        for section in sections {
            self.take(now, &header, section, out);
        }
        // It does not know yet what is said of it: the question tells it. One that left is not asked back.
        if matches!(self.standing(place), Standing::Suspect | Standing::Dead) {
            self.challenge(now, place, out);
        }
    }

    /// From a boot that has not proven that it lives: it is answered, so that we are proven to it, and asked.
    fn stranger(&mut self, now: Time, place: u16, sections: &[Section], out: &mut Vec<Output>) {
        for section in sections {
            if let Section::Ping { nonce, claim } = section {
                if let Some(claim) = claim {
                    self.accused(now, *claim, out);
                }
                if self.may_answer(now) {
                    let mut draft = self.draft(place);
                    draft.push(&Section::Ack { nonce: *nonce });
                    self.send(place, draft, out);
                }
            }
        }
        self.challenge(now, place, out);
    }

    fn take(&mut self, now: Time, header: &Header, section: Section, out: &mut Vec<Output>) {
        let from = header.from;
        match section {
            Section::Ack { .. } => {} // it was proof
            Section::Ping { nonce, claim } => {
                if let Some(claim) = claim {
                    self.accused(now, claim, out);
                }
                if self.may_answer(now) {
                    let mut draft = self.draft(from);
                    draft.push(&Section::Ack { nonce });
                    self.add_rumors(now, &mut draft);
                    self.send(from, draft, out);
                }
            }
            Section::AskFor { target, nonce, claim } => {
                if !self.other(target) || target == from || !self.may_answer(now) {
                    return;
                }
                let mut receipt = self.draft(from);
                receipt.push(&Section::Receipt { nonce });
                self.send(from, receipt, out);
                let mut question = self.draft(target);
                question.push(&Section::PingFor { origin: from, nonce, claim });
                self.send(target, question, out);
            }
            Section::Receipt { nonce } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.nonce == nonce) {
                    probe.receipts += 1;
                }
            }
            Section::PingFor { origin, nonce, claim } => {
                if let Some(claim) = claim {
                    self.accused(now, claim, out);
                }
                if self.other(origin) && self.may_answer(now) {
                    let mut draft = self.draft(from);
                    draft.push(&Section::AckFor { origin, nonce });
                    self.send(from, draft, out);
                }
            }
            Section::AckFor { origin, nonce } => {
                if self.other(origin) && origin != from && self.may_answer(now) {
                    let (boot, incarnation) = (header.boot, header.incarnation);
                    let mut draft = self.draft(origin);
                    draft.push(&Section::Vouch { subject: from, boot, incarnation, nonce });
                    self.send(origin, draft, out);
                }
            }
            Section::Vouch { subject, boot, incarnation, nonce } => {
                if self.other(subject) && self.answered(now, subject, nonce) {
                    self.prove(now, subject, boot, incarnation, out);
                }
            }
            Section::Rumor { subject, by, claim } => self.rumor(now, from, subject, by, claim, out),
            Section::Record { subject, boot, version, age_ms, body } => {
                let known = self.other(subject)
                    && self.members[usize::from(subject)].held.boot() == Some(boot)
                    && self.standing(subject).lives();
                if known {
                    let old = Micros(u64::from(age_ms) * 1000 + self.lag.0);
                    self.records.take(now, subject, (boot, version), old, &body);
                }
            }
            Section::Want { subject } => {
                let Some(record) = self.record_of(now, subject) else { return };
                if self.may_answer(now) {
                    let mut draft = self.draft(from);
                    draft.push(&record);
                    self.send(from, draft, out);
                }
            }
            Section::Note { body } => out.push(Output::Noted { from, body }),
            Section::Hello { name, zone } => self.named(from, name, zone, out),
        }
    }

    fn rumor(&mut self, now: Time, from: u16, subject: u16, by: u16, claim: Claim, out: &mut Vec<Output>) {
        if subject == self.told.own {
            self.accused(now, claim, out);
            return;
        }
        if !self.other(subject) {
            return;
        }
        let member = &self.members[usize::from(subject)];
        // Who was heard here since it can have been found dead there was cut off from them, not dead: it is asked.
        let since = self.settings.suspect_least;
        let here = member.held.boot() == Some(claim.boot) && member.heard.is_some_and(|at| now - at < since);
        let claim = match claim.standing {
            Standing::Dead if here => Claim { standing: Standing::Suspect, ..claim },
            _ => claim,
        };
        let held = member.held.claim();
        if held == Some(claim) && claim.standing == Standing::Suspect {
            return self.confirm(subject, claim, by);
        }
        let why = if subject == from { Why::Said } else { Why::Told(by) };
        if self.hear(now, subject, claim, why, out) {
            self.challenge(now, subject, out);
        }
    }

    fn named(&mut self, place: u16, name: String, zone: String, out: &mut Vec<Output>) {
        let member = self.member(place);
        if member.name == name && member.zone == zone {
            return;
        }
        (member.name, member.zone) = (name, zone);
        let name = &self.members[usize::from(place)].name;
        if name.is_empty() {
            return;
        }
        let like = |p: &u16| {
            let own = *p == self.told.own;
            let other = if own { &self.told.name } else { &self.members[usize::from(*p)].name };
            *p != place && other == name && (own || self.standing(*p).lives())
        };
        if let Some(other) = (0..self.members.len() as u16).find(like) {
            out.push(Output::Namesake { places: (other.min(place), other.max(place)) });
        }
    }
}
