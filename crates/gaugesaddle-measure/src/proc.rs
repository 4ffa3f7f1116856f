//! What the system says of a process.

pub use gaugesaddle_testbed::peak_kb;
use std::io;

/// Clock ticks a second in /proc (`USER_HZ`, which Linux fixes at 100 for user space).
const TICKS: f64 = 100.0;

/// CPU seconds of a process so far, its own and the system's for it. Of one with a single thread the scheduler tells
/// them in nanoseconds; of others the system counts ticks.
pub fn cpu_seconds(pid: u32) -> io::Result<f64> {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task"))?.count();
    if let (1, Ok(text)) = (threads, std::fs::read_to_string(format!("/proc/{pid}/schedstat"))) {
        if let Some(ns) = text.split_whitespace().next().and_then(|f| f.parse::<f64>().ok()) {
            return Ok(ns / 1e9);
        }
    }
    ticks(pid, 11)
}

/// Two neighbouring fields of `/proc/PID/stat`, time in the program and in the system for it, as seconds.
fn ticks(pid: u32, first: usize) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name may hold anything; the fields are counted from behind it.
    let fields = text.rsplit(')').next().unwrap_or("").split_whitespace().collect::<Vec<_>>();
    let field = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    let ticks = field(first).zip(field(first + 1)).ok_or_else(|| io::Error::other("no CPU time in /proc"))?;
    Ok((ticks.0 + ticks.1) / TICKS)
}

/// CPU seconds of the processes that this one has started and seen end.
pub fn children_cpu_seconds() -> io::Result<f64> {
    ticks(std::process::id(), 13)
}

/// CPU seconds of this process.
pub fn own_cpu_seconds() -> io::Result<f64> {
    cpu_seconds(std::process::id())
}

#[cfg(test)]
mod tests;
