//! The failure: real control processes lose a configuration that they acknowledged, take two on the same base, or are
//! not found again after kills and lost disks.

use gaugesaddle_testbed::fleet::{document, Fleet};
use gaugesaddle_testbed::scripted::until;
use serde_json::{json, Value};

/// Brings a configuration to a process until it is acknowledged.
fn put_until_taken(fleet: &Fleet, at: usize, base: u64, text: &str) {
    until("the configuration is taken", || fleet.put(at, base, text).0 == 200);
}

#[test]
fn any_process_takes_a_configuration_and_answers_the_same_order_alike() {
    let fleet = Fleet::start(3, 0).expect("it starts");
    let first = document(5).to_string();
    put_until_taken(&fleet, 0, 0, &first);
    for at in 0..3 {
        assert_eq!(fleet.put(at, 0, &first).0, 200, "the same order again, at process {at}");
        assert_eq!(fleet.get(at), (200, first.clone()));
    }
    let rival = document(6).to_string();
    assert_eq!(fleet.put(1, 0, &rival).0, 412, "another order on the same base");
    assert_eq!(fleet.put(2, 5, &document(5).to_string().replace("8000", "7000")).0, 400, "it does not rise");
    let (status, text) = fleet.put(0, 5, &document(9).to_string().replace("8000", "0"));
    assert_eq!(status, 400);
    assert_eq!(text.lines().count(), 4, "each route's time is named: {text}");
    assert_eq!(fleet.put(0, 5, &rival).0, 200);
    assert_eq!(fleet.get(2), (200, rival));
}

#[test]
fn a_killed_leader_is_replaced_and_what_was_acknowledged_is_kept() {
    let mut fleet = Fleet::start(3, 0).expect("it starts");
    let first = document(1).to_string();
    put_until_taken(&fleet, 0, 0, &first);
    // Whoever leads is among the three: each is killed in turn.
    for (revision, at) in (1..).zip(0..3) {
        fleet.kill(at);
        let other = (at + 1) % 3;
        let next = document(revision + 1).to_string();
        put_until_taken(&fleet, other, revision, &next);
        fleet.run(at).expect("it starts again");
        until("the restarted process answers", || fleet.get(at) == (200, next.clone()));
    }
}

#[test]
fn a_configuration_survives_the_kill_of_all_processes() {
    let mut fleet = Fleet::start(3, 0).expect("it starts");
    let first = document(3).to_string();
    put_until_taken(&fleet, 1, 0, &first);
    (0..3).for_each(|at| fleet.kill(at));
    for at in 0..3 {
        fleet.run(at).expect("it starts again");
    }
    until("it is read back", || fleet.get(2) == (200, first.clone()));
}

#[test]
fn a_machine_whose_disk_was_lost_is_taken_in_as_another_replica() {
    let mut fleet = Fleet::start(3, 0).expect("it starts");
    let first = document(3).to_string();
    put_until_taken(&fleet, 0, 0, &first);
    fleet.kill(0);
    fleet.wipe(0).expect("the disk goes");
    fleet.run(0).expect("it starts again");
    until("the empty disk is filled", || fleet.get(0) == (200, first.clone()));
    // It votes again: of the two others, either may go.
    let second = document(4).to_string();
    until("the wiped machine makes a majority with one of the others", || {
        fleet.kill(1);
        let taken = fleet.put(0, 3, &second).0 == 200;
        if !taken {
            fleet.run(1).expect("it starts again");
            until("the group is whole", || fleet.get(1).0 == 200);
        }
        taken
    });
    assert_eq!(fleet.get(2), (200, second));
}

#[test]
fn one_of_three_alone_takes_nothing() {
    let mut fleet = Fleet::start(3, 0).expect("it starts");
    put_until_taken(&fleet, 0, 0, &document(3).to_string());
    fleet.kill(1);
    fleet.kill(2);
    until("it notices that it is alone", || fleet.get(0).0 == 503);
    assert_eq!(fleet.put(0, 3, &document(4).to_string()).0, 503);
    let address = "127.0.0.1:9".parse().expect("an address");
    assert_eq!(fleet.heartbeat(0, "i-1", "s", address, "draining"), 503, "news that could be lost");
}

/// A patch that brings one route to another service's time, and takes another route away.
fn patch(revision: u64, timeout_ms: u64) -> String {
    let mut route = document(1)["routes"][0].clone();
    route["timeoutMs"] = timeout_ms.into();
    json!({"revision": revision, "upsert": {"routes": [route]}, "remove": {"routes": ["single"]}}).to_string()
}

fn patched(revision: u64, timeout_ms: u64) -> Value {
    let mut whole = document(revision);
    whole["routes"][0]["timeoutMs"] = timeout_ms.into();
    whole["routes"].as_array_mut().expect("routes").retain(|route| route["name"] != "single");
    whole
}

fn read_back(fleet: &Fleet, at: usize) -> Value {
    serde_json::from_str(&fleet.get(at).1).unwrap_or_default()
}

#[test]
fn a_patch_is_an_order_like_a_whole_configuration() {
    let fleet = Fleet::start(3, 0).expect("it starts");
    let first = document(5).to_string();
    put_until_taken(&fleet, 0, 0, &first);
    let change = patch(8, 7000);
    assert_eq!(fleet.patch(1, 5, &change).0, 200);
    for at in 0..3 {
        assert_eq!(fleet.patch(at, 5, &change).0, 200, "the same order again, at process {at}");
        assert_eq!(read_back(&fleet, at), patched(8, 7000));
    }
    assert_eq!(fleet.patch(2, 5, &patch(9, 6000)).0, 412, "another patch on the same base");
    assert_eq!(fleet.patch(0, 5, &patch(8, 6000)).0, 412, "under the same number");
    // The whole that it made is another order.
    assert_eq!(fleet.put(0, 5, &patched(8, 7000).to_string()).0, 412);
    let next = document(11).to_string();
    assert_eq!(fleet.put(0, 8, &next).0, 200);
    assert_eq!(fleet.patch(1, 5, &change).0, 200, "behind a whole one");
    assert_eq!(fleet.get(2), (200, next));
}

#[test]
fn a_bad_patch_is_refused_with_its_place_and_changes_nothing() {
    let fleet = Fleet::start(3, 0).expect("it starts");
    let first = document(5).to_string();
    put_until_taken(&fleet, 0, 0, &first);
    let mut strange = document(1)["routes"][0].clone();
    strange["service"] = "nowhere".into();
    let cases = [
        ("{".to_owned(), "line 1, column 1"),
        (json!({"revision": 8, "upsert": {"walls": [{"name": "w"}]}}).to_string(), "upsert.walls"),
        (json!({"revision": 8, "upsert": {"routes": [{"timeoutMs": 1}]}}).to_string(), "upsert.routes[0]"),
        (
            json!({"revision": 8, "remove": {"routes": ["once", "once"]}}).to_string(),
            "remove.routes[1] (once)",
        ),
        (json!({"revision": 8, "remove": {"routes": ["nobody"]}}).to_string(), "remove.routes[0] (nobody)"),
        (json!({"revision": 8, "remove": {"services": ["s"]}}).to_string(), "routes[0] (plain)"),
        (json!({"revision": 8, "upsert": {"routes": [strange]}}).to_string(), "routes[0] (plain)"),
        (patch(8, 0), "routes[0] (plain).timeoutMs"),
        (patch(4, 7000), "revision: expected more than 5"),
    ];
    for (text, place) in cases {
        for at in 0..3 {
            let (status, said) = fleet.patch(at, 5, &text);
            assert_eq!(status, 400, "{text}: {said}");
            assert!(said.contains(place), "{text}: {said}");
        }
    }
    assert_eq!(fleet.get(1), (200, first));
}

#[test]
fn a_patch_of_four_megabytes_is_taken_whole() {
    let fleet = Fleet::start(3, 0).expect("it starts");
    put_until_taken(&fleet, 0, 0, &document(5).to_string());
    let mut route = document(1)["routes"][1].clone();
    route["note"] = "x".repeat(4 << 20).into();
    let text = json!({"revision": 6, "upsert": {"routes": [route.clone()]}}).to_string();
    until("it is taken", || fleet.patch(1, 5, &text).0 == 200);
    assert_eq!(read_back(&fleet, 2)["routes"][1], route);
}

/// One is taken and the other refused, whatever process they come to; the same one at two processes is one order.
#[test]
fn patches_that_race_at_two_processes_while_the_leader_dies_are_never_merged() {
    let mut fleet = Fleet::start(3, 0).expect("it starts");
    put_until_taken(&fleet, 0, 0, &document(1).to_string());
    for (base, (round, dies)) in (1..).zip((0..6).zip([0, 1, 2].into_iter().cycle())) {
        let (one, other) = ((dies + 1) % 3, (dies + 2) % 3);
        let (left, right) =
            (patch_of(base + 1, "plain", 5000 + round), patch_of(base + 1, "once", 6000 + round));
        // On every second round both operators send the same order.
        let right = if round % 2 == 0 { left.clone() } else { right };
        let (first, second) = std::thread::scope(|scope| {
            let fleet = &fleet;
            let (left, right) = (&left, &right);
            let send = |at: usize, text| move || clear(|| fleet.patch(at, base, text).0);
            let (a, b) = (scope.spawn(send(one, left)), scope.spawn(send(other, right)));
            fleet.stop_abruptly(dies);
            (a.join().expect("answered"), b.join().expect("answered"))
        });
        let mut answers = [first, second];
        answers.sort_unstable();
        let expected = if left == right { [200, 200] } else { [200, 412] };
        assert_eq!(answers, expected, "round {round}");
        let whole = read_back(&fleet, one);
        let time = |name: &str| {
            let routes = whole["routes"].as_array().cloned().unwrap_or_default();
            routes.iter().find(|r| r["name"] == name).and_then(|r| r["timeoutMs"].as_u64()).unwrap_or(0)
        };
        let changed = [time("plain") == 5000 + round, time("once") == 6000 + round];
        let taken = if first == 200 { [true, false] } else { [false, true] };
        assert_eq!(changed, taken, "round {round}: {whole}");
        fleet.kill(dies);
        fleet.run(dies).expect("it starts again");
        until("it is back", || fleet.get(dies).0 == 200);
    }
}

/// Changes one route's time, and takes no other one away.
fn patch_of(revision: u64, name: &str, timeout_ms: u64) -> String {
    let routes = document(1)["routes"].as_array().cloned().unwrap_or_default();
    let mut route = routes.into_iter().find(|route| route["name"] == name).expect("a known route");
    route["timeoutMs"] = timeout_ms.into();
    json!({"revision": revision, "upsert": {"routes": [route]}}).to_string()
}

/// Asks until the answer is clear.
fn clear(mut ask: impl FnMut() -> u16) -> u16 {
    let mut status = 0;
    until("the answer is clear", || {
        status = ask();
        [200, 400, 412].contains(&status)
    });
    status
}
