//! The soft law: parts by need, with a floor and a bound, the same for all that see the same.

use gaugesaddle_balancer::{Micros, Time};

/// How needs become parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Law {
    /// This part of the whole is dealt out evenly, whatever the needs: who has just come, or says nothing, can begin.
    pub floor: f64,
    /// No part is more than so many times the even one: what one that lies, or reports nonsense, can take.
    pub most: f64,
}

impl Default for Law {
    fn default() -> Law {
        // A tenth: a newcomer serves a tenth of an even part at once. Eight: traffic as uneven as 1 to 5 is not cut, and
        // of 30 proxies one that lies takes no more than a quarter of what the needs deal out.
        Law { floor: 0.1, most: 8.0 }
    }
}

/// The parts of members by their needs, in their order; they sum to one. `None`: it has not said, and counts as the
/// mean of those that have. What is no number, or below zero, is not said.
pub fn parts(law: &Law, needs: &[Option<f64>]) -> Vec<f64> {
    let count = needs.len() as f64;
    if needs.is_empty() {
        return Vec::new();
    }
    let said = |n: &Option<f64>| n.filter(|n| n.is_finite() && *n >= 0.0);
    // As parts of the greatest: sums of the greatest numbers that there are would be none.
    let top = needs.iter().filter_map(said).fold(0.0, f64::max);
    let known: Vec<f64> =
        needs.iter().filter_map(said).map(|n| if top > 0.0 { n / top } else { 0.0 }).collect();
    let mean = if known.is_empty() { 0.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    let wants: Vec<f64> =
        needs.iter().map(|n| said(n).map_or(mean, |n| if top > 0.0 { n / top } else { 0.0 })).collect();
    let by_need = capped(&wants, (law.most / count).max(1.0 / count));
    by_need.into_iter().map(|part| law.floor / count + (1.0 - law.floor) * part).collect()
}

/// Parts in the relation of the wants, none above `most`; what is cut off goes to the others by theirs.
fn capped(wants: &[f64], most: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|a, b| wants[*b].total_cmp(&wants[*a]).then(a.cmp(b)));
    let mut parts = vec![0.0; wants.len()];
    let (mut left, mut rest) = (1.0, wants.iter().sum::<f64>());
    for (rank, i) in order.iter().enumerate() {
        let others = (wants.len() - rank) as f64;
        // Where nobody left wants anything the rest is even.
        let due = if rest > 1e-12 { left * wants[*i] / rest } else { left / others };
        parts[*i] = due.min(most);
        left -= parts[*i];
        rest -= wants[*i];
    }
    // All at the bound: it is no bound then, as in a tier of few.
    if left > 1e-9 {
        let sum: f64 = parts.iter().sum();
        parts
            .iter_mut()
            .for_each(|p| *p += left * if sum > 0.0 { *p / sum } else { 1.0 / wants.len() as f64 });
    }
    parts
}

/// Rates are means over some of the last looks, the newest of them a quarter: with a look each half second they follow
/// a jump within two seconds, and chance among some ten requests a second is a fifth.
const NEWEST: f64 = 0.25;
/// Looks that such a mean rests on, about.
const LOOKS: f64 = 2.0 / NEWEST - 1.0;
/// A need that is off by less than this part of it, or by less than so many spreads of the count that the mean rests on,
/// stands: others' parts move by it.
const NEED_LEAST: f64 = 0.1;
const NEED_SPREADS: f64 = 2.0;

/// A rate, kept as a mean over looks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    per_s: Option<f64>,
}

impl Rate {
    /// So many came since the last look, so many seconds ago, above 0; the mean with them, in a second.
    pub fn look(&mut self, came: u32, secs: f64) -> f64 {
        let now = f64::from(came) / secs;
        let mean = self.per_s.map_or(now, |mean| mean + NEWEST * (now - mean));
        *self.per_s.insert(mean)
    }
}

/// What a proxy needs, as it tells the others: the requests that come to it in a second, as a mean that stands until it
/// is off by more than chance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    looks: u32,
    rate: Rate,
    stands: Option<f64>,
}

impl Need {
    /// So many came since the last look, so many seconds ago; what is told from now on. `None` at first: of a proxy that has
    /// just come what came so far says little of what will, and the others take the mean of theirs for it.
    pub fn look(&mut self, came: u32, secs: f64) -> Option<f64> {
        let secs = secs.max(1e-3);
        let mean = self.rate.look(came, secs);
        self.looks = self.looks.saturating_add(1);
        if f64::from(self.looks) < LOOKS {
            return None;
        }
        let stands = self.stands.unwrap_or(mean);
        let chance = NEED_SPREADS * (stands.max(mean) / (LOOKS * secs)).sqrt();
        let off = (mean - stands).abs() > chance.max(NEED_LEAST * stands);
        self.stands = Some(if off { mean } else { stands });
        self.stands
    }
}

/// A part on its way to where it should be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Glide {
    value: f64,
    goal: f64,
    at: Time,
    /// A goal that differs by less than this part of the present one is noise.
    least: f64,
    /// Two thirds of the way take so long.
    over: Micros,
}

impl Glide {
    /// A part that stands.
    pub fn new(now: Time, value: f64, least: f64, over: Micros) -> Glide {
        Glide { value, goal: value, at: now, least, over }
    }

    /// Where it should be, as of now.
    pub fn aim(&mut self, now: Time, goal: f64) {
        self.value = self.get(now);
        self.at = self.at.max(now);
        if (goal - self.goal).abs() > self.least * self.goal {
            self.goal = goal;
        }
    }

    /// Where it is.
    pub fn get(&self, now: Time) -> f64 {
        let passed = (now - self.at).secs() / self.over.secs().max(1e-6);
        self.goal + (self.value - self.goal) * (-passed).exp()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn all(needs: &[f64]) -> Vec<Option<f64>> {
        needs.iter().copied().map(Some).collect()
    }

    #[test]
    fn parts_follow_needs_from_a_floor_up_to_a_bound() {
        let law = Law::default();
        let close = |a: f64, b: f64| (a - b).abs() < 1e-9;
        assert!(parts(&law, &[]).is_empty());
        assert_eq!(parts(&law, &[Some(3.0)]), [1.0]);
        let even = parts(&law, &[None, None, Some(0.0), Some(f64::NAN)]);
        assert!(even.iter().all(|p| close(*p, 0.25)), "{even:?}");
        let uneven = parts(&law, &all(&[1.0, 5.0, 2.0]));
        assert!(close(uneven[1], 0.1 / 3.0 + 0.9 * 5.0 / 8.0), "{uneven:?}");
        let newcomer = parts(&law, &[Some(10.0), Some(20.0), None]);
        assert!(close(newcomer[2], 1.0 / 3.0), "the mean: {newcomer:?}");
        let mut needs = vec![1.0; 30];
        needs[7] = 1e300;
        let liar = parts(&law, &all(&needs));
        assert!(close(liar[7], 0.1 / 30.0 + 0.9 * 8.0 / 30.0), "{}", liar[7]);
        assert!(liar[0] > 0.75 / 30.0, "what the others keep: {}", liar[0] * 30.0);
    }

    #[test]
    fn a_need_stands_in_chance_and_follows_what_is_more() {
        let mut need = Need::default();
        assert!((1..7).all(|_| need.look(5, 0.5).is_none()), "it has just come");
        assert_eq!(need.look(5, 0.5), Some(10.0));
        let mut told = |came: u32| need.look(came, 0.5).expect("it knows");
        assert!([7, 3, 6, 4, 5, 8, 2, 5].into_iter().all(|came| told(came) == 10.0), "so many are chance");
        let more: Vec<f64> = (0..10).map(|_| told(25)).collect();
        assert!(more[3] > 30.0 && more[9] > 40.0, "{more:?}");
        assert!(more.windows(2).all(|w| w[0] <= w[1]));
        let idle: Vec<f64> = (0..30).map(|_| told(0)).collect();
        assert!(idle[29] < 2.5, "{idle:?}");
        assert!(need.look(u32::MAX, 0.0).is_some_and(f64::is_finite));
    }

    #[test]
    fn a_glide_ignores_noise_and_arrives() {
        let mut part = Glide::new(Time(0), 0.1, 0.1, Micros(1_000_000));
        part.aim(Time(0), 0.105);
        assert_eq!(part.get(Time(60_000_000)), 0.1);
        part.aim(Time(1_000_000), 0.2);
        assert!(part.get(Time(1_000_000)) < 0.1001);
        let third = part.get(Time(2_000_000));
        assert!((0.16..0.17).contains(&third), "{third}");
        assert!(part.get(Time(20_000_000)) > 0.1999);
        // An earlier moment than the last changes nothing.
        part.aim(Time(500_000), 0.2);
        assert!(part.get(Time(1_000_000)) < 0.1001);
    }

    /// The same, by the plainest way: cut what is over, deal it out again, until nothing is over.
    fn reference(wants: &[f64], most: f64) -> Vec<f64> {
        let mut parts: Vec<f64> = wants.iter().map(|w| w / wants.iter().sum::<f64>()).collect();
        for _ in 0..10_000 {
            let over: f64 = parts.iter().map(|p| (p - most).max(0.0)).sum();
            if over < 1e-13 {
                break;
            }
            parts.iter_mut().for_each(|p| *p = p.min(most));
            let free: f64 = parts.iter().filter(|p| **p < most).sum();
            parts.iter_mut().filter(|p| **p < most).for_each(|p| *p += over * *p / free);
        }
        parts
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

        #[test]
        fn whatever_is_said_the_parts_sum_to_the_whole_within_floor_and_bound(
            needs in prop::collection::vec(prop::option::of(prop::num::f64::ANY), 1..300)
        ) {
            let law = Law::default();
            let parts = parts(&law, &needs);
            let n = needs.len() as f64;
            prop_assert!((parts.iter().sum::<f64>() - 1.0).abs() < 1e-9);
            prop_assert!(parts.iter().all(|p| *p >= law.floor / n - 1e-12));
            let most = law.floor / n + (1.0 - law.floor) * (law.most / n).min(1.0);
            prop_assert!(parts.iter().all(|p| *p <= most + 1e-9));
        }

        #[test]
        fn parts_are_those_of_the_plain_way(needs in prop::collection::vec(0.01f64..100.0, 9..200)) {
            let law = Law { floor: 0.0, ..Law::default() };
            let expected = reference(&needs, law.most / needs.len() as f64);
            let got = parts(&law, &all(&needs));
            for (got, expected) in got.iter().zip(&expected) {
                prop_assert!((got - expected).abs() < 1e-6, "{got} for {expected}");
            }
        }

        /// Views that differ by one record differ little: nobody else's part moves by more than that record's.
        #[test]
        fn one_record_more_or_less_moves_others_by_no_more_than_its_own(
            needs in prop::collection::vec(0.0f64..100.0, 2..100), at in 0usize..100, new in 0.0f64..100.0
        ) {
            let at = at % needs.len();
            let mut other = needs.clone();
            other[at] = new;
            let (one, two) = (parts(&Law::default(), &all(&needs)), parts(&Law::default(), &all(&other)));
            let own = (one[at] - two[at]).abs();
            let moved: f64 = (0..needs.len()).filter(|i| *i != at).map(|i| (one[i] - two[i]).abs()).sum();
            prop_assert!(moved <= own + 1e-9, "{moved} for {own}");
        }
    }
}
