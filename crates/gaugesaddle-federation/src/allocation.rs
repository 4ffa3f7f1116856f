//! How a total, such as a rate, is divided among the proxies of a region.

/// Tolerance for the rounding errors of fractions that add up to 1.
const ROUNDING_ERROR: f64 = 1e-6;

/// An even division of a total among the proxies of a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvenAllocation {
    /// Number of proxies, at least one.
    pub proxies: u32,
    /// Index of this proxy among them, from 0.
    pub position: u32,
}

impl EvenAllocation {
    /// This proxy's allocation of a total; the allocations of all proxies add up to it.
    pub fn of_total(self, total: u32) -> u32 {
        let proxies = self.proxies.max(1);
        let has_remainder = self.position % proxies < total % proxies;
        total / proxies + u32::from(has_remainder)
    }
}

/// A division of a total among the live proxies, in proportion to their demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedAllocation {
    /// Sum of the fractions of all preceding proxies, in an order that all proxies share.
    pub preceding: f64,
    /// This proxy's fraction, 0 to 1.
    pub fraction: f64,
    /// Even division among the live proxies, for rates that are too low to be divided by demand.
    pub even: EvenAllocation,
}

impl WeightedAllocation {
    /// This proxy's allocation of a total; the allocations add up to it if all proxies have the same membership and demand
    /// view.
    pub fn of_total(self, total: u32) -> u32 {
        let cumulative =
            |fraction: f64| (fraction.clamp(0.0, 1.0) * f64::from(total) + ROUNDING_ERROR) as u32;
        let end = self.preceding + self.fraction;
        cumulative(end) - cumulative(self.preceding.min(end))
    }
}

#[cfg(test)]
mod tests;
