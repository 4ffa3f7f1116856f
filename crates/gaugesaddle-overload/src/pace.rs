//! The rate that may be let in while a storm lasts: found by trying, from what ends well and what doesn't. Nothing is
//! known of the fleet beforehand, for after a restart nothing is remembered.

/// Part of the ends that may be bad before the rate is cut.
const BAD: f64 = 0.1;
/// A cut; and a rise, where the rate was used.
const CUT: f64 = 0.8;
const RISE: f64 = 1.08;
/// Part of the rate that must have been let in for a rise: an unused rate proves nothing.
const USED: f64 = 0.7;
/// Ends in a look that say something.
const FEWEST: u32 = 4;
/// The least rate, requests a second: recovery must be seen.
pub(crate) const LEAST: f64 = 2.0;

/// The rate that this proxy lets in. Unbounded until something ends badly: while all that is let in ends well, the
/// module's own line serves by worth what a bound at the door would turn away by chance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    per_s: Option<f64>,
}

impl Pace {
    /// Requests a second, where there is a bound.
    pub fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Takes in what was let in and how it ended over the last `secs`.
    pub fn look(&mut self, secs: f64, let_in: u32, well: u32, badly: u32) {
        let ended = well + badly;
        if ended < FEWEST || secs <= 0.0 {
            return;
        }
        let (came, well) = (f64::from(let_in) / secs, f64::from(well) / secs);
        if f64::from(badly) > BAD * f64::from(ended) {
            // Not below what does end well: that much the fleet bears.
            let from = self.per_s.unwrap_or(came);
            self.per_s = Some((from * CUT).max(well * CUT).max(LEAST));
        } else if let Some(bound) = self.per_s.filter(|bound| came >= USED * bound) {
            self.per_s = Some(bound * RISE);
        }
    }
}

#[cfg(test)]
mod tests;
