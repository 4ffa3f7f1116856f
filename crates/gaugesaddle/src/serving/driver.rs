//! The driver is the only owner of the balancer, the open requests and their attempts. It translates inputs into events
//! of the balancer and executes the balancer's actions. The balancer decides whether a request is served, by which
//! backend, and whether it is retried.
//!
//! `open_request` holds the state of one request and its attempts, `requests` follows requests from arrival to answer,
//! `dispatch` sends attempts, `listing` applies lists and operators' commands.

mod dispatch;
mod listing;
mod open_request;
mod requests;

use crate::clock::Clock;
use crate::discovery::backend_set::BackendSet;
use crate::operations::registry::{Registry, RequestEnd};
use crate::serving::exchange::{Answer, Input, Upstream, Upstreams};
use crate::serving::extension::Extension;
use gaugesaddle_balancer::{
    Action, AttemptEnd, Backend, BackendId, BackendState, Balancer, Config, ConfigError, Event, ListUpdate,
    Micros, Outcome, RequestId, Time, TimerToken,
};
use open_request::OpenRequest;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use tokio::sync::{mpsc, Notify};

/// Interval of checks of idle connections.
const SWEEP_INTERVAL: Micros = Micros(1_000_000);
/// Arrivals per second from which the balancer's status is logged.
const MIN_LOGGED_ARRIVALS: f64 = 0.1;
const NEVER: Time = Time(u64::MAX);

/// The parameters and dependencies of a driver.
pub struct DriverParts {
    pub clock: Clock,
    pub config: Config,
    pub seed: u64,
    /// Maximum number of open requests.
    pub open_cap: usize,
    /// Maximum number of backends; further entries of a list are ignored, which is logged.
    pub max_backends: usize,
    pub upstreams: Rc<dyn Upstreams>,
    /// Receives the ends of attempts.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Notified when the balancer requests updates of the list.
    pub updates_requested: Rc<Notify>,
    pub registry: Rc<Registry>,
    /// The enabled extensions.
    pub extensions: Vec<Box<dyn Extension>>,
}

/// The driver; see the module's documentation.
pub struct Driver {
    clock: Clock,
    config: Config,
    seed: u64,
    open_cap: usize,
    max_backends: usize,
    balancer: Balancer,
    upstreams: Rc<dyn Upstreams>,
    backends: HashMap<BackendId, Rc<dyn Upstream>>,
    requests: HashMap<RequestId, OpenRequest>,
    /// Requests to be removed once the balancer has seen their last event.
    ended: Vec<RequestId>,
    deadlines: BTreeSet<(Time, RequestId)>,
    /// Requests past their deadline, with the time until which the balancer may still answer them.
    overdue: VecDeque<(Time, RequestId)>,
    timers: BinaryHeap<Reverse<(Time, TimerToken)>>,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// The earliest time of the balancer's next run: it runs at most once a tick.
    next_tick: Time,
    inputs: mpsc::UnboundedSender<Input>,
    updates_requested: Rc<Notify>,
    registry: Rc<Registry>,
    backend_set: BackendSet,
    extensions: Vec<Box<dyn Extension>>,
}

impl Driver {
    /// A driver without backends or requests.
    ///
    /// # Errors
    /// The balancer rejects its configuration.
    pub fn new(parts: DriverParts) -> Result<Driver, ConfigError> {
        Ok(Driver {
            clock: parts.clock,
            balancer: Balancer::new(parts.config.clone(), parts.seed)?,
            config: parts.config,
            seed: parts.seed,
            open_cap: parts.open_cap,
            max_backends: parts.max_backends,
            upstreams: parts.upstreams,
            backends: HashMap::new(),
            requests: HashMap::new(),
            ended: Vec::new(),
            deadlines: BTreeSet::new(),
            overdue: VecDeque::new(),
            timers: BinaryHeap::new(),
            events: Vec::new(),
            actions: Vec::new(),
            next_tick: Time(0),
            inputs: parts.inputs,
            updates_requested: parts.updates_requested,
            registry: parts.registry,
            backend_set: BackendSet::default(),
            extensions: parts.extensions,
        })
    }

    /// Runs until all senders of inputs are dropped.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let sleep = tokio::time::sleep_until(self.clock.instant(self.clock.now()));
        tokio::pin!(sleep);
        let mut sleeps_until = Time(0);
        let mut next_sweep = self.clock.now() + SWEEP_INTERVAL;
        loop {
            let wake_at = self.wake_at().min(next_sweep);
            if wake_at != sleeps_until {
                sleeps_until = wake_at;
                sleep.as_mut().reset(self.clock.instant(wake_at));
            }
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                () = &mut sleep => sleeps_until = Time(0),
            }
            while let Ok(input) = inputs.try_recv() {
                self.handle_input(input);
            }
            let now = self.clock.now();
            self.advance(now);
            if now >= next_sweep {
                next_sweep = now + SWEEP_INTERVAL;
                self.sweep();
            }
        }
    }

    /// Does what is due at `now`.
    fn advance(&mut self, now: Time) {
        for extension in &mut self.extensions {
            extension.poll(now, &self.balancer, &mut self.events);
        }
        self.expire(now);
        if now >= self.next_tick {
            self.run_balancer(now);
            // After the balancer's run: at a late wake-up deadlines and the balancer's tick are due at the same moment,
            // and a request with less than a tick remaining gets its answer from the timer after its deadline.
            self.close_overdue(now);
        }
    }

    /// Publishes the balancer's state and closes connections that are not needed.
    fn sweep(&self) {
        for view in self.balancer.limits() {
            self.registry.backend(view.backend).iter().for_each(|row| row.record_limit(view));
        }
        let status = self.balancer.status();
        if status.arrivals >= MIN_LOGGED_ARRIVALS {
            // Operators' tools sum this line over a fleet.
            tracing::info!("standing: {status}");
        }
        for upstream in self.backends.values() {
            tokio::task::spawn_local(upstream.clone().sweep());
        }
    }

    /// The time at which something is due even without an input.
    fn wake_at(&self) -> Time {
        let timer = self.timers.peek().map_or(NEVER, |Reverse((at, _))| *at);
        let balancer = if self.events.is_empty() { timer } else { self.next_tick };
        let overdue = self.overdue.front().map_or(NEVER, |(at, _)| *at);
        let deadline = self.deadlines.first().map_or(NEVER, |(at, _)| *at);
        let extensions = self.extensions.iter().map(|extension| extension.wake_at()).min().unwrap_or(NEVER);
        balancer.min(overdue).max(self.next_tick).min(deadline).min(extensions)
    }

    /// Handles an input. Everything that cannot wait for the balancer's tick is done at once: a successful answer is
    /// relayed to its client.
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Arrived(request) => self.add_request(request),
            Input::ClientDisconnected(request) => self.disconnect(request),
            Input::AttemptEnded(request, attempt, result) => self.finish_attempt(request, attempt, result),
            Input::BodyComplete(request) => self.complete_body(request),
            Input::List { update, index, targets } => self.apply_list(update, index, targets),
            Input::Maintain { name, command, origin, reply } => {
                let _ = reply.send(self.maintain(&name, command, origin));
            }
        }
    }

    /// Runs the balancer's tick, which handles all events since the last one.
    fn run_balancer(&mut self, now: Time) {
        while let Some(Reverse((_, token))) = self.timers.peek().filter(|timer| timer.0 .0 <= now).copied() {
            self.timers.pop();
            self.events.push(Event::Timer { token });
        }
        if self.events.is_empty() {
            return;
        }
        // Ticks are on a grid: if they counted from the previous tick, each late wake-up would delay all later ticks.
        self.next_tick = Time(now.0 - now.0 % self.config.tick.0) + self.config.tick;
        for mut event in std::mem::take(&mut self.events) {
            if let Event::Request(arrival) = &mut event {
                // Counted from the tick: the wait for the tick must not move the deadline that the balancer assumes.
                let request = self.requests.get(&arrival.request);
                arrival.remaining = request.map_or(Micros(0), |request| request.deadline - now);
            }
            let mut actions = std::mem::take(&mut self.actions);
            let handled = catch_unwind(AssertUnwindSafe(|| self.balancer.handle(now, event, &mut actions)));
            for action in actions.drain(..) {
                self.execute(now, action);
            }
            self.actions = actions;
            if handled.is_err() {
                return self.restart();
            }
        }
        self.remove_ended();
    }

    /// Replaces the balancer after a panic, since its state cannot be trusted: the new one starts from the list of
    /// backends, and all open requests fail. The panic hook has reported the panic itself.
    fn restart(&mut self) {
        tracing::error!(
            "the balancer panicked; it is restarted, and {} open requests fail",
            self.requests.len()
        );
        self.seed = self.seed.wrapping_add(1);
        match Balancer::new(self.config.clone(), self.seed) {
            Ok(balancer) => self.balancer = balancer,
            Err(e) => tracing::error!("restarting the balancer: it rejected its configuration: {e}"),
        }
        for (_, mut request) in self.requests.drain() {
            for (_, attempt) in request.attempts.drain() {
                attempt.finish(Outcome::Cancelled, self.clock.now());
            }
            if let Some(reply) = request.take_reply() {
                self.registry.record_end(request.class, RequestEnd::FailedRestart);
                let _ = reply.send(Answer::Failed);
            }
        }
        self.deadlines.clear();
        self.overdue.clear();
        self.timers.clear();
        self.events.clear();
        let backends = self.backends.values().map(|upstream| self.listed_entry(upstream)).collect();
        self.events.push(Event::Members { update: ListUpdate::Cached, backends });
    }

    /// The entry that a list would have for a backend now.
    fn listed_entry(&self, upstream: &Rc<dyn Upstream>) -> Backend {
        let state = if upstream.is_open() { BackendState::Ready } else { BackendState::Draining };
        Backend { state, ..self.backend_set.view(&upstream.target().backend) }
    }

    fn execute(&mut self, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend } => self.dispatch(now, request, backend),
            Action::Refuse { request } => self.reject(now, request, RequestEnd::RejectedByBalancer),
            Action::Fail { request } => self.answer(request, Answer::Failed, RequestEnd::FailedByBalancer),
            Action::Forward { request } => self.forward(now, request),
            Action::Cancel { request, attempt } => {
                let Some(r) = self.requests.get_mut(&request) else { return };
                let Some(cancelled) = r.attempts.remove(&attempt) else { return };
                let outcome = Outcome::Cancelled;
                let sent_at = r.finish_attempt(cancelled, outcome, now);
                let (latency, answered) = (now - sent_at, r.reply.is_none());
                let end = AttemptEnd { request, attempt, outcome, latency, answered };
                self.events.push(Event::AttemptEnded(end));
                self.mark_ended(request);
            }
            Action::SetTimer { token, after } => self.timers.push(Reverse((now + after, token))),
            Action::SubscribeBackends => self.updates_requested.notify_one(),
            Action::Log(text) => tracing::info!("{text}"),
        }
    }
}

#[cfg(test)]
mod tests;
