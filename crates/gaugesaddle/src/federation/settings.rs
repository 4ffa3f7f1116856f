//! `[region]` of the operator's file: this region, the rule, and the others with their budgets.

use crate::configuration::InvalidKey;
use gaugesaddle_balancer::Micros;
use gaugesaddle_federation::{is_valid_name, SpilloverMode, SpilloverThresholds, MAX_HOPS, MAX_REGIONS};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// `[region]`. Wants a restart, but for `switch` and `exercise_percent`, which are taken up at SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RegionSection {
    /// Whether there are other regions at all.
    pub enabled: bool,
    /// This region's name.
    pub name: String,
    /// The name in this region's certificate; empty: its own name.
    pub certificate_name: String,
    /// Whether requests may leave: by the rule, never, or now.
    pub switch: SwitchKey,
    /// With `switch = "now"`, so many in a hundred requests leave at once.
    pub exercise_percent: u32,
    /// Where other regions connect; none: nothing is taken in.
    pub listen: Option<SocketAddr>,
    /// The certificate and what leads to its authority, in PEM.
    pub certificate: PathBuf,
    /// Its private key, in PEM, readable by its owner only.
    pub key: PathBuf,
    /// The authorities of all regions, in PEM.
    pub trust: PathBuf,
    /// Hops that a request of a client's may make.
    pub hops: u32,
    /// Taken off a deadline at each hop, beside the round trip.
    pub margin_ms: u32,
    /// Connections made with earlier keys are cut after this time at the latest.
    pub drain_s: u32,
    /// Connections of other regions that are held at once.
    pub connections: u32,
    /// When the local fleet counts as unable.
    pub rule: Rule,
    /// The others, the first asked first.
    pub other: Vec<OtherRegion>,
}

impl Default for RegionSection {
    fn default() -> RegionSection {
        // One hop: a second region is a last resort, a third would answer too late. 10 ms: two turns of the module
        // at either side. A minute outlasts every deadline. 64 connections: two from each of 32 proxies.
        RegionSection {
            enabled: false,
            name: String::new(),
            certificate_name: String::new(),
            switch: SwitchKey::Auto,
            exercise_percent: 1,
            listen: None,
            certificate: PathBuf::new(),
            key: PathBuf::new(),
            trust: PathBuf::new(),
            hops: 1,
            margin_ms: 10,
            drain_s: 60,
            connections: 64,
            rule: Rule::default(),
            other: Vec::new(),
        }
    }
}

/// `region.switch`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SwitchKey {
    /// By the rule.
    Auto,
    /// Nothing leaves.
    Never,
    /// An exercise.
    Now,
}

impl SwitchKey {
    /// For the decisions.
    pub fn mode(self) -> SpilloverMode {
        match self {
            SwitchKey::Auto => SpilloverMode::Auto,
            SwitchKey::Never => SpilloverMode::Never,
            SwitchKey::Now => SpilloverMode::Now,
        }
    }

    /// As it is written.
    pub fn name(self) -> &'static str {
        match self {
            SwitchKey::Auto => "auto",
            SwitchKey::Never => "never",
            SwitchKey::Now => "now",
        }
    }
}

/// `[region.rule]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Usable capacity under so many hundredths of the demand is short.
    pub short_below_percent: u32,
    /// From so many on it is enough again.
    pub enough_from_percent: u32,
    /// Short for so long: requests leave.
    pub enter_ms: u32,
    /// Enough for so long: they return.
    pub leave_ms: u32,
    /// Short for so long while they return: they leave again.
    pub relapse_ms: u32,
    /// They return over this time.
    pub return_ms: u32,
}

impl Default for Rule {
    fn default() -> Rule {
        let t = SpilloverThresholds::default();
        let ms = |span: Micros| (span.0 / 1000) as u32;
        Rule {
            short_below_percent: (t.low_coverage * 100.0) as u32,
            enough_from_percent: (t.high_coverage * 100.0) as u32,
            enter_ms: ms(t.enter_after),
            leave_ms: ms(t.leave_after),
            relapse_ms: ms(t.relapse_after),
            return_ms: ms(t.return_duration),
        }
    }
}

impl Rule {
    /// For the decisions.
    pub fn thresholds(self) -> SpilloverThresholds {
        let ms = |n: u32| Micros(u64::from(n) * 1000);
        SpilloverThresholds {
            low_coverage: f64::from(self.short_below_percent) / 100.0,
            high_coverage: f64::from(self.enough_from_percent) / 100.0,
            enter_after: ms(self.enter_ms),
            leave_after: ms(self.leave_ms),
            relapse_after: ms(self.relapse_ms),
            return_duration: ms(self.return_ms),
        }
    }
}

/// `[[region.other]]`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OtherRegion {
    /// Its name.
    pub name: String,
    /// The name in its certificate; empty: its name.
    pub certificate_name: String,
    /// Its gateways; none: it is only let in.
    pub addresses: Vec<SocketAddr>,
    /// The round trip until one was measured.
    pub round_trip_ms: u32,
    /// What may leave for it, over all proxies.
    pub send: Allowance,
    /// What is taken in from it, over all proxies.
    pub take: Allowance,
}

/// A budget, over all proxies of this region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Allowance {
    /// Requests in any second; 0: none.
    pub per_s: u32,
    /// Of these within a tenth of a second; 0: all.
    pub burst: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// For single classes, by name, less a second.
    pub classes: BTreeMap<String, u32>,
}

impl Allowance {
    /// What may go at one moment.
    pub fn burst(&self) -> u32 {
        if self.burst == 0 {
            self.per_s
        } else {
            self.burst
        }
    }

    fn is_none(&self) -> bool {
        *self == Allowance::default()
    }
}

/// The most that a budget may hold: a log of a second's sends is kept.
const MAX_PER_S: u32 = 100_000;

impl RegionSection {
    /// The name in a certificate.
    pub fn own_certificate_name(&self) -> &str {
        if self.certificate_name.is_empty() {
            &self.name
        } else {
            &self.certificate_name
        }
    }

    /// Maximum number of file descriptors, out of the clients': two connections to each region, the listener, connections of
    /// others, and three files while keys are read.
    pub fn descriptors(&self) -> usize {
        2 * self.other.len() + 4 + self.listen.map_or(0, |_| self.connections as usize)
    }

    /// Checks the section.
    ///
    /// # Errors
    /// The first invalid key.
    pub fn check(&self) -> Result<(), InvalidKey> {
        check_range("exercise_percent", self.exercise_percent, 0..=100)?;
        check_range("hops", self.hops, 1..=u32::from(MAX_HOPS))?;
        check_range("margin_ms", self.margin_ms, 0..=1000)?;
        check_range("drain_s", self.drain_s, 1..=3600)?;
        check_range("connections", self.connections, 1..=1024)?;
        let rule = &self.rule;
        check_range("rule.short_below_percent", rule.short_below_percent, 1..=100)?;
        let enough = rule.short_below_percent + 1..=200;
        check_range("rule.enough_from_percent", rule.enough_from_percent, enough)?;
        for (key, value) in [
            ("rule.enter_ms", rule.enter_ms),
            ("rule.leave_ms", rule.leave_ms),
            ("rule.relapse_ms", rule.relapse_ms),
            ("rule.return_ms", rule.return_ms),
        ] {
            check_range(key, value, 1..=600_000)?;
        }
        if !self.enabled {
            return Ok(());
        }
        self.check_own()?;
        self.check_distinct()?;
        self.other.iter().enumerate().try_for_each(|(i, other)| self.check_other(i, other))
    }

    /// The name and the files of this region.
    fn check_own(&self) -> Result<(), InvalidKey> {
        check_name("name", &self.name)?;
        for (key, path) in [("certificate", &self.certificate), ("key", &self.key), ("trust", &self.trust)] {
            if !path.is_absolute() {
                return invalid(key, format!("expected an absolute path, got {path:?}"));
            }
        }
        let (others, max) = (self.other.len(), MAX_REGIONS - 1);
        if !(1..=max).contains(&others) {
            return invalid("other", format!("expected 1 to {max} other regions, got {others}"));
        }
        Ok(())
    }

    /// Names, certificates and addresses must be those of one region only.
    fn check_distinct(&self) -> Result<(), InvalidKey> {
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        let mut certificates = BTreeSet::from([self.own_certificate_name()]);
        for (i, other) in self.other.iter().enumerate() {
            let key = |name: &str| format!("other.{i}.{name}");
            check_name(&key("name"), &other.name)?;
            if other.name == self.name {
                let finding = format!("expected another region than this one, got {:?}", other.name);
                return invalid(&key("name"), finding);
            }
            if !names.insert(&other.name) {
                let finding = format!("expected each region once, got {:?} twice", other.name);
                return invalid(&key("name"), finding);
            }
            let certificate = other.certificate_name();
            if !certificates.insert(certificate) {
                let expected = "expected a name that no other region's certificate has";
                return invalid(&key("certificate_name"), format!("{expected}, got {certificate:?}"));
            }
            for address in &other.addresses {
                if !addresses.insert(address) || Some(*address) == self.listen {
                    let finding = format!("expected addresses of no other region, got {address}");
                    return invalid(&key("addresses"), finding);
                }
            }
        }
        Ok(())
    }

    /// The numbers of another region.
    fn check_other(&self, i: usize, other: &OtherRegion) -> Result<(), InvalidKey> {
        check_range(&format!("other.{i}.round_trip_ms"), other.round_trip_ms, 1..=10_000)?;
        if !other.send.is_none() || !other.addresses.is_empty() {
            other.send.check(&format!("other.{i}.send"))?;
        }
        if !other.take.is_none() || self.listen.is_some() {
            other.take.check(&format!("other.{i}.take"))?;
        }
        Ok(())
    }

    /// Checks what depends on the platform's settings: the classes' names and the number of proxies.
    ///
    /// # Errors
    /// The first invalid key.
    pub fn check_with(&self, classes: &[String], proxies: u32) -> Result<(), InvalidKey> {
        for (i, other) in self.other.iter().enumerate() {
            for (name, allowance) in [("send", &other.send), ("take", &other.take)] {
                let key = |field: &str| format!("other.{i}.{name}.{field}");
                if let Some(class) = allowance.classes.keys().find(|class| !classes.contains(class)) {
                    let known = classes.join(", ");
                    return invalid(&key(&format!("classes.{class}")), format!("expected one of {known}"));
                }
                // Requests in flight cannot be rotated among proxies: one that is in flight stays there.
                if !allowance.is_none() && allowance.in_flight < proxies {
                    let expected = format!("expected one for each of the {proxies} proxies at least");
                    return invalid(&key("in_flight"), format!("{expected}, got {}", allowance.in_flight));
                }
            }
        }
        Ok(())
    }
}

impl Allowance {
    /// Checks the ranges of the budget at `key`.
    fn check(&self, key: &str) -> Result<(), InvalidKey> {
        check_range(&format!("{key}.per_s"), self.per_s, 1..=MAX_PER_S)?;
        check_range(&format!("{key}.burst"), self.burst, 0..=MAX_PER_S)?;
        check_range(&format!("{key}.in_flight"), self.in_flight, 1..=MAX_PER_S)?;
        let mut classes = self.classes.iter();
        classes.try_for_each(|(class, per_s)| {
            check_range(&format!("{key}.classes.{class}"), *per_s, 1..=MAX_PER_S)
        })
    }
}

/// A finding at a key of `[region]`.
fn invalid(key: &str, finding: String) -> Result<(), InvalidKey> {
    Err(InvalidKey::new(format!("region.{key}"), finding))
}

fn check_range(key: &str, value: u32, range: RangeInclusive<u32>) -> Result<(), InvalidKey> {
    if range.contains(&value) {
        return Ok(());
    }
    invalid(key, format!("expected {} to {}, got {value}", range.start(), range.end()))
}

fn check_name(key: &str, name: &str) -> Result<(), InvalidKey> {
    if is_valid_name(name) {
        return Ok(());
    }
    invalid(key, format!("expected up to 32 lower-case letters, digits and inner hyphens, got {name:?}"))
}

impl OtherRegion {
    /// The name in its certificate.
    pub fn certificate_name(&self) -> &str {
        if self.certificate_name.is_empty() {
            &self.name
        } else {
            &self.certificate_name
        }
    }
}

#[cfg(test)]
mod tests;
