use super::*;
use gaugesaddle_balancer::Micros;

/// Compares every cell of the table in docs/design/region.md.
#[test]
fn client_answers_match_the_documented_table() {
    let keyed = |scope| Effect::Keyed(scope, Micros(1_200_000));
    let rows = [
        (Effect::Free, ClientAnswer::Rejected, ClientAnswer::Rejected),
        (keyed(KeyScope::All), ClientAnswer::Rejected, ClientAnswer::Failed),
        (keyed(KeyScope::Zone), ClientAnswer::Rejected, ClientAnswer::Failed),
        (keyed(KeyScope::Cell), ClientAnswer::Rejected, ClientAnswer::Failed),
        (Effect::Unsafe, ClientAnswer::Rejected, ClientAnswer::Failed),
    ];
    for (effect, not_executed, indeterminate) in rows {
        let answer = |outcome: RemoteOutcome| client_answer(effect, outcome.attempt_outcome());
        assert_eq!(answer(RemoteOutcome::NotExecuted), not_executed, "{effect:?}");
        assert_eq!(answer(RemoteOutcome::Indeterminate), indeterminate, "{effect:?}");
        let timed_out = client_answer(effect, Outcome::TimedOut);
        assert_eq!(timed_out, indeterminate, "{effect:?}: no answer in time");
        let is_known_everywhere = effect == keyed(KeyScope::All);
        let rejection =
            if is_known_everywhere { RemoteOutcome::Indeterminate } else { RemoteOutcome::NotExecuted };
        assert_eq!(outcome_of_rejection(effect), rejection);
    }
}

#[test]
fn unknown_header_values_are_indeterminate() {
    for outcome in [RemoteOutcome::Executed, RemoteOutcome::NotExecuted, RemoteOutcome::Indeterminate] {
        assert_eq!(RemoteOutcome::from_header(Some(outcome.header_value().as_bytes())), outcome);
    }
    for value in [None, Some(&b""[..]), Some(b"NOT-RUN"), Some(b"not-run, ran"), Some(b"\xff")] {
        assert_eq!(RemoteOutcome::from_header(value), RemoteOutcome::Indeterminate, "{value:?}");
    }
    let of = |started| RemoteOutcome::of_connection_failure(Transmission::started_if(started));
    assert_eq!((of(false), of(true)), (RemoteOutcome::NotExecuted, RemoteOutcome::Indeterminate));
}
