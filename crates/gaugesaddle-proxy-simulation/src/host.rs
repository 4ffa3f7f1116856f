//! The host of one proxy's balancer in virtual time; performs the work of the proxy's real driver.

use gaugesaddle_balancer::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// An action that a host requests from the simulated fleet.
pub enum HostAction {
    /// Send an attempt.
    Send { request: RequestId, attempt: AttemptNo, backend: BackendId },
    /// Cancel an attempt.
    Cancel { request: RequestId, attempt: AttemptNo },
    /// The final response of a request: served (200), rejected (503) or failed (502).
    Answer { request: RequestId, status: u16 },
}

struct OpenRequest {
    deadline: Time,
    answered: bool,
    /// The time at which each attempt in flight was sent.
    attempts: BTreeMap<AttemptNo, Time>,
    attempt_count: u32,
}

/// The balancer and its open requests.
pub struct Host {
    pub balancer: Balancer,
    tick: Micros,
    next_tick: Time,
    open: BTreeMap<RequestId, OpenRequest>,
    deadlines: BTreeSet<(Time, RequestId)>,
    timers: BinaryHeap<Reverse<(Time, TimerToken)>>,
    events: Vec<Event>,
    ended_requests: Vec<RequestId>,
}

impl Host {
    pub fn new(config: Config, seed: u64) -> Result<Host, ConfigError> {
        Ok(Host {
            tick: config.tick,
            balancer: Balancer::new(config, seed)?,
            next_tick: Time(0),
            open: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            timers: BinaryHeap::new(),
            events: Vec::new(),
            ended_requests: Vec::new(),
        })
    }

    /// The time of the next call of [`Host::run`].
    pub fn wake_at(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|t| t.0 .0);
        let next_work = if self.events.is_empty() { timer } else { Some(self.next_tick) };
        let next_work = next_work.map(|d| d.max(self.next_tick));
        let deadline = self.deadlines.first().map(|d| d.0);
        next_work.into_iter().chain(deadline).min()
    }

    pub fn update_backends(&mut self, update: ListUpdate, backends: Vec<Backend>) {
        self.events.push(Event::Members { update, backends });
    }

    /// Queues tier events for the balancer.
    pub fn push_events(&mut self, events: impl IntoIterator<Item = Event>) {
        self.events.extend(events);
    }

    /// Ends the process; returns the open requests, which get no response.
    pub fn end_process(&mut self) -> Vec<RequestId> {
        (self.events, self.timers, self.deadlines) = Default::default();
        let open = std::mem::take(&mut self.open);
        open.into_iter().filter(|(_, r)| !r.answered).map(|(id, _)| id).collect()
    }

    pub fn add_request(&mut self, now: Time, arrival: Arrival) {
        let (id, deadline) = (arrival.request, now + arrival.remaining);
        self.deadlines.insert((deadline, id));
        self.open.insert(
            id,
            OpenRequest { deadline, answered: false, attempts: BTreeMap::new(), attempt_count: 0 },
        );
        self.events.push(Event::Request(arrival));
    }

    /// Handles the end of an attempt; cancelled attempts are ignored.
    pub fn finish_attempt(
        &mut self, now: Time, request: RequestId, attempt: AttemptNo, outcome: Outcome,
        host_actions: &mut Vec<HostAction>,
    ) {
        let Some(r) = self.open.get_mut(&request) else { return };
        let Some(sent) = r.attempts.remove(&attempt) else { return };
        if outcome == Outcome::Ok && !std::mem::replace(&mut r.answered, true) {
            host_actions.push(HostAction::Answer { request, status: 200 });
        }
        let (latency, answered) = (now - sent, r.answered);
        self.events.push(Event::AttemptEnded(AttemptEnd { request, attempt, outcome, latency, answered }));
        self.ended_requests.push(request);
    }

    /// Expires deadlines that have passed and runs the balancer's tick if it is due.
    pub fn run(&mut self, now: Time, host_actions: &mut Vec<HostAction>) {
        while let Some((_, request)) = self.deadlines.first().filter(|d| d.0 <= now).copied() {
            self.deadlines.pop_first();
            let Some(r) = self.open.get_mut(&request) else { continue };
            let answered = r.answered;
            for (attempt, sent) in std::mem::take(&mut r.attempts) {
                let (outcome, latency) = (Outcome::TimedOut, now - sent);
                host_actions.push(HostAction::Cancel { request, attempt });
                let end = AttemptEnd { request, attempt, outcome, latency, answered };
                self.events.push(Event::AttemptEnded(end));
            }
            self.ended_requests.push(request);
        }
        if now < self.next_tick {
            return;
        }
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|t| t.0 .0 <= now).copied() {
            self.timers.pop();
            self.events.push(Event::Timer { token });
        }
        if self.events.is_empty() {
            return;
        }
        self.next_tick = Time(now.0 - now.0 % self.tick.0) + self.tick;
        let mut actions = Vec::new();
        for mut event in std::mem::take(&mut self.events) {
            if let Event::Request(new) = &mut event {
                new.remaining = self.open.get(&new.request).map_or(Micros(0), |r| r.deadline - now);
            }
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action, host_actions);
            }
        }
        for request in std::mem::take(&mut self.ended_requests) {
            if self.open.get(&request).is_some_and(|r| r.answered && r.attempts.is_empty()) {
                if let Some(r) = self.open.remove(&request) {
                    self.deadlines.remove(&(r.deadline, request));
                }
            }
        }
    }

    fn execute(&mut self, now: Time, action: Action, host_actions: &mut Vec<HostAction>) {
        match action {
            Action::Dispatch { request, backend } => {
                let Some(r) = self.open.get_mut(&request) else { return };
                let attempt = AttemptNo(r.attempt_count);
                r.attempt_count += 1;
                if r.answered || r.deadline <= now {
                    let (outcome, latency, answered) = (Outcome::NeverSent, Micros(0), r.answered);
                    let end = AttemptEnd { request, attempt, outcome, latency, answered };
                    return self.events.push(Event::AttemptEnded(end));
                }
                r.attempts.insert(attempt, now);
                host_actions.push(HostAction::Send { request, attempt, backend });
            }
            Action::Refuse { request } => self.answer_request(request, 503, host_actions),
            Action::Fail { request } => self.answer_request(request, 502, host_actions),
            Action::Cancel { request, attempt } => {
                let Some(r) = self.open.get_mut(&request) else { return };
                let Some(sent) = r.attempts.remove(&attempt) else { return };
                host_actions.push(HostAction::Cancel { request, attempt });
                let (outcome, latency, answered) = (Outcome::Cancelled, now - sent, r.answered);
                let end = AttemptEnd { request, attempt, outcome, latency, answered };
                self.events.push(Event::AttemptEnded(end));
                self.ended_requests.push(request);
            }
            Action::SetTimer { token, after } => self.timers.push(Reverse((now + after, token))),
            // The simulated fleet has one region, so the balancer never forwards.
            Action::SubscribeBackends | Action::Log(_) | Action::Forward { .. } => {}
        }
    }

    fn answer_request(&mut self, request: RequestId, status: u16, host_actions: &mut Vec<HostAction>) {
        if let Some(r) = self.open.get_mut(&request).filter(|r| !r.answered) {
            r.answered = true;
            host_actions.push(HostAction::Answer { request, status });
            self.ended_requests.push(request);
        }
    }
}
