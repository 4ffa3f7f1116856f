//! Figures of a run beside the rules, and the check that the records suffice for a verdict.

use super::{Attempt, Auditor, ClassFigures};
use crate::record::{Event, Moment};
use crate::scenario::Class;
use std::collections::HashMap;

/// Length of the windows for the worst-window figure.
const WINDOW_US: Moment = 10_000_000;

/// A request over all its attempts.
struct RequestFigures {
    sent: Moment,
    class: usize,
    region: usize,
    in_time: bool,
}

impl Auditor<'_> {
    /// Computes the fraction of served attempts that stayed in the proxy's zone.
    pub(super) fn compute_same_zone_fraction(&mut self) {
        let replied = || self.attempts.values().filter(|a| a.replied);
        let same_zone =
            |a: &&Attempt| self.nodes.get(&a.boot).is_some_and(|n| n.zone == a.proxy % self.s.zones);
        let (same_zone, all) = (replied().filter(same_zone).count(), replied().count());
        self.verdict.same_zone_fraction = same_zone as f64 / all.max(1) as f64;
    }

    pub(super) fn compute_figures(&mut self) {
        let requests = self.requests();
        let mut classes = self.class_figures();
        for request in requests.values() {
            classes[request.class].requests += 1;
            classes[request.class].in_time += u64::from(request.in_time);
        }
        let mut regions = std::mem::take(&mut self.verdict.regions);
        for (region, figures) in regions.iter_mut().enumerate() {
            let own = || requests.values().filter(move |request| request.region == region);
            figures.g = self.weight_in_time(own());
            let of_class = |class: usize| self.weight_in_time(own().filter(move |r| r.class == class));
            figures.in_time = (0..self.s.classes.len()).map(of_class).collect();
        }
        self.verdict.regions = regions;
        self.verdict.g = self.weight_in_time(requests.values());
        self.verdict.worst_10s = self.worst_window(&requests).min(self.verdict.g);
        self.verdict.classes = classes;
        self.verdict.double_effects = self.effects.values().filter(|count| **count > 1).count() as u64;
    }

    /// All requests, by the id of their first attempt.
    fn requests(&self) -> HashMap<u64, RequestFigures> {
        let mut requests: HashMap<u64, RequestFigures> = HashMap::new();
        let mut record = |first: u64, sent: Moment, class: usize, region: usize| {
            let new = RequestFigures { sent, class, region, in_time: false };
            let request = requests.entry(first).or_insert(new);
            request.sent = request.sent.min(sent);
        };
        for (at, first, class) in &self.unreachable {
            record(*first, *at, *class, 0);
        }
        for (id, attempts) in &self.client_attempts {
            for attempt in attempts {
                record(
                    self.first_attempt_ids[id],
                    attempt.sent.at,
                    attempt.class,
                    self.s.region(attempt.proxy),
                );
            }
        }
        for (id, attempts) in &self.client_attempts {
            let objective_us = (self.s.classes[attempts[0].class].objective_ms * 1e3) as u64;
            for end in attempts.iter().flat_map(|attempt| &attempt.ended) {
                let Event::Answered { status: 200, .. } = end.event else { continue };
                if let Some(request) = requests.get_mut(&self.first_attempt_ids[id]) {
                    request.in_time |= end.at <= request.sent + objective_us;
                }
            }
        }
        requests
    }

    /// Attempts of clients and statuses of their responses, by class.
    fn class_figures(&self) -> Vec<ClassFigures> {
        let of_class = |class: &Class| ClassFigures {
            name: class.name.clone(),
            priority_weight: class.priority_weight,
            ..ClassFigures::default()
        };
        let mut classes: Vec<ClassFigures> = self.s.classes.iter().map(of_class).collect();
        for attempts in self.client_attempts.values() {
            for attempt in attempts {
                classes[attempt.class].attempts += 1;
            }
            for end in attempts.iter().flat_map(|attempt| &attempt.ended) {
                let Event::Answered { status, .. } = end.event else { continue };
                *classes[attempts[0].class].statuses.entry(status).or_default() += 1;
            }
        }
        classes
    }

    /// Weight that was served in time over weight that was requested; 1 if there are no requests.
    fn weight_in_time<'r>(&self, requests: impl Iterator<Item = &'r RequestFigures>) -> f64 {
        let (mut all, mut good) = (0.0, 0.0);
        for request in requests {
            let weight = self.s.classes[request.class].priority_weight;
            all += weight;
            good += if request.in_time { weight } else { 0.0 };
        }
        if all > 0.0 {
            good / all
        } else {
            1.0
        }
    }

    /// The least fraction of weight in time over all windows of ten seconds that begin at a full second.
    fn worst_window(&self, requests: &HashMap<u64, RequestFigures>) -> f64 {
        let last = requests.values().map(|request| request.sent).max().unwrap_or(0);
        let starts = (0..last.saturating_sub(WINDOW_US)).step_by(1_000_000);
        let of_window = |from: Moment| {
            let window = from..from + WINDOW_US;
            self.weight_in_time(requests.values().filter(|request| window.contains(&request.sent)))
        };
        starts.map(of_window).fold(f64::INFINITY, f64::min)
    }

    /// Checks that the records suffice for a verdict.
    pub(super) fn check_evidence(&mut self, dropped: u64) {
        let served: u64 = self.verdict.classes.iter().filter_map(|c| c.statuses.get(&200)).sum();
        let sent: u64 = self.verdict.classes.iter().map(|c| c.requests).sum();
        let delivered = self.reports.iter().filter(|n| n.delivered).count();
        let conditions = [
            (dropped == 0, format!("{dropped} records were dropped")),
            (sent > 0, "no client asked anything".into()),
            (delivered > 0, "no proxy was told of any node".into()),
            (!self.nodes.is_empty(), "no node came up".into()),
            (
                self.verdict.attempts >= served,
                format!("{served} served, but {} attempts", self.verdict.attempts),
            ),
            (self.records.is_sorted_by_key(|r| r.at), "records are out of order".into()),
        ];
        self.verdict.inconclusive.extend(conditions.into_iter().filter(|t| !t.0).map(|t| t.1));
    }
}
