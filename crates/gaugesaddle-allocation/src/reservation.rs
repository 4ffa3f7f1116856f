//! A quantity whose sum over all members may never exceed its total: an equal entitlement for each member, and leases of
//! units that a member does not need.
//!
//! ```text
//!  lender       granted -------------------------------------- lease ends -- grace -- available again
//!                  |  Grant                           Release -> (grace) -> available again, sooner
//!  borrower Request+----> received -- grace -- usable -------- lease ends
//!              ^ the borrower's duration counts from here, so that it ends first
//! ```
//!
//! The borrower counts the duration from its request, which precedes the grant, and deducts a margin for clocks of
//! different rates, so its lease ends before the lender's does. Between two users lies a grace period: the longest time
//! that a use lasts, or the window over which a rate is counted. A process that starts has to assume that its predecessor
//! has granted all units that may be leased: it waits for a lease duration and a grace period before it uses them. Before
//! it uses units that are never leased it waits for a grace period only.

use gaugesaddle_balancer::{ConfigError, Micros, Time};

/// Maximum number of leases that a process has granted, and of those that it has borrowed or requested.
pub const MAX_LEASES: usize = 64;
/// The clocks of two machines may differ in rate by one part in this many; quartz clocks differ by one in ten thousand.
const DRIFT_DIVISOR: u64 = 64;

/// Identifies a lease: the borrower's process and a number that is unique within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId {
    /// The borrower's process.
    pub boot: u32,
    /// Incremented with each request of that process.
    pub number: u32,
}

/// Messages between members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseMessage {
    /// Requests a lease.
    Request {
        /// Identifies the lease.
        id: LeaseId,
        /// Number of units.
        units: u32,
    },
    /// Requests another duration of a lease.
    Renew {
        /// Identifies the lease.
        id: LeaseId,
        /// Incremented with each renewal of the lease.
        sequence: u32,
    },
    /// Answers a request or a renewal.
    Grant {
        /// The id of the request or renewal.
        id: LeaseId,
        /// The sequence of the renewal; 0 for the first request.
        sequence: u32,
        /// Number of units; 0 where the request is refused.
        units: u32,
    },
    /// Ends a lease: the borrower no longer uses its units.
    Release {
        /// Identifies the lease.
        id: LeaseId,
    },
}

/// The terms of a quantity, the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReservationTerms {
    /// Units that all members together may use.
    pub total: u32,
    /// Number of configured members.
    pub members: u16,
    /// Percentage of each entitlement that is never leased.
    pub reserved_percent: u32,
    /// Duration of a lease.
    pub lease_duration: Micros,
    /// Time between two users: the maximum duration of a use, or the window of a rate.
    pub grace_period: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GrantedLease {
    to: u16,
    id: LeaseId,
    units: u32,
    sequence: u32,
    /// End of the lease and its grace period, from which on the lender may use the units again.
    returns_at: Time,
    /// Time until which a repeated request is recognised.
    remembered_until: Time,
    /// The borrower has released the lease, which cannot be renewed any more.
    released: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct BorrowedLease {
    from: u16,
    id: LeaseId,
    units: u32,
    /// The sequence of the last request for this lease.
    sequence: u32,
    usable_from: Time,
    usable_until: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    to: u16,
    id: LeaseId,
    sequence: u32,
    requested_at: Time,
}

/// A borrowed lease that may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The lender.
    pub from: u16,
    /// Number of units.
    pub units: u32,
    /// When it ends.
    pub until: Time,
    /// How often a renewal was requested.
    pub renewals: u32,
}

/// The units of a quantity that one process may use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Reservation {
    terms: ReservationTerms,
    index: u16,
    boot: u32,
    started: Time,
    next_number: u32,
    granted: Vec<GrantedLease>,
    borrowed: Vec<BorrowedLease>,
    pending: Vec<PendingRequest>,
}

impl ReservationTerms {
    /// Checks the ranges of the terms.
    ///
    /// # Errors
    /// The first one that is out of its range.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let tests = [
            (self.members > 0, "members", "at least one"),
            (self.reserved_percent <= 100, "reserved_percent", "0 to 100"),
            (self.lease_duration.0 >= DRIFT_DIVISOR, "lease_duration", "at least 64 us"),
        ];
        match tests.into_iter().find(|t| !t.0) {
            Some((_, field, expected)) => Err(ConfigError { field, expected }),
            None => Ok(()),
        }
    }

    /// The entitlement of a member; the entitlements of all members sum to the total.
    pub fn entitlement(&self, index: u16) -> u32 {
        let (members, index) = (u32::from(self.members), u32::from(index));
        self.total / members + u32::from(index < self.total % members)
    }

    /// The fraction of the entitlement that is never leased, in units.
    pub fn reserved(&self, index: u16) -> u32 {
        (u64::from(self.entitlement(index)) * u64::from(self.reserved_percent)).div_ceil(100) as u32
    }

    /// The lease's duration for the borrower, shorter than the lender's by the margin for clock drift.
    fn borrower_duration(&self) -> Micros {
        Micros(self.lease_duration.0 - self.lease_duration.0.div_ceil(DRIFT_DIVISOR))
    }

    /// Extends a time span so that it is at least as long as `span` by any other clock.
    fn with_drift(&self, span: Micros) -> Micros {
        Micros(span.0 + span.0.div_ceil(DRIFT_DIVISOR))
    }
}

impl Reservation {
    /// The reservation of a process that has just started as the member `index`.
    ///
    /// # Errors
    /// The first of the terms that is out of its range, or an `index` beyond the members.
    pub fn new(
        terms: ReservationTerms, index: u16, boot: u32, now: Time,
    ) -> Result<Reservation, ConfigError> {
        terms.validate()?;
        if index >= terms.members {
            return Err(ConfigError { field: "index", expected: "less than members" });
        }
        Ok(Reservation {
            terms,
            index,
            boot,
            started: now,
            next_number: 0,
            granted: Vec::new(),
            borrowed: Vec::new(),
            pending: Vec::new(),
        })
    }

    /// Units that may be used now, all at once.
    pub fn usable(&self, now: Time) -> u32 {
        let leases =
            self.borrowed.iter().filter(|lease| lease.usable_from <= now && now < lease.usable_until);
        self.own_available(now) + leases.map(|t| t.units).sum::<u32>()
    }

    /// Units of its entitlement that are neither leased nor possibly in use by its predecessor.
    fn own_available(&self, now: Time) -> u32 {
        let (entitlement, reserved) = (self.terms.entitlement(self.index), self.terms.reserved(self.index));
        if now < self.started + self.terms.with_drift(self.terms.grace_period) {
            return 0; // the predecessor may still use it
        }
        if now < self.started + self.terms.lease_duration + self.terms.with_drift(self.terms.grace_period) {
            return reserved; // the predecessor may have leased the remainder
        }
        entitlement - self.granted(now)
    }

    /// Units that are leased to others.
    pub fn granted(&self, now: Time) -> u32 {
        self.granted.iter().filter(|g| now < g.returns_at).map(|g| g.units).sum()
    }

    /// Units that are borrowed, including those still in the grace period, and the earliest end of their leases.
    pub fn borrowed(&self, now: Time) -> (u32, Option<Time>) {
        let live = self.borrowed.iter().filter(|t| now < t.usable_until);
        (live.clone().map(|t| t.units).sum(), live.map(|t| t.usable_until).min())
    }

    /// Units that can still be used at the later time `until` if nothing more is granted or borrowed.
    pub fn usable_until(&self, now: Time, until: Time) -> u32 {
        let leases = self.borrowed.iter().filter(|t| until < t.usable_until);
        self.own_available(now) + leases.map(|t| t.units).sum::<u32>()
    }

    /// Units of its entitlement that may be leased now.
    pub fn grantable(&self, now: Time) -> u32 {
        self.own_available(now).saturating_sub(self.terms.reserved(self.index))
    }

    /// The borrowed leases that may be used now.
    pub fn leases(&self, now: Time) -> impl Iterator<Item = Lease> + '_ {
        let usable =
            self.borrowed.iter().filter(move |lease| lease.usable_from <= now && now < lease.usable_until);
        usable.map(|t| Lease { from: t.from, units: t.units, until: t.usable_until, renewals: t.sequence })
    }

    /// The terms of the quantity.
    pub fn terms(&self) -> &ReservationTerms {
        &self.terms
    }

    /// Requests units of another member; `None` where this process has [`MAX_LEASES`] borrowed leases and requests already.
    pub fn request(&mut self, now: Time, to: u16, units: u32) -> Option<LeaseMessage> {
        self.expire(now);
        let open = self.borrowed.len() + self.pending.len();
        if open >= MAX_LEASES || to == self.index || to >= self.terms.members || units == 0 {
            return None;
        }
        let id = LeaseId { boot: self.boot, number: self.next_number };
        self.next_number = self.next_number.checked_add(1)?;
        self.pending.push(PendingRequest { to, id, sequence: 0, requested_at: now });
        Some(LeaseMessage::Request { id, units })
    }

    /// Requests a renewal of the lease that ends first among those borrowed from a member.
    pub fn renew(&mut self, now: Time, from: u16) -> Option<LeaseMessage> {
        self.expire(now);
        if self.pending.len() >= MAX_LEASES {
            return None;
        }
        let leases = self.borrowed.iter_mut().filter(|t| t.from == from);
        let lease = leases.min_by_key(|t| t.usable_until)?;
        lease.sequence = lease.sequence.checked_add(1)?;
        let (id, sequence) = (lease.id, lease.sequence);
        // Only the answer to the newest request for this lease is accepted.
        self.pending.retain(|a| a.id != id);
        self.pending.push(PendingRequest { to: from, id, sequence, requested_at: now });
        Some(LeaseMessage::Renew { id, sequence })
    }

    /// Releases the oldest lease borrowed from a member; its units are no longer usable here.
    pub fn release(&mut self, now: Time, from: u16) -> Option<LeaseMessage> {
        self.expire(now);
        let at = self.borrowed.iter().position(|t| t.from == from)?;
        let id = self.borrowed.remove(at).id;
        self.pending.retain(|a| a.id != id);
        Some(LeaseMessage::Release { id })
    }

    /// Handles a message of another member and returns the answer, if one is due. `spare` is the number of units that this
    /// member's own demand leaves for leases; with 0 no lease is renewed either.
    pub fn handle(
        &mut self, now: Time, from: u16, message: LeaseMessage, spare: u32,
    ) -> Option<LeaseMessage> {
        self.expire(now);
        if from == self.index || from >= self.terms.members {
            return None;
        }
        match message {
            LeaseMessage::Request { id, units } => Some(self.grant(now, from, id, units.min(spare))),
            LeaseMessage::Renew { id, sequence } => Some(self.extend(now, from, id, sequence, spare)),
            LeaseMessage::Grant { id, sequence, units } => {
                self.apply_grant(now, from, id, sequence, units);
                None
            }
            LeaseMessage::Release { id } => {
                if let Some(lease) = self.granted.iter_mut().find(|g| g.to == from && g.id == id) {
                    // Not available at once: a use that has begun may last for the grace period.
                    lease.returns_at =
                        lease.returns_at.min(now + self.terms.with_drift(self.terms.grace_period));
                    lease.released = true;
                }
                None
            }
        }
    }

    fn grant(&mut self, now: Time, to: u16, id: LeaseId, units: u32) -> LeaseMessage {
        if let Some(lease) = self.granted.iter().find(|g| g.to == to && g.id == id) {
            // A repeated request gets the same answer. That is safe even if the lease was released meanwhile or has nearly
            // ended, since the borrower counts the duration from its request.
            return LeaseMessage::Grant { id, sequence: 0, units: lease.units };
        }
        let grantable = self.grantable(now);
        let units = if self.granted.len() < MAX_LEASES { units.min(grantable) } else { 0 };
        if units > 0 {
            let returns_at = self.lease_end(now);
            self.granted.push(GrantedLease {
                to,
                id,
                units,
                sequence: 0,
                returns_at,
                remembered_until: returns_at,
                released: false,
            });
        }
        LeaseMessage::Grant { id, sequence: 0, units }
    }

    /// When a lease granted now has ended by any clock.
    fn lease_end(&self, now: Time) -> Time {
        now + self.terms.lease_duration + self.terms.with_drift(self.terms.grace_period)
    }

    fn extend(&mut self, now: Time, to: u16, id: LeaseId, sequence: u32, spare: u32) -> LeaseMessage {
        let returns_at = self.lease_end(now);
        let mut renewable =
            self.granted.iter_mut().filter(|lease| !lease.released && sequence >= lease.sequence);
        let lease = renewable.find(|lease| lease.to == to && lease.id == id);
        // A repeated renewal gets the same answer: the borrower counts the duration from its request with that sequence,
        // which was earlier.
        let Some(lease) = lease.filter(|lease| sequence == lease.sequence || spare > 0) else {
            return LeaseMessage::Grant { id, sequence, units: 0 };
        };
        if sequence > lease.sequence {
            (lease.sequence, lease.returns_at, lease.remembered_until) = (sequence, returns_at, returns_at);
        }
        LeaseMessage::Grant { id, sequence, units: lease.units }
    }

    fn apply_grant(&mut self, now: Time, from: u16, id: LeaseId, sequence: u32, units: u32) {
        let is_answered =
            |request: &PendingRequest| (request.to, request.id, request.sequence) == (from, id, sequence);
        let Some(position) = self.pending.iter().position(is_answered) else { return };
        let request = self.pending.remove(position);
        let usable_from = now + self.terms.with_drift(self.terms.grace_period);
        let usable_until = request.requested_at + self.terms.borrower_duration();
        match self.borrowed.iter_mut().find(|lease| lease.from == from && lease.id == id) {
            Some(lease) if units > 0 => lease.usable_until = lease.usable_until.max(usable_until),
            Some(_) => {} // refused: the lease keeps its end
            None if units > 0 && usable_from < usable_until => {
                self.borrowed.push(BorrowedLease { from, id, units, sequence, usable_from, usable_until });
            }
            None => {}
        }
    }

    fn expire(&mut self, now: Time) {
        self.granted.retain(|g| now < g.remembered_until);
        self.borrowed.retain(|t| now < t.usable_until);
        let lease_duration = self.terms.lease_duration;
        self.pending.retain(|request| now < request.requested_at + lease_duration);
    }
}

#[cfg(test)]
mod tests;
