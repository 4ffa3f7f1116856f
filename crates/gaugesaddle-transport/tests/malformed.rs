//! Failures guarded against: messages of a peer with another build are rejected without a log line, or flood the log.

use gaugesaddle_protocol::frame::FrameError;
use gaugesaddle_transport::malformed::{MalformedMessages, LOG_INTERVAL_MS, MAX_PEERS};
use gaugesaddle_transport::{LinkError, Operation};

fn malformed() -> LinkError {
    LinkError::Frame(FrameError::Version(2))
}

#[test]
fn the_first_message_of_a_peer_is_logged_and_then_one_a_minute_with_their_number() {
    let mut messages = MalformedMessages::default();
    assert_eq!(messages.record(5, 1, &malformed()), Some(1));
    let logged: Vec<u64> = (6..100).filter_map(|now| messages.record(now, 1, &malformed())).collect();
    assert!(logged.is_empty());
    assert_eq!(messages.record(100, 2, &malformed()), Some(1), "the first message of another peer is logged");
    assert_eq!(messages.record(5 + LOG_INTERVAL_MS, 1, &malformed()), Some(96));
}

#[test]
fn other_errors_are_not_counted() {
    let mut messages = MalformedMessages::default();
    assert_eq!(messages.record(5, 1, &LinkError::TimedOut(Operation::Receive)), None);
    assert_eq!(messages.record(6, 1, &malformed()), Some(1));
}

#[test]
fn peers_beyond_the_limit_are_counted_together() {
    let mut messages = MalformedMessages::default();
    for ip in 1..=MAX_PEERS as u32 {
        assert_eq!(messages.record(5, ip, &malformed()), Some(1));
    }
    assert_eq!(messages.record(6, u32::MAX, &malformed()), Some(1));
    assert_eq!(
        messages.record(7, u32::MAX - 1, &malformed()),
        None,
        "the shared counter was logged less than a log interval ago"
    );
    assert_eq!(messages.record(6 + LOG_INTERVAL_MS, u32::MAX - 2, &malformed()), Some(3));
}
