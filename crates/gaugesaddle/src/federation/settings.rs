//! The section `[region]` of the operator's file: this region, the spillover rule, and the other regions with their budgets.

use crate::configuration::InvalidKey;
use gaugesaddle_balancer::Micros;
use gaugesaddle_federation::{is_valid_name, SpilloverMode, SpilloverThresholds, MAX_HOPS, MAX_REGIONS};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The section `[region]`. A change requires a restart, except for `switch` and `exercise_percent`, which apply at SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RegionSection {
    /// Whether other regions are used.
    pub enabled: bool,
    /// This region's name.
    pub name: String,
    /// The name in this region's certificate; if empty, the region's name.
    pub certificate_name: String,
    /// Whether requests may be forwarded: by the rule, never, or now.
    pub switch: SwitchKey,
    /// Percentage of requests that are forwarded without a local attempt while `switch = "now"`.
    pub exercise_percent: u32,
    /// The gateway's address, to which other regions connect; without one no requests are accepted from them.
    pub listen: Option<SocketAddr>,
    /// File of the certificate and its chain to the authority, in PEM.
    pub certificate: PathBuf,
    /// File of its private key, in PEM, accessible to its owner only.
    pub key: PathBuf,
    /// File of the certificates of all regions' authorities, in PEM.
    pub trust: PathBuf,
    /// Maximum number of hops of a client's request.
    pub hops: u32,
    /// Time subtracted from a deadline at each hop, in addition to the round trip, in milliseconds.
    pub margin_ms: u32,
    /// Time in seconds after which connections established with earlier keys are closed.
    pub drain_s: u32,
    /// Maximum number of concurrent connections from other regions.
    pub connections: u32,
    /// The conditions under which requests are forwarded.
    pub rule: Rule,
    /// The other regions, in the order in which they are tried.
    pub other: Vec<OtherRegion>,
}

impl Default for RegionSection {
    fn default() -> RegionSection {
        // One hop, since a third region would respond too late. A margin of 10 ms is two ticks of the balancer at either
        // side. A drain of one minute exceeds every deadline. 64 connections are two from each of 32 proxies.
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

/// The value of `region.switch`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SwitchKey {
    /// Requests are forwarded by the rule.
    Auto,
    /// No requests are forwarded.
    Never,
    /// Requests are forwarded as an exercise.
    Now,
}

impl SwitchKey {
    /// Converts the value to the mode of the spillover.
    pub fn mode(self) -> SpilloverMode {
        match self {
            SwitchKey::Auto => SpilloverMode::Auto,
            SwitchKey::Never => SpilloverMode::Never,
            SwitchKey::Now => SpilloverMode::Now,
        }
    }

    /// Returns the value as written in the file.
    pub fn name(self) -> &'static str {
        match self {
            SwitchKey::Auto => "auto",
            SwitchKey::Never => "never",
            SwitchKey::Now => "now",
        }
    }
}

/// The section `[region.rule]`: thresholds of the spillover. Coverage is the ratio of usable capacity to demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Coverage in percent below which capacity is short.
    pub short_below_percent: u32,
    /// Coverage in percent from which capacity suffices again.
    pub enough_from_percent: u32,
    /// Time of short capacity after which requests are forwarded, in milliseconds.
    pub enter_ms: u32,
    /// Time of sufficient capacity after which traffic starts to return, in milliseconds.
    pub leave_ms: u32,
    /// Time of short capacity while traffic returns after which requests are forwarded again, in milliseconds.
    pub relapse_ms: u32,
    /// Time over which traffic returns gradually, in milliseconds.
    pub return_ms: u32,
}

impl Default for Rule {
    fn default() -> Rule {
        let defaults = SpilloverThresholds::default();
        let ms = |duration: Micros| (duration.0 / 1000) as u32;
        Rule {
            short_below_percent: (defaults.low_coverage * 100.0) as u32,
            enough_from_percent: (defaults.high_coverage * 100.0) as u32,
            enter_ms: ms(defaults.enter_after),
            leave_ms: ms(defaults.leave_after),
            relapse_ms: ms(defaults.relapse_after),
            return_ms: ms(defaults.return_duration),
        }
    }
}

impl Rule {
    /// Converts the section to the thresholds of the spillover.
    pub fn thresholds(self) -> SpilloverThresholds {
        let ms = |value: u32| Micros(u64::from(value) * 1000);
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

/// An entry of `[[region.other]]`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OtherRegion {
    /// The region's name.
    pub name: String,
    /// The name in its certificate; if empty, the region's name.
    pub certificate_name: String,
    /// Addresses of its gateways; without any, requests are only accepted from this region.
    pub addresses: Vec<SocketAddr>,
    /// Round trip that is assumed until one is measured, in milliseconds.
    pub round_trip_ms: u32,
    /// Budget of requests forwarded to the region, over all proxies.
    pub send: Allowance,
    /// Budget of requests accepted from the region, over all proxies.
    pub take: Allowance,
}

/// A budget, over all proxies of this region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Allowance {
    /// Maximum number of requests within any second.
    pub per_s: u32,
    /// Maximum number of requests within a tenth of a second; 0 for the value of `per_s`.
    pub burst: u32,
    /// Maximum number of requests in flight.
    pub in_flight: u32,
    /// Lower limits per second for single classes, by name.
    pub classes: BTreeMap<String, u32>,
}

impl Allowance {
    /// Returns the effective burst limit.
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

/// Maximum value of a budget: the times of the requests of the last second are stored.
const MAX_PER_S: u32 = 100_000;

impl RegionSection {
    /// Returns the name that this region's certificate must be valid for.
    pub fn own_certificate_name(&self) -> &str {
        if self.certificate_name.is_empty() {
            &self.name
        } else {
            &self.certificate_name
        }
    }

    /// Returns the maximum number of file descriptors used for other regions, which are not available to clients: two
    /// connections to each region, the listener, connections from other regions, and three files while keys are read.
    pub fn descriptors(&self) -> usize {
        2 * self.other.len() + 4 + self.listen.map_or(0, |_| self.connections as usize)
    }

    /// Checks the section.
    ///
    /// # Errors
    /// Returns the first invalid key.
    pub fn check(&self) -> Result<(), InvalidKey> {
        check_range("exercise_percent", self.exercise_percent, 0..=100)?;
        check_range("hops", self.hops, 1..=u32::from(MAX_HOPS))?;
        check_range("margin_ms", self.margin_ms, 0..=1000)?;
        check_range("drain_s", self.drain_s, 1..=3600)?;
        check_range("connections", self.connections, 1..=1024)?;
        let rule = &self.rule;
        check_range("rule.short_below_percent", rule.short_below_percent, 1..=100)?;
        let enough_range = rule.short_below_percent + 1..=200;
        check_range("rule.enough_from_percent", rule.enough_from_percent, enough_range)?;
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

    /// Checks the name and the files of this region.
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

    /// Checks that each name, certificate name and address belongs to one region only.
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

    /// Checks the numbers of another region.
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

    /// Checks the settings that depend on the platform's: the names of classes and the number of proxies.
    ///
    /// # Errors
    /// Returns the first invalid key.
    pub fn check_with(&self, classes: &[String], proxies: u32) -> Result<(), InvalidKey> {
        for (i, other) in self.other.iter().enumerate() {
            for (name, allowance) in [("send", &other.send), ("take", &other.take)] {
                let key = |field: &str| format!("other.{i}.{name}.{field}");
                if let Some(class) = allowance.classes.keys().find(|class| !classes.contains(class)) {
                    let known = classes.join(", ");
                    return invalid(&key(&format!("classes.{class}")), format!("expected one of {known}"));
                }
                // Each proxy requires at least one request in flight: unlike a rate, this budget cannot rotate among
                // proxies, since a request in flight stays at its proxy.
                if !allowance.is_none() && allowance.in_flight < proxies {
                    let expected = format!("expected at least one for each of the {proxies} proxies");
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

/// Returns an error for a key of `[region]`.
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
    /// Returns the name that the region's certificate must be valid for.
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
