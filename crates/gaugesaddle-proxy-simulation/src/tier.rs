//! A tier of proxies in virtual time: processes that start, die, are suspended and leave, on a network that partitions, loses,
//! duplicates, delays and reorders datagrams. Each process's view of the others is compared with the truth.
//!
//! - [`play`] plays a script of [`Step`]s over processes of a [`Kind`] and returns a [`Report`].
//! - [`MembershipKind`] starts processes of `gaugesaddle-membership`; others may be compared with it under the same scripts.
//!
//! Every process has a clock of its own, hours from the others'. All pairs are observed each [`OBSERVATION_INTERVAL_US`]: times
//! are exact to that. Bounds: events by the script's end, datagrams for a suspended process as a socket's buffer holds them.

pub use gaugesaddle_testbed::datagrams::{Links, LossyPath};
mod membership_kind;
mod observation;

use gaugesaddle_testbed::random::{mix, RandomStream};
pub use gaugesaddle_testbed::tier::TierEvent;
pub use membership_kind::{address, MembershipKind};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Interval of observations of all pairs.
pub const OBSERVATION_INTERVAL_US: u64 = 50_000;
/// Datagrams that are buffered for a suspended process; more are dropped, as a socket does.
const MAX_BUFFERED: usize = 512;
/// Maximum offset between the clocks of two processes.
const MAX_CLOCK_OFFSET_US: u64 = 36_000_000_000;

/// Datagrams to send, each with the index of its receiver.
pub type Sent = Vec<(usize, Vec<u8>)>;

/// A process of the tier.
pub trait Process {
    /// A datagram was received.
    fn datagram(&mut self, now: u64, from: usize, bytes: &[u8], out: &mut Sent);
    /// Runs what is due.
    fn run_timers(&mut self, now: u64, out: &mut Sent);
    /// When it must run next.
    fn wake_at(&self) -> u64;
    /// It leaves the tier.
    fn leave(&mut self, now: u64, out: &mut Sent);
    /// The boot number of the process that it believes to be live at an index.
    fn live_boot(&self, index: usize) -> Option<u32>;
    /// Its log since the last call.
    fn log(&mut self) -> Vec<String> {
        Vec::new()
    }
    /// Boot and version of the record that it has of an index.
    fn record(&self, _place: usize) -> Option<(u32, u32)> {
        None
    }
}

/// Starts processes.
pub trait Kind {
    /// Starts a process.
    fn start(&self, members: usize, index: usize, boot: u32, seed: u64, now: u64) -> Box<dyn Process>;
}

/// A step of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A process starts at an index, unless one runs there.
    Start(usize),
    /// It dies.
    Kill(usize),
    /// It is suspended, or has no processor time.
    Suspend(usize),
    /// It resumes.
    Resume(usize),
    /// It leaves the tier.
    Leave(usize),
    /// The network changes to this.
    Links(Links),
}

/// What was observed. Times in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// From each death to its detection, by survivor that knew the process and could learn of its death.
    pub death_known: Vec<u64>,
    /// From each start to its detection, by process that was there.
    pub start_known: Vec<u64>,
    /// From the last change of processes or links to the last observation at which two connected processes did not know each
    /// other, or one believed in a process that does not run.
    pub converged_after: u64,
    /// Such disagreements at the end.
    pub disagreements: Vec<String>,
    /// How often a live, connected process that was known was declared dead.
    pub false_deaths: u64,
    /// The longest such time.
    pub longest_false_death: u64,
    /// Records or boots that were replaced by older ones.
    pub regressions: Vec<String>,
    /// Datagrams and bytes sent, by index.
    pub sent: Vec<(u64, u64)>,
    /// Maximum bytes that one process sent in one second.
    pub max_bytes_per_second: u64,
    /// What happened, to compare with logs.
    pub facts: Vec<(u64, TierEvent)>,
    /// The logs, by index.
    pub logs: Vec<Vec<(u64, String)>>,
}

struct Running {
    process: Box<dyn Process>,
    boot: u32,
    started: u64,
    is_suspended: bool,
    inbox: VecDeque<(usize, Vec<u8>)>,
    wake: u64,
    clock: u64,
}

#[derive(Clone, Copy, Default)]
struct Pair {
    /// Since when the one should know the other as it is.
    due: u64,
    /// It has known the present process since then.
    seen: bool,
    /// Since when it has not known it any more.
    lost: Option<u64>,
    /// Number of the process and version of the last record.
    record: Option<(u64, u32)>,
    /// The highest number of a process that it has known there.
    boot: u64,
}

enum EventKind {
    Step(usize),
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    Wake { index: usize, boot: u32 },
    Observe,
}

struct Tier<'a> {
    kind: &'a dyn Kind,
    seed: u64,
    members: usize,
    now: u64,
    running: Vec<Option<Running>>,
    links: Links,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queued: HashMap<u64, EventKind>,
    next: u64,
    starts: u32,
    /// Each boot's number in the order of starts.
    boots: HashMap<u32, u64>,
    network: RandomStream,
    pairs: Vec<Pair>,
    /// Deaths that are not known to all yet: boot, when, who has to learn of it.
    deaths_to_notice: Vec<(u32, u64, Vec<usize>)>,
    /// Starts that are not known to all yet: index, boot, when, who has to learn of it.
    starts_to_notice: Vec<(usize, u32, u64, Vec<usize>)>,
    last_change: u64,
    second: u64,
    in_second: Vec<u64>,
    report: Report,
}

/// A script that starts all within a second, followed by the rest.
pub fn started(members: usize, rest: &[(u64, Step)]) -> Vec<(u64, Step)> {
    let start = |p: usize| (p as u64 * 1_000_000 / members as u64, Step::Start(p));
    let mut script: Vec<_> = (0..members).map(start).collect();
    script.extend(rest.iter().cloned());
    script
}

/// Plays a script (in the order of its times) to its end, on a tier of so many members, none of which runs at first.
pub fn play(kind: &dyn Kind, members: usize, script: &[(u64, Step)], end_us: u64, seed: u64) -> Report {
    let mut tier = Tier {
        kind,
        seed,
        members,
        now: 0,
        running: (0..members).map(|_| None).collect(),
        links: Links::default(),
        events: BinaryHeap::new(),
        queued: HashMap::new(),
        next: 0,
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
        tier.at(*at, EventKind::Step(i));
    }
    tier.at(OBSERVATION_INTERVAL_US, EventKind::Observe);
    while let Some(Reverse((at, id))) = tier.events.pop() {
        if at > end_us {
            break;
        }
        tier.now = at;
        match tier.queued.remove(&id) {
            Some(EventKind::Step(i)) => tier.step(&script[i].1),
            Some(EventKind::Deliver { to, from, bytes }) => tier.deliver(to, from, bytes),
            Some(EventKind::Wake { index, boot }) => tier.wake(index, boot),
            Some(EventKind::Observe) => {
                tier.observe();
                tier.at(at + OBSERVATION_INTERVAL_US, EventKind::Observe);
            }
            None => {}
        }
    }
    tier.report.converged_after = tier.report.converged_after.saturating_sub(tier.last_change);
    tier.report.disagreements = tier.disagreements();
    tier.report
}

impl Tier<'_> {
    fn at(&mut self, at: u64, what: EventKind) {
        self.events.push(Reverse((at, self.next)));
        self.queued.insert(self.next, what);
        self.next += 1;
    }

    fn step(&mut self, step: &Step) {
        self.last_change = self.now;
        match step {
            Step::Start(index) => self.start(*index),
            Step::Kill(index) => self.end(*index),
            Step::Leave(index) => {
                let mut out = Vec::new();
                if let Some(r) = &mut self.running[*index] {
                    r.process.leave(self.now + r.clock, &mut out);
                    self.report.facts.push((self.now, TierEvent::Terminated(*index)));
                }
                self.send(*index, out);
                self.end(*index);
            }
            Step::Suspend(index) => {
                if let Some(r) = &mut self.running[*index] {
                    r.is_suspended = true;
                    self.report.facts.push((self.now, TierEvent::Stopped(*index)));
                }
                self.due(|i, j| i == *index || j == *index);
            }
            Step::Resume(index) => {
                let Some(r) = self.running[*index].as_mut().filter(|r| r.is_suspended) else { return };
                self.report.facts.push((self.now, TierEvent::Continued(*index)));
                (r.is_suspended, r.wake) = (false, u64::MAX);
                let (now, mut out) = (self.now + r.clock, Vec::new());
                // As a host does: all datagrams, then the timers.
                for (from, bytes) in r.inbox.drain(..) {
                    r.process.datagram(now, from, &bytes, &mut out);
                }
                r.process.run_timers(now, &mut out);
                self.send(*index, out);
                self.due(|i, j| i == *index || j == *index);
            }
            Step::Links(links) => {
                self.links = links.clone();
                self.report.facts.push((self.now, TierEvent::Links(links.clone())));
                self.due(|_, _| true);
            }
        }
    }

    fn start(&mut self, index: usize) {
        if self.running[index].is_some() {
            return;
        }
        self.starts += 1;
        self.report.facts.push((self.now, TierEvent::Up(index)));
        // Numbers that do not reveal their order.
        let boot = (mix(self.seed, u64::from(self.starts)) as u32).max(1);
        self.boots.insert(boot, u64::from(self.starts));
        let clock = mix(self.seed ^ 0xc10c, u64::from(self.starts)) % MAX_CLOCK_OFFSET_US;
        let seed = mix(self.seed, 0x5eed_0000 + u64::from(self.starts));
        let process = self.kind.start(self.members, index, boot, seed, self.now + clock);
        let (paused, inbox, started) = (false, VecDeque::new(), self.now);
        self.running[index] =
            Some(Running { process, boot, started, is_suspended: paused, inbox, wake: u64::MAX, clock });
        let others = (0..self.members).filter(|p| *p != index && self.runs(*p)).collect();
        self.starts_to_notice.push((index, boot, self.now, others));
        self.due(|i, j| i == index || j == index);
        for j in 0..self.members {
            self.pairs[index * self.members + j] = Pair { due: self.now, ..Pair::default() };
        }
        self.wake(index, boot);
    }

    fn end(&mut self, index: usize) {
        let Some(gone) = self.running[index].take() else { return };
        self.report.facts.push((self.now, TierEvent::Ended(index)));
        let knew = |i: &usize| {
            let there = self.running[*i].as_ref().filter(|r| !r.is_suspended);
            there.is_some_and(|r| r.process.live_boot(index) == Some(gone.boot))
        };
        let knew: Vec<usize> = (0..self.members).filter(knew).collect();
        self.starts_to_notice.retain(|b| b.1 != gone.boot);
        for birth in &mut self.starts_to_notice {
            birth.3.retain(|p| *p != index);
        }
        for death in &mut self.deaths_to_notice {
            death.2.retain(|p| *p != index);
        }
        self.deaths_to_notice.push((gone.boot, self.now, knew));
        self.due(|i, j| i == index || j == index);
    }

    fn runs(&self, index: usize) -> bool {
        self.running[index].as_ref().is_some_and(|r| !r.is_suspended)
    }

    fn due(&mut self, concerned: impl Fn(usize, usize) -> bool) {
        for i in 0..self.members {
            for j in 0..self.members {
                if concerned(i, j) {
                    let pair = &mut self.pairs[i * self.members + j];
                    (pair.due, pair.seen, pair.lost) = (self.now, false, None);
                }
            }
        }
    }

    fn wake(&mut self, index: usize, boot: u32) {
        let mut out = Vec::new();
        let Some(r) = self.running[index].as_mut().filter(|r| r.boot == boot && !r.is_suspended) else {
            return;
        };
        let now = self.now + r.clock;
        r.wake = u64::MAX;
        if r.process.wake_at() <= now {
            r.process.run_timers(now, &mut out);
        }
        self.send(index, out);
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        if !self.links.passes(from, to) {
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
        r.process.datagram(self.now + r.clock, from, &bytes, &mut out);
        self.send(to, out);
    }

    /// Sends a process's datagrams and schedules its next wake-up.
    fn send(&mut self, from: usize, out: Sent) {
        if self.now / 1_000_000 != self.second {
            self.second = self.now / 1_000_000;
            self.in_second.fill(0);
        }
        for (to, bytes) in out {
            let sent = &mut self.report.sent[from];
            *sent = (sent.0 + 1, sent.1 + bytes.len() as u64);
            self.in_second[from] += bytes.len() as u64;
            self.report.max_bytes_per_second = self.report.max_bytes_per_second.max(self.in_second[from]);
            let ways = self.links.draw(&mut self.network, from, to);
            for way in ways.into_iter().flatten() {
                self.at(self.now + way, EventKind::Deliver { to, from, bytes: bytes.clone() });
            }
        }
        let Some(r) = self.running[from].as_mut() else { return };
        self.report.logs[from].extend(r.process.log().into_iter().map(|line| (self.now, line)));
        // Timers of real hosts are exact to a millisecond.
        let wake = r.process.wake_at().saturating_sub(r.clock).max(self.now) + 500;
        if wake < r.wake {
            r.wake = wake;
            let boot = r.boot;
            self.at(wake, EventKind::Wake { index: from, boot });
        }
    }

    /// Whether two can reach each other in both directions, through a third process if need be.
    fn connected(&self, i: usize, j: usize) -> bool {
        self.links.connected(i, j, |k| self.runs(k), self.members)
    }
}
