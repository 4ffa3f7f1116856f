use super::*;
use gaugesaddle_balancer::Micros;

/// The table of docs/design/region.md, cell by cell.
#[test]
fn every_cell_of_the_table_of_last_words() {
    let keyed = |scope| Effect::Keyed(scope, Micros(1_200_000));
    let rows = [
        (Effect::Free, Final::Refuse, Final::Refuse),
        (keyed(KeyScope::All), Final::Refuse, Final::Fail),
        (keyed(KeyScope::Zone), Final::Refuse, Final::Fail),
        (keyed(KeyScope::Cell), Final::Refuse, Final::Fail),
        (Effect::Unsafe, Final::Refuse, Final::Fail),
    ];
    for (effect, not_run, may_have_run) in rows {
        assert_eq!(word(effect, Fate::NotRun.outcome()), not_run, "{effect:?}");
        assert_eq!(word(effect, Fate::MayHaveRun.outcome()), may_have_run, "{effect:?}");
        assert_eq!(word(effect, Outcome::TimedOut), may_have_run, "{effect:?}: no answer in time");
        let all = effect == keyed(KeyScope::All);
        assert_eq!(of_refusal(effect), if all { Fate::MayHaveRun } else { Fate::NotRun });
    }
}

#[test]
fn a_word_that_cannot_be_read_promises_nothing() {
    for fate in [Fate::Ran, Fate::NotRun, Fate::MayHaveRun] {
        assert_eq!(Fate::read(Some(fate.text().as_bytes())), fate);
    }
    for odd in [None, Some(&b""[..]), Some(b"NOT-RUN"), Some(b"not-run, ran"), Some(b"\xff")] {
        assert_eq!(Fate::read(odd), Fate::MayHaveRun, "{odd:?}");
    }
    assert_eq!((Fate::of_lost(false), Fate::of_lost(true)), (Fate::NotRun, Fate::MayHaveRun));
}
