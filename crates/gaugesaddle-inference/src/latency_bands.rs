//! Backends by the work that waits there: which of them may be taken to be equally fast.
//!
//! All proxies hear the same news of who has little to do, and the news is old when it comes. So backends are told apart
//! only where they differ by more than arrives at one of them meanwhile, and a part of them is always taken together: what
//! all proxies send before they hear of it spreads over many.

/// Bands beyond the last one are not told apart.
const MOST_BANDS: u32 = 12;

/// The band of each backend: 0 for those with little work, and one more for each `width` above them.
pub fn of(backlogs: &[f64], width: f64, light_part: f64) -> Vec<u32> {
    let light = light(backlogs, light_part) + width;
    let band = |backlog: &f64| {
        if *backlog <= light {
            return 0;
        }
        1 + (((backlog - light) / width.max(1.0)) as u32).min(MOST_BANDS - 1)
    };
    backlogs.iter().map(band).collect()
}

/// The most work that waits at any of the part with the least.
fn light(backlogs: &[f64], part: f64) -> f64 {
    let mut sorted = backlogs.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let count = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(count.max(1) - 1).or(sorted.last()).copied().unwrap_or(0.0)
}
