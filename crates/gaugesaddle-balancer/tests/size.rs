//! The operators review the decision module in an hour: its size is bounded.

/// Non-blank lines of all policy files together.
const LIMIT: usize = 1200;

/// The files that `deploy/balancer.toml` names under `policy`, with their text.
fn policy() -> Vec<(String, String)> {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let line = deploy.lines().find(|l| l.starts_with("policy")).expect("a key policy");
    let names = line.split('"').skip(1).step_by(2).filter(|n| n.ends_with(".rs"));
    names.map(|n| (n.to_string(), std::fs::read_to_string(root.join(n)).unwrap())).collect()
}

#[test]
fn policy_files_stay_reviewable() {
    let files = policy();
    assert!(files.iter().any(|f| f.0.ends_with("logic.rs")), "the decisions are among them");
    let lines: usize = files.iter().map(|f| f.1.lines().filter(|l| !l.trim().is_empty()).count()).sum();
    assert!((100..=LIMIT).contains(&lines), "{lines} lines");
    for (name, text) in &files {
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}: line {} is too wide", number + 1);
        }
    }
    let main = files.iter().find(|f| f.0.ends_with("logic.rs")).unwrap();
    assert!(main.1.lines().take(3).any(|l| l.contains("src/interface.rs")), "the interface is named first");
}
