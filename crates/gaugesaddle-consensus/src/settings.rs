//! Times and bounds of a replica.

/// Proposals and reads that wait at a leader; the operators have at most eight orders under way.
pub const MOST_PENDING: usize = 64;
/// Accepted configurations that are remembered for repeated orders: hundreds of changes a day, of which an operator
/// sends only the newest few again.
pub const MOST_ACCEPTED: usize = 512;
/// Replicas that vote; more would only slow each change.
pub const MOST_VOTERS: usize = 9;
/// Replicas that listen without a vote: a control process on each of the machines set aside, and room.
pub const MOST_LEARNERS: usize = 64;

/// Times in milliseconds of the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Between heartbeats of a leader.
    pub heartbeat: u64,
    /// Least silence of a leader before an election.
    pub election: u64,
    /// A random part of this is added to it.
    pub election_spread: u64,
    /// Least time before an election of a replica that has just started and has heard nobody.
    pub first_election: u64,
    /// Least time between two rounds of pre-votes while nobody leads, which cost nothing but messages.
    pub retry: u64,
    /// A random part of this is added to it.
    pub retry_spread: u64,
    /// A leader without answers of a majority for so long steps down.
    pub lease: u64,
    /// A write to the own disk that takes longer ends a leadership.
    pub disk: u64,
    /// A follower calls itself current for so long after the newest mark that its leader has echoed.
    pub follower_lease: u64,
    /// A voter that has not answered for so long gives its place to a replica that waits for one: that one answers, and
    /// the other may come back as it did.
    pub quiet: u64,
    /// A voter that has not answered for so long loses its vote also where nobody takes its place.
    pub silence: u64,
    /// Silent voters without a successor are not removed below this number: the disks that must hold a change so that it
    /// survives the losses to be borne.
    pub least_voters: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat: 120,
            election: 500,
            election_spread: 400,
            first_election: 100,
            retry: 120,
            retry_spread: 250,
            lease: 450,
            disk: 1000,
            follower_lease: 600,
            quiet: 600,
            silence: 2000,
            least_voters: 3,
        }
    }
}
