use super::*;

#[test]
fn drawn_scenarios_are_valid_serializable_and_varied() {
    let drawn: Vec<Scenario> = (0..500).map(|n| draw_scenario(mix(7, n))).collect();
    for s in &drawn {
        assert!(s.check().is_ok(), "{s:?}");
        let text = toml::to_string(s).expect("scenario is serialized");
        assert_eq!(&Scenario::parse(&text).expect("scenario is parsed"), s);
        let ends = |e: &ScheduledDisturbance| match &e.disturbance {
            Disturbance::Network { for_s, .. } | Disturbance::StopProxy { for_s, .. } => e.at_s + for_s,
            Disturbance::KillProxy { back_after_s, .. } => e.at_s + back_after_s,
            _ => e.at_s,
        };
        assert!(s.events.iter().all(|e| ends(e) <= LAST_FAULT_S + 0.01), "{s:?}");
    }
    let faults = |kind: fn(&Disturbance) -> bool| {
        drawn.iter().flat_map(|s| &s.events).filter(|e| kind(&e.disturbance)).count()
    };
    assert!(faults(|w| matches!(w, Disturbance::LoseProxy { .. })) > 50);
    assert!(faults(|w| matches!(w, Disturbance::JoinProxy { .. })) > 50);
    assert!(faults(|w| matches!(w, Disturbance::Network { zones, .. } if !zones.is_empty())) > 20);
    assert_eq!(drawn[3], draw_scenario(mix(7, 3)), "a seed gives the same scenario again");
}

#[test]
fn shrinking_keeps_only_the_faults_that_reproduce_the_failure() {
    let s = draw_scenario(mix(7, 1));
    let with_stops = (0..8).fold(s, |s, proxy| s.event(3.0, Disturbance::StopProxy { proxy, for_s: 1.0 }));
    let (first, last) =
        (Disturbance::StopProxy { proxy: 2, for_s: 1.0 }, Disturbance::StopProxy { proxy: 6, for_s: 1.0 });
    let mut runs = 0;
    let minimal = shrink(with_stops, |s| {
        runs += 1;
        let has = |what: &Disturbance| s.events.iter().any(|e| &e.disturbance == what);
        has(&first) && has(&last)
    });
    let left: Vec<Disturbance> = minimal.events.into_iter().map(|e| e.disturbance).collect();
    assert_eq!(left, [first, last]);
    assert!(runs < 200, "{runs}");
}
