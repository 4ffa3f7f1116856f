//! The findings and figures of an audit.

use crate::record::{Moment, Record};
use std::collections::BTreeMap;
use std::fmt;

/// Kind of violation of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// A request had no final response.
    Lost,
    /// A request had more than one final response, or bytes followed it.
    AnsweredTwice,
    /// A response came after the client's deadline.
    AnsweredLate,
    /// A request was served with a response that no node produced for it.
    Foreign,
    /// A request was sent to a node after its final response, or after its client had disconnected.
    SentAfterAnswer,
    /// An unsafe request that may have run was retried.
    UnsafeRepeated,
    /// A keyed request that may have run was retried outside its zone or its window.
    KeyedRepeated,
    /// A keyed or unsafe request was rejected though it may have run.
    RefusedAfterRun,
    /// A node was sent a new request after the grace period of its drain.
    Drain,
    /// A node in slow start was sent more than its budget.
    SlowStartOverload,
    /// A request returned to a region on its path, or made too many hops.
    Looped,
    /// More requests left for a region within a second than the budget of all proxies allows.
    OverBudget,
    /// A proxy's process exited unexpectedly, failed at shutdown or had to be killed.
    Crash,
}

impl Violation {
    /// Number of the broken rule; a crash, a loop and an exceeded budget count for rule 1.
    pub fn rule(self) -> u8 {
        match self {
            Violation::Lost
            | Violation::AnsweredTwice
            | Violation::AnsweredLate
            | Violation::Foreign
            | Violation::SentAfterAnswer
            | Violation::Looped
            | Violation::OverBudget
            | Violation::Crash => 1,
            Violation::UnsafeRepeated | Violation::KeyedRepeated | Violation::RefusedAfterRun => 2,
            Violation::Drain => 3,
            Violation::SlowStartOverload => 4,
        }
    }
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The kind of violation.
    pub violation: Violation,
    /// A description for people.
    pub text: String,
    /// The records that show it.
    pub records: Vec<Record>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "rule {}, {:?}: {}", self.violation.rule(), self.violation, self.text)?;
        for record in &self.records {
            writeln!(f, "    {:>10.3} s  {:?}", record.at as f64 / 1e6, record.event)?;
        }
        Ok(())
    }
}

/// Figures of a class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// Requests, each counted once.
    pub requests: u64,
    /// Requests that were served within the latency objective, by any attempt.
    pub in_time: u64,
    /// Attempts of clients.
    pub attempts: u64,
    /// Number of responses, by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Weight of a request.
    pub priority_weight: f64,
}

/// Figures of a region's clients.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionFigures {
    /// Weight that was served in time over weight that was requested.
    pub g: f64,
    /// By class, the fraction of its weight that was served in time.
    pub in_time: Vec<f64>,
    /// Requests of its clients that other regions' nodes received.
    pub spilled: u64,
    /// Most requests that left the region for one other region within a second.
    pub max_spilled_per_s: usize,
    /// Times at which its nodes received the first and the last request of another region.
    pub inbound_span: Option<(Moment, Moment)>,
}

/// The result of an audit.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Every broken rule.
    pub findings: Vec<Finding>,
    /// Reasons why the records do not suffice for a verdict; empty if they do.
    pub inconclusive: Vec<String>,
    /// Weight that was served in time over weight that was requested.
    pub g: f64,
    /// The same fraction for the worst ten seconds, by the time of the first attempt.
    pub worst_10s: f64,
    /// Figures by class.
    pub classes: Vec<ClassFigures>,
    /// Figures by region; empty if there is only one region.
    pub regions: Vec<RegionFigures>,
    /// Attempts that nodes received.
    pub attempts: u64,
    /// Fraction of the served attempts that stayed in their proxy's zone.
    pub same_zone_fraction: f64,
    /// Keys of keyed and unsafe requests that took effect more than once, by a retry of a proxy or of a client.
    pub double_effects: u64,
    /// Nodes that crashed by overload in slow start.
    pub overload_crashes: u64,
    /// Messages that a stand-in could not process, and failures of a stand-in.
    pub unexpected: u64,
    /// Requests whose connection ended before they were forwarded.
    pub closed_unread: u64,
}

impl Verdict {
    /// Whether no rule was broken and the records suffice to decide that.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty() && self.inconclusive.is_empty()
    }

    /// Number of findings of one kind.
    pub fn count(&self, violation: Violation) -> usize {
        self.findings.iter().filter(|f| f.violation == violation).count()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let limit = 5;
        for finding in self.findings.iter().take(limit) {
            write!(f, "{finding}")?;
        }
        if self.findings.len() > limit {
            writeln!(f, "... and {} findings more", self.findings.len() - limit)?;
        }
        for reason in &self.inconclusive {
            writeln!(f, "no verdict: {reason}")?;
        }
        writeln!(
            f,
            "G {:.3}, worst 10 s {:.3}; {} attempts, {:.2} of the answered near, {} double effects, {} fallen nodes, \
             {} closed unread, {} strange",
            self.g, self.worst_10s, self.attempts, self.same_zone_fraction, self.double_effects, self.overload_crashes, self.closed_unread, self.unexpected
        )?;
        for c in &self.classes {
            let part = c.in_time as f64 / c.requests.max(1) as f64;
            let statuses: Vec<String> = c.statuses.iter().map(|(s, n)| format!("{s}: {n}")).collect();
            let (asked, tries) = (c.requests, c.attempts);
            writeln!(
                f,
                "  {:<10} {asked} asked, {part:.3} in time, {tries} tries; {}",
                c.name,
                statuses.join(", ")
            )?;
        }
        for (region, r) in self.regions.iter().enumerate() {
            let (name, g, left, most) = (crate::regions::name(region), r.g, r.spilled, r.max_spilled_per_s);
            writeln!(f, "  {name:<10} G {g:.3}; {left} left, {most} within a second at most")?;
        }
        let verdict = if self.is_clean() { "the four rules were kept" } else { "NOT CLEAN" };
        writeln!(f, "{verdict}")
    }
}
