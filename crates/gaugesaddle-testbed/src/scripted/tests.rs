use super::*;
use std::net::SocketAddr;

#[test]
fn free_addresses_are_distinct() {
    let all: std::collections::BTreeSet<SocketAddr> = (0..2000).map(|_| free_address()).collect();
    assert_eq!(all.len(), 2000);
}
