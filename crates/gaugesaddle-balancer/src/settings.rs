//! Reads the configuration, and the names of classes, tenants and zones, from an instance's settings.

use crate::interface::*;
use serde_json::Value;

/// Names of classes and tenants in the order of their numbers, and of zones in the order of the settings.
#[derive(Default)]
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Vec<String>,
    zone: String,
}

/// The number of an address, zone or kind: the same in every process.
pub fn stable_id(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3) // FNV-1a
    })
}

impl Names {
    /// The number of a class.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|n| n == name).map(ClassId)
    }

    /// Whether there are tenants.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }
    /// The names of the classes, in the order of their numbers.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// The names of all zones, in the order of the settings.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The name of the proxy's own zone.
    pub fn zone(&self) -> &str {
        &self.zone
    }

    /// The number of a tenant.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.iter().position(|n| n == name).map(TenantId)
    }
}

/// Why a value of a document is not valid, with its path.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is missing.
    #[error("{path}: missing, expected {expected}")]
    Missing {
        /// The path of the key.
        path: String,
        /// What was expected.
        expected: String,
    },
    /// The value has another type or range.
    #[error("{path}: expected {expected}, got {got}")]
    Invalid {
        /// The path of the value.
        path: String,
        /// What was expected.
        expected: String,
        /// The value, truncated where it is long.
        got: String,
    },
    /// A name that must be unique.
    #[error("{path}: the name stands twice")]
    Duplicate {
        /// The path of the second one.
        path: String,
    },
}

/// Maximum characters of a value that an error shows.
const SHOWN: usize = 120;

/// A value inside a JSON document, with its path for errors.
pub struct Key<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Key<'a> {
    /// The full document.
    pub fn root(value: &'a Value) -> Key<'a> {
        Key { path: String::new(), value: Some(value) }
    }
    /// A value that is read by itself, with its path in the document.
    pub fn at(path: String, value: &'a Value) -> Key<'a> {
        Key { path, value: Some(value) }
    }
    /// An item of this array.
    pub fn item<'b>(&self, n: usize, value: &'b Value) -> Key<'b> {
        Key { path: format!("{}[{n}]", self.path), value: Some(value) }
    }
    /// The value, if it is present and not null.
    pub fn value(&self) -> Option<&'a Value> {
        self.value.filter(|v| !v.is_null())
    }
    /// A member of an object.
    pub fn get(&self, name: &str) -> Key<'a> {
        let path = if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) };
        Key { path, value: self.value.and_then(|v| v.get(name)) }
    }
    /// The parsed value.
    ///
    /// # Errors
    /// Where it is `None`: names `what` as expected.
    pub fn require<T>(&self, got: Option<T>, what: &str) -> Result<T, KeyError> {
        got.ok_or_else(|| match self.value {
            Some(v) => self.invalid_value(what, &v.to_string()),
            None => KeyError::Missing { path: self.path.clone(), expected: what.into() },
        })
    }
    /// The error that `got` is not the expected `what`.
    pub fn invalid_value(&self, what: &str, got: &str) -> KeyError {
        let got = got.chars().take(SHOWN).collect();
        KeyError::Invalid { path: self.path.clone(), expected: what.into(), got }
    }
    /// Text.
    ///
    /// # Errors
    /// The value is no text.
    pub fn text(&self) -> Result<&'a str, KeyError> {
        self.require(self.value.and_then(Value::as_str), "text")
    }
    /// True or false.
    ///
    /// # Errors
    /// The value is neither true nor false.
    pub fn flag(&self) -> Result<bool, KeyError> {
        self.require(self.value.and_then(Value::as_bool), "true or false")
    }
    /// A number.
    ///
    /// # Errors
    /// The value is no number.
    pub fn real(&self) -> Result<f64, KeyError> {
        self.require(self.value.and_then(Value::as_f64), "a number")
    }
    /// A span in integer microseconds.
    ///
    /// # Errors
    /// The value is no whole number of microseconds.
    pub fn micros(&self) -> Result<Micros, KeyError> {
        self.require(self.value.and_then(Value::as_u64), "whole microseconds").map(Micros)
    }
    /// A non-negative integer.
    ///
    /// # Errors
    /// The value is no whole number of 32 bits.
    pub fn count(&self) -> Result<u32, KeyError> {
        let got = self.value.and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok());
        self.require(got, "a whole number")
    }
    /// The items of an array.
    ///
    /// # Errors
    /// The value is no list.
    pub fn list(&self) -> Result<Vec<Key<'a>>, KeyError> {
        let items = self.require(self.value.and_then(Value::as_array), "an array")?;
        Ok(items.iter().enumerate().map(|(n, value)| self.item(n, value)).collect())
    }
}

/// Reads the settings; unknown keys are ignored.
///
/// # Errors
/// The first value that is missing or not valid, by its path.
pub fn read(root: &Key) -> Result<(Config, Names), KeyError> {
    let mut names = Names::default();
    let my_zone = root.get("my_zone");
    for zone in root.get("zones").list()? {
        names.zones.push(zone.text()?.into());
    }
    names.zone = my_zone.text()?.into();
    if !names.zones.contains(&names.zone) {
        return my_zone.require(None, "one of zones");
    }
    let zone = ZoneId(stable_id(&names.zone));
    let mut classes = Vec::new();
    for key in root.get("profiles").list()? {
        classes.push(read_class(&key, &mut names)?);
    }
    let mut tenants = Vec::new();
    for tenant in root.get("customers").list()? {
        names.tenants.push(tenant.get("name").text()?.into());
        tenants.push(Tenant { quota_per_s: tenant.get("quota_rps").real()? });
    }
    let (limits, rules, goal) = (root.get("limits"), root.get("rules"), root.get("blend"));
    let discovery = match root.get("discovery").text()? {
        "automatic" => Discovery::Push,
        "subscribe" => Discovery::Subscribe(rules.get("must_ask_in_us").micros()?),
        _ => return root.get("discovery").require(None, "automatic or subscribe"),
    };
    let (size, position) = (root.get("group_size"), root.get("position"));
    let proxies = size.require(Some(size.count()?).filter(|n| *n > 0), "at least 1")?;
    let config = Config {
        proxies,
        position: position
            .require(Some(position.count()?).filter(|n| *n < proxies), "less than group_size")?,
        zone,
        zones: names.zones.len() as u32,
        classes,
        tenants,
        over_quota_weight_fraction: root.get("over_share_worth").real()?,
        goal_total: goal.get("whole").real()?,
        goal_worst_class: goal.get("worst_class").real()?,
        cross_zone_cost: root.get("costs").get("cross_zone").real()?,
        discovery,
        live_weights: root.get("weight_source").text().is_ok_and(|w| w == "live"),
        max_attempts: limits.get("max_attempts").count()?,
        cancel: limits.get("cancel").flag()?,
        hedging: limits.get("parallel_tries").flag()?,
        tick: root.get("granularity_us").micros()?,
        initial_capacity: rules.get("cold_from").real()?,
        slow_start: rules.get("ramp_time_us").micros()?,
        fall_multiple: rules.get("fall_multiple").real()?,
        fall_window: rules.get("tip_after_us").micros()?,
        limits: LimitBounds::default(), // the operator's file has them
    };
    Ok((config, names))
}

/// Reads a class, and adds its name to `names`.
fn read_class(class: &Key, names: &mut Names) -> Result<Class, KeyError> {
    let name = class.get("name");
    if names.classes.iter().any(|n| name.text().is_ok_and(|m| m == n)) {
        return Err(KeyError::Duplicate { path: name.path });
    }
    names.classes.push(name.text()?.into());
    let effect = read_effect(class)?;
    let stretch = class.get("aim_stretch");
    let (objective, deadline) = (class.get("aim_us"), class.get("deadline_us"));
    if objective.micros()? > deadline.micros()? {
        return objective.require(None, "no more than deadline_us");
    }
    Ok(Class {
        latency_objective: objective.micros()?,
        objective_stretch: if stretch.value.is_some() { stretch.real()? } else { 0.0 },
        effect,
        priority_weight: class.get("gain").real()?,
        late_weight_fraction: class.get("late_worth").real()?,
    })
}

fn read_effect(class: &Key) -> Result<Effect, KeyError> {
    let effect = class.get("effect");
    match effect.text()? {
        "free" => Ok(Effect::Free),
        "guarded" => {
            let scope = class.get("key_scope");
            let scope = match scope.text()? {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                "cell" => KeyScope::Cell,
                _ => return scope.require(None, "all, zone or cell"),
            };
            Ok(Effect::Keyed(scope, class.get("window_us").micros()?))
        }
        "single_shot" => Ok(Effect::Unsafe),
        _ => effect.require(None, "free, guarded or single_shot"),
    }
}
