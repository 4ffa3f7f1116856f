//! Sends an admitted request to backends until one answers or no further attempt is allowed.

use super::admission::Admitted;
use super::attempts::Attempts;
use super::backend::Backend;
use super::fleet::Fleet;
use super::headers::{self, API_KEY, DEADLINE, EXPECTED_INSTANCE, LAST_EVENT_ID, PRIORITY, TENANT};
use super::keys::KeyInUse;
use super::load::{self, WorkInFlight};
use super::refusal::Refusal;
use super::upstream::{attempt, Answer};
use crate::counted::Counted;
use crate::exchange::strip;
use crate::wire::MayBegin;
use bytes::Bytes;
use gaugesaddle_config::{Route, RoutingTable, ServiceIndex};
use gaugesaddle_inference::{Candidate, Choice, FleetView, Prompt};
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::Request;
use rand_pcg::rand_core::RngCore;
use std::rc::Rc;
use tokio::time::Instant;

/// Failing backends are left out only where so large a part is sound: else all are tried, since the fault may be here.
const MIN_SOUND: f64 = 0.5;

/// A request with all that further attempts need.
pub struct Job {
    pub fleet: Rc<Fleet>,
    pub table: Rc<RoutingTable>,
    pub route: Route,
    pub service: ServiceIndex,
    pub service_name: String,
    pub prompt: Prompt,
    pub deadline: Instant,
    key: Option<KeyInUse>,
    head: Parts,
    body: Bytes,
    /// Identities of the backends that it was sent to.
    tried: Vec<u64>,
    attempts: Attempts,
    _active: Counted,
}

/// A backend's answer that has begun, and where it comes from.
pub struct Begun {
    pub answer: Answer,
    pub backend: Rc<Backend>,
    pub choice: Choice,
    /// Its work, until the answer has begun.
    pub work: Option<WorkInFlight>,
    pub sent: Instant,
    pub in_use: Counted,
}

impl Job {
    pub fn new(
        fleet: Rc<Fleet>, table: Rc<RoutingTable>, admitted: Admitted, mut head: Parts, body: Bytes,
    ) -> Result<Job, Refusal> {
        let service = pick_service(&fleet, admitted.route).ok_or(Refusal::Unavailable)?;
        let key = KeyInUse::of(&fleet, headers::text(&head.headers, &API_KEY), admitted.tenant);
        let service_name = table.services.get(service.0).ok_or(Refusal::Unavailable)?.name.clone();
        strip(&mut head.headers);
        head.headers.remove(API_KEY);
        head.headers.remove(TENANT);
        head.headers.remove(EXPECTED_INSTANCE);
        if let Some(value) = admitted.tenant.and_then(|t| HeaderValue::from_str(&t.name).ok()) {
            head.headers.insert(TENANT, value);
        }
        fleet.record_request(&service_name);
        fleet.note_prompt(&service_name, admitted.prompt);
        head.headers.insert(PRIORITY, HeaderValue::from(admitted.priority));
        let now = fleet.now();
        fleet.with_chooser(admitted.route, &service_name, |c| c.record_arrival(now, admitted.prompt.prefix));
        Ok(Job {
            attempts: Attempts::new(admitted.route),
            route: admitted.route.clone(),
            prompt: admitted.prompt,
            deadline: admitted.deadline,
            _active: Counted::take(&fleet.active),
            fleet,
            table,
            service,
            service_name,
            key,
            head,
            body,
            tried: Vec::new(),
        })
    }

    /// The first answer of a backend.
    pub async fn begin(&mut self) -> Result<Begun, Refusal> {
        self.send(None).await
    }

    /// Another backend's answer behind the last event that the client has.
    pub async fn go_on(&mut self, last_event: Option<&str>) -> Result<Begun, Refusal> {
        self.send(last_event).await
    }

    async fn send(&mut self, resume: Option<&str>) -> Result<Begun, Refusal> {
        loop {
            if Instant::now() >= self.deadline {
                return Err(self.attempts.out_of_time());
            }
            if self.key.as_ref().is_some_and(|key| !key.may_begin()) {
                return Err(self.attempts.unproven());
            }
            if self.attempts.is_repeat() && !self.fleet.may_repeat(&self.service_name) {
                return Err(self.attempts.refusal());
            }
            let Some((backend, choice)) = self.choose() else { return Err(self.attempts.refusal()) };
            let in_use = backend.use_for();
            let work = Some(WorkInFlight::begin(&self.fleet, backend.identity, choice.work_tokens));
            let sent = Instant::now();
            let request = self.request(&backend, resume);
            let outcome = attempt(&self.fleet, &backend, request, self.deadline, self.key.clone()).await;
            self.tried.push(backend.identity);
            match outcome {
                Ok(answer) => {
                    self.attempts.answered();
                    if answer.head.status.is_server_error() {
                        self.note_failure(&backend);
                    }
                    return Ok(Begun { answer, backend, choice, work, sent, in_use });
                }
                Err(failed) => {
                    drop(work);
                    self.note_failure(&backend);
                    self.attempts.failed(failed)?;
                }
            }
        }
    }

    /// What failed at a backend is told to the other proxies; whether it refused or broke off, others are better asked.
    pub fn note_failure(&self, backend: &Backend) {
        self.fleet.loads.borrow_mut().failed(self.fleet.now(), load::number(backend.identity));
    }

    /// The answer that had begun broke off; whether another backend may go on.
    pub fn broke_off(&mut self) -> bool {
        self.attempts.broke_off()
    }

    /// Draws a backend that was not tried: of those that fare well, else of all.
    fn choose(&self) -> Option<(Rc<Backend>, Choice)> {
        let now = self.fleet.now();
        let most = self.fleet.connections(&self.table, self.service);
        let mut backends = self.fleet.backends(&self.service_name);
        backends.retain(|b| !self.tried.contains(&b.identity));
        backends.retain(|b| b.sockets() < most || b.outstanding() < b.sockets());
        let settings = &self.fleet.settings;
        let avoided = |b: &Backend| settings.avoid_failed && b.is_avoided(now);
        let well = |b: &Rc<Backend>| !b.expired.get() && !avoided(b);
        if backends.iter().any(well) {
            backends.retain(well);
        }
        self.leave_failing(now, &mut backends);
        if settings.isolate_long_prompts {
            self.keep_apart(&mut backends);
        }
        let loads = self.fleet.loads.borrow();
        let backlog = |b: &Backend| match settings.shared_load {
            true => loads.work(now, load::number(b.identity)),
            false => loads.own_work(load::number(b.identity)),
        };
        let candidate =
            |b: &Rc<Backend>| Candidate { identity: b.identity, slots: b.slots, backlog_tokens: backlog(b) };
        let candidates: Vec<Candidate> = backends.iter().map(candidate).collect();
        let proxies = self.fleet.proxies();
        let inflow_tokens = self.fleet.sizes(&self.service_name).inflow_tokens(
            now,
            settings.report_delay_ms,
            proxies,
            candidates.len(),
        );
        let view = FleetView { proxies, inflow_tokens, objective_ms: self.route.target_ms };
        let mut random = self.fleet.random.borrow_mut();
        let choice = self.fleet.with_chooser(&self.route, &self.service_name, |chooser| {
            chooser.choose(now, &candidates, self.prompt, view, &mut *random)
        })?;
        backends.get(choice.index).map(|b| (b.clone(), choice))
    }

    /// Leaves out backends at which requests fail, seen over all proxies, unless that leaves too few.
    fn leave_failing(&self, now: u64, backends: &mut Vec<Rc<Backend>>) {
        if !self.fleet.settings.shared_health {
            return;
        }
        let loads = self.fleet.loads.borrow();
        let fails = |b: &Rc<Backend>| loads.health(now, load::number(b.identity)).is_failing();
        let sound = backends.iter().filter(|b| !fails(b)).count();
        if sound as f64 >= backends.len() as f64 * MIN_SOUND {
            backends.retain(|b| !fails(b));
        }
    }

    /// Leaves the backends that are kept for long prompts, or the others.
    fn keep_apart(&self, backends: &mut Vec<Rc<Backend>>) {
        let sizes = self.fleet.sizes(&self.service_name);
        let identities: Vec<u64> = backends.iter().map(|b| b.identity).collect();
        let marks = sizes.reserved_backends(&identities);
        let long = sizes.is_long(self.prompt);
        if marks.contains(&long) {
            let mut marks = marks.into_iter();
            backends.retain(|_| marks.next() == Some(long));
        }
    }

    fn request(&self, backend: &Backend, resume: Option<&str>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let headers = request.headers_mut();
        let left = self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        headers.insert(DEADLINE, HeaderValue::from(left));
        if let Ok(id) = HeaderValue::from_str(&backend.id) {
            headers.insert(EXPECTED_INSTANCE, id);
        }
        if let Some(id) = resume.and_then(|id| HeaderValue::from_str(id).ok()) {
            headers.insert(LAST_EVENT_ID, id);
        }
        request
    }
}

/// Draws one of the route's services by weight.
fn pick_service(fleet: &Fleet, route: &Route) -> Option<ServiceIndex> {
    let total: f64 = route.split.iter().map(|(_, weight)| weight).sum();
    let part = fleet.random.borrow_mut().next_u32() as f64 / (u32::MAX as f64 + 1.0);
    let mut left = part * total;
    for (service, weight) in &route.split {
        if left < *weight {
            return Some(*service);
        }
        left -= weight;
    }
    route.split.iter().rev().find(|(_, weight)| *weight > 0.0).map(|(service, _)| *service)
}
