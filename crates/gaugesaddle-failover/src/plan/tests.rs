use super::*;
use proptest::prelude::*;

const PRIORITY_WEIGHTS: [f64; 2] = [8.0, 1.0];

#[test]
fn demand_stays_local_and_excess_follows_headroom() {
    let demand = vec![vec![10.0, 50.0], vec![5.0, 20.0], vec![0.0, 0.0]];
    let p = plan(0.8, &demand, &[100.0, 100.0, 100.0], &PRIORITY_WEIGHTS);
    assert!(p.local_fraction.iter().flatten().all(|fraction| *fraction == 1.0));
    assert_eq!(p.spillover_fraction, [0.0, 0.0]);
    // The first zone is lost: all of its demand goes to the others in proportion to their headroom.
    let p = plan(0.8, &demand, &[0.0, 100.0, 50.0], &PRIORITY_WEIGHTS);
    assert_eq!(p.local_fraction[0], [0.0, 0.0]);
    assert!((p.inbound_fraction[1] - 55.0 / 95.0).abs() < 1e-9);
    assert!((p.inbound_fraction[2] - 40.0 / 95.0).abs() < 1e-9);
    assert!((p.zone_load_per_s(&demand, 1) - 25.0 - 60.0 * 55.0 / 95.0).abs() < 1e-9);
    assert_eq!(p.spillover_per_s(&demand), 0.0);
}

#[test]
fn high_priority_stays_and_only_demand_beyond_all_zones_spills_over() {
    let demand = vec![vec![60.0, 100.0], vec![10.0, 20.0]];
    let p = plan(0.8, &demand, &[100.0, 100.0], &PRIORITY_WEIGHTS);
    assert!(
        (p.utilization - 0.95).abs() < 1e-9,
        "utilization above the target, since the zones together have the capacity: {p:?}"
    );
    assert_eq!((p.local_fraction[0][0], p.local_fraction[1][0]), (1.0, 1.0));
    assert!((p.zone_load_per_s(&demand, 0) - 95.0).abs() < 1e-9);
    assert!((p.zone_load_per_s(&demand, 1) - 95.0).abs() < 1e-9);
    assert!(p.spillover_per_s(&demand) < 1e-9);
    let p = plan(0.8, &demand, &[100.0, 50.0], &PRIORITY_WEIGHTS);
    assert_eq!((p.utilization, p.spillover_fraction[0]), (1.0, 0.0));
    assert!((p.spillover_per_s(&demand) - 40.0).abs() < 1e-9, "{p:?}");
    let p = plan(0.8, &demand, &[0.0, 0.0], &PRIORITY_WEIGHTS);
    assert_eq!(p.spillover_fraction, [1.0, 1.0]);
    assert_eq!(p.inbound_fraction, [0.0, 0.0]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2000) })]

    #[test]
    fn plans_conserve_demand_respect_utilization_and_never_relay(
        zones in prop::collection::vec((0.0f64..200.0, 0.0f64..200.0, prop_oneof![Just(0.0), 1.0f64..300.0]), 1..8),
        target in 0.3f64..1.0, weights in prop::array::uniform2(0.1f64..10.0)
    ) {
        let demand: Vec<Vec<f64>> = zones.iter().map(|zone| vec![zone.0, zone.1]).collect();
        let capacity: Vec<f64> = zones.iter().map(|zone| zone.2).collect();
        let p = plan(target, &demand, &capacity, &weights);
        let total_demand: f64 = demand.iter().flatten().sum();
        let total_capacity: f64 = capacity.iter().sum();
        let load: Vec<f64> = (0..zones.len()).map(|zone| p.zone_load_per_s(&demand, zone)).collect();
        for z in 0..zones.len() {
            prop_assert!(load[z] <= p.utilization * capacity[z] + 1e-6, "load {} of capacity {}", load[z], capacity[z]);
            let sends = demand[z].iter().zip(&p.local_fraction[z]).any(|(n, local)| n * (1.0 - local) > 1e-6);
            prop_assert!(!sends || p.inbound_fraction[z] < 1e-9, "a zone that sends receives nothing");
        }
        let served: f64 = load.iter().sum();
        prop_assert!((served + p.spillover_per_s(&demand) - total_demand).abs() < 1e-6);
        // Reference: the zones together serve as much as they can before anything goes to another region.
        prop_assert!((served - total_demand.min(total_capacity)).abs() < 1e-6);
        if total_demand <= target * total_capacity {
            prop_assert!((p.utilization - target).abs() < 1e-9);
        }
        // The class of the higher weight never leaves a zone while the other stays.
        let (high, low) = if weights[0] >= weights[1] { (0, 1) } else { (1, 0) };
        for (z, local) in p.local_fraction.iter().enumerate() {
            let high_leaves = demand[z][high] * (1.0 - local[high]) > 1e-6;
            prop_assert!(!high_leaves || demand[z][low] * local[low] < 1e-6);
        }
        let spillover = &p.spillover_fraction;
        let by_zone = || p.local_fraction.iter().zip(&demand);
        prop_assert!(spillover[high] <= 0.0 + 1e-9
            || spillover[low] >= 1.0 - 1e-6
            || demand.iter().all(|by_class| by_class[low] < 1e-9)
            || by_zone().all(|(local, by_class)| by_class[low] * (1.0 - local[low]) < 1e-6));
    }
}
