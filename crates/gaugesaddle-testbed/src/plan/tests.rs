use super::*;

#[test]
fn a_plan_is_determined_by_its_seed() {
    let s = Scenario::default().event(2.0, Disturbance::Deploy { nodes: 3, group: 2, every_s: 1.0 });
    let (one, two) = (plan(&s), plan(&s));
    assert_eq!(one, two);
    assert_ne!(one.requests, plan(&s.clone().seed(2)).requests);
    let expected = s.clients.per_s * s.seconds;
    let got = one.requests.len() as f64;
    assert!((got - expected).abs() < 5.0 * expected.sqrt(), "{got} for {expected}");
    assert!(one.requests.is_sorted_by_key(|a| a.at_us) && one.steps.is_sorted_by_key(|s| s.0));
}

#[test]
fn a_burst_multiplies_the_arrival_rate_by_its_factor() {
    let s = Scenario::default().event(2.0, Disturbance::Burst { factor: 5.0, for_s: 2.0 });
    let plan = plan(&s);
    let count = |from: f64, to: f64| {
        let within = |a: &&PlannedRequest| (from..to).contains(&(a.at_us as f64 / 1e6));
        plan.requests.iter().filter(within).count() as f64
    };
    let ratio = count(2.0, 4.0) / count(4.0, 6.0);
    assert!((4.0..6.0).contains(&ratio), "{ratio}");
}

#[test]
fn an_additional_event_changes_no_request() {
    let s = Scenario::default();
    let more = s.clone().event(1.0, Disturbance::Crash { node: 0, back_after_s: Some(1.0) });
    assert_eq!(plan(&s).requests, plan(&more).requests);
}

#[test]
fn only_safe_or_unprocessed_requests_may_be_retried() {
    assert!(may_retry(Effect::Safe, 502, true) && !may_retry(Effect::Safe, 200, true));
    assert!(may_retry(Effect::Keyed, 503, true) && !may_retry(Effect::Keyed, 502, true));
    assert!(may_retry(Effect::Unsafe, 0, false) && !may_retry(Effect::Unsafe, 0, true));
}
