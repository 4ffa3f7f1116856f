//! The operator's file and the state socket of the built proxy: what is told, what a reload takes up, and that
//! nothing of it harms what is served.

use gaugesaddle_testbed::authority::Folder;
use gaugesaddle_testbed::program;
use gaugesaddle_testbed::scripted::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run_command(arguments: &[&str]) -> Output {
    Command::new(program::path("gaugesaddle"))
        .args(arguments)
        .env_remove("GAUGESADDLE_CONFIG")
        .output()
        .unwrap()
}

fn read_state(socket: &Path) -> Value {
    let output = run_command(&["state", "--json", "--socket", socket.to_str().unwrap()]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).unwrap()
}

/// A proxy with a state socket, one backend and a discovery.
struct Fixture {
    folder: Folder,
    file: PathBuf,
    socket: PathBuf,
    proxy: Proxy,
    backend: Backend,
    discovery: Discovery,
    config: Value,
}

fn start_fixture(name: &str, extra_settings: &str) -> Fixture {
    let folder = Folder::new(name);
    let socket = folder.0.join("state.sock");
    let file = folder.file("gaugesaddle.toml", &format!("[state]\nsocket = {socket:?}\n{extra_settings}"));
    let backend = Backend::start(|m| if m.start.contains("slow") { Reply::NoResponse } else { ok("x") });
    let discovery = Discovery::start();
    let config = config(discovery.address, &[line("a", backend.address, "ready", 0)]);
    let proxy = Proxy::spawn_with(&config, "unlimited", &["--config", file.to_str().unwrap()]);
    until("ready", || proxy.ready() == 200);
    Fixture { folder, file, socket, proxy, backend, discovery, config }
}

#[test]
fn the_check_command_reports_whether_a_file_is_valid() {
    let folder = Folder::new("check");
    let good = folder.file("good.toml", "[state]\nsocket = \"/run/x.sock\"\n");
    let output = run_command(&["check", good.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("good"));
    let bad = folder.file("bad.toml", "[state]\nconnections = 0\n");
    let output = run_command(&["check", bad.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("line 2: state.connections: expected a whole number from 1 to 64, got 0"),
        "{text}"
    );
    assert_eq!(run_command(&["check", "/nowhere/at/all"]).status.code(), Some(1));
    assert_ne!(run_command(&["chekc"]).status.code(), Some(0));
    // A proxy that is to serve with a bad file does not start.
    let mut proxy =
        Proxy::spawn_with(&config(free_address(), &[]), "unlimited", &["--config", bad.to_str().unwrap()]);
    assert!(!proxy.exit().success());
    until("its reason", || proxy.log().contains("state.connections"));
}

/// Each request is counted once and under what its client saw.
#[test]
fn state_counters_match_what_clients_and_backends_observed() {
    let s = start_fixture("adds-up", "");
    for _ in 0..20 {
        assert_eq!(ask(&s.proxy, &request("read", 7000)).status(), 200);
    }
    assert_eq!(ask(&s.proxy, "GET /read HTTP/1.1\r\n\r\n").status(), 400);
    // One that its client leaves, and one whose time is up.
    let mut gone = Client::open(s.proxy.address);
    gone.send(&request("read", 7000).replace("/a?", "/slow?"));
    until("its attempt", || s.backend.requests().len() == 21);
    drop(gone);
    // A backend that owes an answer is soon taken for silent, and a request that may not be repeated is refused unsent
    // then: first the leaving must be known, and the backend in use again.
    until("it has left", || read_state(&s.socket)["classes"][0]["left"] == 1);
    let mut retries = 0;
    until("the backend is asked again", || {
        retries += 1;
        ask(&s.proxy, &request("read", 7000)).status() == 200
    });
    let late = ask(&s.proxy, &request("pay", 300).replace("/a?", "/slow?")).status();
    assert_eq!(late, 502);
    until("all ended", || read_state(&s.socket)["open"] == 0);
    let snapshot = read_state(&s.socket);
    let read = &snapshot["classes"][0];
    assert_eq!((read["name"].as_str(), read["taken"].as_u64()), (Some("read"), Some(21 + retries)));
    assert_eq!((read["in_aim"].as_u64(), read["left"].as_u64()), (Some(21), Some(1)));
    let pay = &snapshot["classes"][2];
    assert_eq!((pay["taken"].as_u64(), pay["failed"]["module"].as_u64()), (Some(1), Some(1)));
    let backend = &snapshot["backends"][0];
    assert_eq!((backend["name"].as_str(), backend["state"].as_str()), (Some("a"), Some("ready")));
    assert_eq!(backend["attempts"].as_u64(), Some(s.backend.requests().len() as u64));
    let outcomes = backend["outcomes"].as_array().unwrap();
    let outcome_count = |name: &str| outcomes.iter().find(|o| o[0] == name).unwrap()[1].as_u64().unwrap();
    // Whether the module calls the late one off or its time runs out first is the module's to say.
    assert_eq!((outcome_count("ok"), outcome_count("cancelled") + outcome_count("timed_out")), (21, 2));
    assert_eq!(outcomes.iter().map(|o| o[1].as_u64().unwrap()).sum::<u64>(), 23);
    let reason_count = |text: &str| {
        let all = snapshot["reasons"].as_array().unwrap();
        all.iter().find(|r| r[0] == text).unwrap_or_else(|| panic!("{text}"))[1].as_u64()
    };
    assert_eq!(
        (reason_count("wrong: form"), reason_count("closed: left before its answer")),
        (Some(1), Some(1))
    );
    assert_eq!(snapshot["list"]["index"], 0);
    s.discovery.publish(true, &[line("b", s.backend.address, "ready", 0)]);
    until("the new list", || read_state(&s.socket)["list"]["index"] == 1);
    let snapshot = read_state(&s.socket);
    let names: Vec<_> = snapshot["backends"].as_array().unwrap().iter().map(|b| b["name"].clone()).collect();
    assert_eq!(names, [json!("b")], "a row leaves with its backend");
    // For people.
    let table = run_command(&["--config", s.file.to_str().unwrap(), "state"]);
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(table.contains("serving") && table.contains("wrong: form"), "{table}");
}

#[test]
fn the_state_socket_is_private_and_removed_on_exit() {
    let mut s = start_fixture("owner", "");
    let mode = std::fs::metadata(&s.socket).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(std::fs::read_dir(&s.folder.0).unwrap().count(), 2, "no draft is left");
    // A second proxy on the same socket does not start and takes nothing away.
    let mut other = s.config.clone();
    other["listen"] = json!(free_address().to_string());
    let mut second = Proxy::spawn_with(&other, "unlimited", &["--config", s.file.to_str().unwrap()]);
    assert!(!second.exit().success());
    until("its reason", || second.log().contains("state.socket") && second.log().contains("answers"));
    read_state(&s.socket);
    s.proxy.terminate();
    assert!(s.proxy.exit().success());
    assert!(!s.socket.exists());
    // What a killed proxy leaves behind is replaced.
    drop(std::os::unix::net::UnixListener::bind(&s.socket).unwrap());
    let third = Proxy::spawn_with(&other, "unlimited", &["--config", s.file.to_str().unwrap()]);
    until("ready", || third.ready() == 200);
    read_state(&s.socket);
    // A file that is no socket is left alone.
    let file = s.folder.file("precious", "text");
    let toml = s.folder.file("precious.toml", &format!("[state]\nsocket = {file:?}\n"));
    other["listen"] = json!(free_address().to_string());
    let mut fourth = Proxy::spawn_with(&other, "unlimited", &["--config", toml.to_str().unwrap()]);
    assert!(!fourth.exit().success());
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "text");
}

/// Callers that say nothing, too much, or nonsense.
#[test]
fn misbehaving_state_socket_clients_delay_others_for_seconds_at_most() {
    let s = start_fixture("callers", "connections = 1\n");
    let mut silent = UnixStream::connect(&s.socket).unwrap();
    let exchange = |text: &[u8]| {
        let mut caller = UnixStream::connect(&s.socket).unwrap();
        let _ = caller.write_all(text);
        let mut answer = String::new();
        let _ = caller.read_to_string(&mut answer);
        answer
    };
    // It waits until the silent one has lost its place.
    assert!(exchange(b"what?\n").contains("error"));
    assert_eq!(silent.read(&mut [0]).unwrap_or(0), 0, "closed");
    let long = exchange(&[b'x'; 1 << 20]);
    assert!(long.is_empty() || long.contains("error"), "{long}");
    assert!(exchange(b"state\n").contains("\"classes\""));
    assert_eq!(ask(&s.proxy, &request("read", 7000)).status(), 200);
}

#[test]
fn sighup_applies_a_valid_file_and_ignores_an_invalid_one() {
    let s = start_fixture("sighup", "");
    let config = s.config.to_string();
    // Bad: nothing changes, neither of this file nor of the platform's.
    let elsewhere = Discovery::start();
    let mut moved = s.config.clone();
    moved["discovery"] = json!(elsewhere.address.to_string());
    std::fs::write(&s.file, "[state]\nsocket = 7\n").unwrap();
    s.proxy.reload(&moved.to_string());
    until("the reason", || {
        s.proxy.log().contains("stays as it was") && s.proxy.log().contains("state.socket")
    });
    read_state(&s.socket);
    assert_eq!(elsewhere.calls(), 0);
    // Another socket, and a level that wants a restart.
    let second = s.folder.0.join("second.sock");
    std::fs::write(&s.file, format!("[log]\nlevel = \"debug\"\n[state]\nsocket = {second:?}\n")).unwrap();
    s.proxy.reload(&config);
    until("the second socket", || second.exists());
    until("the old one is gone", || !s.socket.exists());
    read_state(&second);
    until("what is not taken up", || s.proxy.log().contains("not taken up before a restart: log.level"));
    // Off.
    std::fs::write(&s.file, "").unwrap();
    s.proxy.reload(&config);
    until("off", || !second.exists());
    assert_eq!(ask(&s.proxy, &request("read", 7000)).status(), 200);
}
