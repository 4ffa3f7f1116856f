//! Pseudo-random numbers that are the same at all proxies, without communication.

/// A pseudo-random number derived from `a`: the finalizer of SplitMix64 (Steele, Lea, Flood 2014).
pub fn mix(a: u64) -> u64 {
    let mut z = a.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
