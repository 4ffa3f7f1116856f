//! Decides how long a stream's backend may be silent before the stream is requested from another backend, too.
//!
//! A backend that sends nothing at all may be gone, and is waited for only as long as another backend then needs to continue
//! in time. One that sends other responses meanwhile has paused this stream: it reads another prompt, or has preempted the
//! request. Another backend would have to read the prompt again, so the stream may take most of the time for which clients wait.

use gaugesaddle_config::Route;
use std::time::Duration;
use tokio::time::Instant;

/// Silence after which a backend that sends nothing at all may be gone.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Fraction of the clients' patience for which a stream may pause.
const PAUSE_FRACTION: f64 = 0.75;

// Clients give a stream up after the longest of these silences (`docs/design/system.md`).
const MIN_PATIENCE_MS: f64 = 2000.0;
const PATIENCE_PER_LATENCY_OBJECTIVE: f64 = 4.0;
const PATIENCE_PER_GAP_OBJECTIVE: f64 = 8.0;

/// The longest pause of a stream on this route whose backend sends other responses meanwhile.
pub fn max_pause(route: &Route) -> Duration {
    let by_latency_ms = PATIENCE_PER_LATENCY_OBJECTIVE * route.latency_objective_ms;
    let by_gap_ms = PATIENCE_PER_GAP_OBJECTIVE * route.gap_objective_ms;
    let patience_ms = MIN_PATIENCE_MS.max(by_latency_ms).max(by_gap_ms);
    Duration::from_secs_f64(PAUSE_FRACTION * patience_ms / 1000.0).max(SILENCE_TIMEOUT)
}

/// When the stream is to be requested from another backend: it is silent since `silent_since`, and its backend has sent a part
/// of any response at `last_sent`.
pub fn takeover_time(silent_since: Instant, last_sent: Option<Instant>, max_pause: Duration) -> Instant {
    let last_sent = last_sent.map_or(silent_since, |at| at.max(silent_since));
    (last_sent + SILENCE_TIMEOUT).min(silent_since + max_pause)
}

#[cfg(test)]
mod tests;
