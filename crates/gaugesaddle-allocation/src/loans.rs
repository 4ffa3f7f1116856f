//! One proxy's hold on all hard quantities: what it borrows and lends by its need, and the words of it as bytes.

use crate::escrow::{Escrow, LoanId, Terms, Word};
use gaugesaddle_balancer::{ConfigError, Micros, Time};

/// Hard quantities of a proxy.
pub const MOST_QUANTITIES: usize = 16;
/// A word of a loan is so long: quantity and kind, the loan's name, round, units.
pub const WORD_BYTES: usize = 18;
/// What is borrowed is what is needed and a quarter: counts in a second vary, and a loan takes a rest to be used.
const SPARE: f64 = 1.25;
/// A loan that ends within this part of its term is as good as over: another one takes a question and a rest.
const AHEAD: u64 = 2;
/// Others are asked so many at a time, and of a great tier a quarter: enough to find who has some within a few looks.
const ASKED: std::ops::RangeInclusive<usize> = 2..=16;
/// A need is a mean over some of the last looks, the newest of them so much.
const NEWEST: f64 = 0.25;
/// A count so many times the need is no chance: a surge, and the need begins anew with it.
const SURGE: f64 = 2.0;
/// What a need is in a surge is known after so many looks. Until then nothing is asked for and nothing lent: what meets all
/// is seen by one of them first, and what that borrows of the others, who seem to need nothing, they miss for a whole term.
const SETTLED: u32 = 3;

/// What can be told of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanView {
    /// What all places together may use.
    pub whole: u32,
    /// The even part.
    pub even: u32,
    /// What may be used now.
    pub usable: u32,
    /// Lent to others.
    pub given: u32,
    /// Borrowed, and the earliest end of it.
    pub taken: u32,
    /// See `taken`.
    pub until: Option<Time>,
    /// What is needed, as it was told last.
    pub need: u32,
}

#[derive(Clone, Debug)]
struct Held {
    escrow: Escrow,
    need: f64,
    /// Looks since its last surge began.
    looks: u32,
    /// Who is asked next.
    next: usize,
}

impl Held {
    fn wanted(&self) -> u32 {
        (self.need * SPARE).ceil() as u32
    }

    fn take_up(&mut self, need: f64) {
        if need > SURGE * self.need {
            (self.need, self.looks) = (need, 1);
        } else {
            self.looks = self.looks.saturating_add(1);
            self.need += (1.0 / f64::from(self.looks)).max(NEWEST) * (need - self.need);
        }
    }

    fn is_settled(&self) -> bool {
        self.looks >= SETTLED
    }
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Loans {
    place: u16,
    held: Vec<Held>,
}

/// A word to a place, as bytes.
pub type Letter = (u16, Vec<u8>);

fn encode(quantity: usize, word: &Word) -> Vec<u8> {
    let (kind, id, round, units) = match *word {
        Word::Ask { id, units } => (1, id, 0, units),
        Word::Grant { id, round, units } => (2, id, round, units),
        Word::Return { id } => (3, id, 0, 0),
        Word::Renew { id, round } => (4, id, round, 0),
    };
    let mut bytes = vec![0; WORD_BYTES];
    (bytes[0], bytes[1]) = (quantity as u8, kind);
    for (at, number) in [(2, id.boot), (6, id.number), (10, round), (14, units)] {
        bytes[at..at + 4].copy_from_slice(&number.to_be_bytes());
    }
    bytes
}

fn decode(bytes: &[u8]) -> Option<(usize, Word)> {
    let bytes: &[u8; WORD_BYTES] = bytes.try_into().ok()?;
    let number = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let (id, round, units) = (LoanId { boot: number(2), number: number(6) }, number(10), number(14));
    let word = match (bytes[1], round, units) {
        (1, 0, _) => Word::Ask { id, units },
        (2, ..) => Word::Grant { id, round, units },
        (3, 0, 0) => Word::Return { id },
        (4, _, 0) => Word::Renew { id, round },
        _ => return None,
    };
    Some((usize::from(bytes[0]), word))
}

impl Loans {
    /// A process that has just started at a place, and holds these quantities by their numbers.
    ///
    /// # Errors
    /// The first term that can't be.
    pub fn new(terms: &[Terms], place: u16, boot: u32, now: Time) -> Result<Loans, ConfigError> {
        if terms.len() > MOST_QUANTITIES {
            return Err(ConfigError { field: "quantities", expected: "up to 16" });
        }
        let held = |t: &Terms| {
            Ok(Held {
                escrow: Escrow::new(*t, place, boot, now)?,
                need: 0.0,
                looks: SETTLED,
                next: usize::from(place),
            })
        };
        Ok(Loans { place, held: terms.iter().map(held).collect::<Result<_, _>>()? })
    }

    /// What may be used of a quantity now; nothing of one that is not held.
    pub fn usable(&self, quantity: usize, now: Time) -> u32 {
        self.held.get(quantity).map_or(0, |h| h.escrow.usable(now))
    }

    /// What can be told of a quantity.
    pub fn view(&self, quantity: usize, now: Time) -> Option<LoanView> {
        let h = self.held.get(quantity)?;
        let ((taken, until), terms) = (h.escrow.taken(now), h.escrow.terms());
        Some(LoanView {
            whole: terms.whole,
            even: terms.even(self.place),
            usable: h.escrow.usable(now),
            given: h.escrow.given(now),
            taken,
            until,
            need: h.need.ceil() as u32,
        })
    }

    /// A look, a few times in a second: what is needed of each quantity now, and who lives. What is short is asked for,
    /// and what is not needed any more is given back.
    pub fn look(&mut self, now: Time, needs: &[f64], living: &[u16], out: &mut Vec<Letter>) {
        let others: Vec<u16> = living.iter().copied().filter(|p| *p != self.place).collect();
        for (quantity, h) in self.held.iter_mut().enumerate() {
            let need = needs.get(quantity).copied().filter(|n| n.is_finite()).unwrap_or(0.0).max(0.0);
            h.take_up(need);
            let wanted = h.wanted();
            let ends = now + Micros(h.escrow.terms().term.0 / AHEAD);
            let idle = h.escrow.loans(now).find(|l| wanted + l.units <= h.escrow.usable(now)).map(|l| l.from);
            let mut say = |to: u16, word: Option<Word>| {
                out.extend(word.map(|word| (to, encode(quantity, &word))));
            };
            if let Some(from) = idle {
                // One at a time: the need may come back.
                say(from, h.escrow.give_back(now, from));
            }
            // What is needed and ends soon is asked for again of who lent it, which takes no rest; the rest of others.
            let ending: Vec<u16> = h.escrow.loans(now).filter(|l| l.until <= ends).map(|l| l.from).collect();
            ending.into_iter().for_each(|from| say(from, h.escrow.renew(now, from)));
            let has = h.escrow.usable(now).max(h.escrow.lasting(now, ends));
            if has < wanted && h.is_settled() && !others.is_empty() {
                let asked = (others.len() / 4).clamp(*ASKED.start(), *ASKED.end()).min(others.len());
                let units = (wanted - has).div_ceil(asked as u32);
                for _ in 0..asked {
                    h.next = (h.next + 1) % others.len();
                    let to = others[h.next];
                    say(to, h.escrow.ask(now, to, units));
                }
            }
        }
    }

    /// Bytes of another place have come; what is said to that.
    pub fn hear(&mut self, now: Time, from: u16, bytes: &[u8], out: &mut Vec<Letter>) {
        let Some((quantity, word)) = decode(bytes) else { return };
        let Some(h) = self.held.get_mut(quantity) else { return };
        let (usable, wanted) = (h.escrow.usable(now), h.wanted());
        let spare = match word {
            Word::Renew { .. } => u32::from(wanted <= usable),
            _ if !h.is_settled() => 0,
            _ => usable.saturating_sub(wanted),
        };
        let answer = h.escrow.hear(now, from, word, spare);
        out.extend(answer.map(|word| (from, encode(quantity, &word))));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: u64 = 1_000_000;

    fn terms(whole: u32, places: u16) -> Terms {
        Terms { whole, places, kept_percent: 25, term: Micros(4 * S), rest: Micros(S) }
    }

    /// Proxies that hear one another at once, with looks each half second.
    struct Tier {
        all: Vec<Option<Loans>>,
        whole: u32,
        now: u64,
        boots: u32,
    }

    impl Tier {
        fn new(whole: u32, places: u16) -> Tier {
            let one = |p| Loans::new(&[terms(whole, places)], p, 1 + u32::from(p), Time(0)).expect("sound");
            Tier { all: (0..places).map(|p| Some(one(p))).collect(), whole, now: 0, boots: 100 }
        }

        fn living(&self) -> Vec<u16> {
            (0..self.all.len()).filter(|p| self.all[*p].is_some()).map(|p| p as u16).collect()
        }

        /// Half a second, letters passing where they may.
        fn look(&mut self, needs: &[f64], passes: impl Fn(u16, u16) -> bool) {
            self.now += S / 2;
            let (now, living) = (Time(self.now), self.living());
            for place in living.clone() {
                let mut letters = Vec::new();
                let sees: Vec<u16> = living.iter().copied().filter(|p| passes(place, *p)).collect();
                let one = self.all[usize::from(place)].as_mut().expect("it lives");
                one.look(now, &[needs[usize::from(place)]], &sees, &mut letters);
                for (to, bytes) in letters {
                    let mut answers = Vec::new();
                    let there = self.all[usize::from(to)].as_mut().filter(|_| passes(place, to));
                    there.into_iter().for_each(|t| t.hear(now, place, &bytes, &mut answers));
                    for (_, bytes) in answers.into_iter().filter(|_| passes(to, place)) {
                        let back = self.all[usize::from(place)].as_mut().expect("it lives");
                        back.hear(now, to, &bytes, &mut Vec::new());
                    }
                }
            }
            let sum: u32 = self.all.iter().flatten().map(|l| l.usable(0, now)).sum();
            assert!(sum <= self.whole, "{sum} of {} at {}", self.whole, self.now);
        }

        fn usable(&self, place: usize) -> u32 {
            self.all[place].as_ref().map_or(0, |l| l.usable(0, Time(self.now)))
        }
    }

    #[test]
    fn one_that_needs_all_gets_most_of_it_and_gives_it_back() {
        for places in [2u16, 3, 10, 30] {
            let mut tier = Tier::new(120, places);
            let mut needs = vec![0.0; usize::from(places)];
            (0..12).for_each(|_| tier.look(&needs, |_, _| true));
            needs[0] = 80.0;
            (0..12).for_each(|_| tier.look(&needs, |_, _| true));
            for _ in 0..40 {
                tier.look(&needs, |_, _| true);
                assert!(tier.usable(0) >= 76, "{places} places: {} of 80", tier.usable(0));
            }
            needs[0] = 0.0;
            (0..40).for_each(|_| tier.look(&needs, |_, _| true));
            assert_eq!(
                (0..usize::from(places)).map(|p| tier.usable(p)).sum::<u32>(),
                120,
                "all are their own"
            );
        }
    }

    #[test]
    fn a_surge_that_meets_all_is_borrowed_by_none_though_one_sees_it_first() {
        let mut tier = Tier::new(72, 3);
        (0..12).for_each(|_| tier.look(&[0.0; 3], |_, _| true));
        // Counts of half a second each, as uneven as such are; the need of each is what its even part is for.
        let counts = [[30.0, 0.0, 0.0], [20.0, 14.0, 26.0], [24.0, 26.0, 12.0], [16.0, 18.0, 20.0]];
        for needs in counts.iter().chain(std::iter::repeat_n(&[19.0; 3], 20)) {
            tier.look(needs, |_, _| true);
            assert_eq!([0, 1, 2].map(|p| tier.usable(p)), [24; 3], "at {}", tier.now);
        }
    }

    #[test]
    fn what_the_killed_had_is_not_used_and_what_they_had_borrowed_comes_back() {
        let mut tier = Tier::new(90, 3);
        (0..12).for_each(|_| tier.look(&[0.0; 3], |_, _| true));
        (0..12).for_each(|_| tier.look(&[70.0, 0.0, 0.0], |_, _| true));
        assert!(tier.usable(0) > 65);
        tier.all[0] = None;
        (0..14).for_each(|_| tier.look(&[0.0, 70.0, 0.0], |_, _| true));
        assert_eq!(tier.usable(1), 52, "its own, and all that the third may lend");
        let boot = tier.boots;
        tier.all[0] = Some(Loans::new(&[terms(90, 3)], 0, boot, Time(tier.now)).expect("sound"));
        (0..24).for_each(|_| tier.look(&[0.0, 70.0, 0.0], |_, _| true));
        assert!(tier.usable(1) >= 68, "{}", tier.usable(1));
    }

    #[test]
    fn words_come_through_and_nonsense_does_not() {
        let id = LoanId { boot: 7, number: 9 };
        for word in [
            Word::Ask { id, units: 5 },
            Word::Grant { id, round: 6, units: 0 },
            Word::Return { id },
            Word::Renew { id, round: 2 },
        ] {
            assert_eq!(decode(&encode(3, &word)), Some((3, word)));
        }
        let mut one = Loans::new(&[terms(10, 2)], 0, 1, Time(0)).expect("sound");
        let mut out = Vec::new();
        for bytes in
            [&[][..], &[0; 17], &[0; 18], &[9; 18], &[0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1]]
        {
            one.hear(Time(9 * S), 1, bytes, &mut out);
        }
        one.look(Time(9 * S), &[f64::NAN], &[0, 1], &mut out);
        assert!(out.is_empty(), "{out:?}");
        assert_eq!((one.usable(0, Time(9 * S)), one.usable(1, Time(9 * S))), (5, 0));
        assert!(Loans::new(&[terms(10, 2); 17], 0, 1, Time(0)).is_err());
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

        /// Needs that swap, cuts, kills and returns: [`Tier::look`] holds the sum each time.
        #[test]
        fn whatever_happens_the_sum_is_never_over_the_whole(
            places in 2u16..9, whole in 0u32..200,
            steps in prop::collection::vec((0u8..5, 0usize..9, 0.0f64..150.0, 1usize..9), 1..25)
        ) {
            let mut tier = Tier::new(whole, places);
            let count = usize::from(places);
            let (mut needs, mut cut) = (vec![1.0; count], vec![0u8; count]);
            for (kind, at, need, looks) in steps {
                let at = at % count;
                match kind {
                    0 | 1 => needs[at] = need,
                    2 => cut[at] ^= 1,
                    3 => tier.all[at] = None,
                    _ => {
                        tier.boots += 1;
                        let one = Loans::new(&[terms(whole, places)], at as u16, tier.boots, Time(tier.now));
                        tier.all[at] = Some(one.expect("sound"));
                    }
                }
                for _ in 0..looks {
                    tier.look(&needs, |a, b| cut[usize::from(a)] == cut[usize::from(b)]);
                }
            }
        }
    }
}
