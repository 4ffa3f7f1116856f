//! Time-outs and limits of a replica.

/// Limit on the proposals, and on the reads and rejections, that wait at a leader. The operators have at most eight
/// requests under way.
pub const MAX_PENDING: usize = 64;
/// Accepted changes that are remembered to recognize repeated requests. There are hundreds of changes a day, and operators
/// repeat only the newest few.
pub const MAX_ACCEPTED: usize = 512;
/// Limit on the voters. More would only slow each change.
pub const MAX_VOTERS: usize = 9;
/// Limit on the learners: a control process on each of the machines set aside for it, with headroom.
pub const MAX_LEARNERS: usize = 64;

/// Time-outs in milliseconds on the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Least election time-out: time without a heartbeat after which a follower requests pre-votes.
    pub election_timeout_ms: u64,
    /// Upper limit of the random part of the election time-out.
    pub election_jitter_ms: u64,
    /// Least first election time-out of a replica that has just started. At most `election_timeout_ms`.
    pub first_election_timeout_ms: u64,
    /// Least interval between two requests for pre-votes while there is no leader. They cost messages only.
    pub pre_vote_retry_ms: u64,
    /// Upper limit of the random part of that interval.
    pub pre_vote_jitter_ms: u64,
    /// A leader steps down when no quorum has acknowledged a heartbeat sent within this time.
    pub leader_lease_ms: u64,
    /// A leader steps down when one of its own disk writes takes longer.
    pub disk_stall_ms: u64,
    /// How long a follower counts as fresh after the newest clock reading that its leader has echoed.
    pub follower_lease_ms: u64,
    /// A voter that has not responded for this time is replaced by a learner that has caught up. The learner responds, and
    /// the voter can return as a learner in its turn.
    pub replacement_timeout_ms: u64,
    /// A voter that has not responded for this time is removed even without a replacement.
    pub removal_timeout_ms: u64,
    /// Removal without replacement stops at this number of voters: the number of disks that must have a change for it to
    /// survive the tolerated losses.
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
