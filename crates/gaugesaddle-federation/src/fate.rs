//! What became of a request at another region, and what its client may be told then.

use gaugesaddle_balancer::{Effect, KeyScope, Outcome};

/// What a gateway says became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A backend there served it.
    Ran,
    /// No backend there has it, nor will.
    NotRun,
    /// Some backend there may have run it, or may yet.
    MayHaveRun,
}

impl Fate {
    /// Its word in the header `Region-Fate`.
    pub fn text(self) -> &'static str {
        match self {
            Fate::Ran => "ran",
            Fate::NotRun => "not-run",
            Fate::MayHaveRun => "may-have-run",
        }
    }

    /// What a gateway's answer says. Without a word that can be read it may have run: nothing else is safe.
    pub fn read(header: Option<&[u8]>) -> Fate {
        match header {
            Some(b"ran") => Fate::Ran,
            Some(b"not-run") => Fate::NotRun,
            _ => Fate::MayHaveRun,
        }
    }

    /// What a link saw where no answer came. `begun`: some of the request may have been handed to the other side.
    pub fn of_lost(begun: bool) -> Fate {
        match begun {
            true => Fate::MayHaveRun,
            false => Fate::NotRun,
        }
    }

    /// As an attempt's outcome.
    pub fn outcome(self) -> Outcome {
        match self {
            Fate::Ran => Outcome::Ok,
            Fate::NotRun => Outcome::Full,
            Fate::MayHaveRun => Outcome::Reset,
        }
    }
}

/// A final answer to a client whose request another region did not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// Trying again is harmless.
    Refuse,
    /// Nothing is promised.
    Fail,
}

/// What a client is told whose request had that fate elsewhere; it left only as known not to have run here, or free
/// to repeat. A keyed one that may have run there is failed: no hall here would drop its repeat.
pub fn word(effect: Effect, outcome: Outcome) -> Final {
    match effect {
        Effect::Free => Final::Refuse,
        Effect::Keyed(..) | Effect::Unsafe if outcome.never_ran() => Final::Refuse,
        Effect::Keyed(..) | Effect::Unsafe => Final::Fail,
    }
}

/// What a gateway says of a request that its own module refused. A refusal promises that a repeat is harmless among
/// the backends here; for a key that only they know that is no promise for another region.
pub fn of_refusal(effect: Effect) -> Fate {
    match effect {
        Effect::Keyed(KeyScope::All, _) => Fate::MayHaveRun,
        _ => Fate::NotRun,
    }
}

#[cfg(test)]
mod tests;
