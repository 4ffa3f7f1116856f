//! Many decision modules that are told who uses what: in every turn the rooms that they take of a backend add up to what it
//! may hold, and over many turns each has its part.

use gaugesaddle_allocation::{Allocation, Allocator, AllocatorSettings, TierView};
use gaugesaddle_balancer::*;

const S: u64 = 1_000_000;
/// What a backend may hold, by the module's constant.
const HOLD: f64 = 4.0;
/// The module's turns.
const TURN: u64 = 5 * S;
const START: u64 = 1_000_000 * S;

struct Proxy {
    module: Balancer,
    dealer: Allocator,
    asked: u64,
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
    let one = |position: u32| {
        let config = Config { proxies: count, position, ..Config::example() };
        let mut module = Balancer::new(config, u64::from(position)).expect("sound");
        let list = (0..backends).map(backend).collect();
        let news = Event::Members { update: ListUpdate::Full, backends: list };
        module.handle(Time(START), news, &mut Vec::new());
        Proxy { module, dealer: Allocator::new(AllocatorSettings::default()), asked: 0 }
    };
    (0..count).map(one).collect()
}

/// All see the same, and the modules are told.
fn look(all: &mut [Proxy], at: u64, living: &[u16], needs: &[Option<f64>]) {
    for (own, place) in living.iter().enumerate() {
        let proxy = &mut all[usize::from(*place)];
        let seen = TierView {
            configured: living.len(),
            uptime: Micros(9 * S),
            unchanged_for: Micros(S),
            own,
            indices: living,
            demands: needs,
        };
        let listed = proxy.module.listed();
        let Allocation::ByDemand(tier) = proxy.dealer.observe(Time(at), &seen, listed) else {
            panic!("it knows")
        };
        for event in [Event::Tier(tier), Event::Assignments(proxy.dealer.assignments().to_vec())] {
            proxy.module.handle(Time(at), event, &mut Vec::new());
        }
    }
}

/// Lets time pass for a module, which then takes its new rooms, by backend.
fn rooms(proxy: &mut Proxy, at: u64) -> Vec<(BackendId, f64)> {
    proxy.asked += 1;
    let gone = Event::ClientDisconnected { request: RequestId(proxy.asked) };
    proxy.module.handle(Time(at), gone, &mut Vec::new());
    let used = |id: BackendId| proxy.dealer.assignments().iter().any(|u| u.backend == id);
    let limits = proxy.module.limits();
    limits.into_iter().filter(|l| used(l.backend)).map(|l| (l.backend, f64::from(l.slots))).collect()
}

fn sums_hold(all: &mut [Proxy], living: &[u16], at: u64, took: &mut [f64]) {
    let mut sums = std::collections::BTreeMap::<BackendId, f64>::new();
    for place in living {
        for (backend, room) in rooms(&mut all[usize::from(*place)], at) {
            *sums.entry(backend).or_default() += room;
            took[usize::from(*place)] += room;
        }
    }
    assert!(!sums.is_empty());
    for (backend, sum) in sums {
        assert!((sum - HOLD).abs() < 1e-6, "{sum} held of {backend:?} at {at}");
    }
}

#[test]
fn in_every_turn_the_rooms_of_all_are_the_whole_and_over_many_each_has_its_part() {
    let (count, backends) = (60, 90);
    let mut all = proxies(count, backends);
    let living: Vec<u16> = (0..count as u16).collect();
    let needs: Vec<Option<f64>> = living.iter().map(|p| Some(1.0 + f64::from(p % 5))).collect();
    look(&mut all, START, &living, &needs);
    let mut took = vec![0.0; count as usize];
    let turns = 120;
    for turn in 1..=turns {
        sums_hold(&mut all, &living, START + turn * TURN, &mut took);
    }
    let parts = gaugesaddle_allocation::allocate_by_demand(&AllocatorSettings::default().limits, &needs);
    for (took, part) in took.iter().zip(parts) {
        let due = part * HOLD * backends as f64 * turns as f64;
        assert!((took / due - 1.0).abs() < 0.1, "{took} taken where {due} are due");
    }
}

#[test]
fn what_the_dead_had_is_the_livings_and_a_backend_that_goes_leaves_the_rest_whole() {
    let mut all = proxies(60, 90);
    let living: Vec<u16> = (0..60).filter(|p| p % 3 != 1).collect();
    let needs = vec![Some(10.0); living.len()];
    look(&mut all, START, &living, &needs);
    let mut took = vec![0.0; 60];
    sums_hold(&mut all, &living, START + TURN, &mut took);
    let gone = Backend { id: BackendId(7 * 977 + 5), state: BackendState::Departed, ..Backend::default() };
    for place in &living {
        let news = Event::Members { update: ListUpdate::Changes, backends: vec![gone.clone()] };
        all[usize::from(*place)].module.handle(Time(START + TURN), news, &mut Vec::new());
    }
    look(&mut all, START + TURN, &living, &needs);
    sums_hold(&mut all, &living, START + 2 * TURN, &mut took);
}
