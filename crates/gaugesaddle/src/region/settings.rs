//! `[region]` of the operator's file: this region, the rule, and the others with their budgets.

use gaugesaddle_balancer::Micros;
use gaugesaddle_federation::{is_valid_name, SpilloverMode, SpilloverThresholds, MAX_HOPS, MAX_REGIONS};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

/// `[region]`. Wants a restart, but for `switch` and `exercise_percent`, which are taken up at SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Region {
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
    pub other: Vec<Other>,
}

impl Default for Region {
    fn default() -> Region {
        // One hop: a second region is a last resort, a third would answer too late. 10 ms: two turns of the module
        // at either side. A minute outlasts every deadline. 64 connections: two from each of 32 proxies.
        Region {
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
    pub fn switch(self) -> SpilloverMode {
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
pub struct Other {
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
const MOST_PER_S: u32 = 100_000;

impl Region {
    /// The name in a certificate.
    pub fn own_certificate_name(&self) -> &str {
        if self.certificate_name.is_empty() {
            &self.name
        } else {
            &self.certificate_name
        }
    }

    /// File descriptors that it takes at most, out of the clients' part: two connections to each region, the listener,
    /// what is let in, and three files while keys are read.
    pub fn descriptors(&self) -> usize {
        2 * self.other.len() + 4 + self.listen.map_or(0, |_| self.connections as usize)
    }

    /// The first key that can't be, and what was expected.
    pub fn check(&self) -> Result<(), (String, String)> {
        let flaw = |key: &str, expected: String| Err((format!("region.{key}"), expected));
        let within = |key: &str, value: u32, least: u32, most: u32| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                flaw(key, format!("expected {least} to {most}, got {value}"))
            }
        };
        within("exercise_percent", self.exercise_percent, 0, 100)?;
        within("hops", self.hops, 1, u32::from(MAX_HOPS))?;
        within("margin_ms", self.margin_ms, 0, 1000)?;
        within("drain_s", self.drain_s, 1, 3600)?;
        within("connections", self.connections, 1, 1024)?;
        let rule = &self.rule;
        within("rule.short_below_percent", rule.short_below_percent, 1, 100)?;
        if !(rule.short_below_percent + 1..=200).contains(&rule.enough_from_percent) {
            let least = rule.short_below_percent + 1;
            let got = rule.enough_from_percent;
            return flaw("rule.enough_from_percent", format!("expected {least} to 200, got {got}"));
        }
        for (key, value) in [
            ("rule.enter_ms", rule.enter_ms),
            ("rule.leave_ms", rule.leave_ms),
            ("rule.relapse_ms", rule.relapse_ms),
            ("rule.return_ms", rule.return_ms),
        ] {
            within(key, value, 1, 600_000)?;
        }
        if self.enabled {
            self.check_names()?;
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), (String, String)> {
        let flaw = |key: &str, expected: String| Err((format!("region.{key}"), expected));
        const NAME: &str = "expected up to 32 lower-case letters, digits and inner hyphens";
        if !is_valid_name(&self.name) {
            return flaw("name", format!("{NAME}, got {:?}", self.name));
        }
        for (key, path) in [("certificate", &self.certificate), ("key", &self.key), ("trust", &self.trust)] {
            if !path.is_absolute() {
                return flaw(key, format!("expected an absolute path, got {path:?}"));
            }
        }
        if !(1..MAX_REGIONS).contains(&self.other.len()) {
            let got = self.other.len();
            return flaw("other", format!("expected 1 to {} other regions, got {got}", MAX_REGIONS - 1));
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        let mut certificates = BTreeSet::from([self.own_certificate_name()]);
        for (i, other) in self.other.iter().enumerate() {
            let key = |name: &str| format!("other.{i}.{name}");
            if !is_valid_name(&other.name) {
                return flaw(&key("name"), format!("{NAME}, got {:?}", other.name));
            }
            if other.name == self.name {
                return flaw(
                    &key("name"),
                    format!("expected another region than this one, got {:?}", other.name),
                );
            }
            if !names.insert(&other.name) {
                return flaw(&key("name"), format!("expected each region once, got {:?} twice", other.name));
            }
            let certificate = other.certificate_name();
            if !certificates.insert(certificate) {
                let what =
                    format!("expected a name that no other region's certificate has, got {certificate:?}");
                return flaw(&key("certificate_name"), what);
            }
            for address in &other.addresses {
                if !addresses.insert(address) || Some(*address) == self.listen {
                    return flaw(
                        &key("addresses"),
                        format!("expected addresses of no other region, got {address}"),
                    );
                }
            }
            if other.round_trip_ms == 0 || other.round_trip_ms > 10_000 {
                let got = other.round_trip_ms;
                return flaw(&key("round_trip_ms"), format!("expected 1 to 10000, got {got}"));
            }
            for (name, allowed, needed) in [
                ("send", &other.send, !other.addresses.is_empty()),
                ("take", &other.take, self.listen.is_some()),
            ] {
                if allowed.is_none() && !needed {
                    continue;
                }
                let bound = |what: &str, value: u32, least: u32| {
                    if (least..=MOST_PER_S).contains(&value) {
                        Ok(())
                    } else {
                        flaw(
                            &key(&format!("{name}.{what}")),
                            format!("expected {least} to {MOST_PER_S}, got {value}"),
                        )
                    }
                };
                bound("per_s", allowed.per_s, 1)?;
                bound("burst", allowed.burst, 0)?;
                bound("in_flight", allowed.in_flight, 1)?;
                for (class, per_s) in &allowed.classes {
                    bound(&format!("classes.{class}"), *per_s, 1)?;
                }
            }
        }
        Ok(())
    }

    /// What can be told only beside the platform's settings: the classes' names and the number of proxies.
    pub fn check_with(&self, classes: &[String], proxies: u32) -> Result<(), (String, String)> {
        for (i, other) in self.other.iter().enumerate() {
            for (name, allowed) in [("send", &other.send), ("take", &other.take)] {
                let key = |what: &str| format!("region.other.{i}.{name}.{what}");
                if let Some(class) = allowed.classes.keys().find(|c| !classes.contains(c)) {
                    let known = classes.join(", ");
                    return Err((key(&format!("classes.{class}")), format!("expected one of {known}")));
                }
                // Places in flight cannot be dealt out in turns: one that is taken stays taken.
                if !allowed.is_none() && allowed.in_flight < proxies {
                    let got = allowed.in_flight;
                    let what = format!("expected one for each of the {proxies} proxies at least, got {got}");
                    return Err((key("in_flight"), what));
                }
            }
        }
        Ok(())
    }
}

impl Other {
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
