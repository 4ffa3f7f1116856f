//! Guards against a rename that changes the header values exchanged between gateways of different versions.

use gaugesaddle_federation::{RemoteOutcome, Via, MAX_HEADER_BYTES};

#[test]
fn gateway_header_values_are_stable() {
    let first = Via::next_hop(None, "north", "south", 3).expect("eligible");
    assert_eq!(first.header_value(), "north;left=2");
    let second = Via::next_hop(Some(&first), "south", "west", 4).expect("eligible");
    assert_eq!(second.header_value(), "north, south;left=1");
    assert_eq!(Via::parse("north, south;left=1", "south"), Ok(second));
    assert_eq!(MAX_HEADER_BYTES, 178);
    let outcomes = [
        (RemoteOutcome::Executed, "ran"),
        (RemoteOutcome::NotExecuted, "not-run"),
        (RemoteOutcome::Indeterminate, "may-have-run"),
    ];
    for (outcome, text) in outcomes {
        assert_eq!(outcome.header_value(), text);
        assert_eq!(RemoteOutcome::from_header(Some(text.as_bytes())), outcome);
    }
    assert_eq!(RemoteOutcome::from_header(None), RemoteOutcome::Indeterminate);
}
