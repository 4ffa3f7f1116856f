//! What stand-ins write down. All of them run in one process and stamp with one monotonic clock, so records of
//! different peers are in the order in which things happened there.

use crate::datagrams::Links;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Records beyond this many are dropped and counted: a run that needs more is too long for one audit.
const MOST: usize = 4_000_000;

/// A moment: microseconds since the start of the run.
pub type Moment = u64;

/// What a list says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It may be sent requests.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Gone,
}

/// One process of a node: its place in the fleet, and which start of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Boot {
    /// The place, from 0.
    pub node: usize,
    /// Its starts before this one.
    pub boot: u32,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A proxy's process was started.
    ProxyUp {
        /// Which.
        proxy: usize,
    },
    /// It was killed outright.
    ProxyKilled {
        /// Which.
        proxy: usize,
    },
    /// It was stopped (SIGSTOP).
    ProxyStopped {
        /// Which.
        proxy: usize,
    },
    /// It goes on (SIGCONT).
    ProxyContinued {
        /// Which.
        proxy: usize,
    },
    /// The network between proxies is like this from now on.
    Network {
        /// How.
        links: Links,
    },
    /// It was told to end (SIGTERM).
    ProxyTerminated {
        /// Which.
        proxy: usize,
    },
    /// Its process has ended.
    ProxyEnded {
        /// Which.
        proxy: usize,
        /// Its exit code said so, or it had been killed on purpose.
        well: bool,
    },
    /// A node's process was started.
    NodeUp {
        /// Which.
        boot: Boot,
        /// Its hall.
        hall: usize,
        /// Work that it does when warm, in microseconds of a standard core a microsecond.
        speed: f64,
        /// The part of it that it does at its start; 1: it starts warm.
        cold_from: f64,
        /// The time until it is warm, in microseconds.
        ramp_us: u64,
    },
    /// It was sent more than a cold node bears, and stays down.
    NodeFell {
        /// Which.
        boot: Boot,
    },
    /// Its process has ended.
    NodeDown {
        /// Which.
        boot: Boot,
    },
    /// The agent at a proxy holds news of a node: from now on it can be asked for.
    Published {
        /// At which proxy.
        proxy: usize,
        /// Of which node.
        boot: Boot,
        /// The news.
        standing: Standing,
    },
    /// The news was written to the proxy.
    Told {
        /// To which.
        proxy: usize,
        /// Of which node.
        boot: Boot,
        /// The news.
        standing: Standing,
    },
    /// A client has written the last byte of a request.
    Asked {
        /// To which proxy.
        proxy: usize,
        /// The request's own id.
        id: u64,
        /// The id of the first try; of a first try its own.
        first: u64,
        /// The class, by its number.
        class: usize,
        /// What the request is about; repeats of it are to have one effect.
        key: u64,
        /// How long the client waits, in microseconds.
        patience_us: u64,
        /// It is the first on its connection.
        fresh: bool,
    },
    /// No proxy could be reached.
    Unreachable {
        /// The request.
        id: u64,
        /// The id of the first try.
        first: u64,
        /// The class.
        class: usize,
    },
    /// The last byte of an answer came.
    Answered {
        /// To which request.
        id: u64,
        /// Its status.
        status: u16,
        /// The attempt that a 200 says it comes from.
        attempt: Option<u64>,
        /// `Retry-After`, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// Bytes came that belong to no request.
    Surplus {
        /// The last request on that connection.
        id: u64,
    },
    /// The connection ended before a whole answer.
    Broken {
        /// The request that waited.
        id: u64,
        /// Bytes of an answer that had come.
        bytes: usize,
    },
    /// Nothing came, long after the client's time was up.
    Unanswered {
        /// The request.
        id: u64,
    },
    /// The client closed its connection before its answer, on purpose.
    Left {
        /// The request.
        id: u64,
    },
    /// The first byte of an attempt came.
    Arriving {
        /// The attempt's number, of the run.
        attempt: u64,
        /// At which node.
        boot: Boot,
        /// From which proxy.
        proxy: usize,
    },
    /// Its last byte came: from here on it may run.
    Whole {
        /// The attempt.
        attempt: u64,
        /// The request that it says it is for.
        id: u64,
        /// Its work, in microseconds on a standard core.
        work_us: u64,
    },
    /// It was turned away and will never run.
    Turned {
        /// The attempt.
        attempt: u64,
    },
    /// It took effect; what a repeat within the hall's memory does not.
    Effect {
        /// The attempt.
        attempt: u64,
        /// What it was about.
        key: u64,
    },
    /// Its answer was written.
    Replied {
        /// The attempt.
        attempt: u64,
        /// The status.
        status: u16,
    },
    /// A stand-in was sent what it can't use.
    Strange {
        /// What and where.
        text: String,
    },
}

/// What happened, and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When.
    pub at: Moment,
    /// What.
    #[serde(flatten)]
    pub event: Event,
}

/// Where records go; all peers of a run share it.
#[derive(Clone)]
pub struct Journal {
    start: Instant,
    unix_us: u64,
    kept: Arc<Mutex<(Vec<Record>, u64)>>,
}

impl Journal {
    /// An empty one whose time begins now.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Journal {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Journal { start: Instant::now(), unix_us: unix.as_micros() as u64, kept: Arc::default() }
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

    /// Writes down what happened just now.
    pub fn put(&self, event: Event) -> Moment {
        // The stamp is taken inside of the lock: no record is older than the one before it.
        let mut kept = self.kept.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let at = self.now();
        if kept.0.len() < MOST {
            kept.0.push(Record { at, event });
        } else {
            kept.1 += 1;
        }
        at
    }

    /// All records so far, and how many were dropped.
    pub fn take(&self) -> (Vec<Record>, u64) {
        std::mem::take(&mut *self.kept.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Calls a function with the records from the n-th on.
    pub fn read<T>(&self, from: usize, with: impl FnOnce(&[Record]) -> T) -> T {
        let kept = self.kept.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        with(kept.0.get(from..).unwrap_or(&[]))
    }
}
