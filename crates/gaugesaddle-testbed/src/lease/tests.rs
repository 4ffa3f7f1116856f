use super::*;

#[test]
fn two_leases_share_no_address() {
    let (one, two) = (Lease::acquire().unwrap(), Lease::acquire().unwrap());
    assert_ne!(one.proxy(0), two.proxy(0));
    assert_ne!(one.peer(), two.peer());
    let named: std::collections::BTreeSet<SocketAddr> =
        (0..2000).flat_map(|n| [one.numbered(n), two.numbered(n)]).collect();
    assert_eq!(named.len(), 4000);
    drop(TcpListener::bind(one.proxy(0)).unwrap());
}
