//! Who decides, and how all come to hold the same: the living one of the lowest place decides, and decisions are passed on
//! until everybody has them. Nobody waits for an agreement: what is held counts until a newer one comes.
//!
//! A decision goes to [`FANOUT`] others of those that live, drawn at random, at once and [`ROUNDS`] times in all, and so from
//! each that takes it up; and twice a second each proxy shows what it holds to one other, which answers where it holds a newer one. So what
//! is lost on the way comes a moment later, and the cost is the same in a tier of any size.

use crate::decision::{Decision, Number};
use gaugesaddle_balancer::{Micros, Time};
use std::collections::VecDeque;

/// Others that a new decision is passed to by each that takes it up.
pub const FANOUT: usize = 4;
/// So often it is passed on by each, and so long after one another: with a third of the datagrams lost one in some
/// thousands is left out.
pub const ROUNDS: u32 = 3;
const ROUND: Micros = Micros(100_000);
/// What is held is shown to one other this often.
pub const SHOW: Micros = Micros(500_000);
/// Decisions that are kept for whoever asks why: some minutes of a bad day.
pub const KEPT: usize = 64;
/// No decision follows another sooner, but for one that nobody held before.
const APART: Micros = Micros(500_000);

/// How the tier looks to this proxy.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    /// Those that live, this one among them, in order.
    pub living: &'a [u16],
    /// They are more than half of those that are told, or of those that were ever met.
    pub most: bool,
    /// It has been awake long enough to know that.
    pub awake: bool,
}

/// One proxy's part in it.
#[derive(Clone, Debug)]
pub struct Council {
    place: u16,
    zones: usize,
    /// What should hold and differs by no more than so many 255ths from what does is no news.
    noise: u8,
    held: Option<Decision>,
    since: Time,
    show: Time,
    /// It is still to be passed on so often, next then.
    rounds: (u32, Time),
    kept: VecDeque<(Time, Decision)>,
    dice: u64,
}

impl Council {
    /// One that holds nothing yet; `noise`: in 255ths, what is too little to be decided anew; `seed`: for whom it tells first.
    pub fn new(place: u16, zones: usize, noise: u8, seed: u64) -> Council {
        let (since, show) = (Time(0), Time(0));
        Council {
            place,
            zones,
            noise,
            held: None,
            since,
            show,
            rounds: (0, since),
            kept: VecDeque::new(),
            dice: seed,
        }
    }

    /// What counts now, and since when.
    pub fn held(&self) -> Option<(&Decision, Time)> {
        self.held.as_ref().map(|d| (d, self.since))
    }

    /// The last decisions that it held, the newest last.
    pub fn kept(&self) -> impl Iterator<Item = &(Time, Decision)> {
        self.kept.iter()
    }

    /// Whether this proxy decides for its side.
    pub fn decides(&self, seen: &Seen) -> bool {
        seen.awake && seen.living.first() == Some(&self.place)
    }

    /// A look. Whoever decides says what should hold; it becomes a decision where it says something new. What goes to whom
    /// is added to `out`. Tells whether another decision is held than before.
    pub fn look(
        &mut self, now: Time, seen: &Seen, should: Option<&Decision>, out: &mut Vec<(u16, Vec<u8>)>,
    ) -> bool {
        let mut moved = false;
        if let Some(should) = should.filter(|_| self.decides(seen)) {
            let news = self.held.as_ref().is_none_or(|held| !held.says_about(should, self.noise));
            let soon = self.held.is_some() && now - self.since < APART;
            // A decision that was taken over by another proxy of this side becomes its own with the next that is new.
            if news && !soon {
                let number = self.next_number(seen.most);
                self.take(now, Decision { number, by: self.place, ..should.clone() });
                self.pass_on(now, seen, out);
                moved = true;
            }
        }
        if self.rounds.0 > 0 && now >= self.rounds.1 {
            self.pass_on(now, seen, out);
        }
        if now >= self.show {
            self.show = now + SHOW;
            let to = self.draw(seen.living, 1).pop();
            out.extend(to.zip(self.held.as_ref().map(Decision::encode)));
        }
        moved
    }

    fn next_number(&self, most: bool) -> Number {
        let Number { epoch, round } = self.held.as_ref().map(|d| d.number).unwrap_or_default();
        match most {
            true => Number { epoch: epoch.saturating_add(1), round: 0 },
            false => Number { epoch, round: round.saturating_add(1) },
        }
    }

    /// Another proxy has shown what it holds: taken up where it is newer, answered where it is older. Tells whether it was
    /// taken up.
    pub fn hear(
        &mut self, now: Time, from: u16, bytes: &[u8], seen: &Seen, out: &mut Vec<(u16, Vec<u8>)>,
    ) -> bool {
        let Some(decision) = Decision::decode(bytes, self.zones) else { return false };
        match &self.held {
            Some(held) if *held == decision => false,
            Some(held) if !decision.over(held) => {
                out.push((from, held.encode()));
                false
            }
            _ => {
                self.take(now, decision);
                self.pass_on(now, seen, out);
                true
            }
        }
    }

    fn take(&mut self, now: Time, decision: Decision) {
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((now, decision.clone()));
        (self.held, self.since) = (Some(decision), now);
        self.rounds = (ROUNDS, now);
    }

    fn pass_on(&mut self, now: Time, seen: &Seen, out: &mut Vec<(u16, Vec<u8>)>) {
        self.rounds = (self.rounds.0.saturating_sub(1), now + ROUND);
        let Some(bytes) = self.held.as_ref().map(Decision::encode) else { return };
        out.extend(self.draw(seen.living, FANOUT).into_iter().map(|to| (to, bytes.clone())));
    }

    /// So many others, at random.
    fn draw(&mut self, living: &[u16], count: usize) -> Vec<u16> {
        let mut others: Vec<u16> = living.iter().copied().filter(|p| *p != self.place).collect();
        for i in 0..count.min(others.len()) {
            self.dice = gaugesaddle_balancer::mix(self.dice.wrapping_add(1));
            let j = i + (self.dice % (others.len() - i) as u64) as usize;
            others.swap(i, j);
        }
        others.truncate(count);
        others
    }
}

#[cfg(test)]
mod tests;
