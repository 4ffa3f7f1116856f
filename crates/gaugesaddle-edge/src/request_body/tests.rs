//! Checks the counting of held bytes.

use super::*;

/// 100 MB of memory: 50 MB for bodies, 37.5 MB for long ones.
const MEMORY_MB: u64 = 100;

#[test]
fn each_held_byte_counts_until_the_body_is_dropped() {
    let memory = Rc::new(BodyMemory::new(MEMORY_MB));
    let mut held = HeldBytes::new(memory.clone());
    for length in [100, 50, 4000, 4000] {
        assert_eq!(held.grow_to(length), Ok(()));
    }
    assert_eq!(memory.held.get(), 4000);
    drop(held);
    assert_eq!(memory.held.get(), 0);
}

/// Guards against a flood of long bodies after which no short one is accepted.
#[test]
fn a_quarter_of_the_limit_is_reserved_for_short_bodies() {
    let memory = Rc::new(BodyMemory::new(MEMORY_MB));
    let body = |length: usize| {
        let mut held = HeldBytes::new(memory.clone());
        held.grow_to(length).map(|()| held)
    };
    let long: Vec<HeldBytes> = std::iter::from_fn(|| body(4 << 20).ok()).collect();
    assert_eq!(long.len(), 8, "37.5 MB are available to bodies of 4 MiB");
    assert!(body(SMALL_BODY_BYTES + 1).is_ok(), "there is room for a body that is only just long");
    let short: Vec<HeldBytes> = std::iter::from_fn(|| body(SMALL_BODY_BYTES).ok()).collect();
    assert!(short.len() * SMALL_BODY_BYTES >= 12_400_000, "{} short bodies", short.len());
    assert!(memory.held.get() <= 50_000_000);
}

/// A rejected body no longer counts.
#[test]
fn a_body_that_grows_over_the_limit_is_rejected() {
    let memory = Rc::new(BodyMemory::new(1));
    let mut held = HeldBytes::new(memory.clone());
    assert_eq!(held.grow_to(300_000), Ok(()));
    assert_eq!(held.grow_to(400_000), Err(Rejection::Unavailable));
    drop(held);
    assert_eq!(memory.held.get(), 0);
}

#[test]
fn a_block_buffer_returns_the_bytes_in_order() {
    for (capacity, pieces) in [(0, 300), (0, 1), (10, 40_000), (70_000, 7), (140_000, 1000)] {
        let bytes: Vec<u8> = (0..140_000u32).map(|n| n as u8).collect();
        let mut buffer = BlockBuffer::with_capacity(capacity);
        bytes.chunks(bytes.len() / pieces + 1).for_each(|piece| buffer.push(piece));
        assert_eq!(buffer.length, bytes.len());
        assert_eq!(buffer.into_bytes(), bytes, "capacity {capacity}, {pieces} pieces");
    }
    assert!(BlockBuffer::with_capacity(0).into_bytes().is_empty());
}
