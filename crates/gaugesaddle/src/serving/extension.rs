//! The interface between the driver and an optional part of the proxy: the events that it observes, and the values that
//! it may change. Each extension implements only the methods that it needs. A disabled extension is not in the driver's
//! list; with an empty list a request costs only the iteration over it.

use crate::operations::registry::RequestEnd;
use crate::serving::exchange::{AttemptResult, Call, LocalFuture, NewRequest, Rejection};
use gaugesaddle_balancer::{Arrival, Balancer, ClassId, Event, ListUpdate, Outcome, Time};
use std::rc::Rc;

/// A request that the balancer hands over for forwarding, since no backend of the list will serve it.
pub struct ForwardedRequest<'a> {
    pub class: ClassId,
    pub call: &'a Rc<Call>,
    pub deadline: Time,
    /// The regions that it was forwarded through.
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
    /// An attempt is sent to a backend. `is_first`: it is the request's first attempt.
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
    /// Forwards a request to another region, with one result like an attempt's; `None` if this extension does not
    /// accept it.
    fn forward(&mut self, _now: Time, _request: ForwardedRequest) -> Option<LocalFuture<AttemptResult>> {
        None
    }
    /// The latest time of its next poll.
    fn wake_at(&self) -> Time {
        Time(u64::MAX)
    }
}
