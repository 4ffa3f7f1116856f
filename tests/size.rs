//! The operators review the decision module in an hour: its size is bounded.

#[test]
fn the_decision_module_stays_reviewable() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/logic.rs")).unwrap();
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!((100..=550).contains(&lines), "{lines} lines");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", number + 1);
    }
    assert!(text.lines().take(3).any(|l| l.contains("src/interface.rs")), "the interface is named first");
}
