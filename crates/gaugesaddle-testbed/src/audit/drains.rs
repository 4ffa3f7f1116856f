//! Rule 3: nothing new goes to a node after the grace, once its proxy was told to leave it alone.

use super::{Auditor, Violation};
use crate::record::{Boot, Moment, NodeState, Record};
use std::collections::HashMap;

/// From when until when a proxy may send a node nothing new, and the record that says so.
type ForbiddenSpan<'a> = (Moment, Moment, &'a Record);

impl Auditor<'_> {
    /// Rule 3.
    pub(super) fn check_drains(&mut self) {
        // From when on each start of a proxy counts as told that a node is not to be sent anything new.
        let mut forbidden: HashMap<(usize, Boot), Vec<ForbiddenSpan>> = HashMap::new();
        // What an agent of the own machine has counts as told, whether or not it was asked.
        let notice_delay =
            if self.s.discovery.polled { (self.s.rules.report_deadline_s * 1e6) as u64 } else { 0 };
        for report in &self.reports {
            let (at, proxy_and_boot) = (report.record.at, (report.proxy, report.boot));
            if report.state != NodeState::Ready {
                let from = if report.delivered { at } else { at + notice_delay };
                forbidden.entry(proxy_and_boot).or_default().push((from, Moment::MAX, report.record));
            } else if let Some(spans) = forbidden.get_mut(&proxy_and_boot).filter(|_| report.delivered) {
                spans.iter_mut().filter(|s| s.1 > at).for_each(|s| s.1 = at);
            }
        }
        let grace = (self.s.rules.drain_grace_ms * 1e3) as u64 + self.slack;
        let mut found = Vec::new();
        for a in self.attempts.values() {
            let Some(spans) = forbidden.get(&(a.proxy, a.boot)) else { continue };
            let at = a.arriving.at;
            // A proxy that started later knows only what it was told since.
            let started = self.proxy_starts.iter().filter(|s| s.0 == a.proxy && s.1 <= at).map(|s| s.1).max();
            let started = started.unwrap_or(0);
            let broken = spans.iter().find(|(from, to, record)| {
                let from = if record.at < started { Moment::MAX } else { *from };
                at > from.saturating_add(grace) && at < *to
            });
            if let Some((from, _, record)) = broken {
                if !self.was_unavailable(a.proxy, *from, at) {
                    let late = (at - from) as f64 / 1e3;
                    let text =
                        format!("{:?} was sent something {late:.1} ms after its drain was told", a.boot);
                    found.push((text, vec![*record, a.arriving]));
                }
            }
        }
        for (text, records) in found {
            self.record_finding(Violation::Drain, text, records);
        }
    }
}
