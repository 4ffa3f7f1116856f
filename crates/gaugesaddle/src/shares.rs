//! This proxy's part of what all of them may do, by need, in the running proxy: the file beside the driver. Who lives and
//! what each gets is the tier's to say, what follows is `gaugesaddle_allocation`'; here the module is told.

use crate::peers::{LiveMembers, Tier};
use crate::region::Regions;
use crate::registry::{LentView, Registry, SharesView, SoftView};
use crate::seam::Subsystem;
use gaugesaddle_allocation::{
    Allocation, AllocationLimits, Allocator, AllocatorSettings, LeaseView, SubsetSize, TierView,
};
use gaugesaddle_balancer::{Balancer, BalancerStatus, Event, ListUpdate, Micros, Time};
use gaugesaddle_federation::{EvenAllocation, WeightedAllocation};
use serde::Deserialize;
use std::rc::Rc;

/// The parts are looked at this often: as often as records are published.
const LOOK: Micros = Micros(500_000);
/// While it is not known who lives: what others' requests wait for is known a look after it can be.
const WAKING_LOOK: Micros = Micros(50_000);

/// `[shares]`. Wants a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Shares {
    /// Parts by need; else even ones of the told number.
    pub enabled: bool,
    /// So many hundredths are dealt out evenly.
    pub floor_percent: u32,
    /// No part is more than so many times the even one.
    pub most_times: u32,
    /// A part that should be other by fewer hundredths stays.
    pub least_percent: u32,
    /// Two thirds of the way to another part take so long.
    pub over_ms: u32,
}

impl Default for Shares {
    fn default() -> Shares {
        let AllocatorSettings { limits: law, min_change: least, smoothing: over, .. } =
            AllocatorSettings::default();
        Shares {
            enabled: false,
            floor_percent: (law.floor * 100.0) as u32,
            most_times: law.max_multiple as u32,
            least_percent: (least * 100.0) as u32,
            over_ms: (over.0 / 1000) as u32,
        }
    }
}

impl Shares {
    /// The first key that can't be. `peers`: whether the tier is known.
    pub fn check(&self, peers: bool) -> Result<(), (String, String)> {
        let tests = [
            (!self.enabled || peers, "enabled", "peers.enabled = true beside it".to_string()),
            (self.floor_percent <= 100, "floor_percent", format!("0 to 100, got {}", self.floor_percent)),
            (
                (1..=1000).contains(&self.most_times),
                "most_times",
                format!("1 to 1000, got {}", self.most_times),
            ),
            (self.least_percent <= 100, "least_percent", format!("0 to 100, got {}", self.least_percent)),
            (
                (100..=60_000).contains(&self.over_ms),
                "over_ms",
                format!("100 to 60000, got {}", self.over_ms),
            ),
        ];
        match tests.into_iter().find(|t| !t.0) {
            Some((_, key, expected)) => Err((format!("shares.{key}"), format!("expected {expected}"))),
            None => Ok(()),
        }
    }

    fn dealing(&self) -> AllocatorSettings {
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

pub struct ShareWatch {
    tier: Rc<Tier>,
    registry: Rc<Registry>,
    regions: Option<Rc<Regions>>,
    dealer: Allocator,
    next: Time,
    /// When what is lent is looked at next.
    lend: Time,
}

impl ShareWatch {
    pub fn new(
        settings: Shares, tier: Rc<Tier>, registry: Rc<Registry>, regions: Option<Rc<Regions>>,
    ) -> ShareWatch {
        if let Some(regions) = &regions {
            regions.begin_lending();
            tier.add_handler(regions.clone());
        }
        let (dealer, begin) = (Allocator::new(settings.dealing()), Time(0));
        ShareWatch { tier, registry, regions, dealer, next: begin, lend: begin }
    }
}

fn lent(now: Time, from: String, l: LeaseView) -> LentView {
    LentView {
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

/// What goes by this part, as the module stands.
fn soft(part: f64, by: &str, used: usize, listed: usize, s: &BalancerStatus) -> Vec<SoftView> {
    let view = |name: &str, whole, own, used| SoftView { name: name.into(), whole, own, used, by: by.into() };
    let whole = |own: f64| own / part.max(1e-6);
    // Before the backends have been dealt out the module uses those of its own way.
    let uses = if used > 0 { used as f64 } else { s.ready };
    vec![
        view("attempts out", whole(s.pool), s.pool, s.in_flight as f64),
        view("requests a second", whole(s.arrivals), s.arrivals, s.rate),
        view("backends", listed as f64, uses, s.ready),
    ]
}

impl Subsystem for ShareWatch {
    fn turn(&mut self, now: Time, module: &Balancer, events: &mut Vec<Event>) {
        if now < self.next {
            return;
        }
        self.next = now + LOOK;
        let LiveMembers { configured: told, since_stall: awake, since_change: still, own, indices: places } =
            self.tier.live_members(now);
        let (needs, living) = (self.tier.demands(&places), places.len());
        let seen = TierView {
            configured: told,
            uptime: awake,
            unchanged_for: still,
            own,
            indices: &places,
            demands: &needs,
        };
        let listed = module.listed();
        let ready = listed.len();
        let (state, part) = match self.dealer.observe(now, &seen, listed) {
            Allocation::Provisional(weight) => {
                self.next = now + WAKING_LOOK;
                ("waking", weight / told.max(1) as f64)
            }
            Allocation::ByDemand(tier) => {
                // Told each time: a module that had to start anew knows nothing of it.
                events.push(Event::Tier(tier));
                events.push(Event::Uses(self.dealer.uses().to_vec()));
                self.registry.living.set(tier.proxies);
                let (before, part) = self.dealer.range();
                let even = EvenAllocation { proxies: tier.proxies, position: tier.position };
                self.regions
                    .iter()
                    .for_each(|r| r.deal(WeightedAllocation { preceding: before, fraction: part, even }));
                ("by need", tier.traffic_fraction())
            }
        };
        if now >= self.lend {
            // Counts of less than a look are chance.
            self.lend = now + LOOK;
            self.regions.iter().for_each(|r| r.lend(now, &self.tier, &places));
        }
        let by = if state == "by need" { "need, of the living" } else { "the told number" };
        let dealt = self.dealer.uses().len();
        let soft = soft(part, by, dealt, ready, &module.status());
        *self.registry.shares.borrow_mut() = Some(SharesView {
            state: state.into(),
            told,
            living,
            position: own,
            part,
            even: 1.0 / living.max(1) as f64,
            need: needs.get(own).copied().flatten().unwrap_or(0.0),
            needs: needs.iter().flatten().sum(),
            unknown: needs.iter().filter(|n| n.is_none()).count(),
            uses: dealt,
            soft,
            listed: self.dealer.listed(),
            lent: self.regions.iter().flat_map(|r| r.lent(now)).map(|(from, l)| lent(now, from, l)).collect(),
        });
    }

    fn listed(&mut self, _: Time, _: ListUpdate) {
        self.next = Time(0); // what is new is dealt out at once
    }

    fn wake(&self) -> Time {
        self.next
    }
}
