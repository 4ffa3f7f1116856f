//! The failure: real control processes lose a configuration that they acknowledged, take two on the same base, or are
//! not found again after kills and lost disks.

use gaugesaddle_testbed::fleet::{document, Fleet};
use gaugesaddle_testbed::scripted::until;

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
