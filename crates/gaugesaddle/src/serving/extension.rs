//! The interface between the driver and an optional part of the proxy: what it observes, and what it may change. Each one
//! implements only what it needs. One that is disabled is not in the driver's list, so it costs a request nothing but the
//! iteration over an empty list.

use crate::operations::registry::RequestEnd;
use crate::serving::exchange::{AttemptResult, Call, LocalFuture, NewRequest, Rejection};
use gaugesaddle_balancer::{Arrival, Balancer, ClassId, Event, ListUpdate, Outcome, Time};
use std::rc::Rc;

/// A request that the balancer hands over: no backend of the list will serve it.
pub struct ForwardedRequest<'a> {
    pub class: ClassId,
    pub call: &'a Rc<Call>,
    pub deadline: Time,
    /// The regions that it came through.
    pub via: Option<&'a gaugesaddle_federation::Via>,
}

/// An optional part of the proxy.
pub trait Extension {
    /// Called at each wake-up of the driver. Events for the balancer are appended to `events`.
    fn poll(&mut self, _now: Time, _balancer: &Balancer, _events: &mut Vec<Event>) {}
    /// The list of backends has changed.
    fn on_list(&mut self, _now: Time, _update: ListUpdate) {}
    /// A request has arrived; `arrival` is what the balancer will get, and may be changed.
    fn on_arrival(&mut self, _now: Time, _new: &NewRequest, _arrival: &mut Arrival) {}
    /// An attempt is sent to a backend; whether it is the request's first.
    fn on_attempt_start(&mut self, _is_first: bool) {}
    /// An attempt at a listed backend has ended.
    fn on_attempt_end(&mut self, _outcome: Outcome) {}
    /// A request has its final answer.
    fn on_request_end(&mut self, _class: ClassId, _end: RequestEnd) {}
    /// A request is rejected; `rejection` is what its client will get, and may be changed. `retried_early`: as set at its
    /// arrival.
    fn adjust_rejection(
        &mut self, _now: Time, _source: u64, _retried_early: bool, _rejection: &mut Rejection,
    ) {
    }
    /// Forwards a request elsewhere, with one result like an attempt's; `None` where it is not accepted.
    fn forward(&mut self, _now: Time, _request: ForwardedRequest) -> Option<LocalFuture<AttemptResult>> {
        None
    }
    /// When it must be polled at the latest.
    fn wake_at(&self) -> Time {
        Time(u64::MAX)
    }
}
