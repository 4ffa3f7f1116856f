//! Random numbers with a separate stream for each purpose, so that an additional draw from one stream changes no other.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A stream of random numbers.
pub struct RandomStream(Pcg64Mcg);

impl RandomStream {
    /// The stream for a seed and a purpose.
    pub fn new(seed: u64, purpose: &str) -> RandomStream {
        RandomStream(Pcg64Mcg::seed_from_u64(mix(seed, hash(purpose))))
    }

    /// Uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Uniform in 0..below.
    pub fn below(&mut self, below: usize) -> usize {
        ((self.unit() * below as f64) as usize).min(below.saturating_sub(1))
    }

    /// True with a probability.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Exponentially distributed with a mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Log-normally distributed with a mean and a coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        let variance = (1.0 + cv * cv).ln();
        let (a, b) = (1.0 - self.unit(), self.unit());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        mean * (normal * variance.sqrt() - variance / 2.0).exp()
    }

    /// Uniform within a range.
    pub fn uniform(&mut self, range: [f64; 2]) -> f64 {
        range[0] + (range[1] - range[0]) * self.unit()
    }
}

/// The 64-bit FNV-1a hash of a text.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Mixes two numbers into one with the finalizer of SplitMix64.
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_add(b.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[cfg(test)]
mod tests;
