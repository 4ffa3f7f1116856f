//! One proxy's host in virtual time: what the real driver does for the balancer.

use gaugesaddle_balancer::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// What a host requires of the simulated fleet.
pub enum HostAction {
    /// Send an attempt, named by its number among all of the run.
    Send { request: RequestId, attempt: AttemptNo, backend: BackendId },
    /// Cancel an attempt.
    Cancel { request: RequestId, attempt: AttemptNo },
    /// The final answer of a request: served (200), refused (503) or failed (502).
    Answer { request: RequestId, status: u16 },
}

struct OpenRequest {
    deadline: Time,
    answered: bool,
    /// When each attempt in flight was sent.
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

    /// When to call [`Host::run`] next.
    pub fn wake_at(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|t| t.0 .0);
        let due = if self.events.is_empty() { timer } else { Some(self.next_tick) };
        let due = due.map(|d| d.max(self.next_tick));
        let deadline = self.deadlines.first().map(|d| d.0);
        due.into_iter().chain(deadline).min()
    }

    pub fn list(&mut self, update: ListUpdate, backends: Vec<Backend>) {
        self.events.push(Event::Members { update, backends });
    }

    /// Events of the tier for the balancer.
    pub fn report(&mut self, events: impl IntoIterator<Item = Event>) {
        self.events.extend(events);
    }

    /// Its process ends; returns the open requests, which get no answer.
    pub fn end(&mut self) -> Vec<RequestId> {
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

    /// An attempt ended; one that was cancelled before is ignored.
    pub fn finish_attempt(
        &mut self, now: Time, request: RequestId, attempt: AttemptNo, outcome: Outcome,
        asks: &mut Vec<HostAction>,
    ) {
        let Some(r) = self.open.get_mut(&request) else { return };
        let Some(sent) = r.attempts.remove(&attempt) else { return };
        if outcome == Outcome::Ok && !std::mem::replace(&mut r.answered, true) {
            asks.push(HostAction::Answer { request, status: 200 });
        }
        let (latency, settled) = (now - sent, r.answered);
        self.events.push(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            answered: settled,
        }));
        self.ended_requests.push(request);
    }

    /// Does what is due: deadlines, and the balancer's tick.
    pub fn run(&mut self, now: Time, asks: &mut Vec<HostAction>) {
        while let Some((_, request)) = self.deadlines.first().filter(|d| d.0 <= now).copied() {
            self.deadlines.pop_first();
            let Some(r) = self.open.get_mut(&request) else { continue };
            let settled = r.answered;
            for (attempt, sent) in std::mem::take(&mut r.attempts) {
                let (outcome, latency) = (Outcome::TimedOut, now - sent);
                asks.push(HostAction::Cancel { request, attempt });
                let end = AttemptEnd { request, attempt, outcome, latency, answered: settled };
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
                self.execute(now, action, asks);
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

    fn execute(&mut self, now: Time, action: Action, asks: &mut Vec<HostAction>) {
        match action {
            Action::Dispatch { request, backend } => {
                let Some(r) = self.open.get_mut(&request) else { return };
                let attempt = AttemptNo(r.attempt_count);
                r.attempt_count += 1;
                if r.answered || r.deadline <= now {
                    let (outcome, latency, settled) = (Outcome::NeverSent, Micros(0), r.answered);
                    let end = AttemptEnd { request, attempt, outcome, latency, answered: settled };
                    return self.events.push(Event::AttemptEnded(end));
                }
                r.attempts.insert(attempt, now);
                asks.push(HostAction::Send { request, attempt, backend });
            }
            Action::Refuse { request } => self.answer(request, 503, asks),
            Action::Fail { request } => self.answer(request, 502, asks),
            Action::Cancel { request, attempt } => {
                let Some(r) = self.open.get_mut(&request) else { return };
                let Some(sent) = r.attempts.remove(&attempt) else { return };
                asks.push(HostAction::Cancel { request, attempt });
                let (outcome, latency, settled) = (Outcome::Cancelled, now - sent, r.answered);
                let end = AttemptEnd { request, attempt, outcome, latency, answered: settled };
                self.events.push(Event::AttemptEnded(end));
                self.ended_requests.push(request);
            }
            Action::SetTimer { token, after } => self.timers.push(Reverse((now + after, token))),
            // There are no other regions, so none is ever offered.
            Action::SubscribeBackends | Action::Log(_) | Action::Forward { .. } => {}
        }
    }

    fn answer(&mut self, request: RequestId, status: u16, asks: &mut Vec<HostAction>) {
        if let Some(r) = self.open.get_mut(&request).filter(|r| !r.answered) {
            r.answered = true;
            asks.push(HostAction::Answer { request, status });
            self.ended_requests.push(request);
        }
    }
}
