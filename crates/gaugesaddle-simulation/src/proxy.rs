//! A proxy: runs the shipped [`Follower`] and makes its pulls.

use crate::network::Node;
use crate::packet::{Answer, Call, Packet};
use crate::Millis;
use gaugesaddle_distribution::{CallSet, Follower};
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
    /// The shipped decision when another process is called beside a silent one.
    call_set: CallSet,
    calls: Vec<CallInFlight>,
    /// Earliest time of the next call while none is in flight.
    next_call_at: Millis,
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
            call_set: CallSet::default(),
            calls: Vec::new(),
            next_call_at: now,
            next_call_id: u64::from(number) << 40 | incarnation << 24 | 1 << 60,
            last_answer_requested_at: now,
        }
    }

    /// When [`Proxy::tick`] must be called.
    pub fn deadline(&self) -> Millis {
        let call_deadline = self.calls.iter().map(|call| call.deadline).min();
        let Some(call_deadline) = call_deadline else { return self.next_call_at };
        let hedge_at = self.call_set.next_call_ms().filter(|_| self.candidate(call_deadline).is_some());
        hedge_at.map_or(call_deadline, |at| at.min(call_deadline))
    }

    /// Handles expired deadlines; returns the call to make now. `seeds` are those of the boot file.
    pub fn tick(&mut self, now: Millis, seeds: &[u32]) -> Option<(Node, Packet)> {
        let expired: Vec<u32> = self.calls.iter().filter(|c| now >= c.deadline).map(|c| c.ip).collect();
        for ip in expired {
            self.fail_call(now, ip);
        }
        let is_due = if self.calls.is_empty() {
            now >= self.next_call_at
        } else {
            self.call_set.next_call_ms().is_some_and(|at| now >= at)
        };
        if !is_due {
            return None;
        }
        if self.follower.needs_discovery(now) {
            self.follower.add_seeds(now, seeds.iter().copied());
        }
        let ip = self.candidate(now)?;
        Some(self.pull(now, ip, 0))
    }

    /// The best process that is not being called yet.
    fn candidate(&self, now: Millis) -> Option<u32> {
        let called: Vec<u32> = self.call_set.called().collect();
        self.follower.choose_except(now, &called)
    }

    /// Calls a process, which waits up to `wait_ms` for changes; 0 for the first pull at a process.
    fn pull(&mut self, now: Millis, ip: u32, wait_ms: u32) -> (Node, Packet) {
        self.next_call_id += 1;
        let id = self.next_call_id;
        let deadline = now + Millis::from(wait_ms) + CALL_TIMEOUT_MS;
        self.calls.push(CallInFlight { id, ip, sent_at: now, deadline });
        self.call_set.begin(now, ip, Millis::from(wait_ms));
        let pull = self.follower.pull(now, Lifecycle::Ready, wait_ms);
        (Node::Control(ip), Packet::Call { id, call: Call::Pull(Box::new(pull)) })
    }

    fn fail_call(&mut self, now: Millis, ip: u32) {
        self.calls.retain(|call| call.ip != ip);
        self.call_set.end(ip);
        self.follower.record_failure(now, ip);
        if self.calls.is_empty() {
            self.next_call_at = now + RETRY_DELAY_MS;
        }
    }

    /// Handles an answer; returns the next call if it goes to the same process.
    pub fn receive(&mut self, now: Millis, call_id: u64, answer: Answer) -> Option<(Node, Packet)> {
        let call = *self.calls.iter().find(|call| call.id == call_id)?;
        let Answer::Pull(reply) = answer else { return None };
        if !self.apply(now, call, *reply) {
            self.fail_call(now, call.ip);
            return None;
        }
        self.call_set.end(call.ip);
        for silent in self.call_set.abandon_all(now) {
            self.follower.record_failure(now, silent);
        }
        self.calls.clear();
        self.follower.record_source(call.ip);
        Some(self.pull(now, call.ip, PULL_WAIT_MS))
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
