//! The hunt: random testing with combinations of faults drawn from a seed, on tiers of 6 to 30 proxies, and shrinking
//! of the scenarios that break a rule.
//!
//! Each run ends with [`RECOVERY_S`] without faults, so that the audits of the four rules and of the tier have a
//! settled state to check. A finding counts only if a repeated run reproduces it. Faults are then removed one by one
//! while the finding is still reproduced, and the rest is saved as a scenario for `gaugesaddle-testbed run`.

use crate::datagrams::{lock, Links, LossyPath};
use crate::random::{mix, RandomStream};
use crate::scenario::{Clients, Disturbance, Scenario, ScheduledDisturbance};
use crate::world::{run, ProxyImplementation};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time without faults at the end of each run, in seconds; longer than the detection of a failed proxy may take.
pub const RECOVERY_S: f64 = 8.0;
/// Time from the start within which faults begin, and temporary ones end, in seconds.
const LAST_FAULT_S: f64 = 10.0;
/// Time before the first fault, in seconds, in which all proxies join the tier.
const WARM_UP_S: f64 = 2.0;
/// Number of repeated runs of a finding. A finding that none of them reproduces is reported but not shrunk.
const REPLAYS: usize = 2;
/// Number of runs whose first false death is reported.
const MAX_FALSE_DEATH_EXAMPLES: usize = 20;

/// The result of a hunt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HuntSummary {
    /// Number of runs.
    pub runs: u64,
    /// Number of proxies in all runs.
    pub proxies: u64,
    /// Number of faults in all runs.
    pub faults: u64,
    /// Number of times that a running process was temporarily considered dead.
    pub false_deaths: u64,
    /// The first false death of each run that had any, up to a limit.
    pub false_death_examples: Vec<String>,
    /// Findings that no repeated run reproduced.
    pub not_reproduced: Vec<String>,
    /// Scenario files of the reproduced findings.
    pub saved: Vec<PathBuf>,
}

impl fmt::Display for HuntSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.false_death_examples.iter().try_for_each(|what| writeln!(f, "held dead for a while: {what}"))?;
        self.not_reproduced.iter().try_for_each(|what| writeln!(f, "seen once, not again: {what}"))?;
        self.saved.iter().try_for_each(|path| writeln!(f, "FOUND: {}", path.display()))?;
        write!(
            f,
            "{} runs with {} proxies and {} faults: {} findings, {} not seen again; {} times one was held dead for a while",
            self.runs,
            self.proxies,
            self.faults,
            self.saved.len(),
            self.not_reproduced.len(),
            self.false_deaths
        )
    }
}

/// Draws a scenario with a combination of faults.
pub fn draw_scenario(seed: u64) -> Scenario {
    draw_scenario_on(seed, |_| {})
}

/// Like [`draw_scenario`], with changes to the fleet by `shape` after the number of proxies has been drawn.
pub fn draw_scenario_on(seed: u64, shape: impl FnOnce(&mut Scenario)) -> Scenario {
    let mut random = RandomStream::new(seed, "hunt");
    let proxies = 6 + random.below(25);
    let defaults = Scenario::default();
    let mut s = Scenario {
        name: format!("hunt-{seed:x}"),
        seed,
        seconds: LAST_FAULT_S + RECOVERY_S,
        proxies,
        peers: true,
        failover: true,
        clients: Clients {
            per_s: 40.0,
            // In half of the runs some proxies get three times the load of others, and the weights rotate over the
            // proxies.
            uneven: if random.bernoulli(0.5) { vec![3.0, 1.0, 0.5, 0.5, 0.5] } else { Vec::new() },
            moves_every_s: 4.0,
            ..defaults.clients.clone()
        },
        ..defaults
    };
    shape(&mut s);
    let proxies = s.proxies;
    // Each proxy has at most one process fault: interference of two faults would not be an error of the proxy.
    let mut unaffected: Vec<usize> = (0..proxies).collect();
    let mut network_free_at = WARM_UP_S;
    for _ in 0..2 + random.below(5) {
        let at = WARM_UP_S + random.unit() * (LAST_FAULT_S - WARM_UP_S - 1.0);
        let for_s = 0.5 + random.unit() * (LAST_FAULT_S - at - 0.5);
        let kind = random.below(9);
        if kind >= 6 {
            let (at, for_s) =
                (network_free_at, (LAST_FAULT_S - network_free_at).min(0.5 + random.unit() * 5.0));
            if for_s < 0.4 {
                continue;
            }
            network_free_at = at + for_s + 0.5;
            let (links, zones) = draw_network_fault(&mut random, proxies, s.zones);
            s.events.push(ScheduledDisturbance {
                at_s: at,
                disturbance: Disturbance::Network { links, zones, for_s },
            });
            continue;
        }
        let affected = if random.bernoulli(0.2) { proxies / 2 } else { 1 };
        for _ in 0..affected.min(unaffected.len().saturating_sub(1)) {
            let proxy = unaffected.swap_remove(random.below(unaffected.len()));
            let what = match kind {
                0 => Disturbance::KillProxy { proxy, back_after_s: 0.05 + for_s * random.unit() },
                1 => Disturbance::LoseProxy { proxy },
                2 => Disturbance::StopProxy { proxy, for_s },
                3 => Disturbance::RestartProxy { proxy },
                4 => Disturbance::LeaveProxy { proxy },
                _ => Disturbance::JoinProxy { proxy },
            };
            s.events.push(ScheduledDisturbance { at_s: at, disturbance: what });
        }
    }
    // The outage of a zone, in addition to other faults: proxies that observe it must not reject their clients for it.
    if random.bernoulli(0.4) {
        let (at_s, zone, for_s) = (WARM_UP_S + 1.0, random.below(s.zones), 1.0 + 3.0 * random.unit());
        s.events.push(ScheduledDisturbance { at_s, disturbance: Disturbance::ZoneOutage { zone, for_s } });
    }
    s.events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    s
}

/// Draws a network fault, and the group of each zone if zones are partitioned with it.
fn draw_network_fault(random: &mut RandomStream, proxies: usize, zones: usize) -> (Links, Vec<u8>) {
    let (mut links, mut cut) = (Links::default(), Vec::new());
    let any = |random: &mut RandomStream| random.below(proxies);
    match random.below(9) {
        0 => {
            let parts = 2 + random.below(2);
            links.groups = (0..proxies).map(|_| random.below(parts) as u8).collect();
        }
        // A zone is partitioned together with its proxies.
        1 => {
            let lost = random.below(zones);
            links.groups = (0..proxies).map(|p| u8::from(p % zones == lost)).collect();
            cut = (0..zones).map(|h| u8::from(h == lost)).collect();
        }
        2 => links.one_way = (0..=any(random)).map(|_| (any(random), any(random))).collect(),
        3 => links.unheard = vec![any(random)],
        4 => links.loss = random.uniform([0.05, 0.5]),
        5 => (links.slow, links.slow_us) = (vec![any(random), any(random)], 150_000),
        6 => {
            let pair = [random.below(zones), random.below(zones)];
            links.poor = LossyPath::between(pair, zones, proxies, random.uniform([0.1, 0.6]), 30_000);
        }
        7 => {
            let (loss, more_us) = (random.uniform([0.3, 1.0]), 100_000);
            let pairs = (0..=any(random)).map(|_| (vec![any(random)], vec![any(random)]));
            links.poor = pairs.map(|(from, to)| LossyPath { from, to, loss, more_us }).collect();
        }
        _ => (links.doubled, links.way_us) = (0.5, [100, 20_000]),
    }
    (links, cut)
}

/// Removes events from a scenario while it still fails, until no single event can be removed.
pub fn shrink(mut s: Scenario, mut fails: impl FnMut(&Scenario) -> bool) -> Scenario {
    let mut at = 0;
    while at < s.events.len() {
        let mut fewer = s.clone();
        fewer.events.remove(at);
        if fails(&fewer) {
            // Earlier events may be removable now.
            (s, at) = (fewer, 0);
        } else {
            at += 1;
        }
    }
    s
}

/// Runs a scenario and returns the first line of its failure, `None` if the run is clean.
fn find_failure(
    s: &Scenario, cast: &ProxyImplementation, count: &Mutex<HuntSummary>,
) -> io::Result<Option<String>> {
    let outcome = run(s, cast, &mut |_| {})?;
    let mut count = lock(count);
    count.runs += 1;
    count.proxies += s.proxies as u64;
    count.faults += s.events.len() as u64;
    if let Some(tier) = &outcome.tier {
        count.false_deaths += tier.false_deaths;
        if let Some(m) = tier
            .first_false_deaths
            .first()
            .filter(|_| count.false_death_examples.len() < MAX_FALSE_DEATH_EXAMPLES)
        {
            let ((viewer, of), at) = (m.pair, m.at as f64 / 1e6);
            let text = format!(
                "{}: {} times, at {at:.2} s {viewer} of {of}: {}",
                s.name, tier.false_deaths, m.description
            );
            count.false_death_examples.push(text);
        }
    }
    if outcome.is_clean() {
        return Ok(None);
    }
    let tier = outcome.tier.as_ref().map(ToString::to_string).unwrap_or_default();
    let text = if outcome.verdict.is_clean() { tier } else { outcome.verdict.to_string() };
    let first = text.lines().map(str::trim).find(|l| !l.is_empty()).unwrap_or("no reason").to_string();
    Ok(Some(first))
}

/// Runs scenarios drawn from a seed, `lanes` of them concurrently, until the time is up. Findings are saved in the
/// folder `into`.
///
/// # Errors
/// A scenario cannot be run, or a finding cannot be saved.
pub fn hunt(
    cast: &ProxyImplementation, seed: u64, within: Duration, lanes: usize, into: &Path,
    report: &(dyn Fn(&str) + Sync),
) -> io::Result<HuntSummary> {
    let (hunted, next, end) =
        (Mutex::new(HuntSummary::default()), AtomicU64::new(0), Instant::now() + within);
    let lane = || -> io::Result<()> {
        while Instant::now() < end {
            let s = draw_scenario(mix(seed, next.fetch_add(1, Ordering::Relaxed)));
            let Some(failure) = find_failure(&s, cast, &hunted)? else { continue };
            report(&format!("{}: {failure}", s.name));
            let reproduces =
                |s: &Scenario| (0..REPLAYS).any(|_| matches!(find_failure(s, cast, &hunted), Ok(Some(_))));
            if !reproduces(&s) {
                let mut hunted = lock(&hunted);
                hunted.not_reproduced.push(format!("{}: {failure}", s.name));
                continue;
            }
            // Shrinking ends at twice the caller's time limit.
            let minimal = shrink(s, |s| Instant::now() < end + within && reproduces(s));
            let path = into.join(format!("{}.toml", minimal.name));
            std::fs::write(&path, toml::to_string(&minimal).map_err(io::Error::other)?)?;
            report(&format!("{}: reduced to {} faults", path.display(), minimal.events.len()));
            lock(&hunted).saved.push(path);
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let lanes: Vec<_> = (0..lanes).map(|_| scope.spawn(lane)).collect();
        lanes
            .into_iter()
            .try_for_each(|l| l.join().unwrap_or_else(|_| Err(io::Error::other("a worker panicked"))))
    })?;
    Ok(hunted.into_inner().unwrap_or_else(PoisonError::into_inner))
}

#[cfg(test)]
mod tests;
