//! Probes of members that are not live, that is unknown, dead or departed. Without them, the two sides of a partition
//! would not rejoin after it has healed.

use super::Membership;
use crate::member_state::MemberState;
use crate::output::Output;
use gaugesaddle_balancer::{Micros, Time};

/// Probes per second that all live members together send to each member that is not live, independent of their number.
const TIER_PROBES_PER_S: f64 = 4.0;
/// Highest fraction of the byte budget for these probes.
const BUDGET_FRACTION: f64 = 0.25;
/// The same while members are likely to become reachable again.
const FAST_BUDGET_FRACTION: f64 = 0.5;
/// Approximate bytes of such a probe: header, ping, hello, tag.
const PROBE_BYTES: f64 = 80.0;
/// A member that died within this time is probed every [`RECENTLY_DEAD_INTERVAL`]: if two live processes consider each
/// other dead, only such a probe corrects this.
const RECENTLY_DEAD_TIME: Micros = Micros(30_000_000);
/// See [`RECENTLY_DEAD_TIME`].
const RECENTLY_DEAD_INTERVAL: Micros = Micros(1_500_000);

/// The set of members that a cycle visits.
#[derive(Clone, Copy)]
enum Cycle {
    AllNonLive,
    RecentlyDead,
}

impl Membership {
    /// Probes members that are not live one after the other, at a rate that depends on their number.
    pub(super) fn probe_non_live(&mut self, now: Time, out: &mut Vec<Output>) {
        // Sending does not change the number of members that are not live.
        let non_live = self.non_live_members();
        while non_live > 0 && now >= self.reconnects.next_at && now >= self.budget.available_at() {
            let Some(index) = self.next_non_live(now) else { return };
            let sent_bytes_before = self.counters.sent_bytes;
            self.send_probe(now, index, &[], out);
            self.spend(now, self.counters.sent_bytes - sent_bytes_before);
            let interval = Micros::from_secs(self.reconnect_interval_s(now, non_live));
            self.reconnects.next_at = self.reconnects.next_at.max(now) + interval;
        }
    }

    /// Seconds until the next probe of a member that is not live.
    fn reconnect_interval_s(&self, now: Time, non_live: usize) -> f64 {
        let budget_interval = |fraction: f64| PROBE_BYTES / (fraction * f64::from(self.settings.bytes_per_s));
        if self.reconnects.is_fast(now) {
            return budget_interval(FAST_BUDGET_FRACTION);
        }
        let for_tier_rate = (1 + self.live_peers) as f64 / (TIER_PROBES_PER_S * non_live as f64);
        let for_own_rate = self.settings.reconnect_interval.secs() / non_live as f64;
        let for_recently_dead = match self.reconnects.recently_dead_count {
            0 => f64::MAX,
            count => RECENTLY_DEAD_INTERVAL.secs() / (2 * count) as f64, // every second probe goes to one of them
        };
        for_tier_rate.min(for_own_rate).min(for_recently_dead).max(budget_interval(BUDGET_FRACTION))
    }

    /// Alternates between the recently dead members and all that are not live.
    fn next_non_live(&mut self, now: Time) -> Option<u16> {
        self.reconnects.recently_dead_next = !self.reconnects.recently_dead_next;
        if self.reconnects.recently_dead_next {
            if let Some(index) = self.next_in_cycle(now, Cycle::RecentlyDead) {
                return Some(index);
            }
        }
        self.next_in_cycle(now, Cycle::AllNonLive)
    }

    fn next_in_cycle(&mut self, now: Time, cycle: Cycle) -> Option<u16> {
        // If the cycle is complete, the second iteration takes a member from the next cycle.
        for _ in 0..2 {
            while let Some(index) = self.remaining(cycle).pop() {
                if !self.state(index).is_live() {
                    return Some(index);
                }
            }
            let mut indices = self.peer_indices(|state| !state.is_live());
            if let Cycle::RecentlyDead = cycle {
                indices.retain(|index| self.is_recently_dead(now, *index));
                self.reconnects.recently_dead_count = indices.len();
            }
            self.shuffle(&mut indices);
            *self.remaining(cycle) = indices;
        }
        None
    }

    fn remaining(&mut self, cycle: Cycle) -> &mut Vec<u16> {
        match cycle {
            Cycle::AllNonLive => &mut self.reconnects.non_live,
            Cycle::RecentlyDead => &mut self.reconnects.recently_dead,
        }
    }

    fn is_recently_dead(&self, now: Time, index: u16) -> bool {
        let dead_for = now - self.member(index).state_since;
        self.state(index) == MemberState::Dead && dead_for < RECENTLY_DEAD_TIME
    }
}
