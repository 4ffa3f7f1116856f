use super::*;

#[test]
fn each_counts_once_in_any_order() {
    let mut window = Window::default();
    assert!([5, 3, 4, 9, 1].into_iter().all(|n| window.fresh(n)));
    assert!(![5, 3, 4, 9, 1].into_iter().any(|n| window.fresh(n)));
    assert!(window.fresh(9 + BEHIND - 1));
    assert!(window.fresh(10) && !window.fresh(9), "9 was here, and is too late now");
    assert!(window.fresh(10_000) && !window.fresh(10_000 - BEHIND));
    assert!(window.fresh(u64::MAX) && !window.fresh(u64::MAX));
}
