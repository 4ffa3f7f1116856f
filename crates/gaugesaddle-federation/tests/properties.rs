//! Property tests that compare random histories with simple reference implementations: budgets of all proxies over every
//! window, loop prevention, header parsing, and the durations of the spillover states.

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

/// Maximum number of sends in any window of one second, by exhaustive counting.
fn max_per_second(sent_at: &[u64]) -> usize {
    let within = |i: usize| sent_at[i..].iter().take_while(|at| **at < sent_at[i] + 1_000_000).count();
    (0..sent_at.len()).map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(config())]

    /// For any distribution of demand among the proxies, no window of one second exceeds the budget or the limit of a class.
    #[test]
    fn the_total_budget_holds_in_every_window_of_one_second(
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

    /// The requests in flight are the acquired less the released requests, as counted independently, and never exceed the
    /// limit.
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

    /// Each region forwards a request to an arbitrary region, and each gateway accepts the header: the request visits no
    /// region twice and makes no more hops than its first region allowed.
    #[test]
    fn no_request_loops(hops in 0u8..=6, forwards in prop::collection::vec((0usize..5, 0u8..=6), 0..12)) {
        let names = ["north", "south", "west", "east", "mid"];
        let (mut at, mut visited, mut via) = (0, vec![0], None);
        for (to, allowed) in forwards {
            let allowed = if via.is_none() { hops } else { allowed };
            let Ok(next) = Via::next_hop(via.as_ref(), names[at], names[to], allowed) else { continue };
            let received = Via::parse(&next.header_value(), names[at]).expect("a header written by next_hop must parse");
            prop_assert_eq!(&received, &next);
            prop_assert!(received.check_entry(names[to]).is_ok());
            prop_assert!(!visited.contains(&to));
            visited.push(to);
            (at, via) = (to, Some(received));
        }
        prop_assert!(visited.len() - 1 <= usize::from(hops.min(MAX_HOPS)));
    }

    /// No header value causes a panic, and a header that parses is preserved by formatting and parsing it again.
    #[test]
    fn arbitrary_headers_are_parsed_or_rejected(text in "[a-c, ;=left0-9\\-]{0,60}|.{0,40}", sender in "[a-c]{1,2}") {
        if let Ok(via) = Via::parse(&text, &sender) {
            prop_assert_eq!(via.regions().last(), Some(&sender));
            prop_assert_eq!(Via::parse(&via.header_value(), &sender), Ok(via));
        }
    }

    /// The remaining time strictly decreases at each hop, by at least the round trip and the margin.
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

    /// Compares the state machine with a reference that derives the duration of the current coverage condition from the
    /// whole history of observations.
    #[test]
    fn transitions_match_a_reference_over_the_whole_history(observed in prop::collection::vec((0usize..4, 1u64..40), 1..60)) {
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
                // Duration for which the coverage has satisfied the condition `holds` without interruption.
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
