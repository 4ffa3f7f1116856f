//! The link from one proxy to one other region: admission of the requests to send, and accounting of their results.

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
    /// Limits of the requests to the other region, for all proxies together.
    pub budget: BudgetLimits,
    /// This proxy's allocation of the budget.
    pub allocation: EvenAllocation,
    /// Maximum number of hops of a client's request.
    pub max_hops: u8,
    /// Estimated round-trip time until one is measured.
    pub initial_round_trip: Micros,
    /// Margin that is subtracted from a deadline at each hop in addition to the round trip.
    pub deadline_margin: Micros,
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The request would loop, or may make no further hop.
    #[error("forwarding to another region: {0}")]
    Ineligible(#[source] Ineligible),
    /// The remaining time of the request is below the round trip plus the margin.
    #[error("forwarding to another region: the remaining time is below the round trip plus the margin")]
    DeadlineTooShort,
    /// The budget is exhausted.
    #[error("forwarding to another region: the budget is exhausted")]
    BudgetExceeded,
    /// The link is in backoff, after the region rejected a request or the link failed.
    #[error("forwarding to another region: the link is in backoff")]
    Backoff,
}

/// Counters of a link since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Requests sent.
    pub sent: u64,
    /// Requests sent that the other region executed.
    pub executed: u64,
    /// Requests sent that were rejected without being executed.
    pub not_executed: u64,
    /// Requests sent that may have been executed.
    pub indeterminate: u64,
    /// Requests not sent because of [`LinkError::Ineligible`].
    pub ineligible: u64,
    /// Requests not sent because of [`LinkError::DeadlineTooShort`].
    pub deadline_too_short: u64,
    /// Requests not sent because of [`LinkError::BudgetExceeded`].
    pub over_budget: u64,
    /// Requests not sent because of [`LinkError::Backoff`].
    pub backed_off: u64,
}

/// This proxy's usage of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkUsage {
    /// Requests in flight.
    pub in_flight: Usage,
    /// Requests in the current second of the clock.
    pub per_s: Usage,
}

/// A request to be sent to another region.
#[derive(Clone, Copy, Debug)]
pub struct HopRequest<'a> {
    /// Index of the request's class.
    pub class: usize,
    /// Time until the request's deadline.
    pub remaining: Micros,
    /// The regions that the request has passed through; `None` for a request of a client.
    pub via: Option<&'a Via>,
    /// Fraction of the budget that may be used, 0 to 1.
    pub budget_fraction: f64,
}

/// Header values of a request that is sent to another region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The regions that the request has passed through, including this one.
    pub via: Via,
    /// Time that remains at the other side, in whole milliseconds.
    pub remaining: Micros,
}

/// The result of a hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopResult {
    /// The outcome of the request.
    pub outcome: RemoteOutcome,
    /// Time since the request was sent.
    pub duration: Micros,
    /// Processing time of the other side, if it was reported; the rest of `duration` is the round trip.
    pub remote_duration: Option<Micros>,
    /// The delay that the other side requested when it rejected the request.
    pub retry_after: Option<Micros>,
    /// Whether the link itself failed, so that no answer was received.
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
    /// A link without samples, backoff or counts.
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

    /// Number of requests of the class that may be sent at `now`, while only `budget_fraction` (0 to 1) of the budget may
    /// be used.
    pub fn available(&mut self, now: Time, class: usize, budget_fraction: f64) -> u32 {
        if self.backoff.is_over(now) && budget_fraction > 0.0 {
            self.budget.available(now, class, budget_fraction).unwrap_or(0)
        } else {
            0
        }
    }

    /// Sets the expected requests per second of each class.
    pub fn set_expected_demand(&mut self, per_s: impl IntoIterator<Item = f64>) {
        self.budget.set_expected_demand(per_s);
    }

    /// Applies another allocation of the budget.
    pub fn reallocate(&mut self, allocation: WeightedAllocation) {
        self.budget.reallocate(allocation);
    }

    /// Time that a hop subtracts from a deadline: the estimated round trip plus the margin.
    pub fn hop_overhead(&self, now: Time) -> Micros {
        Micros(self.round_trip.estimate(now).0.saturating_add(self.settings.deadline_margin.0))
    }

    /// Decides whether a request may be sent, and returns its header values. For each started hop the caller must call
    /// [`complete`](Link::complete) or [`cancel`](Link::cancel) once.
    ///
    /// # Errors
    /// The request may not be sent; no budget is acquired then.
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
        // Must be the last check: it acquires budget.
        self.budget
            .acquire(now, request.class, request.budget_fraction)
            .map_err(|_| LinkError::BudgetExceeded)?;
        Ok(Hop { via, remaining })
    }

    /// Records the result of a hop; `random` is uniform in 0 to 1 and provides the jitter of the backoff.
    pub fn complete(&mut self, now: Time, result: HopResult, random: f64) {
        self.budget.release();
        match result.outcome {
            RemoteOutcome::Executed => self.counters.executed += 1,
            RemoteOutcome::NotExecuted => self.counters.not_executed += 1,
            RemoteOutcome::Indeterminate => self.counters.indeterminate += 1,
        }
        // A failed hop is not a sample: its duration is the client's deadline, and as a round trip it would prevent all
        // other requests from being sent long after the link has recovered.
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

    /// Records that the client of a hop disconnected or that its deadline passed. Round trip and backoff are unchanged,
    /// because neither event indicates the state of the link.
    pub fn cancel(&mut self) {
        self.budget.release();
        self.counters.indeterminate += 1;
    }

    /// Counters since the creation of the link.
    pub fn counters(&self) -> LinkCounters {
        self.counters
    }

    /// This proxy's current usage.
    pub fn usage(&self, now: Time) -> LinkUsage {
        LinkUsage { in_flight: self.budget.in_flight(), per_s: self.budget.rate_usage(now) }
    }

    /// End of the current backoff; `None` if the link is not in backoff.
    pub fn backoff_until(&self, now: Time) -> Option<Time> {
        Some(self.backoff.until()).filter(|until| *until > now)
    }
}

#[cfg(test)]
mod tests;
