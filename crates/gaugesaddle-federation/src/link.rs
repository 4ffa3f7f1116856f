//! One other region, as one proxy of this one sees it: what may leave for it now, and what came of that.

use crate::{onward, Backoff, Barred, Budget, Fate, Path, RoundTrip, Share, Span};
use gaugesaddle_balancer::{Micros, Time};

/// What the operator says of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// This region's own name.
    pub me: String,
    /// The other's.
    pub name: String,
    /// Requests a second that may leave for it, all proxies together, and how many of them within a tenth of one.
    pub per_s: u32,
    /// See `per_s`.
    pub burst: u32,
    /// In flight, all proxies together.
    pub in_flight: u32,
    /// For each class the rate that binds it more closely, if one does, and the worth of a request.
    pub classes: Vec<(Option<u32>, f64)>,
    /// Which proxy this is.
    pub share: Share,
    /// Hops that a client's request may make.
    pub hops: u8,
    /// The round trip until one was measured.
    pub round_trip: Micros,
    /// Taken off a deadline at each hop, beside the round trip.
    pub margin: Micros,
}

/// Why a request does not leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It would go round, or has no hop left.
    Barred(Barred),
    /// What is left of its time is under the round trip.
    TooLate,
    /// The budget is used up.
    Budget,
    /// The region refused, or the link failed, a moment ago.
    Backoff,
}

/// What has come of all, so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Requests that left.
    pub sent: u64,
    /// Of these: served there, refused as not run, and those that may have run.
    pub ran: u64,
    /// See `ran`.
    pub not_run: u64,
    /// See `ran`.
    pub may_have_run: u64,
    /// Requests that did not leave, by [`Refused`].
    pub barred: u64,
    /// See `barred`.
    pub too_late: u64,
    /// See `barred`.
    pub over_budget: u64,
    /// See `barred`.
    pub backed_off: u64,
}

/// One other region.
#[derive(Clone, Debug)]
pub struct Link {
    terms: Terms,
    budget: Budget,
    trip: RoundTrip,
    backoff: Backoff,
    figures: Figures,
}

/// How a hop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopEnd {
    /// What became of the request.
    pub fate: Fate,
    /// Since it left.
    pub took: Micros,
    /// How long the other side had it, where it said so: the rest was the way.
    pub there: Option<Micros>,
    /// It refused and said when to come back.
    pub retry_after: Option<Micros>,
    /// No answer came: the link itself failed.
    pub lost: bool,
}

impl Link {
    /// Nothing is known of it yet.
    pub fn new(terms: Terms) -> Link {
        let Terms { per_s, burst, in_flight, share, round_trip, .. } = terms;
        let budget = Budget::new(per_s, burst, in_flight, &terms.classes, share);
        let (trip, backoff) = (RoundTrip::new(round_trip), Backoff::default());
        Link { terms, budget, trip, backoff, figures: Figures::default() }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.terms.name
    }

    /// How many requests of the class may leave now, while the part `open` of the budget may be used.
    pub fn room(&mut self, now: Time, class: usize, open: f64) -> u32 {
        match self.backoff.open(now) && open > 0.0 {
            true => self.budget.room(now, class, open).unwrap_or(0),
            false => 0,
        }
    }

    /// Requests a second of each class that are expected to want to leave.
    pub fn expect(&mut self, wants: impl IntoIterator<Item = f64>) {
        self.budget.expect(wants);
    }

    /// Another part of the budget from now on.
    pub fn deal(&mut self, span: Span) {
        self.budget.deal(span);
    }

    /// The time that a hop takes on the way.
    pub fn trip(&self, now: Time) -> Micros {
        Micros(self.trip.get(now).0.saturating_add(self.terms.margin.0))
    }

    /// A request wants to leave; `left` is what is left of its time. With what it is told on the way: its path and the
    /// time left there. Each that is let go has to end by [`Link::ended`] once.
    pub fn leave(
        &mut self, now: Time, class: usize, left: Micros, came: Option<&Path>, open: f64,
    ) -> Result<(Path, Micros), Refused> {
        let tried = self.try_leave(now, class, left, came, open);
        let count = match tried {
            Ok(_) => &mut self.figures.sent,
            Err(Refused::Barred(_)) => &mut self.figures.barred,
            Err(Refused::TooLate) => &mut self.figures.too_late,
            Err(Refused::Budget) => &mut self.figures.over_budget,
            Err(Refused::Backoff) => &mut self.figures.backed_off,
        };
        *count += 1;
        tried
    }

    fn try_leave(
        &mut self, now: Time, class: usize, left: Micros, came: Option<&Path>, open: f64,
    ) -> Result<(Path, Micros), Refused> {
        let Terms { me, name, hops, margin, .. } = &self.terms;
        let path = Path::onward(came, me, name, *hops).map_err(Refused::Barred)?;
        let told = onward(left, self.trip.get(now), *margin).ok_or(Refused::TooLate)?;
        if !self.backoff.open(now) {
            return Err(Refused::Backoff);
        }
        // Last, for only this one takes something.
        self.budget.take(now, class, open).map_err(|_| Refused::Budget)?;
        Ok((path, told))
    }

    /// One that left has ended; `unit`: an even draw from 0 to 1.
    pub fn ended(&mut self, now: Time, end: HopEnd, unit: f64) {
        self.budget.ended();
        match end.fate {
            Fate::Ran => self.figures.ran += 1,
            Fate::NotRun => self.figures.not_run += 1,
            Fate::MayHaveRun => self.figures.may_have_run += 1,
        }
        // Never of one that was lost: its time is the client's patience, and taken for the way it would keep all others
        // from leaving long after the link is back.
        if let Some(there) = end.there.filter(|_| !end.lost) {
            self.trip.add(now, Micros(end.took.0.saturating_sub(there.0)));
        }
        if end.lost {
            self.backoff.failed(now, Time(now.0.saturating_sub(end.took.0)), unit);
        } else if let Some(after) = end.retry_after {
            self.backoff.refused(now, after, unit);
        } else {
            self.backoff.answered();
        }
    }

    /// The client of one that left has gone, or its time is up: nothing was learned of the link.
    pub fn withdrawn(&mut self) {
        self.budget.ended();
        self.figures.may_have_run += 1;
    }

    /// Counts so far.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// In flight and how many may be; sent in this second and how many may be.
    pub fn used(&self, now: Time) -> [(u32, u32); 2] {
        [self.budget.in_flight(), self.budget.used(now)]
    }

    /// Until when it is left alone, where it is.
    pub fn paused(&self, now: Time) -> Option<Time> {
        Some(self.backoff.until()).filter(|until| *until > now)
    }
}

#[cfg(test)]
mod tests;
