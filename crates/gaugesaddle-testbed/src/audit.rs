//! The auditor: reads the records of stand-ins and judges the four rules, and nothing else knows of them here.
//!
//! 1. Lost: every request taken has exactly one final answer, in time, made for it; nothing is sent after it.
//! 2. Twice: what may have run is sent again, or refused, only as its class allows.
//! 3. Drains: nothing new goes to a node after the grace, once its proxy was told.
//! 4. Cold: no cold node is sent more than its budget in any window.
//!
//! An auditor that sees nothing finds nothing: a verdict is clean only where it rests on records of all sorts.

use crate::processor::present_work;
use crate::record::{Boot, Event, Moment, Record, Standing};
use crate::scenario::{Effect, Scenario};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The rules, each in its ways of being broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Broken {
    /// A request had no final answer.
    Lost,
    /// It had more than one, or bytes beyond it.
    AnsweredTwice,
    /// Its answer came after its client's time.
    AnsweredLate,
    /// It was served with what no node made for it.
    Foreign,
    /// Something was sent for it after its final answer, or after its client had left.
    SentAfterAnswer,
    /// An unsafe request that may have run was sent again.
    UnsafeRepeated,
    /// A keyed request that may have run was sent again outside its hall or its window.
    KeyedRepeated,
    /// It was refused though it may have run.
    RefusedAfterRun,
    /// A node was sent something new after the grace of its drain.
    Drain,
    /// A cold node was sent more than its budget.
    Cold,
    /// A request came back to a region that it had left, or made more hops than it may.
    Looped,
    /// More left for a region within a second than the budget of all proxies.
    OverBudget,
    /// A proxy's process ended badly.
    Crash,
}

impl Broken {
    /// The number of the rule; a crash breaks the first.
    pub fn rule(self) -> u8 {
        match self {
            Broken::Lost
            | Broken::AnsweredTwice
            | Broken::AnsweredLate
            | Broken::Foreign
            | Broken::SentAfterAnswer
            | Broken::Looped
            | Broken::OverBudget
            | Broken::Crash => 1,
            Broken::UnsafeRepeated | Broken::KeyedRepeated | Broken::RefusedAfterRun => 2,
            Broken::Drain => 3,
            Broken::Cold => 4,
        }
    }
}

/// A rule broken once.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// How.
    pub broken: Broken,
    /// In words.
    pub text: String,
    /// The records that show it.
    pub records: Vec<Record>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "rule {}, {:?}: {}", self.broken.rule(), self.broken, self.text)?;
        for record in &self.records {
            writeln!(f, "    {:>10.3} s  {:?}", record.at as f64 / 1e6, record.event)?;
        }
        Ok(())
    }
}

/// What a class got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// First tries.
    pub asked: u64,
    /// Of these so many had an answer within the aim, repeats counted.
    pub in_time: u64,
    /// Tries of all sorts.
    pub tries: u64,
    /// Answers by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Worth of a request.
    pub worth: f64,
}

/// What the clients of a region got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionFigures {
    /// Worth in time over worth asked for.
    pub g: f64,
    /// The part of each class's requests that was in time.
    pub in_time: Vec<f64>,
    /// Requests of its clients that other regions' nodes worked on, and the most of them that began within a second.
    pub left: u64,
    /// See `left`.
    pub most_left_per_s: usize,
    /// When its nodes had the first and the last request of another region's.
    pub lent: Option<(Moment, Moment)>,
}

/// What the records say.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Rules broken.
    pub findings: Vec<Finding>,
    /// Why the records can't carry a verdict.
    pub blind: Vec<String>,
    /// Worth in time over worth asked for.
    pub g: f64,
    /// The same of the worst ten seconds, by the time of asking.
    pub worst_10s: f64,
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// By region, where there are several.
    pub regions: Vec<RegionFigures>,
    /// Attempts that came whole.
    pub attempts: u64,
    /// The part of the answered ones that stayed in their proxy's hall.
    pub near: f64,
    /// Keys of keyed and unsafe requests that took effect more than once, whoever asked again.
    pub double_effects: u64,
    /// Nodes that fell.
    pub fallen: u64,
    /// Requests that a stand-in could not use.
    pub strange: u64,
    /// Requests whose connection ended with nothing sent on for them; the client asked again or saw it fail.
    pub closed_unread: u64,
}

impl Verdict {
    /// No rule was broken, and there was enough to see it by.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty() && self.blind.is_empty()
    }

    /// How often a rule was broken in that way.
    pub fn count(&self, broken: Broken) -> usize {
        self.findings.iter().filter(|f| f.broken == broken).count()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = 5;
        for finding in self.findings.iter().take(shown) {
            write!(f, "{finding}")?;
        }
        if self.findings.len() > shown {
            writeln!(f, "... and {} findings more", self.findings.len() - shown)?;
        }
        for why in &self.blind {
            writeln!(f, "no verdict: {why}")?;
        }
        writeln!(
            f,
            "G {:.3}, worst 10 s {:.3}; {} attempts, {:.2} of the answered near, {} double effects, {} fallen nodes, \
             {} closed unread, {} strange",
            self.g, self.worst_10s, self.attempts, self.near, self.double_effects, self.fallen, self.closed_unread, self.strange
        )?;
        for c in &self.classes {
            let part = c.in_time as f64 / c.asked.max(1) as f64;
            let statuses: Vec<String> = c.statuses.iter().map(|(s, n)| format!("{s}: {n}")).collect();
            let (asked, tries) = (c.asked, c.tries);
            writeln!(
                f,
                "  {:<10} {asked} asked, {part:.3} in time, {tries} tries; {}",
                c.name,
                statuses.join(", ")
            )?;
        }
        for (region, r) in self.regions.iter().enumerate() {
            let (name, g, left, most) = (crate::regions::name(region), r.g, r.left, r.most_left_per_s);
            writeln!(f, "  {name:<10} G {g:.3}; {left} left, {most} within a second at most")?;
        }
        let verdict = if self.is_clean() { "the four rules were kept" } else { "NOT CLEAN" };
        writeln!(f, "{verdict}")
    }
}

/// A try of a request, as its client saw it.
struct Try<'a> {
    asked: &'a Record,
    proxy: usize,
    class: usize,
    patience_us: u64,
    ended: Vec<&'a Record>,
}

/// An attempt, as its node saw it.
struct Attempt<'a> {
    arriving: &'a Record,
    boot: Boot,
    proxy: usize,
    whole: Option<&'a Record>,
    work_us: u64,
    turned: Option<Moment>,
    replied: bool,
}

/// News of a node at a proxy: published there, or told to it.
struct News<'a> {
    proxy: usize,
    boot: Boot,
    standing: Standing,
    told: bool,
    record: &'a Record,
}

/// From when until when a proxy may send a node nothing new, and the record that says so.
type Closed<'a> = (Moment, Moment, &'a Record);

struct NodeFacts {
    up: Moment,
    hall: usize,
    speed: f64,
    cold_from: f64,
    ramp_us: f64,
}

/// Judges the records of a scenario; `dropped` of them are missing.
pub fn audit(s: &Scenario, records: &[Record], dropped: u64) -> Verdict {
    let mut auditor = Auditor::read(s, records);
    auditor.answers();
    auditor.repeats();
    auditor.drains();
    auditor.cold();
    auditor.regions();
    auditor.near();
    auditor.figures();
    auditor.evidence(dropped);
    auditor.verdict
}

struct Auditor<'a> {
    s: &'a Scenario,
    slack: u64,
    /// By request, each time that it was written to a connection.
    tries: BTreeMap<u64, Vec<Try<'a>>>,
    /// Tries that reached no proxy: when, first, class.
    unreachable: Vec<(Moment, u64, usize)>,
    firsts: HashMap<u64, u64>,
    attempts: BTreeMap<u64, Attempt<'a>>,
    /// Attempts that came whole or in part, by request.
    by_request: HashMap<u64, Vec<u64>>,
    nodes: HashMap<Boot, NodeFacts>,
    /// When each proxy was killed or stopped, and when it went on.
    away: Vec<(usize, Moment, Moment)>,
    starts: Vec<(usize, Moment)>,
    /// News by proxy and node: when published, when told.
    news: Vec<News<'a>>,
    effects: HashMap<u64, u64>,
    records: &'a [Record],
    verdict: Verdict,
}

impl<'a> Auditor<'a> {
    fn read(s: &'a Scenario, records: &'a [Record]) -> Auditor<'a> {
        let mut a = Auditor {
            s,
            slack: (s.rules.slack_ms * 1e3) as u64,
            tries: BTreeMap::new(),
            unreachable: Vec::new(),
            firsts: HashMap::new(),
            attempts: BTreeMap::new(),
            by_request: HashMap::new(),
            nodes: HashMap::new(),
            away: Vec::new(),
            starts: Vec::new(),
            news: Vec::new(),
            effects: HashMap::new(),
            records,
            verdict: Verdict::default(),
        };
        for record in records {
            a.take(record);
        }
        a
    }

    fn take(&mut self, record: &'a Record) {
        let at = record.at;
        match &record.event {
            Event::ProxyUp { proxy } => self.starts.push((*proxy, at)),
            Event::ProxyKilled { proxy } | Event::ProxyStopped { proxy } => {
                self.away.push((*proxy, at, Moment::MAX));
            }
            Event::ProxyContinued { proxy } => {
                if let Some(away) = self.away.iter_mut().rev().find(|a| a.0 == *proxy) {
                    away.2 = at;
                }
            }
            Event::ProxyEnded { proxy, well: false } => {
                let text = format!("proxy {proxy} ended by itself or had to be killed");
                self.found(Broken::Crash, text, vec![record]);
            }
            Event::ProxyEnded { .. }
            | Event::ProxyTerminated { .. }
            | Event::Network { .. }
            | Event::NodeDown { .. } => {}
            Event::NodeUp { boot, hall, speed, cold_from, ramp_us } => {
                let (hall, speed, cold_from, ramp_us) = (*hall, *speed, *cold_from, *ramp_us as f64);
                self.nodes.insert(*boot, NodeFacts { up: at, hall, speed, cold_from, ramp_us });
            }
            Event::NodeFell { .. } => self.verdict.fallen += 1,
            Event::Published { proxy, boot, standing } => {
                let (proxy, boot, standing) = (*proxy, *boot, *standing);
                self.news.push(News { proxy, boot, standing, told: false, record });
            }
            Event::Told { proxy, boot, standing } => {
                let (proxy, boot, standing) = (*proxy, *boot, *standing);
                self.news.push(News { proxy, boot, standing, told: true, record });
            }
            Event::Asked { proxy, id, first, class, patience_us, .. } => {
                let (proxy, class, patience_us) = (*proxy, *class, *patience_us);
                self.firsts.insert(*id, *first);
                let asked = Try { asked: record, proxy, class, patience_us, ended: Vec::new() };
                self.tries.entry(*id).or_default().push(asked);
            }
            Event::Unreachable { first, class, .. } => self.unreachable.push((at, *first, *class)),
            Event::Answered { id, .. }
            | Event::Surplus { id }
            | Event::Broken { id, .. }
            | Event::Unanswered { id }
            | Event::Left { id } => {
                if let Some(last) = self.tries.get_mut(id).and_then(|t| t.last_mut()) {
                    last.ended.push(record);
                }
            }
            Event::Arriving { attempt, boot, proxy } => {
                let (boot, proxy, whole, work_us) = (*boot, *proxy, None, 0);
                let new =
                    Attempt { arriving: record, boot, proxy, whole, work_us, turned: None, replied: false };
                self.attempts.insert(*attempt, new);
            }
            Event::Whole { attempt, id, work_us } => {
                if let Some(a) = self.attempts.get_mut(attempt) {
                    (a.whole, a.work_us) = (Some(record), *work_us);
                    self.verdict.attempts += 1;
                    self.by_request.entry(*id).or_default().push(*attempt);
                }
            }
            Event::Turned { attempt } => {
                if let Some(a) = self.attempts.get_mut(attempt) {
                    a.turned = Some(at);
                }
            }
            Event::Effect { key, .. } => *self.effects.entry(*key).or_default() += 1,
            Event::Replied { attempt, status } => {
                if let Some(a) = self.attempts.get_mut(attempt) {
                    a.replied = *status == 200;
                }
            }
            Event::Strange { .. } => self.verdict.strange += 1,
        }
    }

    fn found(&mut self, broken: Broken, text: String, records: Vec<&Record>) {
        let records = records.into_iter().cloned().collect();
        self.verdict.findings.push(Finding { broken, text, records });
    }

    /// Whether a proxy was killed, or did not run, at some moment between the two.
    fn was_away(&self, proxy: usize, from: Moment, to: Moment) -> bool {
        let back = |killed: Moment| {
            let next = self.starts.iter().filter(|s| s.0 == proxy && s.1 > killed).map(|s| s.1).min();
            next.unwrap_or(Moment::MAX)
        };
        // What it was sent while it was away waits until it is back, and may be late then.
        self.away.iter().any(|(p, gone, on)| *p == proxy && *gone <= to && back(*gone).min(*on) >= from)
    }

    /// Rule 1.
    fn answers(&mut self) {
        let mut found = Vec::new();
        let mut closed_unread = 0;
        for (id, tries) in &self.tries {
            let sent = self.by_request.get(id).map_or(&[][..], Vec::as_slice);
            for (i, t) in tries.iter().enumerate() {
                let until = tries.get(i + 1).map_or(Moment::MAX, |next| next.asked.at);
                let deadline = t.asked.at + t.patience_us + self.slack;
                let mut answers = t.ended.iter().filter(|r| matches!(r.event, Event::Answered { .. }));
                let shown = || std::iter::once(t.asked).chain(t.ended.iter().copied()).collect::<Vec<_>>();
                let more = answers.by_ref().skip(1).count();
                if more > 0 || t.ended.iter().any(|r| matches!(r.event, Event::Surplus { .. })) {
                    found.push((
                        Broken::AnsweredTwice,
                        format!("request {id:016x} had more than an answer"),
                        shown(),
                    ));
                }
                let from_here = || {
                    let all = sent.iter().map(|a| &self.attempts[a]);
                    all.filter(|a| (t.asked.at..until).contains(&a.arriving.at)).collect::<Vec<_>>()
                };
                let Some(last) = t.ended.first() else {
                    if !self.was_away(t.proxy, t.asked.at, deadline) && self.is_over(deadline) {
                        found.push((Broken::Lost, format!("request {id:016x} came to no end"), shown()));
                    }
                    continue;
                };
                match &last.event {
                    Event::Answered { status, attempt, .. } => {
                        if last.at > deadline && !self.was_away(t.proxy, t.asked.at, last.at) {
                            let late = (last.at - deadline) as f64 / 1e3;
                            let text = format!("request {id:016x} was answered {late:.1} ms after its time");
                            found.push((Broken::AnsweredLate, text, shown()));
                        }
                        let made = attempt.is_some_and(|a| sent.contains(&a) && self.attempts[&a].replied);
                        if *status == 200 && !made {
                            let text = format!("request {id:016x} was served with no node's answer to it");
                            found.push((Broken::Foreign, text, shown()));
                        }
                    }
                    Event::Left { .. } => {}
                    Event::Broken { bytes, .. } => {
                        let excused = self.was_away(t.proxy, t.asked.at, last.at);
                        let sent_on = from_here();
                        if !excused && *bytes == 0 && sent_on.is_empty() {
                            // Closed between two requests, or before its first was read: its client can tell.
                            closed_unread += 1;
                        } else if !excused && *bytes == 0 {
                            let mut records = shown();
                            records.extend(sent_on.iter().map(|a| a.arriving));
                            let text = format!("request {id:016x} was sent on and its connection closed");
                            found.push((Broken::Lost, text, records));
                        }
                    }
                    _ => {
                        if !self.was_away(t.proxy, t.asked.at, deadline) {
                            let text = format!("request {id:016x} had no answer in its time");
                            found.push((Broken::Lost, text, shown()));
                        }
                    }
                }
                // What comes after the end of a try belongs to a later one or to nothing.
                let over = last.at + self.slack;
                let over = if matches!(last.event, Event::Unanswered { .. }) { deadline } else { over };
                for a in sent.iter().map(|a| &self.attempts[a]) {
                    let late = a.arriving.at > over && a.arriving.at < until;
                    if late && !self.was_away(t.proxy, t.asked.at, a.arriving.at) {
                        let mut records = shown();
                        records.push(a.arriving);
                        let text = format!("request {id:016x} was sent on after its end");
                        found.push((Broken::SentAfterAnswer, text, records));
                    }
                }
            }
        }
        self.verdict.closed_unread = closed_unread;
        for (broken, text, records) in found {
            self.found(broken, text, records);
        }
    }

    /// The run went on for longer than that: what has not come by then does not come.
    fn is_over(&self, at: Moment) -> bool {
        self.records.last().is_some_and(|r| r.at > at + 1_000_000)
    }

    /// Rule 2.
    fn repeats(&mut self) {
        let mut found = Vec::new();
        for (id, tries) in &self.tries {
            let class = &self.s.classes[tries[0].class];
            let Some(sent) = self.by_request.get(id) else { continue };
            let mut sent: Vec<&Attempt> = sent.iter().map(|a| &self.attempts[a]).collect();
            sent.sort_by_key(|a| a.arriving.at);
            let may_have_run = |a: &Attempt, by: Moment| a.turned.is_none_or(|turned| turned > by);
            for (i, later) in sent.iter().enumerate() {
                for earlier in &sent[..i] {
                    if !may_have_run(earlier, later.arriving.at) {
                        continue;
                    }
                    let shown = || vec![tries[0].asked, earlier.arriving, later.arriving];
                    match class.effect {
                        Effect::Safe => {}
                        Effect::Unsafe => {
                            let text =
                                format!("unsafe request {id:016x} was sent again though it may have run");
                            found.push((Broken::UnsafeRepeated, text, shown()));
                        }
                        Effect::Keyed => {
                            let hall = |a: &Attempt| self.nodes.get(&a.boot).map(|n| n.hall);
                            let passed = later.arriving.at - earlier.arriving.at;
                            let window = (class.window_ms * 1e3) as u64 + self.slack;
                            if hall(earlier) != hall(later) || passed > window {
                                let text = format!(
                                    "keyed request {id:016x} was sent again from hall {:?} to {:?} after {:.1} ms",
                                    hall(earlier),
                                    hall(later),
                                    passed as f64 / 1e3
                                );
                                found.push((Broken::KeyedRepeated, text, shown()));
                            }
                        }
                    }
                }
            }
            for end in tries.iter().flat_map(|t| &t.ended) {
                let Event::Answered { status: 429 | 503, .. } = end.event else { continue };
                let ran = sent.iter().find(|a| a.arriving.at < end.at && may_have_run(a, end.at));
                if let (Some(ran), true) = (ran, class.effect != Effect::Safe) {
                    let text = format!("request {id:016x} was refused though it may have run");
                    found.push((Broken::RefusedAfterRun, text, vec![tries[0].asked, ran.arriving, end]));
                }
            }
        }
        for (broken, text, records) in found {
            self.found(broken, text, records);
        }
    }

    /// Rule 3.
    fn drains(&mut self) {
        // From when on each start of a proxy counts as told that a node is not to be sent anything new.
        let mut closed: HashMap<(usize, Boot), Vec<Closed>> = HashMap::new();
        // What an agent of the own machine has counts as told, whether or not it was asked.
        let latest = if self.s.discovery.asked { (self.s.rules.told_latest_s * 1e6) as u64 } else { 0 };
        for news in &self.news {
            let (at, place) = (news.record.at, (news.proxy, news.boot));
            if news.standing != Standing::Ready {
                let from = if news.told { at } else { at + latest };
                closed.entry(place).or_default().push((from, Moment::MAX, news.record));
            } else if let Some(spans) = closed.get_mut(&place).filter(|_| news.told) {
                spans.iter_mut().filter(|s| s.1 > at).for_each(|s| s.1 = at);
            }
        }
        let grace = (self.s.rules.drain_grace_ms * 1e3) as u64 + self.slack;
        let mut found = Vec::new();
        for a in self.attempts.values() {
            let Some(spans) = closed.get(&(a.proxy, a.boot)) else { continue };
            let at = a.arriving.at;
            // A proxy that started later knows only what it was told since.
            let started = self.starts.iter().filter(|s| s.0 == a.proxy && s.1 <= at).map(|s| s.1).max();
            let started = started.unwrap_or(0);
            let broken = spans.iter().find(|(from, to, record)| {
                let from = if record.at < started { Moment::MAX } else { *from };
                at > from.saturating_add(grace) && at < *to
            });
            if let Some((from, _, record)) = broken {
                if !self.was_away(a.proxy, *from, at) {
                    let late = (at - from) as f64 / 1e3;
                    let text =
                        format!("{:?} was sent something {late:.1} ms after its drain was told", a.boot);
                    found.push((text, vec![*record, a.arriving]));
                }
            }
        }
        for (text, records) in found {
            self.found(Broken::Drain, text, records);
        }
    }

    /// Rule 4.
    fn cold(&mut self) {
        let (rules, mut by_boot) = (&self.s.rules, HashMap::<Boot, Vec<&Attempt>>::new());
        for a in self.attempts.values().filter(|a| a.whole.is_some()) {
            by_boot.entry(a.boot).or_default().push(a);
        }
        let window = rules.fall_ms * 1e3;
        let slack = rules.fall_slack * mean_work_us(self.s);
        let mut found = Vec::new();
        for (boot, mut sent) in by_boot {
            let Some(node) = self.nodes.get(&boot).filter(|n| n.cold_from < 1.0) else { continue };
            sent.sort_by_key(|a| a.whole.map_or(0, |w| w.at));
            let came = |a: &Attempt| a.whole.map_or(0, |w| w.at).saturating_sub(node.up) as f64;
            let (mut first, mut held) = (0, 0.0);
            for (i, a) in sent.iter().enumerate() {
                held += a.work_us as f64;
                while came(sent[first]) < came(a) - window {
                    held -= sent[first].work_us as f64;
                    first += 1;
                }
                let from = (came(a) - window).max(0.0);
                if from >= node.ramp_us {
                    break; // warm throughout
                }
                let able = present_work(node.speed, node.cold_from, node.ramp_us, from, from + window);
                if held > rules.fall_multiple * able + slack {
                    let text = format!(
                        "cold {boot:?} was sent {:.0} ms of work within {:.1} s, {:.2} times what it can do",
                        held / 1e3,
                        window / 1e6,
                        held / able
                    );
                    let shown = [first, i].map(|n| sent[n].arriving).to_vec();
                    found.push((text, shown));
                    break;
                }
            }
        }
        for (text, records) in found {
            self.found(Broken::Cold, text, records);
        }
    }

    /// The way of each request through regions, and how many left for each of them.
    fn regions(&mut self) {
        let (count, hops) = (self.s.regions.count, self.s.regions.hops as usize);
        if count < 2 {
            return;
        }
        let of_node = |a: &Attempt| self.s.region(a.boot.node);
        let (mut found, mut left) = (Vec::new(), HashMap::<(usize, usize), Vec<(Moment, &Record)>>::new());
        self.verdict.regions = vec![RegionFigures::default(); count];
        for (id, tries) in &self.tries {
            let Some(sent) = self.by_request.get(id) else { continue };
            let mut sent: Vec<&Attempt> = sent.iter().map(|a| &self.attempts[a]).collect();
            sent.sort_by_key(|a| a.arriving.at);
            // By the region whose proxy was asked; a client that had to ask once more began anew there.
            let home = self.s.region(tries.last().map_or(0, |t| t.proxy));
            let mut way = vec![home];
            for a in &sent {
                let region = of_node(a);
                if way.last() != Some(&region) {
                    if way.contains(&region) || way.len() > hops {
                        let text = format!("request {id:016x} went through regions {way:?} and to {region}");
                        found.push((Broken::Looped, text, vec![tries[0].asked, a.arriving]));
                    }
                    way.push(region);
                    left.entry((home, region)).or_default().push((a.arriving.at, a.arriving));
                    let lent = &mut self.verdict.regions[region].lent;
                    let at = a.arriving.at;
                    *lent = Some(lent.map_or((at, at), |l| (l.0.min(at), l.1.max(at))));
                }
            }
            self.verdict.regions[home].left += u64::from(way.len() > 1);
        }
        // Left in one second, they may arrive in a little less: the way differs by the slack at most, either way.
        let window = 1_000_000 - 2 * self.slack;
        for ((home, to), mut times) in left {
            times.sort_by_key(|t| t.0);
            let within = |i: usize| times[i..].iter().take_while(|t| t.0 < times[i].0 + window).count();
            let (most, at) = (0..times.len()).map(|i| (within(i), i)).max().unwrap_or((0, 0));
            let figures = &mut self.verdict.regions[home];
            figures.most_left_per_s = figures.most_left_per_s.max(most);
            if most > self.s.regions.per_s as usize {
                let text = format!("{most} requests left region {home} for {to} within a second");
                found.push((Broken::OverBudget, text, vec![times[at].1]));
            }
        }
        for (broken, text, records) in found {
            self.found(broken, text, records);
        }
    }

    /// The part of what was served that did not cross halls.
    fn near(&mut self) {
        let replied = || self.attempts.values().filter(|a| a.replied);
        let near = |a: &&Attempt| self.nodes.get(&a.boot).is_some_and(|n| n.hall == a.proxy % self.s.halls);
        let (near, all) = (replied().filter(near).count(), replied().count());
        self.verdict.near = near as f64 / all.max(1) as f64;
    }

    fn figures(&mut self) {
        /// A request with all its tries.
        #[derive(Default)]
        struct Whole {
            asked: Moment,
            class: usize,
            region: usize,
            in_time: bool,
        }
        let mut wholes: HashMap<u64, Whole> = HashMap::new();
        let mut classes: Vec<ClassFigures> = self
            .s
            .classes
            .iter()
            .map(|c| ClassFigures { name: c.name.clone(), worth: c.worth, ..ClassFigures::default() })
            .collect();
        let mut seen = |first: u64, at: Moment, class: usize, region: usize| {
            let w = wholes.entry(first).or_insert(Whole { asked: at, class, region, in_time: false });
            w.asked = w.asked.min(at);
        };
        for (at, first, class) in &self.unreachable {
            seen(*first, *at, *class, 0);
        }
        for (id, tries) in &self.tries {
            for t in tries {
                classes[t.class].tries += 1;
                seen(self.firsts[id], t.asked.at, t.class, self.s.region(t.proxy));
            }
        }
        for (id, tries) in &self.tries {
            for end in tries.iter().flat_map(|t| &t.ended) {
                let Event::Answered { status, .. } = end.event else { continue };
                let class = tries[0].class;
                *classes[class].statuses.entry(status).or_default() += 1;
                let aim = (self.s.classes[class].aim_ms * 1e3) as u64;
                if let Some(w) = wholes.get_mut(&self.firsts[id]) {
                    w.in_time |= status == 200 && end.at <= w.asked + aim;
                }
            }
        }
        for w in wholes.values() {
            classes[w.class].asked += 1;
            classes[w.class].in_time += u64::from(w.in_time);
        }
        let part = |of: &mut dyn Iterator<Item = &Whole>| {
            let (mut all, mut good) = (0.0, 0.0);
            for w in of {
                let worth = self.s.classes[w.class].worth;
                all += worth;
                good += if w.in_time { worth } else { 0.0 };
            }
            if all > 0.0 {
                good / all
            } else {
                1.0
            }
        };
        for (region, figures) in self.verdict.regions.iter_mut().enumerate() {
            let own = || wholes.values().filter(move |w| w.region == region);
            figures.g = part(&mut own());
            let of = |class: usize| own().filter(move |w| w.class == class);
            let in_time = |class| part(&mut of(class));
            figures.in_time = (0..self.s.classes.len()).map(in_time).collect();
        }
        let last = wholes.values().map(|w| w.asked).max().unwrap_or(0);
        let mut worst = part(&mut wholes.values());
        let g = worst;
        for from in (0..last.saturating_sub(10_000_000)).step_by(1_000_000) {
            let within = |w: &&Whole| (from..from + 10_000_000).contains(&w.asked);
            worst = worst.min(part(&mut wholes.values().filter(within)));
        }
        (self.verdict.g, self.verdict.worst_10s, self.verdict.classes) = (g, worst, classes);
        self.verdict.double_effects = self.effects.values().filter(|n| **n > 1).count() as u64;
    }

    /// What the records must hold for a verdict to mean anything.
    fn evidence(&mut self, dropped: u64) {
        let served: u64 = self.verdict.classes.iter().filter_map(|c| c.statuses.get(&200)).sum();
        let asked: u64 = self.verdict.classes.iter().map(|c| c.asked).sum();
        let told = self.news.iter().filter(|n| n.told).count();
        let tests = [
            (dropped == 0, format!("{dropped} records were dropped")),
            (asked > 0, "no client asked anything".into()),
            (told > 0, "no proxy was told of any node".into()),
            (!self.nodes.is_empty(), "no node came up".into()),
            (
                self.verdict.attempts >= served,
                format!("{served} served, but {} attempts", self.verdict.attempts),
            ),
            (self.records.is_sorted_by_key(|r| r.at), "records are out of order".into()),
        ];
        self.verdict.blind.extend(tests.into_iter().filter(|t| !t.0).map(|t| t.1));
    }
}

/// Mean work of a request, over all classes.
pub fn mean_work_us(s: &Scenario) -> f64 {
    let shares: f64 = s.classes.iter().map(|c| c.share).sum();
    s.classes.iter().map(|c| c.share / shares * c.work_ms * 1e3).sum()
}

#[cfg(test)]
mod tests;
