//! The record that a proxy publishes: its arrivals, its requests in flight, and its observations of the
//! backends of each zone. Values are sent as logarithms in two bytes, exact to a thousandth; classes and zones are
//! identified by their order in the settings, which all proxies share.

use crate::records::Record;
use crate::wire::MAX_RECORD_BYTES;
use gaugesaddle_balancer::{Micros, Time};

/// Version of the format: the first byte of the record.
pub const FORMAT_VERSION: u8 = 2;
/// Maximum number of request classes in a record.
pub const MAX_CLASSES: usize = 16;
/// Maximum number of zones in a record.
pub const MAX_ZONES: usize = 8;

/// Format version, number of classes, number of zones.
const HEADER_BYTES: usize = 3;
// The header; in flight, rejected and demand; two bytes for each class; four values of two bytes for each zone.
const _: () = assert!(HEADER_BYTES + 6 + 2 * MAX_CLASSES + 8 * MAX_ZONES <= MAX_RECORD_BYTES);

/// Steps of the encoding for each doubling of a value.
const STEPS_PER_DOUBLING: f64 = 1000.0;
/// Highest demand that is sent. The highest code is reserved: it means that the demand is not known.
const MAX_DEMAND_PER_S: f64 = 1e15;

/// The observations of one proxy about the backends of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneSignal {
    /// Backends that may receive requests.
    pub backends: f64,
    /// Number of unhealthy ones among them.
    pub unhealthy: f64,
    /// Capacity of the healthy ones, in requests per second.
    pub capacity_per_s: f64,
    /// Time for which some of them have been unhealthy, in seconds; 0 if none is.
    pub unhealthy_for_s: f64,
}

/// The load signals of one proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Signals {
    /// Arrivals per second, by class.
    pub arrivals_per_s: Vec<f64>,
    /// Requests in flight.
    pub in_flight: f64,
    /// Requests per second that the proxy rejects or that fail.
    pub rejected_per_s: f64,
    /// The demand from which the proxy's allocation is computed, in requests per second. It changes only when it
    /// differs from the arrivals by more than random variation. `None` while it is not known.
    pub demand_per_s: Option<f64>,
    /// Observations by zone.
    pub zones: Vec<ZoneSignal>,
}

impl Signals {
    /// Encodes a record. Classes beyond [`MAX_CLASSES`] and zones beyond [`MAX_ZONES`] are omitted.
    pub fn encode(&self) -> Vec<u8> {
        let classes = self.arrivals_per_s.len().min(MAX_CLASSES);
        let zones = self.zones.len().min(MAX_ZONES);
        let mut out = vec![FORMAT_VERSION, classes as u8, zones as u8];
        encode_value(&mut out, self.in_flight);
        encode_value(&mut out, self.rejected_per_s);
        match self.demand_per_s {
            Some(demand) => encode_value(&mut out, demand.min(MAX_DEMAND_PER_S)),
            None => out.extend(u16::MAX.to_be_bytes()),
        }
        for rate in &self.arrivals_per_s[..classes] {
            encode_value(&mut out, *rate);
        }
        for zone in &self.zones[..zones] {
            encode_value(&mut out, zone.backends);
            encode_value(&mut out, zone.unhealthy);
            encode_value(&mut out, zone.capacity_per_s);
            encode_value(&mut out, zone.unhealthy_for_s);
        }
        out
    }

    /// Decodes a record; `None` if it is truncated, too long or of another version.
    pub fn decode(body: &[u8]) -> Option<Signals> {
        let (header, mut rest) = body.split_at_checked(HEADER_BYTES)?;
        let (classes, zones) = (usize::from(header[1]), usize::from(header[2]));
        if header[0] != FORMAT_VERSION || classes > MAX_CLASSES || zones > MAX_ZONES {
            return None;
        }
        let mut signals = Signals {
            in_flight: decode_value(&mut rest)?,
            rejected_per_s: decode_value(&mut rest)?,
            demand_per_s: Some(decode_value(&mut rest)?).filter(|demand| *demand <= 2.0 * MAX_DEMAND_PER_S),
            arrivals_per_s: Vec::with_capacity(classes),
            zones: Vec::with_capacity(zones),
        };
        for _ in 0..classes {
            signals.arrivals_per_s.push(decode_value(&mut rest)?);
        }
        for _ in 0..zones {
            signals.zones.push(ZoneSignal {
                backends: decode_value(&mut rest)?,
                unhealthy: decode_value(&mut rest)?,
                capacity_per_s: decode_value(&mut rest)?,
                unhealthy_for_s: decode_value(&mut rest)?,
            });
        }
        rest.is_empty().then_some(signals)
    }
}

/// Two bytes: `log2(1 + value)` in steps. A value that is negative or not finite is sent as 0.
fn encode_value(out: &mut Vec<u8>, value: f64) {
    let valid = if value.is_finite() { value.max(0.0) } else { 0.0 };
    let steps = ((1.0 + valid).log2() * STEPS_PER_DOUBLING).round();
    let code = steps.min(f64::from(u16::MAX)) as u16;
    out.extend(code.to_be_bytes());
}

fn decode_value(bytes: &mut &[u8]) -> Option<f64> {
    let (head, rest) = bytes.split_at_checked(2)?;
    *bytes = rest;
    let code = u16::from_be_bytes([head[0], head[1]]);
    Some((f64::from(code) / STEPS_PER_DOUBLING).exp2() - 1.0)
}

/// The sum of the signals of the live members, with the age of their records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Totals {
    /// Live members.
    pub live: usize,
    /// Of these, members with a record that can be decoded.
    pub reporting: usize,
    /// Of these, members whose record is older than requested.
    pub stale: usize,
    /// Age of the oldest record.
    pub oldest: Micros,
    /// Arrivals per second, by class.
    pub arrivals_per_s: Vec<f64>,
    /// Requests in flight.
    pub in_flight: f64,
    /// Requests per second that are rejected or failed.
    pub rejected_per_s: f64,
}

impl Totals {
    /// Sums the records of the live members, one item for each, and counts those older than `stale_after`.
    pub fn sum<'a>(
        now: Time, stale_after: Micros, records: impl Iterator<Item = Option<&'a Record>>,
    ) -> Totals {
        let mut totals = Totals::default();
        for record in records {
            totals.live += 1;
            let Some(record) = record else { continue };
            let Some(signals) = Signals::decode(&record.body) else { continue };
            totals.add(record.age(now), stale_after, &signals);
        }
        totals
    }

    fn add(&mut self, age: Micros, stale_after: Micros, signals: &Signals) {
        self.reporting += 1;
        if age > stale_after {
            self.stale += 1;
        }
        self.oldest = self.oldest.max(age);
        self.in_flight += signals.in_flight;
        self.rejected_per_s += signals.rejected_per_s;
        if self.arrivals_per_s.len() < signals.arrivals_per_s.len() {
            self.arrivals_per_s.resize(signals.arrivals_per_s.len(), 0.0);
        }
        for (sum, rate) in self.arrivals_per_s.iter_mut().zip(&signals.arrivals_per_s) {
            *sum += rate;
        }
    }
}

#[cfg(test)]
mod tests;
