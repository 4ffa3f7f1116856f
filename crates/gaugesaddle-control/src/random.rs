//! Random numbers from the operating system.

use rand_core::{OsRng, TryRngCore};

/// Returns a random number, which is unique among all processes with high probability.
///
/// If the operating system provides no randomness, falls back to the process id, with bit 40 set to distinguish it.
pub fn random_u64() -> u64 {
    OsRng.try_next_u64().unwrap_or_else(|_| u64::from(std::process::id()) | 1 << 40)
}
