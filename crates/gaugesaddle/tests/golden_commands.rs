//! Guards against a renamed field or option, which breaks the scripts that operators run on commands and the state.

use gaugesaddle::registry::Snapshot;
use gaugesaddle_testbed::program;
use std::process::Command;

/// A state with every field, each with a distinct value.
const STATE: &str = include_str!("data/state.json");

#[test]
fn the_state_keeps_its_fields_and_their_order() {
    let snapshot: Snapshot = serde_json::from_str(STATE).expect("the recorded state is deserialized");
    assert_eq!(serde_json::to_string_pretty(&snapshot).expect("the state is serialized") + "\n", STATE);
}

fn run(arguments: &[&str]) -> std::process::Output {
    Command::new(program::path("gaugesaddle"))
        .args(arguments)
        .env_remove("GAUGESADDLE_CONFIG")
        .env_remove("GAUGESADDLE_BOOT")
        .env_remove("BALANCER_CONFIG")
        .output()
        .expect("the program runs")
}

#[test]
fn options_and_value_names_match_the_golden_file() {
    let mut lines = Vec::new();
    for command in ["", "check", "edge", "state"] {
        let arguments: Vec<&str> = [command, "--help"].into_iter().filter(|a| !a.is_empty()).collect();
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(0), "{command}");
        lines.push(format!("{command}: {}", program::interface(&String::from_utf8_lossy(&output.stdout))));
    }
    assert_eq!(lines.join("\n") + "\n", include_str!("data/commands.txt"));
}

#[test]
fn state_section_names_are_stable() {
    let help = String::from_utf8(run(&["state", "--help"]).stdout).expect("the help is UTF-8");
    let names = help.lines().filter_map(|line| line.trim().strip_prefix("- "));
    let names: Vec<&str> = names.filter_map(|line| line.split(':').next()).collect();
    assert_eq!(names, ["regions", "peers", "shares", "zones"]);
}

#[test]
fn exit_codes_are_stable() {
    let cases: [(&[&str], i32); 6] = [
        (&[], 1),
        (&["check", "/nowhere/at/all"], 1),
        (&["edge"], 1),
        (&["state"], 1),
        (&["state", "--socket", "/nowhere/at/all"], 1),
        (&["unknown"], 2),
    ];
    let codes = cases.map(|(arguments, _)| run(arguments).status.code());
    assert_eq!(codes, cases.map(|(_, code)| Some(code)));
}
