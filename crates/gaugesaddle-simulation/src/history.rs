//! The externally observed history of a run, and the rules that it must satisfy.

use crate::Millis;
use gaugesaddle_config::ConfigPatch;
use gaugesaddle_protocol::{ChangeBody, Configuration, LogPosition, ReplicaId};
use std::collections::BTreeMap;
use std::fmt;

/// Deadline after the acknowledgement of a change by which it is in force at every connected proxy.
pub const APPLY_DEADLINE_MS: Millis = 2000;
/// Deadline after the acknowledgement of a departure by which no connected proxy uses the backend.
pub const DRAIN_DEADLINE_MS: Millis = 2000;
/// A process that reports itself fresh has everything that was committed this long before: a follower's lease, plus the
/// rounding of clocks to milliseconds.
pub const FOLLOWER_LEASE_MS: Millis = 605;

/// Time after the acknowledgement of a revocation for which a key may be used in a fail-closed deployment.
pub const REVOCATION_DEADLINE_MS: Millis = 5000;
/// Time for which a proxy relies on a proof of freshness: shorter than [`REVOCATION_DEADLINE_MS`], since clocks drift.
pub const PROOF_VALIDITY_MS: Millis = 4500;

/// A violated rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas led in the same term.
    TwoLeaders {
        /// The term.
        term: u64,
        /// The first leader.
        first: ReplicaId,
        /// The second leader.
        second: ReplicaId,
    },
    /// Two configurations were committed at the same log position.
    ConflictingCommits {
        /// The log position.
        position: LogPosition,
    },
    /// A later log position has a lower revision.
    RevisionDecreased {
        /// The log position.
        position: LogPosition,
        /// The revision.
        revision: u64,
        /// The revision before it.
        previous: u64,
    },
    /// A confirmed change was not committed.
    ConfirmedButLost {
        /// The revision.
        revision: u64,
    },
    /// A rejected change was committed.
    RejectedButCommitted {
        /// The revision.
        revision: u64,
    },
    /// A change was both confirmed and rejected.
    ConfirmedAndRejected {
        /// The revision.
        revision: u64,
    },
    /// Two different changes were confirmed with the same base, or with the same revision.
    ConflictingConfirmations {
        /// The base revision of the second.
        base: u64,
        /// The revision.
        revision: u64,
    },
    /// A read returned a lower revision than one that was confirmed, or read, before it began.
    StaleRead {
        /// The returned revision.
        returned: u64,
        /// The minimum revision.
        expected: u64,
    },
    /// A process reported itself fresh but lacked a state committed more than [`FOLLOWER_LEASE_MS`] before.
    FreshButStale {
        /// Address of its machine.
        ip: u32,
        /// Time in ms.
        at: Millis,
    },
    /// A connected proxy did not have a confirmed change in force by the deadline.
    NotApplied {
        /// The proxy.
        proxy: u32,
        /// Time in ms.
        at: Millis,
        /// The revision.
        revision: u64,
        /// The minimum revision.
        expected: u64,
    },
    /// The first configuration of a proxy was not current when it was requested.
    StaleFirstConfiguration {
        /// The proxy.
        proxy: u32,
        /// Time in ms.
        at: Millis,
    },
    /// A proxy could use keys of a configuration that was replaced before the revocation deadline.
    RevokedKeysInUse {
        /// The proxy.
        proxy: u32,
        /// Time in ms.
        at: Millis,
        /// The revision.
        revision: u64,
        /// The minimum revision.
        expected: u64,
    },
    /// A proxy replaced its configuration by an older one.
    RevisionRegressed {
        /// The proxy.
        proxy: u32,
        /// Time in ms.
        at: Millis,
    },
    /// A connected proxy would use a backend after the deadline of its acknowledged departure.
    NotDrained {
        /// The proxy.
        proxy: u32,
        /// Time in ms.
        at: Millis,
        /// The backend.
        backend: String,
    },
    /// The fleet did not recover in the time without faults at the end of the run.
    NoRecovery {
        /// The condition that was not met.
        failure: RecoveryFailure,
    },
}

/// A condition of recovery that was not met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryFailure {
    /// No change was confirmed.
    NoChangeConfirmed,
    /// A proxy does not have the newest confirmed configuration.
    ProxyLacksConfiguration,
    /// A proxy does not use a backend that serves.
    ProxyLacksBackend,
    /// No process leads.
    NoLeader,
    /// A voter is not among the running machines with a disk.
    VoterNotRunning,
    /// A running machine with a disk is not a voter.
    MachineNotVoter,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Final outcome of a change for its operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Confirmed.
    Confirmed,
    /// Rejected, as a conflict or as invalid.
    Rejected,
    /// Abandoned without a conclusive answer.
    Abandoned,
}

/// A change, with all its attempts.
#[derive(Clone, Debug)]
pub struct ChangeRecord {
    /// The revision that it is based on.
    pub base: u64,
    /// Its own revision.
    pub revision: u64,
    /// The full document or patch.
    pub body: ChangeBody,
    /// Time of the first attempt.
    pub begun: Millis,
    /// Time and outcome of its end; `None` while it is in progress.
    pub ended: Option<(Millis, ChangeOutcome)>,
}

impl ChangeRecord {
    fn is_confirmed(&self) -> bool {
        matches!(self.ended, Some((_, ChangeOutcome::Confirmed)))
    }

    /// Whether two records are of one change, sent by two operators.
    fn is_same_as(&self, other: &ChangeRecord) -> bool {
        self.base == other.base && self.body == other.body
    }

    /// The document that results from the change, given the committed documents by revision; `None` if its base was
    /// never committed or the patch cannot be applied.
    fn resulting_document(&self, committed: &BTreeMap<u64, &Vec<u8>>) -> Option<Vec<u8>> {
        match &self.body {
            ChangeBody::Full(document) => Some(document.clone()),
            ChangeBody::Patch(patch) => {
                let base = if self.base == 0 { &[] } else { committed.get(&self.base)?.as_slice() };
                ConfigPatch::parse(patch).ok()?.apply(base).ok()
            }
        }
    }
}

#[derive(Clone, Debug)]
struct ReadRecord {
    begun: Millis,
    ended: Option<ReadResult>,
}

#[derive(Clone, Copy, Debug)]
struct ReadResult {
    at: Millis,
    revision: u64,
}

#[derive(Clone, Debug)]
struct CommittedState {
    first_seen: Millis,
    revision: u64,
    document: Vec<u8>,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Changes, by the time of their first attempt.
    pub changes: Vec<ChangeRecord>,
    reads: Vec<ReadRecord>,
    /// The first observed leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    committed: BTreeMap<LogPosition, CommittedState>,
    violations: Vec<Violation>,
}

impl History {
    /// Records a violation that was observed during the run.
    pub fn record_violation(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Records the start of a read; returns its index.
    pub fn begin_read(&mut self, now: Millis) -> usize {
        self.reads.push(ReadRecord { begun: now, ended: None });
        self.reads.len() - 1
    }

    /// Records the result of a read; `None` before the first configuration.
    pub fn end_read(&mut self, now: Millis, index: usize, configuration: Option<&Configuration>) {
        let revision = configuration.map_or(0, |configuration| configuration.revision);
        self.reads[index].ended = Some(ReadResult { at: now, revision });
    }

    /// Records that a replica leads in a term.
    pub fn record_leader(&mut self, term: u64, replica: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(replica);
        if first != replica {
            self.record_violation(Violation::TwoLeaders { term, first, second: replica });
        }
    }

    /// Number of terms with a leader.
    pub fn terms_with_leader(&self) -> usize {
        self.leaders.len()
    }

    /// Records a configuration that a process found to be committed.
    pub fn record_committed(&mut self, now: Millis, configuration: Configuration) {
        let Configuration { position, revision, document } = configuration;
        let state = CommittedState { first_seen: now, revision, document };
        let first = self.committed.entry(position).or_insert_with(|| state.clone());
        if (first.revision, &first.document) != (state.revision, &state.document) {
            self.record_violation(Violation::ConflictingCommits { position });
        }
    }

    /// Checks an answer in which a process reports itself fresh; `position` is its newest log position.
    pub fn check_fresh_answer(&mut self, now: Millis, ip: u32, position: Option<LogPosition>) {
        if self.newest_committed_before(now) > position {
            self.record_violation(Violation::FreshButStale { ip, at: now });
        }
    }

    /// Checks the first configuration of a proxy, which answers a call made at `requested_at`.
    pub fn check_first_configuration(
        &mut self, now: Millis, proxy: u32, requested_at: Millis, position: Option<LogPosition>,
    ) {
        if self.newest_committed_before(requested_at) > position {
            self.record_violation(Violation::StaleFirstConfiguration { proxy, at: now });
        }
    }

    /// The newest log position that was known to be committed more than [`FOLLOWER_LEASE_MS`] before a time.
    fn newest_committed_before(&self, time: Millis) -> Option<LogPosition> {
        let committed =
            self.committed.iter().filter(|(_, state)| state.first_seen + FOLLOWER_LEASE_MS < time);
        committed.map(|(position, _)| *position).max()
    }

    /// The highest revision that was confirmed before a time.
    pub fn newest_confirmed_before(&self, time: Millis) -> u64 {
        let is_confirmed = |change: &&ChangeRecord| matches!(change.ended, Some((at, ChangeOutcome::Confirmed)) if at < time);
        self.changes.iter().filter(is_confirmed).map(|change| change.revision).max().unwrap_or(0)
    }

    /// Number of confirmed changes.
    pub fn confirmed_changes(&self) -> usize {
        self.changes.iter().filter(|change| change.is_confirmed()).count()
    }

    /// All violations: those recorded during the run, and those found in the complete history.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = self.violations.clone();
        self.check_revisions(&mut violations);
        self.check_changes(&mut violations);
        self.check_reads(&mut violations);
        violations
    }

    fn check_revisions(&self, violations: &mut Vec<Violation>) {
        let mut previous = 0;
        for (position, state) in &self.committed {
            if state.revision < previous {
                violations.push(Violation::RevisionDecreased {
                    position: *position,
                    revision: state.revision,
                    previous,
                });
            }
            previous = state.revision;
        }
    }

    fn check_changes(&self, violations: &mut Vec<Violation>) {
        let committed: BTreeMap<u64, &Vec<u8>> =
            self.committed.values().map(|state| (state.revision, &state.document)).collect();
        let mut first_by_base: BTreeMap<u64, &ChangeRecord> = BTreeMap::new();
        let mut first_by_revision: BTreeMap<u64, &ChangeRecord> = BTreeMap::new();
        for change in &self.changes {
            let Some((_, outcome)) = change.ended else { continue };
            let document = change.resulting_document(&committed);
            let revision = change.revision;
            let is_committed = document.is_some() && committed.get(&revision).copied() == document.as_ref();
            match outcome {
                ChangeOutcome::Confirmed => {
                    if !is_committed {
                        violations.push(Violation::ConfirmedButLost { revision });
                    }
                    let same_base = *first_by_base.entry(change.base).or_insert(change);
                    let same_revision = *first_by_revision.entry(revision).or_insert(change);
                    if !change.is_same_as(same_base) || !change.is_same_as(same_revision) {
                        violations.push(Violation::ConflictingConfirmations { base: change.base, revision });
                    }
                }
                ChangeOutcome::Rejected => {
                    let mut same = self.changes.iter().filter(|other| change.is_same_as(other));
                    if same.any(ChangeRecord::is_confirmed) {
                        violations.push(Violation::ConfirmedAndRejected { revision });
                    } else if is_committed
                        && !self.may_result_from_other_change(document.as_ref(), &committed)
                    {
                        violations.push(Violation::RejectedButCommitted { revision });
                    }
                }
                ChangeOutcome::Abandoned => {}
            }
        }
    }

    /// Whether a committed document may result from another change, which was not rejected.
    fn may_result_from_other_change(
        &self, document: Option<&Vec<u8>>, committed: &BTreeMap<u64, &Vec<u8>>,
    ) -> bool {
        let mut same_result =
            self.changes.iter().filter(|change| change.resulting_document(committed).as_ref() == document);
        same_result.any(|change| !matches!(change.ended, Some((_, ChangeOutcome::Rejected))))
    }

    fn check_reads(&self, violations: &mut Vec<Violation>) {
        let results: Vec<(Millis, ReadResult)> =
            self.reads.iter().filter_map(|read| Some((read.begun, read.ended?))).collect();
        for (begun, result) in &results {
            let earlier_reads = results.iter().filter(|(_, earlier)| earlier.at < *begun);
            let read = earlier_reads.map(|(_, earlier)| earlier.revision).max().unwrap_or(0);
            let expected = self.newest_confirmed_before(*begun).max(read);
            if result.revision < expected {
                violations.push(Violation::StaleRead { returned: result.revision, expected });
            }
        }
    }
}
