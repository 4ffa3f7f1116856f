use super::*;

const S: u64 = 1_000_000;

#[test]
fn a_log_line_is_parsed_into_its_time_and_view() {
    let line = "2026-03-01T00:00:01.500000Z  INFO gaugesaddle::peers: peers: 3 is suspect after alive, boot 00a1b2c3, incarnation 2: no answer";
    let (at, text) = parse_timed_line(line, 1_772_323_200_000_000).expect("a line with a timestamp");
    assert_eq!(at, 1_500_000);
    let view = parse_view(at, &text).expect("a view of another process");
    assert_eq!((view.index, view.state.as_str(), view.boot), (3, "suspect", 0x00a1_b2c3));
    assert_eq!(
        super::log_parser::own_boot("x::peers: peers: this is 2 of 30, boot 0000beef, at 127.0.0.1:1"),
        Some(0xbeef)
    );
    assert!(parse_timed_line("no time", 0).is_none());
    assert!(super::parse_view(0, "x peers: this process slept for 1.0 s").is_none());
    assert_eq!(parse_timed_line("2024-02-29T00:00:00.000000Z x", 0).unwrap().0, 1_709_164_800_000_000);
}

fn up(place: usize, boot: u32) -> (u64, String) {
    (100, format!("peers: this is {place} of 2, boot {boot:08x}, at x"))
}

fn line(at: u64, place: usize, state: &str, boot: u32) -> (u64, String) {
    (at, format!("peers: {place} is {state} after x, boot {boot:08x}, incarnation 0: y"))
}

fn both(more: &[(u64, TierEvent)], first: &[(u64, String)], second: &[(u64, String)]) -> TierVerdict {
    let mut events = vec![(0, TierEvent::Up(0)), (0, TierEvent::Up(1))];
    events.extend(more.iter().cloned());
    let log = |own: (u64, String), rest: &[(u64, String)]| [vec![own], rest.to_vec()].concat();
    audit_tier(2, &events, &[log(up(0, 7), first), log(up(1, 9), second)], 20 * S)
}

#[test]
fn correct_views_within_the_time_limits_are_clean() {
    let (a, b) = ([line(S, 1, "alive", 9)], [line(S, 0, "alive", 7)]);
    let verdict = both(&[], &a, &b);
    assert!(verdict.is_clean(), "{verdict}");
    assert_eq!(verdict.start_known, [S - 100, S - 100]);
    let a = [line(S, 1, "alive", 9), line(7 * S, 1, "dead", 9)];
    let verdict = both(&[(5 * S, TierEvent::Ended(1))], &a, &b);
    assert!(verdict.is_clean(), "{verdict}");
    assert_eq!((verdict.death_known.as_slice(), verdict.false_deaths), (&[2 * S][..], 0));
}

#[test]
fn a_violation_of_each_rule_is_found() {
    let (a, b) = ([line(S, 1, "alive", 9)], [line(S, 0, "alive", 7)]);
    assert_eq!(both(&[], &[], &b).count(TierViolation::NotSeen), 1, "the viewer never saw the process");
    assert_eq!(both(&[(5 * S, TierEvent::Ended(1))], &a, &b).count(TierViolation::NotForgotten), 1);
    let dead = [a[0].clone(), line(8 * S, 1, "dead", 9)];
    let verdict = both(&[], &dead, &b);
    assert_eq!(
        (verdict.count(TierViolation::NotSeen), verdict.false_deaths),
        (1, 1),
        "a permanent false death"
    );
    let corrected = [dead.to_vec(), vec![line(9 * S, 1, "alive", 9)]].concat();
    let verdict = both(&[], &corrected, &b);
    assert_eq!(
        (verdict.is_clean(), verdict.false_deaths),
        (true, 1),
        "a false death that was corrected within the limit"
    );
    let left = [a[0].clone(), line(8 * S, 1, "left", 9)];
    assert_eq!(both(&[], &left, &b).count(TierViolation::NeverDeparted), 1);
    let invented = [a[0].clone(), line(8 * S, 1, "alive", 77)];
    assert_eq!(both(&[], &invented, &b).count(TierViolation::Invented), 1);
    let restarted = [(5 * S, TierEvent::Ended(1)), (6 * S, TierEvent::Up(1))];
    let back = [a[0].clone(), line(7 * S, 1, "alive", 11), line(8 * S, 1, "alive", 9)];
    let own = [b[0].clone(), (6 * S + 5, up(1, 11).1)];
    assert_eq!(both(&restarted, &back, &own).count(TierViolation::WentBack), 1);
    let own = [b[0].clone(), (6 * S + 5, up(1, 9).1)];
    assert_eq!(both(&restarted, &a, &own).count(TierViolation::OldBoot), 1);
}
