use super::*;
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn terms(whole: u32, places: u16) -> ReservationTerms {
    ReservationTerms {
        total: whole,
        members: places,
        reserved_percent: 25,
        lease_duration: Micros(4 * S),
        grace_period: Micros(S),
    }
}

/// Proxies that hear one another at once, with looks each half second.
struct Tier {
    all: Vec<Option<LeaseManager>>,
    whole: u32,
    now: u64,
    boots: u32,
}

impl Tier {
    fn new(whole: u32, places: u16) -> Tier {
        let one =
            |p| LeaseManager::new(&[terms(whole, places)], p, 1 + u32::from(p), Time(0)).expect("sound");
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
            one.observe(now, &[needs[usize::from(place)]], &sees, &mut letters);
            for (to, bytes) in letters {
                let mut answers = Vec::new();
                let there = self.all[usize::from(to)].as_mut().filter(|_| passes(place, to));
                there.into_iter().for_each(|t| t.handle(now, place, &bytes, &mut answers));
                for (_, bytes) in answers.into_iter().filter(|_| passes(to, place)) {
                    let back = self.all[usize::from(place)].as_mut().expect("it lives");
                    back.handle(now, to, &bytes, &mut Vec::new());
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
        assert_eq!((0..usize::from(places)).map(|p| tier.usable(p)).sum::<u32>(), 120, "all are their own");
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
    tier.all[0] = Some(LeaseManager::new(&[terms(90, 3)], 0, boot, Time(tier.now)).expect("sound"));
    (0..24).for_each(|_| tier.look(&[0.0, 70.0, 0.0], |_, _| true));
    assert!(tier.usable(1) >= 68, "{}", tier.usable(1));
}

#[test]
fn words_come_through_and_nonsense_does_not() {
    let id = LeaseId { boot: 7, number: 9 };
    for word in [
        LeaseMessage::Request { id, units: 5 },
        LeaseMessage::Grant { id, sequence: 6, units: 0 },
        LeaseMessage::Release { id },
        LeaseMessage::Renew { id, sequence: 2 },
    ] {
        assert_eq!(decode(&encode(3, &word)), Some((3, word)));
    }
    let mut one = LeaseManager::new(&[terms(10, 2)], 0, 1, Time(0)).expect("sound");
    let mut out = Vec::new();
    for bytes in
        [&[][..], &[0; 17], &[0; 18], &[9; 18], &[0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1]]
    {
        one.handle(Time(9 * S), 1, bytes, &mut out);
    }
    one.observe(Time(9 * S), &[f64::NAN], &[0, 1], &mut out);
    assert!(out.is_empty(), "{out:?}");
    assert_eq!((one.usable(0, Time(9 * S)), one.usable(1, Time(9 * S))), (5, 0));
    assert!(LeaseManager::new(&[terms(10, 2); 17], 0, 1, Time(0)).is_err());
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
                    let one = LeaseManager::new(&[terms(whole, places)], at as u16, tier.boots, Time(tier.now));
                    tier.all[at] = Some(one.expect("sound"));
                }
            }
            for _ in 0..looks {
                tier.look(&needs, |a, b| cut[usize::from(a)] == cut[usize::from(b)]);
            }
        }
    }
}
