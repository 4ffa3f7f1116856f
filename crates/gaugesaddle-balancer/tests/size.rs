//! The size of the policy files is bounded, so that operators can review them in an hour.

/// Maximum non-blank lines of all policy files together.
const MAX_LINES: usize = 1200;

/// Path and text of each file that `deploy/balancer.toml` names under `policy`.
fn policy_files() -> Vec<(String, String)> {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let line =
        deploy.lines().find(|l| l.starts_with("policy")).expect("deploy/balancer.toml has the key policy");
    let names = line.split('"').skip(1).step_by(2).filter(|n| n.ends_with(".rs"));
    names.map(|n| (n.to_string(), std::fs::read_to_string(root.join(n)).unwrap())).collect()
}

#[test]
fn policy_files_stay_reviewable() {
    let files = policy_files();
    assert!(files.iter().any(|f| f.0.ends_with("logic.rs")), "logic.rs is not among the policy files");
    let lines: usize = files.iter().map(|f| f.1.lines().filter(|l| !l.trim().is_empty()).count()).sum();
    assert!((100..=MAX_LINES).contains(&lines), "{lines} non-blank lines, expected 100 to {MAX_LINES}");
    for (name, text) in &files {
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}: line {} is wider than 110 characters", number + 1);
        }
    }
    let main = files.iter().find(|f| f.0.ends_with("logic.rs")).unwrap();
    assert!(
        main.1.lines().take(3).any(|l| l.contains("src/interface.rs")),
        "the first three lines of logic.rs do not name src/interface.rs"
    );
}
