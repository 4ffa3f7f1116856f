//! Latency bands: backends whose backlogs are so close that they count as equally fast.
//!
//! All proxies receive the same reports of which backends have little work, and these reports are old when they arrive.
//! Backends are therefore distinguished only where their backlogs differ by more than arrives at one of them meanwhile,
//! and a fraction of them always counts as one band: what all proxies send before the next report spreads over many.

/// Highest band; it has no upper limit.
const MAX_BAND: u32 = 12;

/// The band of each backend: 0 for those with little work, and one more for each `width` above them. Backlogs and width
/// are in tokens.
pub fn assign(backlogs: &[f64], width: f64, least_loaded_fraction: f64) -> Vec<u32> {
    let first_band_limit = highest_of_least_loaded(backlogs, least_loaded_fraction) + width;
    let band = |backlog: &f64| {
        if *backlog <= first_band_limit {
            return 0;
        }
        let widths_above = (backlog - first_band_limit) / width.max(1.0);
        1 + (widths_above as u32).min(MAX_BAND - 1)
    };
    backlogs.iter().map(band).collect()
}

/// The largest backlog among the given fraction of backends with the least.
fn highest_of_least_loaded(backlogs: &[f64], fraction: f64) -> f64 {
    let mut sorted = backlogs.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let count = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(count.max(1) - 1).or(sorted.last()).copied().unwrap_or(0.0)
}
