//! Failure guarded against: a proxy waits for one silent control process after the other, or calls more processes than
//! needed while one is replying.

use gaugesaddle_distribution::{CallSet, Members, HEDGE_DELAY_MS, MAX_CALLS};

const NOW: u64 = 1_000_000;
const WAIT_MS: u64 = 350;

#[test]
fn next_process_is_called_while_the_silent_ones_are_still_awaited() {
    let mut calls = CallSet::default();
    assert_eq!(calls.next_call_ms(), Some(0), "the first call is due at once");
    calls.begin(NOW, 1, WAIT_MS);
    let first_hedge = NOW + WAIT_MS + HEDGE_DELAY_MS;
    assert_eq!(calls.next_call_ms(), Some(first_hedge));
    calls.begin(first_hedge, 2, 0);
    assert_eq!(calls.next_call_ms(), Some(first_hedge + HEDGE_DELAY_MS));
    assert_eq!(calls.called().collect::<Vec<_>>(), [1, 2]);
}

#[test]
fn no_process_is_called_beside_one_that_is_replying_or_beyond_the_maximum() {
    let mut calls = CallSet::default();
    calls.begin(NOW, 1, 0);
    calls.record_begun(1);
    assert_eq!(calls.next_call_ms(), None);
    calls.end(1);
    for ip in 0..MAX_CALLS as u32 {
        calls.begin(NOW, ip, 0);
    }
    assert_eq!(calls.next_call_ms(), None);
    calls.end(0);
    assert!(calls.next_call_ms().is_some(), "a failed call makes room for another");
}

#[test]
fn only_processes_whose_replies_were_due_count_as_silent() {
    let mut calls = CallSet::default();
    calls.begin(NOW, 1, 0);
    calls.begin(NOW, 2, WAIT_MS);
    calls.begin(NOW, 3, 0);
    calls.record_begun(3);
    assert_eq!(calls.abandon_all(NOW + 10), [1]);
    assert_eq!(calls.called().count(), 0);
}

#[test]
fn process_that_is_called_already_is_not_chosen_again() {
    let members = Members::new(9, NOW, [1, 2, 3].into_iter());
    let mut called = Vec::new();
    while let Some(ip) = members.choose_except(NOW, &called) {
        called.push(ip);
    }
    called.sort_unstable();
    assert_eq!(called, [1, 2, 3]);
}
