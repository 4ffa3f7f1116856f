use super::*;

fn at(ms: u64) -> Time {
    Time(1_700_000_000_000_000 + ms * 1000)
}

#[test]
fn the_parts_of_all_proxies_are_the_whole() {
    for whole in 0..200 {
        for proxies in 1..40 {
            let sum: u32 = (0..proxies).map(|position| Share { proxies, position }.of(whole)).sum();
            assert_eq!(sum, whole, "{proxies} proxies");
        }
    }
}

#[test]
fn a_window_of_a_second_never_holds_more_wherever_it_begins() {
    let share = Share { proxies: 1, position: 0 };
    let mut budget = Budget::new(10, 10, 1000, &[(None, 8.0)], share);
    let sent = (0..4000).filter(|ms| budget.take(at(*ms), 0, 1.0).is_ok()).collect::<Vec<_>>();
    assert_eq!(sent.len(), 40);
    for (i, first) in sent.iter().enumerate() {
        assert!(sent[i..].iter().filter(|s| **s < first + 1000).count() <= 10);
    }
}

#[test]
fn what_is_worth_less_leaves_room_for_the_rest_and_a_class_keeps_its_own_bound() {
    let share = Share { proxies: 1, position: 0 };
    let mut budget = Budget::new(20, 20, 1000, &[(None, 8.0), (None, 1.0), (Some(3), 2.0)], share);
    budget.expect([4.2, 100.0, 3.0]);
    assert_eq!((0..9).filter(|_| budget.take(at(0), 2, 1.0).is_ok()).count(), 3, "its own bound");
    assert_eq!((0..30).filter(|_| budget.take(at(0), 1, 1.0).is_ok()).count(), 12, "five are kept");
    assert_eq!(budget.room(at(0), 1, 1.0), Err(Over::Rate));
    assert_eq!((0..30).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 5);
    budget.expect([0.0, 0.0, 0.0]);
    assert_eq!(budget.room(at(1000), 1, 1.0), Ok(20), "nobody else wants it");
    assert_eq!(budget.room(at(1000), 1, 0.25), Ok(5), "a quarter is open");
    assert_eq!(budget.room(at(1000), 1, 0.0), Err(Over::Rate));
    assert_eq!(budget.room(at(0), 7, 1.0), Err(Over::Rate), "no such class");
}

#[test]
fn flights_and_bursts_are_bounds_of_their_own() {
    let share = Share { proxies: 2, position: 1 };
    let mut budget = Budget::new(100, 8, 6, &[(None, 8.0)], share);
    assert_eq!((0..9).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 3, "half of six");
    assert_eq!(budget.room(at(500), 0, 1.0), Err(Over::InFlight));
    (0..9).for_each(|_| budget.ended());
    assert_eq!(budget.in_flight(), (0, 3));
    assert_eq!(budget.room(at(500), 0, 1.0), Ok(3));
    let mut budget = Budget::new(100, 8, 1000, &[(None, 8.0)], share);
    assert_eq!((0..9).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 4, "half of the burst");
    assert_eq!(budget.used(at(10)), (4, 50));
}

#[test]
fn parts_by_need_add_up_and_what_was_sent_counts_on() {
    for whole in 0..150u32 {
        for proxies in 1..12u32 {
            let need = |p: u32| f64::from(1 + p * 7 % 5);
            let all: f64 = (0..proxies).map(need).sum();
            let span = |position: u32| Span {
                before: (0..position).map(need).sum::<f64>() / all,
                part: need(position) / all,
                share: Share { proxies, position },
            };
            assert_eq!((0..proxies).map(|p| span(p).of(whole)).sum::<u32>(), whole);
        }
    }
    let mut budget = Budget::new(30, 30, 30, &[(Some(15), 8.0)], Share { proxies: 3, position: 0 });
    assert_eq!((0..20).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 5, "a third of its class");
    let span = Span { before: 0.0, part: 0.8, share: Share { proxies: 2, position: 0 } };
    budget.deal(span);
    assert_eq!((0..20).filter(|_| budget.take(at(200), 0, 1.0).is_ok()).count(), 7, "12, less five sent");
    assert_eq!((budget.used(at(200)).1, budget.in_flight()), (24, (12, 24)));
    budget.deal(Span { share: Share { proxies: 40, position: 39 }, before: 0.9, part: 0.02 });
    assert!(!budget.is_counted(), "thirty among forty: turns");
    let odd = Span { before: f64::NAN, part: f64::NAN, share: Share { proxies: 1, position: 0 } };
    assert_eq!(odd.of(7), 0);
}

#[test]
fn what_is_held_is_told_and_a_burst_is_as_large_a_part() {
    let mut budget = Budget::new(40, 20, 100, &[(None, 8.0)], Share { proxies: 2, position: 0 });
    budget.hold(30);
    assert_eq!((0..40).filter(|_| budget.take(at(0), 0, 1.0).is_ok()).count(), 15);
    assert_eq!((0..40).filter(|_| budget.take(at(500), 0, 1.0).is_ok()).count(), 15);
    budget.hold(0);
    assert!(budget.take(at(5000), 0, 1.0).is_err());
}

#[test]
fn a_clock_that_goes_back_opens_no_room() {
    let share = Share { proxies: 1, position: 0 };
    let mut budget = Budget::new(2, 2, 1000, &[(None, 8.0)], share);
    assert!(budget.take(at(5000), 0, 1.0).is_ok() && budget.take(at(5000), 0, 1.0).is_ok());
    assert!(budget.take(at(1000), 0, 1.0).is_err());
    assert!(budget.take(at(5999), 0, 1.0).is_err());
    assert!(budget.take(at(6000), 0, 1.0).is_ok());
}
