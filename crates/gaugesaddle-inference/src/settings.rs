//! Parameters of the choice of a backend. Each mechanism can be disabled or tuned separately, for measurements.

use std::str::FromStr;
use thiserror::Error;

/// Parameters of the choice of a backend. The key of each parameter for [`ChooserSettings::set`] is in parentheses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChooserSettings {
    /// Time constant of the smoothed arrival rates, in milliseconds (`rate_smoothing`).
    pub rate_smoothing_ms: f64,
    /// Weight of one sample in the smoothed latency, from 0 to 1 (`latency_part`).
    pub latency_weight: f64,
    /// Minimum number of backends that cache a prefix; 0 disables cache affinity (`copies`).
    pub min_cached_backends: usize,
    /// Fleet-wide rate of a prefix, in requests per second, per additional backend that caches it (`rate_for_copy`).
    pub rate_per_cached_backend: f64,
    /// Number of backends next in rank that are preferred over the remaining ones if the backends that cache the prefix are
    /// overloaded (`next_copies`).
    pub fallback_backends: usize,
    /// Arrivals of a prefix at one proxy that are attributed to chance and subtracted from its rate (`chance`). The rate at
    /// one proxy is multiplied by the number of proxies, which would amplify the error of a few observations.
    pub chance_arrivals: f64,
    /// Weight of a shared token that an uncached backend computes again, relative to a token that is not shared
    /// (`read_again`).
    pub recompute_weight: f64,
    /// Whether backends are reserved for long prompts (`long_apart`).
    pub isolate_long_prompts: bool,
    /// Whether backends are divided into speed classes by their backlogs (`backlog`).
    pub use_backlog: bool,
    /// Whether work sent by other proxies counts as backlog (`shared_load`).
    pub shared_load: bool,
    /// Whether failures observed by other proxies count (`shared_health`).
    pub shared_health: bool,
    /// Width of a latency band, as a multiple of the work that arrives at one backend within `report_delay_ms` (`band`).
    pub band_width: f64,
    /// Fraction of the backends, those with the smallest backlogs, that are always treated as equally fast (`light_part`).
    pub least_loaded_fraction: f64,
    /// Delay until other proxies' work is reported, in milliseconds (`news`).
    pub report_delay_ms: f64,
    /// Whether a backend is avoided for a backoff period after a failure (`avoid`).
    pub avoid_failed: bool,
    /// Fraction of the latency objective up to which a backend's backlog is ignored (`target_part`).
    pub objective_fraction: f64,
}

impl Default for ChooserSettings {
    fn default() -> ChooserSettings {
        ChooserSettings {
            rate_smoothing_ms: 12_000.0,
            latency_weight: 0.1,
            min_cached_backends: 1,
            rate_per_cached_backend: 6.0,
            fallback_backends: 1,
            chance_arrivals: 2.0,
            recompute_weight: 20.0,
            isolate_long_prompts: false,
            use_backlog: true,
            shared_load: true,
            shared_health: true,
            band_width: 1.0,
            least_loaded_fraction: 0.25,
            report_delay_ms: 150.0,
            avoid_failed: true,
            objective_fraction: 0.8,
        }
    }
}

/// A setting that cannot be applied: it has no known key, or its value cannot be parsed as the key's type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text}: expected KEY=VALUE with a known key and a value of the key's type")]
pub struct InvalidSetting {
    /// The rejected setting.
    text: String,
}

impl ChooserSettings {
    /// Sets one parameter from a text of the form `KEY=VALUE`.
    ///
    /// # Errors
    ///
    /// [`InvalidSetting`]; no parameter is changed then.
    pub fn set(&mut self, text: &str) -> Result<(), InvalidSetting> {
        let invalid = || InvalidSetting { text: text.to_owned() };
        let (key, value) = text.split_once('=').ok_or_else(invalid)?;
        // The keys are part of the operators' interface and do not change when a field is renamed.
        let parsed = match key {
            "rate_smoothing" => parse_into(value, &mut self.rate_smoothing_ms),
            "latency_part" => parse_into(value, &mut self.latency_weight),
            "copies" => parse_into(value, &mut self.min_cached_backends),
            "rate_for_copy" => parse_into(value, &mut self.rate_per_cached_backend),
            "next_copies" => parse_into(value, &mut self.fallback_backends),
            "chance" => parse_into(value, &mut self.chance_arrivals),
            "read_again" => parse_into(value, &mut self.recompute_weight),
            "long_apart" => parse_into(value, &mut self.isolate_long_prompts),
            "backlog" => parse_into(value, &mut self.use_backlog),
            "shared_load" => parse_into(value, &mut self.shared_load),
            "shared_health" => parse_into(value, &mut self.shared_health),
            "band" => parse_into(value, &mut self.band_width),
            "light_part" => parse_into(value, &mut self.least_loaded_fraction),
            "news" => parse_into(value, &mut self.report_delay_ms),
            "avoid" => parse_into(value, &mut self.avoid_failed),
            "target_part" => parse_into(value, &mut self.objective_fraction),
            _ => None,
        };
        parsed.ok_or_else(invalid)
    }
}

fn parse_into<T: FromStr>(text: &str, target: &mut T) -> Option<()> {
    *target = text.parse().ok()?;
    Some(())
}
