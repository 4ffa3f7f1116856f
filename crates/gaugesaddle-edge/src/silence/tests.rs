//! Checks when a silent stream is requested from another backend.

use super::*;

const MAX_PAUSE: Duration = Duration::from_secs(3);

/// The time until the takeover of a stream whose backend sent other data this long after the stream fell silent.
fn takeover_after(other_data_after_ms: Option<u64>) -> Duration {
    let silent_since = Instant::now();
    let last_sent = other_data_after_ms.map(|ms| silent_since + Duration::from_millis(ms));
    takeover_time(silent_since, last_sent, MAX_PAUSE) - silent_since
}

#[test]
fn a_backend_that_sends_nothing_is_waited_for_until_the_silence_timeout() {
    assert_eq!(takeover_after(None), SILENCE_TIMEOUT);
    assert_eq!(takeover_after(Some(0)), SILENCE_TIMEOUT);
}

/// Guards against streams that are read again elsewhere because their backend has preempted them for a moment.
#[test]
fn a_backend_that_sends_other_responses_may_pause_a_stream_longer() {
    assert_eq!(takeover_after(Some(1000)), Duration::from_millis(2500));
    assert_eq!(takeover_after(Some(2900)), MAX_PAUSE);
}

#[test]
fn data_before_the_silence_does_not_shorten_it() {
    let silent_since = Instant::now() + Duration::from_secs(10);
    let earlier = silent_since - Duration::from_secs(5);
    assert_eq!(takeover_time(silent_since, Some(earlier), MAX_PAUSE), silent_since + SILENCE_TIMEOUT);
}
