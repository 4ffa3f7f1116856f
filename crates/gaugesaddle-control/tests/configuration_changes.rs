//! Guards against control processes that lose an acknowledged configuration, commit two changes on the same base, or do
//! not recover from kills and lost disks.

use gaugesaddle_testbed::fleet::{document, Fleet};
use gaugesaddle_testbed::scripted::until;
use serde_json::{json, Value};

/// Repeats the put of a configuration at a process until it is acknowledged.
fn put_until_acknowledged(fleet: &Fleet, at: usize, base: u64, text: &str) {
    until("the configuration is acknowledged", || fleet.put(at, base, text).0 == 200);
}

#[test]
fn any_process_accepts_changes_and_a_repeated_change_is_idempotent() {
    let fleet = Fleet::start(3, 0).expect("fleet starts");
    let first = document(5).to_string();
    put_until_acknowledged(&fleet, 0, 0, &first);
    for at in 0..3 {
        assert_eq!(fleet.put(at, 0, &first).0, 200, "the same change again, at process {at}");
        assert_eq!(fleet.get(at), (200, first.clone()));
    }
    let conflicting = document(6).to_string();
    assert_eq!(fleet.put(1, 0, &conflicting).0, 412, "another change on the same base");
    assert_eq!(
        fleet.put(2, 5, &document(5).to_string().replace("8000", "7000")).0,
        400,
        "the revision does not increase"
    );
    let (status, text) = fleet.put(0, 5, &document(9).to_string().replace("8000", "0"));
    assert_eq!(status, 400);
    assert_eq!(text.lines().count(), 4, "expected one finding for each route's time-out: {text}");
    assert_eq!(fleet.put(0, 5, &conflicting).0, 200);
    assert_eq!(fleet.get(2), (200, conflicting));
}

#[test]
fn acknowledged_changes_survive_killed_leaders() {
    let mut fleet = Fleet::start(3, 0).expect("fleet starts");
    let first = document(1).to_string();
    put_until_acknowledged(&fleet, 0, 0, &first);
    // The leader is one of the three processes, so each of them is killed in turn.
    for (revision, at) in (1..).zip(0..3) {
        fleet.kill(at);
        let other = (at + 1) % 3;
        let next = document(revision + 1).to_string();
        put_until_acknowledged(&fleet, other, revision, &next);
        fleet.start_process(at).expect("process restarts");
        until("the restarted process answers", || fleet.get(at) == (200, next.clone()));
    }
}

#[test]
fn configuration_survives_kill_of_all_processes() {
    let mut fleet = Fleet::start(3, 0).expect("fleet starts");
    let first = document(3).to_string();
    put_until_acknowledged(&fleet, 1, 0, &first);
    (0..3).for_each(|at| fleet.kill(at));
    for at in 0..3 {
        fleet.start_process(at).expect("process restarts");
    }
    until("the configuration is read back", || fleet.get(2) == (200, first.clone()));
}

#[test]
fn machine_with_a_lost_disk_rejoins_as_a_new_voter() {
    let mut fleet = Fleet::start(3, 0).expect("fleet starts");
    let first = document(3).to_string();
    put_until_acknowledged(&fleet, 0, 0, &first);
    fleet.kill(0);
    fleet.wipe(0).expect("the disk is wiped");
    fleet.start_process(0).expect("process restarts");
    until("the wiped machine serves the configuration", || fleet.get(0) == (200, first.clone()));
    // The wiped machine votes again, so that either of the two others may fail.
    let second = document(4).to_string();
    until("the wiped machine makes a majority with one of the others", || {
        fleet.kill(1);
        let committed = fleet.put(0, 3, &second).0 == 200;
        if !committed {
            fleet.start_process(1).expect("process restarts");
            until("all voters are back", || fleet.get(1).0 == 200);
        }
        committed
    });
    assert_eq!(fleet.get(2), (200, second));
}

#[test]
fn minority_accepts_no_changes_and_no_drains() {
    let mut fleet = Fleet::start(3, 0).expect("fleet starts");
    put_until_acknowledged(&fleet, 0, 0, &document(3).to_string());
    fleet.kill(1);
    fleet.kill(2);
    until("the process detects that it is partitioned", || fleet.get(0).0 == 503);
    assert_eq!(fleet.put(0, 3, &document(4).to_string()).0, 503);
    let address = "127.0.0.1:9".parse().expect("valid address");
    assert_eq!(
        fleet.heartbeat(0, "i-1", "s", address, "draining"),
        503,
        "a drain that could be lost is not acknowledged"
    );
}

/// A patch that changes the time-out of one route and removes another.
fn patch(revision: u64, timeout_ms: u64) -> String {
    let mut route = document(1)["routes"][0].clone();
    route["timeoutMs"] = timeout_ms.into();
    json!({"revision": revision, "upsert": {"routes": [route]}, "remove": {"routes": ["single"]}}).to_string()
}

fn patched(revision: u64, timeout_ms: u64) -> Value {
    let mut full = document(revision);
    full["routes"][0]["timeoutMs"] = timeout_ms.into();
    full["routes"].as_array_mut().expect("routes").retain(|route| route["name"] != "single");
    full
}

/// Reads the configuration from a process; retries while the process knows no leader, as callers do.
fn read_back(fleet: &Fleet, at: usize) -> Value {
    let mut text = String::new();
    until("the configuration is read", || {
        let (status, body) = fleet.get(at);
        text = body;
        status == 200
    });
    serde_json::from_str(&text).unwrap_or_default()
}

#[test]
fn patches_are_idempotent_and_conflict_like_full_configurations() {
    let fleet = Fleet::start(3, 0).expect("fleet starts");
    let first = document(5).to_string();
    put_until_acknowledged(&fleet, 0, 0, &first);
    let change = patch(8, 7000);
    assert_eq!(fleet.patch(1, 5, &change).0, 200);
    for at in 0..3 {
        assert_eq!(fleet.patch(at, 5, &change).0, 200, "the same change again, at process {at}");
        assert_eq!(read_back(&fleet, at), patched(8, 7000));
    }
    assert_eq!(fleet.patch(2, 5, &patch(9, 6000)).0, 412, "another patch on the same base");
    assert_eq!(fleet.patch(0, 5, &patch(8, 6000)).0, 412, "another patch with the same revision");
    // A put of the full document that results from the patch is another change.
    assert_eq!(fleet.put(0, 5, &patched(8, 7000).to_string()).0, 412);
    let next = document(11).to_string();
    assert_eq!(fleet.put(0, 8, &next).0, 200);
    assert_eq!(fleet.patch(1, 5, &change).0, 200, "the same patch again, after a full configuration");
    assert_eq!(fleet.get(2), (200, next));
}

#[test]
fn invalid_patch_is_rejected_with_its_path_and_changes_nothing() {
    let fleet = Fleet::start(3, 0).expect("fleet starts");
    let first = document(5).to_string();
    put_until_acknowledged(&fleet, 0, 0, &first);
    let mut invalid = document(1)["routes"][0].clone();
    invalid["service"] = "missing".into();
    let cases = [
        ("{".to_owned(), "line 1, column 1"),
        (json!({"revision": 8, "upsert": {"unknown": [{"name": "w"}]}}).to_string(), "upsert.unknown"),
        (json!({"revision": 8, "upsert": {"routes": [{"timeoutMs": 1}]}}).to_string(), "upsert.routes[0]"),
        (
            json!({"revision": 8, "remove": {"routes": ["once", "once"]}}).to_string(),
            "remove.routes[1] (once)",
        ),
        (json!({"revision": 8, "remove": {"routes": ["missing"]}}).to_string(), "remove.routes[0] (missing)"),
        (json!({"revision": 8, "remove": {"services": ["s"]}}).to_string(), "routes[0] (plain)"),
        (json!({"revision": 8, "upsert": {"routes": [invalid]}}).to_string(), "routes[0] (plain)"),
        (patch(8, 0), "routes[0] (plain).timeoutMs"),
        (patch(4, 7000), "revision: expected more than 5"),
    ];
    for (text, path) in cases {
        for at in 0..3 {
            let (status, body) = fleet.patch(at, 5, &text);
            assert_eq!(status, 400, "{text}: {body}");
            assert!(body.contains(path), "{text}: {body}");
        }
    }
    assert_eq!(fleet.get(1), (200, first));
}

#[test]
fn patch_of_four_megabytes_is_applied_completely() {
    let fleet = Fleet::start(3, 0).expect("fleet starts");
    put_until_acknowledged(&fleet, 0, 0, &document(5).to_string());
    let mut route = document(1)["routes"][1].clone();
    route["note"] = "x".repeat(4 << 20).into();
    let text = json!({"revision": 6, "upsert": {"routes": [route.clone()]}}).to_string();
    until("the patch is acknowledged", || fleet.patch(1, 5, &text).0 == 200);
    assert_eq!(read_back(&fleet, 2)["routes"][1], route);
}

/// Of two concurrent patches on the same base, one is committed and the other rejected, whichever processes receive
/// them. The same patch sent to two processes is one change.
#[test]
fn concurrent_patches_during_a_leader_crash_are_never_merged() {
    let mut fleet = Fleet::start(3, 0).expect("fleet starts");
    put_until_acknowledged(&fleet, 0, 0, &document(1).to_string());
    for (base, (iteration, crashed)) in (1..).zip((0..6).zip([0, 1, 2].into_iter().cycle())) {
        let (one, other) = ((crashed + 1) % 3, (crashed + 2) % 3);
        let (left, right) =
            (patch_of(base + 1, "plain", 5000 + iteration), patch_of(base + 1, "once", 6000 + iteration));
        // In every second iteration, both operators send the same change.
        let right = if iteration % 2 == 0 { left.clone() } else { right };
        let (first, second) = std::thread::scope(|scope| {
            let fleet = &fleet;
            let (left, right) = (&left, &right);
            let send = |at: usize, text| move || conclusive(|| fleet.patch(at, base, text).0);
            let (a, b) = (scope.spawn(send(one, left)), scope.spawn(send(other, right)));
            fleet.send_sigkill(crashed);
            (a.join().expect("client thread completes"), b.join().expect("client thread completes"))
        });
        let mut answers = [first, second];
        answers.sort_unstable();
        let expected = if left == right { [200, 200] } else { [200, 412] };
        assert_eq!(answers, expected, "iteration {iteration}");
        let committed = read_back(&fleet, one);
        let time = |name: &str| {
            let routes = committed["routes"].as_array().cloned().unwrap_or_default();
            routes.iter().find(|r| r["name"] == name).and_then(|r| r["timeoutMs"].as_u64()).unwrap_or(0)
        };
        let changed = [time("plain") == 5000 + iteration, time("once") == 6000 + iteration];
        let expected = if first == 200 { [true, false] } else { [false, true] };
        assert_eq!(changed, expected, "iteration {iteration}: {committed}");
        fleet.kill(crashed);
        fleet.start_process(crashed).expect("process restarts");
        until("the restarted process responds", || fleet.get(crashed).0 == 200);
    }
}

/// A patch that changes the time-out of one route.
fn patch_of(revision: u64, name: &str, timeout_ms: u64) -> String {
    let routes = document(1)["routes"].as_array().cloned().unwrap_or_default();
    let mut route = routes.into_iter().find(|route| route["name"] == name).expect("a known route");
    route["timeoutMs"] = timeout_ms.into();
    json!({"revision": revision, "upsert": {"routes": [route]}}).to_string()
}

/// Repeats a call until its status is conclusive.
fn conclusive(mut call: impl FnMut() -> u16) -> u16 {
    let mut status = 0;
    until("the status is conclusive", || {
        status = call();
        [200, 400, 412].contains(&status)
    });
    status
}
