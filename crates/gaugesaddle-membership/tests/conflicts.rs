//! Guards against a conflict that is not reported: two processes use the same index, or two proxies have the same name.

use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::{Authenticator, Boot, Membership, Output, Settings, TierConfig};
use std::net::SocketAddr;

const MEMBERS: usize = 3;
/// Virtual time between two runs of the timers.
const STEP: Micros = Micros(10_000);
/// Virtual transit time of a datagram.
const TRANSIT: Micros = Micros(1000);
/// Rounds of delivery within one step: enough for every reply to a reply.
const DELIVERY_ROUNDS: usize = 6;

/// A process and the index that it uses. Several may use the same.
struct Process {
    index: usize,
    membership: Membership,
}

/// A datagram in transit.
struct InTransit {
    from: usize,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// An output other than a datagram, and the index of the process that reported it.
#[derive(Debug)]
struct Report {
    by: usize,
    output: Output,
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + index as u16).into()
}

fn process(index: usize, name: &str, boot: u32) -> Process {
    let config = TierConfig {
        addresses: (0..MEMBERS).map(address).collect(),
        own_index: index as u16,
        broadcast_address: None,
        name: name.into(),
        zone: "z".into(),
    };
    let (auth, seed) = (Authenticator::disabled(), u64::from(boot));
    let membership = Membership::new(Settings::default(), auth, config, Boot(boot), seed, Time(0));
    Process { index, membership: membership.expect("the configuration is valid") }
}

fn collect_outputs(
    by: usize, outputs: Vec<Output>, in_transit: &mut Vec<InTransit>, reports: &mut Vec<Report>,
) {
    for output in outputs {
        match output {
            Output::Send { to, bytes } => in_transit.push(InTransit { from: by, to, bytes }),
            output => reports.push(Report { by, output }),
        }
    }
}

/// Runs the processes for some seconds of virtual time. A datagram reaches every process that uses the destination's
/// index.
fn run_for(processes: &mut [Process], seconds: u64) -> Vec<Report> {
    let mut reports = Vec::new();
    for step in 0..seconds * 1_000_000 / STEP.0 {
        let now = Time(step * STEP.0);
        let mut in_transit = Vec::new();
        for process in processes.iter_mut() {
            let mut outputs = Vec::new();
            process.membership.run_due_timers(now, &mut outputs);
            collect_outputs(process.index, outputs, &mut in_transit, &mut reports);
        }
        for _ in 0..DELIVERY_ROUNDS {
            for datagram in std::mem::take(&mut in_transit) {
                for process in processes.iter_mut().filter(|p| address(p.index) == datagram.to) {
                    let mut outputs = Vec::new();
                    let from = address(datagram.from);
                    process.membership.handle_datagram(now + TRANSIT, from, &datagram.bytes, &mut outputs);
                    collect_outputs(process.index, outputs, &mut in_transit, &mut reports);
                }
            }
        }
    }
    reports
}

#[test]
fn two_processes_at_one_index_are_reported_by_all() {
    let mut processes = [process(0, "a", 10), process(1, "b", 11), process(1, "b", 12), process(2, "c", 13)];
    let reports = run_for(&mut processes, 30);
    let reported_by = |index: usize| {
        reports.iter().any(|report| report.by == index && report.output == Output::IndexConflict { index: 1 })
    };
    assert!(reported_by(0) && reported_by(2), "expected a report by the other members");
    assert!(reported_by(1), "expected a report by the two processes");
}

#[test]
fn a_restart_is_not_reported_as_a_conflict() {
    let mut processes = [process(0, "a", 10), process(1, "b", 11), process(2, "c", 13)];
    run_for(&mut processes, 5);
    processes[1] = process(1, "b", 12);
    let reports = run_for(&mut processes, 5);
    assert!(!reports.iter().any(|r| matches!(r.output, Output::IndexConflict { .. })), "{reports:?}");
}

#[test]
fn two_members_with_one_name_are_reported() {
    let mut processes = [process(0, "a", 10), process(1, "b", 11), process(2, "b", 13)];
    let reports = run_for(&mut processes, 5);
    assert!(reports.iter().any(|r| r.output == Output::NameConflict { indices: (1, 2) }), "{reports:?}");
    let is_other_conflict =
        |r: &Report| matches!(r.output, Output::NameConflict { indices } if indices != (1, 2));
    assert!(!reports.iter().any(is_other_conflict), "{reports:?}");
}
