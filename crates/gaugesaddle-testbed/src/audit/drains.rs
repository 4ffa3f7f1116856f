//! Rule 3: a proxy sends no new request to a node after the grace period that follows the delivery of its drain.

use super::{Auditor, Violation};
use crate::record::{Boot, Moment, NodeState, Record};
use std::collections::HashMap;

/// Start and end of the time in which a proxy may send no new request to a node, and the record that starts it.
type ForbiddenSpan<'a> = (Moment, Moment, &'a Record);

impl Auditor<'_> {
    /// Checks rule 3.
    pub(super) fn check_drains(&mut self) {
        // By proxy and node process: the times in which the proxy may send no new request.
        let mut forbidden: HashMap<(usize, Boot), Vec<ForbiddenSpan>> = HashMap::new();
        // A change that an agent on the proxy's own machine has published counts as delivered, whether or not the proxy
        // has polled it. With a polled service, it counts as delivered after the report deadline.
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
            // A proxy process knows only the changes that were published or delivered since its start.
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
