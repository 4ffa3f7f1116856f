//! The operator's file and the state socket of the proxy: the reported state, the settings that a reload applies, and
//! that neither disturbs the service.

use gaugesaddle_testbed::authority::TempFolder;
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

/// A proxy with a state socket, one backend and a discovery agent.
struct Fixture {
    folder: TempFolder,
    file: PathBuf,
    socket: PathBuf,
    proxy: Proxy,
    backend: Backend,
    discovery: Discovery,
    config: Value,
}

fn start_fixture(name: &str, extra_settings: &str) -> Fixture {
    let folder = TempFolder::new(name);
    let socket = folder.0.join("state.sock");
    let file = folder.file("gaugesaddle.toml", &format!("[state]\nsocket = {socket:?}\n{extra_settings}"));
    let backend = Backend::start(|m| if m.start.contains("slow") { Reply::NoResponse } else { ok("x") });
    let discovery = Discovery::start();
    let config = config(discovery.address, &[endpoint("a", backend.address, "ready", 0)]);
    let proxy = Proxy::spawn_with(&config, "unlimited", &["--config", file.to_str().unwrap()]);
    until("the proxy is ready", || proxy.ready() == 200);
    Fixture { folder, file, socket, proxy, backend, discovery, config }
}

#[test]
fn the_check_command_reports_whether_a_file_is_valid() {
    let folder = TempFolder::new("check");
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
    // A proxy does not start with an invalid file.
    let mut proxy =
        Proxy::spawn_with(&config(free_address(), &[]), "unlimited", &["--config", bad.to_str().unwrap()]);
    assert!(!proxy.exit().success());
    until("the reason is logged", || proxy.log().contains("state.connections"));
}

/// Each request is counted once, under the outcome that its client observed.
#[test]
fn state_counters_match_what_clients_and_backends_observed() {
    let s = start_fixture("adds-up", "");
    for _ in 0..20 {
        assert_eq!(send_request(&s.proxy, &request("read", 7000)).status(), 200);
    }
    assert_eq!(send_request(&s.proxy, "GET /read HTTP/1.1\r\n\r\n").status(), 400);
    // One request whose client disconnects, and one whose deadline expires.
    let mut disconnecting = Client::open(s.proxy.address);
    disconnecting.send(&request("read", 7000).replace("/a?", "/slow?"));
    until("the attempt reaches the backend", || s.backend.requests().len() == 21);
    drop(disconnecting);
    // A backend with an overdue response is soon considered unresponsive, and a request that must not be retried is
    // then rejected unsent. So wait until the disconnect is counted and the backend is in use again.
    until("the disconnect is counted", || read_state(&s.socket)["classes"][0]["left"] == 1);
    let mut retries = 0;
    until("the backend receives requests again", || {
        retries += 1;
        send_request(&s.proxy, &request("read", 7000)).status() == 200
    });
    let late_status = send_request(&s.proxy, &request("pay", 300).replace("/a?", "/slow?")).status();
    assert_eq!(late_status, 502);
    until("no request is open", || read_state(&s.socket)["open"] == 0);
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
    // The balancer may cancel the late attempt before its deadline expires, so either outcome is accepted.
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
    s.discovery.publish(true, &[endpoint("b", s.backend.address, "ready", 0)]);
    until("the new list is applied", || read_state(&s.socket)["list"]["index"] == 1);
    let snapshot = read_state(&s.socket);
    let names: Vec<_> = snapshot["backends"].as_array().unwrap().iter().map(|b| b["name"].clone()).collect();
    assert_eq!(names, [json!("b")], "the row of a removed backend is removed");
    // The table for operators.
    let table = run_command(&["--config", s.file.to_str().unwrap(), "state"]);
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(table.contains("serving") && table.contains("wrong: form"), "{table}");
}

#[test]
fn the_state_socket_is_private_and_removed_on_exit() {
    let mut s = start_fixture("owner", "");
    let mode = std::fs::metadata(&s.socket).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(std::fs::read_dir(&s.folder.0).unwrap().count(), 2, "a temporary file is left behind");
    // A second proxy with the same socket path does not start and leaves the socket in place.
    let mut other = s.config.clone();
    other["listen"] = json!(free_address().to_string());
    let mut second = Proxy::spawn_with(&other, "unlimited", &["--config", s.file.to_str().unwrap()]);
    assert!(!second.exit().success());
    until("a logged reason", || second.log().contains("state.socket") && second.log().contains("answers"));
    read_state(&s.socket);
    s.proxy.terminate();
    assert!(s.proxy.exit().success());
    assert!(!s.socket.exists());
    // A stale socket, as a killed proxy leaves it, is replaced.
    drop(std::os::unix::net::UnixListener::bind(&s.socket).unwrap());
    let third = Proxy::spawn_with(&other, "unlimited", &["--config", s.file.to_str().unwrap()]);
    until("the proxy is ready", || third.ready() == 200);
    read_state(&s.socket);
    // A regular file at the socket path is not replaced.
    let file = s.folder.file("precious", "text");
    let toml = s.folder.file("precious.toml", &format!("[state]\nsocket = {file:?}\n"));
    other["listen"] = json!(free_address().to_string());
    let mut fourth = Proxy::spawn_with(&other, "unlimited", &["--config", toml.to_str().unwrap()]);
    assert!(!fourth.exit().success());
    assert_eq!(std::fs::read_to_string(&file).unwrap(), "text");
}

/// Clients that send nothing, too much, or invalid requests.
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
    // This request waits until the connection of the silent client times out.
    assert!(exchange(b"what?\n").contains("error"));
    assert_eq!(silent.read(&mut [0]).unwrap_or(0), 0, "the silent client is disconnected");
    let long = exchange(&[b'x'; 1 << 20]);
    assert!(long.is_empty() || long.contains("error"), "{long}");
    assert!(exchange(b"state\n").contains("\"classes\""));
    assert_eq!(send_request(&s.proxy, &request("read", 7000)).status(), 200);
}

#[test]
fn sighup_applies_a_valid_file_and_ignores_an_invalid_one() {
    let s = start_fixture("sighup", "");
    let config = s.config.to_string();
    // An invalid file: neither its settings nor those of the platform's file change.
    let elsewhere = Discovery::start();
    let mut moved = s.config.clone();
    moved["discovery"] = json!(elsewhere.address.to_string());
    std::fs::write(&s.file, "[state]\nsocket = 7\n").unwrap();
    s.proxy.reload(&moved.to_string());
    until("the reason is logged", || {
        s.proxy.log().contains("stays as it was") && s.proxy.log().contains("state.socket")
    });
    read_state(&s.socket);
    assert_eq!(elsewhere.calls(), 0);
    // Another socket path, which is applied, and a log level, which needs a restart.
    let second = s.folder.0.join("second.sock");
    std::fs::write(&s.file, format!("[log]\nlevel = \"debug\"\n[state]\nsocket = {second:?}\n")).unwrap();
    s.proxy.reload(&config);
    until("the second socket exists", || second.exists());
    until("the first socket is removed", || !s.socket.exists());
    read_state(&second);
    until("the setting is logged", || s.proxy.log().contains("not taken up before a restart: log.level"));
    // No state socket.
    std::fs::write(&s.file, "").unwrap();
    s.proxy.reload(&config);
    until("the second socket is removed", || !second.exists());
    assert_eq!(send_request(&s.proxy, &request("read", 7000)).status(), 200);
}
