//! An operator: makes changes, repeats each until its answer is conclusive, and reads the configuration.

use crate::history::{ChangeOutcome, ChangeRecord, History};
use crate::packet::{Answer, Call, Packet};
use crate::Millis;
use gaugesaddle_protocol::{ChangeBody, ChangeReply, Configuration, ConfigurationChange};
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Timeout of a call.
const CALL_TIMEOUT_MS: Millis = 1000;
/// Delay before a change is repeated.
const RETRY_DELAY_MS: Millis = 60;
/// Delay between two actions outside of bursts.
const NORMAL_INTERVAL_MS: Millis = 900;
/// Attempts after which a change is abandoned.
const MAX_ATTEMPTS: u32 = 30;
/// Number of routes of a document: more than one, so that a patch omits some of them.
const ROUTES: u64 = 12;
/// One in this number of patches removes its route.
const REMOVAL_ONE_IN: u64 = 5;
/// One in this number of actions is a read.
const READ_ONE_IN: u64 = 3;

/// State of an operator.
///
/// ```text
///  Idle --read----> Reading -----answered, timed out-------------------------------> Idle
///   ^ \
///   |  +--change--> Changing(call) --indeterminate, timed out--> Changing(no call) --+
///   |                  |  ^                                                          |
///   |                  |  +------------------------- after RETRY_DELAY_MS -----------+
///   +---conclusive-----+                                                             |
///   +---abandoned after MAX_ATTEMPTS-------------------------------------------------+
/// ```
#[derive(Clone, Debug)]
enum OperatorState {
    Idle { until: Millis },
    Reading { call_id: u64, record: usize, deadline: Millis },
    Changing(ChangeInProgress),
}

/// A change that has no conclusive answer yet.
#[derive(Clone, Copy, Debug)]
struct ChangeInProgress {
    /// The call in flight; `None` before the next attempt.
    call_id: Option<u64>,
    /// Index of its record in the history.
    record: usize,
    attempts: u32,
    /// Timeout of the call, or time of the next attempt.
    deadline: Millis,
}

/// A shorter interval between actions until a time.
#[derive(Clone, Copy, Debug)]
struct Burst {
    interval: Millis,
    until: Millis,
}

/// An operator that makes changes and reads.
pub struct Operator {
    number: u32,
    state: OperatorState,
    /// Revision on which the next change is based.
    base: u64,
    next_call_id: u64,
    burst: Option<Burst>,
    is_stopped: bool,
}

/// Returns a simulated configuration document.
fn document(revision: u64, author: u32, salt: u64) -> Vec<u8> {
    let route = |n: u64| {
        let weight = if n == salt % ROUTES { salt } else { 90 };
        format!("{{\"name\":\"r-{n}\",\"pathPrefix\":\"/p{n}/\",\"weight\":{weight},\"by\":{author}}}")
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    format!("{{\"revision\":{revision},\"routes\":[{}]}}", routes.join(",")).into_bytes()
}

/// Returns a simulated patch of one route. Some patches remove the route, and are rejected if it does not exist.
fn patch(revision: u64, author: u32, salt: u64) -> Vec<u8> {
    let name = format!("r-{}", salt % ROUTES);
    let change = if salt % REMOVAL_ONE_IN == 0 {
        format!("\"remove\":{{\"routes\":[\"{name}\"]}}")
    } else {
        format!("\"upsert\":{{\"routes\":[{{\"name\":\"{name}\",\"weight\":{salt},\"by\":{author}}}]}}")
    };
    format!("{{\"revision\":{revision},{change}}}").into_bytes()
}

impl Operator {
    /// Creates an operator that is idle until a time.
    pub fn new(number: u32, idle_until: Millis) -> Operator {
        Operator {
            number,
            state: OperatorState::Idle { until: idle_until },
            base: 0,
            next_call_id: u64::from(number) << 40 | 1 << 61,
            burst: None,
            is_stopped: false,
        }
    }

    /// Makes changes in quick succession until a time.
    pub fn start_burst(&mut self, interval: Millis, until: Millis) {
        self.burst = Some(Burst { interval, until });
    }

    /// Stops the operator: it starts no further change or read; one in progress continues.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// When [`Operator::tick`] must be called.
    pub fn deadline(&self) -> Millis {
        match &self.state {
            OperatorState::Idle { until } => *until,
            OperatorState::Reading { deadline, .. } => *deadline,
            OperatorState::Changing(change) => change.deadline,
        }
    }

    /// Handles an expired deadline; returns the call to make now.
    pub fn tick(&mut self, now: Millis, random: &mut Pcg64Mcg, history: &mut History) -> Option<Packet> {
        if now < self.deadline() {
            return None;
        }
        match self.state.clone() {
            OperatorState::Idle { .. } if self.is_stopped => {
                self.state = OperatorState::Idle { until: now + NORMAL_INTERVAL_MS };
                None
            }
            OperatorState::Idle { .. } if random.next_u64() % READ_ONE_IN == 0 => {
                Some(self.start_read(now, history))
            }
            OperatorState::Idle { .. } => Some(self.start_change(now, random, history)),
            OperatorState::Reading { .. } => {
                self.become_idle(now);
                None
            }
            OperatorState::Changing(change) => self.continue_change(now, change, history),
        }
    }

    fn continue_change(
        &mut self, now: Millis, change: ChangeInProgress, history: &mut History,
    ) -> Option<Packet> {
        if change.call_id.is_some() {
            // The call timed out: the same change is sent again after a delay, to any process.
            self.delay_retry(now, change);
            return None;
        }
        if change.attempts >= MAX_ATTEMPTS {
            history.changes[change.record].ended = Some((now, ChangeOutcome::Abandoned));
            self.become_idle(now);
            return None;
        }
        Some(self.attempt(now, change.record, change.attempts + 1, history))
    }

    fn delay_retry(&mut self, now: Millis, change: ChangeInProgress) {
        let deadline = now + RETRY_DELAY_MS;
        self.state = OperatorState::Changing(ChangeInProgress { call_id: None, deadline, ..change });
    }

    fn become_idle(&mut self, now: Millis) {
        let interval = match self.burst {
            Some(burst) if now < burst.until => burst.interval,
            _ => NORMAL_INTERVAL_MS,
        };
        self.state = OperatorState::Idle { until: now + interval };
    }

    fn start_read(&mut self, now: Millis, history: &mut History) -> Packet {
        self.next_call_id += 1;
        let call_id = self.next_call_id;
        let record = history.begin_read(now);
        self.state = OperatorState::Reading { call_id, record, deadline: now + CALL_TIMEOUT_MS };
        Packet::Call { id: call_id, call: Call::Read }
    }

    fn start_change(&mut self, now: Millis, random: &mut Pcg64Mcg, history: &mut History) -> Packet {
        // Two operators may choose the same revision, and occasionally the same document.
        let revision = self.base + 1 + random.next_u64() % 2;
        let author = if random.next_u64() % 8 == 0 { 0 } else { self.number };
        let salt = random.next_u64() % if author == 0 { 2 } else { 100 };
        let body = match random.next_u64() % 2 {
            0 => ChangeBody::Full(document(revision, author, salt)),
            _ => ChangeBody::Patch(patch(revision, author, salt)),
        };
        history.changes.push(ChangeRecord { base: self.base, revision, body, begun: now, ended: None });
        self.attempt(now, history.changes.len() - 1, 1, history)
    }

    fn attempt(&mut self, now: Millis, record: usize, attempts: u32, history: &History) -> Packet {
        self.next_call_id += 1;
        let call_id = self.next_call_id;
        let deadline = now + CALL_TIMEOUT_MS;
        self.state =
            OperatorState::Changing(ChangeInProgress { call_id: Some(call_id), record, attempts, deadline });
        let ChangeRecord { base, body, .. } = &history.changes[record];
        let change = ConfigurationChange { base: *base, body: body.clone() };
        Packet::Call { id: call_id, call: Call::Change(Box::new(change)) }
    }

    /// Handles an answer; an answer to any call but the one in flight is ignored.
    pub fn receive(&mut self, now: Millis, answered_call: u64, answer: Answer, history: &mut History) {
        match (self.state.clone(), answer) {
            (OperatorState::Reading { call_id, record, .. }, Answer::Read(result))
                if call_id == answered_call =>
            {
                if let Ok(configuration) = result {
                    self.finish_read(now, record, configuration, history);
                }
                self.become_idle(now);
            }
            (OperatorState::Changing(change), Answer::Change(reply))
                if change.call_id == Some(answered_call) =>
            {
                self.receive_change_reply(now, change, reply, history);
            }
            _ => {}
        }
    }

    fn finish_read(
        &mut self, now: Millis, record: usize, configuration: Option<Configuration>, history: &mut History,
    ) {
        self.base = configuration.as_ref().map_or(0, |configuration| configuration.revision);
        history.end_read(now, record, configuration.as_ref());
    }

    fn receive_change_reply(
        &mut self, now: Millis, change: ChangeInProgress, reply: ChangeReply, history: &mut History,
    ) {
        let record = &mut history.changes[change.record];
        let outcome = match reply {
            ChangeReply::Applied => {
                self.base = self.base.max(record.revision);
                ChangeOutcome::Confirmed
            }
            ChangeReply::Conflict { current } => {
                self.base = current;
                ChangeOutcome::Rejected
            }
            ChangeReply::Invalid { .. } => ChangeOutcome::Rejected,
            ChangeReply::Indeterminate => return self.delay_retry(now, change),
        };
        record.ended = Some((now, outcome));
        self.become_idle(now);
    }
}
