use super::*;

#[test]
fn nodes_answer_what_clients_ask_and_both_count_the_same() {
    let nodes = Nodes::start(1).unwrap();
    let seen = steady(nodes.addresses[0], 100.0, 0.5).unwrap();
    assert_eq!((seen.latencies.len(), seen.other), (50, 0));
    assert_eq!(nodes.answered.load(Ordering::Relaxed), 50);
    assert!(seen.quantile(0.5) > 0.0 && seen.quantile(0.5) <= seen.quantile(0.99));
}

#[test]
fn a_message_is_whole_with_its_last_byte() {
    let text = request(false);
    assert_eq!(message_length(text.as_bytes()), Some(text.len()));
    assert_eq!(message_length(&text.as_bytes()[..text.len() - 1]), None);
}
