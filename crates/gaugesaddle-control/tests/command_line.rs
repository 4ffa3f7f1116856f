//! The failure: an operator's command says that something was done which was not, or does not say what is wrong.

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
    std::fs::write(&path, document.to_string()).expect("it is written");
    path.display().to_string()
}

#[test]
fn a_configuration_is_checked_put_and_read_back() {
    let fleet = Fleet::start(3, 0).expect("it starts");
    // The first address is nobody's: the next one is called.
    let at = format!("127.0.0.1:9,{},{}", fleet.control(0), fleet.control(2));
    let good = file(&fleet, "good.json", &document(4));
    assert!(run(&["check", &good]).status.success());
    let put = run(&["put", &good, "--at", &at, "--for", "20"]);
    assert_eq!(text(&put.stdout), "revision 4 is acknowledged\n", "{}", text(&put.stderr));
    let got = run(&["get", "--at", &at]);
    assert_eq!(text(&got.stdout).trim_end(), document(4).to_string());
    let newer = file(&fleet, "newer.json", &document(5));
    let late = run(&["put", &newer, "--at", &at, "--base", "3"]);
    assert!(!late.status.success());
    assert!(text(&late.stderr).contains("another version is in place"), "{}", text(&late.stderr));
    assert!(run(&["put", &newer, "--at", &at]).status.success(), "on the current one by default");
}

#[test]
fn every_finding_is_printed_and_nothing_is_put() {
    let fleet = Fleet::start(1, 0).expect("it starts");
    let mut document = document(4);
    document["routes"][0]["timeoutMs"] = 0.into();
    document["routes"][2]["service"] = "nowhere".into();
    let bad = file(&fleet, "bad.json", &document);
    let at = fleet.control(0).to_string();
    for output in [run(&["check", &bad]), run(&["put", &bad, "--at", &at, "--base", "0", "--for", "20"])] {
        let said = text(&output.stderr);
        assert!(!output.status.success());
        assert!(
            said.contains("routes[0] (plain).timeoutMs") && said.contains("routes[2] (stream)"),
            "{said}"
        );
    }
    assert!(text(&run(&["get", "--at", &at]).stderr).contains("no configuration yet"));
}

#[test]
fn a_patch_is_shown_before_it_is_brought() {
    let fleet = Fleet::start(3, 0).expect("it starts");
    let at = format!("{},{}", fleet.control(0), fleet.control(1));
    let good = file(&fleet, "good.json", &document(4));
    assert!(run(&["put", &good, "--at", &at, "--for", "20"]).status.success());
    let mut whole = document(6);
    whole["routes"].as_array_mut().expect("routes").remove(3);
    whole["tenants"].as_array_mut().expect("tenants").push(json!({"name": "new", "apiKeys": ["k-new"]}));
    let patch = json!({"revision": 6, "upsert": {"tenants": [{"name": "new", "apiKeys": ["k-new"]}]},
        "remove": {"routes": ["single"]}});
    let patch = file(&fleet, "patch.json", &patch);
    let shown = run(&["patch", &patch, "--at", &at, "--dry-run"]);
    let parse = |output: &Output| serde_json::from_slice::<Value>(&output.stdout).unwrap_or_default();
    assert_eq!(parse(&shown), whole, "{}", text(&shown.stderr));
    assert_eq!(parse(&run(&["get", "--at", &at])), document(4), "nothing was brought");
    let late = run(&["patch", &patch, "--at", &at, "--dry-run", "--base", "3"]);
    assert!(text(&late.stderr).contains("another version is in place"), "{}", text(&late.stderr));
    let brought = run(&["patch", &patch, "--at", &at]);
    assert_eq!(text(&brought.stdout), "revision 6 is acknowledged\n", "{}", text(&brought.stderr));
    assert_eq!(parse(&run(&["get", "--at", &at])), whole);
    let bad = file(&fleet, "bad.json", &json!({"revision": 7, "remove": {"routes": ["nobody"]}}));
    for arguments in [vec!["patch", &bad, "--at", &at, "--dry-run"], vec!["patch", &bad, "--at", &at]] {
        let output = run(&arguments);
        let said = text(&output.stderr);
        assert!(!output.status.success() && said.contains("remove.routes[0] (nobody)"), "{said}");
    }
}

#[test]
fn status_names_the_leader_and_its_voters() {
    let fleet = Fleet::start(3, 0).expect("it starts");
    let status = |at: usize| -> Value {
        let output = run(&["status", "--json", "--at", &fleet.internal(at).to_string()]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    };
    until("all know one leader", || {
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
fn a_bad_boot_file_ends_the_start_with_every_finding() {
    let folder = std::env::temp_dir().join(format!("gaugesaddle-boot-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let boot = folder.join("boot.conf");
    std::fs::write(&boot, "nodeName=a\nip=nowhere\nephemeralPorts=9,8\n").expect("it is written");
    let output = Command::new(env!("CARGO_BIN_EXE_gaugesaddle-control"))
        .arg("serve")
        .env("GAUGESADDLE_BOOT", &boot)
        .output()
        .expect("the program runs");
    std::fs::remove_dir_all(&folder).expect("it goes");
    let said = text(&output.stderr);
    assert!(!output.status.success());
    for part in ["line 2, ip", "zone: expected a name", "line 3, ephemeralPorts"] {
        assert!(said.contains(part), "{part:?} is not in {said}");
    }
}
