//! One other region, as one proxy of this one sees it: what may be sent there now, and what came of it.

use crate::allocation::{EvenAllocation, WeightedAllocation};
use crate::backoff::Backoff;
use crate::budget::{Budget, BudgetLimits, Usage};
use crate::remote_outcome::RemoteOutcome;
use crate::round_trip::{remaining_after_hop, RoundTripEstimator};
use crate::via::{Ineligible, Via};
use gaugesaddle_balancer::{Micros, Time};
use thiserror::Error;

/// The operator's settings of a link.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkSettings {
    /// Name of this region.
    pub local: String,
    /// Name of the other region.
    pub remote: String,
    /// What may be sent there, all proxies together.
    pub budget: BudgetLimits,
    /// Which proxy this is.
    pub allocation: EvenAllocation,
    /// Hops that a client's request may make.
    pub max_hops: u8,
    /// Estimated round-trip time until one was measured.
    pub initial_round_trip: Micros,
    /// Subtracted from a deadline at each hop, besides the round trip.
    pub deadline_margin: Micros,
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// It would loop, or may make no further hop.
    #[error("forwarding to a region: {0}")]
    Ineligible(#[source] Ineligible),
    /// Its remaining time is below the round trip and margin.
    #[error("forwarding to a region: no answer could come before the deadline")]
    DeadlineTooShort,
    /// The budget is used up.
    #[error("forwarding to a region: the budget is used up")]
    BudgetExceeded,
    /// The region rejected a request, or the link failed, a moment ago.
    #[error("forwarding to a region: backing off")]
    Backoff,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Requests that were sent.
    pub sent: u64,
    /// Of these: served there.
    pub executed: u64,
    /// Of these: rejected without being executed.
    pub not_executed: u64,
    /// Of these: may have been executed.
    pub indeterminate: u64,
    /// Not sent: [`LinkError::Ineligible`].
    pub ineligible: u64,
    /// Not sent: [`LinkError::DeadlineTooShort`].
    pub deadline_too_short: u64,
    /// Not sent: [`LinkError::BudgetExceeded`].
    pub over_budget: u64,
    /// Not sent: [`LinkError::Backoff`].
    pub backed_off: u64,
}

/// This proxy's use of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkUsage {
    /// Requests in flight.
    pub in_flight: Usage,
    /// Requests in this second.
    pub per_s: Usage,
}

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct HopRequest<'a> {
    /// Index of its class.
    pub class: usize,
    /// Time until its deadline.
    pub remaining: Micros,
    /// The regions that it came through; `None` from a client.
    pub via: Option<&'a Via>,
    /// Fraction of the budget that may be used, 0 to 1.
    pub budget_fraction: f64,
}

/// What a request that is sent carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The regions that it came through, this one included.
    pub via: Via,
    /// Time that the other side has, in full milliseconds.
    pub remaining: Micros,
}

/// How a hop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopResult {
    /// What became of the request.
    pub outcome: RemoteOutcome,
    /// Time since it was sent.
    pub duration: Micros,
    /// How long the other side worked on it, where it reported that; the remainder is the round trip.
    pub remote_duration: Option<Micros>,
    /// The delay that the other side requested when it rejected the request.
    pub retry_after: Option<Micros>,
    /// No answer came: the link itself failed.
    pub link_failed: bool,
}

/// The link to one other region.
#[derive(Clone, Debug)]
pub struct Link {
    settings: LinkSettings,
    budget: Budget,
    round_trip: RoundTripEstimator,
    backoff: Backoff,
    counters: LinkCounters,
}

impl Link {
    /// A link without any history.
    pub fn new(settings: LinkSettings) -> Link {
        Link {
            budget: Budget::new(&settings.budget, settings.allocation),
            round_trip: RoundTripEstimator::new(settings.initial_round_trip),
            backoff: Backoff::default(),
            counters: LinkCounters::default(),
            settings,
        }
    }

    /// Name of the other region.
    pub fn name(&self) -> &str {
        &self.settings.remote
    }

    /// How many requests of the class may be sent now, while `budget_fraction` (0 to 1) of the budget may be used.
    pub fn available(&mut self, now: Time, class: usize, budget_fraction: f64) -> u32 {
        if self.backoff.is_over(now) && budget_fraction > 0.0 {
            self.budget.available(now, class, budget_fraction).unwrap_or(0)
        } else {
            0
        }
    }

    /// Sets the expected requests per second by class.
    pub fn set_expected_demand(&mut self, per_s: impl IntoIterator<Item = f64>) {
        self.budget.set_expected_demand(per_s);
    }

    /// Takes another allocation of the budget.
    pub fn reallocate(&mut self, allocation: WeightedAllocation) {
        self.budget.reallocate(allocation);
    }

    /// What a hop subtracts from a deadline: round trip and margin.
    pub fn hop_overhead(&self, now: Time) -> Micros {
        Micros(self.round_trip.estimate(now).0.saturating_add(self.settings.deadline_margin.0))
    }

    /// Decides whether a request may be sent, and what it carries. Each that may has to end by one
    /// [`complete`](Link::complete) or [`cancel`](Link::cancel).
    ///
    /// # Errors
    /// Why it may not; nothing of the budget is taken then.
    pub fn start_hop(&mut self, now: Time, request: HopRequest) -> Result<Hop, LinkError> {
        let result = self.try_start_hop(now, request);
        let counter = match result {
            Ok(_) => &mut self.counters.sent,
            Err(LinkError::Ineligible(_)) => &mut self.counters.ineligible,
            Err(LinkError::DeadlineTooShort) => &mut self.counters.deadline_too_short,
            Err(LinkError::BudgetExceeded) => &mut self.counters.over_budget,
            Err(LinkError::Backoff) => &mut self.counters.backed_off,
        };
        *counter += 1;
        result
    }

    fn try_start_hop(&mut self, now: Time, request: HopRequest) -> Result<Hop, LinkError> {
        let LinkSettings { local, remote, max_hops, deadline_margin, .. } = &self.settings;
        let via = Via::next_hop(request.via, local, remote, *max_hops).map_err(LinkError::Ineligible)?;
        let round_trip = self.round_trip.estimate(now);
        let remaining = remaining_after_hop(request.remaining, round_trip, *deadline_margin)
            .ok_or(LinkError::DeadlineTooShort)?;
        if !self.backoff.is_over(now) {
            return Err(LinkError::Backoff);
        }
        // Must be last: only this step takes something.
        self.budget
            .acquire(now, request.class, request.budget_fraction)
            .map_err(|_| LinkError::BudgetExceeded)?;
        Ok(Hop { via, remaining })
    }

    /// A hop has ended; `random` is uniform in 0 to 1 and spreads the backoff.
    pub fn complete(&mut self, now: Time, result: HopResult, random: f64) {
        self.budget.release();
        match result.outcome {
            RemoteOutcome::Executed => self.counters.executed += 1,
            RemoteOutcome::NotExecuted => self.counters.not_executed += 1,
            RemoteOutcome::Indeterminate => self.counters.indeterminate += 1,
        }
        // Never of a failed link: that duration is the client's deadline, and as a round trip it would keep all other
        // requests from being sent long after the link has recovered.
        if let Some(remote_duration) = result.remote_duration.filter(|_| !result.link_failed) {
            let round_trip = result.duration.0.saturating_sub(remote_duration.0);
            self.round_trip.record(now, Micros(round_trip));
        }
        if result.link_failed {
            let sent_at = Time(now.0.saturating_sub(result.duration.0));
            self.backoff.record_failure(now, sent_at, random);
        } else if let Some(retry_after) = result.retry_after {
            self.backoff.record_rejection(now, retry_after, random);
        } else {
            self.backoff.record_success();
        }
    }

    /// The client of a hop disconnected, or its deadline passed: nothing was learned of the link.
    pub fn cancel(&mut self) {
        self.budget.release();
        self.counters.indeterminate += 1;
    }

    /// Counts so far.
    pub fn counters(&self) -> LinkCounters {
        self.counters
    }

    /// This proxy's present use.
    pub fn usage(&self, now: Time) -> LinkUsage {
        LinkUsage { in_flight: self.budget.in_flight(), per_s: self.budget.rate_usage(now) }
    }

    /// End of the present backoff; `None` where there is none.
    pub fn backoff_until(&self, now: Time) -> Option<Time> {
        Some(self.backoff.until()).filter(|until| *until > now)
    }
}

#[cfg(test)]
mod tests;
