//! Random histories against plain references: budgets over every window and all proxies, the hop rule, the header, and
//! the state machine's times.

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_federation::*;
use proptest::prelude::*;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// The most in any window of a second, as a plain count over all pairs.
fn most_in_a_second(sent: &[u64]) -> usize {
    let within = |i: usize| sent[i..].iter().take_while(|at| **at < sent[i] + 1_000_000).count();
    (0..sent.len()).map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(config())]

    /// All proxies ask as unevenly as they like: no second of the fleet holds more than the budget, nor more of a class
    /// than its own.
    #[test]
    fn the_budget_of_all_proxies_holds_in_every_second(
        per_s in 1u32..60, proxies in 1u32..40, class_per_s in 1u32..20,
        asked in prop::collection::vec((0u32..40, 0usize..2, 0u64..60_000), 1..1200),
    ) {
        let classes = [(Some(class_per_s), 8.0), (None, 1.0)];
        let budget = |position| Budget::new(per_s, per_s, 100_000, &classes, Share { proxies, position });
        let mut all: Vec<Budget> = (0..proxies).map(budget).collect();
        let (mut now, mut sent, mut of_class) = (1_700_000_000_000_000u64, Vec::new(), Vec::new());
        for (proxy, class, wait) in asked {
            now += wait;
            if all[(proxy % proxies) as usize].take(Time(now), class, 1.0).is_ok() {
                sent.push(now);
                if class == 0 {
                    of_class.push(now);
                }
            }
        }
        prop_assert!(most_in_a_second(&sent) <= per_s as usize);
        prop_assert!(most_in_a_second(&of_class) <= class_per_s as usize);
    }

    /// Places in flight are those that were taken and not given back, by a plain count, and never more than may be.
    #[test]
    fn places_in_flight_are_never_lost_nor_made(
        in_flight in 1u32..20, steps in prop::collection::vec(any::<bool>(), 1..300),
    ) {
        let share = Share { proxies: 1, position: 0 };
        let mut budget = Budget::new(100_000, 100_000, in_flight, &[(None, 1.0)], share);
        let mut held = 0;
        for (n, take) in steps.into_iter().enumerate() {
            if take {
                let taken = budget.take(Time(n as u64 * 1000), 0, 1.0).is_ok();
                prop_assert_eq!(taken, held < in_flight);
                held += u32::from(taken);
            } else {
                budget.ended();
                held = held.saturating_sub(1);
            }
            prop_assert_eq!(budget.in_flight(), (held, in_flight));
        }
    }

    /// A request sent on at every region's will, believed at every gateway: it is nowhere twice, and makes no more hops
    /// than its first region allowed.
    #[test]
    fn no_request_goes_round(hops in 0u8..=6, ways in prop::collection::vec((0usize..5, 0u8..=6), 0..12)) {
        let names = ["north", "south", "west", "east", "mid"];
        let (mut at, mut been, mut path) = (0, vec![0], None);
        for (to, allowed) in ways {
            let allowed = if path.is_none() { hops } else { allowed };
            let Ok(next) = Path::onward(path.as_ref(), names[at], names[to], allowed) else { continue };
            let read = Path::parse(&next.text(), names[at]).expect("a path reads back");
            prop_assert_eq!(&read, &next);
            prop_assert!(read.enters(names[to]).is_ok());
            prop_assert!(!been.contains(&to));
            been.push(to);
            (at, path) = (to, Some(read));
        }
        prop_assert!(been.len() - 1 <= usize::from(hops.min(MOST_HOPS)));
    }

    /// Whatever stands in the header: no panic, and what is read reads back as itself.
    #[test]
    fn any_text_is_a_path_or_an_error(text in "[a-c, ;=left0-9\\-]{0,60}|.{0,40}", sender in "[a-c]{1,2}") {
        if let Ok(path) = Path::parse(&text, &sender) {
            prop_assert_eq!(path.regions().last(), Some(&sender));
            prop_assert_eq!(Path::parse(&path.text(), &sender), Ok(path));
        }
    }

    /// Each hop has strictly less time than the one before it, by the way at least.
    #[test]
    fn time_left_shrinks_at_every_hop(left in 0u64..10_000_000, trip in 0u64..2_000_000, margin in 0u64..50_000) {
        match onward(Micros(left), Micros(trip), Micros(margin)) {
            Some(told) => {
                prop_assert!(told.0 > 0 && told.0 < left && told.0 + trip + margin <= left);
                prop_assert_eq!(told.0 % 1000, 0);
            }
            None => prop_assert!(left < trip + margin + 2000),
        }
    }

    /// The state machine against its rule told plainly: the last states of the fleet, read backwards, must have lasted.
    #[test]
    fn no_state_is_left_before_its_time(seen in prop::collection::vec((0usize..4, 1u64..40), 1..60)) {
        let levels = [0.0, 0.49, 0.7, 1.0];
        let t = Thresholds::default();
        let mut spill = Spill::new(t);
        let (mut now, mut history): (u64, Vec<(u64, f64)>) = (1_000_000_000, Vec::new());
        let mut since = 0;
        for (level, looks) in seen {
            for _ in 0..looks {
                now += 50_000;
                history.push((now, levels[level]));
                let before = spill.state();
                let changed = spill.look(Time(now), Capacity { able: levels[level] * 100.0, demand: 100.0 });
                // How long the fleet has been short, or able, without a break.
                let run = |holds: &dyn Fn(f64) -> bool| {
                    let last = history.iter().rev().take_while(|h| holds(h.1)).last();
                    last.map_or(0, |l| now - l.0)
                };
                let (short, able) = (run(&|c| c < t.low), run(&|c| c >= t.high));
                let level = levels[level];
                let expected = match before {
                    State::Local if level < t.low && short >= t.enter.0 => State::Spilling,
                    State::Spilling if level >= t.high && able >= t.leave.0 => State::Returning,
                    State::Returning if level < t.low && short >= t.relapse.0 => State::Spilling,
                    State::Returning if level >= t.high && now - since >= t.back.0 => State::Local,
                    same => same,
                };
                prop_assert_eq!(spill.state(), expected);
                prop_assert_eq!(changed.is_some(), expected != before);
                if changed.is_some() {
                    since = now;
                }
            }
        }
    }
}
