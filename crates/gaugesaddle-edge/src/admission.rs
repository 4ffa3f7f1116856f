//! Admission of a request before it is sent: route, API key and quota.

use crate::headers::{self, API_KEY, DEADLINE, PREFIX_HASH, TOKEN_USAGE};
use crate::rejection::Rejection;
use crate::state::{EdgeState, PROOF_FRACTION};
use gaugesaddle_config::{Route, RoutingTable, Tenant};
use gaugesaddle_inference::{Prompt, PromptBlocks, TokenUsage};
use gaugesaddle_quota::Admission;
use hyper::header::HOST;
use hyper::http::request::Parts;
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of its latency objective for which a request waits for tokens.
const TOKEN_WAIT_FRACTION: f64 = 0.24;
/// Number of priority levels per step of a tenant's priority: the tenant's priority takes precedence over the route's.
const TENANT_PRIORITY_STEP: u32 = 3;
/// The least urgent priority that backends support.
const LEAST_URGENT_PRIORITY: u32 = 9;

/// A request that may be sent, with its attributes.
pub struct AdmittedRequest<'a> {
    pub route: &'a Route,
    /// `None` if no known API key was given, which is permitted on public routes and if the configuration requires no keys.
    pub tenant: Option<&'a Tenant>,
    pub prompt: Prompt,
    /// The earlier of the client's deadline and the route's timeout.
    pub deadline: Instant,
    /// Sent to backends; 0 is the most urgent.
    pub priority: u32,
}

/// Finds the route and the tenant of a request.
///
/// # Errors
/// [`Rejection::NoRoute`] or [`Rejection::InvalidKey`].
pub fn identify<'a>(
    table: &'a RoutingTable, head: &Parts, arrived: Instant,
) -> Result<AdmittedRequest<'a>, Rejection> {
    let host = headers::text(&head.headers, &HOST).or(head.uri.host()).unwrap_or("");
    let route = table.route(host, head.uri.path()).ok_or(Rejection::NoRoute)?;
    let key = headers::text(&head.headers, &API_KEY);
    let tenant = key.and_then(|key| table.tenant(key));
    if tenant.is_none() && table.needs_keys() && !route.public {
        return Err(Rejection::InvalidKey);
    }
    let prompt_blocks = headers::text(&head.headers, &PREFIX_HASH).and_then(PromptBlocks::parse);
    Ok(AdmittedRequest {
        route,
        tenant,
        prompt: prompt_blocks.as_ref().map(Prompt::from).unwrap_or_default(),
        deadline: arrived + time_limit(route, head),
        priority: priority(route, tenant),
    })
}

/// Refuses a request for lack of a route or key only with proof that no change of the last `configApplyMs` is missing here:
/// another proxy may already serve what this one does not know.
pub fn confirm_refusal(state: &EdgeState, rejection: Rejection) -> Rejection {
    let bound_ms = (state.boot.bounds.config_apply_ms as f64 * PROOF_FRACTION) as u64;
    match rejection {
        Rejection::NoRoute | Rejection::InvalidKey if !state.is_proven_within(bound_ms) => {
            Rejection::ConfigurationUnproven
        }
        other => other,
    }
}

/// The time limit that the client requests, at most the route's timeout.
fn time_limit(route: &Route, head: &Parts) -> Duration {
    let requested_ms = headers::text(&head.headers, &DEADLINE).and_then(|text| text.parse::<f64>().ok());
    let route_ms = route.timeout_ms as f64;
    let limit_ms = requested_ms.unwrap_or(route_ms).clamp(0.0, route_ms);
    Duration::from_secs_f64(limit_ms / 1000.0)
}

fn priority(route: &Route, tenant: Option<&Tenant>) -> u32 {
    let tenant_rank = tenant.map_or(0, |tenant| tenant.priority);
    let route_rank = route.priority.min(TENANT_PRIORITY_STEP - 1);
    (tenant_rank * TENANT_PRIORITY_STEP + route_rank).min(LEAST_URGENT_PRIORITY)
}

/// Takes the request's tokens from its tenant's allowance; if they do not suffice, waits for a limited time for the leader
/// to grant more.
///
/// # Errors
/// [`Rejection::OverQuota`], at the end of a shutdown at once.
pub async fn take_quota(
    state: &EdgeState, head: &Parts, request: &AdmittedRequest<'_>,
) -> Result<(), Rejection> {
    let Some(tenant) = request.tenant.filter(|tenant| tenant.limit.is_some()) else { return Ok(()) };
    let cost = cost(head, tenant);
    if take_tokens(state, &tenant.name, cost) {
        return Ok(());
    }
    let deficit = TokenDeficit::register(state, &tenant.name, cost);
    let wait_ms = request.route.latency_objective_ms * TOKEN_WAIT_FRACTION;
    let wait_until = Instant::now() + Duration::from_secs_f64(wait_ms / 1000.0);
    loop {
        // Created before the quota task is notified; otherwise its grant could be missed.
        let granted = state.tokens_granted.notified();
        state.tokens_needed.notify_one();
        let in_time = tokio::time::timeout_at(wait_until, granted).await.is_ok();
        if take_tokens(state, &tenant.name, cost) {
            drop(deficit);
            return Ok(());
        }
        if !in_time || state.token_wait_is_over.get() {
            return Err(Rejection::OverQuota);
        }
    }
}

fn take_tokens(state: &EdgeState, tenant: &str, cost: u64) -> bool {
    state.allowance.borrow_mut().take(state.now(), tenant, cost) == Admission::Granted
}

/// Tokens needed by a waiting request, counted in the tenant's deficit until this is dropped.
struct TokenDeficit<'a> {
    state: &'a EdgeState,
    tenant: &'a str,
    cost: u64,
}

impl<'a> TokenDeficit<'a> {
    fn register(state: &'a EdgeState, tenant: &'a str, cost: u64) -> TokenDeficit<'a> {
        state.allowance.borrow_mut().add_deficit(tenant, cost);
        TokenDeficit { state, tenant, cost }
    }
}

impl Drop for TokenDeficit<'_> {
    fn drop(&mut self) {
        self.state.allowance.borrow_mut().remove_deficit(self.tenant, self.cost);
    }
}

/// The cost of a request in its tenant's quota: its tokens, or 1 if the quota counts requests.
fn cost(head: &Parts, tenant: &Tenant) -> u64 {
    if !tenant.counts_tokens {
        return 1;
    }
    let usage = headers::text(&head.headers, &TOKEN_USAGE).and_then(TokenUsage::parse);
    usage.map_or(tenant.plain_tokens, |usage| usage.total())
}
