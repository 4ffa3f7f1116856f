//! This proxy's state of all other regions.

use super::gateway;
use super::remote_gateways::{ClientKeys, RemoteGateways};
use super::settings::{Allowance, OtherRegion, RegionSection, SwitchKey};
use super::tls::{FileStamp, Identity};
use super::{tls, FederationError};
use crate::clock::Clock;
use crate::membership::{LocalIdentity, MessageHandler, OutgoingMessage, Tier};
use crate::serving::server::Server;
use gaugesaddle_allocation::{LeaseManager, LeaseView, ReservationTerms};
use gaugesaddle_balancer::{Class, ClassId, Micros, Time};
use gaugesaddle_federation::credentials::Expiry;
use gaugesaddle_federation::{
    Budget, BudgetExceeded, BudgetLimits, ClassLimits, EvenAllocation, Link, LinkSettings, WeightedAllocation,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};

/// Percentage of each proxy's entitlement to inbound requests that is reserved for it and never leased.
const RESERVED_PERCENT: u32 = 25;
/// Duration of a lease of inbound requests per second; a proxy that starts has only its reserved part for this time. Shorter
/// leases cost more messages, longer ones leave capacity unused for longer after a member fails.
const LEASE_DURATION: Micros = Micros(4_000_000);
/// Time between the end of a lease and its reuse by another proxy: the window over which the rate is limited.
const GRACE_PERIOD: Micros = Micros(1_000_000);
/// Combined with the seed so that this generator's sequence differs from others with the same seed.
const RANDOM_STREAM: u64 = 0x7265_6769_6f6e;

/// Counters of the gateway.
#[derive(Default)]
pub(super) struct GatewayCounters {
    pub(super) connections: Cell<usize>,
    /// Failed handshakes, connections over the limit, and peers whose certificate matches no region.
    pub(super) unauthenticated: Cell<u64>,
    /// Requests that were malformed or had already passed through this region.
    pub(super) invalid: Cell<u64>,
}

impl GatewayCounters {
    pub(super) fn record_unauthenticated(&self) {
        self.unauthenticated.set(self.unauthenticated.get() + 1);
    }

    pub(super) fn record_invalid(&self) {
        self.invalid.set(self.invalid.get() + 1);
    }
}

/// Budget and counters of inbound requests from one region.
pub(super) struct Inbound {
    pub(super) budget: Budget,
    pub(super) accepted: u64,
    pub(super) rejected: u64,
    /// Requests since the leases were last updated.
    arrivals: u32,
    /// Whether the rate limit has rejected requests since then.
    was_rate_limited: bool,
}

impl Inbound {
    fn new(budget: Budget) -> Inbound {
        Inbound { budget, accepted: 0, rejected: 0, arrivals: 0, was_rate_limited: false }
    }

    /// Returns the demand since the last call, in requests per second. A rejected sender reduces its rate, so that its
    /// demand cannot be observed: after a rejection at least twice the usable rate is assumed.
    fn take_demand(&mut self, elapsed_s: f64, usable: u32) -> f64 {
        let observed = f64::from(std::mem::take(&mut self.arrivals)) / elapsed_s;
        if std::mem::take(&mut self.was_rate_limited) {
            observed.max(2.0 * f64::from(usable.max(1)))
        } else {
            observed
        }
    }
}

/// Leases of inbound requests per second among this region's proxies; there is one quantity for each other region.
struct InboundLeases {
    manager: LeaseManager,
    updated_at: Time,
}

/// The operators' setting of whether requests may be forwarded.
#[derive(Clone, Copy)]
pub(super) struct Switch {
    pub(super) key: SwitchKey,
    pub(super) exercise_percent: u32,
}

/// This proxy's state of all other regions.
pub struct Regions {
    pub(super) clock: Clock,
    pub(super) settings: RegionSection,
    pub(super) links: RefCell<Vec<Link>>,
    /// `None` for a region that has no gateways.
    pub(super) gateways: Vec<Option<RemoteGateways>>,
    pub(super) inbound: RefCell<Vec<Inbound>>,
    /// `None` until this process has its index in the tier, that is until its address is bound.
    leases: RefCell<Option<InboundLeases>>,
    uses_leases: Cell<bool>,
    pub(super) identity: RefCell<Identity>,
    pub(super) stamp: Cell<FileStamp>,
    pub(super) keys: Rc<RefCell<ClientKeys>>,
    /// Notifies connections from other regions that the keys have changed.
    pub(super) keys_changed: watch::Sender<u64>,
    /// Notified when the key files may have changed.
    pub(super) check_keys_now: Notify,
    pub(super) rejected_keys: Cell<u64>,
    /// The most severe expiry state of the present certificate that was logged.
    pub(super) warned_of: Cell<Expiry>,
    pub(super) switch: Cell<Switch>,
    pub(super) gateway: GatewayCounters,
    rng: RefCell<Pcg32>,
}

/// The local proxy's properties that its links to other regions depend on.
pub struct LocalRegion<'a> {
    pub clock: Clock,
    pub allocation: EvenAllocation,
    pub classes: &'a [Class],
    pub class_names: &'a [String],
    pub seed: u64,
}

impl LocalRegion<'_> {
    fn limits(&self, allowance: &Allowance) -> BudgetLimits {
        let per_s = self.class_names.iter().map(|name| allowance.classes.get(name).copied());
        let class_limits = |(per_s, class): (Option<u32>, &Class)| ClassLimits {
            per_s,
            priority_weight: class.priority_weight,
        };
        BudgetLimits {
            per_s: allowance.per_s,
            burst: allowance.burst(),
            in_flight: allowance.in_flight,
            classes: per_s.zip(self.classes).map(class_limits).collect(),
        }
    }

    fn link(&self, settings: &RegionSection, other: &OtherRegion) -> Link {
        Link::new(LinkSettings {
            local: settings.name.clone(),
            remote: other.name.clone(),
            budget: self.limits(&other.send),
            allocation: self.allocation,
            max_hops: settings.hops as u8,
            initial_round_trip: Micros(u64::from(other.round_trip_ms) * 1000),
            deadline_margin: Micros(u64::from(settings.margin_ms) * 1000),
        })
    }
}

impl Regions {
    /// Reads the keys and creates the links; the proxy does not start without valid keys.
    ///
    /// # Errors
    /// Returns an error if the section does not match the platform's configuration or a key file cannot be used.
    pub fn new(settings: RegionSection, local: LocalRegion) -> Result<Rc<Regions>, FederationError> {
        settings.check_with(local.class_names, local.allocation.proxies)?;
        let stamp = tls::stamp(&settings);
        let identity = tls::load(&settings, local.clock.now())?;
        let keys = Rc::new(RefCell::new(ClientKeys { config: identity.client.clone(), generation: 0 }));
        let gateways = |other: &OtherRegion| {
            let addresses = Some(other.addresses.clone()).filter(|addresses| !addresses.is_empty())?;
            let first = local.allocation.position as usize;
            RemoteGateways::new(local.clock, other.certificate_name(), addresses, first, keys.clone())
        };
        let budget = |other: &OtherRegion| Budget::new(&local.limits(&other.take), local.allocation);
        let others = settings.other.iter();
        Ok(Rc::new(Regions {
            clock: local.clock,
            links: RefCell::new(others.clone().map(|other| local.link(&settings, other)).collect()),
            gateways: others.clone().map(gateways).collect(),
            inbound: RefCell::new(others.map(|other| Inbound::new(budget(other))).collect()),
            leases: RefCell::default(),
            uses_leases: Cell::new(false),
            identity: RefCell::new(identity),
            stamp: Cell::new(stamp),
            keys,
            keys_changed: watch::channel(0).0,
            check_keys_now: Notify::new(),
            rejected_keys: Cell::default(),
            warned_of: Cell::new(Expiry::Distant),
            switch: Cell::new(Switch { key: settings.switch, exercise_percent: settings.exercise_percent }),
            gateway: GatewayCounters::default(),
            rng: RefCell::new(Pcg32::seed_from_u64(local.seed ^ RANDOM_STREAM)),
            settings,
        }))
    }

    /// Applies the settings that can change while the proxy runs, the switch and the exercise percentage, and triggers a
    /// check of the key files.
    pub fn apply_settings(&self, newer: &RegionSection) {
        let switch = Switch { key: newer.switch, exercise_percent: newer.exercise_percent };
        let previous = self.switch.replace(switch);
        if previous.key != newer.switch {
            tracing::info!("region: switch changed from {} to {}", previous.key.name(), newer.switch.name());
        }
        self.check_keys_now.notify_one();
    }

    /// Enables leases of inbound requests among this region's proxies: from now on none is accepted before this process
    /// has its index in the tier.
    pub fn use_leases(&self) {
        self.uses_leases.set(true);
    }

    /// Sets this proxy's fraction of the outbound budgets; the other region limits the sum.
    pub fn reallocate(&self, allocation: WeightedAllocation) {
        self.links.borrow_mut().iter_mut().for_each(|link| link.reallocate(allocation));
    }

    fn new_leases(&self, now: Time, identity: LocalIdentity) -> Option<InboundLeases> {
        let LocalIdentity { index, members, boot } = identity;
        let terms = |other: &OtherRegion| ReservationTerms {
            total: other.take.per_s,
            members,
            reserved_percent: RESERVED_PERCENT,
            lease_duration: LEASE_DURATION,
            grace_period: GRACE_PERIOD,
        };
        let terms: Vec<ReservationTerms> = self.settings.other.iter().map(terms).collect();
        let manager = LeaseManager::new(&terms, index, boot, now);
        let manager = manager
            .inspect_err(|e| tracing::error!("region: leases of inbound requests are disabled: {e}"))
            .ok()?;
        Some(InboundLeases { manager, updated_at: now })
    }

    /// Requests and releases leases according to the demand since the last call; must be called a few times a second.
    pub fn update_leases(&self, now: Time, tier: &Tier, live: &[u16]) {
        let mut leases = self.leases.borrow_mut();
        if leases.is_none() {
            let Some(identity) = tier.bound_identity() else { return };
            *leases = self.new_leases(now, identity);
        }
        let Some(InboundLeases { manager, updated_at }) = leases.as_mut() else { return };
        let elapsed_s = (now - std::mem::replace(updated_at, now)).secs().max(1e-3);
        let mut inbound = self.inbound.borrow_mut();
        let demand = |(quantity, inbound): (usize, &mut Inbound)| {
            inbound.take_demand(elapsed_s, manager.usable(quantity, now))
        };
        let demands: Vec<f64> = inbound.iter_mut().enumerate().map(demand).collect();
        let mut messages = Vec::new();
        manager.observe(now, &demands, live, &mut messages);
        tier.send_messages(messages);
    }

    /// Returns the leases of inbound requests by region; empty where leases are not used.
    pub fn lease_views(&self, now: Time) -> Vec<(String, LeaseView)> {
        let leases = self.leases.borrow();
        let Some(InboundLeases { manager, .. }) = leases.as_ref() else { return Vec::new() };
        let others = self.settings.other.iter().enumerate();
        others.filter_map(|(i, other)| Some((other.name.clone(), manager.view(i, now)?))).collect()
    }

    /// Admits a request from a region within its budget; returns whether it is admitted. The caller must release the
    /// budget after an admitted request has ended.
    pub(super) fn admit(&self, now: Time, sender: usize, class: ClassId) -> bool {
        let mut inbound = self.inbound.borrow_mut();
        let inbound = &mut inbound[sender];
        inbound.arrivals = inbound.arrivals.saturating_add(1);
        if self.uses_leases.get() && inbound.budget.uses_sliding_window() {
            let leases = self.leases.borrow();
            inbound.budget.set_rate(leases.as_ref().map_or(0, |leases| leases.manager.usable(sender, now)));
        }
        let result = inbound.budget.acquire(now, class.0, 1.0);
        inbound.was_rate_limited |= result == Err(BudgetExceeded::Rate);
        match result {
            Ok(()) => inbound.accepted += 1,
            Err(_) => inbound.rejected += 1,
        }
        result.is_ok()
    }

    /// Runs the gateway, if it has a listener.
    pub async fn serve(self: Rc<Regions>, server: Rc<Server>, listener: Option<TcpListener>) {
        match listener {
            Some(listener) => gateway::serve(self, server, listener).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until no request from another region is in service, for at most `within`.
    pub async fn drained(&self, within: Micros) {
        gateway::drained(self, self.clock.now() + within).await;
    }

    /// Returns a uniformly distributed random number in [0, 1).
    pub(super) fn random_fraction(&self) -> f64 {
        f64::from(self.rng.borrow_mut().next_u32()) / 4_294_967_296.0
    }
}

impl MessageHandler for Regions {
    fn handle_message(&self, now: Time, from: u16, body: &[u8], replies: &mut Vec<OutgoingMessage>) {
        if let Some(InboundLeases { manager, .. }) = self.leases.borrow_mut().as_mut() {
            manager.handle(now, from, body, replies);
        }
    }
}
