//! A proxy: runs the shipped [`Follower`] and makes its pulls.

use crate::network::Node;
use crate::packet::{Answer, Call, Packet};
use crate::Millis;
use gaugesaddle_distribution::Follower;
use gaugesaddle_protocol::{Lifecycle, PullReply, Registration, Subject};

/// Time for which a pull waits for changes (long polling), in ms.
const PULL_WAIT_MS: u32 = 350;
/// Timeout of a call in addition to that wait; includes the time to open a connection.
const CALL_TIMEOUT_MS: Millis = 450;
/// Time after a call's timeout within which its answer must be transferred completely; a later answer is invalid.
const TRANSFER_TIMEOUT_MS: Millis = 4000;
/// Delay before another process is called.
const RETRY_DELAY_MS: Millis = 40;

/// A call in flight.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    id: u64,
    ip: u32,
    sent_at: Millis,
    deadline: Millis,
}

/// A proxy's process.
pub struct Proxy {
    /// The shipped state machine.
    pub follower: Follower,
    call: Option<CallInFlight>,
    /// Time of the next call to another process.
    next_call_at: Millis,
    /// Wait of the next pull; 0 for the first pull at a process, which is answered at once.
    pull_wait_ms: u32,
    next_call_id: u64,
    last_answer_requested_at: Millis,
}

impl Proxy {
    /// Starts a process: `number` is that of the proxy, `incarnation` that of the process on its machine.
    pub fn start(now: Millis, number: u32, incarnation: u64, seeds: &[u32]) -> Proxy {
        let registration = Registration {
            id: format!("proxy-{number}#{incarnation}"),
            zone: String::new(),
            subject: Subject::Proxy,
            sequence: 0,
            lifecycle: Lifecycle::Ready,
        };
        Proxy {
            follower: Follower::new(now, u32::MAX - number, registration, seeds.iter().copied()),
            call: None,
            next_call_at: now,
            pull_wait_ms: 0,
            next_call_id: u64::from(number) << 40 | incarnation << 24 | 1 << 60,
            last_answer_requested_at: now,
        }
    }

    /// When [`Proxy::tick`] must be called.
    pub fn deadline(&self) -> Millis {
        self.call.map_or(self.next_call_at, |call| call.deadline)
    }

    /// Handles expired deadlines; returns the call to make now. `seeds` are those of the boot file.
    pub fn tick(&mut self, now: Millis, seeds: &[u32]) -> Option<(Node, Packet)> {
        if self.call.is_some_and(|call| now >= call.deadline) {
            self.switch_process(now);
        }
        if self.call.is_some() || now < self.next_call_at {
            return None;
        }
        if self.follower.needs_discovery(now) {
            self.follower.add_seeds(now, seeds.iter().copied());
        }
        let ip = self.follower.choose(now)?;
        Some(self.pull(now, ip))
    }

    fn pull(&mut self, now: Millis, ip: u32) -> (Node, Packet) {
        self.next_call_id += 1;
        let id = self.next_call_id;
        let deadline = now + Millis::from(self.pull_wait_ms) + CALL_TIMEOUT_MS;
        self.call = Some(CallInFlight { id, ip, sent_at: now, deadline });
        let pull = self.follower.pull(now, Lifecycle::Ready, self.pull_wait_ms);
        (Node::Control(ip), Packet::Call { id, call: Call::Pull(Box::new(pull)) })
    }

    fn switch_process(&mut self, now: Millis) {
        if let Some(call) = self.call.take() {
            self.follower.record_failure(now, call.ip);
        }
        self.pull_wait_ms = 0;
        self.next_call_at = now + RETRY_DELAY_MS;
    }

    /// Handles an answer; returns the next call if it goes to the same process.
    pub fn receive(&mut self, now: Millis, call_id: u64, answer: Answer) -> Option<(Node, Packet)> {
        let call = self.call.filter(|call| call.id == call_id)?;
        let Answer::Pull(reply) = answer else { return None };
        if self.apply(now, call, *reply) {
            self.pull_wait_ms = PULL_WAIT_MS;
            return Some(self.pull(now, call.ip));
        }
        self.switch_process(now);
        None
    }

    /// Applies a reply; returns whether the follower continues with the process that sent it.
    fn apply(&mut self, now: Millis, call: CallInFlight, reply: PullReply) -> bool {
        self.last_answer_requested_at = call.sent_at;
        let valid_for_ms = call.deadline - call.sent_at + TRANSFER_TIMEOUT_MS;
        self.follower.apply(now, call.sent_at, valid_for_ms, reply).fresh
    }

    /// Start time of the call whose answer was received last.
    pub fn last_answer_requested_at(&self) -> Millis {
        self.last_answer_requested_at
    }

    /// Whether the proxy would send requests to a backend.
    pub fn uses(&self, backend_id: &str) -> bool {
        let entry = self.follower.catalog().get(backend_id);
        entry.is_some_and(|entry| entry.registration.lifecycle == Lifecycle::Ready)
    }

    /// Revision of the configuration in force; 0 before the first configuration.
    pub fn revision(&self) -> u64 {
        self.follower.configuration().map_or(0, |configuration| configuration.revision)
    }
}
