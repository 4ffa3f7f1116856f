//! Random histories against plain references: budgets over every window and all proxies, the loop rule, the header, and
//! the times of the spillover states.

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

/// The maximum in any window of a second, as a plain count over all pairs.
fn max_per_second(sent_at: &[u64]) -> usize {
    let within = |i: usize| sent_at[i..].iter().take_while(|at| **at < sent_at[i] + 1_000_000).count();
    (0..sent_at.len()).map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(config())]

    /// However uneven the demand of the proxies: no second of the fleet exceeds the budget, nor a class its own limit.
    #[test]
    fn the_budget_of_all_proxies_holds_in_every_second(
        per_s in 1u32..60, proxies in 1u32..40, class_per_s in 1u32..20,
        attempts in prop::collection::vec((0u32..40, 0usize..2, 0u64..60_000), 1..1200),
    ) {
        let classes = vec![
            ClassLimits { per_s: Some(class_per_s), priority_weight: 8.0 },
            ClassLimits { per_s: None, priority_weight: 1.0 },
        ];
        let limits = BudgetLimits { per_s, burst: per_s, in_flight: 100_000, classes };
        let budget = |position| Budget::new(&limits, EvenAllocation { proxies, position });
        let mut budgets: Vec<Budget> = (0..proxies).map(budget).collect();
        let (mut now, mut sent, mut sent_of_class) = (1_700_000_000_000_000u64, Vec::new(), Vec::new());
        for (proxy, class, wait) in attempts {
            now += wait;
            if budgets[(proxy % proxies) as usize].acquire(Time(now), class, 1.0).is_ok() {
                sent.push(now);
                if class == 0 {
                    sent_of_class.push(now);
                }
            }
        }
        prop_assert!(max_per_second(&sent) <= per_s as usize);
        prop_assert!(max_per_second(&sent_of_class) <= class_per_s as usize);
    }

    /// In flight is what was acquired and not released, by a plain count, and never more than the limit.
    #[test]
    fn in_flight_is_acquired_less_released(
        in_flight in 1u32..20, steps in prop::collection::vec(any::<bool>(), 1..300),
    ) {
        let classes = vec![ClassLimits { per_s: None, priority_weight: 1.0 }];
        let limits = BudgetLimits { per_s: 100_000, burst: 100_000, in_flight, classes };
        let mut budget = Budget::new(&limits, EvenAllocation { proxies: 1, position: 0 });
        let mut expected = 0;
        for (n, is_acquire) in steps.into_iter().enumerate() {
            if is_acquire {
                let acquired = budget.acquire(Time(n as u64 * 1000), 0, 1.0).is_ok();
                prop_assert_eq!(acquired, expected < in_flight);
                expected += u32::from(acquired);
            } else {
                budget.release();
                expected = expected.saturating_sub(1);
            }
            prop_assert_eq!(budget.in_flight(), Usage { used: expected, limit: in_flight });
        }
    }

    /// A request that each region forwards at will, and each gateway believes: it is in no region twice, and makes no
    /// more hops than its first region allowed.
    #[test]
    fn no_request_loops(hops in 0u8..=6, forwards in prop::collection::vec((0usize..5, 0u8..=6), 0..12)) {
        let names = ["north", "south", "west", "east", "mid"];
        let (mut at, mut visited, mut via) = (0, vec![0], None);
        for (to, allowed) in forwards {
            let allowed = if via.is_none() { hops } else { allowed };
            let Ok(next) = Via::next_hop(via.as_ref(), names[at], names[to], allowed) else { continue };
            let received = Via::parse(&next.header_value(), names[at]).expect("a header that was written");
            prop_assert_eq!(&received, &next);
            prop_assert!(received.check_entry(names[to]).is_ok());
            prop_assert!(!visited.contains(&to));
            visited.push(to);
            (at, via) = (to, Some(received));
        }
        prop_assert!(visited.len() - 1 <= usize::from(hops.min(MAX_HOPS)));
    }

    /// Whatever is in the header: no panic, and what can be read is written the same.
    #[test]
    fn arbitrary_headers_are_read_or_rejected(text in "[a-c, ;=left0-9\\-]{0,60}|.{0,40}", sender in "[a-c]{1,2}") {
        if let Ok(via) = Via::parse(&text, &sender) {
            prop_assert_eq!(via.regions().last(), Some(&sender));
            prop_assert_eq!(Via::parse(&via.header_value(), &sender), Ok(via));
        }
    }

    /// Each hop has strictly less time than the one before it, by the round trip at least.
    #[test]
    fn deadlines_shrink_at_every_hop(
        remaining in 0u64..10_000_000, round_trip in 0u64..2_000_000, margin in 0u64..50_000
    ) {
        match remaining_after_hop(Micros(remaining), Micros(round_trip), Micros(margin)) {
            Some(reported) => {
                prop_assert!(reported.0 > 0 && reported.0 < remaining);
                prop_assert!(reported.0 + round_trip + margin <= remaining);
                prop_assert_eq!(reported.0 % 1000, 0);
            }
            None => prop_assert!(remaining < round_trip + margin + 2000),
        }
    }

    /// The state machine against a plain form of its rule: what it observed last, read backwards, must have lasted.
    #[test]
    fn no_state_is_left_before_its_time(observed in prop::collection::vec((0usize..4, 1u64..40), 1..60)) {
        let levels = [0.0, 0.49, 0.7, 1.0];
        let t = SpilloverThresholds::default();
        let mut spillover = Spillover::new(t);
        let (mut now, mut history): (u64, Vec<(u64, f64)>) = (1_000_000_000, Vec::new());
        let mut since = 0;
        for (level, times) in observed {
            let coverage = levels[level];
            for _ in 0..times {
                now += 50_000;
                history.push((now, coverage));
                let before = spillover.state();
                let fleet = FleetCapacity { capacity_per_s: coverage * 100.0, demand_per_s: 100.0 };
                let transition = spillover.observe(Time(now), fleet);
                // How long the coverage has been insufficient, or sufficient, without a break.
                let lasted = |holds: &dyn Fn(f64) -> bool| {
                    let first = history.iter().rev().take_while(|entry| holds(entry.1)).last();
                    first.map_or(0, |entry| now - entry.0)
                };
                let is_insufficient = coverage < t.low_coverage;
                let is_sufficient = coverage >= t.high_coverage;
                let insufficient = lasted(&|c| c < t.low_coverage);
                let sufficient = lasted(&|c| c >= t.high_coverage);
                let is_return_over = now - since >= t.return_duration.0;
                let expected = match before {
                    SpilloverState::Local if is_insufficient && insufficient >= t.enter_after.0 => {
                        SpilloverState::Spilling
                    }
                    SpilloverState::Spilling if is_sufficient && sufficient >= t.leave_after.0 => {
                        SpilloverState::Returning
                    }
                    SpilloverState::Returning if is_insufficient && insufficient >= t.relapse_after.0 => {
                        SpilloverState::Spilling
                    }
                    SpilloverState::Returning if is_sufficient && is_return_over => SpilloverState::Local,
                    unchanged => unchanged,
                };
                prop_assert_eq!(spillover.state(), expected);
                prop_assert_eq!(transition.is_some(), expected != before);
                if transition.is_some() {
                    since = now;
                }
            }
        }
    }
}
