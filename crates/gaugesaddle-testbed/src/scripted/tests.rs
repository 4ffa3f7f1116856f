use super::*;
use std::net::SocketAddr;

#[test]
fn no_address_is_given_to_two() {
    let all: std::collections::BTreeSet<SocketAddr> = (0..2000).map(|_| free_address()).collect();
    assert_eq!(all.len(), 2000);
}
