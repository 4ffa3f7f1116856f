//! How far this proxy trusts its own looks (Lifeguard's local health): one that is slow itself, or that nobody hears,
//! asks slower and waits longer before it finds others silent.

use gaugesaddle_balancer::Micros;

/// Waits grow up to so many times. More would keep a proxy that is well again slow for long.
const WORST: u32 = 4;

/// The multiplier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health(u32);

impl Health {
    /// A question was answered.
    pub fn answered(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// A sign that the fault is here: no helper had our plea, we had to refute, we overslept.
    pub fn doubted(&mut self) {
        self.0 = (self.0 + 1).min(WORST - 1);
    }

    /// A wait as this proxy should take it now.
    pub fn stretch(self, span: Micros) -> Micros {
        Micros(span.0 * u64::from(self.0 + 1))
    }

    /// 1 where all is well, up to 4.
    pub fn factor(self) -> u32 {
        self.0 + 1
    }
}

#[cfg(test)]
mod tests;
