//! An auditor that finds nothing may see nothing: in the proxies' place stands a relay that breaks one rule in one
//! way, over real sockets, and must be found, for that and for nothing else.

use gaugesaddle_testbed::scenario::{Clients, Kind, Overload};
use gaugesaddle_testbed::{run, Broken, Disturbance, Fault, ProxyImplementation, Scenario, Verdict};
use std::collections::BTreeSet;

/// Light load, with what each fault needs to show: drains, a cold node.
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
    run(s, &ProxyImplementation::Faulty(fault), &mut |_| {}).expect("a run").verdict
}

/// The ways in which rules were broken.
fn broken(s: &Scenario, fault: Fault) -> BTreeSet<Broken> {
    let verdict = verdict(s, fault);
    assert!(verdict.inconclusive.is_empty(), "{fault:?}: {verdict}");
    verdict.findings.iter().map(|f| f.broken).collect()
}

/// Runs side by side: each waits far more than it works.
fn all(cases: Vec<(Scenario, Fault, &'static [Broken])>) {
    let threads: Vec<_> = cases
        .into_iter()
        .map(|(s, fault, expected)| {
            std::thread::spawn(move || {
                let found = broken(&s, fault);
                assert_eq!(found, expected.iter().copied().collect(), "{fault:?}");
            })
        })
        .collect();
    let failed = threads.into_iter().filter_map(|t| t.join().err()).count();
    assert_eq!(failed, 0, "see above");
}

#[test]
fn rule_one_broken_in_each_way_is_found_and_only_that() {
    all(vec![
        (scenario(), Fault::Drops, &[Broken::Lost]),
        (scenario(), Fault::ClosesAfterSending, &[Broken::Lost]),
        (scenario(), Fault::AnswersTwice, &[Broken::AnsweredTwice]),
        (scenario(), Fault::AnswersLate, &[Broken::AnsweredLate]),
        (scenario(), Fault::MixesUp, &[Broken::Foreign]),
    ]);
}

#[test]
fn rule_two_broken_is_found() {
    // Sent again after the answer, an unsafe request is repeated and a keyed one leaves its hall.
    let after: &[Broken] = &[Broken::SentAfterAnswer, Broken::UnsafeRepeated, Broken::KeyedRepeated];
    all(vec![
        (scenario(), Fault::SendsAfterAnswer, after),
        (scenario(), Fault::Repeats, &[Broken::UnsafeRepeated, Broken::KeyedRepeated]),
        (scenario(), Fault::RefusesAfterRun, &[Broken::RefusedAfterRun]),
    ]);
}

#[test]
fn rules_three_and_four_broken_are_found() {
    let drain = |s: Scenario| s.event(0.5, Disturbance::Drain { node: 1, over_s: 4.0, back_after_s: None });
    let cold = |s: Scenario| s.event(0.3, Disturbance::Crash { node: 2, back_after_s: Some(0.5) });
    let busy = |mut s: Scenario| {
        s.clients.per_s = 250.0;
        s.discovery.add_s = [0.1, 0.2];
        s
    };
    let rest = |mut s: Scenario| {
        // A small cold node gets a sixth of a light load: no fault, and none is found.
        s.discovery.crash_notice_s = [0.1, 0.2];
        s
    };
    all(vec![
        (drain(scenario()), Fault::IgnoresDrains, &[Broken::Drain]),
        (busy(cold(scenario())), Fault::FloodsNewest, &[Broken::SlowStartOverload]),
        (rest(cold(drain(scenario()))), Fault::None, &[]),
    ]);
}
