//! Slots of backends that many balancers divide by their assignments: in every rotation the slots of all proxies at a
//! backend sum to its concurrency limit, and over many rotations each proxy has its fraction.

use gaugesaddle_allocation::{Allocation, Allocator, AllocatorSettings, TierView};
use gaugesaddle_balancer::*;

const S: u64 = 1_000_000;
/// Concurrency limit of a backend, the balancer's constant.
const BACKEND_LIMIT: f64 = 4.0;
/// Interval of the balancer's slot rotation, in microseconds.
const ROTATION_INTERVAL: u64 = 5 * S;
const START: u64 = 1_000_000 * S;

struct Proxy {
    balancer: Balancer,
    allocator: Allocator,
    requests: u64,
}

fn proxies(count: u32, backends: u64) -> Vec<Proxy> {
    let backend = |n: u64| Backend {
        id: BackendId(n * 977 + 5),
        zone: ZoneId(n % 3),
        kind: KindId(n % 2),
        state: BackendState::Ready,
        weight: 1.0,
        ..Backend::default()
    };
    let proxy = |position: u32| {
        let config = Config { proxies: count, position, ..Config::example() };
        let mut balancer = Balancer::new(config, u64::from(position)).expect("valid configuration");
        let listed_backends = (0..backends).map(backend).collect();
        let event = Event::Members { update: ListUpdate::Full, backends: listed_backends };
        balancer.handle(Time(START), event, &mut Vec::new());
        Proxy { balancer, allocator: Allocator::new(AllocatorSettings::default()), requests: 0 }
    };
    (0..count).map(proxy).collect()
}

/// All proxies observe the same view, and their balancers get the allocations.
fn update_allocations(all: &mut [Proxy], at: u64, live: &[u16], demands: &[Option<f64>]) {
    for (own, index) in live.iter().enumerate() {
        let proxy = &mut all[usize::from(*index)];
        let view = TierView {
            configured: live.len(),
            uptime: Micros(9 * S),
            unchanged_for: Micros(S),
            own,
            indices: live,
            demands,
        };
        let listed = proxy.balancer.listed();
        let Allocation::ByDemand(tier) = proxy.allocator.observe(Time(at), &view, listed) else {
            panic!("expected an allocation by demand")
        };
        for event in [Event::Tier(tier), Event::Assignments(proxy.allocator.assignments().to_vec())] {
            proxy.balancer.handle(Time(at), event, &mut Vec::new());
        }
    }
}

/// Advances the time of a balancer, which then takes its new slots; returns these by backend.
fn slots_by_backend(proxy: &mut Proxy, at: u64) -> Vec<(BackendId, f64)> {
    proxy.requests += 1;
    let disconnect = Event::ClientDisconnected { request: RequestId(proxy.requests) };
    proxy.balancer.handle(Time(at), disconnect, &mut Vec::new());
    let is_assigned = |id: BackendId| proxy.allocator.assignments().iter().any(|u| u.backend == id);
    let limits = proxy.balancer.limits();
    limits.into_iter().filter(|l| is_assigned(l.backend)).map(|l| (l.backend, f64::from(l.slots))).collect()
}

fn assert_slots_sum_to_limit(all: &mut [Proxy], live: &[u16], at: u64, granted: &mut [f64]) {
    let mut sums = std::collections::BTreeMap::<BackendId, f64>::new();
    for index in live {
        for (backend, slots) in slots_by_backend(&mut all[usize::from(*index)], at) {
            *sums.entry(backend).or_default() += slots;
            granted[usize::from(*index)] += slots;
        }
    }
    assert!(!sums.is_empty());
    for (backend, sum) in sums {
        assert!((sum - BACKEND_LIMIT).abs() < 1e-6, "{sum} slots of {backend:?} at {at}");
    }
}

#[test]
fn slots_sum_to_the_limit_in_every_rotation_and_follow_the_fractions_over_many() {
    let (count, backends) = (60, 90);
    let mut all = proxies(count, backends);
    let live: Vec<u16> = (0..count as u16).collect();
    let demands: Vec<Option<f64>> = live.iter().map(|p| Some(1.0 + f64::from(p % 5))).collect();
    update_allocations(&mut all, START, &live, &demands);
    let mut granted = vec![0.0; count as usize];
    let rotations = 120;
    for rotation in 1..=rotations {
        assert_slots_sum_to_limit(&mut all, &live, START + rotation * ROTATION_INTERVAL, &mut granted);
    }
    let fractions =
        gaugesaddle_allocation::allocate_by_demand(&AllocatorSettings::default().limits, &demands);
    for (granted, fraction) in granted.iter().zip(fractions) {
        let due = fraction * BACKEND_LIMIT * backends as f64 * rotations as f64;
        assert!((granted / due - 1.0).abs() < 0.1, "{granted} slots granted, expected {due}");
    }
}

#[test]
fn slots_sum_to_the_limit_without_dead_proxies_and_after_a_backend_departs() {
    let mut all = proxies(60, 90);
    let live: Vec<u16> = (0..60).filter(|p| p % 3 != 1).collect();
    let demands = vec![Some(10.0); live.len()];
    update_allocations(&mut all, START, &live, &demands);
    let mut granted = vec![0.0; 60];
    assert_slots_sum_to_limit(&mut all, &live, START + ROTATION_INTERVAL, &mut granted);
    let departed =
        Backend { id: BackendId(7 * 977 + 5), state: BackendState::Departed, ..Backend::default() };
    for index in &live {
        let event = Event::Members { update: ListUpdate::Changes, backends: vec![departed.clone()] };
        all[usize::from(*index)].balancer.handle(Time(START + ROTATION_INTERVAL), event, &mut Vec::new());
    }
    update_allocations(&mut all, START + ROTATION_INTERVAL, &live, &demands);
    assert_slots_sum_to_limit(&mut all, &live, START + 2 * ROTATION_INTERVAL, &mut granted);
}
