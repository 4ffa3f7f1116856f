//! What this proxy tells the others of itself: counted by the seam, looked at in the module, published by the tier.

use super::Tier;
use crate::exchange::Arrived;
use crate::registry::{End, Registry};
use crate::seam::Subsystem;
use gaugesaddle_allocation::{Need, Rate};
use gaugesaddle_balancer::{Arrival, Balancer, ClassId, Event, Time, ZoneId};
use gaugesaddle_membership::{Signals, ZoneSignal};
use std::rc::Rc;

/// What is counted between looks, and its rate.
#[derive(Clone, Copy, Default)]
struct Counted {
    count: u32,
    rate: Rate,
}

impl Counted {
    fn look(&mut self, secs: f64) -> f64 {
        self.rate.look(std::mem::take(&mut self.count), secs)
    }
}

pub struct PeerWatch {
    tier: Rc<Tier>,
    registry: Rc<Registry>,
    /// By number in the settings.
    zones: Vec<ZoneId>,
    /// Since when some backends of the zone have been ill.
    ill_since: Vec<Option<Time>>,
    arrivals: Vec<Counted>,
    given_up: Counted,
    need: Need,
    looked: Option<Time>,
    next: Time,
}

impl PeerWatch {
    pub fn new(tier: Rc<Tier>, registry: Rc<Registry>, zones: Vec<ZoneId>, classes: usize) -> PeerWatch {
        let (ill_since, arrivals) = (vec![None; zones.len()], vec![Counted::default(); classes]);
        let (given_up, need, looked, next) = (Counted::default(), Need::default(), None, Time(0));
        PeerWatch { tier, registry, zones, ill_since, arrivals, given_up, need, looked, next }
    }

    fn signals(&mut self, now: Time, secs: f64, module: &Balancer) -> Signals {
        let seen = module.zones();
        let zone = |(id, since): (&ZoneId, &mut Option<Time>)| {
            let found = seen.get(id).copied().unwrap_or_default();
            *since = if found.ill > 0 { since.or(Some(now)) } else { None };
            ZoneSignal {
                backends: f64::from(found.backends),
                unhealthy: f64::from(found.ill),
                // Before any was served nothing is known of it.
                capacity_per_s: if found.able.is_finite() { found.able } else { 0.0 },
                unhealthy_for_s: since.map_or(0.0, |at| (now - at).secs()),
            }
        };
        let zones = self.zones.iter().zip(&mut self.ill_since).map(zone).collect();
        let came = self.arrivals.iter().fold(0, |sum: u32, r| sum.saturating_add(r.count));
        let demand_per_s = self.need.look(came, secs);
        let arrivals_per_s = self.arrivals.iter_mut().map(|r| r.look(secs)).collect();
        let rejected_per_s = self.given_up.look(secs);
        Signals {
            arrivals_per_s,
            in_flight: self.registry.open() as f64,
            rejected_per_s,
            demand_per_s,
            zones,
        }
    }
}

impl Subsystem for PeerWatch {
    fn turn(&mut self, now: Time, module: &Balancer, _: &mut Vec<Event>) {
        if now < self.next {
            return;
        }
        self.next = now + self.tier.every();
        // The first look only begins to count.
        if let Some(last) = self.looked.replace(now) {
            let secs = (now - last).secs().max(1e-3);
            let signals = self.signals(now, secs, module);
            self.tier.publish(signals.encode());
        }
    }

    fn arrived(&mut self, _: Time, new: &Arrived, _: &mut Arrival) {
        if let Some(rate) = self.arrivals.get_mut(new.class.0) {
            rate.count = rate.count.saturating_add(1);
        }
    }

    fn answered(&mut self, _: ClassId, end: End) {
        if end.gave_up() {
            self.given_up.count = self.given_up.count.saturating_add(1);
        }
    }

    fn wake(&self) -> Time {
        self.next
    }
}

#[cfg(test)]
mod tests;
