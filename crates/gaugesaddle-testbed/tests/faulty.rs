//! Guards against an audit that misses violations: a relay with one fault runs in place of the proxies, over real
//! sockets, and the audit must report exactly the violations of that fault.

use gaugesaddle_testbed::scenario::{Clients, Kind, Overload};
use gaugesaddle_testbed::{run, Disturbance, Fault, ProxyImplementation, Scenario, Verdict, Violation};
use std::collections::BTreeSet;

/// A light load; the tests add the drains and cold nodes that a fault needs to take effect.
fn scenario() -> Scenario {
    let defaults = Scenario::default();
    let clients =
        Clients { per_s: 60.0, leaving: 0.0, single_request: 0.0, retries: 0, ..defaults.clients.clone() };
    let kinds = vec![Kind { name: "fast".into(), count: 6, speed: 2.0, ..Kind::default() }];
    let choke = Overload { at: 1e9, ..Overload::default() };
    let mut classes = defaults.classes.clone();
    classes.iter_mut().for_each(|c| c.weight = 1.0);
    Scenario { proxies: 2, seconds: 5.0, clients, classes, kinds, choke, ..defaults }.seed(5)
}

fn verdict(s: &Scenario, fault: Fault) -> Verdict {
    run(s, &ProxyImplementation::Faulty(fault), &mut |_| {}).expect("scenario runs").verdict
}

/// The kinds of violations in a run with a fault.
fn violations(s: &Scenario, fault: Fault) -> BTreeSet<Violation> {
    let verdict = verdict(s, fault);
    assert!(verdict.inconclusive.is_empty(), "{fault:?}: {verdict}");
    verdict.findings.iter().map(|f| f.violation).collect()
}

/// Runs the cases concurrently, since each of them is mostly idle.
fn check_all(cases: Vec<(Scenario, Fault, &'static [Violation])>) {
    let threads: Vec<_> = cases
        .into_iter()
        .map(|(s, fault, expected)| {
            std::thread::spawn(move || {
                let found = violations(&s, fault);
                assert_eq!(found, expected.iter().copied().collect(), "{fault:?}");
            })
        })
        .collect();
    let failed = threads.into_iter().filter_map(|t| t.join().err()).count();
    assert_eq!(failed, 0, "cases whose violations differ from the expected ones, printed above");
}

#[test]
fn each_violation_of_rule_one_is_found_and_no_other() {
    check_all(vec![
        (scenario(), Fault::Drops, &[Violation::Lost]),
        (scenario(), Fault::ClosesAfterSending, &[Violation::Lost]),
        (scenario(), Fault::AnswersTwice, &[Violation::AnsweredTwice]),
        (scenario(), Fault::AnswersLate, &[Violation::AnsweredLate]),
        (scenario(), Fault::MixesUp, &[Violation::Foreign]),
    ]);
}

#[test]
fn violations_of_rule_two_are_found() {
    // A request that is sent again after its response is also a retry of an unsafe request, or of a keyed one outside
    // its zone.
    let after: &[Violation] =
        &[Violation::SentAfterAnswer, Violation::UnsafeRepeated, Violation::KeyedRepeated];
    check_all(vec![
        (scenario(), Fault::SendsAfterAnswer, after),
        (scenario(), Fault::Repeats, &[Violation::UnsafeRepeated, Violation::KeyedRepeated]),
        (scenario(), Fault::RefusesAfterRun, &[Violation::RefusedAfterRun]),
    ]);
}

#[test]
fn violations_of_rules_three_and_four_are_found() {
    let drain = |s: Scenario| s.event(0.5, Disturbance::Drain { node: 1, over_s: 4.0, back_after_s: None });
    let cold = |s: Scenario| s.event(0.3, Disturbance::Crash { node: 2, back_after_s: Some(0.5) });
    let busy = |mut s: Scenario| {
        s.clients.per_s = 250.0;
        s.discovery.add_s = [0.1, 0.2];
        s
    };
    let early_notice = |mut s: Scenario| {
        // Without a fault, a small cold node gets a sixth of a light load, which breaks no rule.
        s.discovery.crash_notice_s = [0.1, 0.2];
        s
    };
    check_all(vec![
        (drain(scenario()), Fault::IgnoresDrains, &[Violation::Drain]),
        (busy(cold(scenario())), Fault::FloodsNewest, &[Violation::SlowStartOverload]),
        (early_notice(cold(drain(scenario()))), Fault::None, &[]),
    ]);
}
