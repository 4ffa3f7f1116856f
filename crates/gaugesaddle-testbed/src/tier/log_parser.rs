//! Parser of the membership lines in a proxy's log.

/// A log line with the view of another process.
pub(super) struct LoggedView {
    pub(super) at: u64,
    pub(super) index: usize,
    pub(super) state: String,
    pub(super) boot: u32,
    pub(super) cause: String,
}

fn number(hex: &str) -> Option<u32> {
    u32::from_str_radix(hex.trim_end_matches([',', ':']), 16).ok()
}

/// The membership message in a line. The last `peers: ` is its prefix, since the module name before it ends in the same
/// word.
fn tier_message(line: &str) -> Option<&str> {
    line.rsplit_once("peers: ").map(|l| l.1)
}

/// The own boot number that a process logs at its start.
pub(super) fn own_boot(line: &str) -> Option<u32> {
    let rest = tier_message(line)?.strip_prefix("this is ")?;
    number(rest.split("boot ").nth(1)?.split(' ').next()?)
}

/// The view that a line logs of another process.
pub(super) fn parse_view(at: u64, line: &str) -> Option<LoggedView> {
    let rest = tier_message(line)?;
    let mut words = rest.split(' ');
    let index = words.next()?.parse().ok()?;
    let state = words.nth(1).filter(|_| rest.contains(" is "))?.to_string();
    let boot = number(rest.split("boot ").nth(1)?.split(' ').next()?)?;
    let cause = rest.rsplit_once(": ").map_or("", |r| r.1).to_string();
    Some(LoggedView { at, index, state, boot, cause })
}

/// A line of a proxy's log with its time since the start of the run (`start`, in Unix microseconds); `None` if the line
/// has no timestamp.
pub fn parse_timed_line(line: &str, start: u64) -> Option<(u64, String)> {
    let stamp = line.split_whitespace().next()?;
    let (date, time) = stamp.strip_suffix('Z')?.split_once('T')?;
    let numbers =
        |text: &str, by: char| text.split(by).map(|n| n.parse::<f64>().ok()).collect::<Option<Vec<_>>>();
    let (date, time) = (numbers(date, '-')?, numbers(time, ':')?);
    let ([year, month, day], [hours, minutes, seconds]) =
        (date[..].try_into().ok()?, time[..].try_into().ok()?);
    // Days since 1970, counted in years that begin in March, so that a leap day is the last day of a year.
    let (y, m): (f64, f64) = if month > 2.0 { (year, month - 3.0) } else { (year - 1.0, month + 9.0) };
    let leaps = (y / 4.0).floor() - (y / 100.0).floor() + (y / 400.0).floor();
    let days = 365.0 * y + leaps + ((153.0 * m + 2.0) / 5.0).floor() + day - 719_469.0;
    let seconds_of_day_start = ((days * 24.0 + hours) * 60.0 + minutes) * 60.0;
    let us = seconds_of_day_start as u64 * 1_000_000 + (seconds * 1e6).round() as u64;
    Some((us.saturating_sub(start), line.to_string()))
}
