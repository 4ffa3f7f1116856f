//! A proxy: the shipped [`Follower`] and the calls that it makes.

use crate::control::{Answer, Call, Packet};
use crate::network::Node;
use crate::Millis;
use gaugesaddle_distribution::Follower;
use gaugesaddle_protocol::{Lifecycle, PullReply, Registration, Subject};

/// An answer without news is held back for so long.
const WAIT: u32 = 350;
/// Time for an answer beyond that, and to open a connection.
const ANSWER: Millis = 450;
/// An answer that is read so much later still is void.
const TRANSFER: Millis = 4000;
/// Pause before another process is asked.
const PAUSE: Millis = 40;

/// A call under way.
#[derive(Clone, Copy, Debug)]
struct Asked {
    id: u64,
    ip: u32,
    at: Millis,
    until: Millis,
}

/// A proxy's process.
pub struct Proxy {
    /// What it has taken.
    pub follower: Follower,
    asked: Option<Asked>,
    /// When another process is asked.
    next_at: Millis,
    /// The first call at a process is answered at once.
    wait: u32,
    next_id: u64,
    taken_of: Millis,
}

impl Proxy {
    /// A process that begins now; `life` is part of its name.
    pub fn start(now: Millis, number: u32, life: u64, seeds: &[u32]) -> Proxy {
        let registration = Registration {
            id: format!("proxy-{number}#{life}"),
            zone: String::new(),
            subject: Subject::Proxy,
            sequence: 0,
            lifecycle: Lifecycle::Ready,
        };
        Proxy {
            follower: Follower::new(now, u32::MAX - number, registration, seeds.iter().copied()),
            asked: None,
            next_at: now,
            wait: 0,
            next_id: u64::from(number) << 40 | life << 24 | 1 << 60,
            taken_of: now,
        }
    }

    /// When it wants to be woken.
    pub fn deadline(&self) -> Millis {
        self.asked.map_or(self.next_at, |asked| asked.until)
    }

    /// Time has passed: the call to make now, if any. `seeds` stand in the boot file.
    pub fn tick(&mut self, now: Millis, seeds: &[u32]) -> Option<(Node, Packet)> {
        if self.asked.is_some_and(|asked| now >= asked.until) {
            self.leave(now);
        }
        if self.asked.is_some() || now < self.next_at {
            return None;
        }
        if self.follower.needs_discovery(now) {
            self.follower.add_seeds(now, seeds.iter().copied());
        }
        let ip = self.follower.choose(now)?;
        Some(self.call(now, ip))
    }

    fn call(&mut self, now: Millis, ip: u32) -> (Node, Packet) {
        self.next_id += 1;
        let until = now + Millis::from(self.wait) + ANSWER;
        self.asked = Some(Asked { id: self.next_id, ip, at: now, until });
        let pull = self.follower.pull(now, Lifecycle::Ready, self.wait);
        (Node::Control(ip), Packet::Call { id: self.next_id, call: Call::Pull(Box::new(pull)) })
    }

    fn leave(&mut self, now: Millis) {
        if let Some(asked) = self.asked.take() {
            self.follower.record_failure(now, asked.ip);
        }
        self.wait = 0;
        self.next_at = now + PAUSE;
    }

    /// Takes an answer; the next call, where the same process is asked again.
    pub fn receive(&mut self, now: Millis, id: u64, answer: Answer) -> Option<(Node, Packet)> {
        let asked = self.asked.filter(|asked| asked.id == id)?;
        let Answer::Pull(reply) = answer else { return None };
        if self.take(now, asked, *reply) {
            self.wait = WAIT;
            return Some(self.call(now, asked.ip));
        }
        self.leave(now);
        None
    }

    fn take(&mut self, now: Millis, asked: Asked, reply: PullReply) -> bool {
        self.taken_of = asked.at;
        let good_for = asked.until - asked.at + TRANSFER;
        self.follower.apply(now, asked.at, good_for, reply).fresh
    }

    /// When the call was made whose answer was taken last.
    pub fn taken_of(&self) -> Millis {
        self.taken_of
    }

    /// Whether it would send a request to a backend.
    pub fn uses(&self, backend: &str) -> bool {
        let entry = self.follower.catalog().get(backend);
        entry.is_some_and(|e| e.registration.lifecycle == Lifecycle::Ready)
    }

    /// Revision of the configuration in force.
    pub fn revision(&self) -> u64 {
        self.follower.configuration().map_or(0, |c| c.revision)
    }
}
