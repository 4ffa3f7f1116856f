//! One proxy's host in virtual time: what the real driver does for the module, and nothing that it decides.

use gaugesaddle_balancer::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// What a host asks of the world.
pub enum Ask {
    /// Send an attempt, named by its number among all of the run.
    Send { request: RequestId, attempt: AttemptNo, backend: BackendId },
    /// Stop waiting for an attempt.
    Stop { request: RequestId, attempt: AttemptNo },
    /// The final answer of a request: served (200), refused (503) or failed (502).
    Answer { request: RequestId, status: u16 },
}

struct Open {
    deadline: Time,
    answered: bool,
    /// When each attempt that is out was sent.
    out: BTreeMap<AttemptNo, Time>,
    count: u32,
}

/// The module and what is open at it.
pub struct Host {
    pub balancer: Balancer,
    tick: Micros,
    turn: Time,
    open: BTreeMap<RequestId, Open>,
    deadlines: BTreeSet<(Time, RequestId)>,
    timers: BinaryHeap<Reverse<(Time, TimerToken)>>,
    events: Vec<Event>,
    over: Vec<RequestId>,
}

impl Host {
    pub fn new(config: Config, seed: u64) -> Result<Host, ConfigError> {
        Ok(Host {
            tick: config.tick,
            balancer: Balancer::new(config, seed)?,
            turn: Time(0),
            open: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            timers: BinaryHeap::new(),
            events: Vec::new(),
            over: Vec::new(),
        })
    }

    /// When to call [`Host::run`] next.
    pub fn next(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|t| t.0 .0);
        let due = if self.events.is_empty() { timer } else { Some(self.turn) };
        let due = due.map(|d| d.max(self.turn));
        let deadline = self.deadlines.first().map(|d| d.0);
        due.into_iter().chain(deadline).min()
    }

    pub fn list(&mut self, update: ListUpdate, backends: Vec<Backend>) {
        self.events.push(Event::Members { update, backends });
    }

    /// What the tier has for the module.
    pub fn told(&mut self, events: impl IntoIterator<Item = Event>) {
        self.events.extend(events);
    }

    /// Its process ends: the requests that were open at it, which have no answer from it.
    pub fn end(&mut self) -> Vec<RequestId> {
        (self.events, self.timers, self.deadlines) = Default::default();
        let open = std::mem::take(&mut self.open);
        open.into_iter().filter(|(_, r)| !r.answered).map(|(id, _)| id).collect()
    }

    pub fn arrived(&mut self, now: Time, arrival: Arrival) {
        let (id, deadline) = (arrival.request, now + arrival.remaining);
        self.deadlines.insert((deadline, id));
        self.open.insert(id, Open { deadline, answered: false, out: BTreeMap::new(), count: 0 });
        self.events.push(Event::Request(arrival));
    }

    /// An attempt's end; one that was called off before is of no interest.
    pub fn ended(
        &mut self, now: Time, request: RequestId, attempt: AttemptNo, outcome: Outcome, asks: &mut Vec<Ask>,
    ) {
        let Some(r) = self.open.get_mut(&request) else { return };
        let Some(sent) = r.out.remove(&attempt) else { return };
        if outcome == Outcome::Ok && !std::mem::replace(&mut r.answered, true) {
            asks.push(Ask::Answer { request, status: 200 });
        }
        let (latency, settled) = (now - sent, r.answered);
        self.events.push(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            answered: settled,
        }));
        self.over.push(request);
    }

    /// What time has brought: deadlines, and the module's turn.
    pub fn run(&mut self, now: Time, asks: &mut Vec<Ask>) {
        while let Some((_, request)) = self.deadlines.first().filter(|d| d.0 <= now).copied() {
            self.deadlines.pop_first();
            let Some(r) = self.open.get_mut(&request) else { continue };
            let settled = r.answered;
            for (attempt, sent) in std::mem::take(&mut r.out) {
                let (outcome, latency) = (Outcome::TimedOut, now - sent);
                asks.push(Ask::Stop { request, attempt });
                let end = AttemptEnd { request, attempt, outcome, latency, answered: settled };
                self.events.push(Event::AttemptEnded(end));
            }
            self.over.push(request);
        }
        if now < self.turn {
            return;
        }
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|t| t.0 .0 <= now).copied() {
            self.timers.pop();
            self.events.push(Event::Timer { token });
        }
        if self.events.is_empty() {
            return;
        }
        self.turn = Time(now.0 - now.0 % self.tick.0) + self.tick;
        let mut actions = Vec::new();
        for mut event in std::mem::take(&mut self.events) {
            if let Event::Request(new) = &mut event {
                new.remaining = self.open.get(&new.request).map_or(Micros(0), |r| r.deadline - now);
            }
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, asks);
            }
        }
        for request in std::mem::take(&mut self.over) {
            if self.open.get(&request).is_some_and(|r| r.answered && r.out.is_empty()) {
                if let Some(r) = self.open.remove(&request) {
                    self.deadlines.remove(&(r.deadline, request));
                }
            }
        }
    }

    fn carry_out(&mut self, now: Time, action: Action, asks: &mut Vec<Ask>) {
        match action {
            Action::Dispatch { request, backend } => {
                let Some(r) = self.open.get_mut(&request) else { return };
                let attempt = AttemptNo(r.count);
                r.count += 1;
                if r.answered || r.deadline <= now {
                    let (outcome, latency, settled) = (Outcome::NeverSent, Micros(0), r.answered);
                    let end = AttemptEnd { request, attempt, outcome, latency, answered: settled };
                    return self.events.push(Event::AttemptEnded(end));
                }
                r.out.insert(attempt, now);
                asks.push(Ask::Send { request, attempt, backend });
            }
            Action::Refuse { request } => self.answer(request, 503, asks),
            Action::Fail { request } => self.answer(request, 502, asks),
            Action::Cancel { request, attempt } => {
                let Some(r) = self.open.get_mut(&request) else { return };
                let Some(sent) = r.out.remove(&attempt) else { return };
                asks.push(Ask::Stop { request, attempt });
                let (outcome, latency, settled) = (Outcome::Cancelled, now - sent, r.answered);
                let end = AttemptEnd { request, attempt, outcome, latency, answered: settled };
                self.events.push(Event::AttemptEnded(end));
                self.over.push(request);
            }
            Action::SetTimer { token, after } => self.timers.push(Reverse((now + after, token))),
            // No world of this model has another region: none is ever offered.
            Action::Follow | Action::Log(_) | Action::Leave { .. } => {}
        }
    }

    fn answer(&mut self, request: RequestId, status: u16, asks: &mut Vec<Ask>) {
        if let Some(r) = self.open.get_mut(&request).filter(|r| !r.answered) {
            r.answered = true;
            asks.push(Ask::Answer { request, status });
            self.over.push(request);
        }
    }
}
