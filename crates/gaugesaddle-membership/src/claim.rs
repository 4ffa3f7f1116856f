//! Who lives, as one proxy holds it of another, and what changes that. The core of the membership: no time, no network.
//!
//! A claim about one boot is ordered by incarnation and then by standing, so that all who hear the same claims end up
//! with the same one, in whatever order they came:
//!
//! ```text
//!                    same boot, higher incarnation (only its owner raises it)
//!          +------------------------------------------------------------------+
//!          v                                                                  |
//!  Unseen ----> Alive ----------> Suspect ----------> Dead ----------> Left --+
//!    ^   proof    |   no answer      |    its time ran   |  said so by     |
//!    |            |                  |    out            |  its owner      |
//!    +------------+------------------+-------------------+-----------------+
//!                              forgotten, long after
//!
//!  any of them ---- proof of another boot ----> Alive with that boot
//! ```
//!
//! Another boot is never believed from hearsay, nor from a datagram that may be old: only from an answer to a fresh
//! question of one's own. A process that is gone answers none, so no boot comes back, whatever is late or repeated.

/// One process: new with each start, and not 0. No order: which of two is newer is a matter of incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Boot(pub u32);

/// How a proxy stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Told, and never met.
    Unseen,
    /// It answers.
    Alive,
    /// It did not answer somebody, and has not objected yet.
    Suspect,
    /// It did not object in its time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl Standing {
    /// As logs and states write it.
    pub fn name(self) -> &'static str {
        match self {
            Standing::Unseen => "unseen",
            Standing::Alive => "alive",
            Standing::Suspect => "suspect",
            Standing::Dead => "dead",
            Standing::Left => "left",
        }
    }

    /// It counts among the living.
    pub fn lives(self) -> bool {
        matches!(self, Standing::Alive | Standing::Suspect)
    }
}

/// What is said of a proxy: of which boot, in which of its incarnations, and how it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Which process.
    pub boot: Boot,
    /// Raised by that process alone, when something wrong is said of it.
    pub incarnation: u32,
    /// How it stands.
    pub standing: Standing,
}

/// Incarnations above this are none: no process refutes so often, and one more must always fit.
pub const MOST_INCARNATION: u32 = 1 << 30;

/// What came of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is newer: held from now on.
    News,
    /// Held already, or older.
    Known,
    /// It is of a boot that was not met: worth a question.
    Ask,
}

/// What is held of one proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Held(Option<Claim>);

impl Held {
    /// The claim, if it was ever met.
    pub fn claim(self) -> Option<Claim> {
        self.0
    }

    /// How it stands.
    pub fn standing(self) -> Standing {
        self.0.map_or(Standing::Unseen, |c| c.standing)
    }

    /// Its process, if it was ever met.
    pub fn boot(self) -> Option<Boot> {
        self.0.map(|c| c.boot)
    }

    /// Hearsay, also what a proxy's own datagram says of it.
    pub fn hear(&mut self, claim: Claim) -> Heard {
        match self.0 {
            Some(held) if held.boot == claim.boot => {
                if (claim.incarnation, claim.standing) > (held.incarnation, held.standing) {
                    self.0 = Some(claim);
                    Heard::News
                } else {
                    Heard::Known
                }
            }
            // That somebody else's former process is dead or gone is no reason to ask.
            _ if !claim.standing.lives() => Heard::Known,
            _ => Heard::Ask,
        }
    }

    /// A fresh answer: this boot lived after the question was asked. `true` where that is news.
    pub fn prove(&mut self, boot: Boot, incarnation: u32) -> Heard {
        let lives = Claim { boot, incarnation, standing: Standing::Alive };
        match self.0 {
            Some(held) if held.boot == boot => self.hear(lives),
            // The question said what is held; who answers has raised its incarnation above that. If it is not above,
            // something newer of the former process came in between: the next question tells it.
            Some(held) if incarnation <= held.incarnation => Heard::Ask,
            _ => {
                self.0 = Some(lives);
                Heard::News
            }
        }
    }

    /// Own judgement: no answer, or no objection in time. `None` where there is nothing to judge.
    pub fn judge(&mut self, standing: Standing) -> Option<Claim> {
        let held = self.0.filter(|c| c.standing < standing)?;
        self.0 = Some(Claim { standing, ..held });
        self.0
    }

    /// So long dead or gone that nobody needs to know.
    pub fn forget(&mut self) {
        self.0 = None;
    }
}

/// What a proxy is to itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Own {
    /// This process.
    pub boot: Boot,
    /// Raised when something wrong is said of it.
    pub incarnation: u32,
}

impl Own {
    /// A process that has just started.
    pub fn new(boot: Boot) -> Own {
        Own { boot, incarnation: 0 }
    }

    /// Somebody says this of the own place. `true` where it was wrong and had to be refuted: that this process does
    /// not live, or that another one has its place.
    pub fn accused(&mut self, claim: Claim) -> bool {
        let wrong = claim.boot != self.boot || claim.standing != Standing::Alive;
        if !wrong || claim.standing == Standing::Unseen || claim.incarnation < self.incarnation {
            return false;
        }
        self.incarnation = claim.incarnation.saturating_add(1).min(MOST_INCARNATION);
        true
    }

    /// What others are to hold.
    pub fn claim(self) -> Claim {
        Claim { boot: self.boot, incarnation: self.incarnation, standing: Standing::Alive }
    }
}

#[cfg(test)]
mod tests;
