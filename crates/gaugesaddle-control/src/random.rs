//! Random numbers of the operating system.

use rand_core::{OsRng, TryRngCore};

/// A number that no other process draws, with high probability.
///
/// If the operating system has no randomness, the process id in a range of its own is the fallback.
pub fn random_u64() -> u64 {
    OsRng.try_next_u64().unwrap_or_else(|_| u64::from(std::process::id()) | 1 << 40)
}
