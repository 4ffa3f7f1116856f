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
            part: l.part,
            before: l.before,
            users: l.users,
        });
        self.uses = told.collect();
        (self.members, self.listed) = (members, listed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    fn listed(count: u64) -> Vec<Listed> {
        (0..count).map(|n| (BackendId(n * 7 + 1), KindId(n % 2), ZoneId(n % 3))).collect()
    }

    fn dealers(count: usize) -> Vec<Dealer> {
        vec![Dealer::new(Dealing::default()); count]
    }

    fn look(dealer: &mut Dealer, at: u64, awake: u64, own: usize, needs: &[Option<f64>]) -> Look {
        let places: Vec<u16> = (0..needs.len() as u16).collect();
        let seen = Seen { told: 60, awake: Micros(awake), still: Micros(0), own, places: &places, needs };
        dealer.look(Time(at), &seen, listed(60))
    }

    #[test]
    fn all_take_the_whole_of_each_backend_and_one_that_wakes_keeps_what_it_had() {
        let needs: Vec<Option<f64>> = (0..60).map(|n| Some(1.0 + f64::from(n % 5))).collect();
        let mut all = dealers(60);
        for (own, dealer) in all.iter_mut().enumerate() {
            assert_eq!(look(dealer, 0, S, own, &needs), Look::Waking(1.0), "awake for a second only");
            assert!(dealer.uses().is_empty());
            let Look::ByNeed(tier) = look(dealer, S, 3 * S, own, &needs) else { panic!("it knows") };
            assert_eq!((tier.proxies, tier.position), (60, own as u32));
        }
        for (id, _, _) in listed(60) {
            let of = all.iter().flat_map(|d| d.uses()).filter(|u| u.backend == id);
            assert!((of.map(|u| u.part).sum::<f64>() - 1.0).abs() < 1e-9);
        }
        let Look::ByNeed(tier) = look(&mut all[4], 60 * S, 60 * S, 4, &needs) else { panic!("it knows") };
        assert!((1.5..1.7).contains(&tier.weight), "0.1 and 0.9 of five in three: {tier:?}");
        let (held, uses) = (tier.weight, all[4].uses().to_vec());
        let Look::Waking(weight) = look(&mut all[4], 61 * S, 0, 4, &needs[..5]) else { panic!("it slept") };
        assert!((weight - held).abs() < 0.02 && all[4].uses() == uses);
    }

    #[test]
    fn one_that_starts_goes_by_what_it_sees_once_that_stands_still_and_one_that_slept_does_not() {
        let mut dealer = dealers(1).remove(0);
        let needs = [Some(1.0), Some(1.0), Some(1.0)];
        let mut look = |told: usize, at: u64, awake: u64, still: u64| {
            let (awake, still) = (Micros(awake), Micros(still));
            let seen = Seen { told, awake, still, own: 0, places: &[0, 7, 9], needs: &needs };
            matches!(dealer.look(Time(at), &seen, listed(60)), Look::ByNeed(_))
        };
        assert!(!look(30, S / 4, S / 4, S / 4), "others may not have had the time to answer");
        assert!(!look(30, S, S, S / 10), "they are still being met");
        assert!(!look(3, S, S, S), "as many as were told: even parts will do until needs are known");
        assert!(look(30, S + S / 4, S + S / 4, 3 * S / 10));
        assert!(!look(30, 20 * S, S, 19 * S), "what stands still since it slept says nothing");
        assert!(look(30, 21 * S, 2 * S, 0));
    }

    #[test]
    fn what_cannot_be_seen_changes_nothing() {
        let mut dealer = dealers(1).remove(0);
        let needs = [Some(1.0), None];
        assert!(matches!(look(&mut dealer, 0, 3 * S, 2, &needs), Look::Waking(_)), "no such place");
        let seen =
            Seen { told: 2, awake: Micros(3 * S), still: Micros(0), own: 0, places: &[0], needs: &needs };
        assert!(matches!(dealer.look(Time(0), &seen, listed(3)), Look::Waking(_)), "places without needs");
    }
}
