use super::*;

#[test]
fn each_counter_is_accepted_once_in_any_order() {
    let mut window = ReplayWindow::default();
    assert!([5, 3, 4, 9, 1].into_iter().all(|n| window.accept(n)));
    assert!(![5, 3, 4, 9, 1].into_iter().any(|n| window.accept(n)));
    assert!(window.accept(9 + WINDOW_SIZE - 1));
    assert!(window.accept(10) && !window.accept(9), "9 was received, and is behind the window now");
    assert!(window.accept(10_000) && !window.accept(10_000 - WINDOW_SIZE));
    assert!(window.accept(u64::MAX) && !window.accept(u64::MAX));
}
