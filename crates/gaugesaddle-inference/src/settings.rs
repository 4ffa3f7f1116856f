//! The settings of the choice: each mechanism can be switched off or set alone, for measurements.

use std::fmt;
use std::str::FromStr;

/// Figures of the choice. Each has a key of the same name, see [`ChooserSettings::set`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChooserSettings {
    /// Smoothing of arrival rates, in ms.
    pub rate_smoothing: f64,
    /// Part that one latency has in the smoothed one.
    pub latency_part: f64,
    /// Backends that keep a part of a prompt, at least; 0: no backend is taken to keep any.
    pub copies: usize,
    /// Requests a second for one part, over the fleet, that call for another copy.
    pub rate_for_copy: f64,
    /// Backends behind those in rank that are tried before all others where the keepers have too much to do.
    pub next_copies: usize,
    /// Arrivals of one prompt part at one proxy that may be chance: what few proxies see of a part says little of what
    /// all of them see together, and would be multiplied by their number.
    pub chance: f64,
    /// A token of a shared part that is read again weighs so much, against one that nobody keeps.
    pub read_again: f64,
    /// Backends are kept for long prompts.
    pub long_apart: bool,
    /// Backends with more work waiting are kinds of their own.
    pub backlog: bool,
    /// What other proxies have sent counts, too.
    pub shared_load: bool,
    /// What failed at other proxies counts, too.
    pub shared_health: bool,
    /// Width of a kind in what arrives at one backend while news travels.
    pub band: f64,
    /// The part of the backends with the least work that is always taken to be equally fast.
    pub light_part: f64,
    /// Time that news of other proxies' work takes, in ms.
    pub news: f64,
    /// A backend that failed is avoided for a while.
    pub avoid: bool,
    /// Work that waits at a backend counts only where it puts the answer beyond this part of its objective.
    pub target_part: f64,
}

impl Default for ChooserSettings {
    fn default() -> ChooserSettings {
        ChooserSettings {
            rate_smoothing: 12_000.0,
            latency_part: 0.1,
            copies: 1,
            rate_for_copy: 6.0,
            next_copies: 1,
            chance: 2.0,
            read_again: 20.0,
            long_apart: false,
            backlog: true,
            shared_load: true,
            shared_health: true,
            band: 1.0,
            light_part: 0.25,
            news: 150.0,
            avoid: true,
            target_part: 0.8,
        }
    }
}

/// A setting that is not one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownSetting(String);

impl fmt::Display for UnknownSetting {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: expected KEY=VALUE, a known key and a value of its kind", self.0)
    }
}

impl std::error::Error for UnknownSetting {}

impl ChooserSettings {
    /// Sets one figure by a text of the form `KEY=VALUE`.
    pub fn set(&mut self, text: &str) -> Result<(), UnknownSetting> {
        let unknown = || UnknownSetting(text.to_owned());
        let (key, value) = text.split_once('=').ok_or_else(unknown)?;
        let known = match key {
            "rate_smoothing" => read(value, &mut self.rate_smoothing),
            "latency_part" => read(value, &mut self.latency_part),
            "copies" => read(value, &mut self.copies),
            "rate_for_copy" => read(value, &mut self.rate_for_copy),
            "next_copies" => read(value, &mut self.next_copies),
            "chance" => read(value, &mut self.chance),
            "read_again" => read(value, &mut self.read_again),
            "long_apart" => read(value, &mut self.long_apart),
            "backlog" => read(value, &mut self.backlog),
            "shared_load" => read(value, &mut self.shared_load),
            "shared_health" => read(value, &mut self.shared_health),
            "band" => read(value, &mut self.band),
            "light_part" => read(value, &mut self.light_part),
            "news" => read(value, &mut self.news),
            "avoid" => read(value, &mut self.avoid),
            "target_part" => read(value, &mut self.target_part),
            _ => None,
        };
        known.ok_or_else(unknown)
    }
}

fn read<T: FromStr>(text: &str, into: &mut T) -> Option<()> {
    *into = text.parse().ok()?;
    Some(())
}
