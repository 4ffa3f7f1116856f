//! A model of a node's machine: processor sharing over its cores, a queue in front, slow start, and overload under
//! sustained load. It uses no clock and no I/O: the caller supplies the time and receives the completed jobs.

use crate::scenario::{Kind, Overload};
use std::collections::VecDeque;

/// Longest step over which a changing speed is taken as constant, in microseconds.
const MAX_STEP_US: f64 = 5_000.0;

/// Fraction of full capacity that a node has at an age.
pub fn slow_start_fraction(cold_from: f64, ramp_us: f64, age_us: f64) -> f64 {
    if ramp_us <= 0.0 {
        return 1.0;
    }
    (cold_from + (1.0 - cold_from) * (age_us / ramp_us).max(0.0)).min(1.0)
}

/// Work that a node can do between two ages, in microseconds of a standard core.
pub fn work_between(speed: f64, cold_from: f64, ramp_us: f64, from_us: f64, to_us: f64) -> f64 {
    // Capacity rises linearly during slow start, so its mean is that of both ends; after it, capacity is full.
    let from = from_us.max(0.0);
    let ramp_end = ramp_us.clamp(from, to_us.max(from));
    let ramp_work = (slow_start_fraction(cold_from, ramp_us, from)
        + slow_start_fraction(cold_from, ramp_us, ramp_end))
        / 2.0
        * (ramp_end - from);
    speed * (ramp_work + (to_us - ramp_end).max(0.0))
}

struct Job {
    id: u64,
    remaining_us: f64,
}

/// The machine of a node. Times are in microseconds since the start of the run.
pub struct Processor {
    cores: f64,
    speed: f64,
    initial_capacity: f64,
    slow_start_us: f64,
    started: f64,
    slots: usize,
    queue: usize,
    overload: Overload,
    /// Factor by which processing is slowed down.
    pub slow: f64,
    /// Whether it accepts requests and completes none.
    pub hung: bool,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    now: f64,
    /// Whether it is overloaded.
    pub overloaded: bool,
    crossed_at: Option<f64>,
}

impl Processor {
    /// A machine of a kind that starts at a time, in slow start (`cold`) or at full capacity.
    pub fn new(kind: &Kind, overload: Overload, started: u64, cold: bool) -> Processor {
        Processor {
            cores: kind.cores as f64,
            speed: kind.speed,
            initial_capacity: if cold { kind.initial_capacity } else { 1.0 },
            slow_start_us: kind.slow_start_s * 1e6,
            started: started as f64,
            slots: kind.slots_per_core * kind.cores,
            queue: kind.queue_per_core * kind.cores,
            overload,
            slow: 1.0,
            hung: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
            now: started as f64,
            overloaded: false,
            crossed_at: None,
        }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Accepts a job unless its queue is full.
    pub fn offer(&mut self, now: u64, id: u64, work_us: u64) -> bool {
        let job = Job { id, remaining_us: (work_us as f64).max(1.0) };
        self.now = self.now.max(now as f64);
        if self.running.len() < self.slots {
            self.running.push(job);
        } else if self.waiting.len() < self.queue {
            self.waiting.push_back(job);
        } else {
            return false;
        }
        true
    }

    /// Work that a core does per microsecond at a time.
    fn rate(&self, at: f64) -> f64 {
        if self.hung {
            return 0.0;
        }
        let capacity = slow_start_fraction(self.initial_capacity, self.slow_start_us, at - self.started);
        let slowdown = if self.overloaded { self.overload.slower } else { 1.0 };
        self.speed * capacity / self.slow / slowdown
    }

    /// Work that each running job receives per microsecond at a time.
    fn rate_per_job(&self, at: f64) -> f64 {
        self.rate(at) * (self.cores / self.running.len().max(1) as f64).min(1.0)
    }

    /// Runs up to a time and appends the jobs that have completed by then to `ended`.
    pub fn run(&mut self, now: u64, ended: &mut Vec<u64>) {
        let now = now as f64;
        while self.now < now {
            let rate_per_job = self.rate_per_job(self.now);
            let least_remaining_us =
                self.running.iter().map(|j| j.remaining_us).fold(f64::INFINITY, f64::min);
            let to_end = if rate_per_job > 0.0 { least_remaining_us / rate_per_job } else { f64::INFINITY };
            let step = (now - self.now).min(to_end.max(1.0)).min(MAX_STEP_US);
            self.running.iter_mut().for_each(|j| j.remaining_us -= rate_per_job * step);
            self.now += step;
            self.update_overload();
            let mut i = 0;
            while i < self.running.len() {
                if self.running[i].remaining_us <= 1e-6 {
                    ended.push(self.running.swap_remove(i).id);
                } else {
                    i += 1;
                }
            }
            while self.running.len() < self.slots {
                let Some(job) = self.waiting.pop_front() else { break };
                self.running.push(job);
            }
        }
    }

    /// Enters or leaves overload once the load has been beyond its threshold for long enough.
    fn update_overload(&mut self) {
        let jobs_per_core = self.in_flight() as f64 / self.cores;
        let threshold_crossed = if self.overloaded {
            jobs_per_core < self.overload.below
        } else {
            jobs_per_core > self.overload.at
        };
        if !threshold_crossed {
            self.crossed_at = None;
            return;
        }
        let crossed_at = *self.crossed_at.get_or_insert(self.now);
        let duration_s = if self.overloaded { self.overload.rest_s } else { self.overload.over_s };
        if self.now - crossed_at >= duration_s * 1e6 {
            self.overloaded = !self.overloaded;
            self.crossed_at = None;
        }
    }

    /// Latest time at which to call [`Processor::run`] again; `None` while the machine is idle and not overloaded.
    pub fn next(&self) -> Option<u64> {
        let rate_per_job = self.rate_per_job(self.now);
        let least_remaining_us = self.running.iter().map(|j| j.remaining_us).fold(f64::INFINITY, f64::min);
        let wait = if least_remaining_us.is_finite() && rate_per_job > 0.0 {
            least_remaining_us / rate_per_job
        } else if self.overloaded || self.in_flight() > 0 {
            50_000.0 // no completion is predictable: check again for a change of state
        } else {
            return None;
        };
        // Limited, since the speed may change by then.
        Some((self.now + wait.clamp(1.0, 50_000.0)).ceil() as u64)
    }

    /// Removes a queued job; returns whether it was queued.
    pub fn drop_waiting(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|j| j.id != id);
        self.waiting.len() < before
    }
}

#[cfg(test)]
mod tests;
