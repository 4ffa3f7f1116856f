//! Measures the signals of this proxy and publishes them: rates from counters of the driver's extension interface, the
//! health of each zone from the balancer.

use super::Tier;
use crate::operations::registry::{Registry, RequestEnd};
use crate::serving::exchange::NewRequest;
use crate::serving::extension::Extension;
use gaugesaddle_allocation::{DemandEstimator, RateEstimator};
use gaugesaddle_balancer::{Arrival, Balancer, ClassId, Event, Time, ZoneId};
use gaugesaddle_membership::{Signals, ZoneSignal};
use std::rc::Rc;

/// Minimum period of a rate, in seconds; prevents a division by zero.
const MIN_PERIOD_S: f64 = 1e-3;

/// A counter and its smoothed rate.
#[derive(Clone, Copy, Default)]
struct RateCounter {
    /// Events since the last measurement.
    count: u32,
    rate: RateEstimator,
}

impl RateCounter {
    fn increment(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Returns the smoothed rate per second; `period_s` is the time since the last measurement.
    fn measure(&mut self, period_s: f64) -> f64 {
        self.rate.record(std::mem::take(&mut self.count), period_s)
    }
}

/// A zone and the time since which it has unhealthy backends.
struct ZoneHealth {
    id: ZoneId,
    unhealthy_since: Option<Time>,
}

/// Publishes the signals of this proxy once per publish interval.
pub struct PeerWatch {
    tier: Rc<Tier>,
    registry: Rc<Registry>,
    /// Zones in the order of the settings.
    zones: Vec<ZoneHealth>,
    /// Arrivals by request class.
    arrivals: Vec<RateCounter>,
    rejected: RateCounter,
    demand: DemandEstimator,
    last_measured: Option<Time>,
    next: Time,
}

impl PeerWatch {
    pub fn new(tier: Rc<Tier>, registry: Rc<Registry>, zones: Vec<ZoneId>, classes: usize) -> PeerWatch {
        let zones = zones.into_iter().map(|id| ZoneHealth { id, unhealthy_since: None }).collect();
        PeerWatch {
            tier,
            registry,
            zones,
            arrivals: vec![RateCounter::default(); classes],
            rejected: RateCounter::default(),
            demand: DemandEstimator::default(),
            last_measured: None,
            next: Time(0),
        }
    }

    fn measure(&mut self, now: Time, period_s: f64, balancer: &Balancer) -> Signals {
        // Must be read first: measuring the rates resets the counters.
        let arrived = self.arrivals.iter().fold(0, |sum: u32, class| sum.saturating_add(class.count));
        Signals {
            demand_per_s: self.demand.record(arrived, period_s),
            arrivals_per_s: self.arrivals.iter_mut().map(|class| class.measure(period_s)).collect(),
            in_flight: self.registry.open() as f64,
            rejected_per_s: self.rejected.measure(period_s),
            zones: self.measure_zones(now, balancer),
        }
    }

    fn measure_zones(&mut self, now: Time, balancer: &Balancer) -> Vec<ZoneSignal> {
        let observed = balancer.zones();
        let mut signals = Vec::with_capacity(self.zones.len());
        for zone in &mut self.zones {
            let found = observed.get(&zone.id).copied().unwrap_or_default();
            zone.unhealthy_since =
                if found.unhealthy > 0 { zone.unhealthy_since.or(Some(now)) } else { None };
            signals.push(ZoneSignal {
                backends: f64::from(found.backends),
                unhealthy: f64::from(found.unhealthy),
                // The capacity is infinite, that is unknown, before the first request is served.
                capacity_per_s: if found.capacity_per_s.is_finite() { found.capacity_per_s } else { 0.0 },
                unhealthy_for_s: zone.unhealthy_since.map_or(0.0, |since| (now - since).secs()),
            });
        }
        signals
    }
}

impl Extension for PeerWatch {
    fn poll(&mut self, now: Time, balancer: &Balancer, _: &mut Vec<Event>) {
        if now < self.next {
            return;
        }
        self.next = now + self.tier.publish_interval;
        // The first poll only starts the period.
        if let Some(last) = self.last_measured.replace(now) {
            let period_s = (now - last).secs().max(MIN_PERIOD_S);
            let signals = self.measure(now, period_s, balancer);
            self.tier.publish(signals.encode());
        }
    }

    fn on_arrival(&mut self, _: Time, new: &NewRequest, _: &mut Arrival) {
        if let Some(class) = self.arrivals.get_mut(new.class.0) {
            class.increment();
        }
    }

    fn on_request_end(&mut self, _: ClassId, end: RequestEnd) {
        if end.is_unserved() {
            self.rejected.increment();
        }
    }

    fn wake_at(&self) -> Time {
        self.next
    }
}

#[cfg(test)]
mod tests;
