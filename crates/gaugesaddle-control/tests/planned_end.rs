//! Guards, with real processes, against a control process that ends as planned and remains a voter: the loss of one disk
//! right after its end would leave the group without a majority for good.

use gaugesaddle_testbed::fleet::{document, Fleet};
use gaugesaddle_testbed::scripted::until;

/// Machines of the fleet, all with a disk. The loss of one is tolerated, so that three voters are enough.
const MACHINES: u8 = 4;

/// A fleet whose machines all vote and whose configuration has revision 1.
fn fleet() -> Fleet {
    let fleet = Fleet::start(MACHINES, 0).expect("fleet starts");
    until("the configuration is acknowledged", || fleet.put(0, 0, &document(1).to_string()).0 == 200);
    until("all machines vote", || (0..fleet.len()).all(|at| fleet.voters(at).len() == fleet.len()));
    fleet
}

fn find(fleet: &Fleet, is_leader: bool) -> usize {
    let role = |at: usize| fleet.status(at)["role"] == "leader";
    (0..fleet.len()).find(|at| role(*at) == is_leader).expect("the fleet has a leader and followers")
}

/// Ends one machine by SIGTERM, then loses the disk of another one, and checks that changes are still acknowledged.
fn end_one_and_lose_another(mut fleet: Fleet, ended: usize, lost: usize) {
    fleet.terminate(ended).expect("the signal is sent");
    until("the process has ended", || !fleet.is_running(ended));
    fleet.kill(lost);
    fleet.wipe(lost).expect("the disk is removed");
    let running = (0..fleet.len()).find(|at| *at != ended && *at != lost).expect("two machines are left");
    until("a change is acknowledged by the two others", || {
        fleet.put(running, 1, &document(2).to_string()).0 == 200
    });
    fleet.start_process(lost).expect("the process starts");
    until("the machine votes again", || fleet.voters(lost).len() == fleet.len() - 1);
    assert_eq!(fleet.get(running).1, document(2).to_string());
}

#[test]
fn a_disk_may_be_lost_right_after_the_planned_end_of_a_follower() {
    let fleet = fleet();
    let (ended, lost) = (find(&fleet, false), find(&fleet, true));
    end_one_and_lose_another(fleet, ended, lost);
}

#[test]
fn a_disk_may_be_lost_right_after_the_planned_end_of_the_leader() {
    let fleet = fleet();
    let (ended, lost) = (find(&fleet, true), find(&fleet, false));
    end_one_and_lose_another(fleet, ended, lost);
}
