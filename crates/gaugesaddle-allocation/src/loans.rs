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
mod tests;
