//! Long prompts apart from the others: assignment of sizes to groups of backends.
//!
//! While an engine reads a long prompt, everybody else on that backend waits: first tokens and the pauses between
//! events both suffer. So a part of the backends, as large as the long prompts' part of the work asks for, is kept for
//! them. All proxies keep the same ones: those that rank highest for a fixed number.

use crate::{warmth, Prompt, Rate, OVERHEAD_TOKENS};

/// A prompt of so many times the mean is long.
const LONG: f64 = 10.0;
/// Part that one prompt has in the smoothed figures, at least.
const PART: f64 = 0.0005;
/// Part of the work that long prompts are taken to be before any is seen, and how many prompts that counts as.
const LONG_PART: f64 = 0.15;
const PRIOR: u32 = 400;
/// Mean tokens of a prompt that are taken before any is seen, and how many prompts that counts as: in a large fleet a
/// proxy sees few.
const MEAN: f64 = 2000.0;
const MEAN_PRIOR: u32 = 30;
/// The number of backends kept is changed only when it is off by more than this.
const SLACK: f64 = 0.8;
/// Backends kept, for each that the long prompts' part of the work would fill: they vary more.
const ROOM: f64 = 1.4;
/// Fewer backends are not divided.
const LEAST_BACKENDS: usize = 4;
/// Smoothing of the arrival rate, in ms.
const SMOOTHING: f64 = 5000.0;
/// What backends are ranked for.
const RESERVED: u64 = 0x6c6f_6e67;

/// What the prompts of one service are like.
#[derive(Clone, Copy, Debug)]
pub struct PromptSizes {
    seen: u32,
    mean: f64,
    /// Long prompts' part of the work.
    long: f64,
    /// The part by which backends are kept; follows `long` when that is well off.
    kept: f64,
    arrivals: Rate,
}

impl Default for PromptSizes {
    fn default() -> PromptSizes {
        PromptSizes { seen: 0, mean: MEAN, long: LONG_PART, kept: LONG_PART, arrivals: Rate::default() }
    }
}

impl PromptSizes {
    /// Takes a prompt into account; tokens that a backend that keeps its shared part would read.
    pub fn note(&mut self, now: u64, prompt: Prompt) {
        self.arrivals.note(now, SMOOTHING);
        if prompt.total == 0 {
            return;
        }
        let tokens = prompt.unread(true) as f64;
        self.seen = self.seen.saturating_add(1);
        let part = PART.max(1.0 / f64::from(self.seen.saturating_add(MEAN_PRIOR)));
        self.mean += part * (tokens - self.mean);
        let weight = tokens / self.mean.max(1.0);
        let long = if self.is_long(prompt) { 1.0 } else { 0.0 };
        let part = PART.max(1.0 / f64::from(self.seen.saturating_add(PRIOR)));
        self.long += (part * weight).min(1.0) * (long - self.long);
        if (self.long - self.kept).abs() > SLACK * self.kept {
            self.kept = self.long;
        }
    }

    /// Work that arrives at each of so many backends within a time in ms, from so many proxies like this one, in tokens;
    /// one request's at least.
    pub fn inflow(&self, now: u64, time: f64, proxies: usize, backends: usize) -> f64 {
        let read = if self.seen == 0 { 0.0 } else { self.mean };
        let rate = self.arrivals.at(now, SMOOTHING) * proxies.max(1) as f64;
        let requests = rate * time / 1000.0 / backends.max(1) as f64;
        (OVERHEAD_TOKENS + read) * requests.max(1.0)
    }

    /// Whether a prompt is long.
    pub fn is_long(&self, prompt: Prompt) -> bool {
        prompt.unread(true) as f64 > LONG * self.mean
    }

    /// Backends kept for long prompts, of so many.
    pub fn reserved(&self, backends: usize) -> usize {
        if self.seen == 0 || backends < LEAST_BACKENDS {
            return 0;
        }
        let wanted = backends as f64 * self.kept * ROOM;
        (wanted.round() as usize).clamp(1, backends / 2)
    }

    /// Marks the backends that are kept for long prompts.
    pub fn mark(&self, backends: &[u64]) -> Vec<bool> {
        let reserved = self.reserved(backends.len());
        if reserved == 0 {
            return vec![false; backends.len()];
        }
        warmth::warm(RESERVED, backends, reserved)
    }
}
