use super::*;

/// The failure: a log whose remaining sends nobody looked up grew for as long as the process ran.
#[test]
fn a_window_that_is_only_recorded_stays_bounded() {
    let mut window = SlidingWindow::new(SECOND, u32::MAX);
    for ms in 0..10_000u64 {
        window.record(Time(ms * 1000));
    }
    assert_eq!(window.sent_at.len(), 1000);
    assert_eq!(window.used(Time(9_999_000)), 1000);
}
