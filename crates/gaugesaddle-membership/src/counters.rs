//! Counters since the start of the process.

/// Counters of datagrams and of the failure detector. They only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent, tags included.
    pub sent_bytes: u64,
    /// Datagrams received, valid or not.
    pub received: u64,
    /// Received datagrams that could not be decoded.
    pub malformed: u64,
    /// Received datagrams for another member, or from an address that is not the sender's.
    pub misaddressed: u64,
    /// Received datagrams without a valid tag.
    pub unauthenticated: u64,
    /// Received datagrams whose counter was received before or lies behind the replay window.
    pub replayed: u64,
    /// Received datagrams of a process that is not verified: it has not acknowledged a probe of this process.
    pub unverified: u64,
    /// Replies that were not sent because of the rate limit.
    pub rate_limited: u64,
    /// Probes of live members.
    pub probes: u64,
    /// Of these, probes without any acknowledgement, direct or indirect.
    pub failed_probes: u64,
    /// Wrong statuses of this process that it has refuted.
    pub refutations: u64,
    /// Stalls of this process.
    pub stalls: u64,
}
