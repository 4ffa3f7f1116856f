//! A summary of the membership at one moment, with measures of its reliability.

use gaugesaddle_balancer::Micros;

/// Whether this process may be on the smaller side of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionStatus {
    /// More than half of the configured members are live.
    Majority,
    /// At most half of the configured members are live, but more than half of the known ones that did not depart: the
    /// tier is small or still starting.
    Small,
    /// At least half of the known members that did not depart are dead: this process may be on the smaller side of a
    /// partition, and the other side may decide differently.
    Partitioned,
}

impl PartitionStatus {
    /// The name in log lines and in the published state; operators' tools read it.
    pub fn name(self) -> &'static str {
        match self {
            PartitionStatus::Majority => "most",
            PartitionStatus::Small => "small",
            PartitionStatus::Partitioned => "torn",
        }
    }
}

/// The membership at one moment. This process counts as a live member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Configured members.
    pub configured: usize,
    /// Live members, suspects included.
    pub live: usize,
    /// Suspects.
    pub suspect: usize,
    /// Known members that are dead.
    pub dead: usize,
    /// Members that announced their departure.
    pub departed: usize,
    /// Configured members without a status: they have not acknowledged a probe, or their status was removed after the
    /// retention time.
    pub unknown: usize,
    /// Time since the set of live members last changed.
    pub since_change: Micros,
    /// Time since the last acknowledgement of any probe of this process. Much more than a few probe intervals means
    /// that this process is isolated.
    pub since_ack: Micros,
    /// Time since this process last resumed after a stall, or since its start. Until it has probed the other members
    /// again, its information about them is from before that.
    pub since_stall: Micros,
    /// Multiplier of this process's own time-outs, 1 (healthy) to 4.
    pub health_multiplier: u32,
}

impl View {
    /// More than half of the configured members are live.
    pub fn has_majority_of_configured(&self) -> bool {
        self.live * 2 > self.configured
    }

    /// More than half of the members that are known and did not depart are live.
    pub fn has_majority_of_known(&self) -> bool {
        self.live > self.dead
    }

    /// Distinguishes a small tier from a partitioned one.
    pub fn partition_status(&self) -> PartitionStatus {
        if !self.has_majority_of_known() {
            PartitionStatus::Partitioned
        } else if self.has_majority_of_configured() {
            PartitionStatus::Majority
        } else {
            PartitionStatus::Small
        }
    }
}

#[cfg(test)]
mod tests;
