use super::*;

const S: u64 = 1_000_000;

fn listed(count: u64) -> Vec<ListedBackend> {
    (0..count).map(|n| (BackendId(n * 7 + 1), KindId(n % 2), ZoneId(n % 3))).collect()
}

fn allocators(count: usize) -> Vec<Allocator> {
    vec![Allocator::new(AllocatorSettings::default()); count]
}

fn observe_tier(
    allocator: &mut Allocator, at_us: u64, uptime: u64, own: usize, demands: &[Option<f64>],
) -> Allocation {
    let indices: Vec<u16> = (0..demands.len() as u16).collect();
    let view = TierView {
        configured: 60,
        uptime: Micros(uptime),
        unchanged_for: Micros(0),
        own,
        indices: &indices,
        demands,
    };
    allocator.observe(Time(at_us), &view, listed(60))
}

#[test]
fn fractions_of_a_backend_sum_to_one_and_an_incomplete_view_keeps_the_last_allocation() {
    let demands: Vec<Option<f64>> = (0..60).map(|n| Some(1.0 + f64::from(n % 5))).collect();
    let mut all = allocators(60);
    for (own, allocator) in all.iter_mut().enumerate() {
        assert_eq!(
            observe_tier(allocator, 0, S, own, &demands),
            Allocation::Provisional(1.0),
            "the process has run for a second only"
        );
        assert!(allocator.assignments().is_empty());
        let Allocation::ByDemand(tier) = observe_tier(allocator, S, 3 * S, own, &demands) else {
            panic!("expected an allocation by demand")
        };
        assert_eq!((tier.proxies, tier.position), (60, own as u32));
    }
    for (id, _, _) in listed(60) {
        let users = all.iter().flat_map(super::Allocator::assignments).filter(|u| u.backend == id);
        assert!((users.map(|u| u.fraction).sum::<f64>() - 1.0).abs() < 1e-9);
    }
    let Allocation::ByDemand(tier) = observe_tier(&mut all[4], 60 * S, 60 * S, 4, &demands) else {
        panic!("expected an allocation by demand")
    };
    assert!((1.5..1.7).contains(&tier.weight), "the weight is 0.1 + 0.9 * 5 / 3: {tier:?}");
    let (weight_before, assignments) = (tier.weight, all[4].assignments().to_vec());
    let Allocation::Provisional(weight) = observe_tier(&mut all[4], 61 * S, 0, 4, &demands[..5]) else {
        panic!("expected a provisional allocation")
    };
    assert!((weight - weight_before).abs() < 0.02 && all[4].assignments() == assignments);
}

#[test]
fn a_starting_proxy_accepts_a_stable_view_early_and_a_resumed_one_does_not() {
    let mut allocator = allocators(1).remove(0);
    let demands = [Some(1.0), Some(1.0), Some(1.0)];
    let mut observe_tier = |configured: usize, at_us: u64, uptime: u64, unchanged_for: u64| {
        let (uptime, unchanged_for) = (Micros(uptime), Micros(unchanged_for));
        let view =
            TierView { configured, uptime, unchanged_for, own: 0, indices: &[0, 7, 9], demands: &demands };
        matches!(allocator.observe(Time(at_us), &view, listed(60)), Allocation::ByDemand(_))
    };
    assert!(!observe_tier(30, S / 4, S / 4, S / 4), "other members may not have had time to answer");
    assert!(!observe_tier(30, S, S, S / 10), "members are still being discovered");
    assert!(
        !observe_tier(3, S, S, S),
        "as many as configured: equal fractions apply until demands are known"
    );
    assert!(observe_tier(30, S + S / 4, S + S / 4, 3 * S / 10));
    assert!(!observe_tier(30, 20 * S, S, 19 * S), "after a resume a stable view is not evidence");
    assert!(observe_tier(30, 21 * S, 2 * S, 0));
}

#[test]
fn an_inconsistent_view_stays_provisional() {
    let mut allocator = allocators(1).remove(0);
    let demands = [Some(1.0), None];
    assert!(
        matches!(observe_tier(&mut allocator, 0, 3 * S, 2, &demands), Allocation::Provisional(_)),
        "the proxy's position is beyond the members"
    );
    let view = TierView {
        configured: 2,
        uptime: Micros(3 * S),
        unchanged_for: Micros(0),
        own: 0,
        indices: &[0],
        demands: &demands,
    };
    assert!(
        matches!(allocator.observe(Time(0), &view, listed(3)), Allocation::Provisional(_)),
        "fewer members than demands"
    );
}
