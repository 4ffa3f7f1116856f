//! Guards against a simulation that is not deterministic, that ignores unsupported events, or that serves requests on
//! hung nodes.

use gaugesaddle_balancer::LimitBounds;
use gaugesaddle_proxy_simulation::{simulate, Policy, SimulationError};
use gaugesaddle_testbed::{Disturbance, Scenario};

const BALANCER: Policy = Policy::Balancer(LimitBounds { learned: true, min: 1.0, max: 1000.0 });

fn short_scenario() -> Scenario {
    Scenario { seconds: 3.0, ..Scenario::default() }
}

#[test]
fn reports_are_reproducible_and_depend_on_the_seed() {
    let s = short_scenario().event(1.0, Disturbance::Deploy { nodes: 2, group: 1, every_s: 0.5 });
    let report = simulate(&s, BALANCER, &[]).expect("the events are supported");
    assert_eq!(report, simulate(&s, BALANCER, &[]).expect("the events are supported"));
    assert_ne!(
        report.statuses,
        simulate(&s.clone().seed(2), BALANCER, &[]).expect("the events are supported").statuses
    );
    assert!(report.g > 0.9, "{} of the weight served in time at half load", report.g);
}

#[test]
fn unsupported_events_are_rejected() {
    let s = short_scenario().event(1.0, Disturbance::LinkPartition { proxy: 0, node: 0, for_s: 1.0 });
    assert!(matches!(simulate(&s, BALANCER, &[]), Err(SimulationError::Unsupported(_))));
}

#[test]
fn hung_nodes_serve_no_request() {
    let hang = |s: Scenario, node| s.event(0.0, Disturbance::Hang { node, for_s: 60.0 });
    let s = (0..short_scenario().nodes()).fold(short_scenario(), hang);
    for policy in [BALANCER, Policy::Relay] {
        let report = simulate(&s, policy, &[]).expect("the events are supported");
        assert_eq!((report.g, report.statuses.get(&200)), (0.0, None));
        assert!(report.statuses.values().sum::<u64>() >= 400, "each request gets a response");
    }
}
