//! Sends an admitted request to backends until one responds or no further attempt is permitted.

use crate::admission::AdmittedRequest;
use crate::api_key::ApiKeyGuard;
use crate::attempt::{send_attempt, UpstreamResponse};
use crate::backend::Backend;
use crate::headers::{self, API_KEY, DEADLINE, EXPECTED_INSTANCE, LAST_EVENT_ID, PRIORITY, TENANT};
use crate::load_reporter::{self, WorkInFlight};
use crate::rejection::Rejection;
use crate::request_body::RequestBody;
use crate::retry::RetryState;
use crate::state::EdgeState;
use bytes::Bytes;
use gaugesaddle_config::{Route, RoutingTable, ServiceIndex};
use gaugesaddle_http_connection::{strip_connection_headers, CountedPermit, SendGuard};
use gaugesaddle_inference::{Candidate, Choice, FleetView, Prompt};
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::Request;
use rand_core::RngCore;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// Failing backends are excluded only if at least this fraction of the backends is healthy; otherwise all are used, since
/// the fault may be on the side of the proxies.
const MIN_HEALTHY_FRACTION: f64 = 0.5;

/// An admitted request with the state of its attempts.
pub struct Dispatch {
    pub state: Rc<EdgeState>,
    pub route: Route,
    pub service_name: String,
    pub deadline: Instant,
    table: Rc<RoutingTable>,
    service: ServiceIndex,
    prompt: Prompt,
    key: Option<ApiKeyGuard>,
    head: Parts,
    /// `None` once no further attempt is permitted.
    body: RefCell<Option<RequestBody>>,
    attempts: Attempts,
}

/// The attempts of a request so far.
struct Attempts {
    /// Hashes of the IDs of the backends that were attempted.
    backends: RefCell<Vec<u64>>,
    retry: Cell<RetryState>,
}

impl Attempts {
    fn new(retry: RetryState) -> Attempts {
        Attempts { backends: RefCell::default(), retry: Cell::new(retry) }
    }

    fn include(&self, backend: u64) -> bool {
        self.backends.borrow().contains(&backend)
    }

    fn update<T>(&self, change: impl FnOnce(&mut RetryState) -> T) -> T {
        let mut retry = self.retry.get();
        let result = change(&mut retry);
        self.retry.set(retry);
        result
    }

    /// Begins an attempt at a backend.
    fn begin(&self, backend: u64) -> PendingAttempt<'_> {
        self.backends.borrow_mut().push(backend);
        PendingAttempt { attempts: self, is_complete: false }
    }
}

/// An attempt whose outcome is not known. If it is dropped before, it was cancelled and may have been executed.
struct PendingAttempt<'a> {
    attempts: &'a Attempts,
    is_complete: bool,
}

impl PendingAttempt<'_> {
    /// Records the outcome.
    fn complete<T>(mut self, record: impl FnOnce(&mut RetryState) -> T) -> T {
        self.is_complete = true;
        self.attempts.update(record)
    }
}

impl Drop for PendingAttempt<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            self.attempts.update(RetryState::record_cancelled);
        }
    }
}

/// A backend's response whose head has been received, with the data to record when its body begins.
pub struct StartedResponse {
    pub response: UpstreamResponse,
    pub backend: Rc<Backend>,
    pub choice: Choice,
    /// Counts as the backend's backlog until the response body begins.
    pub work: Option<WorkInFlight>,
    pub sent_at: Instant,
    pub in_flight: CountedPermit,
}

impl StartedResponse {
    /// Time since the request was sent to the backend, in ms.
    pub fn latency_ms(&self) -> f64 {
        self.sent_at.elapsed().as_secs_f64() * 1000.0
    }
}

impl Dispatch {
    /// Prepares the first attempt of an admitted request.
    ///
    /// # Errors
    /// [`Rejection::Unavailable`] if the route has no service.
    pub fn new(
        state: Rc<EdgeState>, table: Rc<RoutingTable>, admitted: AdmittedRequest, mut head: Parts,
        body: RequestBody,
    ) -> Result<Dispatch, Rejection> {
        let service = pick_service(&state, admitted.route).ok_or(Rejection::Unavailable)?;
        let key = ApiKeyGuard::new(&state, headers::text(&head.headers, &API_KEY), admitted.tenant);
        let service_name = table.services.get(service.0).ok_or(Rejection::Unavailable)?.name.clone();
        set_system_headers(&mut head, &admitted);
        record_arrival(&state, &admitted, &service_name);
        Ok(Dispatch {
            attempts: Attempts::new(RetryState::new(admitted.route)),
            route: admitted.route.clone(),
            prompt: admitted.prompt,
            deadline: admitted.deadline,
            state,
            table,
            service,
            service_name,
            key,
            head,
            body: RefCell::new(Some(body)),
        })
    }

    /// Sends the request and returns the first response of a backend.
    ///
    /// # Errors
    /// The rejection for the client if no backend responds.
    pub async fn first_response(&self) -> Result<StartedResponse, Rejection> {
        self.send(None).await
    }

    /// Resumes a broken stream: returns another backend's response, which begins after the last event that the client has.
    ///
    /// # Errors
    /// As [`Dispatch::first_response`].
    pub async fn resume_after(&self, last_event: Option<&str>) -> Result<StartedResponse, Rejection> {
        self.send(last_event).await
    }

    async fn send(&self, resume_after: Option<&str>) -> Result<StartedResponse, Rejection> {
        loop {
            self.check_attempt_allowed()?;
            let Some((backend, choice)) = self.choose_backend() else {
                return Err(self.attempts.retry.get().no_backend());
            };
            let in_flight = backend.begin_request();
            let work = Some(WorkInFlight::begin(&self.state, backend.identity, choice.work_tokens));
            let sent_at = Instant::now();
            let request = self.request_for(&backend, resume_after);
            let pending = self.attempts.begin(backend.identity);
            let result = send_attempt(&self.state, &backend, request, self.deadline, self.key.clone()).await;
            match result {
                Ok(response) => {
                    pending.complete(RetryState::record_response);
                    backend.record_data(Instant::now());
                    if response.head.status.is_server_error() {
                        self.record_failure(&backend);
                    }
                    return Ok(StartedResponse { response, backend, choice, work, sent_at, in_flight });
                }
                Err(failure) => {
                    drop(work);
                    self.record_failure(&backend);
                    pending.complete(|retry| retry.record_failure(failure))?;
                }
            }
        }
    }

    /// Checks the deadline, the API key and the retry budget before an attempt.
    fn check_attempt_allowed(&self) -> Result<(), Rejection> {
        let retry = self.attempts.retry.get();
        if Instant::now() >= self.deadline {
            return Err(retry.deadline_passed());
        }
        if self.key.as_ref().is_some_and(|key| !key.may_send()) {
            return Err(retry.key_unproven());
        }
        if retry.is_retry() && !self.state.take_retry(&self.service_name) {
            return Err(retry.no_backend());
        }
        Ok(())
    }

    /// Counts a failure in the load report to the other proxies, whether the backend refused the request or failed while
    /// processing it: in both cases requests should be sent to other backends.
    pub fn record_failure(&self, backend: &Backend) {
        let number = load_reporter::backend_number(backend.identity);
        self.state.load_view.borrow_mut().record_failed_request(self.state.now(), number);
    }

    /// Counts a success in the load report to the other proxies.
    pub fn record_success(&self, backend: &Backend) {
        let number = load_reporter::backend_number(backend.identity);
        self.state.load_view.borrow_mut().record_served_request(self.state.now(), number);
    }

    /// Records the latency of a response for the choice of backends.
    pub fn record_latency(&self, choice: &Choice, latency_ms: f64) {
        let statistics = &self.state.statistics;
        statistics.with_chooser(&self.route, &self.service_name, |chooser| {
            chooser.record_latency(choice, latency_ms);
        });
    }

    /// Releases the body unless the stream may be resumed at another backend. `is_resumable`: as far as its content permits it.
    pub fn release_body(&self, is_resumable: bool) {
        if !is_resumable || !self.attempts.retry.get().may_resume() {
            self.body.take();
        }
    }

    /// Records that a stream was interrupted. Returns whether it may be resumed at another backend.
    pub fn record_broken_stream(&self) -> bool {
        self.attempts.update(RetryState::record_broken_stream)
    }

    /// Selects a backend that was not attempted yet, a healthy one if there is any.
    fn choose_backend(&self) -> Option<(Rc<Backend>, Choice)> {
        let now = self.state.now();
        let backends = self.eligible_backends(now);
        let settings = &self.state.chooser_settings;
        let candidates: Vec<Candidate> = {
            let loads = self.state.load_view.borrow();
            let candidate = |backend: &Rc<Backend>| {
                let number = load_reporter::backend_number(backend.identity);
                let backlog =
                    if settings.shared_load { loads.work(now, number) } else { loads.own_work(number) };
                Candidate { identity: backend.identity, slots: backend.slots, backlog_tokens: backlog }
            };
            backends.iter().map(candidate).collect()
        };
        let proxies = self.state.proxies();
        let sizes = self.state.statistics.prompt_sizes(&self.service_name);
        let inflow_tokens = sizes.inflow_tokens(now, settings.report_delay_ms, proxies, candidates.len());
        let view = FleetView { proxies, inflow_tokens, objective_ms: self.route.latency_objective_ms };
        let mut random = self.state.random.borrow_mut();
        let statistics = &self.state.statistics;
        let choice = statistics.with_chooser(&self.route, &self.service_name, |chooser| {
            chooser.choose(now, &candidates, self.prompt, view, &mut *random)
        })?;
        backends.get(choice.index).map(|backend| (backend.clone(), choice))
    }

    /// The backends among which the choice is made.
    fn eligible_backends(&self, now: u64) -> Vec<Rc<Backend>> {
        let settings = &self.state.chooser_settings;
        let max_connections = self.state.max_connections(&self.table, self.service);
        let mut backends = self.state.backends(&self.service_name);
        backends.retain(|backend| !self.attempts.include(backend.identity));
        backends.retain(|backend| {
            backend.open_sockets() < max_connections || backend.in_flight() < backend.open_sockets()
        });
        let is_avoided = |backend: &Backend| settings.avoid_failed && backend.is_avoided(now);
        let is_healthy = |backend: &Rc<Backend>| !backend.lease_expired.get() && !is_avoided(backend);
        if backends.iter().any(is_healthy) {
            backends.retain(is_healthy);
        }
        self.exclude_failing(now, &mut backends);
        if settings.isolate_long_prompts {
            self.separate_long_prompts(&mut backends);
        }
        backends
    }

    /// Excludes backends that are failing according to all proxies' reports, unless too few backends would remain.
    fn exclude_failing(&self, now: u64, backends: &mut Vec<Rc<Backend>>) {
        if !self.state.chooser_settings.shared_health {
            return;
        }
        let loads = self.state.load_view.borrow();
        let is_failing = |backend: &Rc<Backend>| {
            loads.health(now, load_reporter::backend_number(backend.identity)).is_failing()
        };
        let healthy = backends.iter().filter(|backend| !is_failing(backend)).count();
        if healthy as f64 >= backends.len() as f64 * MIN_HEALTHY_FRACTION {
            backends.retain(|backend| !is_failing(backend));
        }
    }

    /// Retains only the backends reserved for long prompts if this prompt is long, and only the other ones if it is not.
    fn separate_long_prompts(&self, backends: &mut Vec<Rc<Backend>>) {
        let sizes = self.state.statistics.prompt_sizes(&self.service_name);
        let identities: Vec<u64> = backends.iter().map(|backend| backend.identity).collect();
        let reserved = sizes.reserved_backends(&identities);
        let is_long = sizes.is_long(self.prompt);
        if reserved.contains(&is_long) {
            let mut reserved = reserved.into_iter();
            backends.retain(|_| reserved.next() == Some(is_long));
        }
    }

    fn request_for(&self, backend: &Backend, resume_after: Option<&str>) -> Request<Full<Bytes>> {
        let body = self.body.borrow().as_ref().map(RequestBody::bytes).unwrap_or_default();
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let headers = request.headers_mut();
        let remaining_ms = self.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        headers.insert(DEADLINE, HeaderValue::from(remaining_ms));
        if let Ok(id) = HeaderValue::from_str(&backend.id) {
            headers.insert(EXPECTED_INSTANCE, id);
        }
        if let Some(id) = resume_after.and_then(|id| HeaderValue::from_str(id).ok()) {
            headers.insert(LAST_EVENT_ID, id);
        }
        request
    }
}

/// Removes the headers that clients may not set, and sets those that the proxy sends to backends.
fn set_system_headers(head: &mut Parts, admitted: &AdmittedRequest) {
    let headers = &mut head.headers;
    strip_connection_headers(headers);
    headers.remove(API_KEY);
    headers.remove(TENANT);
    headers.remove(EXPECTED_INSTANCE);
    if let Some(value) = admitted.tenant.and_then(|t| HeaderValue::from_str(&t.name).ok()) {
        headers.insert(TENANT, value);
    }
    headers.insert(PRIORITY, HeaderValue::from(admitted.priority));
}

fn record_arrival(state: &EdgeState, admitted: &AdmittedRequest, service: &str) {
    let now = state.now();
    let statistics = &state.statistics;
    statistics.record_request(now, service);
    statistics.record_prompt(now, service, admitted.prompt);
    statistics.with_chooser(admitted.route, service, |chooser| {
        chooser.record_arrival(now, admitted.prompt.prefix);
    });
}

/// Selects one of the route's services at random, by weight.
fn pick_service(state: &EdgeState, route: &Route) -> Option<ServiceIndex> {
    let total: f64 = route.split.iter().map(|(_, weight)| weight).sum();
    let uniform = f64::from(state.random.borrow_mut().next_u32()) / (f64::from(u32::MAX) + 1.0);
    let mut remaining = uniform * total;
    for (service, weight) in &route.split {
        if remaining < *weight {
            return Some(*service);
        }
        remaining -= weight;
    }
    // Rounding errors may leave a remainder; the last service with a positive weight takes it.
    let mut weighted = route.split.iter().rev().filter(|(_, weight)| *weight > 0.0);
    weighted.next().map(|(service, _)| *service)
}
