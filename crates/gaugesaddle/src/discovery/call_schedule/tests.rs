//! Gaps of many proxies together: the service is used no less, and nobody is left without an answer.

use super::*;

const WITHIN: Duration = Duration::from_secs(10);

#[test]
fn few_proxies_leave_no_gap_whatever_fails() {
    let mut few = CallSchedule::new(3, WITHIN, 7);
    assert_eq!([few.first(), few.answered(), few.failed(), few.failed()], [Duration::ZERO; 4]);
}

#[test]
fn the_gap_is_that_of_those_that_live_once_they_are_known() {
    let living = Rc::new(Cell::new(0));
    let mut one = CallSchedule::new(100, WITHIN, 3).among(living.clone());
    let range = |pacing: &mut CallSchedule| {
        let all: Vec<Duration> = (0..40).map(|_| pacing.answered()).collect();
        (all.iter().min().copied().unwrap(), all.iter().max().copied().unwrap())
    };
    let ms = Duration::from_millis;
    let (least, most) = range(&mut one);
    assert!(least >= ms(500) && most <= ms(1500) && most > ms(1000), "as told: {least:?} to {most:?}");
    living.set(33);
    (0..9).for_each(|_| _ = one.answered());
    let (least, most) = range(&mut one);
    assert!(least >= ms(165) && most <= ms(495) && most > ms(330), "a third: {least:?} to {most:?}");
    living.set(3);
    (0..40).for_each(|_| _ = one.answered());
    assert!(one.answered() < ms(1), "few leave no gap");
    living.set(200);
    assert!(one.answered() >= ms(1000), "at once where there are more");
}

/// A service that answers 30 calls a second in turn, a quarter of a second behind at most; each list that changes
/// is asked for by all. What is turned away costs it nothing, and yet is what the others wait behind.
fn calls(paced: bool) -> (usize, usize) {
    const PROXIES: usize = 100;
    let mut pacing: Vec<CallSchedule> = (0..PROXIES)
        .map(|i| CallSchedule::new(if paced { PROXIES as u32 } else { 1 }, WITHIN, i as u64))
        .collect();
    let mut next: Vec<f64> = pacing.iter_mut().map(|p| p.first().as_secs_f64()).collect();
    let (mut free, mut failed, mut answered) = (0.0f64, 0, 0);
    for step in 0..2_000 {
        let now = f64::from(step) / 100.0;
        for (at, pace) in next.iter_mut().zip(&mut pacing) {
            if *at > now {
                continue;
            }
            *at = if free.max(now) - now > 0.25 {
                failed += 1;
                now + pace.failed().as_secs_f64().max(0.5)
            } else {
                answered += 1;
                free = free.max(now) + 1.0 / 30.0;
                free + pace.answered().as_secs_f64().max(0.77)
            };
        }
    }
    (failed, answered)
}

#[test]
fn many_proxies_are_turned_away_seldom_and_use_the_service_no_less() {
    let ((all, few), (none, some)) = (calls(false), calls(true));
    assert!(all > 2_000, "{all} of {} calls failed without gaps", all + few);
    assert!(none * 4 < all, "{none} of {} calls failed with gaps, {all} without", none + some);
    assert!(some * 10 > few * 8, "{some} answered with gaps, {few} without");
}

#[test]
fn gaps_grow_to_their_bound_come_back_and_are_not_in_step() {
    let mut one = CallSchedule::new(100, WITHIN, 1);
    let tries: Vec<Duration> = (0..9).map(|_| one.failed()).collect();
    let range = (Duration::from_millis(500), Duration::from_millis(1500));
    assert!(
        tries.iter().all(|t| (range.0..=range.1).contains(t)),
        "one that failed comes again soon: {tries:?}"
    );
    let longest = MAX_GAP.mul_f64(ANSWERED_FACTOR);
    let gap = one.answered();
    assert!(gap <= longest.mul_f64(1.0 + SPREAD) && gap >= longest.mul_f64(1.0 - SPREAD), "{gap:?}");
    (0..19).for_each(|_| {
        one.answered();
    });
    assert!(one.answered() <= Duration::from_millis(1200));
    let firsts: std::collections::BTreeSet<u64> =
        (0..100).map(|seed| CallSchedule::new(100, WITHIN, seed).first().as_millis() as u64 / 20).collect();
    assert!(firsts.len() > 40, "{} of 100 slots of 20 ms", firsts.len());
}

/// Whatever the settings allow between two calls, the gap, a refusal and the next try fit into the 6 s.
#[test]
fn a_gap_a_refusal_and_another_try_fit_into_the_time_to_be_told() {
    for (proxies, within) in [(1, 1), (30, 10), (100, 10), (350, 10), (1_000, 60), (10_000, 600)] {
        let mut one = CallSchedule::new(proxies, Duration::from_secs(within), u64::from(proxies));
        let first = one.first();
        let mut most = Duration::ZERO;
        for _ in 0..60 {
            let again = one.failed();
            most = most.max(one.answered() + again);
        }
        assert!(most < Duration::from_millis(5_500), "{proxies} proxies: {most:?}");
        assert!(first <= Duration::from_secs(3), "{proxies} proxies: first after {first:?}");
    }
}

/// One service that works through a call of each proxy in `all`, turns calls away that would wait for over 2 s, which
/// costs it some of its time too, and holds a watch open until the list changes. Returns how many of all changes a proxy
/// knew only after 5.9 s, in a thousand.
fn known_late(proxies: usize, all: f64, seed: u64) -> usize {
    const CHANGES: [f64; 8] = [1.8, 3.7, 4.6, 11.0, 12.0, 14.7, 20.0, 26.0];
    const END: f64 = 34.0;
    let one = all / proxies as f64;
    let mut pacing: Vec<CallSchedule> =
        (0..proxies).map(|i| CallSchedule::new(proxies as u32, WITHIN, seed + i as u64)).collect();
    // Each proxy's next call, the version that it holds, and whether its watch is open.
    let mut next: Vec<f64> = pacing.iter_mut().map(|p| p.first().as_secs_f64()).collect();
    let (mut held, mut open) = (vec![0; proxies], vec![false; proxies]);
    let (mut free, mut version, mut late) = (0.0f64, 0, 0);
    for step in 0..(END * 1_000.0) as usize {
        let now = step as f64 / 1_000.0;
        if CHANGES.get(version).is_some_and(|at| now >= *at) {
            version += 1;
            for i in 0..proxies {
                if std::mem::take(&mut open[i]) {
                    free = free.max(now) + one / 20.0;
                    (held[i], next[i]) = (version, free + pacing[i].answered().as_secs_f64());
                }
            }
        }
        for i in 0..proxies {
            if now < next[i] {
                continue;
            }
            if free.max(now) - now > 2.0 {
                free = free.max(now) + one / 25.0;
                next[i] = now + pacing[i].failed().as_secs_f64();
                continue;
            }
            free = free.max(now) + one;
            // What it is told stands when its turn has come.
            let then = CHANGES.iter().filter(|at| **at <= free).count();
            if then > held[i] {
                let missed = CHANGES[held[i]..then].iter().filter(|at| free - **at > 5.9).count();
                (held[i], next[i], late) = (then, free + pacing[i].answered().as_secs_f64(), late + missed);
            } else {
                (open[i], next[i]) = (true, f64::MAX);
            }
        }
    }
    let never: usize = held.iter().map(|h| CHANGES.len() - h).sum();
    (late + never) * 1_000 / (proxies * CHANGES.len())
}

/// Where a call of each takes the service 4 s, few changes are known late, for any number of proxies that leave gaps.
#[test]
fn nobody_is_turned_away_again_and_again() {
    let late = |proxies, all| (0..4).map(|seed| known_late(proxies, all, 1_000 * seed)).sum::<usize>() / 4;
    let figures: Vec<(usize, usize)> = [32, 100, 350].map(|n| (late(n, 3.0), late(n, 4.0))).into();
    assert!(figures.iter().all(|f| f.0 <= 5 && f.1 <= 40), "in a thousand, at 3 s and at 4 s: {figures:?}");
}
