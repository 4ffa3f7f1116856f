//! Majorities, of one group of voters or of two while the group changes.

use gaugesaddle_protocol::{ReplicaId, State};

/// Who must agree before something is decided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quorum<'a> {
    voters: &'a [ReplicaId],
    outgoing: &'a [ReplicaId],
}

impl<'a> Quorum<'a> {
    /// The quorum of a state.
    pub fn of(state: &'a State) -> Quorum<'a> {
        Quorum { voters: &state.voters, outgoing: &state.outgoing }
    }

    /// Whether those that agree are a majority of the voters and, during a change, of the outgoing ones.
    pub fn is_reached(self, agrees: impl Fn(&ReplicaId) -> bool) -> bool {
        let reached = |group: &[ReplicaId]| group.iter().filter(|v| agrees(v)).count() > group.len() / 2;
        !self.voters.is_empty()
            && reached(self.voters)
            && (self.outgoing.is_empty() || reached(self.outgoing))
    }

    /// The highest number that the numbers of a quorum reach.
    pub fn reaches(self, number: impl Fn(&ReplicaId) -> u64) -> u64 {
        let reached = |group: &[ReplicaId]| {
            let mut numbers: Vec<u64> = group.iter().map(&number).collect();
            numbers.sort_unstable_by(|a, b| b.cmp(a));
            numbers.get(group.len() / 2).copied().unwrap_or(0)
        };
        if self.outgoing.is_empty() {
            reached(self.voters)
        } else {
            reached(self.voters).min(reached(self.outgoing))
        }
    }
}
