//! Majorities: of one group of voters, or of both groups during joint consensus (thesis 4.3).

use gaugesaddle_protocol::{ReplicaId, State};

/// The groups of voters; a decision requires a majority of each.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quorum<'a> {
    voters: &'a [ReplicaId],
    /// The voters before the membership change in progress; empty between changes.
    outgoing: &'a [ReplicaId],
}

impl<'a> Quorum<'a> {
    /// The quorum that the membership in a state requires.
    pub fn of(state: &'a State) -> Quorum<'a> {
        Quorum { voters: &state.voters, outgoing: &state.outgoing }
    }

    /// Whether a majority of the voters and, during a membership change, a majority of the outgoing voters agree.
    pub fn is_reached(self, agrees: impl Fn(&ReplicaId) -> bool) -> bool {
        let has_majority = |group: &[ReplicaId]| {
            let agreeing = group.iter().filter(|voter| agrees(voter)).count();
            agreeing > group.len() / 2
        };
        if self.voters.is_empty() || !has_majority(self.voters) {
            return false;
        }
        self.outgoing.is_empty() || has_majority(self.outgoing)
    }

    /// The highest number that a quorum of voters has reached; 0 without voters.
    pub fn highest_reached(self, number_of: impl Fn(&ReplicaId) -> u64) -> u64 {
        let reached_by_majority = |group: &[ReplicaId]| {
            let mut numbers: Vec<u64> = group.iter().map(&number_of).collect();
            numbers.sort_unstable_by(|a, b| b.cmp(a));
            numbers.get(group.len() / 2).copied().unwrap_or(0)
        };
        let reached = reached_by_majority(self.voters);
        if self.outgoing.is_empty() {
            reached
        } else {
            reached.min(reached_by_majority(self.outgoing))
        }
    }
}
