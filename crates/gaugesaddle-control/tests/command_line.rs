//! Guards against an operator's command that reports success although it failed, or fails without stating the reason.

use gaugesaddle_testbed::fleet::{document, Fleet};
use gaugesaddle_testbed::scripted::until;
use serde_json::{json, Value};
use std::path::PathBuf;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gaugesaddle-control"))
        .args(arguments)
        .env_remove("GAUGESADDLE_BOOT")
        .output()
        .expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(fleet: &Fleet, name: &str, document: &Value) -> String {
    let path: PathBuf = fleet.folder().join(name);
    std::fs::write(&path, document.to_string()).expect("file is written");
    path.display().to_string()
}

#[test]
fn check_put_and_get_agree_on_a_configuration() {
    let fleet = Fleet::start(3, 0).expect("fleet starts");
    // Nothing listens at the first address: the next one is called.
    let at = format!("127.0.0.1:9,{},{}", fleet.control(0), fleet.control(2));
    let good = file(&fleet, "good.json", &document(4));
    assert!(run(&["check", &good]).status.success());
    let put = run(&["put", &good, "--at", &at, "--for", "20"]);
    assert_eq!(text(&put.stdout), "revision 4 is acknowledged\n", "{}", text(&put.stderr));
    let got = run(&["get", "--at", &at]);
    assert_eq!(text(&got.stdout).trim_end(), document(4).to_string());
    let newer = file(&fleet, "newer.json", &document(5));
    let stale = run(&["put", &newer, "--at", &at, "--base", "3"]);
    assert!(!stale.status.success());
    assert!(text(&stale.stderr).contains("not based on the current revision"), "{}", text(&stale.stderr));
    assert!(
        run(&["put", &newer, "--at", &at]).status.success(),
        "put is based on the current revision by default"
    );
}

#[test]
fn invalid_configuration_prints_all_findings_and_is_not_put() {
    let fleet = Fleet::start(1, 0).expect("fleet starts");
    let mut document = document(4);
    document["routes"][0]["timeoutMs"] = 0.into();
    document["routes"][2]["service"] = "missing".into();
    let bad = file(&fleet, "bad.json", &document);
    let at = fleet.control(0).to_string();
    for output in [run(&["check", &bad]), run(&["put", &bad, "--at", &at, "--base", "0", "--for", "20"])] {
        let message = text(&output.stderr);
        assert!(!output.status.success());
        assert!(
            message.contains("routes[0] (plain).timeoutMs") && message.contains("routes[2] (stream)"),
            "{message}"
        );
    }
    assert!(text(&run(&["get", "--at", &at]).stderr).contains("no configuration yet"));
}

#[test]
fn dry_run_prints_what_a_patch_then_commits() {
    let fleet = Fleet::start(3, 0).expect("fleet starts");
    let at = format!("{},{}", fleet.control(0), fleet.control(1));
    let good = file(&fleet, "good.json", &document(4));
    assert!(run(&["put", &good, "--at", &at, "--for", "20"]).status.success());
    let mut full = document(6);
    full["routes"].as_array_mut().expect("routes").remove(3);
    full["tenants"].as_array_mut().expect("tenants").push(json!({"name": "new", "apiKeys": ["k-new"]}));
    let patch = json!({"revision": 6, "upsert": {"tenants": [{"name": "new", "apiKeys": ["k-new"]}]},
        "remove": {"routes": ["single"]}});
    let patch = file(&fleet, "patch.json", &patch);
    let dry_run = run(&["patch", &patch, "--at", &at, "--dry-run"]);
    let parse = |output: &Output| serde_json::from_slice::<Value>(&output.stdout).unwrap_or_default();
    assert_eq!(parse(&dry_run), full, "{}", text(&dry_run.stderr));
    assert_eq!(parse(&run(&["get", "--at", &at])), document(4), "a dry run changed the configuration");
    let stale = run(&["patch", &patch, "--at", &at, "--dry-run", "--base", "3"]);
    assert!(text(&stale.stderr).contains("not based on the current revision"), "{}", text(&stale.stderr));
    let submitted = run(&["patch", &patch, "--at", &at]);
    assert_eq!(text(&submitted.stdout), "revision 6 is acknowledged\n", "{}", text(&submitted.stderr));
    assert_eq!(parse(&run(&["get", "--at", &at])), full);
    let bad = file(&fleet, "bad.json", &json!({"revision": 7, "remove": {"routes": ["missing"]}}));
    for arguments in [vec!["patch", &bad, "--at", &at, "--dry-run"], vec!["patch", &bad, "--at", &at]] {
        let output = run(&arguments);
        let message = text(&output.stderr);
        assert!(!output.status.success() && message.contains("remove.routes[0] (missing)"), "{message}");
    }
}

#[test]
fn status_reports_one_leader_and_all_voters() {
    let fleet = Fleet::start(3, 0).expect("fleet starts");
    let status = |at: usize| -> Value {
        let output = run(&["status", "--json", "--at", &fleet.internal(at).to_string()]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    };
    until("all processes know the same leader", || {
        let leaders: Vec<Value> = (0..3).map(|at| status(at)["leader"].clone()).collect();
        leaders[0].is_string() && leaders.iter().all(|l| *l == leaders[0])
    });
    let report = status(1);
    assert_eq!(report["voters"].as_array().map(Vec::len), Some(3));
    assert_eq!((report["disk"].as_bool(), report["revision"].as_u64()), (Some(true), Some(0)));
    let roles: Vec<Value> = (0..3).map(|at| status(at)["role"].clone()).collect();
    assert_eq!(roles.iter().filter(|r| *r == "leader").count(), 1, "{roles:?}");
}

#[test]
fn invalid_boot_file_prints_all_findings() {
    let folder = std::env::temp_dir().join(format!("gaugesaddle-boot-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("directory is created");
    let boot = folder.join("boot.conf");
    std::fs::write(&boot, "nodeName=a\nip=nowhere\nephemeralPorts=9,8\n").expect("file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_gaugesaddle-control"))
        .arg("serve")
        .env("GAUGESADDLE_BOOT", &boot)
        .output()
        .expect("the program runs");
    std::fs::remove_dir_all(&folder).expect("directory is removed");
    let message = text(&output.stderr);
    assert!(!output.status.success());
    for part in ["line 2, ip", "zone: expected a name", "line 3, ephemeralPorts"] {
        assert!(message.contains(part), "expected {part:?} in {message}");
    }
}
