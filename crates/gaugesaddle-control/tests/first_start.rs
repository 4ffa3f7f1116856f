//! Guards, with real processes, against a core that never has a leader because a machine was lost, or all processes were
//! killed, at the first start.

use gaugesaddle_testbed::fleet::{document, Fleet};
use gaugesaddle_testbed::scripted::until;

fn expect_acknowledgement(fleet: &Fleet, at: usize, revision: u64) {
    until("a change is acknowledged", || {
        fleet.put(at, revision - 1, &document(revision).to_string()).0 == 200
    });
}

/// The only seed with a disk is lost as soon as it has started: the other seeds, which have none, and the machines that are no
/// seeds must form the group without it.
#[test]
fn the_only_seed_with_a_disk_may_be_lost_at_the_first_start() {
    let mut fleet = Fleet::start_controls(&[true, false, false, true, true, true]).expect("fleet starts");
    fleet.kill(0);
    expect_acknowledgement(&fleet, 3, 1);
    until("the three machines with a disk vote", || {
        let voters = fleet.voters(3);
        voters.len() == 3 && voters.iter().all(|voter| !voter.ends_with("#0"))
    });
}

/// All processes are killed and started again before a change was acknowledged; the platform no longer says that this is the
/// first start.
#[test]
fn a_first_start_continues_after_all_processes_were_killed() {
    let mut fleet = Fleet::start_controls(&[true; 4]).expect("fleet starts");
    until("all processes have opened their disks", || {
        (0..fleet.len()).all(|at| !fleet.voters(at).is_empty())
    });
    (0..fleet.len()).for_each(|at| fleet.kill(at));
    (0..fleet.len()).for_each(|at| fleet.start_process(at).expect("the process starts"));
    expect_acknowledgement(&fleet, 0, 1);
    until("all machines vote", || (0..fleet.len()).all(|at| fleet.voters(at).len() == fleet.len()));
}

/// A seed without a disk votes only until machines with a disk have taken its place.
#[test]
fn seeds_without_disks_do_not_remain_voters() {
    let mut fleet = Fleet::start_controls(&[false, false, false, true, true, true]).expect("fleet starts");
    expect_acknowledgement(&fleet, 0, 1);
    until("the machines with a disk vote", || fleet.voters(3).len() == 3);
    (0..3).for_each(|at| fleet.kill(at));
    expect_acknowledgement(&fleet, 4, 2);
}
