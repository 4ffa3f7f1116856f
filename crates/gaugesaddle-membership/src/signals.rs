//! The record that a proxy publishes: what comes to it, what it holds and gives up, and what it finds of each zone's
//! backends. Figures travel as logarithms in two bytes, right to a thousandth; classes and zones by their order in the
//! settings, which all proxies share.

use crate::records::Record;
use crate::wire::RECORD_BYTES;
use gaugesaddle_balancer::{Micros, Time};

/// The first byte of a record in this form.
pub const FORM: u8 = 2;
/// Classes that a record has room for.
pub const MOST_CLASSES: usize = 16;
/// Zones that a record has room for.
pub const MOST_ZONES: usize = 8;

// form, two counts; held, given up and need; two bytes a class; four figures a zone.
const _: () = assert!(3 + 6 + 2 * MOST_CLASSES + 8 * MOST_ZONES <= RECORD_BYTES);

/// What one proxy finds of a zone's backends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneSignal {
    /// Backends of its list that may be sent to.
    pub backends: f64,
    /// Of these so many it finds ill.
    pub ill: f64,
    /// What those that are well can do, in requests a second.
    pub can_per_s: f64,
    /// So long some have been ill, in seconds; 0 where none is.
    pub ill_for_s: f64,
}

/// What one proxy says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Signals {
    /// Arrivals a second, by class.
    pub arrivals: Vec<f64>,
    /// Requests that are open.
    pub held: f64,
    /// Requests a second that it refuses or fails.
    pub given_up: f64,
    /// What its part goes by, in requests a second: it stands until it is off by more than chance. `None`: it does not
    /// know yet.
    pub need: Option<f64>,
    /// By zone.
    pub zones: Vec<ZoneSignal>,
}

const STEPS: f64 = 1000.0;
/// A need over this is told as this: the greatest code says that it is not known.
const MOST_NEED: f64 = 1e15;

fn put(out: &mut Vec<u8>, value: f64) {
    let sound = if value.is_finite() { value.max(0.0) } else { 0.0 };
    let code = ((1.0 + sound).log2() * STEPS).round().min(f64::from(u16::MAX)) as u16;
    out.extend(code.to_be_bytes());
}

fn take(bytes: &mut &[u8]) -> Option<f64> {
    let (head, rest) = bytes.split_at_checked(2)?;
    *bytes = rest;
    Some((f64::from(u16::from_be_bytes([head[0], head[1]])) / STEPS).exp2() - 1.0)
}

impl Signals {
    /// As a record's body; classes and zones over the bound are left out.
    pub fn encode(&self) -> Vec<u8> {
        let (classes, zones) = (self.arrivals.len().min(MOST_CLASSES), self.zones.len().min(MOST_ZONES));
        let mut out = vec![FORM, classes as u8, zones as u8];
        put(&mut out, self.held);
        put(&mut out, self.given_up);
        match self.need {
            Some(need) => put(&mut out, need.min(MOST_NEED)),
            None => out.extend(u16::MAX.to_be_bytes()),
        }
        self.arrivals[..classes].iter().for_each(|a| put(&mut out, *a));
        for z in &self.zones[..zones] {
            [z.backends, z.ill, z.can_per_s, z.ill_for_s].into_iter().for_each(|f| put(&mut out, f));
        }
        out
    }

    /// From a record's body; `None` where it is of another form.
    pub fn decode(body: &[u8]) -> Option<Signals> {
        let (head, mut rest) = body.split_at_checked(3)?;
        let (classes, zones) = (usize::from(head[1]), usize::from(head[2]));
        if head[0] != FORM || classes > MOST_CLASSES || zones > MOST_ZONES {
            return None;
        }
        let (held, given_up) = (take(&mut rest)?, take(&mut rest)?);
        let need = take(&mut rest).map(|need| Some(need).filter(|n| *n <= 2.0 * MOST_NEED))?;
        let arrivals = (0..classes).map(|_| take(&mut rest)).collect::<Option<_>>()?;
        let mut zone = || {
            Some(ZoneSignal {
                backends: take(&mut rest)?,
                ill: take(&mut rest)?,
                can_per_s: take(&mut rest)?,
                ill_for_s: take(&mut rest)?,
            })
        };
        let zones = (0..zones).map(|_| zone()).collect::<Option<_>>()?;
        rest.is_empty().then_some(Signals { arrivals, held, given_up, need, zones })
    }
}

/// The sum over the living, and how old it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Living proxies.
    pub living: usize,
    /// Of these so many have a record that can be read.
    pub told: usize,
    /// Of these so many are older than was asked.
    pub older: usize,
    /// The oldest.
    pub oldest: Micros,
    /// Arrivals a second, by class.
    pub arrivals: Vec<f64>,
    /// Requests that are open.
    pub held: f64,
    /// Requests a second that are refused or failed.
    pub given_up: f64,
}

impl Totals {
    /// Adds up records of the living, with an eye on those older than `stale`.
    pub fn of<'a>(now: Time, stale: Micros, records: impl Iterator<Item = Option<&'a Record>>) -> Totals {
        let mut totals = Totals::default();
        for record in records {
            totals.living += 1;
            let read = record.and_then(|r| Signals::decode(&r.body).map(|s| (r.age(now), s)));
            let Some((age, signals)) = read else { continue };
            totals.told += 1;
            totals.older += usize::from(age > stale);
            totals.oldest = totals.oldest.max(age);
            totals.held += signals.held;
            totals.given_up += signals.given_up;
            let most = totals.arrivals.len().max(signals.arrivals.len());
            totals.arrivals.resize(most, 0.0);
            totals.arrivals.iter_mut().zip(&signals.arrivals).for_each(|(sum, a)| *sum += a);
        }
        totals
    }
}

#[cfg(test)]
mod tests;
