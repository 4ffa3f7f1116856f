//! The auditor of membership: whether proxies that know one another hold what is true, by their logs against what
//! happened to them.
//!
//! What a proxy holds of another is read from its log alone, one line a transition. A pair is audited only while both
//! run and the network between them loses nothing and connects them, directly or over a third. Rules:
//!
//! - a process that can be reached is held alive, in its present incarnation, at the latest [`CONVERGENCE_US`] after
//!   that became possible, and from then on;
//! - one that has ended is held alive no longer than [`DETECTION_US`];
//! - nobody goes back to a former incarnation, holds one alive that never was, or calls one departed that did not leave;
//! - no two processes have one boot number.

mod checks;
mod history;
mod log_parser;

pub use log_parser::parse_timed_line;

use crate::datagrams::Links;
use crate::record::{Event, Record};
use checks::{check_agreement, check_pair};
use history::TierHistory;
use log_parser::{parse_view, LoggedView};
use std::collections::HashMap;
use std::fmt;

/// Most time until all agree after a start, a repaired network or a continued process.
pub const CONVERGENCE_US: u64 = 3_000_000;

/// Most time until the end of a process is known to all.
pub const DETECTION_US: u64 = 6_000_000;

/// Tolerance for the scheduling of real processes and their logs.
pub const SLACK_US: u64 = 500_000;

/// How long two processes must have reached each other for a death to be a false one.
const FALSE_DEATH_REACH_US: u64 = 1_000_000;

/// Most findings with their text; further ones are only counted.
const MAX_FINDINGS: usize = 50;

/// What happened to a process, by its index, or to the network.
#[derive(Clone, Debug, PartialEq)]
pub enum TierEvent {
    /// It was started.
    Up(usize),
    /// It was stopped.
    Stopped(usize),
    /// It was continued.
    Continued(usize),
    /// It was asked to end in order.
    Terminated(usize),
    /// It has ended.
    Ended(usize),
    /// The state of the network from now on.
    Links(Links),
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TierViolation {
    /// A process that runs and can be reached is not held alive.
    NotSeen,
    /// A process that has ended is held alive.
    NotForgotten,
    /// A former incarnation was held alive after a later one.
    WentBack,
    /// An incarnation was held alive that never existed.
    Invented,
    /// A process is held departed that did not leave.
    NeverDeparted,
    /// Two processes have one boot number.
    OldBoot,
}

/// One case of a broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct TierFinding {
    /// The rule.
    pub violation: TierViolation,
    /// Time from the start, in microseconds.
    pub at: u64,
    /// The viewer and the process that it holds a view of.
    pub pair: (usize, usize),
    /// A description for people.
    pub description: String,
}

/// The result of an audit; times are in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierVerdict {
    /// The first findings.
    pub findings: Vec<TierFinding>,
    /// Number of findings, by rule.
    pub counts: HashMap<TierViolation, usize>,
    /// Time from each end of a process until a survivor knew of it, by survivor.
    pub death_known: Vec<u64>,
    /// Time from each start (the first line of its log) until another proxy knew of it, by proxy.
    pub start_known: Vec<u64>,
    /// Time from each repaired network and each continued process until all held one another alive.
    pub agreed: Vec<u64>,
    /// Number of times that a process was held dead that ran and could be reached all the last second.
    pub false_deaths: u64,
    /// The first of them.
    pub first_false_deaths: Vec<TierFinding>,
    /// Time for which pairs could be audited, in pair-seconds.
    pub audited_pair_s: f64,
}

impl TierVerdict {
    /// No rule was broken, and some pair could be audited.
    pub fn is_clean(&self) -> bool {
        self.counts.is_empty() && self.audited_pair_s > 0.0
    }

    /// Number of findings of one rule.
    pub fn count(&self, violation: TierViolation) -> usize {
        self.counts.get(&violation).copied().unwrap_or(0)
    }

    /// Joined with the verdict on another tier.
    fn merged_with(mut self, other: TierVerdict) -> TierVerdict {
        other.counts.into_iter().for_each(|(violation, n)| *self.counts.entry(violation).or_default() += n);
        self.findings.extend(other.findings);
        self.death_known.extend(other.death_known);
        self.start_known.extend(other.start_known);
        self.agreed.extend(other.agreed);
        self.first_false_deaths.extend(other.first_false_deaths);
        self.false_deaths += other.false_deaths;
        self.audited_pair_s += other.audited_pair_s;
        self
    }

    fn add_finding(&mut self, violation: TierViolation, at: u64, pair: (usize, usize), description: String) {
        *self.counts.entry(violation).or_default() += 1;
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(TierFinding { violation, at, pair, description });
        }
    }
}

impl fmt::Display for TierVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for found in self.findings.iter().take(5) {
            let (viewer, of) = found.pair;
            writeln!(
                f,
                "{:9.3} s  {:?}: {viewer} of {of}: {}",
                found.at as f64 / 1e6,
                found.violation,
                found.description
            )?;
        }
        for m in self.first_false_deaths.iter().take(5) {
            let (viewer, of) = m.pair;
            writeln!(
                f,
                "{:9.3} s  for a while {viewer} held {of} dead: {}",
                m.at as f64 / 1e6,
                m.description
            )?;
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
            self.audited_pair_s,
            s(&self.death_known, 0.95),
            s(&self.death_known, 1.0),
            self.death_known.len(),
            self.false_deaths,
        )
    }
}

/// The value below which that fraction of them lies; 0 of none.
pub fn quantile(times: &[u64], part: f64) -> u64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    let at = ((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1));
    times.get(at).copied().unwrap_or(0)
}

/// Checks logs (by index, each line with its time) against what happened, both in the order of time.
pub fn audit_tier(
    size: usize, events: &[(u64, TierEvent)], logs: &[Vec<(u64, String)>], end: u64,
) -> TierVerdict {
    let history = TierHistory::new(size, events, logs, end);
    let mut verdict = TierVerdict::default();
    for (index, incarnations) in history.incarnations.iter().enumerate() {
        let mut seen = HashMap::new();
        for incarnation in incarnations.iter().filter(|l| l.boot != 0) {
            if let Some(before) = seen.insert(incarnation.boot, incarnation.logged_at) {
                let description =
                    format!("boot {:08x} spoke at {:.3} s already", incarnation.boot, before as f64 / 1e6);
                verdict.add_finding(
                    TierViolation::OldBoot,
                    incarnation.logged_at,
                    (index, index),
                    description,
                );
            }
        }
    }
    for viewer in 0..size {
        let lines = logs.get(viewer).map_or(&[][..], Vec::as_slice);
        let all: Vec<LoggedView> = lines.iter().filter_map(|(at, line)| parse_view(*at, line)).collect();
        for index in (0..size).filter(|p| *p != viewer) {
            let logged_views: Vec<&LoggedView> = all.iter().filter(|s| s.index == index).collect();
            check_pair(&history, viewer, index, &logged_views, &mut verdict);
        }
    }
    check_agreement(&history, logs, &mut verdict);
    verdict
}

/// The same for several tiers that do not know one another, each by its members.
pub fn audit_tiers(
    tiers: &[Vec<usize>], events: &[(u64, TierEvent)], logs: &[Vec<(u64, String)>], end: u64,
) -> TierVerdict {
    let one = |members: &Vec<usize>| {
        let index = |p: usize| members.iter().position(|m| *m == p);
        let tier_event = |tier_event: &TierEvent| match tier_event {
            TierEvent::Up(p) => index(*p).map(TierEvent::Up),
            TierEvent::Stopped(p) => index(*p).map(TierEvent::Stopped),
            TierEvent::Continued(p) => index(*p).map(TierEvent::Continued),
            TierEvent::Terminated(p) => index(*p).map(TierEvent::Terminated),
            TierEvent::Ended(p) => index(*p).map(TierEvent::Ended),
            TierEvent::Links(links) => Some(TierEvent::Links(links.among(members))),
        };
        let events: Vec<(u64, TierEvent)> =
            events.iter().filter_map(|(at, f)| Some((*at, tier_event(f)?))).collect();
        let logs: Vec<_> = members.iter().filter_map(|m| logs.get(*m).cloned()).collect();
        audit_tier(members.len(), &events, &logs, end)
    };
    tiers.iter().map(one).fold(TierVerdict::default(), TierVerdict::merged_with)
}

/// The facts of a run's proxies, from its records.
pub fn tier_events(records: &[Record]) -> Vec<(u64, TierEvent)> {
    let tier_event = |r: &Record| match &r.event {
        Event::ProxyUp { proxy } => Some(TierEvent::Up(*proxy)),
        Event::ProxyKilled { proxy } | Event::ProxyEnded { proxy, .. } => Some(TierEvent::Ended(*proxy)),
        Event::ProxyStopped { proxy } => Some(TierEvent::Stopped(*proxy)),
        Event::ProxyContinued { proxy } => Some(TierEvent::Continued(*proxy)),
        Event::ProxyTerminated { proxy } => Some(TierEvent::Terminated(*proxy)),
        Event::Network { links } => Some(TierEvent::Links(links.clone())),
        _ => None,
    };
    records.iter().filter_map(|r| tier_event(r).map(|f| (r.at, f))).collect()
}

#[cfg(test)]
mod tests;
