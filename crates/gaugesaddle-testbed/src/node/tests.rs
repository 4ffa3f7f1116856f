use super::*;

#[test]
fn a_hall_remembers_a_key_for_its_window_from_its_first_sight() {
    let mut memory = Memory::default();
    assert!(memory.first(0, 7, 1000));
    assert!(!memory.first(600, 7, 1000));
    assert!(!memory.first(1000, 7, 1000), "counted from the first");
    assert!(memory.first(1001, 7, 1000), "no longer remembered");
    for key in 0..10_000 {
        memory.first(2000 + key, key, 1000);
    }
    assert!(memory.seen.len() <= 1002 && memory.order.len() <= 1002, "bounded by the window");
}
