//! Rule 4: no node in slow start is sent more than its budget in any window.

use super::{mean_work_us, Attempt, Auditor, Violation};
use crate::processor::work_between;
use crate::record::Boot;
use std::collections::HashMap;

impl Auditor<'_> {
    /// Checks rule 4.
    pub(super) fn check_slow_start(&mut self) {
        let (rules, mut by_boot) = (&self.s.rules, HashMap::<Boot, Vec<&Attempt>>::new());
        for a in self.attempts.values().filter(|a| a.received.is_some()) {
            by_boot.entry(a.boot).or_default().push(a);
        }
        let window = rules.fall_ms * 1e3;
        let slack = rules.fall_slack * mean_work_us(self.s);
        let mut found = Vec::new();
        for (boot, mut sent) in by_boot {
            let Some(node) = self.nodes.get(&boot).filter(|n| n.initial_capacity < 1.0) else { continue };
            sent.sort_by_key(|a| a.received.map_or(0, |w| w.at));
            let arrival = |a: &Attempt| a.received.map_or(0, |w| w.at).saturating_sub(node.up) as f64;
            let (mut first, mut window_work) = (0, 0.0);
            for (i, a) in sent.iter().enumerate() {
                window_work += a.work_us as f64;
                while arrival(sent[first]) < arrival(a) - window {
                    window_work -= sent[first].work_us as f64;
                    first += 1;
                }
                let from = (arrival(a) - window).max(0.0);
                if from >= node.slow_start_us {
                    break; // the node is past slow start for the whole window
                }
                let capacity_us =
                    work_between(node.speed, node.initial_capacity, node.slow_start_us, from, from + window);
                if window_work > rules.fall_multiple * capacity_us + slack {
                    let text = format!(
                        "cold {boot:?} was sent {:.0} ms of work within {:.1} s, {:.2} times what it can do",
                        window_work / 1e3,
                        window / 1e6,
                        window_work / capacity_us
                    );
                    let evidence = [first, i].map(|n| sent[n].arriving).to_vec();
                    found.push((text, evidence));
                    break;
                }
            }
        }
        for (text, records) in found {
            self.record_finding(Violation::SlowStartOverload, text, records);
        }
    }
}
