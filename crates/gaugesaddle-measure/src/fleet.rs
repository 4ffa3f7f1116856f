//! What a whole fleet of proxies did in each second, counted over their own logs: no proxy alone shows it.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// Figures that each proxy tells once a second, summed over the fleet.
const SUMS: [&str; 4] = ["arrivals", "rate", "out", "held"];
/// The same, as means.
const MEANS: [&str; 3] = ["admit", "pool", "ready"];
/// Counters since a proxy's start: what is shown is their growth.
const COUNTERS: [&str; 4] = ["shed", "cold", "late", "spent"];
/// Requests that a proxy may hold back or turn away beside those that it lets in, of all that come, before the table
/// says that the fleet does not hold.
const MAX_REJECTED: f64 = 0.2;

/// One second of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
struct Second {
    proxies: u64,
    figures: BTreeMap<&'static str, f64>,
    ejected: BTreeMap<String, u64>,
    discovery: u64,
    errors: u64,
}

/// The second in which a line was written: of its first field that is a number of seconds, or of an RFC 3339 time.
fn second(line: &str) -> Option<u64> {
    let first = line.split_whitespace().next()?;
    if let Ok(seconds) = first.parse::<f64>() {
        return (seconds >= 0.0).then_some(seconds as u64);
    }
    let clock = first.split_once('T')?.1;
    let mut parts = clock.trim_end_matches('Z').split(':');
    let (hours, minutes) = (parts.next()?.parse::<u64>().ok()?, parts.next()?.parse::<u64>().ok()?);
    Some(hours * 3600 + minutes * 60 + parts.next()?.parse::<f64>().ok()? as u64)
}

/// Counts one proxy's log in.
fn count(lines: impl Iterator<Item = String>, seconds: &mut BTreeMap<u64, Second>) {
    let mut before: BTreeMap<&str, f64> = BTreeMap::new();
    for line in lines {
        let Some(at) = second(&line) else { continue };
        let now = seconds.entry(at).or_default();
        if let Some((_, told)) = line.split_once("standing: ") {
            now.proxies += 1;
            let told: BTreeMap<&str, f64> = told
                .split_whitespace()
                .filter_map(|pair| pair.split_once('='))
                .filter_map(|(key, value)| Some((key, value.parse().ok()?)))
                .collect();
            for key in SUMS.into_iter().chain(MEANS) {
                *now.figures.entry(key).or_default() += told.get(key).copied().unwrap_or(0.0);
            }
            for key in COUNTERS {
                let (old, new) =
                    (before.get(key).copied().unwrap_or(0.0), told.get(key).copied().unwrap_or(0.0));
                // One that was restarted counts from anew.
                *now.figures.entry(key).or_default() += if new >= old { new - old } else { new };
                before.insert(key, new);
            }
        } else if let Some((_, why)) = line.split_once(" ejected: ") {
            *now.ejected.entry(why.trim().to_string()).or_default() += 1;
        } else if line.contains("discovery: ") {
            now.discovery += 1;
        }
        now.errors += u64::from(line.contains(" ERROR "));
    }
}

/// The error of a path, with the argument that named it.
fn at(path: &Path) -> impl Fn(io::Error) -> io::Error + '_ {
    move |e| io::Error::new(e.kind(), format!("logs: {}: {e}", path.display()))
}

/// The table of a folder of logs, one file a proxy, and whether the fleet held.
pub fn measure(folder: &Path) -> io::Result<Value> {
    let mut seconds = BTreeMap::new();
    let mut files = 0;
    let entries = std::fs::read_dir(folder).map_err(at(folder))?;
    for entry in entries {
        let path = entry.map_err(at(folder))?.path();
        if path.extension().is_some_and(|e| e == "log") {
            let file = std::fs::File::open(&path).map_err(at(&path))?;
            count(BufReader::new(file).lines().map_while(Result::ok), &mut seconds);
            files += 1;
        }
    }
    if !seconds.values().any(|s: &Second| s.proxies > 0) {
        let text =
            format!("logs: expected *.log files of proxies at level info, got {files} without figures");
        return Err(io::Error::other(text));
    }
    println!("{files} logs of proxies, by the second; sums but for admit, pool and ready, which are means");
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
    let (arrived, away) = (all("arrivals"), COUNTERS.iter().map(|key| all(key)).sum::<f64>());
    let errors: u64 = seconds.values().map(|s| s.errors).sum();
    let most = |of: &dyn Fn(&Second) -> u64| seconds.values().map(of).max().unwrap_or(0);
    let part = if arrived > 0.0 { away / arrived } else { 0.0 };
    Ok(json!({
        "measure": "fleet", "logs": files, "arrived": arrived.round(), "turned_away_part": part,
        "turned_away_bound": MAX_REJECTED, "error_lines": errors,
        "failed_discovery_calls": seconds.values().map(|s| s.discovery).sum::<u64>(),
        "most_failed_discovery_calls_a_second": most(&|s| s.discovery),
        "most_ejections_a_second": most(&|s| s.ejected.values().sum()),
        "held": part <= MAX_REJECTED && errors == 0,
    }))
}

#[cfg(test)]
mod tests;
