//! The audit of membership: checks the views of the proxies of a tier, from their logs, against the events of the run.
//!
//! The view that a proxy has of another is read from its log alone, which has one line per transition. A pair is
//! audited only while both run and the network between them is lossless and connects them, directly or through a third
//! proxy. Rules:
//!
//! - a reachable process is seen as alive, in its current incarnation, at most [`CONVERGENCE_US`] after it became
//!   reachable, and from then on;
//! - a process that has ended is seen as alive for at most [`DETECTION_US`];
//! - no view returns to a former incarnation, shows an incarnation as alive that never existed, or shows a process as
//!   departed that did not leave;
//! - no two processes have the same boot number.

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

/// Maximum time until all views agree after a start, a repaired network or a continued process.
pub const CONVERGENCE_US: u64 = 3_000_000;

/// Maximum time until all proxies have detected the end of a process.
pub const DETECTION_US: u64 = 6_000_000;

/// Tolerance for the scheduling of real processes and their logs.
pub const SLACK_US: u64 = 500_000;

/// Time for which two processes must have reached each other for a detected death to count as false.
const FALSE_DEATH_REACH_US: u64 = 1_000_000;

/// Maximum number of findings that are kept with their text; further ones are only counted.
const MAX_FINDINGS: usize = 50;

/// An event of a process, by its index, or of the network.
#[derive(Clone, Debug, PartialEq)]
pub enum TierEvent {
    /// It was started.
    Up(usize),
    /// It was stopped.
    Stopped(usize),
    /// It was continued.
    Continued(usize),
    /// It was asked to terminate (SIGTERM).
    Terminated(usize),
    /// It has ended.
    Ended(usize),
    /// The state of the network from now on.
    Links(Links),
}

/// A violated rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TierViolation {
    /// A process that runs and is reachable is not seen as alive.
    NotSeen,
    /// A process that has ended is seen as alive.
    NotForgotten,
    /// A former incarnation was seen as alive after a later one.
    WentBack,
    /// An incarnation that never existed was seen as alive.
    Invented,
    /// A process that did not leave is seen as departed.
    NeverDeparted,
    /// Two processes have the same boot number.
    OldBoot,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct TierFinding {
    /// The rule.
    pub violation: TierViolation,
    /// Time from the start, in microseconds.
    pub at: u64,
    /// The viewer and the viewed process.
    pub pair: (usize, usize),
    /// A description for the printed verdict.
    pub description: String,
}

/// The result of an audit; times are in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierVerdict {
    /// The first findings.
    pub findings: Vec<TierFinding>,
    /// Number of findings, by rule.
    pub counts: HashMap<TierViolation, usize>,
    /// Time from each end of a process until its detection by a survivor, one entry per survivor.
    pub death_known: Vec<u64>,
    /// Time from each start (the first line of the log) until another proxy saw the process as alive, one entry per
    /// proxy.
    pub start_known: Vec<u64>,
    /// Time from each repaired network and each continued process until all proxies saw one another as alive.
    pub agreed: Vec<u64>,
    /// Number of times that a process was seen as dead that had run and been reachable throughout the last second.
    pub false_deaths: u64,
    /// The first of the false deaths.
    pub first_false_deaths: Vec<TierFinding>,
    /// Time for which pairs were audited, in pair-seconds.
    pub audited_pair_s: f64,
}

impl TierVerdict {
    /// Whether no rule was violated and at least one pair was audited.
    pub fn is_clean(&self) -> bool {
        self.counts.is_empty() && self.audited_pair_s > 0.0
    }

    /// Number of findings of one rule.
    pub fn count(&self, violation: TierViolation) -> usize {
        self.counts.get(&violation).copied().unwrap_or(0)
    }

    /// Combines two verdicts on different tiers.
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

/// The quantile of a list of times; 0 if it is empty.
pub fn quantile(times: &[u64], part: f64) -> u64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    let at = ((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1));
    times.get(at).copied().unwrap_or(0)
}

/// Audits logs (by index, each line with its time) against the events, both ordered by time.
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

/// Audits several independent tiers, each given by its members.
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
            TierEvent::Links(links) => Some(TierEvent::Links(links.restricted_to(members))),
        };
        let events: Vec<(u64, TierEvent)> =
            events.iter().filter_map(|(at, f)| Some((*at, tier_event(f)?))).collect();
        let logs: Vec<_> = members.iter().filter_map(|m| logs.get(*m).cloned()).collect();
        audit_tier(members.len(), &events, &logs, end)
    };
    tiers.iter().map(one).fold(TierVerdict::default(), TierVerdict::merged_with)
}

/// The events of a run's proxies and their network, from its records.
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
