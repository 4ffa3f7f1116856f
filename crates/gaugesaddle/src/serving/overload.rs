//! Retry storm detection in the running proxy: passes the decisions of `gaugesaddle_overload` on to the balancer and to
//! clients.

use crate::operations::registry::{Registry, RequestEnd, StormState};
use crate::serving::exchange::{NewRequest, Rejection};
use crate::serving::extension::Extension;
use gaugesaddle_balancer::{Arrival, Balancer, ClassId, Event, Time};
use gaugesaddle_overload::{OverloadController, StormPhase};
use std::rc::Rc;

pub struct OverloadWatch {
    controller: OverloadController,
    registry: Rc<Registry>,
    /// Number of accepted connections that were reported to the controller.
    seen_connections: u64,
}

impl OverloadWatch {
    pub fn new(controller: OverloadController, registry: Rc<Registry>) -> OverloadWatch {
        OverloadWatch { controller, registry, seen_connections: 0 }
    }
}

impl Extension for OverloadWatch {
    /// Observes the load and passes the limits of a storm to the balancer. It requests no wake-up: without requests
    /// there is no storm to detect.
    fn poll(&mut self, now: Time, _: &Balancer, events: &mut Vec<Event>) {
        let controller = &mut self.controller;
        let accepted = self.registry.accepted_connections.get();
        (self.seen_connections..accepted).for_each(|_| controller.record_connection());
        self.seen_connections = accepted;
        let Some(observation) = controller.observe(now) else { return };
        let (state, figures) = (controller.phase(), controller.figures());
        if let Some(previous) = observation.previous {
            tracing::info!("retry storm detection: {} after {}: {figures}", state.name(), previous.name());
            self.registry.storm.set(state);
        }
        if let Some(pressure) = observation.limits {
            events.push(Event::StormLimits(pressure));
        }
        let mut view = self.registry.storm_view.borrow_mut();
        let old = view.take();
        let began = observation.previous == Some(StormPhase::Rising) && state == StormPhase::Storm;
        *view = Some(StormState {
            state: state.name().into(),
            since_us: old.as_ref().filter(|_| observation.previous.is_none()).map_or(now.0, |o| o.since_us),
            storms: old.map_or(0, |o| o.storms) + u64::from(began),
            per_s: figures.per_s,
            usual_per_s: figures.usual_per_s,
            repeats: figures.retry_fraction,
            let_in_per_s: controller.admitted_per_s(),
        });
    }

    fn on_arrival(&mut self, now: Time, new: &NewRequest, arrival: &mut Arrival) {
        (arrival.repeat, arrival.retried_early) =
            self.controller.record_arrival(now, new.repeat, new.key, new.source);
    }

    fn on_attempt_start(&mut self, is_first: bool) {
        self.controller.record_attempt(is_first);
    }

    fn on_request_end(&mut self, _: ClassId, end: RequestEnd) {
        match end {
            RequestEnd::InTime => self.controller.record_success(true),
            RequestEnd::Late => self.controller.record_success(false),
            RequestEnd::FailedByBalancer | RequestEnd::FailedUnanswered => self.controller.record_failure(),
            _ => {}
        }
    }

    fn adjust_rejection(&mut self, now: Time, source: u64, retried_early: bool, rejection: &mut Rejection) {
        rejection.retry_after_s = self.controller.record_refusal(now, source, rejection.retry_after_s);
        rejection.by_client = retried_early && self.controller.phase().is_damping();
    }
}
