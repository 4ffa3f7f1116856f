//! Is this a storm? Told from what comes again and from what is turned away, beside a memory of what is usual.

use gaugesaddle_balancer::{Micros, Time};

/// What one proxy stands in.
///
/// ```text
///            pressure                       it lasts RISE
///   Calm ---------------> Rising ------------------------------> Storm
///    ^                      |                                    |   ^
///    |   none for FADE      |                    none for EASE   |   | pressure
///    |<---------------------'                                    v   |
///    '<-------------------------------------------------------- Recovering
///                          none for REST
/// ```
///
/// A state lasts its stated time at least, so that nothing flaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// As usual.
    Calm,
    /// Pressure, not yet for long.
    Rising,
    /// A storm.
    Storm,
    /// It has passed; what was refused still comes back.
    Recovering,
}

impl State {
    /// Whether what comes is to be damped.
    pub fn damps(self) -> bool {
        matches!(self, State::Storm | State::Recovering)
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            State::Calm => "calm",
            State::Rising => "rising",
            State::Storm => "storm",
            State::Recovering => "recovering",
        }
    }
}

/// Pressure must last so long to be a storm: two looks in a row.
pub(crate) const RISE: Micros = Micros(400_000);
/// Rising without pressure for so long was nothing.
pub(crate) const FADE: Micros = Micros(1_000_000);
/// A storm without pressure for so long is over.
pub(crate) const EASE: Micros = Micros(3_000_000);
/// What it sent away comes back within this time, or is lost.
pub(crate) const REST: Micros = Micros(10_000_000);

/// Memory of what is usual, s: minutes, so that a storm of one minute does not become usual, and short beside the
/// ramp of a day.
const USUAL_MEMORY: f64 = 180.0;
/// One second counts for at most this multiple of what is usual: a burst moves the memory little.
const CLIP: f64 = 3.0;
/// Seconds of memory before it says anything.
const USUAL_LEAST: f64 = 10.0;
/// Part of the requests that come again from which there is pressure. Usual clients retry at most once, after a
/// failure: a tenth would mean that a tenth fails.
const REPEATS: f64 = 0.25;
/// Beside it, either this multiple of the usual rate ...
const OVER: f64 = 1.3;
/// ... or this part of what ends not served.
const UNSERVED: f64 = 0.1;
/// Fewer requests in a look say nothing.
const FEWEST: f64 = 8.0;

/// What was counted since the last look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Requests.
    pub asked: u32,
    /// Of these, so many were asked before.
    pub repeats: u32,
    /// New connections.
    pub connects: u32,
    /// Requests that ended served within their aim.
    pub in_aim: u32,
    /// Served too late.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Attempts sent.
    pub attempts: u32,
}

/// The figures that made a state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests a second.
    pub per_s: f64,
    /// What is usual, once that is known.
    pub usual_per_s: Option<f64>,
    /// Part that comes again.
    pub repeats: f64,
    /// Part of what ended that was not served.
    pub unserved: f64,
    /// Connects a request.
    pub connects: f64,
    /// Attempts a request.
    pub attempts: f64,
}

impl std::fmt::Display for Figures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let usual = self.usual_per_s.map_or("unknown".into(), |u| format!("{u:.0}"));
        write!(
            f,
            "{:.0} requests/s (usual {usual}), {:.0}% again, {:.0}% not served, {:.2} connects and {:.2} attempts a request",
            self.per_s,
            self.repeats * 100.0,
            self.unserved * 100.0,
            self.connects,
            self.attempts
        )
    }
}

/// Watches for storms.
#[derive(Clone, Debug)]
pub struct Watch {
    state: State,
    since: Time,
    /// When there was pressure last.
    pressed: Option<Time>,
    at: Option<Time>,
    usual: f64,
    weight: f64,
    figures: Figures,
}

impl Default for Watch {
    fn default() -> Watch {
        Watch {
            state: State::Calm,
            since: Time(0),
            pressed: None,
            at: None,
            usual: 0.0,
            weight: 0.0,
            figures: Figures::default(),
        }
    }
}

impl Watch {
    /// The present state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The figures of the last look.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Requests a second as usual, once that is known.
    pub fn usual_per_s(&self) -> Option<f64> {
        (self.weight >= USUAL_LEAST).then(|| self.usual / self.weight)
    }

    /// Takes in what was counted since the last look; the new state if it changed.
    pub fn look(&mut self, now: Time, counted: &Second) -> Option<State> {
        let Some(last) = self.at.filter(|at| *at < now) else {
            self.at = Some(self.at.map_or(now, |at| at.max(now)));
            return None;
        };
        let secs = (now - last).secs();
        self.at = Some(now);
        let per_s = f64::from(counted.asked) / secs;
        let part = |n: u32, of: u32| f64::from(n) / f64::from(of.max(1));
        let ended = counted.in_aim + counted.late + counted.refused + counted.failed;
        self.figures = Figures {
            per_s,
            usual_per_s: self.usual_per_s(),
            repeats: part(counted.repeats, counted.asked),
            unserved: part(counted.late + counted.refused + counted.failed, ended),
            connects: part(counted.connects, counted.asked),
            attempts: part(counted.attempts, counted.asked),
        };
        let pressure = self.presses(counted);
        if pressure {
            self.pressed = Some(now);
        }
        self.remember(per_s, secs, pressure);
        let calm_for = self.pressed.map_or(Micros(u64::MAX), |at| now - at);
        let held = now - self.since;
        let next = match self.state {
            State::Calm if pressure => State::Rising,
            State::Rising if pressure && held >= RISE => State::Storm,
            State::Rising if calm_for >= FADE && held >= FADE => State::Calm,
            State::Storm if calm_for >= EASE && held >= EASE => State::Recovering,
            State::Recovering if pressure && held >= RISE => State::Storm,
            State::Recovering if calm_for >= REST && held >= REST => State::Calm,
            same => same,
        };
        if next == self.state {
            return None;
        }
        (self.state, self.since) = (next, now);
        Some(next)
    }

    /// Much that comes is there again, and it is more than usual or not served. A new crowd that asks for the first
    /// time is honest growth, however large.
    fn presses(&self, counted: &Second) -> bool {
        let f = &self.figures;
        let over = f.usual_per_s.is_some_and(|usual| f.per_s >= OVER * usual);
        f64::from(counted.asked) >= FEWEST && f.repeats >= REPEATS && (over || f.unserved >= UNSERVED)
    }

    /// What comes under pressure is not usual.
    fn remember(&mut self, per_s: f64, secs: f64, pressure: bool) {
        if pressure || self.state != State::Calm {
            return;
        }
        let most = self.usual_per_s().map_or(f64::MAX, |usual| CLIP * usual.max(1.0));
        let fade = (-secs / USUAL_MEMORY).exp();
        self.usual = self.usual * fade + per_s.min(most) * secs;
        self.weight = self.weight * fade + secs;
    }
}
