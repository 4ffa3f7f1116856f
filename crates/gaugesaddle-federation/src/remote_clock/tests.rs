//! Guards against a gateway that passes a request on after the client was answered, and against a healthy link for which
//! no deadline can be computed.

use super::*;
use proptest::prelude::*;

const SECOND: u64 = 1_000_000;

fn remote(us: u64) -> RemoteTime {
    RemoteTime(Micros(us))
}

fn sample(sent_at: u64, received_at: u64, reading: u64) -> ClockSample {
    ClockSample { sent_at: Time(sent_at), received_at: Time(received_at), reading: remote(reading) }
}

#[test]
fn no_deadline_is_computed_without_a_recent_reading() {
    let mut clock = RemoteClock::default();
    assert_eq!(clock.deadline(Time(5), Time(10)), None);
    clock.record(sample(100, 200, 50));
    assert!(clock.is_current(Time(200)));
    assert!(!clock.is_current(Time(200) + MAX_READING_AGE));
    assert_eq!(clock.deadline(Time(200) + MAX_READING_AGE, Time(60 * SECOND)), None);
}

#[test]
fn the_recent_reading_with_the_shortest_delay_determines_the_offset() {
    let mut clock = RemoteClock::default();
    // The remote clock is 1 s ahead; the answer takes 40 ms, then 2 ms, then 500 ms.
    clock.record(sample(0, 80_000, SECOND + 40_000));
    assert_eq!(clock.deadline(Time(80_000), Time(80_000)), Some(remote(SECOND + 40_000)));
    clock.record(sample(100_000, 104_000, SECOND + 102_000));
    assert_eq!(clock.deadline(Time(104_000), Time(104_000)), Some(remote(SECOND + 102_000)));
    clock.record(sample(110_000, 612_000, SECOND + 112_000));
    let deadline = clock.deadline(Time(612_000), Time(612_000)).unwrap();
    assert_eq!(
        deadline,
        remote(SECOND + 612_000 - 2_000 - 508),
        "reduced by the maximum drift within 508 ms"
    );
}

#[test]
fn a_reading_after_the_remote_clock_was_stopped_replaces_earlier_ones() {
    let mut clock = RemoteClock::default();
    clock.record(sample(0, 2_000, 1_000));
    // The machine was suspended for 3 s: no network delay accounts for a reading this low.
    clock.record(sample(4 * SECOND, 4 * SECOND + 2_000, SECOND + 1_000));
    let now = Time(4 * SECOND + 2_000);
    assert_eq!(clock.deadline(now, now), Some(remote(SECOND + 1_000)));
}

#[test]
fn a_gateway_applies_the_earlier_of_the_reported_and_the_absolute_deadline() {
    let reported = Micros(200_000);
    assert_eq!(remaining_at_gateway(remote(500), reported, Some(remote(900_000))), Ok(reported));
    assert_eq!(remaining_at_gateway(remote(500), reported, Some(remote(10_500))), Ok(Micros(10_000)));
    assert_eq!(remaining_at_gateway(remote(500), reported, Some(remote(500))), Err(DeadlineError::Passed));
    assert_eq!(remaining_at_gateway(remote(500), reported, Some(remote(0))), Err(DeadlineError::Passed));
    assert_eq!(remaining_at_gateway(remote(500), reported, None), Err(DeadlineError::Missing));
}

#[test]
fn remote_time_parses_only_whole_microseconds() {
    assert_eq!(RemoteTime::parse(b"0"), Some(remote(0)));
    assert_eq!(RemoteTime::parse(b"18446744073709551615"), Some(remote(u64::MAX)));
    for text in ["", "-1", "+1", " 1", "1 ", "1.5", "18446744073709551616", "soon", "\u{661}"] {
        assert_eq!(RemoteTime::parse(text.as_bytes()), None, "{text:?}");
    }
    assert_eq!(RemoteTime::parse(b"\xff"), None);
}

/// The time by a remote clock at the local time `local`; the remote clock drifts by `drift_per_million` parts per million.
fn remote_at(local: u64, offset: u64, drift_per_million: i64) -> u64 {
    let drift = i128::from(local) * i128::from(drift_per_million) / 1_000_000;
    u64::try_from(i128::from(local + offset) + drift).expect("the remote time must not be negative")
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// For any delays and drift, the remote clock reaches the remote deadline no later than the local clock reaches the
    /// local one.
    #[test]
    fn the_remote_deadline_is_never_after_the_local_one(
        offset in 0..100 * SECOND,
        drift in -1_000..=1_000_i64,
        exchanges in prop::collection::vec((0..3 * SECOND, 0..2 * SECOND, 0..2 * SECOND), 1..20),
        ahead in 0..30 * SECOND,
    ) {
        let mut clock = RemoteClock::default();
        let mut now = SECOND;
        for (pause, out, back) in exchanges {
            let sent_at = now + pause;
            let read_at = sent_at + out;
            now = read_at + back;
            clock.record(sample(sent_at, now, remote_at(read_at, offset, drift)));
        }
        let local = now + ahead;
        if let Some(deadline) = clock.deadline(Time(now), Time(local)) {
            // The tolerance of one microsecond covers the rounding in `remote_at`.
            prop_assert!(deadline.header_value() <= remote_at(local, offset, drift) + 1);
        }
    }
}
