//! This proxy's part of what all of them may do, by need, in the running proxy: the file beside the driver. Who lives and
//! what each gets is the tier's to say, what follows is `gaugesaddle_shares`'; here the module is told.

use crate::peers::Tier;
use crate::registry::{Registry, SharesView};
use crate::seam::Subsystem;
use beechworks::{Balancer, Event, Micros, Time};
use gaugesaddle_shares::{parts, Glide, Law};
use serde::Deserialize;
use std::rc::Rc;

/// The parts are looked at this often: as often as records are published.
const LOOK: Micros = Micros(500_000);
/// Before this proxy has been awake for so long it does not know who lives: it goes by what it was told, or knew last.
const AWAKE: Micros = Micros(2_000_000);
/// What the module is told moves in steps of this: less would make it choose anew for nothing.
const STEP: f64 = 0.02;

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
        let law = Law::default();
        // A tenth is chance among some hundred requests; two seconds are some looks and no load's whole life.
        Shares {
            enabled: false,
            floor_percent: (law.floor * 100.0) as u32,
            most_times: law.most as u32,
            least_percent: 10,
            over_ms: 2000,
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

    fn law(&self) -> Law {
        Law { floor: f64::from(self.floor_percent) / 100.0, most: f64::from(self.most_times) }
    }
}

pub struct ShareWatch {
    settings: Shares,
    tier: Rc<Tier>,
    registry: Rc<Registry>,
    weight: Option<Glide>,
    next: Time,
}

impl ShareWatch {
    pub fn new(settings: Shares, tier: Rc<Tier>, registry: Rc<Registry>) -> ShareWatch {
        ShareWatch { settings, tier, registry, weight: None, next: Time(0) }
    }
}

impl Subsystem for ShareWatch {
    fn turn(&mut self, now: Time, _: &Balancer, events: &mut Vec<Event>) {
        if now < self.next {
            return;
        }
        self.next = now + LOOK;
        let seen = self.tier.needs(now);
        let view = |state: &str, part: f64| SharesView {
            state: state.into(),
            told: seen.told,
            living: seen.needs.len(),
            position: seen.own,
            part,
            even: 1.0 / seen.needs.len().max(1) as f64,
            need: seen.needs.get(seen.own).copied().flatten().unwrap_or(0.0),
            needs: seen.needs.iter().flatten().sum(),
            unknown: seen.needs.iter().filter(|n| n.is_none()).count(),
        };
        if seen.awake < AWAKE {
            let held = self.weight.map_or(1.0, |w| w.get(now));
            *self.registry.shares.borrow_mut() = Some(view("waking", held / seen.told.max(1) as f64));
            return;
        }
        let living = seen.needs.len() as f64;
        let goal = parts(&self.settings.law(), &seen.needs).get(seen.own).map_or(1.0, |part| part * living);
        let least = f64::from(self.settings.least_percent) / 100.0;
        let over = Micros(u64::from(self.settings.over_ms) * 1000);
        let glide = self.weight.get_or_insert(Glide::new(now, 1.0, least, over));
        glide.aim(now, goal);
        let weight = (glide.get(now) / STEP).round().max(1.0) * STEP;
        let (proxies, position) = (seen.needs.len() as u32, seen.own as u32);
        // Told each time: a module that had to start anew knows nothing of it.
        events.push(Event::Tier(beechworks::Tier { proxies, position, weight }));
        *self.registry.shares.borrow_mut() = Some(view("by need", weight / living.max(1.0)));
    }

    fn wake(&self) -> Time {
        self.next
    }
}
