//! The path of each request through regions, and the number of requests that leave each region.

use super::{Attempt, Auditor, RegionFigures, Violation};
use crate::record::{Moment, Record};
use std::collections::HashMap;

impl Auditor<'_> {
    /// Checks the path of each request through regions and the budget between each pair of regions.
    pub(super) fn check_regions(&mut self) {
        let (count, hops) = (self.s.regions.count, self.s.regions.hops as usize);
        if count < 2 {
            return;
        }
        let of_node = |a: &Attempt| self.s.region(a.boot.node);
        let (mut found, mut departures) =
            (Vec::new(), HashMap::<(usize, usize), Vec<(Moment, &Record)>>::new());
        self.verdict.regions = vec![RegionFigures::default(); count];
        for (id, client_attempts) in &self.client_attempts {
            let Some(sent) = self.by_request.get(id) else { continue };
            let mut sent: Vec<&Attempt> = sent.iter().map(|a| &self.attempts[a]).collect();
            sent.sort_by_key(|a| a.arriving.at);
            // The home region is that of the proxy of the client's last attempt, since each attempt starts a new path.
            let home = self.s.region(client_attempts.last().map_or(0, |t| t.proxy));
            let mut path = vec![home];
            for a in &sent {
                let region = of_node(a);
                if path.last() != Some(&region) {
                    if path.contains(&region) || path.len() > hops {
                        let text = format!("request {id:016x} went through regions {path:?} and to {region}");
                        found.push((Violation::Looped, text, vec![client_attempts[0].sent, a.arriving]));
                    }
                    path.push(region);
                    departures.entry((home, region)).or_default().push((a.arriving.at, a.arriving));
                    let span = &mut self.verdict.regions[region].inbound_span;
                    let at = a.arriving.at;
                    *span = Some(span.map_or((at, at), |l| (l.0.min(at), l.1.max(at))));
                }
            }
            self.verdict.regions[home].spilled += u64::from(path.len() > 1);
        }
        // Requests that leave within one second may arrive within slightly less: their latencies differ by at most the
        // slack in either direction.
        let window = 1_000_000 - 2 * self.slack;
        for ((home, to), mut times) in departures {
            times.sort_by_key(|t| t.0);
            let within = |i: usize| times[i..].iter().take_while(|t| t.0 < times[i].0 + window).count();
            let (most, at) = (0..times.len()).map(|i| (within(i), i)).max().unwrap_or((0, 0));
            let figures = &mut self.verdict.regions[home];
            figures.max_spilled_per_s = figures.max_spilled_per_s.max(most);
            if most > self.s.regions.per_s as usize {
                let text = format!("{most} requests left region {home} for {to} within a second");
                found.push((Violation::OverBudget, text, vec![times[at].1]));
            }
        }
        for (violation, text, records) in found {
            self.record_finding(violation, text, records);
        }
    }
}
