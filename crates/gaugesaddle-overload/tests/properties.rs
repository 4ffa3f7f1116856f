//! Every decision of the storm's watch under generated histories: its bounds hold whatever comes.

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_overload::{Calendar, Ledger, Second, Settings, State, Storm, Watch};
use proptest::prelude::*;

fn at(ms: u64) -> Time {
    Time(1_700_000_000_000_000 + ms * 1000)
}

/// A quarter of a second of traffic.
fn quarter(asked: u32, repeats: u32, served: u32, refused: u32) -> Second {
    Second { asked, repeats, in_aim: served, refused, connects: asked, attempts: served, ..Second::default() }
}

/// States with the time at which each began.
fn states(quarters: impl Iterator<Item = Second>) -> Vec<(u64, State)> {
    let mut watch = Watch::default();
    watch.look(at(0), &Second::default());
    let looks = quarters.enumerate().filter_map(|(i, q)| {
        let ms = (i as u64 + 1) * 250;
        watch.look(at(ms), &q).map(|state| (ms, state))
    });
    looks.collect()
}

#[test]
fn a_storm_is_seen_within_a_second_and_left_when_it_has_passed() {
    let calm = std::iter::repeat_n(quarter(25, 1, 24, 0), 80);
    let storm = std::iter::repeat_n(quarter(200, 160, 30, 170), 20);
    let after = std::iter::repeat_n(quarter(25, 1, 24, 0), 80);
    let seen = states(calm.chain(storm).chain(after));
    let names: Vec<State> = seen.iter().map(|s| s.1).collect();
    assert_eq!(names, [State::Rising, State::Storm, State::Recovering, State::Calm]);
    assert!(seen[1].0 - 20_000 <= 1000, "{seen:?}");
    assert!(seen[3].0 - 25_000 <= 14_000, "{seen:?}");
}

#[test]
fn honest_growth_is_no_storm_however_fast() {
    let calm = std::iter::repeat_n(quarter(25, 1, 24, 0), 80);
    // Ten times the rate at once, hardly a repeat, much of it refused at first.
    let growth = std::iter::repeat_n(quarter(250, 12, 180, 60), 80);
    assert_eq!(states(calm.chain(growth)), []);
}

#[test]
fn a_storm_that_meets_a_proxy_with_no_memory_is_seen_by_what_is_refused() {
    let seen = states(std::iter::repeat_n(quarter(200, 160, 30, 170), 8));
    assert_eq!(seen.iter().map(|s| s.1).collect::<Vec<_>>(), [State::Rising, State::Storm]);
}

#[test]
fn two_storms_half_a_minute_apart_are_two() {
    let calm = |n| std::iter::repeat_n(quarter(25, 1, 24, 0), n);
    let storm = || std::iter::repeat_n(quarter(200, 160, 30, 170), 12);
    let seen = states(calm(80).chain(storm()).chain(calm(120)).chain(storm()).chain(calm(80)));
    assert_eq!(seen.iter().filter(|s| s.1 == State::Storm).count(), 2, "{seen:?}");
}

/// Refused clients are told moments of which no second holds more than can be served, while there is such a second.
#[test]
fn five_thousand_refused_at_once_are_spread_over_what_the_rate_allows() {
    let mut calendar = Calendar::new(60, 7);
    let told: Vec<u64> = (0..5000).map(|_| calendar.deal(at(0), 100.0)).collect();
    let count = |s: u64| told.iter().filter(|t| **t == s).count();
    assert!((1..=60).all(|s| count(s) <= 100), "no second over the rate");
    assert!(*told.iter().max().unwrap() >= 50, "as wide as it takes");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn advice_stays_within_its_bounds_and_overfills_no_second_while_another_is_free(
        longest in 1u64..40, rate in 1.0f64..50.0, gaps in prop::collection::vec(0u64..400, 1..400), seed: u64,
    ) {
        let (mut calendar, mut now) = (Calendar::new(longest, seed), 0);
        for gap in gaps {
            now += gap;
            let room = rate as u32;
            let free = (1..=longest).any(|s| calendar.dealt(at(now), s) < room);
            let after = calendar.deal(at(now), rate);
            prop_assert!((1..=longest).contains(&after));
            let full = calendar.dealt(at(now), after) > room;
            prop_assert!(!(free && full), "second {after} overfilled beside a free one");
        }
    }

    #[test]
    fn no_state_is_left_before_its_time(quarters in prop::collection::vec((0u32..300, 0.0f64..1.0, 0.0f64..1.0), 1..400)) {
        let seconds = quarters.into_iter().map(|(asked, repeats, refused)| {
            let refused = (f64::from(asked) * refused) as u32;
            quarter(asked, (f64::from(asked) * repeats) as u32, asked - refused, refused)
        });
        let seen = states(seconds);
        for pair in seen.windows(2) {
            let least = match pair[0].1 {
                State::Storm => 3000,
                State::Rising | State::Recovering => 400,
                State::Calm => 0,
            };
            prop_assert!(pair[1].0 - pair[0].0 >= least, "{pair:?}");
        }
    }

    #[test]
    fn a_ledger_never_grows_and_never_blames_who_was_told_nothing(
        most in 1usize..20, steps in prop::collection::vec((0u64..40, 0u64..5000, any::<bool>()), 1..300),
    ) {
        let (mut ledger, mut told) = (Ledger::new(most), std::collections::BTreeSet::new());
        for (i, (source, moment, tell)) in steps.into_iter().enumerate() {
            let now = at(i as u64 * 10);
            if tell {
                ledger.told(source, now + Micros(moment * 1000));
                told.insert(source);
            } else {
                let guilty = ledger.asks(now, source);
                prop_assert!(!guilty || told.contains(&source));
            }
            prop_assert!(ledger.len() <= most);
        }
    }

    #[test]
    fn the_whole_lets_in_a_sound_rate_and_never_panics(
        steps in prop::collection::vec((0u8..7, 0u64..600, any::<u64>()), 1..500),
    ) {
        let mut storm = Storm::new(Settings { longest_s: 30, sources: 16 }, 3).unwrap();
        let mut now = 0;
        for (what, gap, n) in steps {
            now += gap;
            match what {
                0 => { storm.arrived(at(now), n % 2 == 0, Some(n % 50), n % 30); }
                1 => storm.sent(n % 2 == 0),
                2 => storm.served(n % 2 == 0),
                3 => storm.failed(),
                4 => storm.connected(),
                5 => prop_assert!((1..=30).contains(&storm.refused(at(now), n % 30, 2))),
                _ => { storm.look(at(now)); }
            }
            prop_assert!(storm.let_in_per_s().is_none_or(|r| r.is_finite() && r >= 1.0));
            prop_assert!(storm.let_in_per_s().is_none() || storm.state().damps());
        }
    }
}
