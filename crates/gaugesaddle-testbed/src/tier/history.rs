//! The history of the processes of a tier and of the network between them.

use super::log_parser::own_boot;
use super::{TierEvent, FALSE_DEATH_REACH_US};
use crate::datagrams::Links;

/// One process of a proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct Incarnation {
    /// Time of its start.
    pub(super) up: u64,
    /// Time of the first line of its log.
    pub(super) logged_at: u64,
    /// Its boot number; 0 where it ended before it logged one.
    pub(super) boot: u32,
    /// Time at which it was asked to terminate.
    pub(super) terminated: Option<u64>,
    pub(super) end: u64,
}

/// The incarnations of every proxy, and the network, over time.
pub(super) struct TierHistory {
    pub(super) size: usize,
    pub(super) end: u64,
    /// By index, ordered by start.
    pub(super) incarnations: Vec<Vec<Incarnation>>,
    /// By index, the times at which it was stopped and continued.
    pub(super) pauses: Vec<Vec<(u64, u64)>>,
    pub(super) links: Vec<(u64, Links)>,
    /// Every time at which a process or the network changes.
    pub(super) change_times: Vec<u64>,
}

impl TierHistory {
    pub(super) fn new(
        size: usize, events: &[(u64, TierEvent)], logs: &[Vec<(u64, String)>], end: u64,
    ) -> TierHistory {
        let mut history = TierHistory {
            size,
            end,
            incarnations: vec![Vec::new(); size],
            pauses: vec![Vec::new(); size],
            links: vec![(0, Links::default())],
            change_times: vec![0, end],
        };
        for (at, tier_event) in events {
            history.change_times.push(*at);
            match tier_event {
                TierEvent::Up(p) => {
                    history.incarnations[*p].push(Incarnation {
                        up: *at,
                        logged_at: u64::MAX,
                        boot: 0,
                        terminated: None,
                        end: u64::MAX,
                    });
                }
                TierEvent::Terminated(p) => {
                    history.incarnations[*p].last_mut().into_iter().for_each(|l| l.terminated = Some(*at));
                }
                TierEvent::Ended(p) => {
                    history.incarnations[*p].last_mut().into_iter().for_each(|l| l.end = *at);
                    history.pauses[*p].last_mut().into_iter().for_each(|p| p.1 = p.1.min(*at));
                }
                TierEvent::Stopped(p) => history.pauses[*p].push((*at, u64::MAX)),
                TierEvent::Continued(p) => {
                    history.pauses[*p].last_mut().into_iter().for_each(|p| p.1 = p.1.min(*at));
                }
                TierEvent::Links(links) => history.links.push((*at, links.clone())),
            }
        }
        for (index, lines) in logs.iter().enumerate() {
            for (at, boot) in lines.iter().filter_map(|(at, line)| own_boot(line).map(|b| (*at, b))) {
                // A process that was killed before it logged its start keeps boot number 0 and is ignored.
                let incarnation =
                    history.incarnations[index].iter_mut().rev().find(|l| l.up <= at && at <= l.end);
                if let Some(incarnation) = incarnation.filter(|l| l.boot == 0) {
                    (incarnation.logged_at, incarnation.boot) = (at, boot);
                    history.change_times.push(at);
                }
            }
        }
        history.change_times.sort_unstable();
        history.change_times.dedup();
        history.change_times.retain(|m| *m <= end);
        history
    }

    /// The incarnation that has logged its start, runs and was not asked to terminate.
    pub(super) fn incarnation(&self, index: usize, at: u64) -> Option<&Incarnation> {
        self.incarnations[index]
            .iter()
            .find(|l| l.logged_at <= at && at < l.end.min(l.terminated.unwrap_or(u64::MAX)))
    }

    pub(super) fn paused(&self, index: usize, at: u64) -> bool {
        self.pauses[index].iter().any(|(from, to)| (*from..*to).contains(&at))
    }

    pub(super) fn runs(&self, index: usize, at: u64) -> bool {
        self.incarnation(index, at).is_some() && !self.paused(index, at)
    }

    pub(super) fn links(&self, at: u64) -> &Links {
        let last = self.links.iter().rev().find(|l| l.0 <= at);
        &last.unwrap_or(&self.links[0]).1
    }

    /// Whether two processes reach each other in both directions without loss, directly or through a third.
    pub(super) fn reach(&self, a: usize, b: usize, at: u64) -> bool {
        let links = self.links(at);
        links.lossless() && links.connected(a, b, |k| self.runs(k, at), self.size)
    }

    /// Whether both ran and reached each other throughout the last second. A death that was detected during a partition
    /// and logged only when the network was repaired was correct when it was detected.
    pub(super) fn reached_throughout(&self, a: usize, b: usize, at: u64) -> bool {
        let since = at.saturating_sub(FALSE_DEATH_REACH_US);
        let changes = self.change_times.iter().copied().filter(|m| (since..=at).contains(m));
        changes.chain([since]).all(|at| self.runs(a, at) && self.runs(b, at) && self.reach(a, b, at))
    }

    /// Whether a process can detect deaths: it runs and the network is undisturbed.
    pub(super) fn informed(&self, index: usize, at: u64) -> bool {
        self.runs(index, at) && self.links(at).is_undisturbed()
    }

    /// The spans in which a value is defined and constant: start, end and value.
    pub(super) fn constant_spans<T: PartialEq>(
        &self, known: impl Fn(u64) -> Option<T>,
    ) -> Vec<(u64, u64, T)> {
        let mut found: Vec<(u64, u64, T)> = Vec::new();
        for pair in self.change_times.windows(2) {
            let Some(now) = known(pair[0]) else { continue };
            match found.last_mut().filter(|last| last.1 == pair[0] && last.2 == now) {
                Some(last) => last.1 = pair[1],
                None => found.push((pair[0], pair[1], now)),
            }
        }
        found
    }
}
