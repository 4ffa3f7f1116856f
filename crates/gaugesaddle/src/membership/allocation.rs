//! Allocation by demand in the running proxy: `gaugesaddle_allocation` derives this proxy's fraction from the live members
//! and their demands; this module reports it to the balancer and to the links to other regions.

use crate::configuration::InvalidKey;
use crate::federation::Regions;
use crate::membership::Tier;
use crate::operations::registry::{AllocationView, LeaseQuantityView, Registry, SoftQuantityView};
use crate::serving::extension::Extension;
use gaugesaddle_allocation::{
    Allocation, AllocationLimits, Allocator, AllocatorSettings, LeaseView, SubsetSize, TierView,
};
use gaugesaddle_balancer::{Balancer, Event, ListUpdate, Micros, Time};
use gaugesaddle_federation::{EvenAllocation, WeightedAllocation};
use serde::Deserialize;
use std::rc::Rc;

/// Interval between observations; equals the interval at which members publish records.
const OBSERVATION_INTERVAL: Micros = Micros(500_000);
/// Interval while the live members are not known yet, so that they are used soon after they become known.
const PROVISIONAL_INTERVAL: Micros = Micros(50_000);

/// `[shares]`. A change requires a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AllocationSection {
    /// Whether allocation is by demand; otherwise all configured proxies have equal fractions.
    pub enabled: bool,
    /// Percentage of the total that is divided equally.
    pub floor_percent: u32,
    /// Maximum multiple of the equal fraction.
    pub most_times: u32,
    /// Minimum change of a fraction, in percent of it.
    pub least_percent: u32,
    /// Time constant of the smoothing of changes, in milliseconds.
    pub over_ms: u32,
}

impl Default for AllocationSection {
    fn default() -> AllocationSection {
        let AllocatorSettings { limits, min_change, smoothing, .. } = AllocatorSettings::default();
        AllocationSection {
            enabled: false,
            floor_percent: (limits.floor * 100.0) as u32,
            most_times: limits.max_multiple as u32,
            least_percent: (min_change * 100.0) as u32,
            over_ms: (smoothing.0 / 1000) as u32,
        }
    }
}

impl AllocationSection {
    /// Checks the section. `peers`: whether the membership is enabled.
    ///
    /// # Errors
    /// Returns the first invalid key.
    pub fn check(&self, peers: bool) -> Result<(), InvalidKey> {
        if self.enabled && !peers {
            return Err(InvalidKey::new("shares.enabled", "expected peers.enabled = true beside it"));
        }
        let ranges = [
            ("floor_percent", self.floor_percent, 0..=100),
            ("most_times", self.most_times, 1..=1000),
            ("least_percent", self.least_percent, 0..=100),
            ("over_ms", self.over_ms, 100..=60_000),
        ];
        match ranges.into_iter().find(|(_, value, range)| !range.contains(value)) {
            Some((key, value, range)) => {
                let finding = format!("expected {} to {}, got {value}", range.start(), range.end());
                Err(InvalidKey::new(format!("shares.{key}"), finding))
            }
            None => Ok(()),
        }
    }

    fn settings(&self) -> AllocatorSettings {
        AllocatorSettings {
            limits: AllocationLimits {
                floor: f64::from(self.floor_percent) / 100.0,
                max_multiple: f64::from(self.most_times),
            },
            min_change: f64::from(self.least_percent) / 100.0,
            smoothing: Micros(u64::from(self.over_ms) * 1000),
            subset: SubsetSize::default(),
        }
    }
}

/// Keeps this proxy's allocation up to date.
pub struct AllocationWatch {
    tier: Rc<Tier>,
    registry: Rc<Registry>,
    regions: Option<Rc<Regions>>,
    allocator: Allocator,
    next: Time,
    /// Time of the next update of leases.
    lease_at: Time,
}

impl AllocationWatch {
    pub fn new(
        settings: AllocationSection, tier: Rc<Tier>, registry: Rc<Registry>, regions: Option<Rc<Regions>>,
    ) -> AllocationWatch {
        if let Some(regions) = &regions {
            regions.use_leases();
            tier.add_handler(regions.clone());
        }
        let (allocator, start) = (Allocator::new(settings.settings()), Time(0));
        AllocationWatch { tier, registry, regions, allocator, next: start, lease_at: start }
    }
}

fn lease_view(now: Time, from: String, l: LeaseView) -> LeaseQuantityView {
    LeaseQuantityView {
        from,
        whole: l.total,
        even: l.entitlement,
        usable: l.usable,
        need: l.demand,
        given: l.granted,
        taken: l.borrowed,
        lease_left_us: l.until.map(|until| (until - now).0),
    }
}

/// The published result of one observation.
struct Observation {
    is_by_demand: bool,
    /// This proxy's fraction of all traffic.
    fraction: f64,
}

impl AllocationWatch {
    /// Observes the tier and reports the allocation to the balancer and the links to other regions.
    fn observe(
        &mut self, now: Time, view: &TierView, balancer: &Balancer, events: &mut Vec<Event>,
    ) -> Observation {
        match self.allocator.observe(now, view, balancer.listed()) {
            Allocation::Provisional(weight) => {
                self.next = now + PROVISIONAL_INTERVAL;
                Observation { is_by_demand: false, fraction: weight / view.configured.max(1) as f64 }
            }
            Allocation::ByDemand(tier) => {
                // Reported at each observation, since a restarted balancer has lost it.
                events.push(Event::Tier(tier));
                events.push(Event::Assignments(self.allocator.assignments().to_vec()));
                self.registry.live_proxies.set(tier.proxies);
                let (preceding, fraction) = self.allocator.fraction_range();
                let even = EvenAllocation { proxies: tier.proxies, position: tier.position };
                if let Some(regions) = &self.regions {
                    regions.reallocate(WeightedAllocation { preceding, fraction, even });
                }
                Observation { is_by_demand: true, fraction: tier.traffic_fraction() }
            }
        }
    }

    /// Returns the published state.
    fn view(
        &self, now: Time, tier: &TierView, observation: &Observation, balancer: &Balancer,
    ) -> AllocationView {
        let Observation { is_by_demand, fraction } = *observation;
        let live = tier.indices.len();
        // Operators' tools match these texts.
        let (state, basis) =
            if is_by_demand { ("by need", "need, of the living") } else { ("waking", "the told number") };
        let leases = self.regions.iter().flat_map(|regions| regions.lease_views(now));
        AllocationView {
            state: state.into(),
            told: tier.configured,
            living: live,
            position: tier.own,
            part: fraction,
            even: 1.0 / live.max(1) as f64,
            need: tier.demands.get(tier.own).copied().flatten().unwrap_or(0.0),
            needs: tier.demands.iter().flatten().sum(),
            unknown: tier.demands.iter().filter(|demand| demand.is_none()).count(),
            uses: self.allocator.assignments().len(),
            soft: self.soft_quantities(fraction, basis, balancer),
            listed: self.allocator.listed_count(),
            lent: leases.map(|(from, lease)| lease_view(now, from, lease)).collect(),
        }
    }

    /// Returns the quantities that are divided among the proxies by their fractions.
    fn soft_quantities(&self, fraction: f64, basis: &str, balancer: &Balancer) -> Vec<SoftQuantityView> {
        let status = balancer.status();
        let view = |name: &str, whole, own, used| SoftQuantityView {
            name: name.into(),
            whole,
            own,
            used,
            by: basis.into(),
        };
        let total = |own: f64| own / fraction.max(1e-6);
        // Before backends are assigned the balancer selects its own subset.
        let assigned = self.allocator.assignments().len();
        let uses = if assigned > 0 { assigned as f64 } else { status.ready };
        vec![
            view("attempts out", total(status.pool), status.pool, status.in_flight as f64),
            view("requests a second", total(status.arrivals), status.arrivals, status.rate),
            view("backends", balancer.listed().len() as f64, uses, status.ready),
        ]
    }
}

impl Extension for AllocationWatch {
    fn poll(&mut self, now: Time, balancer: &Balancer, events: &mut Vec<Event>) {
        if now < self.next {
            return;
        }
        self.next = now + OBSERVATION_INTERVAL;
        let live = self.tier.live_members(now);
        let demands = self.tier.demands(&live.indices);
        let view = TierView {
            configured: live.configured,
            uptime: live.since_stall,
            unchanged_for: live.since_change,
            own: live.own,
            indices: &live.indices,
            demands: &demands,
        };
        let observation = self.observe(now, &view, balancer, events);
        if now >= self.lease_at {
            // Demand counted over a shorter period would be mostly noise.
            self.lease_at = now + OBSERVATION_INTERVAL;
            if let Some(regions) = &self.regions {
                regions.update_leases(now, &self.tier, &live.indices);
            }
        }
        *self.registry.allocation.borrow_mut() = Some(self.view(now, &view, &observation, balancer));
    }

    fn on_list(&mut self, _: Time, _: ListUpdate) {
        self.next = Time(0); // assigns new backends without delay
    }

    fn wake_at(&self) -> Time {
        self.next
    }
}
