//! The leader's record of the other replicas.

use gaugesaddle_protocol::{ClockReading, LogPosition};

/// The state last sent to a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentState {
    pub position: LogPosition,
    pub sent_ms: u64,
}

/// A heartbeat that was sent to all replicas.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentHeartbeat {
    pub sequence: u64,
    pub sent_ms: u64,
}

/// Replication progress of another replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// Newest state of the current term that is durable on the replica (matchIndex in the thesis).
    pub matched: LogPosition,
    /// Newest heartbeat that the replica has acknowledged.
    pub acknowledged_sequence: u64,
    /// Send time of that heartbeat, in milliseconds on the leader's clock.
    pub contact_ms: Option<u64>,
    /// Newest state that the replica's present process has received, durable or not; `None` until the process reports
    /// one.
    pub received: Option<LogPosition>,
    /// The state last sent to the replica.
    pub sent: Option<SentState>,
    /// The newest clock reading received from the replica; the next heartbeat echoes it.
    pub clock_reading: Option<ClockReading>,
    /// The replica's present process has requested to leave the group.
    pub is_departing: bool,
}

/// A replica that does not vote and receives every state (thesis 4.2.1).
#[derive(Clone, Copy, Debug)]
pub(crate) struct Learner {
    /// Arrival time of its latest `Join`, in milliseconds.
    pub joined_ms: u64,
    /// Whether it has a disk and may become a voter.
    pub durable: bool,
}
