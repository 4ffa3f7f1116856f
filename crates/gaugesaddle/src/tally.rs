//! Why client connections were closed and requests were not served: one counter a reason, kept here only, told
//! in the log at most once a second each.

use gaugesaddle_balancer::{Micros, Time};
use std::cell::{Cell, RefCell};

/// A line of the log for the same reason follows after this time at the earliest.
const TOLD_EVERY: Micros = Micros(1_000_000);

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// What is counted. Each closed connection and each request without a served answer has exactly one.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }
        const TEXTS: &[&str] = &[$($text),*];
    };
}

impl Reason {
    /// It was closed so that others have its place, at rest or just refused: the place is theirs at once.
    pub fn makes_room(self) -> bool {
        use Reason::*;
        matches!(self, ClosedIdle | ClosedAhead | ClosedForRoom | ClosedStorm)
    }
}

reasons! {
    /// Its client closed it, or asked for it to be closed.
    ClosedByClient = "closed: by its client";
    /// It brought what can't be read.
    ClosedUnreadable = "closed: can't be read";
    /// It brought no request in its time.
    ClosedUnasked = "closed: no request in time";
    /// It stood between requests for too long.
    ClosedIdle = "closed: idle";
    /// More stood between requests than are kept; nothing was short yet.
    ClosedAhead = "closed: too many idle";
    /// All places were taken: it had been asked on before.
    ClosedForRoom = "closed: for room, idle";
    /// All places were taken: it had brought nothing.
    ClosedForRoomUnasked = "closed: for room, no request yet";
    /// All places were taken: its request was not there whole.
    ClosedForRoomReading = "closed: for room, half a request";
    /// A storm: its request was refused and places are short.
    ClosedStorm = "closed: refused in a storm";
    /// A request on it could not be used.
    ClosedWrong = "closed: after a wrong request";
    /// The proxy is ending.
    ClosedStopping = "closed: the proxy ends";
    /// The operators send the proxy's clients elsewhere.
    ClosedDraining = "closed: the proxy drains";
    /// An answer was owed on it and its client had left.
    ClosedLeft = "closed: left before its answer";
    /// The accept itself failed: no connection came of it.
    AcceptFailed = "accept: failed";
    /// 503: more requests open than the settings allow.
    RefusedOpenCap = "refused: open_cap";
    /// 503: by the module.
    RefusedModule = "refused: by the module";
    /// 503: the bodies of open requests take all their memory.
    RefusedBodies = "refused: memory of bodies";
    /// 502: by the module, or its deadline had passed.
    Failed = "failed";
    /// 400: the request's form.
    WrongForm = "wrong: form";
    /// 411 or 413: the way in which the body is framed.
    WrongFraming = "wrong: framing";
    /// 408 or 400: the body did not come whole.
    WrongBody = "wrong: body not whole";
    /// 409: the id of an open request.
    WrongId = "wrong: id of an open request";
}

#[derive(Clone, Copy, Default)]
struct Row {
    count: u64,
    /// Of these so many have been told, and when.
    told: (u64, Time),
}

/// The counters.
pub struct Tally {
    rows: RefCell<[Row; TEXTS.len()]>,
    untold: Cell<bool>,
}

impl Tally {
    pub fn new() -> Tally {
        Tally { rows: RefCell::new([Row::default(); TEXTS.len()]), untold: Cell::new(false) }
    }

    pub fn count(&self, reason: Reason) {
        self.rows.borrow_mut()[reason as usize].count += 1;
        self.untold.set(true);
    }

    #[cfg(test)]
    pub fn of(&self, reason: Reason) -> u64 {
        self.rows.borrow()[reason as usize].count
    }

    /// All counts, with the names of their reasons.
    pub fn all(&self) -> Vec<(String, u64)> {
        self.rows.borrow().iter().zip(TEXTS).map(|(row, text)| (text.to_string(), row.count)).collect()
    }

    /// What is due to be told: every reason that has counted since and was not told within the last second.
    pub fn due(&self, now: Time) -> Option<String> {
        if !self.untold.get() {
            return None;
        }
        let (mut parts, mut left) = (Vec::new(), false);
        for (row, text) in self.rows.borrow_mut().iter_mut().zip(TEXTS) {
            let more = row.count - row.told.0;
            if more == 0 {
                continue;
            }
            if row.told.0 > 0 && now - row.told.1 < TOLD_EVERY {
                left = true;
                continue;
            }
            row.told = (row.count, now);
            parts.push(format!("{text} +{more} ({})", row.count));
        }
        self.untold.set(left);
        (!parts.is_empty()).then(|| parts.join("; "))
    }
}

#[cfg(test)]
mod tests;
