use super::*;

#[test]
fn nodes_and_clients_count_the_same_requests() {
    let nodes = Nodes::start(1).unwrap();
    let results = run_at_rate(nodes.addresses[0], 100.0, 0.5).unwrap();
    assert_eq!((results.latencies.len(), results.failed), (50, 0));
    assert_eq!(nodes.answered.load(Ordering::Relaxed), 50);
    assert!(results.quantile(0.5) > 0.0 && results.quantile(0.5) <= results.quantile(0.99));
}

#[test]
fn message_is_complete_with_its_last_byte() {
    let text = request(false);
    assert_eq!(message_length(text.as_bytes()), Some(text.len()));
    assert_eq!(message_length(&text.as_bytes()[..text.len() - 1]), None);
}
