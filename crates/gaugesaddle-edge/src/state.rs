//! State shared by all tasks of the process: configuration, backends, quotas and service statistics.

use crate::backend::Backend;
use crate::backend_set::BackendSet;
use crate::request_body::BodyMemory;
use crate::service_statistics::ServiceStatistics;
use gaugesaddle_config::{BootSettings, OperatorConfig, RoutingTable, ServiceIndex};
use gaugesaddle_distribution::Follower;
use gaugesaddle_inference::ChooserSettings;
use gaugesaddle_load_report::LoadView;
use gaugesaddle_protocol::{Lifecycle, PullReply, Registration, Subject};
use gaugesaddle_quota::TokenAllowance;
use gaugesaddle_transport::malformed::MalformedMessages;
use gaugesaddle_transport::Clock;
use rand_core::{OsRng, SeedableRng, TryRngCore};
use rand_pcg::Pcg64Mcg;
use spdlog::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Fraction of a bound for which a proof is valid: the clock rates of two machines may differ by a tenth.
pub const PROOF_FRACTION: f64 = 0.9;
/// Fraction of the quotas' slack that all proxies together may use without a leader.
const LEADERLESS_SLACK_FRACTION: f64 = 0.4;
/// Fraction of a service's connection limit that is divided among the known proxies; the remainder is reserved for proxies
/// that are not known yet.
const CONNECTION_FRACTION: f64 = 0.9;

/// Shared by all tasks of the process; they run on one thread.
pub struct EdgeState {
    pub boot: BootSettings,
    pub clock: Clock,
    /// ID of this incarnation of the proxy.
    pub proxy_id: String,
    /// Counts of the replies of control processes that could not be decoded.
    pub malformed_messages: RefCell<MalformedMessages>,
    /// The configuration and the registrations received from the control plane.
    pub follower: RefCell<Follower>,
    /// Whether SIGTERM was received.
    pub terminating: Cell<bool>,
    /// Whether requests no longer wait for tokens, since the process is about to end.
    pub token_wait_is_over: Cell<bool>,
    /// Number of client connections with a request in progress.
    pub active_requests: Rc<Cell<usize>>,
    /// The memory for request bodies.
    pub body_memory: Rc<BodyMemory>,
    /// Tokens leased from the leader, by tenant.
    pub allowance: RefCell<TokenAllowance>,
    /// Notifies requests that wait for tokens.
    pub tokens_granted: Notify,
    /// Notifies the task that requests tokens.
    pub tokens_needed: Notify,
    pub random: RefCell<Pcg64Mcg>,
    /// Parameters of the choice of a backend.
    pub chooser_settings: ChooserSettings,
    /// The load and failures of the backends, as observed by all proxies.
    pub load_view: RefCell<LoadView>,
    /// Notifies the task that reports load.
    pub load_changed: Notify,
    /// Statistics of each service.
    pub statistics: ServiceStatistics,
    routing_table: RefCell<Option<Rc<RoutingTable>>>,
    backends: BackendSet,
}

impl EdgeState {
    /// Creates the initial state of the process.
    pub fn new(boot: BootSettings, chooser_settings: ChooserSettings) -> EdgeState {
        let seed = OsRng.try_next_u64().unwrap_or_else(|_| u64::from(std::process::id()));
        let clock = Clock::default();
        let proxy_id = format!("{}#{seed:x}", boot.node_name);
        let registration = Registration {
            id: proxy_id.clone(),
            zone: boot.zone.clone(),
            subject: Subject::Proxy,
            sequence: 0,
            lifecycle: Lifecycle::Ready,
        };
        let seeds = boot.seeds.iter().map(|seed| u32::from(*seed.ip()));
        let follower = Follower::new(clock.now(), u32::from(boot.ip), registration, seeds);
        EdgeState {
            proxy_id,
            malformed_messages: RefCell::default(),
            follower: RefCell::new(follower),
            clock,
            terminating: Cell::new(false),
            token_wait_is_over: Cell::new(false),
            active_requests: Rc::default(),
            body_memory: Rc::new(BodyMemory::new(boot.limits.memory_mb)),
            allowance: RefCell::default(),
            tokens_granted: Notify::new(),
            tokens_needed: Notify::new(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            chooser_settings,
            load_view: RefCell::default(),
            load_changed: Notify::new(),
            statistics: ServiceStatistics::new(chooser_settings, &boot.bounds),
            routing_table: RefCell::default(),
            backends: BackendSet::new(),
            boot,
        }
    }

    /// Has all requests that wait for tokens rejected, now and later.
    pub fn end_token_wait(&self) {
        self.token_wait_is_over.set(true);
        self.tokens_granted.notify_waiters();
    }

    /// The time of the monotonic clock, in milliseconds.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    /// The routing table of the configuration in force.
    pub fn routing_table(&self) -> Option<Rc<RoutingTable>> {
        self.routing_table.borrow().clone()
    }

    /// Whether the configuration in force was the newest acknowledged one less than `bound_ms` milliseconds ago. Never
    /// while a newer configuration was received that this build cannot parse.
    pub fn is_proven_within(&self, bound_ms: u64) -> bool {
        let follower = self.follower.borrow();
        let received = follower.configuration().map(|configuration| configuration.revision);
        let in_force = self.routing_table.borrow().as_ref().map(|table| table.revision);
        in_force == received && follower.is_proven_within(self.now(), bound_ms)
    }

    /// Number of live proxies, including this one.
    pub fn proxies(&self) -> usize {
        self.backends.proxies()
    }

    /// Backends of a service that accept new requests, regardless of their health.
    pub fn backends(&self, service: &str) -> Vec<Rc<Backend>> {
        self.backends.of_service(service)
    }

    /// Whether any configured service has a backend.
    pub fn has_backends(&self) -> bool {
        let Some(table) = self.routing_table() else { return false };
        table.services.iter().any(|service| self.backends.has_service(&service.name))
    }

    /// Closes backend connections that have exceeded their idle timeout.
    pub fn close_stale_connections(&self) {
        self.backends.close_stale_connections(self.now());
    }

    /// Maximum number of connections from this proxy to one backend of a service.
    pub fn max_connections(&self, table: &RoutingTable, service: ServiceIndex) -> usize {
        let shared_limit = table.services.get(service.0).map_or(0.0, |s| s.max_connections);
        if shared_limit <= 0.0 {
            return usize::MAX;
        }
        ((shared_limit * CONNECTION_FRACTION / self.proxies() as f64) as usize).max(1)
    }

    /// Takes one retry from the budget shared by all proxies; false if the budget is exhausted.
    pub fn take_retry(&self, service: &str) -> bool {
        self.statistics.take_retry(self.now(), service, self.proxies())
    }

    /// Applies a control process's reply to a call made at `called_at`, if not more than `valid_ms` milliseconds have passed
    /// since the call. Returns whether the same process should be called again.
    pub fn apply_pull_reply(&self, called_at: u64, valid_ms: u64, reply: PullReply) -> bool {
        let applied = self.follower.borrow_mut().apply(self.now(), called_at, valid_ms, reply);
        if applied.registrations {
            self.apply_registrations();
        }
        if applied.configuration {
            self.apply_configuration();
        }
        applied.fresh
    }

    fn apply_registrations(&self) {
        let proxies_changed = self.backends.update(self.follower.borrow().catalog());
        if proxies_changed {
            self.configure_allowance();
        }
    }

    /// Activates the newest received configuration.
    fn apply_configuration(&self) {
        let follower = self.follower.borrow();
        let Some(configuration) = follower.configuration() else { return };
        let revision = configuration.revision;
        if self.routing_table.borrow().as_ref().is_some_and(|table| table.revision == revision) {
            return;
        }
        let config = match OperatorConfig::parse(&configuration.document) {
            Ok(config) => config,
            Err(findings) => return warn!("configuration revision {revision} is rejected: {findings}"),
        };
        let table = RoutingTable::new(config);
        info!("configuration revision {} applied", table.revision);
        *self.routing_table.borrow_mut() = Some(Rc::new(table));
        self.configure_allowance();
    }

    /// Configures the tenants that have a limit, and the rate that each may use without a leader.
    fn configure_allowance(&self) {
        let Some(table) = self.routing_table() else { return };
        let limited = table.tenants.iter().filter(|tenant| tenant.limit.is_some());
        let names: Vec<String> = limited.map(|tenant| tenant.name.clone()).collect();
        let bounds = &self.boot.bounds;
        let leaderless_rate = bounds.quota_slack * LEADERLESS_SLACK_FRACTION / bounds.quota_window_s.max(1.0);
        self.allowance.borrow_mut().configure(&names, leaderless_rate / self.proxies() as f64);
    }
}
