//! Guards against a control process of an earlier build that is called with compression again and again, and against one
//! that is called without compression for good.

use super::{AddressesWithoutCompression, MAX_ADDRESSES, RETENTION_MS};

const NOW: u64 = 1_000_000;

#[test]
fn closed_connection_is_remembered_for_a_limited_time() {
    let mut addresses = AddressesWithoutCompression::default();
    assert!(!addresses.contains(NOW, 1));
    addresses.record_closed(NOW, 1);
    assert!(addresses.contains(NOW + RETENTION_MS - 1, 1));
    assert!(!addresses.contains(NOW + RETENTION_MS, 1));
    assert!(!addresses.contains(NOW, 2));
}

#[test]
fn number_of_remembered_addresses_is_bounded() {
    let mut addresses = AddressesWithoutCompression::default();
    for ip in 0..1000 {
        addresses.record_closed(NOW, ip);
    }
    assert_eq!(addresses.closed_ms.len(), MAX_ADDRESSES);
    addresses.record_closed(NOW + RETENTION_MS, 1000);
    assert_eq!(addresses.closed_ms.len(), 1, "expired entries are removed");
}
