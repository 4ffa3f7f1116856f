//! The failure: a call that may not be repeated is sent again after no answer or a reset, or is promised not to have run
//! though it may have.

use super::*;

const ALL: [Failed; 4] = [Failed::NeverSent, Failed::NotExecuted, Failed::MayHaveRun, Failed::TimedOut];
/// Longer than any request lasts: each attempt is counted in one of two bounds.
const STEPS: u32 = 9;

/// Calls `visit` with every way in which a request can go, to its end.
fn every_way(attempts: Attempts, way: &mut Vec<Failed>, visit: &mut impl FnMut(&[Failed], Refusal)) {
    assert!(way.len() < STEPS as usize, "{way:?} goes on for ever");
    for how in ALL {
        let mut next = attempts;
        way.push(how);
        match next.failed(how) {
            Ok(()) => every_way(next, way, visit),
            Err(refusal) => visit(way, refusal),
        }
        way.pop();
    }
}

fn promises(refusal: Refusal) -> bool {
    [429, 503, 408, 421].contains(&refusal.status().as_u16())
}

#[test]
fn what_may_have_run_is_never_sent_again_unless_it_may_run_twice() {
    let mut ways = 0;
    for most in 1..=4 {
        for repeatable in [false, true] {
            every_way(Attempts::of(repeatable, most), &mut Vec::new(), &mut |way, refusal| {
                ways += 1;
                let ran = |how: &&Failed| matches!(how, Failed::MayHaveRun | Failed::TimedOut);
                let runs = way.iter().filter(ran).count();
                assert!(repeatable || runs <= 1, "{way:?}");
                assert!(repeatable || runs == 0 || ran(&way.last().expect("a step")), "{way:?} goes on");
                assert_eq!(promises(refusal), runs == 0, "{way:?} ends with {refusal:?}");
                let sent = way.iter().filter(|how| **how != Failed::NeverSent).count() as u32;
                assert!(sent <= most, "{way:?} goes to {sent} backends of {most}");
            });
        }
    }
    assert!(ways > 500, "{ways}");
}

#[test]
fn a_stream_that_broke_off_goes_on_only_where_it_may_run_twice() {
    for (repeatable, most, goes_on) in [(true, 2, true), (true, 1, false), (false, 2, false)] {
        let mut attempts = Attempts::of(repeatable, most);
        attempts.answered();
        assert!(attempts.is_repeat());
        assert_eq!(attempts.broke_off(), goes_on);
        assert!(!promises(attempts.refusal()) && !promises(attempts.out_of_time()));
    }
}
