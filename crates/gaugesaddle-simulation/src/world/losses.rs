//! Whether a deployment must tolerate another loss at a time.

use super::{Machine, World};
use crate::fault::Target;
use crate::Millis;
use gaugesaddle_protocol::ReplicaId;

/// A machine counts as lost for this time after the end of its fault, or after it was added, while it catches up.
pub(super) const CATCH_UP_MS: Millis = 4000;
/// One in this number of faults that exceed the tolerated losses, but destroy no disk, is injected nevertheless: the
/// service may become unavailable, but no confirmed change may be lost.
const EXCESSIVE_ONE_IN: u64 = 4;

/// Whether a fault needs a machine with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiskRequirement {
    Any,
    WithDisk,
}

impl World {
    /// Returns the machine that a target designates if it runs and meets the requirement, otherwise the first one that
    /// does.
    pub(super) fn resolve(&self, target: Target, disk: DiskRequirement) -> Option<u32> {
        let is_candidate = |machine: &Machine| {
            let has_required_disk = machine.has_disk || disk == DiskRequirement::Any;
            machine.process.is_some() && !machine.is_removed && has_required_disk
        };
        let running = self.machines.iter().filter(|(_, machine)| is_candidate(machine));
        let running: Vec<u32> = running.map(|(ip, _)| *ip).collect();
        let named = match target {
            Target::Leader => self.leader(),
            Target::Acknowledged => self.last_acknowledger,
            Target::Number(number) => running.get(number as usize % running.len().max(1)).copied(),
        };
        named.filter(|ip| running.contains(ip)).or_else(|| running.first().copied())
    }

    /// Counts a machine as lost for a duration, unless the loss exceeds the tolerated ones; returns whether it was
    /// counted. A fraction of the excessive losses is admitted, see [`EXCESSIVE_ONE_IN`].
    pub(super) fn try_lose_machine(&mut self, ip: u32, duration: Millis) -> bool {
        let now = self.now;
        let is_lost = |machine: &Machine| machine.has_disk && now < machine.lost_until;
        let others = self.machines.iter().filter(|(other, _)| **other != ip);
        let lost_others = others.filter(|(_, machine)| is_lost(machine)).count() as u32;
        let has_disk = self.machines.get(&ip).is_some_and(|machine| machine.has_disk);
        let is_excessive = has_disk && lost_others + 1 > self.deployment.max_lost_machines;
        if is_excessive && self.random_below(EXCESSIVE_ONE_IN) != 0 {
            return false;
        }
        self.count_as_lost(ip, duration);
        self.disturb(duration);
        true
    }

    pub(super) fn count_as_lost(&mut self, ip: u32, duration: Millis) {
        let until = self.now + duration + CATCH_UP_MS;
        if let Some(machine) = self.machines.get_mut(&ip) {
            machine.lost_until = machine.lost_until.max(until);
        }
    }

    /// Whether the deployment must tolerate the loss of another disk now.
    ///
    /// It must if two numbers are below [`Deployment::max_lost_machines`](crate::Deployment::max_lost_machines): the
    /// lost disks whose machines do not vote again yet, and the voters whose disk is lost. Voters are those of the
    /// membership that was last known to be committed. A replacement counts as a lost disk until the replaced machine is
    /// removed and its successor votes; if the successor's disk is lost meanwhile, that is another one, since the replaced
    /// machine goes nevertheless. A removed machine whose replica reported that it had left does not count, whether or not it
    /// is still a voter.
    pub(super) fn may_lose_disk(&mut self) -> bool {
        self.update_voters();
        let voters = self.voters.clone();
        let present = self.machines.values().filter(|machine| !machine.is_removed);
        let replicas: Vec<ReplicaId> = present.filter_map(|machine| machine.replica).collect();
        let left = self.machines.values().filter(|machine| machine.has_left);
        let left: Vec<ReplicaId> = left.filter_map(|machine| machine.replica).collect();
        let is_lost = |voter: &&ReplicaId| !replicas.contains(voter) && !left.contains(voter);
        let lost_voters = voters.iter().filter(is_lost).count() as u32;
        let has_all_voters = !voters.is_empty() && lost_voters == 0;
        let removed: Vec<u32> =
            self.machines.iter().filter(|(_, machine)| machine.is_removed).map(|(ip, _)| *ip).collect();
        let mut lost_disks = 0;
        for machine in self.machines.values_mut() {
            let votes_again = machine.replica.is_some_and(|id| voters.contains(&id));
            let is_predecessor_removed = machine.predecessor.is_none_or(|old| removed.contains(&old));
            let is_over = has_all_voters && votes_again && is_predecessor_removed;
            let now = self.now;
            for counted_until in [&mut machine.disk_lost_until, &mut machine.replacement_until] {
                counted_until.take_if(|until| is_over && now >= *until);
                lost_disks += u32::from(counted_until.is_some());
            }
        }
        lost_voters.max(lost_disks) < self.deployment.max_lost_machines
    }

    fn update_voters(&mut self) {
        let leader = self.leader().and_then(|ip| self.machines.get(&ip)?.process.as_ref());
        let replica = leader.and_then(|process| process.replica.as_ref());
        if let Some(replica) = replica.filter(|replica| replica.is_membership_committed()) {
            self.voters = replica.voters().to_vec();
        }
    }

    /// Extends the disturbance to a duration from now: the rules for connected proxies are not checked meanwhile.
    pub(super) fn disturb(&mut self, duration: Millis) {
        self.disturbed_until = self.disturbed_until.max(self.now + duration);
    }
}
