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

/// The rate that this proxy lets in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    per_s: f64,
}

impl Pace {
    /// Begins at what ended well of late.
    pub fn new(well_per_s: f64) -> Pace {
        Pace { per_s: if well_per_s.is_finite() { well_per_s.max(LEAST) } else { LEAST } }
    }

    /// Requests a second.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Takes in what was let in and how it ended over the last `secs`.
    pub fn look(&mut self, secs: f64, let_in: u32, well: u32, badly: u32) {
        let ended = well + badly;
        if ended < FEWEST || secs <= 0.0 {
            return;
        }
        if f64::from(badly) > BAD * f64::from(ended) {
            // Not below what does end well: that much the fleet bears.
            self.per_s = (self.per_s * CUT).max(f64::from(well) / secs * CUT).max(LEAST);
        } else if f64::from(let_in) >= USED * self.per_s * secs {
            self.per_s *= RISE;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_falls_to_what_the_fleet_bears_and_rises_with_it() {
        let mut pace = Pace::new(200.0);
        let run = |pace: &mut Pace, bears: f64| {
            for _ in 0..80 {
                let let_in = pace.per_s() * 0.25;
                let well = let_in.min(bears * 0.25);
                pace.look(0.25, let_in as u32, well as u32, (let_in - well) as u32);
            }
        };
        run(&mut pace, 60.0);
        assert!((45.0..80.0).contains(&pace.per_s()), "{}", pace.per_s());
        run(&mut pace, 150.0);
        assert!((115.0..200.0).contains(&pace.per_s()), "{}", pace.per_s());
    }

    #[test]
    fn an_unused_rate_proves_nothing_and_a_dead_fleet_keeps_the_least() {
        let mut pace = Pace::new(100.0);
        pace.look(1.0, 10, 10, 0);
        assert_eq!(pace.per_s(), 100.0);
        (0..100).for_each(|_| pace.look(1.0, 50, 0, 50));
        assert_eq!(pace.per_s(), LEAST);
        assert_eq!(Pace::new(f64::NAN).per_s(), LEAST);
    }
}
