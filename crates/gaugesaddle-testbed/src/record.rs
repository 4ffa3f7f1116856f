//! The records of a run. All stand-ins run in one process and use one monotonic clock, so that records of different
//! stand-ins are in the order of their events. `tests/golden_documents.rs` checks their serialized form.

use crate::datagrams::Links;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of records of a run; further ones are dropped and counted, and the audit then gives no verdict.
const MAX_RECORDS: usize = 4_000_000;

/// Microseconds since the start of the run.
pub type Moment = u64;

/// State of a node in the list of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// It accepts requests.
    Ready,
    /// It completes its requests in flight.
    Draining,
    /// It has left.
    #[serde(rename = "gone")]
    Departed,
}

/// One process of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Boot {
    /// Number of the node in the fleet.
    pub node: usize,
    /// Number of the process among the successive processes of the node.
    pub boot: u32,
}

/// An event of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A proxy's process was started.
    ProxyUp {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy was killed (SIGKILL).
    ProxyKilled {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy was stopped (SIGSTOP).
    ProxyStopped {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy was continued (SIGCONT).
    ProxyContinued {
        /// The proxy.
        proxy: usize,
    },
    /// The network between proxies has changed.
    Network {
        /// Its state from now on.
        links: Links,
    },
    /// A proxy was asked to end (SIGTERM).
    ProxyTerminated {
        /// The proxy.
        proxy: usize,
    },
    /// A proxy's process has ended.
    ProxyEnded {
        /// The proxy.
        proxy: usize,
        /// Whether it ended with exit code 0 within its grace period.
        #[serde(rename = "well")]
        clean: bool,
    },
    /// A node's process was started.
    NodeUp {
        /// The process.
        boot: Boot,
        /// Its zone.
        #[serde(rename = "hall")]
        zone: usize,
        /// Its full capacity, in cores of standard speed.
        speed: f64,
        /// Fraction of the capacity at its start; 1: no slow start.
        #[serde(rename = "cold_from")]
        initial_capacity: f64,
        /// Duration of slow start, in microseconds.
        #[serde(rename = "ramp_us")]
        slow_start_us: u64,
    },
    /// A node failed because it received too much work during slow start.
    NodeFell {
        /// The process.
        boot: Boot,
    },
    /// A node's process has ended.
    NodeDown {
        /// The process.
        boot: Boot,
    },
    /// A change of a node became available to a proxy.
    Published {
        /// The proxy.
        proxy: usize,
        /// The process of the node.
        boot: Boot,
        /// Its state.
        #[serde(rename = "standing")]
        state: NodeState,
    },
    /// Discovery has sent a change of a node to a proxy.
    #[serde(rename = "told")]
    Delivered {
        /// The proxy.
        proxy: usize,
        /// The process of the node.
        boot: Boot,
        /// Its state.
        #[serde(rename = "standing")]
        state: NodeState,
    },
    /// A client has written the last byte of a request.
    #[serde(rename = "asked")]
    RequestSent {
        /// The proxy.
        proxy: usize,
        /// Id of this attempt.
        id: u64,
        /// Id of the request's first attempt.
        first: u64,
        /// The class.
        class: usize,
        /// Idempotency key.
        key: u64,
        /// Deadline of the client, in microseconds from now.
        patience_us: u64,
        /// Whether it is the first request on its connection.
        fresh: bool,
    },
    /// No proxy could be reached.
    Unreachable {
        /// Id of the attempt.
        id: u64,
        /// Id of the request's first attempt.
        first: u64,
        /// The class.
        class: usize,
    },
    /// A client has read the last byte of a response.
    Answered {
        /// Id of the attempt.
        id: u64,
        /// The status.
        status: u16,
        /// The number of the attempt at a node, from the body of a 200 response.
        attempt: Option<u64>,
        /// `Retry-After`, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// A client has read bytes that belong to no request.
    Surplus {
        /// Id of the last attempt on the connection.
        id: u64,
    },
    /// A client's connection ended before a complete response.
    Broken {
        /// Id of the attempt.
        id: u64,
        /// Bytes of the response that were read.
        bytes: usize,
    },
    /// No response was received until long after the deadline.
    Unanswered {
        /// Id of the attempt.
        id: u64,
    },
    /// The client disconnected before its response, on purpose.
    #[serde(rename = "left")]
    ClientDisconnected {
        /// Id of the attempt.
        id: u64,
    },
    /// A node has read the first byte of an attempt.
    Arriving {
        /// Number of the attempt in the run.
        attempt: u64,
        /// The process of the node.
        boot: Boot,
        /// The proxy.
        proxy: usize,
    },
    /// A node has read the last byte of an attempt, which may run from now on.
    #[serde(rename = "whole")]
    Received {
        /// The attempt.
        attempt: u64,
        /// Id of the client's attempt that it belongs to.
        id: u64,
        /// Its work, in microseconds on a standard core.
        work_us: u64,
    },
    /// A node rejected an attempt unprocessed.
    #[serde(rename = "turned")]
    Rejected {
        /// The attempt.
        attempt: u64,
    },
    /// An attempt took effect; one that its zone deduplicates does not.
    Effect {
        /// The attempt.
        attempt: u64,
        /// The idempotency key.
        key: u64,
    },
    /// A node has written its response.
    Replied {
        /// The attempt.
        attempt: u64,
        /// The status.
        status: u16,
    },
    /// A stand-in received unexpected data, or an operation of the test bed failed.
    #[serde(rename = "strange")]
    Unexpected {
        /// A description.
        text: String,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event.
    pub at: Moment,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// The journal of a run, shared by all stand-ins.
#[derive(Clone)]
pub struct Journal {
    start: Instant,
    unix_us: u64,
    records: Arc<Mutex<(Vec<Record>, u64)>>,
}

impl Journal {
    /// An empty journal whose clock starts now.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Journal {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Journal { start: Instant::now(), unix_us: unix.as_micros() as u64, records: Arc::default() }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        self.start.elapsed().as_micros() as u64
    }

    /// A moment as Unix time, in milliseconds.
    pub fn unix_ms(&self, at: Moment) -> u64 {
        (self.unix_us + at) / 1000
    }

    /// The start of the run as Unix time, in microseconds.
    pub fn start_unix_us(&self) -> u64 {
        self.unix_us
    }

    /// The instant of a moment.
    pub fn instant(&self, at: Moment) -> Instant {
        self.start + std::time::Duration::from_micros(at)
    }

    /// Appends an event with the present time.
    pub fn put(&self, event: Event) -> Moment {
        // The time is read under the lock, so that no record is older than the previous one.
        let mut guard = self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let at = self.now();
        if guard.0.len() < MAX_RECORDS {
            guard.0.push(Record { at, event });
        } else {
            guard.1 += 1;
        }
        at
    }

    /// Removes and returns all records, with the number of dropped ones.
    pub fn take(&self) -> (Vec<Record>, u64) {
        std::mem::take(&mut *self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Calls a function with the records from an index on.
    pub fn read<T>(&self, from: usize, with: impl FnOnce(&[Record]) -> T) -> T {
        let guard = self.records.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        with(guard.0.get(from..).unwrap_or(&[]))
    }
}
