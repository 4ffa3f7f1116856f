//! The watch for storms, in the running proxy: what `gaugesaddle_overload` decides, told to the module and to clients.

use crate::operations::registry::{Registry, RequestEnd, StormState};
use crate::serving::exchange::{NewRequest, Rejection};
use crate::serving::extension::Extension;
use gaugesaddle_balancer::{Arrival, Balancer, ClassId, Event, Time};
use gaugesaddle_overload::{OverloadController, StormPhase};
use std::rc::Rc;

pub struct OverloadWatch {
    storm: OverloadController,
    registry: Rc<Registry>,
    /// Connections that it knows of.
    connects: u64,
}

impl OverloadWatch {
    pub fn new(storm: OverloadController, registry: Rc<Registry>) -> OverloadWatch {
        OverloadWatch { storm, registry, connects: 0 }
    }
}

impl Extension for OverloadWatch {
    /// Looks for a storm and tells the module. Without requests there is none to see: no wake-up is spent on it.
    fn poll(&mut self, now: Time, _: &Balancer, events: &mut Vec<Event>) {
        let storm = &mut self.storm;
        let connects = self.registry.accepted_connections.get();
        (self.connects..connects).for_each(|_| storm.record_connection());
        self.connects = connects;
        let Some(observation) = storm.observe(now) else { return };
        let (state, figures) = (storm.phase(), storm.figures());
        if let Some(previous) = observation.previous {
            tracing::info!("{} after {}: {figures}", state.name(), previous.name());
            self.registry.storm.set(state);
        }
        if let Some(pressure) = observation.limits {
            events.push(Event::StormLimits(pressure));
        }
        let mut seen = self.registry.storm_view.borrow_mut();
        let old = seen.take();
        let began = observation.previous == Some(StormPhase::Rising) && state == StormPhase::Storm;
        *seen = Some(StormState {
            state: state.name().into(),
            since_us: old.as_ref().filter(|_| observation.previous.is_none()).map_or(now.0, |o| o.since_us),
            storms: old.map_or(0, |o| o.storms) + u64::from(began),
            per_s: figures.per_s,
            usual_per_s: figures.usual_per_s,
            repeats: figures.retry_fraction,
            let_in_per_s: storm.admitted_per_s(),
        });
    }

    fn on_arrival(&mut self, now: Time, new: &NewRequest, told: &mut Arrival) {
        (told.repeat, told.retried_early) = self.storm.record_arrival(now, new.repeat, new.key, new.source);
    }

    fn on_attempt_start(&mut self, first: bool) {
        self.storm.record_attempt(first);
    }

    fn on_request_end(&mut self, _: ClassId, end: RequestEnd) {
        match end {
            RequestEnd::InTime => self.storm.record_success(true),
            RequestEnd::Late => self.storm.record_success(false),
            RequestEnd::FailedByBalancer | RequestEnd::FailedUnanswered => self.storm.record_failure(),
            _ => {}
        }
    }

    fn adjust_rejection(&mut self, now: Time, source: u64, out_of_turn: bool, refusal: &mut Rejection) {
        refusal.retry_after_s = self.storm.record_refusal(now, source, refusal.retry_after_s);
        refusal.by_client = out_of_turn && self.storm.phase().is_damping();
    }
}
