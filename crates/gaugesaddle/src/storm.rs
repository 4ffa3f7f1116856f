//! The watch for storms, in the running proxy: what `gaugesaddle_overload` decides, told to the module and to clients.

use crate::exchange::{Arrived, Refusal};
use crate::registry::{End, Registry, StormState};
use crate::seam::Subsystem;
use gaugesaddle_balancer::{Arrival, Balancer, ClassId, Event, Time};
use gaugesaddle_overload::{OverloadController, StormPhase};
use std::rc::Rc;

pub struct StormWatch {
    storm: OverloadController,
    registry: Rc<Registry>,
    /// Connections that it knows of.
    connects: u64,
}

impl StormWatch {
    pub fn new(storm: OverloadController, registry: Rc<Registry>) -> StormWatch {
        StormWatch { storm, registry, connects: 0 }
    }
}

impl Subsystem for StormWatch {
    /// Looks for a storm and tells the module. Without requests there is none to see: no wake-up is spent on it.
    fn turn(&mut self, now: Time, _: &Balancer, events: &mut Vec<Event>) {
        let storm = &mut self.storm;
        let connects = self.registry.connects.get();
        (self.connects..connects).for_each(|_| storm.connected());
        self.connects = connects;
        let Some(observation) = storm.observe(now) else { return };
        let (state, figures) = (storm.state(), storm.figures());
        if let Some(previous) = observation.previous {
            tracing::info!("{} after {}: {figures}", state.name(), previous.name());
            self.registry.storm.set(state);
        }
        if let Some(pressure) = observation.pressure {
            events.push(Event::Pressure(pressure));
        }
        let mut seen = self.registry.storm_seen.borrow_mut();
        let old = seen.take();
        let began = observation.previous == Some(StormPhase::Rising) && state == StormPhase::Storm;
        *seen = Some(StormState {
            state: state.name().into(),
            since_us: old.as_ref().filter(|_| observation.previous.is_none()).map_or(now.0, |o| o.since_us),
            storms: old.map_or(0, |o| o.storms) + u64::from(began),
            per_s: figures.per_s,
            usual_per_s: figures.usual_per_s,
            repeats: figures.repeats,
            let_in_per_s: storm.admitted_per_s(),
        });
    }

    fn arrived(&mut self, now: Time, new: &Arrived, told: &mut Arrival) {
        (told.repeat, told.retried_early) = self.storm.arrived(now, new.repeat, new.key, new.source);
    }

    fn began(&mut self, first: bool) {
        self.storm.sent(first);
    }

    fn answered(&mut self, _: ClassId, end: End) {
        match end {
            End::InAim => self.storm.served(true),
            End::Late => self.storm.served(false),
            End::FailedByModule | End::FailedUnanswered => self.storm.failed(),
            _ => {}
        }
    }

    fn refusing(&mut self, now: Time, source: u64, out_of_turn: bool, refusal: &mut Refusal) {
        refusal.after_s = self.storm.refused(now, source, refusal.after_s);
        refusal.by_client = out_of_turn && self.storm.state().is_damping();
    }
}
