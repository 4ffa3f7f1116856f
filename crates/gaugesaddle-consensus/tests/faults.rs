//! The failure: under lost messages, cuts, crashes, wiped and slow disks a change that was taken is lost, one that was
//! refused is in force, a read goes back, or two replicas lead one term.

mod group;

use group::Group;

/// Seeds for each size of the group.
const SEEDS: u64 = 60;
/// Steps of a history.
const STEPS: u64 = 60;

/// What the operator does next.
fn operate(group: &mut Group, step: u64) {
    let ips: Vec<u32> = group.machines.keys().copied().collect();
    let ip = ips[group.below(ips.len() as u64) as usize];
    let target = group.leader().unwrap_or(ip);
    let base = group.revision(target);
    let revision = base + 1 + group.below(3);
    let body = vec![step as u8, group.below(200) as u8];
    group.propose(target, base, revision, body.clone());
    match group.below(4) {
        // The same order again, and a rival on the same base.
        0 => drop(group.propose(target, base, revision, body)),
        1 => drop(group.propose(ip, base, revision, vec![200, step as u8])),
        _ => {}
    }
    let reader = if group.below(2) == 0 { target } else { ip };
    group.read(reader);
}

/// One fault, or the end of one.
fn harm(group: &mut Group, down: &mut Vec<u32>, tolerance: usize) {
    let ips: Vec<u32> = group.machines.keys().copied().collect();
    let ip = ips[group.below(ips.len() as u64) as usize];
    let other = ips[group.below(ips.len() as u64) as usize];
    match group.below(9) {
        0 | 1 if down.len() < tolerance && !down.contains(&ip) => {
            group.crash(ip);
            down.push(ip);
        }
        2 if down.len() < tolerance && !down.contains(&ip) && group.below(2) == 0 => {
            // The disk is lost; the machine counts as down until it is taken in again.
            group.crash(ip);
            group.wipe(ip);
            group.start(ip, false);
            settle(group, ip);
        }
        3 => {
            if let Some(ip) = down.pop() {
                group.start(ip, false);
            }
        }
        4 => drop(group.cut.insert((ip, other))),
        5 => group.cut.clear(),
        6 => group.loss = group.below(25),
        7 => {
            let delay = 1 + group.below(300);
            if let Some(machine) = group.machines.get_mut(&ip) {
                machine.disk_delay = delay;
            }
        }
        // All processes at once; their disks are kept.
        8 if group.below(6) == 0 => {
            for ip in &ips {
                group.crash(*ip);
                group.start(*ip, false);
            }
            down.clear();
        }
        _ => {}
    }
}

/// Waits until a replaced disk votes, in a calm network.
fn settle(group: &mut Group, ip: u32) {
    group.cut.clear();
    group.loss = 0;
    for machine in group.machines.values_mut() {
        machine.disk_delay = 3;
    }
    for _ in 0..400 {
        group.run(20);
        let me = group.machines[&ip].replica.as_ref().map(|r| r.id());
        let leader = group.leader().and_then(|l| group.machines[&l].replica.as_ref());
        if leader.is_some_and(|l| me.is_some_and(|me| l.voters().contains(&me))) {
            return;
        }
    }
    panic!("a replaced disk of {ip} is not taken in within 8 s of calm");
}

fn history(seed: u64, size: u32, tolerance: usize) -> Group {
    let mut group = Group::tolerating(tolerance, seed, size, size.min(3));
    group.run_to_leader(5000);
    // The others are taken in before anything is lost.
    group.run(3000);
    let mut down = Vec::new();
    for step in 0..STEPS {
        harm(&mut group, &mut down, tolerance);
        operate(&mut group, step);
        let span = 20 + group.below(400);
        group.run(span);
    }
    group
}

fn calm(group: &mut Group) {
    group.cut.clear();
    group.loss = 0;
    let ips: Vec<u32> = group.machines.keys().copied().collect();
    for ip in ips {
        if let Some(machine) = group.machines.get_mut(&ip) {
            machine.disk_delay = 3;
        }
        if group.machines[&ip].replica.is_none() {
            group.start(ip, false);
        }
    }
}

fn hold(size: u32, tolerance: usize) {
    for seed in 1..=SEEDS {
        let mut group = history(seed, size, tolerance);
        calm(&mut group);
        let leader = group.run_to_leader(10_000);
        assert!(leader.is_some(), "{size} replicas, seed {seed}: nobody leads in the calm");
        group.run(1500);
        let leader = group.leader().expect("still led");
        let revision = group.revision(leader);
        let id = group.propose(leader, revision, revision + 1, vec![255]);
        group.run(1000);
        let ended = group.calls[&id].ended.clone();
        assert!(ended.is_some(), "{size} replicas, seed {seed}: an order in the calm has no answer");
        assert_eq!(group.check(), Vec::<String>::new(), "{size} replicas, seed {seed}");
    }
}

#[test]
fn three_replicas_keep_every_promise() {
    hold(3, 1);
}

#[test]
fn four_replicas_keep_every_promise() {
    hold(4, 1);
}

#[test]
fn five_replicas_keep_every_promise() {
    hold(5, 2);
}

#[test]
fn eight_replicas_keep_every_promise() {
    hold(8, 2);
}

#[test]
fn a_change_survives_a_wiped_disk_and_a_loss_of_all_power() {
    for seed in 1..=SEEDS {
        let mut group = Group::new(seed, 4, 3);
        group.run_to_leader(5000).expect("somebody leads");
        group.run(3000);
        let leader = group.leader().expect("still led");
        let id = group.propose(leader, 0, 7, vec![7]);
        while group.calls[&id].ended.is_none() {
            group.run(1);
        }
        // The machine that acknowledged loses its disk, and all others their power, in the same moment.
        for ip in 1..=4 {
            group.crash(ip);
        }
        group.wipe(leader);
        for ip in 1..=4 {
            group.start(ip, false);
        }
        group.run(6000);
        let reader = group.leader().expect("the three others elect one of them");
        assert_ne!(reader, leader, "seed {seed}: an empty disk leads");
        assert_eq!(group.revision(reader), 7, "seed {seed}");
        let voters = group.machines[&reader].replica.as_ref().map(|r| r.voters().to_vec());
        assert_eq!(voters.map(|v| v.len()), Some(4), "seed {seed}: the wiped machine is taken in again");
        assert_eq!(group.check(), Vec::<String>::new(), "seed {seed}");
    }
}
