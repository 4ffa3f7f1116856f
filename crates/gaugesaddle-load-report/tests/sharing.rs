//! The failure: a proxy takes old or repeated news for work that waits, counts its own twice, or holds one neighbour's word
//! for a backend's failure; or tables grow without a bound.

use gaugesaddle_load_report::{LoadAggregator, LoadView, FRESH, MAX_BACKENDS, MAX_PROXIES};
use gaugesaddle_protocol::BackendLoad;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: u64 = 1_000_000;

/// A round of reports: each proxy reports to its process, processes tell each other, and each proxy hears the sums.
fn exchange(now: u64, proxies: &mut [LoadView], boards: &mut [LoadAggregator]) {
    for (number, proxy) in proxies.iter_mut().enumerate() {
        boards[number % boards.len()].report(now, number as u64, proxy.report(now));
    }
    for from in 0..boards.len() {
        let sums = boards[from].own(now);
        for to in (0..boards.len()).filter(|to| *to != from) {
            boards[to].take(now, from as u32, sums.clone());
        }
    }
    for (number, proxy) in proxies.iter_mut().enumerate() {
        proxy.heard(now, boards[number % boards.len()].all(now));
    }
}

#[test]
fn all_proxies_see_what_all_have_sent_and_each_its_own_at_once() {
    let mut proxies = vec![LoadView::default(); 91];
    let mut boards = vec![LoadAggregator::default(); 8];
    for proxy in &mut proxies {
        proxy.begin(NOW, 7, 100.0);
    }
    exchange(NOW, &mut proxies, &mut boards);
    assert!(proxies.iter().all(|p| p.work(NOW, 7) == 9100.0), "every request once");
    proxies[3].begin(NOW, 7, 50.0);
    assert_eq!(proxies[3].work(NOW, 7), 9150.0, "its own counts before anybody hears of it");
    proxies[3].end(7, NOW, 50.0);
    proxies[3].end(7, NOW, 100.0);
    assert_eq!(proxies[3].work(NOW, 7), 9000.0);
    // The same report again counts once.
    exchange(NOW + 100, &mut proxies, &mut boards);
    exchange(NOW + 200, &mut proxies, &mut boards);
    assert!(proxies.iter().all(|p| p.work(NOW + 200, 7) == 9000.0));
}

#[test]
fn a_proxy_that_hears_nothing_goes_by_what_it_sees_itself() {
    let mut proxies = vec![LoadView::default(); 2];
    let mut boards = vec![LoadAggregator::default(); 1];
    proxies[0].begin(NOW, 1, 10.0);
    proxies[1].begin(NOW, 1, 1000.0);
    exchange(NOW, &mut proxies, &mut boards);
    assert_eq!(proxies[0].work(NOW + FRESH - 1, 1), 1010.0);
    assert_eq!(proxies[0].work(NOW + FRESH, 1), 10.0, "news that is not renewed is void");
}

#[test]
fn a_proxy_that_has_gone_leaves_no_work_behind() {
    let mut proxies = vec![LoadView::default(); 2];
    let mut boards = vec![LoadAggregator::default(); 2];
    proxies[1].begin(NOW, 1, 1000.0);
    exchange(NOW, &mut proxies, &mut boards);
    // The second one is killed; its process hears nothing of it any more.
    let later = NOW + FRESH;
    boards[0].report(later, 0, proxies[0].report(later));
    let sums = boards[1].own(later);
    boards[0].take(later, 1, sums);
    proxies[0].heard(later, boards[0].all(later));
    assert_eq!(proxies[0].work(later, 1), 0.0);
}

#[test]
fn a_backend_fails_where_several_requests_do_and_few_are_answered() {
    let mut proxies = vec![LoadView::default(); 91];
    let mut boards = vec![LoadAggregator::default(); 8];
    for proxy in proxies.iter_mut().take(3) {
        proxy.failed(NOW, 5);
        proxy.failed(NOW, 6);
    }
    for proxy in proxies.iter_mut().skip(3).take(12) {
        proxy.served(NOW, 6);
    }
    proxies[0].failed(NOW, 8);
    exchange(NOW, &mut proxies, &mut boards);
    assert!(proxies.iter().all(|p| p.health(NOW, 5).is_failing()), "three failed, nobody was answered");
    assert!(proxies.iter().all(|p| !p.health(NOW, 6).is_failing()), "most are answered");
    assert!(proxies.iter().all(|p| !p.health(NOW, 8).is_failing()), "one failure says nothing");
    // Half-open: what fades is tried again.
    let later = NOW + 3000;
    exchange(later, &mut proxies, &mut boards);
    assert!(proxies.iter().all(|p| !p.health(later, 5).is_failing()));
}

#[test]
fn a_backend_that_hangs_is_known_to_all_before_its_clients_give_up() {
    let mut proxies = vec![LoadView::default(); 91];
    let mut boards = vec![LoadAggregator::default(); 8];
    for proxy in proxies.iter_mut().take(3) {
        proxy.begin(NOW, 5, 3000.0);
        // As long a wait, where others are answered: it is merely loaded.
        proxy.begin(NOW, 6, 3000.0);
    }
    let soon = NOW + 900;
    exchange(soon, &mut proxies, &mut boards);
    assert!(proxies.iter().all(|p| !p.health(soon, 5).is_failing()));
    let later = NOW + 1100;
    for proxy in proxies.iter_mut().skip(10).take(10) {
        proxy.served(later, 6);
    }
    exchange(later, &mut proxies, &mut boards);
    assert!(proxies.iter().all(|p| p.health(later, 5).is_failing()));
    assert!(proxies.iter().all(|p| !p.health(later, 6).is_failing()));
}

#[test]
fn a_report_that_says_nothing_is_sent_once() {
    let mut proxy = LoadView::default();
    assert!(!proxy.wants_to_report(NOW), "nothing has happened");
    proxy.begin(NOW, 1, 5.0);
    assert!(proxy.wants_to_report(NOW));
    assert_eq!(proxy.report(NOW).len(), 1);
    proxy.end(1, NOW, 5.0);
    assert!(proxy.wants_to_report(NOW), "that it has ended must be told");
    assert!(proxy.report(NOW).is_empty());
    assert!(!proxy.wants_to_report(NOW));
}

#[test]
fn tables_are_bounded_and_those_with_most_work_are_told() {
    let mut board = LoadAggregator::default();
    for proxy in 0..2 * MAX_PROXIES as u64 {
        let load = BackendLoad { backend: proxy as u32, work: proxy as u32, ..BackendLoad::default() };
        board.report(NOW, proxy, vec![load; 3]);
    }
    let all = board.all(NOW);
    assert_eq!(all.len(), MAX_BACKENDS);
    assert_eq!(all.iter().map(|l| l.work).max(), Some(3 * (MAX_PROXIES as u32 - 1)));
    let mut proxy = LoadView::default();
    (0..2000).for_each(|backend| proxy.begin(NOW, backend, f64::from(backend)));
    let report = proxy.report(NOW);
    assert_eq!(report.len(), MAX_BACKENDS);
    assert!(report.iter().any(|l| l.work == 1999) && report.iter().all(|l| l.work >= 1744));
    proxy.heard(NOW, vec![BackendLoad { backend: 1, work: u32::MAX, failed: u32::MAX, served: 0 }; 4000]);
    assert!(proxy.work(NOW, 1).is_finite());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// After a round every proxy sees the sum of what all have under way, however it came about.
    #[test]
    fn after_a_round_all_see_the_same_sum(steps in prop::collection::vec((0usize..9, 0u32..5, 1u32..500, any::<bool>()), 0..120)) {
        let mut proxies = vec![LoadView::default(); 9];
        let mut boards = vec![LoadAggregator::default(); 3];
        let mut under_way: Vec<(usize, u32, u32)> = Vec::new();
        for (at, (proxy, backend, work, ends)) in steps.into_iter().enumerate() {
            if ends && !under_way.is_empty() {
                let (proxy, backend, work) = under_way.swap_remove(at % under_way.len());
                proxies[proxy].end(backend, NOW, f64::from(work));
            } else {
                proxies[proxy].begin(NOW, backend, f64::from(work));
                under_way.push((proxy, backend, work));
            }
            if at % 7 == 0 {
                exchange(NOW + at as u64, &mut proxies, &mut boards);
            }
        }
        exchange(NOW + 500, &mut proxies, &mut boards);
        for backend in 0..5 {
            let sum: u32 = under_way.iter().filter(|(_, b, _)| *b == backend).map(|(.., work)| *work).sum();
            for proxy in &proxies {
                prop_assert!((proxy.work(NOW + 500, backend) - f64::from(sum)).abs() < 1.0);
            }
        }
    }
}
