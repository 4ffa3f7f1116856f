//! Spillover to another region: which requests are forwarded, when, in which order, and which must never be.

mod common;
use common::{backend, class, Host};
use gaugesaddle_balancer::*;

const MS: u64 = 1000;

fn keyed() -> Effect {
    Effect::Keyed(KeyScope::Zone, Micros(1_200_000))
}

/// A host with three classes: votes (weight 8, keyed), reads (idempotent) and payments (unsafe).
fn host(backends: u32) -> Host {
    let vote = Class { priority_weight: 8.0, ..class(keyed()) };
    let classes = vec![vote, class(Effect::Free), class(Effect::Unsafe)];
    let mut host = Host::new(Config { classes, proxies: 1, ..Config::example() }, 5);
    host.members(ListUpdate::Full, (0..backends).map(|i| backend(i, 0, 0)).collect());
    host
}

fn offer(host: &mut Host, capacity: [u32; 3], direct_fraction: f64) {
    let offer = Offer {
        capacity: capacity.to_vec(),
        hop_duration: Micros(40 * MS),
        direct_fraction: vec![direct_fraction; 3],
    };
    host.event(Event::Offer(offer));
}

fn answer(host: &Host, id: RequestId) -> Option<&'static str> {
    host.requests[&id].answer
}

#[test]
fn without_an_offer_nothing_is_forwarded() {
    let mut host = host(0);
    let ids = [host.arrive(0, 900_000), host.arrive(1, 900_000)];
    host.advance(500_000);
    assert!(ids.iter().all(|id| answer(&host, *id) == Some("refused")));
}

#[test]
fn request_without_backend_is_forwarded_while_it_can_be_served_in_time() {
    let mut host = host(0);
    offer(&mut host, [9, 9, 9], 0.0);
    let id = host.arrive(0, 900_000);
    assert_eq!(answer(&host, id), None, "forwarded although a backend may still become ready");
    host.advance(400 * MS);
    assert_eq!(answer(&host, id), Some("forwarded"));
    // The objective is 400 ms, the usual latency a quarter of that, and the hop takes 40 ms.
    let late = host.arrive(0, 130 * MS);
    host.advance(130 * MS);
    assert_eq!(
        answer(&host, late),
        Some("refused"),
        "forwarded although less time remains than the hop and the work take"
    );
}

#[test]
fn request_in_direct_fraction_is_not_attempted_locally() {
    let mut host = host(3);
    offer(&mut host, [1, 1, 1], 1.0);
    let ids: Vec<_> = (0..3).map(|class| host.arrive(class, 900_000)).collect();
    assert!(ids.iter().all(|id| answer(&host, *id) == Some("forwarded") && host.sent_to(*id).is_empty()));
    let excess = host.arrive(0, 900_000);
    assert_eq!(host.sent_to(excess).len(), 1, "beyond the offered capacity a request is dispatched locally");
}

#[test]
fn offer_bounds_forwarded_requests_of_each_class() {
    let mut host = host(0);
    let (reads, votes) = (host.burst(4, 1, 900_000), host.burst(4, 0, 900_000));
    offer(&mut host, [3, 3, 3], 0.0);
    host.advance(380 * MS);
    let forwarded =
        |ids: &[RequestId]| ids.iter().filter(|id| answer(&host, **id) == Some("forwarded")).count();
    assert_eq!((forwarded(&votes), forwarded(&reads)), (3, 3));
    let forwarded_of = |class: usize| {
        host.requests.iter().filter(|(_, r)| r.class == class && r.answer == Some("forwarded")).count()
    };
    assert_eq!((forwarded_of(0), forwarded_of(1)), (3, 3), "forwarded requests of each class");
}

#[test]
fn highest_density_is_forwarded_first() {
    let mut host = host(0);
    host.burst(3, 1, 900_000);
    host.burst(3, 0, 900_000);
    offer(&mut host, [9, 9, 9], 0.0);
    let mut order = Vec::new();
    while order.is_empty() && host.now < Time(1_000_400_000) {
        host.advance(5 * MS);
        let forwarded = host.last_actions.iter().filter_map(|a| match a {
            Action::Forward { request } => Some(host.requests[request].class),
            _ => None,
        });
        order.extend(forwarded);
    }
    assert_eq!(order, [0, 0, 0, 1, 1, 1]);
}

/// All combinations of effect and outcome of the local attempt.
#[test]
fn request_that_may_have_run_is_forwarded_only_if_idempotent() {
    for (class, outcome, is_forwarded) in [
        (0, Outcome::ConnectFailed, true),
        (0, Outcome::Full, true),
        (0, Outcome::Reset, false),
        (0, Outcome::Error, false),
        (1, Outcome::ConnectFailed, true),
        (1, Outcome::Reset, true),
        (1, Outcome::Error, true),
        (2, Outcome::ConnectFailed, true),
        (2, Outcome::Full, true),
        (2, Outcome::Reset, false),
        (2, Outcome::Error, false),
    ] {
        let mut host = host(1);
        let id = host.arrive(class, 900_000);
        assert_eq!(host.sent_to(id).len(), 1);
        offer(&mut host, [9, 9, 9], 1.0);
        host.end(id, 0, outcome);
        host.advance(450 * MS);
        assert_eq!(
            answer(&host, id) == Some("forwarded"),
            is_forwarded,
            "class {class}, {outcome:?}: {:?}",
            answer(&host, id)
        );
    }
}

#[test]
fn keyed_request_in_flight_is_not_forwarded() {
    let mut host = host(1);
    let id = host.arrive(0, 900_000);
    offer(&mut host, [9, 9, 9], 1.0);
    host.advance(900 * MS);
    assert_eq!(answer(&host, id), Some("failed"), "forwarded or refused although its attempt may have run");
}

#[test]
fn requests_of_other_regions_leave_capacity_for_local_ones() {
    let mut host = host(1);
    let from_other_region = |request| Arrival {
        request: RequestId(request),
        class: ClassId(0),
        tenant: None,
        remaining: Micros(900_000),
        work_hint: None,
        repeat: false,
        retried_early: false,
        from_other_region: true,
    };
    let sent = |request: u64, host: &mut Host| {
        let mut actions = Vec::new();
        host.balancer.handle(host.now, Event::Request(from_other_region(request)), &mut actions);
        actions.iter().any(|a| matches!(a, Action::Dispatch { .. }))
    };
    // One backend has four slots; half of them are available to other regions.
    let dispatched = (1000..1010).filter(|n| sent(*n, &mut host)).count();
    assert_eq!(dispatched, 2);
    let local: Vec<_> = (0..2).map(|_| host.arrive(0, 900_000)).collect();
    assert!(
        local.iter().all(|id| host.sent_to(*id).len() == 1),
        "the other half of the slots is not available to local requests"
    );
}

#[test]
fn capacity_counts_healthy_backends_only() {
    let mut host = host(4);
    assert_eq!(
        host.balancer.capacity().capacity_per_s,
        f64::INFINITY,
        "capacity is infinite before any request was served"
    );
    for _ in 0..60 {
        let id = host.arrive(0, 900_000);
        host.advance(20 * MS);
        host.end(id, 0, Outcome::Ok);
    }
    let all = host.balancer.capacity();
    // Four backends with four slots each, 20 ms per answer.
    assert!((600.0..=1000.0).contains(&all.capacity_per_s), "{all:?}");
    assert!(all.demand_per_s[0] > 15.0 && all.demand_per_s[2] < 1.0, "{all:?}");
    for _ in 0..40 {
        let id = host.arrive(0, 900_000);
        (0..5).for_each(|no| host.end(id, no, Outcome::ConnectFailed));
        host.advance(5 * MS);
    }
    assert_eq!(host.balancer.capacity().capacity_per_s, 0.0, "all backends refused connections");
    host.advance(8_000 * MS);
    let id = host.arrive(0, 900_000);
    assert_eq!(
        host.balancer.capacity().capacity_per_s,
        0.0,
        "a backend counts after its ejection time alone, before it has served a request"
    );
    host.end(id, 0, Outcome::Ok);
    assert!(host.balancer.capacity().capacity_per_s > 0.0, "a served request does not restore the capacity");
}
