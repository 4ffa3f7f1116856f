//! Compares each process's view of the others with the actual state.

use super::{Tier, OBSERVATION_INTERVAL_US};

impl Tier<'_> {
    pub(super) fn observe(&mut self) {
        for viewer in 0..self.members {
            for subject in (0..self.members).filter(|subject| *subject != viewer) {
                self.observe_pair(viewer, subject);
            }
        }
        self.observe_notices();
    }

    /// Compares a running process's view of another with the actual state and with its previous view.
    fn observe_pair(&mut self, viewer: usize, subject: usize) {
        let now = self.now;
        let Some(process) = self.running[viewer].as_ref().filter(|r| !r.is_suspended) else { return };
        let live_boot = process.process.live_boot(subject);
        let record = process.process.record(subject);
        let mut pair = self.pairs[viewer * self.members + subject];
        if let Some(boot) = live_boot {
            let number = self.boots.get(&boot).copied().unwrap_or(0);
            if number < pair.boot {
                self.report
                    .regressions
                    .push(format!("{viewer} considers an earlier process of {subject} alive at {now}"));
            }
            pair.boot = number;
        }
        if let Some((boot, version)) = record {
            let version = (self.boots.get(&boot).copied().unwrap_or(0), version);
            if pair.record.is_some_and(|last| version < last) {
                self.report.regressions.push(format!("{viewer} has an older record of {subject} at {now}"));
            }
            pair.record = Some(version);
        }
        let is_partitioned = !self.is_connected(viewer, subject);
        let report = &mut self.report;
        match self.running[subject].as_ref().filter(|r| !r.is_suspended) {
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
        self.pairs[viewer * self.members + subject] = pair;
    }

    /// Records which processes have detected deaths and starts since the last observation.
    fn observe_notices(&mut self) {
        let now = self.now;
        let (running, report) = (&self.running, &mut self.report);
        let considers_alive = |i: usize, boot: u32| {
            let r = running[i].as_ref();
            r.is_some_and(|r| (0..running.len()).any(|j| r.process.live_boot(j) == Some(boot)))
        };
        for (boot, at, observers) in &mut self.deaths_to_notice {
            observers.retain(|i| {
                let remains = considers_alive(*i, *boot);
                if !remains {
                    report.death_known.push(now - *at);
                }
                remains
            });
        }
        for (index, boot, at, others) in &mut self.starts_to_notice {
            others.retain(|i| {
                let is_detected =
                    running[*i].as_ref().is_some_and(|r| r.process.live_boot(*index) == Some(*boot));
                if is_detected {
                    report.start_known.push(now - *at);
                }
                !is_detected
            });
        }
        self.deaths_to_notice.retain(|d| !d.2.is_empty());
        self.starts_to_notice.retain(|b| !b.3.is_empty());
    }

    pub(super) fn disagreements(&self) -> Vec<String> {
        let mut found = Vec::new();
        for viewer in 0..self.members {
            let Some(r) = self.running[viewer].as_ref().filter(|r| !r.is_suspended) else { continue };
            for subject in (0..self.members).filter(|subject| *subject != viewer) {
                let running = self.running[subject]
                    .as_ref()
                    .filter(|r| !r.is_suspended && self.is_connected(viewer, subject));
                let (viewed, actual) = (r.process.live_boot(subject), running.map(|r| r.boot));
                if viewed != actual && self.running[subject].as_ref().is_none_or(|r| !r.is_suspended) {
                    let since = running.map_or(0, |t| t.started);
                    found.push(format!("{viewer} considers boot {viewed:?} of {subject} alive, expected boot {actual:?}, running since {since}"));
                }
            }
        }
        found
    }
}
