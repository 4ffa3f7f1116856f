//! A tier of proxies in virtual time: processes that start, die, pause and leave, on a network of datagrams that cuts,
//! loses, doubles, delays and reorders. What each holds of the others is held against what is true.
//!
//! - [`play`] plays a script of [`Step`]s over processes of a [`Kind`] and returns a [`Report`].
//! - [`Known`] is the kind of `gaugesaddle-membership`; others may be compared with it under the same scripts and draws.
//!
//! Every process has a clock of its own, hours from the others'. A look at all pairs each [`LOOK_US`]: times are right
//! to that. Bounds: events by the script's end, datagrams for a paused process as a socket's buffer holds them.

use gaugesaddle_balancer::Time;
use gaugesaddle_membership::{Authenticator, Boot, Membership, Output, Settings, Signals, TierConfig};
pub use gaugesaddle_testbed::datagrams::{Links, Poor};
use gaugesaddle_testbed::dice::{mix, Dice};
pub use gaugesaddle_testbed::tier::Fact;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

/// All pairs are looked at so often.
pub const LOOK_US: u64 = 50_000;
/// Datagrams that wait for a paused process; more are dropped, the newest first, as a socket does.
const BUFFER: usize = 512;
/// The clocks of two processes lie up to so far apart.
const CLOCKS_US: u64 = 36_000_000_000;

/// Datagrams to send: to which place, and what.
pub type Sent = Vec<(usize, Vec<u8>)>;

/// A process of some kind.
pub trait Process {
    /// A datagram has come.
    fn datagram(&mut self, now: u64, from: usize, bytes: &[u8], out: &mut Sent);
    /// Its time has come.
    fn turn(&mut self, now: u64, out: &mut Sent);
    /// When it wants a turn.
    fn wake(&self) -> u64;
    /// It leaves in order.
    fn leave(&mut self, now: u64, out: &mut Sent);
    /// The process that it holds to live at a place.
    fn sees(&self, place: usize) -> Option<u32>;
    /// What it has written to its log since it was last asked.
    fn log(&mut self) -> Vec<String> {
        Vec::new()
    }
    /// Boot and version of the record that it holds of a place.
    fn record(&self, _place: usize) -> Option<(u32, u32)> {
        None
    }
}

/// How processes of a kind start.
pub trait Kind {
    /// One more.
    fn start(&self, places: usize, place: usize, boot: u32, seed: u64, now: u64) -> Box<dyn Process>;
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A process starts at a place, unless one runs there.
    Start(usize),
    /// It dies.
    Kill(usize),
    /// It is stopped, or starved of its core.
    Pause(usize),
    /// It goes on.
    Resume(usize),
    /// It leaves in order.
    Leave(usize),
    /// The network is like this.
    Links(Links),
}

/// What was seen. Times in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// From each death to its being known, by survivor that knew the dead one and could hear of it.
    pub death_known: Vec<u64>,
    /// From each start to the newcomer's being known, by process that was there.
    pub start_known: Vec<u64>,
    /// From the last change of processes or links to the last look at which two that are connected did not see each
    /// other, or one saw somebody who is not there.
    pub settled_after: u64,
    /// Such a disagreement stands at the end.
    pub unsettled: Vec<String>,
    /// Times that a living, connected process that was seen was held dead.
    pub false_deaths: u64,
    /// The longest of them.
    pub longest_false: u64,
    /// Records or boots that went back.
    pub went_back: Vec<String>,
    /// Datagrams and bytes sent, by place.
    pub sent: Vec<(u64, u64)>,
    /// The most bytes that one process sent in one second.
    pub most_bytes_in_a_second: u64,
    /// What happened, for those who judge by logs.
    pub facts: Vec<(u64, Fact)>,
    /// By place, what its processes wrote.
    pub logs: Vec<Vec<(u64, String)>>,
}

struct Running {
    process: Box<dyn Process>,
    boot: u32,
    started: u64,
    paused: bool,
    inbox: VecDeque<(usize, Vec<u8>)>,
    wake: u64,
    clock: u64,
}

#[derive(Clone, Copy, Default)]
struct Pair {
    /// Since then the one should see the other as it is.
    due: u64,
    /// It saw the present process since then.
    seen: bool,
    /// It has not seen it since.
    lost: Option<u64>,
    /// The last record and its process's number.
    record: Option<(u64, u32)>,
    /// The highest number of a process that it saw there.
    boot: u64,
}

enum What {
    Step(usize),
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
    Wake { place: usize, boot: u32 },
    Look,
}

struct Tier<'a> {
    kind: &'a dyn Kind,
    seed: u64,
    places: usize,
    now: u64,
    running: Vec<Option<Running>>,
    links: Links,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    whats: HashMap<u64, What>,
    next: u64,
    starts: u32,
    /// Each boot's number in the order of starts.
    boots: HashMap<u32, u64>,
    network: Dice,
    pairs: Vec<Pair>,
    /// Deaths: place, boot, when, who is to know.
    deaths: Vec<(u32, u64, Vec<usize>)>,
    /// Starts: place, boot, when, who is to know.
    births: Vec<(usize, u32, u64, Vec<usize>)>,
    changed: u64,
    second: u64,
    in_second: Vec<u64>,
    report: Report,
}

/// All start within a second, then the rest of the script.
pub fn started(places: usize, rest: &[(u64, Step)]) -> Vec<(u64, Step)> {
    let start = |p: usize| (p as u64 * 1_000_000 / places as u64, Step::Start(p));
    let mut script: Vec<_> = (0..places).map(start).collect();
    script.extend(rest.iter().cloned());
    script
}

/// Plays a script (in the order of its times) to its end, on a tier of so many places, none of which runs at first.
pub fn play(kind: &dyn Kind, places: usize, script: &[(u64, Step)], end_us: u64, seed: u64) -> Report {
    let mut tier = Tier {
        kind,
        seed,
        places,
        now: 0,
        running: (0..places).map(|_| None).collect(),
        links: Links::default(),
        events: BinaryHeap::new(),
        whats: HashMap::new(),
        next: 0,
        starts: 0,
        boots: HashMap::new(),
        network: Dice::new(seed, "network"),
        pairs: vec![Pair::default(); places * places],
        deaths: Vec::new(),
        births: Vec::new(),
        changed: 0,
        second: 0,
        in_second: vec![0; places],
        report: Report { sent: vec![(0, 0); places], logs: vec![Vec::new(); places], ..Report::default() },
    };
    for (i, (at, _)) in script.iter().enumerate() {
        tier.at(*at, What::Step(i));
    }
    tier.at(LOOK_US, What::Look);
    while let Some(Reverse((at, id))) = tier.events.pop() {
        if at > end_us {
            break;
        }
        tier.now = at;
        match tier.whats.remove(&id) {
            Some(What::Step(i)) => tier.step(&script[i].1),
            Some(What::Deliver { to, from, bytes }) => tier.deliver(to, from, bytes),
            Some(What::Wake { place, boot }) => tier.wake(place, boot),
            Some(What::Look) => {
                tier.look();
                tier.at(at + LOOK_US, What::Look);
            }
            None => {}
        }
    }
    tier.report.settled_after = tier.report.settled_after.saturating_sub(tier.changed);
    tier.report.unsettled = tier.disagreements();
    tier.report
}

impl Tier<'_> {
    fn at(&mut self, at: u64, what: What) {
        self.events.push(Reverse((at, self.next)));
        self.whats.insert(self.next, what);
        self.next += 1;
    }

    fn step(&mut self, step: &Step) {
        self.changed = self.now;
        match step {
            Step::Start(place) => self.start(*place),
            Step::Kill(place) => self.end(*place),
            Step::Leave(place) => {
                let mut out = Vec::new();
                if let Some(r) = &mut self.running[*place] {
                    r.process.leave(self.now + r.clock, &mut out);
                    self.report.facts.push((self.now, Fact::Terminated(*place)));
                }
                self.carry(*place, out);
                self.end(*place);
            }
            Step::Pause(place) => {
                if let Some(r) = &mut self.running[*place] {
                    r.paused = true;
                    self.report.facts.push((self.now, Fact::Stopped(*place)));
                }
                self.due(|i, j| i == *place || j == *place);
            }
            Step::Resume(place) => {
                let Some(r) = self.running[*place].as_mut().filter(|r| r.paused) else { return };
                self.report.facts.push((self.now, Fact::Continued(*place)));
                (r.paused, r.wake) = (false, u64::MAX);
                let (now, mut out) = (self.now + r.clock, Vec::new());
                // As a host does: all that has come, then the turn.
                for (from, bytes) in r.inbox.drain(..) {
                    r.process.datagram(now, from, &bytes, &mut out);
                }
                r.process.turn(now, &mut out);
                self.carry(*place, out);
                self.due(|i, j| i == *place || j == *place);
            }
            Step::Links(links) => {
                self.links = links.clone();
                self.report.facts.push((self.now, Fact::Links(links.clone())));
                self.due(|_, _| true);
            }
        }
    }

    fn start(&mut self, place: usize) {
        if self.running[place].is_some() {
            return;
        }
        self.starts += 1;
        self.report.facts.push((self.now, Fact::Up(place)));
        // Numbers that say nothing of their order.
        let boot = (mix(self.seed, u64::from(self.starts)) as u32).max(1);
        self.boots.insert(boot, u64::from(self.starts));
        let clock = mix(self.seed ^ 0xc10c, u64::from(self.starts)) % CLOCKS_US;
        let seed = mix(self.seed, 0x5eed_0000 + u64::from(self.starts));
        let process = self.kind.start(self.places, place, boot, seed, self.now + clock);
        let (paused, inbox, started) = (false, VecDeque::new(), self.now);
        self.running[place] = Some(Running { process, boot, started, paused, inbox, wake: u64::MAX, clock });
        let others = (0..self.places).filter(|p| *p != place && self.runs(*p)).collect();
        self.births.push((place, boot, self.now, others));
        self.due(|i, j| i == place || j == place);
        for j in 0..self.places {
            self.pairs[place * self.places + j] = Pair { due: self.now, ..Pair::default() };
        }
        self.wake(place, boot);
    }

    fn end(&mut self, place: usize) {
        let Some(gone) = self.running[place].take() else { return };
        self.report.facts.push((self.now, Fact::Ended(place)));
        let knew = |i: &usize| {
            let there = self.running[*i].as_ref().filter(|r| !r.paused);
            there.is_some_and(|r| r.process.sees(place) == Some(gone.boot))
        };
        let knew: Vec<usize> = (0..self.places).filter(knew).collect();
        self.births.retain(|b| b.1 != gone.boot);
        for birth in &mut self.births {
            birth.3.retain(|p| *p != place);
        }
        for death in &mut self.deaths {
            death.2.retain(|p| *p != place);
        }
        self.deaths.push((gone.boot, self.now, knew));
        self.due(|i, j| i == place || j == place);
    }

    fn runs(&self, place: usize) -> bool {
        self.running[place].as_ref().is_some_and(|r| !r.paused)
    }

    fn due(&mut self, concerned: impl Fn(usize, usize) -> bool) {
        for i in 0..self.places {
            for j in 0..self.places {
                if concerned(i, j) {
                    let pair = &mut self.pairs[i * self.places + j];
                    (pair.due, pair.seen, pair.lost) = (self.now, false, None);
                }
            }
        }
    }

    fn wake(&mut self, place: usize, boot: u32) {
        let mut out = Vec::new();
        let Some(r) = self.running[place].as_mut().filter(|r| r.boot == boot && !r.paused) else { return };
        let now = self.now + r.clock;
        r.wake = u64::MAX;
        if r.process.wake() <= now {
            r.process.turn(now, &mut out);
        }
        self.carry(place, out);
    }

    fn deliver(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        if !self.links.passes(from, to) {
            return;
        }
        let Some(r) = self.running[to].as_mut() else { return };
        if r.paused {
            if r.inbox.len() < BUFFER {
                r.inbox.push_back((from, bytes));
            }
            return;
        }
        let mut out = Vec::new();
        r.process.datagram(self.now + r.clock, from, &bytes, &mut out);
        self.carry(to, out);
    }

    /// What a process sends, and when it wants to be woken.
    fn carry(&mut self, from: usize, out: Sent) {
        if self.now / 1_000_000 != self.second {
            self.second = self.now / 1_000_000;
            self.in_second.fill(0);
        }
        for (to, bytes) in out {
            let sent = &mut self.report.sent[from];
            *sent = (sent.0 + 1, sent.1 + bytes.len() as u64);
            self.in_second[from] += bytes.len() as u64;
            self.report.most_bytes_in_a_second = self.report.most_bytes_in_a_second.max(self.in_second[from]);
            let ways = self.links.draw(&mut self.network, from, to);
            for way in ways.into_iter().flatten() {
                self.at(self.now + way, What::Deliver { to, from, bytes: bytes.clone() });
            }
        }
        let Some(r) = self.running[from].as_mut() else { return };
        self.report.logs[from].extend(r.process.log().into_iter().map(|line| (self.now, line)));
        // Timers of real hosts are right to a millisecond.
        let wake = r.process.wake().saturating_sub(r.clock).max(self.now) + 500;
        if wake < r.wake {
            r.wake = wake;
            let boot = r.boot;
            self.at(wake, What::Wake { place: from, boot });
        }
    }

    /// Whether what one sends can reach the other, through a third if need be, and back.
    fn connected(&self, i: usize, j: usize) -> bool {
        self.links.connected(i, j, |k| self.runs(k), self.places)
    }

    fn look(&mut self) {
        let now = self.now;
        for i in 0..self.places {
            let Some(r) = self.running[i].as_ref().filter(|r| !r.paused) else { continue };
            for j in (0..self.places).filter(|j| *j != i) {
                let sees = r.process.sees(j);
                let mut pair = self.pairs[i * self.places + j];
                if let Some(boot) = sees {
                    let number = self.boots.get(&boot).copied().unwrap_or(0);
                    if number < pair.boot {
                        self.report.went_back.push(format!("{i} saw an earlier process of {j} at {now}"));
                    }
                    pair.boot = number;
                }
                if let Some((boot, version)) = r.process.record(j) {
                    let word = (self.boots.get(&boot).copied().unwrap_or(0), version);
                    if pair.record.is_some_and(|last| word < last) {
                        self.report.went_back.push(format!("{i} has an older record of {j} at {now}"));
                    }
                    pair.record = Some(word);
                }
                let there = self.running[j].as_ref().filter(|r| !r.paused);
                let apart = !self.connected(i, j);
                match there {
                    Some(other) if sees == Some(other.boot) => {
                        if let Some(since) = pair.lost.take() {
                            self.report.longest_false = self.report.longest_false.max(now - since);
                        }
                        pair.seen = true;
                        if apart {
                            self.report.settled_after = now;
                        }
                    }
                    Some(_) if apart => {}
                    Some(_) => {
                        self.report.settled_after = now;
                        if pair.seen && pair.lost.is_none() {
                            pair.lost = Some(now - LOOK_US);
                            self.report.false_deaths += 1;
                        }
                        if let Some(since) = pair.lost {
                            self.report.longest_false = self.report.longest_false.max(now - since);
                        }
                    }
                    None if sees.is_some() => self.report.settled_after = now,
                    None => {}
                }
                self.pairs[i * self.places + j] = pair;
            }
        }
        let (running, report) = (&self.running, &mut self.report);
        let holds = |i: usize, boot: u32| {
            let r = running[i].as_ref();
            r.is_some_and(|r| (0..running.len()).any(|j| r.process.sees(j) == Some(boot)))
        };
        for (boot, at, knew) in &mut self.deaths {
            knew.retain(|i| {
                let still = holds(*i, *boot);
                if !still {
                    report.death_known.push(now - *at);
                }
                still
            });
        }
        for (place, boot, at, others) in &mut self.births {
            others.retain(|i| {
                let known = running[*i].as_ref().is_some_and(|r| r.process.sees(*place) == Some(*boot));
                if known {
                    report.start_known.push(now - *at);
                }
                !known
            });
        }
        self.deaths.retain(|d| !d.2.is_empty());
        self.births.retain(|b| !b.3.is_empty());
    }

    fn disagreements(&self) -> Vec<String> {
        let mut found = Vec::new();
        for i in 0..self.places {
            let Some(r) = self.running[i].as_ref().filter(|r| !r.paused) else { continue };
            for j in (0..self.places).filter(|j| *j != i) {
                let there = self.running[j].as_ref().filter(|r| !r.paused && self.connected(i, j));
                let (sees, is) = (r.process.sees(j), there.map(|r| r.boot));
                if sees != is && self.running[j].as_ref().is_none_or(|r| !r.paused) {
                    let since = there.map_or(0, |t| t.started);
                    found.push(format!("{i} sees {sees:?} at {j}, where {is:?} runs since {since}"));
                }
            }
        }
        found
    }
}

/// Processes of `gaugesaddle-membership`, which publish a record of the usual size twice a second.
pub struct Known {
    /// Theirs.
    pub settings: Settings,
    /// With a key.
    pub keyed: bool,
}

impl Default for Known {
    fn default() -> Known {
        Known { settings: Settings::default(), keyed: true }
    }
}

struct KnownProcess {
    peers: Membership,
    publish: u64,
    next: u64,
    outputs: Vec<Output>,
    log: Vec<String>,
}

/// Where a place is reached; in a simulation only its number counts.
pub fn address(place: usize) -> SocketAddr {
    (Ipv4Addr::from(0x7f00_0001 + place as u32), 7946).into()
}

fn place(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(a) => (u32::from(*a.ip()) - 0x7f00_0001) as usize,
        SocketAddr::V6(_) => 0,
    }
}

impl Kind for Known {
    fn start(&self, places: usize, place: usize, boot: u32, seed: u64, now: u64) -> Box<dyn Process> {
        let config = TierConfig {
            addresses: (0..places).map(address).collect(),
            own_index: place as u16,
            broadcast_address: None,
            name: format!("p{place}"),
            zone: format!("z{}", place % 3),
        };
        let auth = if self.keyed {
            Authenticator::from_secret(&[1; 32]).unwrap_or(Authenticator::disabled())
        } else {
            Authenticator::disabled()
        };
        let peers = Membership::new(self.settings.clone(), auth, config, Boot(boot), seed, Time(now));
        let peers = peers.expect("a sound tier");
        let publish = self.settings.publish_interval.0;
        let log = vec![format!("peers: this is {place} of {places}, boot {boot:08x}, at {}", address(place))];
        Box::new(KnownProcess { peers, publish, next: now, outputs: Vec::new(), log })
    }
}

impl KnownProcess {
    fn carry(&mut self, out: &mut Sent) {
        for output in self.outputs.drain(..) {
            match output {
                Output::Send { to, bytes } => out.push((place(to), bytes)),
                Output::MessageReceived { .. } => {} // no host here handles messages
                Output::StateChanged(transition) => self.log.push(format!("peers: {transition}")),
                _ => {}
            }
        }
    }
}

impl Process for KnownProcess {
    fn datagram(&mut self, now: u64, from: usize, bytes: &[u8], out: &mut Sent) {
        self.peers.datagram(Time(now), address(from), bytes, &mut self.outputs);
        self.carry(out);
    }

    fn turn(&mut self, now: u64, out: &mut Sent) {
        if now >= self.next {
            self.next = now + self.publish;
            let zone = gaugesaddle_membership::ZoneSignal {
                backends: 10.0,
                capacity_per_s: 300.0,
                ..Default::default()
            };
            let signals =
                Signals { arrivals_per_s: vec![10.0; 3], zones: vec![zone; 3], ..Signals::default() };
            self.peers.publish(Time(now), &signals.encode());
        }
        self.peers.turn(Time(now), &mut self.outputs);
        self.carry(out);
    }

    fn wake(&self) -> u64 {
        self.peers.wake().0.min(self.next)
    }

    fn leave(&mut self, _: u64, out: &mut Sent) {
        self.peers.leave(&mut self.outputs);
        self.carry(out);
    }

    fn sees(&self, place: usize) -> Option<u32> {
        self.peers.live_boot(place as u16).map(|b| b.0)
    }

    fn log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    fn record(&self, place: usize) -> Option<(u32, u32)> {
        self.peers.record(place as u16).map(|r| (r.boot.0, r.version))
    }
}
