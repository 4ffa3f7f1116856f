//! The auditor of requests: reads the records of the stand-ins and checks the four rules. Nothing else in this
//! repository's tests decides whether they were kept.
//!
//! 1. Lost ([`answers`]): every request that was taken has exactly one final response, in time, made for it.
//! 2. Twice ([`repeats`]): what may have run is sent again, or rejected, only as its class allows.
//! 3. Drains ([`drains`]): nothing new goes to a node after the grace, once its proxy was told.
//! 4. Slow start ([`slow_start`]): no node that has just started is sent more than its budget in any window.
//!
//! An auditor that sees nothing finds nothing: a verdict is clean only where it rests on records of all sorts.

mod answers;
mod drains;
mod figures;
mod regions;
mod repeats;
mod slow_start;
mod verdict;

pub use verdict::{ClassFigures, Finding, RegionFigures, Verdict, Violation};

use crate::record::{Boot, Event, Moment, NodeState, Record};
use crate::scenario::Scenario;
use std::collections::{BTreeMap, HashMap};

/// An attempt of a client to have a request served.
struct ClientAttempt<'a> {
    /// The last byte of the request was written.
    sent: &'a Record,
    proxy: usize,
    class: usize,
    patience_us: u64,
    /// Everything that ended it: one record, unless a rule is broken.
    ended: Vec<&'a Record>,
}

/// An attempt of a proxy, as its node saw it.
struct Attempt<'a> {
    /// Its first byte came.
    arriving: &'a Record,
    boot: Boot,
    proxy: usize,
    /// Its last byte came.
    received: Option<&'a Record>,
    work_us: u64,
    /// The node refused it unprocessed.
    rejected: Option<Moment>,
    /// The node wrote a 200.
    replied: bool,
}

impl<'a> Attempt<'a> {
    /// An attempt of which nothing but its first byte has come.
    fn arriving(arriving: &'a Record, boot: Boot, proxy: usize) -> Attempt<'a> {
        Attempt { arriving, boot, proxy, received: None, work_us: 0, rejected: None, replied: false }
    }
}

/// A state of a node, published by a proxy's discovery or delivered to that proxy.
struct NodeReport<'a> {
    proxy: usize,
    boot: Boot,
    state: NodeState,
    delivered: bool,
    record: &'a Record,
}

/// A process of a node.
struct NodeFacts {
    up: Moment,
    zone: usize,
    speed: f64,
    initial_capacity: f64,
    slow_start_us: f64,
}

/// Checks the records of a scenario, of which `dropped` are missing.
pub fn audit(s: &Scenario, records: &[Record], dropped: u64) -> Verdict {
    let mut auditor = Auditor::read(s, records);
    auditor.check_answers();
    auditor.check_repeats();
    auditor.check_drains();
    auditor.check_slow_start();
    auditor.check_regions();
    auditor.compute_same_zone_fraction();
    auditor.compute_figures();
    auditor.check_evidence(dropped);
    auditor.verdict
}

/// The records by request, attempt, node and proxy, and what was found so far.
struct Auditor<'a> {
    s: &'a Scenario,
    /// Tolerance of every limit in time, in microseconds.
    slack: u64,
    /// By request.
    client_attempts: BTreeMap<u64, Vec<ClientAttempt<'a>>>,
    /// Attempts that reached no proxy: when, id of the first attempt, class.
    unreachable: Vec<(Moment, u64, usize)>,
    /// By request, the id of its first attempt.
    first_attempt_ids: HashMap<u64, u64>,
    attempts: BTreeMap<u64, Attempt<'a>>,
    /// By request, its attempts that nodes received.
    by_request: HashMap<u64, Vec<u64>>,
    nodes: HashMap<Boot, NodeFacts>,
    /// Proxy, when it was killed or stopped, and when it was continued.
    proxy_outages: Vec<(usize, Moment, Moment)>,
    /// Proxy, and when it was started.
    proxy_starts: Vec<(usize, Moment)>,
    /// In the order of time.
    reports: Vec<NodeReport<'a>>,
    /// By key, how often it took effect.
    effects: HashMap<u64, u64>,
    records: &'a [Record],
    verdict: Verdict,
}

impl<'a> Auditor<'a> {
    fn read(s: &'a Scenario, records: &'a [Record]) -> Auditor<'a> {
        let mut a = Auditor {
            s,
            slack: (s.rules.slack_ms * 1e3) as u64,
            client_attempts: BTreeMap::new(),
            unreachable: Vec::new(),
            first_attempt_ids: HashMap::new(),
            attempts: BTreeMap::new(),
            by_request: HashMap::new(),
            nodes: HashMap::new(),
            proxy_outages: Vec::new(),
            proxy_starts: Vec::new(),
            reports: Vec::new(),
            effects: HashMap::new(),
            records,
            verdict: Verdict::default(),
        };
        for record in records {
            a.read_record(record);
        }
        a
    }

    fn read_record(&mut self, record: &'a Record) {
        let at = record.at;
        match &record.event {
            Event::ProxyUp { proxy } => self.proxy_starts.push((*proxy, at)),
            Event::ProxyKilled { proxy } | Event::ProxyStopped { proxy } => {
                self.proxy_outages.push((*proxy, at, Moment::MAX));
            }
            Event::ProxyContinued { proxy } => {
                let last = self.proxy_outages.iter_mut().rev().find(|outage| outage.0 == *proxy);
                last.into_iter().for_each(|outage| outage.2 = at);
            }
            Event::ProxyEnded { proxy, clean: false } => {
                let text = format!("proxy {proxy} ended by itself or had to be killed");
                self.record_finding(Violation::Crash, text, vec![record]);
            }
            Event::ProxyEnded { .. }
            | Event::ProxyTerminated { .. }
            | Event::Network { .. }
            | Event::NodeDown { .. } => {}
            Event::NodeUp { boot, zone, speed, initial_capacity, slow_start_us } => {
                let (zone, speed, initial_capacity) = (*zone, *speed, *initial_capacity);
                let slow_start_us = *slow_start_us as f64;
                self.nodes.insert(*boot, NodeFacts { up: at, zone, speed, initial_capacity, slow_start_us });
            }
            Event::NodeFell { .. } => self.verdict.overload_crashes += 1,
            Event::Published { proxy, boot, state } => {
                self.read_report(record, (*proxy, *boot), *state, false);
            }
            Event::Delivered { proxy, boot, state } => {
                self.read_report(record, (*proxy, *boot), *state, true);
            }
            Event::RequestSent { proxy, id, first, class, patience_us, .. } => {
                let (proxy, class, patience_us) = (*proxy, *class, *patience_us);
                self.first_attempt_ids.insert(*id, *first);
                let sent = ClientAttempt { sent: record, proxy, class, patience_us, ended: Vec::new() };
                self.client_attempts.entry(*id).or_default().push(sent);
            }
            Event::Unreachable { first, class, .. } => self.unreachable.push((at, *first, *class)),
            Event::Answered { id, .. }
            | Event::Surplus { id }
            | Event::Broken { id, .. }
            | Event::Unanswered { id }
            | Event::ClientDisconnected { id } => {
                let last = self.client_attempts.get_mut(id).and_then(|sent| sent.last_mut());
                last.into_iter().for_each(|attempt| attempt.ended.push(record));
            }
            Event::Arriving { attempt, boot, proxy } => {
                self.attempts.insert(*attempt, Attempt::arriving(record, *boot, *proxy));
            }
            Event::Received { attempt, id, work_us } => {
                if let Some(known) = self.attempts.get_mut(attempt) {
                    (known.received, known.work_us) = (Some(record), *work_us);
                    self.verdict.attempts += 1;
                    self.by_request.entry(*id).or_default().push(*attempt);
                }
            }
            Event::Rejected { attempt } => {
                self.attempts.get_mut(attempt).into_iter().for_each(|known| known.rejected = Some(at));
            }
            Event::Effect { key, .. } => *self.effects.entry(*key).or_default() += 1,
            Event::Replied { attempt, status } => {
                self.attempts.get_mut(attempt).into_iter().for_each(|known| known.replied = *status == 200);
            }
            Event::Unexpected { .. } => self.verdict.unexpected += 1,
        }
    }

    fn read_report(
        &mut self, record: &'a Record, (proxy, boot): (usize, Boot), state: NodeState, delivered: bool,
    ) {
        self.reports.push(NodeReport { proxy, boot, state, delivered, record });
    }

    fn record_finding(&mut self, violation: Violation, text: String, records: Vec<&Record>) {
        let records = records.into_iter().cloned().collect();
        self.verdict.findings.push(Finding { violation, text, records });
    }

    /// Whether a proxy was killed or stopped at some moment of a span. What it received while it was stopped waits, and
    /// may be late after that.
    fn was_unavailable(&self, proxy: usize, from: Moment, to: Moment) -> bool {
        let back = |killed: Moment| {
            let next = self.proxy_starts.iter().filter(|s| s.0 == proxy && s.1 > killed).map(|s| s.1).min();
            next.unwrap_or(Moment::MAX)
        };
        self.proxy_outages
            .iter()
            .any(|(p, gone, on)| *p == proxy && *gone <= to && back(*gone).min(*on) >= from)
    }
}

/// Mean work of a request over all classes, in microseconds of a standard core.
pub fn mean_work_us(s: &Scenario) -> f64 {
    let shares: f64 = s.classes.iter().map(|c| c.weight).sum();
    s.classes.iter().map(|c| c.weight / shares * c.work_ms * 1e3).sum()
}

#[cfg(test)]
mod tests;
