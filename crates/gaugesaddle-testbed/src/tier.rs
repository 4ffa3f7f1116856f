//! Whether proxies that know one another hold what is true: their logs against what happened to them.
//!
//! What a proxy holds of another is read from its log alone, one line a transition. Each pair is judged only while it
//! can be: both run, and the network between them is whole, or leads round, and loses nothing. Rules:
//!
//! - a process that can be reached is held alive, in its present process, at the latest [`SETTLED_US`] after that
//!   became possible, and from then on;
//! - one that has ended is held alive no longer than [`KNOWN_US`];
//! - nobody goes back to a former process, takes one for alive that never was, or calls one gone that did not say so;
//! - no two processes have one number.

use crate::datagrams::Links;
use crate::record::{Event, Record};
use std::collections::HashMap;
use std::fmt;

/// After a start, a heal or a wake all agree within this.
pub const SETTLED_US: u64 = 3_000_000;
/// A death is known to everybody within this.
pub const KNOWN_US: u64 = 6_000_000;
/// What a real process takes for a turn, and its log for a line, on a machine that does other things as well.
pub const SLACK_US: u64 = 500_000;
/// See [`TierVerdict::false_deaths`].
const LATELY_US: u64 = 1_000_000;
/// Findings that are kept; the rest only counts.
const SHOWN: usize = 50;

/// What happened to a process, by its place, or to the network.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// It was started.
    Up(usize),
    /// It is stopped.
    Stopped(usize),
    /// It goes on.
    Continued(usize),
    /// It was told to end in order.
    Terminated(usize),
    /// It is no more.
    Ended(usize),
    /// The network is like this.
    Links(Links),
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Wrong {
    /// A process that lives and can be reached is not held alive.
    NotSeen,
    /// One that has ended is.
    NotForgotten,
    /// A former process was taken for alive after a later one.
    WentBack,
    /// One was taken for alive that never was.
    Invented,
    /// One is called gone that did not say so.
    NeverLeft,
    /// Two processes have one number.
    OldBoot,
}

/// One case of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// Which.
    pub wrong: Wrong,
    /// When it was seen, from the start, in microseconds.
    pub at: u64,
    /// Who held it of whom.
    pub pair: (usize, usize),
    /// In words.
    pub what: String,
}

/// The judgement, with the times that it rests on, in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierVerdict {
    /// The first findings.
    pub found: Vec<Found>,
    /// All of them, by rule.
    pub counts: HashMap<Wrong, usize>,
    /// From each death to its being known, by survivor that held the dead one alive.
    pub death_known: Vec<u64>,
    /// From each start (its first line of log) to the newcomer's being known, by proxy that was there.
    pub start_known: Vec<u64>,
    /// From each change after which all can be reached to the last one's holding all alive; heals and wakes.
    pub agreed: Vec<u64>,
    /// Times that one was called dead who lived and could be reached all the last second.
    pub false_deaths: u64,
    /// The first of them: when, who, of whom, and why.
    pub mistakes: Vec<Found>,
    /// Pairs that were judged at all, in seconds.
    pub judged_s: f64,
}

impl TierVerdict {
    /// No rule was broken, and something was judged.
    pub fn is_clean(&self) -> bool {
        self.counts.is_empty() && self.judged_s > 0.0
    }

    /// How often a rule was broken.
    pub fn count(&self, wrong: Wrong) -> usize {
        self.counts.get(&wrong).copied().unwrap_or(0)
    }

    /// With what was found of another tier.
    fn and(mut self, other: TierVerdict) -> TierVerdict {
        other.counts.into_iter().for_each(|(wrong, n)| *self.counts.entry(wrong).or_default() += n);
        self.found.extend(other.found);
        self.death_known.extend(other.death_known);
        self.start_known.extend(other.start_known);
        self.agreed.extend(other.agreed);
        self.mistakes.extend(other.mistakes);
        self.false_deaths += other.false_deaths;
        self.judged_s += other.judged_s;
        self
    }

    fn find(&mut self, wrong: Wrong, at: u64, pair: (usize, usize), what: String) {
        *self.counts.entry(wrong).or_default() += 1;
        if self.found.len() < SHOWN {
            self.found.push(Found { wrong, at, pair, what });
        }
    }
}

impl fmt::Display for TierVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for found in self.found.iter().take(5) {
            let (viewer, of) = found.pair;
            writeln!(
                f,
                "{:9.3} s  {:?}: {viewer} of {of}: {}",
                found.at as f64 / 1e6,
                found.wrong,
                found.what
            )?;
        }
        for m in self.mistakes.iter().take(5) {
            let (viewer, of) = m.pair;
            writeln!(f, "{:9.3} s  for a while {viewer} held {of} dead: {}", m.at as f64 / 1e6, m.what)?;
        }
        let total: usize = self.counts.values().sum();
        if total > 5 {
            writeln!(f, "... and {} findings more", total - 5)?;
        }
        let s = |times: &[u64], q: f64| quantile(times, q) as f64 / 1e6;
        writeln!(
            f,
            "tier: {} of {:.0} pair-seconds judged; deaths known in {:.2} s (95%), {:.2} s (all of {}); false deaths {}",
            if self.is_clean() { "nothing wrong in all" } else { "WRONG in some" },
            self.judged_s,
            s(&self.death_known, 0.95),
            s(&self.death_known, 1.0),
            self.death_known.len(),
            self.false_deaths,
        )
    }
}

/// The value under which that part of them lies; 0 of none.
pub fn quantile(times: &[u64], part: f64) -> u64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    let at = ((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1));
    times.get(at).copied().unwrap_or(0)
}

/// One process.
#[derive(Clone, Copy, Debug)]
struct Life {
    /// Started, and spoke first.
    up: u64,
    spoke: u64,
    boot: u32,
    /// Told to end, and ended.
    told: Option<u64>,
    end: u64,
}

/// A line about another.
struct Said {
    at: u64,
    place: usize,
    state: String,
    boot: u32,
    why: String,
}

fn number(hex: &str) -> Option<u32> {
    u32::from_str_radix(hex.trim_end_matches([',', ':']), 16).ok()
}

/// What the tier's part of a proxy says in a line; the same word stands in the name of the part before it.
fn word(line: &str) -> Option<&str> {
    line.rsplit_once("peers: ").map(|l| l.1)
}

fn own_boot(line: &str) -> Option<u32> {
    let rest = word(line)?.strip_prefix("this is ")?;
    number(rest.split("boot ").nth(1)?.split(' ').next()?)
}

fn said(at: u64, line: &str) -> Option<Said> {
    let rest = word(line)?;
    let mut words = rest.split(' ');
    let place = words.next()?.parse().ok()?;
    let state = words.nth(1).filter(|_| rest.contains(" is "))?.to_string();
    let boot = number(rest.split("boot ").nth(1)?.split(' ').next()?)?;
    let why = rest.rsplit_once(": ").map_or("", |r| r.1).to_string();
    Some(Said { at, place, state, boot, why })
}

struct Judge {
    places: usize,
    end: u64,
    /// By place, in the order of their starts.
    lives: Vec<Vec<Life>>,
    /// By place, when it was stopped.
    pauses: Vec<Vec<(u64, u64)>>,
    links: Vec<(u64, Links)>,
    /// Moments at which anything of this changes.
    moments: Vec<u64>,
}

impl Judge {
    fn new(places: usize, facts: &[(u64, Fact)], logs: &[Vec<(u64, String)>], end: u64) -> Judge {
        let mut judge = Judge {
            places,
            end,
            lives: vec![Vec::new(); places],
            pauses: vec![Vec::new(); places],
            links: vec![(0, Links::default())],
            moments: vec![0, end],
        };
        for (at, fact) in facts {
            judge.moments.push(*at);
            match fact {
                Fact::Up(p) => {
                    judge.lives[*p].push(Life {
                        up: *at,
                        spoke: u64::MAX,
                        boot: 0,
                        told: None,
                        end: u64::MAX,
                    });
                }
                Fact::Terminated(p) => {
                    judge.lives[*p].last_mut().into_iter().for_each(|l| l.told = Some(*at));
                }
                Fact::Ended(p) => {
                    judge.lives[*p].last_mut().into_iter().for_each(|l| l.end = *at);
                    judge.pauses[*p].last_mut().into_iter().for_each(|p| p.1 = p.1.min(*at));
                }
                Fact::Stopped(p) => judge.pauses[*p].push((*at, u64::MAX)),
                Fact::Continued(p) => {
                    judge.pauses[*p].last_mut().into_iter().for_each(|p| p.1 = p.1.min(*at));
                }
                Fact::Links(links) => judge.links.push((*at, links.clone())),
            }
        }
        for (place, lines) in logs.iter().enumerate() {
            for (at, boot) in lines.iter().filter_map(|(at, line)| own_boot(line).map(|b| (*at, b))) {
                // A process that was killed before it spoke is none.
                let life = judge.lives[place].iter_mut().rev().find(|l| l.up <= at && at <= l.end);
                if let Some(life) = life.filter(|l| l.boot == 0) {
                    (life.spoke, life.boot) = (at, boot);
                    judge.moments.push(at);
                }
            }
        }
        judge.moments.sort_unstable();
        judge.moments.dedup();
        judge.moments.retain(|m| *m <= end);
        judge
    }

    /// The process that speaks and is not told to end.
    fn life(&self, place: usize, at: u64) -> Option<&Life> {
        self.lives[place].iter().find(|l| l.spoke <= at && at < l.end.min(l.told.unwrap_or(u64::MAX)))
    }

    fn paused(&self, place: usize, at: u64) -> bool {
        self.pauses[place].iter().any(|(from, to)| (*from..*to).contains(&at))
    }

    fn runs(&self, place: usize, at: u64) -> bool {
        self.life(place, at).is_some() && !self.paused(place, at)
    }

    fn links(&self, at: u64) -> &Links {
        let last = self.links.iter().rev().find(|l| l.0 <= at);
        &last.unwrap_or(&self.links[0]).1
    }

    /// What one sends reaches the other in time, and back.
    fn reach(&self, a: usize, b: usize, at: u64) -> bool {
        let links = self.links(at);
        links.sure() && links.connected(a, b, |k| self.runs(k, at), self.places)
    }

    /// Both run, and reached each other all the last second: what was thought of one while it was cut off, and is said
    /// as the cut heals, was right when it was thought.
    fn reached_for(&self, a: usize, b: usize, at: u64) -> bool {
        let since = at.saturating_sub(LATELY_US);
        let changes = self.moments.iter().copied().filter(|m| (since..=at).contains(m));
        changes.chain([since]).all(|at| self.runs(a, at) && self.runs(b, at) && self.reach(a, b, at))
    }

    /// The one has a network at all that tells it of deaths.
    fn informed(&self, place: usize, at: u64) -> bool {
        self.runs(place, at) && self.links(at).calm()
    }

    /// Stretches in which something is known, and the same.
    fn stretches<T: PartialEq>(&self, known: impl Fn(u64) -> Option<T>) -> Vec<(u64, u64, T)> {
        let mut found: Vec<(u64, u64, T)> = Vec::new();
        for pair in self.moments.windows(2) {
            let Some(now) = known(pair[0]) else { continue };
            match found.last_mut().filter(|last| last.1 == pair[0] && last.2 == now) {
                Some(last) => last.1 = pair[1],
                None => found.push((pair[0], pair[1], now)),
            }
        }
        found
    }
}

/// What a viewer holds of a place, from some moment on: a living process's number, or none.
type Views = Vec<(u64, Option<u32>)>;

fn held(views: &Views, at: u64) -> Option<u32> {
    views.iter().rev().find(|v| v.0 <= at).and_then(|v| v.1)
}

/// Holds logs (by place, each line with its moment) against what happened, both in the order of time.
pub fn judge(places: usize, facts: &[(u64, Fact)], logs: &[Vec<(u64, String)>], end: u64) -> TierVerdict {
    let judge = Judge::new(places, facts, logs, end);
    let mut verdict = TierVerdict::default();
    for (place, lives) in judge.lives.iter().enumerate() {
        let mut seen = HashMap::new();
        for life in lives.iter().filter(|l| l.boot != 0) {
            if let Some(before) = seen.insert(life.boot, life.spoke) {
                let what = format!("boot {:08x} spoke at {:.3} s already", life.boot, before as f64 / 1e6);
                verdict.find(Wrong::OldBoot, life.spoke, (place, place), what);
            }
        }
    }
    for viewer in 0..places {
        let lines = logs.get(viewer).map_or(&[][..], Vec::as_slice);
        let all: Vec<Said> = lines.iter().filter_map(|(at, line)| said(*at, line)).collect();
        for place in (0..places).filter(|p| *p != viewer) {
            let about: Vec<&Said> = all.iter().filter(|s| s.place == place).collect();
            pair(&judge, viewer, place, &about, &mut verdict);
        }
    }
    agreements(&judge, logs, &mut verdict);
    verdict
}

/// The same of several tiers that know nothing of one another, each told of its members only.
pub fn judge_each(
    tiers: &[Vec<usize>], facts: &[(u64, Fact)], logs: &[Vec<(u64, String)>], end: u64,
) -> TierVerdict {
    let one = |members: &Vec<usize>| {
        let place = |p: usize| members.iter().position(|m| *m == p);
        let fact = |fact: &Fact| match fact {
            Fact::Up(p) => place(*p).map(Fact::Up),
            Fact::Stopped(p) => place(*p).map(Fact::Stopped),
            Fact::Continued(p) => place(*p).map(Fact::Continued),
            Fact::Terminated(p) => place(*p).map(Fact::Terminated),
            Fact::Ended(p) => place(*p).map(Fact::Ended),
            Fact::Links(links) => Some(Fact::Links(links.among(members))),
        };
        let facts: Vec<(u64, Fact)> = facts.iter().filter_map(|(at, f)| Some((*at, fact(f)?))).collect();
        let logs: Vec<_> = members.iter().filter_map(|m| logs.get(*m).cloned()).collect();
        judge(members.len(), &facts, &logs, end)
    };
    tiers.iter().map(one).fold(TierVerdict::default(), TierVerdict::and)
}

/// Judges what one proxy holds of another.
fn pair(judge: &Judge, viewer: usize, place: usize, about: &[&Said], verdict: &mut TierVerdict) {
    let starts = judge.lives[viewer].iter().map(|l| (l.up, None));
    let mut views: Views = starts.collect();
    let who = (viewer, place);
    let mut highest = (0, 0);
    for s in about {
        let lives = matches!(s.state.as_str(), "alive" | "suspect");
        let known = judge.lives[place].iter().position(|l| l.boot == s.boot);
        // Of a viewer that has started anew nothing earlier counts.
        let own = judge.lives[viewer].iter().filter(|l| l.up <= s.at).count();
        if own != highest.0 {
            highest = (own, 0);
        }
        match known {
            None if lives => verdict.find(Wrong::Invented, s.at, who, format!("boot {:08x}", s.boot)),
            Some(nth) if lives && nth + 1 < highest.1 => {
                verdict.find(Wrong::WentBack, s.at, who, format!("to its {}. process", nth + 1));
            }
            Some(nth) => {
                highest.1 = highest.1.max(nth + 1);
                let told = judge.lives[place][nth].told.is_some_and(|t| t <= s.at + SLACK_US);
                if s.state == "left" && !told {
                    verdict.find(Wrong::NeverLeft, s.at, who, "it was not told to end".into());
                }
            }
            None => {}
        }
        let before = held(&views, s.at);
        views.push((s.at, lives.then_some(s.boot)));
        views.sort_by_key(|v| v.0);
        let there = judge.life(place, s.at).filter(|l| l.boot == s.boot);
        let reached = judge.reached_for(viewer, place, s.at);
        if s.state == "dead" && before.is_some() && there.is_some() && reached {
            verdict.false_deaths += 1;
            if verdict.mistakes.len() < SHOWN {
                let what = s.why.clone();
                verdict.mistakes.push(Found { wrong: Wrong::NotSeen, at: s.at, pair: who, what });
            }
        }
    }
    seen(judge, who, &views, verdict);
    forgotten(judge, who, &views, verdict);
}

/// Who can be reached is held alive.
fn seen(judge: &Judge, (viewer, place): (usize, usize), views: &Views, verdict: &mut TierVerdict) {
    let both = |at: u64| {
        let ids = judge.life(viewer, at).zip(judge.life(place, at)).map(|(a, b)| (a.boot, b.boot));
        ids.filter(|_| judge.runs(viewer, at) && judge.runs(place, at) && judge.reach(viewer, place, at))
    };
    for (from, to, (_, boot)) in judge.stretches(both) {
        verdict.judged_s += (to - from) as f64 / 1e6;
        let due = from + SETTLED_US + SLACK_US;
        let changes = views.iter().copied().filter(|v| (due + 1..to).contains(&v.0));
        let looks: Vec<(u64, Option<u32>)> = [(due, held(views, due))].into_iter().chain(changes).collect();
        // What is mended soon after is a mistake, counted as such, and not a broken rule.
        let mut wrong = None;
        for (at, holds) in looks.into_iter().filter(|l| l.0 < to).chain([(to, Some(boot))]) {
            if holds != Some(boot) {
                wrong = wrong.or(Some((at, holds)));
            } else if let Some((since, held)) = wrong.take() {
                if since == due || at - since > SETTLED_US + SLACK_US {
                    let what = format!("holds {held:08x?}, where {boot:08x} lives");
                    verdict.find(Wrong::NotSeen, since, (viewer, place), what);
                }
            }
        }
    }
    for life in judge.lives[place].iter().filter(|l| l.boot != 0) {
        let there = judge.runs(viewer, life.spoke) && judge.reach(viewer, place, life.spoke);
        let first = views.iter().find(|v| v.0 >= life.spoke && v.1 == Some(life.boot));
        if let Some(first) = first.filter(|_| there) {
            verdict.start_known.push(first.0 - life.spoke);
        }
    }
}

/// Who has ended is held alive no longer.
fn forgotten(judge: &Judge, (viewer, place): (usize, usize), views: &Views, verdict: &mut TierVerdict) {
    for life in judge.lives[place].iter().filter(|l| l.boot != 0 && l.end < judge.end) {
        let Some(own) = judge.life(viewer, life.end).filter(|_| judge.runs(viewer, life.end)) else {
            continue;
        };
        if held(views, life.end) != Some(life.boot) {
            continue;
        }
        let until = own.end.min(own.told.unwrap_or(u64::MAX)).min(judge.end);
        let known = views.iter().find(|v| v.0 > life.end && v.1 != Some(life.boot)).map(|v| v.0);
        // Only time in which it could hear of it counts.
        let last = known.unwrap_or(until).min(until);
        let informed = judge.stretches(|at| (at < last && judge.informed(viewer, at)).then_some(()));
        let within = |(from, to, ()): &(u64, u64, ())| to.min(&last).saturating_sub(*from.max(&life.end));
        let heard: u64 = informed.iter().map(within).sum();
        let whole = heard + 1000 >= last - life.end;
        if let Some(known) = known.filter(|k| *k <= until && whole) {
            verdict.death_known.push(known - life.end);
        }
        if heard > KNOWN_US + SLACK_US {
            let what = format!("{:08x} is held for {:.1} s after its end", life.boot, heard as f64 / 1e6);
            verdict.find(Wrong::NotForgotten, last, (viewer, place), what);
        }
    }
}

/// After each heal and each wake, how long it took until all that run held one another alive.
fn agreements(judge: &Judge, logs: &[Vec<(u64, String)>], verdict: &mut TierVerdict) {
    let mut begun: Vec<u64> = Vec::new();
    for pair in judge.links.windows(2) {
        if !pair[0].1.whole() && pair[1].1.calm() {
            begun.push(pair[1].0);
        }
    }
    begun.extend(judge.pauses.iter().flatten().map(|p| p.1).filter(|at| *at < judge.end));
    for at in begun.into_iter().filter(|at| judge.links(*at).calm()) {
        let next = judge.moments.iter().copied().find(|m| *m > at).unwrap_or(judge.end);
        let running: Vec<usize> = (0..judge.places).filter(|p| judge.runs(*p, at)).collect();
        let mut last = at;
        for viewer in &running {
            let lines = logs.get(*viewer).map_or(&[][..], Vec::as_slice);
            let alive = lines.iter().filter(|(t, _)| (at..next).contains(t));
            let alive = alive.filter_map(|(t, line)| said(*t, line)).filter(|s| s.state == "alive");
            last = alive.filter(|s| running.contains(&s.place)).map(|s| s.at).fold(last, u64::max);
        }
        verdict.agreed.push(last - at);
    }
}

/// What the records of a run say of its proxies.
pub fn facts(records: &[Record]) -> Vec<(u64, Fact)> {
    let fact = |r: &Record| match &r.event {
        Event::ProxyUp { proxy } => Some(Fact::Up(*proxy)),
        Event::ProxyKilled { proxy } | Event::ProxyEnded { proxy, .. } => Some(Fact::Ended(*proxy)),
        Event::ProxyStopped { proxy } => Some(Fact::Stopped(*proxy)),
        Event::ProxyContinued { proxy } => Some(Fact::Continued(*proxy)),
        Event::ProxyTerminated { proxy } => Some(Fact::Terminated(*proxy)),
        Event::Network { links } => Some(Fact::Links(links.clone())),
        _ => None,
    };
    records.iter().filter_map(|r| fact(r).map(|f| (r.at, f))).collect()
}

/// A line of a proxy's log with its moment; `None` where it has none. `start`: the run's, in Unix microseconds.
pub fn timed(line: &str, start: u64) -> Option<(u64, String)> {
    let stamp = line.split_whitespace().next()?;
    let (date, time) = stamp.strip_suffix('Z')?.split_once('T')?;
    let numbers =
        |text: &str, by: char| text.split(by).map(|n| n.parse::<f64>().ok()).collect::<Option<Vec<_>>>();
    let (date, time) = (numbers(date, '-')?, numbers(time, ':')?);
    let ([year, month, day], [hours, minutes, seconds]) =
        (date[..].try_into().ok()?, time[..].try_into().ok()?);
    // Days since 1970 in years that begin in March: the leap day is their last.
    let (y, m): (f64, f64) = if month > 2.0 { (year, month - 3.0) } else { (year - 1.0, month + 9.0) };
    let leaps = (y / 4.0).floor() - (y / 100.0).floor() + (y / 400.0).floor();
    let days = 365.0 * y + leaps + ((153.0 * m + 2.0) / 5.0).floor() + day - 719_469.0;
    let whole = ((days * 24.0 + hours) * 60.0 + minutes) * 60.0;
    let us = whole as u64 * 1_000_000 + (seconds * 1e6).round() as u64;
    Some((us.saturating_sub(start), line.to_string()))
}

#[cfg(test)]
mod tests;
