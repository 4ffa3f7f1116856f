//! Spillover to another region: which requests leave, when, in which order, and which never may.

mod common;
use common::{backend, class, Host};
use gaugesaddle_balancer::*;

const MS: u64 = 1000;

fn keyed() -> Effect {
    Effect::Keyed(KeyScope::Zone, Micros(1_200_000))
}

/// A host with votes (worth 8, keyed), reads (free) and payments (unsafe), and so many backends.
fn host(backends: u32) -> Host {
    let vote = Class { priority_weight: 8.0, ..class(keyed()) };
    let classes = vec![vote, class(Effect::Free), class(Effect::Unsafe)];
    let mut host = Host::new(Config { classes, proxies: 1, ..Config::example() }, 5);
    host.members(ListUpdate::Full, (0..backends).map(|i| backend(i, 0, 0)).collect());
    host
}

fn offer(host: &mut Host, room: [u32; 3], at_once: f64) {
    let offer =
        Offer { capacity: room.to_vec(), hop_duration: Micros(40 * MS), direct_fraction: vec![at_once; 3] };
    host.event(Event::Offer(offer));
}

fn answer(host: &Host, id: RequestId) -> Option<&'static str> {
    host.requests[&id].answer
}

#[test]
fn without_an_offer_nothing_leaves() {
    let mut host = host(0);
    let ids = [host.arrive(0, 900_000), host.arrive(1, 900_000)];
    host.advance(500_000);
    assert!(ids.iter().all(|id| answer(&host, *id) == Some("refused")));
}

#[test]
fn request_without_backend_leaves_while_it_can_be_served_in_time() {
    let mut host = host(0);
    offer(&mut host, [9, 9, 9], 0.0);
    let id = host.arrive(0, 900_000);
    assert_eq!(answer(&host, id), None, "a backend may come yet");
    host.advance(400 * MS);
    assert_eq!(answer(&host, id), Some("left"));
    // An aim of 400 ms, a usual time of a quarter of that, and 40 ms of way.
    let late = host.arrive(0, 130 * MS);
    host.advance(130 * MS);
    assert_eq!(answer(&host, late), Some("refused"), "under the way and the work: not sent at all");
}

#[test]
fn request_offered_at_once_is_not_attempted_here() {
    let mut host = host(3);
    offer(&mut host, [1, 1, 1], 1.0);
    let ids: Vec<_> = (0..3).map(|class| host.arrive(class, 900_000)).collect();
    assert!(ids.iter().all(|id| answer(&host, *id) == Some("left") && host.sent_to(*id).is_empty()));
    let more = host.arrive(0, 900_000);
    assert_eq!(host.sent_to(more).len(), 1, "no place left: the backends here have it");
}

#[test]
fn offer_is_bounded_and_goes_to_highest_value() {
    let mut host = host(0);
    let (reads, votes) = (host.burst(4, 1, 900_000), host.burst(4, 0, 900_000));
    offer(&mut host, [3, 3, 3], 0.0);
    host.advance(380 * MS);
    let left = |ids: &[RequestId]| ids.iter().filter(|id| answer(&host, **id) == Some("left")).count();
    assert_eq!((left(&votes), left(&reads)), (3, 3));
    let first = |class: usize| {
        host.requests.iter().filter(|(_, r)| r.class == class && r.answer == Some("left")).count()
    };
    assert_eq!((first(0), first(1)), (3, 3), "each class within its own places");
}

#[test]
fn highest_density_leaves_first() {
    let mut host = host(0);
    host.burst(3, 1, 900_000);
    host.burst(3, 0, 900_000);
    offer(&mut host, [9, 9, 9], 0.0);
    let mut order = Vec::new();
    while order.is_empty() && host.now < Time(1_000_400_000) {
        host.advance(5 * MS);
        let left = host.last.iter().filter_map(|a| match a {
            Action::Forward { request } => Some(host.requests[request].class),
            _ => None,
        });
        order.extend(left);
    }
    assert_eq!(order, [0, 0, 0, 1, 1, 1]);
}

/// Every cell: by effect, and by what is known of the attempts here.
#[test]
fn request_that_may_have_run_leaves_only_if_free() {
    for (class, outcome, leaves) in [
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
            answer(&host, id) == Some("left"),
            leaves,
            "class {class}, {outcome:?}: {:?}",
            answer(&host, id)
        );
    }
}

#[test]
fn keyed_request_in_flight_does_not_leave() {
    let mut host = host(1);
    let id = host.arrive(0, 900_000);
    offer(&mut host, [9, 9, 9], 1.0);
    host.advance(900 * MS);
    assert_eq!(answer(&host, id), Some("failed"), "it may have run until the end");
}

#[test]
fn foreign_requests_are_queued_behind_local_ones() {
    let mut host = host(1);
    let foreign = |request| Arrival {
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
        host.balancer.handle(host.now, Event::Request(foreign(request)), &mut actions);
        actions.iter().any(|a| matches!(a, Action::Dispatch { .. }))
    };
    // One backend holds four; half of that is for others.
    let foreigners = (1000..1010).filter(|n| sent(*n, &mut host)).count();
    assert_eq!(foreigners, 2);
    let own: Vec<_> = (0..2).map(|_| host.arrive(0, 900_000)).collect();
    assert!(own.iter().all(|id| host.sent_to(*id).len() == 1), "the rest was kept for the own");
}

#[test]
fn capacity_counts_healthy_backends_only() {
    let mut host = host(4);
    assert_eq!(host.balancer.capacity().capacity_per_s, f64::INFINITY, "nothing was served yet");
    for _ in 0..60 {
        let id = host.arrive(0, 900_000);
        host.advance(20 * MS);
        host.end(id, 0, Outcome::Ok);
    }
    let all = host.balancer.capacity();
    // Four backends of four places each, 20 ms an answer.
    assert!((600.0..=1000.0).contains(&all.capacity_per_s), "{all:?}");
    assert!(all.demand_per_s[0] > 15.0 && all.demand_per_s[2] < 1.0, "{all:?}");
    for _ in 0..40 {
        let id = host.arrive(0, 900_000);
        (0..5).for_each(|no| host.end(id, no, Outcome::ConnectFailed));
        host.advance(5 * MS);
    }
    assert_eq!(host.balancer.capacity().capacity_per_s, 0.0, "all of them refused");
    host.advance(8_000 * MS);
    let id = host.arrive(0, 900_000);
    assert_eq!(host.balancer.capacity().capacity_per_s, 0.0, "the end of a term alone proves nothing");
    host.end(id, 0, Outcome::Ok);
    assert!(host.balancer.capacity().capacity_per_s > 0.0, "a good answer does");
}
