//! Bootstrap: the first group of voters, at the first start of all processes.
//!
//! All processes are configured with the same seeds, and each derives the same initial group from them without a
//! message: every seed is a voter with [`INITIAL_INCARNATION`]. The loss of a minority of the seeds at any moment after
//! that is a loss like any later one. A seed without a disk cannot remain a voter; it is a *witness*:
//!
//! ```text
//!  seed with a disk            voter, may lead
//!  seed without a disk         witness: votes and acknowledges from memory ---replaced or removed---> learner
//!  other machine with a disk   learner; campaigns if no seed leads in time, and takes the place of a witness if elected
//!  other machine without       learner
//! ```
//!
//! A witness campaigns only if it has a newer state than the initial one, which may be on witnesses alone, and
//! transfers the leadership to a voter with a disk. A leader replaces witnesses by learners with a disk, and removes
//! those for which there is none. It accepts no change of the configuration while a witness is a voter: a witness that
//! restarts has forgotten its votes and is another replica, so that the change could be lost with fewer disks than the
//! deployment tolerates.
//!
//! The initial state is written to the disk before anything else, so that a process that restarts during the bootstrap
//! continues it.

use crate::departure::LEARNER_DISCOVERY_MS;
use crate::settings::{MAX_LEARNERS, MAX_VOTERS};
use crate::{Output, Replica, Role, Settings, Storage};
use gaugesaddle_protocol::{HardState, LogPosition, ReplicaId, State};

/// Incarnation of the voters of the initial group.
pub const INITIAL_INCARNATION: u64 = 0;
/// Time for which a machine that is no seed waits for a seed to be elected before it campaigns.
const NON_SEED_ELECTION_DELAY_MS: u64 = 1000;
/// Time after an election for which a witness that no learner can replace remains a voter, since machines with a disk
/// may still be starting.
const WITNESS_RETENTION_MS: u64 = 3000;

/// A process that starts for the first time, together with all others.
#[derive(Clone, Copy, Debug)]
pub struct FirstStart<'a> {
    /// Identity of the replica if it is not a voter of the initial group.
    pub id: ReplicaId,
    /// Whether the process has a disk, which must be empty.
    pub has_disk: bool,
    /// IPv4 addresses of the seeds, in any order; the same at all processes. At most [`MAX_VOTERS`] are used.
    pub seeds: &'a [u32],
}

impl FirstStart<'_> {
    /// The voters of the initial group.
    fn voters(&self) -> Vec<ReplicaId> {
        let mut seeds = self.seeds.to_vec();
        seeds.sort_unstable();
        seeds.dedup();
        seeds.truncate(MAX_VOTERS);
        seeds.into_iter().map(|ip| ReplicaId { ip, incarnation: INITIAL_INCARNATION }).collect()
    }
}

impl Replica {
    /// Creates the replica of a process that starts for the first time. Later starts use [`Replica::new`] with the
    /// records of the disk, or with an empty state and a new identity.
    ///
    /// The seeds must be those of all other processes, and a machine must not start for the first time twice unless
    /// nothing was written to its disk: its replica could vote twice in one term.
    pub fn bootstrap(
        settings: Settings, start: FirstStart, now: u64, random: u64, out: &mut Vec<Output>,
    ) -> Replica {
        let voters = start.voters();
        let seed = voters.iter().find(|voter| voter.ip == start.id.ip);
        let storage = match (start.has_disk, seed) {
            (true, _) => Storage::Durable,
            (false, Some(_)) => Storage::Witness,
            (false, None) => Storage::Diskless,
        };
        let hard_state = HardState { id: seed.copied().unwrap_or(start.id), term: 0, voted_for: None };
        let voters = if storage == Storage::Diskless { Vec::new() } else { voters };
        let state = State { voters, ..State::default() };
        let mut replica = Replica::new(settings, hard_state, state, now, random, storage);
        if storage == Storage::Durable {
            replica.persist_state(now, out);
        }
        if !replica.is_voter() {
            replica.election_deadline += NON_SEED_ELECTION_DELAY_MS;
        }
        replica
    }

    /// Whether a voter may be a witness, so that a change of the configuration could be acknowledged from memory. A
    /// process that has just started does not know yet which machines have no disk.
    pub fn may_have_witness(&self, now: u64) -> bool {
        let is_initial = |voter: &ReplicaId| voter.incarnation == INITIAL_INCARNATION;
        let is_unknown = now < self.started_ms + LEARNER_DISCOVERY_MS
            && self.state.voters.iter().any(|voter| is_initial(voter) && *voter != self.hard_state.id);
        is_unknown || self.witness_index().is_some()
    }

    /// Whether this replica has the initial state, in which nothing was ever committed.
    pub(crate) fn has_initial_state(&self) -> bool {
        self.state.position == LogPosition::default() && !self.state.voters.is_empty()
    }

    /// Records whether a machine has a disk, as its replica reported.
    pub(crate) fn record_disk(&mut self, machine: u32, has_disk: bool) {
        if has_disk {
            self.diskless_machines.remove(&machine);
        } else if self.diskless_machines.len() < MAX_LEARNERS {
            self.diskless_machines.insert(machine);
        }
    }

    /// Whether a voter is known to be a witness.
    pub(crate) fn is_witness(&self, voter: &ReplicaId) -> bool {
        if *voter == self.hard_state.id {
            return self.storage == Storage::Witness;
        }
        voter.incarnation == INITIAL_INCARNATION && self.diskless_machines.contains(&voter.ip)
    }

    /// Index of a voter that is known to be a witness.
    pub(crate) fn witness_index(&self) -> Option<usize> {
        self.state.voters.iter().position(|voter| self.is_witness(voter))
    }

    /// Index of a witness that no learner has replaced in time.
    pub(crate) fn expired_witness_index(&self, now: u64) -> Option<usize> {
        let is_expired = self.role == Role::Leader && now >= self.elected_ms + WITNESS_RETENTION_MS;
        self.witness_index().filter(|_| is_expired)
    }
}
