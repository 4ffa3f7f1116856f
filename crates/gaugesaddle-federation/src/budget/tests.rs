use super::*;

fn at(ms: u64) -> Time {
    Time(1_700_000_000_000_000 + ms * 1000)
}

const ONE_PROXY: EvenAllocation = EvenAllocation { proxies: 1, position: 0 };

fn class(priority_weight: f64) -> ClassLimits {
    ClassLimits { per_s: None, priority_weight }
}

/// Limits of a budget with a single class.
fn limits(per_s: u32, burst: u32, in_flight: u32) -> BudgetLimits {
    BudgetLimits { per_s, burst, in_flight, classes: vec![class(8.0)] }
}

/// Number of the `attempts` that the budget admits at `now`.
fn admitted(budget: &mut Budget, now: Time, class: usize, attempts: u32) -> usize {
    (0..attempts).filter(|_| budget.acquire(now, class, 1.0).is_ok()).count()
}

#[test]
fn the_rate_limit_holds_in_every_window_of_one_second() {
    let mut budget = Budget::new(&limits(10, 10, 1000), ONE_PROXY);
    let sent: Vec<u64> = (0..4000).filter(|ms| budget.acquire(at(*ms), 0, 1.0).is_ok()).collect();
    assert_eq!(sent.len(), 40);
    for (i, first) in sent.iter().enumerate() {
        assert!(sent[i..].iter().filter(|ms| **ms < first + 1000).count() <= 10);
    }
}

#[test]
fn low_priority_classes_leave_expected_demand_and_class_limits_hold() {
    let classes = vec![class(8.0), class(1.0), ClassLimits { per_s: Some(3), priority_weight: 2.0 }];
    let mut budget = Budget::new(&BudgetLimits { classes, ..limits(20, 20, 1000) }, ONE_PROXY);
    budget.set_expected_demand([4.2, 100.0, 3.0]);
    assert_eq!(admitted(&mut budget, at(0), 2, 9), 3, "the limit of the class");
    assert_eq!(
        admitted(&mut budget, at(0), 1, 30),
        12,
        "five requests are reserved for the class of higher priority"
    );
    assert_eq!(budget.available(at(0), 1, 1.0), Err(BudgetExceeded::Rate));
    assert_eq!(admitted(&mut budget, at(0), 0, 30), 5);
    budget.set_expected_demand([0.0, 0.0, 0.0]);
    assert_eq!(budget.available(at(1000), 1, 1.0), Ok(20), "no demand is expected in other classes");
    assert_eq!(budget.available(at(1000), 1, 0.25), Ok(5), "a quarter of the budget may be used");
    assert_eq!(budget.available(at(1000), 1, 0.0), Err(BudgetExceeded::Rate));
    assert_eq!(budget.available(at(0), 7, 1.0), Err(BudgetExceeded::Rate), "the class does not exist");
}

#[test]
fn in_flight_and_burst_are_limited_separately() {
    let second_of_two = EvenAllocation { proxies: 2, position: 1 };
    let mut budget = Budget::new(&limits(100, 8, 6), second_of_two);
    assert_eq!(admitted(&mut budget, at(0), 0, 9), 3, "half of six");
    assert_eq!(budget.available(at(500), 0, 1.0), Err(BudgetExceeded::InFlight));
    (0..9).for_each(|_| budget.release());
    assert_eq!(budget.in_flight(), Usage { used: 0, limit: 3 });
    assert_eq!(budget.available(at(500), 0, 1.0), Ok(3));
    let mut budget = Budget::new(&limits(100, 8, 1000), second_of_two);
    assert_eq!(admitted(&mut budget, at(0), 0, 9), 4, "half of the burst");
    assert_eq!(budget.rate_usage(at(10)), Usage { used: 4, limit: 50 });
}

#[test]
fn sends_before_a_reallocation_still_count() {
    let classes = vec![ClassLimits { per_s: Some(15), priority_weight: 8.0 }];
    let first_of_three = EvenAllocation { proxies: 3, position: 0 };
    let mut budget = Budget::new(&BudgetLimits { classes, ..limits(30, 30, 30) }, first_of_three);
    assert_eq!(admitted(&mut budget, at(0), 0, 20), 5, "a third of the limit of the class");
    budget.reallocate(WeightedAllocation {
        preceding: 0.0,
        fraction: 0.8,
        even: EvenAllocation { proxies: 2, position: 0 },
    });
    assert_eq!(admitted(&mut budget, at(200), 0, 20), 7, "the new limit of 12, less five sends");
    assert_eq!(budget.rate_usage(at(200)).limit, 24);
    assert_eq!(budget.in_flight(), Usage { used: 12, limit: 24 });
    budget.reallocate(WeightedAllocation {
        preceding: 0.9,
        fraction: 0.02,
        even: EvenAllocation { proxies: 40, position: 39 },
    });
    assert!(!budget.uses_sliding_window(), "30 requests per second among 40 proxies require time slots");
}

#[test]
fn setting_the_rate_scales_the_burst() {
    let mut budget = Budget::new(&limits(40, 20, 100), EvenAllocation { proxies: 2, position: 0 });
    budget.set_rate(30);
    assert_eq!(admitted(&mut budget, at(0), 0, 40), 15);
    assert_eq!(admitted(&mut budget, at(500), 0, 40), 15);
    budget.set_rate(0);
    assert!(budget.acquire(at(5000), 0, 1.0).is_err());
}

#[test]
fn backward_time_frees_no_capacity() {
    let mut budget = Budget::new(&limits(2, 2, 1000), ONE_PROXY);
    assert!(budget.acquire(at(5000), 0, 1.0).is_ok() && budget.acquire(at(5000), 0, 1.0).is_ok());
    assert!(budget.acquire(at(1000), 0, 1.0).is_err());
    assert!(budget.acquire(at(5999), 0, 1.0).is_err());
    assert!(budget.acquire(at(6000), 0, 1.0).is_ok());
}
