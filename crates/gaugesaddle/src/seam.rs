//! What passes between the driver and a subsystem: what it is told of the running proxy, and what it may ask for.
//! Each has a small file of its own beside the driver (`storm`, `region`) and takes only what it needs of this. What
//! is switched off is not in the driver's list: a request then costs one look at an empty list.

use crate::exchange::{Arrived, Call, Ended, Local, Refusal};
use crate::registry::End;
use gaugesaddle_balancer::{Arrival, Balancer, ClassId, Event, ListUpdate, Outcome, Time};
use std::rc::Rc;

/// A request that the module hands over: no backend of the list will have it.
pub struct Leaving<'a> {
    pub class: ClassId,
    pub call: &'a Rc<Call>,
    pub deadline: Time,
    /// Through which regions it came here.
    pub hop: Option<&'a gaugesaddle_federation::Via>,
}

/// A part of the proxy that can be switched on alone.
pub trait Subsystem {
    /// Time has passed. What it has to tell the module goes among the events.
    fn turn(&mut self, _now: Time, _module: &Balancer, _events: &mut Vec<Event>) {}
    /// The list of backends has news.
    fn listed(&mut self, _now: Time, _update: ListUpdate) {}
    /// A request has come; what the module is told of it may still be changed.
    fn arrived(&mut self, _now: Time, _new: &Arrived, _told: &mut Arrival) {}
    /// An attempt goes out.
    fn began(&mut self, _first: bool) {}
    /// An attempt at a listed backend has ended.
    fn ended(&mut self, _outcome: Outcome) {}
    /// A request has its final answer.
    fn answered(&mut self, _class: ClassId, _end: End) {}
    /// A request is refused: what its client is told may be changed. `out_of_turn`: as said of it when it came.
    fn refusing(&mut self, _now: Time, _source: u64, _out_of_turn: bool, _refusal: &mut Refusal) {}
    /// A place to send to that is no backend of the list, with one outcome like an attempt's.
    fn place(&mut self, _now: Time, _leaving: Leaving) -> Option<Local<Ended>> {
        None
    }
    /// When it wants a turn at the latest, though nothing comes.
    fn wake(&self) -> Time {
        Time(u64::MAX)
    }
}
