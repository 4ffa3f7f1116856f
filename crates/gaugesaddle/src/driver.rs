//! The one owner of the module, of the requests and of their attempts. It turns what happens into events
//! and carries out actions; which backend, whether again, whether at all is the module's to say.

use crate::backend_set::{BackendSet, CommandOrigin};
use crate::clock::Clock;
use crate::exchange::{Answer, Arrived, Call, Ended, Input, Refusal, Span, Target, Upstream, Upstreams};
use crate::registry::{BackendRow, End, Registry};
use crate::seam::{Leaving, Subsystem};
use gaugesaddle_balancer::*;
use gaugesaddle_federation::ClientAnswer;
use gaugesaddle_maintenance::{CommandOutcome, MaintenanceCommand};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::AbortHandle;

/// An attempt that is out.
struct Attempt {
    sent: Time,
    task: AbortHandle,
    /// Where its outcome is counted.
    row: Option<Rc<BackendRow>>,
}

impl Attempt {
    /// Counts its one outcome and stops what is left of it; returns when it was sent.
    fn end(self, outcome: Outcome, now: Time) -> Time {
        self.task.abort();
        if let Some(row) = self.row {
            row.ended(outcome, now - self.sent);
        }
        self.sent
    }
}

struct Open {
    class: ClassId,
    /// Until when it is served as wanted.
    aim: Time,
    deadline: Time,
    after_last: Option<Micros>,
    /// Whose it is, and whether that comes out of turn.
    source: (u64, bool),
    call: Rc<Call>,
    /// Through which regions it came.
    hop: Option<gaugesaddle_federation::Via>,
    /// It was handed to another region: the module knows it no more.
    left: bool,
    /// `None`: it has had its final answer, or its client is gone.
    reply: Option<oneshot::Sender<Answer>>,
    attempts: HashMap<AttemptNo, Attempt>,
    /// How many attempts were asked for so far.
    count: u32,
    /// When the first one was sent that has ended and may have run.
    may_have_run: Option<Time>,
}

impl Open {
    /// Counts an attempt's one outcome and stops what is left of it; returns when it was sent.
    fn end(&mut self, out: Attempt, outcome: Outcome, now: Time) -> Time {
        let sent = out.end(outcome, now);
        if !outcome.never_ran() {
            self.may_have_run = Some(self.may_have_run.map_or(sent, |first| first.min(sent)));
        }
        sent
    }

    /// When a further attempt may begin: while its client waits, and one that repeats what may have run or is out while
    /// the backends know its key. The module sees to that when it chooses; the connection comes up after that.
    fn span(&self, effect: Effect, tick: Micros) -> Span {
        let out = self.attempts.values().map(|a| a.sent).chain(self.may_have_run).min();
        let begin = match (effect, out) {
            (Effect::Keyed(_, window), Some(first)) => {
                self.deadline.min(Time((first + window).0.saturating_sub(tick.0)))
            }
            _ => self.deadline,
        };
        Span { begin, deadline: self.deadline }
    }

    /// It has its final answer or needs none any more.
    fn settle(&mut self) -> Option<oneshot::Sender<Answer>> {
        self.call.wanted.set(false);
        self.reply.take()
    }

    fn is_over(&self) -> bool {
        self.reply.is_none() && self.attempts.is_empty()
    }
}

/// What a driver works with.
pub struct Parts {
    pub clock: Clock,
    pub config: Config,
    pub seed: u64,
    /// Requests that may be open at once.
    pub open_cap: usize,
    /// Backends that may be held at once; the rest of a list is left out, and said.
    pub most_backends: usize,
    pub upstreams: Rc<dyn Upstreams>,
    /// Where the ends of attempts are told.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Told when the module wants to follow discovery.
    pub follow: Rc<Notify>,
    pub registry: Rc<Registry>,
    /// Those that are switched on.
    pub subsystems: Vec<Box<dyn Subsystem>>,
}

pub struct Driver {
    clock: Clock,
    config: Config,
    seed: u64,
    open_cap: usize,
    most_backends: usize,
    balancer: Balancer,
    upstreams: Rc<dyn Upstreams>,
    backends: HashMap<BackendId, Rc<dyn Upstream>>,
    requests: HashMap<RequestId, Open>,
    over: Vec<RequestId>,
    deadlines: BTreeSet<(Time, RequestId)>,
    /// Requests past their deadline and the time at which the module's turn to answer them is over.
    overdue: VecDeque<(Time, RequestId)>,
    timers: BinaryHeap<Reverse<(Time, TimerToken)>>,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// The module acts once a tick: its next turn.
    turn: Time,
    inputs: mpsc::UnboundedSender<Input>,
    follow: Rc<Notify>,
    registry: Rc<Registry>,
    backend_set: BackendSet,
    subsystems: Vec<Box<dyn Subsystem>>,
}

/// What a further attempt of the class may do; of one that is not known, the strictest.
fn effect(config: &Config, class: ClassId) -> Effect {
    config.classes.get(class.0).map_or(Effect::Unsafe, |c| c.effect)
}

/// Tells the end of an attempt however its task ends, a panic included: it may have run then.
struct Report {
    to: mpsc::UnboundedSender<Input>,
    request: RequestId,
    attempt: AttemptNo,
    told: bool,
}

impl Report {
    fn tell(&mut self, ended: Ended) {
        self.told = true;
        let _ = self.to.send(Input::Ended(self.request, self.attempt, ended));
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        if !self.told {
            self.tell(Outcome::Reset.into());
        }
    }
}

/// Idle connections are looked through this often.
const SWEEP: Micros = Micros(1_000_000);
/// Ticks after a deadline in which the module may still answer: its timers come a tick late at most.
const GRACE_TICKS: u64 = 2;

impl Driver {
    pub fn new(parts: Parts) -> Result<Driver, ConfigError> {
        let Parts {
            clock,
            config,
            seed,
            open_cap,
            most_backends,
            upstreams,
            inputs,
            follow,
            registry,
            subsystems,
        } = parts;
        Ok(Driver {
            clock,
            balancer: Balancer::new(config.clone(), seed)?,
            config,
            seed,
            open_cap,
            most_backends,
            upstreams,
            backends: HashMap::new(),
            requests: HashMap::new(),
            over: Vec::new(),
            deadlines: BTreeSet::new(),
            overdue: VecDeque::new(),
            timers: BinaryHeap::new(),
            events: Vec::new(),
            actions: Vec::new(),
            turn: Time(0),
            inputs,
            follow,
            registry,
            backend_set: BackendSet::default(),
            subsystems,
        })
    }

    /// Runs until nobody can send inputs any more, which is never.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let sleep = tokio::time::sleep_until(self.clock.instant(self.clock.now()));
        tokio::pin!(sleep);
        let mut set = Time(0);
        let mut sweep = self.clock.now() + SWEEP;
        loop {
            let wake = self.wake().min(sweep);
            if wake != set {
                set = wake;
                sleep.as_mut().reset(self.clock.instant(wake));
            }
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                () = &mut sleep => set = Time(0),
            }
            while let Ok(input) = inputs.try_recv() {
                self.take(input);
            }
            let now = self.clock.now();
            for subsystem in &mut self.subsystems {
                subsystem.turn(now, &self.balancer, &mut self.events);
            }
            self.expire(now);
            if now >= self.turn {
                self.act(now);
                // Only now: a late wake-up brings deadlines and the module's turn at the same moment, and a
                // request with less than a tick left gets its answer from the timer after its deadline.
                self.close_overdue(now);
            }
            if now >= sweep {
                sweep = now + SWEEP;
                for view in self.balancer.limits() {
                    self.registry.backend(view.backend).iter().for_each(|row| row.limited(view));
                }
                let standing = self.balancer.status();
                if standing.arrivals >= 0.1 {
                    tracing::info!("standing: {standing}"); // what a fleet is counted by
                }
                for upstream in self.backends.values() {
                    tokio::task::spawn_local(upstream.clone().sweep());
                }
            }
        }
    }

    /// What a refused client is told.
    fn refusal(&mut self, now: Time, source: u64, out_of_turn: bool, crowded: bool) -> Answer {
        let usual = self.balancer.retry_after().0.div_ceil(1_000_000); // not every client reads decimals
        let mut refusal = Refusal { after_s: usual, crowded, by_client: false };
        for subsystem in &mut self.subsystems {
            subsystem.refusing(now, source, out_of_turn, &mut refusal);
        }
        Answer::Refused(refusal)
    }

    /// Counts how a request ended.
    fn count(&mut self, class: ClassId, end: End) {
        self.registry.ended(class, end);
        for subsystem in &mut self.subsystems {
            subsystem.answered(class, end);
        }
    }

    /// When time alone next brings something about.
    fn wake(&self) -> Time {
        let timer = self.timers.peek().map_or(Time(u64::MAX), |t| t.0 .0);
        let due = if self.events.is_empty() { timer } else { self.turn };
        let overdue = self.overdue.front().map_or(Time(u64::MAX), |d| d.0);
        let deadline = self.deadlines.first().map_or(Time(u64::MAX), |d| d.0);
        let asked = self.subsystems.iter().map(|s| s.wake()).min().unwrap_or(Time(u64::MAX));
        due.min(overdue).max(self.turn).min(deadline).min(asked)
    }

    /// What cannot wait for the module's turn: a good answer goes to its client at once.
    fn take(&mut self, input: Input) {
        match input {
            Input::Arrived(arrived) => self.arrived(arrived),
            Input::Left(request) => {
                if let Some(r) = self.requests.get_mut(&request).filter(|r| r.reply.is_some()) {
                    r.settle();
                    let class = r.class;
                    if r.left {
                        // Dropped, the hop is called off at the other region.
                        r.attempts
                            .drain()
                            .for_each(|(_, out)| _ = out.end(Outcome::Cancelled, self.clock.now()));
                    } else {
                        self.events.push(Event::ClientDisconnected { request });
                    }
                    self.count(class, End::Left);
                    self.forget(request);
                }
            }
            Input::Ended(request, attempt, ended) => self.ended(request, attempt, ended),
            Input::Whole(request) => self.whole(request),
            Input::List { update, index, targets } => self.list(update, index, targets),
            Input::Maintain { name, command, origin, reply } => {
                let _ = reply.send(self.maintain(&name, command, origin));
            }
        }
    }

    fn arrived(&mut self, new: Arrived) {
        self.registry.taken(new.class);
        let now = self.clock.now();
        let mut told = Arrival {
            request: new.id,
            class: new.class,
            tenant: new.tenant,
            remaining: new.deadline - now,
            work_hint: new.work_hint,
            repeat: new.repeat,
            retried_early: false,
            from_other_region: new.hop.is_some(),
        };
        for subsystem in &mut self.subsystems {
            subsystem.arrived(now, &new, &mut told);
        }
        let out_of_turn = told.retried_early;
        if self.requests.len() >= self.open_cap {
            self.count(new.class, End::RefusedOpenCap);
            let refusal = self.refusal(now, new.source, out_of_turn, true);
            let _ = new.reply.send(refusal);
            return;
        }
        self.events.push(Event::Request(told));
        self.deadlines.insert((new.deadline, new.id));
        let (attempts, reply) = (HashMap::new(), Some(new.reply));
        let stretch = self.config.classes.get(new.class.0).map_or(Micros(0), |c| {
            Micros(c.latency_objective.0 + new.work_hint.unwrap_or_default().times(c.objective_stretch).0)
        });
        let (class, aim, deadline) = (new.class, new.came + stretch, new.deadline);
        let source = (new.source, out_of_turn);
        let after_last = new.after_last;
        let open = Open {
            class,
            aim,
            deadline,
            after_last,
            source,
            call: new.call,
            hop: new.hop,
            left: false,
            reply,
            attempts,
            count: 0,
            may_have_run: None,
        };
        self.requests.insert(new.id, open);
    }

    fn ended(&mut self, request: RequestId, attempt: AttemptNo, ended: Ended) {
        let now = self.clock.now();
        let Some(r) = self.requests.get_mut(&request) else { return };
        // One outcome an attempt: what it sends after it was called off does not count.
        let Some(out) = r.attempts.remove(&attempt) else { return };
        let sent = r.end(out, ended.outcome, now);
        let left = r.left;
        if !left {
            self.subsystems.iter_mut().for_each(|s| s.ended(ended.outcome));
        }
        if let Some(answer) = ended.answer {
            if let Some(reply) = r.settle() {
                let (class, end) = (r.class, if now <= r.aim { End::InAim } else { End::Late });
                let _ = reply.send(Answer::Served(answer));
                self.count(class, end);
            }
        }
        if left {
            return self.last_word(now, request, ended.outcome);
        }
        let settled = self.requests.get(&request).is_none_or(|r| r.reply.is_none());
        let (outcome, latency) = (ended.outcome, now - sent);
        self.events.push(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            answered: settled,
        }));
        self.forget(request);
    }

    /// Marks a request to be dropped if it is answered and nothing of it is out.
    fn forget(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(Open::is_over) {
            self.over.push(request);
        }
    }

    /// Drops what is over once the module knows of it. Until then it may ask for a further attempt, which
    /// must end under its own number: under another the module would take its slot as used for ever.
    fn drop_over(&mut self) {
        for request in self.over.drain(..) {
            if self.requests.get(&request).is_some_and(Open::is_over) {
                if let Some(r) = self.requests.remove(&request) {
                    self.deadlines.remove(&(r.deadline, request));
                }
            }
        }
    }

    fn answer(&mut self, request: RequestId, answer: Answer, end: End) {
        if let Some(r) = self.requests.get_mut(&request) {
            if let Some(reply) = r.settle() {
                let class = r.class;
                let _ = reply.send(answer);
                self.count(class, end);
            }
        }
        self.forget(request);
    }

    fn list(&mut self, update: ListUpdate, index: Option<u64>, targets: Vec<Target>) {
        let whole = matches!(update, ListUpdate::Full | ListUpdate::Cached);
        if update != ListUpdate::Lost {
            self.registry.list(self.clock.now(), index, whole, &targets);
        }
        let mut old = if whole { std::mem::take(&mut self.backends) } else { HashMap::new() };
        if whole {
            self.backend_set.clear();
        }
        let mut entries = Vec::with_capacity(targets.len());
        let mut left_out = 0;
        for target in targets {
            let id = target.backend.id;
            // Changes that name ever new backends must not fill the memory.
            if self.backends.len() >= self.most_backends && !self.backends.contains_key(&id) {
                left_out += 1;
                continue;
            }
            let seen = self.backend_set.update(&target.backend);
            tracing::debug!(server = %target.name, state = ?seen.state, "listed");
            let ready = seen.state == BackendState::Ready;
            entries.push(seen);
            let known = old.remove(&id).or_else(|| self.backends.remove(&id));
            let same = |u: &Rc<dyn Upstream>| {
                let held = u.target();
                held.address == target.address && held.backend.booted == target.backend.booted
            };
            let upstream = match known {
                Some(upstream) if same(&upstream) => upstream,
                // A restarted process shares no connection with the one before it.
                Some(upstream) => {
                    upstream.shut();
                    self.upstreams.make(target.clone())
                }
                None => self.upstreams.make(target.clone()),
            };
            if ready {
                upstream.open();
            } else {
                upstream.shut();
            }
            if target.backend.state != BackendState::Departed {
                self.backends.insert(id, upstream);
            }
        }
        if left_out > 0 {
            tracing::error!(
                "{left_out} backends beyond the {} that are held are left out",
                self.most_backends
            );
        }
        old.values().for_each(|upstream| upstream.shut());
        self.registry.serving.set(self.backends.values().any(|u| u.is_open()));
        let now = self.clock.now();
        self.subsystems.iter_mut().for_each(|s| s.listed(now, update));
        self.events.push(Event::Members { update, backends: entries });
    }

    /// The last byte of a request has come: from now on its client's patience is known.
    fn whole(&mut self, request: RequestId) {
        let now = self.clock.now();
        let Some(r) = self.requests.get_mut(&request) else { return };
        let Some(left) = r.after_last.take().filter(|left| now + *left < r.deadline) else { return };
        self.deadlines.remove(&(r.deadline, request));
        r.deadline = now + left;
        self.deadlines.insert((r.deadline, request));
    }

    /// Takes a backend out or puts it back: from here on nothing new goes to one that is out. `passed_on`: see
    /// Applies a command of the operators; see [`BackendSet::apply`].
    fn maintain(&mut self, name: &str, command: MaintenanceCommand, origin: CommandOrigin) -> CommandOutcome {
        let (outcome, changed) = self.backend_set.apply(self.clock.now(), name, command, origin);
        if let Some(seen) = changed {
            if let Some(upstream) = self.backends.get(&seen.id) {
                if seen.state == BackendState::Ready {
                    upstream.open();
                } else {
                    upstream.shut();
                }
            }
            self.registry.serving.set(self.backends.values().any(|u| u.is_open()));
            self.events.push(Event::Members { update: ListUpdate::Changes, backends: vec![seen] });
        }
        outcome
    }

    /// Ends as timed out what is out at its deadline; the module still owes its answer.
    fn expire(&mut self, now: Time) {
        while let Some((at, request)) = self.deadlines.first().filter(|d| d.0 <= now).copied() {
            self.deadlines.pop_first();
            let Some(r) = self.requests.get_mut(&request) else { continue };
            if r.left {
                r.attempts.drain().for_each(|(_, out)| _ = out.end(Outcome::TimedOut, now));
                self.last_word(now, request, Outcome::TimedOut);
                continue;
            }
            let settled = r.reply.is_none();
            for (attempt, out) in r.attempts.drain() {
                let outcome = Outcome::TimedOut;
                let latency = now - out.end(outcome, now);
                let end = AttemptEnd { request, attempt, outcome, latency, answered: settled };
                self.events.push(Event::AttemptEnded(end));
            }
            if !settled {
                self.overdue.push_back((at + Micros(GRACE_TICKS * self.config.tick.0), request));
            }
            self.forget(request);
        }
    }

    /// The safety net: fails what the module has not answered though its turn came after the deadline. It
    /// never refuses, for only the module knows what may have run.
    fn close_overdue(&mut self, now: Time) {
        while let Some((_, request)) = self.overdue.front().filter(|d| d.0 <= now).copied() {
            self.overdue.pop_front();
            if self.requests.get(&request).is_some_and(|r| r.reply.is_some()) {
                tracing::error!("request {} had no answer at its deadline", request.0);
                self.events.push(Event::ClientDisconnected { request });
                self.answer(request, Answer::Failed, End::FailedUnanswered);
            }
        }
    }

    /// The module's turn: all that has come in since the last one.
    fn act(&mut self, now: Time) {
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|t| t.0 .0 <= now).copied() {
            self.timers.pop();
            self.events.push(Event::Timer { token });
        }
        if self.events.is_empty() {
            return;
        }
        // Ticks lie on a grid: counted from each turn, every late wake-up would put off all that follow.
        self.turn = Time(now.0 - now.0 % self.config.tick.0) + self.config.tick;
        for mut event in std::mem::take(&mut self.events) {
            if let Event::Request(new) = &mut event {
                // Counted from the turn: the wait for it must not put off the module's idea of the deadline.
                new.remaining = self.requests.get(&new.request).map_or(Micros(0), |r| r.deadline - now);
            }
            let mut actions = std::mem::take(&mut self.actions);
            let handled = catch_unwind(AssertUnwindSafe(|| self.balancer.handle(now, event, &mut actions)));
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            self.actions = actions;
            if handled.is_err() {
                return self.restart();
            }
        }
        self.drop_over();
    }

    /// After a panic of the module its records cannot be trusted: it starts again from the list, and what it
    /// held is failed. The panic itself was reported by the hook.
    fn restart(&mut self) {
        tracing::error!(
            "the decision module panicked; it starts anew, {} requests fail",
            self.requests.len()
        );
        self.seed = self.seed.wrapping_add(1);
        match Balancer::new(self.config.clone(), self.seed) {
            Ok(balancer) => self.balancer = balancer,
            Err(e) => tracing::error!("the module refused its configuration: {e}"),
        }
        for (_, mut r) in self.requests.drain() {
            for (_, out) in r.attempts.drain() {
                out.end(Outcome::Cancelled, self.clock.now());
            }
            if let Some(reply) = r.settle() {
                self.registry.ended(r.class, End::FailedRestart);
                let _ = reply.send(Answer::Failed);
            }
        }
        self.deadlines.clear();
        self.overdue.clear();
        self.timers.clear();
        self.events.clear();
        let state =
            |u: &Rc<dyn Upstream>| if u.is_open() { BackendState::Ready } else { BackendState::Draining };
        let seen = |u: &Rc<dyn Upstream>| self.backend_set.view(&u.target().backend);
        let entry = |u: &Rc<dyn Upstream>| Backend { state: state(u), ..seen(u) };
        let backends = self.backends.values().map(entry).collect();
        self.events.push(Event::Members { update: ListUpdate::Cached, backends });
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend } => self.dispatch(now, request, backend),
            Action::Refuse { request } => self.refuse(now, request, End::RefusedByModule),
            Action::Fail { request } => self.answer(request, Answer::Failed, End::FailedByModule),
            Action::Leave { request } => self.leave(now, request),
            Action::Cancel { request, attempt } => {
                let Some(r) = self.requests.get_mut(&request) else { return };
                let Some(out) = r.attempts.remove(&attempt) else { return };
                let sent = r.end(out, Outcome::Cancelled, now);
                let (outcome, latency, settled) = (Outcome::Cancelled, now - sent, r.reply.is_none());
                let end = AttemptEnd { request, attempt, outcome, latency, answered: settled };
                self.events.push(Event::AttemptEnded(end));
                self.forget(request);
            }
            Action::SetTimer { token, after } => self.timers.push(Reverse((now + after, token))),
            Action::Follow => self.follow.notify_one(),
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    fn refuse(&mut self, now: Time, request: RequestId, end: End) {
        let source = self.requests.get(&request).filter(|r| r.reply.is_some()).map(|r| r.source);
        if let Some((source, out_of_turn)) = source {
            let refusal = self.refusal(now, source, out_of_turn, false);
            self.answer(request, refusal, end);
        }
    }

    /// Hands a request to whatever subsystem has a place for it; if none has, it is refused at once: it never ran.
    fn leave(&mut self, now: Time, request: RequestId) {
        let Some(r) = self.requests.get_mut(&request).filter(|r| r.reply.is_some()) else { return };
        r.left = true;
        let place = self.subsystems.iter_mut().find_map(|s| {
            let (class, deadline, hop) = (r.class, r.deadline, r.hop.as_ref());
            s.place(now, Leaving { class, call: &r.call, deadline, hop })
        });
        let Some(place) = place else { return self.refuse(now, request, End::RefusedElsewhere) };
        let attempt = AttemptNo(r.count);
        r.count += 1;
        let mut report = Report { to: self.inputs.clone(), request, attempt, told: false };
        let task = tokio::task::spawn_local(async move { report.tell(place.await) });
        r.attempts.insert(attempt, Attempt { sent: now, task: task.abort_handle(), row: None });
    }

    /// What a client is told whose request another region did not serve.
    fn last_word(&mut self, now: Time, request: RequestId, outcome: Outcome) {
        let Some(r) = self.requests.get(&request) else { return };
        let effect = effect(&self.config, r.class);
        match gaugesaddle_federation::client_answer(effect, outcome) {
            _ if r.reply.is_none() => self.forget(request),
            ClientAnswer::Rejected => self.refuse(now, request, End::RefusedElsewhere),
            ClientAnswer::Failed => self.answer(request, Answer::Failed, End::FailedElsewhere),
        }
    }

    fn dispatch(&mut self, now: Time, request: RequestId, backend: BackendId) {
        let inputs = self.inputs.clone();
        let Some(r) = self.requests.get_mut(&request) else { return };
        let attempt = AttemptNo(r.count);
        r.count += 1;
        let upstream = self.backends.get(&backend).filter(|_| r.reply.is_some() && r.deadline > now).cloned();
        let Some(upstream) = upstream else {
            // Answered meanwhile, or no such backend any more.
            let (outcome, latency, settled) = (Outcome::NeverSent, Micros(0), r.reply.is_none());
            let end = AttemptEnd { request, attempt, outcome, latency, answered: settled };
            self.events.push(Event::AttemptEnded(end));
            return;
        };
        if self.upstreams.is_full() && self.upstreams.give_way() {
            tracing::debug!("sockets are short: closed an idle connection");
        }
        let effect = effect(&self.config, r.class);
        let (call, span) = (r.call.clone(), r.span(effect, self.config.tick));
        tracing::debug!(
            id = call.head.headers().get(crate::form::CORRELATION).and_then(|v| v.to_str().ok()),
            server = %upstream.target().name,
            attempt = attempt.0,
            "sent"
        );
        let mut report = Report { to: inputs, request, attempt, told: false };
        let task = tokio::task::spawn_local(async move {
            report.tell(upstream.attempt(call, span).await);
        });
        self.registry.upstream_sockets.set(self.upstreams.sockets());
        self.subsystems.iter_mut().for_each(|s| s.began(attempt.0 == 0));
        let row = self.registry.backend(backend);
        if let Some(row) = &row {
            row.sent();
        }
        r.attempts.insert(attempt, Attempt { sent: now, task: task.abort_handle(), row });
    }
}

#[cfg(test)]
#[path = "driver/tests.rs"]
mod tests;
