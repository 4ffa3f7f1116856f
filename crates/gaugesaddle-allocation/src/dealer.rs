//! One proxy's part of the soft quantities and the backends that it uses, from what it sees of its tier, look by look.

use crate::{parts, uses, Crowd, Glide, Law, Member, Server};
use gaugesaddle_balancer::{mix, BackendId, KindId, Micros, Tier, Time, Use, ZoneId};

/// Before a proxy has been awake for so long it does not know who lives: it goes by what it was told, or knew last.
pub const AWAKE: Micros = Micros(2_000_000);
/// One that has just started knows nothing but the told number, which may be ten times what lives. It goes by what it sees
/// once nobody was met for so long: it has asked some thirty places by then, each of them has had the time to answer, and
/// of 300 that start at once 95 in 100 are met within 0.11 s and the last within 0.56 s (`docs/design/peers.md`). Where
/// about as many live as were told it waits: nobody has told a need yet, and even parts are what the module has anyway.
const STILL: Micros = Micros(300_000);
/// What the module is told moves in steps of this: less would make it choose anew for nothing.
const STEP: f64 = 0.02;
/// What the module takes for a weight at least and at most: beyond the law's bounds for any tier that can be.
const WEIGHTS: (f64, f64) = (0.02, 100.0);

/// How parts are dealt out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dealing {
    /// How needs become parts.
    pub law: Law,
    /// A part that should be other by less than this part of it stays.
    pub least: f64,
    /// Two thirds of the way to another part take so long.
    pub over: Micros,
    /// How many use what.
    pub crowd: Crowd,
}

impl Default for Dealing {
    fn default() -> Dealing {
        // A tenth is chance among some hundred requests; two seconds are some looks and no load's whole life.
        Dealing { law: Law::default(), least: 0.1, over: Micros(2_000_000), crowd: Crowd::default() }
    }
}

/// The tier as one proxy sees it: those that live, this one among them, in an order that all share.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    /// How many it was told of.
    pub told: usize,
    /// So long this process has been awake.
    pub awake: Micros,
    /// So long nobody came to those that live or went from them.
    pub still: Micros,
    /// Which of them this proxy is.
    pub own: usize,
    /// Their places in the told list.
    pub places: &'a [u16],
    /// What each needs, in requests a second; `None`: not told yet.
    pub needs: &'a [Option<f64>],
}

/// A backend that is listed ready.
pub type Listed = (BackendId, KindId, ZoneId);

/// What a look led to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Look {
    /// It does not know yet who lives; what it was told last stands, with this weight.
    Waking(f64),
    /// The module is to be told this, and [`Dealer::uses`].
    ByNeed(Tier),
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Dealer {
    dealing: Dealing,
    weight: Option<Glide>,
    members: Vec<Member>,
    listed: Vec<Listed>,
    uses: Vec<Use>,
    span: (f64, f64),
}

impl Dealer {
    /// One that has seen nothing yet.
    pub fn new(dealing: Dealing) -> Dealer {
        Dealer {
            dealing,
            weight: None,
            members: Vec::new(),
            listed: Vec::new(),
            uses: Vec::new(),
            span: (0.0, 0.0),
        }
    }

    /// The backends that this proxy uses, as of the last look that knew who lives.
    pub fn uses(&self) -> &[Use] {
        &self.uses
    }

    /// The parts of those before it, and its own, as of then: what is whole numbers is cut by it.
    pub fn span(&self) -> (f64, f64) {
        self.span
    }

    /// Backends that were listed then.
    pub fn listed(&self) -> usize {
        self.listed.len()
    }

    /// Looks at the tier and at the list.
    pub fn look(&mut self, now: Time, seen: &Seen, listed: Vec<Listed>) -> Look {
        let fewer = (seen.places.len() as f64) < (1.0 - self.dealing.least) * seen.told as f64;
        let early = fewer && self.weight.is_none() && seen.awake.min(seen.still) >= STILL;
        let knows = early || seen.awake >= AWAKE;
        if !knows || seen.own >= seen.places.len() || seen.places.len() != seen.needs.len() {
            return Look::Waking(self.weight.map_or(1.0, |w| w.get(now)));
        }
        let parts = parts(&self.dealing.law, seen.needs);
        let living = parts.len() as f64;
        self.span = (parts[..seen.own].iter().sum(), parts[seen.own]);
        let weight = self.weight.get_or_insert(Glide::new(now, 1.0, self.dealing.least, self.dealing.over));
        weight.aim(now, parts[seen.own] * living);
        let weight = ((weight.get(now) / STEP).round() * STEP).clamp(WEIGHTS.0, WEIGHTS.1);
        let marked = seen.places.iter().zip(&parts);
        let members = marked.map(|(place, part)| Member { mark: u64::from(*place), part: *part }).collect();
        self.deal(members, seen.own, listed);
        Look::ByNeed(Tier { proxies: parts.len() as u32, position: seen.own as u32, weight })
    }

    /// Deals the backends out anew where anything has changed.
    fn deal(&mut self, members: Vec<Member>, own: usize, listed: Vec<Listed>) {
        if members == self.members && listed == self.listed {
            return;
        }
        let server = |(id, kind, zone): &Listed| Server { mark: mix(id.0), kind: kind.0, zone: zone.0 };
        let servers: Vec<Server> = listed.iter().map(server).collect();
        let rows = uses(&members, &servers, &self.dealing.crowd);
        let row = rows.into_iter().nth(own).unwrap_or_default();
        let told = row.into_iter().map(|l| Use {
            backend: listed[l.server].0,
            weight: l.weight,
            fraction: l.part,
            preceding: l.before,
            users: l.users,
        });
        self.uses = told.collect();
        (self.members, self.listed) = (members, listed);
    }
}

#[cfg(test)]
mod tests;
