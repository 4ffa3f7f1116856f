//! Delays of many proxies together: the service is used no less, and no proxy remains without an answer.

use super::*;

const INFORMED_AFTER: Duration = Duration::from_secs(10);

#[test]
fn few_proxies_have_no_delay_even_after_failures() {
    let mut few = CallSchedule::new(3, INFORMED_AFTER, 7);
    assert_eq!(
        [few.first_delay(), few.delay_after_answer(), few.delay_after_failure(), few.delay_after_failure()],
        [Duration::ZERO; 4]
    );
}

#[test]
fn delay_follows_the_number_of_live_proxies_once_known() {
    let live = Rc::new(Cell::new(0));
    let mut schedule = CallSchedule::new(100, INFORMED_AFTER, 3).with_live_proxies(live.clone());
    let range = |schedule: &mut CallSchedule| {
        let all: Vec<Duration> = (0..40).map(|_| schedule.delay_after_answer()).collect();
        (all.iter().min().copied().unwrap(), all.iter().max().copied().unwrap())
    };
    let ms = Duration::from_millis;
    let (shortest, longest) = range(&mut schedule);
    assert!(
        shortest >= ms(500) && longest <= ms(1500) && longest > ms(1000),
        "for the configured number of proxies: {shortest:?} to {longest:?}"
    );
    live.set(33);
    (0..9).for_each(|_| _ = schedule.delay_after_answer());
    let (shortest, longest) = range(&mut schedule);
    assert!(
        shortest >= ms(165) && longest <= ms(495) && longest > ms(330),
        "for a third of the proxies: {shortest:?} to {longest:?}"
    );
    live.set(3);
    (0..40).for_each(|_| _ = schedule.delay_after_answer());
    assert!(schedule.delay_after_answer() < ms(1), "expected no delay for few proxies");
    live.set(200);
    assert!(schedule.delay_after_answer() >= ms(1000), "expected the longer delay at once for more proxies");
}

/// Simulates a service that answers 30 calls a second in order and rejects calls that would wait for over a quarter of
/// a second. Rejections cost the service nothing. Returns the numbers of rejected and of answered calls.
fn simulate_calls(with_delays: bool) -> (usize, usize) {
    const PROXIES: usize = 100;
    let mut schedules: Vec<CallSchedule> = (0..PROXIES)
        .map(|i| CallSchedule::new(if with_delays { PROXIES as u32 } else { 1 }, INFORMED_AFTER, i as u64))
        .collect();
    let mut next: Vec<f64> = schedules.iter_mut().map(|p| p.first_delay().as_secs_f64()).collect();
    let (mut free, mut failed, mut answered) = (0.0f64, 0, 0);
    for step in 0..2_000 {
        let now = f64::from(step) / 100.0;
        for (at, schedule) in next.iter_mut().zip(&mut schedules) {
            if *at > now {
                continue;
            }
            *at = if free.max(now) - now > 0.25 {
                failed += 1;
                now + schedule.delay_after_failure().as_secs_f64().max(0.5)
            } else {
                answered += 1;
                free = free.max(now) + 1.0 / 30.0;
                free + schedule.delay_after_answer().as_secs_f64().max(0.77)
            };
        }
    }
    (failed, answered)
}

#[test]
fn delays_reduce_rejections_without_reducing_answers() {
    let ((failed_without, answered_without), (failed_with, answered_with)) =
        (simulate_calls(false), simulate_calls(true));
    assert!(
        failed_without > 2_000,
        "{failed_without} of {} calls failed without delays",
        failed_without + answered_without
    );
    assert!(
        failed_with * 4 < failed_without,
        "{failed_with} of {} calls failed with delays, {failed_without} without",
        failed_with + answered_with
    );
    assert!(
        answered_with * 10 > answered_without * 8,
        "{answered_with} answered with delays, {answered_without} without"
    );
}

#[test]
fn delays_grow_to_their_maximum_shrink_again_and_are_spread() {
    let mut schedule = CallSchedule::new(100, INFORMED_AFTER, 1);
    let delays: Vec<Duration> = (0..9).map(|_| schedule.delay_after_failure()).collect();
    let range = (Duration::from_millis(500), Duration::from_millis(1500));
    assert!(
        delays.iter().all(|t| (range.0..=range.1).contains(t)),
        "expected retries after 0.5 to 1.5 s: {delays:?}"
    );
    let max_delay = MAX_GAP.mul_f64(ANSWERED_FACTOR);
    let gap = schedule.delay_after_answer();
    assert!(gap <= max_delay.mul_f64(1.0 + SPREAD) && gap >= max_delay.mul_f64(1.0 - SPREAD), "{gap:?}");
    (0..19).for_each(|_| {
        schedule.delay_after_answer();
    });
    assert!(schedule.delay_after_answer() <= Duration::from_millis(1200));
    let first_delays: std::collections::BTreeSet<u64> = (0..100)
        .map(|seed| CallSchedule::new(100, INFORMED_AFTER, seed).first_delay().as_millis() as u64 / 20)
        .collect();
    assert!(first_delays.len() > 40, "{} of 100 slots of 20 ms", first_delays.len());
}

/// For any permitted settings the delay, a rejection and the retry fit into the 6 s after which a proxy counts as
/// informed.
#[test]
fn delay_and_retry_fit_into_the_informed_time() {
    for (proxies, within) in [(1, 1), (30, 10), (100, 10), (350, 10), (1_000, 60), (10_000, 600)] {
        let mut schedule = CallSchedule::new(proxies, Duration::from_secs(within), u64::from(proxies));
        let first = schedule.first_delay();
        let mut longest = Duration::ZERO;
        for _ in 0..60 {
            let retry_delay = schedule.delay_after_failure();
            longest = longest.max(schedule.delay_after_answer() + retry_delay);
        }
        assert!(longest < Duration::from_millis(5_500), "{proxies} proxies: {longest:?}");
        assert!(first <= Duration::from_secs(3), "{proxies} proxies: first after {first:?}");
    }
}

/// Simulates one service that needs `total_s` seconds to answer one call of each proxy, rejects calls that would wait
/// for over 2 s, which costs it some time too, and keeps a call pending until the list changes. Returns how many
/// changes in a thousand reached a proxy only after 5.9 s or never.
fn permille_late(proxies: usize, total_s: f64, seed: u64) -> usize {
    const CHANGES: [f64; 8] = [1.8, 3.7, 4.6, 11.0, 12.0, 14.7, 20.0, 26.0];
    const END: f64 = 34.0;
    let call_time_s = total_s / proxies as f64;
    let mut schedules: Vec<CallSchedule> =
        (0..proxies).map(|i| CallSchedule::new(proxies as u32, INFORMED_AFTER, seed + i as u64)).collect();
    // Each proxy's next call, its version, and whether its call is pending.
    let mut next: Vec<f64> = schedules.iter_mut().map(|p| p.first_delay().as_secs_f64()).collect();
    let (mut versions, mut open) = (vec![0; proxies], vec![false; proxies]);
    let (mut free, mut version, mut late) = (0.0f64, 0, 0);
    for step in 0..(END * 1_000.0) as usize {
        let now = step as f64 / 1_000.0;
        if CHANGES.get(version).is_some_and(|at| now >= *at) {
            version += 1;
            for i in 0..proxies {
                if std::mem::take(&mut open[i]) {
                    free = free.max(now) + call_time_s / 20.0;
                    (versions[i], next[i]) =
                        (version, free + schedules[i].delay_after_answer().as_secs_f64());
                }
            }
        }
        for i in 0..proxies {
            if now < next[i] {
                continue;
            }
            if free.max(now) - now > 2.0 {
                free = free.max(now) + call_time_s / 25.0;
                next[i] = now + schedules[i].delay_after_failure().as_secs_f64();
                continue;
            }
            free = free.max(now) + call_time_s;
            // The answer has the version at the time at which the service processes the call.
            let then = CHANGES.iter().filter(|at| **at <= free).count();
            if then > versions[i] {
                let missed = CHANGES[versions[i]..then].iter().filter(|at| free - **at > 5.9).count();
                (versions[i], next[i], late) =
                    (then, free + schedules[i].delay_after_answer().as_secs_f64(), late + missed);
            } else {
                (open[i], next[i]) = (true, f64::MAX);
            }
        }
    }
    let never: usize = versions.iter().map(|h| CHANGES.len() - h).sum();
    (late + never) * 1_000 / (proxies * CHANGES.len())
}

/// Few changes reach a proxy late, for any number of proxies with delays, even if the service needs 4 s for a call of
/// each.
#[test]
fn no_proxy_is_rejected_repeatedly() {
    let late = |n, total_s| (0..4).map(|seed| permille_late(n, total_s, 1_000 * seed)).sum::<usize>() / 4;
    let figures: Vec<(usize, usize)> = [32, 100, 350].map(|n| (late(n, 3.0), late(n, 4.0))).into();
    assert!(
        figures.iter().all(|f| f.0 <= 5 && f.1 <= 40),
        "late changes in a thousand, at 3 s and at 4 s: {figures:?}"
    );
}
