//! Resource usage of processes, from /proc.

pub use gaugesaddle_testbed::peak_kb;
use std::io;

/// Clock ticks per second in /proc (`USER_HZ`, which Linux fixes at 100 for user space).
const TICKS_PER_S: f64 = 100.0;

/// User and system CPU seconds of a process so far: with the scheduler's nanosecond resolution if it has a single
/// thread, in clock ticks otherwise.
pub fn cpu_seconds(pid: u32) -> io::Result<f64> {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task"))?.count();
    if let (1, Ok(text)) = (threads, std::fs::read_to_string(format!("/proc/{pid}/schedstat"))) {
        if let Some(ns) = text.split_whitespace().next().and_then(|f| f.parse::<f64>().ok()) {
            return Ok(ns / 1e9);
        }
    }
    cpu_seconds_from_stat(pid, 11)
}

/// Sum of two adjacent fields of `/proc/PID/stat`, user and system time, in seconds.
fn cpu_seconds_from_stat(pid: u32, first: usize) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command name may contain spaces and parentheses, so fields are counted from the last closing parenthesis.
    let fields = text.rsplit(')').next().unwrap_or("").split_whitespace().collect::<Vec<_>>();
    let field = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    let ticks = field(first).zip(field(first + 1)).ok_or_else(|| io::Error::other("no CPU time in /proc"))?;
    Ok((ticks.0 + ticks.1) / TICKS_PER_S)
}

/// CPU seconds of the child processes that have ended and been waited for.
pub fn children_cpu_seconds() -> io::Result<f64> {
    cpu_seconds_from_stat(std::process::id(), 13)
}

/// CPU seconds of this process.
pub fn own_cpu_seconds() -> io::Result<f64> {
    cpu_seconds(std::process::id())
}

#[cfg(test)]
mod tests;
