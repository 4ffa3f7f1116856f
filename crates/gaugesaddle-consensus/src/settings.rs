//! Times and bounds of a replica.

/// Proposals and reads that wait at a leader; the operators have at most eight orders under way.
pub const MAX_PENDING: usize = 64;
/// Accepted configurations that are remembered for repeated orders: hundreds of changes a day, of which an operator
/// sends only the newest few again.
pub const MAX_ACCEPTED: usize = 512;
/// Replicas that vote; more would only slow each change.
pub const MAX_VOTERS: usize = 9;
/// Replicas that listen without a vote: a control process on each of the machines set aside, and room.
pub const MAX_LEARNERS: usize = 64;

/// Times in milliseconds of the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Between heartbeats of a leader.
    pub heartbeat_interval_ms: u64,
    /// Least silence of a leader before an election.
    pub election_timeout_ms: u64,
    /// A random part of this is added to it.
    pub election_jitter_ms: u64,
    /// Least time before an election of a replica that has just started and has heard nobody.
    pub first_election_timeout_ms: u64,
    /// Least time between two rounds of pre-votes while nobody leads, which cost nothing but messages.
    pub pre_vote_retry_ms: u64,
    /// A random part of this is added to it.
    pub pre_vote_jitter_ms: u64,
    /// A leader without answers of a majority for so long steps down.
    pub leader_lease_ms: u64,
    /// A write to the own disk that takes longer ends a leadership.
    pub disk_stall_ms: u64,
    /// A follower calls itself current for so long after the newest mark that its leader has echoed.
    pub follower_lease_ms: u64,
    /// A voter that has not answered for so long gives its place to a replica that waits for one: that one answers, and
    /// the other may come back as it did.
    pub replacement_timeout_ms: u64,
    /// A voter that has not answered for so long loses its vote also where nobody takes its place.
    pub removal_timeout_ms: u64,
    /// Silent voters without a successor are not removed below this number: the disks that must hold a change so that it
    /// survives the losses to be borne.
    pub min_voters: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat_interval_ms: 120,
            election_timeout_ms: 500,
            election_jitter_ms: 400,
            first_election_timeout_ms: 100,
            pre_vote_retry_ms: 120,
            pre_vote_jitter_ms: 250,
            leader_lease_ms: 450,
            disk_stall_ms: 1000,
            follower_lease_ms: 600,
            replacement_timeout_ms: 600,
            removal_timeout_ms: 2000,
            min_voters: 3,
        }
    }
}
