//! One process's view of its tier: its state, its timers and the operations for its host. The submodules implement one
//! part of the protocol each.

mod broadcast;
mod indirect;
mod probe;
mod query;
mod receive;
mod reconnect;
mod suspect;
mod transition;

use crate::auth::Authenticator;
use crate::config::{TierConfig, TierConfigError};
use crate::counters::Counters;
use crate::dissemination::UpdateQueue;
use crate::health::LocalHealth;
use crate::member::Member;
use crate::member_state::{Boot, LocalMember, MemberState};
use crate::output::Output;
use crate::rate_limit::{ByteBudget, ReplyLimit};
use crate::records::Records;
use crate::schedule::{ProbeSchedule, PublishSchedule, ReconnectSchedule};
use crate::settings::Settings;
use crate::wire::{Section, MAX_MESSAGE_BYTES, MAX_RECORD_BYTES};
use gaugesaddle_balancer::{Micros, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// If the timers run late by more than this, the process was stopped or got no CPU time. It is ten times the delay of
/// three late timers on a busy core.
const STALL_THRESHOLD: Micros = Micros(300_000);
/// Interval of the search for dead and departed members whose retention time is over.
const EXPIRY_INTERVAL: Micros = Micros(1_000_000);

/// Times of the first and the last update that reported another live process at the index of this process.
#[derive(Clone, Copy)]
struct ConflictReports {
    first: Time,
    last: Time,
}

/// One process's view of its tier.
///
/// The host calls [`Membership::handle_datagram`] for each datagram it receives and [`Membership::run_due_timers`] at
/// [`Membership::next_timer_at`] at the latest, and executes each [`Output`].
pub struct Membership {
    settings: Settings,
    auth: Authenticator,
    config: TierConfig,
    local: LocalMember,
    /// Counter of the last datagram sent.
    datagram_counter: u64,
    rng: Pcg64Mcg,
    /// One entry for each configured member; the entry of this process is never updated.
    members: Vec<Member>,
    suspects: BTreeSet<u16>,
    /// Live members, this process not included.
    live_peers: usize,
    records: Records,
    /// Version of the local record; 0 before the first.
    record_version: u32,
    updates: UpdateQueue,
    updates_sent_at: Time,
    health: LocalHealth,
    counters: Counters,
    probes: ProbeSchedule,
    reconnects: ReconnectSchedule,
    publishing: PublishSchedule,
    budget: ByteBudget,
    replies: ReplyLimit,
    /// When the timers are due next.
    timers_due_at: Time,
    /// Datagrams that are read before the timers run again may have arrived earlier by up to this much: the duration of
    /// the last stall.
    receive_delay: Micros,
    /// End of the last stall, or the start.
    resumed_at: Time,
    /// When the set of live members last changed.
    live_changed_at: Time,
    next_expiry: Time,
    started: bool,
    departed: bool,
    conflict_reports: Option<ConflictReports>,
}

impl Membership {
    /// A process that has just started. `boot` is drawn at random for each start and is not 0; `seed` determines all
    /// random choices. The caller has checked the settings with [`Settings::check`].
    ///
    /// # Errors
    /// The configuration is invalid: see [`TierConfigError`].
    pub fn new(
        settings: Settings, auth: Authenticator, config: TierConfig, boot: Boot, seed: u64, now: Time,
    ) -> Result<Membership, TierConfigError> {
        config.check(&auth)?;
        let member_count = config.addresses.len();
        Ok(Membership {
            members: (0..member_count).map(|_| Member::new(now)).collect(),
            records: Records::new(member_count),
            settings,
            auth,
            config,
            local: LocalMember::new(boot),
            datagram_counter: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            suspects: BTreeSet::new(),
            live_peers: 0,
            record_version: 0,
            updates: UpdateQueue::default(),
            updates_sent_at: Time(0),
            health: LocalHealth::default(),
            counters: Counters::default(),
            probes: ProbeSchedule::new(now),
            reconnects: ReconnectSchedule::new(now),
            publishing: PublishSchedule::new(now),
            budget: ByteBudget::new(now),
            replies: ReplyLimit::new(now),
            timers_due_at: now,
            receive_delay: Micros(0),
            resumed_at: now,
            live_changed_at: now,
            next_expiry: now + EXPIRY_INTERVAL,
            started: false,
            departed: false,
            conflict_reports: None,
        })
    }

    /// Executes all actions that are due. The host calls it at [`Membership::next_timer_at`] at the latest, after it
    /// has passed in all datagrams that have arrived: a process that has stalled must not suspect other members before
    /// it has read their acknowledgements.
    pub fn run_due_timers(&mut self, now: Time, out: &mut Vec<Output>) {
        self.detect_stall(now, out);
        self.receive_delay = Micros(0);
        if self.departed {
            return;
        }
        if !self.started {
            self.started = true;
            self.broadcast_hello(out);
        }
        self.probe_indirectly(now, out);
        self.repeat_probe(now, out);
        self.check_suspicions(now, out);
        self.probe_next(now, out);
        self.probe_non_live(now, out);
        self.send_records(now, out);
        self.send_updates(now, out);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.remove_expired(now, out);
        }
        self.timers_due_at = self.next_timer_at();
    }

    /// When [`Membership::run_due_timers`] is due next. `Time(u64::MAX)` after [`Membership::leave`].
    pub fn next_timer_at(&self) -> Time {
        if self.departed {
            return Time(u64::MAX);
        }
        if !self.started {
            return self.timers_due_at;
        }
        let mut earliest = self.next_expiry;
        if let Some(at) = self.next_probe_phase_at() {
            earliest = earliest.min(at);
        }
        if let Some(at) = self.next_suspicion_check_at() {
            earliest = earliest.min(at);
        }
        if self.non_live_members() > 0 {
            earliest = earliest.min(self.reconnects.next_at.max(self.budget.available_at()));
        }
        if self.live_peers > 0 {
            earliest = earliest.min(self.probes.next_at);
            if self.record_version > 0 {
                earliest = earliest.min(self.publishing.next_at.max(self.budget.available_at()));
            }
            if !self.updates.is_empty() {
                earliest = earliest.min(self.send_updates_at());
            }
        }
        earliest
    }

    /// Replaces the local record; it is sent to all live members over time. Returns `false` if it is longer than
    /// [`MAX_RECORD_BYTES`].
    pub fn publish(&mut self, now: Time, body: &[u8]) -> bool {
        if body.len() > MAX_RECORD_BYTES {
            return false;
        }
        if self.record_version == 0 {
            self.publishing.start(now);
        }
        self.record_version += 1;
        let version = (self.local.boot, self.record_version);
        self.records.insert(now, self.config.own_index, version, Micros(0), body)
    }

    /// Sends a message to the host of a live member at once; it may get lost. Returns `false` if it is longer than
    /// [`MAX_MESSAGE_BYTES`] or the member is not live.
    pub fn send_message(&mut self, now: Time, index: u16, body: &[u8], out: &mut Vec<Output>) -> bool {
        if body.len() > MAX_MESSAGE_BYTES || self.departed {
            return false;
        }
        if !self.is_peer(index) || !self.state(index).is_live() {
            return false;
        }
        let mut datagram = self.new_datagram(index);
        let fits = datagram.push(&Section::Message { body: body.to_vec() });
        self.send_within_budget(now, index, datagram, out);
        fits
    }

    /// Announces the departure to each live member, once; nothing is sent afterwards. The host must not call it if
    /// a successor process already uses this index.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.departed, true) {
            return;
        }
        for index in self.live_peer_indices() {
            self.announce_departure(index, out);
        }
    }

    /// Detects that this process was stopped or got no CPU time since its timers were due. Its time-outs are then
    /// extended by the duration of the stall, because datagrams that arrived in the meantime have not been read yet.
    fn detect_stall(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.started || now - self.timers_due_at <= STALL_THRESHOLD {
            return;
        }
        let duration = now - self.timers_due_at;
        self.timers_due_at = now;
        self.receive_delay = duration;
        self.resumed_at = now;
        self.counters.stalls += 1;
        self.health.degrade();
        if let Some(probe) = &mut self.probes.current {
            probe.sent_at = probe.sent_at + duration;
        }
        self.probes.next_at = self.probes.next_at.max(now);
        for index in &self.suspects {
            if let Some(suspicion) = &mut self.members[usize::from(*index)].suspicion {
                suspicion.postpone(suspicion.started_at() + duration);
            }
        }
        self.reconnects.accelerate(now);
        out.push(Output::Stalled { duration });
    }

    /// Whether this is the index of another configured member.
    fn is_peer(&self, index: u16) -> bool {
        index != self.config.own_index && usize::from(index) < self.members.len()
    }

    fn member(&self, index: u16) -> &Member {
        &self.members[usize::from(index)]
    }

    fn member_mut(&mut self, index: u16) -> &mut Member {
        &mut self.members[usize::from(index)]
    }

    fn state(&self, index: u16) -> MemberState {
        self.member(index).known.state()
    }

    /// Members that are unknown, dead or departed.
    fn non_live_members(&self) -> usize {
        self.members.len() - 1 - self.live_peers
    }

    fn live_peer_indices(&self) -> Vec<u16> {
        self.peer_indices(MemberState::is_live)
    }

    /// The other members whose state satisfies `filter`, by index.
    fn peer_indices(&self, filter: impl Fn(MemberState) -> bool) -> Vec<u16> {
        let indices = 0..self.members.len() as u16;
        indices.filter(|index| *index != self.config.own_index && filter(self.state(*index))).collect()
    }

    /// A random number below `bound`; 0 if that is 0.
    fn random_below(&mut self, bound: usize) -> usize {
        (self.rng.next_u32() as usize) % bound.max(1)
    }

    fn shuffle(&mut self, indices: &mut [u16]) {
        for i in (1..indices.len()).rev() {
            let j = self.random_below(i + 1);
            indices.swap(i, j);
        }
    }
}
