//! Converts the membership to the published state. Operators' tools read its field names, so they must not change.

use super::Tier;
use crate::operations::registry::{MemberRow, MembershipView, SignalTotals};
use gaugesaddle_balancer::{Micros, Time};
use gaugesaddle_membership::{MemberView, PartitionStatus, Totals};

/// A record that is older than this many publish intervals counts as stale.
const STALE_INTERVALS: u64 = 8;

impl Tier {
    /// Returns the published state of the tier.
    pub fn view(&self, now: Time) -> MembershipView {
        let membership = self.membership.borrow();
        let view = membership.view(now);
        let counters = membership.counters();
        let own_index = membership.own_index();
        let members = membership.members(now);
        MembershipView {
            place: own_index,
            boot: boot_name(membership.local_member().boot.0),
            told: view.configured,
            living: view.live,
            suspect: view.suspect,
            dead: view.dead,
            left: view.departed,
            unseen: view.unknown,
            shape: view.partition_status().name().into(),
            more_than_half: view.partition_status() == PartitionStatus::Majority,
            unchanged_us: view.since_change.0,
            answered_us: view.since_ack.0,
            awake_us: view.since_stall.0,
            health: view.health_multiplier,
            totals: self.totals(now),
            sent: counters.sent,
            sent_bytes: counters.sent_bytes,
            unsent: self.unsent.get(),
            came: counters.received,
            garbled: counters.malformed,
            foreign: counters.misaddressed,
            forged: counters.unauthenticated,
            replayed: counters.replayed,
            unproven: counters.unverified,
            over: counters.rate_limited,
            asked: counters.probes,
            silent: counters.failed_probes,
            refuted: counters.refutations,
            stalls: counters.stalls,
            peers: members.into_iter().map(|member| row(member, own_index)).collect(),
        }
    }

    fn totals(&self, now: Time) -> SignalTotals {
        let membership = self.membership.borrow();
        let stale_after = Micros(self.publish_interval.0 * STALE_INTERVALS);
        let live = membership.live_members();
        let totals = Totals::sum(now, stale_after, live.into_iter().map(|index| membership.record(index)));
        SignalTotals {
            told: totals.reporting,
            older: totals.stale,
            older_than_us: stale_after.0,
            oldest_us: totals.oldest.0,
            arrivals_per_s: self.classes.iter().cloned().zip(totals.arrivals_per_s).collect(),
            held: totals.in_flight,
            given_up_per_s: totals.rejected_per_s,
        }
    }
}

fn row(member: MemberView, own_index: u16) -> MemberRow {
    MemberRow {
        place: member.index,
        address: member.address.to_string(),
        name: member.name,
        zone: member.zone,
        own: member.index == own_index,
        state: member.state.name().into(),
        since_us: member.state_since.0,
        boot: member.boot.map(|boot| boot_name(boot.0)),
        incarnation: member.incarnation,
        heard_us: member.since_received.map(|time| time.0),
        record_age_us: member.record_age.map(|age| age.0),
        contested: member.in_conflict,
    }
}

/// Formats a boot number for logs and the published state.
fn boot_name(boot: u32) -> String {
    format!("{boot:08x}")
}
