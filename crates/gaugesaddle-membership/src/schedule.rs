//! State of the schedules by which members are probed, reconnected and sent records. The decisions are made in
//! `membership`.

use gaugesaddle_balancer::{Micros, Time};

/// Time in which members that are not live are probed at the fast rate: after the start, after a stall, and after a
/// dead member has become live again.
pub(crate) const FAST_RECONNECT_TIME: Micros = Micros(2_000_000);

/// The phase of the current probe.
///
/// ```text
/// Direct ---- ack time-out ----> Indirect ---- half of the remaining time ----> Repeated
///    |                              |                                              |
///    +------------- ack ------------+----------------------------------------------+--> no current probe
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbePhase {
    /// The ping has been sent.
    Direct,
    /// Helpers have been requested to probe, and the ping has been sent again.
    Indirect,
    /// The ping has been sent a third time.
    Repeated,
}

/// The probe of the current probe interval.
pub(crate) struct Probe {
    pub target: u16,
    pub nonce: u32,
    pub sent_at: Time,
    pub phase: ProbePhase,
    /// Members that were requested to probe.
    pub helpers: usize,
    /// Receipts of these requests.
    pub receipts: usize,
}

/// Probes of live members.
pub(crate) struct ProbeSchedule {
    /// Live members that remain in this cycle, in random order; the last one is next.
    pub remaining: Vec<u16>,
    pub current: Option<Probe>,
    pub next_at: Time,
    /// When any member last acknowledged a probe.
    pub last_ack: Time,
}

/// Probes of members that are not live, that is unknown, dead or departed.
pub(crate) struct ReconnectSchedule {
    /// Members that are not live and remain in this cycle, in random order; the last one is next.
    pub non_live: Vec<u16>,
    /// The same for those that died recently.
    pub recently_dead: Vec<u16>,
    /// Members that died recently: as counted at the start of their cycle, plus the deaths since.
    pub recently_dead_count: usize,
    /// Whether the next probe goes to a recently dead member. Alternates.
    pub recently_dead_next: bool,
    pub next_at: Time,
    /// Until this time members that are not live are probed at the fast rate.
    pub fast_until: Time,
}

/// Transmissions of the local record to all live members.
pub(crate) struct PublishSchedule {
    /// Live members that remain in this cycle, in random order; the last one is next.
    pub remaining: Vec<u16>,
    pub cycle_started_at: Time,
    /// How long the last complete cycle took.
    pub last_cycle: Micros,
    pub next_at: Time,
}

impl ProbeSchedule {
    pub fn new(now: Time) -> ProbeSchedule {
        ProbeSchedule { remaining: Vec::new(), current: None, next_at: now, last_ack: now }
    }
}

impl ReconnectSchedule {
    pub fn new(now: Time) -> ReconnectSchedule {
        ReconnectSchedule {
            non_live: Vec::new(),
            recently_dead: Vec::new(),
            recently_dead_count: 0,
            recently_dead_next: false,
            next_at: now,
            fast_until: now + FAST_RECONNECT_TIME,
        }
    }

    /// Switches to the fast rate for [`FAST_RECONNECT_TIME`].
    pub fn accelerate(&mut self, now: Time) {
        self.fast_until = now + FAST_RECONNECT_TIME;
        self.next_at = now;
    }

    pub fn is_fast(&self, now: Time) -> bool {
        now < self.fast_until
    }
}

impl PublishSchedule {
    pub fn new(now: Time) -> PublishSchedule {
        PublishSchedule { remaining: Vec::new(), cycle_started_at: now, last_cycle: Micros(0), next_at: now }
    }

    /// Starts the first cycle, when the first record is published.
    pub fn start(&mut self, now: Time) {
        self.next_at = now;
        self.cycle_started_at = now;
    }
}
