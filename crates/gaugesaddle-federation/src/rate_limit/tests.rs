use super::*;

/// Guards against unbounded growth of a log whose usage is never read: expired entries used to be dropped only on reads.
#[test]
fn recording_sends_drops_expired_entries() {
    let mut window = SlidingWindow::new(SECOND, u32::MAX);
    for ms in 0..10_000u64 {
        window.record(Time(ms * 1000));
    }
    assert_eq!(window.sent_at.len(), 1000);
    assert_eq!(window.used(Time(9_999_000)), 1000);
}
