//! What a leader knows of the other replicas.

use gaugesaddle_protocol::{ClockReading, LogPosition};

/// The state that a leader sent last to a replica.
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

/// A leader's view of another replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    /// Newest state of the current term that is durable there (the thesis's matchIndex).
    pub matched: LogPosition,
    /// Newest heartbeat that it has acknowledged.
    pub acknowledged_sequence: u64,
    /// When that heartbeat was sent, in milliseconds on the leader's clock.
    pub contact_ms: Option<u64>,
    /// Newest state that its present process has received, durable or not; `None` until it reports one.
    pub received: Option<LogPosition>,
    /// The state sent last.
    pub sent: Option<SentState>,
    /// The newest clock reading that it has sent; the next heartbeat echoes it.
    pub clock_reading: Option<ClockReading>,
}

/// A replica that does not vote and receives every state (thesis 4.2.1).
#[derive(Clone, Copy, Debug)]
pub(crate) struct Learner {
    /// When its latest `Join` arrived, in milliseconds.
    pub joined_ms: u64,
    /// Whether it has a disk and may become a voter.
    pub durable: bool,
}
