use super::*;
use crate::budget::ClassLimits;

fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

fn at(n: u64) -> Time {
    Time(1_000_000_000 + n * 1000)
}

fn link() -> Link {
    let class = |priority_weight| ClassLimits { per_s: None, priority_weight };
    Link::new(LinkSettings {
        local: "north".into(),
        remote: "south".into(),
        budget: BudgetLimits { per_s: 10, burst: 10, in_flight: 3, classes: vec![class(8.0), class(1.0)] },
        allocation: EvenAllocation { proxies: 1, position: 0 },
        max_hops: 1,
        initial_round_trip: ms(40),
        deadline_margin: ms(10),
    })
}

/// A client's request with the given time until its deadline.
fn request(remaining: Micros) -> HopRequest<'static> {
    HopRequest { class: 0, remaining, via: None, budget_fraction: 1.0 }
}

#[test]
fn a_hop_carries_a_shorter_deadline_and_the_visited_regions() {
    let mut link = link();
    let hop = link.start_hop(at(0), request(ms(250))).expect("within the budget");
    assert_eq!((hop.via.header_value().as_str(), hop.remaining), ("north;left=0", ms(200)));
    let result = HopResult {
        outcome: RemoteOutcome::Executed,
        duration: ms(60),
        remote_duration: Some(ms(50)),
        retry_after: None,
        link_failed: false,
    };
    link.complete(at(60), result, 0.5);
    let hop = link.start_hop(at(70), request(ms(250))).expect("within the budget");
    assert_eq!(
        hop.remaining,
        ms(230),
        "250 ms less the measured round trip of 10 ms and the margin of 10 ms"
    );
    assert_eq!(link.counters().executed, 1);
}

#[test]
fn each_error_is_counted_and_acquires_no_budget() {
    let mut link = link();
    let from_south = Via::parse("south;left=1", "south").expect("valid");
    assert_eq!(
        link.start_hop(at(0), HopRequest { via: Some(&from_south), ..request(ms(250)) }),
        Err(LinkError::Ineligible(Ineligible::AlreadyVisited)),
        "the request was received from the region that it would be forwarded to"
    );
    let exhausted = Via::parse("west;left=0", "west").expect("valid");
    assert_eq!(
        link.start_hop(at(0), HopRequest { via: Some(&exhausted), ..request(ms(250)) }),
        Err(LinkError::Ineligible(Ineligible::HopsExhausted))
    );
    assert_eq!(link.start_hop(at(0), request(ms(45))), Err(LinkError::DeadlineTooShort));
    assert_eq!(
        link.start_hop(at(0), HopRequest { budget_fraction: 0.0, ..request(ms(250)) }),
        Err(LinkError::BudgetExceeded),
        "no part of the budget may be used"
    );
    (0..3).for_each(|_| assert!(link.start_hop(at(0), request(ms(250))).is_ok()));
    let fourth = link.start_hop(at(0), request(ms(250)));
    assert_eq!(fourth, Err(LinkError::BudgetExceeded), "three requests are in flight");
    let counters = link.counters();
    assert_eq!(
        (counters.sent, counters.ineligible, counters.deadline_too_short, counters.over_budget),
        (3, 2, 1, 2)
    );
}

#[test]
fn a_failed_hop_starts_a_backoff_and_is_not_a_round_trip_sample() {
    let mut link = link();
    link.start_hop(at(0), request(ms(250))).expect("within the budget");
    let failed = HopResult {
        outcome: RemoteOutcome::Indeterminate,
        duration: ms(200),
        remote_duration: None,
        retry_after: None,
        link_failed: true,
    };
    link.complete(at(200), failed, 0.5);
    assert_eq!(link.start_hop(at(210), request(ms(900))), Err(LinkError::Backoff));
    assert_eq!(link.available(at(210), 0, 1.0), 0);
    assert!(link.start_hop(at(500), request(ms(205))).is_ok());
}

#[test]
fn a_rejection_starts_the_requested_backoff_and_releases_its_budget() {
    let mut link = link();
    link.start_hop(at(0), request(ms(250))).expect("within the budget");
    let rejected = HopResult {
        outcome: RemoteOutcome::NotExecuted,
        duration: ms(20),
        remote_duration: Some(ms(1)),
        retry_after: Some(ms(1000)),
        link_failed: false,
    };
    link.complete(at(20), rejected, 0.5);
    assert_eq!(link.backoff_until(at(21)), Some(at(1520)));
    assert_eq!(link.usage(at(21)).in_flight, Usage { used: 0, limit: 3 });
    assert_eq!(link.start_hop(at(1519), request(ms(250))), Err(LinkError::Backoff));
    assert!(link.start_hop(at(1520), request(ms(250))).is_ok());
}
