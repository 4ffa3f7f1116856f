//! Activity of a fleet of proxies in each second, aggregated over their logs; shows effects that no single proxy's log
//! shows.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// Figures that each proxy logs once a second and that are summed over the fleet.
const SUMS: [&str; 4] = ["arrivals", "rate", "out", "held"];
/// Figures that are averaged over the fleet.
const MEANS: [&str; 3] = ["admit", "pool", "ready"];
/// Counters since a proxy's start; their increase is shown.
const COUNTERS: [&str; 4] = ["shed", "cold", "late", "spent"];
/// Maximum fraction of arriving requests that proxies may reject (sum of [`COUNTERS`]) for the verdict to be positive.
const MAX_REJECTED: f64 = 0.2;

/// Aggregated figures of one second.
#[derive(Clone, Debug, Default, PartialEq)]
struct Second {
    proxies: u64,
    figures: BTreeMap<&'static str, f64>,
    ejected: BTreeMap<String, u64>,
    discovery: u64,
    errors: u64,
}

/// The second in which a line was logged, from its first field: a number of seconds or an RFC 3339 time.
fn second_of(line: &str) -> Option<u64> {
    let first = line.split_whitespace().next()?;
    if let Ok(seconds) = first.parse::<f64>() {
        return (seconds >= 0.0).then_some(seconds as u64);
    }
    let clock = first.split_once('T')?.1;
    let mut parts = clock.trim_end_matches('Z').split(':');
    let (hours, minutes) = (parts.next()?.parse::<u64>().ok()?, parts.next()?.parse::<u64>().ok()?);
    Some(hours * 3600 + minutes * 60 + parts.next()?.parse::<f64>().ok()? as u64)
}

/// Adds one proxy's log to the aggregated figures.
fn add_log(lines: impl Iterator<Item = String>, seconds: &mut BTreeMap<u64, Second>) {
    let mut previous: BTreeMap<&str, f64> = BTreeMap::new();
    for line in lines {
        let Some(at) = second_of(&line) else { continue };
        let second = seconds.entry(at).or_default();
        if let Some((_, status)) = line.split_once("standing: ") {
            second.proxies += 1;
            let logged: BTreeMap<&str, f64> = status
                .split_whitespace()
                .filter_map(|pair| pair.split_once('='))
                .filter_map(|(key, value)| Some((key, value.parse().ok()?)))
                .collect();
            for key in SUMS.into_iter().chain(MEANS) {
                *second.figures.entry(key).or_default() += logged.get(key).copied().unwrap_or(0.0);
            }
            for key in COUNTERS {
                let (old, new) =
                    (previous.get(key).copied().unwrap_or(0.0), logged.get(key).copied().unwrap_or(0.0));
                // Counters of a restarted proxy start at 0.
                *second.figures.entry(key).or_default() += if new >= old { new - old } else { new };
                previous.insert(key, new);
            }
        } else if let Some((_, outcome)) = line.split_once(" ejected: ") {
            *second.ejected.entry(outcome.trim().to_string()).or_default() += 1;
        } else if line.contains("discovery: ") {
            second.discovery += 1;
        }
        second.errors += u64::from(line.contains(" ERROR "));
    }
}

/// Adds the argument's name and the path to an error.
fn with_path(path: &Path) -> impl Fn(io::Error) -> io::Error + '_ {
    move |e| io::Error::new(e.kind(), format!("logs: {}: {e}", path.display()))
}

/// Prints the table for a folder of logs, one file per proxy; returns the figures and the verdict.
pub fn measure(folder: &Path) -> io::Result<Value> {
    let mut seconds = BTreeMap::new();
    let mut files = 0;
    let entries = std::fs::read_dir(folder).map_err(with_path(folder))?;
    for entry in entries {
        let path = entry.map_err(with_path(folder))?.path();
        if path.extension().is_some_and(|e| e == "log") {
            let file = std::fs::File::open(&path).map_err(with_path(&path))?;
            add_log(BufReader::new(file).lines().map_while(Result::ok), &mut seconds);
            files += 1;
        }
    }
    if !seconds.values().any(|s: &Second| s.proxies > 0) {
        let text =
            format!("logs: expected *.log files of proxies at level info, got {files} files without figures");
        return Err(io::Error::other(text));
    }
    println!("{files} logs of proxies, by second; sums, but means of admit, pool and ready");
    println!("  sec prox  arriv   rate  out held admit  pool ready |  shed  cold  late spent | disc  ejected by outcome");
    for (at, s) in &seconds {
        let f = |key: &str| s.figures.get(key).copied().unwrap_or(0.0);
        let mean = |key: &str| f(key) / (s.proxies.max(1) as f64);
        println!(
            "{at:5} {:4} {:6.0} {:6.0} {:4.0} {:4.0} {:5.2} {:5.2} {:5.1} | {:5.0} {:5.0} {:5.0} {:5.0} | {:4}  {:?}",
            s.proxies, f("arrivals"), f("rate"), f("out"), f("held"), mean("admit"), mean("pool"), mean("ready"),
            f("shed"), f("cold"), f("late"), f("spent"), s.discovery, s.ejected
        );
    }
    let all = |key: &str| seconds.values().filter_map(|s| s.figures.get(key)).sum::<f64>();
    let (arrived, rejected) = (all("arrivals"), COUNTERS.iter().map(|key| all(key)).sum::<f64>());
    let errors: u64 = seconds.values().map(|s| s.errors).sum();
    let max_per_s = |of: &dyn Fn(&Second) -> u64| seconds.values().map(of).max().unwrap_or(0);
    let rejected_fraction = if arrived > 0.0 { rejected / arrived } else { 0.0 };
    Ok(json!({
        "measure": "fleet", "logs": files, "arrived": arrived.round(), "turned_away_part": rejected_fraction,
        "turned_away_bound": MAX_REJECTED, "error_lines": errors,
        "failed_discovery_calls": seconds.values().map(|s| s.discovery).sum::<u64>(),
        "most_failed_discovery_calls_a_second": max_per_s(&|s| s.discovery),
        "most_ejections_a_second": max_per_s(&|s| s.ejected.values().sum()),
        "held": rejected_fraction <= MAX_REJECTED && errors == 0,
    }))
}

#[cfg(test)]
mod tests;
