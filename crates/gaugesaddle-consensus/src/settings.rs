//! Time-outs and limits of a replica.

/// Limit on a leader's queued proposals, and on its unconfirmed reads and rejections. Operators have at most eight
/// requests in flight.
pub const MAX_PENDING: usize = 64;
/// Number of accepted changes that are retained to recognize repeated requests. There are hundreds of changes a day,
/// and operators repeat only the newest few.
pub const MAX_ACCEPTED: usize = 512;
/// Maximum number of voters. More voters would only slow down each commit.
pub const MAX_VOTERS: usize = 9;
/// Maximum number of learners: one control process on each machine reserved for control processes, with headroom.
pub const MAX_LEARNERS: usize = 64;

/// Time-outs in milliseconds on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Minimum election time-out: time without a heartbeat after which a follower requests pre-votes.
    pub election_timeout_ms: u64,
    /// Upper limit of the random part of the election time-out.
    pub election_jitter_ms: u64,
    /// Minimum of the first election time-out after the start of a replica. At most `election_timeout_ms`.
    pub first_election_timeout_ms: u64,
    /// Minimum interval between two rounds of pre-votes while there is no leader. Pre-votes need no disk writes, only
    /// messages.
    pub pre_vote_retry_ms: u64,
    /// Upper limit of the random part of that interval.
    pub pre_vote_jitter_ms: u64,
    /// A leader steps down when no quorum has acknowledged a heartbeat sent within this time.
    pub leader_lease_ms: u64,
    /// A leader steps down when one of its own disk writes takes longer than this time.
    pub disk_stall_ms: u64,
    /// Time for which a follower is fresh after the newest of its clock readings that the leader has echoed.
    pub follower_lease_ms: u64,
    /// A voter that has not responded for this time is replaced by a learner that has caught up. The replaced voter can
    /// rejoin as a learner.
    pub replacement_timeout_ms: u64,
    /// A voter that has not responded for this time is removed even without a replacement.
    pub removal_timeout_ms: u64,
    /// Voters are not removed without a replacement at or below this number: the group size at which a committed change
    /// survives the tolerated number of lost disks.
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
