//! A proxy's calls in flight: when a further control process is called beside one that is silent.
//!
//! A suspended or partitioned process, or one on a saturated link, accepts connections and does not reply. If the next
//! process were called only after the time-out of the last one, several silent processes in a row would delay a change
//! by the sum of their time-outs.
//!
//! ```text
//!            no reply has begun HEDGE_DELAY_MS after the newest call was due
//!  one call ----------------------------------------------------------------> one more, up to MAX_CALLS
//!     ^                                                                          |
//!     +---- a fresh reply: the other calls are abandoned, their processes failed +
//! ```

/// Delay after a reply was due and after the last call until another process is called, in milliseconds: several round
/// trips and the processing of a large change.
pub const HEDGE_DELAY_MS: u64 = 150;
/// Maximum number of calls in flight.
pub const MAX_CALLS: usize = 4;

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Call {
    ip: u32,
    /// When its reply is due if the process is responsive, in milliseconds.
    due_ms: u64,
    /// Its reply has begun to arrive.
    has_begun: bool,
}

/// The calls in flight, in the order in which they began.
#[derive(Clone, Debug, Default)]
pub struct CallSet {
    calls: Vec<Call>,
}

impl CallSet {
    /// Records a call to the process `ip` at `now` (milliseconds) that asks it to wait up to `wait_ms` milliseconds for
    /// changes.
    pub fn begin(&mut self, now: u64, ip: u32, wait_ms: u64) {
        self.end(ip);
        self.calls.push(Call { ip, due_ms: now + wait_ms, has_begun: false });
    }

    /// Records that the reply of a process begins to arrive.
    pub fn record_begun(&mut self, ip: u32) {
        for call in self.calls.iter_mut().filter(|call| call.ip == ip) {
            call.has_begun = true;
        }
    }

    /// Records that a call has failed or was answered.
    pub fn end(&mut self, ip: u32) {
        self.calls.retain(|call| call.ip != ip);
    }

    /// Abandons the calls that are left after a fresh reply; returns the processes that have not begun to reply although
    /// their replies were due at `now`.
    pub fn abandon_all(&mut self, now: u64) -> Vec<u32> {
        let is_silent = |call: &Call| !call.has_begun && now >= call.due_ms;
        let silent = self.calls.iter().filter(|call| is_silent(call)).map(|call| call.ip).collect();
        self.calls.clear();
        silent
    }

    /// The processes that are being called.
    pub fn called(&self) -> impl Iterator<Item = u32> + '_ {
        self.calls.iter().map(|call| call.ip)
    }

    /// When another process is called, in milliseconds: at once without a call in flight; `None` while a reply is
    /// arriving, and for [`MAX_CALLS`] calls.
    pub fn next_call_ms(&self) -> Option<u64> {
        if self.calls.len() >= MAX_CALLS || self.calls.iter().any(|call| call.has_begun) {
            return None;
        }
        Some(self.calls.last().map_or(0, |call| call.due_ms + HEDGE_DELAY_MS))
    }
}
