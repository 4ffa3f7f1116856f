//! Connects the driver with other regions: offers the balancer the number of requests that may be forwarded, and forwards
//! those that it hands over.

use super::regions::{Inbound, Regions, Switch};
use super::remote_gateways::{forwardable_body, Hop};
use super::settings::SwitchKey;
use crate::operations::registry::{OtherRegionView, RegionView, Registry};
use crate::serving::body::Payload;
use crate::serving::exchange::{AttemptResult, LocalFuture};
use crate::serving::extension::{Extension, ForwardedRequest};
use gaugesaddle_balancer::{Balancer, Capacity, Class, Effect, Event, Micros, Offer, Time};
use gaugesaddle_federation::{
    FleetCapacity, HopRequest, HopResult, Link, LinkUsage, RemoteOutcome, Spillover, Transition, Usage,
};
use std::rc::Rc;

/// Interval between observations of the fleet: allows for several within the shortest period of the spillover rule.
const OBSERVATION_INTERVAL: Micros = Micros(50_000);
/// Fraction of the idempotent requests that are attempted at local backends although none seems usable, so that a recovery
/// is detected. Non-idempotent ones are not attempted: an unresponsive backend would leave their outcome unknown.
const LOCAL_PROBE_FRACTION: f64 = 0.1;
/// Fraction of all requests that are attempted at local backends where no class is idempotent.
const MIN_LOCAL_PROBE_FRACTION: f64 = 0.02;
/// Maximum published coverage.
const MAX_PUBLISHED_COVERAGE: f64 = 9.99;

/// A hop in flight. It is recorded as cancelled if it is dropped before completion.
struct HopGuard {
    regions: Rc<Regions>,
    link: usize,
    is_complete: bool,
}

impl HopGuard {
    fn complete(&mut self, result: HopResult) {
        self.is_complete = true;
        let (now, random) = (self.regions.clock.now(), self.regions.random_fraction());
        self.regions.links.borrow_mut()[self.link].complete(now, result, random);
    }
}

impl Drop for HopGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            self.regions.links.borrow_mut()[self.link].cancel();
        }
    }
}

/// The driver's extension for other regions.
pub struct RegionWatch {
    regions: Rc<Regions>,
    registry: Rc<Registry>,
    spillover: Spillover,
    next_observation: Time,
    next_offer: Time,
    /// Whether the balancer has an offer that is not empty.
    has_offered: bool,
    /// Fraction of each class that is forwarded without a local attempt, and its maximum.
    direct_fraction: Vec<f64>,
    max_direct_fraction: Vec<f64>,
    priority_weights: Vec<f64>,
    tick: Micros,
}

/// Returns the maximum fraction of a class that is forwarded without a local attempt.
fn max_direct_fraction(class: &Class, has_idempotent: bool) -> f64 {
    match (class.effect == Effect::Free, has_idempotent) {
        (true, _) => 1.0 - LOCAL_PROBE_FRACTION,
        (false, true) => 1.0,
        (false, false) => 1.0 - MIN_LOCAL_PROBE_FRACTION,
    }
}

impl RegionWatch {
    /// `tick`: interval of the balancer's decisions.
    pub fn new(regions: Rc<Regions>, registry: Rc<Registry>, classes: &[Class], tick: Micros) -> RegionWatch {
        let has_idempotent = classes.iter().any(|class| class.effect == Effect::Free);
        let max = |class: &Class| max_direct_fraction(class, has_idempotent);
        RegionWatch {
            spillover: Spillover::new(regions.settings.rule.thresholds()),
            regions,
            registry,
            next_observation: Time(0),
            next_offer: Time(0),
            has_offered: false,
            max_direct_fraction: classes.iter().map(max).collect(),
            direct_fraction: vec![0.0; classes.len()],
            priority_weights: classes.iter().map(|class| class.priority_weight).collect(),
            tick,
        }
    }

    /// Returns the fraction of the budgets that may be used now, 0 to 1.
    fn open_fraction(&self, now: Time) -> f64 {
        self.spillover.budget_fraction(now, self.regions.switch.get().key.mode())
    }

    /// Sets for each class the fraction that the local fleet cannot serve, assigning capacity by priority.
    fn update_direct_fractions(&mut self, capacity: &Capacity, exercise: f64) {
        let mut order: Vec<usize> = (0..self.priority_weights.len()).collect();
        order.sort_by(|a, b| self.priority_weights[*b].total_cmp(&self.priority_weights[*a]));
        let mut available = capacity.capacity_per_s;
        for class in order {
            let demand = capacity.demand_per_s.get(class).copied().unwrap_or(0.0);
            let covered =
                if demand > 0.0 { (available / demand).clamp(0.0, 1.0) } else { f64::from(available > 0.0) };
            available = (available - demand).max(0.0);
            self.direct_fraction[class] = (1.0 - covered).max(exercise).min(self.max_direct_fraction[class]);
        }
    }

    /// Observes the fleet; `previous` is the fraction of the budgets that was usable before. Returns the present one.
    fn observe(&mut self, now: Time, balancer: &Balancer, previous: f64) -> f64 {
        let capacity = balancer.capacity();
        self.observe_coverage(now, &capacity);
        let Switch { key, exercise_percent } = self.regions.switch.get();
        let exercise = if key == SwitchKey::Now { f64::from(exercise_percent) / 100.0 } else { 0.0 };
        let open = self.open_fraction(now);
        if open > 0.0 || previous > 0.0 {
            self.update_direct_fractions(&capacity, exercise);
            let forwarded = self.direct_fraction.iter().zip(&capacity.demand_per_s);
            let demands: Vec<f64> = forwarded.map(|(fraction, demand)| fraction * demand).collect();
            for link in self.regions.links.borrow_mut().iter_mut() {
                link.set_expected_demand(demands.iter().copied());
            }
        }
        let is_reachable = self.regions.links.borrow().iter().any(|link| link.backoff_until(now).is_none());
        self.registry.region_serves.set(open > 0.0 && is_reachable);
        *self.registry.region.borrow_mut() = Some(self.view(now));
        open
    }

    fn observe_coverage(&mut self, now: Time, capacity: &Capacity) {
        let demand: f64 = capacity.demand_per_s.iter().sum();
        // Before the first request is served, the capacity is unknown and assumed to equal the demand.
        let is_known = capacity.capacity_per_s.is_finite();
        let capacity = if is_known { capacity.capacity_per_s } else { demand };
        let fleet = FleetCapacity { capacity_per_s: capacity, demand_per_s: demand };
        if let Some(Transition { from, to, coverage }) = self.spillover.observe(now, fleet) {
            tracing::info!(
                "region: state is {} after {}: capacity {capacity:.0}/s, demand {demand:.0}/s, coverage {coverage:.2}",
                to.name(),
                from.name()
            );
        }
    }

    /// Returns the published state.
    fn view(&self, now: Time) -> RegionView {
        let regions = &self.regions;
        let mut links = regions.links.borrow_mut();
        let inbound = regions.inbound.borrow();
        let others = links.iter_mut().zip(inbound.iter());
        RegionView {
            name: regions.settings.name.clone(),
            state: self.spillover.state().name().into(),
            since_us: self.spillover.since().0,
            covered: self.spillover.coverage().min(MAX_PUBLISHED_COVERAGE),
            switch: regions.switch.get().key.name().into(),
            certificate_end_us: regions.identity.borrow().valid_until.0,
            keys_taken: regions.keys.borrow().generation,
            keys_refused: regions.rejected_keys.get(),
            connections: regions.gateway.connections.get(),
            strangers: regions.gateway.unauthenticated.get(),
            barred: regions.gateway.invalid.get(),
            others: others.map(|(link, inbound)| other_view(now, link, inbound)).collect(),
        }
    }

    /// Returns the offer to the balancer: the requests that may be forwarded now.
    fn offer(&self, now: Time, open: f64) -> Offer {
        let mut links = self.regions.links.borrow_mut();
        let classes = 0..self.priority_weights.len();
        let available = |class: usize, links: &mut [Link]| {
            links.iter_mut().map(|link| link.available(now, class, open)).sum()
        };
        let capacity = classes.clone().map(|class| available(class, &mut links)).collect();
        // Links are tried in order: the first one that has capacity is used first.
        let usable = links.iter_mut().filter_map(|link| {
            let has_capacity = classes.clone().any(|class| link.available(now, class, open) > 0);
            has_capacity.then(|| link.hop_overhead(now))
        });
        let hop_duration = usable.min().unwrap_or_default();
        // While the spillover returns, the fraction that bypasses the local backends decreases with `open`.
        let direct_fraction = self.direct_fraction.iter().map(|f| (f * open).clamp(0.0, 1.0)).collect();
        Offer { capacity, hop_duration, direct_fraction }
    }
}

fn other_view(now: Time, link: &mut Link, inbound: &Inbound) -> OtherRegionView {
    let (counters, LinkUsage { in_flight, per_s }) = (link.counters(), link.usage(now));
    let pair = |usage: Usage| (usage.used, usage.limit);
    OtherRegionView {
        name: link.name().into(),
        in_flight: pair(in_flight),
        per_s: pair(per_s),
        sent: counters.sent,
        ran: counters.executed,
        not_run: counters.not_executed,
        may_have_run: counters.indeterminate,
        barred: counters.ineligible,
        too_late: counters.deadline_too_short,
        over_budget: counters.over_budget,
        backed_off: counters.backed_off,
        trip_us: link.hop_overhead(now).0,
        paused_until_us: link.backoff_until(now).map(|until| until.0),
        taken_in_flight: pair(inbound.budget.in_flight()),
        taken: inbound.accepted,
        refused: inbound.rejected,
    }
}

impl Extension for RegionWatch {
    fn poll(&mut self, now: Time, balancer: &Balancer, events: &mut Vec<Event>) {
        let mut open = self.open_fraction(now);
        if now >= self.next_observation {
            self.next_observation = now + OBSERVATION_INTERVAL;
            open = self.observe(now, balancer, open);
        }
        if open == 0.0 {
            if std::mem::take(&mut self.has_offered) {
                events.push(Event::Offer(Offer::default()));
            }
            return;
        }
        // The balancer decides once a tick: it could not use a new offer before that.
        if now < self.next_offer {
            return;
        }
        self.next_offer = now + self.tick;
        // Renewed at each tick even if unchanged: the balancer may have used a part of the last offer.
        self.has_offered = true;
        events.push(Event::Offer(self.offer(now, open)));
    }

    fn forward(&mut self, now: Time, request: ForwardedRequest) -> Option<LocalFuture<AttemptResult>> {
        let body = forwardable_body(request.call)?;
        let regions = self.regions.clone();
        let hop_request = HopRequest {
            class: request.class.0,
            remaining: request.deadline - now,
            via: request.via,
            budget_fraction: self.open_fraction(now),
        };
        let (link, gaugesaddle_federation::Hop { via, remaining }) = {
            let mut links = regions.links.borrow_mut();
            let mut reachable = links.iter_mut().enumerate().filter(|(i, _)| regions.gateways[*i].is_some());
            reachable.find_map(|(i, link)| link.start_hop(now, hop_request).ok().map(|hop| (i, hop)))?
        };
        // The guard releases the hop's part of the budget however the hop ends.
        let mut guard = HopGuard { regions: regions.clone(), link, is_complete: false };
        // One tick before the driver abandons the request, so that an unresponsive region is distinguished from a client
        // that disconnects.
        let deadline = Time(request.deadline.0.saturating_sub(self.tick.0));
        let call = request.call.clone();
        Some(Box::pin(async move {
            let Some(gateways) = &regions.gateways[link] else {
                return AttemptResult::from(RemoteOutcome::NotExecuted.attempt_outcome());
            };
            let hop = Hop { call: &call, body, via: &via, remaining, deadline };
            let (result, answer) = gateways.send(&hop).await;
            guard.complete(result);
            let answer = answer.map(|answer| answer.map(Payload::Buffered));
            AttemptResult { outcome: result.outcome.attempt_outcome(), answer }
        }))
    }

    fn wake_at(&self) -> Time {
        self.next_observation
    }
}
