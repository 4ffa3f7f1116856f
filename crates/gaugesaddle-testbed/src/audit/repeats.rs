//! Rule 2: a request that may have run is retried, or rejected, only as its class allows.

use super::{Attempt, Auditor, Violation};
use crate::record::{Event, Moment};
use crate::scenario::Effect;

impl Auditor<'_> {
    /// Checks rule 2.
    pub(super) fn check_repeats(&mut self) {
        let mut found = Vec::new();
        for (id, client_attempts) in &self.client_attempts {
            let class = &self.s.classes[client_attempts[0].class];
            let Some(sent) = self.by_request.get(id) else { continue };
            let mut sent: Vec<&Attempt> = sent.iter().map(|a| &self.attempts[a]).collect();
            sent.sort_by_key(|a| a.arriving.at);
            let may_have_run = |a: &Attempt, by: Moment| a.rejected.is_none_or(|rejected| rejected > by);
            for (i, later) in sent.iter().enumerate() {
                for earlier in &sent[..i] {
                    if !may_have_run(earlier, later.arriving.at) {
                        continue;
                    }
                    let evidence = || vec![client_attempts[0].sent, earlier.arriving, later.arriving];
                    match class.effect {
                        Effect::Safe => {}
                        Effect::Unsafe => {
                            let text =
                                format!("unsafe request {id:016x} was sent again though it may have run");
                            found.push((Violation::UnsafeRepeated, text, evidence()));
                        }
                        Effect::Keyed => {
                            let zone = |a: &Attempt| self.nodes.get(&a.boot).map(|n| n.zone);
                            let passed = later.arriving.at - earlier.arriving.at;
                            let window = (class.window_ms * 1e3) as u64 + self.slack;
                            if zone(earlier) != zone(later) || passed > window {
                                let text = format!(
                                    "keyed request {id:016x} was sent again from hall {:?} to {:?} after {:.1} ms",
                                    zone(earlier),
                                    zone(later),
                                    passed as f64 / 1e3
                                );
                                found.push((Violation::KeyedRepeated, text, evidence()));
                            }
                        }
                    }
                }
            }
            for end in client_attempts.iter().flat_map(|t| &t.ended) {
                let Event::Answered { status: 429 | 503, .. } = end.event else { continue };
                let ran = sent.iter().find(|a| a.arriving.at < end.at && may_have_run(a, end.at));
                if let (Some(ran), true) = (ran, class.effect != Effect::Safe) {
                    let text = format!("request {id:016x} was refused though it may have run");
                    found.push((
                        Violation::RefusedAfterRun,
                        text,
                        vec![client_attempts[0].sent, ran.arriving, end],
                    ));
                }
            }
        }
        for (violation, text, records) in found {
            self.record_finding(violation, text, records);
        }
    }
}
