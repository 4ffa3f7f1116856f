//! Guards against a renamed field or option that breaks the scripts of operators.

use gaugesaddle_control::operator_client::{status_json, status_text};
use gaugesaddle_protocol::StatusReport;
use gaugesaddle_testbed::program;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gaugesaddle-control"))
        .args(arguments)
        .env_remove("GAUGESADDLE_BOOT")
        .output()
        .expect("the program runs")
}

#[test]
fn options_and_value_names_equal_golden_file() {
    let mut lines = Vec::new();
    for command in ["", "serve", "check", "put", "patch", "get", "watch", "status"] {
        let arguments: Vec<&str> = [command, "--help"].into_iter().filter(|a| !a.is_empty()).collect();
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(0), "{command}");
        lines.push(format!("{command}: {}", program::interface(&String::from_utf8_lossy(&output.stdout))));
    }
    assert_eq!(lines.join("\n") + "\n", include_str!("data/commands.txt"));
}

#[test]
fn exit_codes_equal_golden_values() {
    let folder = std::env::temp_dir().join(format!("gaugesaddle-codes-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("directory is created");
    let (good, bad) = (folder.join("good.json"), folder.join("bad.json"));
    std::fs::write(&good, r#"{"revision":1}"#).expect("file is written");
    std::fs::write(&bad, r#"{"revision":"#).expect("file is written");
    let unused_address = "127.0.0.1:9";
    let cases: [(&[&str], i32); 8] = [
        (&["check", good.to_str().unwrap()], 0),
        (&["check", bad.to_str().unwrap()], 1),
        (&["check", "/nonexistent/file"], 1),
        (&["get", "--at", unused_address, "--for", "0"], 1),
        (&["status", "--at", unused_address], 1),
        (&["serve"], 1),
        (&["unknown"], 2),
        (&["put", good.to_str().unwrap()], 2),
    ];
    let codes = cases.map(|(arguments, _)| run(arguments).status.code());
    std::fs::remove_dir_all(&folder).expect("directory is removed");
    assert_eq!(codes, cases.map(|(_, code)| Some(code)));
}

#[test]
fn status_report_equals_golden_files() {
    let report = StatusReport {
        replica: "10.1.0.1#0".to_owned(),
        role: "leader".to_owned(),
        term: 300,
        leader: Some("10.1.0.1".to_owned()),
        voters: vec!["10.1.0.1#0".to_owned(), "10.1.0.2#0".to_owned()],
        index: 9,
        revision: 12,
        fresh: true,
        disk: true,
        peers_alive: 2,
        backends: 18,
        backends_leaving: 3,
        proxies: 6,
    };
    assert_eq!(status_json(&report, None) + "\n", include_str!("data/status.json"));
    assert_eq!(status_text(&report, None) + "\n", include_str!("data/status.txt"));
}
