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
mod tests {
    use super::*;
    use crate::decision::Order;

    const TURN: u64 = 20_000;

    /// Proxies that look fifty times a second; letters take a turn, and some are lost.
    struct Tier {
        all: Vec<Option<Council>>,
        /// By place, its side.
        side: Vec<u8>,
        should: Vec<Decision>,
        flying: Vec<(u16, u16, Vec<u8>)>,
        loss: u64,
        now: u64,
        sent: usize,
        dice: u64,
    }

    fn says(level: u8) -> Decision {
        Decision { level, zones: vec![Order::default(); 3], ..Decision::default() }
    }

    impl Tier {
        fn new(count: u16, loss: u64) -> Tier {
            let council = |p| Some(Council::new(p, 3, 0, 900 + u64::from(p)));
            let side = vec![0; usize::from(count)];
            let should = vec![says(1); usize::from(count)];
            let all = (0..count).map(council).collect();
            Tier { all, side, should, flying: Vec::new(), loss, now: 0, sent: 0, dice: 5 }
        }

        fn of_side(&self, side: u8) -> Vec<u16> {
            (0..self.all.len())
                .filter(|p| self.all[*p].is_some() && self.side[*p] == side)
                .map(|p| p as u16)
                .collect()
        }

        fn turn(&mut self) {
            self.now += TURN;
            let mut out = Vec::new();
            let flying = std::mem::take(&mut self.flying);
            for place in 0..self.all.len() {
                let living = self.of_side(self.side[place]);
                let most = living.len() * 2 > self.all.len();
                let seen = Seen { living: &living, most, awake: true };
                let Some(council) = &mut self.all[place] else { continue };
                let mut mine = Vec::new();
                for (from, _, bytes) in flying.iter().filter(|f| usize::from(f.1) == place) {
                    council.hear(Time(self.now), *from, bytes, &seen, &mut mine);
                }
                council.look(Time(self.now), &seen, Some(&self.should[place]), &mut mine);
                out.extend(mine.into_iter().map(|(to, bytes)| (place as u16, to, bytes)));
            }
            self.sent += out.len();
            for letter in out {
                self.dice = gaugesaddle_balancer::mix(self.dice + 1);
                let passes = self.side[usize::from(letter.0)] == self.side[usize::from(letter.1)];
                if passes && self.dice % 100 >= self.loss {
                    self.flying.push(letter);
                }
            }
        }

        fn run(&mut self, ms: u64) {
            (0..ms * 1000 / TURN).for_each(|_| self.turn());
        }

        fn held(&self, place: u16) -> Option<Decision> {
            self.all[usize::from(place)].as_ref()?.held().map(|h| h.0.clone())
        }

        /// All of a side hold one and the same.
        fn same(&self, side: u8) -> Option<Decision> {
            let of = self.of_side(side);
            let first = self.held(*of.first()?)?;
            of.iter().all(|p| self.held(*p).as_ref() == Some(&first)).then_some(first)
        }

        /// How long until they do, in milliseconds, at most two seconds.
        fn until_same(&mut self, side: u8, level: u8) -> u64 {
            let from = self.now;
            while self.same(side).is_none_or(|d| d.level != level) {
                assert!(
                    self.now - from < 2_000_000,
                    "{:?}",
                    self.of_side(side).iter().map(|p| self.held(*p)).collect::<Vec<_>>()
                );
                self.turn();
            }
            (self.now - from) / 1000
        }
    }

    #[test]
    fn a_number_given_twice_by_two_processes_of_one_place_ends_as_one_decision() {
        let mut tier = Tier::new(5, 0);
        tier.should = vec![says(7); 5];
        tier.until_same(0, 7);
        // The deciding process starts anew, knows of no decision, and gives the first number to another one.
        tier.all[0] = Some(Council::new(0, 3, 0, 77));
        tier.should = vec![says(3); 5];
        let living = tier.of_side(0);
        let seen = Seen { living: &living, most: true, awake: true };
        let alone = tier.all[0].as_mut().expect("it lives");
        assert!(alone.look(Time(tier.now), &seen, Some(&says(3)), &mut Vec::new()));
        let (its, theirs) = (tier.held(0).expect("its own"), tier.held(1).expect("the former"));
        assert!(its.number == theirs.number && its != theirs);
        // It has said what it wants, and the others hold that number: only what is shown can make it one.
        tier.until_same(0, 3);
    }

    #[test]
    fn all_hold_the_same_within_a_second_whoever_decides_and_a_third_is_lost() {
        for (count, loss) in [(3, 0), (30, 33), (300, 0), (300, 33)] {
            let mut tier = Tier::new(count, loss);
            tier.until_same(0, 1);
            tier.run(1000);
            let mut slowest = 0;
            for level in 2..8 {
                tier.should.iter_mut().for_each(|s| *s = says(level));
                slowest = slowest.max(tier.until_same(0, level));
                tier.run(600);
            }
            assert!(slowest <= 1000, "{count} proxies, {loss} of 100 lost: {slowest} ms");
            // Whoever decided is gone: the next goes on from there.
            let before = tier.same(0).expect("the same").number;
            tier.all[0] = None;
            tier.should.iter_mut().for_each(|s| *s = says(9));
            tier.until_same(0, 9);
            let after = tier.same(0).expect("the same");
            assert!(after.number > before && after.by == 1);
            // At peace each shows it twice a second, and is answered at most.
            tier.run(1000);
            let sent = tier.sent;
            tier.run(10_000);
            let each = (tier.sent - sent) as f64 / 10.0 / f64::from(count - 1);
            assert!(each < 2.2, "{each} a second and proxy");
        }
    }

    #[test]
    fn a_smaller_side_goes_on_and_takes_the_greater_ones_at_the_heal() {
        let mut tier = Tier::new(10, 10);
        tier.until_same(0, 1);
        tier.run(1000);
        // The lowest places are cut off: the smaller side had the one that decided.
        (0..4).for_each(|p| tier.side[p] = 1);
        tier.should[..4].iter_mut().for_each(|s| *s = says(50));
        tier.should[4..].iter_mut().for_each(|s| *s = says(60));
        tier.until_same(1, 50);
        tier.until_same(0, 60);
        for level in 51..55 {
            tier.run(600);
            tier.should[..4].iter_mut().for_each(|s| *s = says(level));
            tier.until_same(1, level);
        }
        let (small, great) = (tier.same(1).expect("the same"), tier.same(0).expect("the same"));
        assert!(small.number.round >= 4 && great.number.round == 0 && great.over(&small));
        tier.side.fill(0);
        tier.should.fill(says(60));
        tier.until_same(0, 60);
        assert_eq!(tier.same(0).expect("the same").number, great.number, "adopted, and nothing decided anew");
    }

    #[test]
    fn what_flickers_is_decided_twice_a_second_at_most_and_strange_bytes_are_nothing() {
        let mut tier = Tier::new(4, 0);
        tier.until_same(0, 1);
        tier.run(1000);
        let before = tier.same(0).expect("the same").number.epoch;
        for turn in 0..500u32 {
            tier.should.iter_mut().for_each(|s| *s = says(10 + (turn % 2) as u8));
            tier.turn();
        }
        let decided = tier.held(0).expect("held").number.epoch - before;
        assert!((5..=20).contains(&decided), "{decided} in ten seconds");
        let council = tier.all[1].as_mut().expect("it lives");
        assert!(council.kept().count() <= KEPT);
        let (held, mut out) = (council.held().map(|h| h.0.clone()), Vec::new());
        let seen = Seen { living: &[0, 1, 2], most: true, awake: true };
        for bytes in [&[][..], &[0x80], &[0; 25], &says(3).encode()[..24]] {
            assert!(!council.hear(Time(99_000_000), 2, bytes, &seen, &mut out));
        }
        assert!(out.is_empty() && council.held().map(|h| h.0.clone()) == held);
        assert!(
            !Council::new(0, 3, 0, 1).decides(&Seen { living: &[0], most: true, awake: false }),
            "it slept"
        );
    }
}
