//! A host for one balancer that carries out its actions and checks every rule as it goes.
#![allow(dead_code)]

use gaugesaddle_balancer::*;
use std::collections::BTreeMap;

#[derive(Clone)]
pub struct Try {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub at: Time,
    pub outcome: Option<Outcome>,
}

impl Try {
    /// No outcome proves yet that it did not run.
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.never_ran())
    }
}

pub struct Open {
    pub class: usize,
    pub deadline: Time,
    pub tries: Vec<Try>,
    pub streaming: bool,
    pub answer: Option<&'static str>,
}

pub struct Host {
    pub cfg: Config,
    pub balancer: Balancer,
    pub now: Time,
    pub list: BTreeMap<BackendId, Backend>,
    pub requests: BTreeMap<RequestId, Open>,
    pub timers: Vec<(Time, TimerToken)>,
    pub follows: u32,
    pub cancelled: Vec<(RequestId, usize)>,
    pub logs: Vec<String>,
    pub last: Vec<Action>,
    pub repeat: bool,
    next: u64,
}

pub fn backend(id: u32, zone: u32, kind: u32) -> Backend {
    Backend {
        id: BackendId(u64::from(id)),
        zone: ZoneId(u64::from(zone)),
        cell: CellId(u64::from(zone) * 2 + u64::from(id % 2)),
        kind: KindId(u64::from(kind)),
        state: BackendState::Ready,
        booted: None,
        weight: 1.0,
    }
}

pub fn class(effect: Effect) -> Class {
    Class {
        latency_objective: Micros(400_000),
        objective_stretch: 0.0,
        effect,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
    }
}

impl Host {
    pub fn new(cfg: Config, seed: u64) -> Host {
        let balancer = Balancer::new(cfg.clone(), seed).expect("sound");
        Host {
            cfg,
            balancer,
            now: Time(1_000_000_000),
            list: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            follows: 0,
            cancelled: Vec::new(),
            logs: Vec::new(),
            last: Vec::new(),
            repeat: false,
            next: 0,
        }
    }

    pub fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.last = actions.clone();
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, backend } => {
                let r = self.requests.get_mut(&request).expect("dispatch of a known request");
                assert!(r.answer.is_none(), "sent after the final answer");
                let b = self.list.get(&backend).expect("a listed backend");
                assert_eq!(b.state, BackendState::Ready, "sent to a backend that drains or is gone");
                assert!(r.tries.len() < self.cfg.max_attempts as usize, "too many attempts");
                assert!(self.cfg.hedging || r.tries.iter().all(|t| t.outcome.is_some()), "two at once");
                for t in r.tries.iter().filter(|t| t.may_have_run()) {
                    match self.cfg.classes[r.class].effect {
                        Effect::Free => {}
                        Effect::Unsafe => panic!("an unsafe request was sent twice"),
                        Effect::Keyed(scope, window) => {
                            assert!(self.now <= t.at + window, "a key was repeated after its window");
                            let same = match scope {
                                KeyScope::All => true,
                                KeyScope::Zone => t.zone == b.zone,
                                KeyScope::Cell => t.cell == b.cell,
                            };
                            assert!(same, "a key was repeated outside its scope");
                        }
                    }
                }
                let (zone, cell, at) = (b.zone, b.cell, self.now);
                r.tries.push(Try { backend, zone, cell, at, outcome: None });
            }
            Action::Refuse { request } => {
                let r = self.requests.get_mut(&request).expect("a known request");
                let ran = r.tries.iter().any(Try::may_have_run);
                let free = matches!(
                    self.cfg.classes[r.class].effect,
                    Effect::Free | Effect::Keyed(KeyScope::All, _)
                );
                assert!(free || !ran, "refused what may have run");
                assert!(r.answer.replace("refused").is_none(), "answered twice");
            }
            Action::Forward { request } => {
                let r = self.requests.get_mut(&request).expect("a known request");
                let ran = r.tries.iter().any(Try::may_have_run);
                assert!(
                    !ran || self.cfg.classes[r.class].effect == Effect::Free,
                    "left though it may have run"
                );
                assert!(r.answer.replace("left").is_none(), "left after its answer");
            }
            Action::Fail { request } => {
                let r = self.requests.get_mut(&request).expect("a known request");
                assert!(r.answer.replace("failed").is_none(), "answered twice");
            }
            Action::Cancel { request, attempt } => {
                assert!(self.cfg.cancel, "cancel is not allowed");
                let r = &self.requests[&request];
                assert!((attempt.0 as usize) < r.tries.len(), "cancelled what was never sent");
                self.cancelled.push((request, attempt.0 as usize));
            }
            Action::SetTimer { token, after } => self.timers.push((self.now + after, token)),
            Action::SubscribeBackends => {
                assert_ne!(self.cfg.discovery, Discovery::Push);
                self.follows += 1;
            }
            Action::Log(text) => self.logs.push(text),
        }
    }

    pub fn members(&mut self, update: ListUpdate, backends: Vec<Backend>) {
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.list.values_mut().for_each(|b| b.state = BackendState::Departed);
        }
        for b in &backends {
            self.list.insert(b.id, b.clone());
        }
        self.event(Event::Members { update, backends });
    }

    pub fn arrive(&mut self, class: usize, left: u64) -> RequestId {
        self.arrive_for(class, left, None)
    }

    pub fn arrive_for(&mut self, class: usize, left: u64, tenant: Option<TenantId>) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        let deadline = self.now + Micros(left);
        let open = Open { class, deadline, tries: Vec::new(), streaming: false, answer: None };
        self.requests.insert(id, open);
        self.event(Event::Request(Arrival {
            request: id,
            class: ClassId(class),
            tenant,
            remaining: Micros(left),
            work_hint: None,
            repeat: self.repeat,
            retried_early: false,
            from_other_region: false,
        }));
        id
    }

    /// So many requests at once.
    pub fn burst(&mut self, count: usize, class: usize, left: u64) -> Vec<RequestId> {
        (0..count).map(|_| self.arrive(class, left)).collect()
    }

    /// One event of each sort about things that were never heard of.
    pub fn nonsense(&mut self, request: RequestId, attempt: AttemptNo, token: TimerToken) {
        let (outcome, latency) = (Outcome::Error, Micros(5));
        self.event(Event::Timer { token });
        self.event(Event::ClientDisconnected { request });
        self.event(Event::StreamStarted { request, attempt });
        self.event(Event::AttemptEnded(AttemptEnd { request, attempt, outcome, latency, answered: false }));
    }

    /// Ends an attempt that is out.
    pub fn end(&mut self, id: RequestId, no: usize, outcome: Outcome) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(t) = r.tries.get_mut(no).filter(|t| t.outcome.is_none()) else { return };
        t.outcome = Some(outcome);
        let latency = now - t.at;
        if outcome == Outcome::Ok && r.answer.is_none() {
            r.answer = Some("served");
        }
        let settled = r.answer.is_some();
        let attempt = AttemptNo(no as u32);
        self.event(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            outcome,
            latency,
            answered: settled,
        }));
    }

    pub fn start_stream(&mut self, id: RequestId, no: usize) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.answer.is_none() && !r.streaming) else {
            return;
        };
        if r.tries.get(no).is_some_and(|t| t.outcome.is_none()) {
            r.streaming = true;
            self.event(Event::StreamStarted { request: id, attempt: AttemptNo(no as u32) });
        }
    }

    /// Lets time pass; timers and time-outs fire when due, and every deadline is checked.
    pub fn advance(&mut self, span: u64) {
        let until = self.now + Micros(span);
        while self.now < until {
            self.now = (self.now + self.cfg.tick).min(until);
            let (due, rest) = std::mem::take(&mut self.timers).into_iter().partition(|t| t.0 <= self.now);
            self.timers = rest;
            let due: Vec<(Time, TimerToken)> = due;
            for (_, token) in due {
                self.event(Event::Timer { token });
            }
            for (id, no) in std::mem::take(&mut self.cancelled) {
                self.end(id, no, Outcome::Cancelled);
            }
            for (id, no) in self.out() {
                let r = &self.requests[&id];
                if r.deadline <= self.now && !r.streaming {
                    self.end(id, no, Outcome::TimedOut);
                }
            }
            for (id, r) in &self.requests {
                let open = r.answer.is_none() && !r.streaming;
                assert!(!open || self.now < r.deadline + Micros(16_000), "no answer in time for {id:?}");
            }
        }
    }

    pub fn sent_to(&self, id: RequestId) -> Vec<u32> {
        self.requests[&id].tries.iter().map(|t| t.backend.0 as u32).collect()
    }

    /// Serves everything that is out, each after `span`.
    pub fn serve_all(&mut self, span: u64) {
        self.advance(span);
        for (id, no) in self.out() {
            self.end(id, no, Outcome::Ok);
        }
    }

    pub fn out(&self) -> Vec<(RequestId, usize)> {
        let each = self.requests.iter().flat_map(|(id, r)| {
            r.tries.iter().enumerate().filter(|(_, t)| t.outcome.is_none()).map(|(no, _)| (*id, no))
        });
        each.collect()
    }
}
