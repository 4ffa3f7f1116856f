//! Questions: the round through the living, pleas to others where one does not answer, suspicions that run out, and
//! attempts at those that are lost.

use crate::claim::{Claim, Standing};
use crate::peers::{Output, Peers, Why};
use crate::suspicion::Suspicion;
use crate::wire::Section;
use gaugesaddle_balancer::{Micros, Time};
use rand_core::RngCore;

/// The whole tier tries a lost proxy so often a second, however many it is.
const TRIES_PER_S: f64 = 4.0;
/// Attempts at lost proxies take at most this part of the budget, and that while a return is likely.
const TRIES_PART: f64 = 0.25;
const EAGER_PART: f64 = 0.5;
/// Bytes of an attempt, about: header, question, who asks, tag.
const TRY_BYTES: f64 = 80.0;
/// Records that are asked of one proxy because their owner's own way here fails.
const WANTS: usize = 3;
/// A record so many rounds old was missed.
const MISSED_ROUNDS: u64 = 3;

/// One that died so lately is tried by each proxy every [`FRESH_RETRY`]: if it lives after all, two that hold each other
/// dead have no other way back.
const FRESH: Micros = Micros(30_000_000);
/// See [`FRESH`].
const FRESH_RETRY: Micros = Micros(1_500_000);

/// The question of the round that is out.
pub struct Probe {
    pub target: u16,
    pub nonce: u32,
    pub sent: Time,
    pub pleaded: bool,
    /// Put a third time, half way from the pleas to the end.
    pub repeated: bool,
    /// Others asked to ask, and how many have our plea.
    pub helpers: usize,
    pub receipts: usize,
}

impl Peers {
    pub(crate) fn plea_at(&self, probe: &Probe) -> Time {
        probe.sent + self.health.stretch(self.settings.answer)
    }

    /// Asks one: with what is held of it, so that it can object.
    pub(crate) fn ask(&mut self, now: Time, place: u16, wants: &[u16], out: &mut Vec<Output>) -> u32 {
        let nonce = self.dice.next_u32();
        let mut draft = self.draft(place);
        let member = self.member(place);
        let (claim, hello) = (member.held.claim(), !member.knows_us);
        member.asked = Some(now);
        draft.push(&Section::Ping { nonce, claim });
        let hello = hello && draft.push(&self.hello());
        self.member(place).asked(nonce, hello);
        wants.iter().for_each(|subject| _ = draft.push(&Section::Want { subject: *subject }));
        self.add_rumors(now, &mut draft);
        self.send(place, draft, out);
        nonce
    }

    /// Asks out of turn: a boot that was not met, or one that may object. Not more often than answers take. Where an
    /// earlier question has had no answer somebody else is asked to ask, too: the way there or back may be cut.
    pub(crate) fn challenge(&mut self, now: Time, place: u16, out: &mut Vec<Output>) {
        let member = &self.members[usize::from(place)];
        if member.asked.is_some_and(|at| now - at < self.settings.answer) {
            return;
        }
        let unanswered = !member.open.is_empty();
        let nonce = self.ask(now, place, &[], out);
        if unanswered {
            self.plead_with(now, 1, place, nonce, out);
        }
    }

    /// Asks some others to ask one; how many.
    fn plead_with(
        &mut self, now: Time, most: usize, target: u16, nonce: u32, out: &mut Vec<Output>,
    ) -> usize {
        let mut helpers = self.others(|s| s == Standing::Alive);
        helpers.retain(|p| *p != target);
        self.shuffle(&mut helpers);
        helpers.truncate(most);
        let claim = self.members[usize::from(target)].held.claim();
        for helper in &helpers {
            let mut draft = self.draft(*helper);
            draft.push(&Section::AskFor { target, nonce, claim });
            self.add_rumors(now, &mut draft);
            self.send(*helper, draft, out);
        }
        helpers.len()
    }

    /// A fresh answer to one of the open questions, directly or through another.
    pub(crate) fn answered(&mut self, now: Time, place: u16, nonce: u32) -> bool {
        if !self.member(place).answers(nonce) {
            return false;
        }
        self.answered = now;
        if self.probe.as_ref().is_some_and(|p| p.target == place && p.nonce == nonce) {
            self.probe = None;
            self.health.answered();
        }
        true
    }

    /// The time for an answer is over: others are asked to ask, and the question is put once more.
    pub(crate) fn plead(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some((target, nonce)) =
            self.probe.as_ref().filter(|p| !p.pleaded && now >= self.plea_at(p)).map(|p| (p.target, p.nonce))
        else {
            return;
        };
        let helpers = self.plead_with(now, self.settings.indirect as usize, target, nonce, out);
        if let Some(probe) = &mut self.probe {
            (probe.pleaded, probe.helpers) = (true, helpers);
        }
        self.put_again(target, nonce, out);
    }

    /// A question that is out, once more.
    fn put_again(&mut self, target: u16, nonce: u32, out: &mut Vec<Output>) {
        let claim = self.members[usize::from(target)].held.claim();
        let mut again = self.draft(target);
        again.push(&Section::Ping { nonce, claim });
        self.send(target, again, out);
    }

    pub(crate) fn repeat_at(&self, probe: &Probe) -> Time {
        Time((self.plea_at(probe).0 + self.next_probe.0) / 2)
    }

    /// Half of what was left after the pleas is over: the last chance.
    pub(crate) fn repeat(&mut self, now: Time, out: &mut Vec<Output>) {
        let late = |p: &&Probe| p.pleaded && !p.repeated && now >= self.repeat_at(p);
        let Some((target, nonce)) = self.probe.as_ref().filter(late).map(|p| (p.target, p.nonce)) else {
            return;
        };
        if let Some(probe) = &mut self.probe {
            probe.repeated = true;
        }
        self.put_again(target, nonce, out);
    }

    /// Ends the last question of the round and puts the next.
    pub(crate) fn next_question(&mut self, now: Time, out: &mut Vec<Output>) {
        if now < self.next_probe {
            return;
        }
        self.end_question(now, out);
        self.next_probe = now + self.health.stretch(self.settings.probe);
        let Some(target) = self.next_target(now) else { return };
        let wants = self.missed(now, target);
        let nonce = self.ask(now, target, &wants, out);
        self.counts.asked += 1;
        self.probe = Some(Probe {
            target,
            nonce,
            sent: now,
            pleaded: false,
            repeated: false,
            helpers: 0,
            receipts: 0,
        });
    }

    fn end_question(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(probe) = self.probe.take() else { return };
        if !self.standing(probe.target).lives() {
            return;
        }
        self.counts.silent += 1;
        if probe.helpers > 0 && probe.receipts == 0 {
            self.health.doubted(); // nobody had our plea: it may be us
        }
        // Heard meanwhile, it lives: its answers don't come through, or not yet.
        let heard = self.members[usize::from(probe.target)].heard;
        if heard.is_none_or(|at| at < probe.sent) {
            self.suspect(now, probe.target, self.told.own, out);
        }
    }

    fn next_target(&mut self, now: Time) -> Option<u16> {
        if let Some(place) = self.unheard(now).filter(|_| self.counts.asked % 2 == 0) {
            return Some(place);
        }
        for _ in 0..2 {
            while let Some(place) = self.round.pop() {
                if self.standing(place).lives() {
                    return Some(place);
                }
            }
            let mut round = self.others_living();
            self.shuffle(&mut round);
            self.round = round;
        }
        None
    }

    /// The living one that was not heard for longest, if its record should have come by now: every second question is
    /// for it. Else whoever missed the news of a death would find it in its own round only.
    fn unheard(&self, now: Time) -> Option<u16> {
        let late = Micros(self.push_took.max(self.settings.publish).0 * MISSED_ROUNDS);
        let heard = |p: &u16| {
            let member = &self.members[usize::from(*p)];
            member.heard.unwrap_or(member.since).max(member.asked.unwrap_or(Time(0)))
        };
        let longest = (0..self.members.len() as u16)
            .filter(|p| *p != self.told.own && self.standing(*p).lives())
            .min_by_key(heard)?;
        (now - heard(&longest) > late).then_some(longest)
    }

    /// Living ones whose records should have come and did not: `target` may have them.
    fn missed(&mut self, now: Time, target: u16) -> Vec<u16> {
        let round = self.push_took.max(self.settings.publish);
        let late = Micros(round.0 * MISSED_ROUNDS);
        let mut missed = self.others_living();
        missed.retain(|p| {
            let since = self.members[usize::from(*p)].since;
            *p != target
                && match self.records.get(*p) {
                    Some(record) => record.age(now) > late,
                    None => now - since > late,
                }
        });
        self.shuffle(&mut missed);
        missed.truncate(WANTS);
        missed
    }

    /// Somebody, perhaps this proxy, found it silent.
    pub(crate) fn suspect(&mut self, now: Time, place: u16, by: u16, out: &mut Vec<Output>) {
        let before = self.members[usize::from(place)].held;
        if self.member(place).held.judge(Standing::Suspect).is_some() {
            return self.moved(now, place, before, Why::Silent, out);
        }
        if let Some(claim) = before.claim().filter(|c| c.standing == Standing::Suspect) {
            self.confirm(place, claim, by);
        }
    }

    /// Another one found a suspect silent, too.
    pub(crate) fn confirm(&mut self, place: u16, claim: Claim, by: u16) {
        let counts = self.member(place).suspicion.as_mut().is_some_and(|s| s.confirmed(by));
        if counts {
            self.rumors.add(place, claim, by);
        }
    }

    /// When this proxy counts as one that found a suspect silent: it asked at once, and half of the least time is over.
    pub(crate) fn confirm_at(&self, place: u16) -> Option<Time> {
        let suspicion = self.members[usize::from(place)].suspicion.as_ref()?;
        let open = !suspicion.is_by(self.told.own);
        open.then(|| suspicion.began() + Micros(self.settings.suspect_least.0 / 2))
    }

    pub(crate) fn suspicion_end(&self, place: u16) -> Option<Time> {
        let suspicion = self.members[usize::from(place)].suspicion.as_ref()?;
        Some(suspicion.end(&self.settings, self.living.saturating_sub(1)))
    }

    /// Suspects that have not objected in their time are dead, unless they were heard here meanwhile.
    pub(crate) fn bury(&mut self, now: Time, out: &mut Vec<Output>) {
        let silent = |p: &u16| self.confirm_at(*p).is_some_and(|at| now >= at);
        let silent: Vec<u16> = self.suspects.iter().copied().filter(silent).collect();
        for place in silent {
            let member = &self.members[usize::from(place)];
            let began = member.suspicion.as_ref().map(Suspicion::began);
            if member.heard <= began {
                self.suspect(now, place, self.told.own, out);
            }
        }
        let over = |p: &u16| self.suspicion_end(*p).is_some_and(|end| now >= end);
        let over: Vec<u16> = self.suspects.iter().copied().filter(over).collect();
        for place in over {
            let member = self.member(place);
            let heard = member.heard;
            if let Some(suspicion) = &mut member.suspicion {
                if let Some(at) = heard.filter(|at| *at > suspicion.began()) {
                    suspicion.put_off(at);
                    continue;
                }
            }
            let before = member.held;
            if member.held.judge(Standing::Dead).is_some() {
                self.moved(now, place, before, Why::NoObjection, out);
            }
        }
    }

    /// Tries those that are lost, one after the other: so often that the whole tier tries each a few times a second.
    pub(crate) fn try_lost(&mut self, now: Time, out: &mut Vec<Output>) {
        let lost = self.members.len() - 1 - self.living;
        while lost > 0 && now >= self.next_try && now >= self.busy {
            let Some(place) = self.next_lost(now) else { return };
            let before = self.counts.sent_bytes;
            self.ask(now, place, &[], out);
            self.spend(now, self.counts.sent_bytes - before);
            let least = |part: f64| TRY_BYTES / (part * f64::from(self.settings.bytes_per_s));
            let gap = if self.eager(now) {
                least(EAGER_PART)
            } else {
                let flat = (1 + self.living) as f64 / (TRIES_PER_S * lost as f64);
                let retry = self.settings.retry.secs() / lost as f64;
                let fresh = match self.fresh {
                    0 => f64::MAX,
                    n => FRESH_RETRY.secs() / (2 * n) as f64, // every second one is for them
                };
                flat.min(retry).min(fresh).max(least(TRIES_PART))
            };
            self.next_try = self.next_try.max(now) + Micros::from_secs(gap);
        }
    }

    /// By turns one of those that died lately and one of all.
    fn next_lost(&mut self, now: Time) -> Option<u16> {
        self.fresh_next = !self.fresh_next;
        if self.fresh_next {
            if let Some(place) = self.next_of(now, true) {
                return Some(place);
            }
        }
        self.next_of(now, false)
    }

    fn next_of(&mut self, now: Time, fresh: bool) -> Option<u16> {
        for _ in 0..2 {
            let round = if fresh { &mut self.fresh_round } else { &mut self.lost_round };
            while let Some(place) = round.pop() {
                if !self.members[usize::from(place)].held.standing().lives() {
                    return Some(place);
                }
            }
            let mut round = self.others(|s| !s.lives());
            if fresh {
                round.retain(|p| {
                    self.standing(*p) == Standing::Dead && now - self.members[usize::from(*p)].since < FRESH
                });
                self.fresh = round.len();
            }
            self.shuffle(&mut round);
            *(if fresh { &mut self.fresh_round } else { &mut self.lost_round }) = round;
        }
        None
    }
}
