//! Failover between zones, and to other regions, decided by the proxies of a tier in common. No I/O, clock or threads.
//!
//! From everybody's records to a plan:
//!
//! - [`judge`] makes one judgement of many voices: what each zone's backends can do and what its proxies need; which zones
//!   are lost, and which proxies are blind to a zone that the others see.
//! - [`Ladder`] trusts a zone that is back step by step, and one that comes and goes later each time.
//! - [`plan`] keeps traffic near as far as a target load allows, and deals the excess over the headroom of the others. A
//!   zone that sends has no headroom, so none sends to one that sends; only what no zone has a place for is for a region.
//!
//! - [`Council`]: the living one of the lowest place decides, a [`Decision`] is passed on until all hold it, and of two sides
//!   the greater one's counts at the heal.
//!
//! **Bounds.** Eight zones; [`KEPT`] decisions are kept; a decision goes to [`FANOUT`] others from each that takes it up.
//!
//! Times are of the host's monotonic clock.

mod council;
mod decision;
mod judge;
mod ladder;
mod plan;

pub use council::{Council, Seen, FANOUT, KEPT, ROUNDS, SHOW};
pub use decision::{Cut, Decision, Number, Order, DECISION_BYTES, MOST_ZONES, TAG};
pub use judge::{judge, Blind, Find, Judgement, Rule, Voice, Zone};
pub use ladder::{Ladder, Rungs, Trust};
pub use plan::{plan, Plan};
