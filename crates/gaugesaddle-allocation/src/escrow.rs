//! The hard law: an even part for each place, and loans of what is not needed.
//!
//! ```text
//!  lender      set aside ------------------------------------- until -- rest -- its own again
//!                 |  Grant                          Return -> (rest) -> its own again, sooner
//!  borrower  Ask -+----> received -- rest -- usable ------- until
//!             ^ the borrower's time counts from here, so that it is over first
//! ```
//!
//! The borrower counts the term from its question, which lies before the grant, and less by a margin for clocks of
//! unlike rates; so its time is over before the lender's. Between two owners lies a rest: the longest that a use lasts
//! (for what is held), or the window over which a rate is counted. A process that starts has lent what its former one
//! lent: it waits for a term and a rest. What is never lent it waits for a rest only.

use gaugesaddle_balancer::{ConfigError, Micros, Time};

/// Loans that a process has given, and as many that it has taken.
pub const MOST_LOANS: usize = 64;
/// Clocks of two machines may differ in rate by one in so many; quartz does by one in ten thousand.
const DRIFT: u64 = 64;

/// A loan's name: the borrower's process and a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId {
    /// The borrower's process.
    pub boot: u32,
    /// New with each question of that process.
    pub number: u32,
}

/// What is said of loans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Word {
    /// Please lend so many.
    Ask {
        /// Under this name.
        id: LoanId,
        /// How many.
        units: u32,
    },
    /// Please let this loan last for another term.
    Renew {
        /// Which.
        id: LoanId,
        /// Higher with each such question of the loan.
        round: u32,
    },
    /// So many are lent.
    Grant {
        /// The question's.
        id: LoanId,
        /// The question's; 0: of the first.
        round: u32,
        /// How many; none: not now.
        units: u32,
    },
    /// They are not used any more.
    Return {
        /// Which.
        id: LoanId,
    },
}

/// A hard quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// What all places together may use.
    pub whole: u32,
    /// Places of the told list.
    pub places: u16,
    /// Of each even part so many hundredths are never lent.
    pub kept_percent: u32,
    /// A loan's time.
    pub term: Micros,
    /// Between two owners: how long a use lasts at most, or the window of a rate.
    pub rest: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Given {
    to: u16,
    id: LoanId,
    units: u32,
    round: u32,
    /// From then on they are the lender's own again, the rest included.
    back: Time,
    /// The name is known until then, so that a question that comes again is no new one.
    known: Time,
    /// It was given back: nothing renews it.
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Taken {
    from: u16,
    id: LoanId,
    units: u32,
    /// Of the last question about it.
    round: u32,
    since: Time,
    until: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asked {
    to: u16,
    id: LoanId,
    round: u32,
    at: Time,
}

/// A loan that may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Whose units they are.
    pub from: u16,
    /// How many.
    pub units: u32,
    /// Until when.
    pub until: Time,
    /// How often it was asked to last longer.
    pub renewed: u32,
}

/// One process's hold on a hard quantity.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Escrow {
    terms: Terms,
    place: u16,
    boot: u32,
    started: Time,
    next: u32,
    given: Vec<Given>,
    taken: Vec<Taken>,
    asked: Vec<Asked>,
}

impl Terms {
    /// The first term that can't be.
    pub fn check(&self) -> Result<(), ConfigError> {
        let tests = [
            (self.places > 0, "places", "at least one"),
            (self.kept_percent <= 100, "kept_percent", "0 to 100"),
            (self.term.0 >= DRIFT, "term", "time for a loan"),
        ];
        match tests.into_iter().find(|t| !t.0) {
            Some((_, field, expected)) => Err(ConfigError { field, expected }),
            None => Ok(()),
        }
    }

    /// What a place is entitled to; all of them are the whole.
    pub fn even(&self, place: u16) -> u32 {
        let (places, place) = (u32::from(self.places), u32::from(place));
        self.whole / places + u32::from(place < self.whole % places)
    }

    /// What of it is never lent.
    pub fn kept(&self, place: u16) -> u32 {
        (u64::from(self.even(place)) * u64::from(self.kept_percent)).div_ceil(100) as u32
    }

    /// The borrower's time: shorter than the lender's by what clocks may differ.
    fn borrowed(&self) -> Micros {
        Micros(self.term.0 - self.term.0.div_ceil(DRIFT))
    }

    /// A wait that is surely as long by another clock.
    fn surely(&self, span: Micros) -> Micros {
        Micros(span.0 + span.0.div_ceil(DRIFT))
    }
}

impl Escrow {
    /// A process that has just started at a place.
    ///
    /// # Errors
    /// The first term that can't be.
    pub fn new(terms: Terms, place: u16, boot: u32, now: Time) -> Result<Escrow, ConfigError> {
        terms.check()?;
        if place >= terms.places {
            return Err(ConfigError { field: "place", expected: "one of the places" });
        }
        let (given, taken, asked) = (Vec::new(), Vec::new(), Vec::new());
        Ok(Escrow { terms, place, boot, started: now, next: 0, given, taken, asked })
    }

    /// What may be used now, all of it at once.
    pub fn usable(&self, now: Time) -> u32 {
        let taken = self.taken.iter().filter(|t| t.since <= now && now < t.until);
        self.own(now) + taken.map(|t| t.units).sum::<u32>()
    }

    /// What of its own even part is its own now.
    fn own(&self, now: Time) -> u32 {
        let (even, kept) = (self.terms.even(self.place), self.terms.kept(self.place));
        if now < self.started + self.terms.surely(self.terms.rest) {
            return 0; // a former process may still be at it
        }
        if now < self.started + self.terms.term + self.terms.surely(self.terms.rest) {
            return kept; // a former process may have lent the rest of it
        }
        even - self.given(now)
    }

    /// What is lent to others.
    pub fn given(&self, now: Time) -> u32 {
        self.given.iter().filter(|g| now < g.back).map(|g| g.units).sum()
    }

    /// What is borrowed and can be used now or soon, and the earliest end of it.
    pub fn taken(&self, now: Time) -> (u32, Option<Time>) {
        let live = self.taken.iter().filter(|t| now < t.until);
        (live.clone().map(|t| t.units).sum(), live.map(|t| t.until).min())
    }

    /// What of it can still be used at a later time, if nothing more is lent or borrowed: its own part and the loans that
    /// last so long.
    pub fn lasting(&self, now: Time, until: Time) -> u32 {
        let taken = self.taken.iter().filter(|t| until < t.until);
        self.own(now) + taken.map(|t| t.units).sum::<u32>()
    }

    /// What may be lent of its own part now.
    pub fn free(&self, now: Time) -> u32 {
        self.own(now).saturating_sub(self.terms.kept(self.place))
    }

    /// The loans that it may use now.
    pub fn loans(&self, now: Time) -> impl Iterator<Item = Loan> + '_ {
        let usable = self.taken.iter().filter(move |t| t.since <= now && now < t.until);
        usable.map(|t| Loan { from: t.from, units: t.units, until: t.until, renewed: t.round })
    }

    /// Its terms.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Asks another place for some; `None` where too many loans are open already.
    pub fn ask(&mut self, now: Time, to: u16, units: u32) -> Option<Word> {
        self.tidy(now);
        let open = self.taken.len() + self.asked.len();
        if open >= MOST_LOANS || to == self.place || to >= self.terms.places || units == 0 {
            return None;
        }
        let id = LoanId { boot: self.boot, number: self.next };
        self.next = self.next.checked_add(1)?;
        self.asked.push(Asked { to, id, round: 0, at: now });
        Some(Word::Ask { id, units })
    }

    /// Asks for another term of the loan of that place that ends first.
    pub fn renew(&mut self, now: Time, from: u16) -> Option<Word> {
        self.tidy(now);
        if self.asked.len() >= MOST_LOANS {
            return None;
        }
        let of = self.taken.iter_mut().filter(|t| t.from == from);
        let taken = of.min_by_key(|t| t.until)?;
        taken.round = taken.round.checked_add(1)?;
        let (id, round) = (taken.id, taken.round);
        // An earlier question about it counts no more: its answer would be taken for this one's.
        self.asked.retain(|a| a.id != id);
        self.asked.push(Asked { to: from, id, round, at: now });
        Some(Word::Renew { id, round })
    }

    /// Gives back what was borrowed of a place first: it is not used from here on.
    pub fn give_back(&mut self, now: Time, from: u16) -> Option<Word> {
        self.tidy(now);
        let at = self.taken.iter().position(|t| t.from == from)?;
        let id = self.taken.remove(at).id;
        self.asked.retain(|a| a.id != id);
        Some(Word::Return { id })
    }

    /// A word of another place has come; the answer to it, if there is one. `spare`: what may be lent, by whoever knows
    /// the own need; none renews no loan either.
    pub fn hear(&mut self, now: Time, from: u16, word: Word, spare: u32) -> Option<Word> {
        self.tidy(now);
        if from == self.place || from >= self.terms.places {
            return None;
        }
        match word {
            Word::Ask { id, units } => Some(self.lend(now, from, id, units.min(spare))),
            Word::Renew { id, round } => Some(self.extend(now, from, id, round, spare)),
            Word::Grant { id, round, units } => {
                self.granted(now, from, id, round, units);
                None
            }
            Word::Return { id } => {
                if let Some(given) = self.given.iter_mut().find(|g| g.to == from && g.id == id) {
                    // Not its own at once: what was begun with it may last for a rest.
                    given.back = given.back.min(now + self.terms.surely(self.terms.rest));
                    given.over = true;
                }
                None
            }
        }
    }

    fn lend(&mut self, now: Time, to: u16, id: LoanId, units: u32) -> Word {
        if let Some(given) = self.given.iter().find(|g| g.to == to && g.id == id) {
            // The same question again: the same answer. Given back meanwhile, or its time nearly over, the borrower
            // counts from its question and uses nothing that is not its.
            return Word::Grant { id, round: 0, units: given.units };
        }
        let free = self.free(now);
        let units = if self.given.len() < MOST_LOANS { units.min(free) } else { 0 };
        if units > 0 {
            let back = self.back(now);
            self.given.push(Given { to, id, units, round: 0, back, known: back, over: false });
        }
        Word::Grant { id, round: 0, units }
    }

    /// When a loan of now is surely over.
    fn back(&self, now: Time) -> Time {
        now + self.terms.term + self.terms.surely(self.terms.rest)
    }

    fn extend(&mut self, now: Time, to: u16, id: LoanId, round: u32, spare: u32) -> Word {
        let back = self.back(now);
        let given = self.given.iter_mut().find(|g| g.to == to && g.id == id && !g.over && round >= g.round);
        // Asked again, it is answered again: the borrower counts from its question of that round, which lies before.
        let Some(given) = given.filter(|g| round == g.round || spare > 0) else {
            return Word::Grant { id, round, units: 0 };
        };
        if round > given.round {
            (given.round, given.back, given.known) = (round, back, back);
        }
        Word::Grant { id, round, units: given.units }
    }

    fn granted(&mut self, now: Time, from: u16, id: LoanId, round: u32, units: u32) {
        let open = |a: &Asked| a.to == from && a.id == id && a.round == round;
        let Some(at) = self.asked.iter().position(open) else { return };
        let asked = self.asked.remove(at);
        let (since, until) = (now + self.terms.surely(self.terms.rest), asked.at + self.terms.borrowed());
        match self.taken.iter_mut().find(|t| t.from == from && t.id == id) {
            Some(taken) if units > 0 => taken.until = taken.until.max(until),
            Some(_) => {} // it ends when it would have ended
            None if units > 0 && since < until => {
                self.taken.push(Taken { from, id, units, round, since, until });
            }
            None => {}
        }
    }

    fn tidy(&mut self, now: Time) {
        self.given.retain(|g| now < g.known);
        self.taken.retain(|t| now < t.until);
        let term = self.terms.term;
        self.asked.retain(|a| now < a.at + term);
    }
}

#[cfg(test)]
mod tests;
