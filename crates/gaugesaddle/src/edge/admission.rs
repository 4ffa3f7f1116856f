//! What a request must pass before it is sent: route, key, size, quota.

use super::fleet::Fleet;
use super::headers::{self, API_KEY, DEADLINE, PREFIX_HASH, TOKEN_USAGE};
use super::refusal::Refusal;
use gaugesaddle_config::{Route, RoutingTable, Tenant};
use gaugesaddle_inference::{Prompt, PromptParts, TokenUsage};
use gaugesaddle_quota::Admission;
use hyper::header::HOST;
use hyper::http::request::Parts;
use std::time::Duration;
use tokio::time::Instant;

/// Part of its objective that a request waits for tokens.
const TOKEN_WAIT_PART: f64 = 0.24;
/// Priorities that one step of a tenant's rank is worth.
const TENANT_STEP: u32 = 3;
/// The least urgent priority that backends know.
const MIN_URGENT: u32 = 9;

/// A request that may be sent, with what is known of it.
pub struct Admitted<'a> {
    pub route: &'a Route,
    pub tenant: Option<&'a Tenant>,
    pub prompt: Prompt,
    /// When its client or its route gives it up.
    pub deadline: Instant,
    /// What it is told to backends as, 0 most urgent.
    pub priority: u32,
}

/// Looks up route and tenant.
pub fn look_up<'a>(table: &'a RoutingTable, head: &Parts, arrived: Instant) -> Result<Admitted<'a>, Refusal> {
    let host = headers::text(&head.headers, &HOST).or(head.uri.host()).unwrap_or("");
    let route = table.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
    let key = headers::text(&head.headers, &API_KEY);
    let tenant = key.and_then(|key| table.tenant(key));
    if tenant.is_none() && table.needs_keys() && !route.public {
        return Err(Refusal::NoKey);
    }
    let wanted = headers::text(&head.headers, &DEADLINE).and_then(|text| text.parse::<f64>().ok());
    let route_time = route.timeout_ms as f64;
    let time = wanted.unwrap_or(route_time).clamp(0.0, route_time);
    let parts = headers::text(&head.headers, &PREFIX_HASH).and_then(PromptParts::parse);
    let rank = tenant.map_or(0, |t| t.priority) * TENANT_STEP + route.priority.min(TENANT_STEP - 1);
    Ok(Admitted {
        route,
        tenant,
        prompt: parts.as_ref().map(Prompt::from).unwrap_or_default(),
        deadline: arrived + Duration::from_secs_f64(time / 1000.0),
        priority: rank.min(MIN_URGENT),
    })
}

/// Takes the request's part of its tenant's quota, waiting a moment for the leader to lend more.
pub async fn take_quota(fleet: &Fleet, head: &Parts, admitted: &Admitted<'_>) -> Result<(), Refusal> {
    let Some(tenant) = admitted.tenant.filter(|t| t.limit.is_some()) else { return Ok(()) };
    let cost = cost(head, tenant);
    if take(fleet, &tenant.name, cost) {
        return Ok(());
    }
    fleet.allowance.borrow_mut().add_deficit(&tenant.name, cost);
    let waiting = Lacking { fleet, tenant: &tenant.name, cost };
    let wait = admitted.route.target_ms * TOKEN_WAIT_PART / 1000.0;
    let until = Instant::now() + Duration::from_secs_f64(wait);
    loop {
        let granted = fleet.granted.notified();
        fleet.short.notify_one();
        let in_time = tokio::time::timeout_at(until, granted).await.is_ok();
        if take(fleet, &tenant.name, cost) {
            drop(waiting);
            return Ok(());
        }
        if !in_time {
            return Err(Refusal::OverQuota);
        }
    }
}

fn take(fleet: &Fleet, tenant: &str, cost: u64) -> bool {
    fleet.allowance.borrow_mut().take(fleet.now(), tenant, cost) == Admission::Granted
}

/// A request that waits for tokens, until it is dropped.
struct Lacking<'a> {
    fleet: &'a Fleet,
    tenant: &'a str,
    cost: u64,
}

impl Drop for Lacking<'_> {
    fn drop(&mut self) {
        self.fleet.allowance.borrow_mut().remove_deficit(self.tenant, self.cost);
    }
}

fn cost(head: &Parts, tenant: &Tenant) -> u64 {
    if !tenant.counts_tokens {
        return 1;
    }
    let usage = headers::text(&head.headers, &TOKEN_USAGE).and_then(TokenUsage::parse);
    usage.map_or(tenant.plain_tokens, |usage| usage.total())
}
