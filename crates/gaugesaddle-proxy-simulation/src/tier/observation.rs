//! Compares what each process knows of the others with the truth.

use super::{Tier, OBSERVATION_INTERVAL_US};

impl Tier<'_> {
    pub(super) fn observe(&mut self) {
        for viewer in 0..self.members {
            for of in (0..self.members).filter(|of| *of != viewer) {
                self.observe_pair(viewer, of);
            }
        }
        self.observe_notices();
    }

    /// What one running member holds of another, against the truth and against what it held before.
    fn observe_pair(&mut self, viewer: usize, of: usize) {
        let now = self.now;
        let Some(process) = self.running[viewer].as_ref().filter(|r| !r.is_suspended) else { return };
        let live_boot = process.process.live_boot(of);
        let record = process.process.record(of);
        let mut pair = self.pairs[viewer * self.members + of];
        if let Some(boot) = live_boot {
            let number = self.boots.get(&boot).copied().unwrap_or(0);
            if number < pair.boot {
                self.report.regressions.push(format!("{viewer} saw an earlier process of {of} at {now}"));
            }
            pair.boot = number;
        }
        if let Some((boot, version)) = record {
            let version = (self.boots.get(&boot).copied().unwrap_or(0), version);
            if pair.record.is_some_and(|last| version < last) {
                self.report.regressions.push(format!("{viewer} has an older record of {of} at {now}"));
            }
            pair.record = Some(version);
        }
        let is_partitioned = !self.connected(viewer, of);
        let report = &mut self.report;
        match self.running[of].as_ref().filter(|r| !r.is_suspended) {
            Some(other) if live_boot == Some(other.boot) => {
                if let Some(since) = pair.lost.take() {
                    report.longest_false_death = report.longest_false_death.max(now - since);
                }
                pair.seen = true;
                if is_partitioned {
                    report.converged_after = now;
                }
            }
            Some(_) if is_partitioned => {}
            Some(_) => {
                report.converged_after = now;
                if pair.seen && pair.lost.is_none() {
                    pair.lost = Some(now - OBSERVATION_INTERVAL_US);
                    report.false_deaths += 1;
                }
                if let Some(since) = pair.lost {
                    report.longest_false_death = report.longest_false_death.max(now - since);
                }
            }
            None if live_boot.is_some() => report.converged_after = now,
            None => {}
        }
        self.pairs[viewer * self.members + of] = pair;
    }

    /// Which members have learned of deaths and starts since the last observation.
    fn observe_notices(&mut self) {
        let now = self.now;
        let (running, report) = (&self.running, &mut self.report);
        let holds = |i: usize, boot: u32| {
            let r = running[i].as_ref();
            r.is_some_and(|r| (0..running.len()).any(|j| r.process.live_boot(j) == Some(boot)))
        };
        for (boot, at, knew) in &mut self.deaths_to_notice {
            knew.retain(|i| {
                let still = holds(*i, *boot);
                if !still {
                    report.death_known.push(now - *at);
                }
                still
            });
        }
        for (index, boot, at, others) in &mut self.starts_to_notice {
            others.retain(|i| {
                let known = running[*i].as_ref().is_some_and(|r| r.process.live_boot(*index) == Some(*boot));
                if known {
                    report.start_known.push(now - *at);
                }
                !known
            });
        }
        self.deaths_to_notice.retain(|d| !d.2.is_empty());
        self.starts_to_notice.retain(|b| !b.3.is_empty());
    }

    pub(super) fn disagreements(&self) -> Vec<String> {
        let mut found = Vec::new();
        for i in 0..self.members {
            let Some(r) = self.running[i].as_ref().filter(|r| !r.is_suspended) else { continue };
            for j in (0..self.members).filter(|j| *j != i) {
                let there = self.running[j].as_ref().filter(|r| !r.is_suspended && self.connected(i, j));
                let (sees, is) = (r.process.live_boot(j), there.map(|r| r.boot));
                if sees != is && self.running[j].as_ref().is_none_or(|r| !r.is_suspended) {
                    let since = there.map_or(0, |t| t.started);
                    found.push(format!("{i} sees {sees:?} at {j}, where {is:?} runs since {since}"));
                }
            }
        }
        found
    }
}
