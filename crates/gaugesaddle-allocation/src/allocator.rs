//! One proxy's fraction of the soft quantities and the backends that it uses, derived from its view of the tier.

use crate::{allocate_by_demand, assign, AllocationLimits, BackendKey, Member, SmoothedValue, SubsetSize};
use gaugesaddle_balancer::{mix, BackendAssignment, BackendId, KindId, Micros, Tier, Time, ZoneId};

/// Until a proxy has run for this long its view of the live members counts as incomplete: the configured number of proxies
/// applies, or its last allocation.
pub const DISCOVERY_TIME: Micros = Micros(2_000_000);
/// A proxy that has just started assumes the configured number of members, which may be ten times the number of live ones.
/// It accepts its view before [`DISCOVERY_TIME`] once no further member was discovered for this long: by then it has probed
/// some thirty members, each of which has had time to answer, and of 300 members that start at once 95 % are discovered
/// within 0.11 s and the last one within 0.56 s (`docs/design/peers.md`). Where about as many members are live as
/// configured, it waits for the full time: no demand has been reported yet, and the balancer assumes equal fractions
/// anyway.
const STABLE_TIME: Micros = Micros(300_000);
/// The weight reported to the balancer is a multiple of this step: a smaller change would make the balancer choose its
/// backends anew without benefit.
const WEIGHT_STEP: f64 = 0.02;
/// Minimum and maximum of that weight, beyond the limits of every tier that can be configured.
const WEIGHT_RANGE: (f64, f64) = (0.02, 100.0);

/// How fractions are allocated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllocatorSettings {
    /// Limits of the fractions that are computed from demands.
    pub limits: AllocationLimits,
    /// A change of the target by less than this fraction of it is ignored.
    pub min_change: f64,
    /// Time constant of the exponential approach to the target: about two thirds of a change are completed within it.
    pub smoothing: Micros,
    /// How many proxies use a backend.
    pub subset: SubsetSize,
}

impl Default for AllocatorSettings {
    fn default() -> AllocatorSettings {
        // Among about a hundred requests a tenth is random variation. Two seconds span several observations, and are
        // shorter than a change of load lasts.
        AllocatorSettings {
            limits: AllocationLimits::default(),
            min_change: 0.1,
            smoothing: Micros(2_000_000),
            subset: SubsetSize::default(),
        }
    }
}

/// One proxy's view of the tier: the live members, this proxy included, in an order that all proxies share.
#[derive(Clone, Copy, Debug)]
pub struct TierView<'a> {
    /// Number of configured members.
    pub configured: usize,
    /// Time since this process started or last resumed from a stall.
    pub uptime: Micros,
    /// Time since the set of live members last changed.
    pub unchanged_for: Micros,
    /// Position of this proxy among the live members.
    pub own: usize,
    /// Indices of the live members in the configuration.
    pub indices: &'a [u16],
    /// Demand of each, in requests per second; `None` where it has not reported yet.
    pub demands: &'a [Option<f64>],
}

/// A backend that is listed ready.
pub type ListedBackend = (BackendId, KindId, ZoneId);

/// The result of an observation of the tier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Allocation {
    /// The live members are not known yet: the tier that was reported last stays in effect, with this weight.
    Provisional(f64),
    /// An allocation by demand, to be reported to the balancer together with [`Allocator::assignments`].
    ByDemand(Tier),
}

/// Derives one proxy's allocation from its view of the tier and of the list of backends.
#[derive(Clone, Debug)]
pub struct Allocator {
    settings: AllocatorSettings,
    weight: Option<SmoothedValue>,
    members: Vec<Member>,
    listed: Vec<ListedBackend>,
    assignments: Vec<BackendAssignment>,
    fraction_range: (f64, f64),
}

impl Allocator {
    /// An allocator without observations.
    pub fn new(settings: AllocatorSettings) -> Allocator {
        Allocator {
            settings,
            weight: None,
            members: Vec::new(),
            listed: Vec::new(),
            assignments: Vec::new(),
            fraction_range: (0.0, 0.0),
        }
    }

    /// The backends that this proxy uses, as of the last [`Allocation::ByDemand`].
    pub fn assignments(&self) -> &[BackendAssignment] {
        &self.assignments
    }

    /// The sum of the fractions of the preceding members, and this proxy's own fraction, as of the last
    /// [`Allocation::ByDemand`]. Integer quantities are divided by it.
    pub fn fraction_range(&self) -> (f64, f64) {
        self.fraction_range
    }

    /// Number of listed backends, as of the last [`Allocation::ByDemand`].
    pub fn listed_count(&self) -> usize {
        self.listed.len()
    }

    fn is_view_settled(&self, view: &TierView) -> bool {
        let fewer = (view.indices.len() as f64) < (1.0 - self.settings.min_change) * view.configured as f64;
        let stable = view.uptime.min(view.unchanged_for) >= STABLE_TIME;
        let early = fewer && self.weight.is_none() && stable;
        let consistent = view.own < view.indices.len() && view.indices.len() == view.demands.len();
        consistent && (early || view.uptime >= DISCOVERY_TIME)
    }

    /// Updates the allocation from the present view of the tier and the listed backends.
    pub fn observe(&mut self, now: Time, view: &TierView, listed: Vec<ListedBackend>) -> Allocation {
        if !self.is_view_settled(view) {
            return Allocation::Provisional(self.weight.map_or(1.0, |weight| weight.value(now)));
        }
        let fractions = allocate_by_demand(&self.settings.limits, view.demands);
        let own = fractions[view.own];
        self.fraction_range = (fractions[..view.own].iter().sum(), own);
        let AllocatorSettings { min_change, smoothing, .. } = self.settings;
        let weight = self.weight.get_or_insert(SmoothedValue::new(now, 1.0, min_change, smoothing));
        weight.set_target(now, own * fractions.len() as f64);
        let rounded = (weight.value(now) / WEIGHT_STEP).round() * WEIGHT_STEP;
        let weight = rounded.clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1);
        let member =
            |(index, fraction): (&u16, &f64)| Member { hash_key: u64::from(*index), fraction: *fraction };
        let members = view.indices.iter().zip(&fractions).map(member).collect();
        self.reassign(members, view.own, listed);
        Allocation::ByDemand(Tier { proxies: fractions.len() as u32, position: view.own as u32, weight })
    }

    /// Assigns the backends anew if the members or the listed backends have changed.
    fn reassign(&mut self, members: Vec<Member>, own: usize, listed: Vec<ListedBackend>) {
        if members == self.members && listed == self.listed {
            return;
        }
        let key =
            |(id, kind, zone): &ListedBackend| BackendKey { hash_key: mix(id.0), kind: kind.0, zone: zone.0 };
        let backends: Vec<BackendKey> = listed.iter().map(key).collect();
        let assignments = assign(&members, &backends, &self.settings.subset);
        let of_this_proxy = assignments.into_iter().nth(own).unwrap_or_default();
        let own_assignments = of_this_proxy.into_iter().map(|assignment| BackendAssignment {
            backend: listed[assignment.backend].0,
            weight: assignment.weight,
            fraction: assignment.fraction,
            preceding: assignment.preceding,
            users: assignment.users,
        });
        self.assignments = own_assignments.collect();
        (self.members, self.listed) = (members, listed);
    }
}

#[cfg(test)]
mod tests;
