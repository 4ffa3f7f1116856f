//! A backend: sends heartbeats, and departs by draining, deregistering or crashing.

use crate::packet::{Answer, Call, Packet, RegistrationOutcome};
use crate::Millis;
use gaugesaddle_protocol::{Lifecycle, Registration, Subject};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL_MS: Millis = 1200;
/// Timeout of a call.
const CALL_TIMEOUT_MS: Millis = 1000;
/// A draining backend sends heartbeats for this time after the acknowledgement of its drain.
const DRAIN_PERIOD_MS: Millis = 6000;

/// How a backend departs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The backend reports `draining` and sends heartbeats for some time after the acknowledgement.
    Drain,
    /// The backend deregisters at once.
    Deregister,
}

/// Lifecycle of a backend.
///
/// ```text
///             depart(Drain)       +--> Draining(None) -------acknowledged--> Draining(Some)
///  Serving -----------------------+
///     |       depart(Deregister)  +--> Deregistering(None) --acknowledged--> Deregistering(Some)
///     |
///     +-- crash (from every state) --> Crashed
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// Reports `draining`; contains the time of the acknowledgement.
    Draining(Option<Millis>),
    /// Deregisters; contains the time of the acknowledgement.
    Deregistering(Option<Millis>),
    /// Makes no more calls.
    Crashed,
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    id: u64,
    deadline: Millis,
}

/// A backend's process.
pub struct Backend {
    /// Identity of the backend in the catalog.
    pub id: String,
    number: u32,
    stage: Stage,
    sequence: u64,
    call: Option<CallInFlight>,
    next_call_at: Millis,
    next_call_id: u64,
}

impl Backend {
    /// Creates a backend that makes its first call at `first_call_at`.
    pub fn new(number: u32, first_call_at: Millis) -> Backend {
        Backend {
            id: format!("backend-{number}"),
            number,
            stage: Stage::Serving,
            sequence: 0,
            call: None,
            next_call_at: first_call_at,
            next_call_id: u64::from(number) << 40 | 1 << 62,
        }
    }

    /// Starts the departure of a backend that serves.
    pub fn depart(&mut self, now: Millis, departure: Departure) {
        if self.stage == Stage::Serving {
            self.stage = match departure {
                Departure::Drain => Stage::Draining(None),
                Departure::Deregister => Stage::Deregistering(None),
            };
            self.call = None;
            self.next_call_at = now;
        }
    }

    /// Stops the backend without a further call.
    pub fn crash(&mut self) {
        self.stage = Stage::Crashed;
    }

    /// Whether the backend serves and has not started to depart.
    pub fn serves(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Time at which the departure was acknowledged.
    pub fn departure_acknowledged(&self) -> Option<Millis> {
        match self.stage {
            Stage::Draining(at) | Stage::Deregistering(at) => at,
            _ => None,
        }
    }

    /// When [`Backend::tick`] must be called.
    pub fn deadline(&self) -> Millis {
        self.call.map_or(self.next_call_at, |call| call.deadline)
    }

    /// Handles an expired deadline; returns the call to make now.
    pub fn tick(&mut self, now: Millis) -> Option<Packet> {
        if self.call.is_some_and(|call| now >= call.deadline) {
            // The call timed out: the next one, to any process, is made at once.
            self.call = None;
            self.next_call_at = now;
        }
        if self.call.is_some() || now < self.next_call_at {
            return None;
        }
        if !self.has_calls_to_make(now) {
            self.next_call_at = now + HEARTBEAT_INTERVAL_MS;
            return None;
        }
        self.next_call_id += 1;
        self.sequence += 1;
        self.call = Some(CallInFlight { id: self.next_call_id, deadline: now + CALL_TIMEOUT_MS });
        let call = match self.stage {
            Stage::Deregistering(_) => Call::Deregister(self.id.clone()),
            _ => Call::Heartbeat(Box::new(self.registration())),
        };
        Some(Packet::Call { id: self.next_call_id, call })
    }

    fn has_calls_to_make(&self, now: Millis) -> bool {
        match self.stage {
            Stage::Crashed | Stage::Deregistering(Some(_)) => false,
            Stage::Draining(Some(acknowledged)) => now < acknowledged + DRAIN_PERIOD_MS,
            Stage::Serving | Stage::Draining(None) | Stage::Deregistering(None) => true,
        }
    }

    fn registration(&self) -> Registration {
        let is_draining = matches!(self.stage, Stage::Draining(_));
        Registration {
            id: self.id.clone(),
            zone: String::new(),
            subject: Subject::Backend {
                service: "s".to_owned(),
                address: format!("10.9.0.{}:80", self.number),
                slots: 4,
            },
            sequence: self.sequence,
            lifecycle: if is_draining { Lifecycle::Draining } else { Lifecycle::Ready },
        }
    }

    /// Handles an answer; an answer to any call but the one in flight is ignored.
    pub fn receive(&mut self, now: Millis, call_id: u64, answer: &Answer) {
        if self.call.is_none_or(|call| call.id != call_id) {
            return;
        }
        self.call = None;
        if !matches!(answer, Answer::Registered(RegistrationOutcome::Acknowledged)) {
            self.next_call_at = now;
            return;
        }
        self.next_call_at = now + HEARTBEAT_INTERVAL_MS;
        match &mut self.stage {
            Stage::Draining(at) | Stage::Deregistering(at) if at.is_none() => *at = Some(now),
            _ => {}
        }
    }
}
