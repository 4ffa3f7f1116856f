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
mod tests {
    use super::*;

    /// Lets in what it may of what comes, of which the fleet bears so much, for 20 s.
    fn run(pace: &mut Pace, comes: f64, bears: f64) {
        for _ in 0..80 {
            let let_in = pace.per_s().map_or(comes, |p| p.min(comes)) * 0.25;
            let well = let_in.min(bears * 0.25);
            pace.look(0.25, let_in as u32, well as u32, (let_in - well) as u32);
        }
    }

    #[test]
    fn it_falls_to_what_the_fleet_bears_and_rises_with_it() {
        let mut pace = Pace::default();
        run(&mut pace, 400.0, 60.0);
        assert!(pace.per_s().is_some_and(|p| (45.0..80.0).contains(&p)), "{pace:?}");
        run(&mut pace, 400.0, 150.0);
        assert!(pace.per_s().is_some_and(|p| (115.0..200.0).contains(&p)), "{pace:?}");
    }

    #[test]
    fn without_bad_ends_there_is_no_bound_and_a_dead_fleet_keeps_the_least() {
        let mut pace = Pace::default();
        run(&mut pace, 400.0, 500.0);
        assert_eq!(pace.per_s(), None);
        (0..100).for_each(|_| pace.look(1.0, 50, 0, 50));
        assert_eq!(pace.per_s(), Some(LEAST));
        pace.look(1.0, 0, 4, 0);
        assert_eq!(pace.per_s(), Some(LEAST), "an unused rate proves nothing");
    }
}
