//! The audit of requests: reads the records of the stand-ins and checks the four rules. It is the only check of these
//! rules on whole runs.
//!
//! 1. Lost ([`answers`]): every accepted request has exactly one final response, in time, produced for that request.
//! 2. Twice ([`repeats`]): a request that may have run is retried, or rejected, only as its class allows.
//! 3. Drains ([`drains`]): a proxy sends no new request to a node after the grace period that follows the delivery of
//!    the node's drain.
//! 4. Slow start ([`slow_start`]): no node that has just started is sent more than its budget in any window.
//!
//! Missing records could hide violations: a verdict is clean only if records of every kind are present.

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

/// An attempt of a client.
struct ClientAttempt<'a> {
    /// The record of the last byte that the client wrote.
    sent: &'a Record,
    proxy: usize,
    class: usize,
    patience_us: u64,
    /// Records that end the attempt: one, unless a rule is broken.
    ended: Vec<&'a Record>,
}

/// An attempt of a proxy, as recorded by the node.
struct Attempt<'a> {
    /// The record of its first byte.
    arriving: &'a Record,
    boot: Boot,
    proxy: usize,
    /// The record of its last byte.
    received: Option<&'a Record>,
    work_us: u64,
    /// Time at which the node rejected it unprocessed.
    rejected: Option<Moment>,
    /// Whether the node wrote a 200.
    replied: bool,
}

impl<'a> Attempt<'a> {
    /// An attempt of which only the first byte has arrived.
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

/// Checks the records of a run; `dropped` is the number of records that the journal dropped.
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

/// The records by request, attempt, node and proxy, and the verdict so far.
struct Auditor<'a> {
    s: &'a Scenario,
    /// Tolerance of every time limit, in microseconds.
    slack: u64,
    /// Attempts of clients, by request id.
    client_attempts: BTreeMap<u64, Vec<ClientAttempt<'a>>>,
    /// Attempts that reached no proxy: time, id of the first attempt, class.
    unreachable: Vec<(Moment, u64, usize)>,
    /// Id of the request's first attempt, by the id of each attempt.
    first_attempt_ids: HashMap<u64, u64>,
    attempts: BTreeMap<u64, Attempt<'a>>,
    /// Attempts that nodes received, by request id.
    by_request: HashMap<u64, Vec<u64>>,
    nodes: HashMap<Boot, NodeFacts>,
    /// Proxy, time at which it was killed or stopped, and time at which it was continued.
    proxy_outages: Vec<(usize, Moment, Moment)>,
    /// Proxy, and time at which it was started.
    proxy_starts: Vec<(usize, Moment)>,
    /// Reports in the order of their times.
    reports: Vec<NodeReport<'a>>,
    /// Number of effects, by idempotency key.
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

    /// Whether a proxy was killed or stopped at any time in a span. Requests that arrive while it is stopped wait, so
    /// their responses may be late.
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

/// Mean work of a request over all classes, in microseconds on a standard core.
pub fn mean_work_us(s: &Scenario) -> f64 {
    let shares: f64 = s.classes.iter().map(|c| c.weight).sum();
    s.classes.iter().map(|c| c.weight / shares * c.work_ms * 1e3).sum()
}

#[cfg(test)]
mod tests;
