//! What goes out: datagrams with their counters, rumours beside what is sent anyway, the own record to all in rounds,
//! and what all of this may take.

use crate::claim::{Claim, Standing};
use crate::peers::{Output, Peers};
use crate::wire::{Draft, Header, Section, EVERYBODY};
use gaugesaddle_balancer::{Micros, Time};

/// Answers to others a second, at most. A tier of 1,000 that starts at once asks each some hundred times a second.
const ANSWERS_PER_S: f64 = 2000.0;
/// Answers that may go out at one moment.
pub(crate) const ANSWERS_BURST: f64 = 500.0;
/// Each rumour is told so many times the logarithm of the tier: an epidemic of that strength leaves nobody out but by
/// a chance of under 1 in n^2, losses of a third included (virtual time).
const TELL: u32 = 3;
/// Rumours wait no longer than this for something that is sent anyway.
const RUMOR_WAIT: Micros = Micros(50_000);
/// Budget left unused is carried on for this long.
const SLACK: Micros = Micros(50_000);

impl Peers {
    pub(crate) fn draft(&mut self, to: u16) -> Draft {
        self.counter += 1;
        let header = Header {
            to,
            from: self.told.own,
            boot: self.own.boot,
            incarnation: self.own.incarnation,
            counter: self.counter,
        };
        Draft::new(header, self.seal.bytes())
    }

    pub(crate) fn send(&mut self, place: u16, draft: Draft, out: &mut Vec<Output>) {
        let to = self.told.addresses[usize::from(place)];
        let bytes = self.seal.close(draft.finish());
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }

    pub(crate) fn hello(&self) -> Section {
        Section::Hello { name: self.told.name.clone(), zone: self.told.zone.clone() }
    }

    /// As many rumours as fit.
    pub(crate) fn add_rumors(&mut self, now: Time, draft: &mut Draft) {
        if self.rumors.is_empty() {
            return;
        }
        let most = TELL * (usize::BITS - (self.living + 1).leading_zeros());
        self.rumors.tell(most, |subject, claim, by| draft.push(&Section::Rumor { subject, by, claim }));
        self.rumored = now;
    }

    /// Takes from the budget.
    pub(crate) fn spend(&mut self, now: Time, bytes: u64) {
        let from = Time(self.busy.0.max(now.0.saturating_sub(SLACK.0)));
        self.busy = from + Micros(bytes * 1_000_000 / u64::from(self.settings.bytes_per_s));
    }

    /// Whether one more answer may go out.
    pub(crate) fn may_answer(&mut self, now: Time) -> bool {
        let (left, at) = self.answers;
        let left = (left + (now - at).secs() * ANSWERS_PER_S).min(ANSWERS_BURST);
        let may = left >= 1.0;
        self.answers = (left - f64::from(u8::from(may)), now);
        self.counts.over += u64::from(!may);
        may
    }

    /// One question to all at the start, where one address reaches them.
    pub(crate) fn greet_all(&mut self, out: &mut Vec<Output>) {
        let Some(to) = self.told.all else { return };
        let mut draft = self.draft(EVERYBODY);
        draft.push(&Section::Ping { nonce: 0, claim: None });
        draft.push(&self.hello());
        let bytes = self.seal.close(draft.finish());
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }

    /// The own record to all living ones, in rounds.
    pub(crate) fn push(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.version == 0 || self.living == 0 {
            return;
        }
        while now >= self.next_push && now >= self.busy {
            let Some(place) = self.push_round.pop() else {
                self.push_took = now - self.push_began;
                let next = self.push_began + self.settings.publish;
                if now < next {
                    self.next_push = next;
                    return;
                }
                self.push_began = now;
                let mut round = self.others_living();
                self.shuffle(&mut round);
                self.push_round = round;
                if self.push_round.is_empty() {
                    return;
                }
                continue;
            };
            if !self.standing(place).lives() {
                continue;
            }
            let mut draft = self.draft(place);
            if let Some(record) = self.record_of(now, self.told.own) {
                draft.push(&record);
            }
            self.add_rumors(now, &mut draft);
            let before = self.counts.sent_bytes;
            self.send(place, draft, out);
            self.spend(now, self.counts.sent_bytes - before);
            let gap = Micros(self.settings.publish.0 / self.living as u64);
            self.next_push = Time(self.next_push.0.max(now.0.saturating_sub(SLACK.0))) + gap;
        }
    }

    /// A record that is held, as it is sent on.
    pub(crate) fn record_of(&self, now: Time, subject: u16) -> Option<Section> {
        let record = self.records.get(subject)?;
        let own = subject == self.told.own;
        let age_ms = if own { 0 } else { (record.age(now).0 / 1000).min(u64::from(u16::MAX)) as u16 };
        let (boot, version, body) = (record.boot, record.version, record.body.clone());
        Some(Section::Record { subject, boot, version, age_ms, body })
    }

    pub(crate) fn gossip_at(&self) -> Time {
        (self.rumored + RUMOR_WAIT).max(self.busy)
    }

    /// Rumours that nothing else took along go to somebody.
    pub(crate) fn gossip(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.rumors.is_empty() || self.living == 0 || now < self.gossip_at() {
            return;
        }
        let living = self.others_living();
        let place = living[self.below(living.len())];
        let mut draft = self.draft(place);
        self.add_rumors(now, &mut draft);
        let before = self.counts.sent_bytes;
        self.send(place, draft, out);
        self.spend(now, self.counts.sent_bytes - before);
    }

    /// The last word to one.
    pub(crate) fn say_left(&mut self, place: u16, out: &mut Vec<Output>) {
        let mut draft = self.draft(place);
        let claim = Claim { standing: Standing::Left, ..self.own.claim() };
        let own = self.told.own;
        draft.push(&Section::Rumor { subject: own, by: own, claim });
        self.send(place, draft, out);
    }
}
