use super::*;
use proptest::prelude::*;

const S: u64 = 1_000_000;

fn terms(total: u32, members: u16) -> ReservationTerms {
    ReservationTerms {
        total,
        members,
        reserved_percent: 25,
        lease_duration: Micros(4 * S),
        grace_period: Micros(S),
    }
}

/// Proxies whose messages are delivered at once, and that observe their demand every half second.
struct Tier {
    managers: Vec<Option<LeaseManager>>,
    total: u32,
    now: u64,
    last_boot: u32,
}

impl Tier {
    fn new(total: u32, members: u16) -> Tier {
        let new =
            |i| LeaseManager::new(&[terms(total, members)], i, 1 + u32::from(i), Time(0)).expect("valid");
        Tier { managers: (0..members).map(|i| Some(new(i))).collect(), total, now: 0, last_boot: 100 }
    }

    fn live(&self) -> Vec<u16> {
        (0..self.managers.len()).filter(|i| self.managers[*i].is_some()).map(|i| i as u16).collect()
    }

    /// Advances by half a second; messages are delivered between members that `is_connected` allows.
    fn observe_all(&mut self, demands: &[f64], is_connected: impl Fn(u16, u16) -> bool) {
        self.now += S / 2;
        let (now, live) = (Time(self.now), self.live());
        for member in live.clone() {
            let mut messages = Vec::new();
            let reachable: Vec<u16> = live.iter().copied().filter(|i| is_connected(member, *i)).collect();
            let manager = self.managers[usize::from(member)].as_mut().expect("live member");
            manager.observe(now, &[demands[usize::from(member)]], &reachable, &mut messages);
            for (to, bytes) in messages {
                let mut answers = Vec::new();
                let receiver = self.managers[usize::from(to)].as_mut().filter(|_| is_connected(member, to));
                receiver.into_iter().for_each(|t| t.handle(now, member, &bytes, &mut answers));
                for (_, bytes) in answers.into_iter().filter(|_| is_connected(to, member)) {
                    let sender = self.managers[usize::from(member)].as_mut().expect("live member");
                    sender.handle(now, to, &bytes, &mut Vec::new());
                }
            }
        }
        let sum: u32 = self.managers.iter().flatten().map(|l| l.usable(0, now)).sum();
        assert!(sum <= self.total, "{sum} units in use of {} at {}", self.total, self.now);
    }

    fn usable(&self, member: usize) -> u32 {
        self.managers[member].as_ref().map_or(0, |l| l.usable(0, Time(self.now)))
    }
}

#[test]
fn a_single_busy_member_borrows_most_units_and_releases_them() {
    for members in [2u16, 3, 10, 30] {
        let mut tier = Tier::new(120, members);
        let mut demands = vec![0.0; usize::from(members)];
        (0..12).for_each(|_| tier.observe_all(&demands, |_, _| true));
        demands[0] = 80.0;
        (0..12).for_each(|_| tier.observe_all(&demands, |_, _| true));
        for _ in 0..40 {
            tier.observe_all(&demands, |_, _| true);
            assert!(tier.usable(0) >= 76, "{members} members: {} of 80 units", tier.usable(0));
        }
        demands[0] = 0.0;
        (0..40).for_each(|_| tier.observe_all(&demands, |_, _| true));
        assert_eq!(
            (0..usize::from(members)).map(|i| tier.usable(i)).sum::<u32>(),
            120,
            "every member has its entitlement again"
        );
    }
}

#[test]
fn a_surge_of_all_members_that_one_observes_first_moves_no_units() {
    let mut tier = Tier::new(72, 3);
    (0..12).for_each(|_| tier.observe_all(&[0.0; 3], |_, _| true));
    // Counts of half a second each, with random variation; the demand of each member is within its entitlement.
    let counts = [[30.0, 0.0, 0.0], [20.0, 14.0, 26.0], [24.0, 26.0, 12.0], [16.0, 18.0, 20.0]];
    for demands in counts.iter().chain(std::iter::repeat_n(&[19.0; 3], 20)) {
        tier.observe_all(demands, |_, _| true);
        assert_eq!([0, 1, 2].map(|i| tier.usable(i)), [24; 3], "at {}", tier.now);
    }
}

#[test]
fn units_of_a_killed_member_stay_unused_and_its_borrowed_units_return() {
    let mut tier = Tier::new(90, 3);
    (0..12).for_each(|_| tier.observe_all(&[0.0; 3], |_, _| true));
    (0..12).for_each(|_| tier.observe_all(&[70.0, 0.0, 0.0], |_, _| true));
    assert!(tier.usable(0) > 65);
    tier.managers[0] = None;
    (0..14).for_each(|_| tier.observe_all(&[0.0, 70.0, 0.0], |_, _| true));
    assert_eq!(tier.usable(1), 52, "its entitlement, and all that the third member may lend");
    let boot = tier.last_boot;
    tier.managers[0] =
        Some(LeaseManager::new(&[terms(90, 3)], 0, boot, Time(tier.now)).expect("valid terms"));
    (0..24).for_each(|_| tier.observe_all(&[0.0, 70.0, 0.0], |_, _| true));
    assert!(tier.usable(1) >= 68, "{}", tier.usable(1));
}

#[test]
fn messages_round_trip_and_malformed_ones_are_ignored() {
    let id = LeaseId { boot: 7, number: 9 };
    for message in [
        LeaseMessage::Request { id, units: 5 },
        LeaseMessage::Grant { id, sequence: 6, units: 0 },
        LeaseMessage::Release { id },
        LeaseMessage::Renew { id, sequence: 2 },
    ] {
        assert_eq!(decode(&encode(3, &message)), Some((3, message)));
    }
    let mut manager = LeaseManager::new(&[terms(10, 2)], 0, 1, Time(0)).expect("valid terms");
    let mut out = Vec::new();
    for bytes in
        [&[][..], &[0; 17], &[0; 18], &[9; 18], &[0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1]]
    {
        manager.handle(Time(9 * S), 1, bytes, &mut out);
    }
    manager.observe(Time(9 * S), &[f64::NAN], &[0, 1], &mut out);
    assert!(out.is_empty(), "{out:?}");
    assert_eq!((manager.usable(0, Time(9 * S)), manager.usable(1, Time(9 * S))), (5, 0));
    assert!(LeaseManager::new(&[terms(10, 2); 17], 0, 1, Time(0)).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    /// Changing demands, partitions, kills and restarts: [`Tier::observe_all`] checks the sum each time.
    #[test]
    fn usable_units_never_exceed_the_total_under_faults(
        members in 2u16..9, total in 0u32..200,
        steps in prop::collection::vec((0u8..5, 0usize..9, 0.0f64..150.0, 1usize..9), 1..25)
    ) {
        let mut tier = Tier::new(total, members);
        let count = usize::from(members);
        let (mut demands, mut sides) = (vec![1.0; count], vec![0u8; count]);
        for (kind, index, demand, observations) in steps {
            let index = index % count;
            match kind {
                0 | 1 => demands[index] = demand,
                2 => sides[index] ^= 1,
                3 => tier.managers[index] = None,
                _ => {
                    tier.last_boot += 1;
                    let manager = LeaseManager::new(&[terms(total, members)], index as u16, tier.last_boot, Time(tier.now));
                    tier.managers[index] = Some(manager.expect("valid terms"));
                }
            }
            for _ in 0..observations {
                tier.observe_all(&demands, |a, b| sides[usize::from(a)] == sides[usize::from(b)]);
            }
        }
    }
}
