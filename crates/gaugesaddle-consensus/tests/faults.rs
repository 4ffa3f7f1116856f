//! Checks that under lost messages, partitions, crashes, and wiped and slow disks no confirmed change is lost, no
//! rejected change takes effect, no read returns a stale state, and no term has two leaders.

mod group;

use gaugesaddle_protocol::ReplicaId;
use group::Group;

/// Number of seeds per group size.
const SEEDS: u64 = 200;
/// Number of steps in a history.
const STEPS: u64 = 60;

/// Sends the operator's next requests.
fn issue_requests(group: &mut Group, step: u64) {
    let ips: Vec<u32> = group.machines.keys().copied().collect();
    let ip = ips[group.random_below(ips.len() as u64) as usize];
    let target = group.leader().unwrap_or(ip);
    let base = group.revision(target);
    let revision = base + 1 + group.random_below(3);
    let body = vec![step as u8, group.random_below(200) as u8];
    group.propose(target, base, revision, body.clone());
    match group.random_below(4) {
        // The same change again, or a competing change on the same base.
        0 => drop(group.propose(target, base, revision, body)),
        1 => drop(group.propose(ip, base, revision, vec![200, step as u8])),
        _ => {}
    }
    let reader = if group.random_below(2) == 0 { target } else { ip };
    group.read(reader);
}

/// Whether the group tolerates the loss of another disk: the newest durable state contains no replica whose disk was
/// lost. Otherwise the loss would be a second concurrent one. Crashes and link failures may occur at any time.
fn has_full_redundancy(group: &Group) -> bool {
    let states = group.machines.values().filter_map(|machine| machine.disk.state.as_ref());
    let Some(newest) = states.max_by_key(|state| state.position) else { return false };
    let is_present = |voter: &ReplicaId| {
        let hard_state = group.machines[&voter.ip].disk.hard_state;
        hard_state.is_some_and(|hard_state| hard_state.id == *voter)
    };
    newest.voters.iter().chain(&newest.outgoing).all(is_present)
}

/// Injects one fault, or ends earlier ones.
fn inject_fault(group: &mut Group, down: &mut Vec<u32>, tolerance: usize) {
    let ips: Vec<u32> = group.machines.keys().copied().collect();
    let ip = ips[group.random_below(ips.len() as u64) as usize];
    let other = ips[group.random_below(ips.len() as u64) as usize];
    match group.random_below(9) {
        0 | 1 if down.len() < tolerance && !down.contains(&ip) => {
            group.crash(ip);
            down.push(ip);
        }
        2 if down.len() < tolerance
            && !down.contains(&ip)
            && group.random_below(2) == 0
            && has_full_redundancy(group) =>
        {
            // The disk is lost. The machine counts as failed until its new replica is a voter.
            group.crash(ip);
            group.wipe(ip);
            group.start(ip, false);
            run_until_voting(group, ip);
        }
        3 => {
            if let Some(ip) = down.pop() {
                group.start(ip, false);
            }
        }
        4 => drop(group.partitioned.insert((ip, other))),
        5 => group.partitioned.clear(),
        6 => group.loss_percent = group.random_below(25),
        7 => {
            let delay = 1 + group.random_below(300);
            if let Some(machine) = group.machines.get_mut(&ip) {
                machine.disk_delay_ms = delay;
            }
        }
        // All processes crash at once and restart from their disks.
        8 if group.random_below(6) == 0 => {
            for ip in &ips {
                group.crash(*ip);
                group.start(*ip, false);
            }
            down.clear();
        }
        _ => {}
    }
}

/// Ends all faults and runs until the replica with the replaced disk is a voter.
fn run_until_voting(group: &mut Group, ip: u32) {
    group.partitioned.clear();
    group.loss_percent = 0;
    for machine in group.machines.values_mut() {
        machine.disk_delay_ms = 3;
    }
    for _ in 0..400 {
        group.run(20);
        let id = group.machines[&ip].replica.as_ref().map(gaugesaddle_consensus::Replica::id);
        let leader = group.leader().and_then(|l| group.machines[&l].replica.as_ref());
        if leader.is_some_and(|l| id.is_some_and(|id| l.voters().contains(&id))) {
            return;
        }
    }
    panic!("the replica of {ip}, whose disk was replaced, is not a voter after 8 s without faults");
}

fn history(seed: u64, size: u32, tolerance: usize) -> Group {
    let mut group = Group::tolerating(tolerance, seed, size, size.min(3));
    group.run_until_leader(5000);
    // All replicas become voters before the first fault.
    group.run(3000);
    let mut down = Vec::new();
    for step in 0..STEPS {
        inject_fault(&mut group, &mut down, tolerance);
        issue_requests(&mut group, step);
        let span = 20 + group.random_below(400);
        group.run(span);
    }
    group
}

fn end_faults(group: &mut Group) {
    group.partitioned.clear();
    group.loss_percent = 0;
    let ips: Vec<u32> = group.machines.keys().copied().collect();
    for ip in ips {
        if let Some(machine) = group.machines.get_mut(&ip) {
            machine.disk_delay_ms = 3;
        }
        if group.machines[&ip].replica.is_none() {
            group.start(ip, false);
        }
    }
}

fn check_random_histories(size: u32, tolerance: usize) {
    for seed in 1..=SEEDS {
        let mut group = history(seed, size, tolerance);
        end_faults(&mut group);
        let leader = group.run_until_leader(10_000);
        assert!(leader.is_some(), "{size} replicas, seed {seed}: no leader within 10 s after the faults");
        group.run(1500);
        let leader = group.leader().expect("the group should still have a leader");
        let revision = group.revision(leader);
        let id = group.propose(leader, revision, revision + 1, vec![255]);
        group.run(1000);
        let ended = group.calls[&id].ended.clone();
        assert!(ended.is_some(), "{size} replicas, seed {seed}: a change after the faults got no result");
        assert_eq!(group.check(), Vec::<String>::new(), "{size} replicas, seed {seed}");
    }
}

#[test]
fn guarantees_hold_under_faults_with_three_replicas() {
    check_random_histories(3, 1);
}

#[test]
fn guarantees_hold_under_faults_with_four_replicas() {
    check_random_histories(4, 1);
}

#[test]
fn guarantees_hold_under_faults_with_five_replicas() {
    check_random_histories(5, 2);
}

#[test]
fn guarantees_hold_under_faults_with_eight_replicas() {
    check_random_histories(8, 2);
}

#[test]
fn a_committed_change_survives_a_wiped_disk_and_a_power_loss() {
    for seed in 1..=SEEDS {
        let mut group = Group::new(seed, 4, 3);
        group.run_until_leader(5000).expect("a leader should be elected");
        group.run(3000);
        let leader = group.leader().expect("the group should still have a leader");
        let id = group.propose(leader, 0, 7, vec![7]);
        while group.calls[&id].ended.is_none() {
            group.run(1);
        }
        // The leader's machine loses its disk, and all other machines lose power, at the same time.
        for ip in 1..=4 {
            group.crash(ip);
        }
        group.wipe(leader);
        for ip in 1..=4 {
            group.start(ip, false);
        }
        group.run(6000);
        let reader = group.leader().expect("one of the other three replicas should be elected");
        assert_ne!(reader, leader, "seed {seed}: the replica with the wiped disk was elected");
        assert_eq!(group.revision(reader), 7, "seed {seed}");
        let voters = group.machines[&reader].replica.as_ref().map(|r| r.voters().to_vec());
        assert_eq!(voters.map(|v| v.len()), Some(4), "seed {seed}: the wiped machine is not a voter again");
        assert_eq!(group.check(), Vec::<String>::new(), "seed {seed}");
    }
}
