//! Discrete-event simulation of a tier of proxies: processes start, die, are suspended and leave, on a network that
//! partitions, loses, duplicates, delays and reorders datagrams. Each process's view of the others is compared with the
//! actual state.
//!
//! - [`play`] runs a script of [`Step`]s over processes of a [`ProcessFactory`] and returns a [`Report`].
//! - [`MembershipFactory`] starts processes of `gaugesaddle-membership`; other implementations can run the same
//!   scripts.
//!
//! Each process has its own clock, which differs from the others' by hours. All pairs are observed at intervals of
//! [`OBSERVATION_INTERVAL_US`], which is the resolution of all reported times.
//!
//! **Bounds.** The number of events is bounded by the end of the script; the datagrams queued for a suspended process
//! are bounded like a socket's receive buffer.

pub use gaugesaddle_testbed::datagrams::{Links, LossyPath};
mod membership_factory;
mod observation;

use gaugesaddle_testbed::random::{mix, RandomStream};
pub use gaugesaddle_testbed::tier::TierEvent;
pub use membership_factory::{address, MembershipFactory};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Interval at which all pairs are observed.
pub const OBSERVATION_INTERVAL_US: u64 = 50_000;
/// Maximum datagrams queued for a suspended process; further ones are dropped, as by a full socket buffer.
const MAX_BUFFERED: usize = 512;
/// Maximum offset between the clocks of two processes.
const MAX_CLOCK_OFFSET_US: u64 = 36_000_000_000;

/// Datagrams to send, each with the index of its receiver.
pub type OutgoingDatagrams = Vec<(usize, Vec<u8>)>;

/// A process of the tier under simulation.
pub trait Process {
    /// Handles a received datagram.
    fn datagram(&mut self, now: u64, from: usize, bytes: &[u8], out: &mut OutgoingDatagrams);
    /// Runs all timers that are due.
    fn run_timers(&mut self, now: u64, out: &mut OutgoingDatagrams);
    /// The time at which the next timer is due.
    fn wake_at(&self) -> u64;
    /// Leaves the tier.
    fn leave(&mut self, now: u64, out: &mut OutgoingDatagrams);
    /// The boot number of the process that this one considers alive at an index.
    fn live_boot(&self, index: usize) -> Option<u32>;
    /// The log lines written since the last call.
    fn log(&mut self) -> Vec<String> {
        Vec::new()
    }
    /// Boot number and version of the record that this process has of an index.
    fn record(&self, _index: usize) -> Option<(u32, u32)> {
        None
    }
}

/// Starts processes.
pub trait ProcessFactory {
    /// Starts a process.
    fn start(&self, members: usize, index: usize, boot: u32, seed: u64, now: u64) -> Box<dyn Process>;
}

/// A step of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A process starts at an index, unless one runs there.
    Start(usize),
    /// The process dies.
    Kill(usize),
    /// The process is suspended, or gets no processor time.
    Suspend(usize),
    /// The process resumes.
    Resume(usize),
    /// The process leaves the tier and ends.
    Leave(usize),
    /// The network changes to this state.
    Links(Links),
}

/// The observations of a run. Times are in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Time from each death to its detection, for each running survivor that considered the process alive.
    pub death_known: Vec<u64>,
    /// Time from each start to its detection, for each process that was running.
    pub start_known: Vec<u64>,
    /// Time from the last change of processes or links to the last observation of a disagreement: of two connected
    /// processes, one did not consider the other alive, or an ended, suspended or partitioned process was considered
    /// alive.
    pub converged_after: u64,
    /// Disagreements at the end of the run.
    pub disagreements: Vec<String>,
    /// Number of times that a live, connected process was declared dead after it had been considered alive.
    pub false_deaths: u64,
    /// Longest time for which such a process was considered dead.
    pub longest_false_death: u64,
    /// Records or boot numbers that were replaced by older ones.
    pub regressions: Vec<String>,
    /// Datagrams and bytes sent, by index.
    pub sent: Vec<(u64, u64)>,
    /// Maximum number of bytes sent by one process in one second.
    pub max_bytes_per_second: u64,
    /// Actual events of processes and network, by time, to audit the logs against.
    pub tier_events: Vec<(u64, TierEvent)>,
    /// Log lines with their times, by index.
    pub logs: Vec<Vec<(u64, String)>>,
}

struct Running {
    process: Box<dyn Process>,
    boot: u32,
    started: u64,
    is_suspended: bool,
    inbox: VecDeque<(usize, Vec<u8>)>,
    next_run: u64,
    clock_offset: u64,
}

#[derive(Clone, Copy, Default)]
struct Pair {
    /// Time of the last change that the viewer has to detect.
    changed_at: u64,
    /// Whether the viewer has considered the present process alive since that change.
    seen: bool,
    /// Time since when the viewer no longer considers the process alive.
    lost: Option<u64>,
    /// Start number of the process and version of the last record.
    record: Option<(u64, u32)>,
    /// Start number of the process last considered alive.
    boot: u64,
}

enum EventKind {
    Step(usize),
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    RunTimers { index: usize, boot: u32 },
    Observe,
}

struct Tier<'a> {
    factory: &'a dyn ProcessFactory,
    seed: u64,
    members: usize,
    now: u64,
    running: Vec<Option<Running>>,
    links: Links,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending_events: HashMap<u64, EventKind>,
    next_event_id: u64,
    starts: u32,
    /// Maps each boot number to the start number of its process.
    boots: HashMap<u32, u64>,
    network: RandomStream,
    pairs: Vec<Pair>,
    /// Deaths not yet detected by all processes: boot number, time, and the processes that have not detected it.
    deaths_to_notice: Vec<(u32, u64, Vec<usize>)>,
    /// Starts not yet detected by all processes: index, boot number, time, and the processes that have not detected it.
    starts_to_notice: Vec<(usize, u32, u64, Vec<usize>)>,
    last_change: u64,
    second: u64,
    in_second: Vec<u64>,
    report: Report,
}

/// A script that starts all members within the first second, followed by the steps of `rest`.
pub fn script_with_starts(members: usize, rest: &[(u64, Step)]) -> Vec<(u64, Step)> {
    let start = |p: usize| (p as u64 * 1_000_000 / members as u64, Step::Start(p));
    let mut script: Vec<_> = (0..members).map(start).collect();
    script.extend(rest.iter().cloned());
    script
}

/// Runs a script, sorted by time, until `end_us` on a tier of `members` members, none of which runs initially.
pub fn play(
    factory: &dyn ProcessFactory, members: usize, script: &[(u64, Step)], end_us: u64, seed: u64,
) -> Report {
    let mut tier = Tier {
        factory,
        seed,
        members,
        now: 0,
        running: (0..members).map(|_| None).collect(),
        links: Links::default(),
        events: BinaryHeap::new(),
        pending_events: HashMap::new(),
        next_event_id: 0,
        starts: 0,
        boots: HashMap::new(),
        network: RandomStream::new(seed, "network"),
        pairs: vec![Pair::default(); members * members],
        deaths_to_notice: Vec::new(),
        starts_to_notice: Vec::new(),
        last_change: 0,
        second: 0,
        in_second: vec![0; members],
        report: Report { sent: vec![(0, 0); members], logs: vec![Vec::new(); members], ..Report::default() },
    };
    for (i, (at, _)) in script.iter().enumerate() {
        tier.schedule(*at, EventKind::Step(i));
    }
    tier.schedule(OBSERVATION_INTERVAL_US, EventKind::Observe);
    while let Some(Reverse((at, id))) = tier.events.pop() {
        if at > end_us {
            break;
        }
        tier.now = at;
        match tier.pending_events.remove(&id) {
            Some(EventKind::Step(i)) => tier.apply_step(&script[i].1),
            Some(EventKind::Deliver { to, from, bytes }) => tier.deliver(to, from, bytes),
            Some(EventKind::RunTimers { index, boot }) => tier.run_due_timers(index, boot),
            Some(EventKind::Observe) => {
                tier.observe();
                tier.schedule(at + OBSERVATION_INTERVAL_US, EventKind::Observe);
            }
            None => {}
        }
    }
    tier.report.converged_after = tier.report.converged_after.saturating_sub(tier.last_change);
    tier.report.disagreements = tier.disagreements();
    tier.report
}

impl Tier<'_> {
    fn schedule(&mut self, at: u64, event: EventKind) {
        self.events.push(Reverse((at, self.next_event_id)));
        self.pending_events.insert(self.next_event_id, event);
        self.next_event_id += 1;
    }

    fn apply_step(&mut self, step: &Step) {
        self.last_change = self.now;
        match step {
            Step::Start(index) => self.start_process(*index),
            Step::Kill(index) => self.end_process(*index),
            Step::Leave(index) => {
                let mut out = Vec::new();
                if let Some(r) = &mut self.running[*index] {
                    r.process.leave(self.now + r.clock_offset, &mut out);
                    self.report.tier_events.push((self.now, TierEvent::Terminated(*index)));
                }
                self.send_datagrams(*index, out);
                self.end_process(*index);
            }
            Step::Suspend(index) => {
                if let Some(r) = &mut self.running[*index] {
                    r.is_suspended = true;
                    self.report.tier_events.push((self.now, TierEvent::Stopped(*index)));
                }
                self.reset_pairs(|i, j| i == *index || j == *index);
            }
            Step::Resume(index) => {
                let Some(r) = self.running[*index].as_mut().filter(|r| r.is_suspended) else { return };
                self.report.tier_events.push((self.now, TierEvent::Continued(*index)));
                (r.is_suspended, r.next_run) = (false, u64::MAX);
                let (now, mut out) = (self.now + r.clock_offset, Vec::new());
                // A host handles all received datagrams before timers.
                for (from, bytes) in r.inbox.drain(..) {
                    r.process.datagram(now, from, &bytes, &mut out);
                }
                r.process.run_timers(now, &mut out);
                self.send_datagrams(*index, out);
                self.reset_pairs(|i, j| i == *index || j == *index);
            }
            Step::Links(links) => {
                self.links = links.clone();
                self.report.tier_events.push((self.now, TierEvent::Links(links.clone())));
                self.reset_pairs(|_, _| true);
            }
        }
    }

    fn start_process(&mut self, index: usize) {
        if self.running[index].is_some() {
            return;
        }
        self.starts += 1;
        self.report.tier_events.push((self.now, TierEvent::Up(index)));
        // Boot numbers are random, so that their order does not reveal the order of starts.
        let boot = (mix(self.seed, u64::from(self.starts)) as u32).max(1);
        self.boots.insert(boot, u64::from(self.starts));
        let clock_offset = mix(self.seed ^ 0xc10c, u64::from(self.starts)) % MAX_CLOCK_OFFSET_US;
        let seed = mix(self.seed, 0x5eed_0000 + u64::from(self.starts));
        let process = self.factory.start(self.members, index, boot, seed, self.now + clock_offset);
        let (is_suspended, inbox, started) = (false, VecDeque::new(), self.now);
        self.running[index] =
            Some(Running { process, boot, started, is_suspended, inbox, next_run: u64::MAX, clock_offset });
        let others = (0..self.members).filter(|p| *p != index && self.is_running(*p)).collect();
        self.starts_to_notice.push((index, boot, self.now, others));
        self.reset_pairs(|i, j| i == index || j == index);
        for j in 0..self.members {
            self.pairs[index * self.members + j] = Pair { changed_at: self.now, ..Pair::default() };
        }
        self.run_due_timers(index, boot);
    }

    fn end_process(&mut self, index: usize) {
        let Some(ended) = self.running[index].take() else { return };
        self.report.tier_events.push((self.now, TierEvent::Ended(index)));
        let observers = |i: &usize| {
            let observer = self.running[*i].as_ref().filter(|r| !r.is_suspended);
            observer.is_some_and(|r| r.process.live_boot(index) == Some(ended.boot))
        };
        let observers: Vec<usize> = (0..self.members).filter(observers).collect();
        self.starts_to_notice.retain(|b| b.1 != ended.boot);
        for start in &mut self.starts_to_notice {
            start.3.retain(|p| *p != index);
        }
        for death in &mut self.deaths_to_notice {
            death.2.retain(|p| *p != index);
        }
        self.deaths_to_notice.push((ended.boot, self.now, observers));
        self.reset_pairs(|i, j| i == index || j == index);
    }

    fn is_running(&self, index: usize) -> bool {
        self.running[index].as_ref().is_some_and(|r| !r.is_suspended)
    }

    fn reset_pairs(&mut self, is_affected: impl Fn(usize, usize) -> bool) {
        for i in 0..self.members {
            for j in 0..self.members {
                if is_affected(i, j) {
                    let pair = &mut self.pairs[i * self.members + j];
                    (pair.changed_at, pair.seen, pair.lost) = (self.now, false, None);
                }
            }
        }
    }

    fn run_due_timers(&mut self, index: usize, boot: u32) {
        let mut out = Vec::new();
        let Some(r) = self.running[index].as_mut().filter(|r| r.boot == boot && !r.is_suspended) else {
            return;
        };
        let now = self.now + r.clock_offset;
        r.next_run = u64::MAX;
        if r.process.wake_at() <= now {
            r.process.run_timers(now, &mut out);
        }
        self.send_datagrams(index, out);
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        if !self.links.allows(from, to) {
            return;
        }
        let Some(r) = self.running[to].as_mut() else { return };
        if r.is_suspended {
            if r.inbox.len() < MAX_BUFFERED {
                r.inbox.push_back((from, bytes));
            }
            return;
        }
        let mut out = Vec::new();
        r.process.datagram(self.now + r.clock_offset, from, &bytes, &mut out);
        self.send_datagrams(to, out);
    }

    /// Sends a process's datagrams and schedules its next timer.
    fn send_datagrams(&mut self, from: usize, out: OutgoingDatagrams) {
        if self.now / 1_000_000 != self.second {
            self.second = self.now / 1_000_000;
            self.in_second.fill(0);
        }
        for (to, bytes) in out {
            let sent = &mut self.report.sent[from];
            *sent = (sent.0 + 1, sent.1 + bytes.len() as u64);
            self.in_second[from] += bytes.len() as u64;
            self.report.max_bytes_per_second = self.report.max_bytes_per_second.max(self.in_second[from]);
            let delays = self.links.draw(&mut self.network, from, to);
            for delay in delays.into_iter().flatten() {
                self.schedule(self.now + delay, EventKind::Deliver { to, from, bytes: bytes.clone() });
            }
        }
        let Some(r) = self.running[from].as_mut() else { return };
        self.report.logs[from].extend(r.process.log().into_iter().map(|line| (self.now, line)));
        // Timers of real hosts have a resolution of 1 ms: 500 us late on average.
        let next_run = r.process.wake_at().saturating_sub(r.clock_offset).max(self.now) + 500;
        if next_run < r.next_run {
            r.next_run = next_run;
            let boot = r.boot;
            self.schedule(next_run, EventKind::RunTimers { index: from, boot });
        }
    }

    /// Whether two processes can reach each other in both directions, directly or through a third process.
    fn is_connected(&self, i: usize, j: usize) -> bool {
        self.links.connected(i, j, |k| self.is_running(k), self.members)
    }
}
