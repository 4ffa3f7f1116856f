//! A backend: heartbeats, and one of the ways to leave.

use crate::control::{Answer, Call, Packet};
use crate::Millis;
use gaugesaddle_protocol::{Lifecycle, Registration, Subject};

/// Between two heartbeats.
const HEARTBEAT: Millis = 1200;
/// An acknowledgement is waited for so long.
const PATIENCE: Millis = 1000;
/// It serves on for so long after the acknowledgement of its end, and a little longer.
const SERVES_ON: Millis = 6000;

/// Where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// Says that it leaves; acknowledged at a time.
    Draining(Option<Millis>),
    /// Says that it has left.
    Deregistering(Option<Millis>),
    /// Silent.
    Gone,
}

/// A backend's process.
pub struct Backend {
    /// Its identity.
    pub id: String,
    number: u32,
    stage: Stage,
    sequence: u64,
    asked: Option<(u64, Millis)>,
    next_at: Millis,
    next_id: u64,
}

impl Backend {
    /// A backend that begins at a time.
    pub fn new(number: u32, begin: Millis) -> Backend {
        Backend {
            id: format!("backend-{number}"),
            number,
            stage: Stage::Serving,
            sequence: 0,
            asked: None,
            next_at: begin,
            next_id: u64::from(number) << 40 | 1 << 62,
        }
    }

    /// It leaves: says `draining`, or deregisters at once.
    pub fn leave(&mut self, now: Millis, draining: bool) {
        if self.stage == Stage::Serving {
            self.stage = if draining { Stage::Draining(None) } else { Stage::Deregistering(None) };
            self.asked = None;
            self.next_at = now;
        }
    }

    /// It falls silent.
    pub fn crash(&mut self) {
        self.stage = Stage::Gone;
    }

    /// Whether it is there and has not said that it leaves.
    pub fn serves(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// When its end was acknowledged.
    pub fn end_acknowledged(&self) -> Option<Millis> {
        match self.stage {
            Stage::Draining(at) | Stage::Deregistering(at) => at,
            _ => None,
        }
    }

    /// When it wants to be woken.
    pub fn deadline(&self) -> Millis {
        self.asked.map_or(self.next_at, |(_, until)| until)
    }

    /// Time has passed: the call to make now.
    pub fn tick(&mut self, now: Millis) -> Option<Packet> {
        if self.asked.is_some_and(|(_, until)| now >= until) {
            // No answer: another process is called at once.
            self.asked = None;
            self.next_at = now;
        }
        let over = self.end_acknowledged().is_some_and(|at| now >= at + SERVES_ON);
        if self.asked.is_some() || now < self.next_at {
            return None;
        }
        if over || self.stage == Stage::Gone || matches!(self.stage, Stage::Deregistering(Some(_))) {
            self.next_at = now + HEARTBEAT;
            return None;
        }
        self.next_id += 1;
        self.sequence += 1;
        self.asked = Some((self.next_id, now + PATIENCE));
        let call = match self.stage {
            Stage::Deregistering(_) => Call::Deregister(self.id.clone()),
            _ => Call::Heartbeat(Box::new(self.registration())),
        };
        Some(Packet::Call { id: self.next_id, call })
    }

    fn registration(&self) -> Registration {
        let draining = matches!(self.stage, Stage::Draining(_));
        Registration {
            id: self.id.clone(),
            zone: String::new(),
            subject: Subject::Backend {
                service: "s".to_owned(),
                address: format!("10.9.0.{}:80", self.number),
                slots: 4,
            },
            sequence: self.sequence,
            lifecycle: if draining { Lifecycle::Draining } else { Lifecycle::Ready },
        }
    }

    /// Takes an answer.
    pub fn receive(&mut self, now: Millis, id: u64, answer: &Answer) {
        if self.asked.is_none_or(|(asked, _)| asked != id) {
            return;
        }
        self.asked = None;
        if !matches!(answer, Answer::Registered(true)) {
            self.next_at = now;
            return;
        }
        self.next_at = now + HEARTBEAT;
        match &mut self.stage {
            Stage::Draining(at) | Stage::Deregistering(at) if at.is_none() => *at = Some(now),
            _ => {}
        }
    }
}
