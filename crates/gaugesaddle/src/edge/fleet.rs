//! What the proxy holds of the fleet: configuration, backends, the number of proxies, and what it has learned.

use super::backend::Backend;
use gaugesaddle_config::boot::Bounds;
use gaugesaddle_config::{BootSettings, OperatorConfig, Route, RoutingTable, ServiceIndex};
use gaugesaddle_distribution::{Applied, Follower};
use gaugesaddle_inference::{Chooser, ChooserSettings, Prompt, PromptSizes};
use gaugesaddle_load_report::LoadView;
use gaugesaddle_protocol::{Lifecycle, PullReply, Registration, Subject};
use gaugesaddle_quota::{RetryBudget, RetrySettings, TokenAllowance};
use gaugesaddle_transport::Clock;
use rand_pcg::rand_core::{OsRng, SeedableRng, TryRngCore};
use rand_pcg::Pcg64Mcg;
use spdlog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::sync::Notify;

/// Part of the quotas' slack that proxies may use without a leader.
const FLOOR_PART: f64 = 0.4;
/// Part of a service's connections that is dealt out to the proxies known.
const CONNECTION_PART: f64 = 0.9;

/// All that the tasks of the process share.
pub struct Fleet {
    pub boot: BootSettings,
    pub clock: Clock,
    /// Name of this incarnation of the proxy.
    pub proxy: String,
    /// What it has taken from the control plane.
    pub follower: RefCell<Follower>,
    pub terminating: Cell<bool>,
    /// Requests under way.
    pub active: Rc<Cell<usize>>,
    /// Bytes of bodies that are held.
    pub held_bytes: Cell<usize>,
    pub allowance: RefCell<TokenAllowance>,
    /// Wakes requests that wait for tokens.
    pub granted: Notify,
    /// Wakes the task that asks for tokens.
    pub short: Notify,
    pub random: RefCell<Pcg64Mcg>,
    /// Figures of the choice of backends.
    pub settings: ChooserSettings,
    /// What is known of the backends' load.
    pub loads: RefCell<LoadView>,
    /// Wakes the task that reports it.
    pub loaded: Notify,
    table: RefCell<Option<Rc<RoutingTable>>>,
    backends: RefCell<BTreeMap<String, Rc<Backend>>>,
    services: RefCell<HashMap<String, Vec<Rc<Backend>>>>,
    proxies: Cell<usize>,
    choosers: RefCell<HashMap<(String, String), Chooser>>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    sizes: RefCell<HashMap<String, PromptSizes>>,
}

impl Fleet {
    pub fn new(boot: BootSettings, settings: ChooserSettings) -> Fleet {
        let seed = OsRng.try_next_u64().unwrap_or_else(|_| u64::from(std::process::id()));
        let clock = Clock::default();
        let proxy = format!("{}#{seed:x}", boot.node_name);
        let registration = Registration {
            id: proxy.clone(),
            zone: boot.zone.clone(),
            subject: Subject::Proxy,
            sequence: 0,
            lifecycle: Lifecycle::Ready,
        };
        let seeds = boot.seeds.iter().map(|seed| u32::from(*seed.ip()));
        let follower = Follower::new(clock.now(), u32::from(boot.ip), registration, seeds);
        Fleet {
            proxy,
            follower: RefCell::new(follower),
            boot,
            clock,
            terminating: Cell::new(false),
            active: Rc::default(),
            held_bytes: Cell::new(0),
            allowance: RefCell::default(),
            granted: Notify::new(),
            short: Notify::new(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            settings,
            loads: RefCell::default(),
            loaded: Notify::new(),
            table: RefCell::default(),
            backends: RefCell::default(),
            services: RefCell::default(),
            proxies: Cell::new(1),
            choosers: RefCell::default(),
            budgets: RefCell::default(),
            sizes: RefCell::default(),
        }
    }

    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    pub fn bounds(&self) -> &Bounds {
        &self.boot.bounds
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Whether the configuration in force was the newest one acknowledged less than so many milliseconds ago.
    pub fn is_proven_within(&self, bound: u64) -> bool {
        self.follower.borrow().is_proven_within(self.now(), bound)
    }

    /// Proxies that live, this one included.
    pub fn proxies(&self) -> usize {
        self.proxies.get()
    }

    /// Takes the answer of a control process to a call made at `asked` and good for so long, in ms; whether that process
    /// should be asked again.
    pub fn take(&self, asked: u64, good_for: u64, reply: PullReply) -> bool {
        let taken: Applied = self.follower.borrow_mut().apply(self.now(), asked, good_for, reply);
        if taken.registrations {
            self.rebuild();
        }
        if taken.configuration {
            self.configure();
        }
        taken.fresh
    }

    /// Puts the configuration taken last in force.
    fn configure(&self) {
        let follower = self.follower.borrow();
        let Some(configuration) = follower.configuration() else { return };
        if self.table.borrow().as_ref().is_some_and(|t| t.revision == configuration.revision) {
            return;
        }
        let config = match OperatorConfig::parse(&configuration.document) {
            Ok(config) => config,
            Err(findings) => return warn!("revision {} is unreadable: {findings}", configuration.revision),
        };
        let table = RoutingTable::new(config);
        info!("revision {} is in force", table.revision);
        *self.table.borrow_mut() = Some(Rc::new(table));
        self.configure_purse();
    }

    fn configure_purse(&self) {
        let Some(table) = self.table() else { return };
        let limited: Vec<String> =
            table.tenants.iter().filter(|t| t.limit.is_some()).map(|t| t.name.clone()).collect();
        let bounds = self.bounds();
        let slack = bounds.quota_slack * FLOOR_PART / bounds.quota_window_s.max(1.0);
        self.allowance.borrow_mut().configure(&limited, slack / self.proxies() as f64);
    }

    fn rebuild(&self) {
        let follower = self.follower.borrow();
        let catalog = follower.catalog();
        let mut backends = self.backends.borrow_mut();
        let mut services: HashMap<String, Vec<Rc<Backend>>> = HashMap::new();
        let mut proxies = 0;
        for registration in catalog.iter() {
            if registration.subject == Subject::Proxy {
                proxies += usize::from(registration.lifecycle == Lifecycle::Ready);
                continue;
            }
            if let Some(backend) = update_backend(&mut backends, registration) {
                services.entry(backend.service.clone()).or_default().push(backend);
            }
        }
        backends.retain(|id, _| catalog.get(id).is_some_and(|e| !e.registration.lifecycle.is_leaving()));
        *self.services.borrow_mut() = services;
        let proxies = proxies.max(1);
        if self.proxies.replace(proxies) != proxies {
            drop(backends);
            self.configure_purse();
        }
    }

    /// Backends of a service that may get requests, however they fare.
    pub fn backends(&self, service: &str) -> Vec<Rc<Backend>> {
        let services = self.services.borrow();
        let all = services.get(service).into_iter().flatten();
        all.filter(|b| b.open.get()).cloned().collect()
    }

    /// Whether any service has a backend.
    pub fn has_backends(&self) -> bool {
        let Some(table) = self.table() else { return false };
        let services = self.services.borrow();
        let has = |name: &str| services.get(name).is_some_and(|b| !b.is_empty());
        table.services.iter().any(|s| has(&s.name))
    }

    /// Closes connections that have stood idle too long.
    pub fn sweep(&self) {
        let now = self.now();
        self.backends.borrow().values().for_each(|b| b.sweep(now));
    }

    /// Connections to one backend that this proxy may have.
    pub fn connections(&self, table: &RoutingTable, service: ServiceIndex) -> usize {
        let most = table.services.get(service.0).map_or(0.0, |s| s.max_connections);
        if most <= 0.0 {
            return usize::MAX;
        }
        ((most * CONNECTION_PART / self.proxies() as f64) as usize).max(1)
    }

    /// What is learned for a route and a service.
    pub fn with_chooser<T>(&self, route: &Route, service: &str, f: impl FnOnce(&mut Chooser) -> T) -> T {
        let mut choosers = self.choosers.borrow_mut();
        let key = (route.name.clone(), service.to_owned());
        f(choosers.entry(key).or_insert_with(|| Chooser::new(self.settings)))
    }

    /// Takes a prompt into account for the sizes of a service's prompts.
    pub fn note_prompt(&self, service: &str, prompt: Prompt) {
        let now = self.now();
        self.sizes.borrow_mut().entry(service.to_owned()).or_default().note(now, prompt);
    }

    /// What a service's prompts are like.
    pub fn sizes(&self, service: &str) -> PromptSizes {
        self.sizes.borrow().get(service).copied().unwrap_or_default()
    }

    /// Counts a client's request for a service.
    pub fn record_request(&self, service: &str) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one repeat of the budget that all proxies share.
    pub fn may_repeat(&self, service: &str) -> bool {
        let (now, proxies) = (self.now(), self.proxies());
        self.with_budget(service, |budget| budget.take(now, proxies))
    }

    fn with_budget<T>(&self, service: &str, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = self.bounds();
        let settings = RetrySettings {
            ratio: bounds.retry_budget_ratio,
            window_ms: (bounds.budget_window_s * 1000.0) as u64,
            slack: bounds.budget_slack,
        };
        let mut budgets = self.budgets.borrow_mut();
        f(budgets.entry(service.to_owned()).or_insert_with(|| RetryBudget::new(settings)))
    }
}

/// The backend of a registration, brought up to date; `None` where nothing is sent to it.
fn update_backend(
    backends: &mut BTreeMap<String, Rc<Backend>>, registration: &Registration,
) -> Option<Rc<Backend>> {
    let Subject::Backend { service, address, slots } = &registration.subject else { return None };
    if registration.lifecycle.is_leaving() {
        if let Some(backend) = backends.get(&registration.id) {
            backend.close();
        }
        return None;
    }
    let address = address.parse().ok()?;
    let known = backends.get(&registration.id).filter(|b| b.address == address && b.service == *service);
    let backend = match known {
        Some(backend) => backend.clone(),
        None => {
            let made = Backend::new(&registration.id, service, address, *slots);
            let made = Rc::new(made);
            backends.insert(registration.id.clone(), made.clone());
            made
        }
    };
    backend.expired.set(registration.lifecycle == Lifecycle::Expired);
    Some(backend)
}
