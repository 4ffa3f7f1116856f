//! Failures guarded against: a non-idempotent request is sent again after a reset or without a response, or a rejection
//! guarantees that a request was not executed although it may have been.

use super::*;

const ALL: [AttemptFailure; 4] = [
    AttemptFailure::NeverSent,
    AttemptFailure::NotExecuted,
    AttemptFailure::MayHaveRun,
    AttemptFailure::TimedOut,
];
/// More attempts than any request makes: each attempt counts towards one of two limits.
const MAX_STEPS: u32 = 9;

/// Calls `visit` with each possible sequence of failures of a request and its final rejection.
fn visit_every_path(
    state: RetryState, path: &mut Vec<AttemptFailure>, visit: &mut impl FnMut(&[AttemptFailure], Rejection),
) {
    assert!(path.len() < MAX_STEPS as usize, "{path:?} does not end within {MAX_STEPS} attempts");
    for failure in ALL {
        let mut next = state;
        path.push(failure);
        match next.record_failure(failure) {
            Ok(()) => visit_every_path(next, path, visit),
            Err(rejection) => visit(path, rejection),
        }
        path.pop();
    }
}

fn guarantees_not_executed(rejection: Rejection) -> bool {
    [429, 503, 408, 421].contains(&rejection.status().as_u16())
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    let mut paths = 0;
    for max_attempts in 1..=4 {
        for idempotent in [false, true] {
            visit_every_path(
                RetryState::with_limits(idempotent, max_attempts),
                &mut Vec::new(),
                &mut |path, rejection| {
                    paths += 1;
                    let ran = |failure: &&AttemptFailure| {
                        matches!(failure, AttemptFailure::MayHaveRun | AttemptFailure::TimedOut)
                    };
                    let runs = path.iter().filter(ran).count();
                    assert!(
                        idempotent || runs <= 1,
                        "{path:?}: {runs} possible executions of a non-idempotent request"
                    );
                    assert!(
                        idempotent
                            || runs == 0
                            || ran(&path.last().expect("the path has at least one attempt")),
                        "{path:?} continues after an attempt that may have been executed"
                    );
                    assert_eq!(
                        guarantees_not_executed(rejection),
                        runs == 0,
                        "{path:?} ends with {rejection:?}"
                    );
                    let sent =
                        path.iter().filter(|failure| **failure != AttemptFailure::NeverSent).count() as u32;
                    assert!(
                        sent <= max_attempts,
                        "{path:?}: {sent} attempts were sent, the limit is {max_attempts}"
                    );
                },
            );
        }
    }
    assert!(paths > 500, "only {paths} paths were visited");
}

#[test]
fn a_broken_stream_is_resumed_only_if_idempotent_and_attempts_remain() {
    for (idempotent, max_attempts, resumes) in [(true, 2, true), (true, 1, false), (false, 2, false)] {
        let mut state = RetryState::with_limits(idempotent, max_attempts);
        state.record_response();
        assert!(state.is_retry());
        assert_eq!(state.record_broken_stream(), resumes);
        assert!(
            !guarantees_not_executed(state.no_backend()) && !guarantees_not_executed(state.deadline_passed())
        );
    }
}
