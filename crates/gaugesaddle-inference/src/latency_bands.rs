//! Latency bands: groups of backends whose backlogs are so similar that they are treated as equally fast.
//!
//! All proxies receive the same load reports, and the reports are outdated on arrival: if every proxy preferred the least
//! loaded backend, all requests until the next report would go to the same one. Backends are therefore distinguished only
//! if their backlogs differ by more work than arrives at one backend within the delay of a report, and a fixed fraction of
//! the backends always forms one band, so that the requests between two reports are spread over many backends.

/// The last band; it includes all larger backlogs.
const MAX_BAND: u32 = 12;

/// The band of each backend: 0 for the least loaded backends, and 1 more for each `width` by which a backlog exceeds theirs.
/// Backlogs and width are in tokens.
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

/// The largest backlog among the given fraction of the least loaded backends.
fn highest_of_least_loaded(backlogs: &[f64], fraction: f64) -> f64 {
    let mut sorted = backlogs.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let count = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(count.max(1) - 1).or(sorted.last()).copied().unwrap_or(0.0)
}
