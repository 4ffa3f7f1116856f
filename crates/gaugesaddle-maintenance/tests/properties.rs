//! Orders, lists and lines in any sequence: a ban holds from its yes to the call that puts the backend back, whatever
//! the list says in between; no bytes of the other process can do harm.

use gaugesaddle_balancer::{Backend, BackendId, BackendState, Time};
use gaugesaddle_maintenance::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Step {
    Told(u64, BackendState, Option<u64>),
    Order(u64, Order),
}

fn step() -> impl Strategy<Value = Step> {
    let state =
        prop_oneof![Just(BackendState::Ready), Just(BackendState::Draining), Just(BackendState::Gone)];
    let order = prop_oneof![Just(Order::Exclude), Just(Order::Include)];
    prop_oneof![
        (0..6u64, state, proptest::option::of(0..200u64)).prop_map(|(id, s, b)| Step::Told(id, s, b)),
        (0..8u64, order).prop_map(|(id, o)| Step::Order(id, o)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_ban_holds_until_its_end_whatever_is_listed(steps in proptest::collection::vec(step(), 1..200)) {
        let mut m = Maintenance::default();
        let (mut out, mut listed) = (BTreeSet::new(), BTreeSet::new());
        for (i, step) in steps.into_iter().enumerate() {
            let now = Time(i as u64);
            match step {
                Step::Told(id, state, booted) => {
                    let entry = Backend { id: BackendId(id), state, booted: booted.map(Time), ..Backend::default() };
                    m.told(&entry);
                    listed.insert(id);
                    let seen = m.view(&entry);
                    if out.contains(&id) {
                        prop_assert_ne!(seen.state, BackendState::Ready);
                    } else {
                        prop_assert_eq!(seen.state, state);
                    }
                    // A start is never taken back further than the list tells.
                    prop_assert!(seen.booted >= entry.booted);
                }
                Step::Order(id, order) => {
                    let known = listed.contains(&id) || out.contains(&id);
                    let changed = match order {
                        Order::Exclude => known && out.insert(id),
                        Order::Include => out.remove(&id),
                    };
                    let verdict = m.order(now, BackendId(id), order);
                    let expected = if !known { Verdict::Unknown } else if changed { Verdict::Done } else { Verdict::Already };
                    prop_assert_eq!(verdict, expected);
                }
            }
            prop_assert_eq!(m.out().map(|b| b.0).collect::<BTreeSet<_>>(), out.clone());
        }
    }

    #[test]
    fn any_bytes_of_the_other_process_are_words_or_errors(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut line = Line::default();
        line.push(&bytes);
        let lines = bytes.iter().filter(|b| **b == b'\n').count();
        prop_assert_eq!(std::iter::from_fn(|| line.take()).count(), lines);
        line.push(b"\n");
        prop_assert!(line.take().is_some());
        line.push(Word::Listening.line().as_bytes());
        prop_assert_eq!(line.take().unwrap().unwrap(), Word::Listening);
    }
}

/// A backend that comes back is cold until the list tells when it started; one that never restarted warms again.
#[test]
fn who_comes_back_counts_as_started_then_until_the_list_knows() {
    let mut m = Maintenance::default();
    let old =
        Backend { id: BackendId(1), state: BackendState::Ready, booted: Some(Time(5)), ..Backend::default() };
    m.told(&old);
    assert_eq!(m.order(Time(100), old.id, Order::Exclude), Verdict::Done);
    assert_eq!(m.order(Time(200), old.id, Order::Include), Verdict::Done);
    assert_eq!(m.view(&old).booted, Some(Time(200)), "the list is late");
    let new = Backend { booted: Some(Time(150)), ..old };
    m.told(&new);
    assert_eq!(m.view(&new), new, "the list knows");
}

#[test]
fn tables_are_bounded_and_a_line_without_end_is_told() {
    let mut m = Maintenance::default();
    (0..LISTED as u64 + 10).for_each(|id| m.listed(BackendId(id)));
    assert_eq!(m.order(Time(0), BackendId(3), Order::Exclude), Verdict::Unknown, "forgotten");
    let first = 10_000;
    for id in first..first + EXCLUDED as u64 {
        assert_eq!(m.order(Time(0), BackendId(id), Order::Exclude), Verdict::Done);
    }
    assert_eq!(m.order(Time(0), BackendId(9_999), Order::Exclude), Verdict::Full);
    assert_eq!(m.order(Time(0), BackendId(first), Order::Include), Verdict::Done);
    assert_eq!(m.take_over(Time(0), BackendId(1 << 40)), Verdict::Done, "whether listed here or not");
    let mut line = Line::default();
    line.push(&vec![b'x'; LINE_BYTES + 1]);
    assert!(matches!(line.take(), Some(Err(WordError::Long))));
}
