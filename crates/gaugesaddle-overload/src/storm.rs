//! The whole: what the host tells, what it hands to the module, and what a refused client is told.

use crate::calendar::SECONDS;
use crate::{Calendar, Figures, Ledger, Pace, Second, State, Watch};
use gaugesaddle_balancer::{ConfigError, Micros, Pressure, Time};
use std::collections::HashMap;

/// Part of what ends well which refused clients may fill when they return; the rest is for new ones.
const RETURNING: f64 = 0.8;
/// Keys of requests that are remembered, to know one that comes again unmarked.
const KEYS: usize = 16_384;
/// For so long: a client's retries come within its own patience.
const KEY_MEMORY: Micros = Micros(5_000_000);
/// The part of the fresh traffic that attempts after the first may add, when nothing is wrong and in a storm.
const RETRY_RATIO: (f64, f64) = (0.2, 0.02);
/// The host looks this often.
pub(crate) const LOOK: Micros = Micros(250_000);

/// What the operator and the deployment say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// No advice is longer, in whole seconds.
    pub longest_s: u64,
    /// Sources that are known at once.
    pub sources: usize,
}

impl Settings {
    /// The first that is out of its range.
    pub fn check(&self) -> Result<(), ConfigError> {
        if !(1..=SECONDS as u64).contains(&self.longest_s) {
            return Err(ConfigError { field: "longest_s", expected: "1 to 600" });
        }
        if !(1..=1_000_000).contains(&self.sources) {
            return Err(ConfigError { field: "sources", expected: "1 to 1000000" });
        }
        Ok(())
    }
}

/// What a look brought.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Look {
    /// The state before it, if it changed.
    pub left: Option<State>,
    /// What the module is to be told, if anything of it may have changed.
    pub pressure: Option<Pressure>,
}

/// Storms as one proxy sees them.
#[derive(Clone, Debug)]
pub struct Storm {
    watch: Watch,
    pace: Pace,
    calendar: Calendar,
    ledger: Ledger,
    counted: Second,
    let_in: u32,
    /// When each key was seen, with its generation: two halves, the older one dropped whole.
    keys: [HashMap<u64, Time>; 2],
    turned: Time,
    looked: Option<Time>,
    /// Requests a second that ended well, smoothed.
    well_per_s: f64,
}

impl Storm {
    /// One that remembers nothing.
    pub fn new(settings: Settings, seed: u64) -> Result<Storm, ConfigError> {
        settings.check()?;
        Ok(Storm {
            watch: Watch::default(),
            pace: Pace::default(),
            calendar: Calendar::new(settings.longest_s, seed),
            ledger: Ledger::new(settings.sources),
            counted: Second::default(),
            let_in: 0,
            keys: Default::default(),
            turned: Time(0),
            looked: None,
            well_per_s: 0.0,
        })
    }

    /// The present state.
    pub fn state(&self) -> State {
        self.watch.state()
    }

    /// The figures of the last look.
    pub fn figures(&self) -> Figures {
        self.watch.figures()
    }

    /// Requests a second that may be let in; no bound where nothing is damped.
    pub fn let_in_per_s(&self) -> Option<f64> {
        self.pace.per_s().filter(|_| self.state().damps())
    }

    /// A connection has come.
    pub fn connected(&mut self) {
        self.counted.connects = self.counted.connects.saturating_add(1);
    }

    /// A request has come, marked as a repeat or not, with its key where it has one and its source. Whether it is a
    /// repeat, and whether its source comes out of turn.
    pub fn arrived(&mut self, now: Time, marked: bool, key: Option<u64>, source: u64) -> (bool, bool) {
        let known = key.is_some_and(|key| self.seen(now, key));
        let repeat = marked || known;
        self.counted.asked = self.counted.asked.saturating_add(1);
        self.counted.repeats = self.counted.repeats.saturating_add(u32::from(repeat));
        (repeat, self.ledger.asks(now, source))
    }

    fn seen(&mut self, now: Time, key: u64) -> bool {
        if now - self.turned >= KEY_MEMORY || self.keys[0].len() >= KEYS / 2 {
            self.keys.swap(0, 1);
            self.keys[0].clear();
            self.turned = now;
        }
        let fresh = |at: &Time| now - *at < KEY_MEMORY;
        let known = self.keys.iter().any(|half| half.get(&key).is_some_and(fresh));
        self.keys[0].insert(key, now);
        known
    }

    /// An attempt was sent; the first of its request or a further one.
    pub fn sent(&mut self, first: bool) {
        self.counted.attempts = self.counted.attempts.saturating_add(1);
        self.let_in = self.let_in.saturating_add(u32::from(first));
    }

    /// A request was served.
    pub fn served(&mut self, in_aim: bool) {
        let count = if in_aim { &mut self.counted.in_aim } else { &mut self.counted.late };
        *count = count.saturating_add(1);
    }

    /// A request failed.
    pub fn failed(&mut self) {
        self.counted.failed = self.counted.failed.saturating_add(1);
    }

    /// A request was refused: after how many whole seconds its client may come back. Where nothing is damped, that is
    /// `usual`, kept within the longest.
    pub fn refused(&mut self, now: Time, source: u64, usual: u64) -> u64 {
        self.counted.refused = self.counted.refused.saturating_add(1);
        if self.state() == State::Calm {
            return usual;
        }
        let bears = self.well_per_s.min(self.pace.per_s().unwrap_or(f64::MAX));
        let after = self.calendar.deal(now, bears * RETURNING);
        self.ledger.told(source, now + Micros(after * 1_000_000));
        after
    }

    /// Looks at what was counted, if it is time.
    pub fn look(&mut self, now: Time) -> Option<Look> {
        let Some(last) = self.looked else {
            self.looked = Some(now);
            self.watch.look(now, &Second::default());
            return None;
        };
        if now - last < LOOK {
            return None;
        }
        self.looked = Some(now);
        let (counted, let_in) = (std::mem::take(&mut self.counted), std::mem::take(&mut self.let_in));
        let secs = (now - last).secs();
        let was = self.state();
        self.well_per_s += (f64::from(counted.in_aim) / secs - self.well_per_s) * secs.min(1.0);
        let left = self.watch.look(now, &counted).map(|_| was);
        if !self.state().damps() || !was.damps() {
            self.pace = Pace::default();
        } else {
            // A refusal is no bad end: it is what the pace itself brings about.
            self.pace.look(secs, let_in, counted.in_aim, counted.late + counted.failed);
        }
        let pressure = (self.state().damps() || was.damps()).then(|| self.pressure());
        Some(Look { left, pressure })
    }

    fn pressure(&self) -> Pressure {
        let damped = self.state().damps();
        let retry_ratio = if damped { RETRY_RATIO.1 } else { RETRY_RATIO.0 };
        Pressure { let_in_per_s: self.let_in_per_s(), copies: !damped, retry_ratio }
    }
}
