//! How a total, such as a rate, is divided among the proxies of a region.

/// Absorbs the rounding of fractions that add up to 1.
const ROUNDING_ERROR: f64 = 1e-6;

/// An even division: one of so many proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvenAllocation {
    /// Number of proxies, at least one.
    pub proxies: u32,
    /// Which of them this is, from 0.
    pub position: u32,
}

impl EvenAllocation {
    /// This proxy's allocation of a total; those of all proxies add up to it.
    pub fn of_total(self, total: u32) -> u32 {
        let proxies = self.proxies.max(1);
        let has_remainder = self.position % proxies < total % proxies;
        total / proxies + u32::from(has_remainder)
    }
}

/// A division by demand among the live proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedAllocation {
    /// Sum of the fractions of all proxies before this one, in an order that is the same for all proxies.
    pub preceding: f64,
    /// This proxy's fraction, 0 to 1.
    pub fraction: f64,
    /// Its position among the live proxies, for what cannot be divided.
    pub even: EvenAllocation,
}

impl WeightedAllocation {
    /// This proxy's allocation of a total; they add up to it where all proxies have the same view.
    pub fn of_total(self, total: u32) -> u32 {
        let cumulative =
            |fraction: f64| (fraction.clamp(0.0, 1.0) * f64::from(total) + ROUNDING_ERROR) as u32;
        let end = self.preceding + self.fraction;
        cumulative(end) - cumulative(self.preceding.min(end))
    }
}

#[cfg(test)]
mod tests;
