use super::*;

/// Three zones with four proxies each; each zone has a capacity of 300 requests per second and a demand of 120.
fn healthy_reports() -> Vec<ProxyReport> {
    let observation = ZoneObservation { backends: 4.0, unhealthy: 0.0, capacity_per_s: 25.0 };
    let report = |member: u16| ProxyReport {
        member,
        zone: usize::from(member % 3),
        allocation: 1.0 / 12.0,
        demand_per_s: vec![10.0, 20.0],
        observations: vec![observation; 3],
        age: Micros(500_000),
    };
    (0..12).map(report).collect()
}

fn evaluate_all(reports: &[ProxyReport]) -> Assessment {
    evaluate(&EvaluatorSettings::default(), 3, 2, reports)
}

fn report_lost(report: &mut ProxyReport, zone: usize) {
    report.observations[zone].unhealthy = 4.0;
    report.observations[zone].capacity_per_s = 0.0;
}

#[test]
fn reports_of_a_healthy_fleet_sum_to_its_demand_and_capacity() {
    let assessment = evaluate_all(&healthy_reports());
    assert!(assessment.unobserved.is_empty() && assessment.partitioned.is_empty());
    for zone in &assessment.zones {
        assert!((zone.capacity_per_s.unwrap() - 300.0).abs() < 1e-9 && !zone.status.is_lost());
        assert_eq!((&zone.demand_per_s[..], zone.reports, zone.lost_reports), (&[40.0, 80.0][..], 12, 0));
    }
    let unknown = evaluate_all(&[]);
    assert!(
        unknown.zones.iter().all(|zone| zone.capacity_per_s.is_none() && !zone.status.is_lost()),
        "without reports the capacity is unknown and no zone is lost"
    );
}

#[test]
fn a_zone_is_lost_by_a_majority_of_recent_reports() {
    let mut reports = healthy_reports();
    reports[..6].iter_mut().for_each(|report| report_lost(report, 1));
    let assessment = evaluate_all(&reports);
    assert!(
        !assessment.zones[1].status.is_lost() && assessment.unobserved.len() == 6,
        "half of the reports are not a majority"
    );
    report_lost(&mut reports[6], 1);
    let assessment = evaluate_all(&reports);
    assert!(assessment.zones[1].status.is_lost() && assessment.zones[1].capacity_per_s == Some(0.0));
    assert!(
        assessment.unobserved.is_empty() && assessment.partitioned.is_empty(),
        "proxies that still see a lost zone are not at fault"
    );
    reports[5..7].iter_mut().for_each(|report| report.age = Micros(60_000_000));
    assert!(!evaluate_all(&reports).zones[1].status.is_lost(), "old reports do not count");
}

#[test]
fn a_proxy_alone_in_missing_its_own_zone_or_most_zones_is_partitioned() {
    let mut reports = healthy_reports();
    report_lost(&mut reports[5], 0);
    let assessment = evaluate_all(&reports);
    assert_eq!(assessment.unobserved, [UnobservedZone { member: 5, zone: 0 }]);
    assert!(assessment.partitioned.is_empty(), "it serves through the other zones");
    assert!((assessment.zones[0].capacity_per_s.unwrap() - 300.0).abs() < 1e-9);
    report_lost(&mut reports[5], 2);
    assert_eq!(evaluate_all(&reports).partitioned, [5], "its own zone is among the unobserved ones");
    let mut reports = healthy_reports();
    (0..3).for_each(|zone| report_lost(&mut reports[0], zone));
    assert_eq!(evaluate_all(&reports).partitioned, [0]);
}

#[test]
fn wrong_estimates_of_a_minority_move_the_capacity_little() {
    let mut reports = healthy_reports();
    reports[..5].iter_mut().for_each(|report| report.observations[0].capacity_per_s = 50.0);
    assert!((evaluate_all(&reports).zones[0].capacity_per_s.unwrap() - 300.0).abs() < 1e-9);
    for (i, report) in reports.iter_mut().enumerate() {
        report.observations[0].capacity_per_s = 25.0 * (0.5 + i as f64 / 11.0);
    }
    let capacity_per_s = evaluate_all(&reports).zones[0].capacity_per_s.unwrap();
    assert!((240.0..330.0).contains(&capacity_per_s), "{capacity_per_s}");
    reports[3].observations[0].capacity_per_s = f64::INFINITY;
    reports[4].demand_per_s = vec![f64::NAN, -3.0];
    let assessment = evaluate_all(&reports);
    assert!(assessment.zones[0].capacity_per_s.unwrap().is_finite());
    assert_eq!(assessment.zones[1].demand_per_s, [30.0, 60.0]);
}

#[test]
fn settings_out_of_range_are_named() {
    let default = EvaluatorSettings::default();
    let error = |settings: EvaluatorSettings| settings.check().expect_err("out of range").to_string();
    assert!(default.check().is_ok());
    assert_eq!(
        error(EvaluatorSettings { unhealthy_fraction: 0.5, ..default }),
        "unhealthy_fraction: expected over 0.5, up to 1"
    );
    assert_eq!(
        error(EvaluatorSettings { max_report_age: Micros(0), ..default }),
        "max_report_age: expected more than 0"
    );
    assert_eq!(
        error(EvaluatorSettings { min_allocation: 0.0, ..default }),
        "min_allocation: expected between 0 and 1"
    );
}
