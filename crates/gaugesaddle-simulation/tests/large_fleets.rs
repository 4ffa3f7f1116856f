//! Guards against a change that reaches a few of 300 proxies late because several control processes without a disk are
//! suspended: each proxy may have some of them at the head of its order.

use gaugesaddle_simulation::{simulate, Deployment, Fault, Plan, PlannedFault};

/// A plan in which all control processes are killed, so that each proxy chooses one by its own order, and `suspended`
/// processes without a disk stop some seconds later; twice.
fn plan(seed: u64, deployment: &str, suspended: u32) -> Plan {
    let kill = Fault::KillAll { power_loss: false, down: 300 };
    let freeze = Fault::FreezeDiskless { count: suspended, time: 6000 };
    let faults = [(6000, kill), (13_000, freeze), (20_000, kill), (27_000, freeze)];
    Plan {
        seed,
        deployment: Deployment::named(deployment).expect("a known deployment"),
        faults: faults.map(|(at, fault)| PlannedFault { at, fault }).into(),
    }
}

fn assert_changes_are_in_force_in_time(seed: u64, deployment: &str, suspended: u32) {
    let outcome = simulate(&plan(seed, deployment, suspended));
    let first = outcome.violations.first();
    let count = outcome.violations.len();
    assert!(first.is_none(), "{deployment}, seed {seed}: {count} violations, the first is {first:?}");
    assert!(outcome.confirmed_changes > 20, "{} changes", outcome.confirmed_changes);
    assert!(outcome.connected_checks > 200, "{} checks", outcome.connected_checks);
}

#[test]
fn change_is_in_force_at_300_proxies_while_half_of_twelve_processes_are_suspended() {
    assert_changes_are_in_force_in_time(1, "tidewater-gs-large", 6);
}

#[test]
fn change_is_in_force_at_300_proxies_while_half_of_fourteen_processes_are_suspended() {
    assert_changes_are_in_force_in_time(2, "nilavu-air-large", 7);
}
