//! One proxy's leases of all hard quantities, granted and borrowed by demand, and the encoding of the messages between
//! proxies.

use crate::reservation::{LeaseId, LeaseMessage, Reservation, ReservationTerms};
use gaugesaddle_balancer::{ConfigError, Micros, Time};
use std::ops::RangeInclusive;

/// Maximum number of hard quantities of a proxy.
pub const MAX_QUANTITIES: usize = 16;
/// Length of a message in bytes: quantity and kind (one each), then boot and number of the lease's id, sequence and units
/// (four each, big-endian).
pub const MESSAGE_BYTES: usize = 18;
/// Units are borrowed for this multiple of the demand: counts per second vary, and a new lease is unusable for a grace
/// period.
const HEADROOM: f64 = 1.25;
/// A lease is renewed once its remaining time is at most its duration divided by this.
const RENEWAL_DIVISOR: u64 = 2;
/// Minimum and maximum number of peers that units are requested from at a time; between them it is a quarter of the other
/// live members. Peers that have spare units are found within a few observations.
const PEERS_REQUESTED: RangeInclusive<usize> = 2..=16;
/// Weight of the newest observation in the mean demand.
const NEWEST_WEIGHT: f64 = 0.25;
/// An observation above this multiple of the demand is a surge and not random variation: the mean restarts with it.
const SURGE_FACTOR: f64 = 2.0;
/// Number of observations after which the demand in a surge is known. Until then no units are requested or granted: one
/// proxy is the first to observe a surge that reaches all of them, and the units that it borrowed from the others, whose
/// demand still seems low, would be missing there for a full lease duration.
const SURGE_OBSERVATIONS: u32 = 3;

/// The state of one quantity, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseView {
    /// Units that all members together may use.
    pub total: u32,
    /// The equal entitlement.
    pub entitlement: u32,
    /// Units that may be used now.
    pub usable: u32,
    /// Units leased to others.
    pub granted: u32,
    /// Units borrowed.
    pub borrowed: u32,
    /// Earliest end of a borrowed lease.
    pub until: Option<Time>,
    /// The present demand.
    pub demand: u32,
}

#[derive(Clone, Debug)]
struct QuantityState {
    reservation: Reservation,
    demand: f64,
    /// Observations since the last surge began.
    observations: u32,
    /// Index, among the other live members, of the last one that a request was sent to.
    last_peer: usize,
}

impl QuantityState {
    fn wanted_units(&self) -> u32 {
        (self.demand * HEADROOM).ceil() as u32
    }

    fn record_demand(&mut self, observed: f64) {
        if observed > SURGE_FACTOR * self.demand {
            (self.demand, self.observations) = (observed, 1);
        } else {
            self.observations = self.observations.saturating_add(1);
            let weight = (1.0 / f64::from(self.observations)).max(NEWEST_WEIGHT);
            self.demand += weight * (observed - self.demand);
        }
    }

    fn is_demand_known(&self) -> bool {
        self.observations >= SURGE_OBSERVATIONS
    }

    /// Releases one lease that the demand does not require; one at a time, since the demand may return.
    fn release_idle(&mut self, now: Time) -> Option<(u16, LeaseMessage)> {
        let (wanted, usable) = (self.wanted_units(), self.reservation.usable(now));
        let idle = self.reservation.leases(now).find(|lease| wanted + lease.units <= usable)?;
        Some((idle.from, self.reservation.release(now, idle.from)?))
    }

    /// Renews the leases that end by `until`; the lender renews without a grace period.
    fn renew_ending(&mut self, now: Time, until: Time) -> Vec<(u16, LeaseMessage)> {
        let ending = self.reservation.leases(now).filter(|lease| lease.until <= until);
        let lenders: Vec<u16> = ending.map(|lease| lease.from).collect();
        let mut renewals = Vec::with_capacity(lenders.len());
        for lender in lenders {
            renewals.extend(self.reservation.renew(now, lender).map(|renewal| (lender, renewal)));
        }
        renewals
    }

    /// Requests the units that are missing by `until` from the next of the other live members.
    fn request_missing(&mut self, now: Time, until: Time, others: &[u16]) -> Vec<(u16, LeaseMessage)> {
        let wanted = self.wanted_units();
        let usable = self.reservation.usable(now).max(self.reservation.usable_until(now, until));
        if usable >= wanted || !self.is_demand_known() || others.is_empty() {
            return Vec::new();
        }
        let peers =
            (others.len() / 4).clamp(*PEERS_REQUESTED.start(), *PEERS_REQUESTED.end()).min(others.len());
        let units = (wanted - usable).div_ceil(peers as u32);
        let mut requests = Vec::with_capacity(peers);
        for _ in 0..peers {
            self.last_peer = (self.last_peer + 1) % others.len();
            let peer = others[self.last_peer];
            requests.extend(self.reservation.request(now, peer, units).map(|request| (peer, request)));
        }
        requests
    }
}

/// One proxy's reservations of all hard quantities.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    index: u16,
    quantities: Vec<QuantityState>,
}

/// An encoded message, with the index of the receiving member.
pub type PeerMessage = (u16, Vec<u8>);

fn encode(quantity: usize, message: &LeaseMessage) -> Vec<u8> {
    let (kind, id, sequence, units) = match *message {
        LeaseMessage::Request { id, units } => (1, id, 0, units),
        LeaseMessage::Grant { id, sequence, units } => (2, id, sequence, units),
        LeaseMessage::Release { id } => (3, id, 0, 0),
        LeaseMessage::Renew { id, sequence } => (4, id, sequence, 0),
    };
    let mut bytes = vec![0; MESSAGE_BYTES];
    (bytes[0], bytes[1]) = (quantity as u8, kind);
    for (offset, number) in [(2, id.boot), (6, id.number), (10, sequence), (14, units)] {
        bytes[offset..offset + 4].copy_from_slice(&number.to_be_bytes());
    }
    bytes
}

fn decode(bytes: &[u8]) -> Option<(usize, LeaseMessage)> {
    let bytes: &[u8; MESSAGE_BYTES] = bytes.try_into().ok()?;
    let number = |offset: usize| {
        u32::from_be_bytes([bytes[offset], bytes[offset + 1], bytes[offset + 2], bytes[offset + 3]])
    };
    let (id, sequence, units) = (LeaseId { boot: number(2), number: number(6) }, number(10), number(14));
    let message = match (bytes[1], sequence, units) {
        (1, 0, _) => LeaseMessage::Request { id, units },
        (2, ..) => LeaseMessage::Grant { id, sequence, units },
        (3, 0, 0) => LeaseMessage::Release { id },
        (4, _, 0) => LeaseMessage::Renew { id, sequence },
        _ => return None,
    };
    Some((usize::from(bytes[0]), message))
}

impl LeaseManager {
    /// The leases of a process that has just started as the member `index`; quantities are numbered in the order of
    /// `terms`.
    ///
    /// # Errors
    /// The first of the terms that is out of its range, an `index` beyond the members, or too many quantities.
    pub fn new(
        terms: &[ReservationTerms], index: u16, boot: u32, now: Time,
    ) -> Result<LeaseManager, ConfigError> {
        if terms.len() > MAX_QUANTITIES {
            return Err(ConfigError { field: "quantities", expected: "up to 16" });
        }
        let state = |terms: &ReservationTerms| {
            Ok(QuantityState {
                reservation: Reservation::new(*terms, index, boot, now)?,
                demand: 0.0,
                observations: SURGE_OBSERVATIONS,
                last_peer: usize::from(index),
            })
        };
        Ok(LeaseManager { index, quantities: terms.iter().map(state).collect::<Result<_, _>>()? })
    }

    /// Units of a quantity that may be used now; 0 of an unknown one.
    pub fn usable(&self, quantity: usize, now: Time) -> u32 {
        self.quantities.get(quantity).map_or(0, |state| state.reservation.usable(now))
    }

    /// The state of a quantity.
    pub fn view(&self, quantity: usize, now: Time) -> Option<LeaseView> {
        let QuantityState { reservation, demand, .. } = self.quantities.get(quantity)?;
        let (borrowed, until) = reservation.borrowed(now);
        Some(LeaseView {
            total: reservation.terms().total,
            entitlement: reservation.terms().entitlement(self.index),
            usable: reservation.usable(now),
            granted: reservation.granted(now),
            borrowed,
            until,
            demand: demand.ceil() as u32,
        })
    }

    /// Records the present demand of each quantity, with the live members; to be called a few times a second. Requests
    /// missing units, renews leases and releases those that are no longer needed.
    pub fn observe(&mut self, now: Time, demands: &[f64], live: &[u16], out: &mut Vec<PeerMessage>) {
        let others: Vec<u16> = live.iter().copied().filter(|member| *member != self.index).collect();
        for (quantity, state) in self.quantities.iter_mut().enumerate() {
            let observed = demands.get(quantity).copied().filter(|demand| demand.is_finite());
            state.record_demand(observed.unwrap_or(0.0).max(0.0));
            let until = now + Micros(state.reservation.terms().lease_duration.0 / RENEWAL_DIVISOR);
            let mut messages = Vec::from_iter(state.release_idle(now));
            messages.extend(state.renew_ending(now, until));
            messages.extend(state.request_missing(now, until, &others));
            out.extend(messages.into_iter().map(|(to, message)| (to, encode(quantity, &message))));
        }
    }

    /// Handles a message of another member; the answer, if one is due, is appended to `out`.
    pub fn handle(&mut self, now: Time, from: u16, bytes: &[u8], out: &mut Vec<PeerMessage>) {
        let Some((quantity, message)) = decode(bytes) else { return };
        let Some(state) = self.quantities.get_mut(quantity) else { return };
        let (usable, wanted) = (state.reservation.usable(now), state.wanted_units());
        let spare = match message {
            LeaseMessage::Renew { .. } => u32::from(wanted <= usable),
            _ if !state.is_demand_known() => 0,
            _ => usable.saturating_sub(wanted),
        };
        let answer = state.reservation.handle(now, from, message, spare);
        out.extend(answer.map(|answer| (from, encode(quantity, &answer))));
    }
}

#[cfg(test)]
mod tests;
