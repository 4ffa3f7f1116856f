//! The rules of the audit, checked for one pair of processes at a time.

use super::history::TierHistory;
use super::log_parser::{parse_view, LoggedView};
use super::{TierFinding, TierVerdict, TierViolation, CONVERGENCE_US, DETECTION_US, MAX_FINDINGS, SLACK_US};

/// The views that a proxy had of a process, by time: the boot number of the incarnation seen as alive, or none.
type Views = Vec<(u64, Option<u32>)>;

fn view_at(views: &Views, at: u64) -> Option<u32> {
    views.iter().rev().find(|v| v.0 <= at).and_then(|v| v.1)
}

/// Checks the views that one proxy has of another.
pub(super) fn check_pair(
    history: &TierHistory, viewer: usize, index: usize, logged_views: &[&LoggedView],
    verdict: &mut TierVerdict,
) {
    let starts = history.incarnations[viewer].iter().map(|l| (l.up, None));
    let mut views: Views = starts.collect();
    let pair = (viewer, index);
    let mut highest = (0, 0);
    for s in logged_views {
        let is_alive = matches!(s.state.as_str(), "alive" | "suspect");
        let known = history.incarnations[index].iter().position(|l| l.boot == s.boot);
        // The views of an earlier incarnation of the viewer do not count.
        let own = history.incarnations[viewer].iter().filter(|l| l.up <= s.at).count();
        if own != highest.0 {
            highest = (own, 0);
        }
        match known {
            None if is_alive => {
                verdict.add_finding(TierViolation::Invented, s.at, pair, format!("boot {:08x}", s.boot));
            }
            Some(nth) if is_alive && nth + 1 < highest.1 => {
                verdict.add_finding(
                    TierViolation::WentBack,
                    s.at,
                    pair,
                    format!("to its {}. process", nth + 1),
                );
            }
            Some(nth) => {
                highest.1 = highest.1.max(nth + 1);
                let terminated =
                    history.incarnations[index][nth].terminated.is_some_and(|t| t <= s.at + SLACK_US);
                if s.state == "left" && !terminated {
                    verdict.add_finding(
                        TierViolation::NeverDeparted,
                        s.at,
                        pair,
                        "it was not told to end".into(),
                    );
                }
            }
            None => {}
        }
        let before = view_at(&views, s.at);
        views.push((s.at, is_alive.then_some(s.boot)));
        views.sort_by_key(|v| v.0);
        let there = history.incarnation(index, s.at).filter(|l| l.boot == s.boot);
        let reached = history.reached_throughout(viewer, index, s.at);
        if s.state == "dead" && before.is_some() && there.is_some() && reached {
            verdict.false_deaths += 1;
            if verdict.first_false_deaths.len() < MAX_FINDINGS {
                let description = s.cause.clone();
                verdict.first_false_deaths.push(TierFinding {
                    violation: TierViolation::NotSeen,
                    at: s.at,
                    pair,
                    description,
                });
            }
        }
    }
    check_held_alive(history, pair, &views, verdict);
    check_end_detected(history, pair, &views, verdict);
}

/// Checks that a reachable process is seen as alive.
fn check_held_alive(
    history: &TierHistory, (viewer, index): (usize, usize), views: &Views, verdict: &mut TierVerdict,
) {
    let both = |at: u64| {
        let ids = history
            .incarnation(viewer, at)
            .zip(history.incarnation(index, at))
            .map(|(a, b)| (a.boot, b.boot));
        ids.filter(|_| {
            history.runs(viewer, at) && history.runs(index, at) && history.reach(viewer, index, at)
        })
    };
    for (from, to, (_, boot)) in history.constant_spans(both) {
        verdict.audited_pair_s += (to - from) as f64 / 1e6;
        let due = from + CONVERGENCE_US + SLACK_US;
        let changes = views.iter().copied().filter(|v| (due + 1..to).contains(&v.0));
        let samples: Vec<(u64, Option<u32>)> =
            [(due, view_at(views, due))].into_iter().chain(changes).collect();
        // A wrong view that is corrected within the limit violates no rule; `check_pair` counts it as a false death.
        let mut wrong = None;
        for (at, holds) in samples.into_iter().filter(|l| l.0 < to).chain([(to, Some(boot))]) {
            if holds != Some(boot) {
                wrong = wrong.or(Some((at, holds)));
            } else if let Some((since, view_at)) = wrong.take() {
                if since == due || at - since > CONVERGENCE_US + SLACK_US {
                    let description = format!("holds {view_at:08x?}, where {boot:08x} lives");
                    verdict.add_finding(TierViolation::NotSeen, since, (viewer, index), description);
                }
            }
        }
    }
    for incarnation in history.incarnations[index].iter().filter(|l| l.boot != 0) {
        let there = history.runs(viewer, incarnation.logged_at)
            && history.reach(viewer, index, incarnation.logged_at);
        let first = views.iter().find(|v| v.0 >= incarnation.logged_at && v.1 == Some(incarnation.boot));
        if let Some(first) = first.filter(|_| there) {
            verdict.start_known.push(first.0 - incarnation.logged_at);
        }
    }
}

/// Checks that a process that has ended is not seen as alive for longer than the limit.
fn check_end_detected(
    history: &TierHistory, (viewer, index): (usize, usize), views: &Views, verdict: &mut TierVerdict,
) {
    for incarnation in history.incarnations[index].iter().filter(|l| l.boot != 0 && l.end < history.end) {
        let Some(own) =
            history.incarnation(viewer, incarnation.end).filter(|_| history.runs(viewer, incarnation.end))
        else {
            continue;
        };
        if view_at(views, incarnation.end) != Some(incarnation.boot) {
            continue;
        }
        let until = own.end.min(own.terminated.unwrap_or(u64::MAX)).min(history.end);
        let known =
            views.iter().find(|v| v.0 > incarnation.end && v.1 != Some(incarnation.boot)).map(|v| v.0);
        // Only the time counts in which the viewer ran and the network was undisturbed.
        let last = known.unwrap_or(until).min(until);
        let informed = history.constant_spans(|at| (at < last && history.informed(viewer, at)).then_some(()));
        let within =
            |(from, to, ()): &(u64, u64, ())| to.min(&last).saturating_sub(*from.max(&incarnation.end));
        let informed_us: u64 = informed.iter().map(within).sum();
        let informed_throughout = informed_us + 1000 >= last - incarnation.end;
        if let Some(known) = known.filter(|k| *k <= until && informed_throughout) {
            verdict.death_known.push(known - incarnation.end);
        }
        if informed_us > DETECTION_US + SLACK_US {
            let description = format!(
                "{:08x} is held for {:.1} s after its end",
                incarnation.boot,
                informed_us as f64 / 1e6
            );
            verdict.add_finding(TierViolation::NotForgotten, last, (viewer, index), description);
        }
    }
}

/// Measures, after each repaired network and each continued process, the time until all running proxies saw one another
/// as alive.
pub(super) fn check_agreement(history: &TierHistory, logs: &[Vec<(u64, String)>], verdict: &mut TierVerdict) {
    let mut restored_at: Vec<u64> = Vec::new();
    for pair in history.links.windows(2) {
        if !pair[0].1.fully_connected() && pair[1].1.is_undisturbed() {
            restored_at.push(pair[1].0);
        }
    }
    restored_at.extend(history.pauses.iter().flatten().map(|p| p.1).filter(|at| *at < history.end));
    for at in restored_at.into_iter().filter(|at| history.links(*at).is_undisturbed()) {
        let next = history.change_times.iter().copied().find(|m| *m > at).unwrap_or(history.end);
        let running: Vec<usize> = (0..history.size).filter(|p| history.runs(*p, at)).collect();
        let mut last = at;
        for viewer in &running {
            let lines = logs.get(*viewer).map_or(&[][..], Vec::as_slice);
            let alive = lines.iter().filter(|(t, _)| (at..next).contains(t));
            let alive = alive.filter_map(|(t, line)| parse_view(*t, line)).filter(|s| s.state == "alive");
            last = alive.filter(|s| running.contains(&s.index)).map(|s| s.at).fold(last, u64::max);
        }
        verdict.agreed.push(last - at);
    }
}
