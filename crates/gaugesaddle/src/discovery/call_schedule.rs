//! The delays between calls to discovery where all proxies call one service. No I/O, no clock.
//!
//! A change of the list ends the pending calls of all proxies at the same moment, and all of them call again at once:
//! of 100 proxies the service can answer 12 to 50 a second, the others wait until they are rejected and retry. So each
//! proxy delays its calls. The delay grows with the number of proxies and with each failure, and is drawn at random
//! around its length. With few proxies there is no delay: their subscriptions continue without a gap.
//!
//! The delay after an answer is the longer one; a rejected call is retried after about a second. With the opposite rule
//! (each failure doubles the delay of the next retry) the service always answers the same proxies: those that were
//! answered call again first, and a proxy that was rejected ten times in a row has no list for 20 s, although it counts
//! as informed after 6 s. Retries are not sooner than that: a rejection costs the service about a twentieth of an
//! answer, and thirty proxies that each retried three times a second took all of its time.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Delay per proxy: a service that can answer a hundred proxies in two seconds is at half of its capacity when each of
/// them calls as often as it may.
const GAP_PER_PROXY: Duration = Duration::from_millis(10);
/// Shorter delays are set to 0: a subscription counts as uninterrupted if the next call is sent within this time.
const MIN_GAP: Duration = Duration::from_millis(200);
/// Maximum delay, as a fraction of the time after which a proxy counts as informed.
const MAX_GAP_FRACTION: f64 = 1.0 / 3.0;
/// Maximum delay in any case: with its spread it is 2 s below the 6 s after which a proxy counts as informed, which
/// leaves time for the next call and a retry.
const MAX_GAP: Duration = Duration::from_millis(3_300);
/// A delay is drawn uniformly from this fraction below its length to the same fraction above it.
const SPREAD: f64 = 0.2;
/// Factor of the delay after a failed call.
const FAILED_FACTOR: f64 = 2.0;
/// Factor of the delay after an answered call: it decreases in small steps, or the service would always be overloaded.
const ANSWERED_FACTOR: f64 = 0.9;
/// Mean delay of a retry, drawn from half of this to one and a half of it: several attempts fit into the 6 s after
/// which a proxy counts as informed.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// All first calls are sent within this time: half of those 6 s, since the first call may be rejected.
const MAX_FIRST_DELAY: Duration = Duration::from_secs(3);

/// The delays of one proxy.
pub struct CallSchedule {
    /// Number of configured proxies.
    configured: u32,
    /// Number of live proxies, 0 while it is unknown.
    live: Rc<Cell<u32>>,
    max_gap: Duration,
    gap: Duration,
    rng: Pcg32,
}

impl CallSchedule {
    /// The schedule of one of `proxies` proxies, each of which counts as informed after `within` without a call.
    pub fn new(proxies: u32, within: Duration, seed: u64) -> CallSchedule {
        let (max_gap, live) = (within.mul_f64(MAX_GAP_FRACTION).min(MAX_GAP), Rc::default());
        let rng = Pcg32::seed_from_u64(seed);
        let mut schedule = CallSchedule { configured: proxies, live, max_gap, gap: Duration::ZERO, rng };
        schedule.gap = schedule.min_gap();
        schedule
    }

    /// Uses this number of live proxies instead of the configured number once it is not 0.
    pub fn with_live_proxies(self, live: Rc<Cell<u32>>) -> CallSchedule {
        CallSchedule { live, ..self }
    }

    fn min_gap(&self) -> Duration {
        let proxies = match self.live.get() {
            0 => self.configured,
            count => count,
        };
        let min_gap = (GAP_PER_PROXY * proxies).min(self.max_gap);
        if min_gap < MIN_GAP {
            Duration::ZERO
        } else {
            min_gap
        }
    }

    /// Returns the delay before the first call: all proxies may have started at the same moment.
    pub fn first_delay(&mut self) -> Duration {
        (self.min_gap() * 2).min(MAX_FIRST_DELAY).mul_f64(self.random_unit())
    }

    /// Returns the delay after an answered call.
    pub fn delay_after_answer(&mut self) -> Duration {
        self.gap = match self.min_gap() {
            Duration::ZERO => Duration::ZERO,
            min_gap => self.gap.mul_f64(ANSWERED_FACTOR).max(min_gap),
        };
        self.gap.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * self.random_unit())
    }

    /// Returns the delay after a failed call, besides the balancer's own wait. With many proxies the delay after the
    /// next answer grows as well, so that the service has capacity for the calls that fail.
    pub fn delay_after_failure(&mut self) -> Duration {
        let min_gap = self.min_gap();
        if min_gap == Duration::ZERO {
            return Duration::ZERO;
        }
        self.gap = self.gap.max(min_gap).mul_f64(FAILED_FACTOR).min(self.max_gap);
        RETRY_DELAY.mul_f64(0.5 + self.random_unit())
    }

    /// A random number, uniform in 0 to 1.
    pub fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }
}

#[cfg(test)]
mod tests;
