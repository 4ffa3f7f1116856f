//! When to call discovery next, where all proxies ask one service. No I/O, no clock.
//!
//! One change of the list ends the watch of every proxy at the same moment, and all of them call again at once: of 100
//! proxies the service can answer 12 to 50 a second, the rest wait until they are turned away and come again. So each
//! leaves a gap between its calls that grows with the number of proxies and with each failure, and is drawn at random
//! round its length. Few proxies leave none: their watches then go on without a break.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Gap for each proxy that is told: a service that can take a call of each in two seconds is at half of its capacity
/// when every one of a hundred calls as often as it may.
const EACH: Duration = Duration::from_millis(10);
/// A watch goes on when the next call comes within this time; shorter gaps are none.
const CONTINUED: Duration = Duration::from_millis(200);
/// The longest gap, as a part of the time after which a proxy that does not ask counts as told.
const LONGEST: f64 = 0.25;
/// What a failed call makes of the gap, and an answered one.
const FAILED: f64 = 2.0;
const ANSWERED: f64 = 0.7;

/// The gaps of one proxy.
pub struct Pacing {
    /// How many there are: as told at the start, and those that live where that is known (else 0).
    told: u32,
    living: Rc<Cell<u32>>,
    most: Duration,
    gap: Duration,
    dice: Pcg32,
}

impl Pacing {
    /// For one of so many proxies, each of which counts as told after `within` without a call.
    pub fn new(proxies: u32, within: Duration, seed: u64) -> Pacing {
        let (most, living) = (within.mul_f64(LONGEST), Rc::default());
        let dice = Pcg32::seed_from_u64(seed);
        let mut pacing = Pacing { told: proxies, living, most, gap: Duration::ZERO, dice };
        pacing.gap = pacing.least();
        pacing
    }

    /// Goes by what this says from now on, as soon as that is not 0.
    pub fn among(self, living: Rc<Cell<u32>>) -> Pacing {
        Pacing { living, ..self }
    }

    fn least(&self) -> Duration {
        let proxies = match self.living.get() {
            0 => self.told,
            living => living,
        };
        let least = (EACH * proxies).min(self.most);
        if least < CONTINUED {
            Duration::ZERO
        } else {
            least
        }
    }

    /// Before the first call: all proxies may have started at the same moment.
    pub fn first(&mut self) -> Duration {
        self.least().mul_f64(2.0 * self.unit())
    }

    /// After an answered call.
    pub fn answered(&mut self) -> Duration {
        self.gap = self.gap.mul_f64(ANSWERED).max(self.least());
        self.draw()
    }

    /// After a failed one, beside what the module waits.
    pub fn failed(&mut self) -> Duration {
        if self.least() > Duration::ZERO {
            self.gap = self.gap.max(self.least()).mul_f64(FAILED).min(self.most);
        }
        self.draw()
    }

    /// From 0 up to 1 where there are gaps, so that what many do alike falls apart in time; else 0.
    pub fn spread(&mut self) -> f64 {
        if self.least() > Duration::ZERO {
            self.unit()
        } else {
            0.0
        }
    }

    /// Half of the gap up to one and a half of it.
    fn draw(&mut self) -> Duration {
        self.gap.mul_f64(0.5 + self.unit())
    }

    /// Even from 0 up to 1.
    fn unit(&mut self) -> f64 {
        f64::from(self.dice.next_u32()) / 4_294_967_296.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WITHIN: Duration = Duration::from_secs(10);

    #[test]
    fn few_proxies_leave_no_gap_whatever_fails() {
        let mut few = Pacing::new(3, WITHIN, 7);
        assert_eq!([few.first(), few.answered(), few.failed(), few.failed()], [Duration::ZERO; 4]);
    }

    #[test]
    fn the_gap_is_that_of_those_that_live_once_they_are_known() {
        let living = Rc::new(Cell::new(0));
        let mut one = Pacing::new(100, WITHIN, 3).among(living.clone());
        let range = |pacing: &mut Pacing| {
            let all: Vec<Duration> = (0..40).map(|_| pacing.answered()).collect();
            (all.iter().min().copied().unwrap(), all.iter().max().copied().unwrap())
        };
        let ms = Duration::from_millis;
        let (least, most) = range(&mut one);
        assert!(least >= ms(500) && most <= ms(1500) && most > ms(1000), "as told: {least:?} to {most:?}");
        living.set(33);
        (0..9).for_each(|_| _ = one.answered());
        let (least, most) = range(&mut one);
        assert!(least >= ms(165) && most <= ms(495) && most > ms(330), "a third: {least:?} to {most:?}");
        living.set(3);
        (0..40).for_each(|_| _ = one.answered());
        assert!(one.answered() < ms(1), "few leave no gap");
        living.set(200);
        assert!(one.answered() >= ms(1000), "at once where there are more");
    }

    /// A service that answers 30 calls a second in turn, a quarter of a second behind at most; each list that changes
    /// is asked for by all. What is turned away costs it nothing, and yet is what the others wait behind.
    fn calls(paced: bool) -> (usize, usize) {
        const PROXIES: usize = 100;
        let mut pacing: Vec<Pacing> = (0..PROXIES)
            .map(|i| Pacing::new(if paced { PROXIES as u32 } else { 1 }, WITHIN, i as u64))
            .collect();
        let mut next: Vec<f64> = pacing.iter_mut().map(|p| p.first().as_secs_f64()).collect();
        let (mut free, mut failed, mut answered) = (0.0f64, 0, 0);
        for step in 0..2_000 {
            let now = f64::from(step) / 100.0;
            for (at, pace) in next.iter_mut().zip(&mut pacing) {
                if *at > now {
                    continue;
                }
                *at = if free.max(now) - now > 0.25 {
                    failed += 1;
                    now + pace.failed().as_secs_f64().max(0.5)
                } else {
                    answered += 1;
                    free = free.max(now) + 1.0 / 30.0;
                    free + pace.answered().as_secs_f64().max(0.77)
                };
            }
        }
        (failed, answered)
    }

    #[test]
    fn many_proxies_are_turned_away_seldom_and_use_the_service_no_less() {
        let ((all, few), (none, some)) = (calls(false), calls(true));
        assert!(all > 2_000, "{all} of {} calls failed without gaps", all + few);
        assert!(none * 4 < all, "{none} of {} calls failed with gaps, {all} without", none + some);
        assert!(some * 10 > few * 8, "{some} answered with gaps, {few} without");
    }

    #[test]
    fn gaps_grow_to_their_bound_come_back_and_are_not_in_step() {
        let mut one = Pacing::new(100, WITHIN, 1);
        (0..9).for_each(|_| {
            one.failed();
        });
        let longest = WITHIN.mul_f64(LONGEST);
        assert!(one.failed() <= longest.mul_f64(1.5) && one.failed() >= longest.mul_f64(0.5));
        (0..9).for_each(|_| {
            one.answered();
        });
        assert!(one.answered() <= Duration::from_millis(1500));
        let firsts: std::collections::BTreeSet<u64> =
            (0..100).map(|seed| Pacing::new(100, WITHIN, seed).first().as_millis() as u64 / 20).collect();
        assert!(firsts.len() > 40, "{} of 100 slots of 20 ms", firsts.len());
    }
}
