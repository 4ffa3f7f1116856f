//! The hunt: combinations of faults drawn from a seed, played over 6 to 30 proxies that know one another, and what breaks
//! a rule made small enough to be read.
//!
//! Each run ends with [`CALM_S`] without faults, so that both checkers (of the four rules, and of the tier) have a state
//! that must be right. A finding is played again before it counts, faults are left out one by one as long as it still
//! shows, and the rest is saved as a scenario that `gaugesaddle-testbed run` replays.

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

/// At the end of each run nothing goes wrong for so long: longer than a death may take to be known.
pub const CALM_S: f64 = 8.0;
/// Faults come within this time from the start.
const FAULTS_S: f64 = 10.0;
/// Before the first fault all have met.
const QUIET_S: f64 = 2.0;
/// A finding is played so often again: one that shows in none of these is told, and not made smaller.
const AGAIN: usize = 2;
/// Runs whose first mistake is told.
const SHOWN: usize = 20;

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hunted {
    /// Runs, and proxies in them.
    pub runs: u64,
    /// See `runs`.
    pub proxies: u64,
    /// Faults in them.
    pub faults: u64,
    /// Times that a living process was wrongly held dead for a while.
    pub false_deaths: u64,
    /// The first of each run with such.
    pub mistakes: Vec<String>,
    /// Findings that did not show again.
    pub once: Vec<String>,
    /// Scenarios of those that did.
    pub saved: Vec<PathBuf>,
}

impl fmt::Display for Hunted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.mistakes.iter().try_for_each(|what| writeln!(f, "held dead for a while: {what}"))?;
        self.once.iter().try_for_each(|what| writeln!(f, "seen once, not again: {what}"))?;
        self.saved.iter().try_for_each(|path| writeln!(f, "FOUND: {}", path.display()))?;
        write!(
            f,
            "{} runs with {} proxies and {} faults: {} findings, {} not seen again; {} times one was held dead for a while",
            self.runs,
            self.proxies,
            self.faults,
            self.saved.len(),
            self.once.len(),
            self.false_deaths
        )
    }
}

/// A combination of faults.
pub fn draw(seed: u64) -> Scenario {
    draw_on(seed, |_| {})
}

/// The same on a fleet of another shape; the number of proxies is drawn before.
pub fn draw_on(seed: u64, shape: impl FnOnce(&mut Scenario)) -> Scenario {
    let mut random = RandomStream::new(seed, "hunt");
    let proxies = 6 + random.below(25);
    let defaults = Scenario::default();
    let mut s = Scenario {
        name: format!("hunt-{seed:x}"),
        seed,
        seconds: FAULTS_S + CALM_S,
        proxies,
        peers: true,
        failover: true,
        clients: Clients {
            per_s: 40.0,
            // Some get three times the mean, and which ones moves.
            uneven: if random.bernoulli(0.5) { vec![3.0, 1.0, 0.5, 0.5, 0.5] } else { Vec::new() },
            moves_every_s: 4.0,
            ..defaults.clients.clone()
        },
        ..defaults
    };
    shape(&mut s);
    let proxies = s.proxies;
    // Each proxy has one fault of its own at most: what two of them would do to one another is no fault of its.
    let mut free: Vec<usize> = (0..proxies).collect();
    let mut network_free = QUIET_S;
    for _ in 0..2 + random.below(5) {
        let at = QUIET_S + random.unit() * (FAULTS_S - QUIET_S - 1.0);
        let for_s = 0.5 + random.unit() * (FAULTS_S - at - 0.5);
        let kind = random.below(9);
        if kind >= 6 {
            let (at, for_s) = (network_free, (FAULTS_S - network_free).min(0.5 + random.unit() * 5.0));
            if for_s < 0.4 {
                continue;
            }
            network_free = at + for_s + 0.5;
            let (links, zones) = network(&mut random, proxies, s.zones);
            s.events.push(ScheduledDisturbance {
                at_s: at,
                disturbance: Disturbance::Network { links, zones, for_s },
            });
            continue;
        }
        let several = if random.bernoulli(0.2) { proxies / 2 } else { 1 };
        for _ in 0..several.min(free.len().saturating_sub(1)) {
            let proxy = free.swap_remove(random.below(free.len()));
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
    // A whole hall, beside all else: none that sees it may send its clients away for that.
    if random.bernoulli(0.4) {
        let (at_s, zone, for_s) = (QUIET_S + 1.0, random.below(s.zones), 1.0 + 3.0 * random.unit());
        s.events.push(ScheduledDisturbance { at_s, disturbance: Disturbance::ZoneOutage { zone, for_s } });
    }
    s.events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    s
}

/// A network that fails, and the halls that are cut with it.
fn network(random: &mut RandomStream, proxies: usize, zones: usize) -> (Links, Vec<u8>) {
    let (mut links, mut cut) = (Links::default(), Vec::new());
    let any = |random: &mut RandomStream| random.below(proxies);
    match random.below(9) {
        0 => {
            let parts = 2 + random.below(2);
            links.groups = (0..proxies).map(|_| random.below(parts) as u8).collect();
        }
        // A hall is cut off with its proxies.
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

/// The fewest events of a scenario for which it still fails: each is left out in its turn, until none can be.
pub fn shrink(mut s: Scenario, mut fails: impl FnMut(&Scenario) -> bool) -> Scenario {
    let mut at = 0;
    while at < s.events.len() {
        let mut fewer = s.clone();
        fewer.events.remove(at);
        if fails(&fewer) {
            // What stood before it may go now, too.
            (s, at) = (fewer, 0);
        } else {
            at += 1;
        }
    }
    s
}

/// What is wrong with a run, in a line; `None` where nothing is.
fn wrong(s: &Scenario, cast: &ProxyImplementation, count: &Mutex<Hunted>) -> io::Result<Option<String>> {
    let outcome = run(s, cast, &mut |_| {})?;
    let mut count = lock(count);
    count.runs += 1;
    count.proxies += s.proxies as u64;
    count.faults += s.events.len() as u64;
    if let Some(tier) = &outcome.tier {
        count.false_deaths += tier.false_deaths;
        if let Some(m) = tier.first_false_deaths.first().filter(|_| count.mistakes.len() < SHOWN) {
            let ((viewer, of), at) = (m.pair, m.at as f64 / 1e6);
            let text = format!(
                "{}: {} times, at {at:.2} s {viewer} of {of}: {}",
                s.name, tier.false_deaths, m.description
            );
            count.mistakes.push(text);
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

/// Plays combinations from a seed on, so many side by side, until the time is up; what is found goes into a folder.
///
/// # Errors
/// A scenario cannot be played, or a finding cannot be saved.
pub fn hunt(
    cast: &ProxyImplementation, seed: u64, within: Duration, lanes: usize, into: &Path,
    tell: &(dyn Fn(&str) + Sync),
) -> io::Result<Hunted> {
    let (hunted, next, end) = (Mutex::new(Hunted::default()), AtomicU64::new(0), Instant::now() + within);
    let lane = || -> io::Result<()> {
        while Instant::now() < end {
            let s = draw(mix(seed, next.fetch_add(1, Ordering::Relaxed)));
            let Some(first) = wrong(&s, cast, &hunted)? else { continue };
            tell(&format!("{}: {first}", s.name));
            let again = |s: &Scenario| (0..AGAIN).any(|_| matches!(wrong(s, cast, &hunted), Ok(Some(_))));
            if !again(&s) {
                let mut hunted = lock(&hunted);
                hunted.once.push(format!("{}: {first}", s.name));
                continue;
            }
            // Made smaller for as long again at most: the time is the caller's.
            let small = shrink(s, |s| Instant::now() < end + within && again(s));
            let path = into.join(format!("{}.toml", small.name));
            std::fs::write(&path, toml::to_string(&small).map_err(io::Error::other)?)?;
            tell(&format!("{}: {} faults are enough", path.display(), small.events.len()));
            lock(&hunted).saved.push(path);
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let lanes: Vec<_> = (0..lanes).map(|_| scope.spawn(lane)).collect();
        lanes
            .into_iter()
            .try_for_each(|l| l.join().unwrap_or_else(|_| Err(io::Error::other("a lane panicked"))))
    })?;
    Ok(hunted.into_inner().unwrap_or_else(PoisonError::into_inner))
}

#[cfg(test)]
mod tests;
