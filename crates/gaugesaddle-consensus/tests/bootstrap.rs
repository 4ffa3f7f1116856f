//! Checks that a fleet that starts for the first time forms one group of voters, whatever is lost, killed, started late
//! or partitioned meanwhile within the tolerated losses, and that no change is acknowledged from memory.

mod group;

use gaugesaddle_consensus::{ProposalResult, INITIAL_INCARNATION};
use group::{Group, Machine};
use std::collections::BTreeSet;

/// Machines start within this time of each other.
const START_SPREAD_MS: u64 = 300;
/// Faults begin within this time of the first start.
const FAULT_PERIOD_MS: u64 = 2000;
/// A change must be acknowledged within this time of the last event (`contactMs` and `ackMs` of the deploy page).
const ACKNOWLEDGEMENT_MS: u64 = 7000;
/// Interval at which the operator repeats a change.
const OPERATOR_RETRY_MS: u64 = 250;
/// Seeds of the drawn first starts.
const DRAWN_STARTS: u64 = 1000;

/// The machines of a fleet: `disks` with a disk from 1 on, then `diskless` without.
struct Fleet {
    group: Group,
    disks: u32,
    size: u32,
    /// Times of the first starts.
    starts: Vec<(u64, u32)>,
}

impl Fleet {
    fn new(losses: usize, seed: u64, disks: u32, diskless: u32, seeds: Vec<u32>) -> Fleet {
        let mut group = Group::without_processes(losses, seed, seeds);
        let size = disks + diskless;
        let first_start = group.now;
        let mut starts = Vec::new();
        for ip in 1..=size {
            group.machines.insert(ip, Machine::new(ip <= disks));
            starts.push((first_start + group.random_below(START_SPREAD_MS), ip));
        }
        Fleet { group, disks, size, starts }
    }

    /// Advances the time, and starts the machines whose time has come.
    fn run(&mut self, span: u64) {
        let end = self.group.now + span;
        while self.group.now < end {
            let now = self.group.now;
            let due: Vec<u32> = self.starts.iter().filter(|(at, _)| *at <= now).map(|(_, ip)| *ip).collect();
            due.into_iter().for_each(|ip| self.group.start(ip, true));
            self.starts.retain(|(at, _)| *at > now);
            self.group.run(1);
        }
    }

    /// Removes a machine for good; an empty one with the same role starts a second later at another address.
    fn replace(&mut self, ip: u32) {
        self.starts.retain(|(_, other)| *other != ip);
        self.group.remove(ip);
        self.run(1000);
        self.size += 1;
        self.group.machines.insert(self.size, Machine::new(ip <= self.disks));
        self.group.start(self.size, false);
    }

    /// Kills processes that have been started, and starts them again from their disks.
    fn restart(&mut self, ips: &[u32], down_ms: u64) {
        let is_running = |ip: &u32| self.group.machines.get(ip).is_some_and(|m| m.replica.is_some());
        let running: Vec<u32> = ips.iter().copied().filter(is_running).collect();
        running.iter().for_each(|ip| self.group.crash(*ip));
        self.run(down_ms);
        running.iter().for_each(|ip| self.group.start(*ip, false));
    }

    /// Separates the machines in `ips` from all others for a time.
    fn partition(&mut self, ips: &[u32], span: u64) {
        for inside in ips {
            for outside in (1..=self.size + 1).filter(|ip| !ips.contains(ip)) {
                self.group.partitioned.insert((*inside, outside));
                self.group.partitioned.insert((outside, *inside));
            }
        }
        self.run(span);
        self.group.partitioned.clear();
    }

    fn seeds_with_disk_are_written(&self) -> bool {
        let is_written = |machine: &Machine| machine.disk.hard_state.is_some() || machine.replica.is_none();
        self.group.machines.values().filter(|machine| machine.has_disk).all(is_written)
    }

    fn machines_with_disk(&self) -> BTreeSet<u32> {
        self.group.machines.iter().filter(|(_, m)| m.has_disk).map(|(ip, _)| *ip).collect()
    }

    /// The operator sends a change until it is acknowledged; fails after the bound.
    fn expect_acknowledgement(&mut self, context: &str) {
        let end = self.group.now + ACKNOWLEDGEMENT_MS;
        while self.group.now < end {
            if let Some(leader) = self.group.leader() {
                let id = self.group.propose(leader, 0, 1, vec![1]);
                self.run(OPERATOR_RETRY_MS);
                if matches!(self.group.calls[&id].ended, Some((_, ProposalResult::Committed))) {
                    return;
                }
            } else {
                self.run(10);
            }
        }
        panic!(
            "{context}: no change is acknowledged within {ACKNOWLEDGEMENT_MS} ms, voters {:?}",
            self.voters()
        );
    }

    fn voters(&self) -> Vec<String> {
        self.group
            .leading_replica()
            .map(|r| r.voters().iter().map(ToString::to_string).collect())
            .unwrap_or_default()
    }

    /// The end of every test: one group, which consists of the machines with a disk and has acknowledged a change.
    fn expect_one_group(&mut self, context: &str) {
        self.expect_acknowledgement(context);
        self.run(4000);
        assert_eq!(self.group.voting_machines(), self.machines_with_disk(), "{context}");
        let ips: Vec<u32> = self.group.machines.keys().copied().collect();
        assert!(ips.iter().all(|ip| self.group.revision(*ip) == 1), "{context}: a replica lacks the change");
        assert_eq!(self.group.check(), Vec::<String>::new(), "{context}");
    }
}

/// Guards against a core that never has a leader: the only seed with a disk was the whole initial group, and was lost.
#[test]
fn the_only_seed_with_a_disk_may_be_lost_at_any_moment() {
    for lost_at in (0..FAULT_PERIOD_MS).step_by(20) {
        let mut fleet = Fleet::new(1, lost_at + 1, 4, 4, vec![1, 6, 8]);
        fleet.run(lost_at);
        fleet.replace(1);
        fleet.expect_one_group(&format!("lost after {lost_at} ms"));
    }
}

/// Guards against a group that exists in memory alone: all its processes were killed before the first election.
#[test]
fn all_processes_with_a_disk_may_be_killed_once_their_first_write_is_durable() {
    for killed_at in (0..FAULT_PERIOD_MS).step_by(20) {
        let mut fleet = Fleet::new(1, killed_at + 1, 4, 0, vec![1, 2, 3]);
        fleet.run(killed_at);
        while !fleet.seeds_with_disk_are_written() {
            fleet.run(1);
        }
        fleet.restart(&[1, 2, 3, 4], 300);
        fleet.expect_one_group(&format!("killed after {killed_at} ms"));
    }
}

#[test]
fn seeds_without_disks_vote_until_machines_with_disks_have_taken_their_places() {
    for (seed, seeds) in (1..=60).zip([vec![4, 5, 6], vec![1, 5, 6], vec![1, 2, 6]].into_iter().cycle()) {
        let mut fleet = Fleet::new(1, seed, 3, 3, seeds.clone());
        fleet.expect_one_group(&format!("seeds {seeds:?}, {seed}"));
    }
}

/// Guards against a wait without an end for machines that do not exist.
#[test]
fn witnesses_are_removed_if_only_one_machine_has_a_disk() {
    for seed in 1..=30 {
        let mut fleet = Fleet::new(0, seed, 1, 2, vec![1, 2, 3]);
        fleet.expect_one_group(&format!("{seed}"));
    }
}

/// Guards against an acknowledgement that only replicas without a disk have stored.
#[test]
fn no_change_is_accepted_while_a_witness_is_a_voter() {
    for seed in 1..=60 {
        let mut fleet = Fleet::new(1, seed, 3, 2, vec![1, 4, 5]);
        while fleet.group.now < 8000 {
            fleet.run(20);
            let Some(leader) = fleet.group.leader() else { continue };
            let voters = fleet.group.leading_replica().map(|r| r.voters().to_vec()).unwrap_or_default();
            let has_witness =
                voters.iter().any(|v| v.ip > fleet.disks && v.incarnation == INITIAL_INCARNATION);
            let now = fleet.group.now;
            let is_refused = fleet.group.leading_replica().is_some_and(|r| r.may_have_witness(now));
            assert!(
                is_refused || !has_witness,
                "seed {seed}: the leader {leader} takes changes in {voters:?}"
            );
            // The reports of the machines without a disk have arrived, so that the replica itself refuses the change,
            // too.
            if has_witness && now > 2500 {
                let id = fleet.group.propose(leader, 0, 1, vec![1]);
                let result = fleet.group.calls[&id].ended.clone().map(|(_, result)| result);
                assert_eq!(result, Some(ProposalResult::Indeterminate), "seed {seed}: {voters:?}");
            }
        }
    }
}

/// Guards against a second group, and the loss of what the first one has acknowledged, if the platform says once more
/// that this is the first start: the seeds without a disk are a majority of the initial group.
#[test]
fn a_repeated_first_start_of_seeds_without_disks_forms_no_second_group() {
    for seed in 1..=100 {
        let mut fleet = Fleet::new(1, seed, 4, 4, vec![1, 5, 6]);
        fleet.expect_one_group(&format!("seed {seed}"));
        let ips: Vec<u32> = (1..=fleet.size).collect();
        ips.iter().for_each(|ip| fleet.group.crash(*ip));
        for ip in ips.iter().rev() {
            fleet.group.start(*ip, true);
            let pause = fleet.group.random_below(400);
            fleet.run(pause);
        }
        fleet.run(6000);
        assert_eq!(fleet.group.voting_machines(), fleet.machines_with_disk(), "seed {seed}");
        assert!(ips.iter().all(|ip| fleet.group.revision(*ip) == 1), "seed {seed}: the change is lost");
        assert_eq!(fleet.group.check(), Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against two groups: each side of a partition has a seed with a disk.
#[test]
fn seeds_on_both_sides_of_a_partition_form_one_group() {
    for seed in 1..=100 {
        let mut fleet = Fleet::new(1, seed, 4, 4, vec![1, 2, 7]);
        let side: Vec<u32> = [vec![1], vec![1, 3, 5], vec![7, 8], vec![1, 2]][seed as usize % 4].clone();
        fleet.partition(&side, 3000);
        fleet.expect_one_group(&format!("{side:?}, {seed}"));
    }
}

/// One fault of the first two seconds, drawn.
fn inject_drawn_fault(fleet: &mut Fleet) -> String {
    let at = fleet.group.random_below(FAULT_PERIOD_MS / 20) * 20;
    fleet.run(at);
    let victim = 1 + fleet.group.random_below(u64::from(fleet.size)) as u32;
    let down_ms = fleet.group.random_below(1000);
    let all_disks: Vec<u32> = (1..=fleet.disks).collect();
    let fault = match fleet.group.random_below(5) {
        0 => {
            fleet.replace(victim);
            "replaced"
        }
        1 => {
            fleet.restart(&[victim], down_ms);
            "restarted"
        }
        2 => {
            while !fleet.seeds_with_disk_are_written() {
                fleet.run(1);
            }
            fleet.restart(&all_disks, down_ms);
            "all with a disk restarted"
        }
        3 => {
            fleet.starts.retain(|(_, ip)| *ip != victim);
            fleet.group.crash(victim);
            fleet.group.wipe(victim);
            fleet.run(3000);
            fleet.group.start(victim, false);
            "lost its disk"
        }
        _ => {
            fleet.partition(&[victim], 3 * down_ms);
            fleet.restart(&[victim], down_ms);
            "partitioned, then restarted"
        }
    };
    format!("{victim} {fault} after {at} ms")
}

#[test]
fn one_group_is_formed_under_drawn_faults() {
    for seed in 1..=DRAWN_STARTS {
        let disks = 3 + seed as u32 % 6;
        let diskless = 3;
        let seeds_with_disk = 1 + (seed as u32 / 6) % 3;
        let seeds = (1..=seeds_with_disk).chain(disks + 1..=disks + 3 - seeds_with_disk).collect();
        let mut fleet = Fleet::new(1, seed, disks, diskless, seeds);
        let fault = inject_drawn_fault(&mut fleet);
        fleet.run(START_SPREAD_MS);
        fleet.expect_one_group(&format!(
            "seed {seed}, {disks} disks, {seeds_with_disk} among the seeds, {fault}"
        ));
    }
}
