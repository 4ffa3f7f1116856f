//! Failures guarded against: a proxy counts expired or repeated reports as work in flight, counts its own work twice, or
//! treats a backend as failing because of a single proxy's failure; or tables grow without bound.

use gaugesaddle_load_report::{LoadAggregator, LoadView, MAX_BACKENDS, MAX_PROXIES, REPORT_TTL_MS};
use gaugesaddle_protocol::BackendLoad;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: u64 = 1_000_000;

/// One exchange of reports: each proxy reports to its control process, the processes exchange sums, and each proxy receives
/// the totals.
fn exchange(now: u64, proxies: &mut [LoadView], aggregators: &mut [LoadAggregator]) {
    for (number, proxy) in proxies.iter_mut().enumerate() {
        aggregators[number % aggregators.len()].record_report(now, number as u64, proxy.report(now));
    }
    for from in 0..aggregators.len() {
        let sums = aggregators[from].local_sums(now);
        for to in (0..aggregators.len()).filter(|to| *to != from) {
            aggregators[to].record_sums(now, from as u32, sums.clone());
        }
    }
    for (number, proxy) in proxies.iter_mut().enumerate() {
        proxy.record_sums(now, aggregators[number % aggregators.len()].total_sums(now));
    }
}

#[test]
fn every_proxy_counts_the_total_work_and_its_own_immediately() {
    let mut proxies = vec![LoadView::default(); 91];
    let mut aggregators = vec![LoadAggregator::default(); 8];
    for proxy in &mut proxies {
        proxy.begin(NOW, 7, 100.0);
    }
    exchange(NOW, &mut proxies, &mut aggregators);
    assert!(proxies.iter().all(|p| p.work(NOW, 7) == 9100.0), "every request must count once");
    proxies[3].begin(NOW, 7, 50.0);
    assert_eq!(proxies[3].work(NOW, 7), 9150.0, "a proxy's own work must count before it is reported");
    proxies[3].end(7, NOW, 50.0);
    proxies[3].end(7, NOW, 100.0);
    assert_eq!(proxies[3].work(NOW, 7), 9000.0);
    // A repeated report counts once.
    exchange(NOW + 100, &mut proxies, &mut aggregators);
    exchange(NOW + 200, &mut proxies, &mut aggregators);
    assert!(proxies.iter().all(|p| p.work(NOW + 200, 7) == 9000.0));
}

#[test]
fn proxy_without_sums_relies_on_its_own_observations() {
    let mut proxies = vec![LoadView::default(); 2];
    let mut aggregators = vec![LoadAggregator::default(); 1];
    proxies[0].begin(NOW, 1, 10.0);
    proxies[1].begin(NOW, 1, 1000.0);
    exchange(NOW, &mut proxies, &mut aggregators);
    assert_eq!(proxies[0].work(NOW + REPORT_TTL_MS - 1, 1), 1010.0);
    assert_eq!(proxies[0].work(NOW + REPORT_TTL_MS, 1), 10.0, "expired sums must not count");
}

#[test]
fn work_of_a_killed_proxy_no_longer_counts() {
    let mut proxies = vec![LoadView::default(); 2];
    let mut aggregators = vec![LoadAggregator::default(); 2];
    proxies[1].begin(NOW, 1, 1000.0);
    exchange(NOW, &mut proxies, &mut aggregators);
    // The second proxy is killed: its control process receives no further reports.
    let later = NOW + REPORT_TTL_MS;
    aggregators[0].record_report(later, 0, proxies[0].report(later));
    let sums = aggregators[1].local_sums(later);
    aggregators[0].record_sums(later, 1, sums);
    proxies[0].record_sums(later, aggregators[0].total_sums(later));
    assert_eq!(proxies[0].work(later, 1), 0.0);
}

#[test]
fn backend_is_failing_if_many_requests_fail_and_few_are_served() {
    let mut proxies = vec![LoadView::default(); 91];
    let mut aggregators = vec![LoadAggregator::default(); 8];
    for proxy in proxies.iter_mut().take(3) {
        proxy.record_failed_request(NOW, 5);
        proxy.record_failed_request(NOW, 6);
    }
    for proxy in proxies.iter_mut().skip(3).take(12) {
        proxy.record_served_request(NOW, 6);
    }
    proxies[0].record_failed_request(NOW, 8);
    exchange(NOW, &mut proxies, &mut aggregators);
    assert!(
        proxies.iter().all(|p| p.health(NOW, 5).is_failing()),
        "three requests failed and none was served"
    );
    assert!(proxies.iter().all(|p| !p.health(NOW, 6).is_failing()), "most requests are served");
    assert!(proxies.iter().all(|p| !p.health(NOW, 8).is_failing()), "one failure is below the minimum");
    // The failures decay, so the backend becomes eligible again (half-open).
    let later = NOW + 3000;
    exchange(later, &mut proxies, &mut aggregators);
    assert!(proxies.iter().all(|p| !p.health(later, 5).is_failing()));
}

#[test]
fn hanging_backend_is_failing_before_its_clients_time_out() {
    let mut proxies = vec![LoadView::default(); 91];
    let mut aggregators = vec![LoadAggregator::default(); 8];
    for proxy in proxies.iter_mut().take(3) {
        proxy.begin(NOW, 5, 3000.0);
        // Backend 6 has a request in flight for as long, but serves others: it is merely loaded.
        proxy.begin(NOW, 6, 3000.0);
    }
    let soon = NOW + 900;
    exchange(soon, &mut proxies, &mut aggregators);
    assert!(proxies.iter().all(|p| !p.health(soon, 5).is_failing()));
    let later = NOW + 1100;
    for proxy in proxies.iter_mut().skip(10).take(10) {
        proxy.record_served_request(later, 6);
    }
    exchange(later, &mut proxies, &mut aggregators);
    assert!(proxies.iter().all(|p| p.health(later, 5).is_failing()));
    assert!(proxies.iter().all(|p| !p.health(later, 6).is_failing()));
}

#[test]
fn empty_report_is_sent_once() {
    let mut proxy = LoadView::default();
    assert!(!proxy.is_report_due(NOW), "there is no load");
    proxy.begin(NOW, 1, 5.0);
    assert!(proxy.is_report_due(NOW));
    assert_eq!(proxy.report(NOW).len(), 1);
    proxy.end(1, NOW, 5.0);
    assert!(proxy.is_report_due(NOW), "a report without load must follow a report with load");
    assert!(proxy.report(NOW).is_empty());
    assert!(!proxy.is_report_due(NOW));
}

#[test]
fn tables_are_bounded_and_heaviest_backends_are_reported() {
    let mut aggregator = LoadAggregator::default();
    for proxy in 0..2 * MAX_PROXIES as u64 {
        let load = BackendLoad { backend: proxy as u32, work: proxy as u32, ..BackendLoad::default() };
        aggregator.record_report(NOW, proxy, vec![load; 3]);
    }
    let all = aggregator.total_sums(NOW);
    assert_eq!(all.len(), MAX_BACKENDS);
    assert_eq!(all.iter().map(|l| l.work).max(), Some(3 * (MAX_PROXIES as u32 - 1)));
    let mut proxy = LoadView::default();
    (0..2000).for_each(|backend| proxy.begin(NOW, backend, f64::from(backend)));
    let report = proxy.report(NOW);
    assert_eq!(report.len(), MAX_BACKENDS);
    assert!(report.iter().any(|l| l.work == 1999) && report.iter().all(|l| l.work >= 1744));
    proxy.record_sums(
        NOW,
        vec![BackendLoad { backend: 1, work: u32::MAX, failed: u32::MAX, served: 0 }; 4000],
    );
    assert!(proxy.work(NOW, 1).is_finite());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// After an exchange every proxy sees the sum of all work in flight, for any preceding sequence of operations.
    #[test]
    fn all_proxies_see_the_same_sum_after_an_exchange(steps in prop::collection::vec((0usize..9, 0u32..5, 1u32..500, any::<bool>()), 0..120)) {
        let mut proxies = vec![LoadView::default(); 9];
        let mut aggregators = vec![LoadAggregator::default(); 3];
        let mut in_flight: Vec<(usize, u32, u32)> = Vec::new();
        for (at, (proxy, backend, work, ends)) in steps.into_iter().enumerate() {
            if ends && !in_flight.is_empty() {
                let (proxy, backend, work) = in_flight.swap_remove(at % in_flight.len());
                proxies[proxy].end(backend, NOW, f64::from(work));
            } else {
                proxies[proxy].begin(NOW, backend, f64::from(work));
                in_flight.push((proxy, backend, work));
            }
            if at % 7 == 0 {
                exchange(NOW + at as u64, &mut proxies, &mut aggregators);
            }
        }
        exchange(NOW + 500, &mut proxies, &mut aggregators);
        for backend in 0..5 {
            let sum: u32 = in_flight.iter().filter(|(_, b, _)| *b == backend).map(|(.., work)| *work).sum();
            for proxy in &proxies {
                prop_assert!((proxy.work(NOW + 500, backend) - f64::from(sum)).abs() < 1.0);
            }
        }
    }
}
