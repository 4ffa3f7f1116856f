//! Other regions as last resort, in the running proxy: the file beside the driver. What leaves is the module's to say,
//! when and how much `gaugesaddle_federation`'s; here both are told what they need, and their words are carried out.

mod client;
mod front;
pub mod settings;
mod tls;

use crate::body::Payload;
use crate::clock::Clock;
use crate::error::Error;
use crate::exchange::{Ended, Local};
use crate::peers::{LocalIdentity, MessageHandler, Tier};
use crate::registry::{OtherView, RegionView, Registry};
use crate::seam::{Leaving, Subsystem};
use crate::server::Server;
use client::{Keys, Peer};
use gaugesaddle_allocation::{LeaseManager, LeaseView};
use gaugesaddle_balancer::{Balancer, Class, ClassId, Effect, Event, Micros, Offer, Time};
use gaugesaddle_federation::credentials::Expiry;
use gaugesaddle_federation::{
    Budget, BudgetExceeded, BudgetLimits, ClassLimits, EvenAllocation, FleetCapacity, Hop, HopRequest,
    HopResult, Link, LinkSettings, LinkUsage, RemoteOutcome, Spillover, Transition, Usage,
    WeightedAllocation,
};
use hyper::header::HeaderName;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use settings::{Allowance, Region, SwitchKey};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};

pub use tls::KeyError;

/// Through which regions a request came.
const PATH: HeaderName = HeaderName::from_static("region-path");
/// What became of it, in a gateway's answer.
const FATE: HeaderName = HeaderName::from_static("region-fate");
/// The gateway's part of the budget is used up: another may have a place.
const FULL: HeaderName = HeaderName::from_static("region-full");
/// How long the gateway had it, in microseconds.
const TOOK: HeaderName = HeaderName::from_static("region-took-us");

/// In an answer the gateway's clock since it accepted the connection, in microseconds; in a request for nothing but that.
const CLOCK: HeaderName = HeaderName::from_static("region-clock-us");
/// The latest time by that clock at which a request may be passed on to a backend.
const DEADLINE: HeaderName = HeaderName::from_static("region-deadline-us");

/// The fleet is looked at this often: a few times in the shortest of the rule's times.
const LOOK: Micros = Micros(50_000);
/// Files of keys are looked at this often.
const KEYS: Duration = Duration::from_secs(1);
/// Part of the free requests that are tried here all the same while nothing here seems usable, so that a return is
/// seen. Those that must not run twice are not tried: a silent backend would be their end.
const TRIED: f64 = 0.1;
/// The same where no class is free to repeat.
const TRIED_AT_LEAST: f64 = 0.02;

/// What is counted of the gateway.
#[derive(Default)]
struct Front {
    connections: Cell<usize>,
    strangers: Cell<u64>,
    barred: Cell<u64>,
}

impl Front {
    fn stranger(&self) {
        self.strangers.set(self.strangers.get() + 1);
    }
}

/// Of the even part of what may come from a region so many hundredths are never lent.
const KEPT_PERCENT: u32 = 25;
/// A loan of a second's places lasts so long; a proxy that starts has a quarter of its part for as long. Shorter ones cost
/// words, longer ones leave more with those that die.
const LOAN: Micros = Micros(4_000_000);
/// Between two owners: the window of the rate.
const REST: Micros = Micros(1_000_000);

/// One sender's budget here.
struct Inbound {
    budget: Budget,
    taken: u64,
    refused: u64,
    /// Since the last look: all that came, and whether some were refused for the budget.
    came: u32,
    short: bool,
}

/// All other regions, as this proxy stands with them.
pub struct Regions {
    clock: Clock,
    settings: Region,
    links: RefCell<Vec<Link>>,
    peers: Vec<Option<Peer>>,
    inbound: RefCell<Vec<Inbound>>,
    /// Where proxies lend one another what may come in a second, by number of the other region; with when it was last
    /// looked at.
    loans: RefCell<Option<(LeaseManager, Time)>>,
    /// They do, or will once this process has its place.
    lending: Cell<bool>,
    identity: RefCell<tls::Identity>,
    stamp: Cell<tls::Stamp>,
    keys: Rc<RefCell<Keys>>,
    /// Tells connections of other regions that keys have changed.
    changed: watch::Sender<u64>,
    /// Files may have changed: look now.
    look: Notify,
    refused: Cell<u64>,
    /// How near its end the certificate was when that was last told.
    told: Cell<Expiry>,
    switch: Cell<(SwitchKey, u32)>,
    front: Front,
    dice: RefCell<Pcg32>,
}

/// What a proxy tells of itself.
pub struct Own<'a> {
    pub clock: Clock,
    pub share: EvenAllocation,
    pub classes: &'a [Class],
    pub names: &'a [String],
    pub seed: u64,
}

fn budget(allowed: &Allowance, own: &Own) -> Budget {
    Budget::new(&limits(allowed, own), own.share)
}

fn limits(allowed: &Allowance, own: &Own) -> BudgetLimits {
    let names = own.names.iter().map(|name| allowed.classes.get(name).copied());
    let limits =
        |(per_s, class): (Option<u32>, &Class)| ClassLimits { per_s, priority_weight: class.priority_weight };
    BudgetLimits {
        per_s: allowed.per_s,
        burst: allowed.burst(),
        in_flight: allowed.in_flight,
        classes: names.zip(own.classes).map(limits).collect(),
    }
}

/// What `gaugesaddle check` can tell of the section beside its form: the files of keys.
pub fn check(settings: &Region) -> Result<(), Error> {
    if settings.enabled {
        tls::load(settings, Clock::new().now())?;
    }
    Ok(())
}

impl Regions {
    /// Reads the keys; without sound ones the proxy does not start.
    pub fn new(settings: Region, own: Own) -> Result<Rc<Regions>, Error> {
        settings
            .check_with(own.names, own.share.proxies)
            .map_err(|(key, what)| Error::Region { key, what })?;
        let stamp = tls::stamp(&settings);
        let identity = tls::load(&settings, own.clock.now())?;
        let keys = Rc::new(RefCell::new(Keys { client: identity.client.clone(), generation: 0 }));
        let link = |other: &settings::Other| {
            Link::new(LinkSettings {
                local: settings.name.clone(),
                remote: other.name.clone(),
                budget: limits(&other.send, &own),
                allocation: own.share,
                max_hops: settings.hops as u8,
                initial_round_trip: Micros(u64::from(other.round_trip_ms) * 1000),
                deadline_margin: Micros(u64::from(settings.margin_ms) * 1000),
            })
        };
        let peer = |other: &settings::Other| {
            let (name, from) = (other.certificate_name(), own.share.position as usize);
            let addresses = Some(other.addresses.clone()).filter(|a| !a.is_empty())?;
            Peer::new(own.clock, name, addresses, from, keys.clone())
        };
        let inbound = |other: &settings::Other| Inbound {
            budget: budget(&other.take, &own),
            taken: 0,
            refused: 0,
            came: 0,
            short: false,
        };
        Ok(Rc::new(Regions {
            clock: own.clock,
            links: RefCell::new(settings.other.iter().map(link).collect()),
            peers: settings.other.iter().map(peer).collect(),
            inbound: RefCell::new(settings.other.iter().map(inbound).collect()),
            loans: RefCell::default(),
            lending: Cell::new(false),
            identity: RefCell::new(identity),
            stamp: Cell::new(stamp),
            keys,
            changed: watch::channel(0).0,
            look: Notify::new(),
            refused: Cell::default(),
            told: Cell::new(Expiry::Distant),
            switch: Cell::new((settings.switch, settings.exercise_percent)),
            front: Front::default(),
            dice: RefCell::new(Pcg32::seed_from_u64(own.seed ^ 0x7265_6769_6f6e)),
            settings,
        }))
    }

    /// Takes up what a running proxy can: the switch and the exercise; and looks at the files of keys at once.
    pub fn take_up(&self, newer: &Region) {
        let before = self.switch.replace((newer.switch, newer.exercise_percent));
        if before.0 != newer.switch {
            tracing::info!("region: the switch is {} after {}", newer.switch.name(), before.0.name());
        }
        self.look.notify_one();
    }

    /// From now on what may come here is lent among this region's proxies: nothing, before this one has its place.
    pub fn begin_lending(&self) {
        self.lending.set(true);
    }

    /// This proxy's part of what may leave: the other end holds the whole.
    pub fn deal(&self, span: WeightedAllocation) {
        self.links.borrow_mut().iter_mut().for_each(|link| link.reallocate(span));
    }

    /// A look at what is lent, a few times in a second: what came since the last one, and who lives.
    pub fn lend(&self, now: Time, tier: &Tier, living: &[u16]) {
        let mut loans = self.loans.borrow_mut();
        if loans.is_none() {
            let Some(identity) = tier.bound_identity() else { return };
            let LocalIdentity { index: place, members: places, boot } = identity;
            let terms = |other: &settings::Other| gaugesaddle_allocation::ReservationTerms {
                total: other.take.per_s,
                members: places,
                reserved_percent: KEPT_PERCENT,
                lease_duration: LOAN,
                grace_period: REST,
            };
            let terms: Vec<_> = self.settings.other.iter().map(terms).collect();
            match LeaseManager::new(&terms, place, boot, now) {
                Ok(new) => *loans = Some((new, now)),
                Err(e) => return tracing::error!("region: nothing is lent: {e}"),
            }
        }
        let Some((loans, looked)) = loans.as_mut() else { return };
        let secs = (now - std::mem::replace(looked, now)).secs().max(1e-3);
        let needs: Vec<f64> = (self.inbound.borrow_mut().iter_mut().enumerate())
            .map(|(quantity, inbound)| {
                let came = f64::from(std::mem::take(&mut inbound.came)) / secs;
                // A sender that was refused holds back: what it would send is not seen.
                let short = std::mem::take(&mut inbound.short);
                let least = if short { 2.0 * f64::from(loans.usable(quantity, now).max(1)) } else { 0.0 };
                came.max(least)
            })
            .collect();
        let mut letters = Vec::new();
        loans.observe(now, &needs, living, &mut letters);
        tier.send_messages(letters);
    }

    /// What is lent of what may come from a region, where that is done.
    pub fn lent(&self, now: Time) -> Vec<(String, LeaseView)> {
        let loans = self.loans.borrow();
        let Some((loans, _)) = loans.as_ref() else { return Vec::new() };
        let others = self.settings.other.iter().enumerate();
        others.filter_map(|(i, other)| Some((other.name.clone(), loans.view(i, now)?))).collect()
    }

    /// Takes a place for a request of that region's.
    fn let_in(&self, now: Time, sender: usize, class: ClassId) -> bool {
        let mut inbound = self.inbound.borrow_mut();
        let inbound = &mut inbound[sender];
        inbound.came = inbound.came.saturating_add(1);
        if self.lending.get() && inbound.budget.has_rate() {
            let loans = self.loans.borrow();
            inbound.budget.set_rate(loans.as_ref().map_or(0, |(loans, _)| loans.usable(sender, now)));
        }
        let taken = inbound.budget.acquire(now, class.0, 1.0);
        inbound.short |= taken == Err(BudgetExceeded::Rate);
        *(if taken.is_ok() { &mut inbound.taken } else { &mut inbound.refused }) += 1;
        taken.is_ok()
    }

    /// Serves the gateway, where there is one.
    pub async fn serve(self: Rc<Regions>, server: Rc<Server>, listener: Option<TcpListener>) {
        match listener {
            Some(listener) => front::serve(self, server, listener).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until nothing of another region's is in service, so long at the most.
    pub async fn drained(&self, within: Micros) {
        front::drained(self, self.clock.now() + within).await;
    }

    /// Watches the files of keys for ever. A set that can't be used is told once and leaves the present one in use.
    pub async fn watch_keys(self: Rc<Regions>) {
        let mut last = String::new();
        loop {
            self.warn_of_end();
            tokio::select! {
                () = tokio::time::sleep(KEYS) => {}
                () = self.look.notified() => {}
            }
            let stamp = tls::stamp(&self.settings);
            if stamp == self.stamp.get() {
                last.clear();
                continue;
            }
            match tls::load(&self.settings, self.clock.now()) {
                // Replaced again while they were read: what was read may be half of either.
                Ok(_) if tls::stamp(&self.settings) != stamp => self.look.notify_one(),
                Ok(identity) => {
                    let generation = self.keys.borrow().generation + 1;
                    *self.keys.borrow_mut() = Keys { client: identity.client.clone(), generation };
                    *self.identity.borrow_mut() = identity;
                    self.stamp.set(stamp);
                    self.changed.send_replace(generation);
                    self.told.set(Expiry::Distant);
                    tracing::info!(
                        "region: keys read again and in use, the {generation}. change since the start"
                    );
                    last.clear();
                }
                Err(e) => {
                    let text = e.to_string();
                    if text != last {
                        self.refused.set(self.refused.get() + 1);
                        tracing::warn!("region: the keys stay as they were: {text}");
                        last = text;
                    }
                }
            }
        }
    }

    fn warn_of_end(&self) {
        let now = self.clock.now();
        let ends = self.identity.borrow().ends;
        let end = Expiry::of(now, ends);
        if end > self.told.replace(end.max(self.told.get())) {
            let days = (ends - now).0 / 86_400_000_000;
            match end {
                Expiry::Expired => {
                    tracing::error!("region: the certificate has ended: other regions refuse this one");
                }
                _ => tracing::warn!("region: the certificate ends in {days} days"),
            }
        }
    }

    fn unit(&self) -> f64 {
        f64::from(self.dice.borrow_mut().next_u32()) / 4_294_967_296.0
    }
}

impl MessageHandler for Regions {
    fn handle_message(&self, now: Time, from: u16, body: &[u8], answers: &mut Vec<(u16, Vec<u8>)>) {
        if let Some((loans, _)) = self.loans.borrow_mut().as_mut() {
            loans.handle(now, from, body, answers);
        }
    }
}

/// A hop that is out; dropped before its end, it was called off.
struct Out {
    regions: Rc<Regions>,
    link: usize,
    ended: bool,
}

impl Out {
    fn end(&mut self, end: HopResult) {
        self.ended = true;
        let (now, unit) = (self.regions.clock.now(), self.regions.unit());
        self.regions.links.borrow_mut()[self.link].complete(now, end, unit);
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        if !self.ended {
            self.regions.links.borrow_mut()[self.link].cancel();
        }
    }
}

/// The seam: what the driver tells, and what is asked of it.
pub struct RegionWatch {
    regions: Rc<Regions>,
    registry: Rc<Registry>,
    spill: Spillover,
    /// The next look at the fleet; the earliest next offer, and whether one stands.
    next: Time,
    offer_at: Time,
    offered: bool,
    at_once: Vec<f64>,
    worth: Vec<f64>,
    /// Of each class the most that is not tried here at all.
    most_at_once: Vec<f64>,
    tick: Micros,
}

impl RegionWatch {
    pub fn new(regions: Rc<Regions>, registry: Rc<Registry>, classes: &[Class], tick: Micros) -> RegionWatch {
        let free = |c: &Class| c.effect == Effect::Free;
        let most = |c: &Class| match (free(c), classes.iter().any(free)) {
            (true, _) => 1.0 - TRIED,
            (false, true) => 1.0,
            (false, false) => 1.0 - TRIED_AT_LEAST,
        };
        RegionWatch {
            spill: Spillover::new(regions.settings.rule.thresholds()),
            regions,
            registry,
            next: Time(0),
            offer_at: Time(0),
            offered: false,
            most_at_once: classes.iter().map(most).collect(),
            at_once: vec![0.0; classes.len()],
            worth: classes.iter().map(|c| c.priority_weight).collect(),
            tick,
        }
    }

    /// Of each class the part that the fleet here can't serve, those worth most served first, and what of it is to
    /// leave without being tried.
    fn shortfall(&mut self, seen: &gaugesaddle_balancer::Capacity, exercise: f64) {
        let mut order: Vec<usize> = (0..self.worth.len()).collect();
        order.sort_by(|a, b| self.worth[*b].total_cmp(&self.worth[*a]));
        let mut able = seen.capacity_per_s;
        for class in order {
            let demand = seen.demand_per_s.get(class).copied().unwrap_or(0.0);
            let covered = if demand > 0.0 { (able / demand).clamp(0.0, 1.0) } else { f64::from(able > 0.0) };
            able = (able - demand).max(0.0);
            self.at_once[class] = (1.0 - covered).max(exercise).min(self.most_at_once[class]);
        }
    }

    fn look(&mut self, now: Time, module: &Balancer, open: f64) -> f64 {
        let seen = module.capacity();
        let demand: f64 = seen.demand_per_s.iter().sum();
        // Before any was served nothing speaks against the fleet.
        let able = if seen.capacity_per_s.is_finite() { seen.capacity_per_s } else { demand };
        let fleet = FleetCapacity { capacity_per_s: able, demand_per_s: demand };
        if let Some(Transition { from, to, coverage }) = self.spill.observe(now, fleet) {
            tracing::info!(
                "region: {} after {}: backends can do {able:.0} of {demand:.0} a second ({coverage:.2})",
                to.name(),
                from.name()
            );
        }
        let (switch, percent) = self.regions.switch.get();
        let exercise = if switch == SwitchKey::Now { f64::from(percent) / 100.0 } else { 0.0 };
        let now_open = self.spill.open_fraction(now, switch.switch());
        if now_open > 0.0 || open > 0.0 {
            self.shortfall(&seen, exercise);
            let wants: Vec<f64> =
                self.at_once.iter().zip(&seen.demand_per_s).map(|(part, d)| part * d).collect();
            for link in self.regions.links.borrow_mut().iter_mut() {
                link.expect_demand(wants.iter().copied());
            }
        }
        let reachable = self.regions.links.borrow().iter().any(|l| l.backoff_until(now).is_none());
        self.registry.elsewhere.set(now_open > 0.0 && reachable);
        self.publish(now);
        now_open
    }

    fn publish(&self, now: Time) {
        let (regions, front) = (&self.regions, &self.regions.front);
        let mut links = regions.links.borrow_mut();
        let inbound = regions.inbound.borrow();
        let others = links.iter_mut().zip(inbound.iter()).map(|(link, inbound)| {
            let (f, LinkUsage { in_flight, per_s }) = (link.counters(), link.usage(now));
            let pair = |usage: Usage| (usage.used, usage.limit);
            OtherView {
                name: link.name().into(),
                in_flight: pair(in_flight),
                per_s: pair(per_s),
                sent: f.sent,
                ran: f.executed,
                not_run: f.not_executed,
                may_have_run: f.indeterminate,
                barred: f.ineligible,
                too_late: f.deadline_too_short,
                over_budget: f.over_budget,
                backed_off: f.backed_off,
                trip_us: link.hop_overhead(now).0,
                paused_until_us: link.backoff_until(now).map(|t| t.0),
                taken_in_flight: pair(inbound.budget.in_flight()),
                taken: inbound.taken,
                refused: inbound.refused,
            }
        });
        let view = RegionView {
            name: regions.settings.name.clone(),
            state: self.spill.state().name().into(),
            since_us: self.spill.since().0,
            covered: self.spill.coverage().min(9.99),
            switch: regions.switch.get().0.name().into(),
            certificate_end_us: regions.identity.borrow().ends.0,
            keys_taken: regions.keys.borrow().generation,
            keys_refused: regions.refused.get(),
            connections: front.connections.get(),
            strangers: front.strangers.get(),
            barred: front.barred.get(),
            others: others.collect(),
        };
        *self.registry.region.borrow_mut() = Some(view);
    }
}

impl Subsystem for RegionWatch {
    fn turn(&mut self, now: Time, module: &Balancer, events: &mut Vec<Event>) {
        let switch = self.regions.switch.get().0.switch();
        let mut open = self.spill.open_fraction(now, switch);
        if now >= self.next {
            self.next = now + LOOK;
            open = self.look(now, module, open);
        }
        if open == 0.0 {
            if std::mem::take(&mut self.offered) {
                events.push(Event::Offer(Offer::default()));
            }
            return;
        }
        // The module decides once a tick: what changes in between it could not use.
        if now < self.offer_at {
            return;
        }
        self.offer_at = now + self.tick;
        let mut links = self.regions.links.borrow_mut();
        let room =
            |class: usize, links: &mut [Link]| links.iter_mut().map(|l| l.available(now, class, open)).sum();
        let rooms: Vec<u32> = (0..self.worth.len()).map(|class| room(class, &mut links)).collect();
        // The first that has room is the first that is asked.
        let trips = links.iter_mut().filter_map(|l| {
            let any = (0..self.worth.len()).any(|class| l.available(now, class, open) > 0);
            any.then(|| l.hop_overhead(now))
        });
        let trip = trips.min().unwrap_or_default();
        // While returning ever less is kept from the backends here; the rest is what the module cannot hold.
        let at_once = self.at_once.iter().map(|part| (part * open).clamp(0.0, 1.0)).collect();
        // Told anew each tick, like or not: the module has used some of the last one.
        self.offered = true;
        events.push(Event::Offer(Offer { capacity: rooms, hop_duration: trip, direct_fraction: at_once }));
    }

    fn place(&mut self, now: Time, leaving: Leaving) -> Option<Local<Ended>> {
        let body = client::body_of(leaving.call)?;
        let switch = self.regions.switch.get().0.switch();
        let (open, left) = (self.spill.open_fraction(now, switch), leaving.deadline - now);
        let regions = self.regions.clone();
        let request =
            HopRequest { class: leaving.class.0, remaining: left, via: leaving.hop, open_fraction: open };
        let (link, Hop { via, remaining }) = {
            let mut links = regions.links.borrow_mut();
            let mut tried = links.iter_mut().enumerate().filter(|(i, _)| regions.peers[*i].is_some());
            tried.find_map(|(i, l)| l.start_hop(now, request).ok().map(|hop| (i, hop)))?
        };
        // What was taken here is given back by the end of the hop, whatever ends it.
        let mut out = Out { regions: regions.clone(), link, ended: false };
        let call = leaving.call.clone();
        // A tick ahead of the driver's own end of patience: what is silent until then is told apart from a client
        // that leaves.
        let until = Time(leaving.deadline.0.saturating_sub(self.tick.0));
        Some(Box::pin(async move {
            let Some(peer) = &regions.peers[link] else {
                return Ended::from(RemoteOutcome::NotExecuted.attempt_outcome());
            };
            let (end, answer) = peer.hop(&call, body, &via, remaining, until).await;
            out.end(end);
            Ended { outcome: end.outcome.attempt_outcome(), answer: answer.map(|a| a.map(Payload::Whole)) }
        }))
    }

    fn wake(&self) -> Time {
        self.next
    }
}
