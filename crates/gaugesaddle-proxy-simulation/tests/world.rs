//! A model that is not the same twice, that passes over what it does not cover, or that serves what nothing can.

use gaugesaddle_balancer::LimitBounds;
use gaugesaddle_proxy_simulation::{simulate, Policy, SimulationError};
use gaugesaddle_testbed::{Disturbance, Scenario};

const MODULE: Policy = Policy::Balancer(LimitBounds { learned: true, min: 1.0, max: 1000.0 });

fn short() -> Scenario {
    Scenario { seconds: 3.0, ..Scenario::default() }
}

#[test]
fn a_seed_gives_the_same_report_and_another_one_something_else() {
    let s = short().event(1.0, Disturbance::Deploy { nodes: 2, group: 1, every_s: 0.5 });
    let one = simulate(&s, MODULE, &[]).expect("covered");
    assert_eq!(one, simulate(&s, MODULE, &[]).expect("covered"));
    assert_ne!(one.statuses, simulate(&s.clone().seed(2), MODULE, &[]).expect("covered").statuses);
    assert!(one.g > 0.9, "{} of the worth at half load", one.g);
}

#[test]
fn what_is_not_covered_is_refused() {
    let s = short().event(1.0, Disturbance::LinkPartition { proxy: 0, node: 0, for_s: 1.0 });
    assert!(matches!(simulate(&s, MODULE, &[]), Err(SimulationError::Unsupported(_))));
}

#[test]
fn nothing_is_served_by_nodes_that_hang() {
    let hang = |s: Scenario, node| s.event(0.0, Disturbance::Hang { node, for_s: 60.0 });
    let s = (0..short().nodes()).fold(short(), hang);
    for policy in [MODULE, Policy::Relay] {
        let report = simulate(&s, policy, &[]).expect("covered");
        assert_eq!((report.g, report.statuses.get(&200)), (0.0, None));
        assert!(report.statuses.values().sum::<u64>() >= 400, "each has its answer");
    }
}
